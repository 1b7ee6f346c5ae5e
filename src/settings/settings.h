/* The settings of a controller: those that the platform hands over, and the operator's own. */
#pragma once

#include "base/time-units.h"

#include <glib.h>
#include <stdbool.h>

/**
 * MH_SETTINGS_ERROR:
 *
 * Error domain of the settings. Messages are one line, for the person who wrote the file.
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
 * @MH_SETTINGS_ERROR_FILE: a file cannot be read, or is not in its format
 * @MH_SETTINGS_ERROR_MISSING: a setting that has no default is not there
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
 * @zone: (nullable): the zone it is in
 * @endpoint: "ADDRESS:PORT" where it listens for controllers
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
 * @cpus: processors that are guaranteed to it; 0: none
 * @gpus: graphics processors that are guaranteed to it; 0: none
 * @cpus_max: limit of its processors; infinite: none
 * @gpus_max: limit of its graphics processors; infinite: none
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
 * @MH_OBJECTIVE_WAIT: a task starts soon after its submission ("wait")
 * @MH_OBJECTIVE_FINISHED: a job is done soon after its submission ("finished")
 * @MH_OBJECTIVE_DEADLINE: a job is done by its deadline ("deadline")
 * @MH_OBJECTIVE_GUARANTEE: a team gets what is guaranteed to it soon after it asks ("guarantee")
 *
 * What a service-level objective is about.
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
 * @kind: what it is about
 * @class_name: (nullable): class of the jobs that it holds for
 * @within_us: the time that is allowed, in microseconds; 0: not said
 *
 * A service-level objective (platform: settings.objectives). Those of unknown kinds are left out.
 */
typedef struct
{
  MhObjectiveKind kind;
  char *class_name;
  gint64 within_us;
} MhObjective;

/**
 * MhSpreadRule:
 * @class_name: class of services that it holds for
 * @max_skew: KEP-895's MaxSkew, at least 1
 * @soft: KEP-895's ScheduleAnyway; otherwise DoNotSchedule
 *
 * How one class of services is spread over zones (operator: spread).
 */
typedef struct
{
  char *class_name;
  guint max_skew;
  bool soft;
} MhSpreadRule;

/**
 * MhSettings:
 * @node: name of this controller (platform: node_name)
 * @zone: (nullable): the zone it is in (platform: zone)
 * @front: "ADDRESS:PORT" where it listens for users and workers (platform: front)
 * @peer_bind: "ADDRESS:PORT" where it listens for controllers (platform: peer_bind)
 * @cloud: "HOST:PORT" of the cloud (platform: endpoints.cloud)
 * @state: "HOST:PORT" of the key-value store (platform: endpoints.state)
 * @members: (element-type MhMember): the other controllers (platform: members)
 * @teams: (element-type MhTeam): quotas (platform: settings.teams)
 * @objectives: (element-type MhObjective): service-level objectives (platform: settings.objectives)
 * @report_us: time between two heartbeats of a worker, in microseconds (platform:
 *   settings.workers.report_s)
 * @worker_lease_us: a worker that has had no answer for so long stops its tasks, in microseconds
 *   (platform: settings.workers.lease_s)
 * @cancel_us: time within which a cancelled task has to be gone, in microseconds (platform:
 *   settings.workers.cancel_s)
 * @list_lag_us: how old the cloud's list of machines may be, in microseconds (platform:
 *   settings.cloud.list_lag_s)
 * @gang_wait_us: time that a gang may take to be complete, in microseconds (platform:
 *   settings.workers.gang_wait_s); 50 s when it is not said
 * @gang_peer_us: time within which all tasks of a gang have to be told, or notice a loss, in
 * microseconds (platform: settings.workers.gang_peer_s); 5 s when it is not said
 * @state_rps: requests a second that the key-value store takes (platform: settings.state.rps)
 * @state_write_rps: changes a second that the key-value store takes (platform:
 * settings.state.write_rps)
 * @cloud_rps: requests a second that the cloud takes (platform: settings.cloud.rps)
 * @value_bytes: largest value in the key-value store, in bytes (platform: settings.state.value_kb);
 *   once checked, the lower one of those now and next
 * @txn_ops: most changes in one transaction (platform: settings.state.txn_ops); once checked, the
 * lower one of those now and next
 * @next_write_rps: changes a second that the key-value store will take from some moment on, without
 *   notice (platform: settings.state.next.write_rps); 0: as now
 * @next_value_bytes: its largest value from then on, in bytes (platform:
 * settings.state.next.value_kb); 0: as now
 * @next_txn_ops: most changes in one of its transactions from then on (platform:
 *   settings.state.next.txn_ops); 0: as now
 * @core_share: share of one processor that this controller has (platform:
 *   settings.resources.core_share); 0.1 when it is not said
 * @max_connections: connections of users and workers that may be open (platform:
 *   settings.resources.max_connections); 1000 when it is not said
 * @memory_bytes: memory that this controller has, in bytes (platform: settings.resources.ram_mb);
 * 0: not said
 * @lease_us: the leader's lease in the key-value store, in microseconds (operator: lease_s)
 * @silence_us: a machine that has been silent for so long is given back, in microseconds (operator:
 *   silence_s); once checked never 0
 * @idle_us: a machine that has been idle for so long is given back, in microseconds (operator:
 * idle_s)
 * @batch: most records in one transaction (operator: batch); once checked at most @txn_ops
 * @max_skew: MaxSkew of classes without a rule (operator: max_skew)
 * @soft: whether classes without a rule are spread by ScheduleAnyway (operator: when_unsatisfiable)
 * @direct: whether commands are sent straight to workers too, not only in answers to their
 * heartbeats (operator: direct)
 * @spread: (element-type MhSpreadRule): rules of single classes (operator: spread)
 *
 * All settings. "platform" and "operator" above name the file and the field that a value comes
 * from.
 */
typedef struct
{
  char *node;
  char *zone;
  char *front;
  char *peer_bind;
  char *cloud;
  char *state;
  GPtrArray *members;
  GPtrArray *teams;
  GPtrArray *objectives;
  gint64 report_us;
  gint64 worker_lease_us;
  gint64 cancel_us;
  gint64 list_lag_us;
  gint64 gang_wait_us;
  gint64 gang_peer_us;
  double state_rps;
  double state_write_rps;
  double cloud_rps;
  guint value_bytes;
  guint txn_ops;
  double next_write_rps;
  guint next_value_bytes;
  guint next_txn_ops;
  double core_share;
  guint max_connections;
  gint64 memory_bytes;
  gint64 lease_us;
  gint64 silence_us;
  gint64 idle_us;
  guint batch;
  guint max_skew;
  bool soft;
  bool direct;
  GPtrArray *spread;
} MhSettings;

/**
 * mh_settings_new:
 *
 * Returns: (transfer full): settings that hold the defaults and nothing else; they are not valid
 * yet
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
 * mh_settings_team:
 * @settings: settings
 * @name: name of a team
 *
 * Returns: (transfer none) (nullable): the team; %NULL when there is none of that name
 */
MhTeam *
mh_settings_team (const MhSettings *settings, const char *name);
