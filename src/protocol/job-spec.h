/* The description of a job, as its user submitted it. */
#pragma once

#include <glib.h>
#include <stdbool.h>

/**
 * MH_MAX_TASKS_PER_JOB:
 *
 * The largest number of tasks in a job (PROTOCOL, "POST /submissions").
 */
#define MH_MAX_TASKS_PER_JOB 100000u

/**
 * MhShape:
 * @MH_SHAPE_ARRAY: array ("sweep"): independent tasks, each of which runs to completion
 * @MH_SHAPE_SERVICE: service: replicas that run until the job is cancelled
 * @MH_SHAPE_GANG: gang ("group"): either all tasks run at the same time, or none does
 *
 * How the tasks of a job run.
 */
typedef enum
{
  MH_SHAPE_ARRAY,
  MH_SHAPE_SERVICE,
  MH_SHAPE_GANG
} MhShape;

/**
 * MhPriority:
 * @MH_PRIORITY_LOW: "best_effort"
 * @MH_PRIORITY_NORMAL: "normal"
 * @MH_PRIORITY_HIGH: "urgent"
 * @MH_PRIORITY_CRITICAL: "critical"
 *
 * The priority of a job. A job may preempt jobs with a smaller value (PROTOCOL, "Preemption").
 */
typedef enum
{
  MH_PRIORITY_LOW,
  MH_PRIORITY_NORMAL,
  MH_PRIORITY_HIGH,
  MH_PRIORITY_CRITICAL
} MhPriority;

/**
 * MhJobSpec:
 * @id: job id, see mh_job_id_is_valid()
 * @class_name: the class of jobs whose service-level objectives apply
 * @team: the team whose quota the job uses
 * @image: the image that a machine has to fetch before a task can start on it
 * @zone: (nullable): the only allowed zone; %NULL: any
 * @types: (nullable): %NULL-terminated array of the allowed machine types; %NULL: any
 * @shape: how the tasks run
 * @priority: priority
 * @tasks: number of tasks, from 1 to %MH_MAX_TASKS_PER_JOB
 * @cpus: processors that each task requires
 * @gpus: accelerators that each task requires
 * @mem_gb: memory that each task requires
 * @image_gb: size of the image
 * @single_zone: whether all tasks have to be in the same zone
 * @spread_over_zones: whether at most half of the tasks, rounded up, may be in one zone
 * @spot: whether tasks may run on spot machines
 * @estimated_run_us: the user's estimate of a task's run time, often wrong; 0 for services
 * @checkpoint_interval_us: interval of run time at which a task saves checkpoints; 0: never
 * @checkpoint_save_us: time that a task needs to save a checkpoint when it is stopped
 * @deadline_us: deadline, relative to the submission; -1: none
 * @is_incomplete: the submission lacks a field that it must have, but that earlier versions
 * accepted it without; the member of that field has its default
 *
 * The description of a job. It owns its strings.
 */
typedef struct
{
  char *id;
  char *class_name;
  char *team;
  char *image;
  char *zone;
  char **types;
  MhShape shape;
  MhPriority priority;
  guint tasks;
  double cpus, gpus, mem_gb, image_gb;
  bool single_zone, spread_over_zones, spot;
  gint64 estimated_run_us, checkpoint_interval_us, checkpoint_save_us;
  gint64 deadline_us;
  bool is_incomplete;
} MhJobSpec;

/**
 * mh_job_spec_free:
 * @spec: (nullable) (transfer full): the description of a job
 */
void
mh_job_spec_free (MhJobSpec *spec);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (MhJobSpec, mh_job_spec_free)

/**
 * mh_job_id_is_valid:
 * @id: any text
 *
 * Returns: %TRUE if @id has the form of a job id: "j-" and 6 to 18 digits. Such an id can be part
 * of a key in the key-value store and of a URL path.
 */
bool
mh_job_id_is_valid (const char *id);
