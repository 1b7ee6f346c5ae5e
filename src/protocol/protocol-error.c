#include "protocol/protocol-error.h"

G_DEFINE_QUARK (mh - protocol - error - quark, mh_protocol_error)
