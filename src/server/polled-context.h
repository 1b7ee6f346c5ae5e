/* A main context that is iterated only when one of its descriptors is ready or a timeout is due. */
#pragma once

#include "server/epoll-watcher.h"

#include <glib.h>

/**
 * MhPolledContext:
 *
 * A #GMainContext of its own whose descriptors are watched by a #MhEpollWatcher, so that it costs
 * nothing while none of them is ready.
 */
typedef struct MhPolledContext MhPolledContext;

/**
 * MH_POLLED_CONTEXT_NOT_DUE:
 *
 * Result of mh_polled_context_iterate(): nothing to do before a descriptor is ready.
 */
#define MH_POLLED_CONTEXT_NOT_DUE ((gint64)-1)

/**
 * MH_POLLED_CONTEXT_DUE_NOW:
 *
 * Result of mh_polled_context_iterate(): more is ready already.
 */
#define MH_POLLED_CONTEXT_DUE_NOW ((gint64)0)

/**
 * mh_polled_context_new:
 * @watcher: watches the context's descriptors; has to outlive the context
 * @owner: owner of the descriptors as @watcher reports it
 *
 * Returns: (transfer full): a context without sources
 */
MhPolledContext *
mh_polled_context_new (MhEpollWatcher *watcher, gpointer owner);

/**
 * mh_polled_context_free:
 * @self: (nullable) (transfer full): a context whose sources are gone
 */
void
mh_polled_context_free (MhPolledContext *self);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (MhPolledContext, mh_polled_context_free)

/**
 * mh_polled_context_push:
 * @self: a context
 *
 * Makes it the thread's default: sources that are made until mh_polled_context_pop() belong to it.
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
 * mh_polled_context_descriptors_changed:
 * @self: a context
 *
 * To be called when a connection was added: its descriptor may have the number of a closed one,
 * which left the epoll set by itself. All are registered anew after the next iteration.
 */
void
mh_polled_context_descriptors_changed (MhPolledContext *self);

/**
 * mh_polled_context_iterate:
 * @self: a context
 *
 * Dispatches what is ready, a few times at most so that other contexts have their turn, and then
 * registers the descriptors that the context waits for. It is the thread's default meanwhile.
 *
 * Returns: monotonic time in microseconds at which to iterate again even when no descriptor is
 * ready, #MH_POLLED_CONTEXT_DUE_NOW, or #MH_POLLED_CONTEXT_NOT_DUE
 */
gint64
mh_polled_context_iterate (MhPolledContext *self);
