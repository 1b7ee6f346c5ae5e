/* Parses the socket addresses of the settings. */
#pragma once

#include <gio/gio.h>

/**
 * mh_socket_address_parse:
 * @text: an IP address and a port, "ADDRESS:PORT"
 *
 * Host names are not resolved.
 *
 * Returns: (transfer full) (nullable): the address, or %NULL when @text is not an IP address with a
 *   port from 1 to 65535
 */
GSocketAddress *
mh_socket_address_parse (const char *text);
