/* A set of file descriptors watched by one epoll instance, each on behalf of an owner. */
#pragma once

#include <glib.h>
#include <stdbool.h>

/**
 * MhEpollWatcher:
 *
 * An epoll instance, level-triggered, that knows the owner of each descriptor.
 */
typedef struct MhEpollWatcher MhEpollWatcher;

/**
 * MhEpollReadyFunc:
 * @owner: owner of a descriptor that is ready
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
 * Returns: the epoll instance's own descriptor, readable while one of the set is ready; owned by
 *   @watcher
 */
int
mh_epoll_watcher_get_fd (const MhEpollWatcher *watcher);

/**
 * mh_epoll_watcher_add:
 * @watcher: a watcher
 * @poll_fd: a descriptor and the events that are waited for
 * @owner: whom to call when it is ready
 *
 * Returns: %FALSE when epoll refuses the descriptor; it then has to be polled by the caller
 */
bool
mh_epoll_watcher_add (MhEpollWatcher *watcher, const GPollFD *poll_fd, gpointer owner);

/**
 * mh_epoll_watcher_modify:
 * @watcher: a watcher
 * @poll_fd: a descriptor that was added, with other events
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
 * Does nothing when @poll_fd has another owner by now: a closed descriptor leaves the set by
 * itself, and its number may have been given to another connection since.
 */
void
mh_epoll_watcher_remove (MhEpollWatcher *watcher, const GPollFD *poll_fd, gpointer owner);

/**
 * mh_epoll_watcher_dispatch:
 * @watcher: a watcher
 * @ready: called for the owner of each descriptor that is ready
 *
 * Looks once, without waiting.
 */
void
mh_epoll_watcher_dispatch (MhEpollWatcher *watcher, MhEpollReadyFunc ready);
