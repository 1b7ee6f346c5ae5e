#include "server/http-exchange.h"

#include <string.h>

/* Size of a body from which the connection is closed instead of reading the rest. */
#define MAX_DISCARDED_SIZE (16 * MH_MAX_BODY_SIZE)

struct MhHttpExchange
{
  struct MHD_Connection *connection;
  GSource *source; /* runs the daemon */
  char *method;
  char *path;
  GByteArray *body;              /* NULL: none yet */
  gsize body_size;               /* received, whether kept or not */
  struct MHD_Response *response; /* NULL: none yet */
  guint status;
  bool suspended;
};

MhHttpExchange *
mh_http_exchange_new (struct MHD_Connection *connection, GSource *source, const char *method,
                      const char *path)
{
  MhHttpExchange *self = g_new0 (MhHttpExchange, 1);
  self->connection = connection;
  self->source = source;
  self->method = g_strdup (method);
  self->path = g_strdup (path);
  return self;
}

void
mh_http_exchange_free (MhHttpExchange *self)
{
  if (self == NULL)
    return;
  g_clear_pointer (&self->response, MHD_destroy_response);
  g_clear_pointer (&self->body, g_byte_array_unref);
  g_free (self->method);
  g_free (self->path);
  g_free (self);
}

const char *
mh_http_exchange_get_method (const MhHttpExchange *self)
{
  return self->method;
}

const char *
mh_http_exchange_get_path (const MhHttpExchange *self)
{
  return self->path;
}

bool
mh_http_exchange_append_body (MhHttpExchange *self, const void *data, gsize size)
{
  self->body_size += size;
  if (mh_http_exchange_is_too_large (self))
    {
      g_clear_pointer (&self->body, g_byte_array_unref);
      return self->body_size <= MAX_DISCARDED_SIZE;
    }
  if (self->body == NULL)
    self->body = g_byte_array_new ();
  g_byte_array_append (self->body, data, (guint)size);
  return true;
}

bool
mh_http_exchange_is_too_large (const MhHttpExchange *self)
{
  return self->body_size > MH_MAX_BODY_SIZE;
}

GBytes *
mh_http_exchange_get_body (const MhHttpExchange *self)
{
  return self->body ? g_bytes_new (self->body->data, self->body->len) : g_bytes_new (NULL, 0);
}

static void
add_header (struct MHD_Response *response, const char *name, const char *value)
{
  if (value)
    MHD_add_response_header (response, name, value);
}

static struct MHD_Response *
create_response (const MhHttpResponse *response)
{
  gsize size = 0;
  const void *data = response->body ? g_bytes_get_data (response->body, &size) : NULL;
  struct MHD_Response *result
      = MHD_create_response_from_buffer (size, (void *)data, MHD_RESPMEM_MUST_COPY);
  add_header (result, MHD_HTTP_HEADER_CONTENT_TYPE, response->media_type);
  add_header (result, MHD_HTTP_HEADER_ALLOW, response->allow);
  add_header (result, MHD_HTTP_HEADER_CONNECTION, response->close ? "close" : NULL);
  if (response->retry_after_s)
    {
      g_autofree char *retry_after = g_strdup_printf ("%u", response->retry_after_s);
      add_header (result, MHD_HTTP_HEADER_RETRY_AFTER, retry_after);
    }
  return result;
}

void
mh_http_exchange_respond (MhHttpExchange *self, const MhHttpResponse *response)
{
  g_return_if_fail (self != NULL && self->response == NULL);
  self->response = create_response (response);
  self->status = response->status;
  if (!self->suspended)
    return;
  self->suspended = false;
  MHD_resume_connection (self->connection);
  g_source_set_ready_time (self->source, 0);
}

bool
mh_http_exchange_has_response (const MhHttpExchange *self)
{
  return self->response != NULL;
}

bool
mh_http_exchange_send_or_suspend (MhHttpExchange *self)
{
  if (self->response)
    return MHD_queue_response (self->connection, self->status, self->response) == MHD_YES;
  self->suspended = true;
  MHD_suspend_connection (self->connection);
  return true;
}

bool
mh_http_exchange_is_suspended (const MhHttpExchange *self)
{
  return self->suspended;
}
