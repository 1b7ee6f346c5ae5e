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
  guint64 start_incarnation;
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
   later time, as long as token and incarnation still match. */
typedef struct
{
  char *job;
  guint index;
  guint64 attempt, token, incarnation;
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
  bool rented_here;      /* by this leader, at rented_us */
  gint64 late_age_us;    /* had not joined at that age, when it should have; 0: is not late */
  gint64 known_us, rented_us, heard_us, idle_us;
  gint64 probed_us; /* for its report, for the first time since it was silent */
  guint64 probed_incarnation,
      probed_sequence;    /* of the newest that was known when it was last asked */
  gint64 unverified_us;   /* a report of unknown age came */
  gint64 notice_until_us; /* -1: no notice */
  guint64 incarnation, sequence, token;
  guint fence;            /* how often its token was raised in this leadership */
  gint64 held_us;         /* a clear has waited for that since then; 0: none */
  GPtrArray *attempts;    /* MhAttempt */
  GArray *unacknowledged; /* MhUnacknowledgedStart, for which its token has not been raised */
  GArray *orphans;        /* MhOrphan */
  GPtrArray *cache;       /* MhCached */
  guint direct;           /* direct commands without an answer yet */
  guint replicas;         /* attempts of services */
  guint unknown;          /* tasks in its last report of jobs whose records are not understood */
  guint failures;         /* since a task last completed, of jobs that run elsewhere */
  GPtrArray *failed_jobs; /* char *: ... of jobs that have run nowhere yet */
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
mh_fleet_answered (MhCore *core, MhMachine *machine, const MhHeartbeat *report);
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
mh_fleet_report (MhCore *core, guint64 id, const MhHeartbeat *report);
void
mh_fleet_step (MhCore *core);
/* Its release is confirmed: the machine is forgotten but for its name. */
void
mh_fleet_gone (MhCore *core, MhMachine *machine);
bool
mh_fleet_returned (const MhCore *core, const char *name);
MhAttempt *
mh_fleet_attempt_new (MhCore *core, MhJob *job, guint index, guint32 attempt, MhMachine *machine);
/* Tells the worker, unless it was told to end the attempt at least as soon. */
void
mh_fleet_send_stop (MhCore *core, MhAttempt *attempt, gint64 grace_us);
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
