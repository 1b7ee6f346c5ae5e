/* Errors of decoding: which field of a message is wrong, and how. */
#pragma once

#include <glib.h>

/**
 * MH_PROTOCOL_ERROR:
 *
 * The domain of errors of decoding. The message of an error names the field, as the published
 * protocol calls it, and says what is wrong with it.
 */
#define MH_PROTOCOL_ERROR (mh_protocol_error_quark ())

/**
 * MhProtocolError:
 * @MH_PROTOCOL_ERROR_MALFORMED_CBOR: the bytes are not exactly one CBOR item
 * @MH_PROTOCOL_ERROR_MALFORMED_XDR: a record between controllers is not one XDR message
 * @MH_PROTOCOL_ERROR_NOT_A_MAP: the message, or an item of a list in it, is not a map
 * @MH_PROTOCOL_ERROR_MISSING_FIELD: a required field is absent or null
 * @MH_PROTOCOL_ERROR_WRONG_TYPE: a field holds a value of another type
 * @MH_PROTOCOL_ERROR_OUT_OF_RANGE: a number or the length of a text is outside its bounds
 * @MH_PROTOCOL_ERROR_UNKNOWN_WORD: a text is none of the words that the field can hold
 * @MH_PROTOCOL_ERROR_INVALID_ID: a text is not in the form of an identifier of jobs or tasks
 *
 * What was wrong with a message.
 */
typedef enum
{
  MH_PROTOCOL_ERROR_MALFORMED_CBOR,
  MH_PROTOCOL_ERROR_MALFORMED_XDR,
  MH_PROTOCOL_ERROR_NOT_A_MAP,
  MH_PROTOCOL_ERROR_MISSING_FIELD,
  MH_PROTOCOL_ERROR_WRONG_TYPE,
  MH_PROTOCOL_ERROR_OUT_OF_RANGE,
  MH_PROTOCOL_ERROR_UNKNOWN_WORD,
  MH_PROTOCOL_ERROR_INVALID_ID
} MhProtocolError;

/**
 * mh_protocol_error_quark:
 *
 * Returns: the domain, see %MH_PROTOCOL_ERROR
 */
GQuark
mh_protocol_error_quark (void);
