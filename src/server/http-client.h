/* Requests of this controller to the key-value store, the cloud and the workers. */
#pragma once

#include "protocol/request.h"

/**
 * MhHttpClient:
 *
 * Sends requests over kept connections and hands each reply, or its absence, to one callback.
 */
typedef struct MhHttpClient MhHttpClient;

/**
 * MhHttpReplyFunc:
 * @id: the call, as it was given to mh_http_client_send()
 * @status: HTTP status; 0 when there is no usable answer, so that whether the request was carried
 * out is unknown
 * @body: (nullable): the answer's body
 * @user_data: as given to mh_http_client_new()
 *
 * Called exactly once for each call.
 */
typedef void (*MhHttpReplyFunc) (guint64 id, guint status, const MhValue *body, gpointer user_data);

/**
 * MhHttpEndpoints:
 * @key_value_store: "HOST:PORT" of the key-value store
 * @cloud: "HOST:PORT" of the cloud
 */
typedef struct
{
  const char *key_value_store;
  const char *cloud;
} MhHttpEndpoints;

/**
 * mh_http_client_new:
 * @endpoints: (transfer none): whom to call; the strings have to outlive the client
 * @reply: called with each reply
 * @user_data: for @reply
 *
 * Returns: (transfer full): a client without connections
 */
MhHttpClient *
mh_http_client_new (const MhHttpEndpoints *endpoints, MhHttpReplyFunc reply, gpointer user_data);

/**
 * mh_http_client_free:
 * @client: (nullable) (transfer full): a client none of whose calls is pending
 */
void
mh_http_client_free (MhHttpClient *client);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (MhHttpClient, mh_http_client_free)

/**
 * mh_http_client_send:
 * @client: a client
 * @id: identifies the call in the reply
 * @request: (transfer none): what to send
 * @timeout_us: after this time, in microseconds, the call is cancelled and its reply has status 0
 *
 * When the worker's endpoint is no address, the reply comes before this returns.
 */
void
mh_http_client_send (MhHttpClient *client, guint64 id, const MhRequest *request, gint64 timeout_us);
