/* Addresses for servers that a test starts on loopback. */
#pragma once

#include <gio/gio.h>

/**
 * find_free_address:
 *
 * Returns: (transfer full): an address on loopback whose port no socket uses now
 */
GSocketAddress *
find_free_address (void);

/**
 * find_free_port:
 *
 * Returns: the port of such an address
 */
guint
find_free_port (void);
