#include "stand-in/worker-runtime.h"
#include "protocol/worker-messages.h"

#include <string.h>

#define FAILURE_DELAY_US MH_SECOND_US

WorkerRuntime *
worker_runtime_new (const MhSettings *settings, Workload *workload, RuleChecks *rules)
{
  WorkerRuntime *runtime = g_new0 (WorkerRuntime, 1);
  runtime->settings = settings;
  runtime->workload = workload;
  runtime->rules = rules;
  return runtime;
}

void
worker_runtime_free (WorkerRuntime *runtime)
{
  g_free (runtime);
}

static void
end_task (MachineTask *task, const char *end_cause)
{
  task->phase = MH_TASK_PHASE_ENDED;
  task->end_cause = end_cause;
}

/* ---- commands ---- */

/* Returns whether the machine lists the attempt. An earlier attempt that has ended stays listed
   beside a later one until a command clears it. */
static bool
has_attempt (const Machine *machine, const char *task_id, guint64 attempt, bool *other_runs)
{
  *other_runs = false;
  for (guint i = 0; i < machine->tasks->len; i++)
    {
      const MachineTask *other = machine_task (machine, i);
      if (strcmp (other->task_id, task_id) != 0)
        continue;
      if (other->attempt == attempt)
        return true;
      *other_runs |= other->phase != MH_TASK_PHASE_ENDED;
    }
  return false;
}

static const char *
cause_of_refusal (const WorkerRuntime *runtime, const Machine *machine, const WorkloadJob *job,
                  bool other_runs)
{
  if (job == NULL)
    return "no_such";
  if (other_runs)
    return "in_use";
  return machine_has_room (machine, runtime->workload, job->spec) ? NULL : "full";
}

static void
begin_task (const WorkerRuntime *runtime, const Machine *machine, const WorkloadJob *job,
            MachineTask *task)
{
  bool cached = g_hash_table_contains (machine->cached_images, job->spec->image);
  gint64 fetch_us = cached ? 0 : (gint64)(job->spec->image_gb * 1e6);
  if (!cached)
    task->phase = MH_TASK_PHASE_FETCHING_IMAGE;
  else
    task->phase
        = workload_job_is_gang (job) ? MH_TASK_PHASE_WAITING_FOR_GANG : MH_TASK_PHASE_RUNNING;
  task->ready_us = runtime->now_us + fetch_us;
  if (job->run_us)
    task->end_us = task->ready_us + job->run_us + job->stagger_us * task->index;
}

void
worker_runtime_start_task (WorkerRuntime *runtime, Machine *machine, const char *task_id,
                           guint64 attempt)
{
  g_auto (GStrv) parts = g_strsplit (task_id, "/", 2);
  const WorkloadJob *job = workload_find (runtime->workload, parts[0]);
  bool other_runs;
  if (has_attempt (machine, task_id, attempt, &other_runs))
    return;
  MachineTask task = { .task_id = g_strdup (task_id),
                       .job_id = g_strdup (parts[0]),
                       .index = (guint)g_ascii_strtoull (parts[1], NULL, 10),
                       .attempt = attempt };
  const char *refusal = cause_of_refusal (runtime, machine, job, other_runs);
  if (refusal)
    end_task (&task, refusal);
  else
    begin_task (runtime, machine, job, &task);
  g_array_append_val (machine->tasks, task);
  if (refusal == NULL)
    rule_checks_task_started (runtime->rules, machine,
                              machine_task (machine, machine->tasks->len - 1), job);
}

/* Returns whether the task saves a checkpoint before it ends. A running task of a gang with
   checkpoints does so if the grace period is long enough. */
static bool
begin_save (const WorkerRuntime *runtime, MachineTask *task, double grace_s)
{
  WorkloadJob *job = workload_find (runtime->workload, task->job_id);
  if (task->phase == MH_TASK_PHASE_CHECKPOINTING)
    return grace_s > 0;
  if (job == NULL || !workload_job_is_gang (job) || task->phase != MH_TASK_PHASE_RUNNING)
    return false;
  if (job->spec->checkpoint_interval_us == 0
      || grace_s * 1e6 < (double)job->spec->checkpoint_save_us)
    return false;
  task->phase = MH_TASK_PHASE_CHECKPOINTING;
  task->stop_requested_us = runtime->now_us;
  if (job->stop_requested_us == 0)
    job->stop_requested_us = runtime->now_us;
  return true;
}

void
worker_runtime_stop_task (WorkerRuntime *runtime, MachineTask *task, double grace_s)
{
  if (!begin_save (runtime, task, grace_s) && task->phase != MH_TASK_PHASE_ENDED)
    end_task (task, "stopped");
}

/* ---- time ---- */

/* Returns whether the worker executes now. */
static bool
advance_machine_power (const WorkerRuntime *runtime, Machine *machine)
{
  if (machine->removed || machine->failed)
    return false;
  if (machine->preempted_at_us && runtime->now_us >= machine->preempted_at_us)
    {
      machine_remove (machine, runtime->now_us);
      return false;
    }
  if (!machine->running)
    {
      if (runtime->now_us < machine->boot_done_us)
        return false;
      machine->running = true;
      machine->lease_start_us = runtime->now_us;
    }
  return runtime->now_us >= machine->hung_until_us;
}

/* A worker whose lease has expired stops all its tasks and begins a new incarnation. */
static void
advance_lease (const WorkerRuntime *runtime, Machine *machine)
{
  if (runtime->now_us <= machine->lease_start_us + runtime->settings->worker_lease_us)
    return;
  g_array_set_size (machine->tasks, 0);
  machine->incarnation++;
  machine->heartbeat_sequence = 0;
  machine->lease_start_us = runtime->now_us;
}

static bool
is_failing (const Machine *machine, const MachineTask *task, gint64 now_us)
{
  const WorkloadJob *job = task->workload_job;
  if (machine->fails_all_tasks)
    return now_us >= task->ready_us + FAILURE_DELAY_US;
  return job && job->always_fails
         && now_us >= task->ready_us + MAX (job->fails_after_us, FAILURE_DELAY_US);
}

static void
advance_task (const WorkerRuntime *runtime, Machine *machine, MachineTask *task)
{
  gint64 now_us = runtime->now_us;
  WorkloadJob *job = task->workload_job;
  bool gang = job && workload_job_is_gang (job);
  if (task->phase == MH_TASK_PHASE_FETCHING_IMAGE && now_us >= task->ready_us)
    {
      task->phase = gang ? MH_TASK_PHASE_WAITING_FOR_GANG : MH_TASK_PHASE_RUNNING;
      g_hash_table_add (machine->cached_images, g_strdup (job->spec->image));
    }
  if (task->phase == MH_TASK_PHASE_RUNNING && is_failing (machine, task, now_us))
    end_task (task, "error");
  if (task->phase == MH_TASK_PHASE_WAITING_FOR_GANG
      && now_us > task->ready_us + runtime->settings->gang_wait_us)
    end_task (task, "incomplete");
  if (task->phase == MH_TASK_PHASE_RUNNING && !gang && task->end_us && now_us >= task->end_us)
    {
      end_task (task, "done");
      workload_job_finish_task (job, task->index);
    }
  rule_checks_task_running (runtime->rules, machine, task, job);
}

void
worker_runtime_advance (WorkerRuntime *runtime, Machine *machine)
{
  if (!advance_machine_power (runtime, machine))
    return;
  advance_lease (runtime, machine);
  for (guint i = 0; i < machine->tasks->len; i++)
    {
      MachineTask *task = machine_task (machine, i);
      if (task->workload_job == NULL)
        task->workload_job = workload_find (runtime->workload, task->job_id);
      advance_task (runtime, machine, task);
    }
}
