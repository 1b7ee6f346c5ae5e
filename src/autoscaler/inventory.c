#include "autoscaler/inventory.h"
#include "autoscaler/cloud-error.h"
#include "protocol/cloud-messages.h"

/* Interval between two reads of the machine types. */
#define TYPES_REFRESH_INTERVAL_US (60 * MH_SECOND_US)
/* Shortest interval between two reads of the list of machines. */
#define MIN_LIST_REFRESH_INTERVAL_US (5 * MH_SECOND_US)
/* Delay before a failed read is repeated. */
#define RETRY_INTERVAL_US MH_SECOND_US
/* The share of the cloud's rate limit that reading the list may use. With thousands of machines the
   list has many pages, and without this limit requests to create and release machines wait behind
   them. */
#define MAX_LIST_CALL_SHARE 0.25

struct MhInventory
{
  const MhAutoscalerContext *context;
  MhScaleIn *scale_in;
  gint64 types_due_us, list_due_us; /* time of the next read */
  bool types_in_flight, list_in_flight;
  bool loaded;      /* the complete list has been read in this leadership */
  guint list_pages; /* pages read of the current or the last list */
};

MhInventory *
mh_inventory_new (const MhAutoscalerContext *context, MhScaleIn *scale_in)
{
  MhInventory *self = g_new0 (MhInventory, 1);
  self->context = context;
  self->scale_in = scale_in;
  return self;
}

void
mh_inventory_free (MhInventory *self)
{
  g_free (self);
}

void
mh_inventory_reset (MhInventory *self)
{
  g_return_if_fail (self != NULL);
  self->types_in_flight = self->list_in_flight = false;
  self->types_due_us = self->list_due_us = 0;
  self->loaded = false;
}

bool
mh_inventory_is_loaded (const MhInventory *self)
{
  g_return_val_if_fail (self != NULL, false);
  return self->loaded;
}

/* ---- machine types ---- */

static void
handle_types_response (gpointer owner, gpointer data, const MhCallResponse *response)
{
  MhInventory *self = owner;
  (void)data;
  GPtrArray *types = mh_cloud_check_response (response->status, response->body, NULL)
                         ? mh_machine_types_decode (response->body, NULL)
                         : NULL;
  self->types_in_flight = false;
  self->types_due_us = mh_runtime_now_us (self->context->runtime)
                       + (types ? TYPES_REFRESH_INTERVAL_US : RETRY_INTERVAL_US);
  if (types)
    mh_cluster_set_types (self->context->cluster, types);
}

static void
read_types (MhInventory *self)
{
  /* Nothing can be accepted or placed before the types are known, so the first read goes before all
     other calls to the cloud. */
  MhCallOptions options
      = { .class = mh_cluster_types (self->context->cluster) ? MH_CALL_WORK : MH_CALL_LEASE,
          .timeout_us = MH_CLOUD_TIMEOUT_US,
          .func = handle_types_response,
          .owner = self };
  self->types_in_flight = true;
  mh_call_queue_add (self->context->calls, mh_cloud_request_machine_types (), &options);
}

/* ---- the list of machines ---- */

static MhMachine *
add_or_identify_machine (MhInventory *self, MhMachine *machine, const MhListedMachine *listed)
{
  MhCluster *cluster = self->context->cluster;
  if (machine == NULL)
    machine
        = mh_cluster_add_machine (cluster, listed->name, listed->type, listed->zone, listed->spot);
  else
    mh_cluster_identify_machine (cluster, machine, listed->type, listed->zone, listed->spot);
  machine->boot.created_us = mh_runtime_now_us (self->context->runtime) - listed->age_us;
  machine->endpoint = machine->endpoint ? machine->endpoint : g_strdup (listed->endpoint);
  return machine;
}

static void
process_listed_machine (MhInventory *self, const MhListedMachine *listed)
{
  MhCluster *cluster = self->context->cluster;
  MhMachine *machine = mh_cluster_find_machine (cluster, listed->name);
  if (mh_cluster_was_released (cluster, listed->name)
      || (machine && mh_machine_is_releasing (machine)))
    return; /* the list lags behind the release */
  if (machine == NULL || machine->type_name == NULL)
    machine = add_or_identify_machine (self, machine, listed);
  machine->listed_running = listed->state == MH_LISTED_RUNNING;
  if (listed->state == MH_LISTED_FAILED)
    mh_scale_in_release_machine (self->scale_in, machine, MH_RELEASE_REASON_FAILED);
}

static gint64
get_list_interval_us (const MhInventory *self)
{
  double seconds = self->list_pages / (MAX_LIST_CALL_SHARE * self->context->settings->cloud_rps);
  return MAX (MIN_LIST_REFRESH_INTERVAL_US, (gint64)(seconds * MH_SECOND_US));
}

static void
read_list_page (MhInventory *self, const char *after);

static void
handle_list_response (gpointer owner, gpointer data, const MhCallResponse *response)
{
  MhInventory *self = owner;
  (void)data;
  bool more = false;
  g_autoptr (GPtrArray) list = mh_cloud_check_response (response->status, response->body, NULL)
                                   ? mh_machine_list_decode (response->body, &more, NULL)
                                   : NULL;
  gint64 now_us = mh_runtime_now_us (self->context->runtime);
  self->list_in_flight = false;
  self->list_due_us = now_us + RETRY_INTERVAL_US;
  if (list == NULL)
    return;
  self->list_pages++;
  for (guint i = 0; i < list->len; i++)
    process_listed_machine (self, g_ptr_array_index (list, i));
  if (more && list->len)
    {
      const MhListedMachine *last = g_ptr_array_index (list, list->len - 1);
      read_list_page (self, last->name);
      return;
    }
  self->loaded = true;
  self->list_due_us = now_us + get_list_interval_us (self);
}

/* Reads the page that begins after the machine named @after; NULL: the first page. */
static void
read_list_page (MhInventory *self, const char *after)
{
  MhCallOptions options = { .class = self->loaded ? MH_CALL_WORK : MH_CALL_SAFETY,
                            .timeout_us = MH_CLOUD_TIMEOUT_US,
                            .func = handle_list_response,
                            .owner = self };
  self->list_in_flight = true;
  if (after == NULL)
    self->list_pages = 0;
  mh_call_queue_add (self->context->calls, mh_cloud_request_machine_list (after), &options);
}

void
mh_inventory_step (MhInventory *self)
{
  g_return_if_fail (self != NULL);
  gint64 now_us = mh_runtime_now_us (self->context->runtime);
  if (!self->types_in_flight && now_us >= self->types_due_us)
    read_types (self);
  if (!self->list_in_flight && now_us >= self->list_due_us)
    read_list_page (self, NULL);
}
