/* Messages between controllers, in XDR (controller_messages.x): users' requests that are forwarded
   to the leader, the responses, and leader announcements. */
#pragma once

#include "protocol/protocol-error.h"
#include "protocol/user-messages.h"

/**
 * MhControllerMessageKind:
 * @MH_CONTROLLER_REQUEST: a user's request, forwarded to the leader
 * @MH_CONTROLLER_RESPONSE: the leader's response to the user
 * @MH_CONTROLLER_ANNOUNCEMENT: the sender announces that it is the leader; only a hint, which must
 *   not be relied on
 *
 * The kind of a message between controllers.
 */
typedef enum
{
  MH_CONTROLLER_REQUEST,
  MH_CONTROLLER_RESPONSE,
  MH_CONTROLLER_ANNOUNCEMENT
} MhControllerMessageKind;

/**
 * MhControllerMessage:
 * @kind: kind of the message
 * @id: request id, chosen by the sender of the request; requests and responses only
 * @verb: operation that the user requests; requests only
 * @job: (nullable): job id; requests only
 * @body: (nullable): body of the submission, may be empty; requests only
 * @response: the response to the user; responses only
 * @node: (nullable): name of the leader's node; announcements only
 * @epoch: leadership epoch; announcements only
 *
 * A message between controllers. Free its contents with mh_controller_message_clear().
 */
typedef struct
{
  MhControllerMessageKind kind;
  guint64 id;
  MhUserVerb verb;
  char *job;
  GBytes *body;
  MhUserResponse response;
  char *node;
  guint64 epoch;
} MhControllerMessage;

/**
 * mh_controller_message_clear:
 * @message: a message
 *
 * Frees the contents of @message.
 */
void
mh_controller_message_clear (MhControllerMessage *message);
G_DEFINE_AUTO_CLEANUP_CLEAR_FUNC (MhControllerMessage, mh_controller_message_clear)

/**
 * mh_controller_request_encode:
 * @id: request id, which the response repeats
 * @verb: operation that the user requests
 * @job: job id
 * @body: (nullable): body of the submission
 *
 * Returns: (transfer full) (nullable): a record with its length prefix, or %NULL when @job or @body
 *   exceeds its limit
 */
GByteArray *
mh_controller_request_encode (guint64 id, MhUserVerb verb, const char *job, GBytes *body);

/**
 * mh_controller_response_encode:
 * @id: request id
 * @response: the response to the user
 *
 * Returns: (transfer full): a record with its length prefix
 */
GByteArray *
mh_controller_response_encode (guint64 id, const MhUserResponse *response);

/**
 * mh_controller_announcement_encode:
 * @node: name of the leader's node
 * @epoch: leadership epoch
 *
 * Returns: (transfer full) (nullable): a record with its length prefix, or %NULL when @node is too
 *   long
 */
GByteArray *
mh_controller_announcement_encode (const char *node, guint64 epoch);

/**
 * MhControllerReadResult:
 * @MH_CONTROLLER_READ_INCOMPLETE: the buffer does not hold a complete record yet
 * @MH_CONTROLLER_READ_MESSAGE: a message was read
 * @MH_CONTROLLER_READ_MALFORMED: the record is invalid; the connection must be closed
 *
 * The result of reading a message from a buffer.
 */
typedef enum
{
  MH_CONTROLLER_READ_INCOMPLETE,
  MH_CONTROLLER_READ_MESSAGE,
  MH_CONTROLLER_READ_MALFORMED
} MhControllerReadResult;

/**
 * mh_controller_message_read:
 * @buffer: bytes that were received and not read yet
 * @message: (out): the message; valid for %MH_CONTROLLER_READ_MESSAGE only
 * @error: (nullable): return location for an error of %MH_PROTOCOL_ERROR, for
 *   %MH_CONTROLLER_READ_MALFORMED only
 *
 * Removes the first record from @buffer and decodes it, if it is complete. A length prefix above
 * the maximum size of a record is rejected immediately, before further bytes are received.
 *
 * Returns: whether a message was read
 */
MhControllerReadResult
mh_controller_message_read (GByteArray *buffer, MhControllerMessage *message, GError **error);
