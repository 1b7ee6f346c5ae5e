/* Durable records: batched writes, each conditional on the leader's key and on the record's own
   version. */
#include "controller/core-private.h"

#include <string.h>

#define CALL_TIMEOUT_US (MH_SECOND_US)
#define TXNS_IN_FLIGHT 3u
/* ... with what users wait for, who shall not wait for the others when the service is slow. */
#define TXNS_FOR_USERS 6u
/* Below the 64 KiB that one transaction may have, counted in JSON. */
#define TXN_BYTES ((gsize)57344)
/* Of a change and its conditions, beside the value. */
#define OVERHEAD_BYTES 300u
/* Of the burst of changes. */
#define KEPT_FOR_USERS 0.4
/* Chunks dropped with a job's final record; the rest is dropped as garbage. */
#define DROPS_WITH_FINAL 6u
/* Tokens beyond what is kept for users, before a batch is put together. */
#define LEAST_TOKENS 5
/* A record that was refused as malformed is not tried again before. */
#define REFUSED_RECORD_US (30 * MH_SECOND_US)

typedef struct
{
  MhRecord *record;
  guint64 rev;
  bool final, cancelled;
} Write;

typedef struct
{
  GArray *writes; /* Write */
  MhRequest *request;
  char *first_key, *tag; /* tells whether an unanswered transaction was carried out */
  double changes;
  bool unknown; /* a copy may have been, or may yet be, carried out */
  bool limits;  /* it carries the limits of the state service */
} Txn;

static void
txn_clear (gpointer data)
{
  Txn *t = data;
  g_array_unref (t->writes);
  mh_request_free (t->request);
  g_free (t->first_key);
  g_free (t->tag);
}

static void
txn_unref (gpointer data)
{
  g_rc_box_release_full (data, txn_clear);
}

/* Every call that is about the transaction holds it. */
static void
txn_call (MhCore *core, Txn *t, MhCallClass rank, MhRequest *request, double writes,
          MhCoreReplyFunc func)
{
  mh_core_call (core, rank, request, writes, CALL_TIMEOUT_US, func, g_rc_box_acquire (t),
                txn_unref);
}

void
mh_store_enqueue (MhCore *core, MhRecord *r, guint urgency)
{
  if (r->queued && r->urgency <= urgency)
    return;
  if (r->queued)
    g_queue_remove (&core->dirty[r->urgency], r);
  r->queued = true;
  r->urgency = urgency;
  g_queue_push_tail (&core->dirty[urgency], r);
}

static void
dequeue (MhCore *core, MhRecord *r)
{
  if (r->queued)
    g_queue_remove (&core->dirty[r->urgency], r);
  r->queued = false;
}

void
mh_store_touch (MhCore *core, MhRecord *r, MhUrgency urgency)
{
  r->rev = ++core->rev;
  /* While it is being written, it is not known what of this will be left to write. */
  if (r->writing)
    r->again = MIN (r->again, urgency);
  else
    mh_store_enqueue (core, r, urgency);
}

void
mh_store_drop (MhCore *core, const char *key)
{
  g_queue_push_tail (&core->garbage, g_strdup (key));
}

void
mh_store_clear (MhCore *core)
{
  for (guint i = 0; i < MH_URGENCIES; i++)
    g_queue_clear (&core->dirty[i]);
  g_queue_clear_full (&core->garbage, g_free);
  core->txns = 0;
  core->limits.durable = core->limits.writing = false;
}

/* ---- writing ---- */

static void
txn_reply (MhCore *core, gpointer data, guint status, const MhValue *body);

static void
txn_send (MhCore *core, Txn *t)
{
  MhCallClass rank = MH_CALL_WORK;
  for (guint i = 0; i < t->writes->len; i++)
    {
      MhJob *job = g_array_index (t->writes, Write, i).record->job;
      if (mh_job_is_cancelled (job) && !mh_job_is_cancel_durable (job))
        rank = MH_CALL_SAFETY;
    }
  txn_call (core, t, rank, mh_request_copy (t->request), t->changes, txn_reply);
}

static void
answer_waiters (MhCore *core, MhJob *job)
{
  for (guint i = 0; i < job->waiters->len;)
    {
      MhWaiter w = g_array_index (job->waiters, MhWaiter, i);
      if (w.verb == MH_USER_SUBMIT ? !job->accepted
                                   : !(mh_job_is_cancel_durable (job) || mh_job_is_final (job)))
        {
          i++;
          continue;
        }
      g_array_remove_index (job->waiters, i);
      mh_core_answer_job (core, w.id, job, w.verb == MH_USER_SUBMIT ? 201 : 200);
    }
}

/* The job is over and its final record is durable: memory keeps only the answer. */
static void
job_remove (MhCore *core, MhJob *job, const MhUserAnswer *final)
{
  mh_core_final (core, job->spec->id, final);
  for (guint i = 0; i < job->n_records; i++)
    dequeue (core, &job->records[i]);
  g_hash_table_remove (core->jobs, job->spec->id);
}

/* Further records that are dropped with a job's final one. */
static guint
drops_with_final (const MhCore *core, const MhJob *job)
{
  if (job->records[0].alone)
    return 0;
  return MIN (job->n_records - 1, MIN (DROPS_WITH_FINAL, core->settings->txn_ops - 2));
}

static const char *
shape_name (MhShape shape)
{
  return shape == MH_SHAPE_SERVICE ? "service" : shape == MH_SHAPE_GANG ? "gang" : "array";
}

static void
job_accepted (MhCore *core, MhJob *job)
{
  if (job->accepted)
    return;
  job->accepted = true;
  mh_placement_request_pass (core->placement, job->spec->shape == MH_SHAPE_SERVICE);
  mh_info (core, "job %s: accepted after %d ms: %s of %u tasks for %s (%s)", job->spec->id,
           (int)((core->now.mono_us - job->submitted_us) / 1000), shape_name (job->spec->shape),
           job->spec->tasks, job->spec->team, job->spec->class_name);
}

static void
final_written (MhCore *core, MhJob *job, bool cancelled)
{
  MhUserAnswer a = { .status = 200 };
  job->completion = MH_COMPLETION_DURABLE;
  job->final_state = cancelled ? MH_JOB_CANCELLED : MH_JOB_DONE;
  for (guint i = drops_with_final (core, job) + 1; i < job->n_records; i++)
    if (job->records[i].version)
      g_queue_push_tail (&core->garbage, mh_record_key (job->spec->id, i));
  answer_waiters (core, job);
  mh_info (core, "job %s: %s", job->spec->id, cancelled ? "cancelled and gone" : "done");
  mh_job_fill_answer (job, &a);
  job_remove (core, job, &a);
}

/* What was waiting for the record to be durable may be sent now. */
static void
send_starts (MhCore *core, const MhRecord *r)
{
  const MhJob *job = r->job;
  guint end = MIN ((r->chunk + 1) * job->chunk, job->spec->tasks);
  for (guint i = r->chunk * job->chunk; i < end; i++)
    if (job->tasks[i].live && !mh_attempt_start_was_sent (job->tasks[i].live))
      mh_machine_schedule_commands (core, job->tasks[i].live->machine);
}

static void
write_done (MhCore *core, const Write *w, guint64 version)
{
  MhRecord *r = w->record;
  MhJob *job = r->job;
  r->writing = false;
  r->version = version;
  r->rechunked_rev = w->rev;
  if (w->final)
    {
      job_accepted (core, job);
      final_written (core, job, w->cancelled);
      return;
    }
  r->alone = false;
  if (job->unchunked_records && r->chunk)
    return; /* counts once the first record says so */
  if (job->unchunked_records)
    mh_rechunk_finished (core, job);
  r->durable = w->rev;
  send_starts (core, r);
  if (r->chunk == 0)
    {
      job_accepted (core, job);
      if (w->cancelled)
        job->cancellation = MH_CANCELLATION_DURABLE;
      answer_waiters (core, job);
    }
  if (r->rev > r->durable)
    mh_store_enqueue (core, r, r->again);
  r->again = MH_URGENCY_PROGRESS;
}

static void
txn_over (MhCore *core, const Txn *t)
{
  core->txns--;
  if (t->limits)
    core->limits.writing = false;
}

static void
txn_applied (MhCore *core, Txn *t, guint64 version)
{
  txn_over (core, t);
  core->limits.durable |= t->limits;
  for (guint i = 0; i < t->writes->len; i++)
    write_done (core, &g_array_index (t->writes, Write, i), version);
}

static void
known_reply (MhCore *core, gpointer data, guint status, const MhValue *body);

static void
ask_final (MhCore *core, const char *id)
{
  g_autofree char *key = g_strconcat ("f/", id, NULL);
  mh_core_call (core, MH_CALL_WORK, mh_wire_get (key), 0, CALL_TIMEOUT_US, known_reply,
                g_strdup (id), g_free);
}

/* A submission met a job that was over before: the user repeats himself. */
static void
known_reply (MhCore *core, gpointer data, guint status, const MhValue *body)
{
  const char *id = data;
  MhJob *job = g_hash_table_lookup (core->jobs, id);
  MhUserAnswer a;
  MhEntry *e = status == 200 ? mh_wire_read_entry (body) : NULL;
  bool ok = e && mh_record_read_final (e->value, &a);
  mh_entry_free (e);
  if (job == NULL)
    return;
  if (status != 200 && status != 404)
    {
      ask_final (core, id); /* not answered, or not now */
      return;
    }
  for (guint i = 0; i < job->waiters->len; i++)
    {
      guint64 waiter = g_array_index (job->waiters, MhWaiter, i).id;
      if (ok)
        mh_core_act (core, MH_ACTION_ANSWER_USER, waiter)->answer = a;
      else
        mh_core_answer (core, waiter, 503, 1);
    }
  g_array_set_size (job->waiters, 0);
  if (ok)
    job_remove (core, job, &a);
  else
    {
      g_hash_table_remove (core->jobs, id);
      mh_election_step_down (core->election, MH_LOSS_RECORD_DIFFERS);
    }
}

static void
txn_refused (MhCore *core, Txn *t, char **failed)
{
  txn_over (core, t);
  for (guint i = 0; i < t->writes->len; i++)
    g_array_index (t->writes, Write, i).record->writing = false;
  bool explained = false;
  for (char **key = failed; key && *key; key++)
    {
      if (strcmp (*key, "leader") == 0)
        {
          mh_election_step_down (core->election, MH_LOSS_ANOTHER_LEADER);
          return;
        }
      const char *id = strchr (*key, '/');
      MhJob *job = id ? g_hash_table_lookup (core->jobs, id + 1) : NULL;
      if (job && !job->accepted && !job->records[0].queued)
        {
          /* Not written again meanwhile; the reply decides. */
          job->records[0].writing = true;
          ask_final (core, job->spec->id);
          explained = true;
        }
      else if (job == NULL || !job->records[0].writing)
        {
          explained = false;
          break;
        }
    }
  if (!explained)
    mh_election_step_down (core->election, MH_LOSS_RECORD_CHANGED);
  for (guint i = 0; i < t->writes->len; i++)
    {
      MhRecord *r = g_array_index (t->writes, Write, i).record;
      if (!r->writing)
        mh_store_enqueue (core, r, MH_URGENCY_START);
    }
}

/* After an unanswered copy, a refusal may mean that the copy was carried out: the tag tells. */
static void
recheck_reply (MhCore *core, gpointer data, guint status, const MhValue *body)
{
  Txn *t = data;
  if (status == 200)
    {
      MhEntry *e = mh_wire_read_entry (body);
      g_autofree char *tag = e ? mh_record_read_tag (e->value) : NULL;
      guint64 version = e ? e->version : 0;
      mh_entry_free (e);
      if (tag && strcmp (tag, t->tag) == 0)
        {
          txn_applied (core, t, version);
          return;
        }
    }
  if (status == 200 || status == 404)
    {
      mh_election_step_down (core->election, MH_LOSS_WRITE_OUTCOME_UNKNOWN);
      return;
    }
  txn_call (core, t, MH_CALL_SAFETY, mh_wire_get (t->first_key), 0, recheck_reply);
}

/* A submission in it met the final record of its job, which is for ever: no copy of the transaction
   was or will be carried out. */
static bool
met_final (const MhCore *core, char **failed)
{
  for (char **key = failed; key && *key; key++)
    {
      const MhJob *job
          = g_str_has_prefix (*key, "f/") ? g_hash_table_lookup (core->jobs, *key + 2) : NULL;
      if (job && !job->accepted)
        return true;
    }
  return false;
}

/* A submission that the state service will not keep is not accepted; a job that was accepted, under
   other limits, stays as its records say. */
static void
record_refused (MhCore *core, const Txn *t, MhRecord *r)
{
  MhJob *job = r->job;
  bool accepted = job->accepted || t->unknown;
  mh_core_log (
      core, G_LOG_LEVEL_CRITICAL,
      "record %u of job %s: refused by the state service as malformed, perhaps too large%s",
      r->chunk, job->spec->id, accepted ? "; tried again later" : "; not accepted");
  for (guint i = 0; i < job->waiters->len; i++)
    mh_core_answer (core, g_array_index (job->waiters, MhWaiter, i).id, 503,
                    REFUSED_RECORD_US / MH_SECOND_US);
  g_array_set_size (job->waiters, 0);
  if (accepted)
    {
      r->refused_until_us = core->now.mono_us + REFUSED_RECORD_US;
      mh_store_enqueue (core, r, MH_URGENCY_START);
    }
  else
    g_hash_table_remove (core->jobs, job->spec->id);
}

/* 400: one of the values, or the whole, is more than the state service takes. Each record is tried
   alone; what is refused then too must neither end the leadership, which would only meet it again,
   nor be sent again at once. */
static void
txn_malformed (MhCore *core, Txn *t)
{
  txn_over (core, t);
  for (guint i = 0; i < t->writes->len; i++)
    {
      MhRecord *r = g_array_index (t->writes, Write, i).record;
      r->writing = false;
      if (r->alone)
        record_refused (core, t, r);
      else
        {
          r->alone = true;
          mh_store_enqueue (core, r, MH_URGENCY_START);
        }
    }
}

static void
txn_reply (MhCore *core, gpointer data, guint status, const MhValue *body)
{
  Txn *t = data;
  guint64 version;
  if (status == 200 && mh_wire_read_revision (body, &version))
    txn_applied (core, t, version);
  else if (status == 409)
    {
      g_auto (GStrv) failed = mh_wire_read_failed (body);
      bool leader = failed && g_strv_contains ((const char *const *)failed, "leader");
      if (t->unknown && !leader && t->first_key && !met_final (core, failed))
        txn_call (core, t, MH_CALL_SAFETY, mh_wire_get (t->first_key), 0, recheck_reply);
      else
        txn_refused (core, t, failed);
    }
  else if (status == 400)
    txn_malformed (core, t);
  else
    {
      /* 429 and 503 say that it was not executed; anything else leaves it open. */
      if (status != 429 && status != 503)
        t->unknown = true;
      mh_call_queue_store_failed (core->calls, status);
      txn_send (core, t);
    }
}

static bool
writable (const MhCore *core, const MhRecord *r)
{
  if (r->writing)
    return false;
  if (!mh_job_is_finished (r->job))
    return core->now.mono_us >= r->refused_until_us
           && (r->job->unchunked_records == 0 || mh_rechunk_may_write (core, r));
  /* The final record ends all others: it waits until none of them is on its way. */
  if (r->chunk != 0)
    return false;
  for (guint i = 1; i < r->job->n_records; i++)
    if (r->job->records[i].writing)
      return false;
  return true;
}

/* What one transaction gathers. */
typedef struct
{
  Txn *txn;
  GArray *conditions, *changes;
  GPtrArray *keys, *values; /* owned */
  gsize bytes;
  guint most; /* changes */
} Batch;

static const char *
keep_key (Batch *b, char *key)
{
  g_ptr_array_add (b->keys, key);
  return key;
}

static void
add_condition (Batch *b, const char *key, guint64 version)
{
  MhCondition c = { .key = key, .version = version };
  g_array_append_val (b->conditions, c);
}

static void
add_change (Batch *b, const char *key, MhValue *value)
{
  MhChange c = { .key = key, .value = value };
  g_array_append_val (b->changes, c);
}

/* The record is part of the transaction, which replaces what is stored under `key`. */
static void
add_write (Batch *b, MhRecord *r, const char *key, MhValue *value)
{
  MhJob *job = r->job;
  g_ptr_array_add (b->values, value);
  b->bytes += mh_value_json_size (value) + OVERHEAD_BYTES;
  add_condition (b, key, r->version);
  Write w = { .record = r,
              .rev = r->rev,
              .final = mh_job_is_finished (job),
              .cancelled = mh_job_is_cancelled (job) };
  g_array_append_val (b->txn->writes, w);
  r->writing = true;
  r->again = MH_URGENCY_PROGRESS;
}

/* One that replaces an old record, with the first of its job. */
static void
add_companion (Batch *b, MhRecord *r)
{
  MhValue *v = mh_record_write (r, b->txn->tag);
  const char *key = keep_key (b, mh_record_key (r->job->spec->id, r->chunk));
  add_write (b, r, key, v);
  add_change (b, key, v);
}

/* False: it does not fit in this transaction any more. */
static bool
batch_add (MhCore *core, Batch *b, MhRecord *r)
{
  MhJob *job = r->job;
  guint drops = mh_job_is_finished (job) ? drops_with_final (core, job) : 0;
  bool rechunks = job->unchunked_records && !mh_job_is_finished (job) && r->chunk == 0;
  guint need = mh_job_is_finished (job) ? 2 + drops
               : rechunks               ? mh_rechunk_companions (core, job)
                                        : 1;
  bool empty = b->changes->len == 0;
  if (!empty && (r->alone || b->changes->len + need > b->most))
    return false;
  MhValue *v = mh_job_is_finished (job) ? mh_record_write_final (job, b->txn->tag)
                                        : mh_record_write (r, b->txn->tag);
  if (!empty && b->bytes + mh_value_json_size (v) + OVERHEAD_BYTES > TXN_BYTES)
    {
      mh_value_unref (v);
      return false;
    }
  const char *key = keep_key (b, mh_record_key (job->spec->id, r->chunk));
  const char *final = keep_key (b, g_strconcat ("f/", job->spec->id, NULL));
  const char *put = mh_job_is_finished (job) ? final : key;
  add_write (b, r, key, v);
  add_change (b, put, v);
  if (b->txn->first_key == NULL)
    b->txn->first_key = g_strdup (put);
  if (mh_job_is_finished (job) || (r->chunk == 0 && r->version == 0))
    add_condition (b, final, 0);
  if (mh_job_is_finished (job) && r->version)
    add_change (b, key, NULL);
  for (guint i = 1; i <= drops; i++)
    if (job->records[i].version)
      add_change (b, keep_key (b, mh_record_key (job->spec->id, i)), NULL);
  for (guint i = 1; rechunks && i < mh_rechunk_companions (core, job); i++)
    add_companion (b, &job->records[i]);
  return true;
}

/* What was found of the state service's limits goes before whatever is written next. */
static void
add_limits (MhCore *core, Batch *b)
{
  if (!mh_call_queue_write_rate_is_lowered (core->calls) || core->limits.durable
      || core->limits.writing)
    return;
  MhValue *v = mh_record_write_limits (core->settings->next_write_rps);
  g_ptr_array_add (b->values, v);
  add_change (b, MH_RECORD_LIMITS, v);
  core->limits.writing = b->txn->limits = true;
}

/* `most`: changes that the budget has. What a user waits for goes first, and progress waits as long
   as anything else takes the changes; what it waits it gathers. */
static void
send_batch (MhCore *core, guint most)
{
  g_autoptr (GArray) conditions = g_array_new (FALSE, FALSE, sizeof (MhCondition));
  g_autoptr (GArray) changes = g_array_new (FALSE, FALSE, sizeof (MhChange));
  g_autoptr (GPtrArray) keys = g_ptr_array_new_with_free_func (g_free);
  g_autoptr (GPtrArray) values = g_ptr_array_new_with_free_func ((GDestroyNotify)mh_value_unref);
  Txn *t = g_rc_box_new0 (Txn);
  t->writes = g_array_new (FALSE, FALSE, sizeof (Write));
  t->tag = g_strdup_printf ("%" G_GUINT64_FORMAT ".%" G_GUINT64_FORMAT,
                            mh_election_epoch (core->election), ++core->rev);
  Batch b = { .txn = t,
              .conditions = conditions,
              .changes = changes,
              .keys = keys,
              .values = values,
              .most = most };
  add_condition (&b, MH_LEADER_KEY, mh_election_key_version (core->election));
  add_limits (core, &b);
  bool full = false, alone = false;
  for (guint urgency = 0; urgency < MH_URGENCIES && !full; urgency++)
    {
      GList *next;
      for (GList *l = core->dirty[urgency].head; l && !full; l = next)
        {
          MhRecord *r = l->data;
          next = l->next;
          /* The final record ends all others. */
          bool needless = mh_job_is_finished (r->job) && r->chunk != 0;
          if (!needless && !writable (core, r))
            continue;
          if (!needless && !batch_add (core, &b, r))
            {
              full = true;
              break;
            }
          r->queued = false;
          g_queue_delete_link (&core->dirty[urgency], l);
          alone |= !needless && r->alone;
          full = alone || changes->len >= most;
        }
    }
  while (!alone && changes->len < most && core->garbage.length)
    add_change (&b, keep_key (&b, g_queue_pop_head (&core->garbage)), NULL);
  if (changes->len > 0)
    {
      t->changes = changes->len;
      t->request = mh_wire_txn ((MhCondition *)conditions->data, conditions->len,
                                (MhChange *)changes->data, changes->len);
      core->txns++;
      txn_send (core, t);
    }
  txn_unref (t);
}

static bool
anything_dirty (const MhCore *core)
{
  for (guint i = 0; i < MH_URGENCIES; i++)
    if (core->dirty[i].length)
      return true;
  return core->garbage.length > 0;
}

/* A transaction is put together only when the budget has changes for it: what waited in a finished
   one would let a user's submission wait behind it. */
void
mh_store_step (MhCore *core)
{
  while (anything_dirty (core))
    {
      guint before = core->txns, urgent = core->dirty[MH_URGENCY_USER].length;
      if (core->txns >= (urgent ? TXNS_FOR_USERS : TXNS_IN_FLIGHT))
        return;
      /* A part of the burst is kept for what a user waits for. */
      double burst = mh_call_queue_write_burst (core->calls), tokens;
      double kept = burst * KEPT_FOR_USERS;
      double least = urgent ? 1 : MIN (burst, kept + LEAST_TOKENS);
      if (!mh_call_queue_may_write (core->calls, least, &tokens))
        {
          mh_core_wake_at (core, MAX (core->now.mono_us + 10000,
                                      mh_call_queue_store_paused_until_us (core->calls)));
          return;
        }
      double most = MAX (MIN (tokens, urgent), tokens - kept);
      send_batch (core, (guint)CLAMP (most, 1, core->settings->batch));
      if (core->txns == before)
        break;
      /* Its tokens are taken when it is sent, which is now unless the requests have run out. */
      mh_call_queue_flush (core->calls);
    }
}
