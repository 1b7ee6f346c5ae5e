/* One HTTP request and its response. */
#pragma once

#include "protocol/route.h"

#include <gio/gio.h>
#include <microhttpd.h>
#include <stdbool.h>

/**
 * MhHttpExchange:
 *
 * A request that was received, and the response to it. It exists until the response is sent or the
 * connection ends; a connection is not read while its request waits for a response.
 */
typedef struct MhHttpExchange MhHttpExchange;

/**
 * MhHttpResponse:
 * @status: HTTP status
 * @body: (nullable): the body
 * @media_type: (nullable): media type of @body
 * @allow: (nullable): the allowed method, with status 405
 * @retry_after_s: seconds after which to repeat the request; 0: not said
 * @close: whether the connection is closed after the response, which then says so in its header
 *
 * A response to a request.
 */
typedef struct
{
  guint status;
  GBytes *body;
  const char *media_type;
  const char *allow;
  guint retry_after_s;
  bool close;
} MhHttpResponse;

/**
 * mh_http_exchange_new:
 * @connection: (transfer none): the connection of the request
 * @source: (transfer none): runs the daemon; made ready when a suspended connection is resumed
 * @method: method of the request
 * @path: decoded path of the request, without the query
 *
 * Returns: (transfer full): an exchange whose body has not been received
 */
MhHttpExchange *
mh_http_exchange_new (struct MHD_Connection *connection, GSource *source, const char *method,
                      const char *path);

/**
 * mh_http_exchange_free:
 * @self: (nullable) (transfer full): an exchange
 */
void
mh_http_exchange_free (MhHttpExchange *self);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (MhHttpExchange, mh_http_exchange_free)

/**
 * mh_http_exchange_get_method:
 * @self: an exchange
 *
 * Returns: (transfer none): the request's method
 */
const char *
mh_http_exchange_get_method (const MhHttpExchange *self);

/**
 * mh_http_exchange_get_path:
 * @self: an exchange
 *
 * Returns: (transfer none): the request's decoded path, without the query
 */
const char *
mh_http_exchange_get_path (const MhHttpExchange *self);

/**
 * mh_http_exchange_append_body:
 * @self: an exchange
 * @data: the next bytes of the body
 * @size: number of bytes
 *
 * A body over #MH_MAX_BODY_SIZE is read to its end but not kept.
 *
 * Returns: %FALSE when the body is so large that the rest of it should not be read either
 */
bool
mh_http_exchange_append_body (MhHttpExchange *self, const void *data, gsize size);

/**
 * mh_http_exchange_is_too_large:
 * @self: an exchange whose request is complete
 *
 * Returns: whether the body was over #MH_MAX_BODY_SIZE
 */
bool
mh_http_exchange_is_too_large (const MhHttpExchange *self);

/**
 * mh_http_exchange_get_body:
 * @self: an exchange whose request is complete and not too large
 *
 * Returns: (transfer full): the body, which may be empty
 */
GBytes *
mh_http_exchange_get_body (const MhHttpExchange *self);

/**
 * mh_http_exchange_respond:
 * @self: an exchange without a response
 * @response: the response, which is copied
 *
 * Sends the response, now or when mh_http_exchange_send_or_suspend() is called.
 */
void
mh_http_exchange_respond (MhHttpExchange *self, const MhHttpResponse *response);

/**
 * mh_http_exchange_has_response:
 * @self: an exchange
 *
 * Returns: whether mh_http_exchange_respond() has been called
 */
bool
mh_http_exchange_has_response (const MhHttpExchange *self);

/**
 * mh_http_exchange_send_or_suspend:
 * @self: an exchange whose request is complete
 *
 * Sends the response if there is one. Otherwise suspends the connection until
 * mh_http_exchange_respond() is called. To be called in the connection's access handler.
 *
 * Returns: %FALSE when the connection has to be closed
 */
bool
mh_http_exchange_send_or_suspend (MhHttpExchange *self);

/**
 * mh_http_exchange_is_suspended:
 * @self: an exchange
 *
 * Returns: whether the connection is suspended until the response is given
 */
bool
mh_http_exchange_is_suspended (const MhHttpExchange *self);
