/* Listens for HTTP connections, as a source of the main loop. libmicrohttpd reads requests and
   keeps, limits and closes connections. */
#pragma once

#include "server/http-exchange.h"

/**
 * MhHttpDaemon:
 *
 * A listening socket and the open connections that it accepted. A connection stays open until one
 * side closes it, a response closes it, the other side does not answer TCP keepalive probes, or the
 * idle time-out is over.
 */
typedef struct MhHttpDaemon MhHttpDaemon;

/**
 * MhHttpLimits:
 * @max_connections: limit of open connections; further ones wait until one is closed
 * @idle_timeout_s: time without data after which a connection is closed; 0: unlimited
 *
 * Limits of a daemon.
 */
typedef struct
{
  guint max_connections;
  guint idle_timeout_s;
} MhHttpLimits;

/**
 * MhHttpRequestFunc:
 * @exchange: (transfer none): an exchange whose request is complete; valid until it has a response
 * @user_data: data of the caller
 *
 * Called for each request. The response may be given during the call or later.
 */
typedef void (*MhHttpRequestFunc) (MhHttpExchange *exchange, gpointer user_data);

/**
 * mh_http_daemon_new:
 * @address: where to listen
 * @limits: limits of its connections
 * @func: called for each request
 * @user_data: passed to @func
 * @error: return location for a #GError of GIO
 *
 * Returns: (transfer full) (nullable): a daemon that listens, as a source of the default main
 *   context; or %NULL with @error when it cannot listen
 */
MhHttpDaemon *
mh_http_daemon_new (GSocketAddress *address, const MhHttpLimits *limits, MhHttpRequestFunc func,
                    gpointer user_data, GError **error);

/**
 * mh_http_daemon_free:
 * @self: (nullable) (transfer full): a daemon
 *
 * Closes all connections. Exchanges without a response get none.
 */
void
mh_http_daemon_free (MhHttpDaemon *self);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (MhHttpDaemon, mh_http_daemon_free)

/**
 * mh_http_daemon_get_input_read_us:
 * @self: a daemon
 *
 * Returns: a monotonic time in microseconds, by which all connections and requests that had arrived
 *   had also been read: the last time at which the main loop found none waiting
 */
gint64
mh_http_daemon_get_input_read_us (const MhHttpDaemon *self);

/**
 * mh_http_daemon_count_connections:
 * @self: a daemon
 *
 * Returns: the number of open connections
 */
guint
mh_http_daemon_count_connections (const MhHttpDaemon *self);
