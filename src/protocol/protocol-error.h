/* Decoding errors: which field of a message is invalid, and why. */
#pragma once

#include <glib.h>

/**
 * MH_PROTOCOL_ERROR:
 *
 * The domain of decoding errors. The text of an error begins with the field's name in the published
 * protocol, for an item of a list after the name of the list and the index ("legs[1]: cause: ...").
 * It names no field when a message or an item as a whole is invalid.
 */
#define MH_PROTOCOL_ERROR (mh_protocol_error_quark ())

/**
 * MhProtocolError:
 * @MH_PROTOCOL_ERROR_MALFORMED_CBOR: the bytes are not exactly one CBOR item
 * @MH_PROTOCOL_ERROR_MALFORMED_XDR: a record from a controller is not exactly one XDR message
 * @MH_PROTOCOL_ERROR_NOT_A_MAP: the message, or an item of a list in it, is not a map
 * @MH_PROTOCOL_ERROR_MISSING_FIELD: a required field is absent or null
 * @MH_PROTOCOL_ERROR_WRONG_TYPE: a field holds a value of another type
 * @MH_PROTOCOL_ERROR_OUT_OF_RANGE: a number, or the length of a text or a record, is out of
 *   bounds
 * @MH_PROTOCOL_ERROR_UNKNOWN_VALUE: a text is not one of the enum names that the field can hold
 * @MH_PROTOCOL_ERROR_INVALID_ID: a text does not have the form of a job id or a task id
 *
 * Why a message was rejected.
 */
typedef enum
{
  MH_PROTOCOL_ERROR_MALFORMED_CBOR,
  MH_PROTOCOL_ERROR_MALFORMED_XDR,
  MH_PROTOCOL_ERROR_NOT_A_MAP,
  MH_PROTOCOL_ERROR_MISSING_FIELD,
  MH_PROTOCOL_ERROR_WRONG_TYPE,
  MH_PROTOCOL_ERROR_OUT_OF_RANGE,
  MH_PROTOCOL_ERROR_UNKNOWN_VALUE,
  MH_PROTOCOL_ERROR_INVALID_ID
} MhProtocolError;

/**
 * mh_protocol_error_quark:
 *
 * Returns: the error domain, see %MH_PROTOCOL_ERROR
 */
GQuark
mh_protocol_error_quark (void);
