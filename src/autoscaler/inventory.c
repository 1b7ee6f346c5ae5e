/* Reads of what the cloud has: machine types, and the list of our machines. */
#include "controller/core-private.h"

#define CLOUD_TIMEOUT_US (4 * MH_SECOND_US)
#define TYPES_US (60 * MH_SECOND_US)
#define LIST_US (5 * MH_SECOND_US)
/* Of all calls to the cloud, those that lists may take: with thousands of machines a list has many
   pages, and rentals and releases once waited behind them. */
#define LIST_SHARE 0.25

static void
types_reply (MhCore *core, gpointer data, guint status, const MhValue *body)
{
  (void)data;
  GPtrArray *types = status == 200 ? mh_machine_types_decode (body, NULL) : NULL;
  core->scale.types_busy = false;
  core->scale.types_us = core->now.mono_us + (types ? TYPES_US : MH_SECOND_US);
  if (types == NULL)
    return;
  mh_cluster_set_types (core, types);
}

static void
listed (MhCore *core, const MhListedMachine *l)
{
  MhMachine *m = mh_cluster_find_machine (core, l->name);
  if (mh_cluster_was_released (core, l->name) || (m && mh_machine_is_releasing (m)))
    return; /* lists lag */
  if (m == NULL || m->type_name == NULL)
    {
      if (m == NULL)
        m = mh_cluster_add_machine (core, l->name, l->type, l->zone, l->spot);
      else
        mh_cluster_identify_machine (core, m, l->type, l->zone, l->spot);
      m->boot.rented_us = core->now.mono_us - l->age_us;
      m->endpoint = m->endpoint ? m->endpoint : g_strdup (l->endpoint);
    }
  m->listed_running = l->state == MH_LISTED_RUNNING;
  if (l->state == MH_LISTED_FAILED)
    mh_release_machine (core, m, "failed");
}

static void
list_page (MhCore *core, const char *after);

static gint64
list_interval_us (const MhCore *core)
{
  double calls = core->scale.list_pages / (LIST_SHARE * core->settings->cloud_rps);
  return MAX (LIST_US, (gint64)(calls * MH_SECOND_US));
}

static void
list_reply (MhCore *core, gpointer data, guint status, const MhValue *body)
{
  (void)data;
  bool more = false;
  g_autoptr (GPtrArray) list = status == 200 ? mh_machine_list_decode (body, &more, NULL) : NULL;
  core->scale.list_busy = false;
  core->scale.list_us = core->now.mono_us + MH_SECOND_US;
  if (list == NULL)
    return;
  core->scale.list_pages++;
  for (guint i = 0; i < list->len; i++)
    listed (core, g_ptr_array_index (list, i));
  if (more && list->len)
    list_page (core, ((MhListedMachine *)g_ptr_array_index (list, list->len - 1))->name);
  else
    {
      core->scale.listed = true;
      core->scale.list_us = core->now.mono_us + list_interval_us (core);
    }
}

static void
list_page (MhCore *core, const char *after)
{
  core->scale.list_busy = true;
  if (after == NULL)
    core->scale.list_pages = 0;
  mh_core_call (core, core->scale.listed ? MH_CALL_WORK : MH_CALL_SAFETY,
                mh_cloud_request_machine_list (after), 0, CLOUD_TIMEOUT_US, list_reply, NULL, NULL);
}

void
mh_inventory_step (MhCore *core)
{
  gint64 now = core->now.mono_us;
  if (!core->scale.types_busy && now >= core->scale.types_us)
    {
      core->scale.types_busy = true;
      /* Nothing can be accepted or placed before the types are known: they wait for nothing. */
      mh_core_call (core, mh_cluster_types (core) ? MH_CALL_WORK : MH_CALL_LEASE,
                    mh_cloud_request_machine_types (), 0, CLOUD_TIMEOUT_US, types_reply, NULL,
                    NULL);
    }
  if (!core->scale.list_busy && now >= core->scale.list_us)
    list_page (core, NULL);
}
