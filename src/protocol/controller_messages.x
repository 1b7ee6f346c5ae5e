/* Messages between controllers: a user's request that is forwarded to the leader, its response, and
   the leader's announcement. Each message is sent as one record: a length of four bytes in network
   byte order, then the XDR. During an upgrade, controllers of different versions exchange these
   messages: numbers, order and bounds must not change. */

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

/* The leader announces itself. Only a hint, which must not be relied on. */
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
