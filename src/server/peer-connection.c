#include "server/peer-connection.h"

#include "server/main-loop-priority.h"
#include "server/socket-keepalive.h"

#include <netinet/in.h>
#include <netinet/tcp.h>

#define READ_SIZE 8192u

/* Reference-counted: one reference until it is closed, and one for each pending operation. */
struct MhPeerConnection
{
  const MhPeerHandlers *handlers;
  gpointer user_data;
  char *node;                /* NULL: the other controller connected */
  GSocketConnection *socket; /* NULL while connecting */
  GCancellable *cancellable; /* for all operations */
  GByteArray *input;         /* received and not yet decoded */
  GByteArray *output;        /* to be sent after `writing` */
  GByteArray *writing;       /* NULL: no write is pending */
  guint8 read_buffer[READ_SIZE];
  bool closed;
};

static void
connection_clear (gpointer data)
{
  MhPeerConnection *self = data;
  g_clear_object (&self->socket);
  g_clear_object (&self->cancellable);
  g_byte_array_unref (self->input);
  g_byte_array_unref (self->output);
  g_clear_pointer (&self->writing, g_byte_array_unref);
  g_free (self->node);
}

static MhPeerConnection *
connection_ref (MhPeerConnection *self)
{
  return g_rc_box_acquire (self);
}

static void
connection_unref (MhPeerConnection *self)
{
  g_rc_box_release_full (self, connection_clear);
}
G_DEFINE_AUTOPTR_CLEANUP_FUNC (MhPeerConnection, connection_unref)

static MhPeerConnection *
connection_new (const char *node, const MhPeerHandlers *handlers, gpointer user_data)
{
  MhPeerConnection *self = g_rc_box_new0 (MhPeerConnection);
  self->handlers = handlers;
  self->user_data = user_data;
  self->node = g_strdup (node);
  self->input = g_byte_array_new ();
  self->output = g_byte_array_new ();
  self->cancellable = g_cancellable_new ();
  return self;
}

const char *
mh_peer_connection_get_node (const MhPeerConnection *self)
{
  return self->node;
}

bool
mh_peer_connection_has_queued_output (const MhPeerConnection *self)
{
  return self->output->len > 0;
}

void
mh_peer_connection_close (MhPeerConnection *self)
{
  if (self->closed)
    return;
  self->closed = true;
  g_cancellable_cancel (self->cancellable);
  self->handlers->closed (self, self->user_data);
  connection_unref (self);
}

static void
flush (MhPeerConnection *self);

static void
on_written (GObject *source, GAsyncResult *result, gpointer data)
{
  g_autoptr (MhPeerConnection) self = data;
  g_clear_pointer (&self->writing, g_byte_array_unref);
  if (!g_output_stream_write_all_finish (G_OUTPUT_STREAM (source), result, NULL, NULL))
    mh_peer_connection_close (self);
  else
    flush (self);
}

static void
flush (MhPeerConnection *self)
{
  if (self->closed || self->socket == NULL || self->writing || self->output->len == 0)
    return;
  self->writing = g_steal_pointer (&self->output);
  self->output = g_byte_array_new ();
  g_output_stream_write_all_async (g_io_stream_get_output_stream (G_IO_STREAM (self->socket)),
                                   self->writing->data, self->writing->len, MH_PRIORITY_REQUEST,
                                   self->cancellable, on_written, connection_ref (self));
}

void
mh_peer_connection_send (MhPeerConnection *self, GByteArray *record)
{
  g_return_if_fail (self != NULL);
  if (record == NULL)
    return;
  g_byte_array_append (self->output, record->data, record->len);
  g_byte_array_unref (record);
  flush (self);
}

/* Passes each complete record in `input` to the message handler, which may close the connection. */
static void
handle_input (MhPeerConnection *self)
{
  while (!self->closed)
    {
      MhControllerMessage message;
      g_autoptr (GError) error = NULL;
      MhControllerReadResult outcome = mh_controller_message_read (self->input, &message, &error);
      if (outcome == MH_CONTROLLER_READ_INCOMPLETE)
        return;
      if (outcome == MH_CONTROLLER_READ_MALFORMED)
        {
          g_info ("peer connection closed reason=malformed message problem=%s", error->message);
          mh_peer_connection_close (self);
          return;
        }
      self->handlers->message (self, &message, self->user_data);
      mh_controller_message_clear (&message);
    }
}

static void
start_read (MhPeerConnection *self);

static void
on_read (GObject *source, GAsyncResult *result, gpointer data)
{
  g_autoptr (MhPeerConnection) self = data;
  gssize size = g_input_stream_read_finish (G_INPUT_STREAM (source), result, NULL);
  if (self->closed)
    return;
  if (size <= 0)
    {
      mh_peer_connection_close (self);
      return;
    }
  g_byte_array_append (self->input, self->read_buffer, (guint)size);
  handle_input (self);
  if (!self->closed)
    start_read (self);
}

static void
start_read (MhPeerConnection *self)
{
  g_input_stream_read_async (g_io_stream_get_input_stream (G_IO_STREAM (self->socket)),
                             self->read_buffer, sizeof self->read_buffer, MH_PRIORITY_REQUEST,
                             self->cancellable, on_read, connection_ref (self));
}

static void
start (MhPeerConnection *self, GSocketConnection *socket)
{
  GSocket *tcp_socket = g_socket_connection_get_socket (socket);
  self->socket = g_object_ref (socket);
  g_socket_set_option (tcp_socket, IPPROTO_TCP, TCP_NODELAY, 1, NULL);
  mh_socket_enable_keepalive (g_socket_get_fd (tcp_socket));
  start_read (self);
  flush (self);
}

MhPeerConnection *
mh_peer_connection_accept (GSocketConnection *socket, const MhPeerHandlers *handlers,
                           gpointer user_data)
{
  g_return_val_if_fail (G_IS_SOCKET_CONNECTION (socket), NULL);
  MhPeerConnection *self = connection_new (NULL, handlers, user_data);
  start (self, socket);
  return self;
}

static void
on_connected (GObject *source, GAsyncResult *result, gpointer data)
{
  g_autoptr (MhPeerConnection) self = data;
  g_autoptr (GError) error = NULL;
  g_autoptr (GSocketConnection) socket
      = g_socket_client_connect_finish (G_SOCKET_CLIENT (source), result, &error);
  if (self->closed)
    return;
  if (socket)
    {
      start (self, socket);
      return;
    }
  g_debug ("cannot connect to peer node=%s error=%s", self->node, error->message);
  mh_peer_connection_close (self);
}

MhPeerConnection *
mh_peer_connection_connect (const char *node, GSocketAddress *address,
                            const MhPeerHandlers *handlers, gpointer user_data)
{
  g_return_val_if_fail (node != NULL, NULL);
  g_return_val_if_fail (G_IS_SOCKET_ADDRESS (address), NULL);
  MhPeerConnection *self = connection_new (node, handlers, user_data);
  g_autoptr (GSocketClient) client = g_socket_client_new ();
  g_socket_client_set_enable_proxy (client, FALSE);
  g_socket_client_connect_async (client, G_SOCKET_CONNECTABLE (address), self->cancellable,
                                 on_connected, connection_ref (self));
  return self;
}
