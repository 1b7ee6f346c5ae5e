#include "controller/core-private.h"

void
mh_bucket_init (MhBucket *b, double rate, double burst, gint64 now_us)
{
  b->rate = rate;
  b->burst = burst;
  b->tokens = burst;
  b->at_us = now_us;
}

bool
mh_bucket_has (MhBucket *b, double tokens, gint64 now_us)
{
  b->tokens = MIN (b->burst, b->tokens + b->rate * (double)(now_us - b->at_us) / MH_SECOND_US);
  b->at_us = now_us;
  /* A single call that needs more than a full bucket passes when the bucket is full. */
  return b->tokens >= MIN (tokens, b->burst);
}

void
mh_bucket_take (MhBucket *b, double tokens)
{
  b->tokens -= tokens;
}
