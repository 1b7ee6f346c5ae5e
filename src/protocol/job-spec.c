#include "protocol/job-spec.h"

#include <string.h>

#define ID_PREFIX "j-"
#define MIN_ID_DIGITS 6
#define MAX_ID_DIGITS 18

void
mh_job_spec_free (MhJobSpec *spec)
{
  if (spec == NULL)
    return;
  g_free (spec->id);
  g_free (spec->class_name);
  g_free (spec->team);
  g_free (spec->image);
  g_free (spec->zone);
  g_strfreev (spec->types);
  g_free (spec);
}

bool
mh_job_id_is_valid (const char *id)
{
  g_return_val_if_fail (id != NULL, false);

  if (!g_str_has_prefix (id, ID_PREFIX))
    return false;
  const char *number = id + strlen (ID_PREFIX);
  gsize digits = strspn (number, "0123456789");
  return digits >= MIN_ID_DIGITS && digits <= MAX_ID_DIGITS && number[digits] == '\0';
}
