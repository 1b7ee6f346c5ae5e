#include "autoscaler/scale-in.h"
#include "autoscaler/cloud-error.h"
#include "autoscaler/release-state.h"
#include "protocol/cloud-messages.h"
#include "storage/record.h"
#include "storage/record-writer.h"
#include "election/leader-record.h"

#include <string.h>

/* How long the write of a record waits for its response. */
#define RECORD_TIMEOUT_US (MH_SECOND_US)
/* Interval between two batches: machines that become idle or unresponsive at about the same time
   are released in one call. */
#define BATCH_INTERVAL_US (MH_SECOND_US / 4)
/* Back-off after a call to the cloud that was not confirmed, and the random time added to it. */
#define RETRY_BACK_OFF_US 500000
#define RETRY_BACK_OFF_JITTER_US 500000
/* Maximum number of machines in one call (PROTOCOL, "POST /machines/release"). */
#define MAX_MACHINES_PER_BATCH 100u
/* Maximum number of batches in flight; further releases wait for a later batch. Without this
   limit, many calls for a few machines each use up the cloud's rate limit, and requests to create
   and list machines wait behind them. */
#define MAX_BATCHES_IN_FLIGHT 2u
/* Bytes that the encoding of a machine name in the record adds to the name. */
#define ENCODED_NAME_OVERHEAD_BYTES 4u

/* Machines that must be in the same batch: a single one, or all of an earlier leader's record. */
typedef struct
{
  char **machines;
  char *record_key; /* key of the earlier leader's record; NULL: none */
} ReleaseRequest;

/* Machines that are released together. */
typedef struct
{
  MhReleaseState state;
  char *key;               /* key of its record */
  char **machines;         /* names */
  char **replaced_records; /* keys of earlier leaders' records that its record replaces */
} ReleaseBatch;

struct MhScaleIn
{
  const MhAutoscalerContext *context;
  MhLostCapacity *lost_capacity;
  GQueue pending_releases;  /* ReleaseRequest */
  gint64 next_batch_due_us; /* earliest time of the next batch */
  guint n_batches;          /* batches made in this leadership */
  guint batches_in_flight;
};

static void
release_request_free (gpointer data)
{
  ReleaseRequest *request = data;
  g_strfreev (request->machines);
  g_free (request->record_key);
  g_free (request);
}

static void
release_batch_clear (gpointer data)
{
  ReleaseBatch *batch = data;
  g_free (batch->key);
  g_strfreev (batch->machines);
  g_strfreev (batch->replaced_records);
}

static void
release_batch_unref (gpointer data)
{
  g_rc_box_release_full (data, release_batch_clear);
}

MhScaleIn *
mh_scale_in_new (const MhAutoscalerContext *context, MhLostCapacity *lost_capacity)
{
  MhScaleIn *self = g_new0 (MhScaleIn, 1);
  self->context = context;
  self->lost_capacity = lost_capacity;
  g_queue_init (&self->pending_releases);
  return self;
}

void
mh_scale_in_free (MhScaleIn *self)
{
  if (self == NULL)
    return;
  g_queue_clear_full (&self->pending_releases, release_request_free);
  g_free (self);
}

void
mh_scale_in_reset (MhScaleIn *self)
{
  g_return_if_fail (self != NULL);
  g_queue_clear_full (&self->pending_releases, release_request_free);
  self->next_batch_due_us = 0;
  self->n_batches = self->batches_in_flight = 0;
}

bool
mh_scale_in_is_idle (const MhScaleIn *self)
{
  g_return_val_if_fail (self != NULL, true);
  return self->batches_in_flight == 0 && self->pending_releases.length == 0;
}

/* ---- requests ---- */

static void
queue_request (MhScaleIn *self, char **machines, char *record_key)
{
  ReleaseRequest *request = g_new0 (ReleaseRequest, 1);
  request->machines = machines;
  request->record_key = record_key;
  g_queue_push_tail (&self->pending_releases, request);
}

void
mh_scale_in_release_machine (MhScaleIn *self, MhMachine *machine, MhReleaseReason reason)
{
  g_return_if_fail (self != NULL);
  if (mh_machine_is_releasing (machine))
    return;
  mh_log_info (self->context->runtime, "releasing machine reason=%s machine=%s",
               mh_release_reason_text (reason), machine->name);
  mh_machine_change_state (machine, MH_MACHINE_EVENT_RELEASE_REQUESTED);
  mh_lost_capacity_add (self->lost_capacity, machine->usage.cpus);
  const char *names[] = { machine->name, NULL };
  queue_request (self, g_strdupv ((char **)names), NULL);
}

void
mh_scale_in_load_release (MhScaleIn *self, const MhKvEntry *entry)
{
  g_return_if_fail (self != NULL);
  MhCluster *cluster = self->context->cluster;
  g_autoptr (GError) error = NULL;
  char **names = mh_record_read_release (entry->value, &error);
  for (char **name = names; name && *name; name++)
    {
      MhMachine *machine = mh_cluster_find_machine (cluster, *name);
      if (machine == NULL)
        machine = mh_cluster_add_machine (cluster, *name, NULL, NULL, false);
      mh_machine_change_state (machine, MH_MACHINE_EVENT_RELEASE_REQUESTED);
    }
  if (names)
    queue_request (self, names, g_strdup (entry->key));
  else
    mh_runtime_log (self->context->runtime, G_LOG_LEVEL_CRITICAL,
                    "record cannot be read key=%s reason=\"%s\"", entry->key, error->message);
}

/* ---- the call to the cloud ---- */

static void
advance_batch (ReleaseBatch *batch, MhReleaseEvent event)
{
  if (!mh_release_state_advance (&batch->state, event))
    g_return_if_reached ();
}

static void
delete_machines (MhScaleIn *self, ReleaseBatch *batch);

static void
confirm_batch (MhScaleIn *self, ReleaseBatch *batch)
{
  MhCluster *cluster = self->context->cluster;
  advance_batch (batch, MH_RELEASE_EVENT_DELETION_CONFIRMED);
  for (char **name = batch->machines; *name; name++)
    {
      MhMachine *machine = mh_cluster_find_machine (cluster, *name);
      mh_log_debug (self->context->runtime, "machine deleted machine=%s", *name);
      if (machine)
        mh_cluster_remove_released_machine (cluster, machine);
    }
  mh_record_writer_delete_key (self->context->record_writer, batch->key);
  self->batches_in_flight--;
}

static void
handle_delete_response (gpointer owner, gpointer data, const MhCallResponse *response)
{
  MhScaleIn *self = owner;
  ReleaseBatch *batch = data;
  if (mh_cloud_check_response (response->status, response->body, NULL))
    {
      confirm_batch (self, batch);
      return;
    }
  /* Retry after every kind of error: the machines may still run tasks, so their deletion is
     requested until it is confirmed. */
  advance_batch (batch, MH_RELEASE_EVENT_DELETION_UNKNOWN);
  mh_call_queue_pause_cloud (self->context->calls, RETRY_BACK_OFF_US, RETRY_BACK_OFF_JITTER_US);
  delete_machines (self, batch);
}

static void
delete_machines (MhScaleIn *self, ReleaseBatch *batch)
{
  MhCallOptions options = { .class = MH_CALL_SAFETY,
                            .timeout_us = MH_CLOUD_TIMEOUT_US,
                            .func = handle_delete_response,
                            .owner = self,
                            .data = g_rc_box_acquire (batch),
                            .free_data = release_batch_unref };
  mh_call_queue_add (self->context->calls, mh_cloud_request_delete_machines (batch->machines),
                     &options);
}

/* ---- the record ---- */

static void
write_record (MhScaleIn *self, ReleaseBatch *batch);

static bool
is_leader_condition_refused (const MhCallResponse *response)
{
  g_auto (GStrv) failed
      = response->status == 409 ? mh_kv_failed_conditions_decode (response->body, NULL) : NULL;
  return failed && g_strv_contains ((const char *const *)failed, MH_LEADER_KEY);
}

static void
handle_record_response (gpointer owner, gpointer data, const MhCallResponse *response)
{
  MhScaleIn *self = owner;
  ReleaseBatch *batch = data;
  if (is_leader_condition_refused (response))
    {
      advance_batch (batch, MH_RELEASE_EVENT_LEADERSHIP_LOST);
      mh_election_step_down (self->context->election, MH_LOSS_ANOTHER_LEADER);
    }
  /* 409: the record exists, so an earlier write whose response was lost has been carried out. */
  else if (response->status == 200 || response->status == 409)
    {
      advance_batch (batch, MH_RELEASE_EVENT_RECORD_DURABLE);
      delete_machines (self, batch);
    }
  else if (response->status == 400)
    {
      advance_batch (batch, MH_RELEASE_EVENT_LEADERSHIP_LOST);
      mh_election_step_down (self->context->election, MH_LOSS_RECORD_REFUSED);
    }
  else
    {
      advance_batch (batch, MH_RELEASE_EVENT_RECORD_UNKNOWN);
      mh_call_queue_handle_store_failure (self->context->calls, response->status);
      write_record (self, batch);
    }
}

static void
write_record (MhScaleIn *self, ReleaseBatch *batch)
{
  MhKvCondition conditions[]
      = { { MH_LEADER_KEY, mh_election_key_version (self->context->election) }, { batch->key, 0 } };
  g_autoptr (MhValue) value = mh_record_write_release (batch->machines);
  g_autoptr (GArray) changes = g_array_new (FALSE, FALSE, sizeof (MhKvChange));
  MhKvChange put = { .key = batch->key, .value = value };
  g_array_append_val (changes, put);
  for (char **key = batch->replaced_records; *key; key++)
    {
      MhKvChange drop = { .key = *key };
      g_array_append_val (changes, drop);
    }
  MhCallOptions options = { .class = MH_CALL_SAFETY,
                            .changes = changes->len,
                            .timeout_us = RECORD_TIMEOUT_US,
                            .func = handle_record_response,
                            .owner = self,
                            .data = g_rc_box_acquire (batch),
                            .free_data = release_batch_unref };
  mh_call_queue_add (self->context->calls,
                     mh_kv_request_transaction (conditions, G_N_ELEMENTS (conditions),
                                                (MhKvChange *)changes->data, changes->len),
                     &options);
}

/* ---- batches ---- */

/* The size of a batch. */
typedef struct
{
  guint machines, replaced_records;
  gsize bytes; /* encoded size of the machine names in the record */
} BatchSize;

static BatchSize
add_to_size (BatchSize size, const ReleaseRequest *request)
{
  for (char **name = request->machines; *name; name++)
    size.bytes += strlen (*name) + ENCODED_NAME_OVERHEAD_BYTES;
  size.machines += g_strv_length (request->machines);
  size.replaced_records += request->record_key != NULL;
  return size;
}

/* Checks whether a batch is too large: for one call to the cloud, for the value of its record, or
   for the transaction that writes the record and deletes the replaced ones. */
static bool
exceeds_limits (const MhScaleIn *self, const BatchSize *size)
{
  const MhSettings *settings = self->context->settings;
  return size->machines > MAX_MACHINES_PER_BATCH || size->bytes > settings->value_bytes / 2
         || size->replaced_records >= settings->txn_ops;
}

/* Creates a batch from the first pending releases: as many as fit, and at least one. */
static ReleaseBatch *
create_batch (MhScaleIn *self)
{
  g_autoptr (GStrvBuilder) machines = g_strv_builder_new ();
  g_autoptr (GStrvBuilder) replaced_records = g_strv_builder_new ();
  BatchSize size = { 0 };
  for (ReleaseRequest *request; (request = g_queue_peek_head (&self->pending_releases));)
    {
      bool is_first = size.machines == 0;
      size = add_to_size (size, request);
      if (!is_first && exceeds_limits (self, &size))
        break;
      g_strv_builder_addv (machines, (const char **)request->machines);
      if (request->record_key)
        g_strv_builder_add (replaced_records, request->record_key);
      release_request_free (g_queue_pop_head (&self->pending_releases));
    }
  ReleaseBatch *batch = g_rc_box_new0 (ReleaseBatch);
  batch->state = MH_RELEASE_REQUESTED;
  /* The epoch is unique to this leadership, so the key is unique as well. */
  batch->key = g_strdup_printf ("%s%" G_GUINT64_FORMAT "/%u", MH_RECORD_RELEASES,
                                mh_election_epoch (self->context->election), ++self->n_batches);
  batch->machines = g_strv_builder_end (machines);
  batch->replaced_records = g_strv_builder_end (replaced_records);
  return batch;
}

/* ---- idle machines ---- */

static void
release_if_idle (MhScaleIn *self, MhMachine *machine, gint64 now_us)
{
  if (!machine->heartbeat.reported || mh_machine_is_releasing (machine) || machine->attempts->len
      || machine->heartbeat.unreadable_tasks)
    return;
  if (machine->notice_deadline_us >= 0 || mh_machine_is_draining (machine))
    mh_scale_in_release_machine (self, machine, MH_RELEASE_REASON_DRAINED);
  else if (now_us - machine->idle_since_us > self->context->settings->idle_limit_us
           && now_us - machine->boot.created_us > MH_MINIMUM_BILLED_US)
    mh_scale_in_release_machine (self, machine, MH_RELEASE_REASON_IDLE);
}

static void
release_idle_machines (MhScaleIn *self, gint64 now_us)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, mh_cluster_machines (self->context->cluster));
  while (g_hash_table_iter_next (&iter, NULL, &value))
    release_if_idle (self, value, now_us);
}

void
mh_scale_in_step (MhScaleIn *self)
{
  g_return_if_fail (self != NULL);
  MhRuntime *runtime = self->context->runtime;
  gint64 now_us = mh_runtime_now_us (runtime);
  if (now_us < self->next_batch_due_us)
    {
      if (self->pending_releases.length)
        mh_runtime_wake_at (runtime, self->next_batch_due_us);
      return;
    }
  self->next_batch_due_us = now_us + BATCH_INTERVAL_US;
  release_idle_machines (self, now_us);
  if (self->pending_releases.length == 0 || self->batches_in_flight >= MAX_BATCHES_IN_FLIGHT)
    return;
  ReleaseBatch *batch = create_batch (self);
  self->batches_in_flight++;
  advance_batch (batch, MH_RELEASE_EVENT_BATCHED);
  write_record (self, batch);
  release_batch_unref (batch);
}
