/* Fields of messages: readers that check one field, and tables that map the fields of a message
   to a struct. */
#pragma once

#include "protocol/protocol-error.h"
#include "protocol/value.h"

/**
 * MH_MAX_NAME_LENGTH:
 *
 * The longest name in a message, in bytes: it must fit into a key of the key-value store.
 */
#define MH_MAX_NAME_LENGTH 200

/**
 * MhWord:
 * @word: what stands in the message; %NULL ends a table
 * @value: the value that stands for it here
 *
 * A word of the published protocol.
 */
typedef struct
{
  const char *word;
  int value;
} MhWord;

/**
 * MhFieldType:
 * @MH_FIELD_NAME: char *, see mh_field_get_name()
 * @MH_FIELD_JOB_ID: char *, see mh_job_id_is_valid()
 * @MH_FIELD_NAMES: char **, ending in %NULL
 * @MH_FIELD_WORD: an enum, by @words of the #MhField
 * @MH_FIELD_COUNT: guint, from 1 to @max of the #MhField
 * @MH_FIELD_UINT: guint64
 * @MH_FIELD_AMOUNT: double, from 0 to @max of the #MhField
 * @MH_FIELD_DURATION: gint64 in microseconds; seconds as a decimal number in the message
 * @MH_FIELD_FLAG: bool
 *
 * The type of a field, in the message and in the struct.
 */
typedef enum
{
  MH_FIELD_NAME,
  MH_FIELD_JOB_ID,
  MH_FIELD_NAMES,
  MH_FIELD_WORD,
  MH_FIELD_COUNT,
  MH_FIELD_UINT,
  MH_FIELD_AMOUNT,
  MH_FIELD_DURATION,
  MH_FIELD_FLAG
} MhFieldType;

/**
 * MhFieldPresence:
 * @MH_FIELD_REQUIRED: the message is refused without it
 * @MH_FIELD_OPTIONAL: may be absent or null; the struct then keeps its value
 * @MH_FIELD_LENIENT: like optional, and a value that is not valid counts as absent
 *
 * Whether a message may lack a field.
 */
typedef enum
{
  MH_FIELD_REQUIRED,
  MH_FIELD_OPTIONAL,
  MH_FIELD_LENIENT
} MhFieldPresence;

/**
 * MhField:
 * @name: its name in the message
 * @type: its type
 * @presence: whether the message may lack it
 * @offset: where it is in the struct
 * @max: the largest value; counts and amounts only
 * @words: words only
 *
 * One field of a message, and what it is called here. An array of them is the table of a message.
 */
typedef struct
{
  const char *name;
  MhFieldType type;
  MhFieldPresence presence;
  gsize offset;
  double max;
  const MhWord *words;
} MhField;

/**
 * mh_fields_decode:
 * @map: (nullable): a message
 * @fields: the table of the message
 * @n_fields: its length
 * @target: the struct to fill in, whose pointers are %NULL or, for optional fields, the default
 * @error: (nullable): return location for an error of %MH_PROTOCOL_ERROR
 *
 * Checks and reads all fields of a table. Fields of @map that the table does not have are ignored
 * (PROTOCOL, the head of the page).
 *
 * Returns: %FALSE when @map is malformed. @target then owns what was read until then.
 */
bool
mh_fields_decode (const MhValue *map, const MhField *fields, gsize n_fields, gpointer target,
                  GError **error);

/**
 * mh_fields_encode:
 * @fields: the table of a message
 * @n_fields: its length
 * @source: the struct
 *
 * Writes the fields in the order of the table. Names and lists that are %NULL and optional
 * durations below 0 are left out.
 *
 * Returns: (transfer full): a map
 */
MhValue *
mh_fields_encode (const MhField *fields, gsize n_fields, gconstpointer source);

/**
 * mh_field_get_text:
 * @map: (nullable): a message
 * @field: name of the field
 * @error: (nullable): return location for an error
 *
 * Returns: (transfer full) (nullable): the text, or %NULL when there is none
 */
char *
mh_field_get_text (const MhValue *map, const char *field, GError **error);

/**
 * mh_field_get_name:
 * @map: (nullable): a message
 * @field: name of the field
 * @error: (nullable): return location for an error
 *
 * Reads a name that can stand in a key of the key-value store: of 1 to %MH_MAX_NAME_LENGTH bytes.
 *
 * Returns: (transfer full) (nullable): the name, or %NULL when there is no such
 */
char *
mh_field_get_name (const MhValue *map, const char *field, GError **error);

/**
 * mh_field_get_uint:
 * @map: (nullable): a message
 * @field: name of the field
 * @out: (out): set when %TRUE is returned
 * @error: (nullable): return location for an error
 *
 * Returns: %TRUE if the field is a whole number that is not negative
 */
bool
mh_field_get_uint (const MhValue *map, const char *field, guint64 *out, GError **error);

/**
 * mh_field_get_amount:
 * @map: (nullable): a message
 * @field: name of the field
 * @max: the largest value
 * @out: (out): set when %TRUE is returned
 * @error: (nullable): return location for an error
 *
 * Returns: %TRUE if the field is a number from 0 to @max
 */
bool
mh_field_get_amount (const MhValue *map, const char *field, double max, double *out,
                     GError **error);

/**
 * mh_field_get_duration:
 * @map: (nullable): a message
 * @field: name of the field, which is in seconds
 * @out: (out): in microseconds; set when %TRUE is returned
 * @error: (nullable): return location for an error
 *
 * Returns: %TRUE if the field is a duration
 */
bool
mh_field_get_duration (const MhValue *map, const char *field, gint64 *out, GError **error);

/**
 * mh_field_get_word:
 * @map: (nullable): a message
 * @field: name of the field
 * @words: the words that it can hold
 * @out: (out): the value that stands for the word; set when %TRUE is returned
 * @error: (nullable): return location for an error
 *
 * Returns: %TRUE if the field is one of @words
 */
bool
mh_field_get_word (const MhValue *map, const char *field, const MhWord *words, int *out,
                   GError **error);

/**
 * mh_field_get_names:
 * @map: (nullable): a message
 * @field: name of the field
 * @error: (nullable): return location for an error
 *
 * Returns: (transfer full) (nullable): the names, ending in %NULL, or %NULL when there is no list
 * of texts
 */
char **
mh_field_get_names (const MhValue *map, const char *field, GError **error);

/**
 * mh_field_get_list:
 * @map: (nullable): a message
 * @field: name of the field
 * @error: (nullable): return location for an error
 *
 * Returns: (transfer none) (nullable): the list, or %NULL when there is none
 */
const MhValue *
mh_field_get_list (const MhValue *map, const char *field, GError **error);

/**
 * mh_word_for_value:
 * @words: a table
 * @value: a value that is in it
 *
 * Returns: (transfer none): the word that stands for @value in messages
 */
const char *
mh_word_for_value (const MhWord *words, int value);
