/* Sites of a gang: the machines that have room for its tasks, and the selection among them. */
#pragma once

#include "placement/placement-types.h"

/**
 * MhGangCapacity:
 * @MH_GANG_CAPACITY_AVAILABLE: resources that are available now
 * @MH_GANG_CAPACITY_AFTER_STOPS: these, and the resources of tasks that are being stopped
 * @MH_GANG_CAPACITY_PREEMPTIBLE: these, and the resources of tasks that could be preempted
 *
 * Which resources of a machine count as room.
 */
typedef enum
{
  MH_GANG_CAPACITY_AVAILABLE,
  MH_GANG_CAPACITY_AFTER_STOPS,
  MH_GANG_CAPACITY_PREEMPTIBLE
} MhGangCapacity;
/** MH_GANG_CAPACITY_KINDS: number of kinds of room */
#define MH_GANG_CAPACITY_KINDS (MH_GANG_CAPACITY_PREEMPTIBLE + 1)

/**
 * MhGangSite:
 * @machine: a machine
 * @slots: by MhGangCapacity: number of tasks for which the machine has room
 * @selected_tasks: number of tasks that the last selection put on the machine
 * @image_wait_us: time until the gang's image is present on the machine
 * @cost: cost of making room for one task; see mh_gang_sites_rank_by_cost()
 *
 * A machine with room for tasks of the gang.
 */
typedef struct
{
  MhMachine *machine;
  guint slots[MH_GANG_CAPACITY_KINDS];
  guint selected_tasks;
  gint64 image_wait_us;
  double cost;
} MhGangSite;

/**
 * MhGangSelection:
 * @tasks: number of tasks that have a site
 * @last_image_wait_us: longest image wait among the selected sites
 * @cost: sum of the cost of these tasks; see MhGangSite
 *
 * The result of a selection of sites.
 */
typedef struct
{
  guint tasks;
  gint64 last_image_wait_us;
  double cost;
} MhGangSelection;

/**
 * MhGangSites:
 * @pass: the pass
 * @job: the gang
 * @sites: (element-type MhGangSite): in the order in which selections consider them
 * @zones: (element-type utf8): the distinct zones of the sites, interned
 *
 * The sites of a gang in one placement pass.
 */
typedef struct
{
  const MhPlacementPass *pass;
  MhJob *job;
  GArray *sites;
  GPtrArray *zones;
} MhGangSites;

/**
 * mh_gang_sites_init:
 * @sites: (out): the sites to initialize
 * @pass: the pass
 * @job: a gang
 *
 * Collects the machines that have room for tasks of the gang, or would have it after preemption.
 */
void
mh_gang_sites_init (MhGangSites *sites, const MhPlacementPass *pass, MhJob *job);

/**
 * mh_gang_sites_clear:
 * @sites: the sites
 *
 * Frees the arrays of @sites.
 */
void
mh_gang_sites_clear (MhGangSites *sites);

/**
 * mh_gang_sites_rank_by_cost:
 * @sites: the sites
 *
 * Sorts the sites by the cost of making room there: the work that is lost by preemption, and the
 * image wait, which counts as lost work of the gang itself. When only the image wait counted, array
 * tasks that had run for long were stopped although others on other machines had just begun. A
 * single task that has to run again makes its whole array late.
 */
void
mh_gang_sites_rank_by_cost (MhGangSites *sites);

/**
 * mh_gang_sites_select:
 * @sites: the sites
 * @zone: (nullable): the only zone to select in, interned; %NULL: all zones
 * @capacity: which resources count as room
 *
 * Selects sites for as many of the gang's tasks as there is room for. A scattered gang gets at most
 * half of its tasks, rounded up, in one zone. The image waits of the selected sites may differ only
 * by a share of the time for which the workers wait for a gang to be complete.
 *
 * Returns: the selection; MhGangSite.selected_tasks has its number of tasks by site until the next
 * selection
 */
MhGangSelection
mh_gang_sites_select (MhGangSites *sites, const char *zone, MhGangCapacity capacity);

/**
 * mh_gang_sites_select_best:
 * @sites: the sites
 * @capacity: which resources count as room
 * @max_wait_us: maximum image wait of a selected site
 *
 * Selects sites for all tasks of the gang. If they all have to run in one zone, selects the best
 * zone.
 *
 * Returns: %FALSE if there is no room for all tasks
 */
bool
mh_gang_sites_select_best (MhGangSites *sites, MhGangCapacity capacity, gint64 max_wait_us);

/**
 * mh_gang_sites_reserve:
 * @sites: the sites
 *
 * Reserves the resources of the last selection until the next pass.
 */
void
mh_gang_sites_reserve (MhGangSites *sites);
