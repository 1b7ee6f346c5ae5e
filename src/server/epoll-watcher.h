/* A set of file descriptors that one epoll instance watches. Each descriptor has an owner. */
#pragma once

#include <glib.h>
#include <stdbool.h>

/**
 * MhEpollWatcher:
 *
 * A level-triggered epoll instance and the owner of each descriptor in its set.
 */
typedef struct MhEpollWatcher MhEpollWatcher;

/**
 * MhEpollReadyFunc:
 * @owner: the owner of a descriptor that is ready
 *
 * Called once for each ready descriptor.
 */
typedef void (*MhEpollReadyFunc) (gpointer owner);

/**
 * mh_epoll_watcher_new:
 *
 * Returns: (transfer full): a watcher without descriptors
 */
MhEpollWatcher *
mh_epoll_watcher_new (void);

/**
 * mh_epoll_watcher_free:
 * @watcher: (nullable) (transfer full): a watcher
 */
void
mh_epoll_watcher_free (MhEpollWatcher *watcher);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (MhEpollWatcher, mh_epoll_watcher_free)

/**
 * mh_epoll_watcher_get_fd:
 * @watcher: a watcher
 *
 * Returns: (transfer none): the descriptor of the epoll instance, which is readable while a
 *   descriptor of the set is ready
 */
int
mh_epoll_watcher_get_fd (const MhEpollWatcher *watcher);

/**
 * mh_epoll_watcher_add:
 * @watcher: a watcher
 * @poll_fd: a descriptor and the events to wait for
 * @owner: passed to the #MhEpollReadyFunc when the descriptor is ready
 *
 * Returns: %FALSE when epoll refuses the descriptor; the caller then has to poll it
 */
bool
mh_epoll_watcher_add (MhEpollWatcher *watcher, const GPollFD *poll_fd, gpointer owner);

/**
 * mh_epoll_watcher_modify:
 * @watcher: a watcher
 * @poll_fd: a descriptor that was added, with the new events to wait for
 * @owner: its owner
 *
 * Returns: %FALSE when epoll refuses the change
 */
bool
mh_epoll_watcher_modify (MhEpollWatcher *watcher, const GPollFD *poll_fd, gpointer owner);

/**
 * mh_epoll_watcher_remove:
 * @watcher: a watcher
 * @poll_fd: a descriptor that was added
 * @owner: its owner when it was added
 *
 * Does nothing when the number of @poll_fd has another owner now: the kernel removes a closed
 * descriptor from the set and may reuse its number for another connection.
 */
void
mh_epoll_watcher_remove (MhEpollWatcher *watcher, const GPollFD *poll_fd, gpointer owner);

/**
 * mh_epoll_watcher_dispatch:
 * @watcher: a watcher
 * @ready: called for the owner of each descriptor that is ready
 *
 * Queries the epoll instance once, without waiting.
 */
void
mh_epoll_watcher_dispatch (MhEpollWatcher *watcher, MhEpollReadyFunc ready);
