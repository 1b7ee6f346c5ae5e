#include "stand-in/key-value-store-private.h"

#include <string.h>

static void
key_free (gpointer data)
{
  StoredKey *key = data;
  mh_value_unref (key->value);
  g_free (key);
}

static void
change_clear (gpointer data)
{
  KeyChange *change = data;
  g_free (change->name);
  mh_value_unref (change->value);
}

static void
watch_clear (gpointer data)
{
  Watch *watch = data;
  g_free (watch->prefix);
}

static gint
compare_names (gconstpointer left, gconstpointer right, gpointer data)
{
  (void)data;
  return strcmp (left, right);
}

KeyValueStore *
key_value_store_new (const MhSettings *settings)
{
  KeyValueStore *store = g_new0 (KeyValueStore, 1);
  store->settings = settings;
  store->keys = g_tree_new_full (compare_names, NULL, g_free, key_free);
  store->lease_expiries = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  store->lease_durations = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  store->history = g_array_new (FALSE, FALSE, sizeof (KeyChange));
  g_array_set_clear_func (store->history, change_clear);
  store->watches = g_array_new (FALSE, FALSE, sizeof (Watch));
  g_array_set_clear_func (store->watches, watch_clear);
  return store;
}

void
key_value_store_free (KeyValueStore *store)
{
  g_tree_unref (store->keys);
  g_hash_table_unref (store->lease_expiries);
  g_hash_table_unref (store->lease_durations);
  g_array_unref (store->history);
  g_array_unref (store->watches);
  g_free (store);
}

void
key_value_store_set_unfenced_func (KeyValueStore *store, KeyValueStoreUnfencedFunc unfenced_func,
                                   gpointer data)
{
  store->unfenced_func = unfenced_func;
  store->unfenced_data = data;
}

void
key_value_store_change (KeyValueStore *store, const char *name, MhValue *value, guint64 lease)
{
  KeyChange change = { .name = g_strdup (name),
                       .value = value ? cbor_incref (value) : NULL,
                       .revision = store->revision };
  if (value)
    {
      StoredKey *key = g_new0 (StoredKey, 1);
      key->value = cbor_incref (value);
      key->revision = store->revision;
      key->lease = lease;
      g_tree_replace (store->keys, g_strdup (name), key);
    }
  else
    g_tree_remove (store->keys, name);
  g_array_append_val (store->history, change);
}

void
key_value_store_corrupt (KeyValueStore *store, const char *name)
{
  g_autoptr (MhValue) value = mh_value_new_map ();
  mh_value_set_text (value, "s", "?");
  store->revision++;
  key_value_store_change (store, name, value, 0);
}

/* ---- leases ---- */

guint64
key_value_store_grant_lease (KeyValueStore *store, gint64 duration_us)
{
  guint64 lease = ++store->last_lease;
  gint64 expiry_us = store->now_us + duration_us;
  g_hash_table_insert (store->lease_durations, g_memdup2 (&lease, sizeof lease),
                       g_memdup2 (&duration_us, sizeof duration_us));
  g_hash_table_insert (store->lease_expiries, g_memdup2 (&lease, sizeof lease),
                       g_memdup2 (&expiry_us, sizeof expiry_us));
  return lease;
}

bool
key_value_store_has_lease (const KeyValueStore *store, guint64 lease)
{
  return g_hash_table_contains (store->lease_expiries, &lease);
}

bool
key_value_store_renew_lease (KeyValueStore *store, guint64 lease)
{
  gint64 *expiry_us = g_hash_table_lookup (store->lease_expiries, &lease);
  const gint64 *duration_us = g_hash_table_lookup (store->lease_durations, &lease);
  if (expiry_us == NULL)
    return false;
  *expiry_us = store->now_us + *duration_us;
  return true;
}

typedef struct
{
  guint64 lease;
  GPtrArray *names;
} AttachedKeys;

static gboolean
collect_attached (gpointer name, gpointer value, gpointer data)
{
  AttachedKeys *attached = data;
  const StoredKey *key = value;
  if (key->lease == attached->lease)
    g_ptr_array_add (attached->names, g_strdup (name));
  return FALSE;
}

bool
key_value_store_end_lease (KeyValueStore *store, guint64 lease)
{
  g_autoptr (GPtrArray) names = g_ptr_array_new_with_free_func (g_free);
  AttachedKeys attached = { .lease = lease, .names = names };
  if (!key_value_store_has_lease (store, lease))
    return false;
  g_tree_foreach (store->keys, collect_attached, &attached);
  if (names->len)
    store->revision++;
  for (guint i = 0; i < names->len; i++)
    key_value_store_change (store, g_ptr_array_index (names, i), NULL, 0);
  g_hash_table_remove (store->lease_expiries, &lease);
  return true;
}

static void
extend_all_leases (KeyValueStore *store)
{
  GHashTableIter it;
  gpointer lease, expiry_us;
  g_hash_table_iter_init (&it, store->lease_expiries);
  while (g_hash_table_iter_next (&it, &lease, &expiry_us))
    {
      const gint64 *duration_us = g_hash_table_lookup (store->lease_durations, lease);
      *(gint64 *)expiry_us = store->now_us + *duration_us;
    }
}

static void
expire_leases (KeyValueStore *store)
{
  g_autoptr (GArray) expired = g_array_new (FALSE, FALSE, sizeof (guint64));
  GHashTableIter it;
  gpointer lease, expiry_us;
  g_hash_table_iter_init (&it, store->lease_expiries);
  while (g_hash_table_iter_next (&it, &lease, &expiry_us))
    if (*(gint64 *)expiry_us <= store->now_us)
      g_array_append_val (expired, *(guint64 *)lease);
  for (guint i = 0; i < expired->len; i++)
    key_value_store_end_lease (store, g_array_index (expired, guint64, i));
}

/* ---- watches and time ---- */

gpointer
key_value_store_watch_token (const KeyValueStore *store, guint index)
{
  return g_array_index (store->watches, Watch, index).token;
}

static void
end_watches (KeyValueStore *store, GArray *ended)
{
  for (guint i = 0; i < store->watches->len;)
    {
      const Watch *watch = &g_array_index (store->watches, Watch, i);
      EndedWatch ended_watch = { .token = watch->token,
                                 .status = 200,
                                 .body = key_value_store_changes_for_watch (store, watch) };
      if (ended_watch.body == NULL)
        {
          i++;
          continue;
        }
      g_array_append_val (ended, ended_watch);
      g_array_remove_index (store->watches, i);
    }
}

void
key_value_store_advance (KeyValueStore *store, gint64 now_us, GArray *ended)
{
  bool was_in_outage = store->now_us < store->outage_until_us;
  store->now_us = now_us;
  if (now_us < store->outage_until_us)
    return;
  if (was_in_outage)
    extend_all_leases (store);
  expire_leases (store);
  end_watches (store, ended);
}

const MhValue *
key_value_store_get_value (const KeyValueStore *store, const char *name)
{
  const StoredKey *key = g_tree_lookup (store->keys, name);
  return key ? key->value : NULL;
}

/* ---- description ---- */

static void
describe_value (GString *out, const MhValue *value)
{
  if (value == NULL)
    return;
  g_autoptr (GBytes) bytes = mh_value_serialize (value);
  g_autofree char *sum = g_compute_checksum_for_bytes (G_CHECKSUM_SHA256, bytes);
  g_string_append (out, sum);
}

static gboolean
describe_key (gpointer name, gpointer value, gpointer data)
{
  const StoredKey *key = value;
  GString *out = data;
  g_string_append_printf (out, "key %s %" G_GUINT64_FORMAT " %" G_GUINT64_FORMAT " ",
                          (const char *)name, key->revision, key->lease);
  describe_value (out, key->value);
  g_string_append_c (out, '\n');
  return FALSE;
}

void
key_value_store_describe_keys (const KeyValueStore *store, GString *out)
{
  g_tree_foreach (store->keys, describe_key, out);
}
