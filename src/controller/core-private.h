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
#include "autoscaler/consolidation.h"
#include "autoscaler/demand.h"
#include "cluster/failure-detection.h"
#include "cluster/task-failure.h"
#include "cluster/machine-registry.h"
#include "cluster/zone-silence.h"
#include "autoscaler/inventory.h"
#include "jobs/job.h"
#include "election/election.h"
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
#include "autoscaler/scale-in.h"
#include "autoscaler/scale-out.h"
#include "autoscaler/capacity-estimate.h"
#include "autoscaler/autoscaler.h"
#include "placement/topology-spread.h"
#include "storage/record-writer.h"

typedef struct
{
  guint64 id;
  MhRequest *request;
  gint64 timeout_us;
  double writes;
} MhQueued;

typedef struct
{
  MhReplyFunc func;
  gpointer data;
  GDestroyNotify free;
  bool to_worker; /* and has left */
} MhCall;

/* Subjects of which thousands of machines or calls may give a line at once. */
typedef enum
{
  MH_LOG_BOOT,
  MH_LOG_STATE,
  MH_LOG_PEER
} MhLogSubject;
#define MH_LOG_SUBJECTS 3

struct MhCore
{
  const MhSettings *settings;
  MhNow now;
  guint64 next_id;
  GQueue actions;
  gint64 wake_us;
  gint64 awake_us; /* since it last stood still, or refused all workers; 0: it never did */

  GHashTable *calls; /* id -> MhCall */
  GQueue state_queue[MH_RANKS], cloud_queue[MH_RANKS];
  GQueue worker_queue; /* MhQueued: calls that wait until others are over */
  guint worker_calls;  /* under way */
  MhBucket state_bucket, write_bucket, cloud_bucket;
  gint64 state_pause_us, cloud_pause_us;

  struct
  {
    MhPhase phase;
    char *node;    /* who leads, as far as known */
    guint64 epoch; /* that node's */
    guint64 key_version;
    guint64 own_epoch; /* while leading: the first of MH_EPOCHS_EACH */
    guint64 own_version;
    guint64 lease_id;
    gint64 valid_until_us; /* of the lease, by the steady clock */
    gint64 confirmed_us;   /* a renewal that was answered was sent then */
    gint64 renew_us;
    bool renewing, busy;
    gint64 retry_us;
    gint64 since_us;               /* leading since */
    gint64 usable_us;              /* when a usable leader was last known */
    gint64 unreached_us, tried_us; /* users' requests have not reached it since; the last one */
    const char *lost;              /* why, until the next step */
    bool hands_over;               /* ... and another one shall lead */
    gint64 shy_until_us;
    guint vain_hand_overs; /* because no worker was heard, and none has been since */
    bool rebuilt;          /* every machine that should has reported, or has had the time */
    gint64 rebuild_until_us;
    gint64 announced_us;
  } leader;

  /* leader's memory */
  GHashTable *jobs;       /* id -> MhJob */
  GHashTable *unreadable; /* ids of jobs whose records are not understood: nothing is guessed */
  MhFinalAnswers *final_answers;
  MhJobQueue *job_queue;
  GQueue dirty[MH_URGENCIES]; /* MhRecord */
  GQueue garbage;             /* keys to drop */
  struct
  {
    bool lowered; /* the state service was found to hold to its next rate of changes */
    bool durable, writing;
  } limits;   /* on record, so that no later leader has to find out */
  guint txns; /* in flight */
  guint64 rev;
  MhCluster *cluster;
  MhRuntimeEstimator *runtime_estimator;
  gint64 log_us[MH_LOG_SUBJECTS]; /* no further line on the subject before */
  MhGangAttempts *gang_attempts;
  MhPlacement *placement;
  GHashTable *forwards; /* request id -> job id */
  GHashTable *lookups;  /* job id -> reads under way for its users; not owned */

  struct
  {
    gint64 types_us, list_us, step_us, summary_us;
    bool types_busy, list_busy, renting, listed;
    guint64 rentals;
    guint list_pages;    /* of the list that is being read, or was last */
    double lost_cpus;    /* in use on machines that failed, and not rented again yet */
    GHashTable *refused; /* type/zone/kind -> gint64 until */
  } scale;

  struct
  {
    GQueue wanted; /* Lot */
    gint64 next_us;
    guint parcels, under_way;
  } release;
};

void
mh_core_step (MhCore *core);
MhAction *
mh_core_act (MhCore *core, MhActionKind kind, guint64 id);
/* Queues a call on its bucket; the request is taken over. */
void
mh_core_call (MhCore *core, MhRank rank, MhRequest *request, double writes, gint64 timeout_us,
              MhReplyFunc func, gpointer data, GDestroyNotify free);
/* Sends what the buckets allow. */
void
mh_core_flush (MhCore *core);
/* Forgets all calls; replies that still come are ignored. */
void
mh_core_drop_calls (MhCore *core);
/* A call to the state service was not answered, or not carried out for now: further ones wait. */
void
mh_core_state_call_failed (MhCore *core, guint status);
/* Says so in the log, once a second at the most. */
void
mh_core_log_state_failure (MhCore *core, guint status);
/* The rate of changes that was announced as the next one holds from now on. */
void
mh_core_lower_write_rate (MhCore *core);
void
mh_core_answer (MhCore *core, guint64 id, guint status, guint retry_after_s);
void
mh_core_answer_job (MhCore *core, guint64 id, const MhJob *job, guint status);
void
mh_core_wake_at (MhCore *core, gint64 at_us);
void
mh_core_log (MhCore *core, GLogLevelFlags level, const char *format, ...) G_GNUC_PRINTF (3, 4);
void
mh_core_final (MhCore *core, const char *id, const MhUserAnswer *answer);
/* Whether a line on the subject is due: one a second. */
bool
mh_core_may_log (MhCore *core, MhLogSubject subject);
#define mh_info_limited(core, subject, ...)                                                        \
  G_STMT_START                                                                                     \
  {                                                                                                \
    if (mh_core_may_log (core, subject))                                                           \
      mh_core_log (core, G_LOG_LEVEL_INFO, __VA_ARGS__);                                           \
  }                                                                                                \
  G_STMT_END
#define mh_info(core, ...) mh_core_log (core, G_LOG_LEVEL_INFO, __VA_ARGS__)
#define mh_debug(core, ...) mh_core_log (core, G_LOG_LEVEL_DEBUG, __VA_ARGS__)
