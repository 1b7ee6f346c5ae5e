#include "storage/transaction.h"

#include "election/leader-record.h"
#include "storage/record.h"
#include "protocol/key-value-messages.h"

#include <string.h>

#define CALL_TIMEOUT_US MH_SECOND_US

struct MhTransaction
{
  MhCallQueue *calls;
  const MhTransactionCallbacks *callbacks;
  gpointer data;
  GDestroyNotify free_data;
  char *tag;
  char *tagged_key;    /* of the first tagged record; NULL: none */
  GPtrArray *keys;     /* char *, owned: keys of conditions and changes */
  GArray *conditions;  /* MhKvCondition */
  GArray *changes;     /* MhKvChange */
  GPtrArray *values;   /* MhValue, references: values of changes */
  MhRequest *request;  /* NULL: not sent yet */
  bool may_be_applied; /* an earlier request may have been, or may yet be, applied */
};

MhTransactionOutcome
mh_transaction_read_outcome (const MhCallResponse *response, guint64 *version)
{
  switch (response->status)
    {
    case 200:
      return mh_kv_revision_decode (response->body, version, NULL) ? MH_TRANSACTION_APPLIED
                                                                   : MH_TRANSACTION_UNKNOWN;
    case 409:
      return MH_TRANSACTION_CONFLICT;
    case 400:
      return MH_TRANSACTION_MALFORMED;
    case 429:
      return MH_TRANSACTION_THROTTLED;
    case 503:
      return MH_TRANSACTION_UNAVAILABLE;
    default:
      return MH_TRANSACTION_UNKNOWN;
    }
}

/* ---- contents ---- */

MhTransaction *
mh_transaction_new (MhCallQueue *calls, const char *tag, const MhTransactionCallbacks *callbacks,
                    gpointer data, GDestroyNotify free_data)
{
  g_return_val_if_fail (calls && tag && callbacks, NULL);
  MhTransaction *transaction = g_rc_box_new0 (MhTransaction);
  transaction->calls = calls;
  transaction->callbacks = callbacks;
  transaction->data = data;
  transaction->free_data = free_data;
  transaction->tag = g_strdup (tag);
  transaction->keys = g_ptr_array_new_with_free_func (g_free);
  transaction->conditions = g_array_new (FALSE, FALSE, sizeof (MhKvCondition));
  transaction->changes = g_array_new (FALSE, FALSE, sizeof (MhKvChange));
  transaction->values = g_ptr_array_new_with_free_func ((GDestroyNotify)mh_value_unref);
  return transaction;
}

static void
transaction_clear (gpointer data)
{
  MhTransaction *transaction = data;
  if (transaction->free_data)
    transaction->free_data (transaction->data);
  g_free (transaction->tag);
  g_free (transaction->tagged_key);
  g_ptr_array_unref (transaction->keys);
  g_array_unref (transaction->conditions);
  g_array_unref (transaction->changes);
  g_ptr_array_unref (transaction->values);
  mh_request_free (transaction->request);
}

void
mh_transaction_unref (MhTransaction *transaction)
{
  g_rc_box_release_full (transaction, transaction_clear);
}

const char *
mh_transaction_tag (const MhTransaction *transaction)
{
  return transaction->tag;
}

guint
mh_transaction_changes (const MhTransaction *transaction)
{
  return transaction->changes->len;
}

static const char *
add_key (MhTransaction *transaction, const char *key)
{
  char *copy = g_strdup (key);
  g_ptr_array_add (transaction->keys, copy);
  return copy;
}

void
mh_transaction_add_condition (MhTransaction *transaction, const char *key, guint64 version)
{
  g_return_if_fail (transaction->request == NULL);
  MhKvCondition condition = { .key = add_key (transaction, key), .version = version };
  g_array_append_val (transaction->conditions, condition);
}

void
mh_transaction_put (MhTransaction *transaction, const char *key, MhValue *value)
{
  g_return_if_fail (transaction->request == NULL && value);
  g_ptr_array_add (transaction->values, cbor_incref (value));
  MhKvChange change = { .key = add_key (transaction, key), .value = value };
  g_array_append_val (transaction->changes, change);
}

void
mh_transaction_put_tagged (MhTransaction *transaction, const char *key, MhValue *value)
{
  mh_transaction_put (transaction, key, value);
  if (transaction->tagged_key == NULL)
    transaction->tagged_key = g_strdup (key);
}

void
mh_transaction_delete (MhTransaction *transaction, const char *key)
{
  g_return_if_fail (transaction->request == NULL);
  MhKvChange change = { .key = add_key (transaction, key) };
  g_array_append_val (transaction->changes, change);
}

/* ---- calls; each holds a reference to the transaction ---- */

static void
unref_after_call (gpointer data)
{
  mh_transaction_unref (data);
}

static void
add_call (MhTransaction *transaction, MhRequest *request, MhCallClass class, guint changes,
          MhCallResponseFunc func)
{
  const MhCallOptions options = { .class = class,
                                  .changes = changes,
                                  .timeout_us = CALL_TIMEOUT_US,
                                  .func = func,
                                  .data = g_rc_box_acquire (transaction),
                                  .free_data = unref_after_call };
  mh_call_queue_add (transaction->calls, request, &options);
}

static void
on_response (gpointer owner, gpointer data, const MhCallResponse *response);

static void
send_request (MhTransaction *transaction)
{
  add_call (transaction, mh_request_copy (transaction->request),
            transaction->callbacks->call_class (transaction->data), transaction->changes->len,
            on_response);
}

void
mh_transaction_send (MhTransaction *transaction)
{
  g_return_if_fail (transaction->request == NULL && transaction->changes->len > 0);
  transaction->request = mh_kv_request_transaction (
      (MhKvCondition *)transaction->conditions->data, transaction->conditions->len,
      (MhKvChange *)transaction->changes->data, transaction->changes->len);
  send_request (transaction);
}

static void
read_tagged_record (MhTransaction *transaction);

/* True: `body` is a record that carries the tag of the transaction. */
static bool
carries_tag (const MhTransaction *transaction, const MhValue *body, guint64 *version)
{
  MhKvEntry *entry = mh_kv_entry_decode (body, NULL);
  if (entry == NULL)
    return false;
  g_autofree char *tag = mh_record_read_tag (entry->value);
  *version = entry->version;
  mh_kv_entry_free (entry);
  return g_strcmp0 (tag, transaction->tag) == 0;
}

static void
on_tagged_record (gpointer owner, gpointer data, const MhCallResponse *response)
{
  (void)owner;
  MhTransaction *transaction = data;
  guint64 version = 0;
  if (response->status == 200 && carries_tag (transaction, response->body, &version))
    transaction->callbacks->applied (transaction->data, version);
  else if (response->status == 200 || response->status == 404)
    transaction->callbacks->outcome_unknown (transaction->data);
  else
    read_tagged_record (transaction);
}

static void
read_tagged_record (MhTransaction *transaction)
{
  add_call (transaction, mh_kv_request_get (transaction->tagged_key), MH_CALL_SAFETY, 0,
            on_tagged_record);
}

static void
on_conflict (MhTransaction *transaction, const MhCallResponse *response)
{
  g_auto (GStrv) failed_keys = mh_kv_failed_conditions_decode (response->body, NULL);
  bool leader_changed
      = failed_keys && g_strv_contains ((const char *const *)failed_keys, MH_LEADER_KEY);
  bool in_doubt
      = transaction->may_be_applied && !leader_changed && transaction->tagged_key
        && !transaction->callbacks->conflict_proves_not_applied (transaction->data, failed_keys);
  if (in_doubt)
    read_tagged_record (transaction);
  else
    transaction->callbacks->conflict (transaction->data, failed_keys);
}

/* A transaction that makes more changes than the lowered rate allows at once would be refused each
   time it is sent. */
static void
on_throttled (MhTransaction *transaction, const MhCallResponse *response)
{
  mh_call_queue_handle_store_failure (transaction->calls, response->status);
  if (transaction->changes->len <= mh_call_queue_write_burst (transaction->calls))
    send_request (transaction);
  else if (!transaction->may_be_applied)
    transaction->callbacks->exceeds_rate (transaction->data);
  else if (transaction->tagged_key)
    read_tagged_record (transaction);
  else
    transaction->callbacks->outcome_unknown (transaction->data);
}

static void
on_response (gpointer owner, gpointer data, const MhCallResponse *response)
{
  (void)owner;
  MhTransaction *transaction = data;
  guint64 version;
  MhTransactionOutcome outcome = mh_transaction_read_outcome (response, &version);
  switch (outcome)
    {
    case MH_TRANSACTION_APPLIED:
      transaction->callbacks->applied (transaction->data, version);
      break;
    case MH_TRANSACTION_CONFLICT:
      on_conflict (transaction, response);
      break;
    case MH_TRANSACTION_MALFORMED:
      transaction->callbacks->malformed (transaction->data, transaction->may_be_applied);
      break;
    case MH_TRANSACTION_THROTTLED:
      on_throttled (transaction, response);
      break;
    case MH_TRANSACTION_UNKNOWN:
    case MH_TRANSACTION_UNAVAILABLE:
      transaction->may_be_applied |= outcome == MH_TRANSACTION_UNKNOWN;
      mh_call_queue_handle_store_failure (transaction->calls, response->status);
      send_request (transaction);
      break;
    }
}
