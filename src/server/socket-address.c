#include "server/socket-address.h"

#include <string.h>

GSocketAddress *
mh_socket_address_parse (const char *text)
{
  const char *colon = strrchr (text, ':');
  guint64 port;
  if (colon == NULL || !g_ascii_string_to_unsigned (colon + 1, 10, 1, G_MAXUINT16, &port, NULL))
    return NULL;
  g_autofree char *host = g_strndup (text, (gsize)(colon - text));
  return g_inet_socket_address_new_from_string (host, (guint)port);
}
