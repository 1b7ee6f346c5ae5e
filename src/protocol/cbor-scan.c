#include "protocol/cbor-scan.h"

/* Deeper nesting than any message has is refused. */
#define MAX_DEPTH 16

/* The byte that ends an item of indefinite length. */
#define BREAK 0xff
/* The head byte of an item: three bits of its major type, five of its length or value. */
#define INFO_BITS 5
#define INFO_MASK 31
/* From here on the argument follows in 1, 2, 4 or 8 bytes. */
#define INFO_FIRST_LENGTH 24
#define INFO_LAST_LENGTH 27
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
  gsize at; /* of the next byte */
} Scan;

typedef struct
{
  Major major;
  guint64 argument;
  bool indefinite; /* its length: it ends with a break */
} Head;

static bool
scan_head (Scan *scan, Head *head)
{
  if (scan->at >= scan->size)
    return false;
  guint8 first = scan->data[scan->at++];
  guint info = first & INFO_MASK;
  *head = (Head){ .major = (Major)(first >> INFO_BITS),
                  .argument = info,
                  .indefinite = info == INFO_INDEFINITE };
  if (info < INFO_FIRST_LENGTH || info == INFO_INDEFINITE)
    return true;
  if (info > INFO_LAST_LENGTH)
    return false;
  guint length = 1u << (info - INFO_FIRST_LENGTH);
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
      if (next >> INFO_BITS != major || (next & INFO_MASK) == INFO_INDEFINITE
          || !scan_item (scan, depth + 1))
        return false;
    }
  return scan->at++ < scan->size;
}

static bool
scan_indefinite_items (Scan *scan, Major major, guint depth)
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
      if (head.indefinite)
        return scan_chunks (scan, head.major, depth);
      if (scan->size - scan->at < head.argument)
        return false;
      scan->at += head.argument;
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
  return data != NULL && scan_item (&scan, 0) && scan.at == size;
}
