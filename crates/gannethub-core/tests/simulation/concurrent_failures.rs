//! Tests of two concurrent failures: one test for every row of `docs/design-concurrent-failures.md` except the first
//! row, whose tests are in the module `unseen_cancellation`. Tasks are long, users cancel jobs throughout, and the
//! checker examines the whole cluster every second.

use gannethub_core::configuration::{Document, OverLimit};

use crate::harness::config_changes::{team, teams};
use crate::unseen_cancellation::{
    cancellations_confirmed, id, leader_and_others, recover_and_cancel_all, world_with_long_jobs,
};
use crate::*;

/// Guards against old heartbeats that are taken for new ones. Copies of heartbeats arrive up to three leases late:
/// from ended incarnations, with replaced attempts, under fencing tokens of replaced leaders, and at leaders that
/// never received the original.
#[test]
fn late_copies_of_old_heartbeats_have_no_effect() {
    for seed in 1..=6 {
        let mut w = world_with_long_jobs(3, seed);
        w.faults.heartbeat_copy_rate = 0.8;
        for round in 0..4 {
            w.submit(job(
                20 + round,
                3,
                json!({"shape": "group", "guess_s": 30.0, "crew": "red"}),
            ));
            // An incarnation ends, its attempts are replaced on other machines, and the machine comes back.
            let busy = w
                .workers
                .values()
                .find(|x| !x.tasks.is_empty())
                .map(|x| x.name.clone());
            let until = w.now + WORKER_LEASE + 2 * SECOND;
            busy.map(|name| w.workers.get_mut(&name).map(|x| x.hung_until = until));
            w.run(14);
            w.cancel(round + 1);
            if let Some(leader) = w.leader() {
                w.crash(leader, [SECOND / 2, 8 * SECOND][round as usize % 2]);
            }
            w.run(12);
        }
        assert!(
            w.counters.heartbeat_copies_sent > 100,
            "only {} copies of heartbeats arrived",
            w.counters.heartbeat_copies_sent
        );
        recover_and_cancel_all(w, seed);
    }
}

/// Guards against an isolated leader that keeps cancelled tasks running. The leader is cut off from the state service
/// and from its peers while workers and users still reach it, and jobs are cancelled through the new leader.
#[test]
fn an_isolated_leader_runs_no_job_cancelled_at_its_successor() {
    for (nodes, seed) in [(3, 1), (3, 2), (3, 3), (5, 4), (5, 5)] {
        let mut w = world_with_long_jobs(nodes, seed);
        let (old, others) = leader_and_others(&w, seed);
        w.isolate(old);
        w.run_until(15, "another controller leads", |w| {
            w.leader().is_some_and(|l| l != old)
        });
        // Users ask the old leader too, which may not know of the cancellation; its answers must not be older than
        // the answers that the users already have.
        for i in 1..=4 {
            w.cancel_at(i, others[i as usize % others.len()]);
            w.run(2);
            w.send_request_to(&id(i), "poll", old);
            w.send_request_to(&id(i), "submit", old);
        }
        w.run_until(10, "the users are told of the cancellations", |w| {
            cancellations_confirmed(w, &[1, 2, 3, 4])
        });
        w.run(40);
        recover_and_cancel_all(w, seed);
    }
}

/// Guards against obligations, such as votes, that a controller forgets in a fast restart. Controllers crash one
/// after the other, hand leadership over and back, all crash at once, and one returns: within a fraction of a second,
/// in the middle of elections, takeovers and votes.
#[test]
fn controllers_that_restart_fast_keep_their_obligations() {
    for seed in 1..=10 {
        let mut w = world_with_long_jobs(if seed % 3 == 0 { 5 } else { 3 }, seed);
        let mut next = 1;
        for round in 0..10 {
            let n = w.nodes.len();
            match round % 5 {
                // The controller that leads crashes, repeatedly.
                0 | 1 => {
                    if let Some(leader) = w.leader() {
                        w.crash(leader, SECOND / 5);
                    }
                }
                // All controllers crash; the first returns after 0.1 s, each further one a second later.
                2 => (0..n).for_each(|i| w.crash(i, SECOND / 10 + i as u64 * SECOND)),
                // All crash in an outage that has just begun, and forget the votes that they gave.
                3 => {
                    w.state.down = true;
                    w.run(1 + seed % 4);
                    (0..n).for_each(|i| w.crash(i, SECOND / 4));
                    w.run(1);
                    w.state.down = false;
                }
                _ => {
                    let any = w.rng.random_range(0..n);
                    w.crash(any, SECOND / 3);
                }
            }
            if next <= 6 {
                w.cancel(next);
                next += 1;
            }
            w.run(1 + round % 4 + seed % 3);
        }
        recover_and_cancel_all(w, seed);
    }
}

/// Guards against two leaders after a forgotten vote. A peer crashes while its vote is valid and returns after 0.2 s;
/// the state service serves the peer again while it still refuses the leader, which acts by that vote.
#[test]
fn a_vote_holds_although_the_voter_restarted() {
    for seed in 1..=8 {
        let mut w = world_with_long_jobs(if seed % 4 == 0 { 5 } else { 3 }, seed);
        let (old, others) = leader_and_others(&w, seed);
        w.state.down = true;
        w.run(5);
        assert_eq!(
            w.leader(),
            Some(old),
            "the leader keeps its authority by votes"
        );
        w.faults.store_refuses.insert(old);
        w.state.down = false;
        w.run(seed % 3);
        others.iter().for_each(|i| w.crash(*i, SECOND / 5));
        (1..=2).for_each(|i| w.cancel(i));
        w.run(20);
        assert_eq!(w.violations, Vec::<String>::new(), "seed {seed}");
        recover_and_cancel_all(w, seed);
    }
}

/// Guards against commands that take effect too late. Answers to workers are delayed by up to 4 s, the longest delay
/// at which a worker still accepts an answer, with launches and stops in them; machines hang for a while and resume;
/// leaders change meanwhile.
#[test]
fn delayed_commands_start_and_stop_no_task_late() {
    for seed in 1..=6 {
        let mut w = world_with_long_jobs(3, seed);
        w.faults.max_worker_answer_delay = 4 * SECOND;
        for round in 0..5 {
            w.submit(job(
                20 + round,
                4,
                json!({"guess_s": 60.0, "rigs": ["small"]}),
            ));
            w.run(3);
            let until = w.now + w.rng.random_range(SECOND..WORKER_LEASE);
            let busy = w.workers.values_mut().filter(|x| !x.tasks.is_empty());
            busy.step_by(2).for_each(|x| x.hung_until = until);
            w.cancel(20 + round);
            w.cancel(1 + round);
            // Messages that a peer relays to the leader are held as well, and arrive after newer heartbeats.
            let (leader, peer) = (w.leader(), w.rng.random_range(0..3));
            leader.into_iter().for_each(|l| {
                w.faults.partitioned.insert((peer, l));
            });
            w.run(4);
            w.faults.partitioned.clear();
            if round % 2 == 0 {
                w.crash_leader(SECOND);
            }
            w.run(8);
        }
        recover_and_cancel_all(w, seed);
    }
}

/// Guards against lost, repeated or premature completions. Jobs of two and three tasks end far apart in time, across
/// changes of leader, outages and returned machines: no task whose completion is stored starts again, no completion
/// is counted twice, and no job is done early.
#[test]
fn stored_completions_survive_many_takeovers() {
    for seed in 1..=8 {
        let mut w = World::new(3, seed);
        w.run_time_range = (SECOND, 70 * SECOND);
        w.run(2);
        for i in 1..=10 {
            w.submit(job(
                i,
                2 + i % 2,
                json!({"guess_s": 40.0, "rigs": ["small"]}),
            ));
        }
        for round in 0..6 {
            w.run(9);
            match (round + seed) % 3 {
                0 => w.state.down = !w.state.down,
                1 => w.faults.late_commit_rate = 0.3,
                _ => w.faults.late_commit_rate = 0.0,
            }
            w.crash_leader(SECOND * (1 + seed % 5));
        }
        w.end_faults();
        w.run_until(300, "all jobs are done", World::all_jobs_ended);
        assert!(w.jobs.values().all(|j| j.done_confirmed_at.is_some()));
        w.finish();
    }
}

/// Guards against an old transaction that undoes a newer one of the same controller. Transactions without an answer
/// are carried out up to 20 s later: acceptances, cancellations, completions, parts of large arrays, shard records,
/// watermarks, takeovers and clean-up.
#[test]
fn late_transactions_undo_no_newer_ones() {
    for seed in 1..=6 {
        let mut w = World::new(3, seed);
        w.cloud.capacity = 12;
        w.faults.late_commit_rate = 0.25;
        // The first 4096 of the 9000 tasks are done already, so further completions go to the second part of the
        // array.
        let large = job(
            1,
            9000,
            json!({"vcpus": 0.25, "mem_gb": 0.1, "rigs": ["small"]}),
        );
        let value = json!({"at": 1_700_000_000_000_000_u64, "done": "0-4095", "open": 4096, "spec": {
            "class": "c", "team": "blue", "shape": "Array", "priority": "Normal", "tasks": 9000,
            "need": {"cpu": 250, "gpu": 0, "mem": 100}, "types": ["small"], "zone": null,
            "one_zone": false, "spread": false, "spot": true, "image": "img", "image_gb": 1.0,
            "estimate": 5_000_000, "checkpoint_every": 0, "save": 0, "deadline": null}});
        w.state.put("gh/live/j-000001", &value.to_string());
        w.run(2);
        w.submit(large);
        for round in 0..8 {
            let shape = ["array", "group"][round as usize % 2];
            w.submit(job(10 + round, 3, json!({"shape": shape})));
            w.run(7);
            w.cancel(8 + round);
            if round % 3 == 2 {
                w.crash_leader(SECOND * (round as u64 % 4 + 1));
            }
        }
        assert!(
            !w.state.keys("gh/part/j-000001/").is_empty(),
            "the array has a completion part in the state service"
        );
        recover_and_cancel_all(w, seed);
    }
}

/// Guards against tasks that run twice or run on after a cancellation. The leader crashes while machines with long
/// tasks cannot be reached, hang, or do not receive the answers of the new leader; some of their jobs are cancelled.
#[test]
fn a_new_leader_waits_for_machines_it_cannot_reach() {
    for seed in 1..=9 {
        let mut w = world_with_long_jobs(3, seed);
        let (old, _) = leader_and_others(&w, seed);
        let busy: Vec<String> = w
            .workers
            .values()
            .filter(|x| !x.tasks.is_empty())
            .map(|x| x.name.clone())
            .collect();
        let some: Vec<String> = busy.into_iter().step_by(2).collect();
        w.cloud.deletes_fail = seed % 2 == 0;
        match seed % 3 {
            0 => w.faults.unanswered_workers.extend(some),
            1 => {
                let until = w.now + WORKER_LEASE - SECOND / 2;
                some.iter().for_each(|n| {
                    w.workers.get_mut(n).expect("the worker exists").hung_until = until
                });
            }
            _ => (0..3).for_each(|n| {
                w.faults.unreachable_zones.insert((n, "a".into()));
            }),
        }
        w.crash(old, [SECOND / 2, 30 * SECOND][seed as usize % 2]);
        w.run(2);
        (1..=3).for_each(|i| w.cancel(i));
        w.submit(job(20, 6, json!({"guess_s": 30.0, "rigs": ["small"]})));
        w.run(25);
        w.crash_leader(SECOND / 2);
        w.run(30);
        w.cloud.deletes_fail = false;
        recover_and_cancel_all(w, seed);
    }
}

/// Guards against cancelled tasks that run on. The state service answers slowly, then refuses the leader alone, then
/// is down for all controllers for 60 s, longer than a cancellation may take, while users cancel and poll.
#[test]
fn a_failing_state_service_lets_no_cancelled_task_run_on() {
    for seed in 1..=8 {
        let mut w = world_with_long_jobs(if seed % 4 == 0 { 5 } else { 3 }, seed);
        w.faults.max_store_delay = SECOND * (2 + seed % 5) / 4;
        w.extra_queries = 3;
        for i in 1..=3 {
            w.cancel(i);
            w.run(3);
        }
        w.faults.max_store_delay = SECOND / 4;
        w.run(3);
        let (old, others) = leader_and_others(&w, seed);
        w.faults.store_refuses.insert(old);
        (4..=6).for_each(|i| w.cancel_at(i, others[0]));
        w.run_until(3, "the users are told of the cancellations", |w| {
            cancellations_confirmed(w, &[4, 5, 6])
        });
        w.state.down = true;
        w.run(60);
        w.extra_queries = 0;
        recover_and_cancel_all(w, seed);
    }
}

/// Guards against polls that wait behind queued writes. After an outage more jobs are submitted and cancelled than
/// the write rate of the state service (6 per second) allows; polls about accepted jobs must be answered all the
/// same.
#[test]
fn polls_are_answered_while_writes_exceed_the_rate_limit() {
    for seed in 1..=3 {
        let few = |text: String| text.replace("write_rps = 100.0", "write_rps = 6.0");
        let mut w = World::with_settings(3, seed, WORKER_LEASE as f64 / SECOND as f64, &few);
        w.run(2);
        (1..=10).for_each(|i| w.submit(job(i, 1, json!({}))));
        w.run(10);
        w.state.down = true;
        w.run(4);
        w.end_faults();
        (11..=400).for_each(|i| w.submit(job(i, 1, json!({}))));
        for i in 1..=30 {
            w.cancel(10 * i);
            w.run(2);
        }
        assert!(
            w.jobs.values().filter(|j| j.accepted.is_some()).count() < 400,
            "the state service accepted every submission, so the write limit had no effect"
        );
        assert!(
            w.unanswered < 15 * SECOND,
            "an accepted job had no answer for {} s",
            w.unanswered / SECOND
        );
        assert_eq!(w.violations, Vec::<String>::new());
    }
}

/// Plays random faults drawn from `seed`, with long tasks and with cancellations throughout. A fault is injected every
/// few seconds, and most faults last until another draw ends them, so several are in force at once. With
/// `changes`, operators also change the configuration meanwhile.
fn play_concurrent_faults(seed: u64, changes: bool) -> World {
    let nodes = if seed % 4 == 3 { 5 } else { 3 };
    let mut w = World::new(nodes, seed);
    w.state.unordered = seed.is_multiple_of(2);
    w.state.kept_changes = seed.is_multiple_of(3).then_some(20);
    w.run_time_range = (SECOND, 90 * SECOND);
    w.run(2);
    if changes {
        change_limit_of_red(&mut w);
    }
    let mut next = 1;
    for _ in 0..30 {
        if next < 24 {
            let tasks = w.rng.random_range(1..4);
            let shape = ["array", "array", "group"][w.rng.random_range(0..3)];
            let crew = ["red", "blue"][w.rng.random_range(0..2)];
            let stamp = if w.rng.random_bool(0.4) { 5.0 } else { 0.0 };
            let more = json!({"shape": shape, "crew": crew, "guess_s": 60.0,
                "stamp_every_s": stamp, "stamp_s": stamp});
            w.submit(job(next, tasks, more));
            next += 1;
        }
        let any = w.rng.random_range(0..nodes);
        let leader = w.leader().unwrap_or(any);
        match w.rng.random_range(0..24) {
            0 | 1 => {
                let back = [SECOND / 10, SECOND / 2, SECOND, 7 * SECOND];
                let back = back[w.rng.random_range(0..4)];
                w.crash(leader, back);
            }
            2 => (0..nodes).for_each(|i| {
                let back = w.rng.random_range(SECOND / 10..3 * SECOND);
                w.crash(i, back);
            }),
            3 | 4 => w.state.down = !w.state.down,
            5 | 6 => {
                w.faults.store_refuses.insert(leader);
            }
            7 => w.isolate(leader),
            8 => {
                w.faults.store_refuses.clear();
                w.faults.partitioned.clear();
            }
            9 => {
                w.faults.late_commit_rate = if w.faults.late_commit_rate > 0.0 {
                    0.0
                } else {
                    0.2
                }
            }
            10 => {
                w.faults.heartbeat_copy_rate = if w.faults.heartbeat_copy_rate > 0.0 {
                    0.0
                } else {
                    0.4
                }
            }
            11 => {
                let names: Vec<String> = w.workers.keys().cloned().collect();
                let without_answer = names.into_iter().filter(|_| w.rng.random_bool(0.3));
                let without_answer: Vec<String> = without_answer.collect();
                if w.faults.unanswered_workers.is_empty() {
                    w.faults.unanswered_workers.extend(without_answer)
                } else {
                    w.faults.unanswered_workers.clear()
                }
            }
            12 => {
                let until = w.now + w.rng.random_range(SECOND..2 * WORKER_LEASE);
                w.workers
                    .values_mut()
                    .step_by(2)
                    .for_each(|x| x.hung_until = until);
            }
            13 => w.faults.max_store_delay = [0, SECOND, 2 * SECOND][w.rng.random_range(0..3)],
            14 => w.faults.max_worker_answer_delay = [0, 4 * SECOND][w.rng.random_range(0..2)],
            15 => {
                w.faults.lost_commit_answer_rate = if w.faults.lost_commit_answer_rate > 0.0 {
                    0.0
                } else {
                    0.4
                }
            }
            16 => {
                w.faults.kept_copy_rate = if w.faults.kept_copy_rate > 0.0 {
                    0.0
                } else {
                    0.3
                }
            }
            17 => {
                let names: Vec<String> = w.workers.keys().cloned().collect();
                let cut_off = names.into_iter().filter(|_| w.rng.random_bool(0.3));
                let cut_off: Vec<String> = cut_off.collect();
                if w.faults.isolated_workers.is_empty() {
                    w.faults.isolated_workers.extend(cut_off)
                } else {
                    w.faults.isolated_workers.clear()
                }
            }
            18 => w.repeats_requests = !w.repeats_requests,
            19 => w.cancel_at_end = if w.cancel_at_end > 0.0 { 0.0 } else { 0.5 },
            20 => {
                w.cloud.boot =
                    [(SECOND / 5, 2 * SECOND), (SECOND, 4 * SECOND)][w.rng.random_range(0..2)];
                w.cloud.list_lag = w.rng.random_range(1..12) * SECOND;
            }
            21 => {
                // Users cancel every second job while machines hang.
                let until = w.now + w.rng.random_range(SECOND..2 * WORKER_LEASE);
                w.workers
                    .values_mut()
                    .step_by(3)
                    .for_each(|x| x.hung_until = until);
                (1..next).step_by(2).for_each(|i| w.cancel(i));
            }
            22 => w.faults.max_watch_delay = [0, SECOND][w.rng.random_range(0..2)],
            _ => {
                let until = w.now + w.rng.random_range(SECOND..15 * SECOND);
                w.faults.frozen_until.insert(leader, until);
            }
        }
        if changes && w.rng.random_bool(0.3) && !w.state.down {
            change_limit_of_red(&mut w);
        }
        // Users cancel jobs throughout, at any controller.
        let i = w.rng.random_range(1..next);
        if w.rng.random_bool(0.4) {
            w.cancel_at(i, any);
        }
        let pause = w.rng.random_range(1..8);
        w.run(pause);
    }
    w.end_faults();
    w.run_until(400, "all jobs have ended", World::all_jobs_ended);
    w.run(10);
    if changes {
        let last = w.last_version();
        assert!(last > 0 && w.in_force(last), "{last}: {:?}", w.versions());
    }
    w
}

/// Stores a new configuration with a lower or higher limit of team red, drawn from the world's random numbers.
fn change_limit_of_red(w: &mut World) {
    let cpus_max = [6.0f64, 8.0, 12.0, 16.0, 24.0][w.rng.random_range(0..5)];
    let stop = w.rng.random_bool(0.3);
    let over_limit = if stop {
        OverLimit::Stop
    } else {
        OverLimit::Run
    };
    let red = team("red", cpus_max.min(8.0), cpus_max);
    w.store_configuration(
        Document {
            over_limit,
            ..teams(vec![red])
        },
        0,
    );
}

/// Plays the seeds, prints the sums of the counters and fails with the list of the seeds that failed.
///
/// `MEETINGS=400 cargo test -p gannethub-core --test simulation at_random_break -- --nocapture` plays 400 other
/// seeds, from 1000 on; `MEETINGS=7..9` plays the seeds 7 and 8.
fn play_seeds(seeds: std::ops::Range<u64>, changes: bool) {
    let (mut failed_seeds, mut longest_unanswered) = (Vec::new(), 0);
    let (mut late, mut ran_on, mut overtaken) = (0, 0, 0);
    for seed in seeds.clone() {
        let played = std::panic::catch_unwind(|| {
            let w = play_concurrent_faults(seed, changes);
            let figures = (
                w.unanswered,
                w.counters.late_starts,
                w.counters.cancelled_task_seconds,
                w.counters.overtaken_answers,
            );
            w.finish();
            figures
        });
        match played {
            Ok((unanswered, starts, seconds, older)) => {
                longest_unanswered = longest_unanswered.max(unanswered);
                (late, ran_on, overtaken) = (late + starts, ran_on + seconds, overtaken + older);
            }
            Err(_) => {
                println!("seed {seed} failed");
                failed_seeds.push(seed);
            }
        }
    }
    println!(
        "{} seeds, longest time without an answer {} s",
        seeds.count(),
        longest_unanswered / SECOND
    );
    println!(
        "starts after a confirmed cancellation {late}, task seconds after a confirmed cancellation {ran_on}, outdated answers {overtaken}"
    );
    assert!(failed_seeds.is_empty(), "failed seeds: {failed_seeds:?}");
}

/// Plays concurrent random faults against the checker; the variable `MEETINGS` selects other seeds, see `play_seeds`.
#[test]
fn concurrent_faults_at_random_break_no_invariant() {
    let count = std::env::var("MEETINGS").ok();
    let count = count.and_then(|count| count.parse::<u64>().ok());
    let counted = count.map(|count| 1000..1000 + count);
    let seeds = seeds_in_variable("MEETINGS").or(counted);
    play_seeds(seeds.unwrap_or(1..13), false);
}

/// Plays further seeds of concurrent random faults.
#[test]
fn more_concurrent_faults_at_random_break_no_invariant() {
    play_seeds(13..25, false);
}

/// Plays concurrent random faults while operators change the configuration. `CHANGES=7..90` plays the seeds 7 to 89.
#[test]
fn faults_with_configuration_changes_violate_no_invariant() {
    play_seeds(seeds_in_variable("CHANGES").unwrap_or(1..17), true);
}
