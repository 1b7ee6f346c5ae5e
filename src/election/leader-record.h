/* Stored form of the two keys of the election. Different versions of the service run side by side
   and read each other's records, so keys, field names and the meaning of each field must not
   change. */
#pragma once

#include "protocol/value.h"

/** Key that names the leader; attached to the leader's lease. */
#define MH_LEADER_KEY "leader"
/** Key that holds the last epoch reserved by any leadership; not attached to a lease. */
#define MH_EPOCH_KEY "epoch"

/**
 * mh_leader_record_write:
 * @node: name of the leader
 * @epoch: first epoch of its leadership
 * @lease_id: the lease that the key is attached to; distinguishes this process of the controller
 * from an earlier one, whose write may arrive late
 *
 * Returns: (transfer full): the value of %MH_LEADER_KEY
 */
MhValue *
mh_leader_record_write (const char *node, guint64 epoch, guint64 lease_id);

/**
 * mh_leader_record_read:
 * @value: the value of %MH_LEADER_KEY
 * @node: (out) (transfer full): name of the leader; %NULL if @value is malformed
 * @epoch: (out): first epoch of its leadership
 * @lease_id: (out): the lease that the key is attached to; 0 if the record does not contain it
 *
 * Returns: %FALSE if @value is malformed
 */
bool
mh_leader_record_read (const MhValue *value, char **node, guint64 *epoch, guint64 *lease_id);

/**
 * mh_epoch_record_write:
 * @last_epoch: the last epoch that the new leadership reserves
 *
 * Returns: (transfer full): the value of %MH_EPOCH_KEY
 */
MhValue *
mh_epoch_record_write (guint64 last_epoch);

/**
 * mh_epoch_record_read:
 * @value: the value of %MH_EPOCH_KEY
 * @last_epoch: (out): the last epoch reserved by any leadership so far
 *
 * Returns: %FALSE if @value is malformed
 */
bool
mh_epoch_record_read (const MhValue *value, guint64 *last_epoch);
