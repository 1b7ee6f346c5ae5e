#include "soak/soak.h"

#include <glib/gstdio.h>

#define STEP_MS 25
#define REPORTED_LAG_US (MH_SECOND_US / 2)
#define CHECK_INTERVAL_US MH_SECOND_US
/* Longer than any bound of the checks after the last fault. */
#define MAX_CALM_US (95 * MH_SECOND_US)

/* The harness, a single thread, speaks for all workers: it can do about this many heartbeats a
 * second. */
#define HEARTBEATS_PER_SECOND 100.0
#define MIN_REPORT_S 0.5
#define MIN_LEASE_S 8.0
#define REPORTS_PER_LEASE 5.0
#define CANCEL_AFTER_LEASE_S 12.0

/* The fewer heartbeats a worker may send, the longer its lease. */
static double
get_report_s (const SoakOptions *options)
{
  return MAX (MIN_REPORT_S, options->workers / HEARTBEATS_PER_SECOND);
}

static char *
format_settings (const SoakOptions *options)
{
  double report_s = get_report_s (options);
  double lease_s = MAX (MIN_LEASE_S, REPORTS_PER_LEASE * report_s);
  return g_strdup_printf (
      "[[settings.teams]]\nname = \"red\"\ncpus = 60.0\ncpus_max = 80.0\n"
      "[[settings.teams]]\nname = \"blue\"\ncpus = 60.0\ncpus_max = 80.0\n"
      "[settings.workers]\nreport_s = %.1f\nlease_s = %.1f\ncancel_s = %.1f\n"
      "[settings.state]\nrps = 400.0\nwrite_rps = 100.0\nvalue_kb = 8.0\ntxn_ops = 16\n"
      "[settings.cloud]\nrps = 5.0\nlist_lag_s = 0.5\n"
      "[settings.resources]\ncore_share = 1.0\nram_mb = 200.0\nmax_connections = 2000\n",
      report_s, lease_s, lease_s + CANCEL_AFTER_LEASE_S);
}

/* ---- history ---- */

void
soak_log (Soak *soak, const char *format, ...)
{
  va_list args;
  va_start (args, format);
  g_autofree char *text = g_strdup_vprintf (format, args);
  va_end (args);
  double seconds = (double)(g_get_monotonic_time () - soak->started_us) / MH_SECOND_US;
  g_ptr_array_add (soak->history, g_strdup_printf ("%9.3f %s\n", seconds, text));
}

static void
write_history (const Soak *soak, const char *dir)
{
  g_autoptr (GError) error = NULL;
  g_autofree char *path = g_build_filename (dir, "history.txt", NULL);
  g_autoptr (GString) text = g_string_new (NULL);
  for (guint i = 0; i < soak->history->len; i++)
    g_string_append (text, g_ptr_array_index (soak->history, i));
  if (!g_file_set_contents (path, text->str, -1, &error))
    g_printerr ("soak: %s\n", error->message);
}

/* ---- set-up ---- */

static void
add_links (Soak *soak)
{
  LoopbackCluster *cluster = soak->cluster;
  for (guint i = 0; i < LOOPBACK_NODES; i++)
    {
      soak->store_links[i] = link_proxy_new (cluster->services_port);
      cluster->nodes[i].store = link_proxy_get_port (soak->store_links[i]);
      for (guint j = 0; j < LOOPBACK_NODES; j++)
        if (j != i)
          {
            soak->peer_links[i][j] = link_proxy_new (cluster->nodes[j].peer);
            cluster->nodes[j].peer_seen_by[i] = link_proxy_get_port (soak->peer_links[i][j]);
          }
    }
  loopback_cluster_write_settings (cluster);
}

static void
set_up (Soak *soak, const SoakOptions *options, const char *log_dir)
{
  soak->settings = format_settings (options);
  const LoopbackOptions cluster_options
      = { .program = options->program,
          .settings = soak->settings,
          .log_dir = log_dir,
          .heartbeat_interval_us = (gint64)(get_report_s (options) * MH_SECOND_US),
          .crash_on_critical = true };
  soak->options = *options;
  soak->random = g_rand_new_with_seed (options->seed);
  g_random_set_seed (options->seed);
  soak->users = g_ptr_array_new ();
  soak->faults = g_ptr_array_new ();
  soak->history = g_ptr_array_new_with_free_func (g_free);
  soak->cluster = loopback_cluster_new (&cluster_options);
  soak->cluster->environment->cloud->max_machines = 2 * options->workers;
  add_links (soak);
  for (guint i = 0; i < options->workers; i++)
    cloud_add_machine (soak->cluster->environment->cloud, "small", "a", false);
  for (guint i = 0; i < LOOPBACK_NODES; i++)
    loopback_cluster_start (soak->cluster, i);
  soak->started_us = g_get_monotonic_time ();
  soak_faults_draw (soak);
  soak_users_start (soak);
}

/* ---- the run ---- */

static gboolean
on_step (gpointer data)
{
  *(bool *)data = true;
  return G_SOURCE_CONTINUE;
}

/* A late harness is late with answers, heartbeats and the store: its lag explains a failure, and
   never excuses one. */
static void
note_lag (Soak *soak, gint64 lag_us)
{
  soak->lag_us = MAX (soak->lag_us, lag_us);
  if (lag_us > REPORTED_LAG_US)
    soak_log (soak, "the harness itself was late lag_ms=%d", (int)(lag_us / MH_MILLISECOND_US));
}

/* Returns whether the run goes on. */
static bool
check (Soak *soak, gint64 now_us)
{
  soak_processes_check (soak);
  if (soak->calm_since_us == 0)
    return true;
  soak_users_check (soak);
  rule_checks_waiting_jobs (soak->cluster->environment->rules);
  return now_us - soak->calm_since_us < MAX_CALM_US && !soak_users_all_settled (soak);
}

static void
play (Soak *soak)
{
  bool is_due = false;
  gint64 last_step_us = g_get_monotonic_time ();
  gint64 next_check_us = 0;
  guint timer = g_timeout_add (STEP_MS, on_step, &is_due);
  for (bool goes_on = true; goes_on;)
    {
      g_main_context_iteration (NULL, TRUE);
      if (!is_due)
        continue;
      gint64 now_us = g_get_monotonic_time ();
      note_lag (soak, now_us - last_step_us - STEP_MS * MH_MILLISECOND_US);
      last_step_us = now_us;
      is_due = false;
      if (soak_faults_step (soak) && soak->calm_since_us == 0
          && now_us >= soak->started_us + soak->options.seconds * MH_SECOND_US)
        {
          soak->calm_since_us = now_us;
          soak_log (soak, "no more faults");
        }
      if (now_us < next_check_us)
        continue;
      next_check_us = now_us + CHECK_INTERVAL_US;
      goes_on = check (soak, now_us);
    }
  g_source_remove (timer);
}

/* ---- report ---- */

static void
report (const Soak *soak, const char *log_dir)
{
  const RuleChecks *rules = soak->cluster->environment->rules;
  gint64 calm_us = g_get_monotonic_time () - soak->calm_since_us;
  bool all_settled = soak_users_all_settled (soak);
  g_print ("seed=%u workers=%u jobs=%u faults=%u answers=%u unanswered=%u starts=%u"
           " calm_s=%.1f settled=%s sockets=%u memory_kb=%u lag_ms=%d violations=%u%s%s\n",
           soak->options.seed, soak->options.workers, soak->users->len, soak->faults->len,
           soak->answers, soak->unanswered, rules->task_starts, (double)calm_us / MH_SECOND_US,
           all_settled ? "yes" : "no", soak->max_sockets, soak->max_memory_kb,
           (int)(soak->lag_us / MH_MILLISECOND_US), rules->violations->len,
           rules->violations->len ? " kept=" : "", rules->violations->len ? log_dir : "");
  for (guint i = 0; i < rules->violations->len; i++)
    g_print ("  violated rule: %s\n", (char *)g_ptr_array_index (rules->violations, i));
}

static void
remove_logs (const char *dir)
{
  g_autoptr (GDir) entries = g_dir_open (dir, 0, NULL);
  for (const char *name; entries && (name = g_dir_read_name (entries));)
    {
      g_autofree char *path = g_build_filename (dir, name, NULL);
      g_unlink (path);
    }
  g_rmdir (dir);
}

bool
soak_run (const SoakOptions *options)
{
  Soak soak = { 0 };
  g_autofree char *log_dir = options->keep_dir ? g_strdup (options->keep_dir)
                                               : g_dir_make_tmp ("minthill-soak-XXXXXX", NULL);
  set_up (&soak, options, log_dir);
  play (&soak);
  const RuleChecks *rules = soak.cluster->environment->rules;
  bool is_settled = soak_users_all_settled (&soak);
  if (!is_settled)
    rule_checks_add_violation (soak.cluster->environment->rules,
                               "not all jobs are settled %d s after the last fault",
                               (int)(MAX_CALM_US / MH_SECOND_US));
  bool passed = rules->violations->len == 0;
  report (&soak, log_dir);
  loopback_cluster_free (soak.cluster);
  if (passed && options->keep_dir == NULL)
    remove_logs (log_dir);
  else
    write_history (&soak, log_dir);
  return passed;
}
