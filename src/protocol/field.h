/* Fields of messages: functions that read and validate one field, and tables that map the fields of
   a message to the members of a struct. */
#pragma once

#include "protocol/protocol-error.h"
#include "protocol/value.h"

/**
 * MH_MAX_NAME_LENGTH:
 *
 * The longest name in a message, in bytes: names have to fit into keys of the key-value store.
 */
#define MH_MAX_NAME_LENGTH 200

/**
 * MhEnumName:
 * @name: the text in the message; %NULL ends a table
 * @value: the enum value that it represents
 *
 * The name that the published protocol gives to an enum value.
 */
typedef struct
{
  const char *name;
  int value;
} MhEnumName;

/**
 * MhFieldType:
 * @MH_FIELD_NAME: char *, see mh_field_get_name()
 * @MH_FIELD_JOB_ID: char *, see mh_job_id_is_valid()
 * @MH_FIELD_STRV: %NULL-terminated char **; elements may be any texts
 * @MH_FIELD_ENUM: an enum; @enum_names of the #MhField has its names
 * @MH_FIELD_COUNT: guint, from 1 to @max of the #MhField
 * @MH_FIELD_UINT: guint64
 * @MH_FIELD_AMOUNT: double, from 0 to @max of the #MhField
 * @MH_FIELD_DURATION: gint64 in microseconds; in the message, a number of seconds
 * @MH_FIELD_FLAG: bool
 *
 * The type of a field in the message, and of its member in the struct.
 */
typedef enum
{
  MH_FIELD_NAME,
  MH_FIELD_JOB_ID,
  MH_FIELD_STRV,
  MH_FIELD_ENUM,
  MH_FIELD_COUNT,
  MH_FIELD_UINT,
  MH_FIELD_AMOUNT,
  MH_FIELD_DURATION,
  MH_FIELD_FLAG
} MhFieldType;

/**
 * MhFieldPresence:
 * @MH_FIELD_REQUIRED: a message without the field is rejected
 * @MH_FIELD_OPTIONAL: may be absent or null; the member then keeps its value
 * @MH_FIELD_LENIENT: like optional, and an invalid value is treated as absent
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
 * @name: name of the field in the message
 * @type: type
 * @presence: whether the message may lack the field
 * @offset: offset of the member in the struct
 * @max: the largest value; counts and amounts only
 * @enum_names: names of the enum values; enums only
 *
 * Maps one field of a message to a member of a struct. An array of them describes a message.
 */
typedef struct
{
  const char *name;
  MhFieldType type;
  MhFieldPresence presence;
  gsize offset;
  double max;
  const MhEnumName *enum_names;
} MhField;

/**
 * mh_fields_decode:
 * @map: (nullable): a message
 * @fields: the fields of the message
 * @n_fields: number of @fields
 * @target: the struct to fill in; members of optional fields hold their defaults, and pointers of
 *   required fields are %NULL
 * @error: (nullable): return location for an error of %MH_PROTOCOL_ERROR
 *
 * Validates and reads all @fields. Other fields of @map are ignored (PROTOCOL, introduction).
 *
 * Returns: %FALSE when @map is malformed. @target then owns the values that were read before the
 *   error.
 */
bool
mh_fields_decode (const MhValue *map, const MhField *fields, gsize n_fields, gpointer target,
                  GError **error);

/**
 * mh_fields_encode:
 * @fields: the fields of the message
 * @n_fields: number of @fields
 * @source: the struct
 *
 * Writes the fields in the order of @fields. Omits names and lists that are %NULL, and optional
 * durations below 0.
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
 * Returns: (transfer full) (nullable): the text, or %NULL when the field is absent or not a text
 */
char *
mh_field_get_text (const MhValue *map, const char *field, GError **error);

/**
 * mh_field_get_name:
 * @map: (nullable): a message
 * @field: name of the field
 * @error: (nullable): return location for an error
 *
 * Reads a name of 1 to %MH_MAX_NAME_LENGTH bytes, which can be part of a key in the key-value
 * store.
 *
 * Returns: (transfer full) (nullable): the name, or %NULL when the field is absent or not a valid
 *   name
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
 * Returns: %TRUE if the field is a whole number of at least 0
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
 * @field: name of the field, whose value is in seconds
 * @out: (out): the duration in microseconds; set when %TRUE is returned
 * @error: (nullable): return location for an error
 *
 * Returns: %TRUE if the field is a number of seconds from 0 to 1e9
 */
bool
mh_field_get_duration (const MhValue *map, const char *field, gint64 *out, GError **error);

/**
 * mh_field_get_enum:
 * @map: (nullable): a message
 * @field: name of the field
 * @names: the names that the field can hold
 * @out: (out): the enum value; set when %TRUE is returned
 * @error: (nullable): return location for an error
 *
 * Returns: %TRUE if the field is one of @names
 */
bool
mh_field_get_enum (const MhValue *map, const char *field, const MhEnumName *names, int *out,
                   GError **error);

/**
 * mh_field_get_strv:
 * @map: (nullable): a message
 * @field: name of the field
 * @error: (nullable): return location for an error
 *
 * Returns: (transfer full) (nullable): %NULL-terminated array of the texts, or %NULL when the field
 *   is absent or not a list of texts
 */
char **
mh_field_get_strv (const MhValue *map, const char *field, GError **error);

/**
 * mh_field_get_list:
 * @map: (nullable): a message
 * @field: name of the field
 * @error: (nullable): return location for an error
 *
 * Returns: (transfer none) (nullable): the list, or %NULL when the field is absent or not a list
 */
const MhValue *
mh_field_get_list (const MhValue *map, const char *field, GError **error);

/**
 * mh_enum_name_for_value:
 * @names: a table that contains @value
 * @value: an enum value
 *
 * Returns: (transfer none): the name of @value in messages
 */
const char *
mh_enum_name_for_value (const MhEnumName *names, int value);
