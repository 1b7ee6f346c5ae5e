/* Types shared by the core, the wire format and the shell. Times are whole microseconds. */
#pragma once

#include <glib.h>
#include <stdbool.h>

#define MH_SECOND_US ((gint64)1000000)
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
  bool single_zone, spread_over_zones, spot;
  gint64 estimated_run_us, checkpoint_interval_us, checkpoint_save_us;
  gint64 deadline_us; /* -1: none */
} MhJobSpec;

void
mh_job_spec_free (MhJobSpec *spec);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (MhJobSpec, mh_job_spec_free)

typedef enum
{
  MH_TASK_PHASE_FETCHING_IMAGE,
  MH_TASK_PHASE_WAITING_FOR_GANG, /* of a gang: has its image, and waits for the others */
  MH_TASK_PHASE_RUNNING,
  MH_TASK_PHASE_CHECKPOINTING,
  MH_TASK_PHASE_ENDED
} MhTaskPhase;

typedef enum
{
  MH_TASK_END_NONE,
  MH_TASK_END_COMPLETED,
  MH_TASK_END_STOPPED,
  MH_TASK_END_FAILED,
  MH_TASK_END_INSUFFICIENT_RESOURCES,
  MH_TASK_END_OTHER_ATTEMPT,
  MH_TASK_END_UNKNOWN_TASK,
  MH_TASK_END_GANG_MEMBER_LOST, /* of a gang: another task is gone */
  MH_TASK_END_GANG_INCOMPLETE   /* of a gang: the others did not come in time */
} MhTaskEndReason;

/* One task in a worker's report. */
typedef struct
{
  char *job;
  guint index;
  guint64 attempt;
  MhTaskPhase phase;
  MhTaskEndReason end_reason;
} MhTaskStatus;

typedef struct
{
  char *machine, *endpoint, *type, *zone;
  bool spot;
  guint64 incarnation, sequence, fencing_token;
  gint64 notice_us; /* -1: none */
  GArray *tasks;    /* of MhTaskStatus */
} MhHeartbeat;

MhHeartbeat *
mh_heartbeat_new (void);
void
mh_heartbeat_free (MhHeartbeat *report);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (MhHeartbeat, mh_heartbeat_free)

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
