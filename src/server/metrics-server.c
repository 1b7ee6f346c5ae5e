#include "server/metrics-server.h"

#include "server/http-daemon.h"

#include <string.h>

#define METRICS_PATH "/metrics"
#define METRICS_MEDIA_TYPE "text/plain; version=0.0.4; charset=utf-8"
/* A scraper needs one connection, for one request. */
#define MAX_CONNECTIONS 4u
#define IDLE_TIMEOUT_S 5u

struct MhMetricsServer
{
  MhMetricsFunc func;
  gpointer user_data;
  MhHttpDaemon *daemon;
};

static void
on_request (MhHttpExchange *exchange, gpointer data)
{
  const MhMetricsServer *self = data;
  g_autoptr (GBytes) body = NULL;
  /* A scraper that stays must not take the connection of the next one. */
  MhHttpResponse response = { .close = true };
  if (strcmp (mh_http_exchange_get_path (exchange), METRICS_PATH) != 0)
    response.status = MHD_HTTP_NOT_FOUND;
  else if (strcmp (mh_http_exchange_get_method (exchange), "GET") != 0)
    {
      response.status = MHD_HTTP_METHOD_NOT_ALLOWED;
      response.allow = "GET";
    }
  else
    {
      char *text = self->func (self->user_data);
      body = g_bytes_new_take (text, strlen (text));
      response.status = MHD_HTTP_OK;
      response.body = body;
      response.media_type = METRICS_MEDIA_TYPE;
    }
  mh_http_exchange_respond (exchange, &response);
}

MhMetricsServer *
mh_metrics_server_new (GSocketAddress *address, MhMetricsFunc func, gpointer user_data,
                       GError **error)
{
  g_return_val_if_fail (address != NULL && func != NULL, NULL);
  const MhHttpLimits limits
      = { .max_connections = MAX_CONNECTIONS, .idle_timeout_s = IDLE_TIMEOUT_S };
  MhMetricsServer *self = g_new0 (MhMetricsServer, 1);
  self->func = func;
  self->user_data = user_data;
  self->daemon = mh_http_daemon_new (address, &limits, on_request, self, error);
  if (self->daemon == NULL)
    g_clear_pointer (&self, g_free);
  return self;
}

void
mh_metrics_server_free (MhMetricsServer *self)
{
  if (self == NULL)
    return;
  mh_http_daemon_free (self->daemon);
  g_free (self);
}
