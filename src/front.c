#include "front.h"

#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <unistd.h>

/* Connections that share a context: a turn costs about as much for each as handling costs once. */
#define GROUP_SIZE 12u
/* Turns in a row, before others have theirs. */
#define TURNS 8u
#define UNWATCHED_MS 500

struct MhFrontGroup
{
  GSource source; /* of the main context; ready when any of the fds is */
  MhFront *front;
  GMainContext *context;
  int epoll;
  GArray *watched; /* GPollFD, as epoll has them */
  bool unwatched;  /* epoll refused one of them */
  bool stale;      /* a connection was added: a closed one's fd may have come back as another */
};

struct MhFront
{
  SoupServer *server;
  GSocketService *service;
  GPtrArray *groups;
  guint next;
  MhFrontGroup *current;
};

MhFrontGroup *
mh_front_current (const MhFront *front)
{
  return front->current;
}

void
mh_front_wake (MhFrontGroup *group)
{
  g_source_set_ready_time (&group->source, 0);
}

static guint32
epoll_events (gushort events)
{
  return (events & G_IO_IN ? EPOLLIN : 0u) | (events & G_IO_OUT ? EPOLLOUT : 0u)
         | (events & G_IO_PRI ? EPOLLPRI : 0u);
}

static void
control (MhFrontGroup *group, int operation, const GPollFD *fd)
{
  struct epoll_event event = { .events = epoll_events (fd->events), .data.fd = fd->fd };
  /* A closed fd has left by itself, and its number may be something else by now. One that cannot be
     watched is looked at now and then. */
  if (epoll_ctl (group->epoll, operation, fd->fd, &event) < 0 && operation != EPOLL_CTL_DEL)
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
  while (i < group->watched->len || j < n)
    {
      const GPollFD *old
          = i < group->watched->len ? &g_array_index (group->watched, GPollFD, i) : NULL;
      const GPollFD *now = j < n ? &fds[j] : NULL;
      if (now == NULL || (old && old->fd < now->fd))
        {
          control (group, EPOLL_CTL_DEL, old);
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
            control (group, EPOLL_CTL_DEL, old);
          if (group->stale || old->events != now->events)
            control (group, group->stale ? EPOLL_CTL_ADD : EPOLL_CTL_MOD, now);
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
  GPollFD some[8 * GROUP_SIZE];
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

/* Turns the context until nothing is ready, and keeps in mind what it waits for then. */
static void
turn (MhFrontGroup *group)
{
  Query q = { .room = G_N_ELEMENTS (q.some) };
  q.fds = q.some;
  if (!g_main_context_acquire (group->context))
    return;
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
  g_main_context_release (group->context);
  group->unwatched = false;
  watch (group, q.fds, (guint)q.n);
  if (group->unwatched)
    q.timeout_ms = q.timeout_ms < 0 ? UNWATCHED_MS : MIN (q.timeout_ms, UNWATCHED_MS);
  gint64 due_us = ready || q.timeout_ms == 0 ? 0
                  : q.timeout_ms < 0         ? -1
                                             : g_get_monotonic_time () + q.timeout_ms * 1000;
  g_source_set_ready_time (&group->source, due_us);
  g_free (q.more);
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

static gboolean
dispatch (GSource *source, GSourceFunc func, gpointer data)
{
  MhFrontGroup *group = (MhFrontGroup *)source;
  (void)func;
  (void)data;
  /* The events are taken even though the context looks for itself: where they are not, the set may
     go on being ready. */
  struct epoll_event events[GROUP_SIZE];
  gint64 due_us = g_source_get_ready_time (source);
  if (epoll_wait (group->epoll, events, GROUP_SIZE, 0) <= 0
      && (due_us < 0 || due_us > g_get_monotonic_time ()))
    return G_SOURCE_CONTINUE;
  g_source_set_ready_time (source, -1);
  enter (group);
  turn (group);
  leave (group);
  return G_SOURCE_CONTINUE;
}

static GSourceFuncs group_funcs = { .dispatch = dispatch };

static MhFrontGroup *
group_new (MhFront *front)
{
  MhFrontGroup *group = (MhFrontGroup *)g_source_new (&group_funcs, sizeof (MhFrontGroup));
  group->front = front;
  group->context = g_main_context_new ();
  group->epoll = epoll_create1 (EPOLL_CLOEXEC);
  group->watched = g_array_new (FALSE, FALSE, sizeof (GPollFD));
  g_source_add_unix_fd (&group->source, group->epoll, G_IO_IN);
  g_source_attach (&group->source, NULL);
  turn (group);
  return group;
}

static gboolean
incoming (GSocketService *service, GSocketConnection *connection, GObject *source, gpointer data)
{
  MhFront *front = data;
  MhFrontGroup *group = g_ptr_array_index (front->groups, front->next++ % front->groups->len);
  g_autoptr (GSocketAddress) local = g_socket_connection_get_local_address (connection, NULL);
  g_autoptr (GSocketAddress) remote = g_socket_connection_get_remote_address (connection, NULL);
  g_autoptr (GError) error = NULL;
  (void)service;
  (void)source;
  g_socket_set_option (g_socket_connection_get_socket (connection), IPPROTO_TCP, TCP_NODELAY, 1,
                       NULL);
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
  GSocketService *service = g_socket_service_new ();
  g_socket_listener_set_backlog (G_SOCKET_LISTENER (service), (int)connections);
  if (!g_socket_listener_add_address (G_SOCKET_LISTENER (service), address, G_SOCKET_TYPE_STREAM,
                                      G_SOCKET_PROTOCOL_TCP, NULL, NULL, error))
    {
      g_object_unref (service);
      return NULL;
    }
  MhFront *front = g_new0 (MhFront, 1);
  front->server = server;
  front->service = service;
  front->groups = g_ptr_array_new ();
  for (guint i = 0; i < MAX (1, connections / GROUP_SIZE); i++)
    g_ptr_array_add (front->groups, group_new (front));
  g_signal_connect (service, "incoming", G_CALLBACK (incoming), front);
  return front;
}
