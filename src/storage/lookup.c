#include "storage/lookup.h"

#include "election/leader-record.h"
#include "storage/record-writer.h"
#include "storage/record.h"
#include "protocol/key-value-messages.h"

/* Time for all reads that answer a request. A request may wait for the reads of an earlier one
   first, and a controller that has forwarded it waits for 1.5 s. */
#define READS_TIMEOUT_US (700 * MH_MILLISECOND_US)
/* Limits the queued reads for status queries to as many as this controller may send to the
   key-value store in this time. A user waits at most two seconds for a response. */
#define MAX_BACKLOG_S 1.0
/* The limit on queued reads is not lower than this, however low the rate limit is. */
#define MIN_BACKLOG 8.0

enum
{
  STATUS_OK = 200,
  STATUS_BAD_REQUEST = 400,
  STATUS_NOT_FOUND = 404,
  STATUS_UNPROCESSABLE = 422,
  STATUS_UNAVAILABLE = 503
};

/* The order of the reads without a leader: the job's first record, then the final one, because a
   job moves from the first to the second and never back; last, the leader key. The response is
   given only if there is no leader key. A leader that holds it may not know yet that its own last
   write was applied, and would then give the same user an older state. */
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
  GHashTable *status_reads; /* job id -> JobRead for status queries; not owned */
};

/* Reads about one job, with the requests that they answer. */
typedef struct
{
  MhJobLookup *lookup;
  char *job;
  MhCallClass call_class;
  MhLookupScope scope;
  MhLookupAbsence absence;
  Stage stage;
  gint64 deadline_us;   /* of the current reads */
  MhUserResponse found; /* the response, if the reads that follow confirm it */
  GArray *request_ids;  /* guint64: answered by the current reads */
  /* guint64: requests that came after the current reads began, to be answered by the next reads.
     The current reads may return an older state than a response that the user got before the
     request. */
  GArray *next_request_ids;
} JobRead;

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

/* ---- reads about one job ---- */

/* A submission that cannot be decided yet is repeated, like a status query, until it can be. */
static MhCallClass
get_call_class (const MhLookupRequest *request)
{
  switch (request->verb)
    {
    case MH_USER_STATUS:
      return MH_CALL_BACKGROUND;
    case MH_USER_CANCEL:
      return MH_CALL_SAFETY;
    default:
      return request->absence == MH_LOOKUP_UNDECIDED ? MH_CALL_BACKGROUND : MH_CALL_WORK;
    }
}

static JobRead *
job_read_new (MhJobLookup *lookup, const MhLookupRequest *request)
{
  JobRead *read = g_rc_box_new0 (JobRead);
  read->lookup = lookup;
  read->job = g_strdup (request->job);
  read->call_class = get_call_class (request);
  read->scope = request->scope;
  read->absence = request->absence;
  read->request_ids = g_array_new (FALSE, FALSE, sizeof (guint64));
  read->next_request_ids = g_array_new (FALSE, FALSE, sizeof (guint64));
  return read;
}

static void
respond_to_all (const JobRead *read, GArray *request_ids, const MhUserResponse *response)
{
  MhRuntime *runtime = read->lookup->runtime;
  for (guint i = 0; i < request_ids->len; i++)
    {
      guint64 id = g_array_index (request_ids, guint64, i);
      mh_runtime_add_action (runtime, MH_ACTION_RESPOND_TO_USER, id)->response = *response;
    }
  g_array_set_size (request_ids, 0);
}

static void
respond_unavailable_to_all (const JobRead *read, GArray *request_ids, MhCounter reason)
{
  for (guint i = 0; i < request_ids->len; i++)
    mh_runtime_respond_unavailable (read->lookup->runtime, g_array_index (request_ids, guint64, i),
                                    reason);
  g_array_set_size (request_ids, 0);
}

/* The calls, with their references to the reads, are forgotten at the end of a leadership. Requests
   that were not answered by then get a 503. */
static void
job_read_clear (gpointer data)
{
  JobRead *read = data;
  GHashTable *status_reads = read->lookup->status_reads;
  respond_unavailable_to_all (read, read->request_ids, MH_COUNTER_LOOKUP_FAILED);
  respond_unavailable_to_all (read, read->next_request_ids, MH_COUNTER_LOOKUP_FAILED);
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
get_stage_key (Stage stage, const char *job)
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

static void
on_entry (gpointer owner, gpointer data, const MhCallResponse *response);

/* Each call holds a reference to the reads. */
static void
read_stage (JobRead *read, Stage stage)
{
  read->stage = stage;
  g_autofree char *key = get_stage_key (stage, read->job);
  const MhCallOptions options = { .class = read->call_class,
                                  .timeout_us = READS_TIMEOUT_US,
                                  .deadline_us = read->deadline_us,
                                  .func = on_entry,
                                  .owner = read->lookup,
                                  .data = g_rc_box_acquire (read),
                                  .free_data = job_read_unref };
  mh_call_queue_add (read->lookup->calls, mh_kv_request_get (key), &options);
}

static void
start_reads (JobRead *read)
{
  read->deadline_us = mh_runtime_now_us (read->lookup->runtime) + READS_TIMEOUT_US;
  read_stage (read, read->scope == MH_LOOKUP_LEADER ? READ_FINAL : READ_RUNNING);
}

/* Answers the requests, and starts new reads for all requests that came after these reads began.
   `response`: NULL: the reads failed, or proved nothing. */
static void
finish_reads (JobRead *read, const MhUserResponse *response)
{
  if (response == NULL)
    respond_unavailable_to_all (read, read->request_ids, MH_COUNTER_LOOKUP_FAILED);
  else if (response->status == STATUS_UNAVAILABLE && read->absence == MH_LOOKUP_UNDECIDED)
    respond_unavailable_to_all (read, read->request_ids, MH_COUNTER_UNDECIDED);
  else
    respond_to_all (read, read->request_ids, response);
  if (read->next_request_ids->len == 0)
    return;
  GArray *empty = read->request_ids;
  read->request_ids = read->next_request_ids;
  read->next_request_ids = empty;
  start_reads (read);
}

/* ---- responses ---- */

static bool
read_running (JobRead *read, const MhKvEntry *entry)
{
  g_auto (MhStoredJob) stored = {};
  if (!mh_record_read_job (entry->value, read->job, &stored, NULL))
    return false;
  read->found = (MhUserResponse){ .status = STATUS_OK,
                                  .state = stored.cancelled ? MH_JOB_CANCELLED : MH_JOB_PENDING };
  return true;
}

static MhUserResponse
get_absence_response (MhLookupAbsence absence)
{
  switch (absence)
    {
    case MH_LOOKUP_UNKNOWN_JOB:
      return (MhUserResponse){ .status = STATUS_NOT_FOUND };
    case MH_LOOKUP_IMPOSSIBLE:
      return (MhUserResponse){ .status = STATUS_UNPROCESSABLE };
    case MH_LOOKUP_INCOMPLETE:
    case MH_LOOKUP_TOO_LARGE:
      return (MhUserResponse){ .status = STATUS_BAD_REQUEST };
    case MH_LOOKUP_UNDECIDED:
      return (MhUserResponse){ .status = STATUS_UNAVAILABLE };
    case MH_LOOKUP_REFUSED_BY_STORE:
      return (MhUserResponse){ .status = STATUS_UNAVAILABLE,
                               .retry_after_s = MH_REFUSED_RECORD_RETRY_S };
    }
  g_return_val_if_reached ((MhUserResponse){ .status = STATUS_UNAVAILABLE });
}

/* Stores what the user gets according to the store's response in `read->found`. False: the request
   failed, or the record cannot be decoded. */
static bool
decode_found (JobRead *read, const MhCallResponse *response)
{
  if (response->status == STATUS_NOT_FOUND)
    {
      /* A submission is looked up only if it is not accepted. Without a record its job never was,
         and the response is the one that a new job gets. */
      read->found = get_absence_response (read->absence);
      return true;
    }
  MhKvEntry *entry
      = response->status == STATUS_OK ? mh_kv_entry_decode (response->body, NULL) : NULL;
  if (entry == NULL)
    return false;
  bool is_decoded = read->stage == READ_FINAL
                        ? mh_record_read_final (entry->value, &read->found, NULL)
                        : read_running (read, entry);
  mh_kv_entry_free (entry);
  return is_decoded;
}

/* The response that a job is unknown also requires that this controller still leads and that the
   job is not in its memory, where it may be about to be accepted. */
static void
respond_as_leader (JobRead *read, bool is_final)
{
  MhJobLookup *lookup = read->lookup;
  if (is_final)
    lookup->final_func (lookup->owner, read->job, &read->found);
  bool is_certain = is_final
                    || (mh_runtime_is_leader (lookup->runtime)
                        && !g_hash_table_contains (lookup->jobs, read->job));
  finish_reads (read, is_certain ? &read->found : NULL);
}

static void
on_entry (gpointer owner, gpointer data, const MhCallResponse *response)
{
  (void)owner;
  JobRead *read = data;
  if (read->stage == READ_LEADER)
    finish_reads (read, response->status == STATUS_NOT_FOUND ? &read->found : NULL);
  else if (!decode_found (read, response))
    finish_reads (read, NULL);
  else if (read->scope == MH_LOOKUP_LEADER)
    respond_as_leader (read, response->status == STATUS_OK);
  else if (response->status == STATUS_NOT_FOUND && read->stage == READ_RUNNING)
    read_stage (read, READ_FINAL);
  else
    read_stage (read, READ_LEADER);
}

/* ---- requests ---- */

/* Background reads use only the capacity of the store that other calls leave. True: further ones
   would wait too long, and are answered 503 at once. */
static bool
is_backlog_full (const MhJobLookup *lookup)
{
  MhBacklog backlog
      = mh_call_queue_get_backlog (lookup->calls, MH_TARGET_KEY_VALUE_STORE, MH_CALL_BACKGROUND);
  double max_waiting = mh_call_queue_store_rate (lookup->calls) * MAX_BACKLOG_S;
  return backlog.waiting >= MAX (MIN_BACKLOG, max_waiting);
}

/* False: no reads about the job are under way that also answer this status query. */
static bool
join_status_read (MhJobLookup *lookup, const MhLookupRequest *request)
{
  JobRead *read = g_hash_table_lookup (lookup->status_reads, request->job);
  if (read == NULL || read->scope != request->scope)
    return false;
  g_array_append_val (read->next_request_ids, request->id);
  return true;
}

void
mh_job_lookup_ask (MhJobLookup *lookup, const MhLookupRequest *request)
{
  g_return_if_fail (lookup && request && request->job);
  bool is_shared = request->verb == MH_USER_STATUS;
  if (is_shared && join_status_read (lookup, request))
    return;
  if (get_call_class (request) == MH_CALL_BACKGROUND && is_backlog_full (lookup))
    {
      mh_runtime_respond_unavailable (lookup->runtime, request->id, MH_COUNTER_LOOKUP_BACKLOG);
      return;
    }
  JobRead *read = job_read_new (lookup, request);
  g_array_append_val (read->request_ids, request->id);
  if (is_shared)
    g_hash_table_replace (lookup->status_reads, read->job, read);
  start_reads (read);
  job_read_unref (read);
}
