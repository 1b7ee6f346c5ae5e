/* Routes the requests of users, workers and the load balancer by their URL paths. */
#pragma once

#include <glib.h>

/**
 * MH_MAX_BODY_SIZE:
 *
 * The largest body of a request, in bytes (PROTOCOL, introduction).
 */
#define MH_MAX_BODY_SIZE ((gsize)65536)

/**
 * MhRoute:
 * @MH_ROUTE_NONE: no route has the path
 * @MH_ROUTE_READY: readiness probe of the load balancer
 * @MH_ROUTE_HEARTBEAT: heartbeat of a worker
 * @MH_ROUTE_SUBMIT: submission of a job
 * @MH_ROUTE_STATUS: request for the state of a job
 * @MH_ROUTE_CANCEL: cancellation of a job
 *
 * The operation that a request is routed to.
 */
typedef enum
{
  MH_ROUTE_NONE,
  MH_ROUTE_READY,
  MH_ROUTE_HEARTBEAT,
  MH_ROUTE_SUBMIT,
  MH_ROUTE_STATUS,
  MH_ROUTE_CANCEL
} MhRoute;

/**
 * mh_route_find:
 * @path: URL path of a request, without the query
 * @method: (out): the only allowed HTTP method, a static string; not set for %MH_ROUTE_NONE
 * @job: (out) (transfer full): the path segment in the position of the job id, not validated; set
 *   for %MH_ROUTE_STATUS and %MH_ROUTE_CANCEL only
 *
 * Returns: the route
 */
MhRoute
mh_route_find (const char *path, const char **method, char **job);
