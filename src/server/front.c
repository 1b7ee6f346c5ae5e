#include "server/front.h"

#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <unistd.h>

/* Connections that share a context. */
#define GROUP_SIZE 4u
/* Turns of a context in a row, before others have theirs. */
#define TURNS 8u
#define EVENTS 64u
/* Of the allowed connections, those that workers may keep: the others are for users and for those
   who come. */
#define KEPT_FOR_WORKERS 0.6
#define UNWATCHED_US (G_USEC_PER_SEC / 2)

struct MhFrontGroup
{
  MhFront *front;
  GMainContext *context;
  guint connections;
  GArray *watched;   /* GPollFD, as epoll has them */
  gint64 arrives_us; /* to be turned then; -1: only when something is ready */
  bool marked;       /* is among the ready ones */
  bool unwatched;    /* epoll refused one of them */
  bool stale;        /* a connection was added: a closed one's fd may have come back as another */
};

/* One source of the main context for all groups. */
struct MhFront
{
  GSource source;
  SoupServer *server;
  GSocketService *service;
  int epoll;
  GPtrArray *groups;  /* as many as there ever were connections for */
  GPtrArray *vacant;  /* MhFrontGroup, with room for more connections */
  GPtrArray *ready;   /* MhFrontGroup */
  GHashTable *owners; /* fd -> MhFrontGroup */
  MhFrontGroup *current;
  guint connections, most_connections; /* open; allowed */
};

bool
mh_front_crowded (const MhFront *front)
{
  return front->connections > KEPT_FOR_WORKERS * front->most_connections;
}

MhFrontGroup *
mh_front_current (const MhFront *front)
{
  return front->current;
}

static void
due_at (MhFrontGroup *group, gint64 arrives_us)
{
  GSource *source = &group->front->source;
  gint64 next_us = g_source_get_ready_time (source);
  group->arrives_us = arrives_us;
  if (arrives_us >= 0 && (next_us < 0 || arrives_us < next_us))
    g_source_set_ready_time (source, arrives_us);
}

static void
mark (MhFrontGroup *group)
{
  if (!group->marked)
    g_ptr_array_add (group->front->ready, group);
  group->marked = true;
}

void
mh_front_wake (MhFrontGroup *group)
{
  mark (group);
  due_at (group, 0);
}

static guint32
epoll_events (gushort events)
{
  return (events & G_IO_IN ? EPOLLIN : 0u) | (events & G_IO_OUT ? EPOLLOUT : 0u)
         | (events & G_IO_PRI ? EPOLLPRI : 0u);
}

/* A closed fd has left by itself, and its number may be another group's by now. */
static void
forget (MhFrontGroup *group, const GPollFD *fd)
{
  gpointer key = GINT_TO_POINTER (fd->fd);
  if (g_hash_table_lookup (group->front->owners, key) != group)
    return;
  g_hash_table_remove (group->front->owners, key);
  epoll_ctl (group->front->epoll, EPOLL_CTL_DEL, fd->fd, NULL);
}

/* What cannot be watched is looked at now and then. */
static void
control (MhFrontGroup *group, int operation, const GPollFD *fd)
{
  struct epoll_event event = { .events = epoll_events (fd->events), .data.ptr = group };
  if (epoll_ctl (group->front->epoll, operation, fd->fd, &event) == 0)
    g_hash_table_insert (group->front->owners, GINT_TO_POINTER (fd->fd), group);
  else
    {
      g_debug ("watching a connection: %s", g_strerror (errno));
      group->unwatched = true;
    }
}

/* Both lists are in the order of the fds. */
static void
watch (MhFrontGroup *group, const GPollFD *fds, guint n)
{
  guint i = 0, j = 0;
  group->unwatched = false;
  while (i < group->watched->len || j < n)
    {
      const GPollFD *old
          = i < group->watched->len ? &g_array_index (group->watched, GPollFD, i) : NULL;
      const GPollFD *now = j < n ? &fds[j] : NULL;
      if (now == NULL || (old && old->fd < now->fd))
        {
          forget (group, old);
          i++;
        }
      else if (old == NULL || now->fd < old->fd)
        {
          control (group, EPOLL_CTL_ADD, now);
          j++;
        }
      else
        {
          if (group->stale)
            {
              forget (group, old);
              control (group, EPOLL_CTL_ADD, now);
            }
          else if (old->events != now->events)
            control (group, EPOLL_CTL_MOD, now);
          i++;
          j++;
        }
    }
  group->stale = group->unwatched;
  g_array_set_size (group->watched, 0);
  g_array_append_vals (group->watched, fds, n);
}

typedef struct
{
  GPollFD some[4 * GROUP_SIZE];
  GPollFD *fds, *more;
  gint n, room, timeout_ms, priority;
} Query;

/* Asks the context what it waits for. */
static void
query (GMainContext *context, Query *q)
{
  g_main_context_prepare (context, &q->priority);
  while ((q->n = g_main_context_query (context, q->priority, &q->timeout_ms, q->fds, q->room))
         > q->room)
    {
      q->room = q->n;
      q->fds = q->more = g_renew (GPollFD, q->more, (gsize)q->room);
    }
}

static void
enter (MhFrontGroup *group)
{
  group->front->current = group;
  g_main_context_push_thread_default (group->context);
}

static void
leave (MhFrontGroup *group)
{
  g_main_context_pop_thread_default (group->context);
  group->front->current = NULL;
}

/* Turns the context until nothing is ready, and keeps in mind what it waits for then. */
static void
turn (MhFrontGroup *group)
{
  Query q = { .room = G_N_ELEMENTS (q.some) };
  q.fds = q.some;
  if (!g_main_context_acquire (group->context))
    return;
  enter (group);
  bool ready = true;
  for (guint i = 0; i < TURNS && ready; i++)
    {
      query (group->context, &q);
      g_poll (q.fds, (guint)q.n, 0);
      ready = g_main_context_check (group->context, q.priority, q.fds, q.n);
      if (ready)
        g_main_context_dispatch (group->context);
    }
  if (ready)
    query (group->context, &q);
  leave (group);
  g_main_context_release (group->context);
  watch (group, q.fds, (guint)q.n);
  if (ready || q.timeout_ms == 0)
    mh_front_wake (group);
  else if (q.timeout_ms > 0 || group->unwatched)
    due_at (group, g_get_monotonic_time ()
                       + (group->unwatched ? UNWATCHED_US : (gint64)q.timeout_ms * 1000));
  g_free (q.more);
}

/* Marks the groups whose time has come. */
static void
look_at_clock (MhFront *front)
{
  gint64 now_us = g_get_monotonic_time (), next_us = -1;
  for (guint i = 0; i < front->groups->len; i++)
    {
      MhFrontGroup *group = g_ptr_array_index (front->groups, i);
      if (group->arrives_us < 0)
        continue;
      if (group->arrives_us <= now_us)
        mark (group);
      else if (next_us < 0 || group->arrives_us < next_us)
        next_us = group->arrives_us;
    }
  g_source_set_ready_time (&front->source, next_us);
}

static gboolean
dispatch (GSource *source, GSourceFunc func, gpointer data)
{
  MhFront *front = (MhFront *)source;
  struct epoll_event events[EVENTS];
  gint64 arrives_us = g_source_get_ready_time (source);
  (void)func;
  (void)data;
  int n = epoll_wait (front->epoll, events, EVENTS, 0);
  for (int i = 0; i < n; i++)
    mark (events[i].data.ptr);
  if (arrives_us == 0)
    g_source_set_ready_time (source, -1); /* all that was woken is marked */
  if (arrives_us >= 0)
    look_at_clock (front);
  /* Those that are woken meanwhile have their turn next time. */
  g_autoptr (GPtrArray) ready = g_steal_pointer (&front->ready);
  front->ready = g_ptr_array_new ();
  for (guint i = 0; i < ready->len; i++)
    {
      MhFrontGroup *group = g_ptr_array_index (ready, i);
      group->marked = false;
      group->arrives_us = -1;
      turn (group);
    }
  return G_SOURCE_CONTINUE;
}

static GSourceFuncs front_funcs = { .dispatch = dispatch };

static MhFrontGroup *
group_new (MhFront *front)
{
  MhFrontGroup *group = g_new0 (MhFrontGroup, 1);
  group->front = front;
  group->context = g_main_context_new ();
  group->watched = g_array_new (FALSE, FALSE, sizeof (GPollFD));
  group->arrives_us = -1;
  g_ptr_array_add (front->groups, group);
  g_ptr_array_add (front->vacant, group);
  return group;
}

/* Its last reference is gone. */
static void
closed (gpointer data, GObject *connection)
{
  MhFrontGroup *group = data;
  (void)connection;
  group->front->connections--;
  if (group->connections-- == GROUP_SIZE)
    g_ptr_array_add (group->front->vacant, group);
}

static gboolean
incoming (GSocketService *service, GSocketConnection *connection, GObject *source, gpointer data)
{
  MhFront *front = data;
  g_autoptr (GSocketAddress) local = g_socket_connection_get_local_address (connection, NULL);
  g_autoptr (GSocketAddress) remote = g_socket_connection_get_remote_address (connection, NULL);
  g_autoptr (GError) error = NULL;
  (void)service;
  (void)source;
  /* One that was reset before it was taken belongs to nobody any more; libsoup complains of it. */
  if (local == NULL || remote == NULL)
    return TRUE;
  g_socket_set_option (g_socket_connection_get_socket (connection), IPPROTO_TCP, TCP_NODELAY, 1,
                       NULL);
  MhFrontGroup *group = front->vacant->len
                            ? g_ptr_array_index (front->vacant, front->vacant->len - 1)
                            : group_new (front);
  if (++group->connections == GROUP_SIZE)
    g_ptr_array_set_size (front->vacant, (gint)front->vacant->len - 1);
  front->connections++;
  g_object_weak_ref (G_OBJECT (connection), closed, group);
  /* What has come already may be handled at once. */
  enter (group);
  if (!soup_server_accept_iostream (front->server, G_IO_STREAM (connection), local, remote, &error))
    g_info ("a connection was not taken: %s", error->message);
  leave (group);
  group->stale = true;
  mh_front_wake (group);
  return TRUE;
}

MhFront *
mh_front_new (SoupServer *server, GSocketAddress *address, guint connections, GError **error)
{
  g_autoptr (GSocketService) service = g_socket_service_new ();
  g_socket_listener_set_backlog (G_SOCKET_LISTENER (service), (int)connections);
  if (!g_socket_listener_add_address (G_SOCKET_LISTENER (service), address, G_SOCKET_TYPE_STREAM,
                                      G_SOCKET_PROTOCOL_TCP, NULL, NULL, error))
    return NULL;
  MhFront *front = (MhFront *)g_source_new (&front_funcs, sizeof (MhFront));
  front->server = server;
  front->most_connections = connections;
  front->service = g_steal_pointer (&service);
  front->epoll = epoll_create1 (EPOLL_CLOEXEC);
  front->groups = g_ptr_array_new ();
  front->vacant = g_ptr_array_new ();
  front->ready = g_ptr_array_new ();
  front->owners = g_hash_table_new (NULL, NULL);
  g_signal_connect (front->service, "incoming", G_CALLBACK (incoming), front);
  g_source_add_unix_fd (&front->source, front->epoll, G_IO_IN);
  g_source_attach (&front->source, NULL);
  return front;
}
