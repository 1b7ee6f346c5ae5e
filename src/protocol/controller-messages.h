/* Messages between controllers, in XDR (controller_messages.x): users' requests on their way to the
   leader, the responses, and announcements of the leader. */
#pragma once

#include "protocol/protocol-error.h"
#include "protocol/user-messages.h"

/**
 * MhControllerMessageKind:
 * @MH_CONTROLLER_REQUEST: a user's request, handed to the leader
 * @MH_CONTROLLER_RESPONSE: what the leader answers the user
 * @MH_CONTROLLER_ANNOUNCEMENT: the sender leads: a hint, never a proof
 *
 * What a message between controllers is.
 */
typedef enum
{
  MH_CONTROLLER_REQUEST,
  MH_CONTROLLER_RESPONSE,
  MH_CONTROLLER_ANNOUNCEMENT
} MhControllerMessageKind;

/**
 * MhControllerMessage:
 * @kind: what it is
 * @id: number of the request, chosen by its sender; requests and responses
 * @verb: what the user asks for; requests
 * @job: (nullable): id of the job; requests
 * @body: (nullable): body of the submission, perhaps empty; requests
 * @answer: the answer; responses
 * @node: (nullable): the node that leads; announcements
 * @epoch: its leadership epoch; announcements
 *
 * A message between controllers, to be cleared with mh_controller_message_clear().
 */
typedef struct
{
  MhControllerMessageKind kind;
  guint64 id;
  MhUserVerb verb;
  char *job;
  GBytes *body;
  MhUserAnswer answer;
  char *node;
  guint64 epoch;
} MhControllerMessage;

/**
 * mh_controller_message_clear:
 * @message: a message
 *
 * Frees what it owns.
 */
void
mh_controller_message_clear (MhControllerMessage *message);
G_DEFINE_AUTO_CLEANUP_CLEAR_FUNC (MhControllerMessage, mh_controller_message_clear)

/**
 * mh_controller_request_encode:
 * @id: number of the request, which the response carries too
 * @verb: what the user asks for
 * @job: id of the job
 * @body: (nullable): body of the submission
 *
 * Returns: (transfer full) (nullable): a whole record, its length first, or %NULL when it is larger
 * than a record may be
 */
GByteArray *
mh_controller_request_encode (guint64 id, MhUserVerb verb, const char *job, GBytes *body);

/**
 * mh_controller_response_encode:
 * @id: number of the request
 * @answer: the answer
 *
 * Returns: (transfer full): a whole record, its length first
 */
GByteArray *
mh_controller_response_encode (guint64 id, const MhUserAnswer *answer);

/**
 * mh_controller_announcement_encode:
 * @node: the node that leads
 * @epoch: its leadership epoch
 *
 * Returns: (transfer full) (nullable): a whole record, its length first, or %NULL when the name is
 * longer than it may be
 */
GByteArray *
mh_controller_announcement_encode (const char *node, guint64 epoch);

/**
 * MhControllerReadResult:
 * @MH_CONTROLLER_READ_INCOMPLETE: the record has not arrived completely
 * @MH_CONTROLLER_READ_MESSAGE: a message was read
 * @MH_CONTROLLER_READ_MALFORMED: no message can follow on this connection
 *
 * What the beginning of a buffer was.
 */
typedef enum
{
  MH_CONTROLLER_READ_INCOMPLETE,
  MH_CONTROLLER_READ_MESSAGE,
  MH_CONTROLLER_READ_MALFORMED
} MhControllerReadResult;

/**
 * mh_controller_message_read:
 * @buffer: what has arrived and was not read yet
 * @message: (out): the message, for %MH_CONTROLLER_READ_MESSAGE only
 * @error: (nullable): return location for an error of %MH_PROTOCOL_ERROR, for
 *   %MH_CONTROLLER_READ_MALFORMED only
 *
 * Takes a record off the beginning of @buffer, once it is there completely. A length that no record
 * has is refused at once, not waited for.
 *
 * Returns: whether there was one
 */
MhControllerReadResult
mh_controller_message_read (GByteArray *buffer, MhControllerMessage *message, GError **error);
