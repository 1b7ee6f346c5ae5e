/* Victims of preemption: which tasks may be stopped for a job, and how much work is lost. */
#pragma once

#include "placement/resources.h"

/**
 * mh_victim_is_eligible:
 * @preemptor: a job with pending tasks
 * @victim: an attempt
 *
 * Only tasks of jobs further back in the queue are eligible. Otherwise two jobs could stop each
 * other in turn.
 *
 * Returns: whether @victim may be stopped for a task of @preemptor
 */
bool
mh_victim_is_eligible (const MhJob *preemptor, const MhAttempt *victim);

/**
 * mh_victim_work_loss:
 * @spec: a job
 * @seconds: how long one of its tasks has run
 *
 * Returns: the loss if that work has to be done again, in CPU seconds weighted by the job's
 * priority
 */
double
mh_victim_work_loss (const MhJobSpec *spec, double seconds);

/**
 * mh_victim_loss:
 * @attempt: an attempt
 * @now_us: the current time, by the monotonic clock
 *
 * Returns: the loss if @attempt is stopped; for a gang, the loss of all its tasks, which stop
 * together; see mh_victim_work_loss()
 */
double
mh_victim_loss (const MhAttempt *attempt, gint64 now_us);

/**
 * mh_victims_capacity:
 * @preemptor: a job with pending tasks
 * @machine: a machine
 * @preemptible: (out): what is available on @machine if all eligible tasks are stopped, too
 *
 * Capacity that is being freed is included in both, so that no room is made twice for the same
 * task.
 *
 * Returns: what is available on @machine once all tasks that are being stopped have left
 */
MhResources
mh_victims_capacity (const MhJob *preemptor, const MhMachine *machine, MhResources *preemptible);

/**
 * mh_victims_suffice:
 * @resources: available resources
 * @spec: a job that needs no GPU
 * @tasks: number of its tasks
 *
 * Returns: whether CPUs and memory of @resources are enough; GPUs are ignored
 */
bool
mh_victims_suffice (const MhResources *resources, const MhJobSpec *spec, guint tasks);

/**
 * mh_victims_select:
 * @now_us: the current time, by the monotonic clock
 * @preemptor: a job with pending tasks
 * @machine: a machine
 * @available: capacity without victims, as returned by mh_victims_capacity()
 * @tasks: number of tasks of @preemptor that need capacity
 * @victims: (element-type MhAttempt): emptied, then filled with the victims
 *
 * Selects eligible attempts in ascending order of their loss, until @available and what they free
 * are enough.
 *
 * Returns: the sum of the losses; see mh_victim_loss()
 */
double
mh_victims_select (gint64 now_us, const MhJob *preemptor, const MhMachine *machine,
                   MhResources available, guint tasks, GPtrArray *victims);
