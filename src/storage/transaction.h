/* One transaction of the key-value store: changes that are applied together if all conditions hold.

   It is sent until its outcome is known. After a copy without an answer, a conflict may only mean
   that this copy was applied: then the record under the tagged key is read, and its tag tells. */
#pragma once

#include "runtime/call-queue.h"

/**
 * MhTransactionOutcome:
 * @MH_TRANSACTION_APPLIED: all changes were made
 * @MH_TRANSACTION_CONFLICT: a condition did not hold; nothing was changed
 * @MH_TRANSACTION_MALFORMED: the store will never take it; nothing was changed
 * @MH_TRANSACTION_THROTTLED: too many requests; not executed
 * @MH_TRANSACTION_UNAVAILABLE: not executed for now
 * @MH_TRANSACTION_UNKNOWN: no answer, or none that is understood: it may have been applied, or may
 *   still be
 *
 * What one reply to a transaction says (PROTOCOL, POST /multi).
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
 * @reply: of the key-value store
 * @version: (out): of all keys that were changed; set for MH_TRANSACTION_APPLIED alone
 *
 * Returns: what @reply says
 */
MhTransactionOutcome
mh_transaction_read_outcome (const MhReply *reply, guint64 *version);

/** MhTransaction: a transaction under way */
typedef struct MhTransaction MhTransaction;

/**
 * MhTransactionCallbacks:
 * @call_class: asked before each copy that is sent: how urgent it is
 * @conflict_is_final: whether the conflict on these keys shows by itself that no copy was applied
 * or will be
 * @applied: it was applied, and its keys have the version
 * @conflict: it was not applied and will not be, because of these keys
 * @malformed: the store will not take it; `maybe_applied`: a copy without an answer may have been
 * @unaccounted: whether it was applied cannot be found out
 *
 * Told by a transaction to its owner, with the data of the transaction. One of the last four is
 * called, once.
 */
typedef struct
{
  MhCallClass (*call_class) (gconstpointer data);
  bool (*conflict_is_final) (gconstpointer data, char **failed_keys);
  void (*applied) (gpointer data, guint64 version);
  void (*conflict) (gpointer data, char **failed_keys);
  void (*malformed) (gpointer data, bool maybe_applied);
  void (*unaccounted) (gpointer data);
} MhTransactionCallbacks;

/**
 * mh_transaction_new:
 * @calls: (not transferred): the queue that it is sent through
 * @tag: what records in it carry, and no other transaction has
 * @callbacks: (not transferred): static
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
 * Gives up the reference. Calls under way hold the transaction by themselves.
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
 * Returns: the number of keys that it changes
 */
guint
mh_transaction_changes (const MhTransaction *transaction);

/**
 * mh_transaction_add_condition:
 * @transaction: one that was not sent yet
 * @key: a key
 * @version: that the key must have; 0: it must not exist
 *
 * Adds a condition.
 */
void
mh_transaction_add_condition (MhTransaction *transaction, const char *key, guint64 version);

/**
 * mh_transaction_put:
 * @transaction: one that was not sent yet
 * @key: a key
 * @value: (not transferred): what is stored under it
 *
 * Adds a change.
 */
void
mh_transaction_put (MhTransaction *transaction, const char *key, MhValue *value);

/**
 * mh_transaction_put_tagged:
 * @transaction: one that was not sent yet
 * @key: a key
 * @value: (not transferred): what is stored under it; carries the tag
 *
 * Adds a change. The first one that is added so tells whether an unanswered copy was applied.
 */
void
mh_transaction_put_tagged (MhTransaction *transaction, const char *key, MhValue *value);

/**
 * mh_transaction_delete:
 * @transaction: one that was not sent yet
 * @key: a key that is removed
 *
 * Adds a change.
 */
void
mh_transaction_delete (MhTransaction *transaction, const char *key);

/**
 * mh_transaction_send:
 * @transaction: with one change at least
 *
 * Queues the first copy.
 */
void
mh_transaction_send (MhTransaction *transaction);
