#include "placement/task-start.h"

#include "cluster/attempt.h"
#include "storage/record-state.h"
#include "storage/record-writer.h"

MhAttempt *
mh_task_start (const MhPlacementPass *pass, MhJob *job, guint index, guint32 attempt_number,
               MhMachine *machine, guint urgency)
{
  MhAttempt *attempt = mh_attempt_new (pass->cluster, job, index, attempt_number, machine);
  MhRecord *record = mh_job_record (job, index);
  mh_record_writer_mark_changed (pass->record_writer, record, urgency);
  attempt->required_revision = mh_record_revision (record);
  mh_log_debug (pass->runtime, "task placed job=%s task=%u attempt=%u machine=%s zone=%s image=%s",
                job->spec->id, index, attempt->number, machine->name, machine->zone,
                mh_machine_has_image (machine, job->image) ? "present" : "absent");
  return attempt;
}
