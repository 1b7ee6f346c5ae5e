#include "protocol/route.h"

#include <stdbool.h>
#include <string.h>

/* More parts than any path has; the first is empty, since paths begin with a slash. */
#define MAX_PARTS 5

typedef struct
{
  MhRoute route;
  const char *method;
  const char *first, *last; /* parts of the path; NULL: any */
  guint n_parts;
} RouteRule;

static const RouteRule rules[] = {
  { MH_ROUTE_READY, "GET", "ready", NULL, 1 },
  { MH_ROUTE_HEARTBEAT, "POST", "hello", NULL, 1 },
  { MH_ROUTE_SUBMIT, "POST", "submissions", NULL, 1 },
  { MH_ROUTE_STATUS, "GET", "submissions", NULL, 2 },
  { MH_ROUTE_CANCEL, "POST", "submissions", "withdraw", 3 },
};

/* `parts`: without the empty one before the first slash. */
static bool
rule_matches (const RouteRule *rule, char **parts, guint n_parts)
{
  return n_parts == rule->n_parts && strcmp (parts[0], rule->first) == 0
         && (rule->last == NULL || strcmp (parts[n_parts - 1], rule->last) == 0);
}

MhRoute
mh_route_find (const char *path, const char **method, char **job)
{
  g_return_val_if_fail (path != NULL && method != NULL && job != NULL, MH_ROUTE_NONE);

  g_auto (GStrv) split = g_strsplit (path, "/", MAX_PARTS);
  guint n_split = g_strv_length (split);
  for (gsize i = 0; i < G_N_ELEMENTS (rules) && n_split > 1; i++)
    {
      const RouteRule *rule = &rules[i];
      char **parts = split + 1;
      if (!rule_matches (rule, parts, n_split - 1))
        continue;
      *method = rule->method;
      if (rule->n_parts > 1)
        *job = g_strdup (parts[1]);
      return rule->route;
    }
  return MH_ROUTE_NONE;
}
