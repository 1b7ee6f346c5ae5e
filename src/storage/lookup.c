#include "storage/lookup.h"

#include "election/leader-record.h"
#include "storage/record.h"
#include "protocol/key-value-messages.h"

#define CALL_TIMEOUT_US MH_SECOND_US
/* Questions that may wait for the key-value store: what it serves in so long. A user gives up on an
   answer after two seconds. */
#define MAX_WAIT_S 1.0
#define LEAST_WAITING 8.0
#define RETRY_AFTER_S 1u

/* Without a leader: the running record, then the final one (a job moves from the first to the
   second and never back), and at last the leader's key. Only if that is absent may the answer be
   given: a leader that holds it may not know yet that its own last write was applied, and would
   tell the same user something older. */
typedef enum
{
  READ_RUNNING,
  READ_FINAL,
  READ_LEADER
} Stage;

struct MhJobLookup
{
  MhRuntime *runtime;
  MhCallQueue *calls;
  GHashTable *jobs; /* id -> MhJob; not owned */
  MhJobLookupFinalFunc final_func;
  gpointer owner;
  GHashTable *status_reads; /* job id -> JobRead that answers questions about it; not owned */
};

/* The reads for one job. */
typedef struct
{
  MhJobLookup *lookup;
  char *job;
  MhUserVerb verb;
  MhLookupScope scope;
  Stage stage;
  MhUserResponse found; /* to be given if there is no leader */
  GArray *request_ids;  /* guint64: requests that the reads under way will answer */
  /* guint64: requests that came since those began. An answer that was read before a question came
     may be older than what its user has been told meanwhile. */
  GArray *next_request_ids;
} JobRead;

static const MhUserResponse come_again = { .status = 503, .retry_after_s = RETRY_AFTER_S };

MhJobLookup *
mh_job_lookup_new (MhRuntime *runtime, MhCallQueue *calls, GHashTable *jobs,
                   MhJobLookupFinalFunc final_func, gpointer owner)
{
  g_return_val_if_fail (runtime && calls && jobs && final_func, NULL);
  MhJobLookup *lookup = g_new0 (MhJobLookup, 1);
  lookup->runtime = runtime;
  lookup->calls = calls;
  lookup->jobs = jobs;
  lookup->final_func = final_func;
  lookup->owner = owner;
  lookup->status_reads = g_hash_table_new (g_str_hash, g_str_equal);
  return lookup;
}

void
mh_job_lookup_free (MhJobLookup *lookup)
{
  if (lookup == NULL)
    return;
  g_hash_table_unref (lookup->status_reads);
  g_free (lookup);
}

/* ---- the reads for one job ---- */

static JobRead *
job_read_new (MhJobLookup *lookup, const char *job, MhUserVerb verb, MhLookupScope scope)
{
  JobRead *read = g_rc_box_new0 (JobRead);
  read->lookup = lookup;
  read->job = g_strdup (job);
  read->verb = verb;
  read->scope = scope;
  read->request_ids = g_array_new (FALSE, FALSE, sizeof (guint64));
  read->next_request_ids = g_array_new (FALSE, FALSE, sizeof (guint64));
  return read;
}

static void
answer_all (const JobRead *read, GArray *request_ids, const MhUserResponse *answer)
{
  MhRuntime *runtime = read->lookup->runtime;
  for (guint i = 0; i < request_ids->len; i++)
    {
      guint64 id = g_array_index (request_ids, guint64, i);
      mh_runtime_act (runtime, MH_ACTION_ANSWER_USER, id)->answer = *answer;
    }
  g_array_set_size (request_ids, 0);
}

/* Calls are forgotten at the end of a leadership, but not who waits for them. */
static void
job_read_clear (gpointer data)
{
  JobRead *read = data;
  GHashTable *status_reads = read->lookup->status_reads;
  answer_all (read, read->request_ids, &come_again);
  answer_all (read, read->next_request_ids, &come_again);
  if (g_hash_table_lookup (status_reads, read->job) == read)
    g_hash_table_remove (status_reads, read->job);
  g_array_unref (read->request_ids);
  g_array_unref (read->next_request_ids);
  g_free (read->job);
}

static void
job_read_unref (gpointer data)
{
  g_rc_box_release_full (data, job_read_clear);
}

static char *
stage_key (Stage stage, const char *job)
{
  switch (stage)
    {
    case READ_RUNNING:
      return mh_record_key (job, 0);
    case READ_FINAL:
      return mh_record_final_key (job);
    default:
      return g_strdup (MH_LEADER_KEY);
    }
}

static MhCallClass
call_class (MhUserVerb verb)
{
  switch (verb)
    {
    case MH_USER_STATUS:
      return MH_CALL_BACKGROUND;
    case MH_USER_CANCEL:
      return MH_CALL_SAFETY;
    default:
      return MH_CALL_WORK;
    }
}

static void
take_entry (gpointer owner, gpointer data, const MhReply *reply);

/* Each call holds the reads. */
static void
read_stage (JobRead *read, Stage stage)
{
  read->stage = stage;
  g_autofree char *key = stage_key (stage, read->job);
  const MhCallOptions options = { .class = call_class (read->verb),
                                  .timeout_us = CALL_TIMEOUT_US,
                                  .func = take_entry,
                                  .owner = read->lookup,
                                  .data = g_rc_box_acquire (read),
                                  .free_data = job_read_unref };
  mh_call_queue_add (read->lookup->calls, mh_kv_request_get (key), &options);
}

static void
begin_reading (JobRead *read)
{
  read_stage (read, read->scope == MH_LOOKUP_LEADER ? READ_FINAL : READ_RUNNING);
}

/* The reads are over; who came meanwhile gets new ones, together. */
static void
finish_reading (JobRead *read, const MhUserResponse *answer)
{
  answer_all (read, read->request_ids, answer);
  if (read->next_request_ids->len == 0)
    return;
  GArray *empty = read->request_ids;
  read->request_ids = read->next_request_ids;
  read->next_request_ids = empty;
  begin_reading (read);
}

/* ---- what was read ---- */

static bool
read_running (JobRead *read, const MhKvEntry *entry)
{
  g_auto (MhStoredJob) stored = {};
  if (!mh_record_read_job (entry->value, read->job, &stored, NULL))
    return false;
  read->found = (MhUserResponse){ .status = 200,
                                  .state = stored.cancelled ? MH_JOB_CANCELLED : MH_JOB_PENDING };
  return true;
}

/* Notes what the reply says of the job. False: nothing can be told. */
static bool
note_found (JobRead *read, const MhReply *reply)
{
  if (reply->status == 404)
    {
      /* A submission that can never run, of a job that was never accepted. */
      read->found = (MhUserResponse){ .status = read->verb == MH_USER_SUBMIT ? 422 : 404 };
      return true;
    }
  MhKvEntry *entry = reply->status == 200 ? mh_kv_entry_decode (reply->body, NULL) : NULL;
  if (entry == NULL)
    return false;
  bool understood = read->stage == READ_FINAL
                        ? mh_record_read_final (entry->value, &read->found, NULL)
                        : read_running (read, entry);
  mh_kv_entry_free (entry);
  return understood;
}

/* That a job is unknown rests on memory too: this controller must still be leader, and not be about
   to accept the job. */
static void
answer_as_leader (JobRead *read, bool is_final)
{
  MhJobLookup *lookup = read->lookup;
  if (is_final)
    lookup->final_func (lookup->owner, read->job, &read->found);
  bool known = is_final
               || (mh_runtime_is_leader (lookup->runtime)
                   && !g_hash_table_contains (lookup->jobs, read->job));
  finish_reading (read, known ? &read->found : &come_again);
}

static void
take_entry (gpointer owner, gpointer data, const MhReply *reply)
{
  (void)owner;
  JobRead *read = data;
  if (read->stage == READ_LEADER)
    finish_reading (read, reply->status == 404 ? &read->found : &come_again);
  else if (!note_found (read, reply))
    finish_reading (read, &come_again);
  else if (read->scope == MH_LOOKUP_LEADER)
    answer_as_leader (read, reply->status == 200);
  else if (reply->status == 404 && read->stage == READ_RUNNING)
    read_stage (read, READ_FINAL);
  else
    read_stage (read, READ_LEADER);
}

/* ---- questions ---- */

/* Questions take only what the store has left: beyond what it serves in a second, who asks is told
   at once to come again. */
static bool
too_many_waiting (const MhJobLookup *lookup)
{
  guint waiting = mh_call_queue_waiting (lookup->calls, MH_CALL_BACKGROUND);
  double served = mh_call_queue_store_rate (lookup->calls) * MAX_WAIT_S;
  return waiting >= MAX (LEAST_WAITING, served);
}

void
mh_job_lookup_ask (MhJobLookup *lookup, guint64 request_id, const char *job, MhUserVerb verb,
                   MhLookupScope scope)
{
  g_return_if_fail (lookup && job);
  bool shares = verb == MH_USER_STATUS;
  JobRead *read = shares ? g_hash_table_lookup (lookup->status_reads, job) : NULL;
  if (read && read->scope == scope)
    {
      g_array_append_val (read->next_request_ids, request_id);
      return;
    }
  if (shares && too_many_waiting (lookup))
    {
      mh_runtime_answer_user (lookup->runtime, request_id, come_again.status,
                              come_again.retry_after_s);
      return;
    }
  read = job_read_new (lookup, job, verb, scope);
  g_array_append_val (read->request_ids, request_id);
  if (shares)
    g_hash_table_replace (lookup->status_reads, read->job, read);
  begin_reading (read);
  job_read_unref (read);
}
