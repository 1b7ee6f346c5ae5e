/* The stored form of everything that must outlive a controller.

   Versions of the service run side by side and read each other's records: keys, field names and the
   meaning of each field never change, whatever the code calls them. Unknown fields are ignored. */
#pragma once

#include "controller/core-types.h"

char *
mh_record_key (const char *job, guint chunk);
MhValue *
mh_record_write (const MhRecord *record, const char *tag);
MhValue *
mh_record_write_final (const MhJob *job, const char *tag);
/* Keys of machines that are being given back begin with this. */
#define MH_RECORD_RELEASES "r/"
MhValue *
mh_record_write_release (char **machines);
char **
mh_record_read_release (const MhValue *value); /* NULL: malformed */
/* The changes a second that the state service was found to take at most. */
#define MH_RECORD_LIMITS "limits"
MhValue *
mh_record_write_limits (double write_rps);
bool
mh_record_read_limits (const MhValue *value, double *write_rps);
bool
mh_record_read_final (const MhValue *value, MhUserAnswer *answer);
char *
mh_record_read_tag (const MhValue *value);
/* Reads the job's own part of chunk 0. */
MhJobSpec *
mh_record_read_job (const MhValue *value, const char *id, gint64 *submitted_wall_us, guint *chunk,
                    bool *cancelled);
/* ... and the level of its back-off; 0: it does not back off. */
guint
mh_record_read_back_off (const MhValue *value);
typedef void (*MhRecordTaskFunc) (gpointer data, guint index, guint32 attempt,
                                  const char *machine /* NULL: done */);
bool
mh_record_read_tasks (const MhValue *value, MhRecordTaskFunc each, gpointer data);
