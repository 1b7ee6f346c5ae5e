/* CBOR messages of the published protocol: one reader (which validates) or writer per message.
   The protocol's own words stay in wire*.c. Readers return NULL or false on anything malformed. */
#pragma once

#include "protocol/value.h"

/* ---- routes: what a request to this node asks for ---- */

typedef enum
{
  MH_ROUTE_NONE,
  MH_ROUTE_READY,
  MH_ROUTE_HEARTBEAT,
  MH_ROUTE_SUBMIT,
  MH_ROUTE_STATUS,
  MH_ROUTE_CANCEL
} MhRoute;

/* `method`: the only one that is allowed; `job`: owned, STATUS and CANCEL only. */
MhRoute
mh_route_find (const char *path, const char **method, char **job);

/* users */
bool
mh_job_id_is_valid (const char *id);
MhJobSpec *
mh_submission_decode (const MhValue *body);
MhValue *
mh_submission_encode (const MhJobSpec *spec);
MhValue *
mh_job_status_encode (const char *id, const MhUserAnswer *answer, bool counts);

/* workers */
MhHeartbeat *
mh_heartbeat_decode (const MhValue *body);
MhValue *
mh_commands_encode (guint64 epoch, const guint64 *session, GArray *commands);
MhValue *
mh_redirect_encode (const char *node);

/* cloud */
GPtrArray *
mh_machine_types_decode (const MhValue *body);
GPtrArray *
mh_machine_list_decode (const MhValue *body, bool *more);
char **
mh_created_machines_decode (const MhValue *body);

/* state service */
typedef struct
{
  char *key;
  MhValue *value; /* NULL: dropped */
  guint64 version;
} MhKvEntry;

void
mh_kv_entry_free (MhKvEntry *entry);
typedef struct
{
  const char *key;
  guint64 version;
} MhKvCondition;
typedef struct
{
  const char *key;
  MhValue *value;   /* NULL: drop */
  guint64 lease_id; /* 0: none */
} MhKvChange;

MhKvEntry *
mh_kv_entry_decode (const MhValue *body);
GPtrArray *
mh_kv_list_decode (const MhValue *body, bool *more, guint64 *revision);
GPtrArray *
mh_kv_events_decode (const MhValue *body, guint64 *revision);
bool
mh_kv_revision_decode (const MhValue *body, guint64 *revision);
char **
mh_kv_failed_conditions_decode (const MhValue *body);
bool
mh_kv_lease_decode (const MhValue *body, guint64 *lease_id);

/* ---- requests: who is asked, and for what ---- */

typedef enum
{
  MH_TARGET_KEY_VALUE_STORE,
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
mh_kv_request_get (const char *key);
MhRequest *
mh_kv_request_list (const char *prefix, const char *after, guint limit);
MhRequest *
mh_kv_request_transaction (const MhKvCondition *conditions, guint n_conditions,
                           const MhKvChange *changes, guint n_changes);
MhRequest *
mh_kv_request_grant_lease (gint64 life_us);
MhRequest *
mh_kv_request_renew_lease (guint64 lease_id);
MhRequest *
mh_kv_request_revoke_lease (guint64 lease_id);
MhRequest *
mh_kv_request_watch (const char *prefix, guint64 since, gint64 hold_us);
MhRequest *
mh_cloud_request_machine_types (void);
MhRequest *
mh_cloud_request_machine_list (const char *after);
MhRequest *
mh_cloud_request_create_machines (const char *name, const char *type, const char *zone, bool spot,
                                  guint count);
MhRequest *
mh_cloud_request_delete_machines (char **machines);
MhRequest *
mh_worker_request_commands (const char *endpoint, guint64 epoch, guint64 session, GArray *commands);
MhRequest *
mh_worker_request_status (const char *endpoint);
