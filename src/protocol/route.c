#include "protocol/route.h"

#include <stdbool.h>
#include <string.h>

/* One more than the longest route has, so that a longer path matches none. Includes the empty
   segment before the leading slash. */
#define MAX_SEGMENTS 5

typedef struct
{
  MhRoute route;
  const char *method;
  const char *first, *last; /* segments of the path; NULL: any segment */
  guint n_segments;
} RouteRule;

static const RouteRule route_rules[] = {
  { MH_ROUTE_READY, "GET", "ready", NULL, 1 },
  { MH_ROUTE_HEARTBEAT, "POST", "hello", NULL, 1 },
  { MH_ROUTE_SUBMIT, "POST", "submissions", NULL, 1 },
  { MH_ROUTE_STATUS, "GET", "submissions", NULL, 2 },
  { MH_ROUTE_CANCEL, "POST", "submissions", "withdraw", 3 },
};

/* `segments` excludes the empty segment before the leading slash. */
static bool
rule_matches (const RouteRule *rule, char **segments, guint n_segments)
{
  return n_segments == rule->n_segments && strcmp (segments[0], rule->first) == 0
         && (rule->last == NULL || strcmp (segments[n_segments - 1], rule->last) == 0);
}

MhRoute
mh_route_find (const char *path, const char **method, char **job)
{
  g_return_val_if_fail (path != NULL && method != NULL && job != NULL, MH_ROUTE_NONE);

  g_auto (GStrv) split = g_strsplit (path, "/", MAX_SEGMENTS);
  guint n_split = g_strv_length (split);
  for (gsize i = 0; i < G_N_ELEMENTS (route_rules) && n_split > 1; i++)
    {
      const RouteRule *rule = &route_rules[i];
      char **segments = split + 1;
      if (!rule_matches (rule, segments, n_split - 1))
        continue;
      *method = rule->method;
      if (rule->n_segments > 1)
        *job = g_strdup (segments[1]);
      return rule->route;
    }
  return MH_ROUTE_NONE;
}
