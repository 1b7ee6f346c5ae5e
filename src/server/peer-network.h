/* The connections between this controller and the others. */
#pragma once

#include "server/peer-connection.h"
#include "settings/settings.h"

/**
 * MhPeerNetwork:
 *
 * Listens for the other controllers, and keeps at most one outgoing connection to each of them.
 */
typedef struct MhPeerNetwork MhPeerNetwork;

/**
 * mh_peer_network_new:
 * @members: (transfer none): #MhMember, the other controllers; has to outlive the network
 * @address: (transfer none): where to listen
 * @handlers: (transfer none): for all connections, incoming and outgoing; has to outlive the
 * network
 * @user_data: for @handlers
 * @error: return location for a #GError of GIO
 *
 * Returns: (transfer full) (nullable): a network that listens, or %NULL with @error when it cannot
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
 * Returns: (transfer none) (nullable): the connection to @node, made anew when there is none; %NULL
 * when
 *   @node is no member or its endpoint is no IP address
 */
MhPeerConnection *
mh_peer_network_get_connection (MhPeerNetwork *self, const char *node);
