#include "server/epoll-watcher.h"

#include <errno.h>
#include <sys/epoll.h>
#include <unistd.h>

/* Events taken from one epoll_wait(). The epoll set is level-triggered: descriptors beyond these
   are reported by the next call. */
#define MAX_EVENTS 64

struct MhEpollWatcher
{
  int epoll_fd;
  GHashTable *owners; /* descriptor -> owner */
};

MhEpollWatcher *
mh_epoll_watcher_new (void)
{
  MhEpollWatcher *watcher = g_new0 (MhEpollWatcher, 1);
  watcher->epoll_fd = epoll_create1 (EPOLL_CLOEXEC);
  watcher->owners = g_hash_table_new (NULL, NULL);
  return watcher;
}

void
mh_epoll_watcher_free (MhEpollWatcher *watcher)
{
  if (watcher == NULL)
    return;
  close (watcher->epoll_fd);
  g_hash_table_unref (watcher->owners);
  g_free (watcher);
}

int
mh_epoll_watcher_get_fd (const MhEpollWatcher *watcher)
{
  return watcher->epoll_fd;
}

static guint32
to_epoll_events (gushort events)
{
  guint32 result = 0;
  if (events & G_IO_IN)
    result |= EPOLLIN;
  if (events & G_IO_OUT)
    result |= EPOLLOUT;
  if (events & G_IO_PRI)
    result |= EPOLLPRI;
  return result;
}

static bool
control_descriptor (MhEpollWatcher *watcher, int operation, const GPollFD *poll_fd, gpointer owner)
{
  struct epoll_event event = { .events = to_epoll_events (poll_fd->events), .data.ptr = owner };
  if (epoll_ctl (watcher->epoll_fd, operation, poll_fd->fd, &event) != 0)
    {
      g_debug ("epoll cannot watch descriptor fd=%d error=%s", poll_fd->fd, g_strerror (errno));
      return false;
    }
  g_hash_table_insert (watcher->owners, GINT_TO_POINTER (poll_fd->fd), owner);
  return true;
}

bool
mh_epoll_watcher_add (MhEpollWatcher *watcher, const GPollFD *poll_fd, gpointer owner)
{
  return control_descriptor (watcher, EPOLL_CTL_ADD, poll_fd, owner);
}

bool
mh_epoll_watcher_modify (MhEpollWatcher *watcher, const GPollFD *poll_fd, gpointer owner)
{
  return control_descriptor (watcher, EPOLL_CTL_MOD, poll_fd, owner);
}

void
mh_epoll_watcher_remove (MhEpollWatcher *watcher, const GPollFD *poll_fd, gpointer owner)
{
  gpointer key = GINT_TO_POINTER (poll_fd->fd);
  if (g_hash_table_lookup (watcher->owners, key) != owner)
    return;
  g_hash_table_remove (watcher->owners, key);
  epoll_ctl (watcher->epoll_fd, EPOLL_CTL_DEL, poll_fd->fd, NULL);
}

void
mh_epoll_watcher_dispatch (MhEpollWatcher *watcher, MhEpollReadyFunc ready)
{
  struct epoll_event events[MAX_EVENTS];
  int n_events = epoll_wait (watcher->epoll_fd, events, MAX_EVENTS, 0);
  for (int i = 0; i < n_events; i++)
    ready (events[i].data.ptr);
}
