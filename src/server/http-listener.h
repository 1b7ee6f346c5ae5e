/* Accepts the connections of users and workers and deals them out to small main contexts.

   One iteration of a GMainContext looks at all of its descriptors, ready or not. With a thousand
   open connections in the main context that once took most of a small share of a processor; now
   only those groups of connections are iterated in which something is ready. */
#pragma once

#include <libsoup/soup.h>
#include <stdbool.h>

/**
 * MhHttpListener:
 *
 * A listening socket, and the open connections that it accepted.
 */
typedef struct MhHttpListener MhHttpListener;

/**
 * MhConnectionGroup:
 *
 * Connections that share a main context; owned by their listener, for as long as it lives.
 */
typedef struct MhConnectionGroup MhConnectionGroup;

/**
 * mh_http_listener_new:
 * @server: takes over the accepted connections; carries the handlers; has to outlive the listener
 * @address: where to listen
 * @max_connections: connections that the platform allows
 * @error: return location for a #GError of GIO
 *
 * Listens, and runs in the default main context from then on.
 *
 * Returns: (transfer full) (nullable): a listener, or %NULL with @error when it cannot listen
 */
MhHttpListener *
mh_http_listener_new (SoupServer *server, GSocketAddress *address, guint max_connections,
                      GError **error);

/**
 * mh_http_listener_free:
 * @self: (nullable) (transfer full): a listener whose connections are closed
 */
void
mh_http_listener_free (MhHttpListener *self);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (MhHttpListener, mh_http_listener_free)

/**
 * mh_http_listener_is_crowded:
 * @self: a listener
 *
 * There may be more workers than allowed connections. When workers kept theirs between two reports,
 * the others once could not report at all.
 *
 * Returns: whether so many connections are open that those of workers should be closed after each
 * answer
 */
bool
mh_http_listener_is_crowded (const MhHttpListener *self);

/**
 * mh_http_listener_get_current_group:
 * @self: a listener
 *
 * Returns: (nullable): the group whose request is being handled; %NULL outside of a handler
 */
MhConnectionGroup *
mh_http_listener_get_current_group (const MhHttpListener *self);

/**
 * mh_connection_group_wake:
 * @group: a group
 *
 * To be called after a message of @group was changed from outside of its own iteration.
 */
void
mh_connection_group_wake (MhConnectionGroup *group);
