#include "placement/victim.h"

#include "cluster/attempt.h"
#include "jobs/job-queue.h"

#include <string.h>

/* How much more the work of each step of priority counts. */
#define PRIORITY_LOSS 3
/* What it costs a gang to gather once more. */
#define GATHERING_LOSS_S 30
/* A task that has just begun is no less than this. */
#define START_LOSS_S 1

static bool
stands_further_back (const MhJob *holder, const MhJob *preemptor)
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
  /* The one task with which a starved job begins gives way to urgent work alone: it once was
     stopped in the very pass that had placed it. */
  if (victim->job_was_starved && mh_job_queue_tier (preemptor) > MH_TIER_URGENT)
    return false;
  /* Urgent work beyond its quota and normal work within one once stopped each other a thousand
     times. */
  if (!stands_further_back (holder, preemptor))
    return false;
  if (holder->spec->priority < preemptor->spec->priority)
    return true;
  /* One task costs the whole gang, which is placed again as soon as there is room: for a quota
     alone a gang was stopped forty times in a row, and each time for a part of its room. */
  return preemptor->placement.guaranteed && !mh_job_is_gang (holder)
         && strcmp (holder->spec->team, preemptor->spec->team) != 0;
}

double
mh_victim_work_loss (const MhJobSpec *spec, double seconds)
{
  return spec->cpus * seconds * (1 + PRIORITY_LOSS * spec->priority);
}

/* Work done again, by the cpu; that of higher priority counts more, else the same arrays are
   stopped time and again while lesser ones run. */
double
mh_victim_loss (const MhAttempt *attempt, gint64 now_us)
{
  const MhJobSpec *spec = attempt->job->spec;
  double ran_s
      = attempt->running_since_us ? (double)(now_us - attempt->running_since_us) / MH_SECOND_US : 0;
  /* One task of a gang costs the whole of it, which has to gather again, also one that has just
     begun: those once were stopped first, up to four times in a row. */
  if (mh_job_is_gang (attempt->job))
    return spec->tasks * mh_victim_work_loss (spec, GATHERING_LOSS_S + ran_s);
  return mh_victim_work_loss (spec, START_LOSS_S + ran_s);
}

static gint
compare_loss (gconstpointer left, gconstpointer right, gpointer now_us)
{
  gint64 now = *(const gint64 *)now_us;
  double left_loss = mh_victim_loss (*(MhAttempt *const *)left, now);
  double right_loss = mh_victim_loss (*(MhAttempt *const *)right, now);
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
  g_autoptr (GPtrArray) eligible = g_ptr_array_new ();
  double loss = 0;
  for (guint i = 0; i < machine->attempts->len; i++)
    if (mh_victim_is_eligible (preemptor, mh_machine_attempt (machine, i)))
      g_ptr_array_add (eligible, mh_machine_attempt (machine, i));
  g_ptr_array_sort_with_data (eligible, compare_loss, &now_us);
  g_ptr_array_set_size (victims, 0);
  for (guint i = 0; i < eligible->len; i++)
    {
      MhAttempt *attempt = g_ptr_array_index (eligible, i);
      if (mh_victims_suffice (&available, preemptor->spec, tasks))
        break;
      mh_resources_add_task (&available, attempt->job->spec);
      loss += mh_victim_loss (attempt, now_us);
      g_ptr_array_add (victims, attempt);
    }
  return loss;
}
