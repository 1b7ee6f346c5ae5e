/* Several cores, the stand-in world, workers and users on one fake clock. Every delay and every
   fault comes from a seed or from the test. */
#pragma once

#include "controller.h"
#include "world.h"

#define SIM_NODES 3

typedef struct Sim Sim;

typedef struct
{
  Sim *sim;
  guint index;
  char *name;
  MhSettings *settings;
  ControllerVersion version; /* that it has when it starts again */
  Controller *controller;    /* NULL: down */
  guint life;                /* which process of this node */
  guint wakes;
  guint worker_calls, most_worker_calls; /* under way; at once */
  double drift;
  GHashTable *requests;
  gint64 wake_us;
  gint64 state_cut_us, peers_cut_us, workers_cut_us; /* cut off until */
  /* Its transactions are lost on the way, or carried out without an answer: until. */
  gint64 writes_lost_us, write_answers_lost_us;
  bool hold_writes; /* they arrive only when the test releases them */
  /* The state service refuses this node alone (503); its lists of keys get no answer: until. */
  gint64 state_refused_us, lists_lost_us;
  gint64 reports_lost_us; /* no worker's report reaches it: until */
  /* Stands still until, while its clocks run on; what comes meanwhile waits. */
  gint64 frozen_us;
  /* Stands still for so long between its next input and what it decides by it. */
  gint64 freeze_deciding_us;
} SimNode;

typedef struct
{
  Sim *sim;
  WorldMachine *machine;
  guint node;
  gint64 next_us, sent_us;
  gint64 cut_us, reports_lost_us; /* without network, sends no report: until */
  gint64 answers_lost_us; /* its reports arrive, but no answer or command reaches it: until */
  gint node_only;         /* reports to this node alone; -1: to any */
  gint64 only_until_us;   /* ... and no other's commands reach it: until */
  bool flying;
  guint flight;
  guint64 signature;
} SimWorker;

typedef struct
{
  Sim *sim;
  WorldJob *job;
  bool cancels; /* the user asks for it */
  bool told_done, told_cancelled;
  bool impossible; /* the job can never run: it must not be accepted */
  bool ended;      /* its last task has */
  guint last_status;
  gint64 told_us;     /* of the last final answer */
  gint64 answered_us; /* the last question that was */
} SimUser;

struct Sim
{
  MhSettings *settings;
  World *world;
  GRand *random;
  gint64 now_us;
  guint64 next;
  GSequence *events;
  SimNode nodes[SIM_NODES];
  GPtrArray *workers; /* SimWorker */
  GPtrArray *users;   /* SimUser */
  double lose, late;  /* chance that a message or its answer is lost, that it comes late */
  double copies;      /* ... that another copy of a request comes, up to a minute later */
  double
      late_writes; /* ... that a transaction gets no answer, and is carried out 2 to 12 s later */
  double cancel_at_end; /* ... that a job is called off at the moment at which it ends */
  bool hold_commands;   /* direct commands arrive only when the test releases them */
  GPtrArray *held, *held_writes;
  bool keep_requests; /* every one that was carried out is kept, to be repeated */
  GPtrArray *kept;
  GPtrArray *log;    /* lines of all nodes */
  GChecksum *digest; /* takes in what leaves the cores, but for log lines; NULL: none; not owned */
};

Sim *
sim_new (guint32 seed);
void
sim_free (Sim *sim);
/* The digest takes in all that is left outside the cores. */
void
sim_digest_state (Sim *sim);
/* What the state service takes, and what all controllers are told; those start again. */
void
sim_limit (Sim *sim, guint value_bytes, guint txn_ops);
void
sim_run (Sim *sim, double seconds);
/* Runs until `done` says so; false when `seconds` have passed. */
bool
sim_until (Sim *sim, double seconds, bool (*done) (Sim *sim, gpointer data), gpointer data);
void
sim_stop_node (Sim *sim, guint node);
void
sim_start_node (Sim *sim, guint node);
/* It ends, and is back after `seconds` with that version. */
void
sim_restart_node (Sim *sim, guint node, ControllerVersion version, double seconds);
SimNode *
sim_leader (Sim *sim); /* NULL: none that is valid */
void
sim_release_commands (Sim *sim);
/* All requests that were kept come once more, and nobody waits for an answer. */
void
sim_repeat_requests (Sim *sim);
bool
sim_is_command (const Sim *sim, guint kept);
void
sim_freeze_node (Sim *sim, guint node, double seconds);
/* The first of the held writes arrives, or is lost and its sender told so at once. */
void
sim_release_write (Sim *sim, bool arrives);
/* Hands a report to a node, as if it had been on its way for long. */
void
sim_late_report (Sim *sim, SimNode *node, const MhValue *report);

MhJobSpec *
sim_spec (guint number, MhShape shape, guint tasks, double cpus);
SimUser *
sim_submit (Sim *sim, MhJobSpec *spec, double run_s);
void
sim_cancel (SimUser *user);
/* The user asks every node at once, for what he would ask next. */
void
sim_ask_all (Sim *sim, SimUser *user);
/* One request of its own; the answer's status, 0 when none came. */
/* `answer` is filled when one comes; it must outlive that. */
void
sim_ask_later (Sim *sim, guint node, MhUserVerb verb, const char *job, MhJobSpec *spec,
               MhUserAnswer *answer);
guint
sim_ask (Sim *sim, guint node, MhUserVerb verb, const char *job, MhJobSpec *spec,
         MhUserAnswer *answer);
bool
sim_all_settled (Sim *sim, gpointer unused);
bool
sim_logged (Sim *sim, const char *part);
void
sim_assert_rules (Sim *sim);
