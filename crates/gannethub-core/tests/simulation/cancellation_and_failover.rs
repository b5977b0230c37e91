//! Further combinations of two concurrent failures: one test for every row of the table at the top of
//! `docs/design-concurrent-failures.md` that names this module. The checker verifies the invariants in all of these
//! tests: it checks every machine, answer and launch.

use crate::unseen_cancellation::{
    begin, id, leader_and_others, recover_and_cancel_all, world_with_long_jobs,
};
use crate::*;
use gannethub_core::wire::store::LEADER_TERM_KEY;
use harness::CANCEL_DEADLINE;

/// Ends the faults, waits until all jobs are over, and repeats a poll and the submission of every job at all nodes.
fn recover_and_finish(mut w: World, seed: u64) {
    w.end_faults();
    w.run_until(300, "all jobs have ended", World::all_jobs_ended);
    let ids: Vec<String> = w.jobs.keys().cloned().collect();
    for id in &ids {
        for node in 0..w.nodes.len() {
            w.send_request_to(id, "poll", node);
            w.send_request_to(id, "submit", node);
        }
    }
    w.run(5);
    assert_eq!(w.violations, Vec::<String>::new(), "seed {seed}");
    w.finish();
}

/// Users submit many short jobs, some with upstream jobs, cancel some of them at once, and repeat their requests at all
/// nodes within 300 ms after each acceptance, end and cancellation. Meanwhile one controller after the other restarts
/// and has read nothing, watches fall behind and are refused, and changes arrive in an order other than that of their
/// versions.
#[test]
fn no_node_answers_with_an_older_state() {
    for (nodes, seed) in [(3, 1), (3, 2), (3, 3), (5, 4), (3, 5), (3, 6)] {
        let mut w = World::new(nodes, seed);
        w.state.unordered = seed % 2 == 1;
        w.state.kept_changes = (seed % 3 == 0).then_some(10);
        w.cloud.capacity = 20;
        w.run(2);
        w.repeats_requests = true;
        let mut next = 0;
        for round in 0..24 {
            for _ in 0..2 {
                next += 1;
                let upstream: Vec<String> = match next % 5 {
                    0 if w.jobs[&id(next - 1)].accepted.is_some() => vec![id(next - 1)],
                    _ => Vec::new(),
                };
                let shape = if next % 7 == 0 { "group" } else { "array" };
                w.submit(job(
                    next,
                    1 + next % 2,
                    json!({"shape": shape, "waits_on": upstream}),
                ));
            }
            if round % 3 == 0 {
                // The job is cancelled as soon as it is accepted. A downstream job is cancelled with it.
                w.run_until(15, "accepted", |w| w.jobs[&id(next - 1)].accepted.is_some());
                w.cancel(next - 1);
            }
            w.run(1);
            match round % 6 {
                2 => w.crash(round as usize % nodes, SECOND / 5),
                4 => {
                    w.crash_leader(SECOND / 2);
                }
                // The state service refuses a node for a while, with users' requests in flight.
                5 => {
                    w.faults.store_refuses.insert(round as usize % nodes);
                }
                _ => w.faults.store_refuses.clear(),
            }
        }
        assert!(
            w.counters.repeated_requests > 500,
            "only {} repeated requests",
            w.counters.repeated_requests
        );
        assert!(
            w.state.kept_changes.is_none() || w.state.refused_old_watches > 0,
            "no watch fell behind"
        );
        recover_and_finish(w, seed);
    }
}

/// A cancellation, queries and repeated requests coincide with the end of a job's last task, with no other fault. Every
/// node must answer with the same end from then on: either done or cancelled.
#[test]
fn job_cancelled_as_it_ends_has_one_end_at_every_node() {
    let mut ends = (0, 0);
    for seed in 1..=4 {
        let mut w = World::new(3, seed);
        w.state.unordered = seed % 2 == 0;
        w.run_time_range = (SECOND / 2, 3 * SECOND);
        w.run(2);
        w.cancel_at_end = 0.7;
        w.repeats_requests = true;
        for i in 1..=40 {
            let shape = if i % 5 == 0 { "group" } else { "array" };
            w.submit(job(i, 1 + i % 3, json!({"shape": shape})));
            w.run(u64::from(i % 2));
        }
        w.run_until(120, "all jobs have ended", World::all_jobs_ended);
        ends.0 += w
            .jobs
            .values()
            .filter(|j| j.done_confirmed_at.is_some() && j.cancel_asked)
            .count();
        ends.1 += w
            .jobs
            .values()
            .filter(|j| j.cancellation_confirmed_at.is_some())
            .count();
        recover_and_finish(w, seed);
    }
    // The cancellations are sent between a time before the end is known and a time after it is stored, so both ends
    // must occur.
    assert!(ends.0 > 10 && ends.1 > 10, "{ends:?}");
}

/// Transactions are carried out at once and only their answers are lost, while users repeat their requests at all nodes
/// and leaders crash before they read the result back. The test covers every kind of transaction: acceptances,
/// releases, cancellations, launch watermarks, ends, parts of a large array, records of machines, clean-up and
/// takeovers; with several shards also machine transfers, quota partitions and shard assignments; and pages of a
/// ledger.
#[test]
fn transactions_with_lost_answers_take_effect_once() {
    for seed in 1..=9 {
        let mut w = match seed % 3 {
            0 => World::with_shards(3, seed, 3, &|text| text),
            1 => World::with_ledger(3, seed, &|text| text),
            _ => World::new(3, seed),
        };
        w.cloud.capacity = 20;
        w.run(4);
        w.repeats_requests = true;
        for round in 0..10 {
            // In every third round, 90% of the answers are lost, so that reading back and sending again fail as well.
            w.faults.lost_commit_answer_rate = [0.3, 0.3, 0.9][round as usize % 3];
            let i = 3 * round + 1;
            w.submit(job(i, 1 + round % 3, json!({"guess_s": 4.0})));
            w.submit(job(i + 1, 2, json!({"shape": "group"})));
            w.run(3);
            let upstream: Vec<String> = w.jobs[&id(i)].accepted.iter().map(|_| id(i)).collect();
            w.submit(job(i + 2, 1, json!({"waits_on": upstream})));
            w.run(2);
            w.cancel(i + round % 3);
            if round % 3 == 2 {
                w.crash_leader(SECOND * (1 + seed % 4));
            }
            w.run(2);
        }
        assert!(
            w.counters.unanswered_commits > 20,
            "only {} lost answers",
            w.counters.unanswered_commits
        );
        recover_and_finish(w, seed);
    }
}

/// Both teams are at their limits and have more tasks waiting. Jobs are cancelled whose machines are in an unreachable
/// zone, hang, reach no controller or get no answers, and the leader changes. Tasks that may still run count towards
/// the limit until they are known to be gone, and then their capacity is used again.
#[test]
fn unreachable_cancelled_tasks_count_towards_team_limits() {
    for seed in 1..=12 {
        let mut w = World::new(if seed % 4 == 0 { 5 } else { 3 }, seed);
        w.cloud.capacity = 40;
        w.run_time_range = (100 * SECOND, 200 * SECOND);
        w.run(2);
        for i in 1..=8 {
            let crew = ["red", "blue"][i as usize % 2];
            w.submit(job(
                i,
                10,
                json!({"crew": crew, "guess_s": 150.0, "rigs": ["small"]}),
            ));
        }
        // The limits allow 16 tasks of red and 40 tasks of blue, 56 in total.
        w.run_until(90, "both teams reach their limits", |w| w.starts >= 56);
        w.run(3);
        let on = |x: &harness::Worker| x.tasks.keys().any(|t| t[7..8].parse().unwrap_or(0) <= 4);
        let some: Vec<String> = w
            .workers
            .values()
            .filter(|x| on(x))
            .map(|x| x.name.clone())
            .collect();
        let some: Vec<String> = some.into_iter().step_by(2).collect();
        match seed % 4 {
            0 => w.faults.unanswered_workers.extend(some),
            1 => {
                let until =
                    w.now + [WORKER_LEASE - SECOND, 2 * WORKER_LEASE][seed as usize / 4 % 2];
                some.iter()
                    .for_each(|n| w.workers.get_mut(n).expect("a worker").hung_until = until);
            }
            2 => w.faults.isolated_workers.extend(some),
            _ => (0..3).for_each(|n| {
                w.faults.unreachable_zones.insert((n, "a".into()));
            }),
        }
        w.cloud.deletes_fail = seed % 2 == 0;
        (1..=4).for_each(|i| w.cancel(i));
        w.run(seed % 3);
        w.crash_leader(SECOND * (1 + seed % 5));
        w.run(20);
        w.crash_leader(SECOND / 2);
        w.run(25);
        w.cloud.deletes_fail = false;
        w.end_faults();
        // The capacity of the cancelled tasks of red is used by the team's other jobs.
        let red = |w: &World| {
            let tasks = w.workers.values().flat_map(|x| x.tasks.values());
            tasks
                .filter(|t| t.on_machine() && matches!(&t.name[..8], "j-000006" | "j-000008"))
                .count()
        };
        w.run_until(60, "the free capacity is used", |w| red(w) == 16);
        recover_and_cancel_all(w, seed);
    }
}

/// Hands one controller's work over to another, and cancels one job every tenth of a second of the handover: before,
/// during and after each of its transactions and reads.
fn cancel_throughout_handover(mut w: World, seed: u64, hand_over: impl Fn(&mut World)) {
    w.run_time_range = (300 * SECOND, 400 * SECOND);
    w.cloud.capacity = 30;
    w.run(5);
    for i in 1..=36 {
        w.submit(job(i, 1, json!({"guess_s": 350.0, "rigs": ["small"]})));
    }
    w.run_until(90, "all tasks run", |w| w.starts >= 36);
    w.run(3);
    hand_over(&mut w);
    for i in 1..=36 {
        w.cancel(i);
        w.run_micros(SECOND / 10);
        if i == 12 {
            w.submit(job(100, 8, json!({"guess_s": 3.0, "rigs": ["small"]})));
        }
    }
    w.run(CANCEL_DEADLINE / SECOND + 5);
    assert_eq!(w.violations, Vec::<String>::new(), "seed {seed}");
    recover_and_cancel_all(w, seed);
}

#[test]
fn cancellations_during_leader_change_meet_their_deadline() {
    for seed in 1..=4 {
        cancel_throughout_handover(World::new(3, seed), seed, |w| {
            let leader = w.leader().expect("a controller leads");
            match seed {
                1 => w.crash(leader, 30 * SECOND),
                2 => w.crash(leader, SECOND / 5),
                // The leader gives its store lease back because it receives no heartbeats.
                3 => w
                    .faults
                    .unreachable_zones
                    .extend([(leader, "a".into()), (leader, "b".into())]),
                _ => w.isolate(leader),
            }
        });
    }
}

#[test]
fn cancellations_during_shard_owner_change_meet_their_deadline() {
    for seed in 1..=6 {
        let w = World::with_shards(3, seed, 3, &|text| text);
        cancel_throughout_handover(w, seed, |w| {
            let owner = w.shard_owner(seed as u32 % 3).expect("an owner")[1..]
                .parse()
                .expect("a node");
            match seed {
                1 | 2 => w.crash(owner, 20 * SECOND),
                3 | 4 => w.crash(owner, SECOND / 5),
                5 => w.isolate(owner),
                // All shards are merged into one: tasks, jobs and machines are transferred to the owner of shard 0.
                _ => {
                    w.set_shard_count(1);
                    (0..3).for_each(|i| w.crash(i, SECOND / 5 + i as u64 * SECOND));
                }
            }
        });
    }
}

/// New machines boot within two seconds, appear in the cloud's list only 12 s later, and get tasks at once, while the
/// leader's transactions are carried out late or answered late. The leader crashes at the first launches, and again in
/// each of the following rounds.
#[test]
fn new_leader_knows_machines_that_booted_just_before() {
    for seed in 1..=10 {
        let mut w = World::new(3, seed);
        w.cloud.boot = (SECOND / 10, 2 * SECOND);
        w.cloud.list_lag = 12 * SECOND;
        w.cloud.capacity = 24;
        w.run_time_range = (40 * SECOND, 80 * SECOND);
        w.run(2);
        for round in 0..4 {
            let leader = w.leader();
            match seed % 2 {
                0 => w.faults.late_commit_rate = 0.4,
                _ => leader.into_iter().for_each(|l| {
                    w.faults.commit_answer_delays.insert(l, SECOND * 3 / 2);
                }),
            }
            let before = w.starts;
            let more = json!({"guess_s": 60.0, "rigs": ["small"]});
            w.submit(job(1 + round, 6, more));
            let until = w.now + 25 * SECOND;
            w.run_until(26, "tasks start, or 25 s have passed", |w| {
                w.starts > before || w.now >= until
            });
            w.run(seed % 2);
            w.crash_leader([SECOND / 5, 20 * SECOND][round as usize % 2]);
            // Hung machines send no heartbeats to the new leader for a while, so it knows of them only from the shard's
            // record.
            let until = w.now + WORKER_LEASE - SECOND;
            let busy = w.workers.values_mut().filter(|x| !x.tasks.is_empty());
            busy.step_by(2).for_each(|x| x.hung_until = until);
            w.faults.late_commit_rate = 0.0;
            w.faults.commit_answer_delays.clear();
            w.run(8);
        }
        recover_and_cancel_all(w, seed);
    }
}

/// Copies of old heartbeats reach every controller as a new term begins. They come from incarnations of workers that
/// have ended since, contain attempts that were replaced or had not ended, or come from machines that were returned.
#[test]
fn old_heartbeats_at_the_start_of_a_term_are_ignored() {
    for seed in 1..=8 {
        let mut w = World::new(if seed % 4 == 0 { 5 } else { 3 }, seed);
        w.run_time_range = (5 * SECOND, 60 * SECOND);
        w.run(2);
        w.faults.kept_copy_rate = 0.5;
        for round in 0..6 {
            w.submit(job(
                10 * round + 1,
                6,
                json!({"guess_s": 30.0, "rigs": ["small"]}),
            ));
            w.submit(job(
                10 * round + 2,
                3,
                json!({"shape": "group", "crew": "red"}),
            ));
            w.run(8);
            // One worker's lease expires, another machine dies in every second round, and a job is cancelled.
            let busy = w.workers.values().filter(|x| !x.tasks.is_empty());
            let busy: Vec<String> = busy.map(|x| x.name.clone()).collect();
            let until = w.now + WORKER_LEASE + 2 * SECOND;
            if let Some(x) = busy.first().and_then(|n| w.workers.get_mut(n)) {
                x.hung_until = until;
            }
            if let Some(x) = busy
                .last()
                .filter(|_| round % 2 == 1)
                .and_then(|n| w.workers.get_mut(n))
            {
                x.dead = true;
                x.tasks.clear();
            }
            w.run(8);
            w.cancel(10 * round + 1 + round % 2);
            w.crash_leader([SECOND / 5, 9 * SECOND][round as usize % 2]);
            w.run(8);
        }
        assert!(
            w.counters.kept_copies_sent > 100,
            "only {} copies",
            w.counters.kept_copies_sent
        );
        recover_and_finish(w, seed);
    }
}

/// Ten leader crashes in two minutes, with a further crash during an outage in each of the last four rounds, while jobs
/// are submitted, cancelled and queried.
#[test]
fn ten_leaders_in_two_minutes_break_no_rule() {
    for seed in 1..=6 {
        let mut w = world_with_long_jobs(if seed % 3 == 0 { 5 } else { 3 }, seed);
        w.run_time_range = (5 * SECOND, 90 * SECOND);
        w.repeats_requests = true;
        for round in 0..10 {
            w.submit(job(20 + round, 2, json!({"guess_s": 20.0})));
            w.crash_leader(SECOND * [1, 3, 7][round as usize % 3] / 2);
            w.run(2);
            w.cancel(1 + round);
            if round >= 6 {
                w.state.down = true;
                w.run(4);
                w.crash_leader(SECOND / 2);
                w.run(2);
                w.state.down = false;
            }
            w.run(10 - if round >= 6 { 6 } else { 0 });
            w.cancel(20 + round);
        }
        recover_and_cancel_all(w, seed);
    }
}

/// Half of the workers reach no controller, whichever controller leads, and jobs on them are cancelled.
#[test]
fn isolated_workers_stop_tasks_when_their_leases_expire() {
    for seed in 1..=8 {
        let mut w = world_with_long_jobs(3, seed);
        let names: Vec<String> = w.workers.keys().cloned().collect();
        w.faults
            .isolated_workers
            .extend(names.into_iter().skip(seed as usize % 3).step_by(2));
        w.cloud.deletes_fail = seed % 2 == 0;
        (1..=3).for_each(|i| w.cancel(i));
        w.submit(job(30, 8, json!({"guess_s": 30.0, "rigs": ["small"]})));
        w.run(seed % 4);
        w.crash_leader(SECOND * seed);
        w.run([6, 2 * WORKER_LEASE / SECOND][seed as usize % 2]);
        w.faults.isolated_workers.clear();
        w.run(3);
        w.crash_leader(SECOND / 2);
        w.cloud.deletes_fail = false;
        w.run(WORKER_LEASE / SECOND + 5);
        recover_and_cancel_all(w, seed);
    }
}

/// One job is cancelled every twentieth of a second around the time at which the state service begins to refuse the
/// leader, at the leader and at other controllers. A second later the state service is down for all controllers, for
/// longer than the cancellation deadline.
#[test]
fn cancellations_around_the_leaders_refusal_meet_their_deadline() {
    for seed in 1..=6 {
        let mut w = begin(World::new(if seed % 3 == 0 { 5 } else { 3 }, seed));
        for i in 9..=28 {
            w.submit(job(i, 1, json!({"guess_s": 350.0, "rigs": ["small"]})));
        }
        w.run_until(60, "all tasks run", |w| w.starts >= 36);
        w.run(3);
        let (old, others) = leader_and_others(&w, seed);
        for i in 1..=28 {
            if i == 8 {
                w.faults.store_refuses.insert(old);
            }
            let at = [old, others[0], others[1]][i as usize % 3];
            w.cancel_at(i, at);
            w.run_micros(SECOND / 20);
        }
        w.state.down = true;
        w.run(CANCEL_DEADLINE / SECOND + 25);
        assert_eq!(w.violations, Vec::<String>::new(), "seed {seed}");
        recover_and_cancel_all(w, seed);
    }
}

/// The state service refuses the leader, and up to 1.5 s later it is down for all controllers, for two leases (20 s).
/// The leader's store lease has not expired when the outage begins, and the peers notice the outage in time to vote, so
/// no task is lost.
#[test]
fn refusal_that_becomes_an_outage_loses_no_task() {
    for seed in 1..=8 {
        let mut w = world_with_long_jobs(if seed % 4 == 0 { 5 } else { 3 }, seed);
        let (old, others) = leader_and_others(&w, seed);
        w.faults.store_refuses.insert(old);
        (1..=2).for_each(|i| w.cancel_at(i, others[0]));
        w.run_micros(seed * SECOND / 5 - SECOND / 10);
        w.state.down = true;
        w.run(2 * WORKER_LEASE / SECOND);
        assert_eq!(
            w.leader(),
            Some(old),
            "seed {seed}: votes extend its leadership"
        );
        assert!(
            w.workers.values().all(|x| x.incarnation == 1),
            "a lease ran out"
        );
        recover_and_cancel_all(w, seed);
    }
}

/// The transactions of takeovers are carried out but not answered, and the state service is down just when the
/// controllers want to give their store leases back, until no controller knows the outcome of its own takeover. Even
/// so, a controller leads within 20 s after the last fault.
#[test]
fn leader_is_found_after_takeovers_with_unknown_outcome() {
    for seed in 1..=4 {
        let mut w = world_with_long_jobs(3, seed);
        w.crash_leader(2 * SECOND);
        for _ in 0..9 {
            w.faults.lost_commit_answer_rate = 1.0;
            let term = w.state.value(LEADER_TERM_KEY).cloned();
            let until = w.now + 15 * SECOND;
            let taken =
                |w: &World| w.state.value(LEADER_TERM_KEY).cloned() != term || w.now > until;
            w.run_until(16, "a takeover is carried out", taken);
            // The takeover's answer times out after two seconds, and the store lease is given back at once.
            w.run_micros(SECOND * 3 / 2);
            w.state.down = true;
            w.run(2);
            w.state.down = false;
        }
        w.end_faults();
        w.run_until(20, "a controller leads", |w| w.leader().is_some());
        recover_and_cancel_all(w, seed);
    }
}

/// A zone with workers and a controller, the leader or another one, is partitioned from everything else for longer than
/// a lease. Jobs that run in the zone are cancelled at a controller outside, and other jobs continue.
#[test]
fn partitioned_zone_with_a_controller_runs_no_task_twice() {
    for seed in 1..=8 {
        let mut w = world_with_long_jobs(if seed % 4 == 0 { 5 } else { 3 }, seed);
        let (old, others) = leader_and_others(&w, seed);
        let inside = if seed % 2 == 0 { old } else { others[0] };
        w.isolate(inside);
        w.faults.unreachable_zones.insert((inside, "b".into()));
        for n in (0..w.nodes.len()).filter(|n| *n != inside) {
            w.faults.unreachable_zones.insert((n, "a".into()));
        }
        w.run(2);
        let outside = (0..w.nodes.len())
            .find(|n| *n != inside)
            .expect("there are others");
        (1..=3).for_each(|i| w.cancel_at(i, outside));
        w.submit(job(20, 4, json!({"guess_s": 30.0, "rigs": ["small"]})));
        w.submit(job(
            21,
            4,
            json!({"guess_s": 30.0, "rigs": ["small"], "yard": "a"}),
        ));
        w.run(WORKER_LEASE / SECOND * [1, 4][seed as usize / 2 % 2] + 6);
        w.faults.unreachable_zones.clear();
        w.faults.store_refuses.clear();
        w.faults.partitioned.clear();
        w.run(4);
        (4..=5).for_each(|i| w.cancel(i));
        recover_and_cancel_all(w, seed);
    }
}

/// All controllers are down for less than a lease, for slightly longer than a lease, or for two or four leases. They
/// return together or one by one, and crash again.
#[test]
fn crash_of_all_controllers_beyond_a_lease_loses_no_job() {
    for seed in 1..=8 {
        let mut w = world_with_long_jobs(3, seed);
        let away = [
            WORKER_LEASE - 2 * SECOND,
            WORKER_LEASE + SECOND / 2,
            2 * WORKER_LEASE,
            4 * WORKER_LEASE,
        ][seed as usize % 4];
        (1..=2).for_each(|i| w.cancel(i));
        w.run(seed % 2);
        (0..3).for_each(|i| w.crash(i, away + i as u64 * SECOND * (seed % 3)));
        w.run(away / SECOND + 3);
        w.cancel(3);
        w.run(5);
        (0..3).for_each(|i| w.crash(i, SECOND / 5 + i as u64 * SECOND / 3));
        w.run(20);
        recover_and_cancel_all(w, seed);
    }
}

/// Arrays, gangs and services with zone constraints lose machines in one zone after the other, while the leader
/// changes.
#[test]
fn zone_constraints_hold_after_machine_losses() {
    for seed in 1..=6 {
        let mut w = World::new(3, seed);
        w.run_time_range = (10 * SECOND, 40 * SECOND);
        w.cloud.capacity = 24;
        w.run(2);
        let shapes = ["array", "group", "array", "service"];
        for i in 1..=8 {
            let yard = ["a", "b"][i as usize % 2];
            let bound = match i % 3 {
                0 => json!({"yard": yard}),
                1 => json!({"together": true}),
                _ => json!({"scatter": true}),
            };
            let mut body = job(
                i,
                4,
                json!({"shape": shapes[i as usize % 4], "guess_s": 20.0}),
            );
            body.as_object_mut()
                .expect("an object")
                .extend(bound.as_object().cloned().expect("fields"));
            if body["scatter"] == json!(true) && body["shape"] == "array" {
                body["crew"] = json!("red");
            }
            w.submit(body);
        }
        for round in 0..6 {
            w.run(7);
            let zone = ["a", "b"][round % 2];
            let hit = w
                .workers
                .values_mut()
                .filter(|x| x.zone == zone && !x.tasks.is_empty());
            hit.step_by(2).for_each(|x| match round % 3 {
                0 => {
                    x.dead = true;
                    x.tasks.clear();
                }
                1 => x.preemption_notice = true,
                _ => x.hung_until = u64::MAX / 2,
            });
            if round % 2 == 1 {
                w.crash_leader(SECOND);
            }
            w.cancel(1 + round as u32);
        }
        w.workers
            .values_mut()
            .filter(|x| x.hung_until > w.now)
            .for_each(|x| {
                x.dead = true;
                x.tasks.clear();
            });
        w.workers
            .values_mut()
            .for_each(|x| x.preemption_notice = false);
        recover_and_cancel_all(w, seed);
    }
}

/// More tasks of all priorities than the cluster has capacity for, with controllers and a state service that answer
/// slowly. Some of the jobs are cancelled.
#[test]
fn overload_with_slow_answers_breaks_no_rule() {
    for seed in 1..=6 {
        let mut w = World::new(3, seed);
        w.cloud.capacity = 6;
        w.run_time_range = (3 * SECOND, 20 * SECOND);
        w.run(2);
        w.faults.max_worker_answer_delay = 3 * SECOND;
        w.faults.max_store_delay = SECOND;
        for i in 1..=24 {
            let rank = ["urgent", "normal", "low"][i as usize % 3];
            let crew = ["red", "blue"][i as usize % 2];
            let save = if i % 4 == 0 { 2.0 } else { 0.0 };
            let more = json!({"rank": rank, "crew": crew, "guess_s": 10.0, "stamp_every_s": save,
                "stamp_s": save});
            w.submit(job(i, 1 + i % 5, more));
            w.run(2);
            w.faults
                .processor_delays
                .insert(i as usize % 3, u64::from(i % 5) * SECOND / 8);
            if i % 3 == 0 {
                w.cancel(i - 1);
            }
            if i % 8 == 0 {
                w.crash_leader(SECOND / 2);
            }
        }
        w.faults.processor_delays.clear();
        w.cloud.capacity = 12;
        recover_and_finish(w, seed);
    }
}

/// The leader itself confirms cancellations of jobs that wait for capacity, while its watch hangs or the state service
/// is slow and capacity becomes free all the time. The leader must not launch tasks of jobs whose cancellation it has
/// confirmed.
#[test]
fn leader_launches_nothing_it_has_confirmed_as_cancelled() {
    for seed in 1..=4 {
        let mut w = World::new(3, seed);
        w.run_time_range = (SECOND / 5, SECOND);
        w.cloud.capacity = 4;
        w.run(2);
        for i in 1..=40 {
            w.submit(job(i, 6, json!({"guess_s": 1.0, "rigs": ["small"]})));
        }
        w.run_until(60, "30 tasks have started", |w| w.starts >= 30);
        let leader = w.leader().expect("a controller leads");
        match seed {
            1 | 2 => {
                w.faults.hung_watches.insert(leader);
            }
            _ => w.faults.max_store_delay = SECOND / 2,
        }
        for i in 5..=40 {
            // The jobs are cancelled in the order in which they would be scheduled.
            w.cancel_at(i, leader);
            w.run_micros(SECOND / 20);
        }
        w.run(3);
        let told = w
            .jobs
            .values()
            .filter(|j| j.cancellation_confirmed_at.is_some())
            .count();
        assert!(told >= 20, "only {told} cancellations confirmed");
        recover_and_finish(w, seed);
    }
}

/// Jobs are cancelled at the leader as soon as they are accepted, while its watch is slow. The watch delivers the
/// acceptance after the user was told of the cancellation, and without the cancellation.
#[test]
fn job_cancelled_before_the_leader_read_it_is_not_launched() {
    for seed in 1..=6 {
        let mut w = World::new(3, seed);
        w.cloud.capacity = 20;
        w.run_time_range = (20 * SECOND, 30 * SECOND);
        w.run(2);
        w.submit(job(1, 20, json!({"guess_s": 25.0, "rigs": ["small"]})));
        w.run_until(60, "all tasks of the first job run", |w| w.starts >= 20);
        let leader = w.leader().expect("a controller leads");
        w.faults.max_watch_delay = SECOND / 2;
        for i in 2..=30 {
            w.submit(job(i, 3, json!({"rigs": ["small"]})));
            w.run_until(5, "accepted", |w| w.jobs[&id(i)].accepted.is_some());
            w.cancel_at(i, leader);
            w.run_micros(SECOND * 4 / 10);
        }
        recover_and_finish(w, seed);
    }
}

/// Cancels jobs of which some have running tasks and the others wait for their images, while a third of the workers
/// reach no controller. Returns the number of tasks that started after their cancellation was confirmed, the total
/// seconds that cancelled tasks continued to run, and the number of direct commands that were sent.
fn cancel_with_isolated_workers(policy: &str, seed: u64) -> (usize, usize, usize) {
    let mut w = World::new(3, seed);
    w.set_policy(policy);
    (0..3).for_each(|i| w.restart(i));
    w.cloud.capacity = 20;
    w.run_time_range = (100 * SECOND, 200 * SECOND);
    w.run(2);
    for i in 1..=6 {
        w.submit(job(i, 4, json!({"guess_s": 150.0, "rigs": ["small"]})));
    }
    w.run_until(60, "24 tasks have started", |w| w.starts >= 24);
    let names: Vec<String> = w.workers.keys().cloned().collect();
    w.faults
        .isolated_workers
        .extend(names.into_iter().step_by(3));
    w.run(1);
    (7..=10).for_each(|i| {
        w.submit(job(i, 4, json!({"guess_s": 150.0, "rigs": ["small"]})));
    });
    let fetches = |w: &World| {
        let tasks = w.workers.values().flat_map(|x| x.tasks.values());
        tasks.filter(|t| !t.on_machine()).count()
    };
    w.run_until(30, "six tasks fetch their images", |w| fetches(w) >= 6);
    (1..=10).for_each(|i| w.cancel(i));
    w.run(WORKER_LEASE / SECOND + 5);
    let figures = (
        w.counters.late_starts,
        w.counters.cancelled_task_seconds,
        w.counters.direct_commands,
    );
    recover_and_cancel_all(w, seed);
    figures
}

/// With direct commands, workers are told of cancellations at once, even those that reach no controller. Less than half
/// as many tasks start after a confirmed cancellation, and tasks continue for less than a third of the time, with no
/// more messages than machines in each run. With `halts_per_s = 0`, workers learn of cancellations only from heartbeat
/// responses.
#[test]
fn direct_commands_stop_cancelled_tasks_sooner() {
    let mut all = [(0, 0, 0); 2];
    for seed in 1..=4 {
        for (sum, policy) in all.iter_mut().zip(["halts_per_s = 0", "halts_per_s = 200"]) {
            let (starts, ran_on, direct) = cancel_with_isolated_workers(policy, seed);
            *sum = (sum.0 + starts, sum.1 + ran_on, sum.2 + direct);
        }
    }
    let [without, with] = all;
    println!("starts after a confirmation, seconds run on, direct commands: {without:?}, {with:?}");
    assert_eq!(without.2, 0);
    assert!(with.2 > 0 && with.2 <= 4 * 20, "{with:?}");
    assert!(
        2 * with.0 < without.0 && 3 * with.1 < without.1,
        "{without:?} {with:?}"
    );
}

/// Jobs are cancelled as their machines hang, for less than a lease or for longer, with an answer in flight that renews
/// the lease. Tasks that resume must be stopped, and none of them may be left after `cancel_s`.
#[test]
fn hung_machines_do_not_keep_cancelled_tasks_running() {
    for seed in 1..=12 {
        let mut w = world_with_long_jobs(3, seed);
        w.faults.max_worker_answer_delay = 3 * SECOND;
        w.run(2 + seed % 3);
        let hang = [
            SECOND,
            3 * SECOND,
            WORKER_LEASE - SECOND,
            WORKER_LEASE + 2 * SECOND,
        ][seed as usize % 4];
        let until = w.now + hang;
        let busy = w.workers.values_mut().filter(|x| !x.tasks.is_empty());
        busy.for_each(|x| x.hung_until = until);
        (1..=4).for_each(|i| w.cancel(i));
        w.run(1);
        if seed % 3 == 0 {
            w.crash_leader(SECOND / 2);
        }
        // Every second machine hangs again, at the time at which the first hang ends.
        w.run(hang / SECOND);
        let until = w.now + WORKER_LEASE - SECOND;
        w.workers
            .values_mut()
            .step_by(2)
            .for_each(|x| x.hung_until = until);
        w.run(CANCEL_DEADLINE / SECOND);
        recover_and_cancel_all(w, seed);
    }
}

/// Users submit four one-task jobs per second for two minutes and cancel a quarter of them, at the request rates of a
/// small state service (70 requests and 25 writes per second). Queries, cancellations and lease renewals must be
/// served, larger jobs must complete, and the number of state service requests per job is limited to 25.
#[test]
fn many_small_jobs_do_not_starve_other_requests() {
    for seed in 1..=2 {
        let small = |text: String| {
            let text = text.replace("write_rps = 100.0", "write_rps = 25.0");
            text.replace("rps = 200.0", "rps = 70.0")
                .replace("cpus_max = 40.0", "cpus_max = 80.0")
        };
        let mut w = World::with_settings(3, seed, WORKER_LEASE as f64 / SECOND as f64, &small);
        w.state.change_rate = Some(25.0);
        w.cloud.capacity = 30;
        w.run_time_range = (SECOND, 6 * SECOND);
        w.run(2);
        w.run_until(10, "a controller leads", |w| w.leader().is_some());
        w.run(5);
        w.answers_expected_since = w.now;
        let term = w.state.value(LEADER_TERM_KEY).cloned();
        let (mut next, requests) = (0, w.state.requests);
        let mut large = Vec::new();
        for second in 0..120 {
            for _ in 0..4 {
                next += 1;
                w.submit(job(
                    next,
                    1,
                    json!({"guess_s": 3.0, "vcpus": 0.5, "rank": "normal"}),
                ));
            }
            if second > 2 {
                w.cancel(next - 6);
            }
            if second == 30 || second == 60 {
                let i = 9000 + second;
                let shape = ["array", "group"][second as usize / 60];
                let more = json!({"shape": shape, "guess_s": 20.0,
                    "crew": "red", "rigs": ["small"]});
                w.submit(job(i, 12, more));
                large.push((i, w.now));
            }
            w.run(1);
        }
        assert_eq!(
            w.state.value(LEADER_TERM_KEY).cloned(),
            term,
            "the leader changed: its lease renewals were not served"
        );
        for (i, _) in &large {
            let at = w.jobs[&id(*i)].done_confirmed_at;
            assert!(at.is_some(), "large job {i} is not done");
        }
        assert!(
            w.unanswered < 20 * SECOND,
            "a job got no answer for {} s",
            w.unanswered / SECOND
        );
        let requests = (w.state.requests - requests) as f64 / f64::from(next);
        assert!(requests < 25.0, "{requests:.1} requests a job");
        w.run_until(200, "all jobs have ended", World::all_jobs_ended);
        let told = w
            .jobs
            .values()
            .filter(|j| j.cancellation_confirmed_at.is_some())
            .count();
        assert!(told > 60, "only {told} cancelled");
        assert_eq!(w.violations, Vec::<String>::new(), "seed {seed}");
        w.finish();
    }
}

/// A submission that lacks a field or can never run is refused with the field's name at every node, during every fault
/// in which a controller can decide, and is never accepted. Submissions that can run are accepted meanwhile, and every
/// node knows them from then on.
#[test]
fn only_invalid_submissions_are_refused_naming_the_field() {
    let mut w = World::new(3, 1);
    w.run(4);
    let good = job(1, 2, json!({"shape": "group"}));
    w.submit(good.clone());
    w.run_until(5, "accepted", |w| w.jobs[&id(1)].accepted.is_some());
    let fields: Vec<String> = good
        .as_object()
        .expect("an object")
        .keys()
        .cloned()
        .collect();
    let nullable = ["rigs", "yard", "due_s", "waits_on"];
    let mut invalid: Vec<(serde_json::Value, String)> = Vec::new();
    let mut next = 100;
    let mut fresh = |more: serde_json::Value| {
        next += 1;
        job(next, 2, more)
    };
    for field in &fields {
        if !nullable.contains(&field.as_str()) {
            let mut incomplete = fresh(json!({}));
            incomplete.as_object_mut().expect("an object").remove(field);
            invalid.push((incomplete, field.clone()));
            invalid.push((fresh(json!({field.clone(): null})), field.clone()));
        }
        invalid.push((fresh(json!({field.clone(): {"x": 1}})), field.clone()));
    }
    let invalid_values = [
        ("id", json!("j-")),
        ("id", json!("j-00x001")),
        ("id", json!("J-000001")),
        ("pieces", json!(0)),
        ("pieces", json!(-1)),
        ("pieces", json!(100_001)),
        ("pieces", json!(2.5)),
        ("pieces", json!("2")),
        ("vcpus", json!(-0.5)),
        ("vcpus", json!(1e9)),
        ("mem_gb", json!("1")),
        ("cards", json!(true)),
        ("shape", json!("gang")),
        ("rank", json!("high")),
        ("rigs", json!([])),
        ("rigs", json!(["small", 3])),
        ("rigs", json!("small")),
        ("yard", json!("")),
        ("together", json!("yes")),
        ("scatter", json!(0)),
        ("loaners", json!(1)),
        ("guess_s", json!(-1.0)),
        ("stamp_every_s", json!(-1.0)),
        ("stamp_s", json!([])),
        ("size_gb", json!(-0.1)),
        ("build", json!("")),
        ("due_s", json!(-5.0)),
        ("due_s", json!("soon")),
        ("crew", json!("nobody")),
        ("rigs", json!(["large"])),
        ("yard", json!("c")),
        ("vcpus", json!(9.0)),
        ("cards", json!(5.0)),
        ("mem_gb", json!(65.0)),
    ];
    invalid.extend(
        invalid_values
            .into_iter()
            .map(|(f, v)| (fresh(json!({f: v})), f.to_string())),
    );
    let contradictory = [
        // Each of these values is allowed on its own, but they exclude each other.
        ("mem_gb", json!({"rigs": ["small"], "mem_gb": 17.0})),
        ("cards", json!({"rigs": ["small"], "cards": 1.0})),
        ("pieces", json!({"pieces": 41, "shape": "group"})),
        ("pieces", json!({"pieces": 41, "shape": "service"})),
        (
            "pieces",
            json!({"pieces": 17, "shape": "group", "crew": "red"}),
        ),
        (
            "pieces",
            json!({"pieces": 9, "shape": "group", "crew": "red", "cards": 1.0}),
        ),
        (
            "scatter",
            json!({"shape": "group", "scatter": true, "yard": "a"}),
        ),
        (
            "scatter",
            json!({"shape": "service", "scatter": true, "yard": "a"}),
        ),
        (
            "scatter",
            json!({"shape": "group", "scatter": true, "together": true}),
        ),
        (
            "scatter",
            json!({"shape": "service", "scatter": true, "together": true}),
        ),
    ];
    invalid.extend(
        contradictory
            .into_iter()
            .map(|(f, more)| (fresh(more), f.to_string())),
    );
    let valid = [
        json!({"pieces": 41}),
        json!({"scatter": true, "yard": "a"}),
        json!({"scatter": true, "together": true}),
        json!({"shape": "group", "scatter": true, "yard": "a", "pieces": 1}),
        json!({"shape": "group", "scatter": true}),
        json!({"shape": "group", "together": true, "yard": "b"}),
        json!({"due_s": 1000.0, "rigs": ["small", "large"]}),
        json!({"vcpus": 4.0, "mem_gb": 16.0}),
        json!({"vcpus": 8.0, "cards": 4.0, "mem_gb": 64.0, "crew": "blue"}),
        json!({"cards": 0.5}),
    ];
    let count = invalid.len();
    let submit_all = |w: &mut World, submissions: &[(serde_json::Value, String)]| {
        for (body, field) in submissions {
            for node in 0..3 {
                w.submit_invalid(body.clone(), field, node);
            }
        }
    };
    submit_all(&mut w, &invalid);
    w.run(3);
    assert_eq!(w.violations, Vec::<String>::new());
    assert_eq!(
        w.invalid_submissions
            .values()
            .map(|o| o.refused)
            .sum::<usize>(),
        3 * count
    );
    for (i, more) in (10..).zip(valid) {
        w.submit(job(i, 2, more));
    }
    // The invalid submissions are repeated alongside valid ones, with one node refused by the state service, lost
    // answers to transactions, a crashed leader and a slow state service.
    w.faults.lost_commit_answer_rate = 0.2;
    w.faults.store_refuses.insert(1);
    w.crash_leader(SECOND);
    // Some submissions reach a controller that has just started and does not know the machine types yet.
    w.run_micros(SECOND + SECOND / 20);
    submit_all(&mut w, &invalid);
    w.run(5);
    w.faults.max_store_delay = SECOND / 2;
    submit_all(&mut w, &invalid);
    w.run(6);
    w.state.down = true;
    w.run(2);
    submit_all(&mut w, &invalid);
    w.run(4);
    // A submission without an id is refused even during the outage, since it cannot be a repeated submission.
    let without_id: Vec<_> = w
        .invalid_submissions
        .values()
        .filter(|o| o.field == "id")
        .collect();
    assert!(without_id.iter().all(|o| o.refused == 1), "{without_id:?}");
    w.end_faults();
    w.run(3);
    w.run_until(200, "all jobs have ended", World::all_jobs_ended);
    // All machines have been returned. Accepted jobs are still known, even if the repeated submission has another body.
    w.run_until(120, "the machines are returned", |w| w.workers.is_empty());
    let known: Vec<String> = w.jobs.keys().cloned().collect();
    for id in &known {
        let before = w.now;
        let job = w.jobs.get_mut(id).expect("the job exists");
        let body = job.body.clone();
        job.body = json!({"id": id, "crew": "nobody"});
        (0..3).for_each(|n| w.send_request_to(id, "submit", n));
        w.run(1);
        let job = w.jobs.get_mut(id).expect("the job exists");
        assert!(job.answered > before, "{id} got no answer");
        job.body = body;
    }
    assert_eq!(w.violations, Vec::<String>::new());
    w.finish();
}
