/* A token bucket: limits the rate of an operation and allows bursts. */
#pragma once

#include <glib.h>
#include <stdbool.h>

/**
 * MhTokenBucket:
 * @rate: tokens that are added each second
 * @burst: largest number of tokens that it holds
 * @tokens: tokens that it held at @updated_us; negative after more were taken than it held
 * @updated_us: monotonic time of the last mh_token_bucket_has(), or of the initialization, in
 *   microseconds
 *
 * A token bucket. Callers may read the fields, but only the functions below change them.
 */
typedef struct
{
  double rate, burst, tokens;
  gint64 updated_us;
} MhTokenBucket;

/**
 * mh_token_bucket_init:
 * @bucket: (out): the bucket to initialize
 * @rate: tokens that are added each second
 * @burst: largest number of tokens that it holds
 * @now_us: monotonic time, in microseconds
 *
 * Initializes a full bucket.
 */
void
mh_token_bucket_init (MhTokenBucket *bucket, double rate, double burst, gint64 now_us);

/**
 * mh_token_bucket_has:
 * @bucket: a bucket
 * @tokens: number of tokens that are needed
 * @now_us: monotonic time, in microseconds
 *
 * Adds the tokens for the time since the last call.
 *
 * Returns: %TRUE if the bucket holds @tokens tokens or is full
 */
bool
mh_token_bucket_has (MhTokenBucket *bucket, double tokens, gint64 now_us);

/**
 * mh_token_bucket_take:
 * @bucket: a bucket
 * @tokens: number of tokens to take
 *
 * Takes the tokens even if the bucket does not hold them; it is then negative until they are
 * refilled.
 */
void
mh_token_bucket_take (MhTokenBucket *bucket, double tokens);
