/* Giving machines back. What is about to be given back is on record first: a new leader neither
   uses such a machine, which a late request of an earlier one may still take away, nor forgets it.
 */
#include "controller/core-private.h"

#include <string.h>

#define STATE_TIMEOUT_US (MH_SECOND_US)
#define CLOUD_TIMEOUT_US (4 * MH_SECOND_US)
/* Those that are found idle or silent together go in one call. */
#define GATHER_US (MH_SECOND_US / 4)
#define RELEASE_MOST 100u
/* Under way at once; what is found meanwhile is gathered. Calls for a few machines each once took
   all that the cloud allows, and rentals and lists waited behind them. */
#define PARCELS_AT_ONCE 2u

/* Machines that are given back together, and the records of an earlier leader that this replaces.
 */
typedef struct
{
  char *key;
  char **names, **old_keys;
} Parcel;

/* Names that have to go into one parcel: a single one, or an earlier leader's record. */
typedef struct
{
  char **names;
  char *old_key; /* NULL: none */
} Lot;

static void
lot_free (gpointer data)
{
  Lot *lot = data;
  g_strfreev (lot->names);
  g_free (lot->old_key);
  g_free (lot);
}

static void
parcel_clear (gpointer data)
{
  Parcel *p = data;
  g_free (p->key);
  g_strfreev (p->names);
  g_strfreev (p->old_keys);
}

static void
parcel_unref (gpointer data)
{
  g_rc_box_release_full (data, parcel_clear);
}

void
mh_release_clear (MhCore *core)
{
  g_queue_clear_full (&core->release.wanted, lot_free);
  core->release.next_us = 0;
  core->release.parcels = core->release.under_way = 0;
}

static void
want (MhCore *core, char **names, char *old_key)
{
  Lot *lot = g_new0 (Lot, 1);
  lot->names = names;
  lot->old_key = old_key;
  g_queue_push_tail (&core->release.wanted, lot);
}

void
mh_release_machine (MhCore *core, MhMachine *m, const char *why)
{
  if (mh_machine_is_releasing (m))
    return;
  mh_info (core, "machine %s: given back: %s", m->name, why);
  mh_machine_change_state (m, MH_MACHINE_EVENT_RELEASE_WANTED);
  core->scale.lost_cpus += m->usage.cpus;
  const char *names[] = { m->name, NULL };
  want (core, g_strdupv ((char **)names), NULL);
}

/* ---- the call ---- */

static void
call (MhCore *core, Parcel *p);

static void
call_reply (MhCore *core, gpointer data, guint status, const MhValue *body)
{
  Parcel *p = data;
  (void)body;
  if (status != 200)
    {
      mh_call_queue_pause_cloud (core->calls, 500000, 500000);
      call (core, p);
      return;
    }
  for (char **name = p->names; *name; name++)
    {
      MhMachine *m = mh_cluster_find_machine (core, *name);
      mh_debug (core, "machine %s: confirmed gone", *name);
      if (m)
        mh_cluster_machine_released (core, m);
    }
  mh_store_drop (core, p->key);
  core->release.under_way--;
}

static void
call (MhCore *core, Parcel *p)
{
  mh_core_call (core, MH_CALL_SAFETY, mh_wire_release (p->names), 0, CLOUD_TIMEOUT_US, call_reply,
                g_rc_box_acquire (p), parcel_unref);
}

/* ---- the record ---- */

static void
write_down (MhCore *core, Parcel *p);

static void
write_reply (MhCore *core, gpointer data, guint status, const MhValue *body)
{
  Parcel *p = data;
  g_auto (GStrv) failed = status == 409 ? mh_wire_read_failed (body) : NULL;
  if (failed && g_strv_contains ((const char *const *)failed, "leader"))
    mh_election_step_down (core->election, MH_LOSS_ANOTHER_LEADER);
  /* Refused because it is there: a copy that was not answered has been carried out. */
  else if (status == 200 || status == 409)
    call (core, p);
  else if (status == 400)
    mh_election_step_down (core->election, MH_LOSS_RECORD_REFUSED);
  else
    {
      mh_call_queue_store_failed (core->calls, status);
      write_down (core, p);
    }
}

static void
write_down (MhCore *core, Parcel *p)
{
  MhCondition conditions[]
      = { { MH_LEADER_KEY, mh_election_key_version (core->election) }, { p->key, 0 } };
  g_autoptr (MhValue) value = mh_record_write_release (p->names);
  g_autoptr (GArray) changes = g_array_new (FALSE, FALSE, sizeof (MhChange));
  MhChange put = { .key = p->key, .value = value };
  g_array_append_val (changes, put);
  for (char **key = p->old_keys; *key; key++)
    {
      MhChange drop = { .key = *key };
      g_array_append_val (changes, drop);
    }
  mh_core_call (
      core, MH_CALL_SAFETY,
      mh_wire_txn (conditions, G_N_ELEMENTS (conditions), (MhChange *)changes->data, changes->len),
      changes->len, STATE_TIMEOUT_US, write_reply, g_rc_box_acquire (p), parcel_unref);
}

/* What an earlier leader wrote down. */
void
mh_release_load (MhCore *core, const MhEntry *e)
{
  char **names = mh_record_read_release (e->value);
  for (char **name = names; name && *name; name++)
    {
      MhMachine *m = mh_cluster_find_machine (core, *name);
      if (m == NULL)
        m = mh_cluster_add_machine (core, *name, NULL, NULL, false);
      mh_machine_change_state (m, MH_MACHINE_EVENT_RELEASE_WANTED);
    }
  if (names)
    want (core, names, g_strdup (e->key));
  else
    mh_core_log (core, G_LOG_LEVEL_CRITICAL, "record %s cannot be read", e->key);
}

/* ---- idle machines ---- */

static void
return_idle (MhCore *core)
{
  gint64 now = core->now.mono_us;
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init (&it, mh_cluster_machines (core));
  while (g_hash_table_iter_next (&it, NULL, &value))
    {
      MhMachine *m = value;
      if (!m->heartbeat.reported || mh_machine_is_releasing (m) || m->attempts->len
          || m->heartbeat.unreadable_tasks)
        continue;
      if (m->notice_until_us >= 0 || mh_machine_is_draining (m))
        mh_release_machine (core, m, "empty, as was wanted");
      else if (now - m->idle_since_us > core->settings->idle_us
               && now - m->boot.rented_us > MH_LEAST_PAID_US)
        mh_release_machine (core, m, "idle");
    }
}

void
mh_release_step (MhCore *core)
{
  if (core->now.mono_us < core->release.next_us)
    {
      if (core->release.wanted.length)
        mh_core_wake_at (core, core->release.next_us);
      return;
    }
  core->release.next_us = core->now.mono_us + GATHER_US;
  return_idle (core);
  if (core->release.wanted.length == 0 || core->release.under_way >= PARCELS_AT_ONCE)
    return;
  g_autoptr (GStrvBuilder) names = g_strv_builder_new (), old_keys = g_strv_builder_new ();
  guint n = 0, old = 0;
  gsize bytes = 0;
  for (Lot *lot; (lot = g_queue_peek_head (&core->release.wanted));)
    {
      for (char **name = lot->names; *name; name++)
        bytes += strlen (*name) + 4;
      n += g_strv_length (lot->names);
      old += lot->old_key != NULL;
      bool only = n == g_strv_length (lot->names);
      if (!only
          && (n > RELEASE_MOST || bytes > core->settings->value_bytes / 2
              || old >= core->settings->txn_ops))
        break;
      g_strv_builder_addv (names, (const char **)lot->names);
      if (lot->old_key)
        g_strv_builder_add (old_keys, lot->old_key);
      lot_free (g_queue_pop_head (&core->release.wanted));
    }
  core->release.under_way++;
  Parcel *p = g_rc_box_new0 (Parcel);
  /* The epoch is this leadership's alone. */
  p->key = g_strdup_printf ("%s%" G_GUINT64_FORMAT "/%u", MH_RECORD_RELEASES,
                            mh_election_epoch (core->election), ++core->release.parcels);
  p->names = g_strv_builder_end (names);
  p->old_keys = g_strv_builder_end (old_keys);
  write_down (core, p);
  parcel_unref (p);
}
