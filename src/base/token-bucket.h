/* A token bucket: how often something may be done, with bursts. */
#pragma once

#include <glib.h>
#include <stdbool.h>

/**
 * MhTokenBucket:
 * @rate: tokens that are added each second
 * @burst: tokens that it holds at most
 * @tokens: tokens that it held at @updated_us; below 0 after more were taken than it held
 * @updated_us: monotonic time of the last mh_token_bucket_has(), in microseconds
 *
 * A token bucket. Its functions alone change the fields; others may read them.
 */
typedef struct
{
  double rate, burst, tokens;
  gint64 updated_us;
} MhTokenBucket;

/**
 * mh_token_bucket_init:
 * @bucket: the bucket to be filled in
 * @rate: tokens that are added each second
 * @burst: tokens that it holds at most
 * @now_us: monotonic time, in microseconds
 *
 * Begins with a full bucket.
 */
void
mh_token_bucket_init (MhTokenBucket *bucket, double rate, double burst, gint64 now_us);

/**
 * mh_token_bucket_has:
 * @bucket: a bucket
 * @tokens: how many are wanted
 * @now_us: monotonic time, in microseconds
 *
 * Adds the tokens of the time since the last call.
 *
 * Returns: %TRUE if the bucket holds so many tokens, or is full
 */
bool
mh_token_bucket_has (MhTokenBucket *bucket, double tokens, gint64 now_us);

/**
 * mh_token_bucket_take:
 * @bucket: a bucket
 * @tokens: how many are taken, whether or not they are there
 */
void
mh_token_bucket_take (MhTokenBucket *bucket, double tokens);
