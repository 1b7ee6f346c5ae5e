#include "server/process-clock.h"

struct MhProcessClock
{
  GRand *random;
};

MhProcessClock *
mh_process_clock_new (void)
{
  MhProcessClock *clock = g_new0 (MhProcessClock, 1);
  clock->random = g_rand_new ();
  return clock;
}

void
mh_process_clock_free (MhProcessClock *clock)
{
  if (clock == NULL)
    return;
  g_rand_free (clock->random);
  g_free (clock);
}

MhNow
mh_process_clock_read (MhProcessClock *clock)
{
  return (MhNow){ .mono_us = g_get_monotonic_time (),
                  .wall_us = g_get_real_time (),
                  .jitter = g_rand_double (clock->random) };
}
