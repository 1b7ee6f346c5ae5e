/* A stand-in for everything outside the service, by the published protocol: the state service, the
   cloud, the workers, and what users know. It keeps its own account of the rules. No I/O, no clock.
 */
#pragma once

#include "settings/settings.h"
#include "base/time-units.h"
#include "protocol/cloud-messages.h"
#include "protocol/key-value-messages.h"
#include "protocol/user-messages.h"
#include "protocol/worker-messages.h"

struct WorldJob;

typedef struct
{
  struct WorldJob *owner; /* once it is known */
  char *leg;              /* "j-000001/0" */
  char *job;
  guint index;
  guint64 attempt;
  MhTaskPhase phase;
  const char *cause;
  gint64 ready_us, end_us; /* image there; run ends (0: never) */
  gint64 told_us;          /* of a gang: to stop; 0: not */
} WorldTask;

typedef struct
{
  char *name, *endpoint, *type, *zone;
  bool spot, up, gone, failed, sick;
  gint64 rented_us, up_us, gone_us, hung_until_us;
  gint64 taken_us; /* the cloud takes it back then, and it says so; 0: never */
  guint64 session, sequence, token;
  gint64 lease_from_us; /* when the last answered report was sent */
  GArray *tasks;        /* WorldTask */
  GHashTable *images;
} WorldMachine;

typedef struct WorldJob
{
  MhJobSpec *spec;
  gint64 run_us;       /* what a task really takes; 0: for ever */
  gint64 apart_us;     /* ... and each task so much longer than the one before it */
  gint64 cancelled_us; /* told to the user; 0: not */
  bool accepted;
  bool fails; /* on every machine: it was submitted with a mistake */
  /* of a gang: its running attempt, what is saved, and since when it runs, lacks a task, is told */
  guint64 running_attempt;
  gint64 saved_us, since_us, lacks_us, told_us;
  guint saves;     /* orderly stops that succeeded */
  gint64 waits_us; /* with room for a task of it, since; 0: not */
  guint8 *done;    /* by task */
  guint n_done;
} WorldJob;

typedef struct
{
  gpointer token; /* the caller's */
  guint status;
  MhValue *body;
} WorldWoken;

typedef struct World
{
  const MhSettings *settings;
  gint64 now_us;
  gint64 boot_us, list_lag_us;
  /* state service */
  GTree *keys;
  guint64 revision, next_lease;
  GHashTable *leases;        /* id -> gint64 end */
  GHashTable *lease_lengths; /* id -> gint64 life */
  GArray *history;
  GArray *watches;
  gint64 outage_until_us;
  double write_rps, write_tokens; /* changes a second that it takes, bursts of one second; 0: any */
  gint64 write_tokens_us;
  guint writes_refused;   /* because of that */
  guint lists;            /* of machines: pages that were read */
  guint finals_read;      /* requests for the final record of a job */
  guint writes_malformed; /* for their size */
  /* cloud */
  GPtrArray *machines; /* WorldMachine */
  GHashTable *rentals; /* name -> comma-separated machines */
  guint capacity;      /* machines at once */
  guint zones;         /* a, b, ... */
  gint64 cloud_outage_until_us;
  guint64 n_rented;
  /* users */
  GHashTable *jobs; /* id -> WorldJob */
  /* rules */
  GPtrArray *broken; /* text */
  guint starts;
} World;

World *
world_new (const MhSettings *settings);
void
world_free (World *world);

/* Lets time pass: leases end, machines come up, tasks run. Answers of watches go to `woken`. */
void
world_advance (World *world, gint64 now_us, GArray *woken);

/* Serves a request to the state service or the cloud. False: the answer comes through
   world_advance under `token`. */
bool
world_serve (World *world, MhTarget target, const char *method, const char *path,
             const MhValue *body, gpointer token, guint *status, MhValue **reply);
/* Of the watch with that index, while it waits. */
gpointer
world_watch_token (const World *world, guint index);

WorldMachine *
world_machine (World *world, const char *name);
WorldMachine *
world_add_machine (World *world, const char *type, const char *zone, bool spot);
/* It stops by itself, with all that is on it. */
void
world_fail (WorldMachine *machine);
MhValue *
world_report (World *world, WorldMachine *machine); /* a new report: the tick rises */
/* What the worker does with the response to the report sent at `sent_us` under `session`. */
void
world_response (World *world, WorldMachine *machine, gint64 sent_us, guint64 session,
                const MhValue *body);
guint
world_commands (World *world, WorldMachine *machine, const MhValue *body, MhValue **reply);

WorldJob *
world_job (World *world, MhJobSpec *spec, gint64 run_us);
/* The key's value becomes one that no version writes. */
void
world_spoil (World *world, const char *key);
/* Rules that time breaks by itself; is to be called once a second, while there is no trouble: no
   job waits for 90 s while a machine that fits has room and its team is under its limit. */
void
world_check_waiting (World *world);
/* Everything on machines, for checks. */
guint
world_running (World *world, const char *job);
/* Everything that is stored, rented, running or told, in an order that does not change. */
void
world_describe (const World *world, GString *out);
