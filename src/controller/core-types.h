/* Names that the modules of the core share; each is defined by its own module. */
#pragma once

#include "controller/core.h"

typedef struct MhJob MhJob;
typedef struct MhMachine MhMachine;
typedef struct MhAttempt MhAttempt;
typedef struct MhRecord MhRecord;

typedef struct
{
  double cpus, gpus; /* what may be in use */
} MhUse;
