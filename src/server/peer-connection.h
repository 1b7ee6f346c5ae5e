/* A connection to or from another controller, over which XDR records are sent
   (protocol/controller_messages.x). */
#pragma once

#include "protocol/controller-messages.h"

#include <gio/gio.h>
#include <stdbool.h>

/**
 * MhPeerConnection:
 *
 * Owns itself until it is closed. It must not be used after the closed handler has returned.
 */
typedef struct MhPeerConnection MhPeerConnection;

/**
 * MhPeerHandlers:
 * @message: called with each message, which is valid during the call only; may close the connection
 * @closed: called once, when the connection fails, when the other side closes it, or by
 *   mh_peer_connection_close()
 *
 * Handlers of a connection's events.
 */
typedef struct
{
  void (*message) (MhPeerConnection *connection, const MhControllerMessage *message,
                   gpointer user_data);
  void (*closed) (MhPeerConnection *connection, gpointer user_data);
} MhPeerHandlers;

/**
 * mh_peer_connection_accept:
 * @socket: (transfer none): an accepted connection from another controller
 * @handlers: (transfer none): has to outlive the connection
 * @user_data: passed to @handlers
 *
 * Returns: (transfer none): a connection that reads messages
 */
MhPeerConnection *
mh_peer_connection_accept (GSocketConnection *socket, const MhPeerHandlers *handlers,
                           gpointer user_data);

/**
 * mh_peer_connection_connect:
 * @node: name of the other controller
 * @address: (transfer none): the address on which it listens
 * @handlers: (transfer none): has to outlive the connection
 * @user_data: passed to @handlers
 *
 * Returns: (transfer none): a connection that is being established; records sent until then are
 *   queued
 */
MhPeerConnection *
mh_peer_connection_connect (const char *node, GSocketAddress *address,
                            const MhPeerHandlers *handlers, gpointer user_data);

/**
 * mh_peer_connection_get_node:
 * @self: a connection
 *
 * Returns: (transfer none) (nullable): name of the controller that it was made to; %NULL when the
 * other controller connected
 */
const char *
mh_peer_connection_get_node (const MhPeerConnection *self);

/**
 * mh_peer_connection_has_queued_output:
 * @self: a connection
 *
 * Returns: whether records are queued behind those that are being written
 */
bool
mh_peer_connection_has_queued_output (const MhPeerConnection *self);

/**
 * mh_peer_connection_send:
 * @self: a connection
 * @record: (transfer full) (nullable): a complete record, as mh_controller_request_encode() returns
 * it; %NULL does nothing
 */
void
mh_peer_connection_send (MhPeerConnection *self, GByteArray *record);

/**
 * mh_peer_connection_close:
 * @self: a connection
 *
 * Calls the closed handler. Does nothing when @self is already closed.
 */
void
mh_peer_connection_close (MhPeerConnection *self);
