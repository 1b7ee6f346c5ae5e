/* The core of the version in production, behind an interface of plain types.

   deploy/service.toml names a commit; tests/CMakeLists.txt takes the sources of that commit from
   the repository's history and builds them, with production-core.c, into a shared library that
   exports nothing else. Both versions then run in one process, and neither sees the other's
   structures: messages cross as CBOR, settings as the platform's file. */
#pragma once

#include <glib.h>
#include <stdbool.h>

typedef struct ProductionCore ProductionCore;

typedef struct
{
  gint64 mono_us, wall_us;
  double jitter;
} ProductionNow;

typedef struct
{
  guint status, retry_after_s, state, done, running;
} ProductionAnswer;

typedef enum
{
  PRODUCTION_CALL,
  PRODUCTION_ANNOUNCE_LEADER,
  PRODUCTION_FORWARD,
  PRODUCTION_ANSWER_USER,
  PRODUCTION_ANSWER_REPORT,
  PRODUCTION_LOG
} ProductionActionKind;

typedef enum
{
  PRODUCTION_STATE_SERVICE,
  PRODUCTION_CLOUD,
  PRODUCTION_WORKER
} ProductionTarget;

typedef struct
{
  ProductionActionKind kind;
  guint64 id;
  gint64 timeout_us;
  ProductionTarget target;        /* CALL */
  char *method, *endpoint, *path; /* CALL */
  GBytes *body;                   /* CALL, ANSWER_REPORT; NULL: none */
  ProductionAnswer answer;        /* ANSWER_USER */
  guint status;                   /* ANSWER_REPORT */
  char *text;                     /* FORWARD, ANNOUNCE_LEADER: the node; LOG: the line */
} ProductionAction;

#define PRODUCTION_PUBLIC __attribute__ ((visibility ("default")))

/* `settings_path`: a settings file of the platform. */
PRODUCTION_PUBLIC ProductionCore *
production_core_new (const char *settings_path, const ProductionNow *now);
PRODUCTION_PUBLIC void
production_core_free (ProductionCore *core);
PRODUCTION_PUBLIC void
production_core_tick (ProductionCore *core, const ProductionNow *now);
/* `submission`: CBOR, NULL for other requests; `verb`: as in the messages between controllers. */
PRODUCTION_PUBLIC void
production_core_user (ProductionCore *core, const ProductionNow *now, guint64 id, guint verb,
                      const char *job, GBytes *submission, bool forwarded);
PRODUCTION_PUBLIC void
production_core_report (ProductionCore *core, const ProductionNow *now, guint64 id, GBytes *report);
PRODUCTION_PUBLIC void
production_core_reply (ProductionCore *core, const ProductionNow *now, guint64 id, guint status,
                       GBytes *body);
PRODUCTION_PUBLIC void
production_core_forwarded (ProductionCore *core, const ProductionNow *now, guint64 id,
                           const ProductionAnswer *answer);
PRODUCTION_PUBLIC void
production_core_leader_announced (ProductionCore *core, const ProductionNow *now, const char *node,
                                  guint64 epoch);
/* False: there is no action left. Its members are the caller's to free. */
PRODUCTION_PUBLIC bool
production_core_pop (ProductionCore *core, gint64 mono_us, ProductionAction *action);
PRODUCTION_PUBLIC gint64
production_core_next_wake (const ProductionCore *core);
PRODUCTION_PUBLIC bool
production_core_ready (const ProductionCore *core);
PRODUCTION_PUBLIC bool
production_core_leads (const ProductionCore *core);
