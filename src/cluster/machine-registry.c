#include "cluster/machine-registry.h"
#include "cluster/cluster-state.h"
#include "protocol/cloud-messages.h"

#include <string.h>

/* How long the name of a released machine is remembered. Delayed copies of its heartbeats and
   machine lists that name it may arrive for this long after its release. */
#define RELEASED_NAME_RETENTION_US (900 * MH_SECOND_US)

typedef struct
{
  char *name;
  gint64 released_us;
} ReleasedMachine;

static void
released_machine_free (gpointer data)
{
  ReleasedMachine *released = data;
  g_free (released->name);
  g_free (released);
}

MhMachine *
mh_cluster_find_machine (const MhCluster *cluster, const char *name)
{
  return g_hash_table_lookup (cluster->machines, name);
}

void
mh_cluster_resolve_type (const MhCluster *cluster, MhMachine *machine)
{
  machine->type = NULL;
  for (guint i = 0; cluster->types && machine->type_name && i < cluster->types->len; i++)
    {
      const MhMachineType *type = g_ptr_array_index (cluster->types, i);
      if (strcmp (type->name, machine->type_name) == 0)
        {
          machine->type = type;
          machine->type_index = i;
        }
    }
}

void
mh_cluster_identify_machine (MhCluster *cluster, MhMachine *machine, const char *type,
                             const char *zone, bool spot)
{
  if (machine->zone == NULL)
    machine->zone = g_ref_string_new_intern (zone);
  if (machine->type_name == NULL)
    {
      machine->type_name = g_strdup (type);
      mh_cluster_resolve_type (cluster, machine);
    }
  machine->spot = spot;
}

MhMachine *
mh_cluster_add_machine (MhCluster *cluster, const char *name, const char *type, const char *zone,
                        bool spot)
{
  MhMachine *machine = mh_machine_new (name, mh_runtime_now_us (cluster->runtime));
  machine->type_name = g_strdup (type);
  machine->zone = zone ? g_ref_string_new_intern (zone) : NULL;
  machine->spot = spot;
  mh_cluster_resolve_type (cluster, machine);
  g_hash_table_insert (cluster->machines, machine->name, machine);
  return machine;
}

/* ---- released machines ---- */

bool
mh_cluster_was_released (const MhCluster *cluster, const char *name)
{
  return g_hash_table_contains (cluster->released, name);
}

void
mh_cluster_remember_released (MhCluster *cluster, const char *name)
{
  ReleasedMachine *released = g_new0 (ReleasedMachine, 1);
  released->name = g_strdup (name);
  released->released_us = mh_runtime_now_us (cluster->runtime);
  g_queue_push_tail (&cluster->released_order, released);
  g_hash_table_add (cluster->released, released->name);
}

void
mh_cluster_forget_old_releases (MhCluster *cluster, gint64 now_us)
{
  for (ReleasedMachine *oldest; (oldest = g_queue_peek_head (&cluster->released_order))
                                && now_us - oldest->released_us > RELEASED_NAME_RETENTION_US;)
    {
      g_hash_table_remove (cluster->released, oldest->name);
      released_machine_free (g_queue_pop_head (&cluster->released_order));
    }
}

void
mh_cluster_forget_all_releases (MhCluster *cluster)
{
  g_hash_table_remove_all (cluster->released);
  g_queue_clear_full (&cluster->released_order, released_machine_free);
}

/* ---- silence ---- */

gint64
mh_cluster_silence_us (const MhCluster *cluster, gint64 last_message_us)
{
  return mh_runtime_input_read_us (cluster->runtime)
         - MAX (last_message_us, mh_runtime_resumed_us (cluster->runtime));
}

bool
mh_cluster_is_silent (const MhCluster *cluster, const MhMachine *machine, gint64 threshold_us)
{
  return mh_cluster_silence_us (cluster, machine->heartbeat.last_message_us) > threshold_us;
}

void
mh_machine_schedule_commands (MhCluster *cluster, MhMachine *machine)
{
  if (machine->commands_due)
    return;
  machine->commands_due = true;
  g_ptr_array_add (cluster->commands_due, machine);
}
