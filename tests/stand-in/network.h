/* The unreliability of the network: probabilities of loss, delay and duplication, drawn from one
   seeded source, and requests that a test holds or records. */
#pragma once

#include <glib.h>
#include <stdbool.h>

/**
 * Network:
 * @random: the source of randomness; not owned
 * @loss_probability: that a call or a heartbeat is lost; drawn again for its response
 * @delay_probability: that a message is delayed by up to 30 s more
 * @duplicate_probability: that a request arrives a second time, up to 60 s later
 * @late_write_probability: that a transaction gets no response, but is applied 2 s to 11 s later
 * @store_delay_us: by how much the key-value store is late with each response, in microseconds
 * @hold_commands: direct calls to workers are held until the test releases them
 * @held_commands: (element-type OutgoingCall): the held calls to workers
 * @held_writes: (element-type OutgoingCall): the held transactions of nodes with @hold_writes
 * @keep_requests: a copy of every request other than a GET is kept when it arrives
 * @kept_requests: (element-type OutgoingCall): the copies
 */
typedef struct
{
  GRand *random;
  double loss_probability;
  double delay_probability;
  double duplicate_probability;
  double late_write_probability;
  gint64 store_delay_us;
  bool hold_commands;
  GPtrArray *held_commands;
  GPtrArray *held_writes;
  bool keep_requests;
  GPtrArray *kept_requests;
} Network;

/** network_new: @call_unref: frees held and kept calls. Returns: (transfer full): a network without
 * faults */
Network *
network_new (GRand *random, GDestroyNotify call_unref);
/** network_free: Frees @network with the calls that are held or kept. */
void
network_free (Network *network);
/** network_draw_delay: Returns: the delay of the next message, in microseconds */
gint64
network_draw_delay (Network *network);
/** network_draw_loss: Returns: whether the next message is lost */
bool
network_draw_loss (Network *network);
/** network_draw_duplicate: Returns: whether the next request is duplicated */
bool
network_draw_duplicate (Network *network);
/** network_draw_duplicate_delay: Returns: the delay of the duplicate, in microseconds */
gint64
network_draw_duplicate_delay (Network *network);
/** network_draw_late_write_delay: Returns: by how much the transaction is delayed, in microseconds;
 * 0: not at all */
gint64
network_draw_late_write_delay (Network *network);
