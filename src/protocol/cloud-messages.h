/* Messages exchanged with the cloud: machine types, the list of machines, scale-out and scale-in
   (PROTOCOL, "Controller nodes -> cloud"). */
#pragma once

#include "protocol/request.h"

/**
 * MhMachineType:
 * @name: name
 * @cpus: number of processors
 * @gpus: number of accelerators
 * @mem_gb: memory
 * @cache_gb: capacity of the image cache
 * @fetch_gb_per_s: rate at which a machine fetches images
 * @price: nominal price per hour
 * @spot_price: current price per hour of a spot machine; @price when the cloud gives none
 * @boot_us: usual time from the request that creates a machine to its first heartbeat
 * @zones: (nullable): %NULL-terminated array of the zones that offer the type
 *
 * A machine type that the cloud offers. It owns its strings.
 */
typedef struct
{
  char *name;
  double cpus, gpus, mem_gb, cache_gb, fetch_gb_per_s, price, spot_price;
  gint64 boot_us;
  char **zones;
} MhMachineType;

/**
 * mh_machine_type_free:
 * @type: (nullable) (transfer full): a machine type
 */
void
mh_machine_type_free (MhMachineType *type);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (MhMachineType, mh_machine_type_free)

/**
 * MhListedState:
 * @MH_LISTED_STARTING: the worker sends no heartbeats yet
 * @MH_LISTED_RUNNING: the machine is up, or failed at most half a minute ago
 * @MH_LISTED_FAILED: the machine stopped without a request to delete it; it stays in the list until
 *   it is deleted
 *
 * The state of a machine in the cloud's list.
 */
typedef enum
{
  MH_LISTED_STARTING,
  MH_LISTED_RUNNING,
  MH_LISTED_FAILED
} MhListedState;

/**
 * MhListedMachine:
 * @name: name
 * @endpoint: (nullable): address and port of the worker
 * @type: machine type
 * @zone: zone
 * @spot: whether it is a spot machine
 * @state: state according to the cloud
 * @age_us: time from the request that created the machine to the time at which the list was current
 *
 * A machine in the cloud's list. The list lags behind the actual state. It owns its strings.
 */
typedef struct
{
  char *name, *endpoint, *type, *zone;
  bool spot;
  MhListedState state;
  gint64 age_us;
} MhListedMachine;

/**
 * mh_listed_machine_free:
 * @machine: (nullable) (transfer full): a listed machine
 */
void
mh_listed_machine_free (MhListedMachine *machine);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (MhListedMachine, mh_listed_machine_free)

/**
 * mh_machine_types_decode:
 * @body: (nullable): response to mh_cloud_request_machine_types()
 * @error: (nullable): return location for an error of %MH_PROTOCOL_ERROR
 *
 * Returns: (transfer full) (nullable) (element-type MhMachineType): the machine types, or
 *   %NULL when @body is malformed
 */
GPtrArray *
mh_machine_types_decode (const MhValue *body, GError **error);

/**
 * mh_machine_list_decode:
 * @body: (nullable): response to mh_cloud_request_machine_list()
 * @has_more: (out): whether another page follows
 * @error: (nullable): return location for an error of %MH_PROTOCOL_ERROR
 *
 * Returns: (transfer full) (nullable) (element-type MhListedMachine): the machines sorted by name,
 * or %NULL when @body is malformed
 */
GPtrArray *
mh_machine_list_decode (const MhValue *body, bool *has_more, GError **error);

/**
 * mh_created_machines_decode:
 * @body: (nullable): response to mh_cloud_request_create_machines()
 * @error: (nullable): return location for an error of %MH_PROTOCOL_ERROR
 *
 * Returns: (transfer full) (nullable): %NULL-terminated array of the names of the created machines,
 *   which may be fewer than requested, or %NULL when @body is malformed
 */
char **
mh_created_machines_decode (const MhValue *body, GError **error);

/**
 * mh_cloud_request_machine_types:
 *
 * Returns: (transfer full): a request for the machine types
 */
MhRequest *
mh_cloud_request_machine_types (void);

/**
 * mh_cloud_request_machine_list:
 * @after: (nullable): the last name on the previous page; %NULL: the first page
 *
 * Returns: (transfer full): a request for one page of the list of machines
 */
MhRequest *
mh_cloud_request_machine_list (const char *after);

/**
 * MhMachineCreateSpec:
 * @name: idempotency key ("rental" in the protocol): a request that is sent again with the same key
 *   creates no further machines; requests for other machines need a key that was never used
 * @type: machine type
 * @zone: zone
 * @spot: whether to create spot machines
 * @count: number of machines, at most 50 (PROTOCOL, "POST /machines")
 *
 * The machines that a request creates. Its strings are borrowed.
 */
typedef struct
{
  const char *name;
  const char *type;
  const char *zone;
  bool spot;
  guint count;
} MhMachineCreateSpec;

/**
 * mh_cloud_request_create_machines:
 * @spec: the machines
 *
 * Returns: (transfer full): a request that creates machines, for scale-out
 */
MhRequest *
mh_cloud_request_create_machines (const MhMachineCreateSpec *spec);

/**
 * mh_cloud_request_delete_machines:
 * @machines: %NULL-terminated array of names; at most 100 (PROTOCOL, "POST /machines/release")
 *
 * When the cloud has confirmed the request, the machines no longer exist.
 *
 * Returns: (transfer full): a request that deletes machines, for scale-in
 */
MhRequest *
mh_cloud_request_delete_machines (char **machines);
