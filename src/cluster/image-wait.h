/* Estimates how long a task would wait for its image on a machine. */
#pragma once

#include "cluster/cluster-types.h"
#include "cluster/machine.h"

/**
 * mh_machine_image_wait_us:
 * @cluster: the cluster
 * @machine: a machine
 * @image: an interned name
 * @gb: the image's size in gigabytes
 *
 * Returns: the estimated time that a task would wait for the image there, in microseconds: 0 if the
 * image is cached; the rest of the fetch if one is in progress; otherwise the time to fetch it
 * together with the images that are being fetched, which may share the rate
 */
gint64
mh_machine_image_wait_us (const MhCluster *cluster, const MhMachine *machine,
                          const GRefString *image, double gb);
