/* The consensus-backed key-value store, by its published protocol: revisions, compare-and-swap
   transactions, leases, lists in pages, and watches. */
#pragma once

#include "settings/settings.h"
#include "stand-in/service.h"

/** KeyValueStoreUnfencedFunc: Called for each transaction without a condition on the leader key. */
typedef void (*KeyValueStoreUnfencedFunc) (gpointer data);

/**
 * KeyValueStore:
 * @settings: limits of values and transactions; not owned, and read at each request
 * @now_us: present time; set by key_value_store_advance()
 * @outage_until_us: until then every request gets 503, and no lease expires
 * @write_rps: rate limit in changes per second, with bursts of one second; 0: no limit
 * @throttled_writes: number of transactions refused because of @write_rps
 * @malformed_writes: number of transactions refused for their size or an expired lease
 * @final_record_reads: number of requests for the final record of a job
 * @keys: name -> StoredKey, in the order of the names
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
  GHashTable *lease_expiries;  /* lease -> gint64, when it expires, in microseconds */
  GHashTable *lease_durations; /* lease -> gint64, its duration, in microseconds */
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
 * @body: the changes; the receiver must unref it
 */
typedef struct
{
  gpointer token;
  guint status;
  MhValue *body;
} EndedWatch;

/** key_value_store_new: Returns: (transfer full): an empty store at time 0 */
KeyValueStore *
key_value_store_new (const MhSettings *settings);
/** key_value_store_free: Frees @store. The tokens of watches remain owned by the callers. */
void
key_value_store_free (KeyValueStore *store);
/** key_value_store_set_unfenced_func: Sets the function that is called for each transaction without
 * a condition on the leader key. */
void
key_value_store_set_unfenced_func (KeyValueStore *store, KeyValueStoreUnfencedFunc unfenced_func,
                                   gpointer data);
/**
 * key_value_store_serve:
 * @request: a request
 * @response: (out): the response
 *
 * Returns: false if the request is a watch, which key_value_store_advance() answers later under the
 * token of the request
 */
bool
key_value_store_serve (KeyValueStore *store, const ServiceRequest *request,
                       ServiceResponse *response);
/**
 * key_value_store_advance:
 * @now_us: new time, not before the previous one
 * @ended: (element-type EndedWatch): the watches that end now are appended
 *
 * Advances the time: leases expire and watches end. After an outage, every lease gets its full
 * duration again.
 */
void
key_value_store_advance (KeyValueStore *store, gint64 now_us, GArray *ended);
/** key_value_store_watch_token: Returns: the token of the waiting watch with that index */
gpointer
key_value_store_watch_token (const KeyValueStore *store, guint index);
/** key_value_store_get_value: Returns: (transfer none) (nullable): the value of the key; %NULL:
 * there is no such key */
const MhValue *
key_value_store_get_value (const KeyValueStore *store, const char *name);
/** key_value_store_corrupt: Replaces the value of the key by one that no version writes. */
void
key_value_store_corrupt (KeyValueStore *store, const char *name);
/** key_value_store_describe_keys: Appends a line for each key to @out, in the order of their names.
 */
void
key_value_store_describe_keys (const KeyValueStore *store, GString *out);
