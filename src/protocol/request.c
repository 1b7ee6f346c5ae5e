#include "protocol/request.h"

MhRequest *
mh_request_new (MhTarget target, const char *method, char *path, MhValue *body)
{
  g_return_val_if_fail (method != NULL && path != NULL, NULL);

  MhRequest *request = g_new0 (MhRequest, 1);
  request->target = target;
  request->method = method;
  request->path = path;
  request->body = body;
  return request;
}

MhRequest *
mh_request_copy (const MhRequest *request)
{
  g_return_val_if_fail (request != NULL, NULL);

  MhRequest *copy = g_new0 (MhRequest, 1);
  *copy = *request;
  copy->endpoint = g_strdup (request->endpoint);
  copy->path = g_strdup (request->path);
  if (request->body)
    cbor_incref (request->body);
  return copy;
}

void
mh_request_free (MhRequest *request)
{
  if (request == NULL)
    return;
  g_free (request->endpoint);
  g_free (request->path);
  mh_value_unref (request->body);
  g_free (request);
}
