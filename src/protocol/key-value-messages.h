/* Messages of the consensus-backed key-value store (PROTOCOL, "Controller nodes -> state
   service"). */
#pragma once

#include "protocol/request.h"

/**
 * MhKvEntry:
 * @key: key; owned
 * @value: (nullable): value, a reference; %NULL: the key is gone
 * @version: revision of the key's last change
 *
 * A key and what it holds, or what became of it.
 */
typedef struct
{
  char *key;
  MhValue *value;
  guint64 version;
} MhKvEntry;

/**
 * mh_kv_entry_free:
 * @entry: (nullable) (transfer full): an entry
 */
void
mh_kv_entry_free (MhKvEntry *entry);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (MhKvEntry, mh_kv_entry_free)

/**
 * MhKvCondition:
 * @key: key; borrowed
 * @version: the version that it must have; 0: it must not exist
 *
 * A comparison in a transaction.
 */
typedef struct
{
  const char *key;
  guint64 version;
} MhKvCondition;

/**
 * MhKvChange:
 * @key: key; borrowed
 * @value: (nullable): its new value, borrowed; %NULL: the key is deleted
 * @lease_id: the lease that the key is attached to; 0: none
 *
 * A change in a transaction.
 */
typedef struct
{
  const char *key;
  MhValue *value;
  guint64 lease_id;
} MhKvChange;

/**
 * mh_kv_entry_decode:
 * @body: (nullable): answer to mh_kv_request_get(), or an item of a list
 * @error: (nullable): return location for an error of %MH_PROTOCOL_ERROR
 *
 * Returns: (transfer full) (nullable): the entry, or %NULL when @body is malformed
 */
MhKvEntry *
mh_kv_entry_decode (const MhValue *body, GError **error);

/**
 * mh_kv_list_decode:
 * @body: (nullable): answer to mh_kv_request_list()
 * @more: (out): whether another page follows
 * @revision: (out): revision that the page shows; 0: not said
 * @error: (nullable): return location for an error of %MH_PROTOCOL_ERROR
 *
 * Returns: (transfer full) (nullable): #MhKvEntry sorted by key, or %NULL when @body is malformed
 */
GPtrArray *
mh_kv_list_decode (const MhValue *body, bool *more, guint64 *revision, GError **error);

/**
 * mh_kv_events_decode:
 * @body: (nullable): answer to mh_kv_request_watch()
 * @revision: (out): revision from which to watch on
 * @error: (nullable): return location for an error of %MH_PROTOCOL_ERROR
 *
 * Returns: (transfer full) (nullable): #MhKvEntry, or %NULL when @body is malformed
 */
GPtrArray *
mh_kv_events_decode (const MhValue *body, guint64 *revision, GError **error);

/**
 * mh_kv_revision_decode:
 * @body: (nullable): answer to a transaction that was applied
 * @revision: (out): revision of its changes; set when %TRUE is returned
 * @error: (nullable): return location for an error of %MH_PROTOCOL_ERROR
 *
 * Returns: %FALSE when @body is malformed
 */
bool
mh_kv_revision_decode (const MhValue *body, guint64 *revision, GError **error);

/**
 * mh_kv_failed_conditions_decode:
 * @body: (nullable): answer to a transaction that was refused for its conditions
 * @error: (nullable): return location for an error of %MH_PROTOCOL_ERROR
 *
 * Returns: (transfer full) (nullable): the keys with other versions, or %NULL when @body is
 * malformed
 */
char **
mh_kv_failed_conditions_decode (const MhValue *body, GError **error);

/**
 * mh_kv_lease_decode:
 * @body: (nullable): answer to mh_kv_request_grant_lease()
 * @lease_id: (out): the new lease; set when %TRUE is returned
 * @error: (nullable): return location for an error of %MH_PROTOCOL_ERROR
 *
 * Returns: %FALSE when @body is malformed
 */
bool
mh_kv_lease_decode (const MhValue *body, guint64 *lease_id, GError **error);

/**
 * mh_kv_request_get:
 * @key: a key
 *
 * Returns: (transfer full): a request for one key
 */
MhRequest *
mh_kv_request_get (const char *key);

/**
 * mh_kv_request_list:
 * @prefix: beginning of the keys
 * @after: (nullable): the last key of the page before; %NULL: the first page
 * @limit: entries in a page; at most 1,000
 *
 * Returns: (transfer full): a request for a page of keys
 */
MhRequest *
mh_kv_request_list (const char *prefix, const char *after, guint limit);

/**
 * mh_kv_request_transaction:
 * @conditions: what must hold
 * @n_conditions: their number
 * @changes: what is then done, all or nothing
 * @n_changes: their number
 *
 * A compare-and-swap over several keys (PROTOCOL, "POST /multi"). Without an answer it may have
 * been applied, or be applied later.
 *
 * Returns: (transfer full): a request; it holds references to the values
 */
MhRequest *
mh_kv_request_transaction (const MhKvCondition *conditions, guint n_conditions,
                           const MhKvChange *changes, guint n_changes);

/**
 * mh_kv_request_grant_lease:
 * @life_us: time to live, in microseconds; the store counts whole milliseconds
 *
 * Returns: (transfer full): a request for a new lease
 */
MhRequest *
mh_kv_request_grant_lease (gint64 life_us);

/**
 * mh_kv_request_renew_lease:
 * @lease_id: a lease
 *
 * Returns: (transfer full): a request that gives the lease its full time again
 */
MhRequest *
mh_kv_request_renew_lease (guint64 lease_id);

/**
 * mh_kv_request_revoke_lease:
 * @lease_id: a lease
 *
 * Returns: (transfer full): a request that ends the lease, and deletes the keys attached to it
 */
MhRequest *
mh_kv_request_revoke_lease (guint64 lease_id);

/**
 * mh_kv_request_watch:
 * @prefix: beginning of the keys
 * @since: revision that is known already
 * @hold_us: how long the store waits for a change, in microseconds; at most a minute
 *
 * Returns: (transfer full): a request that is answered when a key changes or the time is over
 */
MhRequest *
mh_kv_request_watch (const char *prefix, guint64 since, gint64 hold_us);
