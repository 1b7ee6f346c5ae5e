/* The handlers through which src/storage calls the layers above it when records were written or
   read. */
#include "controller/core-private.h"

#include "cluster/attempt.h"
#include "cluster/machine-registry.h"
#include "cluster/task-failure.h"

/* ---- record writer ---- */

static void
on_job_accepted (gpointer owner, MhJob *job)
{
  MhCore *core = owner;
  mh_placement_request_pass (core->placement, job->spec->shape == MH_SHAPE_SERVICE);
}

static void
on_job_ended (gpointer owner, const MhJob *job, const MhUserResponse *response)
{
  MhCore *core = owner;
  mh_final_state_cache_add (core->final_states, job->spec->id, response);
}

/* The job may be one that has ended, submitted again: its users get its final state. */
static void
on_submission_refused (gpointer owner, const MhJob *job)
{
  MhCore *core = owner;
  for (guint i = 0; i < job->waiters->len; i++)
    {
      const MhLookupRequest request = { .id = g_array_index (job->waiters, MhWaiter, i).id,
                                        .job = job->spec->id,
                                        .verb = MH_USER_SUBMIT,
                                        .scope = MH_LOOKUP_LEADER,
                                        .absence = MH_LOOKUP_REFUSED_BY_STORE };
      mh_job_lookup_ask (core->job_lookup, &request);
    }
}

/* Attempts of these tasks may have become durable: sends the starts that waited for that. */
static void
on_attempts_recorded (gpointer owner, MhJob *job, guint first_task, guint end_task)
{
  MhCore *core = owner;
  for (guint i = first_task; i < end_task; i++)
    if (job->tasks[i].live && !mh_attempt_start_was_sent (job->tasks[i].live))
      mh_machine_schedule_commands (core->cluster, job->tasks[i].live->machine);
}

static void
on_job_rechunked (gpointer owner, MhJob *job)
{
  MhCore *core = owner;
  for (guint i = 0; i < job->spec->tasks; i++)
    if (job->tasks[i].live)
      mh_machine_schedule_commands (core->cluster, job->tasks[i].live->machine);
}

static void
on_leadership_lost (gpointer owner, MhLossReason reason)
{
  MhCore *core = owner;
  mh_election_step_down (core->election, reason);
}

static const char *
machine_name (const MhAttempt *attempt)
{
  return attempt->machine->name;
}

static const MhRecordWriterCallbacks writer_callbacks
    = { .job_accepted = on_job_accepted,
        .job_ended = on_job_ended,
        .submission_refused = on_submission_refused,
        .attempts_recorded = on_attempts_recorded,
        .job_rechunked = on_job_rechunked,
        .leadership_lost = on_leadership_lost,
        .machine_name = machine_name };

/* ---- record loader ---- */

static void
on_attempt_found (gpointer owner, MhJob *job, guint index, guint32 attempt, const char *machine)
{
  MhCore *core = owner;
  MhMachine *found = mh_cluster_find_machine (core->cluster, machine);
  if (found == NULL)
    found = mh_cluster_add_machine (core->cluster, machine, NULL, NULL, false);
  mh_attempt_new_from_record (core->cluster, job, index, attempt, found);
}

static void
on_back_off_found (gpointer owner, MhJob *job, guint level)
{
  MhCore *core = owner;
  mh_task_failure_load_back_off (core->cluster, job, level);
}

static void
on_release_found (gpointer owner, const MhKvEntry *entry)
{
  MhCore *core = owner;
  mh_autoscaler_load_release (core->autoscaler, entry);
}

static void
on_job_unreadable (gpointer owner, MhJob *job)
{
  MhCore *core = owner;
  for (guint i = 0; i < job->spec->tasks; i++)
    if (job->tasks[i].live)
      mh_attempt_discard (core->cluster, job->tasks[i].live);
}

static void
on_records_loaded (gpointer owner)
{
  MhCore *core = owner;
  mh_election_handle_records_loaded (core->election);
}

static const MhRecordLoaderCallbacks loader_callbacks = { .attempt_found = on_attempt_found,
                                                          .back_off_found = on_back_off_found,
                                                          .release_found = on_release_found,
                                                          .job_unreadable = on_job_unreadable,
                                                          .loaded = on_records_loaded };

/* ---- job lookup ---- */

static void
on_final_response_read (gpointer owner, const char *job, const MhUserResponse *response)
{
  MhCore *core = owner;
  mh_final_state_cache_add (core->final_states, job, response);
}

void
mh_core_storage_init (MhCore *core)
{
  core->record_writer
      = mh_record_writer_new (core->runtime, core->calls, core->jobs, &writer_callbacks, core);
  core->record_loader = mh_record_loader_new (core->runtime, core->calls, core->jobs,
                                              core->record_writer, &loader_callbacks, core);
  core->job_lookup
      = mh_job_lookup_new (core->runtime, core->calls, core->jobs, on_final_response_read, core);
}

void
mh_core_storage_free (MhCore *core)
{
  mh_job_lookup_free (core->job_lookup);
  mh_record_loader_free (core->record_loader);
  mh_record_writer_free (core->record_writer);
}
