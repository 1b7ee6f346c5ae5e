/* Messages between controllers, in XDR: see peer_xdr.x. */
#pragma once

#include "protocol/types.h"

typedef enum
{
  MH_PEER_CALL,
  MH_PEER_ANSWER,
  MH_PEER_ANNOUNCEMENT
} MhPeerKind;

typedef struct
{
  MhPeerKind kind;
  guint64 id;      /* ANNOUNCEMENT: the epoch */
  MhUserVerb verb; /* CALL */
  char *job;       /* CALL; ANNOUNCEMENT: the node that leads */
  GBytes *body;    /* CALL */
  MhUserAnswer answer;
} MhPeerMessage;

void
mh_peer_message_clear (MhPeerMessage *message);

/* Each returns a whole record, its length first. */
GByteArray *
mh_peer_write_call (guint64 id, MhUserVerb verb, const char *job, GBytes *body);
GByteArray *
mh_peer_write_answer (guint64 id, const MhUserAnswer *answer);
GByteArray *
mh_peer_write_announcement (const char *node, guint64 epoch);

typedef enum
{
  MH_PEER_MORE, /* the record is not complete yet */
  MH_PEER_READ,
  MH_PEER_BAD
} MhPeerRead;

/* Takes one record off the front of `buffer`. */
MhPeerRead
mh_peer_read (GByteArray *buffer, MhPeerMessage *message);
