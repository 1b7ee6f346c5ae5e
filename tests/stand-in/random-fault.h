/* A fault of a random day. */
#pragma once

#include "stand-in/simulation.h"

/** random_fault_inject: Draws a random fault and injects it. Most faults end after a time that is
 * drawn as well. */
void
random_fault_inject (Simulation *simulation);
