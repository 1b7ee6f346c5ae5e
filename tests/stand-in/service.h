/* One request to a stand-in for an HTTP service, and its answer. */
#pragma once

#include "protocol/value.h"

/**
 * ServiceRequest:
 * @method: HTTP method
 * @path: path with its query
 * @body: (nullable): decoded body
 * @token: what the caller calls the request by, if it is answered later
 *
 * Nothing of it is taken over.
 */
typedef struct
{
  const char *method, *path;
  const MhValue *body;
  gpointer token;
} ServiceRequest;

/**
 * ServiceReply:
 * @status: HTTP status
 * @body: (nullable): the caller's to unref
 */
typedef struct
{
  guint status;
  MhValue *body;
} ServiceReply;
