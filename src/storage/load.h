/* Loading: a new leader reads the records of earlier leaders, which may run any version of the
   service: unfinished jobs, machines that are being released, and limits.

   A job with a record that cannot be read counts neither as unknown nor as having no tasks: its
   users get a 503 with a time to retry, and attempts of it that workers report are not stopped. */
#pragma once

#include "storage/record-writer.h"

#include "protocol/key-value-messages.h"

/** MhRecordLoader: reads the records for a new leader */
typedef struct MhRecordLoader MhRecordLoader;

/**
 * MhRecordLoaderCallbacks:
 * @attempt_found: according to a record, an earlier leader assigned this attempt of the task to the
 * machine
 * @back_off_found: the back-off level of a job, according to its record; 0: no back-off
 * @release_found: a record of machines that are being released
 * @job_unreadable: a record of a job in memory cannot be read: the live attempts of the job must be
 * dropped. The job is freed after the call
 * @loaded: all records have been read
 *
 * How the loader notifies the layers above.
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
 * @runtime: (transfer none): must outlive the loader
 * @calls: (transfer none): must outlive the loader
 * @jobs: (transfer none) (element-type utf8 MhJob): the leader's jobs by id; the table owns the
 * jobs. The jobs that are read are added
 * @writer: (transfer none): gets the records that must be written again and the keys that must be
 * deleted
 * @callbacks: (transfer none): static
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
 * @loader: (transfer full) (nullable): a loader without queued or unanswered calls
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
 * Starts to read all records. Calls that fail are retried. The callback `loaded` is called at the
 * end, unless the leadership ends before.
 */
void
mh_record_loader_start (MhRecordLoader *loader);

/**
 * mh_record_loader_clear:
 * @loader: a loader
 *
 * Clears the set of unreadable jobs at the end of a leadership.
 */
void
mh_record_loader_clear (MhRecordLoader *loader);

/**
 * mh_record_loader_is_unreadable:
 * @loader: a loader
 * @job: the id of a job
 *
 * Returns: %TRUE if a record of the job could not be read, so that the state of the job is not
 * known
 */
bool
mh_record_loader_is_unreadable (const MhRecordLoader *loader, const char *job);
