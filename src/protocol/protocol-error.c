#include "protocol/protocol-error.h"

G_DEFINE_QUARK (mh_protocol_error, mh_protocol_error)
