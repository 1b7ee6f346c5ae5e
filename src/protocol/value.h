/* CBOR values: the items that messages and stored records consist of. */
#pragma once

#include <cbor.h>
#include <glib.h>
#include <stdbool.h>

/**
 * MhValue:
 *
 * A reference-counted CBOR item; a new one has one reference. Messages consist of maps with text
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
 * mh_value_parse:
 * @data: (nullable): bytes
 * @size: number of bytes
 * @error: (nullable): return location for an error of %MH_PROTOCOL_ERROR
 *
 * Returns: (transfer full) (nullable): the item, or %NULL when @data is malformed, is nested too
 *   deeply (see mh_cbor_is_well_formed()) or has further bytes after the item
 */
MhValue *
mh_value_parse (const void *data, gsize size, GError **error);

/**
 * mh_value_serialize:
 * @value: a value
 *
 * Returns: (transfer full): the value encoded in CBOR
 */
GBytes *
mh_value_serialize (const MhValue *value);

/**
 * mh_value_json_size:
 * @value: a value
 *
 * The protocol defines its size limits in terms of JSON (PROTOCOL, introduction).
 *
 * Returns: an upper bound of the value's size in JSON, in bytes
 */
gsize
mh_value_json_size (const MhValue *value);

/**
 * mh_value_new_map:
 *
 * Returns: (transfer full): an empty map
 */
MhValue *
mh_value_new_map (void);

/**
 * mh_value_new_list:
 *
 * Returns: (transfer full): an empty list
 */
MhValue *
mh_value_new_list (void);

/**
 * mh_value_new_uint:
 * @number: a whole number
 *
 * Returns: (transfer full): a value with the number
 */
MhValue *
mh_value_new_uint (guint64 number);

/**
 * mh_value_new_text:
 * @text: UTF-8
 *
 * Returns: (transfer full): a value with the text
 */
MhValue *
mh_value_new_text (const char *text);

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
 * @text: (nullable): value; %NULL: the key is not added
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
 * mh_value_set_strv:
 * @map: a map without @key
 * @key: key
 * @texts: (nullable): %NULL-terminated array; %NULL: an empty list
 */
void
mh_value_set_strv (MhValue *map, const char *key, char **texts);

/**
 * mh_value_push:
 * @list: a list
 * @value: (transfer full): the item to append
 */
void
mh_value_push (MhValue *list, MhValue *value);

/**
 * mh_value_get:
 * @map: (nullable): any value
 * @key: key
 *
 * Returns: (transfer none) (nullable): the value of the first entry with @key; %NULL when there is
 *   no such entry, when its value is null or undefined, or when @map is not a map
 */
MhValue *
mh_value_get (const MhValue *map, const char *key);

/**
 * mh_value_get_uint:
 * @map: (nullable): any value
 * @key: key
 * @out: (out): set when %TRUE is returned
 *
 * Returns: %TRUE if the value is a whole number of at least 0, encoded as an integer or as a
 *   float
 */
bool
mh_value_get_uint (const MhValue *map, const char *key, guint64 *out);

/**
 * mh_value_get_number:
 * @map: (nullable): any value
 * @key: key
 * @out: (out): set when %TRUE is returned
 *
 * Returns: %TRUE if the value is a finite number
 */
bool
mh_value_get_number (const MhValue *map, const char *key, double *out);

/**
 * mh_value_get_bool:
 * @map: (nullable): any value
 * @key: key
 * @out: (out): set when %TRUE is returned
 *
 * Returns: %TRUE if the value is true or false
 */
bool
mh_value_get_bool (const MhValue *map, const char *key, bool *out);

/**
 * mh_value_get_text:
 * @map: (nullable): any value
 * @key: key
 *
 * Returns: (transfer full) (nullable): the text, or %NULL; see mh_value_as_text()
 */
char *
mh_value_get_text (const MhValue *map, const char *key);

/**
 * mh_value_get_strv:
 * @map: (nullable): any value
 * @key: key
 * @out: (out) (transfer full) (nullable): %NULL-terminated array of the texts; %NULL when @key is
 *   absent or null, or when %FALSE is returned
 *
 * Returns: %FALSE if the value is present and is not a list of texts
 */
bool
mh_value_get_strv (const MhValue *map, const char *key, char ***out);

/**
 * mh_value_as_uint:
 * @item: (nullable): any value
 * @out: (out): set when %TRUE is returned
 *
 * Returns: %TRUE if the value is a whole number of at least 0, encoded as an integer or as a
 *   float
 */
bool
mh_value_as_uint (const MhValue *item, guint64 *out);

/**
 * mh_value_as_text:
 * @item: (nullable): any value
 *
 * Returns: (transfer full) (nullable): the text, or %NULL when @item is not a text, is not valid
 *   UTF-8 or contains a NUL byte
 */
char *
mh_value_as_text (const MhValue *item);

/**
 * mh_value_list_length:
 * @list: (nullable): any value
 *
 * Returns: number of items; 0 when @list is not a list
 */
gsize
mh_value_list_length (const MhValue *list);

/**
 * mh_value_at:
 * @list: a list
 * @index: less than mh_value_list_length()
 *
 * Returns: (transfer none): the item
 */
MhValue *
mh_value_at (const MhValue *list, gsize index);
