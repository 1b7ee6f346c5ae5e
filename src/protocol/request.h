/* Requests that a controller sends to the key-value store, the cloud and workers. */
#pragma once

#include "protocol/value.h"

/**
 * MhTarget:
 * @MH_TARGET_KEY_VALUE_STORE: the consensus-backed key-value store
 * @MH_TARGET_CLOUD: the cloud
 * @MH_TARGET_WORKER: the worker of a machine
 *
 * The receiver of a request.
 */
typedef enum
{
  MH_TARGET_KEY_VALUE_STORE,
  MH_TARGET_CLOUD,
  MH_TARGET_WORKER
} MhTarget;

/**
 * MhRequest:
 * @target: receiver
 * @method: HTTP method; a static string
 * @endpoint: (nullable): address and port; workers only
 * @path: URL path and query
 * @body: (nullable): body
 *
 * An HTTP request. It owns @endpoint and @path, and a reference to @body.
 */
typedef struct
{
  MhTarget target;
  const char *method;
  char *endpoint;
  char *path;
  MhValue *body;
} MhRequest;

/**
 * mh_request_new:
 * @target: receiver
 * @method: HTTP method; a static string
 * @path: (transfer full): URL path and query
 * @body: (nullable) (transfer full): body
 *
 * Returns: (transfer full): a request without an endpoint
 */
MhRequest *
mh_request_new (MhTarget target, const char *method, char *path, MhValue *body);

/**
 * mh_request_copy:
 * @request: a request
 *
 * Returns: (transfer full): a copy with a reference to the same body
 */
MhRequest *
mh_request_copy (const MhRequest *request);

/**
 * mh_request_free:
 * @request: (nullable) (transfer full): a request
 */
void
mh_request_free (MhRequest *request);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (MhRequest, mh_request_free)
