/* What passes between controllers: a user's request handed to the leader, its response, and
   announcements of the leader. Each message travels as one record: four bytes of length, then the
   XDR. Versions beside one another in an upgrade speak this: numbers, order and bounds stay. */

const WIRE_BODY_MAX = 65536;
const WIRE_NAME_MAX = 200;

enum wire_verb {
  WIRE_SUBMIT = 1,
  WIRE_STATUS = 2,
  WIRE_CANCEL = 3
};

struct wire_request {
  unsigned hyper id;
  wire_verb verb;
  string job<WIRE_NAME_MAX>;
  opaque body<WIRE_BODY_MAX>;
};

struct wire_response {
  unsigned hyper id;
  unsigned int status;
  unsigned int retry_after_s;
  unsigned int state;
  unsigned int done;
  unsigned int running;
};

/* Who leads, as the leader itself says: a hint, never a proof. */
struct wire_announcement {
  string node<WIRE_NAME_MAX>;
  unsigned hyper epoch;
};

enum wire_kind {
  WIRE_REQUEST = 1,
  WIRE_RESPONSE = 2,
  WIRE_ANNOUNCEMENT = 3
};

union wire_message switch (wire_kind kind) {
case WIRE_REQUEST:
  wire_request request;
case WIRE_RESPONSE:
  wire_response response;
case WIRE_ANNOUNCEMENT:
  wire_announcement announcement;
};
