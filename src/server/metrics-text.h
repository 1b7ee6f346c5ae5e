/* The metrics of a controller in the text exposition format of Prometheus, version 0.0.4.
   docs/operations.md ("Metrics") lists their names. */
#pragma once

#include "controller/status.h"
#include "server/loop-monitor.h"
#include "server/process-stats.h"

/**
 * MhMetrics:
 * @node: (transfer none): name of this controller
 * @status: its state
 * @counts: its counters
 * @process: measurements of the process
 * @connections: open connections of users and workers
 * @pending_requests: requests that have not been answered yet
 * @loop: measurements of the main loop
 *
 * What the metrics are made of.
 */
typedef struct
{
  const char *node;
  MhStatus status;
  guint64 counts[MH_COUNTERS];
  MhProcessStats process;
  guint connections;
  MhBacklog pending_requests;
  MhLoopStats loop;
} MhMetrics;

/**
 * mh_metrics_format:
 * @metrics: values
 *
 * Returns: (transfer full): the text
 */
char *
mh_metrics_format (const MhMetrics *metrics);
