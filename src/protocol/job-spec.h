/* A job as its user described it. */
#pragma once

#include <glib.h>
#include <stdbool.h>

/**
 * MH_MAX_TASKS:
 *
 * The most tasks that a job has (PROTOCOL, "POST /submissions").
 */
#define MH_MAX_TASKS 100000u

/**
 * MhShape:
 * @MH_SHAPE_ARRAY: a job array: independent tasks, each of which runs to completion
 * @MH_SHAPE_SERVICE: replicas, which run until the job is cancelled
 * @MH_SHAPE_GANG: gang scheduling: all tasks run at the same time, or none does
 *
 * How the tasks of a job belong together.
 */
typedef enum
{
  MH_SHAPE_ARRAY,
  MH_SHAPE_SERVICE,
  MH_SHAPE_GANG
} MhShape;

/**
 * MhPriority:
 * @MH_PRIORITY_LOW: best effort
 * @MH_PRIORITY_NORMAL: the usual one
 * @MH_PRIORITY_HIGH: urgent
 * @MH_PRIORITY_CRITICAL: before all others
 *
 * What may preempt what (PROTOCOL, "Preemption"); a larger value may preempt a smaller one.
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
 * @id: see mh_job_id_is_valid()
 * @class_name: the class of jobs whose service-level objectives apply
 * @team: the team whose quota it uses
 * @image: the image that a machine needs before a task can start there
 * @zone: (nullable): the only zone that is allowed; %NULL: any
 * @types: (nullable): the machine types that are allowed, ending in %NULL; %NULL: any
 * @shape: how its tasks belong together
 * @priority: what it may preempt
 * @tasks: number of tasks, from 1 to %MH_MAX_TASKS
 * @cpus: processors that each task takes
 * @gpus: accelerators that each task takes
 * @mem_gb: memory that each task takes
 * @image_gb: size of the image
 * @single_zone: all tasks must be in the same zone
 * @spread_over_zones: at most half of the tasks, rounded up, may be in one zone
 * @spot: spot machines may be used
 * @estimated_run_us: the owner's estimate of a task's run time, often wrong; 0 for services
 * @checkpoint_interval_us: progress after which a task saves a checkpoint; 0: it never does
 * @checkpoint_save_us: time that a task needs for a checkpoint when it is stopped
 * @deadline_us: time from submission to the wanted end; -1: none
 *
 * A job as its user described it. It owns its strings.
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
} MhJobSpec;

/**
 * mh_job_spec_free:
 * @spec: (nullable) (transfer full): a description of a job
 */
void
mh_job_spec_free (MhJobSpec *spec);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (MhJobSpec, mh_job_spec_free)

/**
 * mh_job_id_is_valid:
 * @id: any text
 *
 * Returns: %TRUE if @id has the form of all job ids, "j-" and 6 to 18 digits. Such an id can stand
 * in a key of the key-value store and in a path.
 */
bool
mh_job_id_is_valid (const char *id);
