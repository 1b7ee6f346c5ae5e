/* Types that the files of the cluster layer share. */
#pragma once

#include "jobs/job.h"

/**
 * MhCluster:
 *
 * What a leader knows of its machines. It begins empty with each leadership, and is rebuilt from
 * the records, from the cloud's list, and from the workers' reports.
 */
typedef struct MhCluster MhCluster;

/**
 * MhClusterCallbacks:
 * @release_machine: gives @machine back to the cloud; @reason is a static string, for the log
 * @capacity_changed: tasks can be placed that could not be before; @urgent: the next placement pass
 *   must not wait, since somebody made room on purpose or a replica of a service is gone
 * @gang_loaded: a gang was read from its records, with all its attempts
 * @gang_task_over: an attempt of a gang is proven over; @done: with a result. The other attempts
 * may not be changed from here: the caller may be walking over them
 * @gang_stop: all attempts of a gang are to be stopped, with @grace_us to save
 *
 * What the layers above are told. All are set, by the controller, before the first call.
 */
typedef struct
{
  void (*release_machine) (MhCore *core, MhMachine *machine, const char *reason);
  void (*capacity_changed) (MhCore *core, bool urgent);
  void (*gang_loaded) (MhCore *core, MhJob *job);
  void (*gang_task_over) (MhCore *core, MhJob *job, bool done);
  void (*gang_stop) (MhCore *core, MhJob *job, gint64 grace_us);
} MhClusterCallbacks;
