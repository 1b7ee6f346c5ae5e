/* What users may be told of jobs that are over: a bounded cache of final records.

   What is not in it is asked of the state service. The oldest entries go first. */
#pragma once

#include "protocol/user-messages.h"

/** MhFinalAnswers: the cache. */
typedef struct MhFinalAnswers MhFinalAnswers;

/**
 * mh_final_answers_new:
 * @memory_bytes: memory of the process, of which the cache may take a part
 *
 * Returns: (transfer full): an empty cache; free it with mh_final_answers_free()
 */
MhFinalAnswers *
mh_final_answers_new (gint64 memory_bytes);

/**
 * mh_final_answers_free:
 * @answers: (transfer full): a cache
 */
void
mh_final_answers_free (MhFinalAnswers *answers);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (MhFinalAnswers, mh_final_answers_free)

/**
 * mh_final_answers_find:
 * @answers: a cache
 * @job_id: a job's id
 *
 * Returns: (nullable) (transfer none): the job's final state; %NULL if it is not in the cache
 */
const MhUserResponse *
mh_final_answers_find (const MhFinalAnswers *answers, const char *job_id);

/**
 * mh_final_answers_add:
 * @answers: a cache
 * @job_id: a job's id
 * @answer: its final state, which is durable
 *
 * Final states never change: one that is there stays.
 */
void
mh_final_answers_add (MhFinalAnswers *answers, const char *job_id, const MhUserResponse *answer);
