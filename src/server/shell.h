/* The shell around the core: main loop, HTTP, peers. It carries out what the core says and decides
   nothing. */
#pragma once

#include "settings/settings.h"

/* Runs until the process is killed; false with an error when it cannot listen. */
bool
mh_shell_run (const MhSettings *settings, GError **error);
