/* What key-value-store.c, which holds the data, and key-value-requests.c, which speaks the
   protocol, share. */
#pragma once

#include "stand-in/key-value-store.h"

/** StoredKey: @lease: that it ends with; 0: none */
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

/** Watch: for changes after revision @since of keys that begin with @prefix */
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
 * @lease: that the key ends with; 0: none
 *
 * At the present revision, which the caller has raised.
 */
void
key_value_store_change (KeyValueStore *store, const char *name, MhValue *value, guint64 lease);
/** key_value_store_grant_lease: Returns: a new lease that expires after @length_us */
guint64
key_value_store_grant_lease (KeyValueStore *store, gint64 duration_us);
/** key_value_store_renew_lease: Returns: whether the lease exists */
bool
key_value_store_renew_lease (KeyValueStore *store, guint64 lease);
/** key_value_store_end_lease: Its keys are removed. Returns: whether the lease existed */
bool
key_value_store_end_lease (KeyValueStore *store, guint64 lease);
/** key_value_store_has_lease: Returns: whether the lease exists */
bool
key_value_store_has_lease (const KeyValueStore *store, guint64 lease);
/** key_value_store_watch_news: Returns: (nullable): the answer to a watch that ends now */
MhValue *
key_value_store_changes_for_watch (const KeyValueStore *store, const Watch *watch);
