/* What the cases share: three controllers as separate processes over the project's stand-ins, a
   cloud that can be taken out, requests of a user, and the record of all that happened. */
#pragma once

#include "loopback-cluster.h"

/**
 * Answer:
 * @status: HTTP status; 0: no response in time
 * @state: (nullable): "status" of the body
 */
typedef struct
{
  guint status;
  char *state;
} Answer;

/** harness_record: Appends a line with the time since the start to record.txt. */
void
harness_record (const char *format, ...) G_GNUC_PRINTF (1, 2);
/** harness_start: Reads the arguments PROGRAM RECORD, starts the stand-ins and the controllers, and
 * waits until all are ready. Ends the process with status 2 if that fails. */
LoopbackCluster *
harness_start (int argc, char **argv, const char *settings, gint64 heartbeat_interval_us);
/** harness_has_trouble: Returns: false with TROUBLE=0 */
bool
harness_has_trouble (void);
/** harness_wait: Serves the stand-ins for that long. */
void
harness_wait (double seconds);
/** harness_ask: Sends a request of a user and waits for its answer, as long as the pages say. */
Answer
harness_ask (guint node, const char *method, const char *path, GBytes *body);
/** harness_find_leader: Returns: the controller that the key-value store names, or -1 */
int
harness_find_leader (void);
/** harness_kill: Kills a controller. */
void
harness_kill (guint node);
/** harness_restart: Starts a controller that was killed. */
void
harness_restart (guint node);
/** harness_set_cloud_out: The cloud answers 503 {"error":"trouble"} as long as @out. */
void
harness_set_cloud_out (bool out);
/** harness_finish: Ends all controllers, records the result and ends the process: with 1 if
 * @broken, else 0. */
void
harness_finish (bool broken, const char *result) G_GNUC_NORETURN;
/** harness_give_up: Ends all controllers and the process with 2: the case could not run. */
void
harness_give_up (const char *reason) G_GNUC_NORETURN;
