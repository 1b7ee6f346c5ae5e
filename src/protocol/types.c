#include "protocol/types.h"

void
mh_job_spec_free (MhJobSpec *s)
{
  if (s == NULL)
    return;
  g_free (s->id);
  g_free (s->class_name);
  g_free (s->team);
  g_free (s->image);
  g_free (s->zone);
  g_strfreev (s->types);
  g_free (s);
}

static void
report_task_clear (gpointer data)
{
  g_free (((MhTaskStatus *)data)->job);
}

MhHeartbeat *
mh_heartbeat_new (void)
{
  MhHeartbeat *r = g_new0 (MhHeartbeat, 1);
  r->tasks = g_array_new (FALSE, FALSE, sizeof (MhTaskStatus));
  g_array_set_clear_func (r->tasks, report_task_clear);
  r->notice_us = -1;
  return r;
}

void
mh_heartbeat_free (MhHeartbeat *r)
{
  if (r == NULL)
    return;
  g_free (r->machine);
  g_free (r->endpoint);
  g_free (r->type);
  g_free (r->zone);
  g_array_unref (r->tasks);
  g_free (r);
}

static void
command_clear (gpointer data)
{
  g_free (((MhCommand *)data)->job);
}

GArray *
mh_commands_new (void)
{
  GArray *a = g_array_new (FALSE, FALSE, sizeof (MhCommand));
  g_array_set_clear_func (a, command_clear);
  return a;
}

void
mh_machine_type_free (MhMachineType *t)
{
  if (t == NULL)
    return;
  g_free (t->name);
  g_strfreev (t->zones);
  g_free (t);
}
