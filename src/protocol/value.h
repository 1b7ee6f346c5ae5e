/* Values: CBOR items, of which messages and records are made. */
#pragma once

#include <cbor.h>
#include <glib.h>
#include <stdbool.h>

/**
 * MhValue:
 *
 * A CBOR item with a reference count, which starts at 1. What a message is made of: maps with text
 * keys, lists, texts, numbers, booleans and null.
 */
typedef cbor_item_t MhValue;

/**
 * mh_value_unref:
 * @value: (nullable) (transfer full): a value
 */
void
mh_value_unref (MhValue *value);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (MhValue, mh_value_unref)

/**
 * mh_value_load:
 * @data: (nullable): bytes
 * @size: their number
 * @error: (nullable): return location for an error of %MH_PROTOCOL_ERROR
 *
 * Returns: (transfer full) (nullable): the whole of @data as one CBOR item, or %NULL when it is
 * malformed, nested more deeply than any message or followed by anything
 */
MhValue *
mh_value_load (const void *data, gsize size, GError **error);

/**
 * mh_value_save:
 * @value: a value
 *
 * Returns: (transfer full): its CBOR
 */
GBytes *
mh_value_save (const MhValue *value);

/**
 * mh_value_json_size:
 * @value: a value
 *
 * The size limits of the protocol are counted in JSON (PROTOCOL, the head of the page).
 *
 * Returns: an upper bound of its size in JSON, in bytes
 */
gsize
mh_value_json_size (const MhValue *value);

/**
 * mh_value_map:
 *
 * Returns: (transfer full): an empty map
 */
MhValue *
mh_value_map (void);

/**
 * mh_value_list:
 *
 * Returns: (transfer full): an empty list
 */
MhValue *
mh_value_list (void);

/**
 * mh_value_uint:
 * @number: a whole number
 *
 * Returns: (transfer full): the number
 */
MhValue *
mh_value_uint (guint64 number);

/**
 * mh_value_text:
 * @text: UTF-8
 *
 * Returns: (transfer full): the text
 */
MhValue *
mh_value_text (const char *text);

/**
 * mh_value_set:
 * @map: a map without @key
 * @key: key
 * @value: (transfer full): value
 */
void
mh_value_set (MhValue *map, const char *key, MhValue *value);

/**
 * mh_value_set_text:
 * @map: a map without @key
 * @key: key
 * @text: (nullable): value; %NULL: left out
 */
void
mh_value_set_text (MhValue *map, const char *key, const char *text);

/**
 * mh_value_set_uint:
 * @map: a map without @key
 * @key: key
 * @number: value
 */
void
mh_value_set_uint (MhValue *map, const char *key, guint64 number);

/**
 * mh_value_set_number:
 * @map: a map without @key
 * @key: key
 * @number: value
 */
void
mh_value_set_number (MhValue *map, const char *key, double number);

/**
 * mh_value_set_bool:
 * @map: a map without @key
 * @key: key
 * @flag: value
 */
void
mh_value_set_bool (MhValue *map, const char *key, bool flag);

/**
 * mh_value_set_names:
 * @map: a map without @key
 * @key: key
 * @names: (nullable): texts, ending in %NULL; %NULL: an empty list
 */
void
mh_value_set_names (MhValue *map, const char *key, char **names);

/**
 * mh_value_push:
 * @list: a list
 * @value: (transfer full): its new last item
 */
void
mh_value_push (MhValue *list, MhValue *value);

/**
 * mh_value_get:
 * @map: (nullable): any value
 * @key: key
 *
 * Returns: (transfer none) (nullable): the value of the first such key; %NULL when there is none,
 * when it is null or when @map is no map
 */
MhValue *
mh_value_get (const MhValue *map, const char *key);

/**
 * mh_value_get_uint:
 * @map: (nullable): any value
 * @key: key
 * @out: (out): set when %TRUE is returned
 *
 * Returns: %TRUE if it is a whole number from 0; a float may hold one
 */
bool
mh_value_get_uint (const MhValue *map, const char *key, guint64 *out);

/**
 * mh_value_get_number:
 * @map: (nullable): any value
 * @key: key
 * @out: (out): set when %TRUE is returned
 *
 * Returns: %TRUE if it is a finite number
 */
bool
mh_value_get_number (const MhValue *map, const char *key, double *out);

/**
 * mh_value_get_bool:
 * @map: (nullable): any value
 * @key: key
 * @out: (out): set when %TRUE is returned
 *
 * Returns: %TRUE if it is true or false
 */
bool
mh_value_get_bool (const MhValue *map, const char *key, bool *out);

/**
 * mh_value_get_text:
 * @map: (nullable): any value
 * @key: key
 *
 * Returns: (transfer full) (nullable): the text; see mh_value_as_text()
 */
char *
mh_value_get_text (const MhValue *map, const char *key);

/**
 * mh_value_get_names:
 * @map: (nullable): any value
 * @key: key
 * @out: (out) (transfer full) (nullable): texts, ending in %NULL; %NULL when there is no such key
 *
 * Returns: %FALSE if it is anything but a list of texts
 */
bool
mh_value_get_names (const MhValue *map, const char *key, char ***out);

/**
 * mh_value_as_uint:
 * @item: (nullable): any value
 * @out: (out): set when %TRUE is returned
 *
 * Returns: %TRUE if it is a whole number from 0; a float may hold one
 */
bool
mh_value_as_uint (const MhValue *item, guint64 *out);

/**
 * mh_value_as_text:
 * @item: (nullable): any value
 *
 * Returns: (transfer full) (nullable): the text, or %NULL when it is none, not UTF-8 or has a zero
 * byte in it
 */
char *
mh_value_as_text (const MhValue *item);

/**
 * mh_value_size:
 * @list: (nullable): any value
 *
 * Returns: number of items; 0 when it is no list
 */
gsize
mh_value_size (const MhValue *list);

/**
 * mh_value_at:
 * @list: a list
 * @index: below mh_value_size()
 *
 * Returns: (transfer none): the item
 */
MhValue *
mh_value_at (const MhValue *list, gsize index);
