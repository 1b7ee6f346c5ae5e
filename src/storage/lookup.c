/* Reads for users who ask about jobs that are not in memory. */
#include "controller/core-private.h"

#define CALL_TIMEOUT_US (MH_SECOND_US)
/* Questions that may wait for the state service: what it serves in so long. A user gives up on an
   answer after two seconds. */
#define LONGEST_WAIT_S 1.0
#define LEAST_WAITING 8.0
#define RETRY_AFTER_S 1u

/* Without a leader: the running record, then the final one (a job moves from the first to the
   second and never back), and at last the leader's key. Only if that is absent may the answer be
   given: a leader that holds it may not know yet that its own last write was carried out, and would
   tell the same user something older. In charge, only the final record is left to read. */
typedef enum
{
  READ_RUNNING,
  READ_FINAL,
  READ_LEADER
} Stage;

typedef struct
{
  MhCore *core;
  char *job;
  MhUserVerb verb;
  Stage stage;
  bool in_charge;
  MhUserAnswer found; /* to be given if there is no leader */
  GArray *askers;     /* guint64: requests that the reads under way will answer */
  /* guint64: requests that came since those began. An answer that was read before a question came
     may be older than what its user has been told meanwhile. */
  GArray *next;
} Lookup;

static void
answer_all (MhCore *core, GArray *askers, const MhUserAnswer *answer)
{
  for (guint i = 0; i < askers->len; i++)
    mh_core_act (core, MH_ACTION_ANSWER_USER, g_array_index (askers, guint64, i))->answer = *answer;
  g_array_set_size (askers, 0);
}

static const MhUserAnswer come_again = { .status = 503, .retry_after_s = RETRY_AFTER_S };

static void
lookup_clear (gpointer data)
{
  Lookup *l = data;
  /* Calls are forgotten at the end of a leadership, but not who waits for them. */
  answer_all (l->core, l->askers, &come_again);
  answer_all (l->core, l->next, &come_again);
  if (g_hash_table_lookup (l->core->lookups, l->job) == l)
    g_hash_table_remove (l->core->lookups, l->job);
  g_array_unref (l->askers);
  g_array_unref (l->next);
  g_free (l->job);
}

static void
lookup_unref (gpointer data)
{
  g_rc_box_release_full (data, lookup_clear);
}

static void
lookup_reply (MhCore *core, gpointer data, guint status, const MhValue *body);

/* Each call holds the lookup. */
static void
lookup_send (Lookup *l, Stage stage)
{
  static const char *const prefixes[] = { [READ_RUNNING] = "j/", [READ_FINAL] = "f/" };
  l->stage = stage;
  g_autofree char *key
      = stage == READ_LEADER ? g_strdup ("leader") : g_strconcat (prefixes[stage], l->job, NULL);
  MhCallClass rank = l->verb == MH_USER_STATUS   ? MH_CALL_BACKGROUND
                     : l->verb == MH_USER_CANCEL ? MH_CALL_SAFETY
                                                 : MH_CALL_WORK;
  mh_core_call (l->core, rank, mh_wire_get (key), 0, CALL_TIMEOUT_US, lookup_reply,
                g_rc_box_acquire (l), lookup_unref);
}

static void
lookup_begin (Lookup *l)
{
  lookup_send (l, l->in_charge ? READ_FINAL : READ_RUNNING);
}

/* The reads are over; who came meanwhile gets new ones, together. */
static void
lookup_answer (Lookup *l, const MhUserAnswer *answer)
{
  answer_all (l->core, l->askers, answer);
  if (l->next->len == 0)
    return;
  GArray *empty = l->askers;
  l->askers = l->next;
  l->next = empty;
  lookup_begin (l);
}

/* What the record says, or 404; false when nothing can be told. */
static bool
read_found (Lookup *l, guint status, const MhEntry *e)
{
  gint64 at;
  bool cancelled;
  if (status == 404)
    {
      l->found = (MhUserAnswer){ .status = l->verb == MH_USER_SUBMIT ? 422 : 404 };
      return true;
    }
  if (e == NULL)
    return false;
  if (l->stage == READ_FINAL)
    return mh_record_read_final (e->value, &l->found);
  guint chunk;
  g_autoptr (MhJobSpec) spec = mh_record_read_job (e->value, l->job, &at, &chunk, &cancelled);
  l->found
      = (MhUserAnswer){ .status = 200, .state = cancelled ? MH_JOB_CANCELLED : MH_JOB_PENDING };
  return spec != NULL;
}

/* "Never heard of it" rests on memory too: the leader must still be one, and not be about to accept
   the job. */
static void
answer_in_charge (MhCore *core, Lookup *l, guint status)
{
  if (status == 200)
    mh_core_final (core, l->job, &l->found);
  bool known
      = status == 200
        || (mh_election_is_leader (core->election) && !g_hash_table_contains (core->jobs, l->job));
  lookup_answer (l, known ? &l->found : &come_again);
}

static void
lookup_reply (MhCore *core, gpointer data, guint status, const MhValue *body)
{
  Lookup *l = data;
  if (l->stage == READ_LEADER)
    {
      lookup_answer (l, status == 404 ? &l->found : &come_again);
      return;
    }
  MhEntry *e = status == 200 ? mh_wire_read_entry (body) : NULL;
  bool found = read_found (l, status, e);
  mh_entry_free (e);
  if (!found)
    lookup_answer (l, &come_again);
  else if (l->in_charge)
    answer_in_charge (core, l, status);
  else
    lookup_send (l, status == 404 && l->stage == READ_RUNNING ? READ_FINAL : READ_LEADER);
}

/* Questions take only what the state service has left: beyond what it serves in a second, who asks
   is told at once to come again. */
static bool
too_many_waiting (const MhCore *core)
{
  guint waiting = mh_call_queue_waiting (core->calls, MH_CALL_BACKGROUND);
  return waiting >= MAX (LEAST_WAITING, mh_call_queue_store_rate (core->calls) * LONGEST_WAIT_S);
}

void
mh_lookup_job (MhCore *core, guint64 id, const char *job, MhUserVerb verb, bool in_charge)
{
  Lookup *l = verb == MH_USER_STATUS ? g_hash_table_lookup (core->lookups, job) : NULL;
  if (l && l->in_charge == in_charge)
    {
      g_array_append_val (l->next, id);
      return;
    }
  if (verb == MH_USER_STATUS && too_many_waiting (core))
    {
      mh_core_answer (core, id, come_again.status, come_again.retry_after_s);
      return;
    }
  l = g_rc_box_new0 (Lookup);
  l->core = core;
  l->job = g_strdup (job);
  l->verb = verb;
  l->in_charge = in_charge;
  l->askers = g_array_new (FALSE, FALSE, sizeof (guint64));
  l->next = g_array_new (FALSE, FALSE, sizeof (guint64));
  g_array_append_val (l->askers, id);
  if (verb == MH_USER_STATUS)
    g_hash_table_replace (core->lookups, l->job, l);
  lookup_begin (l);
  lookup_unref (l);
}
