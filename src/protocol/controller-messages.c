#include "protocol/controller-messages.h"
#include "controller_messages.h"

#include <string.h>

/* The largest body, a name, and 256 bytes for the other fields and the padding. */
#define MAX_RECORD_SIZE (WIRE_BODY_MAX + WIRE_NAME_MAX + 256)
/* The length prefix of a record, in network byte order. */
#define LENGTH_SIZE ((guint32)sizeof (guint32))
#define MIN_HTTP_STATUS 200
#define MAX_HTTP_STATUS 599

void
mh_controller_message_clear (MhControllerMessage *message)
{
  g_return_if_fail (message != NULL);

  g_clear_pointer (&message->job, g_free);
  g_clear_pointer (&message->body, g_bytes_unref);
  g_clear_pointer (&message->node, g_free);
}

static GByteArray *
encode_record (wire_message *message)
{
  XDR xdr;
  g_autofree char *buffer = g_malloc (MAX_RECORD_SIZE);
  xdrmem_create (&xdr, buffer, MAX_RECORD_SIZE, XDR_ENCODE);
  bool encoded = xdr_wire_message (&xdr, message);
  guint32 size = xdr_getpos (&xdr);
  xdr_destroy (&xdr);
  if (!encoded)
    return NULL;
  guint32 length = GUINT32_TO_BE (size);
  GByteArray *record = g_byte_array_sized_new (size + LENGTH_SIZE);
  g_byte_array_append (record, (const guint8 *)&length, LENGTH_SIZE);
  g_byte_array_append (record, (const guint8 *)buffer, size);
  return record;
}

GByteArray *
mh_controller_request_encode (guint64 id, MhUserVerb verb, const char *job, GBytes *body)
{
  g_return_val_if_fail (job != NULL, NULL);

  gsize size = 0;
  const char *data = body ? g_bytes_get_data (body, &size) : NULL;
  wire_message message = { .kind = WIRE_REQUEST };
  wire_request *request = &message.wire_message_u.request;
  request->id = id;
  request->verb = (wire_verb)verb;
  request->job = (char *)job;
  request->body.body_len = (u_int)size;
  request->body.body_val = (char *)data;
  return encode_record (&message);
}

GByteArray *
mh_controller_response_encode (guint64 id, const MhUserResponse *response)
{
  g_return_val_if_fail (response != NULL, NULL);

  wire_message message = { .kind = WIRE_RESPONSE };
  message.wire_message_u.response = (wire_response){ .id = id,
                                                     .status = response->status,
                                                     .retry_after_s = response->retry_after_s,
                                                     .state = response->state,
                                                     .done = response->done,
                                                     .running = response->running };
  return encode_record (&message);
}

GByteArray *
mh_controller_announcement_encode (const char *node, guint64 epoch)
{
  g_return_val_if_fail (node != NULL, NULL);

  wire_message message = { .kind = WIRE_ANNOUNCEMENT };
  message.wire_message_u.announcement = (wire_announcement){ .node = (char *)node, .epoch = epoch };
  return encode_record (&message);
}

static bool
fail (GError **error, MhProtocolError code, const char *problem)
{
  g_set_error_literal (error, MH_PROTOCOL_ERROR, code, problem);
  return false;
}

static bool
convert_request (const wire_request *request, MhControllerMessage *message, GError **error)
{
  if (request->verb < WIRE_SUBMIT || request->verb > WIRE_CANCEL)
    return fail (error, MH_PROTOCOL_ERROR_OUT_OF_RANGE, "verb: unknown operation, expected 1 to 3");
  if (!mh_job_id_is_valid (request->job))
    return fail (error, MH_PROTOCOL_ERROR_INVALID_ID,
                 "job: invalid job id, expected j- and 6 to 18 digits");
  message->kind = MH_CONTROLLER_REQUEST;
  message->id = request->id;
  message->verb = (MhUserVerb)request->verb;
  message->job = g_strdup (request->job);
  message->body = g_bytes_new (request->body.body_val, request->body.body_len);
  return true;
}

static bool
convert_response (const wire_response *response, MhControllerMessage *message, GError **error)
{
  if (response->state > MH_JOB_CANCELLED)
    return fail (error, MH_PROTOCOL_ERROR_OUT_OF_RANGE,
                 "state: unknown job state, expected 0 to 3");
  if (response->status < MIN_HTTP_STATUS || response->status > MAX_HTTP_STATUS)
    return fail (error, MH_PROTOCOL_ERROR_OUT_OF_RANGE,
                 "status: number out of range, expected 200 to 599");
  message->kind = MH_CONTROLLER_RESPONSE;
  message->id = response->id;
  message->response = (MhUserResponse){ .status = response->status,
                                        .retry_after_s = response->retry_after_s,
                                        .state = (MhJobState)response->state,
                                        .done = response->done,
                                        .running = response->running };
  return true;
}

static bool
convert_announcement (const wire_announcement *announcement, MhControllerMessage *message,
                      GError **error)
{
  if (*announcement->node == '\0')
    return fail (error, MH_PROTOCOL_ERROR_OUT_OF_RANGE, "node: empty, expected a name");
  message->kind = MH_CONTROLLER_ANNOUNCEMENT;
  message->node = g_strdup (announcement->node);
  message->epoch = announcement->epoch;
  return true;
}

static bool
convert_message (const wire_message *decoded, MhControllerMessage *message, GError **error)
{
  memset (message, 0, sizeof *message);
  switch (decoded->kind)
    {
    case WIRE_REQUEST:
      return convert_request (&decoded->wire_message_u.request, message, error);
    case WIRE_RESPONSE:
      return convert_response (&decoded->wire_message_u.response, message, error);
    case WIRE_ANNOUNCEMENT:
      return convert_announcement (&decoded->wire_message_u.announcement, message, error);
    }
  return fail (error, MH_PROTOCOL_ERROR_OUT_OF_RANGE,
               "kind: unknown kind of message, expected 1 to 3");
}

static bool
decode_record (const guint8 *data, guint32 size, MhControllerMessage *message, GError **error)
{
  XDR xdr;
  wire_message decoded;
  memset (&decoded, 0, sizeof decoded);
  xdrmem_create (&xdr, (char *)data, size, XDR_DECODE);
  bool valid = xdr_wire_message (&xdr, &decoded) && xdr_getpos (&xdr) == size;
  if (valid)
    valid = convert_message (&decoded, message, error);
  else
    fail (error, MH_PROTOCOL_ERROR_MALFORMED_XDR, "expected exactly one well-formed XDR message");
  xdr_free ((xdrproc_t)xdr_wire_message, (char *)&decoded);
  xdr_destroy (&xdr);
  return valid;
}

MhControllerReadResult
mh_controller_message_read (GByteArray *buffer, MhControllerMessage *message, GError **error)
{
  g_return_val_if_fail (buffer != NULL && message != NULL, MH_CONTROLLER_READ_MALFORMED);

  guint32 size;
  if (buffer->len < LENGTH_SIZE)
    return MH_CONTROLLER_READ_INCOMPLETE;
  memcpy (&size, buffer->data, LENGTH_SIZE);
  size = GUINT32_FROM_BE (size);
  if (size > MAX_RECORD_SIZE)
    {
      fail (error, MH_PROTOCOL_ERROR_OUT_OF_RANGE, "length prefix: larger than the largest record");
      return MH_CONTROLLER_READ_MALFORMED;
    }
  if (buffer->len < LENGTH_SIZE + size)
    return MH_CONTROLLER_READ_INCOMPLETE;
  bool valid = decode_record (buffer->data + LENGTH_SIZE, size, message, error);
  g_byte_array_remove_range (buffer, 0, LENGTH_SIZE + size);
  return valid ? MH_CONTROLLER_READ_MESSAGE : MH_CONTROLLER_READ_MALFORMED;
}
