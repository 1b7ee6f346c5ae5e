#include "base/token-bucket.h"
#include "base/time-units.h"

void
mh_token_bucket_init (MhTokenBucket *bucket, double rate, double burst, gint64 now_us)
{
  g_return_if_fail (bucket != NULL);

  bucket->rate = rate;
  bucket->burst = burst;
  bucket->tokens = burst;
  bucket->updated_us = now_us;
}

bool
mh_token_bucket_has (MhTokenBucket *bucket, double tokens, gint64 now_us)
{
  g_return_val_if_fail (bucket != NULL, false);

  double added = bucket->rate * (double)(now_us - bucket->updated_us) / MH_SECOND_US;
  bucket->tokens = MIN (bucket->burst, bucket->tokens + added);
  bucket->updated_us = now_us;
  /* A call that needs more tokens than the bucket can hold passes when the bucket is full. */
  return bucket->tokens >= MIN (tokens, bucket->burst);
}

void
mh_token_bucket_take (MhTokenBucket *bucket, double tokens)
{
  g_return_if_fail (bucket != NULL);

  bucket->tokens -= tokens;
}
