/* The protocol of the key-value store: the requests of key-value-store.h and their responses. */
#include "stand-in/key-value-store-private.h"

#include <stdlib.h>
#include <string.h>

#define KEY_PATH "/kv/"
#define FINAL_RECORD_PATH "/kv/f/"
#define LEASE_PATH "/grants/"
#define LEADER_KEY "leader"
#define DEFAULT_PAGE_SIZE 1000
#define MAX_CONDITIONS_PER_CHANGE 4u
#define MAX_TRANSACTION_BYTES 65536

static MhValue *
encode_key (const char *name, const StoredKey *key)
{
  MhValue *item = mh_value_new_map ();
  mh_value_set_text (item, "key", name);
  mh_value_set (item, "v", cbor_incref (key->value));
  mh_value_set_uint (item, "stamp", key->revision);
  return item;
}

static MhValue *
encode_revision (const KeyValueStore *store)
{
  MhValue *body = mh_value_new_map ();
  mh_value_set_uint (body, "ledger", store->revision);
  return body;
}

static char *
query_parameter (const char *path, const char *name)
{
  g_autofree char *mark = g_strconcat (name, "=", NULL);
  const char *query = strchr (path, '?');
  const char *start = query ? strstr (query, mark) : NULL;
  if (start == NULL)
    return NULL;
  start += strlen (mark);
  return g_strndup (start, strcspn (start, "&"));
}

/* ---- reading ---- */

static void
serve_key (KeyValueStore *store, const char *name, ServiceResponse *response)
{
  const StoredKey *key = g_tree_lookup (store->keys, name);
  response->status = key ? 200 : 404;
  response->body = key ? encode_key (name, key) : encode_revision (store);
}

typedef struct
{
  const char *prefix, *after;
  guint limit;
  MhValue *entries;
  bool has_next;
} KeyPage;

static gboolean
collect_page (gpointer name, gpointer value, gpointer data)
{
  KeyPage *page = data;
  if (!g_str_has_prefix (name, page->prefix) || (page->after && strcmp (name, page->after) <= 0))
    return FALSE;
  if (mh_value_list_length (page->entries) >= page->limit)
    {
      page->has_next = true;
      return TRUE;
    }
  mh_value_push (page->entries, encode_key (name, value));
  return FALSE;
}

static MhValue *
list_keys (const KeyValueStore *store, const char *path)
{
  g_autofree char *prefix = query_parameter (path, "starts");
  g_autofree char *after = query_parameter (path, "since");
  g_autofree char *limit = query_parameter (path, "limit");
  KeyPage page = { .prefix = prefix ? prefix : "",
                   .after = after,
                   .limit = limit ? (guint)g_ascii_strtoull (limit, NULL, 10) : DEFAULT_PAGE_SIZE,
                   .entries = mh_value_new_list () };
  g_tree_foreach (store->keys, collect_page, &page);
  MhValue *body = encode_revision (store);
  mh_value_set (body, "entries", page.entries);
  mh_value_set_bool (body, "has_next", page.has_next);
  return body;
}

/* ---- transactions ---- */

/* Takes tokens of the write rate limit, one for each change, and returns false if too few are left.
   Transactions whose conditions fail count as well. */
static bool
take_write_tokens (KeyValueStore *store, gsize changes)
{
  if (store->write_rps <= 0)
    return true;
  double gained
      = store->write_rps * (double)(store->now_us - store->write_tokens_us) / MH_SECOND_US;
  store->write_tokens = MIN (store->write_rps, store->write_tokens + gained);
  store->write_tokens_us = store->now_us;
  if (store->write_tokens < (double)changes)
    {
      store->throttled_writes++;
      return false;
    }
  store->write_tokens -= (double)changes;
  return true;
}

/* Returns the names of the keys whose revision differs from that of their condition. */
static MhValue *
find_failed_conditions (const KeyValueStore *store, const MhValue *conditions, bool *fenced)
{
  MhValue *failed = mh_value_new_list ();
  *fenced = false;
  for (gsize i = 0; i < mh_value_list_length (conditions); i++)
    {
      const MhValue *condition = mh_value_at (conditions, i);
      g_autofree char *name = mh_value_get_text (condition, "key");
      guint64 revision = 0;
      mh_value_get_uint (condition, "stamp", &revision);
      *fenced |= strcmp (name, LEADER_KEY) == 0;
      const StoredKey *key = g_tree_lookup (store->keys, name);
      if ((key ? key->revision : 0) != revision)
        mh_value_push (failed, mh_value_new_text (name));
    }
  return failed;
}

static bool
is_within_size_limits (const KeyValueStore *store, const MhValue *body)
{
  guint max_changes = store->settings->txn_ops;
  return mh_value_list_length (mh_value_get (body, "apply")) <= max_changes
         && mh_value_list_length (mh_value_get (body, "if"))
                <= (gsize)MAX_CONDITIONS_PER_CHANGE * max_changes
         && mh_value_json_size (body) <= MAX_TRANSACTION_BYTES;
}

/* Returns whether the leases of the changes exist and no value is too large. */
static bool
are_changes_valid (const KeyValueStore *store, const MhValue *changes)
{
  for (gsize i = 0; i < mh_value_list_length (changes); i++)
    {
      const MhValue *change = mh_value_at (changes, i), *value = mh_value_get (change, "v");
      guint64 lease;
      if (mh_value_get_uint (change, "claim", &lease) && !key_value_store_has_lease (store, lease))
        return false;
      if (value && mh_value_json_size (value) > store->settings->value_bytes)
        return false;
    }
  return true;
}

static void
apply_changes (KeyValueStore *store, const MhValue *changes)
{
  store->revision++;
  for (gsize i = 0; i < mh_value_list_length (changes); i++)
    {
      const MhValue *change = mh_value_at (changes, i);
      g_autofree char *put = mh_value_get_text (change, "put");
      g_autofree char *drop = mh_value_get_text (change, "drop");
      guint64 lease = 0;
      mh_value_get_uint (change, "claim", &lease);
      key_value_store_change (store, put ? put : drop, put ? mh_value_get (change, "v") : NULL,
                              lease);
    }
}

static void
reject_as_malformed (KeyValueStore *store, ServiceResponse *response)
{
  store->malformed_writes++;
  response->status = 400;
}

static void
serve_transaction (KeyValueStore *store, const MhValue *body, ServiceResponse *response)
{
  const MhValue *changes = mh_value_get (body, "apply");
  bool fenced;
  if (!is_within_size_limits (store, body))
    {
      reject_as_malformed (store, response);
      return;
    }
  if (!take_write_tokens (store, mh_value_list_length (changes)))
    {
      response->status = 429;
      return;
    }
  g_autoptr (MhValue) failed = find_failed_conditions (store, mh_value_get (body, "if"), &fenced);
  if (!fenced && store->unfenced_func)
    store->unfenced_func (store->unfenced_data);
  if (!are_changes_valid (store, changes))
    {
      reject_as_malformed (store, response);
      return;
    }
  if (mh_value_list_length (failed) == 0)
    apply_changes (store, changes);
  else
    response->status = 409;
  response->body = encode_revision (store);
  if (response->status == 409)
    mh_value_set (response->body, "failed", g_steal_pointer (&failed));
}

/* ---- leases ---- */

static void
serve_lease_grant (KeyValueStore *store, const MhValue *body, ServiceResponse *response)
{
  guint64 life_ms = 0;
  mh_value_get_uint (body, "life_ms", &life_ms);
  guint64 lease = key_value_store_grant_lease (store, (gint64)life_ms * 1000);
  response->body = mh_value_new_map ();
  mh_value_set_uint (response->body, "claim", lease);
}

static void
serve_lease (KeyValueStore *store, const ServiceRequest *request, ServiceResponse *response)
{
  guint64 lease = g_ascii_strtoull (request->path + strlen (LEASE_PATH), NULL, 10);
  bool known = strcmp (request->method, "DELETE") == 0 ? key_value_store_end_lease (store, lease)
                                                       : key_value_store_renew_lease (store, lease);
  if (!known)
    response->status = 404;
}

/* ---- watches ---- */

static void
begin_watch (KeyValueStore *store, const ServiceRequest *request)
{
  g_autofree char *since = query_parameter (request->path, "since");
  g_autofree char *hold_ms = query_parameter (request->path, "hold_ms");
  Watch watch = { .token = request->token,
                  .since_revision = g_ascii_strtoull (since, NULL, 10),
                  .prefix = query_parameter (request->path, "starts"),
                  .hold_until_us = store->now_us + g_ascii_strtoll (hold_ms, NULL, 10) * 1000 };
  g_array_append_val (store->watches, watch);
}

static MhValue *
encode_change (const KeyChange *change)
{
  MhValue *item = mh_value_new_map ();
  mh_value_set_text (item, change->value ? "put" : "drop", change->name);
  if (change->value)
    mh_value_set (item, "v", cbor_incref (change->value));
  mh_value_set_uint (item, "stamp", change->revision);
  return item;
}

MhValue *
key_value_store_changes_for_watch (const KeyValueStore *store, const Watch *watch)
{
  MhValue *changes = NULL;
  for (guint i = 0; i < store->history->len; i++)
    {
      const KeyChange *change = &g_array_index (store->history, KeyChange, i);
      if (change->revision <= watch->since_revision
          || !g_str_has_prefix (change->name, watch->prefix))
        continue;
      if (changes == NULL)
        changes = mh_value_new_list ();
      mh_value_push (changes, encode_change (change));
    }
  if (changes == NULL && store->now_us < watch->hold_until_us)
    return NULL;
  MhValue *body = encode_revision (store);
  mh_value_set (body, "news", changes ? changes : mh_value_new_list ());
  return body;
}

/* ---- dispatch ---- */

bool
key_value_store_serve (KeyValueStore *store, const ServiceRequest *request,
                       ServiceResponse *response)
{
  const char *path = request->path;
  *response = (ServiceResponse){ .status = 200 };
  store->final_record_reads += g_str_has_prefix (path, FINAL_RECORD_PATH);
  if (store->now_us < store->outage_until_us)
    response->status = 503;
  else if (g_str_has_prefix (path, KEY_PATH))
    serve_key (store, path + strlen (KEY_PATH), response);
  else if (g_str_has_prefix (path, "/kv?"))
    response->body = list_keys (store, path);
  else if (strcmp (path, "/multi") == 0)
    serve_transaction (store, request->body, response);
  else if (strcmp (path, "/grants") == 0)
    serve_lease_grant (store, request->body, response);
  else if (g_str_has_prefix (path, LEASE_PATH))
    serve_lease (store, request, response);
  else if (g_str_has_prefix (path, "/watch?"))
    {
      begin_watch (store, request);
      return false;
    }
  else
    response->status = 400;
  return true;
}
