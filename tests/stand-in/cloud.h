/* The cloud, by its published protocol: machine types, requests to create machines, which are
   idempotent by their id, a list of machines that lags behind, and releases. */
#pragma once

#include "settings/settings.h"
#include "stand-in/machine.h"
#include "stand-in/service.h"

/**
 * Cloud:
 * @now_us: present time; set by the owner
 * @boot_us: how long a machine takes to boot
 * @list_lag_us: how far the list of machines lags behind the present
 * @outage_until_us: every request gets 503 until then
 * @max_machines: number of machines that may exist at the same time
 * @zone_count: number of zones, which are named a, b, ...
 * @machines: (element-type Machine): all machines ever created, in the order of creation
 * @create_requests: id of a create request -> names of its machines, separated by commas
 * @machines_created: number of machines ever created
 * @list_requests: number of pages of the list that were read
 * @runtime: runs the tasks of new machines; not owned
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

/** cloud_new: @machines: that new machines are appended to; a reference is taken. Returns:
 * (transfer full): a cloud without an outage */
Cloud *
cloud_new (GPtrArray *machines, gint64 list_lag_us, struct WorkerRuntime *runtime);
/** cloud_free: Frees @cloud. */
void
cloud_free (Cloud *cloud);
/** cloud_add_machine: Returns: a machine that is created now, also beyond @max_machines */
Machine *
cloud_add_machine (Cloud *cloud, const char *type, const char *zone, bool spot);
/** cloud_serve: Answers a request. */
void
cloud_serve (Cloud *cloud, const ServiceRequest *request, ServiceResponse *response);
/** cloud_describe_create_requests: Appends a line for each create request to @out, in the order of
 * their ids. */
void
cloud_describe_create_requests (const Cloud *cloud, GString *out);
