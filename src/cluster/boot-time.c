#include "cluster/boot-time.h"
#include "cluster/cluster-state.h"
#include "protocol/cloud-messages.h"

#define MEAN_WEIGHT 0.125
#define DEVIATION_WEIGHT 0.25
#define DEVIATIONS 4.0
/* The deviation of a single boot, as a part of what it took. */
#define FIRST_DEVIATION_PART 4
/* Boots usually take 0.6 to 1.5 times what the type says; some several times as long. What has been
   seen moves the estimate between these multiples; before anything is seen it is the third one. */
#define LEAST_BOOTS 1.5
#define MOST_BOOTS 4.0
#define UNSEEN_BOOTS 2
/* Of the list of machines and of the first report. */
#define SPARE_US (5 * MH_SECOND_US)
/* A machine that is late is given back at this multiple of its age then. */
#define GIVEN_UP 2
/* Of a type that is not known. */
#define UNKNOWN_BOOT_US (60 * MH_SECOND_US)
/* A new leader may hear of a machine for the first time only so long after two reports' intervals.
 */
#define FIRST_REPORT_SPARE_US (6 * MH_SECOND_US)

typedef struct
{
  double mean_us, deviation_us;
  guint samples;
} BootStatistics;

static BootStatistics *
statistics_of (MhCluster *cluster, const MhMachineType *type)
{
  GHashTable *all = cluster->boot_statistics;
  BootStatistics *statistics = g_hash_table_lookup (all, type->name);
  if (statistics == NULL)
    {
      statistics = g_new0 (BootStatistics, 1);
      g_hash_table_insert (all, g_strdup (type->name), statistics);
    }
  return statistics;
}

static void
add_sample (BootStatistics *statistics, double took_us)
{
  if (statistics->samples++ == 0)
    {
      statistics->mean_us = took_us;
      statistics->deviation_us = took_us / FIRST_DEVIATION_PART;
      return;
    }
  double error_us = took_us - statistics->mean_us;
  statistics->mean_us += MEAN_WEIGHT * error_us;
  statistics->deviation_us += DEVIATION_WEIGHT * (ABS (error_us) - statistics->deviation_us);
}

void
mh_boot_time_joined (MhCluster *cluster, const MhMachine *machine)
{
  /* Of one that another leader rented, or that was up before, nothing is known. */
  if (machine->type && machine->boot.rented_here && machine->heartbeat.incarnation <= 1)
    add_sample (statistics_of (cluster, machine->type),
                (double)(mh_runtime_now_us (cluster->runtime) - machine->boot.rented_us));
}

/* A machine of the type that has not joined at that age is late. */
static gint64
late_at_us (const MhCluster *cluster, const MhMachineType *type)
{
  double boot_us = type ? (double)type->boot_us : UNKNOWN_BOOT_US;
  const BootStatistics *seen
      = type ? g_hash_table_lookup (cluster->boot_statistics, type->name) : NULL;
  double usual_us = seen ? seen->mean_us + DEVIATIONS * seen->deviation_us : UNSEEN_BOOTS * boot_us;
  return (gint64)CLAMP (usual_us, LEAST_BOOTS * boot_us, MOST_BOOTS * boot_us) + SPARE_US;
}

static void
note_late (MhCluster *cluster, MhMachine *machine, gint64 age_us)
{
  machine->boot.late_age_us = age_us;
  if (machine->type == NULL || !machine->boot.rented_here)
    return;
  mh_log_info_limited (cluster->runtime, MH_LOG_BOOT,
                       "machine late to join, replaced machine=%s age_s=%.0f type=%s zone=%s",
                       machine->name, (double)age_us / MH_SECOND_US, machine->type_name,
                       machine->zone);
  add_sample (statistics_of (cluster, machine->type), (double)age_us);
}

void
mh_boot_time_check (MhCluster *cluster, MhMachine *machine)
{
  gint64 now_us = mh_runtime_now_us (cluster->runtime);
  gint64 age_us = now_us - machine->boot.rented_us;
  if (machine->boot.late_age_us == 0 && age_us > late_at_us (cluster, machine->type))
    note_late (cluster, machine, age_us);
  gint64 leading_us = now_us - mh_election_elected_us (cluster->election);
  bool all_reported
      = leading_us > cluster->settings->heartbeat_interval_us * 2 + FIRST_REPORT_SPARE_US;
  if (machine->boot.late_age_us && age_us > GIVEN_UP * machine->boot.late_age_us && all_reported)
    cluster->callbacks->release_machine (cluster->owner, machine, MH_RELEASE_REASON_NEVER_JOINED);
}
