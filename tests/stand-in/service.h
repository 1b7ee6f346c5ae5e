/* A request to a stand-in of an HTTP service, and the response. */
#pragma once

#include "protocol/value.h"

/**
 * ServiceRequest:
 * @method: HTTP method
 * @path: path with query
 * @body: (nullable): decoded body
 * @token: by which the caller identifies the request if it is answered later
 *
 * The receiver takes ownership of nothing.
 */
typedef struct
{
  const char *method, *path;
  const MhValue *body;
  gpointer token;
} ServiceRequest;

/**
 * ServiceResponse:
 * @status: HTTP status
 * @body: (nullable): the caller must unref it
 */
typedef struct
{
  guint status;
  MhValue *body;
} ServiceResponse;
