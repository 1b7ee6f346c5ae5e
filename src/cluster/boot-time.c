#include "cluster/boot-time.h"
#include "cluster/cluster-state.h"
#include "protocol/cloud-messages.h"

/* Gains of the smoothed mean and deviation, and the factor of the deviation, as in RFC 6298. */
#define MEAN_WEIGHT 0.125
#define DEVIATION_WEIGHT 0.25
#define DEVIATION_FACTOR 4.0
/* The first boot of a type sets the deviation to its duration divided by this. */
#define FIRST_DEVIATION_DIVISOR 4
/* Boots usually take 0.6 to 1.5 times the boot time that the type states; some take several times
   as long. The estimate from observed boots is limited to MIN_BOOT_FACTOR to MAX_BOOT_FACTOR times
   the stated time; without observed boots it is DEFAULT_BOOT_FACTOR times the stated time. */
#define MIN_BOOT_FACTOR 1.5
#define MAX_BOOT_FACTOR 4.0
#define DEFAULT_BOOT_FACTOR 2
/* Margin for the delays of the list of machines and of the first heartbeat. */
#define JOIN_DELAY_MARGIN_US (5 * MH_SECOND_US)
/* A late machine is released when its age is this multiple of the age at which it became late. */
#define RELEASE_AGE_FACTOR 2
/* Assumed boot time of a machine whose type is not known. */
#define DEFAULT_BOOT_US (60 * MH_SECOND_US)
/* A machine that runs may send its first heartbeat to a new leader as late as two heartbeat
   intervals and this margin after the election. */
#define FIRST_HEARTBEAT_MARGIN_US (6 * MH_SECOND_US)

typedef struct
{
  double mean_us, deviation_us;
  guint samples;
} BootStatistics;

static BootStatistics *
find_or_add_statistics (MhCluster *cluster, const MhMachineType *type)
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
add_sample (BootStatistics *statistics, double duration_us)
{
  if (statistics->samples++ == 0)
    {
      statistics->mean_us = duration_us;
      statistics->deviation_us = duration_us / FIRST_DEVIATION_DIVISOR;
      return;
    }
  double error_us = duration_us - statistics->mean_us;
  statistics->mean_us += MEAN_WEIGHT * error_us;
  statistics->deviation_us += DEVIATION_WEIGHT * (ABS (error_us) - statistics->deviation_us);
}

void
mh_boot_time_note_join (MhCluster *cluster, const MhMachine *machine)
{
  /* The duration of the boot is not known if another leader created the machine, or if its worker
     has restarted. */
  if (machine->type && machine->boot.created_here && machine->heartbeat.incarnation <= 1)
    add_sample (find_or_add_statistics (cluster, machine->type),
                (double)(mh_runtime_now_us (cluster->runtime) - machine->boot.created_us));
}

/* The age at which a machine of the type is late if it has not joined. */
static gint64
late_age_of_type_us (const MhCluster *cluster, const MhMachineType *type)
{
  double boot_us = type ? (double)type->boot_us : DEFAULT_BOOT_US;
  const BootStatistics *statistics
      = type ? g_hash_table_lookup (cluster->boot_statistics, type->name) : NULL;
  double estimate_us = statistics
                           ? statistics->mean_us + DEVIATION_FACTOR * statistics->deviation_us
                           : DEFAULT_BOOT_FACTOR * boot_us;
  return (gint64)CLAMP (estimate_us, MIN_BOOT_FACTOR * boot_us, MAX_BOOT_FACTOR * boot_us)
         + JOIN_DELAY_MARGIN_US;
}

static void
mark_late (MhCluster *cluster, MhMachine *machine, gint64 age_us)
{
  machine->boot.late_age_us = age_us;
  if (machine->type == NULL || !machine->boot.created_here)
    return;
  mh_log_info_limited (
      cluster->runtime, MH_LOG_BOOT,
      "machine late to join, no longer counted as coming machine=%s age_s=%.0f type=%s zone=%s",
      machine->name, (double)age_us / MH_SECOND_US, machine->type_name, machine->zone);
  add_sample (find_or_add_statistics (cluster, machine->type), (double)age_us);
}

void
mh_boot_time_check_machine (MhCluster *cluster, MhMachine *machine)
{
  gint64 now_us = mh_runtime_now_us (cluster->runtime);
  gint64 age_us = now_us - machine->boot.created_us;
  if (machine->boot.late_age_us == 0 && age_us > late_age_of_type_us (cluster, machine->type))
    mark_late (cluster, machine, age_us);
  gint64 leading_us = now_us - mh_election_elected_us (cluster->election);
  bool had_time_to_report
      = leading_us > cluster->settings->heartbeat_interval_us * 2 + FIRST_HEARTBEAT_MARGIN_US;
  if (machine->boot.late_age_us && age_us > RELEASE_AGE_FACTOR * machine->boot.late_age_us
      && had_time_to_report)
    cluster->callbacks->release_machine (cluster->owner, machine, MH_RELEASE_REASON_NEVER_JOINED);
}
