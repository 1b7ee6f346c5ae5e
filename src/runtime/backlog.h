/* How much waits in a queue, and for how long. */
#pragma once

#include <glib.h>

/**
 * MhBacklog:
 * @waiting: number of entries in the queue
 * @oldest_age_us: how long the oldest of them has been in it, in microseconds; 0: none waits
 *
 * The depth of a queue.
 */
typedef struct
{
  guint waiting;
  gint64 oldest_age_us;
} MhBacklog;
