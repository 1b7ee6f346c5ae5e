#include "stand-in/rule-checks.h"
#include "protocol/worker-messages.h"

#include <string.h>

#define MAX_SCHEDULABLE_WAIT_US (90 * MH_SECOND_US)
#define QUOTA_TOLERANCE 1e-6

RuleChecks *
rule_checks_new (const MhSettings *settings, const Workload *workload, GPtrArray *machines)
{
  RuleChecks *rules = g_new0 (RuleChecks, 1);
  rules->settings = settings;
  rules->workload = workload;
  rules->machines = g_ptr_array_ref (machines);
  rules->violations = g_ptr_array_new_with_free_func (g_free);
  return rules;
}

void
rule_checks_free (RuleChecks *rules)
{
  g_ptr_array_unref (rules->machines);
  g_ptr_array_unref (rules->violations);
  g_free (rules);
}

void
rule_checks_add_violation (RuleChecks *rules, const char *format, ...)
{
  va_list args;
  va_start (args, format);
  g_autofree char *text = g_strdup_vprintf (format, args);
  va_end (args);
  g_ptr_array_add (rules->violations,
                   g_strdup_printf ("%.3f %s", (double)rules->now_us / 1e6, text));
}

static bool
is_past_cancel_limit (const RuleChecks *rules, const WorkloadJob *job)
{
  return job->cancel_confirmed_us
         && rules->now_us > job->cancel_confirmed_us + rules->settings->cancel_limit_us;
}

/* ---- a task starts ---- */

typedef struct
{
  const Machine *machine;
  const MachineTask *task;
  const WorkloadJob *job;
  double team_cpus;
  guint same_zone_tasks, other_zone_tasks; /* number of other tasks of the job */
} TaskStart;

static void
check_against_task (RuleChecks *rules, TaskStart *start, const Machine *machine,
                    const MachineTask *other)
{
  if (other == start->task || strcmp (other->job_id, start->task->job_id) != 0)
    return;
  /* A rule of this project, not of the protocol. */
  if (workload_job_is_gang (start->job) && other->attempt != start->task->attempt)
    rule_checks_add_violation (rules, "two attempts of gang %s at the same time",
                               start->task->job_id);
  if (other->index == start->task->index)
    rule_checks_add_violation (rules, "ran_twice: %s starts on %s while it is on %s",
                               start->task->task_id, start->machine->name, machine->name);
  if (strcmp (machine->zone, start->machine->zone) == 0)
    start->same_zone_tasks++;
  else
    start->other_zone_tasks++;
}

static void
check_against_machine (RuleChecks *rules, TaskStart *start, const Machine *machine)
{
  for (guint i = 0; i < machine->tasks->len; i++)
    {
      const MachineTask *other = machine_task (machine, i);
      const WorkloadJob *other_job = workload_find (rules->workload, other->job_id);
      if (other->phase == MH_TASK_PHASE_ENDED)
        continue;
      if (strcmp (other_job->spec->team, start->job->spec->team) == 0)
        start->team_cpus += other_job->spec->cpus;
      check_against_task (rules, start, machine, other);
    }
}

static bool
is_placement_allowed (const TaskStart *start)
{
  const MhJobSpec *spec = start->job->spec;
  if (!machine_allowed (start->machine, spec))
    return false;
  if (spec->single_zone && start->other_zone_tasks)
    return false;
  return !spec->spread_over_zones || start->same_zone_tasks + 1 <= (spec->tasks + 1) / 2;
}

void
rule_checks_task_started (RuleChecks *rules, const Machine *machine, const MachineTask *task,
                          const WorkloadJob *job)
{
  TaskStart start = { .machine = machine, .task = task, .job = job };
  for (guint i = 0; i < rules->machines->len; i++)
    check_against_machine (rules, &start, g_ptr_array_index (rules->machines, i));
  const MhTeam *team = mh_settings_find_team (rules->settings, job->spec->team);
  if (start.team_cpus > team->cpus_max + QUOTA_TOLERANCE)
    rule_checks_add_violation (rules, "quota: %s uses %.1f", team->name, start.team_cpus);
  if (!is_placement_allowed (&start))
    rule_checks_add_violation (rules, "wrong_place: %s on %s", task->task_id, machine->name);
  if (is_past_cancel_limit (rules, job))
    rule_checks_add_violation (rules, "ran_cancelled: %s starts", task->task_id);
  rules->task_starts++;
}

/* ---- a task runs ---- */

void
rule_checks_task_running (RuleChecks *rules, const Machine *machine, const MachineTask *task,
                          WorkloadJob *job)
{
  if (task->phase == MH_TASK_PHASE_ENDED || !is_past_cancel_limit (rules, job))
    return;
  rule_checks_add_violation (rules, "ran_cancelled: %s is still on %s", task->task_id,
                             machine->name);
  job->cancel_confirmed_us = G_MAXINT64 / 2; /* each job is reported once */
}

/* ---- a job waits ---- */

/* Counts the tasks of the job on the machine that need no start now: those that have not ended, and
   those that ended without being done and are still listed. */
static guint
count_placed_tasks (const Machine *machine, const WorkloadJob *job)
{
  guint count = 0;
  for (guint i = 0; i < machine->tasks->len; i++)
    {
      const MachineTask *task = machine_task (machine, i);
      count += strcmp (task->job_id, job->spec->id) == 0
               && (task->phase != MH_TASK_PHASE_ENDED || !job->task_done[task->index]);
    }
  return count;
}

static bool
has_unplaced_task_within_quota (const RuleChecks *rules, const WorkloadJob *job)
{
  const MhJobSpec *spec = job->spec;
  const MhTeam *team = mh_settings_find_team (rules->settings, spec->team);
  double team_cpus = 0, unused = 0;
  guint placed = 0;
  for (guint i = 0; i < rules->machines->len; i++)
    {
      const Machine *machine = g_ptr_array_index (rules->machines, i);
      machine_add_use (machine, rules->workload, spec->team, &team_cpus, &unused);
      placed += count_placed_tasks (machine, job);
    }
  return placed + job->done_count < spec->tasks
         && team_cpus + spec->cpus <= team->cpus_max + QUOTA_TOLERANCE;
}

static bool
is_up (const Machine *machine)
{
  return machine->running && !machine->removed && !machine->failed;
}

static bool
is_usable (const RuleChecks *rules, const Machine *machine)
{
  return is_up (machine) && !machine->fails_all_tasks && rules->now_us >= machine->hung_until_us;
}

static guint
count_placed_in_zone (const RuleChecks *rules, const WorkloadJob *job, const char *zone)
{
  guint count = 0;
  for (guint i = 0; i < rules->machines->len; i++)
    {
      const Machine *machine = g_ptr_array_index (rules->machines, i);
      if (is_up (machine) && strcmp (machine->zone, zone) == 0)
        count += count_placed_tasks (machine, job);
    }
  return count;
}

/* Replicas of a service may go to a zone that has the fewest of them, whatever the maximum skew. */
static bool
is_zone_open (const RuleChecks *rules, const WorkloadJob *job, const char *zone)
{
  if (job->spec->shape != MH_SHAPE_SERVICE)
    return true;
  guint count = count_placed_in_zone (rules, job, zone);
  for (guint i = 0; i < rules->machines->len; i++)
    {
      const Machine *machine = g_ptr_array_index (rules->machines, i);
      if (is_up (machine) && count_placed_in_zone (rules, job, machine->zone) < count)
        return false;
    }
  return true;
}

/* Returns whether a task of the job could start now, whatever its other tasks do. */
static bool
could_start_a_task (const RuleChecks *rules, const WorkloadJob *job)
{
  if (!has_unplaced_task_within_quota (rules, job))
    return false;
  for (guint i = 0; i < rules->machines->len; i++)
    {
      const Machine *machine = g_ptr_array_index (rules->machines, i);
      if (is_usable (rules, machine) && machine_allowed (machine, job->spec)
          && machine_has_room (machine, rules->workload, job->spec)
          && is_zone_open (rules, job, machine->zone))
        return true;
    }
  return false;
}

/* Returns whether the job waits although it could run. Excludes gangs, and jobs whose possible
   zones depend on their other tasks in other ways than those of services do. */
static bool
must_not_keep_waiting (const RuleChecks *rules, const WorkloadJob *job)
{
  const MhJobSpec *spec = job->spec;
  return spec->shape != MH_SHAPE_GANG && !spec->single_zone && !spec->spread_over_zones
         && job->accepted && !job->cancel_confirmed_us && could_start_a_task (rules, job);
}

void
rule_checks_waiting_jobs (RuleChecks *rules)
{
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init (&it, rules->workload->jobs);
  while (g_hash_table_iter_next (&it, NULL, &value))
    {
      WorkloadJob *job = value;
      if (!must_not_keep_waiting (rules, job))
        job->schedulable_since_us = 0;
      else if (job->schedulable_since_us == 0)
        job->schedulable_since_us = rules->now_us;
      else if (rules->now_us - job->schedulable_since_us > MAX_SCHEDULABLE_WAIT_US)
        {
          rule_checks_add_violation (rules, "kept waiting: %s, although a machine has room",
                                     job->spec->id);
          job->schedulable_since_us = rules->now_us;
        }
    }
}
