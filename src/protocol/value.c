#include "protocol/value.h"
#include "protocol/cbor-scan.h"
#include "protocol/protocol-error.h"

#include <math.h>
#include <string.h>

/* 2^53: a double represents every whole number up to this one exactly. */
#define MAX_EXACT_DOUBLE 9007199254740992.0
/* Upper bound of a number, true, false or null in JSON, in bytes. */
#define MAX_JSON_SCALAR_SIZE 24

void
mh_value_unref (MhValue *value)
{
  if (value)
    cbor_decref (&value);
}

MhValue *
mh_value_parse (const void *data, gsize size, GError **error)
{
  struct cbor_load_result result;
  g_autoptr (MhValue) item
      = mh_cbor_is_well_formed (data, size) ? cbor_load (data, size, &result) : NULL;
  if (item && result.error.code == CBOR_ERR_NONE && result.read == size)
    return g_steal_pointer (&item);
  g_set_error_literal (error, MH_PROTOCOL_ERROR, MH_PROTOCOL_ERROR_MALFORMED_CBOR,
                       "expected exactly one well-formed CBOR item");
  return NULL;
}

GBytes *
mh_value_serialize (const MhValue *value)
{
  unsigned char *data = NULL;
  size_t capacity = 0;
  size_t size = cbor_serialize_alloc (value, &data, &capacity);
  g_assert (size > 0);
  return g_bytes_new_with_free_func (data, size, free, data);
}

/* Characters other than printable ASCII, and quotes and backslashes, may need an escape. */
static gsize
json_size_of_text (const MhValue *text)
{
  gsize size = strlen ("\"\"");
  const guint8 *bytes = cbor_string_handle (text);
  for (gsize i = 0; i < cbor_string_length (text); i++)
    {
      bool unescaped = bytes[i] >= ' ' && bytes[i] <= '~' && bytes[i] != '"' && bytes[i] != '\\';
      size += unescaped ? 1 : strlen ("\\u0000");
    }
  return size;
}

static gsize
json_size_of_list (const MhValue *list)
{
  gsize size = strlen ("[]");
  for (gsize i = 0; i < cbor_array_size (list); i++)
    size += strlen (", ") + mh_value_json_size (cbor_array_handle (list)[i]);
  return size;
}

static gsize
json_size_of_map (const MhValue *map)
{
  gsize size = strlen ("{}");
  for (gsize i = 0; i < cbor_map_size (map); i++)
    {
      const struct cbor_pair *pair = &cbor_map_handle (map)[i];
      size += strlen (": , ") + mh_value_json_size (pair->key) + mh_value_json_size (pair->value);
    }
  return size;
}

static gsize
json_size_of_uint (guint64 number)
{
  gsize digits = 1;
  for (; number >= 10; number /= 10)
    digits++;
  return digits;
}

gsize
mh_value_json_size (const MhValue *value)
{
  switch (cbor_typeof (value))
    {
    case CBOR_TYPE_STRING:
      return json_size_of_text (value);
    case CBOR_TYPE_ARRAY:
      return json_size_of_list (value);
    case CBOR_TYPE_MAP:
      return json_size_of_map (value);
    case CBOR_TYPE_UINT:
      return json_size_of_uint (cbor_get_int (value));
    default:
      return MAX_JSON_SCALAR_SIZE;
    }
}

MhValue *
mh_value_new_map (void)
{
  return cbor_new_indefinite_map ();
}

MhValue *
mh_value_new_list (void)
{
  return cbor_new_indefinite_array ();
}

void
mh_value_set (MhValue *map, const char *key, MhValue *value)
{
  bool added = cbor_map_add (map, (struct cbor_pair){ .key = cbor_move (cbor_build_string (key)),
                                                      .value = cbor_move (value) });
  g_assert (added);
}

MhValue *
mh_value_new_uint (guint64 number)
{
  return number <= G_MAXUINT8    ? cbor_build_uint8 ((guint8)number)
         : number <= G_MAXUINT16 ? cbor_build_uint16 ((guint16)number)
         : number <= G_MAXUINT32 ? cbor_build_uint32 ((guint32)number)
                                 : cbor_build_uint64 (number);
}

MhValue *
mh_value_new_text (const char *text)
{
  return cbor_build_string (text);
}

void
mh_value_set_text (MhValue *map, const char *key, const char *text)
{
  if (text)
    mh_value_set (map, key, mh_value_new_text (text));
}

void
mh_value_set_uint (MhValue *map, const char *key, guint64 number)
{
  mh_value_set (map, key, mh_value_new_uint (number));
}

void
mh_value_set_number (MhValue *map, const char *key, double number)
{
  mh_value_set (map, key, cbor_build_float8 (number));
}

void
mh_value_set_bool (MhValue *map, const char *key, bool flag)
{
  mh_value_set (map, key, cbor_build_bool (flag));
}

void
mh_value_push (MhValue *list, MhValue *value)
{
  bool added = cbor_array_push (list, cbor_move (value));
  g_assert (added);
}

static bool
text_equals (const MhValue *item, const char *text)
{
  return cbor_isa_string (item) && cbor_string_is_definite (item)
         && cbor_string_length (item) == strlen (text)
         && memcmp (cbor_string_handle (item), text, strlen (text)) == 0;
}

MhValue *
mh_value_get (const MhValue *map, const char *key)
{
  if (map == NULL || !cbor_isa_map (map))
    return NULL;
  struct cbor_pair *pairs = cbor_map_handle (map);
  for (gsize i = 0; i < cbor_map_size (map); i++)
    if (text_equals (pairs[i].key, key))
      {
        MhValue *value = pairs[i].value;
        if (cbor_isa_float_ctrl (value) && cbor_float_ctrl_is_ctrl (value)
            && (cbor_ctrl_value (value) == CBOR_CTRL_NULL
                || cbor_ctrl_value (value) == CBOR_CTRL_UNDEF))
          return NULL;
        return value;
      }
  return NULL;
}

/* Accepts integers and floats, since encoders may write a whole number as a float. */
static bool
read_number (const MhValue *item, double *out)
{
  double number;
  if (item == NULL)
    return false;
  if (cbor_isa_uint (item))
    number = (double)cbor_get_int (item);
  else if (cbor_isa_negint (item))
    number = -1.0 - (double)cbor_get_int (item);
  else if (cbor_isa_float_ctrl (item) && !cbor_float_ctrl_is_ctrl (item))
    number = cbor_float_get_float (item);
  else
    return false;
  if (!isfinite (number))
    return false;
  *out = number;
  return true;
}

bool
mh_value_as_uint (const MhValue *item, guint64 *out)
{
  double number;
  if (item && cbor_isa_uint (item))
    {
      *out = cbor_get_int (item);
      return true;
    }
  if (!read_number (item, &number) || number < 0 || number > MAX_EXACT_DOUBLE
      || number != floor (number))
    return false;
  *out = (guint64)number;
  return true;
}

static void
append_text (GString *string, const MhValue *text)
{
  g_string_append_len (string, (const char *)cbor_string_handle (text),
                       (gssize)cbor_string_length (text));
}

char *
mh_value_as_text (const MhValue *item)
{
  if (item == NULL || !cbor_isa_string (item))
    return NULL;
  GString *string = g_string_new (NULL);
  if (cbor_string_is_definite (item))
    append_text (string, item);
  else
    for (gsize i = 0; i < cbor_string_chunk_count (item); i++)
      append_text (string, cbor_string_chunks_handle (item)[i]);
  /* A C string would truncate text at an embedded NUL, which would change its meaning. */
  if (strlen (string->str) != string->len
      || !g_utf8_validate (string->str, (gssize)string->len, NULL))
    {
      g_string_free (string, TRUE);
      return NULL;
    }
  return g_string_free (string, FALSE);
}

bool
mh_value_get_uint (const MhValue *map, const char *key, guint64 *out)
{
  return mh_value_as_uint (mh_value_get (map, key), out);
}

bool
mh_value_get_number (const MhValue *map, const char *key, double *out)
{
  return read_number (mh_value_get (map, key), out);
}

bool
mh_value_get_bool (const MhValue *map, const char *key, bool *out)
{
  MhValue *value = mh_value_get (map, key);
  /* cbor_is_bool() aborts the process on a float. */
  if (value == NULL || !cbor_isa_float_ctrl (value) || !cbor_float_ctrl_is_ctrl (value)
      || !cbor_is_bool (value))
    return false;
  *out = cbor_get_bool (value);
  return true;
}

char *
mh_value_get_text (const MhValue *map, const char *key)
{
  return mh_value_as_text (mh_value_get (map, key));
}

gsize
mh_value_list_length (const MhValue *list)
{
  return list && cbor_isa_array (list) ? cbor_array_size (list) : 0;
}

MhValue *
mh_value_at (const MhValue *list, gsize index)
{
  return cbor_array_handle (list)[index];
}

bool
mh_value_get_strv (const MhValue *map, const char *key, char ***out)
{
  MhValue *list = mh_value_get (map, key);
  *out = NULL;
  if (list == NULL)
    return true;
  if (!cbor_isa_array (list))
    return false;
  g_autoptr (GPtrArray) texts = g_ptr_array_new_with_free_func (g_free);
  for (gsize i = 0; i < mh_value_list_length (list); i++)
    {
      char *text = mh_value_as_text (mh_value_at (list, i));
      if (text == NULL)
        return false;
      g_ptr_array_add (texts, text);
    }
  g_ptr_array_add (texts, NULL);
  *out = (char **)g_ptr_array_free (g_steal_pointer (&texts), FALSE);
  return true;
}

void
mh_value_set_strv (MhValue *map, const char *key, char **texts)
{
  MhValue *list = mh_value_new_list ();
  for (; texts && *texts; texts++)
    mh_value_push (list, mh_value_new_text (*texts));
  mh_value_set (map, key, list);
}
