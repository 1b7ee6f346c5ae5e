#include "controller/core-private.h"

#define MEAN_WEIGHT 0.125
#define DEVIATION_WEIGHT 0.25
#define DEVIATIONS 4.0
/* Boots usually take 0.6 to 1.5 times what the type says; some several times as long. What has been
   seen moves the estimate between these multiples. */
#define LEAST_BOOTS 1.5
#define MOST_BOOTS 4.0
/* Of the list of machines and of the first report. */
#define SPARE_US (5 * MH_SECOND_US)
/* A machine that is late is given back at this multiple of its age then. */
#define GIVEN_UP 2
/* Of a type that is not known. */
#define UNKNOWN_BOOT_US (60 * MH_SECOND_US)

static MhBootStat *
stat_of (MhCore *core, const MhMachineType *type)
{
  MhBootStat *stat = g_hash_table_lookup (core->boot_stats, type->name);
  if (stat == NULL)
    {
      stat = g_new0 (MhBootStat, 1);
      g_hash_table_insert (core->boot_stats, g_strdup (type->name), stat);
    }
  return stat;
}

static void
add_sample (MhBootStat *stat, double took_us)
{
  if (stat->samples++ == 0)
    {
      stat->mean_us = took_us;
      stat->deviation_us = took_us / 4;
      return;
    }
  double error = took_us - stat->mean_us;
  stat->mean_us += MEAN_WEIGHT * error;
  stat->deviation_us += DEVIATION_WEIGHT * (ABS (error) - stat->deviation_us);
}

void
mh_boot_joined (MhCore *core, const MhMachine *machine)
{
  /* Of one that another leader rented, or that was up before, nothing is known. */
  if (machine->type && machine->rented_here && machine->incarnation <= 1)
    add_sample (stat_of (core, machine->type), (double)(core->now.mono_us - machine->rented_us));
}

/* A machine of the type that has not joined by then is late. */
static gint64
late_us (const MhCore *core, const MhMachineType *type)
{
  double boot = type ? (double)type->boot_us : UNKNOWN_BOOT_US;
  const MhBootStat *stat = type ? g_hash_table_lookup (core->boot_stats, type->name) : NULL;
  double usual = stat ? stat->mean_us + DEVIATIONS * stat->deviation_us : 2 * boot;
  return (gint64)CLAMP (usual, LEAST_BOOTS * boot, MOST_BOOTS * boot) + SPARE_US;
}

static void
note_late (MhCore *core, MhMachine *machine, gint64 age_us)
{
  machine->late_age_us = age_us;
  if (machine->type == NULL || !machine->rented_here)
    return;
  mh_info_limited (core, MH_LOG_BOOT,
                   "machine %s: has not joined %.0f s after it was rented (%s in %s); others are "
                   "rented in its place",
                   machine->name, (double)age_us / MH_SECOND_US, machine->type_name, machine->zone);
  add_sample (stat_of (core, machine->type), (double)age_us);
}

void
mh_boot_check (MhCore *core, MhMachine *machine)
{
  gint64 now = core->now.mono_us, age_us = now - machine->rented_us;
  if (machine->late_age_us == 0 && age_us > late_us (core, machine->type))
    note_late (core, machine, age_us);
  gint64 leading_us = now - core->leader.since_us;
  /* It may report to this leader for the first time only now. */
  if (machine->late_age_us && age_us > GIVEN_UP * machine->late_age_us
      && leading_us > core->settings->report_us * 2 + 6 * MH_SECOND_US)
    mh_release_machine (core, machine, "never came up");
}
