/* Addresses as the settings name them. */
#pragma once

#include <gio/gio.h>

/**
 * mh_socket_address_parse:
 * @text: an IP address and a port, "ADDRESS:PORT"
 *
 * Returns: (transfer full) (nullable): the address, or %NULL when @text is no IP address with a
 * port between 1 and 65535; host names are not looked up
 */
GSocketAddress *
mh_socket_address_parse (const char *text);
