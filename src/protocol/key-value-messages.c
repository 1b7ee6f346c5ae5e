#include "protocol/key-value-messages.h"

#include "base/time-units.h"
#include "protocol/field.h"

/* Field names that several messages use. The protocol calls the version of a key "stamp", the
   store's revision "ledger" and the id of a lease "claim". */
#define FIELD_VERSION "stamp"
#define FIELD_REVISION "ledger"
#define FIELD_LEASE "claim"
#define FIELD_VALUE "v"

void
mh_kv_entry_free (MhKvEntry *entry)
{
  if (entry == NULL)
    return;
  g_free (entry->key);
  mh_value_unref (entry->value);
  g_free (entry);
}

static GPtrArray *
new_entries (void)
{
  return g_ptr_array_new_with_free_func ((GDestroyNotify)mh_kv_entry_free);
}

MhKvEntry *
mh_kv_entry_decode (const MhValue *body, GError **error)
{
  g_autoptr (MhKvEntry) entry = g_new0 (MhKvEntry, 1);
  MhValue *value = mh_value_get (body, FIELD_VALUE);
  if (value == NULL)
    {
      g_set_error_literal (error, MH_PROTOCOL_ERROR, MH_PROTOCOL_ERROR_MISSING_FIELD,
                           "v: missing or null");
      return NULL;
    }
  entry->key = mh_field_get_text (body, "key", error);
  if (entry->key == NULL || !mh_field_get_uint (body, FIELD_VERSION, &entry->version, error))
    return NULL;
  entry->value = cbor_incref (value);
  return g_steal_pointer (&entry);
}

/* A change has the key in the field "put", with a value, or in "drop", for a deletion. */
static MhKvEntry *
decode_event (const MhValue *map, GError **error)
{
  g_autoptr (MhKvEntry) entry = g_new0 (MhKvEntry, 1);
  MhValue *value = mh_value_get (map, FIELD_VALUE);
  entry->key = mh_value_get_text (map, "put");
  if (entry->key && value)
    entry->value = cbor_incref (value);
  else if (entry->key == NULL)
    entry->key = mh_field_get_text (map, "drop", error);
  if (entry->key == NULL || !mh_field_get_uint (map, FIELD_VERSION, &entry->version, error))
    return NULL;
  return g_steal_pointer (&entry);
}

typedef MhKvEntry *(*EntryDecodeFunc) (const MhValue *map, GError **error);

static GPtrArray *
decode_each (const MhValue *body, const char *field, EntryDecodeFunc decode, GError **error)
{
  const MhValue *list = mh_field_get_list (body, field, error);
  if (list == NULL)
    return NULL;
  g_autoptr (GPtrArray) entries = new_entries ();
  for (gsize i = 0; i < mh_value_list_length (list); i++)
    {
      MhKvEntry *entry = decode (mh_value_at (list, i), error);
      if (entry == NULL)
        {
          g_prefix_error (error, "%s[%" G_GSIZE_FORMAT "]: ", field, i);
          return NULL;
        }
      g_ptr_array_add (entries, entry);
    }
  return g_steal_pointer (&entries);
}

GPtrArray *
mh_kv_list_decode (const MhValue *body, bool *has_more, guint64 *revision, GError **error)
{
  g_return_val_if_fail (has_more != NULL && revision != NULL, NULL);

  *has_more = false;
  *revision = 0;
  mh_value_get_bool (body, "has_next", has_more);
  mh_value_get_uint (body, FIELD_REVISION, revision);
  return decode_each (body, "entries", mh_kv_entry_decode, error);
}

GPtrArray *
mh_kv_events_decode (const MhValue *body, guint64 *revision, GError **error)
{
  g_return_val_if_fail (revision != NULL, NULL);

  if (!mh_kv_revision_decode (body, revision, error))
    return NULL;
  return decode_each (body, "news", decode_event, error);
}

bool
mh_kv_revision_decode (const MhValue *body, guint64 *revision, GError **error)
{
  return mh_field_get_uint (body, FIELD_REVISION, revision, error);
}

char **
mh_kv_failed_conditions_decode (const MhValue *body, GError **error)
{
  return mh_field_get_strv (body, "failed", error);
}

bool
mh_kv_lease_decode (const MhValue *body, guint64 *lease_id, GError **error)
{
  return mh_field_get_uint (body, FIELD_LEASE, lease_id, error);
}

static MhValue *
encode_condition (const MhKvCondition *condition)
{
  MhValue *map = mh_value_new_map ();
  mh_value_set_text (map, "key", condition->key);
  mh_value_set_uint (map, FIELD_VERSION, condition->version);
  return map;
}

static MhValue *
encode_change (const MhKvChange *change)
{
  MhValue *map = mh_value_new_map ();
  if (change->value == NULL)
    {
      mh_value_set_text (map, "drop", change->key);
      return map;
    }
  mh_value_set_text (map, "put", change->key);
  mh_value_set (map, FIELD_VALUE, cbor_incref (change->value));
  if (change->lease_id)
    mh_value_set_uint (map, FIELD_LEASE, change->lease_id);
  return map;
}

static MhRequest *
request_new (const char *method, char *path, MhValue *body)
{
  return mh_request_new (MH_TARGET_KEY_VALUE_STORE, method, path, body);
}

MhRequest *
mh_kv_request_get (const char *key)
{
  return request_new ("GET", g_strconcat ("/kv/", key, NULL), NULL);
}

MhRequest *
mh_kv_request_list (const char *prefix, const char *after, guint limit)
{
  char *path = after ? g_strdup_printf ("/kv?starts=%s&since=%s&limit=%u", prefix, after, limit)
                     : g_strdup_printf ("/kv?starts=%s&limit=%u", prefix, limit);
  return request_new ("GET", path, NULL);
}

MhRequest *
mh_kv_request_transaction (const MhKvCondition *conditions, guint n_conditions,
                           const MhKvChange *changes, guint n_changes)
{
  MhValue *compare = mh_value_new_list ();
  for (guint i = 0; i < n_conditions; i++)
    mh_value_push (compare, encode_condition (&conditions[i]));
  MhValue *apply = mh_value_new_list ();
  for (guint i = 0; i < n_changes; i++)
    mh_value_push (apply, encode_change (&changes[i]));
  MhValue *body = mh_value_new_map ();
  mh_value_set (body, "if", compare);
  mh_value_set (body, "apply", apply);
  return request_new ("POST", g_strdup ("/multi"), body);
}

MhRequest *
mh_kv_request_grant_lease (gint64 ttl_us)
{
  MhValue *body = mh_value_new_map ();
  mh_value_set_uint (body, "life_ms", (guint64)(ttl_us / MH_MILLISECOND_US));
  return request_new ("POST", g_strdup ("/grants"), body);
}

MhRequest *
mh_kv_request_renew_lease (guint64 lease_id)
{
  char *path = g_strdup_printf ("/grants/%" G_GUINT64_FORMAT "/extend", lease_id);
  return request_new ("POST", path, NULL);
}

MhRequest *
mh_kv_request_revoke_lease (guint64 lease_id)
{
  char *path = g_strdup_printf ("/grants/%" G_GUINT64_FORMAT, lease_id);
  return request_new ("DELETE", path, NULL);
}

MhRequest *
mh_kv_request_watch (const char *prefix, guint64 since, gint64 timeout_us)
{
  char *path
      = g_strdup_printf ("/watch?starts=%s&since=%" G_GUINT64_FORMAT "&hold_ms=%" G_GINT64_FORMAT,
                         prefix, since, timeout_us / MH_MILLISECOND_US);
  return request_new ("GET", path, NULL);
}
