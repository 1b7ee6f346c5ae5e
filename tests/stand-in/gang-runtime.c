/* The part of worker-runtime.h that runs gangs: what their tasks do together. */
#include "stand-in/worker-runtime.h"
#include "protocol/worker-messages.h"

#include <string.h>

/* The tasks of a gang that have not ended, on running machines that do not hang. */
typedef struct
{
  GPtrArray *started_tasks; /* MachineTask: running or saving a checkpoint */
  guint waiting_count, saved_count;
  guint64 attempt;
} GangState;

static void
collect_task (const WorkerRuntime *runtime, const MhJobSpec *spec, MachineTask *task,
              GangState *state)
{
  if (strcmp (task->job_id, spec->id) != 0 || task->phase == MH_TASK_PHASE_ENDED)
    return;
  state->attempt = task->attempt;
  state->waiting_count += task->phase == MH_TASK_PHASE_WAITING_FOR_GANG;
  state->saved_count += task->phase == MH_TASK_PHASE_CHECKPOINTING
                        && runtime->now_us >= task->stop_requested_us + spec->checkpoint_save_us;
  if (task->phase >= MH_TASK_PHASE_RUNNING)
    g_ptr_array_add (state->started_tasks, task);
}

static void
collect_tasks (const WorkerRuntime *runtime, const GPtrArray *machines, const MhJobSpec *spec,
               GangState *state)
{
  for (guint i = 0; i < machines->len; i++)
    {
      const Machine *machine = g_ptr_array_index (machines, i);
      if (!machine->running || runtime->now_us < machine->hung_until_us)
        continue;
      for (guint j = 0; j < machine->tasks->len; j++)
        collect_task (runtime, spec, machine_task (machine, j), state);
    }
}

static void
begin_running (const WorkerRuntime *runtime, const GPtrArray *machines, WorkloadJob *job,
               guint64 attempt)
{
  job->running_attempt = attempt;
  job->running_since_us = runtime->now_us;
  job->stop_requested_us = job->incomplete_since_us = 0;
  for (guint i = 0; i < machines->len; i++)
    {
      const Machine *machine = g_ptr_array_index (machines, i);
      for (guint j = 0; j < machine->tasks->len; j++)
        {
          MachineTask *task = machine_task (machine, j);
          if (strcmp (task->job_id, job->spec->id) == 0
              && task->phase == MH_TASK_PHASE_WAITING_FOR_GANG)
            task->phase = MH_TASK_PHASE_RUNNING;
        }
    }
}

static void
end_gang (WorkloadJob *job, const GPtrArray *tasks, const char *end_cause)
{
  for (guint i = 0; i < tasks->len; i++)
    {
      MachineTask *task = g_ptr_array_index (tasks, i);
      task->phase = MH_TASK_PHASE_ENDED;
      task->end_cause = end_cause;
    }
  job->running_attempt = 0;
  job->incomplete_since_us = job->stop_requested_us = 0;
}

/* Returns whether the other tasks have waited long enough for a lost task, or for one that does not
   finish its checkpoint. */
static bool
should_give_up (const WorkerRuntime *runtime, const WorkloadJob *job)
{
  gint64 peer_timeout_us = runtime->settings->gang_peer_us;
  if (job->incomplete_since_us && runtime->now_us > job->incomplete_since_us + peer_timeout_us)
    return true;
  return job->stop_requested_us
         && runtime->now_us
                > job->stop_requested_us + job->spec->checkpoint_save_us + peer_timeout_us;
}

static void
advance_running (const WorkerRuntime *runtime, WorkloadJob *job, const GangState *state)
{
  const MhJobSpec *spec = job->spec;
  gint64 until_us = job->stop_requested_us ? job->stop_requested_us : runtime->now_us;
  gint64 progress_us = job->saved_progress_us + until_us - job->running_since_us;
  if (state->started_tasks->len < spec->tasks && job->incomplete_since_us == 0)
    job->incomplete_since_us = runtime->now_us;
  bool undisturbed = job->stop_requested_us == 0 && job->incomplete_since_us == 0;
  if (state->saved_count == spec->tasks)
    {
      job->saved_progress_us = progress_us;
      job->orderly_stops++;
      end_gang (job, state->started_tasks, "stopped");
    }
  else if (should_give_up (runtime, job))
    {
      if (spec->checkpoint_interval_us)
        job->saved_progress_us
            = progress_us / spec->checkpoint_interval_us * spec->checkpoint_interval_us;
      end_gang (job, state->started_tasks, "peers");
    }
  else if (job->run_us && progress_us >= job->run_us && undisturbed)
    {
      end_gang (job, state->started_tasks, "done");
      memset (job->task_done, 1, spec->tasks);
      job->done_count = spec->tasks;
    }
}

void
worker_runtime_advance_gang (WorkerRuntime *runtime, const GPtrArray *machines, WorkloadJob *job)
{
  g_autoptr (GPtrArray) started_tasks = g_ptr_array_new ();
  GangState state = { .started_tasks = started_tasks };
  collect_tasks (runtime, machines, job->spec, &state);
  if (state.waiting_count == job->spec->tasks)
    begin_running (runtime, machines, job, state.attempt);
  else if (job->running_attempt != 0 && started_tasks->len > 0)
    advance_running (runtime, job, &state);
}
