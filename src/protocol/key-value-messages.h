/* Messages exchanged with the consensus-backed key-value store (PROTOCOL, "Controller nodes ->
   state service"). */
#pragma once

#include "protocol/request.h"

/**
 * MhKvEntry:
 * @key: key; owned
 * @value: (nullable): value, a reference; %NULL: the key was deleted
 * @version: version of the key: the store's revision at the key's last change
 *
 * A key with its value, or a change of a key.
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
 * @version: the version that the key must have; 0: the key must not exist
 *
 * A condition of a transaction.
 */
typedef struct
{
  const char *key;
  guint64 version;
} MhKvCondition;

/**
 * MhKvChange:
 * @key: key; borrowed
 * @value: (nullable): the new value, borrowed; %NULL: delete the key
 * @lease_id: the lease to attach the key to; 0: none
 *
 * A change of a transaction.
 */
typedef struct
{
  const char *key;
  MhValue *value;
  guint64 lease_id;
} MhKvChange;

/**
 * mh_kv_entry_decode:
 * @body: (nullable): response to mh_kv_request_get(), or an item of a list
 * @error: (nullable): return location for an error of %MH_PROTOCOL_ERROR
 *
 * Returns: (transfer full) (nullable): the entry, or %NULL when @body is malformed
 */
MhKvEntry *
mh_kv_entry_decode (const MhValue *body, GError **error);

/**
 * mh_kv_list_decode:
 * @body: (nullable): response to mh_kv_request_list()
 * @has_more: (out): whether another page follows
 * @revision: (out): the store's revision that the page shows; 0: not in the response
 * @error: (nullable): return location for an error of %MH_PROTOCOL_ERROR
 *
 * Returns: (transfer full) (nullable) (element-type MhKvEntry): the entries sorted by key, or %NULL
 *   when @body is malformed
 */
GPtrArray *
mh_kv_list_decode (const MhValue *body, bool *has_more, guint64 *revision, GError **error);

/**
 * mh_kv_events_decode:
 * @body: (nullable): response to mh_kv_request_watch()
 * @revision: (out): revision from which to continue the watch
 * @error: (nullable): return location for an error of %MH_PROTOCOL_ERROR
 *
 * Returns: (transfer full) (nullable) (element-type MhKvEntry): the changes, or %NULL when @body is
 *   malformed
 */
GPtrArray *
mh_kv_events_decode (const MhValue *body, guint64 *revision, GError **error);

/**
 * mh_kv_revision_decode:
 * @body: (nullable): response to a transaction that was applied
 * @revision: (out): the revision that the transaction created; set when %TRUE is returned
 * @error: (nullable): return location for an error of %MH_PROTOCOL_ERROR
 *
 * Returns: %FALSE when @body is malformed
 */
bool
mh_kv_revision_decode (const MhValue *body, guint64 *revision, GError **error);

/**
 * mh_kv_failed_conditions_decode:
 * @body: (nullable): response to a transaction that was rejected because a condition failed
 * @error: (nullable): return location for an error of %MH_PROTOCOL_ERROR
 *
 * Returns: (transfer full) (nullable): %NULL-terminated array of the keys whose conditions failed,
 * or %NULL when @body is malformed
 */
char **
mh_kv_failed_conditions_decode (const MhValue *body, GError **error);

/**
 * mh_kv_lease_decode:
 * @body: (nullable): response to mh_kv_request_grant_lease()
 * @lease_id: (out): id of the new lease; set when %TRUE is returned
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
 * Returns: (transfer full): a request for the value of one key
 */
MhRequest *
mh_kv_request_get (const char *key);

/**
 * mh_kv_request_list:
 * @prefix: prefix of the keys
 * @after: (nullable): the last key on the previous page; %NULL: the first page
 * @limit: number of entries per page; at most 1,000
 *
 * Returns: (transfer full): a request for one page of entries
 */
MhRequest *
mh_kv_request_list (const char *prefix, const char *after, guint limit);

/**
 * mh_kv_request_transaction:
 * @conditions: conditions, all of which must hold
 * @n_conditions: number of @conditions
 * @changes: changes, which are applied atomically
 * @n_changes: number of @changes
 *
 * A conditional write of several keys (PROTOCOL, "POST /multi"). If no response arrives, the
 * transaction may have been applied, or may still be applied later.
 *
 * Returns: (transfer full): a request, which holds references to the values
 */
MhRequest *
mh_kv_request_transaction (const MhKvCondition *conditions, guint n_conditions,
                           const MhKvChange *changes, guint n_changes);

/**
 * mh_kv_request_grant_lease:
 * @ttl_us: time to live, rounded down to whole milliseconds
 *
 * Returns: (transfer full): a request for a new lease
 */
MhRequest *
mh_kv_request_grant_lease (gint64 ttl_us);

/**
 * mh_kv_request_renew_lease:
 * @lease_id: id of a lease
 *
 * Returns: (transfer full): a request that renews the lease for its full time to live
 */
MhRequest *
mh_kv_request_renew_lease (guint64 lease_id);

/**
 * mh_kv_request_revoke_lease:
 * @lease_id: id of a lease
 *
 * Returns: (transfer full): a request that revokes the lease and deletes the keys attached to it
 */
MhRequest *
mh_kv_request_revoke_lease (guint64 lease_id);

/**
 * mh_kv_request_watch:
 * @prefix: prefix of the keys
 * @since: watch for changes after this revision
 * @timeout_us: how long the store waits for a change; at most a minute
 *
 * Returns: (transfer full): a request to which the store responds when a key changes or the
 * time-out expires
 */
MhRequest *
mh_kv_request_watch (const char *prefix, guint64 since, gint64 timeout_us);
