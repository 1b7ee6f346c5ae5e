/* Priorities of the main loop. An iteration dispatches the sources of the first priority that is
   ready, and no others.

   A call takes several iterations: to connect, to send, and to receive. If requests had the same
   priority, all that wait would be handled before each of these steps, and under load a renewal of
   the leader lease would end after the lease. */
#pragma once

#include <glib.h>

/** MH_PRIORITY_MONITOR: measurement of the main loop itself */
#define MH_PRIORITY_MONITOR G_PRIORITY_HIGH
/** MH_PRIORITY_CALL: calls of this controller, whose number is bounded, and their responses;
 * libsoup uses it for its own sources */
#define MH_PRIORITY_CALL G_PRIORITY_DEFAULT
/** MH_PRIORITY_CALL_TIMEOUT: time limits of calls; a response that has arrived comes first */
#define MH_PRIORITY_CALL_TIMEOUT (G_PRIORITY_DEFAULT + 10)
/** MH_PRIORITY_REQUEST: requests of users, workers and other controllers, and messages of the
 * latter
 */
#define MH_PRIORITY_REQUEST (G_PRIORITY_DEFAULT + 20)
/** MH_PRIORITY_FORWARD_TIMEOUT: time limits of requests that were forwarded; a response that has
 * arrived comes first */
#define MH_PRIORITY_FORWARD_TIMEOUT (G_PRIORITY_DEFAULT + 30)
