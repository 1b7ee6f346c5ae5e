/* Reload: a new leader reads the records of its predecessors, of any version: unfinished jobs,
   machines that are being given back, and limits.

   A job whose record is not understood is neither unknown nor without tasks: its users are told to
   come again, and what runs of it is left alone. */
#pragma once

#include "storage/record-writer.h"

#include "protocol/key-value-messages.h"

/** MhRecordLoader: reads the records for a new leader */
typedef struct MhRecordLoader MhRecordLoader;

/**
 * MhRecordLoaderCallbacks:
 * @attempt_found: a record tells that the task was started on the machine by an earlier leader
 * @back_off_found: a record tells how far the job has backed off; 0: it does not
 * @release_found: a record of machines that are being given back
 * @job_unreadable: a further record of the job is not understood: its live attempts are to be
 * forgotten. The job is freed after the call
 * @loaded: all records were read
 *
 * Told by the loader to the layers above.
 */
typedef struct
{
  void (*attempt_found) (gpointer owner, MhJob *job, guint index, guint32 attempt,
                         const char *machine);
  void (*back_off_found) (gpointer owner, MhJob *job, guint level);
  void (*release_found) (gpointer owner, const MhKvEntry *entry);
  void (*job_unreadable) (gpointer owner, MhJob *job);
  void (*loaded) (gpointer owner);
} MhRecordLoaderCallbacks;

/**
 * mh_record_loader_new:
 * @runtime: (not transferred): must outlive the loader
 * @calls: (not transferred): must outlive the loader
 * @jobs: (not transferred) (element-type utf8 MhJob): the leader's jobs by id, which owns them;
 * gets what is read
 * @writer: (not transferred): is told what has to be written or removed
 * @callbacks: (not transferred): static
 * @owner: passed to @callbacks
 *
 * Returns: (transfer full): a loader
 */
MhRecordLoader *
mh_record_loader_new (MhRuntime *runtime, MhCallQueue *calls, GHashTable *jobs,
                      MhRecordWriter *writer, const MhRecordLoaderCallbacks *callbacks,
                      gpointer owner);

/**
 * mh_record_loader_free:
 * @loader: (transfer full) (nullable): a loader none of whose calls is under way any more
 *
 * Frees it.
 */
void
mh_record_loader_free (MhRecordLoader *loader);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (MhRecordLoader, mh_record_loader_free)

/**
 * mh_record_loader_start:
 * @loader: a loader
 *
 * Reads all records. Ends with the callback `loaded`, unless the leadership ends before; calls that
 * fail are repeated.
 */
void
mh_record_loader_start (MhRecordLoader *loader);

/**
 * mh_record_loader_clear:
 * @loader: a loader
 *
 * Forgets which jobs could not be read: the leadership has ended.
 */
void
mh_record_loader_clear (MhRecordLoader *loader);

/**
 * mh_record_loader_is_unreadable:
 * @loader: a loader
 * @job: id of a job
 *
 * Returns: %TRUE if a record of the job was not understood, so that nothing is known of it
 */
bool
mh_record_loader_is_unreadable (const MhRecordLoader *loader, const char *job);
