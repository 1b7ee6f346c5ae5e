/* The stored form of the election's two keys. Versions of the service run side by side and read
   each other's records: keys, field names and the meaning of each field never change. */
#pragma once

#include "protocol/value.h"

/** Who leads; attached to that controller's lease. */
#define MH_LEADER_KEY "leader"
/** The last epoch that any leadership has used; without a lease. */
#define MH_EPOCH_KEY "epoch"

/**
 * mh_leader_record_write:
 * @node: name of the controller that leads
 * @epoch: first epoch of its leadership
 * @lease_id: the lease that the key is attached to; it tells this life of the controller from an
 * earlier one, whose write may come late
 *
 * Returns: (transfer full): the value of %MH_LEADER_KEY
 */
MhValue *
mh_leader_record_write (const char *node, guint64 epoch, guint64 lease_id);

/**
 * mh_leader_record_read:
 * @value: the value of %MH_LEADER_KEY
 * @node: (out) (transfer full): name of the controller that leads; %NULL if malformed
 * @epoch: (out): first epoch of its leadership
 * @lease_id: (out): the lease that the key is attached to; 0 in records that do not say so
 *
 * Returns: %FALSE if @value is malformed
 */
bool
mh_leader_record_read (const MhValue *value, char **node, guint64 *epoch, guint64 *lease_id);

/**
 * mh_epoch_record_write:
 * @last_epoch: the last epoch of the leadership that begins
 *
 * Returns: (transfer full): the value of %MH_EPOCH_KEY
 */
MhValue *
mh_epoch_record_write (guint64 last_epoch);

/**
 * mh_epoch_record_read:
 * @value: the value of %MH_EPOCH_KEY
 * @last_epoch: (out): the last epoch of all earlier leaderships
 *
 * Returns: %FALSE if @value is malformed
 */
bool
mh_epoch_record_read (const MhValue *value, guint64 *last_epoch);
