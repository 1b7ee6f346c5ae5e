#include "base/token-bucket.h"

#define SECOND_US 1000000

void
mh_bucket_init (MhBucket *bucket, double rate, double burst, gint64 now_us)
{
  bucket->rate = rate;
  bucket->burst = burst;
  bucket->tokens = burst;
  bucket->at_us = now_us;
}

bool
mh_bucket_has (MhBucket *bucket, double tokens, gint64 now_us)
{
  double added = bucket->rate * (double)(now_us - bucket->at_us) / SECOND_US;
  bucket->tokens = MIN (bucket->burst, bucket->tokens + added);
  bucket->at_us = now_us;
  /* A single call that needs more than a full bucket passes when the bucket is full. */
  return bucket->tokens >= MIN (tokens, bucket->burst);
}

void
mh_bucket_take (MhBucket *bucket, double tokens)
{
  bucket->tokens -= tokens;
}
