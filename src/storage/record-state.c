#include "storage/record-state.h"

#define IMPOSSIBLE (-1)

/* A queued record that is sent along with the first record of its job stays in the queue
   (MH_RECORD_WRITING_QUEUED), so that it is written again in a later transaction. */
static const int transitions[MH_RECORD_STATES][MH_RECORD_EVENTS] = {
  [MH_RECORD_CLEAN] = { [MH_RECORD_CHANGED] = MH_RECORD_QUEUED,
                        [MH_RECORD_REQUEUED] = MH_RECORD_QUEUED,
                        [MH_RECORD_SENT] = IMPOSSIBLE,
                        [MH_RECORD_SENT_ALONG] = MH_RECORD_WRITING,
                        [MH_RECORD_WRITTEN] = IMPOSSIBLE,
                        [MH_RECORD_STAGED] = IMPOSSIBLE,
                        [MH_RECORD_NOT_WRITTEN] = IMPOSSIBLE,
                        [MH_RECORD_REJECTED] = IMPOSSIBLE,
                        [MH_RECORD_CONFLICTED] = IMPOSSIBLE,
                        [MH_RECORD_DISCARDED] = MH_RECORD_CLEAN },
  [MH_RECORD_QUEUED] = { [MH_RECORD_CHANGED] = MH_RECORD_QUEUED,
                         [MH_RECORD_REQUEUED] = MH_RECORD_QUEUED,
                         [MH_RECORD_SENT] = MH_RECORD_WRITING,
                         [MH_RECORD_SENT_ALONG] = MH_RECORD_WRITING_QUEUED,
                         [MH_RECORD_WRITTEN] = IMPOSSIBLE,
                         [MH_RECORD_STAGED] = IMPOSSIBLE,
                         [MH_RECORD_NOT_WRITTEN] = IMPOSSIBLE,
                         [MH_RECORD_REJECTED] = IMPOSSIBLE,
                         [MH_RECORD_CONFLICTED] = IMPOSSIBLE,
                         [MH_RECORD_DISCARDED] = MH_RECORD_CLEAN },
  [MH_RECORD_REFUSED] = { [MH_RECORD_CHANGED] = MH_RECORD_REFUSED,
                          [MH_RECORD_REQUEUED] = MH_RECORD_REFUSED,
                          [MH_RECORD_SENT] = MH_RECORD_WRITING,
                          [MH_RECORD_SENT_ALONG] = MH_RECORD_WRITING_QUEUED,
                          [MH_RECORD_WRITTEN] = IMPOSSIBLE,
                          [MH_RECORD_STAGED] = IMPOSSIBLE,
                          [MH_RECORD_NOT_WRITTEN] = IMPOSSIBLE,
                          [MH_RECORD_REJECTED] = IMPOSSIBLE,
                          [MH_RECORD_CONFLICTED] = IMPOSSIBLE,
                          [MH_RECORD_DISCARDED] = MH_RECORD_CLEAN },
  [MH_RECORD_WRITING] = { [MH_RECORD_CHANGED] = MH_RECORD_WRITING_CHANGED,
                          [MH_RECORD_REQUEUED] = IMPOSSIBLE,
                          [MH_RECORD_SENT] = IMPOSSIBLE,
                          [MH_RECORD_SENT_ALONG] = IMPOSSIBLE,
                          [MH_RECORD_WRITTEN] = MH_RECORD_CLEAN,
                          [MH_RECORD_STAGED] = MH_RECORD_CLEAN,
                          [MH_RECORD_NOT_WRITTEN] = MH_RECORD_QUEUED,
                          [MH_RECORD_REJECTED] = MH_RECORD_REFUSED,
                          [MH_RECORD_CONFLICTED] = MH_RECORD_IN_DOUBT,
                          [MH_RECORD_DISCARDED] = MH_RECORD_WRITING },
  [MH_RECORD_WRITING_CHANGED] = { [MH_RECORD_CHANGED] = MH_RECORD_WRITING_CHANGED,
                                  [MH_RECORD_REQUEUED] = IMPOSSIBLE,
                                  [MH_RECORD_SENT] = IMPOSSIBLE,
                                  [MH_RECORD_SENT_ALONG] = IMPOSSIBLE,
                                  [MH_RECORD_WRITTEN] = MH_RECORD_QUEUED,
                                  [MH_RECORD_STAGED] = MH_RECORD_CLEAN,
                                  [MH_RECORD_NOT_WRITTEN] = MH_RECORD_QUEUED,
                                  [MH_RECORD_REJECTED] = MH_RECORD_REFUSED,
                                  [MH_RECORD_CONFLICTED] = MH_RECORD_IN_DOUBT,
                                  [MH_RECORD_DISCARDED] = MH_RECORD_WRITING_CHANGED },
  [MH_RECORD_WRITING_QUEUED] = { [MH_RECORD_CHANGED] = MH_RECORD_WRITING_QUEUED,
                                 [MH_RECORD_REQUEUED] = IMPOSSIBLE,
                                 [MH_RECORD_SENT] = IMPOSSIBLE,
                                 [MH_RECORD_SENT_ALONG] = IMPOSSIBLE,
                                 [MH_RECORD_WRITTEN] = MH_RECORD_QUEUED,
                                 [MH_RECORD_STAGED] = IMPOSSIBLE,
                                 [MH_RECORD_NOT_WRITTEN] = MH_RECORD_QUEUED,
                                 [MH_RECORD_REJECTED] = MH_RECORD_REFUSED,
                                 [MH_RECORD_CONFLICTED] = IMPOSSIBLE,
                                 [MH_RECORD_DISCARDED] = MH_RECORD_WRITING },
  [MH_RECORD_IN_DOUBT] = { [MH_RECORD_CHANGED] = MH_RECORD_IN_DOUBT,
                           [MH_RECORD_REQUEUED] = IMPOSSIBLE,
                           [MH_RECORD_SENT] = IMPOSSIBLE,
                           [MH_RECORD_SENT_ALONG] = IMPOSSIBLE,
                           [MH_RECORD_WRITTEN] = IMPOSSIBLE,
                           [MH_RECORD_STAGED] = IMPOSSIBLE,
                           [MH_RECORD_NOT_WRITTEN] = IMPOSSIBLE,
                           [MH_RECORD_REJECTED] = IMPOSSIBLE,
                           [MH_RECORD_CONFLICTED] = MH_RECORD_IN_DOUBT,
                           [MH_RECORD_DISCARDED] = MH_RECORD_IN_DOUBT },
};

bool
mh_record_state_next (MhRecordState state, MhRecordEvent event, MhRecordState *next)
{
  g_return_val_if_fail (state < MH_RECORD_STATES && event < MH_RECORD_EVENTS && next, false);
  int after = transitions[state][event];
  if (after == IMPOSSIBLE)
    return false;
  *next = (MhRecordState)after;
  return true;
}

bool
mh_record_state_is_queued (MhRecordState state)
{
  return state == MH_RECORD_QUEUED || state == MH_RECORD_REFUSED
         || state == MH_RECORD_WRITING_QUEUED;
}

bool
mh_record_state_is_writing (MhRecordState state)
{
  return state == MH_RECORD_WRITING || state == MH_RECORD_WRITING_CHANGED
         || state == MH_RECORD_WRITING_QUEUED || state == MH_RECORD_IN_DOUBT;
}

bool
mh_record_is_durable (const MhRecord *record, guint64 revision)
{
  return record->durable_revision >= revision;
}

bool
mh_record_has_unwritten_changes (const MhRecord *record)
{
  return record->revision > record->durable_revision;
}

guint64
mh_record_revision (const MhRecord *record)
{
  return record->revision;
}
