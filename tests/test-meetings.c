/* Troubles that meet: for each row of docs/meetings.md the day that brings it about. */
#include "steps.h"

#include <string.h>

static SimWorker *
worker (Sim *sim, guint index)
{
  return g_ptr_array_index (sim->workers, index);
}

/* An array that is expected to run for long, so that none of its tasks waits for another. */
static SimUser *
running_array (Sim *sim, guint number, guint tasks, double run_s)
{
  MhJobSpec *s = sim_spec (number, MH_SHAPE_ARRAY, tasks, 1);
  s->estimate_us = 300 * MH_SECOND_US;
  SimUser *u = sim_submit (sim, s, run_s);
  WAIT (sim, 60, all_run, u);
  return u;
}

/* ---- the gap: what an old leader may answer, and a new one that cannot renew ---- */

/* The first leader loses the state service and its peers, and keeps its worker, which nobody else
   can ask; the second confirms a cancellation, and loses the state service with everybody else
   `outage_s` later, before or after the first gives the worker up. The worker's task is gone within
   cancel_s all the same. Without stops in what such a leader answers, the second kept the task
   alive in its turn. */
static void
gap (guint seed, bool refused, bool isolated, double outage_s)
{
  Sim *sim = sim_new (seed);
  SimUser *u = running_service (sim, 1, 2);
  sim_run (sim, 10);
  SimNode *old = sim_leader (sim);
  for (guint i = 0; i < sim->workers->len; i++)
    worker (sim, i)->node = old->index;
  *(refused ? &old->state_refused_us : &old->state_cut_us) = sim->now_us + 300 * MH_SECOND_US;
  if (isolated)
    old->peers_cut_us = sim->now_us + 300 * MH_SECOND_US;
  sim->hold_commands = true;
  sim->world->cloud_outage_until_us = sim->now_us + 300 * MH_SECOND_US; /* no machine is released */
  sim_cancel (u);
  WAIT (sim, 20, told_cancelled, u);
  g_assert_true (sim_leader (sim) != old);
  sim_run (sim, outage_s);
  sim->world->outage_until_us = sim->now_us + 70 * MH_SECOND_US;
  sim_run (sim, 120); /* the world checks cancel_s */
  g_assert_cmpuint (world_running (sim->world, "j-000001"), ==, 0);
  finish (sim);
}

static void
test_gap (void)
{
  for (guint i = 0; i < 12; i++)
    {
      gap (100 + i, true, false, 0.5 + 2 * i);
      gap (200 + i, true, true, 0.5 + 2 * i);
      gap (300 + i, false, true, 0.5 + 2 * i);
    }
}

/* A cancellation is confirmed, and its leader ends before any worker hears of it. The next one can
   renew its lease, but does not get to see the records for long: it must not keep alive what it
   cannot know to be cancelled. */
static void
test_cancel_before_a_slow_load (void)
{
  Sim *sim = sim_new (50);
  SimUser *u = running_service (sim, 1, 2);
  sim_run (sim, 10);
  guint old = sim_leader (sim)->index;
  sim->hold_commands = true;
  sim->world->cloud_outage_until_us = sim->now_us + 300 * MH_SECOND_US;
  for (guint i = 0; i < SIM_NODES; i++)
    sim->nodes[i].lists_lost_us = sim->now_us + 60 * MH_SECOND_US;
  for (guint i = 0; i < sim->workers->len; i++)
    worker (sim, i)->mute_us = sim->now_us + 3 * MH_SECOND_US;
  sim_cancel (u);
  WAIT (sim, 3, told_cancelled, u);
  sim_stop_node (sim, old);
  sim_run (sim, 80);
  g_assert_cmpuint (world_running (sim->world, "j-000001"), ==, 0);
  finish (sim);
}

/* Settings that leave no room beside the workers' lease: nothing is kept alive without the state
   service, what is cancelled is gone in time, and silence is noticed as ever. */
static void
test_no_room_for_the_gap (void)
{
  Sim *sim = sim_new (54);
  sim->settings->cancel_us = 18 * MH_SECOND_US;
  for (guint i = 0; i < SIM_NODES; i++)
    {
      sim_stop_node (sim, i);
      sim->nodes[i].settings->cancel_us = 18 * MH_SECOND_US;
      sim_start_node (sim, i);
    }
  SimUser *u = running_service (sim, 1, 2), *other = running_service (sim, 3, 1);
  g_assert_true (sim_logged (sim, "leaves no room"));
  sim_run (sim, 10);
  WorldMachine *m = worker_of (sim, "j-000003/0")->machine;
  m->hung_until_us = sim->now_us + 100 * MH_SECOND_US;
  WAIT (sim, 20, is_gone, m);
  WAIT (sim, 20, all_run, other);
  WAIT (sim, 20, all_run, u);
  SimNode *old = sim_leader (sim);
  old->state_cut_us = old->peers_cut_us = sim->now_us + 100 * MH_SECOND_US;
  sim->hold_commands = true;
  sim->world->cloud_outage_until_us = sim->now_us + 100 * MH_SECOND_US;
  sim_cancel (u);
  WAIT (sim, 20, told_cancelled, u);
  sim->world->outage_until_us = sim->now_us + 40 * MH_SECOND_US;
  sim_run (sim, 40);
  g_assert_cmpuint (world_running (sim->world, "j-000001"), ==, 0);
  finish (sim);
}

/* The state service is away for longer than the old leader may keep anything alive: the tasks end
   with the workers' leases, and start again on the very machines once it is back. That nothing was
   heard while all reports were refused once had the whole fleet given back. */
static void
test_long_outage (void)
{
  Sim *sim = sim_new (51);
  SimUser *u = running_service (sim, 1, 4);
  sim->world->outage_until_us = sim->now_us + 60 * MH_SECOND_US;
  sim_run (sim, 59);
  g_assert_cmpuint (world_running (sim->world, "j-000001"), ==, 0);
  WAIT (sim, 8, all_run, u);
  g_assert_cmpuint (sim->world->starts, ==, 8);
  for (guint i = 0; i < sim->world->machines->len; i++)
    g_assert_false (((WorldMachine *)g_ptr_array_index (sim->world->machines, i))->gone);
  finish (sim);
}

/* ---- workers that reach no controller, while direct commands reach them ---- */

/* Its lease runs out, again and again, and with it whatever is started there. It takes no work and
   is given back, and what ran there runs elsewhere; a whole zone of them does not stop the rest. */
static void
test_mute_machines (void)
{
  Sim *sim = sim_new (52);
  SimUser *u = running_service (sim, 1, 4);
  SimWorker *mute = worker_of (sim, "j-000001/0");
  mute->mute_us = sim->now_us + 200 * MH_SECOND_US;
  sim_run (sim, 9); /* its report is overdue: it gets nothing new, whatever room it has */
  guint before = mute->machine->tasks->len;
  SimUser *next = sim_submit (sim, sim_spec (5, MH_SHAPE_SERVICE, 2, 0.5), 0);
  WAIT (sim, 20, all_run, next);
  g_assert_cmpuint (mute->machine->tasks->len, <=, before);
  WAIT (sim, 40, is_gone, mute->machine);
  WAIT (sim, 10, all_run, u);
  SimUser *array = sim_submit (sim, sim_spec (2, MH_SHAPE_ARRAY, 8, 1), 5);
  WAIT (sim, 60, told_done, array);
  /* And one that is cancelled meanwhile is gone in time. */
  SimUser *third = running_service (sim, 3, 2);
  worker_of (sim, "j-000003/0")->mute_us = sim->now_us + 200 * MH_SECOND_US;
  sim_run (sim, 2);
  sim_cancel (third);
  sim_run (sim, 60);
  g_assert_cmpuint (world_running (sim->world, "j-000003"), ==, 0);
  finish (sim);
}

/* No report comes to this leader alone, though the workers answer its questions: another leads. */
static void
test_mute_towards_the_leader (void)
{
  Sim *sim = sim_new (53);
  SimUser *u = running_service (sim, 1, 4);
  running_service (sim, 2, 4);
  sim_run (sim, 10);
  SimNode *old = sim_leader (sim);
  old->reports_lost_us = sim->now_us + 60 * MH_SECOND_US;
  sim_run (sim, 20);
  g_assert_true (sim_leader (sim) != old);
  WAIT (sim, 30, all_run, u);
  finish (sim);
}

/* ---- the other meetings, in the order of docs/meetings.md ---- */

static void
wait_all (Sim *sim, double seconds)
{
  for (guint second = 0; second < seconds && !sim_all_settled (sim, NULL); second++)
    {
      sim_run (sim, 1);
      world_check_waiting (sim->world);
    }
  g_assert_true (sim_all_settled (sim, NULL));
}

/* More work than room, urgent and not, over links on which a part of everything comes late: all of
   it runs in the end, the urgent first, and nothing waits beside free room. */
static void
test_more_work_than_room (void)
{
  Sim *sim = sim_new (60);
  sim->world->capacity = 4;
  sim->late = 0.1;
  sim->lose = 0.02;
  for (guint i = 1; i <= 12; i++)
    sim_submit (sim, sim_spec (i, MH_SHAPE_ARRAY, 8, 1), 6);
  sim_run (sim, 30);
  SimUser *urgent = sim_submit (sim, sim_spec (20, MH_SHAPE_SERVICE, 2, 1), 0);
  WAIT (sim, 60, all_run, urgent);
  sim_run (sim, 30);
  sim->late = sim->lose = 0;
  wait_all (sim, 400);
  finish (sim);
}

/* A leader keeps its workers and users alone, and jobs are cancelled through the new one: nobody is
   told anything older by the first, and what is cancelled is gone in time. */
static void
test_cancel_beside_a_cut_leader (void)
{
  Sim *sim = sim_new (61);
  MhUserAnswer a;
  SimUser *u = running_service (sim, 1, 2), *other = running_service (sim, 2, 2);
  sim_run (sim, 10);
  SimNode *old = sim_leader (sim);
  for (guint i = 0; i < sim->workers->len; i++)
    worker (sim, i)->node = old->index;
  old->state_cut_us = old->peers_cut_us = sim->now_us + 60 * MH_SECOND_US;
  sim->hold_commands = true; /* no worker tells the old one of the new */
  sim_run (sim, 3);
  sim_cancel (u);
  WAIT (sim, 20, told_cancelled, u);
  sim_ask (sim, old->index, MH_USER_STATUS, "j-000001", NULL, &a);
  g_assert_true (a.status == 503 || a.state == MH_JOB_CANCELLED);
  sim_release_commands (sim);
  sim_run (sim, 80);
  g_assert_cmpuint (world_running (sim->world, "j-000001"), ==, 0);
  WAIT (sim, 60, all_run, other);
  finish (sim);
}

/* The workers of a zone can reach only the leader, which is cut off with them for longer than their
   lease. What runs there runs elsewhere only when the machines are gone. */
static void
test_zone_cut_with_its_leader (void)
{
  Sim *sim = sim_new (62);
  SimUser *u = running_service (sim, 1, 4);
  SimUser *array = running_array (sim, 2, 8, 20);
  sim_run (sim, 10);
  SimNode *old = sim_leader (sim);
  gint64 until = sim->now_us + 40 * MH_SECOND_US;
  old->state_cut_us = old->peers_cut_us = until;
  for (guint i = 0; i < sim->workers->len; i++)
    {
      SimWorker *w = worker (sim, i);
      bool inside = strcmp (w->machine->zone, "a") == 0;
      w->node = inside ? old->index : (old->index + 1) % SIM_NODES;
      w->node_only = inside ? (gint)old->index : -1;
      w->only_until_us = inside ? until : 0;
    }
  WAIT (sim, 200, told_done, array);
  WAIT (sim, 60, all_run, u);
  finish (sim);
}

/* Ten leaders in two minutes, some of them inside an outage, while users submit and cancel. */
static void
test_ten_leaders (void)
{
  Sim *sim = sim_new (63);
  SimUser *u = running_service (sim, 1, 3);
  for (guint i = 0; i < 10; i++)
    {
      SimUser *next = sim_submit (sim, sim_spec (10 + i, MH_SHAPE_ARRAY, 3, 1), 4);
      SimNode *leader = sim_leader (sim);
      guint stopped = leader ? leader->index : i % SIM_NODES;
      if (i == 4)
        sim->world->outage_until_us = sim->now_us + 20 * MH_SECOND_US;
      if (i == 6)
        sim_cancel (u);
      sim_stop_node (sim, stopped);
      sim_run (sim, 3);
      sim_start_node (sim, stopped);
      sim_run (sim, 9);
      if (i % 3 == 0)
        sim_cancel (next);
    }
  wait_all (sim, 200);
  g_assert_true (u->told_cancelled);
  finish (sim);
}

/* A team is at its limit when the leader changes; a machine that runs its tasks can't be asked, and
   cancels fall into that. What may still run there counts, so that no more is started. */
static void
test_limit_across_leaders (void)
{
  Sim *sim = sim_new (64);
  SimUser *u = running_array (sim, 2, 16, 200); /* 16 cpus are blue's limit */
  MhJobSpec *s = sim_spec (4, MH_SHAPE_ARRAY, 16, 1);
  s->estimate_us = 300 * MH_SECOND_US;
  SimUser *more = sim_submit (sim, s, 5);
  WAIT (sim, 20, accepted, more);
  sim_run (sim, 5);
  SimWorker *lost = worker_of (sim, "j-000002/0");
  lost->cut_us = sim->now_us + 30 * MH_SECOND_US;
  sim_stop_node (sim, sim_leader (sim)->index);
  sim_cancel (u);
  WAIT (sim, 20, told_cancelled, u);
  WAIT (sim, 200, told_done, more); /* the world checks the limit at each start */
  finish (sim);
}

/* A part of the transactions gets no answer and is carried out after newer ones of the same
   controller, while jobs come and end and leaders change. */
static void
test_late_writes (void)
{
  for (guint seed = 65; seed < 75; seed++)
    {
      Sim *sim = sim_new (seed);
      sim->late_writes = 0.3;
      for (guint i = 1; i <= 8; i++)
        {
          SimUser *u = sim_submit (sim, sim_spec (i, MH_SHAPE_ARRAY, 3, 1), 3);
          sim_run (sim, 4);
          if (i % 4 == 0)
            sim_cancel (u);
          SimNode *leader = i % 3 == 0 ? sim_leader (sim) : NULL;
          if (leader)
            {
              sim_stop_node (sim, leader->index);
              sim_run (sim, 0.3);
              sim_start_node (sim, leader->index);
            }
        }
      sim_run (sim, 30);
      sim->late_writes = 0;
      wait_all (sim, 200);
      g_assert_false (sim_logged (sim, "cannot be accounted for"));
      finish (sim);
    }
}

/* A submission that is repeated long after its job was over meets the final record in a transaction
   of which a copy is on its way. It was never carried out, and the leader goes on. */
static void
test_late_write_meets_a_final_record (void)
{
  Sim *sim = sim_new (75);
  MhUserAnswer a;
  SimUser *u = sim_submit (sim, sim_spec (1, MH_SHAPE_ARRAY, 1, 1), 2);
  WAIT (sim, 60, told_done, u);
  sim_run (sim, 5);
  sim_stop_node (sim, sim_leader (sim)->index); /* the next one knows it from the record alone */
  WAIT (sim, 10, has_leader, NULL);
  sim_run (sim, 3);
  SimNode *leader = sim_leader (sim);
  leader->writes_lost_us = sim->now_us + MH_SECOND_US * 3 / 2; /* the first copy gets no answer */
  for (guint i = 0; i < 3; i++)
    if (sim_ask (sim, leader->index, MH_USER_SUBMIT, "j-000001", sim_spec (1, MH_SHAPE_ARRAY, 1, 1),
                 &a)
        != 503)
      break;
  g_assert_cmpint (a.state, ==, MH_JOB_DONE);
  g_assert_true (sim_leader (sim) == leader);
  g_assert_false (sim_logged (sim, "cannot be accounted for"));
  finish (sim);
}

/* The same, and while its write waits the user asks, and submits once more: what the question found
   in the final record holds. The second submission once was answered as a job that waits. */
static void
test_question_between_repeated_submissions (void)
{
  Sim *sim = sim_new (86);
  SimUser *u = sim_submit (sim, sim_spec (1, MH_SHAPE_ARRAY, 1, 1), 2);
  WAIT (sim, 60, told_done, u);
  sim_run (sim, 5);
  sim_stop_node (sim, sim_leader (sim)->index);
  WAIT (sim, 10, has_leader, NULL);
  sim_run (sim, 3);
  SimNode *leader = sim_leader (sim);
  leader->writes_lost_us = sim->now_us + 4 * MH_SECOND_US;
  const MhUserVerb verbs[] = { MH_USER_SUBMIT, MH_USER_STATUS, MH_USER_SUBMIT };
  MhUserAnswer answers[G_N_ELEMENTS (verbs)] = {};
  for (guint i = 0; i < G_N_ELEMENTS (verbs); i++)
    {
      sim_ask_later (sim, leader->index, verbs[i], "j-000001",
                     verbs[i] == MH_USER_SUBMIT ? sim_spec (1, MH_SHAPE_ARRAY, 1, 1) : NULL,
                     &answers[i]);
      sim_run (sim, 0.3);
    }
  sim_run (sim, 8);
  for (guint i = 0; i < G_N_ELEMENTS (verbs); i++)
    g_assert_true (answers[i].status == 200 && answers[i].state == MH_JOB_DONE);
  finish (sim);
}

/* No controller for longer than the workers' lease: whatever ran is gone, and runs again. */
static void
test_all_away_for_a_lease (void)
{
  Sim *sim = sim_new (76);
  SimUser *u = running_service (sim, 1, 3);
  SimUser *array = running_array (sim, 2, 6, 20);
  for (guint i = 0; i < SIM_NODES; i++)
    sim_stop_node (sim, i);
  sim_run (sim, 30);
  g_assert_cmpuint (world_running (sim->world, "j-000001"), ==, 0);
  for (guint i = 0; i < SIM_NODES; i++)
    sim_start_node (sim, i);
  WAIT (sim, 15, all_run, u);
  WAIT (sim, 60, told_done, array);
  finish (sim);
}

/* A report of an earlier session comes after one of the next: what it shows is not there. */
static void
test_report_of_an_earlier_session (void)
{
  Sim *sim = sim_new (77);
  SimUser *u = running_service (sim, 1, 1);
  SimWorker *w = worker_of (sim, "j-000001/0");
  w->machine->sequence += 100; /* the next session counts from the beginning */
  g_autoptr (MhValue) old = world_report (sim->world, w->machine);
  w->mute_us = sim->now_us + 22 * MH_SECOND_US; /* its lease ends */
  sim_run (sim, 24);
  WAIT (sim, 30, all_run, u);
  guint starts = sim->world->starts;
  for (guint i = 0; i < 3; i++)
    {
      sim_late_report (sim, sim_leader (sim), old);
      sim_run (sim, 6);
    }
  g_assert_cmpuint (sim->world->starts, ==, starts);
  g_assert_cmpuint (world_running (sim->world, "j-000001"), ==, 1);
  finish (sim);
}

/* Jobs of two or three tasks that end far apart, each with a change of leader between. */
static void
test_ends_far_apart (void)
{
  Sim *sim = sim_new (78);
  SimUser *users[6];
  for (guint i = 0; i < G_N_ELEMENTS (users); i++)
    {
      users[i] = sim_submit (sim, sim_spec (1 + i, MH_SHAPE_ARRAY, 2 + i % 2, 1), 3);
      users[i]->job->apart_us = 12 * MH_SECOND_US;
    }
  for (guint i = 0; i < 4; i++)
    {
      sim_run (sim, 9);
      SimNode *leader = sim_leader (sim);
      guint stopped = leader ? leader->index : 0;
      sim_stop_node (sim, stopped);
      sim_run (sim, i % 2 ? 0.2 : 3);
      sim_start_node (sim, stopped);
    }
  wait_all (sim, 120);
  g_assert_cmpuint (sim->world->starts, ==, 15); /* none ran again */
  finish (sim);
}

/* A cancellation, a question and a repeated submission at the very end of a job's last task. */
static void
test_cancel_at_the_end (void)
{
  Sim *sim = sim_new (79);
  sim->cancel_at_end = 1;
  sim->copies = 0.2;
  for (guint i = 1; i <= 30; i++)
    {
      sim_submit (sim, sim_spec (i, MH_SHAPE_ARRAY, 1 + i % 3, 1), 1 + i % 4);
      sim_run (sim, 1);
    }
  sim->copies = 0;
  wait_all (sim, 200);
  finish (sim);
}

/* An array bound to one zone by its first tasks loses machines there. What runs on keeps it in that
   zone, and room is rented there, not in the emptier one. */
static void
test_one_zone_loses_machines (void)
{
  Sim *sim = sim_new (80);
  MhJobSpec *s = sim_spec (2, MH_SHAPE_ARRAY, 12, 1);
  s->one_zone = true;
  s->estimate_us = 300 * MH_SECOND_US;
  SimUser *u = sim_submit (sim, s, 300);
  WAIT (sim, 60, all_run, u);
  SimWorker *kept = worker_of (sim, "j-000002/0");
  guint failed = 0;
  for (guint i = 0; i < sim->workers->len; i++)
    {
      WorldMachine *m = worker (sim, i)->machine;
      if (m == kept->machine || m->tasks->len == 0)
        continue;
      world_fail (m);
      failed++;
    }
  g_assert_cmpuint (failed, >, 0);
  guint known = sim->world->machines->len;
  WAIT (sim, 60, all_run, u);
  for (guint i = known; i < sim->world->machines->len; i++)
    g_assert_cmpstr (((WorldMachine *)g_ptr_array_index (sim->world->machines, i))->zone, ==,
                     kept->machine->zone);
  g_assert_true (strcmp (kept->machine->zone, worker_of (sim, "j-000002/11")->machine->zone) == 0);
  finish (sim);
}

/* A report is held back until a new leader has acted, and then arrives there: the start that it
   does not show was sent by the new leader meanwhile. */
static void
test_report_held_until_a_new_leader_acted (void)
{
  Sim *sim = sim_new (81);
  running_service (sim, 1, 1);
  SimWorker *w = worker_of (sim, "j-000001/0");
  sim_run (sim, 8);
  g_autoptr (MhValue) held = world_report (sim->world, w->machine);
  sim_stop_node (sim, sim_leader (sim)->index);
  WAIT (sim, 10, has_leader, NULL);
  SimUser *u = sim_submit (sim, sim_spec (4, MH_SHAPE_SERVICE, 1, 1), 0);
  WAIT (sim, 20, all_run, u);
  sim_run (sim, 1);
  for (guint i = 0; i < 3; i++)
    {
      sim_late_report (sim, sim_leader (sim), held);
      sim_run (sim, 4);
    }
  g_assert_cmpuint (sim->world->starts, ==, 2);
  finish (sim);
}

/* Controllers hand over and back; then all end, and one is back within a moment, alone. */
static void
test_back_and_forth (void)
{
  Sim *sim = sim_new (82);
  SimUser *u = running_service (sim, 1, 3);
  running_service (sim, 3, 1);
  sim_run (sim, 10);
  for (guint i = 0; i < 4; i++)
    {
      SimNode *leader = sim_leader (sim);
      if (leader)
        leader->reports_lost_us = sim->now_us + 10 * MH_SECOND_US;
      sim_run (sim, 14);
    }
  for (guint i = 0; i < SIM_NODES; i++)
    sim_stop_node (sim, i);
  sim_run (sim, 0.2);
  sim_start_node (sim, 1);
  sim_run (sim, 10);
  g_assert_true (sim_leader (sim) == &sim->nodes[1]);
  WAIT (sim, 60, all_run, u);
  finish (sim);
}

/* A leader ends while machines with long tasks don't hear its successor, or can't be reached: they
   are given back, and only then does what they ran run elsewhere, with nothing waiting beside it.
 */
static void
test_machines_deaf_to_a_new_leader (void)
{
  Sim *sim = sim_new (83);
  running_array (sim, 2, 12, 90);
  sim_run (sim, 10);
  worker_of (sim, "j-000002/0")->deaf_us = sim->now_us + 200 * MH_SECOND_US;
  SimWorker *cut = worker_of (sim, "j-000002/11");
  cut->cut_us = sim->now_us + 100 * MH_SECOND_US;
  sim_stop_node (sim, sim_leader (sim)->index);
  wait_all (sim, 300);
  finish (sim);
}

/* Repeated submissions of what is not over, cancels of what is done, and jobs that can't run: each
   is answered as the page says, also while no controller leads. */
static void
test_odd_requests (void)
{
  Sim *sim = sim_new (84);
  MhUserAnswer a;
  SimUser *u = running_service (sim, 1, 1), *done;
  done = sim_submit (sim, sim_spec (2, MH_SHAPE_ARRAY, 1, 1), 2);
  WAIT (sim, 60, told_done, done);
  for (guint i = 0; i < SIM_NODES; i++)
    {
      g_assert_cmpuint (
          sim_ask (sim, i, MH_USER_SUBMIT, "j-000001", sim_spec (1, MH_SHAPE_SERVICE, 1, 1), &a),
          ==, 200);
      g_assert_cmpuint (sim_ask (sim, i, MH_USER_CANCEL, "j-000002", NULL, &a), ==, 200);
      g_assert_cmpint (a.state, ==, MH_JOB_DONE);
    }
  /* Two of three nodes end, the leader among them, and the third cannot be elected: what can be
     told from the settings and the records is told, the rest is not. */
  SimNode *last = &sim->nodes[(sim_leader (sim)->index + 1) % SIM_NODES];
  last->writes_lost_us = sim->now_us + 60 * MH_SECOND_US;
  for (guint i = 0; i < SIM_NODES; i++)
    if (i != last->index)
      sim_stop_node (sim, i);
  sim_run (sim, 3);
  g_assert_null (sim_leader (sim));
  MhJobSpec *s = sim_spec (5, MH_SHAPE_ARRAY, 1, 1);
  g_free (s->team);
  s->team = g_strdup ("nobody");
  g_assert_cmpuint (sim_ask (sim, last->index, MH_USER_SUBMIT, "j-000005", s, &a), ==, 422);
  g_assert_cmpuint (sim_ask (sim, last->index, MH_USER_SUBMIT, "j-000007",
                             sim_spec (7, MH_SHAPE_ARRAY, 1, 1), &a),
                    ==, 503);
  for (guint i = 0; i < SIM_NODES; i++)
    sim_start_node (sim, i);
  sim_run (sim, 10);
  g_assert_false (u->told_done || u->told_cancelled);
  finish (sim);
}

/* A record that is not understood, as another version may write it: its job is neither unknown nor
   free to start, and what runs of it is left alone. */
static void
test_record_not_understood (void)
{
  Sim *sim = sim_new (85);
  MhUserAnswer a;
  running_service (sim, 1, 1);
  sim_run (sim, 10);
  guint leader = sim_leader (sim)->index;
  sim_stop_node (sim, leader);
  world_spoil (sim->world, "j/j-000001");
  WAIT (sim, 10, has_leader, NULL);
  sim_run (sim, 90);
  g_assert_cmpuint (world_running (sim->world, "j-000001"), ==, 1);
  g_assert_cmpuint (sim->world->starts, ==, 1);
  for (guint i = 0; i < SIM_NODES; i++)
    if (i != leader)
      g_assert_cmpuint (sim_ask (sim, i, MH_USER_STATUS, "j-000001", NULL, &a), ==, 503);
  finish (sim);
}

/* ---- the state service takes less from some moment on ---- */

/* Jobs written in large records go on under limits that take only small ones: they are laid out
   anew, also when leaders end in the midst of it, and nothing runs again or is lost. */
static void
test_laid_out_anew (void)
{
  for (guint step = 0; step < 12; step++)
    {
      Sim *sim = sim_new (90 + step);
      sim->world->capacity = 6;
      MhJobSpec *s = sim_spec (1, MH_SHAPE_ARRAY, 320, 0.04);
      s->mem_gb = 0.1;
      s->estimate_us = 600 * MH_SECOND_US;
      SimUser *u = sim_submit (sim, s, 40);
      WAIT (sim, 60, all_run, u);
      SimUser *cancelled = running_service (sim, 3, 2);
      sim_limit (sim, 2048, 5);
      sim_run (sim, 1 + 0.1 * step);
      if (step)
        sim_stop_node (sim, sim_leader (sim) ? sim_leader (sim)->index : 0);
      sim_cancel (cancelled);
      sim_run (sim, 0.7 * step);
      for (guint i = 0; i < SIM_NODES; i++)
        sim_start_node (sim, i);
      WAIT (sim, 10, told_cancelled, cancelled);
      WAIT (sim, 120, told_done, u);
      g_assert_true (sim_logged (sim, "laid out anew"));
      g_assert_false (sim_logged (sim, "was refused"));
      g_assert_cmpuint (sim->world->starts, ==, 322);
      sim_run (sim, 15);
      g_assert_null (g_tree_lookup (sim->world->keys, "t/j-000001/00001"));
      finish (sim);
    }
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
#define ADD(name, func) g_test_add_func ("/meetings/" name, func)
  ADD ("gap", test_gap);
  ADD ("cancel-before-a-slow-load", test_cancel_before_a_slow_load);
  ADD ("no-room-for-the-gap", test_no_room_for_the_gap);
  ADD ("long-outage", test_long_outage);
  ADD ("mute-machines", test_mute_machines);
  ADD ("mute-towards-the-leader", test_mute_towards_the_leader);
  ADD ("more-work-than-room", test_more_work_than_room);
  ADD ("cancel-beside-a-cut-leader", test_cancel_beside_a_cut_leader);
  ADD ("zone-cut-with-its-leader", test_zone_cut_with_its_leader);
  ADD ("ten-leaders", test_ten_leaders);
  ADD ("limit-across-leaders", test_limit_across_leaders);
  ADD ("late-writes", test_late_writes);
  ADD ("late-write-meets-a-final-record", test_late_write_meets_a_final_record);
  ADD ("question-between-repeated-submissions", test_question_between_repeated_submissions);
  ADD ("all-away-for-a-lease", test_all_away_for_a_lease);
  ADD ("report-of-an-earlier-session", test_report_of_an_earlier_session);
  ADD ("ends-far-apart", test_ends_far_apart);
  ADD ("cancel-at-the-end", test_cancel_at_the_end);
  ADD ("one-zone-loses-machines", test_one_zone_loses_machines);
  ADD ("report-held-until-a-new-leader-acted", test_report_held_until_a_new_leader_acted);
  ADD ("back-and-forth", test_back_and_forth);
  ADD ("machines-deaf-to-a-new-leader", test_machines_deaf_to_a_new_leader);
  ADD ("odd-requests", test_odd_requests);
  ADD ("record-not-understood", test_record_not_understood);
  ADD ("laid-out-anew", test_laid_out_anew);
  return g_test_run ();
}
