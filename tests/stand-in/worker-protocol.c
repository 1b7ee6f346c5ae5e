#include "stand-in/worker-protocol.h"
#include "protocol/worker-messages.h"

#include <string.h>

static const char *const phase_words[] = {
  [MH_TASK_PHASE_FETCHING_IMAGE] = "pulling",
  [MH_TASK_PHASE_WAITING_FOR_GANG] = "gathering",
  [MH_TASK_PHASE_RUNNING] = "running",
  [MH_TASK_PHASE_CHECKPOINTING] = "saving",
  [MH_TASK_PHASE_ENDED] = "ended",
};

static MhValue *
encode_task (const MachineTask *task)
{
  MhValue *item = mh_value_new_map ();
  mh_value_set_text (item, "leg", task->task_id);
  mh_value_set_uint (item, "try", task->attempt);
  mh_value_set_text (item, "status", phase_words[task->phase]);
  if (task->phase == MH_TASK_PHASE_ENDED)
    mh_value_set_text (item, "cause", task->end_cause);
  return item;
}

MhValue *
worker_protocol_heartbeat (Machine *machine)
{
  MhValue *heartbeat = mh_value_new_map (), *tasks = mh_value_new_list ();
  machine->heartbeat_sequence++;
  mh_value_set_text (heartbeat, "box", machine->name);
  mh_value_set_text (heartbeat, "endpoint", machine->endpoint);
  mh_value_set_text (heartbeat, "rack", machine->type);
  mh_value_set_text (heartbeat, "hall", machine->zone);
  mh_value_set_bool (heartbeat, "standby", machine->spot);
  mh_value_set_uint (heartbeat, "tenure", machine->incarnation);
  mh_value_set_uint (heartbeat, "tick", machine->heartbeat_sequence);
  mh_value_set_uint (heartbeat, "epoch", machine->fencing_token);
  if (machine->preempted_at_us)
    mh_value_set_number (heartbeat, "warning_s",
                         (double)(machine->preempted_at_us - machine->runtime->now_us) / 1e6);
  for (guint i = 0; i < machine->tasks->len; i++)
    mh_value_push (tasks, encode_task (machine_task (machine, i)));
  mh_value_set (heartbeat, "legs", tasks);
  return heartbeat;
}

static void
stop_or_clear (Machine *machine, guint position, const char *verb, const MhValue *command)
{
  MachineTask *task = machine_task (machine, position);
  double grace_s = 0;
  mh_value_get_number (command, "wind_down_s", &grace_s);
  if (strcmp (verb, "kill") == 0)
    worker_runtime_stop_task (machine->runtime, task, grace_s);
  else if (strcmp (verb, "clear") == 0 && task->phase == MH_TASK_PHASE_ENDED)
    g_array_remove_index (machine->tasks, position);
}

static void
execute_command (Machine *machine, const MhValue *command)
{
  g_autofree char *verb = mh_value_get_text (command, "verb");
  g_autofree char *task_id = mh_value_get_text (command, "leg");
  guint64 attempt = 0;
  mh_value_get_uint (command, "try", &attempt);
  if (strcmp (verb, "run") == 0)
    {
      worker_runtime_start_task (machine->runtime, machine, task_id, attempt);
      return;
    }
  for (guint i = 0; i < machine->tasks->len; i++)
    {
      const MachineTask *task = machine_task (machine, i);
      if (strcmp (task->task_id, task_id) != 0 || task->attempt != attempt)
        continue;
      stop_or_clear (machine, i, verb, command);
      return;
    }
}

static void
execute_commands (Machine *machine, const MhValue *commands)
{
  for (gsize i = 0; i < mh_value_list_length (commands); i++)
    execute_command (machine, mh_value_at (commands, i));
}

void
worker_protocol_heartbeat_response (Machine *machine, gint64 sent_us, guint64 incarnation,
                                    const MhValue *body)
{
  guint64 token;
  if (!machine->running || incarnation != machine->incarnation
      || !mh_value_get_uint (body, "epoch", &token) || token < machine->fencing_token)
    return;
  machine->fencing_token = token;
  machine->lease_start_us = MAX (machine->lease_start_us, sent_us);
  execute_commands (machine, mh_value_get (body, "orders"));
}

guint
worker_protocol_commands (Machine *machine, const MhValue *body, MhValue **response)
{
  guint64 token, incarnation;
  *response = NULL;
  if (!mh_value_get_uint (body, "epoch", &token)
      || !mh_value_get_uint (body, "tenure", &incarnation))
    return 400;
  bool current = token >= machine->fencing_token && incarnation == machine->incarnation;
  if (current)
    {
      machine->fencing_token = token;
      execute_commands (machine, mh_value_get (body, "orders"));
    }
  *response = worker_protocol_heartbeat (machine);
  return current ? 200 : 409;
}
