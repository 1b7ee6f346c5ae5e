#include "jobs/runtime-estimate.h"
#include "base/time-units.h"

/* With fewer samples of a class, users' estimates are used unchanged. */
#define MIN_SAMPLES 3
/* Bounds of the ratio that estimates are multiplied by. */
#define MIN_RATIO 0.25
#define MAX_RATIO 4
/* Lower bound of the latest sample's weight in the moving average, which is 1/n for the n-th sample
   until then. */
#define MIN_SAMPLE_WEIGHT 0.02

typedef struct
{
  double ratio;
  guint samples;
} ClassStatistics;

struct MhRuntimeEstimator
{
  GHashTable *classes; /* class -> ClassStatistics */
};

MhRuntimeEstimator *
mh_runtime_estimator_new (void)
{
  MhRuntimeEstimator *estimator = g_new0 (MhRuntimeEstimator, 1);
  estimator->classes = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return estimator;
}

void
mh_runtime_estimator_free (MhRuntimeEstimator *estimator)
{
  g_hash_table_unref (estimator->classes);
  g_free (estimator);
}

void
mh_runtime_estimator_observe (MhRuntimeEstimator *estimator, const MhJobSpec *spec, gint64 ran_us)
{
  if (spec->estimated_run_us < MH_SECOND_US)
    return;
  ClassStatistics *statistics = g_hash_table_lookup (estimator->classes, spec->class_name);
  if (statistics == NULL)
    {
      statistics = g_new0 (ClassStatistics, 1);
      g_hash_table_insert (estimator->classes, g_strdup (spec->class_name), statistics);
    }
  statistics->samples++;
  double weight = MAX (1.0 / statistics->samples, MIN_SAMPLE_WEIGHT);
  statistics->ratio
      += weight * ((double)ran_us / (double)spec->estimated_run_us - statistics->ratio);
}

double
mh_runtime_estimator_ratio (const MhRuntimeEstimator *estimator, const char *class_name)
{
  const ClassStatistics *statistics = g_hash_table_lookup (estimator->classes, class_name);
  if (statistics == NULL || statistics->samples < MIN_SAMPLES)
    return 1;
  return CLAMP (statistics->ratio, MIN_RATIO, MAX_RATIO);
}

gint64
mh_runtime_estimator_run_us (const MhRuntimeEstimator *estimator, const MhJobSpec *spec)
{
  return (gint64)((double)spec->estimated_run_us
                  * mh_runtime_estimator_ratio (estimator, spec->class_name));
}
