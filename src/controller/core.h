/* The scheduler's core: a pure state machine. Each input is given the time and returns at once;
   what is to be sent, written, answered or logged is then taken with mh_core_pop(). */
#pragma once

#include "settings/settings.h"
#include "base/time-units.h"
#include "protocol/cloud-messages.h"
#include "protocol/key-value-messages.h"
#include "protocol/user-messages.h"
#include "protocol/worker-messages.h"

typedef struct MhCore MhCore;

typedef struct
{
  gint64 mono_us; /* steady clock */
  gint64 wall_us; /* time of day */
  double jitter;  /* a fresh random number in [0, 1) */
} MhNow;

typedef enum
{
  MH_ACTION_CALL,            /* make a request; its end comes back through mh_core_reply */
  MH_ACTION_ANNOUNCE_LEADER, /* tell another controller that this one leads, with epoch `id` */
  MH_ACTION_FORWARD,         /* hand a user's request to another controller */
  MH_ACTION_ANSWER_USER,     /* answer a user's request */
  MH_ACTION_ANSWER_REPORT,
  MH_ACTION_LOG
} MhActionKind;

typedef struct
{
  MhActionKind kind;
  guint64 id;         /* of the call or of the request that is answered */
  gint64 timeout_us;  /* CALL, FORWARD */
  MhRequest *request; /* CALL */
  MhUserAnswer answer;
  guint status;    /* ANSWER_REPORT */
  MhValue *body;   /* ANSWER_REPORT */
  char *text;      /* FORWARD, ANNOUNCE_LEADER: the node; LOG: the line */
  gint64 until_us; /* rests on a lease that ends then; 0: on none */
  GLogLevelFlags level;
} MhAction;

void
mh_action_free (MhAction *action);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (MhAction, mh_action_free)

MhCore *
mh_core_new (const MhSettings *settings, const MhNow *now);
void
mh_core_free (MhCore *core);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (MhCore, mh_core_free)

/* Inputs. Bodies and reports are borrowed; a spec is taken over. */
void
mh_core_tick (MhCore *core, const MhNow *now);
void
mh_core_user (MhCore *core, const MhNow *now, guint64 id, MhUserVerb verb, const char *job,
              MhJobSpec *spec, bool forwarded);
void
mh_core_report (MhCore *core, const MhNow *now, guint64 id, const MhHeartbeat *report);
/* status 0: no answer, so that whether the request was carried out is unknown. */
void
mh_core_reply (MhCore *core, const MhNow *now, guint64 id, guint status, const MhValue *body);
/* The other controller's answer; NULL when none came in time. */
void
mh_core_forwarded (MhCore *core, const MhNow *now, guint64 id, const MhUserAnswer *answer);
/* Another controller says that it leads. */
void
mh_core_leader_announced (MhCore *core, const MhNow *now, const char *node, guint64 epoch);

/* `mono_us` is the steady clock at this moment, which may be long after the input. */
MhAction *
mh_core_pop (MhCore *core, gint64 mono_us);
gint64
mh_core_next_wake (const MhCore *core); /* steady time of the next tick that is needed */
bool
mh_core_ready (const MhCore *core);
bool
mh_core_leads (const MhCore *core); /* holds a valid lease */
