#include "storage/waiter-response.h"

static bool
is_request_durable (const MhJob *job, MhUserVerb verb)
{
  return verb == MH_USER_SUBMIT ? job->accepted
                                : mh_job_is_cancel_durable (job) || mh_job_is_end_durable (job);
}

void
mh_waiter_response_send_durable (MhRuntime *runtime, const MhJob *job)
{
  for (guint i = 0; i < job->waiters->len;)
    {
      MhWaiter waiter = g_array_index (job->waiters, MhWaiter, i);
      if (!is_request_durable (job, waiter.verb))
        {
          i++;
          continue;
        }
      g_array_remove_index (job->waiters, i);
      MhAction *action = mh_runtime_add_action (runtime, MH_ACTION_RESPOND_TO_USER, waiter.id);
      mh_job_fill_response (job, &action->response);
      action->response.status = waiter.verb == MH_USER_SUBMIT ? 201 : 200;
    }
}

void
mh_waiter_response_send_all (MhRuntime *runtime, const MhJob *job, const MhUserResponse *response)
{
  for (guint i = 0; i < job->waiters->len; i++)
    {
      guint64 id = g_array_index (job->waiters, MhWaiter, i).id;
      mh_runtime_add_action (runtime, MH_ACTION_RESPOND_TO_USER, id)->response = *response;
    }
  g_array_set_size (job->waiters, 0);
}
