#include "protocol/controller-messages.h"
#include "peer_xdr.h"
#include "protocol/wire.h"

#include <string.h>

/* The largest body, names and the numbers around them. */
#define RECORD_MAX (PEER_BODY_MAX + PEER_NAME_MAX + 256)
#define HEAD 4u

void
mh_controller_message_clear (MhControllerMessage *m)
{
  g_clear_pointer (&m->job, g_free);
  g_clear_pointer (&m->body, g_bytes_unref);
}

static GByteArray *
write_record (peer_message *m)
{
  XDR xdr;
  g_autofree char *room = g_malloc (RECORD_MAX);
  xdrmem_create (&xdr, room, RECORD_MAX, XDR_ENCODE);
  bool ok = xdr_peer_message (&xdr, m);
  guint32 size = xdr_getpos (&xdr), head = GUINT32_TO_BE (size);
  xdr_destroy (&xdr);
  if (!ok)
    return NULL;
  GByteArray *out = g_byte_array_sized_new (size + HEAD);
  g_byte_array_append (out, (const guint8 *)&head, HEAD);
  g_byte_array_append (out, (const guint8 *)room, size);
  return out;
}

GByteArray *
mh_controller_request_encode (guint64 id, MhUserVerb verb, const char *job, GBytes *body)
{
  gsize size = 0;
  const char *data = body ? g_bytes_get_data (body, &size) : NULL;
  peer_message m = { .kind = PEER_CALL };
  peer_call *call = &m.peer_message_u.call;
  call->id = id;
  call->verb = (peer_verb)verb;
  call->job = (char *)job;
  call->body.body_len = (u_int)size;
  call->body.body_val = (char *)data;
  return write_record (&m);
}

GByteArray *
mh_controller_response_encode (guint64 id, const MhUserAnswer *a)
{
  peer_message m = { .kind = PEER_ANSWER };
  m.peer_message_u.answer = (peer_answer){ .id = id,
                                           .status = a->status,
                                           .retry_after_s = a->retry_after_s,
                                           .state = a->state,
                                           .done = a->done,
                                           .running = a->running };
  return write_record (&m);
}

GByteArray *
mh_controller_announcement_encode (const char *node, guint64 epoch)
{
  peer_message m = { .kind = PEER_ANNOUNCEMENT };
  m.peer_message_u.announcement = (peer_announcement){ .node = (char *)node, .epoch = epoch };
  return write_record (&m);
}

static bool
take (const peer_message *x, MhControllerMessage *m)
{
  memset (m, 0, sizeof *m);
  if (x->kind == PEER_CALL)
    {
      const peer_call *call = &x->peer_message_u.call;
      if (call->verb < PEER_SUBMIT || call->verb > PEER_CANCEL || !mh_job_id_is_valid (call->job))
        return false;
      m->kind = MH_CONTROLLER_REQUEST;
      m->id = call->id;
      m->verb = (MhUserVerb)call->verb;
      m->job = g_strdup (call->job);
      m->body = g_bytes_new (call->body.body_val, call->body.body_len);
      return true;
    }
  if (x->kind == PEER_ANNOUNCEMENT)
    {
      m->kind = MH_CONTROLLER_ANNOUNCEMENT;
      m->id = x->peer_message_u.announcement.epoch;
      m->job = g_strdup (x->peer_message_u.announcement.node);
      return *m->job != '\0';
    }
  const peer_answer *a = &x->peer_message_u.answer;
  if (x->kind != PEER_ANSWER || a->state > MH_JOB_CANCELLED || a->status < 200 || a->status > 599)
    return false;
  m->kind = MH_CONTROLLER_RESPONSE;
  m->id = a->id;
  m->answer = (MhUserAnswer){ .status = a->status,
                              .retry_after_s = a->retry_after_s,
                              .state = (MhJobState)a->state,
                              .done = a->done,
                              .running = a->running };
  return true;
}

MhControllerReadResult
mh_controller_message_read (GByteArray *buffer, MhControllerMessage *message)
{
  guint32 size;
  if (buffer->len < HEAD)
    return MH_CONTROLLER_READ_INCOMPLETE;
  memcpy (&size, buffer->data, HEAD);
  size = GUINT32_FROM_BE (size);
  if (size > RECORD_MAX)
    return MH_CONTROLLER_READ_MALFORMED;
  if (buffer->len < HEAD + size)
    return MH_CONTROLLER_READ_INCOMPLETE;
  XDR xdr;
  peer_message x;
  memset (&x, 0, sizeof x);
  xdrmem_create (&xdr, (char *)buffer->data + HEAD, size, XDR_DECODE);
  bool ok = xdr_peer_message (&xdr, &x) && xdr_getpos (&xdr) == size && take (&x, message);
  xdr_free ((xdrproc_t)xdr_peer_message, (char *)&x);
  xdr_destroy (&xdr);
  g_byte_array_remove_range (buffer, 0, HEAD + size);
  return ok ? MH_CONTROLLER_READ_MESSAGE : MH_CONTROLLER_READ_MALFORMED;
}
