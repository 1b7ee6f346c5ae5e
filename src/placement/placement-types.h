/* What is known of the machines in one placement pass, and in the pass's look at one job.

   The structures are shared by the steps of placement (filter, score, preemption) and by nobody
   else. They hold nothing beyond the pass. */
#pragma once

#include "cluster/cluster-types.h"
#include "cluster/machine.h"
#include "placement/infeasible.h"
#include "placement/topology-spread.h"
#include "runtime/runtime.h"
#include "storage/record-writer.h"

/**
 * MhArrival:
 * @machine: a machine that has been requested and has not reported
 * @arrives_us: when it is expected, by the steady clock
 * @image: the interned image that tasks wait for it with; %NULL: none
 * @cpus: cores that no task waits for
 * @mem_gb: memory that no task waits for
 *
 * A machine that is on its way.
 */
typedef struct
{
  const MhMachine *machine;
  gint64 arrives_us;
  const GRefString *image;
  double cpus, mem_gb;
} MhArrival;

/**
 * MhPlacementPass:
 * @cluster: the machines
 * @runtime: time, log and wake-ups
 * @record_writer: writes the attempts
 * @settings: its settings
 * @types: (element-type MhMachineType): the machine types
 * @now_us: the present, by the steady clock
 * @is_rebuilt: whether every machine that should has reported to this leader, or has had the time
 * @usable_machines: (element-type MhMachine): those that may take tasks
 * @zones: (element-type MhZoneCount): all zones with live machines; MhMachine.zone_index is an
 * index into these
 * @infeasible: requests that found no machine
 * @not_preempting: (element-type MhJob): jobs for which no task could be preempted
 * @arrivals: (element-type MhArrival): machines on their way
 * @starts: tasks that were started
 * @preemptions: how often room was made
 * @may_preempt: whether this pass looks for tasks to preempt
 * @last_preemption_us: when tasks to preempt were last looked for
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
  bool is_rebuilt;
  GPtrArray *usable_machines;
  GArray *zones;
  MhInfeasible *infeasible;
  GPtrArray *not_preempting;
  GArray *arrivals;
  guint starts, preemptions;
  bool may_preempt;
  gint64 last_preemption_us;
} MhPlacementPass;

/**
 * MhCandidate:
 * @machine: had room when the candidates were collected
 * @zone: index into the job's zones
 * @image_wait_us: until the image is there
 * @spread_score: of the soft topology spread; the lowest is best
 * @cost: see mh_score_cost()
 * @replicas_on_machine: for a service: see mh_score_replicas_on_machine()
 * @above_price_cap: for a service: costs much more than another machine that would do
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

/** Of a zone in which the job may not run. */
#define MH_ZONE_NOT_COUNTED G_MAXUINT

/**
 * MhJobCycle:
 * @pass: the pass
 * @job: the job
 * @candidates: (element-type MhCandidate): sorted, unless the job is a service
 * @zones: (element-type MhZoneCount): those in which the job may run, with its tasks there
 * @zone_of: by MhMachine.zone_index: index into @zones, or %MH_ZONE_NOT_COUNTED
 * @type_fits: by MhMachine.type_index: whether the type can take a task
 * @is_service: its tasks are spread over zones and machines
 * @spread: the topology spread constraint
 * @start_slack_us: how long a start may still take; see mh_objective_slack_us()
 * @next_task: no task below it is to be started in this cycle
 * @first_with_room: no sorted candidate below it has room
 * @awaits_arrival: a task waits for a machine that is on its way
 * @passed_over: a pending task was left for later
 * @room_made: tasks for which room is being made
 *
 * The pass's look at one job (the scheduling cycle of Kubernetes).
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
  bool awaits_arrival;
  bool passed_over;
  guint room_made;
} MhJobCycle;
