/* Errors of calls to the cloud, classified by how the caller can react. */
#pragma once

#include "protocol/value.h"

/**
 * MhCloudError:
 * @MH_CLOUD_ERROR_NO_CAPACITY: the cloud has no machines of this kind (type, zone, spot or not) at
 * present
 * @MH_CLOUD_ERROR_UNAVAILABLE: the cloud is unavailable; the request was not carried out
 * @MH_CLOUD_ERROR_INVALID_REQUEST: the cloud rejected the request as malformed; it was not
 * carried out
 * @MH_CLOUD_ERROR_THROTTLED: the cloud's rate limit was exceeded; the request may be sent again
 * @MH_CLOUD_ERROR_MALFORMED_RESPONSE: the request was carried out, but its response cannot be
 * decoded
 * @MH_CLOUD_ERROR_UNKNOWN_OUTCOME: no response, or a status that the protocol does not define
 *
 * Why a call to the cloud returned no result.
 */
typedef enum
{
  MH_CLOUD_ERROR_NO_CAPACITY,
  MH_CLOUD_ERROR_UNAVAILABLE,
  MH_CLOUD_ERROR_INVALID_REQUEST,
  MH_CLOUD_ERROR_THROTTLED,
  MH_CLOUD_ERROR_MALFORMED_RESPONSE,
  MH_CLOUD_ERROR_UNKNOWN_OUTCOME
} MhCloudError;

/** MH_CLOUD_ERROR: the #GError domain of calls to the cloud */
#define MH_CLOUD_ERROR (mh_cloud_error_quark ())

/**
 * mh_cloud_error_quark:
 *
 * Returns: the #GError domain of calls to the cloud
 */
GQuark
mh_cloud_error_quark (void);

/**
 * mh_cloud_check_response:
 * @status: HTTP status of the response; 0 if there was no response
 * @body: (nullable): the body of the response
 * @error: (nullable): set to an error of the domain %MH_CLOUD_ERROR on failure
 *
 * Classifies a response of the cloud by its status and error value (PROTOCOL, "Controller nodes ->
 * cloud").
 *
 * Returns: %TRUE if the request was carried out
 */
bool
mh_cloud_check_response (guint status, const MhValue *body, GError **error);

/**
 * mh_cloud_read_created_machines:
 * @status: HTTP status of the response; 0 if there was no response
 * @body: (nullable): the body of the response
 * @error: (nullable): set to an error of the domain %MH_CLOUD_ERROR on failure
 *
 * Decodes the response to a request for machines.
 *
 * Returns: (transfer full) (nullable): the names of the created machines; %NULL on failure
 */
char **
mh_cloud_read_created_machines (guint status, const MhValue *body, GError **error);

/**
 * mh_cloud_error_is_final:
 * @error: an error in the domain %MH_CLOUD_ERROR
 *
 * Checks whether the cloud has confirmed that the request was not carried out. After any other
 * error it may have been carried out, or may still be, so the caller may only send the same request
 * again under the same name.
 *
 * Returns: %TRUE if the request has created no machine and never will
 */
bool
mh_cloud_error_is_final (const GError *error);
