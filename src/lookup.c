/* Reads for users who ask about jobs that are not in memory. */
#include "core-private.h"

#define CALL_TIMEOUT_US (MH_SECOND_US)

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
  guint64 id;
  char *job;
  MhUserVerb verb;
  Stage stage;
  bool in_charge;
  MhUserAnswer found; /* to be given if there is no leader */
  bool settled;       /* answered, or another lookup will */
} Lookup;

static void
lookup_free (gpointer data)
{
  Lookup *l = data;
  /* Calls are forgotten at the end of a leadership, but not who waits for them. */
  if (!l->settled)
    mh_core_answer (l->core, l->id, 503, 1);
  g_free (l->job);
  g_free (l);
}

static void
lookup_reply (MhCore *core, gpointer data, guint status, const MhValue *body);

static void
lookup_send (const Lookup *from, Stage stage)
{
  Lookup *l = g_memdup2 (from, sizeof *from);
  l->job = g_strdup (from->job);
  l->stage = stage;
  l->settled = false;
  g_autofree char *key = stage == READ_LEADER
                             ? g_strdup ("leader")
                             : g_strconcat (stage == READ_FINAL ? "f/" : "j/", l->job, NULL);
  mh_core_call (l->core, l->verb == MH_USER_CANCEL ? MH_RANK_RULES : MH_RANK_STRANGER,
                mh_wire_get (key), 0, CALL_TIMEOUT_US, lookup_reply, l, lookup_free);
}

static void
lookup_answer (Lookup *l, const MhUserAnswer *a)
{
  l->settled = true;
  mh_core_act (l->core, MH_ACTION_ANSWER_USER, l->id)->answer = *a;
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

static void
lookup_reply (MhCore *core, gpointer data, guint status, const MhValue *body)
{
  Lookup *l = data;
  if (l->stage == READ_LEADER)
    {
      if (status == 404)
        lookup_answer (l, &l->found);
      return;
    }
  MhEntry *e = status == 200 ? mh_wire_read_entry (body) : NULL;
  bool found = read_found (l, status, e);
  mh_entry_free (e);
  if (!found)
    return;
  if (l->in_charge)
    {
      /* "Never heard of it" rests on memory too: the leader must still be one, and not be about to
         accept the job. */
      if (status == 200 || (mh_leader_valid (core) && !g_hash_table_contains (core->jobs, l->job)))
        lookup_answer (l, &l->found);
      if (status == 200)
        mh_core_final (core, l->job, &l->found);
      return;
    }
  l->settled = true;
  lookup_send (l, status == 404 && l->stage == READ_RUNNING ? READ_FINAL : READ_LEADER);
}

void
mh_lookup_job (MhCore *core, guint64 id, const char *job, MhUserVerb verb, bool in_charge)
{
  const Lookup l
      = { .core = core, .id = id, .job = (char *)job, .verb = verb, .in_charge = in_charge };
  lookup_send (&l, in_charge ? READ_FINAL : READ_RUNNING);
}
