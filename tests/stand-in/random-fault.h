/* One fault of a random day. */
#pragma once

#include "stand-in/simulation.h"

/** random_fault_inject: Draws a fault, which mostly ends by itself, and gives it to the simulation.
 */
void
random_fault_inject (Simulation *simulation);
