/* Admission: whether a submission can be accepted at all. */
#pragma once

#include "protocol/cloud-messages.h"
#include "protocol/job-spec.h"
#include "settings/settings.h"

/**
 * MhAdmission:
 * @MH_ADMISSION_ACCEPT: it can run
 * @MH_ADMISSION_TOO_LARGE: it does not fit a value of the key-value store
 * @MH_ADMISSION_IMPOSSIBLE: it can never run here
 * @MH_ADMISSION_UNDECIDED: the machine types are not known yet
 *
 * What is to be done with a submission.
 */
typedef enum
{
  MH_ADMISSION_ACCEPT,
  MH_ADMISSION_TOO_LARGE,
  MH_ADMISSION_IMPOSSIBLE,
  MH_ADMISSION_UNDECIDED
} MhAdmission;

/**
 * mh_admission_check:
 * @settings: the settings of this controller
 * @types: (nullable) (element-type MhMachineType): the machine types; %NULL: not known yet
 * @spec: what is submitted
 *
 * Source: PROTOCOL, "POST /submissions".
 *
 * Returns: whether @spec can be accepted
 */
MhAdmission
mh_admission_check (const MhSettings *settings, const GPtrArray *types, const MhJobSpec *spec);

/**
 * mh_admission_keep_known_types:
 * @types: (nullable) (element-type MhMachineType): the machine types
 * @spec: what is submitted
 *
 * Drops machine types that do not exist from those that @spec allows. A user may allow thousands;
 * only those that exist can matter, and only they have to fit the job's record.
 */
void
mh_admission_keep_known_types (const GPtrArray *types, MhJobSpec *spec);
