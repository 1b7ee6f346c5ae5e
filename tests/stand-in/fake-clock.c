#include "stand-in/fake-clock.h"

typedef struct
{
  gint64 at_us;
  guint64 number;
  const gint64 *paused_until_us;
  FakeClockFunc func;
  gpointer data;
  GDestroyNotify free;
} Event;

static void
event_free (gpointer data)
{
  Event *event = data;
  if (event->free)
    event->free (event->data);
  g_free (event);
}

static gint
compare_events (gconstpointer left, gconstpointer right, gpointer data)
{
  const Event *first = left, *second = right;
  (void)data;
  if (first->at_us != second->at_us)
    return first->at_us < second->at_us ? -1 : 1;
  return first->number < second->number ? -1 : first->number > second->number;
}

FakeClock *
fake_clock_new (gint64 now_us)
{
  FakeClock *clock = g_new0 (FakeClock, 1);
  clock->now_us = now_us;
  clock->events = g_sequence_new (event_free);
  return clock;
}

void
fake_clock_free (FakeClock *clock)
{
  g_sequence_free (clock->events);
  g_free (clock);
}

guint64
fake_clock_next_number (FakeClock *clock)
{
  return ++clock->last_number;
}

void
fake_clock_add (FakeClock *clock, gint64 at_us, FakeClockFunc func, gpointer data,
                GDestroyNotify free)
{
  fake_clock_add_pausable (clock, NULL, at_us, func, data, free);
}

void
fake_clock_add_pausable (FakeClock *clock, const gint64 *paused_until_us, gint64 at_us,
                         FakeClockFunc func, gpointer data, GDestroyNotify free)
{
  Event *event = g_new0 (Event, 1);
  event->paused_until_us = paused_until_us;
  event->at_us = MAX (at_us, clock->now_us);
  event->number = fake_clock_next_number (clock);
  event->func = func;
  event->data = data;
  event->free = free;
  g_sequence_insert_sorted (clock->events, event, compare_events, NULL);
}

gint64
fake_clock_next_event_us (const FakeClock *clock)
{
  GSequenceIter *first = g_sequence_get_begin_iter (clock->events);
  if (g_sequence_iter_is_end (first))
    return G_MAXINT64;
  const Event *event = g_sequence_get (first);
  return event->at_us;
}

void
fake_clock_run_next (FakeClock *clock)
{
  GSequenceIter *first = g_sequence_get_begin_iter (clock->events);
  Event *event = g_sequence_get (first);
  if (event->paused_until_us && *event->paused_until_us > clock->now_us)
    {
      /* Postponed events keep their order. */
      event->at_us = *event->paused_until_us;
      g_sequence_sort_changed (first, compare_events, NULL);
      return;
    }
  event->func (event->data);
  g_sequence_remove (first);
}
