#include "server/polled-context.h"

#include "base/time-units.h"

/* Iterations of one context in a row, before the other contexts have their turn. */
#define MAX_ITERATIONS_PER_TURN 8u
/* Descriptors that a query holds without an allocation. */
#define INLINE_DESCRIPTORS 16
/* Interval at which a context is iterated while epoll refuses one of its descriptors. */
#define UNWATCHED_POLL_INTERVAL_US (G_USEC_PER_SEC / 2)

struct MhPolledContext
{
  GMainContext *context;
  MhEpollWatcher *watcher;
  gpointer owner;
  GArray *watched;         /* GPollFD, as registered with the watcher, by ascending number */
  bool has_unwatched;      /* the watcher refused one of them */
  bool needs_registration; /* a number in `watched` may belong to a new descriptor: register all
                              again */
};

/* The descriptors and the timeout that a context waits for. */
typedef struct
{
  GPollFD inline_fds[INLINE_DESCRIPTORS];
  GPollFD *fds;           /* inline_fds or allocated_fds, by ascending number */
  GPollFD *allocated_fds; /* NULL unless there are more than INLINE_DESCRIPTORS */
  gint n_fds, capacity;
  gint timeout_ms; /* -1: none */
  gint priority;
} ContextQuery;

static void
context_query_clear (ContextQuery *query)
{
  g_free (query->allocated_fds);
}
G_DEFINE_AUTO_CLEANUP_CLEAR_FUNC (ContextQuery, context_query_clear)

MhPolledContext *
mh_polled_context_new (MhEpollWatcher *watcher, gpointer owner)
{
  MhPolledContext *self = g_new0 (MhPolledContext, 1);
  self->context = g_main_context_new ();
  self->watcher = watcher;
  self->owner = owner;
  self->watched = g_array_new (FALSE, FALSE, sizeof (GPollFD));
  return self;
}

void
mh_polled_context_free (MhPolledContext *self)
{
  if (self == NULL)
    return;
  g_main_context_unref (self->context);
  g_array_unref (self->watched);
  g_free (self);
}

void
mh_polled_context_push (MhPolledContext *self)
{
  g_main_context_push_thread_default (self->context);
}

void
mh_polled_context_pop (MhPolledContext *self)
{
  g_main_context_pop_thread_default (self->context);
}

void
mh_polled_context_invalidate_registrations (MhPolledContext *self)
{
  self->needs_registration = true;
}

static void
watch_descriptor (MhPolledContext *self, const GPollFD *poll_fd)
{
  if (!mh_epoll_watcher_add (self->watcher, poll_fd, self->owner))
    self->has_unwatched = true;
}

/* Updates the registration of one descriptor. `registered` is its present registration, `wanted`
   what the context waits for; NULL: none. */
static void
update_descriptor (MhPolledContext *self, const GPollFD *registered, const GPollFD *wanted)
{
  if (wanted == NULL)
    mh_epoll_watcher_remove (self->watcher, registered, self->owner);
  else if (registered == NULL)
    watch_descriptor (self, wanted);
  else if (self->needs_registration)
    {
      mh_epoll_watcher_remove (self->watcher, registered, self->owner);
      watch_descriptor (self, wanted);
    }
  else if (registered->events != wanted->events
           && !mh_epoll_watcher_modify (self->watcher, wanted, self->owner))
    self->has_unwatched = true;
}

/* Updates the registrations to `fds`. Both lists are ordered by the numbers of the descriptors and
   are merged. */
static void
update_watched (MhPolledContext *self, const GPollFD *fds, guint n_fds)
{
  guint i = 0, j = 0;
  self->has_unwatched = false;
  while (i < self->watched->len || j < n_fds)
    {
      const GPollFD *registered
          = i < self->watched->len ? &g_array_index (self->watched, GPollFD, i) : NULL;
      const GPollFD *wanted = j < n_fds ? &fds[j] : NULL;
      if (registered && wanted && registered->fd < wanted->fd)
        wanted = NULL;
      else if (registered && wanted && wanted->fd < registered->fd)
        registered = NULL;
      update_descriptor (self, registered, wanted);
      i += registered != NULL;
      j += wanted != NULL;
    }
  self->needs_registration = self->has_unwatched;
  g_array_set_size (self->watched, 0);
  g_array_append_vals (self->watched, fds, n_fds);
}

static void
query_context (GMainContext *context, ContextQuery *query)
{
  g_main_context_prepare (context, &query->priority);
  while ((query->n_fds = g_main_context_query (context, query->priority, &query->timeout_ms,
                                               query->fds, query->capacity))
         > query->capacity)
    {
      query->capacity = query->n_fds;
      query->allocated_fds = g_renew (GPollFD, query->allocated_fds, (gsize)query->capacity);
      query->fds = query->allocated_fds;
    }
}

/* Dispatches until nothing is ready, at most MAX_ITERATIONS_PER_TURN times, and sets `query` to
   what the context waits for then. Returns whether more may be ready. */
static bool
dispatch_ready (GMainContext *context, ContextQuery *query)
{
  for (guint i = 0; i < MAX_ITERATIONS_PER_TURN; i++)
    {
      query_context (context, query);
      g_poll (query->fds, (guint)query->n_fds, 0);
      if (!g_main_context_check (context, query->priority, query->fds, query->n_fds))
        return false;
      g_main_context_dispatch (context);
    }
  query_context (context, query);
  return true;
}

gint64
mh_polled_context_iterate (MhPolledContext *self)
{
  g_auto (ContextQuery) query = { .capacity = INLINE_DESCRIPTORS };
  query.fds = query.inline_fds;
  if (!g_main_context_acquire (self->context))
    return MH_POLLED_CONTEXT_NOT_DUE;
  mh_polled_context_push (self);
  bool more_ready = dispatch_ready (self->context, &query);
  mh_polled_context_pop (self);
  g_main_context_release (self->context);
  update_watched (self, query.fds, (guint)query.n_fds);
  if (more_ready || query.timeout_ms == 0)
    return MH_POLLED_CONTEXT_DUE_NOW;
  if (self->has_unwatched)
    return g_get_monotonic_time () + UNWATCHED_POLL_INTERVAL_US;
  if (query.timeout_ms > 0)
    return g_get_monotonic_time () + (gint64)query.timeout_ms * MH_MILLISECOND_US;
  return MH_POLLED_CONTEXT_NOT_DUE;
}
