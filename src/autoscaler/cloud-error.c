#include "autoscaler/cloud-error.h"
#include "protocol/cloud-messages.h"

G_DEFINE_QUARK (mh - cloud - error - quark, mh_cloud_error)

static void
set_unavailable (const MhValue *body, GError **error)
{
  g_autofree char *reason = mh_value_get_text (body, "error");
  if (g_strcmp0 (reason, "no capacity") == 0)
    g_set_error_literal (error, MH_CLOUD_ERROR, MH_CLOUD_ERROR_NO_CAPACITY, "no capacity");
  else
    g_set_error_literal (error, MH_CLOUD_ERROR, MH_CLOUD_ERROR_UNAVAILABLE, "unavailable");
}

bool
mh_cloud_check_response (guint status, const MhValue *body, GError **error)
{
  switch (status)
    {
    case 200:
      return true;
    case 503:
      set_unavailable (body, error);
      return false;
    case 400:
      g_set_error_literal (error, MH_CLOUD_ERROR, MH_CLOUD_ERROR_INVALID_REQUEST,
                           "invalid request");
      return false;
    case 429:
      g_set_error_literal (error, MH_CLOUD_ERROR, MH_CLOUD_ERROR_THROTTLED, "throttled");
      return false;
    default:
      g_set_error (error, MH_CLOUD_ERROR, MH_CLOUD_ERROR_UNKNOWN_OUTCOME,
                   "unknown outcome (status %u)", status);
      return false;
    }
}

char **
mh_cloud_read_created_machines (guint status, const MhValue *body, GError **error)
{
  if (!mh_cloud_check_response (status, body, error))
    return NULL;
  g_autoptr (GError) decode_error = NULL;
  char **names = mh_created_machines_decode (body, &decode_error);
  if (names == NULL)
    g_set_error (error, MH_CLOUD_ERROR, MH_CLOUD_ERROR_MALFORMED_RESPONSE, "malformed reply: %s",
                 decode_error->message);
  return names;
}

bool
mh_cloud_error_is_final (const GError *error)
{
  return g_error_matches (error, MH_CLOUD_ERROR, MH_CLOUD_ERROR_NO_CAPACITY)
         || g_error_matches (error, MH_CLOUD_ERROR, MH_CLOUD_ERROR_UNAVAILABLE)
         || g_error_matches (error, MH_CLOUD_ERROR, MH_CLOUD_ERROR_INVALID_REQUEST);
}
