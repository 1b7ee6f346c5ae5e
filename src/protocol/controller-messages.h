/* Messages between controllers, in XDR: see peer_xdr.x. */
#pragma once

#include "protocol/types.h"

typedef enum
{
  MH_CONTROLLER_REQUEST,
  MH_CONTROLLER_RESPONSE,
  MH_CONTROLLER_ANNOUNCEMENT
} MhControllerMessageKind;

typedef struct
{
  MhControllerMessageKind kind;
  guint64 id;      /* ANNOUNCEMENT: the epoch */
  MhUserVerb verb; /* CALL */
  char *job;       /* CALL; ANNOUNCEMENT: the node that leads */
  GBytes *body;    /* CALL */
  MhUserAnswer answer;
} MhControllerMessage;

void
mh_controller_message_clear (MhControllerMessage *message);

/* Each returns a whole record, its length first. */
GByteArray *
mh_controller_request_encode (guint64 id, MhUserVerb verb, const char *job, GBytes *body);
GByteArray *
mh_controller_response_encode (guint64 id, const MhUserAnswer *answer);
GByteArray *
mh_controller_announcement_encode (const char *node, guint64 epoch);

typedef enum
{
  MH_CONTROLLER_READ_INCOMPLETE, /* the record is not complete yet */
  MH_CONTROLLER_READ_MESSAGE,
  MH_CONTROLLER_READ_MALFORMED
} MhControllerReadResult;

/* Takes one record off the front of `buffer`. */
MhControllerReadResult
mh_controller_message_read (GByteArray *buffer, MhControllerMessage *message);
