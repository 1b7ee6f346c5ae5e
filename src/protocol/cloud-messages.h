/* Messages of the cloud: machine types, the list of machines, scale-out and scale-in (PROTOCOL,
   "Controller nodes -> cloud"). */
#pragma once

#include "protocol/request.h"

/**
 * MhMachineType:
 * @name: its name
 * @cpus: processors
 * @gpus: accelerators
 * @mem_gb: memory
 * @cache_gb: room for images
 * @fetch_gb_per_s: rate at which it fetches images
 * @price: nominal price of an hour
 * @spot_price: current price of an hour of a spot machine
 * @boot_us: usual time from request to first heartbeat
 * @zones: (nullable): the zones that have it, ending in %NULL
 *
 * A type of machines that the cloud offers. It owns its strings.
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
 * @MH_LISTED_STARTING: its worker does not report yet
 * @MH_LISTED_RUNNING: it is up, or died no more than half a minute ago
 * @MH_LISTED_FAILED: it stopped by itself, and is listed until it is deleted
 *
 * What the cloud says of a machine.
 */
typedef enum
{
  MH_LISTED_STARTING,
  MH_LISTED_RUNNING,
  MH_LISTED_FAILED
} MhListedState;

/**
 * MhListedMachine:
 * @name: its name
 * @endpoint: (nullable): address and port of its worker
 * @type: machine type
 * @zone: zone
 * @spot: whether it is a spot machine
 * @state: what the cloud says of it
 * @age_us: time from the request that created it to the moment that the list describes
 *
 * A machine in the cloud's list, which lags. It owns its strings.
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
 * @body: (nullable): answer to mh_cloud_request_machine_types()
 * @error: (nullable): return location for an error of %MH_PROTOCOL_ERROR
 *
 * Returns: (transfer full) (nullable): #MhMachineType, or %NULL when @body is malformed
 */
GPtrArray *
mh_machine_types_decode (const MhValue *body, GError **error);

/**
 * mh_machine_list_decode:
 * @body: (nullable): answer to mh_cloud_request_machine_list()
 * @more: (out): whether another page follows
 * @error: (nullable): return location for an error of %MH_PROTOCOL_ERROR
 *
 * Returns: (transfer full) (nullable): #MhListedMachine in the order of their names, or %NULL when
 * @body is malformed
 */
GPtrArray *
mh_machine_list_decode (const MhValue *body, bool *more, GError **error);

/**
 * mh_created_machines_decode:
 * @body: (nullable): answer to mh_cloud_request_create_machines()
 * @error: (nullable): return location for an error of %MH_PROTOCOL_ERROR
 *
 * Returns: (transfer full) (nullable): names of the machines, perhaps fewer than were asked for, or
 * %NULL when @body is malformed
 */
char **
mh_created_machines_decode (const MhValue *body, GError **error);

/**
 * mh_cloud_request_machine_types:
 *
 * Returns: (transfer full): a request
 */
MhRequest *
mh_cloud_request_machine_types (void);

/**
 * mh_cloud_request_machine_list:
 * @after: (nullable): the last name of the page before; %NULL: the first page
 *
 * Returns: (transfer full): a request for a page of the list
 */
MhRequest *
mh_cloud_request_machine_list (const char *after);

/**
 * MhMachineOrder:
 * @name: name of the request, never used before: a repeated one creates nothing more
 * @type: machine type
 * @zone: zone
 * @spot: whether spot machines are wanted
 * @count: how many; at most 50 (PROTOCOL, "POST /machines")
 *
 * Which machines to create. It borrows its strings.
 */
typedef struct
{
  const char *name;
  const char *type;
  const char *zone;
  bool spot;
  guint count;
} MhMachineOrder;

/**
 * mh_cloud_request_create_machines:
 * @order: which machines
 *
 * Returns: (transfer full): a request, for scale-out
 */
MhRequest *
mh_cloud_request_create_machines (const MhMachineOrder *order);

/**
 * mh_cloud_request_delete_machines:
 * @machines: names, ending in %NULL; at most 100 (PROTOCOL, "POST /machines/release")
 *
 * Returns: (transfer full): a request, for scale-in. When it is answered, the machines are gone.
 */
MhRequest *
mh_cloud_request_delete_machines (char **machines);
