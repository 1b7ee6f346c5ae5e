#include "soak/link-proxy.h"

#include <netinet/in.h>
#include <netinet/tcp.h>

#define BUFFER_SIZE 16384
#define POLL_INTERVAL_US 5000

struct LinkProxy
{
  GSocket *listener;
  GSocketAddress *target;
  guint port;
  gint state; /* LinkState; atomic */
};

/* One direction of a connection. */
typedef struct
{
  LinkProxy *link;
  GSocket *source, *target;
  bool is_answer;
} Pump;

static LinkState
get_state (const LinkProxy *link)
{
  return (LinkState)g_atomic_int_get (&link->state);
}

static bool
is_held (const Pump *pump)
{
  LinkState state = get_state (pump->link);
  return state == LINK_HELD || (state == LINK_ANSWERS_HELD && pump->is_answer);
}

/* Waits until bytes may pass. Returns false if the connection is to be reset. */
static bool
wait_until_open (const Pump *pump)
{
  while (is_held (pump))
    g_usleep (POLL_INTERVAL_US);
  return get_state (pump->link) != LINK_REFUSED;
}

static bool
send_all (GSocket *socket, const char *data, gssize size)
{
  while (size > 0)
    {
      gssize sent = g_socket_send (socket, data, (gsize)size, NULL, NULL);
      if (sent <= 0)
        return false;
      data += sent;
      size -= sent;
    }
  return true;
}

/* Returns false at the end of the stream. */
static bool
receive (const Pump *pump, char *buffer, gssize *size)
{
  while (get_state (pump->link) != LINK_REFUSED)
    {
      g_autoptr (GError) error = NULL;
      if (!g_socket_condition_timed_wait (pump->source, G_IO_IN, POLL_INTERVAL_US, NULL, &error))
        {
          if (g_error_matches (error, G_IO_ERROR, G_IO_ERROR_TIMED_OUT))
            continue;
          return false;
        }
      *size = g_socket_receive (pump->source, buffer, BUFFER_SIZE, NULL, NULL);
      return *size > 0;
    }
  return false;
}

static gpointer
pump_bytes (gpointer data)
{
  Pump *pump = data;
  char *buffer = g_malloc (BUFFER_SIZE);
  gssize size;
  while (receive (pump, buffer, &size) && wait_until_open (pump)
         && send_all (pump->target, buffer, size))
    continue;
  g_socket_shutdown (pump->source, TRUE, TRUE, NULL);
  g_socket_shutdown (pump->target, TRUE, TRUE, NULL);
  g_object_unref (pump->source);
  g_object_unref (pump->target);
  g_free (buffer);
  g_free (pump);
  return NULL;
}

static void
start_pump (LinkProxy *link, GSocket *source, GSocket *target, bool is_answer)
{
  Pump *pump = g_new0 (Pump, 1);
  pump->link = link;
  pump->source = g_object_ref (source);
  pump->target = g_object_ref (target);
  pump->is_answer = is_answer;
  g_thread_unref (g_thread_new ("pump", pump_bytes, pump));
}

static void
serve_connection (LinkProxy *link, GSocket *client)
{
  g_autoptr (GSocket) target
      = g_socket_new (G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, NULL);
  if (get_state (link) == LINK_REFUSED || !g_socket_connect (target, link->target, NULL, NULL))
    return;
  g_socket_set_option (client, IPPROTO_TCP, TCP_NODELAY, 1, NULL);
  g_socket_set_option (target, IPPROTO_TCP, TCP_NODELAY, 1, NULL);
  start_pump (link, client, target, false);
  start_pump (link, target, client, true);
}

static gpointer
accept_connections (gpointer data)
{
  LinkProxy *link = data;
  for (;;)
    {
      g_autoptr (GSocket) client = g_socket_accept (link->listener, NULL, NULL);
      if (client == NULL)
        return NULL;
      serve_connection (link, client);
    }
}

LinkProxy *
link_proxy_new (guint target_port)
{
  g_autoptr (GError) error = NULL;
  g_autoptr (GSocketAddress) any = g_inet_socket_address_new_from_string ("127.0.0.1", 0);
  LinkProxy *link = g_new0 (LinkProxy, 1);
  link->target = g_inet_socket_address_new_from_string ("127.0.0.1", target_port);
  link->listener
      = g_socket_new (G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, NULL);
  g_socket_bind (link->listener, any, TRUE, &error);
  g_assert_no_error (error);
  g_socket_set_listen_backlog (link->listener, 128);
  g_socket_listen (link->listener, &error);
  g_assert_no_error (error);
  g_autoptr (GSocketAddress) address = g_socket_get_local_address (link->listener, &error);
  g_assert_no_error (error);
  link->port = g_inet_socket_address_get_port (G_INET_SOCKET_ADDRESS (address));
  g_thread_unref (g_thread_new ("link", accept_connections, link));
  return link;
}

guint
link_proxy_get_port (const LinkProxy *link)
{
  return link->port;
}

void
link_proxy_set_state (LinkProxy *link, LinkState state)
{
  g_atomic_int_set (&link->state, (gint)state);
}
