#include "stand-in/network.h"

#include "base/time-units.h"

#define MIN_DELAY_US 500
#define MAX_DELAY_US 8000
#define MAX_EXTRA_DELAY_US (30 * MH_SECOND_US)
#define MAX_DUPLICATE_DELAY_US (60 * MH_SECOND_US)
#define MIN_LATE_WRITE_DELAY_S 2
#define LATE_WRITE_DELAY_END_S 12

Network *
network_new (GRand *random, GDestroyNotify call_unref)
{
  Network *network = g_new0 (Network, 1);
  network->random = random;
  network->held_commands = g_ptr_array_new_with_free_func (call_unref);
  network->held_writes = g_ptr_array_new_with_free_func (call_unref);
  network->kept_requests = g_ptr_array_new_with_free_func (call_unref);
  return network;
}

void
network_free (Network *network)
{
  g_ptr_array_unref (network->held_commands);
  g_ptr_array_unref (network->held_writes);
  g_ptr_array_unref (network->kept_requests);
  g_free (network);
}

/* Draws no random number if the probability is 0. */
static bool
draw (Network *network, double probability)
{
  return probability > 0 && g_rand_double (network->random) < probability;
}

gint64
network_draw_delay (Network *network)
{
  gint64 delay_us = g_rand_int_range (network->random, MIN_DELAY_US, MAX_DELAY_US);
  if (draw (network, network->delay_probability))
    delay_us += g_rand_int_range (network->random, 0, MAX_EXTRA_DELAY_US);
  return delay_us;
}

bool
network_draw_loss (Network *network)
{
  return draw (network, network->loss_probability);
}

bool
network_draw_duplicate (Network *network)
{
  return draw (network, network->duplicate_probability);
}

gint64
network_draw_duplicate_delay (Network *network)
{
  return g_rand_int_range (network->random, 1, MAX_DUPLICATE_DELAY_US);
}

gint64
network_draw_late_write_delay (Network *network)
{
  if (!draw (network, network->late_write_probability))
    return 0;
  return g_rand_int_range (network->random, MIN_LATE_WRITE_DELAY_S, LATE_WRITE_DELAY_END_S)
         * MH_SECOND_US;
}
