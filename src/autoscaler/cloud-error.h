/* Errors of calls to the cloud, by what the caller can do about them. */
#pragma once

#include "protocol/value.h"

/**
 * MhCloudError:
 * @MH_CLOUD_ERROR_NO_CAPACITY: there are no machines of the type, zone and kind for now
 * @MH_CLOUD_ERROR_UNAVAILABLE: the cloud is out; nothing was carried out
 * @MH_CLOUD_ERROR_INVALID_REQUEST: the cloud calls the request malformed; nothing was carried out
 * @MH_CLOUD_ERROR_THROTTLED: too many requests; this one may be sent again
 * @MH_CLOUD_ERROR_MALFORMED_REPLY: the reply cannot be read, though the request was carried out
 * @MH_CLOUD_ERROR_UNKNOWN_OUTCOME: no reply, or one that the protocol does not know
 *
 * Why a call to the cloud has no result.
 */
typedef enum
{
  MH_CLOUD_ERROR_NO_CAPACITY,
  MH_CLOUD_ERROR_UNAVAILABLE,
  MH_CLOUD_ERROR_INVALID_REQUEST,
  MH_CLOUD_ERROR_THROTTLED,
  MH_CLOUD_ERROR_MALFORMED_REPLY,
  MH_CLOUD_ERROR_UNKNOWN_OUTCOME
} MhCloudError;

/** MH_CLOUD_ERROR: the domain of #GError that cloud calls report */
#define MH_CLOUD_ERROR (mh_cloud_error_quark ())

/**
 * mh_cloud_error_quark:
 *
 * Returns: the domain of errors of calls to the cloud
 */
GQuark
mh_cloud_error_quark (void);

/**
 * mh_cloud_check_reply:
 * @status: HTTP status of the reply; 0: none came
 * @body: (nullable): the reply
 * @error: (nullable): why the request was not carried out, in the domain %MH_CLOUD_ERROR
 *
 * Tells the replies of the cloud apart (PROTOCOL, "Controller nodes -> cloud").
 *
 * Returns: %TRUE if the request was carried out
 */
bool
mh_cloud_check_reply (guint status, const MhValue *body, GError **error);

/**
 * mh_cloud_read_created_machines:
 * @status: HTTP status of the reply; 0: none came
 * @body: (nullable): the reply
 * @error: (nullable): why there are none, in the domain %MH_CLOUD_ERROR
 *
 * Reads the reply to a request for machines.
 *
 * Returns: (transfer full) (nullable): the names of the machines; %NULL on an error
 */
char **
mh_cloud_read_created_machines (guint status, const MhValue *body, GError **error);

/**
 * mh_cloud_error_is_final:
 * @error: an error in the domain %MH_CLOUD_ERROR
 *
 * Whether the cloud has said that the request was not carried out. After any other error it may
 * have been, or it may still be, so that only the same request may be sent again, by the same name.
 *
 * Returns: %TRUE if the request created nothing and will create nothing
 */
bool
mh_cloud_error_is_final (const GError *error);
