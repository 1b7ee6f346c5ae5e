/* Shared by key-value-store.c, which holds the data, and key-value-requests.c, which implements the
   protocol. */
#pragma once

#include "stand-in/key-value-store.h"

/** StoredKey: @revision: of its last change; @lease: that it expires with; 0: none */
typedef struct
{
  MhValue *value;
  guint64 revision, lease;
} StoredKey;

/** KeyChange: @value: (nullable): %NULL: the key was removed */
typedef struct
{
  char *name;
  MhValue *value;
  guint64 revision;
} KeyChange;

/** Watch: waits until @hold_until_us for changes after @since_revision of keys with @prefix */
typedef struct
{
  gpointer token;
  guint64 since_revision;
  char *prefix;
  gint64 hold_until_us;
} Watch;

/**
 * key_value_store_change:
 * @value: (nullable): %NULL removes the key
 * @lease: that the key expires with; 0: none
 *
 * Records a change at the present revision, which the caller has incremented.
 */
void
key_value_store_change (KeyValueStore *store, const char *name, MhValue *value, guint64 lease);
/** key_value_store_grant_lease: Returns: a new lease that expires after @duration_us unless renewed
 */
guint64
key_value_store_grant_lease (KeyValueStore *store, gint64 duration_us);
/** key_value_store_renew_lease: Returns: whether the lease exists */
bool
key_value_store_renew_lease (KeyValueStore *store, guint64 lease);
/** key_value_store_end_lease: Ends the lease and removes its keys. Returns: whether the lease
 * existed */
bool
key_value_store_end_lease (KeyValueStore *store, guint64 lease);
/** key_value_store_has_lease: Returns: whether the lease exists */
bool
key_value_store_has_lease (const KeyValueStore *store, guint64 lease);
/** key_value_store_changes_for_watch: Returns: (nullable): the body that answers the watch; %NULL:
 * it continues to wait */
MhValue *
key_value_store_changes_for_watch (const KeyValueStore *store, const Watch *watch);
