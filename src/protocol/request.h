/* Requests of a controller: who is asked, and for what. */
#pragma once

#include "protocol/value.h"

/**
 * MhTarget:
 * @MH_TARGET_KEY_VALUE_STORE: the consensus-backed key-value store
 * @MH_TARGET_CLOUD: the cloud
 * @MH_TARGET_WORKER: the worker of a machine
 *
 * Who is asked.
 */
typedef enum
{
  MH_TARGET_KEY_VALUE_STORE,
  MH_TARGET_CLOUD,
  MH_TARGET_WORKER
} MhTarget;

/**
 * MhRequest:
 * @target: who is asked
 * @method: HTTP method; a literal
 * @endpoint: (nullable): address and port of the worker; workers only
 * @path: path and query
 * @body: (nullable): what is sent along
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
 * @target: who is asked
 * @method: HTTP method; a literal
 * @path: (transfer full): path and query
 * @body: (nullable) (transfer full): what is sent along
 *
 * Returns: (transfer full): a request without an endpoint
 */
MhRequest *
mh_request_new (MhTarget target, const char *method, char *path, MhValue *body);

/**
 * mh_request_copy:
 * @request: a request
 *
 * Returns: (transfer full): a copy, which shares the body
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
