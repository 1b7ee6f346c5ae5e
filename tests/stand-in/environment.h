/* Everything outside the service, by the published protocol: the key-value store, the cloud, the
   workers, the workload of the jobs, and the rule checks. It does no I/O and has no clock of its
   own, so that it can run behind a simulated network or behind real servers. */
#pragma once

#include "protocol/request.h"
#include "stand-in/cloud.h"
#include "stand-in/key-value-store.h"
#include "stand-in/rule-checks.h"
#include "stand-in/worker-protocol.h"

/** Environment: The parts of the environment. Each has its own header. */
typedef struct
{
  KeyValueStore *store;
  Cloud *cloud;
  Workload *workload;
  WorkerRuntime *runtime;
  RuleChecks *rules;
} Environment;

/** environment_new: @settings: of the services and the workers; must outlive the environment */
Environment *
environment_new (const MhSettings *settings, gint64 now_us);
/** environment_free: Frees @environment with all its parts. */
void
environment_free (Environment *environment);
/**
 * environment_advance:
 * @now_us: new time, not before the previous one
 * @ended: (element-type EndedWatch): the watches that end now are appended
 *
 * Advances the time: leases expire, machines finish booting, tasks make progress.
 */
void
environment_advance (Environment *environment, gint64 now_us, GArray *ended);
/**
 * environment_serve:
 * @target: the key-value store or the cloud
 * @response: (out): the response
 *
 * Returns: false if the request is a watch, which environment_advance() answers later under the
 * token of the request
 */
bool
environment_serve (Environment *environment, MhTarget target, const ServiceRequest *request,
                   ServiceResponse *response);
/** environment_running_tasks: Returns: how many tasks of the job are on machines and have not ended
 */
guint
environment_running_tasks (const Environment *environment, const char *job_id);
/** environment_describe: Appends the state of the environment to @out in a fixed order: counters,
 * keys, machines, create requests, jobs and violations. */
void
environment_describe (const Environment *environment, GString *out);
