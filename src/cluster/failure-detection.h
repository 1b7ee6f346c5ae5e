/* Failure detection: which machines are probed, which are given back, and which zones are taken for
   partitioned. It never declares a task gone: that takes a confirmed release or a report. */
#pragma once

#include "cluster/machine-registry.h"

/* Reports in a row that show nothing of the answer before them. */
#define MH_MAX_IGNORED_ANSWERS 2u

/* What is heard from a zone as a whole. */
typedef struct
{
  GRefString *name;
  guint machines;                         /* that have reported */
  gint64 last_message_us, last_report_us; /* the last message, the last report */
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
} MhSilenceThresholds;

void
mh_failure_init (MhCore *core);
void
mh_failure_clear (MhCore *core);
void
mh_failure_note_message (MhCore *core, GRefString *zone, bool is_report);
/* Nothing has come from the zone for so long that its machines will rather be cut off together than
   have failed one by one. */
bool
mh_failure_is_zone_partitioned (const MhCore *core, const GRefString *zone);
/* Reports of its own should have come long ago, whatever it answers. */
bool
mh_failure_is_report_overdue (const MhCore *core, const MhMachine *machine);
/* It has been asked more than once, and has not answered. */
bool
mh_failure_is_unreachable (const MhMachine *machine);
/* At all machines and zones; then each can be checked. */
void
mh_failure_survey (MhCore *core);
void
mh_failure_check (MhCore *core, MhMachine *machine);
/* A leader that hears no worker lets another one lead. */
void
mh_failure_check_leader_unheard (MhCore *core);
