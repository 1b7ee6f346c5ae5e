/* State of one placement pass, and of one job's scheduling cycle within it.

   Only the steps of placement (filter, score, preemption, gangs) use these structures. Nothing in
   them is kept after the pass. */
#pragma once

#include "cluster/cluster-types.h"
#include "cluster/machine.h"
#include "placement/infeasible.h"
#include "placement/topology-spread.h"
#include "runtime/runtime.h"
#include "storage/record-writer.h"

/**
 * MhBootingMachine:
 * @machine: a machine that has not reported to this leader yet
 * @ready_us: when it is expected to report, by the monotonic clock
 * @image: (nullable): the interned image of the tasks that wait for the machine; %NULL: none waits
 * @cpus: CPUs that are not claimed by waiting tasks
 * @mem_gb: memory in GB that is not claimed by waiting tasks
 *
 * A machine that is booting, and the resources of it that this pass has not promised to tasks yet.
 */
typedef struct
{
  const MhMachine *machine;
  gint64 ready_us;
  const GRefString *image;
  double cpus, mem_gb;
} MhBootingMachine;

/**
 * MhPlacementPass:
 * @cluster: the machines
 * @record_writer: writes the records of attempts
 * @runtime: time, log and wake-ups
 * @settings: the controller's settings
 * @types: (element-type MhMachineType): the machine types
 * @now_us: the current time, by the monotonic clock
 * @is_recovery_complete: whether every machine that is expected to report has reported to this
 * leader, or the time limit for that has passed
 * @usable_machines: (element-type MhMachine): those that may take tasks
 * @zones: (element-type MhZoneCount): all zones with live machines; MhMachine.zone_index is an
 * index into this array
 * @infeasible: requests for which no machine was found in this pass
 * @no_room_after_stops: requests for which no machine has room even once the tasks that are being
 * stopped have left it; emptied whenever a task is preempted
 * @failed_preemptors: (element-type MhJob): jobs for which preemption failed in this pass
 * @booting_machines: (element-type MhBootingMachine): machines that are booting
 * @starts: number of tasks started in this pass
 * @preemptions: number of times that this pass made room by preemption
 * @may_preempt: whether this pass may look for tasks to preempt
 * @searched_machines: number of machines on which this pass has looked for tasks to preempt for
 * arrays and services
 * @search_first: (nullable): id of the job with which the search of this pass begins; jobs ahead of
 * it had their turn in the pass before. %NULL: the search has begun
 * @last_searched: (nullable): the last job for which this pass has begun a search; only compared
 * @search_next: (owned) (nullable): id of the first job for which the limit on @searched_machines
 * left no search; the next pass begins with it
 * @last_preemption_us: when a pass last looked for tasks to preempt for an array or a service, or
 * preempted tasks for a gang
 *
 * One pass over the job queue.
 */
typedef struct
{
  MhCluster *cluster;
  MhRecordWriter *record_writer;
  MhRuntime *runtime;
  const MhSettings *settings;
  const GPtrArray *types;
  gint64 now_us;
  bool is_recovery_complete;
  GPtrArray *usable_machines;
  GArray *zones;
  MhInfeasible *infeasible;
  MhInfeasible *no_room_after_stops;
  GPtrArray *failed_preemptors;
  GArray *booting_machines;
  guint starts, preemptions;
  bool may_preempt;
  guint searched_machines;
  const char *search_first;
  const MhJob *last_searched;
  char *search_next;
  gint64 last_preemption_us;
} MhPlacementPass;

/**
 * MhCandidate:
 * @machine: a machine that had room for a task when the candidates were collected
 * @zone: index into MhJobCycle.zones
 * @image_wait_us: time until the job's image is present on the machine
 * @spread_score: score of the soft topology spread constraint; lowest is best
 * @cost: see mh_score_cost()
 * @replicas_on_machine: for a service: see mh_score_replicas_on_machine()
 * @above_price_cap: for a service: see mh_score_is_above_price_cap()
 *
 * A machine that may take the job's next task.
 */
typedef struct
{
  MhMachine *machine;
  guint zone;
  gint64 image_wait_us;
  gint spread_score;
  double cost;
  guint replicas_on_machine;
  bool above_price_cap;
} MhCandidate;

/** In MhJobCycle.zone_of: the job may not run in this zone, and the zone is not counted. */
#define MH_ZONE_NOT_COUNTED G_MAXUINT

/**
 * MhJobCycle:
 * @pass: the pass
 * @job: the job
 * @candidates: (element-type MhCandidate): best first, except for a service, whose candidates are
 * not sorted
 * @zones: (element-type MhZoneCount): the counted zones: those in which the job may run, with the
 * number of its tasks there
 * @zone_of: by MhMachine.zone_index: index into @zones, or %MH_ZONE_NOT_COUNTED
 * @type_fits: by MhMachine.type_index: whether a machine of the type can take a task
 * @is_service: whether the job is a service; topology spread applies to services only
 * @spread: the topology spread constraint
 * @start_slack_us: how long a start may still take; see mh_objective_slack_us()
 * @next_task: lowest index of a task that may still be started in this cycle
 * @first_with_room: index into @candidates; no candidate before it has room
 * @awaits_booting_machine: whether a task waits for a machine that is booting
 * @has_deferred_task: whether a pending task was skipped and left for a later pass
 * @tasks_awaiting_room: number of tasks that wait for preempted tasks to leave
 *
 * Placement of one job in one pass (a scheduling cycle in Kubernetes).
 */
typedef struct
{
  MhPlacementPass *pass;
  MhJob *job;
  GArray *candidates;
  GArray *zones;
  guint *zone_of;
  bool *type_fits;
  bool is_service;
  MhSpreadConstraint spread;
  gint64 start_slack_us;
  guint next_task;
  guint first_with_room;
  bool awaits_booting_machine;
  bool has_deferred_task;
  guint tasks_awaiting_room;
} MhJobCycle;
