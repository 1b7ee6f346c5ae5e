/* A check of CBOR before libcbor builds it. */
#pragma once

#include <glib.h>
#include <stdbool.h>

/**
 * mh_cbor_is_well_formed:
 * @data: (nullable): bytes from a network
 * @size: their number
 *
 * Reads the heads of the items only, so that a hostile body can make libcbor neither recurse
 * without bound nor reserve memory for a length that it does not carry.
 *
 * Returns: %TRUE if @data is exactly one item, not nested deeper than any message is
 */
bool
mh_cbor_is_well_formed (const void *data, gsize size);
