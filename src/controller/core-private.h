/* The state of the core, which its modules share, and what core.c offers them. Each module has a
   header of its own. */
#pragma once

#include "controller/core.h"
#include "cluster/attempt.h"
#include "cluster/cluster.h"
#include "cluster/direct-command.h"
#include "cluster/heartbeat.h"
#include "cluster/image-wait.h"
#include "base/token-bucket.h"
#include "runtime/call-queue.h"
#include "cluster/failure-detection.h"
#include "cluster/task-failure.h"
#include "cluster/machine-registry.h"
#include "cluster/recovery.h"
#include "cluster/zone-silence.h"
#include "jobs/job.h"
#include "election/election.h"
#include "election/leader-record.h"
#include "storage/load.h"
#include "storage/lookup.h"
#include "placement/candidate.h"
#include "placement/filter.h"
#include "placement/gang-attempt.h"
#include "placement/gang-placement.h"
#include "placement/infeasible.h"
#include "placement/placement.h"
#include "placement/preemption.h"
#include "placement/quota.h"
#include "placement/resources.h"
#include "placement/score.h"
#include "placement/victim.h"
#include "jobs/final-answers.h"
#include "jobs/job-queue.h"
#include "jobs/objective.h"
#include "jobs/runtime-estimate.h"
#include "storage/rechunk.h"
#include "storage/record.h"
#include "autoscaler/autoscaler.h"
#include "placement/topology-spread.h"
#include "cluster/recovery.h"
#include "storage/record-state.h"
#include "storage/record-writer.h"

struct MhCore
{
  const MhSettings *settings;
  MhNow now; /* of the runtime; for modules that do not have it yet */
  MhRuntime *runtime;
  MhCallQueue *calls;

  MhElection *election;
  MhRecovery *recovery;

  /* storage */
  MhRecordWriter *record_writer;
  MhRecordLoader *record_loader;
  MhJobLookup *job_lookup;

  /* leader's memory */
  GHashTable *jobs; /* id -> MhJob */
  MhFinalAnswers *final_answers;
  MhJobQueue *job_queue;
  MhCluster *cluster;
  MhRuntimeEstimator *runtime_estimator;
  MhGangAttempts *gang_attempts;
  MhPlacement *placement;
  GHashTable *forwards; /* request id -> job id */

  MhAutoscaler *autoscaler;
};

void
mh_core_step (MhCore *core);
/* The objects of src/storage, and what they tell; see core-storage.c. */
void
mh_core_storage_init (MhCore *core);
void
mh_core_storage_free (MhCore *core);
/* leadership.c: what the controller does as leadership comes and goes. */
const MhElectionCallbacks *
mh_core_election_callbacks (void);
/* leadership.c: notes whether the machines have reported to a new leader. */
void
mh_core_update_recovery (MhCore *core);
/* For modules that still take the whole core; see src/runtime. */
typedef void (*MhCoreReplyFunc) (MhCore *core, gpointer data, guint status, const MhValue *body);
void
mh_core_call (MhCore *core, MhCallClass class, MhRequest *request, double writes, gint64 timeout_us,
              MhCoreReplyFunc func, gpointer data, GDestroyNotify free);
void
mh_core_answer_job (MhCore *core, guint64 id, const MhJob *job, guint status);
void
mh_core_final (MhCore *core, const char *id, const MhUserAnswer *answer);
#define mh_core_act(core, kind, id) mh_runtime_act ((core)->runtime, kind, id)
#define mh_core_answer(core, id, status, retry_after_s)                                            \
  mh_runtime_answer_user ((core)->runtime, id, status, retry_after_s)
#define mh_core_wake_at(core, at_us) mh_runtime_wake_at ((core)->runtime, at_us)
#define mh_core_log(core, ...) mh_runtime_log ((core)->runtime, __VA_ARGS__)
#define mh_info_limited(core, subject, ...)                                                        \
  mh_log_info_limited ((core)->runtime, subject, __VA_ARGS__)
#define mh_info(core, ...) mh_log_info ((core)->runtime, __VA_ARGS__)
#define mh_debug(core, ...) mh_log_debug ((core)->runtime, __VA_ARGS__)
