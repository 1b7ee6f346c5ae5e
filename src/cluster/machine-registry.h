/* Machines, their workers' reports, and attempts: which task may be running where.

   An attempt occupies its machine, its team's quota and its zone from the moment it is placed until
   there is proof that it cannot run any more. Silence is no proof. */
#pragma once

#include "controller/core-types.h"

/* Failures that are remembered of a machine. */
#define MH_FAILURES_KEPT 16u

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
  bool of_starved_job;
  bool seen;     /* reported on the machine */
  bool present;  /* in the report at hand */
  bool stopping; /* is to be stopped */
  gint64 grace_us;
  gint64 stop_sent_us; /* when last told directly */
  MhTaskPhase phase;
  gint64 placed_us, running_since_us; /* running: 0: it does not */
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
} MhMachineImage;

/* From the rental to the first report. */
typedef struct
{
  bool rented_here;   /* by this leader, at rented_us */
  gint64 rented_us;   /* or, where that is not known, when it became known */
  gint64 late_age_us; /* had not joined at that age, when it should have; 0: is not late */
} MhMachineBoot;

/* What its worker has said, and what it was answered. */
typedef struct
{
  bool reported;          /* to this leader, for certain: with its token, or asked by it */
  gint64 last_message_us; /* of any kind */
  gint64 last_report_us;  /* of the last report that it sent by itself, or the first message */
  gint64 unverified_us;   /* a report of unknown age came */
  guint64 session, sequence, token;
  guint unreadable_tasks; /* in its last report, of jobs whose records are not understood */
  bool answer_pending;    /* the last answer must show in the next report */
  guint64 answered_token,
      answered_sequence; /* the last answer: its token, that report's sequence */
  guint ignored_answers; /* answers in a row that its next report shows nothing of */
} MhMachineHeartbeat;

/* Questions to its worker whether it is alive. */
typedef struct
{
  bool in_flight;
  guint failures;            /* in a row without an answer */
  gint64 first_sent_us;      /* for the first time since it was silent */
  guint64 session, sequence; /* of the newest report that was known when it was last asked */
} MhMachineProbe;

/* Late copies of direct starts. */
typedef struct
{
  guint raises;               /* how often its token was raised in this leadership */
  gint64 clear_held_since_us; /* a clear has waited for that since then; 0: none */
  GArray *unacknowledged;     /* MhUnacknowledgedStart, for which its token has not been raised */
} MhMachineFencing;

/* What attempts occupy, and what this placement pass keeps for others. */
typedef struct
{
  double cpus, gpus, mem_gb;
  double reserved_cpus, reserved_mem_gb; /* for tasks that wait for preempted ones */
  guint replicas;                        /* attempts of services */
} MhMachineUsage;

/* Task failures that may be the machine's fault. */
typedef struct
{
  guint consecutive; /* since a task last completed, of jobs that run elsewhere */
  GPtrArray *jobs;   /* char *: ids of jobs that failed here and have run nowhere yet */
} MhMachineFailures;

struct MhMachine
{
  char *name, *endpoint, *type_name;
  GRefString *zone; /* interned */
  const MhMachineType *type;
  guint type_index, zone_index; /* zone: in this pass */
  bool spot;
  bool listed_running;
  bool draining;     /* takes nothing new; what it holds is moved */
  bool releasing;    /* decided; holds until it is confirmed */
  bool commands_due; /* is to be looked at for commands */
  guint direct_commands_in_flight;
  gint64 discovered_us, idle_since_us;
  gint64 notice_until_us;    /* -1: no notice */
  gint64 no_start_before_us; /* it refused one, or failed one */
  GPtrArray *attempts;       /* MhAttempt */
  GArray *orphans;           /* MhOrphan */
  GPtrArray *images;         /* MhMachineImage; the last one used stands last */
  MhMachineBoot boot;
  MhMachineHeartbeat heartbeat;
  MhMachineProbe probe;
  MhMachineFencing fencing;
  MhMachineUsage usage;
  MhMachineFailures failures;
};

static inline MhAttempt *
mh_machine_attempt (const MhMachine *machine, guint index)
{
  return g_ptr_array_index (machine->attempts, index);
}

static inline bool
mh_attempt_is_stopping (const MhAttempt *attempt)
{
  return attempt->stopping;
}

/* A start of this leader's may have left this process. */
static inline bool
mh_attempt_start_was_sent (const MhAttempt *attempt)
{
  return attempt->start_sent;
}

/* An earlier leader's: what was sent, nobody here knows. */
static inline bool
mh_attempt_is_from_record (const MhAttempt *attempt)
{
  return attempt->loaded;
}

MhMachine *
mh_cluster_find_machine (MhCore *core, const char *name);
MhMachine *
mh_cluster_add_machine (MhCore *core, const char *name, const char *type, const char *zone,
                        bool spot);
/* What a machine is that was known from a record alone. */
void
mh_cluster_identify_machine (MhCore *core, MhMachine *machine, const char *type, const char *zone,
                             bool spot);
void
mh_cluster_types_changed (MhCore *core);
/* How long nothing has come that should have, since `heard_us`. */
gint64
mh_cluster_silence_us (const MhCore *core, gint64 heard_us);
bool
mh_cluster_is_silent (const MhCore *core, const MhMachine *machine, gint64 for_us);
/* Images by interned names. */
bool
mh_machine_has_image (const MhMachine *machine, const GRefString *image);
gint64
mh_machine_image_wait_us (const MhCore *core, const MhMachine *machine, const GRefString *image,
                          double gb);
double
mh_machine_hourly_price (const MhMachine *machine); /* its price; the type must be known */
double
mh_machine_hourly_cpu_price (const MhMachine *machine); /* ... by the cpu */
/* The worker's answer to a question or a command of this leader; false: nothing newer. */
bool
mh_heartbeat_take_answer (MhCore *core, MhMachine *machine, const MhReport *report);
/* For how long a leader that cannot renew its lease may keep workers' tasks alive. */
gint64
mh_heartbeat_keep_alive_us (const MhCore *core);
void
mh_cluster_clear (MhCore *core);
void
mh_cluster_records_loaded (MhCore *core);
void
mh_attempt_stop_job (MhCore *core, MhJob *job);
void
mh_heartbeat_receive (MhCore *core, guint64 id, const MhReport *report);
void
mh_cluster_step (MhCore *core);
/* Its release is confirmed: the machine is forgotten but for its name. */
void
mh_cluster_machine_released (MhCore *core, MhMachine *machine);
bool
mh_cluster_was_released (const MhCore *core, const char *name);
MhAttempt *
mh_attempt_new (MhCore *core, MhJob *job, guint index, guint32 attempt, MhMachine *machine);
MhAttempt *
mh_attempt_new_from_record (MhCore *core, MhJob *job, guint index, guint32 attempt,
                            MhMachine *machine);
/* Tells the worker, unless it was told to end the attempt at least as soon. */
void
mh_attempt_send_stop (MhCore *core, MhAttempt *attempt, gint64 grace_us);
/* A gang is stopped whole. */
void
mh_attempt_stop (MhCore *core, MhAttempt *attempt, gint64 grace_us);
/* Known to be done though no attempt of ours showed it. */
void
mh_attempt_task_done (MhCore *core, MhJob *job, guint index);
/* The attempt can no longer run: room, quota and task are free again. */
void
mh_attempt_proven_over (MhCore *core, MhAttempt *attempt, bool done);
/* Nothing is to be made of it any more; its job goes away. */
void
mh_attempt_discard (MhCore *core, MhAttempt *attempt);
void
mh_machine_add_image (MhMachine *machine, GRefString *image, double gb);
/* Its commands are looked at in this step, not with the next sweep. */
void
mh_worker_command_schedule (MhCore *core, MhMachine *machine);
void
mh_machine_free (gpointer machine);
