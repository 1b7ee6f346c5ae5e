#include "autoscaler/scale-out.h"
#include "autoscaler/capacity-estimate.h"
#include "autoscaler/cloud-error.h"
#include "protocol/cloud-messages.h"

/* How long a kind of machine is not requested again after the cloud had no capacity for it. */
#define NO_CAPACITY_BACK_OFF_US (15 * MH_SECOND_US)
/* How long a kind of machine is not requested again after it was refused for another reason. */
#define REFUSED_BACK_OFF_US (2 * MH_SECOND_US)
/* Back-off before a request that may have been carried out, or that was throttled, is sent again,
   and the random time added to it. */
#define RETRY_BACK_OFF_US 300000
#define RETRY_BACK_OFF_JITTER_US 300000
/* Maximum number of machines in one request (PROTOCOL, "POST /machines"). */
#define MAX_MACHINES_PER_REQUEST 50u

struct MhScaleOut
{
  const MhAutoscalerContext *context;
  MhLostCapacity *lost_capacity;
  MhScaleOutDoneFunc done_func;
  gpointer done_owner;
  bool request_in_flight;
  guint64 n_requests;           /* requests made in this leadership */
  GHashTable *refused_until_us; /* type/zone/spot -> gint64 */
};

/* A request for machines of one kind. */
typedef struct
{
  char *name, *type, *zone;
  bool spot;
  guint count;
  double cpus_per_machine;
} CreateRequest;

static void
create_request_clear (gpointer data)
{
  CreateRequest *request = data;
  g_free (request->name);
  g_free (request->type);
  g_free (request->zone);
}

static void
create_request_unref (gpointer data)
{
  g_rc_box_release_full (data, create_request_clear);
}

static void
send_request (MhScaleOut *self, CreateRequest *request);

MhScaleOut *
mh_scale_out_new (const MhAutoscalerContext *context, MhLostCapacity *lost_capacity)
{
  MhScaleOut *self = g_new0 (MhScaleOut, 1);
  self->context = context;
  self->lost_capacity = lost_capacity;
  self->refused_until_us = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return self;
}

void
mh_scale_out_free (MhScaleOut *self)
{
  if (self == NULL)
    return;
  g_hash_table_unref (self->refused_until_us);
  g_free (self);
}

void
mh_scale_out_set_done_func (MhScaleOut *self, MhScaleOutDoneFunc func, gpointer owner)
{
  g_return_if_fail (self != NULL);
  self->done_func = func;
  self->done_owner = owner;
}

void
mh_scale_out_reset (MhScaleOut *self)
{
  g_return_if_fail (self != NULL);
  self->request_in_flight = false;
  self->n_requests = 0;
  g_hash_table_remove_all (self->refused_until_us);
}

bool
mh_scale_out_is_busy (const MhScaleOut *self)
{
  g_return_val_if_fail (self != NULL, true);
  return self->request_in_flight;
}

/* ---- refused kinds ---- */

static char *
make_kind_key (const char *type, const char *zone, bool spot)
{
  return g_strdup_printf ("%s/%s/%d", type, zone, spot);
}

bool
mh_scale_out_is_kind_refused (const MhScaleOut *self, const MhMachineType *type, const char *zone,
                              bool spot)
{
  g_return_val_if_fail (self != NULL, true);
  g_autofree char *key = make_kind_key (type->name, zone, spot);
  const gint64 *until_us = g_hash_table_lookup (self->refused_until_us, key);
  return until_us && mh_runtime_now_us (self->context->runtime) < *until_us;
}

/* Notes that the cloud did not create all requested machines of a kind, which is therefore not
   requested again for a while. */
static void
mark_kind_refused (MhScaleOut *self, const CreateRequest *request, guint missing, bool no_capacity)
{
  MhRuntime *runtime = self->context->runtime;
  gint64 *until_us = g_new (gint64, 1);
  *until_us
      = mh_runtime_now_us (runtime) + (no_capacity ? NO_CAPACITY_BACK_OFF_US : REFUSED_BACK_OFF_US);
  g_hash_table_insert (self->refused_until_us,
                       make_kind_key (request->type, request->zone, request->spot), until_us);
  mh_log_info (runtime, "machines refused count=%u type=%s zone=%s spot=%d reason=%s", missing,
               request->type, request->zone, request->spot,
               no_capacity ? "no_capacity" : "refused");
}

/* ---- requests ---- */

static void
add_created_machines (MhScaleOut *self, const CreateRequest *request, char **names)
{
  MhCluster *cluster = self->context->cluster;
  guint created = g_strv_length (names);
  mh_log_info (self->context->runtime,
               "machines created count=%u requested=%u type=%s zone=%s spot=%d", created,
               request->count, request->type, request->zone, request->spot);
  mh_lost_capacity_replace (self->lost_capacity, request->cpus_per_machine * created);
  for (guint i = 0; i < created; i++)
    if (mh_cluster_find_machine (cluster, names[i]) == NULL
        && !mh_cluster_was_released (cluster, names[i]))
      mh_cluster_add_machine (cluster, names[i], request->type, request->zone, request->spot)
          ->boot.created_here
          = true;
  if (created < request->count)
    mark_kind_refused (self, request, request->count - created, true);
}

static void
handle_response (gpointer owner, gpointer data, const MhCallResponse *response)
{
  MhScaleOut *self = owner;
  CreateRequest *request = data;
  g_autoptr (GError) error = NULL;
  g_auto (GStrv) names = mh_cloud_read_created_machines (response->status, response->body, &error);
  if (names)
    add_created_machines (self, request, names);
  else if (mh_cloud_error_is_final (error))
    mark_kind_refused (self, request, request->count,
                       g_error_matches (error, MH_CLOUD_ERROR, MH_CLOUD_ERROR_NO_CAPACITY));
  else
    {
      /* The request was throttled, or may have been carried out. It is sent again under the same
         name, so that no machine is created twice. */
      mh_call_queue_pause_cloud (self->context->calls, RETRY_BACK_OFF_US, RETRY_BACK_OFF_JITTER_US);
      send_request (self, request);
      return;
    }
  self->request_in_flight = false;
  if (self->done_func)
    self->done_func (self->done_owner);
}

static void
send_request (MhScaleOut *self, CreateRequest *request)
{
  MhCallOptions options = { .class = MH_CALL_WORK,
                            .timeout_us = MH_CLOUD_TIMEOUT_US,
                            .func = handle_response,
                            .owner = self,
                            .data = g_rc_box_acquire (request),
                            .free_data = create_request_unref };
  self->request_in_flight = true;
  mh_call_queue_add (
      self->context->calls,
      mh_cloud_request_create_machines (&(MhMachineCreateSpec){
          request->name, request->type, request->zone, request->spot, request->count }),
      &options);
}

static bool
is_same_kind (const MhCapacityEstimate *first, const MhCapacityEstimate *second)
{
  return first->type == second->type && first->spot == second->spot && first->zone == second->zone;
}

/* Returns the first machine that has to be created, and sets @count to the number of machines of
   its kind that have to be. Returns NULL if there is none. */
static const MhCapacityEstimate *
find_kind_to_create (const GArray *estimates, guint *count)
{
  const MhCapacityEstimate *first = NULL;
  *count = 0;
  for (guint i = 0; i < estimates->len; i++)
    {
      const MhCapacityEstimate *estimate = &g_array_index (estimates, MhCapacityEstimate, i);
      if (!estimate->to_create)
        continue;
      if (first == NULL)
        first = estimate;
      *count += is_same_kind (estimate, first);
    }
  return first;
}

void
mh_scale_out_request (MhScaleOut *self, const GArray *estimates)
{
  g_return_if_fail (self != NULL && !self->request_in_flight);
  guint count;
  const MhCapacityEstimate *kind = find_kind_to_create (estimates, &count);
  if (kind == NULL)
    return;
  CreateRequest *request = g_rc_box_new0 (CreateRequest);
  /* The epoch is unique to this leadership, so the name has never been used before. */
  request->name = g_strdup_printf ("r-%" G_GUINT64_FORMAT "-%" G_GUINT64_FORMAT,
                                   mh_election_epoch (self->context->election), ++self->n_requests);
  request->type = g_strdup (kind->type->name);
  request->zone = g_strdup (kind->zone);
  request->spot = kind->spot;
  request->count = MIN (count, MAX_MACHINES_PER_REQUEST);
  request->cpus_per_machine = kind->type->cpus;
  send_request (self, request);
  create_request_unref (request);
}
