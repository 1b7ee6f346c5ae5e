/* Three processes of the real program against the stand-ins, over loopback: the processes, servers
   for the key-value store and the cloud, a server and a client for each worker. */
#pragma once

#include "stand-in/environment.h"

#include <libsoup/soup.h>

/** LOOPBACK_NODES: number of controllers */
#define LOOPBACK_NODES 3

/**
 * LoopbackOptions:
 * @program: path of the program
 * @settings: tables of the platform's settings file below [settings], without those of controllers
 *   and endpoints
 * @log_dir: (nullable): directory for the controllers' log files; %NULL: standard error
 * @heartbeat_interval_us: between two heartbeats of a worker, in microseconds
 * @crash_on_critical: a critical log message ends a controller
 */
typedef struct
{
  const char *program;
  const char *settings;
  const char *log_dir;
  gint64 heartbeat_interval_us;
  bool crash_on_critical;
} LoopbackOptions;

/**
 * LoopbackNode:
 * @front: port for users and workers
 * @peer: port for the other controllers
 * @store: port at which it finds the key-value store
 * @peer_seen_by: port at which another controller finds it, by the index of that one
 * @config: path of its settings file
 * @process: (nullable): %NULL: down
 */
typedef struct
{
  guint front, peer, store;
  guint peer_seen_by[LOOPBACK_NODES];
  char *config;
  GSubprocess *process;
} LoopbackNode;

/**
 * LoopbackServiceFunc:
 * @target: the key-value store or the cloud
 * @path: path and query of the request
 *
 * Called before a request to the key-value store or the cloud is carried out. Returns: 0, or the
 * status that the request gets instead of being carried out
 */
typedef guint (*LoopbackServiceFunc) (MhTarget target, const char *path, gpointer data);

/**
 * LoopbackCluster:
 * @environment: all stand-ins
 * @settings: of the controllers
 * @nodes: the controllers
 * @services_port: of the key-value store and the cloud
 * @service_func: (nullable): decides whether a request is refused
 * @service_data: passed to @service_func
 * @service_delay_us: by how much each response of the key-value store is late, in microseconds
 *
 * The other fields are private.
 */
typedef struct
{
  Environment *environment;
  MhSettings *settings;
  LoopbackNode nodes[LOOPBACK_NODES];
  guint services_port;
  LoopbackServiceFunc service_func;
  gpointer service_data;
  gint64 service_delay_us;

  LoopbackOptions options;
  SoupServer *services;
  GPtrArray *reservations; /* GSocket, of the ports of controllers */
  SoupSession *session;
  SoupSession *worker_session;
  char *dir;
  GPtrArray *workers;
  GHashTable *waiting_watches; /* paused messages; each is the token of its watch */
  guint timer;
} LoopbackCluster;

/**
 * loopback_cluster_new:
 * @options: must outlive the cluster
 *
 * Chooses the ports and starts the stand-ins. No controller runs yet, so that the caller may change
 * the ports at which the controllers find others.
 */
LoopbackCluster *
loopback_cluster_new (const LoopbackOptions *options);
/** loopback_cluster_free: Ends the controllers and removes their files. The stand-ins are not
 * freed.
 */
void
loopback_cluster_free (LoopbackCluster *cluster);
/** loopback_cluster_write_settings: Writes the settings files of all controllers. */
void
loopback_cluster_write_settings (LoopbackCluster *cluster);
/** loopback_cluster_start: Starts the process of a controller. */
void
loopback_cluster_start (LoopbackCluster *cluster, guint node);
/** loopback_cluster_stop: Kills the process of a controller and waits for its end. */
void
loopback_cluster_stop (LoopbackCluster *cluster, guint node);
/** loopback_cluster_signal: Sends a signal to the process of a controller that is not down. */
void
loopback_cluster_signal (LoopbackCluster *cluster, guint node, int signal);

/**
 * LoopbackResponseFunc:
 * @status: HTTP status; 0: no response in time
 * @body: (nullable): of the response
 *
 * Handles a response.
 */
typedef void (*LoopbackResponseFunc) (guint status, const MhValue *body, gpointer data);

/**
 * loopback_cluster_send:
 * @body: (nullable): of the request
 * @timeout_us: how long to wait for the response, in microseconds
 *
 * Sends a request of a user to a controller.
 */
void
loopback_cluster_send (LoopbackCluster *cluster, guint node, const char *method, const char *path,
                       GBytes *body, gint64 timeout_us, LoopbackResponseFunc func, gpointer data);
/** loopback_cluster_encode_submission: Adds a job to the workload. Returns: (transfer full): the
 * body of its submission */
GBytes *
loopback_cluster_encode_submission (LoopbackCluster *cluster, MhJobSpec *spec, gint64 run_us);
