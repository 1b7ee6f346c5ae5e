/* A token bucket: how often something may be done, with bursts. */
#pragma once

#include <glib.h>
#include <stdbool.h>

/**
 * MhBucket:
 * @rate: tokens that are added in a second
 * @burst: tokens that it holds at most
 * @tokens: tokens that it held at @at_us; below 0 after more were taken than were there
 * @at_us: steady time of the last look, in microseconds
 */
typedef struct
{
  double rate, burst, tokens;
  gint64 at_us;
} MhBucket;

/**
 * mh_bucket_init:
 * @bucket: the bucket to be filled in
 * @rate: tokens a second
 * @burst: tokens that it holds at most
 * @now_us: steady time, in microseconds
 *
 * Begins with a full bucket.
 */
void
mh_bucket_init (MhBucket *bucket, double rate, double burst, gint64 now_us);

/**
 * mh_bucket_has:
 * @bucket: a bucket
 * @tokens: how many are wanted
 * @now_us: steady time, in microseconds
 *
 * Adds what the time since the last look has brought.
 *
 * Returns: %TRUE if so many tokens are there. More than a full bucket are there when it is full.
 */
bool
mh_bucket_has (MhBucket *bucket, double tokens, gint64 now_us);

/**
 * mh_bucket_take:
 * @bucket: a bucket
 * @tokens: how many are taken, whether or not they are there
 */
void
mh_bucket_take (MhBucket *bucket, double tokens);
