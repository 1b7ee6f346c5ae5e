/* HTTP requests from this controller to the key-value store, the cloud and the workers. */
#pragma once

#include "protocol/request.h"

/**
 * MhHttpClient:
 *
 * Sends requests and passes each response, or its absence, to one callback. Connections to the
 * key-value store and the cloud are reused; a connection to a worker is closed after the response.
 */
typedef struct MhHttpClient MhHttpClient;

/**
 * MhHttpResponseFunc:
 * @id: the id that was passed to mh_http_client_send()
 * @status: HTTP status; 0 without a usable response: the request may or may not have been carried
 * out
 * @body: (nullable): body of the response
 * @user_data: the pointer that was passed to mh_http_client_new()
 *
 * Called exactly once for each call.
 */
typedef void (*MhHttpResponseFunc) (guint64 id, guint status, const MhValue *body,
                                    gpointer user_data);

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
 * @endpoints: (transfer none): the services to call; the strings have to outlive the client
 * @response_func: called with each response
 * @user_data: passed to @response_func
 *
 * Returns: (transfer full): a client without connections
 */
MhHttpClient *
mh_http_client_new (const MhHttpEndpoints *endpoints, MhHttpResponseFunc response_func,
                    gpointer user_data);

/**
 * mh_http_client_free:
 * @client: (nullable) (transfer full): a client without pending calls
 */
void
mh_http_client_free (MhHttpClient *client);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (MhHttpClient, mh_http_client_free)

/**
 * mh_http_client_send:
 * @client: a client
 * @id: identifies the call in the response
 * @request: (transfer none): the request to send
 * @timeout_us: time after which the call is cancelled and its response has status 0, in
 * microseconds
 *
 * When the worker's endpoint is not a valid address, the callback runs before this returns.
 */
void
mh_http_client_send (MhHttpClient *client, guint64 id, const MhRequest *request, gint64 timeout_us);
