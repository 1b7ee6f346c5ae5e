#include "runtime/queued-call.h"

MhQueuedCall *
mh_queued_call_new (guint64 id, MhRequest *request, gint64 now_us)
{
  MhQueuedCall *queued = g_new0 (MhQueuedCall, 1);
  queued->id = id;
  queued->request = request;
  queued->queued_us = now_us;
  return queued;
}

void
mh_queued_call_free (gpointer data)
{
  MhQueuedCall *queued = data;
  mh_request_free (queued->request);
  g_free (queued);
}

gint64
mh_queued_calls_remove_expired (GQueue *calls, gint64 now_us, GArray *expired)
{
  gint64 next_deadline_us = G_MAXINT64;
  for (GList *link = calls->head, *next; link; link = next)
    {
      MhQueuedCall *queued = link->data;
      next = link->next;
      if (queued->deadline_us == 0)
        continue;
      if (queued->deadline_us > now_us)
        {
          next_deadline_us = MIN (next_deadline_us, queued->deadline_us);
          continue;
        }
      g_array_append_val (expired, queued->id);
      g_queue_delete_link (calls, link);
      mh_queued_call_free (queued);
    }
  return next_deadline_us;
}
