#include "election/leader-record.h"

/* Stored field names. */
#define FIELD_LEASE "claim"
#define FIELD_NODE "node"
#define FIELD_EPOCH "epoch"

MhValue *
mh_leader_record_write (const char *node, guint64 epoch, guint64 lease_id)
{
  g_return_val_if_fail (node, NULL);
  MhValue *record = mh_value_new_map ();
  mh_value_set_uint (record, FIELD_LEASE, lease_id);
  mh_value_set_text (record, FIELD_NODE, node);
  mh_value_set_uint (record, FIELD_EPOCH, epoch);
  return record;
}

bool
mh_leader_record_read (const MhValue *value, char **node, guint64 *epoch, guint64 *lease_id)
{
  *node = NULL;
  if (!mh_value_get_uint (value, FIELD_LEASE, lease_id))
    *lease_id = 0;
  if (!mh_value_get_uint (value, FIELD_EPOCH, epoch))
    return false;
  *node = mh_value_get_text (value, FIELD_NODE);
  return *node != NULL;
}

MhValue *
mh_epoch_record_write (guint64 last_epoch)
{
  MhValue *record = mh_value_new_map ();
  mh_value_set_uint (record, FIELD_EPOCH, last_epoch);
  return record;
}

bool
mh_epoch_record_read (const MhValue *value, guint64 *last_epoch)
{
  return mh_value_get_uint (value, FIELD_EPOCH, last_epoch);
}
