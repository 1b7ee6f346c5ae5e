/* Values: CBOR items, as messages and records are made of them. */
#pragma once

#include "protocol/types.h"
#include <cbor.h>

typedef cbor_item_t MhValue;

void
mh_value_unref (MhValue *value);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (MhValue, mh_value_unref)

/* The whole of `data` as one CBOR item; NULL when malformed or followed by anything. */
MhValue *
mh_value_load (const void *data, gsize size);
GBytes *
mh_value_save (const MhValue *value);
/* Size limits of the protocol are counted in JSON; an upper bound of it. */
gsize
mh_value_json_size (const MhValue *value);

/* Small helpers for building and reading, used by records too. */
MhValue *
mh_value_map (void);
MhValue *
mh_value_list (void);
void
mh_value_set (MhValue *map, const char *key, MhValue *owned);
void
mh_value_set_text (MhValue *map, const char *key, const char *text); /* NULL: left out */
void
mh_value_set_uint (MhValue *map, const char *key, guint64 number);
void
mh_value_set_number (MhValue *map, const char *key, double number);
void
mh_value_set_bool (MhValue *map, const char *key, bool boolean);
void
mh_value_push (MhValue *list, MhValue *owned);
MhValue *
mh_value_uint (guint64 number);
MhValue *
mh_value_text (const char *text);
MhValue *
mh_value_get (const MhValue *map, const char *key); /* borrowed; null counts as absent */
bool
mh_value_get_uint (const MhValue *map, const char *key, guint64 *out);
bool
mh_value_get_number (const MhValue *map, const char *key, double *out);
bool
mh_value_get_bool (const MhValue *map, const char *key, bool *out);
char *
mh_value_get_text (const MhValue *map, const char *key); /* owned */
/* A list of names, or NULL; false when it is anything else. */
bool
mh_value_get_names (const MhValue *map, const char *key, char ***out);
void
mh_value_set_names (MhValue *map, const char *key, char **names);
bool
mh_value_as_uint (const MhValue *item, guint64 *out);
char *
mh_value_as_text (const MhValue *item);
gsize
mh_value_size (const MhValue *list); /* 0 when not a list */
MhValue *
mh_value_at (const MhValue *list, gsize index);
