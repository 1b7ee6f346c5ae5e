/* What the readers and writers of messages share. */
#pragma once

#include "protocol/wire.h"

/* A word of the protocol and the value that stands for it here. */
typedef struct
{
  const char *word;
  int value;
} MhWireWord;

/* Words end with one that is NULL. */
bool
mh_wire_read_word (const MhValue *map, const char *key, const MhWireWord *words, int *out);
/* Not empty, and short enough for a key of the state service. */
char *
mh_wire_read_name (const MhValue *map, const char *key);
bool
mh_wire_read_amount (const MhValue *map, const char *key, double most, double *out);
bool
mh_wire_read_duration (const MhValue *map, const char *key, gint64 *out);
/* Absent counts as false, a wrong type as malformed. */
bool
mh_wire_read_flag (const MhValue *map, const char *key, bool *out);
/* Takes over path and body. */
MhRequest *
mh_request_new (MhTarget target, const char *method, char *path, MhValue *body);
