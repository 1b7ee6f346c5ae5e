/* Everything outside the service by its published protocol: the key-value store, the cloud, the
   workers, and what jobs really do, with the account of the rules. No I/O, and no clock of its
   own: it can stand behind a simulated network or behind real servers. */
#pragma once

#include "protocol/request.h"
#include "stand-in/cloud.h"
#include "stand-in/key-value-store.h"
#include "stand-in/rule-checks.h"
#include "stand-in/worker-protocol.h"

/** Environment: The parts, each with a header of its own. */
typedef struct
{
  KeyValueStore *store;
  Cloud *cloud;
  Workload *workload;
  WorkerRuntime *runtime;
  RuleChecks *rules;
} Environment;

/** environment_new: @settings: of the services and the workers; must outlive it */
Environment *
environment_new (const MhSettings *settings, gint64 now_us);
/** environment_free: @environment: with all its parts */
void
environment_free (Environment *environment);
/**
 * environment_advance:
 * @now_us: time, not before the last one
 * @ended: (element-type EndedWatch): watches that are answered now are added
 *
 * Lets time pass: leases expire, machines come up, tasks run.
 */
void
environment_advance (Environment *environment, gint64 now_us, GArray *ended);
/**
 * environment_serve:
 * @target: the store or the cloud
 * @reply: (out): its answer
 *
 * Returns: false if the answer comes through environment_advance() under the request's token
 */
bool
environment_serve (Environment *environment, MhTarget target, const ServiceRequest *request,
                   ServiceReply *reply);
/** environment_running_tasks: Returns: how many tasks of the job have not ended on any machine */
guint
environment_running_tasks (const Environment *environment, const char *job_id);
/** environment_describe: Appends all that is stored, rented, running or told, in a fixed order. */
void
environment_describe (const Environment *environment, GString *out);
