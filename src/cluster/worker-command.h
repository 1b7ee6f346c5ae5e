/* Commands to workers, and the fencing of late copies of them.

   A start leaves only when its attempt is durable. A start that was sent directly may be carried
   out late; the worker is given a higher fencing token before its end is cleared. */
#pragma once

#include "cluster/machine-registry.h"

void
mh_worker_command_init (MhCore *core);
/* The fencing token that the machine is told: those of a leadership begin with own_epoch. NULL: not
 * known.
 */
guint64
mh_worker_command_token (const MhCore *core, const MhMachine *machine);
/* A direct start of the attempt that is not fenced yet. */
MhUnacknowledgedStart *
mh_worker_command_find_unacknowledged (const MhMachine *machine, const char *job, guint index,
                                       guint64 attempt);
/* Forgets those that the token in its last report fences. */
void
mh_worker_command_forget_fenced (MhMachine *machine);
/* Raises its token where something waits for that. */
void
mh_worker_command_fence (MhCore *core, MhMachine *machine);
void
mh_worker_command_collect (MhCore *core, MhMachine *machine, GArray *commands);
/* Stops for the tasks of cancelled jobs alone. */
void
mh_worker_command_collect_cancelled (const MhMachine *machine, GArray *commands);
/* Whether a command would leave for the machine now. */
bool
mh_worker_command_can_send (const MhCore *core, const MhMachine *machine);
/* Directly, what has not been said. `token_only`: even if that is nothing but the token. */
void
mh_worker_command_send (MhCore *core, MhMachine *machine, bool token_only);
