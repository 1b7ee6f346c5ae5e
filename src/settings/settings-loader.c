#include "settings/settings-loader.h"

#include "settings/operator-file.h"
#include "settings/platform-file.h"
#include "settings/settings-check.h"

MhSettings *
mh_settings_load (const char *platform_path, const char *operator_path, GError **error)
{
  g_return_val_if_fail (platform_path != NULL, NULL);
  g_autoptr (MhSettings) settings = mh_settings_new ();
  if (!mh_platform_file_read (platform_path, settings, error))
    return NULL;
  if (operator_path && !mh_operator_file_read (operator_path, settings, error))
    return NULL;
  if (!mh_settings_check (settings, error))
    return NULL;
  return g_steal_pointer (&settings);
}
