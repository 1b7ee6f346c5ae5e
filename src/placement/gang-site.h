/* Sites of a gang: the machines with room for its tasks, and the choice among them. */
#pragma once

#include "placement/placement-types.h"

/**
 * MhGangRoom:
 * @MH_GANG_ROOM_NOW: what is available
 * @MH_GANG_ROOM_SOON: ... with what leaves when it has been stopped
 * @MH_GANG_ROOM_PREEMPTIBLE: ... with what could be stopped as well
 */
typedef enum
{
  MH_GANG_ROOM_NOW,
  MH_GANG_ROOM_SOON,
  MH_GANG_ROOM_PREEMPTIBLE
} MhGangRoom;
/** MH_GANG_ROOMS: number of kinds of room */
#define MH_GANG_ROOMS (MH_GANG_ROOM_PREEMPTIBLE + 1)

/**
 * MhGangSite:
 * @machine: a machine
 * @slots: by MhGangRoom: for how many tasks it has room
 * @taken: tasks of the last selection
 * @image_wait_us: until the image is there
 * @cost: of a task there, where room has to be made; see mh_gang_sites_rank_by_cost()
 */
typedef struct
{
  MhMachine *machine;
  guint slots[MH_GANG_ROOMS];
  guint taken;
  gint64 image_wait_us;
  double cost;
} MhGangSite;

/**
 * MhGangSelection:
 * @tasks: that have a site
 * @last_image_us: when the last image comes
 * @cost: of all of them
 */
typedef struct
{
  guint tasks;
  gint64 last_image_us;
  double cost;
} MhGangSelection;

/**
 * MhGangSites:
 * @pass: the pass
 * @job: the gang
 * @sites: (element-type MhGangSite): in the order in which they are taken
 * @zones: distinct, interned
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
 * @sites: is filled in
 * @pass: the pass
 * @job: a gang
 */
void
mh_gang_sites_init (MhGangSites *sites, const MhPlacementPass *pass, MhJob *job);

/**
 * mh_gang_sites_clear:
 * @sites: the sites
 */
void
mh_gang_sites_clear (MhGangSites *sites);

/**
 * mh_gang_sites_rank_by_cost:
 * @sites: the sites
 *
 * Where room has to be made, what is lost counts, and the wait for the image as work of the gang
 * itself. By the image alone, long runs of arrays were stopped while others beside them had just
 * begun, and one task that has to run again makes its whole array late.
 */
void
mh_gang_sites_rank_by_cost (MhGangSites *sites);

/**
 * mh_gang_sites_select:
 * @sites: the sites
 * @zone: (nullable): the only zone; interned; %NULL: all
 * @room: which room counts
 *
 * Takes sites for as many tasks as there is room for, at most half in one zone where the gang is
 * scattered. The first image and the last must come within what the workers wait for each other.
 *
 * Returns: what was taken; which is in MhGangSite.taken until the next selection
 */
MhGangSelection
mh_gang_sites_select (MhGangSites *sites, const char *zone, MhGangRoom room);

/**
 * mh_gang_sites_select_best:
 * @sites: the sites
 * @room: which room counts
 * @max_wait_us: the last image must come within this time
 *
 * Takes sites for all tasks, in the best zone where the gang is bound to one.
 *
 * Returns: %FALSE if there is no room for all
 */
bool
mh_gang_sites_select_best (MhGangSites *sites, MhGangRoom room, gint64 max_wait_us);

/**
 * mh_gang_sites_reserve:
 * @sites: the sites
 *
 * Keeps what the last selection took, until the next pass.
 */
void
mh_gang_sites_reserve (MhGangSites *sites);
