/* A clock that advances only from event to event, and the queue of these events. Events of the same
   time run in the order in which they were added, so that a run depends on nothing but its inputs.
   */
#pragma once

#include <glib.h>

/** FakeClockFunc: @data: that the event was added with */
typedef void (*FakeClockFunc) (gpointer data);

/**
 * FakeClock:
 * @now_us: present time; set by the owner, never to a time past the next event
 * @last_number: last number that fake_clock_next_number() returned
 * @events: private
 */
typedef struct
{
  gint64 now_us;
  guint64 last_number;
  GSequence *events;
} FakeClock;

/** fake_clock_new: Returns: (transfer full): a clock without events */
FakeClock *
fake_clock_new (gint64 now_us);
/** fake_clock_free: Frees @clock, and the data of events that have not run. */
void
fake_clock_free (FakeClock *clock);
/** fake_clock_next_number: Returns: a number that no event and no other caller has */
guint64
fake_clock_next_number (FakeClock *clock);
/**
 * fake_clock_add:
 * @at_us: when @func is called; a time in the past means now
 * @free: (nullable): called with @data when the event has run or the clock is freed
 */
void
fake_clock_add (FakeClock *clock, gint64 at_us, FakeClockFunc func, gpointer data,
                GDestroyNotify free);
/**
 * fake_clock_add_pausable:
 * @paused_until_us: (nullable): the event is postponed to this time; read when the event is due
 */
void
fake_clock_add_pausable (FakeClock *clock, const gint64 *paused_until_us, gint64 at_us,
                         FakeClockFunc func, gpointer data, GDestroyNotify free);
/** fake_clock_next_event_us: Returns: time of the next event; %G_MAXINT64: there is none */
gint64
fake_clock_next_event_us (const FakeClock *clock);
/** fake_clock_run_next: Runs the next event, which must be due, or postpones it if it is paused. */
void
fake_clock_run_next (FakeClock *clock);
