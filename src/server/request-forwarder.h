/* Forwarding of users' requests between controllers: those that this controller forwards to the
   leader, and those that other controllers forward to it. */
#pragma once

#include "protocol/user-messages.h"
#include "server/peer-network.h"
#include "server/pending-request.h"
#include "protocol/controller-messages.h"

/**
 * MhRequestForwarder:
 *
 * Forwards requests and waits for their responses.
 */
typedef struct MhRequestForwarder MhRequestForwarder;

/**
 * MhForwardOutcomeFunc:
 * @id: id of a forwarded request
 * @response: (nullable): the other controller's response; %NULL when the request timed out or the
 *   connection to that controller was closed
 * @user_data: the pointer that was passed to mh_request_forwarder_new()
 *
 * Called once for each forwarded request, unless its user's connection ends first.
 */
typedef void (*MhForwardOutcomeFunc) (guint64 id, const MhUserResponse *response,
                                      gpointer user_data);

/**
 * mh_request_forwarder_new:
 * @requests: the table of pending requests; has to outlive the forwarder
 * @outcome: called with each outcome
 * @user_data: passed to @outcome
 *
 * Returns: (transfer full): a forwarder
 */
MhRequestForwarder *
mh_request_forwarder_new (MhPendingRequests *requests, MhForwardOutcomeFunc outcome,
                          gpointer user_data);

/**
 * mh_request_forwarder_free:
 * @self: (nullable) (transfer full): a forwarder
 */
void
mh_request_forwarder_free (MhRequestForwarder *self);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (MhRequestForwarder, mh_request_forwarder_free)

/**
 * mh_request_forwarder_send:
 * @self: a forwarder
 * @request: (transfer none): a user's request
 * @connection: (transfer none): a connection to the controller that is to answer it
 * @timeout_us: time without a response after which the request fails and @connection is closed, in
 *   microseconds
 */
void
mh_request_forwarder_send (MhRequestForwarder *self, MhPendingRequest *request,
                           MhPeerConnection *connection, gint64 timeout_us);

/**
 * mh_request_forwarder_handle_response:
 * @self: a forwarder
 * @connection: the connection on which the response was received
 * @message: a response; it is ignored unless its request is pending and was forwarded over
 * @connection
 */
void
mh_request_forwarder_handle_response (MhRequestForwarder *self, MhPeerConnection *connection,
                                      const MhControllerMessage *message);

/**
 * mh_request_forwarder_handle_closed:
 * @self: a forwarder
 * @connection: a connection that was closed
 *
 * Requests that were forwarded over @connection end without a response. Requests that were received
 * over it stay pending, but their responses are not sent.
 */
void
mh_request_forwarder_handle_closed (MhRequestForwarder *self, MhPeerConnection *connection);

/**
 * mh_request_forwarder_receive:
 * @self: a forwarder
 * @connection: the connection on which @message was received
 * @message: a request that another controller forwards
 * @spec: (out) (transfer full) (nullable): the submitted job; %NULL for other requests
 *
 * Answers status 400 to a submission that is malformed or whose job is not the one that @message
 * names.
 *
 * Returns: (transfer none) (nullable): the pending request; %NULL when it has been answered
 */
MhPendingRequest *
mh_request_forwarder_receive (MhRequestForwarder *self, MhPeerConnection *connection,
                              const MhControllerMessage *message, MhJobSpec **spec);
