/* The core of the version in production, behind an interface of plain types.

   deploy/service.toml names a commit. tests/CMakeLists.txt extracts the sources of that commit from
   the history of the repository and builds them with production-core.c as a shared library, which
   exports only the functions below. Both versions then run in one process without access to each
   other's structures: messages are passed as CBOR, and settings as a file of platform settings. */
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

/* `settings_path`: a file of platform settings. */
PRODUCTION_PUBLIC ProductionCore *
production_core_new (const char *settings_path, const ProductionNow *now);
PRODUCTION_PUBLIC void
production_core_free (ProductionCore *core);
PRODUCTION_PUBLIC void
production_core_tick (ProductionCore *core, const ProductionNow *now);
/* `submission`: CBOR; NULL for other requests. `verb`: as in the messages between controllers. */
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
/* Returns false if no action is left. The caller frees the members of the action. */
PRODUCTION_PUBLIC bool
production_core_pop (ProductionCore *core, gint64 mono_us, ProductionAction *action);
PRODUCTION_PUBLIC gint64
production_core_next_wake (const ProductionCore *core);
PRODUCTION_PUBLIC bool
production_core_ready (const ProductionCore *core);
PRODUCTION_PUBLIC bool
production_core_leads (const ProductionCore *core);
/* Whether that version can read a submission. `submission`: CBOR. */
PRODUCTION_PUBLIC bool
production_reads_submission (GBytes *submission);
