/* Accepts connections of users and workers and distributes them over small main contexts.

   One iteration of a GMainContext checks all of its descriptors, ready or not. With a thousand open
   connections in one context this took most of the processor time of a controller that has only a
   small share of a processor. Therefore a few connections share a context, and a context is
   iterated only when one of its descriptors is ready or a timeout is due. */
#pragma once

#include <libsoup/soup.h>
#include <stdbool.h>

/**
 * MhHttpListener:
 *
 * A listening socket and the open connections that it accepted.
 */
typedef struct MhHttpListener MhHttpListener;

/**
 * MhConnectionGroup:
 *
 * Connections that share a main context. The listener owns its groups and frees them with itself.
 */
typedef struct MhConnectionGroup MhConnectionGroup;

/**
 * mh_http_listener_new:
 * @server: takes over the accepted connections and runs its handlers on them; has to outlive the
 *   listener
 * @address: where to listen
 * @max_connections: number of connections that the platform allows
 * @error: return location for a #GError of GIO
 *
 * Starts to listen, as a source of the default main context.
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
 * mh_http_listener_is_near_connection_limit:
 * @self: a listener
 *
 * There may be more workers than allowed connections: if workers kept their connections open
 * between two heartbeats, other workers could not send heartbeats at all.
 *
 * Returns: %TRUE if more connections are open than the share within which workers may keep theirs;
 *   connections of workers are then to be closed after each response
 */
bool
mh_http_listener_is_near_connection_limit (const MhHttpListener *self);

/**
 * mh_http_listener_count_connections:
 * @self: a listener
 *
 * Returns: the number of open connections
 */
guint
mh_http_listener_count_connections (const MhHttpListener *self);

/**
 * mh_http_listener_get_current_group:
 * @self: a listener
 *
 * Returns: (transfer none) (nullable): the group whose request is being handled; %NULL outside of a
 *   handler
 */
MhConnectionGroup *
mh_http_listener_get_current_group (const MhHttpListener *self);

/**
 * mh_connection_group_wake:
 * @group: a group
 *
 * Schedules an iteration of @group. To be called after a message of @group is changed outside of
 * the group's iteration.
 */
void
mh_connection_group_wake (MhConnectionGroup *group);
