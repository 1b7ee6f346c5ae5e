#include "stand-in/workload.h"

#include <string.h>

static void
job_free (gpointer data)
{
  WorkloadJob *job = data;
  mh_job_spec_free (job->spec);
  g_free (job->task_done);
  g_free (job);
}

Workload *
workload_new (void)
{
  Workload *workload = g_new0 (Workload, 1);
  /* The keys are owned by the specs. */
  workload->jobs = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, job_free);
  return workload;
}

void
workload_free (Workload *workload)
{
  g_hash_table_unref (workload->jobs);
  g_free (workload);
}

WorkloadJob *
workload_add (Workload *workload, MhJobSpec *spec, gint64 run_us)
{
  WorkloadJob *job = g_new0 (WorkloadJob, 1);
  job->spec = spec;
  job->run_us = run_us;
  job->task_done = g_new0 (guint8, spec->tasks);
  g_hash_table_insert (workload->jobs, spec->id, job);
  return job;
}

WorkloadJob *
workload_find (const Workload *workload, const char *job_id)
{
  return g_hash_table_lookup (workload->jobs, job_id);
}

bool
workload_job_is_gang (const WorkloadJob *job)
{
  return job->spec->shape == MH_SHAPE_GANG;
}

void
workload_job_finish_task (WorkloadJob *job, guint task_index)
{
  job->done_count += !job->task_done[task_index];
  job->task_done[task_index] = 1;
}

static gint
compare_ids (gconstpointer left, gconstpointer right)
{
  return strcmp (left, right);
}

static void
describe_job (const WorkloadJob *job, GString *out)
{
  g_string_append_printf (out, "job %s %d %" G_GINT64_FORMAT " %u %u ", job->spec->id,
                          job->accepted, job->cancel_confirmed_us, job->done_count,
                          job->orderly_stops);
  for (guint i = 0; i < job->spec->tasks; i++)
    g_string_append_c (out, job->task_done[i] ? '1' : '0');
  g_string_append_c (out, '\n');
}

void
workload_describe (const Workload *workload, GString *out)
{
  g_autoptr (GList) ids = g_list_sort (g_hash_table_get_keys (workload->jobs), compare_ids);
  for (const GList *link = ids; link; link = link->next)
    describe_job (workload_find (workload, link->data), out);
}
