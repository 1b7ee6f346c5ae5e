/* A connection to or from another controller, which carries XDR records (protocol/peer_xdr.x). */
#pragma once

#include "protocol/controller-messages.h"

#include <gio/gio.h>
#include <stdbool.h>

/**
 * MhPeerConnection:
 *
 * Keeps itself alive until it is closed; after the closed handler nobody may use it any more.
 */
typedef struct MhPeerConnection MhPeerConnection;

/**
 * MhPeerHandlers:
 * @message: called with each message; borrowed for the call
 * @closed: called once, when the connection failed, was closed by the other side or by
 *   mh_peer_connection_close()
 *
 * What a connection tells its owner. @message may close the connection.
 */
typedef struct
{
  void (*message) (MhPeerConnection *connection, const MhControllerMessage *message,
                   gpointer user_data);
  void (*closed) (MhPeerConnection *connection, gpointer user_data);
} MhPeerHandlers;

/**
 * mh_peer_connection_accept:
 * @socket: (transfer none): a connection that another controller has made
 * @handlers: (transfer none): has to outlive the connection
 * @user_data: for @handlers
 *
 * Returns: (transfer none): a connection that has begun to read
 */
MhPeerConnection *
mh_peer_connection_accept (GSocketConnection *socket, const MhPeerHandlers *handlers,
                           gpointer user_data);

/**
 * mh_peer_connection_connect:
 * @node: name of the other controller
 * @address: (transfer none): where it listens
 * @handlers: (transfer none): has to outlive the connection
 * @user_data: for @handlers
 *
 * Returns: (transfer none): a connection that is being made; what is sent meanwhile is queued
 */
MhPeerConnection *
mh_peer_connection_connect (const char *node, GSocketAddress *address,
                            const MhPeerHandlers *handlers, gpointer user_data);

/**
 * mh_peer_connection_get_node:
 * @self: a connection
 *
 * Returns: (nullable): the controller it was made to; %NULL when the other side made it
 */
const char *
mh_peer_connection_get_node (const MhPeerConnection *self);

/**
 * mh_peer_connection_has_queued_output:
 * @self: a connection
 *
 * Returns: whether records wait behind those that are being written
 */
bool
mh_peer_connection_has_queued_output (const MhPeerConnection *self);

/**
 * mh_peer_connection_send:
 * @self: a connection
 * @record: (transfer full) (nullable): a whole record, as of mh_controller_request_encode(); %NULL
 * does nothing
 */
void
mh_peer_connection_send (MhPeerConnection *self, GByteArray *record);

/**
 * mh_peer_connection_close:
 * @self: a connection
 *
 * Does nothing when it is closed already.
 */
void
mh_peer_connection_close (MhPeerConnection *self);
