/* The rules that must hold whatever the controllers decide. Most are rules of the published
   protocol; a comment marks those that are rules of this project. */
#pragma once

#include "settings/settings.h"
#include "stand-in/machine.h"

/**
 * RuleChecks:
 * @settings: with the limits that the rules use; not owned, and read at each check
 * @workload: the jobs; not owned
 * @machines: (element-type Machine): all machines; a reference is held
 * @now_us: present time; set by the owner
 * @violations: (element-type utf8): the violations, each with its time
 * @task_starts: number of started tasks
 */
typedef struct
{
  const MhSettings *settings;
  const Workload *workload;
  GPtrArray *machines;
  gint64 now_us;
  GPtrArray *violations;
  guint task_starts;
} RuleChecks;

/** rule_checks_new: Returns: (transfer full): checks without violations */
RuleChecks *
rule_checks_new (const MhSettings *settings, const Workload *workload, GPtrArray *machines);
/** rule_checks_free: Frees @rules. */
void
rule_checks_free (RuleChecks *rules);
/** rule_checks_add_violation: Records a violation at the present time. */
void
rule_checks_add_violation (RuleChecks *rules, const char *format, ...) G_GNUC_PRINTF (2, 3);
/** rule_checks_task_started: Checks the rules for a task that was just started on a machine. */
void
rule_checks_task_started (RuleChecks *rules, const Machine *machine, const MachineTask *task,
                          const WorkloadJob *job);
/**
 * rule_checks_task_running:
 *
 * Checks that a task has ended within the limit after the cancellation of its job was confirmed.
 * Records one violation per job.
 */
void
rule_checks_task_running (RuleChecks *rules, const Machine *machine, const MachineTask *task,
                          WorkloadJob *job);
/**
 * rule_checks_waiting_jobs:
 *
 * Checks that no array waits for long while a suitable machine has room and its team is within its
 * quota. The mere passing of time can violate this rule, so that no event triggers the check. It is
 * to be called once per second, and only while no fault is active.
 */
void
rule_checks_waiting_jobs (RuleChecks *rules);
