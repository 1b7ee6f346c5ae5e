/* Admission: whether a submission can be accepted. */
#pragma once

#include "protocol/cloud-messages.h"
#include "protocol/job-spec.h"
#include "settings/settings.h"

/**
 * MhAdmission:
 * @MH_ADMISSION_ACCEPT: the job can run
 * @MH_ADMISSION_INCOMPLETE: the submission lacks a field
 * @MH_ADMISSION_TOO_LARGE: the job's record does not fit a value of the key-value store, whatever
 * the machine types are if they are not known
 * @MH_ADMISSION_IMPOSSIBLE: the job can never run with these settings and machine types
 * @MH_ADMISSION_UNDECIDED: cannot be decided, since the machine types are not known yet
 *
 * The decision about a submission.
 */
typedef enum
{
  MH_ADMISSION_ACCEPT,
  MH_ADMISSION_INCOMPLETE,
  MH_ADMISSION_TOO_LARGE,
  MH_ADMISSION_IMPOSSIBLE,
  MH_ADMISSION_UNDECIDED
} MhAdmission;

/**
 * mh_admission_check:
 * @settings: the settings of this controller
 * @types: (nullable) (element-type MhMachineType): the machine types; %NULL: not known yet
 * @spec: the submitted job
 *
 * Decides whether a job that is not known could be accepted now. It depends on the settings and the
 * machine types, so that a job may have been accepted earlier, or by another controller, for which
 * the decision is another one now. Source: PROTOCOL, "POST /submissions".
 *
 * Returns: the decision about @spec
 */
MhAdmission
mh_admission_check (const MhSettings *settings, const GPtrArray *types, const MhJobSpec *spec);

/**
 * mh_admission_name:
 * @admission: a decision about a submission
 *
 * Returns: (transfer none): its name in log lines
 */
const char *
mh_admission_name (MhAdmission admission);

/**
 * mh_admission_keep_known_types:
 * @types: (nullable) (element-type MhMachineType): the machine types; %NULL: not known yet,
 * @spec stays as it is
 * @spec: the submitted job
 *
 * Removes machine types that do not exist from the list that @spec allows. A user may list
 * thousands of types; without the unknown ones the list fits the job's record.
 */
void
mh_admission_keep_known_types (const GPtrArray *types, MhJobSpec *spec);
