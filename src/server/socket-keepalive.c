#include "server/socket-keepalive.h"

#include <errno.h>
#include <glib.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

/* Time without data after which the first probe is sent. */
#define KEEPALIVE_IDLE_S 30
#define KEEPALIVE_INTERVAL_S 10
/* Unanswered probes after which the connection fails. */
#define KEEPALIVE_PROBES 3
/* Time for which data may stay unacknowledged. */
#define UNACKNOWLEDGED_TIMEOUT_MS 60000

static void
set_option (int descriptor, int level, int option, int value)
{
  if (setsockopt (descriptor, level, option, &value, sizeof value) != 0)
    g_debug ("cannot set socket option level=%d option=%d error=%s", level, option,
             g_strerror (errno));
}

void
mh_socket_enable_keepalive (int descriptor)
{
  set_option (descriptor, IPPROTO_TCP, TCP_KEEPIDLE, KEEPALIVE_IDLE_S);
  set_option (descriptor, IPPROTO_TCP, TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S);
  set_option (descriptor, IPPROTO_TCP, TCP_KEEPCNT, KEEPALIVE_PROBES);
  set_option (descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, UNACKNOWLEDGED_TIMEOUT_MS);
  set_option (descriptor, SOL_SOCKET, SO_KEEPALIVE, 1);
}
