/* The settings of a controller: those of the platform and those of the operator. */
#pragma once

#include "base/time-units.h"

#include <glib.h>
#include <stdbool.h>

/**
 * MH_SETTINGS_ERROR:
 *
 * Error domain of the settings. A message is one line for the author of the file.
 */
#define MH_SETTINGS_ERROR (mh_settings_error_quark ())

/**
 * mh_settings_error_quark:
 *
 * Returns: the quark of #MH_SETTINGS_ERROR
 */
GQuark
mh_settings_error_quark (void);

/**
 * MhSettingsError:
 * @MH_SETTINGS_ERROR_FILE: a file cannot be read or parsed
 * @MH_SETTINGS_ERROR_MISSING: a setting without a default is missing
 * @MH_SETTINGS_ERROR_INVALID: the value of a setting is not allowed
 *
 * Codes of #MH_SETTINGS_ERROR.
 */
typedef enum
{
  MH_SETTINGS_ERROR_FILE,
  MH_SETTINGS_ERROR_MISSING,
  MH_SETTINGS_ERROR_INVALID
} MhSettingsError;

/**
 * MhMember:
 * @name: node_name of the controller
 * @zone: (nullable): zone of the controller
 * @endpoint: "ADDRESS:PORT" on which it listens for other controllers
 *
 * Another controller (platform: members).
 */
typedef struct
{
  char *name;
  char *zone;
  char *endpoint;
} MhMember;

/**
 * MhTeam:
 * @name: name of the team
 * @cpus: guaranteed processors; 0: none
 * @gpus: guaranteed accelerators; 0: none
 * @cpus_max: limit of processors; infinite: no limit
 * @gpus_max: limit of accelerators; infinite: no limit
 *
 * The quota of a team (platform: settings.teams).
 */
typedef struct
{
  char *name;
  double cpus;
  double gpus;
  double cpus_max;
  double gpus_max;
} MhTeam;

/**
 * MhObjectiveKind:
 * @MH_OBJECTIVE_WAIT: a task starts within a time after its submission ("wait")
 * @MH_OBJECTIVE_FINISHED: a job is done within a time after its submission ("finished")
 * @MH_OBJECTIVE_DEADLINE: a job is done by its deadline ("deadline")
 * @MH_OBJECTIVE_GUARANTEE: a team gets its guaranteed quota within a time after it requests it
 *   ("guarantee")
 *
 * Kind of a service-level objective, with its name in the platform's settings.
 */
typedef enum
{
  MH_OBJECTIVE_WAIT,
  MH_OBJECTIVE_FINISHED,
  MH_OBJECTIVE_DEADLINE,
  MH_OBJECTIVE_GUARANTEE
} MhObjectiveKind;

/**
 * MhObjective:
 * @kind: kind of the objective
 * @class_name: (nullable): class of the jobs to which it applies
 * @within_us: time that is allowed, in microseconds; 0: not set
 *
 * A service-level objective (platform: settings.objectives). Objectives of unknown kinds are
 * ignored.
 */
typedef struct
{
  MhObjectiveKind kind;
  char *class_name;
  gint64 within_us;
} MhObjective;

/**
 * MhSpreadRule:
 * @class_name: class of the services to which it applies
 * @max_skew: KEP-895's MaxSkew, at least 1
 * @soft: KEP-895's ScheduleAnyway; otherwise DoNotSchedule
 *
 * Topology spread of one class of services over zones (operator: spread).
 */
typedef struct
{
  char *class_name;
  guint max_skew;
  bool soft;
} MhSpreadRule;

/**
 * MhSettings:
 * @node_name: name of this controller (platform: node_name)
 * @zone: (nullable): zone of this controller (platform: zone)
 * @front: "ADDRESS:PORT" on which it listens for users and workers (platform: front)
 * @peer_bind: "ADDRESS:PORT" on which it listens for other controllers (platform: peer_bind)
 * @cloud: "HOST:PORT" of the cloud (platform: endpoints.cloud)
 * @key_value_store: "HOST:PORT" of the key-value store (platform: endpoints.state)
 * @members: (element-type MhMember): the other controllers (platform: members)
 * @teams: (element-type MhTeam): quotas (platform: settings.teams)
 * @objectives: (element-type MhObjective): service-level objectives (platform: settings.objectives)
 * @heartbeat_interval_us: time between two heartbeats of a worker, in microseconds (platform:
 *   settings.workers.report_s)
 * @worker_lease_us: time without a response from the leader after which a worker stops its tasks,
 *   in microseconds (platform: settings.workers.lease_s)
 * @cancel_limit_us: time within which the tasks of a cancelled job have to be gone, in microseconds
 *   (platform: settings.workers.cancel_s)
 * @list_lag_us: how far the cloud's list of machines may be behind, in microseconds (platform:
 *   settings.cloud.list_lag_s)
 * @gang_wait_us: time that a ready task waits for the other tasks of its gang, in microseconds
 *   (platform: settings.workers.gang_wait_s); 50 s by default
 * @gang_peer_us: time within which all tasks of a gang have to receive a command to stop, or to
 *   detect the loss of a task, in microseconds (platform: settings.workers.gang_peer_s); 5 s by
 *   default
 * @store_rps: requests per second that the key-value store allows (platform: settings.state.rps)
 * @store_write_rps: changes per second that the key-value store allows (platform:
 *   settings.state.write_rps)
 * @cloud_rps: requests per second that the cloud allows (platform: settings.cloud.rps)
 * @value_bytes: largest value in the key-value store, in bytes (platform: settings.state.value_kb);
 *   after mh_settings_check() the lower one of the present and the next limit
 * @txn_ops: largest number of changes in one transaction (platform: settings.state.txn_ops); after
 *   mh_settings_check() the lower one of the present and the next limit
 * @next_write_rps: changes per second that the key-value store will allow from some moment on; the
 *   change is not announced (platform: settings.state.next.write_rps); 0: no change
 * @next_value_bytes: largest value from that moment on, in bytes (platform:
 *   settings.state.next.value_kb); 0: no change
 * @next_txn_ops: largest number of changes in one transaction from that moment on (platform:
 *   settings.state.next.txn_ops); 0: no change
 * @core_share: share of one processor that this controller may use (platform:
 *   settings.resources.core_share); 0.1 by default
 * @max_connections: number of connections of users and workers that may be open (platform:
 *   settings.resources.max_connections); 1000 by default
 * @memory_bytes: memory that this controller may use, in bytes (platform:
 *   settings.resources.ram_mb); 0: not set
 * @leader_lease_us: duration of the leader lease in the key-value store, in microseconds (operator:
 *   lease_s)
 * @silence_limit_us: time without a message from a machine after which it is released, in
 *   microseconds (operator: silence_s); not 0 after mh_settings_check()
 * @idle_limit_us: time without tasks after which a machine is released, in microseconds (operator:
 *   idle_s)
 * @max_batch: largest number of records in one transaction (operator: batch); at most @txn_ops
 * after mh_settings_check()
 * @max_skew: MaxSkew of classes without a rule (operator: max_skew)
 * @soft_spread: ScheduleAnyway for classes without a rule; otherwise DoNotSchedule (operator:
 *   when_unsatisfiable)
 * @direct_commands: whether commands are also sent to workers directly, not only in responses to
 * their heartbeats (operator: direct)
 * @metrics: (nullable): "ADDRESS:PORT" on which it serves its metrics (operator: metrics); %NULL:
 * not served
 * @spread_rules: (element-type MhSpreadRule): rules of single classes (operator: spread)
 *
 * All settings. "platform" and "operator" name the file and the field that a value is read from.
 */
typedef struct
{
  char *node_name;
  char *zone;
  char *front;
  char *peer_bind;
  char *cloud;
  char *key_value_store;
  char *metrics;
  GPtrArray *members;
  GPtrArray *teams;
  GPtrArray *objectives;
  gint64 heartbeat_interval_us;
  gint64 worker_lease_us;
  gint64 cancel_limit_us;
  gint64 list_lag_us;
  gint64 gang_wait_us;
  gint64 gang_peer_us;
  double store_rps;
  double store_write_rps;
  double cloud_rps;
  guint value_bytes;
  guint txn_ops;
  double next_write_rps;
  guint next_value_bytes;
  guint next_txn_ops;
  double core_share;
  guint max_connections;
  gint64 memory_bytes;
  gint64 leader_lease_us;
  gint64 silence_limit_us;
  gint64 idle_limit_us;
  guint max_batch;
  guint max_skew;
  bool soft_spread;
  bool direct_commands;
  GPtrArray *spread_rules;
} MhSettings;

/**
 * mh_settings_new:
 *
 * Returns: (transfer full): settings with only the defaults, which are not valid yet
 */
MhSettings *
mh_settings_new (void);

/**
 * mh_settings_free:
 * @settings: (nullable) (transfer full): settings
 */
void
mh_settings_free (MhSettings *settings);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (MhSettings, mh_settings_free)

/**
 * mh_settings_find_team:
 * @settings: settings
 * @name: name of a team
 *
 * Returns: (transfer none) (nullable): the team; %NULL when there is no team of that name
 */
MhTeam *
mh_settings_find_team (const MhSettings *settings, const char *name);
