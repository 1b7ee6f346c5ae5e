/* The cloud, by its published protocol: types, rentals that are idempotent by name, a list of the
   machines that lags behind, and releases. */
#pragma once

#include "settings/settings.h"
#include "stand-in/machine.h"
#include "stand-in/service.h"

/**
 * Cloud:
 * @now_us: present time; the owner moves it
 * @boot_us: how long a machine takes to start
 * @list_lag_us: how far the list is behind
 * @outage_until_us: every request gets 503 until then
 * @capacity: machines at once
 * @zones: how many there are: a, b, ...
 * @machines: (element-type Machine): all that ever were, in the order in which they were rented
 * @rentals: name of a rental -> names of its machines, with commas
 * @machines_rented: how many there ever were
 * @list_requests: how many pages of the list were read
 * @runtime: what runs tasks on new machines; not owned
 */
typedef struct
{
  gint64 now_us;
  gint64 boot_us, list_lag_us;
  gint64 outage_until_us;
  guint max_machines;
  guint zone_count;
  GPtrArray *machines;
  GHashTable *create_requests;
  guint64 machines_created;
  guint list_requests;
  struct WorkerRuntime *runtime;
} Cloud;

/** cloud_new: @machines: where its machines are put; a reference is taken. Returns: (transfer
 * full): */
Cloud *
cloud_new (GPtrArray *machines, gint64 list_lag_us, struct WorkerRuntime *runtime);
/** cloud_free: @cloud: a cloud */
void
cloud_free (Cloud *cloud);
/** cloud_add_machine: Returns: a machine that was rented now, whatever the capacity */
Machine *
cloud_add_machine (Cloud *cloud, const char *type, const char *zone, bool spot);
/** cloud_serve: Answers a request. */
void
cloud_serve (Cloud *cloud, const ServiceRequest *request, ServiceReply *reply);
/** cloud_describe_rentals: Appends a line a rental to @out, in the order of their names. */
void
cloud_describe_create_requests (const Cloud *cloud, GString *out);
