/* The account of the rules: what must never happen, whatever the controllers decide. Most are the
   published protocol's; those that are the project's own are marked as such. */
#pragma once

#include "settings/settings.h"
#include "stand-in/machine.h"

/**
 * RuleChecks:
 * @settings: limits that the rules speak of; not owned, and read whenever a rule is checked
 * @workload: what the jobs asked for; not owned
 * @machines: (element-type Machine): all there are; a reference is held
 * @now_us: present time; the owner moves it
 * @violations: (element-type utf8): each rule that was broken, with its time
 * @task_starts: how many tasks were started
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

/** rule_checks_new: Returns: (transfer full): without violations */
RuleChecks *
rule_checks_new (const MhSettings *settings, const Workload *workload, GPtrArray *machines);
/** rule_checks_free: @rules: checks */
void
rule_checks_free (RuleChecks *rules);
/** rule_checks_report: A rule was broken now. */
void
rule_checks_add_violation (RuleChecks *rules, const char *format, ...) G_GNUC_PRINTF (2, 3);
/** rule_checks_task_started: Checks what must hold at the moment at which a task gets onto a
 * machine. */
void
rule_checks_task_started (RuleChecks *rules, const Machine *machine, const MachineTask *task,
                          const WorkloadJob *job);
/**
 * rule_checks_task_running:
 *
 * Checks that a task that has not ended is not one of a job whose cancellation was confirmed too
 * long ago. A job is reported once.
 */
void
rule_checks_task_running (RuleChecks *rules, const Machine *machine, const MachineTask *task,
                          WorkloadJob *job);
/**
 * rule_checks_waiting_jobs:
 *
 * Checks that no array waits for long while a machine that fits has room and its team is under its
 * limit. Time breaks this rule by itself: to be called once a second, while there is no trouble.
 */
void
rule_checks_waiting_jobs (RuleChecks *rules);
