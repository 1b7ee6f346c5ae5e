/* What passes between controllers: a user's request handed to the leader, and its answer.
   Each message travels as one record: four bytes of length, then the XDR. */

const PEER_BODY_MAX = 65536;
const PEER_NAME_MAX = 200;

enum peer_verb {
  PEER_SUBMIT = 1,
  PEER_STATUS = 2,
  PEER_CANCEL = 3
};

struct peer_call {
  unsigned hyper id;
  peer_verb verb;
  string job<PEER_NAME_MAX>;
  opaque body<PEER_BODY_MAX>;
};

struct peer_answer {
  unsigned hyper id;
  unsigned int status;
  unsigned int retry_after_s;
  unsigned int state;
  unsigned int done;
  unsigned int running;
};

/* Who leads, as the leader itself says: a hint, never a proof. */
struct peer_announcement {
  string node<PEER_NAME_MAX>;
  unsigned hyper epoch;
};

enum peer_kind {
  PEER_CALL = 1,
  PEER_ANSWER = 2,
  PEER_ANNOUNCEMENT = 3
};

union peer_message switch (peer_kind kind) {
case PEER_CALL:
  peer_call call;
case PEER_ANSWER:
  peer_answer answer;
case PEER_ANNOUNCEMENT:
  peer_announcement announcement;
};
