/* CBOR messages of the published protocol: one reader (which validates) or writer per message.
   The protocol's own words stay in wire*.c. Readers return NULL or false on anything malformed. */
#pragma once

#include "protocol/value.h"

/* ---- routes: what a request to this node asks for ---- */

typedef enum
{
  MH_ROUTE_NONE,
  MH_ROUTE_READY,
  MH_ROUTE_REPORT,
  MH_ROUTE_SUBMIT,
  MH_ROUTE_STATUS,
  MH_ROUTE_CANCEL
} MhRoute;

/* `method`: the only one that is allowed; `job`: owned, STATUS and CANCEL only. */
MhRoute
mh_wire_route (const char *path, const char **method, char **job);

/* users */
bool
mh_wire_job_id_valid (const char *id);
MhJobSpec *
mh_wire_read_submission (const MhValue *body);
MhValue *
mh_wire_write_submission (const MhJobSpec *spec);
MhValue *
mh_wire_write_status (const char *id, const MhUserAnswer *answer, bool counts);

/* workers */
MhReport *
mh_wire_read_report (const MhValue *body);
MhValue *
mh_wire_write_commands (guint64 epoch, const guint64 *session, GArray *commands);
MhValue *
mh_wire_write_redirect (const char *node);

/* cloud */
GPtrArray *
mh_wire_read_machine_types (const MhValue *body);
GPtrArray *
mh_wire_read_machine_list (const MhValue *body, bool *more);
char **
mh_wire_read_rented (const MhValue *body);

/* state service */
typedef struct
{
  char *key;
  MhValue *value; /* NULL: dropped */
  guint64 version;
} MhEntry;

void
mh_entry_free (MhEntry *entry);
typedef struct
{
  const char *key;
  guint64 version;
} MhCondition;
typedef struct
{
  const char *key;
  MhValue *value;   /* NULL: drop */
  guint64 lease_id; /* 0: none */
} MhChange;

MhEntry *
mh_wire_read_entry (const MhValue *body);
GPtrArray *
mh_wire_read_entries (const MhValue *body, bool *more, guint64 *revision);
GPtrArray *
mh_wire_read_events (const MhValue *body, guint64 *revision);
bool
mh_wire_read_revision (const MhValue *body, guint64 *revision);
char **
mh_wire_read_failed (const MhValue *body);
bool
mh_wire_read_lease (const MhValue *body, guint64 *lease_id);

/* ---- requests: who is asked, and for what ---- */

typedef enum
{
  MH_TARGET_STATE,
  MH_TARGET_CLOUD,
  MH_TARGET_WORKER
} MhTarget;

typedef struct
{
  MhTarget target;
  const char *method;
  char *endpoint; /* workers only */
  char *path;
  MhValue *body;
} MhRequest;

void
mh_request_free (MhRequest *request);
MhRequest *
mh_request_copy (const MhRequest *request);

MhRequest *
mh_wire_get (const char *key);
MhRequest *
mh_wire_list (const char *prefix, const char *after, guint limit);
MhRequest *
mh_wire_txn (const MhCondition *conditions, guint n_conditions, const MhChange *changes,
             guint n_changes);
MhRequest *
mh_wire_lease_grant (gint64 life_us);
MhRequest *
mh_wire_lease_renew (guint64 lease_id);
MhRequest *
mh_wire_lease_revoke (guint64 lease_id);
MhRequest *
mh_wire_watch (const char *prefix, guint64 since, gint64 hold_us);
MhRequest *
mh_wire_machine_types (void);
MhRequest *
mh_wire_machines (const char *after);
MhRequest *
mh_wire_rent (const char *name, const char *type, const char *zone, bool spot, guint count);
MhRequest *
mh_wire_release (char **machines);
MhRequest *
mh_wire_commands (const char *endpoint, guint64 epoch, guint64 session, GArray *commands);
MhRequest *
mh_wire_show (const char *endpoint);
