#include "protocol/value.h"

#include <math.h>
#include <string.h>

/* Deeper nesting than any message has is refused before libcbor builds it. */
#define MAX_DEPTH 16

void
mh_value_unref (MhValue *v)
{
  if (v)
    cbor_decref (&v);
}

/* ---- well-formed input ----

   Scans the head bytes only, so that a hostile body cannot make the library recurse or reserve
   memory for a length that it does not carry. */

#define BREAK 0xff

typedef enum
{
  MAJOR_UNSIGNED,
  MAJOR_NEGATIVE,
  MAJOR_BYTES,
  MAJOR_TEXT,
  MAJOR_ARRAY,
  MAJOR_MAP,
  MAJOR_TAG,
  MAJOR_SIMPLE
} Major;

typedef struct
{
  const guint8 *data;
  gsize size, at;
} Scan;

typedef struct
{
  Major major;
  guint64 argument;
  bool open; /* of indefinite length: ends with a break */
} Head;

static bool
scan_head (Scan *scan, Head *head)
{
  if (scan->at >= scan->size)
    return false;
  guint8 first = scan->data[scan->at++];
  guint info = first & 31;
  *head = (Head){ .major = (Major)(first >> 5), .argument = info, .open = info == 31 };
  if (info < 24 || info == 31)
    return true;
  if (info > 27)
    return false;
  guint length = 1u << (info - 24);
  if (scan->size - scan->at < length)
    return false;
  head->argument = 0;
  for (guint i = 0; i < length; i++)
    head->argument = head->argument << 8 | scan->data[scan->at++];
  return true;
}

static bool
at_break (const Scan *scan)
{
  return scan->at < scan->size && scan->data[scan->at] == BREAK;
}

static bool
scan_item (Scan *scan, guint depth);

static bool
scan_chunks (Scan *scan, Major major, guint depth)
{
  while (scan->at < scan->size && !at_break (scan))
    {
      guint8 next = scan->data[scan->at];
      if (next >> 5 != major || (next & 31) == 31 || !scan_item (scan, depth + 1))
        return false;
    }
  return scan->at++ < scan->size;
}

static bool
scan_open_items (Scan *scan, Major major, guint depth)
{
  guint items = 0;
  for (; scan->at < scan->size && !at_break (scan); items++)
    if (!scan_item (scan, depth + 1))
      return false;
  return scan->at++ < scan->size && (major == MAJOR_ARRAY || items % 2 == 0);
}

static bool
scan_items (Scan *scan, guint64 count, guint depth)
{
  for (guint64 i = 0; i < count; i++)
    if (!scan_item (scan, depth + 1))
      return false;
  return true;
}

static bool
scan_item (Scan *scan, guint depth)
{
  Head head;
  if (depth > MAX_DEPTH || !scan_head (scan, &head))
    return false;
  switch (head.major)
    {
    case MAJOR_BYTES:
    case MAJOR_TEXT:
      if (head.open)
        return scan_chunks (scan, head.major, depth);
      if (scan->size - scan->at < head.argument)
        return false;
      scan->at += head.argument;
      return true;
    case MAJOR_ARRAY:
    case MAJOR_MAP:
      if (head.open)
        return scan_open_items (scan, head.major, depth);
      return head.argument <= scan->size
             && scan_items (scan, head.argument * (head.major == MAJOR_MAP ? 2 : 1), depth);
    case MAJOR_TAG:
      return !head.open && scan_item (scan, depth + 1);
    default:
      return !head.open;
    }
}

static bool
well_formed (const void *data, gsize size)
{
  Scan scan = { .data = data, .size = size };
  return scan_item (&scan, 0) && scan.at == size;
}

MhValue *
mh_value_load (const void *data, gsize size)
{
  if (data == NULL || !well_formed (data, size))
    return NULL;
  struct cbor_load_result result;
  cbor_item_t *item = cbor_load (data, size, &result);
  if (item && (result.error.code != CBOR_ERR_NONE || result.read != size))
    g_clear_pointer (&item, mh_value_unref);
  return item;
}

GBytes *
mh_value_save (const MhValue *v)
{
  unsigned char *data = NULL;
  size_t room = 0;
  size_t size = cbor_serialize_alloc (v, &data, &room);
  g_assert (size > 0);
  return g_bytes_new_with_free_func (data, size, free, data);
}

gsize
mh_value_json_size (const MhValue *v)
{
  switch (cbor_typeof (v))
    {
    case CBOR_TYPE_STRING:
      {
        /* Anything but plain ASCII may need an escape of six characters. */
        gsize n = 2;
        const guint8 *p = cbor_string_handle (v);
        for (gsize i = 0; i < cbor_string_length (v); i++)
          n += p[i] < 0x20 || p[i] > 0x7e || p[i] == '"' || p[i] == '\\' ? 6 : 1;
        return n;
      }
    case CBOR_TYPE_ARRAY:
      {
        gsize n = 2;
        for (gsize i = 0; i < cbor_array_size (v); i++)
          n += 2 + mh_value_json_size (cbor_array_handle (v)[i]);
        return n;
      }
    case CBOR_TYPE_MAP:
      {
        gsize n = 2;
        for (gsize i = 0; i < cbor_map_size (v); i++)
          n += 4 + mh_value_json_size (cbor_map_handle (v)[i].key)
               + mh_value_json_size (cbor_map_handle (v)[i].value);
        return n;
      }
    case CBOR_TYPE_UINT:
      {
        gsize n = 1;
        for (guint64 x = cbor_get_int (v); x >= 10; x /= 10)
          n++;
        return n;
      }
    default:
      return 24;
    }
}

MhValue *
mh_value_map (void)
{
  return cbor_new_indefinite_map ();
}

MhValue *
mh_value_list (void)
{
  return cbor_new_indefinite_array ();
}

void
mh_value_set (MhValue *map, const char *key, MhValue *owned)
{
  bool ok = cbor_map_add (map, (struct cbor_pair){ .key = cbor_move (cbor_build_string (key)),
                                                   .value = cbor_move (owned) });
  g_assert (ok);
}

MhValue *
mh_value_uint (guint64 n)
{
  return n <= G_MAXUINT8    ? cbor_build_uint8 ((guint8)n)
         : n <= G_MAXUINT16 ? cbor_build_uint16 ((guint16)n)
         : n <= G_MAXUINT32 ? cbor_build_uint32 ((guint32)n)
                            : cbor_build_uint64 (n);
}

MhValue *
mh_value_text (const char *text)
{
  return cbor_build_string (text);
}

void
mh_value_set_text (MhValue *map, const char *key, const char *text)
{
  if (text)
    mh_value_set (map, key, mh_value_text (text));
}

void
mh_value_set_uint (MhValue *map, const char *key, guint64 n)
{
  mh_value_set (map, key, mh_value_uint (n));
}

void
mh_value_set_number (MhValue *map, const char *key, double d)
{
  mh_value_set (map, key, cbor_build_float8 (d));
}

void
mh_value_set_bool (MhValue *map, const char *key, bool b)
{
  mh_value_set (map, key, cbor_build_bool (b));
}

void
mh_value_push (MhValue *list, MhValue *owned)
{
  bool ok = cbor_array_push (list, cbor_move (owned));
  g_assert (ok);
}

static bool
text_is (const MhValue *item, const char *text)
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
    if (text_is (pairs[i].key, key))
      {
        MhValue *v = pairs[i].value;
        if (cbor_isa_float_ctrl (v) && cbor_float_ctrl_is_ctrl (v)
            && (cbor_ctrl_value (v) == CBOR_CTRL_NULL || cbor_ctrl_value (v) == CBOR_CTRL_UNDEF))
          return NULL;
        return v;
      }
  return NULL;
}

/* Encoders may write a whole number as a float; both are numbers. */
static bool
as_number (const MhValue *v, double *out)
{
  double d;
  if (v == NULL)
    return false;
  if (cbor_isa_uint (v))
    d = (double)cbor_get_int (v);
  else if (cbor_isa_negint (v))
    d = -1.0 - (double)cbor_get_int (v);
  else if (cbor_isa_float_ctrl (v) && !cbor_float_ctrl_is_ctrl (v))
    d = cbor_float_get_float (v);
  else
    return false;
  if (!isfinite (d))
    return false;
  *out = d;
  return true;
}

bool
mh_value_as_uint (const MhValue *v, guint64 *out)
{
  double d;
  if (v && cbor_isa_uint (v))
    {
      *out = cbor_get_int (v);
      return true;
    }
  if (!as_number (v, &d) || d < 0 || d > 9007199254740992.0 || d != floor (d))
    return false;
  *out = (guint64)d;
  return true;
}

static void
append_text (GString *s, const MhValue *text)
{
  g_string_append_len (s, (const char *)cbor_string_handle (text),
                       (gssize)cbor_string_length (text));
}

char *
mh_value_as_text (const MhValue *v)
{
  if (v == NULL || !cbor_isa_string (v))
    return NULL;
  GString *s = g_string_new (NULL);
  if (cbor_string_is_definite (v))
    append_text (s, v);
  else
    for (gsize i = 0; i < cbor_string_chunk_count (v); i++)
      append_text (s, cbor_string_chunks_handle (v)[i]);
  /* Text with a NUL inside would be cut short by C strings and mean something else. */
  if (strlen (s->str) != s->len || !g_utf8_validate (s->str, (gssize)s->len, NULL))
    {
      g_string_free (s, TRUE);
      return NULL;
    }
  return g_string_free (s, FALSE);
}

bool
mh_value_get_uint (const MhValue *map, const char *key, guint64 *out)
{
  return mh_value_as_uint (mh_value_get (map, key), out);
}

bool
mh_value_get_number (const MhValue *map, const char *key, double *out)
{
  return as_number (mh_value_get (map, key), out);
}

bool
mh_value_get_bool (const MhValue *map, const char *key, bool *out)
{
  MhValue *v = mh_value_get (map, key);
  if (v == NULL || !cbor_is_bool (v))
    return false;
  *out = cbor_get_bool (v);
  return true;
}

char *
mh_value_get_text (const MhValue *map, const char *key)
{
  return mh_value_as_text (mh_value_get (map, key));
}

gsize
mh_value_size (const MhValue *list)
{
  return list && cbor_isa_array (list) ? cbor_array_size (list) : 0;
}

MhValue *
mh_value_at (const MhValue *list, gsize i)
{
  return cbor_array_handle (list)[i];
}

bool
mh_value_get_names (const MhValue *map, const char *key, char ***out)
{
  MhValue *list = mh_value_get (map, key);
  *out = NULL;
  if (list == NULL)
    return true;
  if (!cbor_isa_array (list))
    return false;
  g_autoptr (GPtrArray) names = g_ptr_array_new_with_free_func (g_free);
  for (gsize i = 0; i < mh_value_size (list); i++)
    {
      char *name = mh_value_as_text (mh_value_at (list, i));
      if (name == NULL)
        return false;
      g_ptr_array_add (names, name);
    }
  g_ptr_array_add (names, NULL);
  *out = (char **)g_ptr_array_free (g_steal_pointer (&names), FALSE);
  return true;
}

void
mh_value_set_names (MhValue *map, const char *key, char **names)
{
  MhValue *list = mh_value_list ();
  for (; names && *names; names++)
    mh_value_push (list, mh_value_text (*names));
  mh_value_set (map, key, list);
}
