/* Types shared by the core, the wire format and the shell. Times are whole microseconds. */
#pragma once

#include "base/time-units.h"

#include <glib.h>
#include <stdbool.h>

#define MH_MAX_TASKS 100000u
#define MH_MAX_BODY ((gsize)65536)

typedef enum
{
  MH_SHAPE_ARRAY,
  MH_SHAPE_SERVICE,
  MH_SHAPE_GANG /* all tasks run at the same time, or none does */
} MhShape;

typedef enum
{
  MH_PRIORITY_LOW,
  MH_PRIORITY_NORMAL,
  MH_PRIORITY_HIGH,
  MH_PRIORITY_CRITICAL
} MhPriority;

typedef enum
{
  MH_JOB_PENDING,
  MH_JOB_RUNNING,
  MH_JOB_DONE,
  MH_JOB_CANCELLED
} MhJobState;

/* A job as its user described it. Strings are owned. */
typedef struct
{
  char *id;
  char *class_name;
  char *team;
  char *image;
  char *zone;   /* NULL: any */
  char **types; /* NULL: any */
  MhShape shape;
  MhPriority priority;
  guint tasks;
  double cpus, gpus, mem_gb, image_gb;
  bool one_zone, scatter, spot;
  gint64 estimate_us, checkpoint_us, save_us;
  gint64 deadline_us; /* -1: none */
} MhJobSpec;

void
mh_job_spec_free (MhJobSpec *spec);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (MhJobSpec, mh_job_spec_free)

typedef enum
{
  MH_TASK_FETCHING,
  MH_TASK_GATHERING, /* of a gang: has its image, and waits for the others */
  MH_TASK_RUNNING,
  MH_TASK_SAVING,
  MH_TASK_ENDED
} MhTaskPhase;

typedef enum
{
  MH_CAUSE_NONE,
  MH_CAUSE_DONE,
  MH_CAUSE_STOPPED,
  MH_CAUSE_ERROR,
  MH_CAUSE_NO_ROOM,
  MH_CAUSE_BUSY,
  MH_CAUSE_UNKNOWN,
  MH_CAUSE_PEERS,     /* of a gang: another task is gone */
  MH_CAUSE_INCOMPLETE /* of a gang: the others did not come in time */
} MhCause;

/* One task in a worker's report. */
typedef struct
{
  char *job;
  guint index;
  guint64 attempt;
  MhTaskPhase phase;
  MhCause cause;
} MhReportTask;

typedef struct
{
  char *machine, *endpoint, *type, *zone;
  bool spot;
  guint64 session, sequence, token;
  gint64 notice_us; /* -1: none */
  GArray *tasks;    /* of MhReportTask */
} MhReport;

MhReport *
mh_report_new (void);
void
mh_report_free (MhReport *report);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (MhReport, mh_report_free)

typedef enum
{
  MH_COMMAND_START,
  MH_COMMAND_STOP,
  MH_COMMAND_CLEAR
} MhCommandKind;

typedef struct
{
  MhCommandKind kind;
  char *job;
  guint index;
  guint64 attempt;
  gint64 grace_us;
} MhCommand;

GArray *
mh_commands_new (void);

typedef struct
{
  char *name;
  double cpus, gpus, mem_gb, cache_gb, fetch_gb_per_s, price, spot_price;
  gint64 boot_us;
  char **zones;
} MhMachineType;

void
mh_machine_type_free (MhMachineType *type);

typedef enum
{
  MH_LISTED_STARTING,
  MH_LISTED_RUNNING,
  MH_LISTED_FAILED
} MhListedState;

typedef struct
{
  char *name, *endpoint, *type, *zone;
  bool spot;
  MhListedState state;
  gint64 age_us;
} MhListedMachine;

/* What a controller is asked by a user, and what it answers. */
typedef enum
{
  MH_USER_SUBMIT = 1,
  MH_USER_STATUS = 2,
  MH_USER_CANCEL = 3
} MhUserVerb;

typedef struct
{
  guint status;
  guint retry_after_s; /* 0: no such header */
  MhJobState state;
  guint done, running;
} MhUserAnswer;
