/* What one sees of the controllers' processes from outside: whether they run, their memory and
   their sockets. */
#include "soak/soak.h"

#include <string.h>

/* The sanitizers' own memory would count. */
#ifdef __SANITIZE_ADDRESS__
#define CHECKS_MEMORY false
#else
#define CHECKS_MEMORY true
#endif
#define BYTES_PER_KB 1024u

static guint
read_memory_kb (const char *pid)
{
  g_autofree char *path = g_strdup_printf ("/proc/%s/status", pid);
  g_autofree char *text = NULL;
  if (!g_file_get_contents (path, &text, NULL, NULL))
    return 0;
  const char *line = strstr (text, "VmRSS:");
  return line ? (guint)g_ascii_strtoull (line + strlen ("VmRSS:"), NULL, 10) : 0;
}

static guint
count_sockets (const char *pid)
{
  g_autofree char *path = g_strdup_printf ("/proc/%s/fd", pid);
  g_autoptr (GDir) dir = g_dir_open (path, 0, NULL);
  guint sockets = 0;
  for (const char *name; dir && (name = g_dir_read_name (dir));)
    {
      g_autofree char *link = g_build_filename (path, name, NULL);
      g_autofree char *target = g_file_read_link (link, NULL);
      sockets += target && g_str_has_prefix (target, "socket:");
    }
  return sockets;
}

static void
check_process (Soak *soak, guint node)
{
  GSubprocess *process = soak->cluster->nodes[node].process;
  RuleChecks *rules = soak->cluster->environment->rules;
  const MhSettings *settings = soak->cluster->settings;
  const char *pid = process ? g_subprocess_get_identifier (process) : NULL;
  if (process == NULL)
    return;
  if (pid == NULL)
    {
      rule_checks_add_violation (rules, "node-%u ended by itself", node);
      loopback_cluster_stop (soak->cluster, node);
      loopback_cluster_start (soak->cluster, node);
      return;
    }
  guint sockets = count_sockets (pid);
  guint memory_kb = read_memory_kb (pid);
  soak->max_sockets = MAX (soak->max_sockets, sockets);
  soak->max_memory_kb = MAX (soak->max_memory_kb, memory_kb);
  if (sockets > settings->max_connections)
    rule_checks_add_violation (rules, "node-%u has %u sockets", node, sockets);
  if (CHECKS_MEMORY && memory_kb > settings->memory_bytes / BYTES_PER_KB)
    rule_checks_add_violation (rules, "node-%u uses %u KiB", node, memory_kb);
}

void
soak_processes_check (Soak *soak)
{
  for (guint i = 0; i < LOOPBACK_NODES; i++)
    check_process (soak, i);
}
