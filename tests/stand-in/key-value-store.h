/* The consensus-backed key-value store, by its published protocol: revisions, compare-and-swap
   transactions, leases, lists in pages, and watches. */
#pragma once

#include "settings/settings.h"
#include "stand-in/service.h"

/** KeyValueStoreUnfenced: Called for a transaction that has no condition on the leader's key. */
typedef void (*KeyValueStoreUnfencedFunc) (gpointer data);

/**
 * KeyValueStore:
 * @settings: limits of values and transactions; not owned, and read at each request
 * @now_us: present time; the owner moves it by key_value_store_advance()
 * @outage_until_us: every request gets 503 until then, and no lease expires
 * @write_rps: changes a second that it takes, in bursts of one second; 0: any
 * @throttled_writes: transactions refused because of @write_rps
 * @malformed_writes: transactions refused for their size or for a lease that has expired
 * @final_record_reads: requests for the final record of a job
 * @keys: name -> key, in the order of the names
 * @revision: of the last change
 *
 * The other fields are private.
 */
typedef struct
{
  const MhSettings *settings;
  gint64 now_us;
  gint64 outage_until_us;
  double write_rps;
  guint throttled_writes;
  guint malformed_writes;
  guint final_record_reads;
  GTree *keys;
  guint64 revision;

  guint64 last_lease;
  GHashTable *lease_expiries;  /* lease -> gint64 time */
  GHashTable *lease_durations; /* lease -> gint64 duration */
  GArray *history;             /* KeyChange */
  GArray *watches;             /* Watch */
  double write_tokens;
  gint64 write_tokens_us;
  KeyValueStoreUnfencedFunc unfenced_func;
  gpointer unfenced_data;
} KeyValueStore;

/**
 * EndedWatch:
 * @token: of the request
 * @status: HTTP status
 * @body: its news; the receiver's to unref
 */
typedef struct
{
  gpointer token;
  guint status;
  MhValue *body;
} EndedWatch;

/** key_value_store_new: Returns: (transfer full): empty, at time 0 */
KeyValueStore *
key_value_store_new (const MhSettings *settings);
/** key_value_store_free: @store: a store; tokens of watches are the callers' */
void
key_value_store_free (KeyValueStore *store);
/** key_value_store_set_unfenced: @unfenced is called whenever a transaction is not fenced. */
void
key_value_store_set_unfenced_func (KeyValueStore *store, KeyValueStoreUnfencedFunc unfenced_func,
                                   gpointer data);
/**
 * key_value_store_serve:
 * @request: a request
 * @reply: (out): its answer
 *
 * Returns: false if the answer comes later, from key_value_store_advance() under the request's
 * token
 */
bool
key_value_store_serve (KeyValueStore *store, const ServiceRequest *request, ServiceReply *reply);
/**
 * key_value_store_advance:
 * @now_us: time, not before the last one
 * @ended: (element-type EndedWatch): watches that are answered now are added
 *
 * Leases expire, and watches end. After an outage every lease has its full time again.
 */
void
key_value_store_advance (KeyValueStore *store, gint64 now_us, GArray *ended);
/** key_value_store_watch_token: Returns: the token of the waiting watch with that index */
gpointer
key_value_store_watch_token (const KeyValueStore *store, guint index);
/** key_value_store_corrupt: The key's value becomes one that no version writes. */
void
key_value_store_corrupt (KeyValueStore *store, const char *name);
/** key_value_store_describe_keys: Appends a line a key to @out, in the order of their names. */
void
key_value_store_describe_keys (const KeyValueStore *store, GString *out);
