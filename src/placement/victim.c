#include "placement/victim.h"

#include "cluster/attempt.h"
#include "jobs/job-queue.h"

#include <string.h>

/* Weight that each level of priority adds to the loss of a CPU second. */
#define PRIORITY_LOSS_WEIGHT 3
/* Seconds that are added to the run time of a gang's tasks, for gathering the gang again. */
#define GATHERING_LOSS_S 30
/* Seconds that are added to the run time of other tasks, so that a task that has just begun counts,
   too. */
#define START_LOSS_S 1

/* Whether the holder is behind the preemptor in the queue, by tier and priority. */
static bool
is_behind_in_queue (const MhJob *holder, const MhJob *preemptor)
{
  guint holder_tier = mh_job_queue_tier (holder), tier = mh_job_queue_tier (preemptor);
  return tier < holder_tier
         || (tier == holder_tier && preemptor->spec->priority > holder->spec->priority);
}

bool
mh_victim_is_eligible (const MhJob *preemptor, const MhAttempt *victim)
{
  const MhJob *holder = victim->job;
  if (holder == preemptor || mh_attempt_is_stopping (victim))
    return false;
  /* The task with which a starved job begins is stopped for urgent work only. Without this rule it
     was stopped in the same pass that had placed it. */
  if (victim->job_was_starved && mh_job_queue_tier (preemptor) > MH_TIER_URGENT)
    return false;
  /* Without this rule, urgent work beyond its quota and normal work within its quota stopped each
     other a thousand times. */
  if (!is_behind_in_queue (holder, preemptor))
    return false;
  if (holder->spec->priority < preemptor->spec->priority)
    return true;
  /* A quota alone is no reason to stop a gang. Stopping one task stops the whole gang, which is
     placed again as soon as there is room: a gang was stopped forty times in a row for a quota,
     each time for only a part of its room. */
  return preemptor->placement.guaranteed && !mh_job_is_gang (holder)
         && strcmp (holder->spec->team, preemptor->spec->team) != 0;
}

double
mh_victim_work_loss (const MhJobSpec *spec, double seconds)
{
  return spec->cpus * seconds * (1 + PRIORITY_LOSS_WEIGHT * spec->priority);
}

/* The loss is the work that has to be done again, in CPU seconds. Higher priority counts more,
   since otherwise the same arrays are stopped repeatedly while arrays of lower priority run. */
double
mh_victim_loss (const MhAttempt *attempt, gint64 now_us)
{
  const MhJobSpec *spec = attempt->job->spec;
  double ran_s
      = attempt->running_since_us ? (double)(now_us - attempt->running_since_us) / MH_SECOND_US : 0;
  /* Stopping one task of a gang stops all of them, and the gang has to gather again. This cost also
     applies to a gang that has just begun: without it, such gangs were stopped first, up to four
     times in a row. */
  if (mh_job_is_gang (attempt->job))
    return spec->tasks * mh_victim_work_loss (spec, GATHERING_LOSS_S + ran_s);
  return mh_victim_work_loss (spec, START_LOSS_S + ran_s);
}

static gint
compare_loss (gconstpointer left, gconstpointer right, gpointer data)
{
  gint64 now_us = *(const gint64 *)data;
  double left_loss = mh_victim_loss (*(MhAttempt *const *)left, now_us);
  double right_loss = mh_victim_loss (*(MhAttempt *const *)right, now_us);
  return left_loss < right_loss ? -1 : left_loss > right_loss;
}

MhResources
mh_victims_capacity (const MhJob *preemptor, const MhMachine *machine, MhResources *preemptible)
{
  MhResources available = mh_resources_available (machine);
  *preemptible = (MhResources){ 0 };
  for (guint i = 0; i < machine->attempts->len; i++)
    {
      const MhAttempt *attempt = mh_machine_attempt (machine, i);
      if (mh_attempt_is_stopping (attempt))
        mh_resources_add_task (&available, attempt->job->spec);
      else if (mh_victim_is_eligible (preemptor, attempt))
        mh_resources_add_task (preemptible, attempt->job->spec);
    }
  preemptible->cpus += available.cpus;
  preemptible->gpus += available.gpus;
  preemptible->mem_gb += available.mem_gb;
  return available;
}

bool
mh_victims_suffice (const MhResources *resources, const MhJobSpec *spec, guint tasks)
{
  return spec->cpus * tasks <= resources->cpus + MH_RESOURCE_EPSILON
         && spec->mem_gb * tasks <= resources->mem_gb + MH_RESOURCE_EPSILON;
}

double
mh_victims_select (gint64 now_us, const MhJob *preemptor, const MhMachine *machine,
                   MhResources available, guint tasks, GPtrArray *victims)
{
  double loss = 0;
  guint selected = 0;
  g_ptr_array_set_size (victims, 0);
  for (guint i = 0; i < machine->attempts->len; i++)
    if (mh_victim_is_eligible (preemptor, mh_machine_attempt (machine, i)))
      g_ptr_array_add (victims, mh_machine_attempt (machine, i));
  g_ptr_array_sort_with_data (victims, compare_loss, &now_us);
  while (selected < victims->len && !mh_victims_suffice (&available, preemptor->spec, tasks))
    {
      const MhAttempt *attempt = g_ptr_array_index (victims, selected++);
      mh_resources_add_task (&available, attempt->job->spec);
      loss += mh_victim_loss (attempt, now_us);
    }
  g_ptr_array_set_size (victims, (gint)selected);
  return loss;
}
