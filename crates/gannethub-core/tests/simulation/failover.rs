//! Deciding machine by machine after a loss: what watermarks, votes and limits allow, and what they forbid.

use gannethub_core::model::Shape;
use gannethub_core::state::cluster::Cluster;
use gannethub_core::state::shard::{ChunkRecord, ShardMember};
use gannethub_core::wire::store::JobRecord;
use rand::Rng;
use serde_json::{Value, json};

use crate::harness::{LEASE, SECOND, World, job};
use crate::leader_view::{LeaderView, spec};

fn cluster(w: &World) -> Option<&Cluster> {
    let leader = w.nodes[w.leader()?].controller.as_ref()?;
    leader.cluster()
}

/// Whether anything may still be on machines that its leader has not heard.
fn settled(w: &World) -> bool {
    cluster(w).is_some_and(|c| c.takeover.settled)
}

/// Three controllers, replicas that fill machines of their own, and an array beside them that will end.
fn replicas(seed: u64, crew: &str, cpus: u32) -> World {
    let mut w = World::new(3, seed);
    w.cloud.capacity = 16;
    w.run(2);
    w.submit(job(
        1,
        cpus,
        json!({"shape": "service", "crew": crew, "rigs": ["small"]}),
    ));
    w.run_until(40, "the replicas run", |w| w.starts >= cpus as usize);
    w.submit(job(9, 24, json!({"rigs": ["small"]})));
    w.run_until(40, "the array runs", |w| w.starts >= cpus as usize + 24);
    w.run(2);
    w
}

/// Lets machines with replicas hang until just before their leases end, and the cloud delete nothing.
fn hang(w: &mut World) -> usize {
    let until = w.now + LEASE - SECOND / 2;
    w.cloud.no_deletes = true;
    let replica = |t: &String| t.starts_with("j-000001");
    let with = w
        .workers
        .values_mut()
        .filter(|m| m.tasks.keys().any(replica));
    with.map(|m| m.hung_until = until).count()
}

/// The leader ends for long; returns when another leads.
fn lose_leader(w: &mut World) {
    let old = w.leader().expect("someone leads");
    w.crash(old, 60 * SECOND);
    w.run_until(15, "another leads", |w| {
        w.leader().is_some_and(|l| l != old)
    });
}

/// Replaces a field of every value under a prefix.
fn tamper(w: &mut World, prefix: &str, change: impl Fn(&mut Value)) {
    for key in w.state.keys(prefix) {
        let mut value = w.state.value(&key).cloned().expect("it is there");
        change(&mut value);
        w.state.put(&key, &value.to_string());
    }
}

#[test]
fn new_work_starts_on_what_has_been_heard_while_other_machines_are_silent() {
    let mut w = replicas(1, "blue", 12);
    assert!(hang(&mut w) > 2);
    lose_leader(&mut w);
    let before = w.starts;
    w.submit(job(2, 2, json!({"rigs": ["small"]})));
    w.run_until(6, "it starts", |w| w.starts >= before + 2);
    assert!(!settled(&w) && cluster(&w).is_some_and(|c| c.watermarks.reliable));
    w.run_until(120, "it is done", |w| {
        w.jobs["j-000002"].told_done.is_some()
    });
    w.finish();
}

#[test]
fn what_a_silent_machine_may_hold_is_started_nowhere_else() {
    for seed in 2..8 {
        let mut w = replicas(seed, "blue", 10);
        w.submit(job(2, 60, json!({"rigs": ["small"]})));
        w.run(3);
        hang(&mut w);
        lose_leader(&mut w);
        w.run_until(150, "the array is done", |w| {
            w.jobs["j-000002"].told_done.is_some()
        });
        w.finish();
    }
}

#[test]
fn the_checker_sees_a_task_run_twice_when_watermarks_say_less_than_what_runs() {
    let mut w = replicas(9, "blue", 12);
    hang(&mut w);
    tamper(&mut w, "gh/live/", |v| v["open"] = json!(0));
    lose_leader(&mut w);
    w.run(8);
    let twice = w
        .broken
        .iter()
        .any(|b| b.starts_with("ran_twice: j-000001"));
    assert!(twice, "the broken guard was not noticed: {:?}", w.broken);
}

#[test]
fn a_teams_limit_holds_with_what_it_may_have_on_silent_machines() {
    // Red may have 16 CPUs, and has 12 of them on machines that hang.
    for (seed, guarded) in [(10, true), (10, false)] {
        let mut w = replicas(seed, "red", 12);
        hang(&mut w);
        if !guarded {
            // As if none of its replicas had been launched, and they were not to start again.
            tamper(&mut w, "gh/live/j-000001", |v| {
                (v["open"], v["done"]) = (json!(0), json!("0-11"))
            });
        }
        lose_leader(&mut w);
        w.submit(job(2, 12, json!({"crew": "red", "rigs": ["small"]})));
        w.run_until(6, "as many start as may", |w| w.starts >= 40);
        let held = cluster(&w).map_or(0, |c| {
            c.quota.team_usage[0].cpu + c.takeover.unconfirmed.possible_usage[0].cpu
        });
        assert!(!settled(&w));
        w.run(3);
        let over = w.broken.iter().any(|b| b.starts_with("quota"));
        assert_eq!(over, !guarded, "{:?}", w.broken);
        if guarded {
            assert_eq!(held, 16_000, "all of the limit counts as used");
            w.run(20);
            w.cancel(1);
            w.run_until(150, "its work is done", |w| {
                w.jobs["j-000002"].told_done.is_some()
            });
            w.finish();
        }
    }
}

#[test]
fn launches_in_an_outage_need_no_watermarks_and_nobody_goes_by_watermarks_after_it() {
    for seed in 20..26 {
        let mut w = World::new(3, seed);
        w.cloud.capacity = 4;
        w.run(2);
        w.submit(job(1, 400, json!({"rigs": ["small"]})));
        w.run_until(40, "the array runs", |w| w.starts >= 16);
        let open = |w: &World| w.state.value("gh/live/j-000001").map(|v| v["open"].clone());
        w.state.down = true;
        let opened = open(&w);
        w.run(25);
        assert_eq!(open(&w), opened);
        let launched = w.starts as u64;
        assert!(
            opened.is_some_and(|o| o.as_u64() < Some(launched)),
            "{launched} starts"
        );
        w.cloud.no_deletes = true;
        let until = w.now + LEASE - SECOND / 2;
        w.workers
            .values_mut()
            .skip(1)
            .for_each(|m| m.hung_until = until);
        w.state.down = false;
        lose_leader(&mut w);
        assert!(cluster(&w).is_some_and(|c| !c.watermarks.reliable));
        w.run_until(60, "every machine is known", settled);
        w.cloud.capacity = 40;
        w.cloud.no_deletes = false;
        w.run_until(300, "the array is done", World::all_over);
        w.finish();
    }
}

#[test]
fn a_restarted_controller_is_told_that_watermarks_hold_and_goes_by_them() {
    for told in [true, false] {
        let mut w = replicas(30, "blue", 12);
        let leader = w.leader().expect("someone leads");
        (0..3)
            .filter(|n| *n != leader)
            .for_each(|n| w.crash(n, SECOND));
        w.run(2);
        if !told {
            // Nobody answers before the leader is gone.
            for other in (0..3).filter(|o| *o != leader) {
                w.faults
                    .partitioned
                    .extend([(leader, other), (other, leader)]);
            }
            w.faults
                .partitioned
                .extend((0..3).flat_map(|a| (0..3).map(move |b| (a, b))));
        }
        w.run(10);
        w.faults.partitioned.clear();
        lose_leader(&mut w);
        assert_eq!(cluster(&w).map(|c| c.watermarks.reliable), Some(told));
        w.run(20);
        w.finish();
    }
}

#[test]
fn after_a_version_without_watermarks_nobody_goes_by_them_until_all_is_covered() {
    let mut w = replicas(31, "blue", 12);
    // As the version before writes it: without what it does not know of.
    let without = |v: &mut Value| {
        drop(
            v.as_object_mut()
                .map(|o| (o.remove("marked"), o.remove("open"))),
        )
    };
    tamper(&mut w, "gh/l", without);
    let marked = |w: &World| {
        w.state
            .value("gh/lead/term")
            .map(|v| v["marked"] == json!(true))
    };
    let old = w.leader().expect("someone leads");
    w.crash(old, SECOND);
    w.run_until(12, "another leads", |w| {
        cluster(w).is_some_and(|c| c.term > 1)
    });
    assert!(cluster(&w).is_some_and(|c| !c.watermarks.reliable));
    assert_eq!(marked(&w), Some(false));
    w.run_until(30, "it says that watermarks are reliable", |w| {
        marked(w) == Some(true)
    });
    lose_leader(&mut w);
    assert!(cluster(&w).is_some_and(|c| c.watermarks.reliable));
    w.run(20);
    w.finish();
}

#[test]
fn limits_count_what_is_in_doubt_from_the_moment_that_everything_is_read() {
    let mut f = LeaderView::unread(&[("red", 8.0, 8.0)], None);
    f.c.watermarks.set_reliable(true);
    let member = |_| ShardMember {
        machine_type: "small".into(),
        zone: "a".into(),
        spot: false,
    };
    let machines = ["up-1", "up-2"].map(|m| (m.to_string(), member(m))).into();
    let chunk = ChunkRecord {
        term: 1,
        owner: "n9".into(),
        machines,
    };
    let mut record = JobRecord::new(spec(Shape::Array, "red", 20, 1.0), 1);
    record.watermark = Some(6);
    f.c.apply_job_record("j-1", record, 5);
    f.c.apply_shard_chunk("gh/block/0/0", chunk, 6);
    f.c.finish_loading(f.now);
    assert_eq!(
        f.c.takeover.unconfirmed.possible_usage[0].cpu, 6_000,
        "six tasks may be on them"
    );
    // The first machine shows two of them, before any tick: two more CPUs are left, and tasks from the mark on.
    f.heartbeat(
        "up-1",
        "small",
        "a",
        &[("j-1/0", 1, false), ("j-1/1", 1, false)],
    );
    f.c.run_scheduling_pass(f.now);
    let placed: Vec<u32> = f.c.machines["up-1"]
        .attempts
        .keys()
        .map(|id| id.task.index)
        .collect();
    assert_eq!(
        placed,
        [0, 1],
        "what is shown counts beside what was in doubt until that is weighed again"
    );
    f.pass(0);
    f.c.run_scheduling_pass(f.now);
    let placed: Vec<u32> = f.c.machines["up-1"]
        .attempts
        .keys()
        .map(|id| id.task.index)
        .collect();
    assert_eq!(placed, [0, 1, 6, 7]);
}

/// Losses of leaders, machines, messages and the state service, thick enough that most takeovers begin in the middle
/// of the one before.
#[test]
fn takeovers_on_takeovers_break_no_rule() {
    let (mut early, mut terms) = (0, 0);
    for seed in 200..224 {
        let mut w = World::new(3, seed);
        w.cloud.capacity = 6;
        w.cloud.no_deletes = seed % 2 == 0;
        w.run(2);
        for i in 1..5 {
            let shape = ["array", "array", "group", "service"][w.rng.random_range(0..4)];
            let crew = ["red", "blue"][w.rng.random_range(0..2)];
            let tasks = w.rng.random_range(2..12);
            let more = json!({"shape": shape, "crew": crew, "rigs": ["small"],
                "together": w.rng.random_bool(0.3), "stamp_every_s": 1.0, "stamp_s": 1.0});
            w.submit(job(i, tasks, more));
        }
        w.run_until(40, "work is running", |w| w.starts > 2);
        for round in 0..9 {
            let tasks = w.rng.random_range(1..6);
            w.submit(job(10 + round, tasks, json!({"rigs": ["small"]})));
            let until = w.now + w.rng.random_range(SECOND..LEASE + 3 * SECOND);
            let hangs = w.rng.random_range(0..3);
            w.workers
                .values_mut()
                .skip(round as usize % 3)
                .take(hangs)
                .for_each(|m| m.hung_until = until);
            if let Some(leader) = w.leader() {
                let back = w.rng.random_range(SECOND..9 * SECOND);
                w.crash(leader, back);
            }
            match w.rng.random_range(0..7) {
                6 => {
                    let (node, long) = (
                        w.rng.random_range(0..3),
                        w.rng.random_range(SECOND..8 * SECOND),
                    );
                    w.faults.frozen_until.insert(node, w.now + long);
                }
                0 => w.state.down = !w.state.down,
                1 => {
                    w.faults.late_commit_rate = if w.faults.late_commit_rate > 0.0 {
                        0.0
                    } else {
                        0.1
                    }
                }
                2 => {
                    let pair = (w.rng.random_range(0..3), w.rng.random_range(0..3));
                    w.faults.partitioned.insert(pair);
                }
                3 => w.faults.partitioned.clear(),
                4 => w.cancel(round + 1),
                _ => {}
            }
            for _ in 0..w.rng.random_range(3..10) {
                let before = w.starts;
                w.run(1);
                early += usize::from(
                    w.starts > before && cluster(&w).is_some_and(|c| !c.takeover.settled),
                );
            }
        }
        terms += cluster(&w).map_or(0, |c| c.term);
        w.state.down = false;
        w.faults.late_commit_rate = 0.0;
        w.faults.partitioned.clear();
        w.cloud.no_deletes = false;
        w.workers
            .values_mut()
            .for_each(|m| m.hung_until = m.hung_until.min(w.now));
        (1..5).for_each(|i| w.cancel(i));
        w.run_until(300, "all are over", World::all_over);
        w.finish();
    }
    assert!(
        early > 15 && terms > 50,
        "{early} seconds with early starts, {terms} terms"
    );
}
