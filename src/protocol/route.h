/* What a request of a user, a worker or the load balancer asks this node for, by its path. */
#pragma once

#include <glib.h>

/**
 * MH_MAX_BODY:
 *
 * The largest body of a request, in bytes (PROTOCOL, the head of the page).
 */
#define MH_MAX_BODY ((gsize)65536)

/**
 * MhRoute:
 * @MH_ROUTE_NONE: there is no such path
 * @MH_ROUTE_READY: the load balancer's health check
 * @MH_ROUTE_HEARTBEAT: a worker's heartbeat
 * @MH_ROUTE_SUBMIT: a user's submission
 * @MH_ROUTE_STATUS: a user asks for the state of a job
 * @MH_ROUTE_CANCEL: a user cancels a job
 *
 * What a request asks for.
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
 * @path: path of a request, without a query
 * @method: (out): the only HTTP method that is allowed, a literal; not set for %MH_ROUTE_NONE
 * @job: (out) (transfer full): what stands for the job id, any text; set for %MH_ROUTE_STATUS and
 *   %MH_ROUTE_CANCEL only
 *
 * Returns: what is asked for
 */
MhRoute
mh_route_find (const char *path, const char **method, char **job);
