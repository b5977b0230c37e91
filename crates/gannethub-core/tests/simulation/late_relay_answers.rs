//! Late copies of start commands: an answer to a heartbeat that a controller relayed must reach no other heartbeat,
//! even if the controller has been restarted in between, messages between controllers are copied, or the owner stood
//! still.

use serde_json::{Value, json};

use crate::harness::{SECOND, World, job};
use crate::seeds_in_variable;
use rand::Rng;

/// Environment variable that names the seeds of the random test, such as `100..900`.
const SEEDS_VARIABLE: &str = "RELAY_SEEDS";
/// Number of machines in the random test.
const MACHINES: usize = 60;
/// Time for which copies of old answers arrive, every 10 ms, after the relaying controller is back.
const COPIES_S: u64 = 8;

/// Returns a world in which the tasks of job 1 run, and in which all answers that launched them through a relay are
/// kept.
fn world_with_kept_answers(seed: u64, fields: Value) -> World {
    let mut w = World::new(3, seed);
    w.run_time_range = (90 * SECOND, 91 * SECOND);
    w.faults.keeps_relay_answers = true;
    w.run(2);
    let mut body = job(1, 24, json!({"guess_s": 90.0}));
    let all = body.as_object_mut().expect("a job is an object");
    all.extend(fields.as_object().cloned().unwrap_or_default());
    w.submit(body);
    w.run_until(60, "all tasks run", |w| w.starts >= 24);
    w.faults.keeps_relay_answers = false;
    w
}

/// Ends the processes of both followers, which are back after a fifth of a second.
fn restart_followers(w: &mut World) {
    let leader = w.leader().expect("a controller leads");
    (0..3)
        .filter(|node| *node != leader)
        .for_each(|node| w.crash(node, SECOND / 5));
}

/// Restarts both followers and lets copies of the kept answers arrive while they relay heartbeats again.
fn restart_followers_and_send_copies(w: &mut World) {
    restart_followers(w);
    for _ in 0..COPIES_S * 100 {
        w.send_kept_relay_answers();
        w.run_micros(SECOND / 100);
    }
    assert!(w.counters.answers_to_earlier_processes > 0);
}

/// Guards against a late copy of a start that reaches another machine while the task runs on its own.
#[test]
fn a_late_copy_starts_no_task_that_runs_elsewhere() {
    for seed in 0..4 {
        let mut w = world_with_kept_answers(seed, json!({}));
        restart_followers_and_send_copies(&mut w);
        w.cancel(1);
        w.run(10);
        w.finish();
    }
}

/// Guards against a late copy of a start of a task that was moved to another machine.
#[test]
fn a_late_copy_starts_no_task_that_was_moved() {
    for seed in 10..14 {
        let mut w = world_with_kept_answers(seed, json!({}));
        let starts = w.starts;
        let mut machines = w.workers.values_mut().filter(|m| !m.tasks.is_empty());
        let lost = machines.next().expect("a machine has tasks");
        let moved = lost.tasks.len();
        lost.dead = true;
        lost.tasks.clear();
        w.run_until(60, "the tasks run elsewhere", |w| {
            w.starts >= starts + moved
        });
        restart_followers_and_send_copies(&mut w);
        w.cancel(1);
        w.run(10);
        w.finish();
    }
}

/// Guards against a late copy of a start of a task that was told to stop for other work and waits.
#[test]
fn a_late_copy_starts_no_task_that_was_stopped() {
    for seed in 20..24 {
        let fields = json!({"rank": "low", "stamp_every_s": 5.0, "stamp_s": 1.0});
        let mut w = world_with_kept_answers(seed, fields);
        // Both teams stay within their limits, and the cloud has no further machine.
        w.cloud.capacity = w.workers.len();
        let urgent = json!({"rank": "urgent", "crew": "red", "vcpus": 4.0, "shape": "service"});
        w.submit(job(2, 2, urgent));
        w.run_until(60, "tasks were stopped", |w| w.starts >= 26);
        restart_followers_and_send_copies(&mut w);
        w.cancel(1);
        w.cancel(2);
        w.run(10);
        w.finish();
    }
}

/// Guards against a late copy of a start of a task that was cancelled and forgotten.
#[test]
fn a_late_copy_starts_no_task_that_was_cancelled() {
    for seed in 30..34 {
        let mut w = world_with_kept_answers(seed, json!({}));
        w.cancel(1);
        w.run_until(30, "the tasks are forgotten", |w| {
            w.workers.values().all(|m| m.tasks.is_empty())
        });
        let starts = w.starts;
        w.submit(job(2, 1, json!({"shape": "service"})));
        w.run_until(30, "a service keeps machines", |w| w.starts > starts);
        restart_followers_and_send_copies(&mut w);
        assert_eq!(
            w.starts,
            starts + 1,
            "only the service may start: {:?}",
            w.violations
        );
        w.finish();
    }
}

/// Guards against an answer that waited at its owner, for example in a queue, while the controller that had relayed the
/// heartbeat was restarted. The answer arrives once, without any copies.
#[test]
fn a_late_answer_reaches_no_heartbeat_of_a_later_process() {
    for seed in 40..52 {
        let mut w = World::new(3, seed);
        w.run(2);
        w.faults.keeps_relay_answers = true;
        w.faults.holds_relay_answers = true;
        w.submit(job(1, 40, json!({"shape": "service"})));
        w.run_until(30, "answers are held", |w| w.kept_relay_answers.len() >= 5);
        w.faults.keeps_relay_answers = false;
        restart_followers(&mut w);
        for _ in 0..COPIES_S * 100 {
            w.send_matching_relay_answers();
            w.run_micros(SECOND / 100);
        }
        w.send_kept_relay_answers();
        w.run(1);
        assert!(w.counters.answers_to_earlier_processes > 0);
        w.cancel(1);
        w.run(10);
        w.finish();
    }
}

/// Restarts a follower several times within a second. The leader has a queue or stands still meanwhile, so that it answers
/// heartbeats that the follower's earlier processes have relayed.
fn restart_follower_repeatedly(w: &mut World, leader: usize) {
    let until = w.now + SECOND;
    if w.rng.random_bool(0.3) {
        let still = w.rng.random_range(SECOND / 10..SECOND);
        w.faults.frozen_until.insert(leader, w.now + still);
    }
    let mut followers = (0..3).filter(|node| *node != leader);
    let node = followers.nth(w.rng.random_range(0..2)).unwrap_or(0);
    while w.now < until {
        let back_after = w.rng.random_range(SECOND / 50..SECOND / 10);
        w.crash(node, back_after);
        let runs = w.rng.random_range(SECOND / 10..SECOND / 2);
        w.run_micros(back_after + runs);
    }
}

/// Plays restarts of relaying controllers within a second while the leader has a queue or stands still, with copies of relayed
/// heartbeats and of their answers, cancellations and lost machines.
fn play_random_restarts(seed: u64) -> World {
    // Many machines, so that every process of a follower relays some heartbeats.
    let mut w = World::with_settings(3, seed, 10.0, &|text| {
        text.replace("cpus_max = 40.0", "cpus_max = 400.0")
    });
    w.cloud.capacity = MACHINES;
    w.faults.relay_copy_rate = 0.1;
    w.faults.max_relay_wait = SECOND;
    w.run(2);
    w.submit(job(
        1000,
        MACHINES as u32,
        json!({"shape": "service", "vcpus": 3.0}),
    ));
    w.run_until(60, "the machines are up", |w| w.starts == MACHINES);
    for round in 0..24u32 {
        let shape = ["array", "array", "service", "group"][round as usize % 4];
        w.submit(job(round, 40, json!({"shape": shape, "vcpus": 0.25})));
        let placed_soon = w.rng.random_range(SECOND / 20..SECOND / 2);
        w.run_micros(placed_soon);
        if let Some(leader) = w.leader() {
            restart_follower_repeatedly(&mut w, leader);
        }
        if round % 3 == 2 {
            w.cancel(round - 2);
        }
        if round % 8 == 7
            && let Some(machine) = w.workers.values_mut().find(|m| !m.tasks.is_empty())
        {
            machine.dead = true;
            machine.tasks.clear();
        }
        let pause = w.rng.random_range(SECOND..2 * SECOND);
        w.run_micros(pause);
    }
    w
}

/// Guards against orders that reach another machine than theirs. `RELAY_SEEDS` plays other seeds.
#[test]
fn random_restarts_of_relaying_controllers_misdirect_no_order() {
    let mut late_answers = 0;
    for seed in seeds_in_variable(SEEDS_VARIABLE).unwrap_or(50..56) {
        let mut w = play_random_restarts(seed);
        late_answers += w.counters.answers_to_earlier_processes;
        w.end_faults();
        (0..24).chain([1000]).for_each(|number| w.cancel(number));
        w.run_until(60, "all jobs are over", World::all_jobs_ended);
        w.finish();
    }
    assert!(late_answers > 0, "no answer came after a restart");
}
