#include "protocol/field.h"
#include "protocol/job-spec.h"
#include "base/time-units.h"

#include <string.h>

/* The longest duration in a message. */
#define MAX_DURATION_S 1e9

static bool
fail (GError **error, MhProtocolError code, const char *field, const char *problem)
{
  g_set_error (error, MH_PROTOCOL_ERROR, code, "%s: %s", field, problem);
  return false;
}

/* Sets the error for a field that is absent, null or not of the expected type. */
static bool
fail_missing_or_wrong_type (const MhValue *map, const char *field, const char *expected,
                            GError **error)
{
  if (mh_value_get (map, field) == NULL)
    return fail (error, MH_PROTOCOL_ERROR_MISSING_FIELD, field, "missing or null");
  g_set_error (error, MH_PROTOCOL_ERROR, MH_PROTOCOL_ERROR_WRONG_TYPE,
               "%s: wrong type, expected %s", field, expected);
  return false;
}

char *
mh_field_get_text (const MhValue *map, const char *field, GError **error)
{
  char *text = mh_value_get_text (map, field);
  if (text == NULL)
    fail_missing_or_wrong_type (map, field, "a text", error);
  return text;
}

char *
mh_field_get_name (const MhValue *map, const char *field, GError **error)
{
  g_autofree char *text = mh_field_get_text (map, field, error);
  if (text == NULL)
    return NULL;
  if (*text == '\0' || strlen (text) > MH_MAX_NAME_LENGTH)
    {
      fail (error, MH_PROTOCOL_ERROR_OUT_OF_RANGE, field,
            "length out of range, expected 1 to 200 bytes");
      return NULL;
    }
  return g_steal_pointer (&text);
}

static char *
get_job_id (const MhValue *map, const char *field, GError **error)
{
  g_autofree char *text = mh_field_get_text (map, field, error);
  if (text == NULL)
    return NULL;
  if (!mh_job_id_is_valid (text))
    {
      fail (error, MH_PROTOCOL_ERROR_INVALID_ID, field,
            "invalid job id, expected j- and 6 to 18 digits");
      return NULL;
    }
  return g_steal_pointer (&text);
}

bool
mh_field_get_uint (const MhValue *map, const char *field, guint64 *out, GError **error)
{
  return mh_value_get_uint (map, field, out)
         || fail_missing_or_wrong_type (map, field, "a whole number of at least 0", error);
}

static bool
get_count (const MhValue *map, const MhField *field, guint *out, GError **error)
{
  guint64 count;
  if (!mh_field_get_uint (map, field->name, &count, error))
    return false;
  if (count < 1 || (double)count > field->max)
    return fail (error, MH_PROTOCOL_ERROR_OUT_OF_RANGE, field->name, "count out of range");
  *out = (guint)count;
  return true;
}

bool
mh_field_get_amount (const MhValue *map, const char *field, double max, double *out, GError **error)
{
  double amount;
  if (!mh_value_get_number (map, field, &amount))
    return fail_missing_or_wrong_type (map, field, "a finite number", error);
  if (amount < 0 || amount > max)
    return fail (error, MH_PROTOCOL_ERROR_OUT_OF_RANGE, field, "number out of range");
  *out = amount;
  return true;
}

bool
mh_field_get_duration (const MhValue *map, const char *field, gint64 *out, GError **error)
{
  double seconds;
  if (!mh_field_get_amount (map, field, MAX_DURATION_S, &seconds, error))
    return false;
  *out = (gint64)(seconds * MH_SECOND_US);
  return true;
}

bool
mh_field_get_enum (const MhValue *map, const char *field, const MhEnumName *names, int *out,
                   GError **error)
{
  g_autofree char *text = mh_field_get_text (map, field, error);
  if (text == NULL)
    return false;
  for (; names->name; names++)
    if (strcmp (names->name, text) == 0)
      {
        *out = names->value;
        return true;
      }
  return fail (error, MH_PROTOCOL_ERROR_UNKNOWN_VALUE, field, "unknown value");
}

char **
mh_field_get_strv (const MhValue *map, const char *field, GError **error)
{
  char **texts = NULL;
  if (!mh_value_get_strv (map, field, &texts) || texts == NULL)
    fail_missing_or_wrong_type (map, field, "a list of texts", error);
  return texts;
}

const MhValue *
mh_field_get_list (const MhValue *map, const char *field, GError **error)
{
  const MhValue *list = mh_value_get (map, field);
  if (list && cbor_isa_array (list))
    return list;
  fail_missing_or_wrong_type (map, field, "a list", error);
  return NULL;
}

const char *
mh_enum_name_for_value (const MhEnumName *names, int value)
{
  while (names->value != value)
    names++;
  return names->name;
}

static bool
decode_field (const MhValue *map, const MhField *field, gpointer target, GError **error)
{
  gpointer member = (char *)target + field->offset;
  switch (field->type)
    {
    case MH_FIELD_NAME:
      return (*(char **)member = mh_field_get_name (map, field->name, error)) != NULL;
    case MH_FIELD_JOB_ID:
      return (*(char **)member = get_job_id (map, field->name, error)) != NULL;
    case MH_FIELD_STRV:
      return (*(char ***)member = mh_field_get_strv (map, field->name, error)) != NULL;
    case MH_FIELD_ENUM:
      return mh_field_get_enum (map, field->name, field->enum_names, member, error);
    case MH_FIELD_COUNT:
      return get_count (map, field, member, error);
    case MH_FIELD_UINT:
      return mh_field_get_uint (map, field->name, member, error);
    case MH_FIELD_AMOUNT:
      return mh_field_get_amount (map, field->name, field->max, member, error);
    case MH_FIELD_DURATION:
      return mh_field_get_duration (map, field->name, member, error);
    case MH_FIELD_FLAG:
      return mh_value_get_bool (map, field->name, member)
             || fail_missing_or_wrong_type (map, field->name, "true or false", error);
    }
  g_assert_not_reached ();
}

bool
mh_fields_decode (const MhValue *map, const MhField *fields, gsize n_fields, gpointer target,
                  GError **error)
{
  g_return_val_if_fail (target != NULL, false);

  if (map == NULL || !cbor_isa_map (map))
    {
      g_set_error_literal (error, MH_PROTOCOL_ERROR, MH_PROTOCOL_ERROR_NOT_A_MAP,
                           "wrong type, expected a map");
      return false;
    }
  for (gsize i = 0; i < n_fields; i++)
    {
      const MhField *field = &fields[i];
      bool absent = mh_value_get (map, field->name) == NULL;
      if (absent && field->presence != MH_FIELD_REQUIRED)
        continue;
      bool lenient = field->presence == MH_FIELD_LENIENT;
      if (!decode_field (map, field, target, lenient ? NULL : error) && !lenient)
        return false;
    }
  return true;
}

static void
encode_field (MhValue *map, const MhField *field, gconstpointer source)
{
  gconstpointer member = (const char *)source + field->offset;
  switch (field->type)
    {
    case MH_FIELD_NAME:
    case MH_FIELD_JOB_ID:
      mh_value_set_text (map, field->name, *(char *const *)member);
      break;
    case MH_FIELD_STRV:
      if (*(char **const *)member)
        mh_value_set_strv (map, field->name, *(char **const *)member);
      break;
    case MH_FIELD_ENUM:
      mh_value_set_text (map, field->name,
                         mh_enum_name_for_value (field->enum_names, *(const int *)member));
      break;
    case MH_FIELD_COUNT:
      mh_value_set_uint (map, field->name, *(const guint *)member);
      break;
    case MH_FIELD_UINT:
      mh_value_set_uint (map, field->name, *(const guint64 *)member);
      break;
    case MH_FIELD_AMOUNT:
      mh_value_set_number (map, field->name, *(const double *)member);
      break;
    case MH_FIELD_DURATION:
      if (field->presence == MH_FIELD_REQUIRED || *(const gint64 *)member >= 0)
        mh_value_set_number (map, field->name, (double)*(const gint64 *)member / MH_SECOND_US);
      break;
    case MH_FIELD_FLAG:
      mh_value_set_bool (map, field->name, *(const bool *)member);
      break;
    }
}

MhValue *
mh_fields_encode (const MhField *fields, gsize n_fields, gconstpointer source)
{
  MhValue *map = mh_value_new_map ();
  for (gsize i = 0; i < n_fields; i++)
    encode_field (map, &fields[i], source);
  return map;
}
