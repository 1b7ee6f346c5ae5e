/* How unreliable the network is: chances of loss, delay and duplication, drawn from one seeded
   source, and requests that a test holds back or keeps. */
#pragma once

#include <glib.h>
#include <stdbool.h>

/**
 * Network:
 * @random: source of all chance; not owned
 * @loss_probability: that a message, or its answer, is lost
 * @delay_probability: that it comes up to 30 s late
 * @duplicate_probability: that another copy of a request comes, up to a minute later
 * @late_write_probability: that a transaction gets no answer, and is carried out 2 to 12 s later
 * @hold_commands: direct calls to workers arrive only when the test releases them
 * @held_commands: (element-type OutgoingCall): those
 * @held_writes: (element-type OutgoingCall): transactions of nodes with hold_writes
 * @keep_requests: every request that arrives is kept, to be repeated
 * @kept_requests: (element-type OutgoingCall): those
 */
typedef struct
{
  GRand *random;
  double loss_probability;
  double delay_probability;
  double duplicate_probability;
  double late_write_probability;
  bool hold_commands;
  GPtrArray *held_commands;
  GPtrArray *held_writes;
  bool keep_requests;
  GPtrArray *kept_requests;
} Network;

/** network_new: @call_unref: for what is held and kept. Returns: (transfer full): a reliable one */
Network *
network_new (GRand *random, GDestroyNotify call_unref);
/** network_free: @network: with what is held and kept */
void
network_free (Network *network);
/** network_draw_delay: Returns: how long the next message is on its way, in microseconds */
gint64
network_draw_delay (Network *network);
/** network_draw_loss: Returns: whether the next message is lost */
bool
network_draw_loss (Network *network);
/** network_draw_duplicate: Returns: whether the request comes once more */
bool
network_draw_duplicate (Network *network);
/** network_draw_duplicate_delay: Returns: how much later it does, in microseconds */
gint64
network_draw_duplicate_delay (Network *network);
/** network_draw_late_write: Returns: by how much the transaction is late, in microseconds; 0: not
 */
gint64
network_draw_late_write_delay (Network *network);
