#include "sim.h"
int
main (void)
{
  return 0;
}
