//! Machines divided into shards that several controllers hold.

use std::collections::BTreeSet;

use serde_json::json;

use crate::harness::{LEASE, SECOND, World, job};
use crate::{ClusterKind, play_random_faults};

fn three(seed: u64) -> World {
    World::with_shards(3, seed, 3, &|text| {
        text.replace("cpus_max = 40.0", "cpus_max = 90.0")
    })
}

fn owners(w: &World) -> BTreeSet<String> {
    (0..3).filter_map(|b| w.shard_owner(b)).collect()
}

/// Three shards with three owners, and six services that run in more than one of them.
fn shared(seed: u64, replicas: u32) -> World {
    let mut w = three(seed);
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

fn node(name: &str) -> usize {
    name[1..].parse().expect("a node")
}

/// Tasks that are on machines of a shard, as its owner sees them.
fn placed(w: &World, block: u32) -> usize {
    w.shard(block).map_or(0, |c| {
        c.jobs.values().map(|j| j.tasks.live_attempts.len()).sum()
    })
}

#[test]
fn each_controller_owns_a_shard_and_work_runs_in_all() {
    let mut w = shared(1, 5);
    assert!(
        (0..3).all(|b| placed(&w, b) > 0),
        "{:?}",
        [0, 1, 2].map(|b| placed(&w, b))
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
    w.run_until(150, "all are done", World::all_over);
    w.run_until(120, "all machines are returned", |w| w.workers.is_empty());
    w.finish();
}

#[test]
fn the_loss_of_one_owner_stops_no_start_in_other_shards() {
    for lost in [0, 1] {
        let mut w = shared(2, 1);
        for i in 30..36 {
            w.submit(job(i, 80, json!({"rigs": ["small"]})));
        }
        w.run_until(60, "the arrays run", |w| w.starts >= 60);
        let victim = node(&w.shard_owner(lost).expect("held"));
        w.crash(victim, 40 * SECOND);
        let others: Vec<u32> = (0..3).filter(|b| *b != lost).collect();
        for _ in 0..3 {
            let before = w.starts;
            w.run(4);
            assert!(w.starts > before, "starts stop in shards that go on");
            assert!(
                others
                    .iter()
                    .all(|b| w.shard(*b).is_some_and(|c| c.takeover.settled))
            );
        }
        w.run_until(10, "the shard is owned again", |w| {
            w.shard_owner(lost).is_some_and(|h| node(&h) != victim)
                && w.shard(lost).is_some_and(|c| c.takeover.settled)
        });
        w.run_until(150, "the arrays are done", |w| {
            (30..36).all(|i| w.jobs[&format!("j-{i:06}")].told_done.is_some())
        });
        let running: usize = (0..3).map(|b| placed(&w, b)).sum();
        assert_eq!(running, 6, "the replicas went on or run again");
        w.finish();
    }
}

#[test]
fn a_shard_moves_to_another_owner_while_its_tasks_run_on() {
    let mut w = shared(3, 5);
    let victim = node(&w.shard_owner(1).expect("held"));
    w.crash(victim, 8 * SECOND);
    w.run_until(10, "another holds it", |w| {
        w.shard_owner(1).is_some_and(|h| node(&h) != victim)
    });
    w.run_until(8, "it knows all of it", |w| {
        w.shard(1).is_some_and(|c| c.takeover.settled)
    });
    let (starts, running) = (w.starts, placed(&w, 1));
    assert!(running > 0);
    w.run_until(30, "it is handed back", |w| {
        w.shard_owner(1).is_some_and(|h| node(&h) == victim)
    });
    w.run_until(8, "and known there", |w| {
        w.shard(1).is_some_and(|c| c.takeover.settled)
    });
    assert!(
        w.shard(1).is_some_and(|c| c.watermarks.reliable),
        "it was told that watermarks are reliable"
    );
    w.run(5);
    assert_eq!(
        (placed(&w, 1), w.starts),
        (running, starts),
        "nothing was started anew"
    );
    w.finish();
}

#[test]
fn a_teams_limit_holds_across_shards() {
    for seed in 10..14 {
        let mut w = three(seed);
        w.run_until(15, "each controller owns a shard", |w| owners(w).len() == 3);
        w.run(2);
        for i in 1..9 {
            w.submit(job(i, 10, json!({"crew": "red", "vcpus": 2.0})));
        }
        w.run(12);
        let victim = node(&w.shard_owner((seed % 3) as u32).expect("held"));
        w.crash(victim, 6 * SECOND);
        w.faults.late_commit_rate = 0.1;
        w.run(20);
        w.faults.late_commit_rate = 0.0;
        w.run_until(300, "all are done", World::all_over);
        w.finish();
    }
}

#[test]
fn the_checker_sees_a_limit_broken_when_parts_add_up_to_more() {
    let mut w = three(15);
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
    for block in 1..3 {
        let key = format!("gh/allot/{block}");
        let mut value = w.state.value(&key).cloned().expect("it has a part");
        value["teams"]["red"]["cpu"] = json!(16_000);
        w.state.put(&key, &value.to_string());
    }
    w.run(20);
    let over = |b: &String| b.starts_with("quota") || b.starts_with("allotted");
    assert!(
        w.broken.iter().any(over),
        "the broken guard was not noticed: {:?}",
        w.broken
    );
}

#[test]
fn a_part_that_cannot_be_read_is_taken_for_all_and_service_goes_on() {
    let mut w = shared(16, 5);
    w.state.put("gh/allot/7", "[]");
    w.state.put("gh/move/x/y", "3");
    w.state.put("gh/seat/nobody", "{}");
    let leader = node(&w.shard_owner(0).expect("held"));
    w.crash(leader, 5 * SECOND);
    w.run(15);
    for i in 30..34 {
        w.submit(job(i, 4, json!({"rigs": ["small"]})));
    }
    w.run(10);
    let running: usize = (0..3).map(|b| placed(&w, b)).sum();
    assert_eq!(running, 30, "what ran runs on");
    for key in ["gh/allot/7", "gh/move/x/y", "gh/seat/nobody"] {
        w.state.remove(key);
    }
    w.run_until(150, "all goes on", |w| {
        (30..34).all(|i| w.jobs[&format!("j-{i:06}")].told_done.is_some())
    });
    w.finish();
}

#[test]
fn a_cluster_goes_from_one_shard_to_several_and_back_while_it_serves() {
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
    w.run_until(30, "work runs in another", |w| {
        placed(w, 1) + placed(w, 2) > 0
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
    w.run_until(200, "all are done", World::all_over);
    let homed = w.shard(0).map_or(0, |c| c.jobs.len());
    assert_eq!(homed, 0);
    w.finish();
}

#[test]
fn an_owner_that_stood_still_over_its_lease_acts_on_nothing_that_waited_for_it() {
    for (seed, block) in [(18, 0), (19, 1), (20, 1), (21, 0)] {
        let mut w = shared(seed, 3);
        for i in 30..34 {
            w.submit(job(i, 40, json!({"rigs": ["small"]})));
        }
        w.run_until(60, "the arrays run", |w| w.starts >= 40);
        let old = node(&w.shard_owner(block).expect("held"));
        w.faults.frozen_until.insert(old, w.now + 9 * SECOND);
        w.run_until(9, "another holds it", |w| {
            w.shard_owner(block).is_some_and(|h| node(&h) != old)
        });
        // Heartbeats, answers and cancellations have come for it in the meantime.
        (30..32).for_each(|i| w.cancel(i));
        w.run(12);
        let claims = w.nodes[old].controller.iter().flat_map(|c| c.clusters());
        assert!(
            claims.filter(|c| c.shard.id == block).all(|c| c.term > 3),
            "its old term is over"
        );
        w.run_until(200, "the arrays are over", |w| {
            (30..34).all(|i| {
                let j = &w.jobs[&format!("j-{i:06}")];
                j.told_done.is_some() || j.told_cancelled.is_some()
            })
        });
        w.finish();
    }
}

#[test]
fn the_checker_sees_a_task_run_twice_when_a_job_goes_to_another_shard_with_tasks_on_machines() {
    let mut w = shared(22, 5);
    let from = (0..3).find(|b| placed(&w, *b) > 0).expect("one has work");
    let to = (from + 1) % 3;
    let id = w
        .shard(from)
        .and_then(|c| c.jobs.keys().next().cloned())
        .expect("a job");
    // What `untouched` guards against: the owner gives a job away though it has launched it, and the other has room.
    let key = format!("gh/live/{id}");
    let mut value = w.state.value(&key).cloned().expect("alive");
    match value.get_mut("homed") {
        Some(homed) => (homed["block"], homed["open"]) = (json!(to), json!(0)),
        None => {
            let (spec, at) = (value["spec"].clone(), value["at"].clone());
            value = json!({"spec": {"tasks": spec["tasks"]}, "at": at,
                "homed": {"block": to, "job": spec, "open": 0}});
        }
    }
    w.state.put(&key, &value.to_string());
    // Its machines do not hear yet that it is not theirs any more.
    let until = w.now + LEASE - SECOND / 2;
    let on = |t: &String| t.starts_with(&*id);
    let with = w.workers.values_mut().filter(|m| m.tasks.keys().any(on));
    with.for_each(|m| m.hung_until = until);
    for _ in 0..9 {
        w.run(1);
        if w.broken.iter().any(|b| b.starts_with("ran_twice")) {
            return;
        }
    }
    panic!("the broken guard was not noticed: {:?}", w.broken);
}

/// The same drawn days as with one shard.
#[test]
fn random_troubles_break_no_rule_with_several_shards() {
    for seed in 300..312 {
        play_random_faults(seed, ClusterKind::Shards(3)).finish();
    }
}
