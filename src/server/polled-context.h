/* A main context to be iterated only when one of its descriptors is ready or a timeout is due. */
#pragma once

#include "server/epoll-watcher.h"

#include <glib.h>

/**
 * MhPolledContext:
 *
 * A #GMainContext whose descriptors are watched by a #MhEpollWatcher. It takes no processor time
 * while none of them is ready.
 */
typedef struct MhPolledContext MhPolledContext;

/**
 * MH_POLLED_CONTEXT_NOT_DUE:
 *
 * Result of mh_polled_context_iterate(): iterate again when a descriptor is ready.
 */
#define MH_POLLED_CONTEXT_NOT_DUE ((gint64)-1)

/**
 * MH_POLLED_CONTEXT_DUE_NOW:
 *
 * Result of mh_polled_context_iterate(): iterate again now, since a source is ready already.
 */
#define MH_POLLED_CONTEXT_DUE_NOW ((gint64)0)

/**
 * mh_polled_context_new:
 * @watcher: watches the context's descriptors; has to outlive the context
 * @owner: the owner under which the descriptors are added to @watcher
 *
 * Returns: (transfer full): a context without sources
 */
MhPolledContext *
mh_polled_context_new (MhEpollWatcher *watcher, gpointer owner);

/**
 * mh_polled_context_free:
 * @self: (nullable) (transfer full): a context without sources
 */
void
mh_polled_context_free (MhPolledContext *self);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (MhPolledContext, mh_polled_context_free)

/**
 * mh_polled_context_push:
 * @self: a context
 *
 * Makes @self the thread-default context: sources that are created until mh_polled_context_pop()
 * belong to it.
 */
void
mh_polled_context_push (MhPolledContext *self);

/**
 * mh_polled_context_pop:
 * @self: the context that was pushed last
 */
void
mh_polled_context_pop (MhPolledContext *self);

/**
 * mh_polled_context_invalidate_registrations:
 * @self: a context
 *
 * Makes the next iteration register all descriptors again. To be called when a connection is added:
 * its descriptor may have the number of a closed one, which the kernel has removed from the epoll
 * set.
 */
void
mh_polled_context_invalidate_registrations (MhPolledContext *self);

/**
 * mh_polled_context_iterate:
 * @self: a context
 *
 * Dispatches what is ready, with @self as the thread-default context, and then registers the
 * descriptors that the context waits for. The number of iterations is limited so that other
 * contexts have their turn.
 *
 * Returns: monotonic time in microseconds at which to iterate again even if no descriptor is ready;
 *   or #MH_POLLED_CONTEXT_DUE_NOW or #MH_POLLED_CONTEXT_NOT_DUE
 */
gint64
mh_polled_context_iterate (MhPolledContext *self);
