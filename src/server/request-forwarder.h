/* Users' requests on their way between controllers: those that this one passes on to the leader,
   and those that others pass on to it. */
#pragma once

#include "protocol/user-messages.h"
#include "server/peer-network.h"
#include "server/pending-request.h"
#include "protocol/controller-messages.h"

/**
 * MhRequestForwarder:
 *
 * Passes requests on, and waits for their answers.
 */
typedef struct MhRequestForwarder MhRequestForwarder;

/**
 * MhForwardOutcomeFunc:
 * @id: number of a request that was passed on
 * @answer: (nullable): the other controller's answer; %NULL when none came in time
 * @user_data: as given to mh_request_forwarder_new()
 *
 * Called once for each request that was passed on, unless its user went away before.
 */
typedef void (*MhForwardOutcomeFunc) (guint64 id, const MhUserResponse *answer, gpointer user_data);

/**
 * mh_request_forwarder_new:
 * @requests: the requests that wait for an answer; has to outlive the forwarder
 * @outcome: called with each outcome
 * @user_data: for @outcome
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
 * @connection: (transfer none): a connection to the controller that shall answer it
 * @timeout_us: after this time, in microseconds, there is no answer, and @connection is closed
 */
void
mh_request_forwarder_send (MhRequestForwarder *self, MhPendingRequest *request,
                           MhPeerConnection *connection, gint64 timeout_us);

/**
 * mh_request_forwarder_handle_answer:
 * @self: a forwarder
 * @connection: the connection on which the answer came
 * @message: an answer; one that nobody waits for on @connection any more is ignored
 */
void
mh_request_forwarder_handle_answer (MhRequestForwarder *self, MhPeerConnection *connection,
                                    const MhControllerMessage *message);

/**
 * mh_request_forwarder_handle_closed:
 * @self: a forwarder
 * @connection: a connection that was closed
 *
 * What was passed on over @connection has no answer; what came over it needs none any more.
 */
void
mh_request_forwarder_handle_closed (MhRequestForwarder *self, MhPeerConnection *connection);

/**
 * mh_request_forwarder_receive:
 * @self: a forwarder
 * @connection: the connection on which the call came
 * @call: a request that another controller passes on
 * @spec: (out) (transfer full) (nullable): the job that is submitted; %NULL for other requests
 *
 * A submission that is malformed, or not of the job that the call names, is answered with status
 * 400.
 *
 * Returns: (transfer none) (nullable): the request, which waits for an answer; %NULL when it has
 * been answered
 */
MhPendingRequest *
mh_request_forwarder_receive (MhRequestForwarder *self, MhPeerConnection *connection,
                              const MhControllerMessage *call, MhJobSpec **spec);
