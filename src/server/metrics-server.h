/* The endpoint GET /metrics, on an address of its own that only the operator's file sets. It is
   separate from the address for users and workers: what reads the metrics takes none of their
   connections. */
#pragma once

#include <gio/gio.h>

/** MhMetricsServer: the endpoint */
typedef struct MhMetricsServer MhMetricsServer;

/** MhMetricsFunc: Returns: (transfer full): the metrics in the text exposition format */
typedef char *(*MhMetricsFunc) (gpointer user_data);

/**
 * mh_metrics_server_new:
 * @address: where to listen
 * @func: called for each request
 * @user_data: passed to @func
 * @error: return location for a #GError of GIO
 *
 * Returns: (transfer full) (nullable): an endpoint, or %NULL with @error when it cannot listen
 */
MhMetricsServer *
mh_metrics_server_new (GSocketAddress *address, MhMetricsFunc func, gpointer user_data,
                       GError **error);

/**
 * mh_metrics_server_free:
 * @self: (nullable) (transfer full): an endpoint
 */
void
mh_metrics_server_free (MhMetricsServer *self);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (MhMetricsServer, mh_metrics_server_free)
