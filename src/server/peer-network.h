/* Connections between this controller and the other controllers. */
#pragma once

#include "server/peer-connection.h"
#include "settings/settings.h"

/**
 * MhPeerNetwork:
 *
 * Accepts connections of the other controllers, and keeps at most one outgoing connection to each.
 */
typedef struct MhPeerNetwork MhPeerNetwork;

/**
 * mh_peer_network_new:
 * @members: (transfer none): #MhMember, the other controllers; has to outlive the network
 * @address: (transfer none): the address to listen on
 * @handlers: (transfer none): handlers of all connections, incoming and outgoing; has to outlive
 * the network
 * @user_data: passed to @handlers
 * @error: return location for a #GError of GIO
 *
 * Returns: (transfer full) (nullable): a network that listens, or %NULL with @error when it cannot
 *   listen
 */
MhPeerNetwork *
mh_peer_network_new (const GPtrArray *members, GSocketAddress *address,
                     const MhPeerHandlers *handlers, gpointer user_data, GError **error);

/**
 * mh_peer_network_free:
 * @self: (nullable) (transfer full): a network whose connections are closed
 */
void
mh_peer_network_free (MhPeerNetwork *self);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (MhPeerNetwork, mh_peer_network_free)

/**
 * mh_peer_network_get_connection:
 * @self: a network
 * @node: name of another controller
 *
 * Starts to connect to @node when there is no connection to it.
 *
 * Returns: (transfer none) (nullable): the outgoing connection to @node; %NULL when @node is not a
 *   member or its endpoint is not an IP address
 */
MhPeerConnection *
mh_peer_network_get_connection (MhPeerNetwork *self, const char *node);
