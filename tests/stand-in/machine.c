#include "stand-in/machine.h"

#include <string.h>

#define CAPACITY_TOLERANCE 1e-6
#define MACHINES_PER_SUBNET 250

static const MachineType types[] = {
  { "small", 4, 8, 0.3, 0.1 },
  { "large", 16, 64, 1.0, 0.3 },
};

const MachineType *
machine_types (guint *count)
{
  *count = G_N_ELEMENTS (types);
  return types;
}

static const MachineType *
machine_type (const Machine *machine)
{
  return strcmp (machine->type, types[0].name) == 0 ? &types[0] : &types[1];
}

static void
task_clear (gpointer data)
{
  MachineTask *task = data;
  g_free (task->task_id);
  g_free (task->job_id);
}

Machine *
machine_new (guint number, const char *type, const char *zone, struct WorkerRuntime *runtime)
{
  Machine *machine = g_new0 (Machine, 1);
  machine->name = g_strdup_printf ("vm-%06u", number);
  machine->endpoint = g_strdup_printf ("10.1.%u.%u:9000", number / MACHINES_PER_SUBNET,
                                       number % MACHINES_PER_SUBNET + 1);
  machine->type = g_strdup (type);
  machine->zone = g_strdup (zone);
  machine->incarnation = 1;
  machine->tasks = g_array_new (FALSE, FALSE, sizeof (MachineTask));
  g_array_set_clear_func (machine->tasks, task_clear);
  machine->cached_images = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  machine->runtime = runtime;
  return machine;
}

void
machine_free (gpointer data)
{
  Machine *machine = data;
  g_free (machine->name);
  g_free (machine->endpoint);
  g_free (machine->type);
  g_free (machine->zone);
  g_array_unref (machine->tasks);
  g_hash_table_unref (machine->cached_images);
  g_free (machine);
}

void
machine_fail (Machine *machine)
{
  machine->failed = true;
  machine->running = false;
  g_array_set_size (machine->tasks, 0);
}

void
machine_remove (Machine *machine, gint64 now_us)
{
  machine->removed = true;
  machine->running = false;
  machine->removed_us = now_us;
  g_array_set_size (machine->tasks, 0);
}

MachineTask *
machine_task (const Machine *machine, guint position)
{
  return &g_array_index (machine->tasks, MachineTask, position);
}

guint
machine_running_tasks (const Machine *machine, const char *job_id)
{
  guint count = 0;
  for (guint i = 0; i < machine->tasks->len; i++)
    {
      const MachineTask *task = machine_task (machine, i);
      count += task->phase != MH_TASK_PHASE_ENDED && strcmp (task->job_id, job_id) == 0;
    }
  return count;
}

void
machine_add_use (const Machine *machine, const Workload *workload, const char *team, double *cpus,
                 double *mem_gb)
{
  for (guint i = 0; i < machine->tasks->len; i++)
    {
      const MachineTask *task = machine_task (machine, i);
      const WorkloadJob *job = workload_find (workload, task->job_id);
      if (task->phase == MH_TASK_PHASE_ENDED || (team && strcmp (job->spec->team, team) != 0))
        continue;
      *cpus += job->spec->cpus;
      *mem_gb += job->spec->mem_gb;
    }
}

bool
machine_has_room (const Machine *machine, const Workload *workload, const MhJobSpec *spec)
{
  const MachineType *type = machine_type (machine);
  double cpus = 0, mem_gb = 0;
  machine_add_use (machine, workload, NULL, &cpus, &mem_gb);
  return cpus + spec->cpus <= type->cpus + CAPACITY_TOLERANCE
         && mem_gb + spec->mem_gb <= type->mem_gb + CAPACITY_TOLERANCE;
}

bool
machine_allowed (const Machine *machine, const MhJobSpec *spec)
{
  if (machine->spot && !spec->spot)
    return false;
  if (spec->zone && strcmp (spec->zone, machine->zone) != 0)
    return false;
  return spec->types == NULL || g_strv_contains ((const char *const *)spec->types, machine->type);
}

void
machine_describe (const Machine *machine, GString *out)
{
  g_string_append_printf (out, "machine %s %s %s %d%d%d%d%d %" G_GINT64_FORMAT " %" G_GINT64_FORMAT,
                          machine->name, machine->type, machine->zone, machine->spot,
                          machine->running, machine->removed, machine->failed,
                          machine->fails_all_tasks, machine->created_us, machine->removed_us);
  g_string_append_printf (out, " %" G_GUINT64_FORMAT " %" G_GUINT64_FORMAT " %" G_GUINT64_FORMAT,
                          machine->incarnation, machine->heartbeat_sequence,
                          machine->fencing_token);
  for (guint i = 0; i < machine->tasks->len; i++)
    {
      const MachineTask *task = machine_task (machine, i);
      g_string_append_printf (out, " %s:%" G_GUINT64_FORMAT ":%d", task->task_id, task->attempt,
                              (int)task->phase);
    }
  g_string_append_c (out, '\n');
}
