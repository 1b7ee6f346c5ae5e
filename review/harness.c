#include "harness.h"

/* The case needs to know when a worker has sent its last report, which that file keeps to itself. */
#include "../tests/loopback-cluster.c"

#include "election/leader-record.h"
#include "protocol/key-value-messages.h"

#include <string.h>

#define QUESTION_TIMEOUT_US (2 * MH_SECOND_US)
#define REQUEST_TIMEOUT_US (5 * MH_SECOND_US)
#define READY_TIMEOUT_US (20 * MH_SECOND_US)
#define WATCH_INTERVAL_MS 50
#define MIN_REPORT_INTERVAL_US (MH_SECOND_US / 2)

static LoopbackCluster *cluster;
static LoopbackOptions options;
static SoupServer *cloud_server;
static FILE *record;
static char *log_dir;
static gint64 started_us;
static bool cloud_is_out;
static GHashTable *seen_tasks; /* MACHINE TASK ATTEMPT PHASE */
static GHashTable *reported;   /* LoopbackWorker -> what its last report has said */

/* ---- record ---- */

void
harness_record (const char *format, ...)
{
  va_list args;
  va_start (args, format);
  fprintf (record, "%8.3f ", (double)(g_get_monotonic_time () - started_us) / MH_SECOND_US);
  vfprintf (record, format, args);
  fputc ('\n', record);
  fflush (record);
  va_end (args);
}

static const char *const phases[]
    = { [MH_TASK_PHASE_FETCHING_IMAGE] = "fetches its image",
        [MH_TASK_PHASE_WAITING_FOR_GANG] = "waits for its gang",
        [MH_TASK_PHASE_RUNNING] = "runs",
        [MH_TASK_PHASE_CHECKPOINTING] = "saves",
        [MH_TASK_PHASE_ENDED] = "has ended" };

/* Records each task that has come to a machine or has changed there. */
static gboolean
record_tasks (gpointer data)
{
  const GPtrArray *machines = cluster->environment->cloud->machines;
  (void)data;
  for (guint i = 0; i < machines->len; i++)
    {
      const Machine *machine = g_ptr_array_index (machines, i);
      for (guint j = 0; j < machine->tasks->len; j++)
        {
          const MachineTask *task = machine_task (machine, j);
          char *line = g_strdup_printf ("task %s attempt %" G_GUINT64_FORMAT " on %s (%s) %s",
                                        task->task_id, task->attempt, machine->name, machine->zone,
                                        phases[task->phase]);
          if (g_hash_table_add (seen_tasks, line))
            harness_record ("%s", line);
        }
    }
  return G_SOURCE_CONTINUE;
}

/* PROTOCOL, "Workers -> controller nodes": a worker reports "also whenever something changes, though
   never more often than every half second. A change means a change of its tasks, its spot notice,
   its session or the highest token it has seen." */
static gboolean
report_changes (gpointer data)
{
  (void)data;
  gint64 now_us = g_get_monotonic_time ();
  for (guint i = 0; i < cluster->workers->len; i++)
    {
      LoopbackWorker *worker = g_ptr_array_index (cluster->workers, i);
      const Machine *machine = worker->machine;
      g_autoptr (GString) state
          = g_string_new (NULL);
      g_string_printf (state, "%" G_GUINT64_FORMAT " %" G_GUINT64_FORMAT, machine->incarnation,
                       machine->fencing_token);
      for (guint j = 0; j < machine->tasks->len; j++)
        {
          const MachineTask *task = machine_task (machine, j);
          g_string_append_printf (state, " %s %" G_GUINT64_FORMAT " %d", task->task_id,
                                  task->attempt, (int)task->phase);
        }
      const char *last = g_hash_table_lookup (reported, worker);
      if (g_strcmp0 (last, state->str) == 0 || worker->heartbeat_pending
          || now_us < worker->sent_us + MIN_REPORT_INTERVAL_US)
        continue;
      g_hash_table_insert (reported, worker, g_strdup (state->str));
      if (last)
        worker->next_us = now_us;
    }
  return G_SOURCE_CONTINUE;
}

/* ---- end ---- */

static void
remove_logs (void)
{
  GDir *dir = g_dir_open (log_dir, 0, NULL);
  for (const char *name; dir && (name = g_dir_read_name (dir));)
    {
      g_autofree char *path = g_build_filename (log_dir, name, NULL);
      g_unlink (path);
    }
  if (dir)
    g_dir_close (dir);
  g_rmdir (log_dir);
}

static void
end (int status, const char *text)
{
  harness_record ("%s", text);
  loopback_cluster_free (cluster);
  remove_logs ();
  fclose (record);
  g_print ("%s\n", text);
  exit (status);
}

void
harness_finish (bool broken, const char *result)
{
  g_autofree char *text = g_strdup_printf ("%s: %s", broken ? "RULE BROKEN" : "held", result);
  end (broken ? 1 : 0, text);
  g_assert_not_reached ();
}

void
harness_give_up (const char *reason)
{
  g_autofree char *text = g_strdup_printf ("the case could not run: %s", reason);
  end (2, text);
  g_assert_not_reached ();
}

/* ---- the cloud ---- */

static void
handle_cloud_request (SoupServer *server, SoupServerMessage *message, const char *path,
                      GHashTable *query, gpointer data)
{
  (void)server;
  (void)query;
  (void)data;
  const char *query_text = g_uri_get_query (soup_server_message_get_uri (message));
  g_autofree char *full = query_text ? g_strconcat (path, "?", query_text, NULL) : g_strdup (path);
  g_autoptr (GBytes) bytes
      = soup_message_body_flatten (soup_server_message_get_request_body (message));
  gsize size;
  const void *raw = g_bytes_get_data (bytes, &size);
  g_autoptr (MhValue) body = size ? mh_value_parse (raw, size, NULL) : NULL;
  const ServiceRequest request
      = { .method = soup_server_message_get_method (message), .path = full, .body = body };
  ServiceResponse response = { .status = 503 };
  if (cloud_is_out)
    {
      response.body = mh_value_new_map ();
      mh_value_set_text (response.body, "error", "trouble");
    }
  else
    environment_serve (cluster->environment, MH_TARGET_CLOUD, &request, &response);
  harness_record ("cloud: %s %s -> %u", request.method, full, response.status);
  soup_server_message_set_status (message, response.status, NULL);
  if (response.body == NULL)
    return;
  g_autoptr (GBytes) out = mh_value_serialize (response.body);
  const char *text = g_bytes_get_data (out, &size);
  soup_server_message_set_response (message, "application/cbor", SOUP_MEMORY_COPY, text, size);
  mh_value_unref (response.body);
}

void
harness_set_cloud_out (bool out)
{
  cloud_is_out = out;
  harness_record ("the cloud's interface is %s", out ? "down" : "up again");
}

/* Lets the controllers find the cloud at a server of its own. */
static void
use_own_cloud (void)
{
  g_autoptr (GError) error = NULL;
  cloud_server = soup_server_new (NULL, NULL);
  soup_server_add_handler (cloud_server, NULL, handle_cloud_request, NULL, NULL);
  if (!soup_server_listen_local (cloud_server, 0, SOUP_SERVER_LISTEN_IPV4_ONLY, &error))
    harness_give_up (error->message);
  GSList *uris = soup_server_get_uris (cloud_server);
  int port = g_uri_get_port (uris->data);
  g_slist_free_full (uris, (GDestroyNotify)g_uri_unref);
  g_autofree char *old = g_strdup_printf ("cloud = \"127.0.0.1:%u\"", cluster->services_port);
  g_autofree char *new = g_strdup_printf ("cloud = \"127.0.0.1:%d\"", port);
  for (guint i = 0; i < LOOPBACK_NODES; i++)
    {
      g_autofree char *text = NULL;
      g_file_get_contents (cluster->nodes[i].config, &text, NULL, NULL);
      g_auto (GStrv) parts = g_strsplit (text, old, 2);
      g_autofree char *changed = g_strjoinv (new, parts);
      g_file_set_contents (cluster->nodes[i].config, changed, -1, NULL);
    }
}

/* ---- start ---- */

bool
harness_has_trouble (void)
{
  return g_strcmp0 (g_getenv ("TROUBLE"), "0") != 0;
}

static gboolean
wake_up (gpointer data)
{
  *(bool *)data = true;
  return G_SOURCE_REMOVE;
}

void
harness_wait (double seconds)
{
  bool over = false;
  g_timeout_add ((guint)(seconds * 1000), wake_up, &over);
  while (!over)
    g_main_context_iteration (NULL, TRUE);
}

LoopbackCluster *
harness_start (int argc, char **argv, const char *settings, gint64 heartbeat_interval_us)
{
  started_us = g_get_monotonic_time ();
  record = argc == 3 ? fopen (argv[2], "w") : NULL;
  if (record == NULL || !g_file_test (argv[1], G_FILE_TEST_IS_EXECUTABLE))
    {
      g_printerr ("usage: %s PROGRAM RECORD\n", argv[0]);
      exit (2);
    }
  log_dir = g_dir_make_tmp ("minthill-review-XXXXXX", NULL);
  options = (LoopbackOptions){ .program = argv[1],
                               .settings = settings,
                               .log_dir = log_dir,
                               .heartbeat_interval_us = heartbeat_interval_us };
  cluster = loopback_cluster_new (&options);
  use_own_cloud ();
  seen_tasks = g_hash_table_new (g_str_hash, g_str_equal);
  reported = g_hash_table_new_full (NULL, NULL, NULL, g_free);
  g_timeout_add (WATCH_INTERVAL_MS, record_tasks, NULL);
  g_timeout_add (WATCH_INTERVAL_MS, report_changes, NULL);
  harness_record ("disruption: %s", harness_has_trouble () ? "yes" : "none (TROUBLE=0)");
  for (guint i = 0; i < LOOPBACK_NODES; i++)
    harness_restart (i);
  for (guint i = 0; i < LOOPBACK_NODES; i++)
    while (harness_ask (i, "GET", "/ready", NULL).status != 200)
      {
        if (g_get_monotonic_time () - started_us > READY_TIMEOUT_US)
          harness_give_up ("the controllers do not get ready");
        harness_wait (0.2);
      }
  return cluster;
}

/* ---- controllers ---- */

void
harness_kill (guint node)
{
  loopback_cluster_stop (cluster, node);
  harness_record ("node-%u is killed", node);
}

void
harness_restart (guint node)
{
  loopback_cluster_start (cluster, node);
  harness_record ("node-%u is started", node);
}

int
harness_find_leader (void)
{
  const ServiceRequest request = { .method = "GET", .path = "/kv/" MH_LEADER_KEY };
  ServiceResponse response = { 0 };
  g_autofree char *name = NULL;
  guint64 epoch, lease_id;
  key_value_store_serve (cluster->environment->store, &request, &response);
  MhKvEntry *entry = response.status == 200 ? mh_kv_entry_decode (response.body, NULL) : NULL;
  bool known = entry && mh_leader_record_read (entry->value, &name, &epoch, &lease_id);
  mh_kv_entry_free (entry);
  mh_value_unref (response.body);
  return known ? (name[strlen (name) - 1] - '0') % LOOPBACK_NODES : -1;
}

/* ---- requests ---- */

typedef struct
{
  bool done;
  Answer answer;
} Question;

static void
on_answer (guint status, const MhValue *body, gpointer data)
{
  Question *question = data;
  question->answer.status = status;
  question->answer.state = body ? mh_value_get_text (body, "status") : NULL;
  question->done = true;
}

Answer
harness_ask (guint node, const char *method, const char *path, GBytes *body)
{
  Question question = { 0 };
  gsize size = body ? g_bytes_get_size (body) : 0;
  gint64 patience_us = strcmp (method, "GET") == 0 ? QUESTION_TIMEOUT_US : REQUEST_TIMEOUT_US;
  loopback_cluster_send (cluster, node, method, path, body, patience_us, on_answer, &question);
  while (!question.done)
    g_main_context_iteration (NULL, TRUE);
  harness_record ("user: %s %s (%zu bytes) at node-%u -> %u %s", method, path, size, node,
                  question.answer.status, question.answer.state ? question.answer.state : "");
  return question.answer;
}
