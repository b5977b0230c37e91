//! Tests of several shards: the machines are divided into shards that different controllers own.

use std::collections::BTreeSet;

use serde_json::json;

use crate::harness::{SECOND, WORKER_LEASE, World, job};
use crate::{ClusterKind, play_random_faults};

/// Returns a world with three controllers and three shards, in which the limit of team blue is 90 CPUs.
fn world_with_three_shards(seed: u64) -> World {
    World::with_shards(3, seed, 3, &|text| {
        text.replace("cpus_max = 40.0", "cpus_max = 90.0")
    })
}

/// Names of the controllers that own a shard.
fn owners(w: &World) -> BTreeSet<String> {
    (0..3).filter_map(|b| w.shard_owner(b)).collect()
}

/// Returns a world with three shards, each with an owner of its own, and six services (jobs 1 to 6) that run.
fn world_with_services(seed: u64, replicas: u32) -> World {
    let mut w = world_with_three_shards(seed);
    w.cloud.capacity = 30;
    w.run_until(15, "each controller owns a shard", |w| owners(w).len() == 3);
    w.run(2);
    for i in 1..7 {
        w.submit(job(
            i,
            replicas,
            json!({"shape": "service", "rigs": ["small"]}),
        ));
    }
    w.run_until(60, "the replicas run", |w| {
        w.starts >= 6 * replicas as usize
    });
    w.run(3);
    w
}

/// Returns the index of a controller by its name.
fn node_index(name: &str) -> usize {
    name[1..].parse().expect("a node number")
}

/// Number of tasks on machines of a shard, as the shard owner knows them.
fn live_tasks(w: &World, shard: u32) -> usize {
    w.shard(shard).map_or(0, |c| {
        c.jobs.values().map(|j| j.tasks.live_attempts.len()).sum()
    })
}

/// Guards against shards without an owner or without tasks, and against jobs that do not finish or machines that are
/// not returned in a cluster with several shards.
#[test]
fn each_controller_owns_a_shard_and_tasks_run_in_all() {
    let mut w = world_with_services(1, 5);
    assert!(
        (0..3).all(|b| live_tasks(&w, b) > 0),
        "{:?}",
        [0, 1, 2].map(|b| live_tasks(&w, b))
    );
    for i in 10..16 {
        w.submit(job(i, 8, json!({})));
    }
    w.submit(job(
        20,
        4,
        json!({"shape": "group", "together": true, "crew": "red"}),
    ));
    w.submit(job(
        21,
        3,
        json!({"waits_on": ["j-000010", "j-000011", "j-000012"]}),
    ));
    (1..7).for_each(|i| w.cancel(i));
    w.run_until(150, "all jobs are done", World::all_jobs_ended);
    w.run_until(120, "all machines are returned", |w| w.workers.is_empty());
    w.finish();
}

/// Guards against a crash of one shard owner that stops starts in other shards. The lost shard must have a new owner
/// and be settled within 10 s after the first 12 s, and all replicas must run in the end.
#[test]
fn a_crashed_shard_owner_stops_no_start_in_other_shards() {
    for lost in [0, 1] {
        let mut w = world_with_services(2, 1);
        for i in 30..36 {
            w.submit(job(i, 80, json!({"rigs": ["small"]})));
        }
        w.run_until(60, "the arrays run", |w| w.starts >= 60);
        let crashed = node_index(&w.shard_owner(lost).expect("the shard has an owner"));
        w.crash(crashed, 40 * SECOND);
        let others: Vec<u32> = (0..3).filter(|b| *b != lost).collect();
        for _ in 0..3 {
            let before = w.starts;
            w.run(4);
            assert!(
                w.starts > before,
                "no task starts in the shards that kept their owner"
            );
            assert!(
                others
                    .iter()
                    .all(|b| w.shard(*b).is_some_and(|c| c.takeover.is_settled))
            );
        }
        w.run_until(10, "the shard is owned again", |w| {
            w.shard_owner(lost)
                .is_some_and(|h| node_index(&h) != crashed)
                && w.shard(lost).is_some_and(|c| c.takeover.is_settled)
        });
        w.run_until(150, "the arrays are done", |w| {
            (30..36).all(|i| w.jobs[&format!("j-{i:06}")].done_confirmed_at.is_some())
        });
        let running: usize = (0..3).map(|b| live_tasks(&w, b)).sum();
        assert_eq!(running, 6, "all replicas run");
        w.finish();
    }
}

/// Guards against tasks that are started again when their shard changes its owner: the owner crashes, another
/// controller takes the shard over and hands it back.
#[test]
fn tasks_run_on_while_their_shard_changes_owner() {
    let mut w = world_with_services(3, 5);
    let crashed = node_index(&w.shard_owner(1).expect("the shard has an owner"));
    w.crash(crashed, 8 * SECOND);
    w.run_until(10, "another controller owns the shard", |w| {
        w.shard_owner(1).is_some_and(|h| node_index(&h) != crashed)
    });
    w.run_until(8, "the takeover of the shard is settled", |w| {
        w.shard(1).is_some_and(|c| c.takeover.is_settled)
    });
    let (starts, running) = (w.starts, live_tasks(&w, 1));
    assert!(running > 0);
    w.run_until(30, "the shard is handed back", |w| {
        w.shard_owner(1).is_some_and(|h| node_index(&h) == crashed)
    });
    w.run_until(8, "the takeover by the returned owner is settled", |w| {
        w.shard(1).is_some_and(|c| c.takeover.is_settled)
    });
    assert!(
        w.shard(1).is_some_and(|c| c.watermarks.reliable),
        "the returned owner must know that watermarks are reliable"
    );
    w.run(5);
    assert_eq!(
        (live_tasks(&w, 1), w.starts),
        (running, starts),
        "tasks must run on without a restart"
    );
    w.finish();
}

/// Guards against a team above its limit over all shards together, while an owner crashes and a tenth of the
/// transactions is carried out late.
#[test]
fn a_team_limit_holds_across_shards() {
    for seed in 10..14 {
        let mut w = world_with_three_shards(seed);
        w.run_until(15, "each controller owns a shard", |w| owners(w).len() == 3);
        w.run(2);
        for i in 1..9 {
            w.submit(job(i, 10, json!({"crew": "red", "vcpus": 2.0})));
        }
        w.run(12);
        let crashed = node_index(
            &w.shard_owner((seed % 3) as u32)
                .expect("the shard has an owner"),
        );
        w.crash(crashed, 6 * SECOND);
        w.faults.late_commit_rate = 0.1;
        w.run(20);
        w.faults.late_commit_rate = 0.0;
        w.run_until(300, "all jobs are done", World::all_jobs_ended);
        w.finish();
    }
}

/// Proves that the checker detects usage or quota partitions above the limit of a team: the stored quota partitions
/// of two shards are raised so that they add up to more than the limit.
#[test]
fn the_checker_detects_quota_partitions_above_the_limit() {
    let mut w = world_with_three_shards(15);
    w.cloud.capacity = 40;
    w.run_until(15, "each controller owns a shard", |w| owners(w).len() == 3);
    w.run(2);
    for i in 1..9 {
        w.submit(job(
            i,
            10,
            json!({"crew": "red", "shape": "service", "rigs": ["small"]}),
        ));
    }
    w.run(10);
    for shard in 1..3 {
        let key = format!("gh/allot/{shard}");
        let mut value = w
            .state
            .value(&key)
            .cloned()
            .expect("the shard has a quota partition");
        value["teams"]["red"]["cpu"] = json!(16_000);
        w.state.put(&key, &value.to_string());
    }
    w.run(20);
    let over = |b: &String| b.starts_with("quota") || b.starts_with("allotted");
    assert!(
        w.violations.iter().any(over),
        "the checker did not detect the violation: {:?}",
        w.violations
    );
}

/// Guards against a service that stops or exceeds a limit because of stored values that cannot be read: an invalid
/// quota partition counts as the whole quota, and running tasks run on over a takeover. Once the invalid values are
/// removed, new jobs finish.
#[test]
fn an_invalid_quota_partition_counts_as_the_whole_quota() {
    let mut w = world_with_services(16, 5);
    w.state.put("gh/allot/7", "[]");
    w.state.put("gh/move/x/y", "3");
    w.state.put("gh/seat/nobody", "{}");
    let leader = node_index(&w.shard_owner(0).expect("the shard has an owner"));
    w.crash(leader, 5 * SECOND);
    w.run(15);
    for i in 30..34 {
        w.submit(job(i, 4, json!({"rigs": ["small"]})));
    }
    w.run(10);
    let running: usize = (0..3).map(|b| live_tasks(&w, b)).sum();
    assert_eq!(running, 30, "running tasks must run on");
    for key in ["gh/allot/7", "gh/move/x/y", "gh/seat/nobody"] {
        w.state.remove(key);
    }
    w.run_until(150, "the new jobs are done", |w| {
        (30..34).all(|i| w.jobs[&format!("j-{i:06}")].done_confirmed_at.is_some())
    });
    w.finish();
}

/// Guards against lost jobs and leftover records when the controllers restart one by one with another number of
/// shards: from one shard to three and back.
#[test]
fn the_number_of_shards_changes_while_jobs_run() {
    let mut w = World::with_shards(3, 17, 1, &|text| text);
    w.run(2);
    w.submit(job(1, 6, json!({"shape": "service", "rigs": ["small"]})));
    w.run_until(40, "the replicas run", |w| w.starts >= 6);
    assert!(w.state.keys("gh/seat/").is_empty() && w.state.keys("gh/lead/count").is_empty());
    w.set_shard_count(3);
    for n in 0..3 {
        w.crash(n, SECOND);
        w.run(14);
    }
    w.run_until(30, "each controller owns a shard", |w| owners(w).len() == 3);
    for i in 10..16 {
        w.submit(job(i, 8, json!({"rigs": ["small"]})));
    }
    w.run_until(30, "tasks run in shards other than 0", |w| {
        live_tasks(w, 1) + live_tasks(w, 2) > 0
    });
    w.set_shard_count(1);
    for n in 0..3 {
        w.crash(n, SECOND);
        w.run(14);
    }
    for i in 20..24 {
        w.submit(job(i, 4, json!({"rigs": ["small"]})));
    }
    w.cancel(1);
    w.run_until(200, "all jobs are done", World::all_jobs_ended);
    let live_jobs = w.shard(0).map_or(0, |c| c.jobs.len());
    assert_eq!(live_jobs, 0);
    w.finish();
}

/// Guards against a shard owner that acts on an expired lease. The owner is frozen for 9 s, longer than its lease,
/// while heartbeats, answers and cancellations queue up for it, and another controller takes the shard over.
#[test]
fn a_resumed_shard_owner_acts_on_no_queued_message() {
    for (seed, shard) in [(18, 0), (19, 1), (20, 1), (21, 0)] {
        let mut w = world_with_services(seed, 3);
        for i in 30..34 {
            w.submit(job(i, 40, json!({"rigs": ["small"]})));
        }
        w.run_until(60, "the arrays run", |w| w.starts >= 40);
        let old = node_index(&w.shard_owner(shard).expect("the shard has an owner"));
        w.faults.frozen_until.insert(old, w.now + 9 * SECOND);
        w.run_until(9, "another controller owns the shard", |w| {
            w.shard_owner(shard).is_some_and(|h| node_index(&h) != old)
        });
        // Heartbeats, answers and cancellations have queued up for the frozen owner in the meantime.
        (30..32).for_each(|i| w.cancel(i));
        w.run(12);
        let claims = w.nodes[old].controller.iter().flat_map(|c| c.clusters());
        assert!(
            claims.filter(|c| c.shard.id == shard).all(|c| c.term > 3),
            "the resumed owner still acts under its old term"
        );
        w.run_until(200, "the arrays have ended", |w| {
            (30..34).all(|i| {
                let j = &w.jobs[&format!("j-{i:06}")];
                j.done_confirmed_at.is_some() || j.cancellation_confirmed_at.is_some()
            })
        });
        w.finish();
    }
}

/// Proves that the checker detects a task that runs twice: a job with tasks on machines is transferred to another
/// shard.
#[test]
fn the_checker_detects_a_double_run_after_a_wrong_job_transfer() {
    let mut w = world_with_services(22, 5);
    let from = (0..3)
        .find(|b| live_tasks(&w, *b) > 0)
        .expect("a shard has tasks");
    let to = (from + 1) % 3;
    let id = w
        .shard(from)
        .and_then(|c| c.jobs.keys().next().cloned())
        .expect("the shard has a job");
    // `may_transfer` guards against this fault: the owner transfers a job although it has launched tasks of the job,
    // and the other shard has capacity.
    let key = format!("gh/live/{id}");
    let mut value = w.state.value(&key).cloned().expect("the job record exists");
    match value.get_mut("homed") {
        Some(homed) => (homed["block"], homed["open"]) = (json!(to), json!(0)),
        None => {
            let (spec, at) = (value["spec"].clone(), value["at"].clone());
            value = json!({"spec": {"tasks": spec["tasks"]}, "at": at,
                "homed": {"block": to, "job": spec, "open": 0}});
        }
    }
    w.state.put(&key, &value.to_string());
    // The machines with tasks of the job hang, so they do not learn yet that their shard lost the job.
    let until = w.now + WORKER_LEASE - SECOND / 2;
    let on = |t: &String| t.starts_with(&*id);
    let with = w.workers.values_mut().filter(|m| m.tasks.keys().any(on));
    with.for_each(|m| m.hung_until = until);
    for _ in 0..9 {
        w.run(1);
        if w.violations.iter().any(|b| b.starts_with("ran_twice")) {
            return;
        }
    }
    panic!(
        "the checker did not detect the violation: {:?}",
        w.violations
    );
}

/// Plays the same random jobs and faults as with one shard, in a cluster with three shards.
#[test]
fn random_faults_violate_no_invariant_with_several_shards() {
    for seed in 300..312 {
        play_random_faults(seed, ClusterKind::Shards(3)).finish();
    }
}
