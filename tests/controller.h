/* One controller of a simulated day: this version's core, or that of the version in production.
   Both take the same inputs, and their actions come out as this version's. */
#pragma once

#include "controller/core.h"

typedef enum
{
  CONTROLLER_CURRENT,
  CONTROLLER_PRODUCTION
} ControllerVersion;

typedef struct Controller Controller;

/* `settings` must outlive the controller. */
Controller *
controller_new (ControllerVersion version, const MhSettings *settings, const MhNow *now);
void
controller_free (Controller *controller);

void
controller_tick (Controller *controller, const MhNow *now);
/* The spec is taken over. */
void
controller_user (Controller *controller, const MhNow *now, guint64 id, MhUserVerb verb,
                 const char *job, MhJobSpec *spec, bool forwarded);
void
controller_report (Controller *controller, const MhNow *now, guint64 id, const MhValue *report);
void
controller_reply (Controller *controller, const MhNow *now, guint64 id, guint status,
                  const MhValue *body);
void
controller_forwarded (Controller *controller, const MhNow *now, guint64 id,
                      const MhUserAnswer *answer);
void
controller_leader_announced (Controller *controller, const MhNow *now, const char *node,
                             guint64 epoch);
MhAction *
controller_pop (Controller *controller, gint64 mono_us);
gint64
controller_next_wake (const Controller *controller);
bool
controller_leads (const Controller *controller);
/* As GET /ready is answered. */
bool
controller_ready (const Controller *controller);
