#include "free-address.h"

GSocketAddress *
find_free_address (void)
{
  g_autoptr (GSocket) socket
      = g_socket_new (G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, NULL);
  g_autoptr (GSocketAddress) any = g_inet_socket_address_new_from_string ("127.0.0.1", 0);
  g_assert_true (g_socket_bind (socket, any, FALSE, NULL));
  return g_socket_get_local_address (socket, NULL);
}

guint
find_free_port (void)
{
  g_autoptr (GSocketAddress) address = find_free_address ();
  return g_inet_socket_address_get_port (G_INET_SOCKET_ADDRESS (address));
}
