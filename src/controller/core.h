/* The scheduler's core: a pure state machine. Each input is given the time and returns at once;
   what is to be sent, written, answered or logged is then taken with mh_core_pop(). */
#pragma once

#include "protocol/cloud-messages.h"
#include "protocol/key-value-messages.h"
#include "protocol/user-messages.h"
#include "protocol/worker-messages.h"
#include "runtime/runtime.h"

typedef struct MhCore MhCore;

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
