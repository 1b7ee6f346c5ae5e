#include "cluster/image-wait.h"
#include "cluster/attempt.h"
#include "cluster/cluster-state.h"
#include "protocol/worker-messages.h"

/* Until the worker reports that it has an image, at least this fraction of the image is assumed to
   remain to be fetched, even if the fetch should have ended by now. */
#define MIN_REMAINING_FRACTION 0.1

static double
fetch_gb_per_s (const MhMachine *machine)
{
  return machine->type && machine->type->fetch_gb_per_s > 0 ? machine->type->fetch_gb_per_s : 1;
}

/* How many gigabytes of the attempt's image remain to be fetched. */
static double
remaining_fetch_gb (const MhCluster *cluster, const MhAttempt *attempt, double rate)
{
  double image_gb = attempt->job->spec->image_gb;
  double fetched_s
      = (double)(mh_runtime_now_us (cluster->runtime) - attempt->placed_us) / MH_SECOND_US;
  return MAX (image_gb - fetched_s * rate, image_gb * MIN_REMAINING_FRACTION);
}

/* Whether an attempt with a lower index has the same image. */
static bool
is_image_counted (const MhMachine *machine, guint index)
{
  const GRefString *image = mh_machine_attempt (machine, index)->job->image;
  for (guint i = 0; i < index; i++)
    if (mh_machine_attempt (machine, i)->job->image == image)
      return true;
  return false;
}

gint64
mh_machine_image_wait_us (const MhCluster *cluster, const MhMachine *machine,
                          const GRefString *image, double gb)
{
  if (mh_machine_has_image (machine, image))
    return 0;
  double rate = fetch_gb_per_s (machine);
  double others_gb = 0;
  for (guint i = 0; i < machine->attempts->len; i++)
    {
      const MhAttempt *attempt = mh_machine_attempt (machine, i);
      if (mh_attempt_is_stopping (attempt) || attempt->phase != MH_TASK_PHASE_FETCHING_IMAGE
          || mh_machine_has_image (machine, attempt->job->image))
        continue;
      double remaining_gb = remaining_fetch_gb (cluster, attempt, rate);
      if (attempt->job->image == image)
        return (gint64)(remaining_gb / rate * MH_SECOND_US);
      if (!is_image_counted (machine, i))
        others_gb += remaining_gb;
    }
  return (gint64)((others_gb + gb) / rate * MH_SECOND_US);
}
