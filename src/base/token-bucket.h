/* Token buckets, and the ranks in which calls to the state service and the cloud wait for one. */
#pragma once

#include "controller/core-types.h"

typedef struct
{
  double rate, burst, tokens;
  gint64 at_us;
} MhBucket;

void
mh_bucket_init (MhBucket *bucket, double rate, double burst, gint64 now_us);
bool
mh_bucket_has (MhBucket *bucket, double tokens, gint64 now_us);
void
mh_bucket_take (MhBucket *bucket, double tokens);

typedef enum
{
  MH_RANK_LEASE,   /* keeping leadership */
  MH_RANK_RULES,   /* what keeps the rules: reloads, cancellations, releases */
  MH_RANK_WORK,    /* starts, finishes, rentals */
  MH_RANK_STRANGER /* reads for users about jobs that are not in memory */
} MhRank;
#define MH_RANKS 4

/* A reply; `status` 0 means that none came. */
typedef void (*MhReplyFunc) (MhCore *core, gpointer data, guint status, const MhValue *body);
