/* What the parts of the core share. */
#pragma once

#include "core.h"

typedef struct MhJob MhJob;
typedef struct MhMachine MhMachine;
typedef struct MhAttempt MhAttempt;
typedef struct MhRecord MhRecord;

typedef struct
{
  double cpus, gpus; /* what may be in use */
} MhUse;

/* ---- budget: token buckets, and calls that wait for one in order of rank ---- */

typedef struct
{
  double rate, burst, tokens;
  gint64 at_us;
} MhBucket;

void
mh_bucket_init (MhBucket *bucket, double rate, double burst, gint64 now_us);
bool
mh_bucket_has (MhBucket *bucket, double tokens, gint64 now_us);
void
mh_bucket_take (MhBucket *bucket, double tokens);

typedef enum
{
  MH_RANK_LEASE,   /* keeping leadership */
  MH_RANK_RULES,   /* what keeps the rules: reloads, cancellations, releases */
  MH_RANK_WORK,    /* starts, finishes, rentals */
  MH_RANK_STRANGER /* reads for users about jobs that are not in memory */
} MhRank;
#define MH_RANKS 4

/* A reply; `status` 0 means that none came. */
typedef void (*MhReplyFunc) (MhCore *core, gpointer data, guint status, const MhValue *body);

/* ---- job ---- */

typedef enum
{
  MH_TASK_PENDING,
  MH_TASK_LIVE, /* an attempt may be on a machine */
  MH_TASK_DONE
} MhTaskState;

typedef struct
{
  MhAttempt *live;
  guint32 attempt; /* the last one given out */
  guint8 state;
} MhTask;

/* A record in the state service: chunk 0 carries the job itself. */
struct MhRecord
{
  MhJob *job;
  guint chunk;
  guint64 version;       /* 0: does not exist yet */
  guint64 rev;           /* of memory */
  guint64 durable;       /* of the state service */
  guint64 rechunked_rev; /* ... while the job is being re-chunked, and counts only after that */
  guint urgency;         /* in which queue, while queued */
  guint again;           /* ... once it is written */
  bool queued, writing;
};

typedef struct
{
  guint64 id;
  MhUserVerb verb;
} MhWaiter;

struct MhJob
{
  MhJobSpec *spec;
  GRefString *image, *zone; /* the spec's, interned: compared by address; zone NULL: any */
  gint64 submitted_wall_us, submitted_us;
  MhTask *tasks;
  MhRecord *records;
  guint n_records, chunk; /* tasks in one record */
  guint n_done, n_live, n_running;
  guint n_unheard;     /* live attempts on machines that have not reported to this leader */
  guint cursor;        /* no pending task below it */
  bool accepted;       /* its first record is durable */
  bool cancelled;      /* the user asked */
  bool cancel_durable; /* and may be told so */
  bool finished;       /* nothing left to do: the final record is wanted */
  bool final;          /* ... and durable */
  MhJobState final_state;
  GArray *waiters; /* MhWaiter */
  /* placement */
  bool guaranteed;
  guint errors;            /* failures in a row, on different machines */
  gint64 retry_us;         /* no start before */
  gint64 wanted_us;        /* pending and unplaced since; 0: not */
  gint64 start_by_us;      /* the latest start that is in time */
  gint64 run_us, fetch_us; /* expected, of a task; kept by the plan of rentals */
  bool hopeless;           /* no aim can be met any more */
  /* of a gang */
  bool ending;           /* a task of the attempt is over, or all are told to stop */
  gint64 gathering_us;   /* a task waits for the others since; 0: none was seen to */
  guint held;            /* tasks for which room is held, in this pass, */
  const char *held_zone; /* in the only zone that it may come to; interned, NULL: any */
  /* re-chunked in smaller records: see store.c */
  guint unchunked_records; /* that are being replaced; 0: none are */
  bool starved;            /* nothing of it has begun for long */
};

/* `chunk` 0: as large as values of `value_bytes` take. */
MhJob *
mh_job_new (MhJobSpec *spec, guint chunk, guint value_bytes, gint64 submitted_wall_us,
            const MhNow *now);
void
mh_job_free (MhJob *job);
MhRecord *
mh_job_record (MhJob *job, guint index); /* that holds task `index` */
guint
mh_job_pending (const MhJob *job);
bool
mh_job_over (const MhJob *job); /* takes no more starts */
gint64
mh_job_grace_us (const MhJob *job);
void
mh_job_answer (const MhJob *job, MhUserAnswer *answer);
/* How many tasks' entries fit a value beside the job itself; 0: the job alone is too large. */
guint
mh_job_chunk (const MhJobSpec *spec, guint value_bytes);

/* ---- record: the stored form ---- */

char *
mh_record_key (const char *job, guint chunk);
MhValue *
mh_record_write (const MhRecord *record, const char *tag);
MhValue *
mh_record_write_final (const MhJob *job, const char *tag);
/* The lease tells an earlier life of the same node from this one. */
MhValue *
mh_record_write_leader (const char *node, guint64 epoch, guint64 lease_id);
/* Keys of machines that are being given back begin with this. */
#define MH_RECORD_RELEASES "r/"
MhValue *
mh_record_write_release (char **machines);
char **
mh_record_read_release (const MhValue *value); /* NULL: malformed */
MhValue *
mh_record_write_epoch (guint64 epoch);
bool
mh_record_read_leader (const MhValue *value, char **node, guint64 *epoch, guint64 *lease_id);
bool
mh_record_read_epoch (const MhValue *value, guint64 *epoch);
bool
mh_record_read_final (const MhValue *value, MhUserAnswer *answer);
char *
mh_record_read_tag (const MhValue *value);
/* Reads the job's own part of chunk 0. */
MhJobSpec *
mh_record_read_job (const MhValue *value, const char *id, gint64 *submitted_wall_us, guint *chunk,
                    bool *cancelled);
typedef void (*MhRecordTaskFunc) (gpointer data, guint index, guint32 attempt,
                                  const char *machine /* NULL: done */);
bool
mh_record_read_tasks (const MhValue *value, MhRecordTaskFunc each, gpointer data);

/* ---- fleet ---- */

struct MhAttempt
{
  MhJob *job;
  guint index;
  guint32 attempt;
  MhMachine *machine;
  guint64 need_rev; /* the record's rev that must be durable before it is sent */
  bool loaded;      /* known from a record: what was sent, nobody here knows */
  bool start_sent;  /* a start may have left this process */
  guint64 start_session;
  guint64 start_sequence; /* report whose response last carried the start; 0: none */
  bool first;             /* of a job that was starved */
  bool seen;              /* reported on the machine */
  bool present;           /* in the report at hand */
  bool stopping;          /* is to be stopped */
  gint64 grace_us;
  gint64 stop_sent_us; /* when last told directly */
  MhTaskPhase phase;
  gint64 placed_us, running_us;
};

/* A start that was sent straight to the worker: it, or a late copy of it, may be carried out at any
   later time, as long as token and session still match. */
typedef struct
{
  char *job;
  guint index;
  guint64 attempt, token, session;
  bool answered; /* that it was carried out */
  bool lost;     /* no answer will come */
} MhUnacknowledgedStart;

/* A task on a machine that is no live attempt of ours. */
typedef struct
{
  char *job;
  guint index;
  guint64 attempt;
  bool ended, done;
} MhOrphan;

typedef struct
{
  GRefString *name;
  double gb;
} MhCached;

struct MhMachine
{
  char *name, *endpoint, *type_name;
  GRefString *zone; /* interned */
  const MhMachineType *type;
  guint type_index, zone_index; /* zone: in this pass */
  bool spot;
  bool reported;         /* to this leader, for certain: with its token, or asked by it */
  bool draining;         /* takes nothing new; what it holds is moved */
  bool releasing;        /* decided; holds until it is confirmed */
  bool probing;          /* being asked whether it is alive */
  guint failed_probes;   /* probes in a row without an answer */
  guint ignored_answers; /* answers in a row that its next report shows nothing of */
  guint64 answered_token,
      answered_sequence; /* the last answer to a report: its token, that report's sequence number */
  bool told;             /* ... must show in the next one */
  bool commands_due;     /* is to be looked at for commands */
  gint64 last_report_us; /* of the last report that it sent by itself, or the first word */
  bool running;          /* listed as such */
  gint64 known_us, rented_us, heard_us, idle_us;
  gint64 probed_us; /* for its report, for the first time since it was silent */
  guint64 probed_session, probed_sequence; /* of the newest that was known when it was last asked */
  gint64 unverified_us;                    /* a report of unknown age came */
  gint64 notice_until_us;                  /* -1: no notice */
  guint64 session, sequence, token;
  guint fence;            /* how often its token was raised in this leadership */
  gint64 held_us;         /* a clear has waited for that since then; 0: none */
  GPtrArray *attempts;    /* MhAttempt */
  GArray *unacknowledged; /* MhUnacknowledgedStart, for which its token has not been raised */
  GArray *orphans;        /* MhOrphan */
  GPtrArray *cache;       /* MhCached */
  guint direct;           /* direct commands without an answer yet */
  guint errors;           /* failed tasks in a row */
  guint replicas;         /* attempts of services */
  guint unknown;          /* tasks in its last report of jobs whose records are not understood */
  char *error_job;
  double used_cpus, used_gpus, used_mem;
  double promised_cpus, promised_mem; /* to tasks that wait for preempted ones, in this pass */
  gint64 hold_us;                     /* no start before: it refused one */
};

static inline MhAttempt *
mh_machine_attempt (const MhMachine *machine, guint index)
{
  return g_ptr_array_index (machine->attempts, index);
}

MhMachine *
mh_fleet_machine (MhCore *core, const char *name);
MhMachine *
mh_fleet_add (MhCore *core, const char *name, const char *type, const char *zone, bool spot);
/* What a machine is that was known from a record alone. */
void
mh_fleet_identify (MhCore *core, MhMachine *machine, const char *type, const char *zone, bool spot);
void
mh_fleet_types_changed (MhCore *core);
/* How long nothing has come that should have, since `heard_us`. */
gint64
mh_fleet_silence_us (const MhCore *core, gint64 heard_us);
bool
mh_fleet_silent (const MhCore *core, const MhMachine *machine, gint64 for_us);
/* Images by interned names. */
bool
mh_fleet_cached (const MhMachine *machine, const GRefString *image);
gint64
mh_fleet_image_wait (const MhCore *core, const MhMachine *machine, const GRefString *image,
                     double gb);
double
mh_fleet_hourly (const MhMachine *machine); /* its price; the type must be known */
double
mh_fleet_cpu_hourly (const MhMachine *machine); /* ... by the cpu */
/* The worker's answer to a question or a command of this leader; false: nothing newer. */
bool
mh_fleet_answered (MhCore *core, MhMachine *machine, const MhReport *report);
/* For how long a leader that cannot renew its lease may keep workers' tasks alive. */
gint64
mh_fleet_keep_alive_us (const MhCore *core);
void
mh_fleet_clear (MhCore *core);
void
mh_fleet_loaded (MhCore *core);
void
mh_fleet_stop_job (MhCore *core, MhJob *job);
void
mh_fleet_report (MhCore *core, guint64 id, const MhReport *report);
void
mh_fleet_step (MhCore *core);
/* Its release is confirmed: the machine is forgotten but for its name. */
void
mh_fleet_gone (MhCore *core, MhMachine *machine);
bool
mh_fleet_returned (const MhCore *core, const char *name);
MhAttempt *
mh_fleet_attempt_new (MhCore *core, MhJob *job, guint index, guint32 attempt, MhMachine *machine);
/* A gang is stopped whole. */
void
mh_fleet_stop (MhCore *core, MhAttempt *attempt, gint64 grace_us);
/* Known to be done though no attempt of ours showed it. */
void
mh_fleet_task_done (MhCore *core, MhJob *job, guint index);
/* The attempt can no longer run: room, quota and task are free again. */
void
mh_fleet_attempt_over (MhCore *core, MhAttempt *attempt, bool done);
/* Nothing is to be made of it any more; its job goes away. */
void
mh_fleet_attempt_forget (MhCore *core, MhAttempt *attempt);
void
mh_fleet_cache (MhMachine *machine, GRefString *image, double gb);
/* Its commands are looked at in this step, not with the next sweep. */
void
mh_fleet_send_commands (MhCore *core, MhMachine *machine);
void
mh_fleet_free_machine (gpointer machine);

/* ---- order ---- */

void
mh_command_init (MhCore *core);
/* The fencing token that the machine is told: those of a leadership begin with own_epoch. NULL: not
 * known.
 */
guint64
mh_command_token (const MhCore *core, const MhMachine *machine);
/* A direct start of the attempt that is not fenced yet. */
MhUnacknowledgedStart *
mh_command_unacknowledged (const MhMachine *machine, const char *job, guint index, guint64 attempt);
/* Forgets those that the token in its last report fences. */
void
mh_command_forget_fenced (MhMachine *machine);
/* Raises its token where something waits for that. */
void
mh_command_fence (MhCore *core, MhMachine *machine);
void
mh_command_collect (MhCore *core, MhMachine *machine, GArray *commands);
/* Stops for the tasks of cancelled jobs alone. */
void
mh_command_collect_cancelled (const MhMachine *machine, GArray *commands);
/* Whether a command would leave for the machine now. */
bool
mh_command_reaches (const MhCore *core, const MhMachine *machine);
/* Directly, what has not been said. `token_only`: even if that is nothing but the token. */
void
mh_command_send (MhCore *core, MhMachine *machine, bool token_only);

/* ---- silence ---- */

/* Reports in a row that show nothing of the answer before them. */
#define MH_MAX_IGNORED_ANSWERS 2u

/* What is heard from a zone as a whole. */
typedef struct
{
  GRefString *name;
  guint machines;                  /* that have reported */
  gint64 heard_us, last_report_us; /* the last word, the last report */
  gint64 partitioned_until_us;
} MhZone;

/* How long a machine may be silent before it is given back. */
typedef struct
{
  bool cut_off;      /* this side may be */
  gint64 report_us;  /* the longest that a worker takes to its next report, and some */
  gint64 suspect_us; /* one that has reported to this leader is asked directly */
  gint64 replica_us; /* ... sooner if it holds replicas */
  gint64 known_us;   /* ... is given back, whatever that brought */
  gint64 unseen_us;  /* one that has not reported, since the election */
} MhPatience;

void
mh_failure_init (MhCore *core);
void
mh_failure_clear (MhCore *core);
void
mh_failure_heard (MhCore *core, GRefString *zone, bool is_report);
/* Nothing has come from the zone for so long that its machines will rather be cut off together than
   have failed one by one. */
bool
mh_failure_zone_partitioned (const MhCore *core, const GRefString *zone);
/* Reports of its own should have come long ago, whatever it answers. */
bool
mh_failure_reports_overdue (const MhCore *core, const MhMachine *machine);
/* It has been asked more than once, and has not answered. */
bool
mh_failure_unreachable (const MhMachine *machine);
/* At all machines and zones; then each can be checked. */
void
mh_failure_survey (MhCore *core);
void
mh_failure_check (MhCore *core, MhMachine *machine);
/* A leader that hears no worker lets another one lead. */
void
mh_failure_hand_over (MhCore *core);

/* ---- spread: the arithmetic of KEP-895 and nothing else ---- */

typedef struct
{
  const char *name;
  guint count;   /* matching tasks */
  bool feasible; /* some machine there could take the task */
} MhZoneCount;

bool
mh_spread_hard_fits (const MhZoneCount *zones, guint n_zones, guint zone, guint max_skew);
/* Lowest ranks first. */
gint
mh_spread_soft_score (const MhZoneCount *zones, guint n_zones, guint zone, guint max_skew);

/* ---- queue ---- */

GPtrArray *
mh_queue_jobs (MhCore *core); /* jobs with pending tasks, in order; container owned */
/* The lower, the earlier: urgent work within a guarantee, urgent work, other work within one, the
   rest. */
guint
mh_queue_tier (const MhJob *job);
/* How long a start of the job may still take, by the aims that hold for it. */
gint64
mh_queue_patience_us (const MhCore *core, const MhJob *job);
/* Owners' estimates are often wrong, and on some days all in one direction: what the tasks of a
   class took, as a multiple of what was said. */
double
mh_queue_bias (MhCore *core, const char *class_name);
void
mh_queue_learn (MhCore *core, const MhJobSpec *spec, gint64 ran_us);
gint64
mh_queue_run_us (MhCore *core, const MhJobSpec *spec); /* as far as can be told */
gint64
mh_queue_fetch_us (const MhCore *core, const MhJobSpec *spec); /* of its image, alone */

/* ---- place, scale ---- */

void
mh_place_step (MhCore *core);
bool
mh_place_type_fits (const MhJobSpec *spec, const MhMachineType *type);
/* How often `need` is in `have`, at most so often. */
guint
mh_place_times (double have, double need, guint most);
/* Could the team run `more` of the job's tasks besides what may be running now? */
bool
mh_place_quota_fits (MhCore *core, const MhJob *job, double more_cpus, double more_gpus);
guint
mh_place_quota_room (MhCore *core, const MhJob *job, const MhUse *also, guint n);
/* The zone that the job asks for, or that its other tasks have fixed; interned; NULL: any. */
const char *
mh_place_only_zone (const MhJob *job);
/* Room on a machine: free and not promised; with what is being stopped, and in `could` with what
   might be stopped for the job. */
typedef struct
{
  double cpus, gpus, mem;
} MhSpace;
MhSpace
mh_place_free (const MhMachine *machine);
MhSpace
mh_place_space (const MhJob *wants, const MhMachine *machine, MhSpace *could);
/* Those with the least loss whose end makes `x` enough for `n` tasks; returns what is lost. */
double
mh_place_victims (MhCore *core, const MhJob *wants, const MhMachine *machine, MhSpace x, guint n,
                  GPtrArray *victims);
/* Kept for `n` of these tasks in this pass. */
void
mh_place_promise (MhMachine *machine, const MhJobSpec *spec, guint n);
MhAttempt *
mh_place_start (MhCore *core, MhJob *job, guint index, guint32 attempt, MhMachine *machine,
                guint urgency);
void
mh_place_spread_rule (const MhCore *core, const MhJobSpec *spec, guint *max_skew, bool *soft);

/* ---- gang ---- */

typedef enum
{
  MH_GANG_WAITS,
  MH_GANG_PREEMPTED, /* room is being made */
  MH_GANG_STARTED
} MhGangPlaced;

GHashTable *
mh_gang_table (void);
bool
mh_gang_is (const MhJob *job);
/* False: its tasks can never run all at once. */
bool
mh_gang_possible (const MhCore *core, const MhJobSpec *spec);
bool
mh_gang_on_record (const MhAttempt *attempt);
void
mh_gang_task_over (MhCore *core, MhJob *job, bool done);
void
mh_gang_loaded (MhCore *core, MhJob *job);
/* Whole; `grace_us` is what a task needs to save. */
void
mh_gang_stop (MhCore *core, MhJob *job, gint64 grace_us);
void
mh_gang_step (MhCore *core);
MhGangPlaced
mh_gang_place (MhCore *core, MhJob *job, const GPtrArray *usable, bool may_preempt);

void
mh_scale_start (MhCore *core);
void
mh_scale_step (MhCore *core);
void
mh_scale_clear (MhCore *core);

/* ---- release ---- */

/* A machine that is deleted costs at least this. */
#define MH_LEAST_PAID_US (60 * MH_SECOND_US)
void
mh_release_machine (MhCore *core, MhMachine *machine, const char *why);
void
mh_release_load (MhCore *core, const MhEntry *entry);
void
mh_release_step (MhCore *core);
void
mh_release_clear (MhCore *core);

/* ---- store ---- */

/* Written in this order: a user or a service waits; a start or the end of a job; progress. */
typedef enum
{
  MH_URGENCY_USER,
  MH_URGENCY_START,
  MH_URGENCY_PROGRESS
} MhUrgency;
#define MH_URGENCIES 3
void
mh_store_touch (MhCore *core, MhRecord *record, MhUrgency urgency);
/* The key is of no use any more. */
void
mh_store_drop (MhCore *core, const char *key);
void
mh_store_step (MhCore *core);
void
mh_store_load (MhCore *core); /* ends in mh_leader_loaded */
void
mh_store_clear (MhCore *core);
/* `in_charge`: a leader with a valid lease has looked in memory, and only the final record is left
   to read. A leader whose lease had lapsed once said "never heard of it" of unfinished jobs,
   because the phase alone was asked. */
void
mh_store_lookup (MhCore *core, guint64 request_id, const char *job, MhUserVerb verb,
                 bool in_charge);

/* Each leadership takes so many epochs, of which each worker is given ever higher ones when a
   command to it has to be fenced: that costs no write, and no other worker notices. */
#define MH_EPOCHS_EACH 1000000u

typedef enum
{
  MH_PHASE_FOLLOW,
  MH_PHASE_CAMPAIGN,
  MH_PHASE_LOAD,
  MH_PHASE_LEAD
} MhPhase;

void
mh_leader_start (MhCore *core);
void
mh_leader_step (MhCore *core);
void
mh_leader_announced (MhCore *core, const char *node, guint64 epoch);
void
mh_leader_loaded (MhCore *core);
void
mh_leader_lost (MhCore *core, const char *why);
/* Gives the lease back, and leaves it to others for a while. */
void
mh_leader_hand_over (MhCore *core, const char *why);
bool
mh_leader_valid (const MhCore *core); /* may order and answer from memory */

/* ---- core ---- */

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
} MhCall;

typedef struct
{
  double ratio;
  guint n;
} MhClassStat;

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
    bool rebuilt; /* every machine that should has reported, or has had the time */
    gint64 rebuild_until_us;
    gint64 announced_us;
  } leader;

  /* leader's memory */
  GHashTable *jobs;       /* id -> MhJob */
  GHashTable *unreadable; /* ids of jobs whose records are not understood: nothing is guessed */
  GHashTable *finals;     /* id -> MhUserAnswer, a bounded cache */
  GQueue finals_order;
  GQueue dirty[MH_URGENCIES]; /* MhRecord */
  GQueue garbage;             /* keys to drop */
  guint txns;                 /* in flight */
  guint64 rev;
  GHashTable *machines;    /* name -> MhMachine */
  GHashTable *returned;    /* names of machines that are gone */
  GQueue returned_order;   /* Returned */
  GPtrArray *commands_due; /* MhMachine, not owned */
  GArray *zones;           /* MhZone */
  MhPatience patience;
  guint replicas; /* of services, on all machines */
  gint64 swept_us;
  MhBucket probe_bucket, direct_bucket;
  GPtrArray *types;        /* MhMachineType; NULL until known */
  GHashTable *team_use;    /* team -> MhUse */
  GHashTable *class_stats; /* class -> MhClassStat */
  GHashTable *gangs;       /* ids of those that a task's end has consequences for */
  gint64 gangs_looked_us;
  bool place_wanted, place_urgent;
  gint64 placed_us, preempted_us;
  GHashTable *forwards; /* id -> MhUserVerb as pointer */

  struct
  {
    gint64 types_us, list_us, step_us, summary_us;
    bool types_busy, list_busy, renting, listed;
    guint64 rentals;
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
/* After a 429 for a change: the rate that was announced. */
void
mh_core_slow_down (MhCore *core);
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
#define mh_info(core, ...) mh_core_log (core, G_LOG_LEVEL_INFO, __VA_ARGS__)
#define mh_debug(core, ...) mh_core_log (core, G_LOG_LEVEL_DEBUG, __VA_ARGS__)
