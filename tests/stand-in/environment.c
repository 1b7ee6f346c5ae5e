#include "stand-in/environment.h"

/* A rule of this project, not of the protocol: each transaction must depend on the leader key, so
   that a late transaction of an earlier leader fails. */
static void
on_unfenced_transaction (gpointer data)
{
  RuleChecks *rules = data;
  rule_checks_add_violation (rules, "a transaction without a condition on the leader's key");
}

static void
set_time (Environment *environment, gint64 now_us)
{
  environment->cloud->now_us = now_us;
  environment->rules->now_us = now_us;
  environment->runtime->now_us = now_us;
}

Environment *
environment_new (const MhSettings *settings, gint64 now_us)
{
  Environment *environment = g_new0 (Environment, 1);
  g_autoptr (GPtrArray) machines = g_ptr_array_new_with_free_func (machine_free);
  environment->workload = workload_new ();
  environment->rules = rule_checks_new (settings, environment->workload, machines);
  environment->runtime = worker_runtime_new (settings, environment->workload, environment->rules);
  environment->cloud = cloud_new (machines, settings->list_lag_us, environment->runtime);
  environment->store = key_value_store_new (settings);
  environment->store->now_us = now_us;
  key_value_store_set_unfenced_func (environment->store, on_unfenced_transaction,
                                     environment->rules);
  set_time (environment, now_us);
  return environment;
}

void
environment_free (Environment *environment)
{
  key_value_store_free (environment->store);
  cloud_free (environment->cloud);
  worker_runtime_free (environment->runtime);
  rule_checks_free (environment->rules);
  workload_free (environment->workload);
  g_free (environment);
}

static void
advance_gangs (const Environment *environment)
{
  GHashTableIter it;
  gpointer job;
  g_hash_table_iter_init (&it, environment->workload->jobs);
  while (g_hash_table_iter_next (&it, NULL, &job))
    if (workload_job_is_gang (job))
      worker_runtime_advance_gang (environment->runtime, environment->cloud->machines, job);
}

void
environment_advance (Environment *environment, gint64 now_us, GArray *ended)
{
  const GPtrArray *machines = environment->cloud->machines;
  set_time (environment, now_us);
  key_value_store_advance (environment->store, now_us, ended);
  for (guint i = 0; i < machines->len; i++)
    worker_runtime_advance (environment->runtime, g_ptr_array_index (machines, i));
  advance_gangs (environment);
}

bool
environment_serve (Environment *environment, MhTarget target, const ServiceRequest *request,
                   ServiceResponse *response)
{
  if (target == MH_TARGET_KEY_VALUE_STORE)
    return key_value_store_serve (environment->store, request, response);
  cloud_serve (environment->cloud, request, response);
  return true;
}

guint
environment_running_tasks (const Environment *environment, const char *job_id)
{
  const GPtrArray *machines = environment->cloud->machines;
  guint count = 0;
  for (guint i = 0; i < machines->len; i++)
    count += machine_running_tasks (g_ptr_array_index (machines, i), job_id);
  return count;
}

void
environment_describe (const Environment *environment, GString *out)
{
  const KeyValueStore *store = environment->store;
  const Cloud *cloud = environment->cloud;
  const RuleChecks *rules = environment->rules;
  g_string_append_printf (out, "revision %" G_GUINT64_FORMAT " starts %u rented %" G_GUINT64_FORMAT,
                          store->revision, rules->task_starts, cloud->machines_created);
  g_string_append_printf (out, " leases %u lists %u finals %u malformed %u refused %u\n",
                          g_hash_table_size (store->lease_expiries), cloud->list_requests,
                          store->final_record_reads, store->malformed_writes,
                          store->throttled_writes);
  key_value_store_describe_keys (store, out);
  for (guint i = 0; i < cloud->machines->len; i++)
    machine_describe (g_ptr_array_index (cloud->machines, i), out);
  cloud_describe_create_requests (cloud, out);
  workload_describe (environment->workload, out);
  for (guint i = 0; i < rules->violations->len; i++)
    g_string_append_printf (out, "broken %s\n",
                            (const char *)g_ptr_array_index (rules->violations, i));
}
