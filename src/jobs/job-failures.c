#include "jobs/job-failures.h"

void
mh_job_failures_clear (MhJobFailures *failures)
{
  g_clear_pointer (&failures->machines, g_ptr_array_unref);
  failures->count = 0;
  failures->back_off_level = 0;
  failures->max_live_tasks = 0;
}
