#include "server/request-forwarder.h"

#include "base/time-units.h"
#include "protocol/user-messages.h"
#include "protocol/controller-messages.h"
#include "server/main-loop-priority.h"

#include <libsoup/soup.h>
#include <string.h>

struct MhRequestForwarder
{
  MhPendingRequests *requests;
  MhForwardOutcomeFunc outcome;
  gpointer user_data;
};

/* Data of a time-out source. */
typedef struct
{
  MhRequestForwarder *forwarder;
  MhPendingRequest *request;
} ForwardTimeout;

MhRequestForwarder *
mh_request_forwarder_new (MhPendingRequests *requests, MhForwardOutcomeFunc outcome,
                          gpointer user_data)
{
  MhRequestForwarder *self = g_new0 (MhRequestForwarder, 1);
  self->requests = requests;
  self->outcome = outcome;
  self->user_data = user_data;
  return self;
}

void
mh_request_forwarder_free (MhRequestForwarder *self)
{
  g_free (self);
}

static void
report_failure (MhRequestForwarder *self, guint64 id)
{
  MhPendingRequest *request = mh_pending_requests_lookup (self->requests, id);
  if (request)
    request->forwarded_to = NULL;
  self->outcome (id, NULL, self->user_data);
}

static gboolean
on_timeout (gpointer data)
{
  const ForwardTimeout *timeout = data;
  MhRequestForwarder *self = timeout->forwarder;
  MhPendingRequest *request = timeout->request;
  MhPeerConnection *connection = request->forwarded_to;
  request->forward_timeout = 0;
  report_failure (self, request->id);
  /* A controller that does not answer in time may hang: the next request opens a new connection. */
  if (connection)
    mh_peer_connection_close (connection);
  return G_SOURCE_REMOVE;
}

void
mh_request_forwarder_send (MhRequestForwarder *self, MhPendingRequest *request,
                           MhPeerConnection *connection, gint64 timeout_us)
{
  ForwardTimeout *timeout = g_new0 (ForwardTimeout, 1);
  timeout->forwarder = self;
  timeout->request = request;
  request->forwarded_to = connection;
  request->forward_timeout
      = g_timeout_add_full (MH_PRIORITY_FORWARD_TIMEOUT, (guint)(timeout_us / MH_MILLISECOND_US),
                            on_timeout, timeout, g_free);
  mh_peer_connection_send (connection, mh_controller_request_encode (request->id, request->verb,
                                                                     request->job, request->body));
}

void
mh_request_forwarder_handle_response (MhRequestForwarder *self, MhPeerConnection *connection,
                                      const MhControllerMessage *message)
{
  MhPendingRequest *request = mh_pending_requests_lookup (self->requests, message->id);
  if (request == NULL || request->forwarded_to != connection)
    return;
  request->forwarded_to = NULL;
  self->outcome (request->id, &message->response, self->user_data);
}

void
mh_request_forwarder_handle_closed (MhRequestForwarder *self, MhPeerConnection *connection)
{
  g_autoptr (GArray) forwarded = mh_pending_requests_detach_connection (self->requests, connection);
  for (guint i = 0; i < forwarded->len; i++)
    report_failure (self, g_array_index (forwarded, guint64, i));
}

/* Returns NULL when the message's body is not a submission of the job that the message names. */
static MhJobSpec *
read_submission (const MhControllerMessage *message)
{
  gsize size;
  g_autoptr (GError) error = NULL;
  const void *data = g_bytes_get_data (message->body, &size);
  g_autoptr (MhValue) body = mh_value_parse (data, size, &error);
  g_autoptr (MhJobSpec) spec = body ? mh_submission_decode (body, &error) : NULL;
  if (spec && strcmp (spec->id, message->job) == 0)
    return g_steal_pointer (&spec);
  g_info ("malformed forwarded submission job=%s reason=%s", message->job,
          error ? error->message : "id: another job than the message names");
  return NULL;
}

MhPendingRequest *
mh_request_forwarder_receive (MhRequestForwarder *self, MhPeerConnection *connection,
                              const MhControllerMessage *message, MhJobSpec **spec)
{
  *spec = NULL;
  if (message->verb == MH_USER_SUBMIT)
    {
      *spec = read_submission (message);
      if (*spec == NULL)
        {
          const MhUserResponse refused = { .status = SOUP_STATUS_BAD_REQUEST };
          mh_peer_connection_send (connection,
                                   mh_controller_response_encode (message->id, &refused));
          return NULL;
        }
    }
  MhPendingRequest *request
      = mh_pending_requests_add_forwarded (self->requests, connection, message->id);
  request->verb = message->verb;
  request->job = g_strdup (message->job);
  return request;
}
