/* The scores of placement: which of the machines that pass the filters is best. */
#pragma once

#include "placement/placement-types.h"

/**
 * mh_score_cost:
 * @spec: a job
 * @candidate: a machine, with the time that the image takes there
 * @start_slack_us: how long a start may still take
 *
 * For an array, what a cpu of the machine costs while the task waits for its image and runs;
 * machines on which it would miss the objective for its start come last. For a service, which is
 * waited for: whether its image is there, comes in time for the objective, or too late, and then in
 * steps; among equals the price counts, since replicas stay where they are.
 *
 * Returns: the cost; lowest is best
 */
double
mh_score_cost (const MhJobSpec *spec, const MhCandidate *candidate, gint64 start_slack_us);

/**
 * mh_score_replicas_on_machine:
 * @replicas: of all services, on the machine
 * @total_replicas: on all machines
 *
 * Up to a part of all replicas they gather on a machine, so that other machines fall empty; beyond
 * it others are preferred, since as many as that are lost with it.
 *
 * Returns: how unwelcome a further replica is there; lowest is best
 */
guint
mh_score_replicas_on_machine (guint replicas, guint total_replicas);

/**
 * mh_score_is_above_price_cap:
 * @price: of a machine, by the hour
 * @lowest_price: of the machines that pass the filters
 *
 * Returns: whether a service rather takes another machine
 */
bool
mh_score_is_above_price_cap (double price, double lowest_price);

/**
 * mh_score_compare_candidates:
 * @left: (type MhCandidate): a candidate
 * @right: (type MhCandidate): another one
 *
 * The documented order: the soft topology spread; the cost; whether it is above the price cap; the
 * replicas there; the cheapest by the cpu; the fullest, so that others fall empty; the name.
 *
 * Returns: less than, equal to, or greater than 0, as @left is better, the same, or worse
 */
gint
mh_score_compare_candidates (gconstpointer left, gconstpointer right);
