#include "server/http-listener.h"

#include "server/epoll-watcher.h"
#include "server/polled-context.h"

#include <netinet/in.h>
#include <netinet/tcp.h>

/* Connections that share a main context. */
#define CONNECTIONS_PER_GROUP 4u
/* Share of the allowed connections up to which connections of workers are kept open after a
   response. The rest is reserved for users and for new connections. */
#define WORKER_KEEP_ALIVE_SHARE 0.6

struct MhConnectionGroup
{
  MhHttpListener *listener;
  MhPolledContext *context;
  guint connections; /* open ones */
  gint64 due_us;     /* time of the next iteration; MH_POLLED_CONTEXT_NOT_DUE: when a descriptor is
                        ready */
  bool is_ready;     /* it is in the listener's list `ready` */
};

/* One source of the default main context iterates all groups. */
struct MhHttpListener
{
  GSource source;
  SoupServer *server;
  GSocketService *service;
  MhEpollWatcher *watcher;
  GPtrArray *groups; /* MhConnectionGroup, owned; a group without connections is kept for reuse */
  GPtrArray *groups_with_room; /* MhConnectionGroup, below CONNECTIONS_PER_GROUP connections */
  GPtrArray *ready;            /* MhConnectionGroup, to be iterated */
  MhConnectionGroup *current;  /* being iterated, or getting a new connection; NULL: none */
  guint connections;           /* open ones */
  guint max_connections;
};

bool
mh_http_listener_is_near_connection_limit (const MhHttpListener *self)
{
  return self->connections > WORKER_KEEP_ALIVE_SHARE * self->max_connections;
}

guint
mh_http_listener_count_connections (const MhHttpListener *self)
{
  return self->connections;
}

MhConnectionGroup *
mh_http_listener_get_current_group (const MhHttpListener *self)
{
  return self->current;
}

static void
schedule (MhConnectionGroup *group, gint64 due_us)
{
  GSource *source = &group->listener->source;
  gint64 next_us = g_source_get_ready_time (source);
  group->due_us = due_us;
  if (next_us < 0 || due_us < next_us)
    g_source_set_ready_time (source, due_us);
}

static void
mark_ready (gpointer owner)
{
  MhConnectionGroup *group = owner;
  if (!group->is_ready)
    g_ptr_array_add (group->listener->ready, group);
  group->is_ready = true;
}

void
mh_connection_group_wake (MhConnectionGroup *group)
{
  mark_ready (group);
  schedule (group, MH_POLLED_CONTEXT_DUE_NOW);
}

static void
iterate_group (MhConnectionGroup *group)
{
  MhHttpListener *listener = group->listener;
  group->is_ready = false;
  group->due_us = MH_POLLED_CONTEXT_NOT_DUE;
  listener->current = group;
  gint64 due_us = mh_polled_context_iterate (group->context);
  listener->current = NULL;
  /* The group may have been woken during the iteration. When the context is not due, that wake-up
     is kept. */
  if (due_us == MH_POLLED_CONTEXT_DUE_NOW)
    mh_connection_group_wake (group);
  else if (due_us != MH_POLLED_CONTEXT_NOT_DUE)
    schedule (group, due_us);
}

static void
mark_due_groups (MhHttpListener *listener)
{
  gint64 now_us = g_get_monotonic_time ();
  gint64 next_us = MH_POLLED_CONTEXT_NOT_DUE;
  for (guint i = 0; i < listener->groups->len; i++)
    {
      MhConnectionGroup *group = g_ptr_array_index (listener->groups, i);
      if (group->due_us < 0)
        continue;
      if (group->due_us <= now_us)
        mark_ready (group);
      else if (next_us < 0 || group->due_us < next_us)
        next_us = group->due_us;
    }
  g_source_set_ready_time (&listener->source, next_us);
}

static gboolean
dispatch (GSource *source, GSourceFunc callback, gpointer user_data)
{
  MhHttpListener *listener = (MhHttpListener *)source;
  gint64 due_us = g_source_get_ready_time (source);
  (void)callback;
  (void)user_data;
  mh_epoll_watcher_dispatch (listener->watcher, mark_ready);
  if (due_us == MH_POLLED_CONTEXT_DUE_NOW) /* woken groups are in the list already */
    g_source_set_ready_time (source, MH_POLLED_CONTEXT_NOT_DUE);
  if (due_us >= 0)
    mark_due_groups (listener);
  /* Groups that are woken during these iterations are added to the new list and iterated in the
     next dispatch. */
  g_autoptr (GPtrArray) ready = g_steal_pointer (&listener->ready);
  listener->ready = g_ptr_array_new ();
  for (guint i = 0; i < ready->len; i++)
    iterate_group (g_ptr_array_index (ready, i));
  return G_SOURCE_CONTINUE;
}

static void
group_free (gpointer data)
{
  MhConnectionGroup *group = data;
  mh_polled_context_free (group->context);
  g_free (group);
}

static void
finalize (GSource *source)
{
  MhHttpListener *listener = (MhHttpListener *)source;
  g_object_unref (listener->service);
  g_ptr_array_unref (listener->groups_with_room);
  g_ptr_array_unref (listener->ready);
  g_ptr_array_unref (listener->groups);
  mh_epoll_watcher_free (listener->watcher);
}

static GSourceFuncs listener_funcs = { .dispatch = dispatch, .finalize = finalize };

static MhConnectionGroup *
group_new (MhHttpListener *listener)
{
  MhConnectionGroup *group = g_new0 (MhConnectionGroup, 1);
  group->listener = listener;
  group->context = mh_polled_context_new (listener->watcher, group);
  group->due_us = MH_POLLED_CONTEXT_NOT_DUE;
  g_ptr_array_add (listener->groups, group);
  g_ptr_array_add (listener->groups_with_room, group);
  return group;
}

/* Returns a group with room for one more connection, and counts the connection. */
static MhConnectionGroup *
assign_connection_to_group (MhHttpListener *listener)
{
  GPtrArray *groups_with_room = listener->groups_with_room;
  MhConnectionGroup *group = groups_with_room->len
                                 ? g_ptr_array_index (groups_with_room, groups_with_room->len - 1)
                                 : group_new (listener);
  group->connections++;
  if (group->connections == CONNECTIONS_PER_GROUP)
    g_ptr_array_set_size (groups_with_room, (gint)groups_with_room->len - 1);
  listener->connections++;
  return group;
}

/* Runs when the last reference to the connection is dropped. */
static void
on_connection_closed (gpointer data, GObject *connection)
{
  MhConnectionGroup *group = data;
  (void)connection;
  if (group->connections == CONNECTIONS_PER_GROUP)
    g_ptr_array_add (group->listener->groups_with_room, group);
  group->connections--;
  group->listener->connections--;
}

static gboolean
on_incoming (GSocketService *service, GSocketConnection *connection, GObject *source, gpointer data)
{
  MhHttpListener *listener = data;
  g_autoptr (GSocketAddress) local = g_socket_connection_get_local_address (connection, NULL);
  g_autoptr (GSocketAddress) remote = g_socket_connection_get_remote_address (connection, NULL);
  g_autoptr (GError) error = NULL;
  (void)service;
  (void)source;
  /* A connection that was reset before it was accepted has no addresses, and libsoup logs a
     critical message for a connection without them. */
  if (local == NULL || remote == NULL)
    return TRUE;
  g_socket_set_option (g_socket_connection_get_socket (connection), IPPROTO_TCP, TCP_NODELAY, 1,
                       NULL);
  MhConnectionGroup *group = assign_connection_to_group (listener);
  g_object_weak_ref (G_OBJECT (connection), on_connection_closed, group);
  /* soup_server_accept_iostream() may handle a request that has already arrived. */
  listener->current = group;
  mh_polled_context_push (group->context);
  if (!soup_server_accept_iostream (listener->server, G_IO_STREAM (connection), local, remote,
                                    &error))
    g_info ("cannot accept connection error=%s", error->message);
  mh_polled_context_pop (group->context);
  listener->current = NULL;
  mh_polled_context_invalidate_registrations (group->context);
  mh_connection_group_wake (group);
  return TRUE;
}

MhHttpListener *
mh_http_listener_new (SoupServer *server, GSocketAddress *address, guint max_connections,
                      GError **error)
{
  g_return_val_if_fail (server != NULL && address != NULL, NULL);
  g_autoptr (GSocketService) service = g_socket_service_new ();
  g_socket_listener_set_backlog (G_SOCKET_LISTENER (service), (int)max_connections);
  if (!g_socket_listener_add_address (G_SOCKET_LISTENER (service), address, G_SOCKET_TYPE_STREAM,
                                      G_SOCKET_PROTOCOL_TCP, NULL, NULL, error))
    return NULL;
  MhHttpListener *self = (MhHttpListener *)g_source_new (&listener_funcs, sizeof (MhHttpListener));
  self->server = server;
  self->max_connections = max_connections;
  self->service = g_steal_pointer (&service);
  self->watcher = mh_epoll_watcher_new ();
  self->groups = g_ptr_array_new_with_free_func (group_free);
  self->groups_with_room = g_ptr_array_new ();
  self->ready = g_ptr_array_new ();
  g_signal_connect (self->service, "incoming", G_CALLBACK (on_incoming), self);
  g_source_add_unix_fd (&self->source, mh_epoll_watcher_get_fd (self->watcher), G_IO_IN);
  g_source_attach (&self->source, NULL);
  return self;
}

void
mh_http_listener_free (MhHttpListener *self)
{
  if (self == NULL)
    return;
  g_signal_handlers_disconnect_by_data (self->service, self);
  g_source_destroy (&self->source);
  g_source_unref (&self->source);
}
