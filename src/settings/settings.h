/* The platform's settings file (TOML) and the operator's own (HCL-like, read by libConfuse). */
#pragma once

#include "base/time-units.h"
#include <stdbool.h>

typedef struct
{
  char *name, *zone, *endpoint;
} MhMember;

typedef struct
{
  char *name;
  double cpus, gpus;         /* guaranteed; 0: nothing is */
  double cpus_max, gpus_max; /* limits; infinite: none */
} MhTeam;

typedef enum
{
  MH_OBJECTIVE_WAIT,
  MH_OBJECTIVE_FINISHED,
  MH_OBJECTIVE_DEADLINE,
  MH_OBJECTIVE_GUARANTEE
} MhObjectiveKind;

typedef struct
{
  MhObjectiveKind kind;
  char *class_name;
  gint64 within_us;
} MhObjective;

/* How one class of services is spread; the operator may set it. */
typedef struct
{
  char *class_name;
  guint max_skew;
  bool soft;
} MhSpreadRule;

typedef struct
{
  /* the platform's */
  char *node, *zone, *front, *peer_bind, *cloud, *state;
  GPtrArray *members;    /* MhMember */
  GPtrArray *teams;      /* MhTeam */
  GPtrArray *objectives; /* MhObjective */
  gint64 report_us, worker_lease_us, cancel_us, list_lag_us;
  gint64 gang_wait_us,
      gang_peer_us; /* for the gang to be complete; to tell all, or notice a loss */
  double state_rps, state_write_rps, cloud_rps;
  guint value_bytes, txn_ops; /* once checked, the lower ones of those now and next */
  /* What the state service will hold to from some moment on, without notice; 0: as now. */
  double next_write_rps;
  guint next_value_bytes, next_txn_ops;
  double core_share; /* of a processor */
  guint max_connections;
  gint64 memory_bytes; /* 0: not said */
  /* the operator's */
  gint64 lease_us;   /* leader's lease in the state service */
  gint64 silence_us; /* a machine silent for this long is given back; 0: derived */
  gint64 idle_us;    /* an idle machine is given back after this long */
  guint batch;       /* records in a transaction; at most txn_ops */
  guint max_skew;    /* default of all classes */
  bool soft;         /* default of all classes: ScheduleAnyway */
  bool direct;       /* send starts straight to workers */
  GPtrArray *spread; /* MhSpreadRule */
} MhSettings;

MhSettings *
mh_settings_load (const char *path, const char *operator_path, GError **error);
void
mh_settings_free (MhSettings *settings);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (MhSettings, mh_settings_free)

/* Empty settings holding the defaults; the start of every loaded one. */
MhSettings *
mh_settings_new (void);
bool
mh_settings_check (MhSettings *settings, GError **error);
MhTeam *
mh_settings_team (const MhSettings *settings, const char *name);

/* toml-file.cpp: fills the platform's part. */
bool
mh_toml_read (const char *path, MhSettings *settings, char **problem);

#define MH_SETTINGS_ERROR (mh_settings_error_quark ())
GQuark
mh_settings_error_quark (void);
