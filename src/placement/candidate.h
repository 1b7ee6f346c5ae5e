/* What is known of the machines in one placement pass, and in the pass's look at one job.

   The structures are shared by the steps of placement (filter, score, preemption) and by nobody
   else. They hold nothing beyond the pass. */
#pragma once

#include "placement/infeasible.h"
#include "placement/resources.h"
#include "placement/topology-spread.h"

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
 * @core: the controller
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
  MhCore *core;
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

/* Of a zone in which the job may not run. */
#define MH_ZONE_NOT_COUNTED G_MAXUINT

/**
 * MhJobCycle:
 * @pass: the pass
 * @core: the controller
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
  MhCore *core;
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

/**
 * mh_placement_pass_init:
 * @pass: is filled in
 * @core: the controller
 * @may_preempt: whether tasks may be preempted
 *
 * Looks at all machines once: which may take tasks, which zones count, and which are on their way.
 * Reservations of the last pass end.
 */
void
mh_placement_pass_init (MhPlacementPass *pass, MhCore *core, bool may_preempt);

/**
 * mh_placement_pass_clear:
 * @pass: a pass
 */
void
mh_placement_pass_clear (MhPlacementPass *pass);

/**
 * mh_job_cycle_init:
 * @cycle: is filled in
 * @pass: the pass
 * @job: a job
 *
 * Works out which machine types and zones the job may use, and counts its tasks by zone.
 */
void
mh_job_cycle_init (MhJobCycle *cycle, MhPlacementPass *pass, MhJob *job);

/**
 * mh_job_cycle_clear:
 * @cycle: a cycle
 */
void
mh_job_cycle_clear (MhJobCycle *cycle);

/**
 * mh_candidates_collect:
 * @cycle: a cycle
 *
 * Collects the machines that pass all filters but those of zones that depend on where the job's
 * other tasks are, and scores them.
 */
void
mh_candidates_collect (MhJobCycle *cycle);

/**
 * mh_candidates_select:
 * @cycle: a cycle
 *
 * Returns: (transfer none) (nullable): the best candidate that passes all filters now; %NULL if
 * none does
 */
MhCandidate *
mh_candidates_select (MhJobCycle *cycle);

/**
 * mh_arrival_claim:
 * @cycle: a cycle
 * @image_wait_us: how long the job's image takes on the machine that was found
 *
 * Fetches side by side share a machine's rate, so that each takes as long as all. A replica whose
 * image would come later so than on a machine that is on its way, and has no other to fetch, waits
 * for that one.
 *
 * Returns: whether a task of the job does; it has a place on that machine, in this pass
 */
bool
mh_arrival_claim (MhJobCycle *cycle, gint64 image_wait_us);
