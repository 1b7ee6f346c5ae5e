/* The scores of placement, which rank the machines that pass the filters. */
#pragma once

#include "placement/placement-types.h"

/**
 * mh_score_cost:
 * @spec: a job
 * @candidate: a candidate whose machine and image wait are set
 * @start_slack_us: how long a start may still take
 *
 * For an array, the price of one CPU of the machine for the time in which a task waits for its
 * image and runs. Machines on which the task would miss the objective for its start rank last.
 *
 * For a service, whose users wait for its start, the cost depends on the image alone: present, in
 * time for the objective, or late, and then rising in steps of the wait. The steps are coarse so
 * that the price decides among machines with similar waits, since a replica stays on its machine
 * for long.
 *
 * Returns: the cost; lowest is best
 */
double
mh_score_cost (const MhJobSpec *spec, const MhCandidate *candidate, gint64 start_slack_us);

/**
 * mh_score_replicas_on_machine:
 * @replicas: number of replicas, of all services, on the machine
 * @total_replicas: number of replicas on all machines
 *
 * Replicas are packed on a machine up to a share of all replicas, so that other machines become
 * empty. Beyond that share other machines are preferred, which limits how many replicas are lost
 * with one machine.
 *
 * Returns: the score of the machine for one more replica; lowest is best
 */
guint
mh_score_replicas_on_machine (guint replicas, guint total_replicas);

/**
 * mh_score_is_above_price_cap:
 * @price: hourly price of a machine
 * @lowest_price: lowest hourly price of the machines that pass mh_filter_machine()
 *
 * Returns: whether the machine costs so much more that a service prefers another one
 */
bool
mh_score_is_above_price_cap (double price, double lowest_price);

/**
 * mh_score_compare_candidates:
 * @left: (type MhCandidate): a candidate
 * @right: (type MhCandidate): another one
 *
 * Compares in the documented order: score of the soft topology spread; cost; whether the machine is
 * above the price cap; score of the replicas there; price of a CPU; CPUs not in use, the fewest
 * first, so that other machines become empty; name.
 *
 * Returns: less than, equal to, or greater than 0, if @left is better than, as good as, or worse
 * than @right
 */
gint
mh_score_compare_candidates (gconstpointer left, gconstpointer right);
