#include "server/peer-network.h"

#include "server/socket-address.h"
#include "protocol/controller-messages.h"

#include <string.h>

struct MhPeerNetwork
{
  const GPtrArray *members; /* MhMember */
  GSocketService *service;
  const MhPeerHandlers *handlers; /* from mh_peer_network_new() */
  gpointer user_data;
  GHashTable *outgoing; /* node -> MhPeerConnection, which owns the key string */
};

static void
on_message (MhPeerConnection *connection, const MhControllerMessage *message, gpointer data)
{
  MhPeerNetwork *self = data;
  self->handlers->message (connection, message, self->user_data);
}

static void
on_closed (MhPeerConnection *connection, gpointer data)
{
  MhPeerNetwork *self = data;
  const char *node = mh_peer_connection_get_node (connection);
  if (node && g_hash_table_lookup (self->outgoing, node) == connection)
    g_hash_table_remove (self->outgoing, node);
  self->handlers->closed (connection, self->user_data);
}

static const MhPeerHandlers connection_handlers = { .message = on_message, .closed = on_closed };

static gboolean
on_incoming (GSocketService *service, GSocketConnection *socket, GObject *source, gpointer data)
{
  (void)service;
  (void)source;
  mh_peer_connection_accept (socket, &connection_handlers, data);
  return TRUE;
}

MhPeerNetwork *
mh_peer_network_new (const GPtrArray *members, GSocketAddress *address,
                     const MhPeerHandlers *handlers, gpointer user_data, GError **error)
{
  g_return_val_if_fail (members != NULL && address != NULL, NULL);
  g_autoptr (GSocketService) service = g_socket_service_new ();
  if (!g_socket_listener_add_address (G_SOCKET_LISTENER (service), address, G_SOCKET_TYPE_STREAM,
                                      G_SOCKET_PROTOCOL_TCP, NULL, NULL, error))
    return NULL;
  MhPeerNetwork *self = g_new0 (MhPeerNetwork, 1);
  self->members = members;
  self->handlers = handlers;
  self->user_data = user_data;
  self->service = g_steal_pointer (&service);
  self->outgoing = g_hash_table_new (g_str_hash, g_str_equal);
  g_signal_connect (self->service, "incoming", G_CALLBACK (on_incoming), self);
  return self;
}

void
mh_peer_network_free (MhPeerNetwork *self)
{
  if (self == NULL)
    return;
  g_clear_object (&self->service);
  g_hash_table_unref (self->outgoing);
  g_free (self);
}

static GSocketAddress *
find_address (const MhPeerNetwork *self, const char *node)
{
  for (guint i = 0; i < self->members->len; i++)
    {
      const MhMember *member = g_ptr_array_index (self->members, i);
      if (strcmp (member->name, node) != 0)
        continue;
      GSocketAddress *address = mh_socket_address_parse (member->endpoint);
      if (address)
        return address;
    }
  return NULL;
}

MhPeerConnection *
mh_peer_network_get_connection (MhPeerNetwork *self, const char *node)
{
  MhPeerConnection *connection = g_hash_table_lookup (self->outgoing, node);
  if (connection)
    return connection;
  g_autoptr (GSocketAddress) address = find_address (self, node);
  if (address == NULL)
    return NULL;
  connection = mh_peer_connection_connect (node, address, &connection_handlers, self);
  g_hash_table_insert (self->outgoing, (gpointer)mh_peer_connection_get_node (connection),
                       connection);
  return connection;
}
