/* Messages of the state service. */
#include "protocol/wire-private.h"

void
mh_kv_entry_free (MhKvEntry *e)
{
  if (e == NULL)
    return;
  g_free (e->key);
  mh_value_unref (e->value);
  g_free (e);
}

static GPtrArray *
entries_new (void)
{
  return g_ptr_array_new_with_free_func ((GDestroyNotify)mh_kv_entry_free);
}

MhKvEntry *
mh_kv_entry_decode (const MhValue *b)
{
  MhKvEntry *e = g_new0 (MhKvEntry, 1);
  MhValue *value = mh_value_get (b, "v");
  e->key = mh_value_get_text (b, "key");
  if (e->key == NULL || value == NULL || !mh_value_get_uint (b, "stamp", &e->version))
    {
      mh_kv_entry_free (e);
      return NULL;
    }
  e->value = cbor_incref (value);
  return e;
}

GPtrArray *
mh_kv_list_decode (const MhValue *b, bool *more, guint64 *revision)
{
  MhValue *list = mh_value_get (b, "entries");
  *more = false;
  *revision = 0;
  if (list == NULL || !cbor_isa_array (list))
    return NULL;
  mh_value_get_bool (b, "has_next", more);
  mh_value_get_uint (b, "ledger", revision);
  g_autoptr (GPtrArray) entries = entries_new ();
  for (gsize i = 0; i < mh_value_size (list); i++)
    {
      MhKvEntry *e = mh_kv_entry_decode (mh_value_at (list, i));
      if (e == NULL)
        return NULL;
      g_ptr_array_add (entries, e);
    }
  return g_steal_pointer (&entries);
}

GPtrArray *
mh_kv_events_decode (const MhValue *b, guint64 *revision)
{
  MhValue *list = mh_value_get (b, "news");
  if (list == NULL || !cbor_isa_array (list) || !mh_value_get_uint (b, "ledger", revision))
    return NULL;
  g_autoptr (GPtrArray) entries = entries_new ();
  for (gsize i = 0; i < mh_value_size (list); i++)
    {
      const MhValue *n = mh_value_at (list, i);
      MhKvEntry *e = g_new0 (MhKvEntry, 1);
      g_ptr_array_add (entries, e);
      MhValue *value = mh_value_get (n, "v");
      e->key = mh_value_get_text (n, "put");
      if (e->key && value)
        e->value = cbor_incref (value);
      else if (e->key == NULL)
        e->key = mh_value_get_text (n, "drop");
      if (e->key == NULL || !mh_value_get_uint (n, "stamp", &e->version))
        return NULL;
    }
  return g_steal_pointer (&entries);
}

bool
mh_kv_revision_decode (const MhValue *b, guint64 *revision)
{
  return mh_value_get_uint (b, "ledger", revision);
}

char **
mh_kv_failed_conditions_decode (const MhValue *b)
{
  char **names = NULL;
  return mh_value_get_names (b, "failed", &names) ? names : NULL;
}

bool
mh_kv_lease_decode (const MhValue *b, guint64 *lease_id)
{
  return mh_value_get_uint (b, "claim", lease_id);
}

static MhValue *
write_grant (gint64 life_us)
{
  MhValue *m = mh_value_map ();
  mh_value_set_uint (m, "life_ms", (guint64)(life_us / 1000));
  return m;
}

static MhValue *
write_txn (const MhKvCondition *conditions, guint n_conditions, const MhKvChange *changes,
           guint n_changes)
{
  MhValue *m = mh_value_map ();
  MhValue *list = mh_value_list ();
  for (guint i = 0; i < n_conditions; i++)
    {
      MhValue *c = mh_value_map ();
      mh_value_set_text (c, "key", conditions[i].key);
      mh_value_set_uint (c, "stamp", conditions[i].version);
      mh_value_push (list, c);
    }
  mh_value_set (m, "if", list);
  list = mh_value_list ();
  for (guint i = 0; i < n_changes; i++)
    {
      MhValue *c = mh_value_map ();
      if (changes[i].value)
        {
          mh_value_set_text (c, "put", changes[i].key);
          mh_value_set (c, "v", cbor_incref (changes[i].value));
          if (changes[i].lease_id)
            mh_value_set_uint (c, "claim", changes[i].lease_id);
        }
      else
        mh_value_set_text (c, "drop", changes[i].key);
      mh_value_push (list, c);
    }
  mh_value_set (m, "apply", list);
  return m;
}

MhRequest *
mh_kv_request_get (const char *key)
{
  return mh_request_new (MH_TARGET_KEY_VALUE_STORE, "GET", g_strconcat ("/kv/", key, NULL), NULL);
}

MhRequest *
mh_kv_request_list (const char *prefix, const char *after, guint limit)
{
  return mh_request_new (
      MH_TARGET_KEY_VALUE_STORE, "GET",
      after ? g_strdup_printf ("/kv?starts=%s&since=%s&limit=%u", prefix, after, limit)
            : g_strdup_printf ("/kv?starts=%s&limit=%u", prefix, limit),
      NULL);
}

MhRequest *
mh_kv_request_transaction (const MhKvCondition *conditions, guint n_conditions,
                           const MhKvChange *changes, guint n_changes)
{
  return mh_request_new (MH_TARGET_KEY_VALUE_STORE, "POST", g_strdup ("/multi"),
                         write_txn (conditions, n_conditions, changes, n_changes));
}

MhRequest *
mh_kv_request_grant_lease (gint64 life_us)
{
  return mh_request_new (MH_TARGET_KEY_VALUE_STORE, "POST", g_strdup ("/grants"),
                         write_grant (life_us));
}

MhRequest *
mh_kv_request_renew_lease (guint64 lease_id)
{
  return mh_request_new (MH_TARGET_KEY_VALUE_STORE, "POST",
                         g_strdup_printf ("/grants/%" G_GUINT64_FORMAT "/extend", lease_id), NULL);
}

MhRequest *
mh_kv_request_revoke_lease (guint64 lease_id)
{
  return mh_request_new (MH_TARGET_KEY_VALUE_STORE, "DELETE",
                         g_strdup_printf ("/grants/%" G_GUINT64_FORMAT, lease_id), NULL);
}

MhRequest *
mh_kv_request_watch (const char *prefix, guint64 since, gint64 hold_us)
{
  return mh_request_new (MH_TARGET_KEY_VALUE_STORE, "GET",
                         g_strdup_printf ("/watch?starts=%s&since=%" G_GUINT64_FORMAT
                                          "&hold_ms=%" G_GINT64_FORMAT,
                                          prefix, since, hold_us / 1000),
                         NULL);
}
