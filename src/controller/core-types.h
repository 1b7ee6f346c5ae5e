/* MhCore by name, for the headers of layers that still take it. */
#pragma once

#include "controller/core.h"
