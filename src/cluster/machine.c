#include "cluster/machine.h"

/* Avoids a division by zero for a type that does not state its processors. */
#define MIN_CPUS 1e-3

static void
unfenced_start_clear (gpointer data)
{
  MhUnfencedStart *start = data;
  g_free (start->job);
}

static void
orphan_clear (gpointer data)
{
  MhOrphan *orphan = data;
  g_free (orphan->job);
}

static void
image_free (gpointer data)
{
  MhMachineImage *image = data;
  g_ref_string_release (image->name);
  g_free (image);
}

MhMachine *
mh_machine_new (const char *name, gint64 now_us)
{
  MhMachine *machine = g_new0 (MhMachine, 1);
  machine->name = g_strdup (name);
  machine->discovered_us = now_us;
  machine->idle_since_us = now_us;
  machine->boot.created_us = now_us;
  machine->heartbeat.last_message_us = now_us;
  machine->heartbeat.last_heartbeat_us = now_us;
  machine->notice_deadline_us = -1;
  machine->attempts = g_ptr_array_new ();
  machine->fencing.unfenced_starts = g_array_new (FALSE, FALSE, sizeof (MhUnfencedStart));
  g_array_set_clear_func (machine->fencing.unfenced_starts, unfenced_start_clear);
  machine->orphans = g_array_new (FALSE, FALSE, sizeof (MhOrphan));
  g_array_set_clear_func (machine->orphans, orphan_clear);
  machine->images = g_ptr_array_new_with_free_func (image_free);
  machine->failures.jobs = g_ptr_array_new_with_free_func (g_free);
  return machine;
}

void
mh_machine_free (gpointer data)
{
  MhMachine *machine = data;
  g_free (machine->name);
  g_free (machine->endpoint);
  g_clear_pointer (&machine->zone, g_ref_string_release);
  g_free (machine->type_name);
  g_ptr_array_unref (machine->attempts);
  g_array_unref (machine->fencing.unfenced_starts);
  g_array_unref (machine->orphans);
  g_ptr_array_unref (machine->images);
  g_ptr_array_unref (machine->failures.jobs);
  g_free (machine);
}

void
mh_machine_change_state (MhMachine *machine, MhMachineEvent event)
{
  bool accepted = mh_machine_state_apply (&machine->state, event);
  g_return_if_fail (accepted);
}

double
mh_machine_hourly_price (const MhMachine *machine)
{
  return machine->spot ? machine->type->spot_price : machine->type->price;
}

double
mh_machine_hourly_cpu_price (const MhMachine *machine)
{
  return mh_machine_hourly_price (machine) / MAX (machine->type->cpus, MIN_CPUS);
}

/* ---- images ---- */

static MhMachineImage *
image_at (const MhMachine *machine, guint index)
{
  return g_ptr_array_index (machine->images, index);
}

bool
mh_machine_has_image (const MhMachine *machine, const GRefString *name)
{
  for (guint i = 0; i < machine->images->len; i++)
    if (image_at (machine, i)->name == name)
      return true;
  return false;
}

/* Removes the image from the list of cached images and returns it; NULL: it is not cached. */
static MhMachineImage *
steal_image (MhMachine *machine, const GRefString *name)
{
  for (guint i = 0; i < machine->images->len; i++)
    if (image_at (machine, i)->name == name)
      return g_ptr_array_steal_index (machine->images, i);
  return NULL;
}

static void
evict_least_recently_used (MhMachine *machine, double added_gb)
{
  double total_gb = added_gb;
  for (guint i = 0; i < machine->images->len; i++)
    total_gb += image_at (machine, i)->gb;
  while (machine->type && machine->images->len && total_gb > machine->type->cache_gb)
    {
      total_gb -= image_at (machine, 0)->gb;
      g_ptr_array_remove_index (machine->images, 0);
    }
}

void
mh_machine_add_image (MhMachine *machine, GRefString *name, double gb)
{
  guint count = machine->images->len;
  if (count && image_at (machine, count - 1)->name == name)
    return;
  MhMachineImage *image = steal_image (machine, name);
  if (image == NULL)
    {
      image = g_new0 (MhMachineImage, 1);
      image->name = g_ref_string_acquire (name);
      image->gb = gb;
    }
  evict_least_recently_used (machine, gb);
  g_ptr_array_add (machine->images, image);
}
