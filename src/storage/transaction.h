/* One transaction of the key-value store: changes that are applied together if all conditions hold.

   The same request is sent again until the outcome is known. If a request got no response, a
   conflict on a later one may mean that the earlier request was applied. The record under the
   tagged key is then read: it carries the tag of the transaction if the transaction was applied. */
#pragma once

#include "runtime/call-queue.h"

/**
 * MhTransactionOutcome:
 * @MH_TRANSACTION_APPLIED: all changes were made
 * @MH_TRANSACTION_CONFLICT: a condition did not hold; nothing was changed
 * @MH_TRANSACTION_MALFORMED: the transaction is malformed or too large, and would be refused again;
 *   nothing was changed
 * @MH_TRANSACTION_THROTTLED: too many requests; nothing was changed
 * @MH_TRANSACTION_UNAVAILABLE: the store is unavailable for now; nothing was changed
 * @MH_TRANSACTION_UNKNOWN: no response, or one that cannot be decoded: the request may have been
 *   applied, or may still be
 *
 * The outcome of one request of a transaction (PROTOCOL, POST /multi).
 */
typedef enum
{
  MH_TRANSACTION_APPLIED,
  MH_TRANSACTION_CONFLICT,
  MH_TRANSACTION_MALFORMED,
  MH_TRANSACTION_THROTTLED,
  MH_TRANSACTION_UNAVAILABLE,
  MH_TRANSACTION_UNKNOWN
} MhTransactionOutcome;

/**
 * mh_transaction_read_outcome:
 * @response: the outcome of one request to the key-value store
 * @version: (out): the new version of all changed keys; set only for MH_TRANSACTION_APPLIED
 *
 * Returns: the outcome that @response reports
 */
MhTransactionOutcome
mh_transaction_read_outcome (const MhCallResponse *response, guint64 *version);

/** MhTransaction: a transaction that is being built or is in flight */
typedef struct MhTransaction MhTransaction;

/**
 * MhTransactionCallbacks:
 * @call_class: returns the class of the next request; called before each request
 * @conflict_proves_not_applied: returns whether a conflict on these keys alone proves that no
 * earlier request was or will be applied
 * @applied: the transaction was applied, and the keys that it changed have this version
 * @conflict: the conditions on these keys did not hold. The transaction was not and will not be
 * applied, with one exception: if the leader key is one of these keys, or no record in the
 * transaction is tagged, an earlier request with an unknown outcome may have been applied
 * @malformed: the store refused the transaction as malformed or too large; `may_be_applied`: an
 * earlier request with an unknown outcome may have been applied
 * @exceeds_rate: it was not and will not be applied, since it makes more changes than the store
 * allows at once; in parts it may pass
 * @outcome_unknown: it cannot be determined whether the transaction was applied
 *
 * Called with the data of the transaction. One of the last five is called, once, unless the calls
 * of the transaction are forgotten before.
 */
typedef struct
{
  MhCallClass (*call_class) (gconstpointer data);
  bool (*conflict_proves_not_applied) (gconstpointer data, char **failed_keys);
  void (*applied) (gpointer data, guint64 version);
  void (*conflict) (gpointer data, char **failed_keys);
  void (*malformed) (gpointer data, bool may_be_applied);
  void (*exceeds_rate) (gpointer data);
  void (*outcome_unknown) (gpointer data);
} MhTransactionCallbacks;

/**
 * mh_transaction_new:
 * @calls: (transfer none): the queue that its requests are sent through
 * @tag: the tag that the records in the transaction carry; no other transaction has it
 * @callbacks: (transfer none): static
 * @data: (transfer full): passed to @callbacks
 * @free_data: frees @data with the transaction
 *
 * Returns: (transfer full): an empty transaction
 */
MhTransaction *
mh_transaction_new (MhCallQueue *calls, const char *tag, const MhTransactionCallbacks *callbacks,
                    gpointer data, GDestroyNotify free_data);

/**
 * mh_transaction_unref:
 * @transaction: (transfer full): a transaction
 *
 * Drops the caller's reference. Each queued or unanswered call holds a reference until it ends.
 */
void
mh_transaction_unref (MhTransaction *transaction);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (MhTransaction, mh_transaction_unref)

/**
 * mh_transaction_tag:
 * @transaction: a transaction
 *
 * Returns: (transfer none): its tag
 */
const char *
mh_transaction_tag (const MhTransaction *transaction);

/**
 * mh_transaction_changes:
 * @transaction: a transaction
 *
 * Returns: the number of keys that the transaction changes so far
 */
guint
mh_transaction_changes (const MhTransaction *transaction);

/**
 * mh_transaction_add_condition:
 * @transaction: a transaction that was not sent yet
 * @key: a key
 * @version: the version that @key must have; 0: @key must not exist
 *
 * Adds a condition.
 */
void
mh_transaction_add_condition (MhTransaction *transaction, const char *key, guint64 version);

/**
 * mh_transaction_put:
 * @transaction: a transaction that was not sent yet
 * @key: a key
 * @value: (transfer none): the new value of @key
 *
 * Adds a change that stores @value.
 */
void
mh_transaction_put (MhTransaction *transaction, const char *key, MhValue *value);

/**
 * mh_transaction_put_tagged:
 * @transaction: a transaction that was not sent yet
 * @key: a key
 * @value: (transfer none): the new value of @key, a record that carries the tag
 *
 * Adds a change that stores @value. The key of the first such change is read if it has to be
 * determined whether an unanswered request was applied.
 */
void
mh_transaction_put_tagged (MhTransaction *transaction, const char *key, MhValue *value);

/**
 * mh_transaction_delete:
 * @transaction: a transaction that was not sent yet
 * @key: a key
 *
 * Adds a change that deletes @key.
 */
void
mh_transaction_delete (MhTransaction *transaction, const char *key);

/**
 * mh_transaction_send:
 * @transaction: a transaction that was not sent yet, with at least one change
 *
 * Queues the first request.
 */
void
mh_transaction_send (MhTransaction *transaction);
