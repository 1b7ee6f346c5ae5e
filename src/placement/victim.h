/* Victims of preemption: which tasks may be stopped for which job, and what is lost with them. */
#pragma once

#include "placement/resources.h"

/**
 * mh_victim_is_eligible:
 * @preemptor: a job with pending tasks
 * @victim: an attempt
 *
 * Only from jobs that stand further back in the queue is anything taken: else two jobs stop each
 * other in turn.
 *
 * Returns: whether @victim may be stopped for a task of @preemptor
 */
bool
mh_victim_is_eligible (const MhJob *preemptor, const MhAttempt *victim);

/**
 * mh_victim_work_loss:
 * @spec: a job
 * @seconds: for which one of its tasks has run
 *
 * Returns: what is lost with that work; that of higher priority counts more
 */
double
mh_victim_work_loss (const MhJobSpec *spec, double seconds);

/**
 * mh_victim_loss:
 * @attempt: an attempt
 * @now_us: the present, by the steady clock
 *
 * Returns: what is lost if @attempt is stopped; for a gang, with all of its tasks
 */
double
mh_victim_loss (const MhAttempt *attempt, gint64 now_us);

/**
 * mh_victims_capacity:
 * @preemptor: a job with pending tasks
 * @machine: a machine
 * @preemptible: (out): what there is if all eligible tasks are stopped as well
 *
 * Capacity that is being freed already counts, so that one need is not met twice.
 *
 * Returns: what is available on @machine when all tasks that are being stopped have left
 */
MhResources
mh_victims_capacity (const MhJob *preemptor, const MhMachine *machine, MhResources *preemptible);

/**
 * mh_victims_suffice:
 * @resources: what there is, or would be
 * @spec: a job that needs no GPU
 * @tasks: how many of its tasks
 *
 * Returns: whether @resources are enough; GPUs are not looked at
 */
bool
mh_victims_suffice (const MhResources *resources, const MhJobSpec *spec, guint tasks);

/**
 * mh_victims_select:
 * @now_us: the present, by the steady clock
 * @preemptor: a job with pending tasks
 * @machine: a machine
 * @available: what there is without victims, see mh_victims_capacity()
 * @tasks: for how many tasks of @preemptor capacity is needed
 * @victims: (element-type MhAttempt): emptied, then filled in
 *
 * Selects the eligible attempts with the least loss whose end makes @available enough.
 *
 * Returns: what is lost with them
 */
double
mh_victims_select (gint64 now_us, const MhJob *preemptor, const MhMachine *machine,
                   MhResources available, guint tasks, GPtrArray *victims);
