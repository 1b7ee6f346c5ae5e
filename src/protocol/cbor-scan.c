#include "protocol/cbor-scan.h"

/* Bounds recursion: data that is nested more deeply is rejected. No message nests so deeply. */
#define MAX_NESTING_DEPTH 16

/* The byte that ends an item of indefinite length. */
#define BREAK_BYTE 0xff
/* The initial byte of an item: 3 bits of major type, 5 bits of additional information. */
#define INFO_BITS 5
#define INFO_MASK 31
/* Additional information below INFO_ARGUMENT_1_BYTE is the argument itself. From there up to
   INFO_ARGUMENT_8_BYTES, the argument follows in 1, 2, 4 or 8 bytes. */
#define INFO_ARGUMENT_1_BYTE 24
#define INFO_ARGUMENT_8_BYTES 27
#define INFO_INDEFINITE 31

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
  gsize size;
  gsize offset; /* of the next byte */
} Scan;

typedef struct
{
  Major major;
  guint64 argument;
  bool indefinite; /* the length is not given: BREAK_BYTE ends the item */
} Head;

static bool
scan_head (Scan *scan, Head *head)
{
  if (scan->offset >= scan->size)
    return false;
  guint8 first = scan->data[scan->offset++];
  guint info = first & INFO_MASK;
  *head = (Head){ .major = (Major)(first >> INFO_BITS),
                  .argument = info,
                  .indefinite = info == INFO_INDEFINITE };
  if (info < INFO_ARGUMENT_1_BYTE || info == INFO_INDEFINITE)
    return true;
  if (info > INFO_ARGUMENT_8_BYTES)
    return false;
  guint length = 1u << (info - INFO_ARGUMENT_1_BYTE);
  if (scan->size - scan->offset < length)
    return false;
  head->argument = 0;
  for (guint i = 0; i < length; i++)
    head->argument = head->argument << 8 | scan->data[scan->offset++];
  return true;
}

static bool
is_at_break (const Scan *scan)
{
  return scan->offset < scan->size && scan->data[scan->offset] == BREAK_BYTE;
}

static bool
scan_item (Scan *scan, guint depth);

static bool
scan_chunks (Scan *scan, Major major, guint depth)
{
  while (scan->offset < scan->size && !is_at_break (scan))
    {
      guint8 next = scan->data[scan->offset];
      if (next >> INFO_BITS != major || (next & INFO_MASK) == INFO_INDEFINITE
          || !scan_item (scan, depth + 1))
        return false;
    }
  return scan->offset++ < scan->size;
}

static bool
scan_indefinite_items (Scan *scan, Major major, guint depth)
{
  guint items = 0;
  for (; scan->offset < scan->size && !is_at_break (scan); items++)
    if (!scan_item (scan, depth + 1))
      return false;
  return scan->offset++ < scan->size && (major == MAJOR_ARRAY || items % 2 == 0);
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
  if (depth > MAX_NESTING_DEPTH || !scan_head (scan, &head))
    return false;
  switch (head.major)
    {
    case MAJOR_BYTES:
    case MAJOR_TEXT:
      if (head.indefinite)
        return scan_chunks (scan, head.major, depth);
      if (scan->size - scan->offset < head.argument)
        return false;
      scan->offset += head.argument;
      return true;
    case MAJOR_ARRAY:
    case MAJOR_MAP:
      if (head.indefinite)
        return scan_indefinite_items (scan, head.major, depth);
      return head.argument <= scan->size
             && scan_items (scan, head.argument * (head.major == MAJOR_MAP ? 2 : 1), depth);
    case MAJOR_TAG:
      return !head.indefinite && scan_item (scan, depth + 1);
    default:
      return !head.indefinite;
    }
}

bool
mh_cbor_is_well_formed (const void *data, gsize size)
{
  Scan scan = { .data = data, .size = size };
  return data != NULL && scan_item (&scan, 0) && scan.offset == size;
}
