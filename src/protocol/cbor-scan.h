/* Checks that CBOR is well-formed and bounded before libcbor decodes it. */
#pragma once

#include <glib.h>
#include <stdbool.h>

/**
 * mh_cbor_is_well_formed:
 * @data: (nullable): bytes received from the network
 * @size: number of bytes
 *
 * Checks the structure without decoding values. It prevents a malicious body from making libcbor
 * recurse without limit, or allocate memory for a length that exceeds the data.
 *
 * Returns: %TRUE if @data is exactly one well-formed CBOR item whose nesting depth is within a
 *   limit that no message of the protocol reaches
 */
bool
mh_cbor_is_well_formed (const void *data, gsize size);
