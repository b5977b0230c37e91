//! Tests of scheduling after a takeover, while some machines are unconfirmed: which launches the watermarks, votes
//! and limits allow, and which they forbid.

use gannethub_core::model::Shape;
use gannethub_core::state::cluster::Cluster;
use gannethub_core::state::shard::{ChunkRecord, ShardMember};
use gannethub_core::wire::store::JobRecord;
use rand::Rng;
use serde_json::{Value, json};

use crate::harness::{SECOND, WORKER_LEASE, World, job};
use crate::leader_view::{LeaderView, spec};

/// Returns the cluster state of the controller that leads.
fn leader_cluster(w: &World) -> Option<&Cluster> {
    let leader = w.nodes[w.leader()?].controller.as_ref()?;
    leader.cluster()
}

/// Whether the leader's takeover is settled: no machine is unconfirmed any more.
fn settled(w: &World) -> bool {
    leader_cluster(w).is_some_and(|c| c.takeover.is_settled)
}

/// Returns a world with three controllers. The replicas of a service (job 1) fill machines with 4 CPUs of their own,
/// beside an array of 24 tasks (job 9), which will end.
fn world_with_replicas(seed: u64, crew: &str, cpus: u32) -> World {
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

/// Hangs the machines with replicas until 0.5 s before the end of a lease that begins now, and makes the cloud delete
/// nothing. Returns the number of hung machines.
fn hang_machines_with_replicas(w: &mut World) -> usize {
    let until = w.now + WORKER_LEASE - SECOND / 2;
    w.cloud.deletes_fail = true;
    let replica = |t: &String| t.starts_with("j-000001");
    let hung = w
        .workers
        .values_mut()
        .filter(|m| m.tasks.keys().any(replica));
    hung.map(|m| m.hung_until = until).count()
}

/// Crashes the leader for 60 s and waits until another controller leads.
fn replace_leader(w: &mut World) {
    let old = w.leader().expect("a controller leads");
    w.crash(old, 60 * SECOND);
    w.run_until(15, "another controller leads", |w| {
        w.leader().is_some_and(|l| l != old)
    });
}

/// Changes every stored value under a prefix in place.
fn edit_stored_values(w: &mut World, prefix: &str, change: impl Fn(&mut Value)) {
    for key in w.state.keys(prefix) {
        let mut value = w.state.value(&key).cloned().expect("the key exists");
        change(&mut value);
        w.state.put(&key, &value.to_string());
    }
}

/// Guards against a new leader that starts nothing until its takeover is settled. Machines with replicas hang while
/// the leader is replaced; a new job must start within 6 s on the machines that have sent a heartbeat.
#[test]
fn new_tasks_start_while_other_machines_are_silent() {
    let mut w = world_with_replicas(1, "blue", 12);
    assert!(hang_machines_with_replicas(&mut w) > 2);
    replace_leader(&mut w);
    let before = w.starts;
    w.submit(job(2, 2, json!({"rigs": ["small"]})));
    w.run_until(6, "the new tasks start", |w| w.starts >= before + 2);
    assert!(!settled(&w) && leader_cluster(&w).is_some_and(|c| c.watermarks.reliable));
    w.run_until(120, "the new job is done", |w| {
        w.jobs["j-000002"].done_confirmed_at.is_some()
    });
    w.finish();
}

/// Guards against a task that runs twice. Machines hang over a takeover, and the new leader must not start elsewhere
/// any task that an unconfirmed machine may still run.
#[test]
fn tasks_of_unconfirmed_machines_start_nowhere_else() {
    for seed in 2..8 {
        let mut w = world_with_replicas(seed, "blue", 10);
        w.submit(job(2, 60, json!({"rigs": ["small"]})));
        w.run(3);
        hang_machines_with_replicas(&mut w);
        replace_leader(&mut w);
        w.run_until(150, "the array is done", |w| {
            w.jobs["j-000002"].done_confirmed_at.is_some()
        });
        w.finish();
    }
}

/// Proves that the checker detects a task that runs twice: the stored launch watermarks are set to 0, below the tasks
/// that run, so the new leader starts those tasks again.
#[test]
fn the_checker_detects_a_double_run_with_low_watermarks() {
    let mut w = world_with_replicas(9, "blue", 12);
    hang_machines_with_replicas(&mut w);
    edit_stored_values(&mut w, "gh/live/", |v| v["open"] = json!(0));
    replace_leader(&mut w);
    w.run(8);
    let twice = w
        .violations
        .iter()
        .any(|b| b.starts_with("ran_twice: j-000001"));
    assert!(
        twice,
        "the checker did not detect the double run: {:?}",
        w.violations
    );
}

/// Guards against a team above its limit after a takeover. The team has tasks on machines that hang, and the new
/// leader must count them until these machines are confirmed. In the second run edited job records hide these tasks
/// from the new leader, and the checker must detect the usage above the limit.
#[test]
fn the_team_limit_counts_tasks_on_unconfirmed_machines() {
    // The limit of team red is 16 CPUs, and 12 of them are in use on machines that hang.
    for (seed, guarded) in [(10, true), (10, false)] {
        let mut w = world_with_replicas(seed, "red", 12);
        hang_machines_with_replicas(&mut w);
        if !guarded {
            // The records say that no replica was launched and that none is to start again.
            edit_stored_values(&mut w, "gh/live/j-000001", |v| {
                (v["open"], v["done"]) = (json!(0), json!("0-11"))
            });
        }
        replace_leader(&mut w);
        w.submit(job(2, 12, json!({"crew": "red", "rigs": ["small"]})));
        w.run_until(6, "the allowed tasks start", |w| w.starts >= 40);
        let held = leader_cluster(&w).map_or(0, |c| {
            c.quota.team_usage[0].cpu + c.takeover.unconfirmed.possible_usage[0].cpu
        });
        assert!(!settled(&w));
        w.run(3);
        let over = w.violations.iter().any(|b| b.starts_with("quota"));
        assert_eq!(over, !guarded, "{:?}", w.violations);
        if guarded {
            assert_eq!(held, 16_000, "the whole limit counts as used");
            w.run(20);
            w.cancel(1);
            w.run_until(150, "the array is done", |w| {
                w.jobs["j-000002"].done_confirmed_at.is_some()
            });
            w.finish();
        }
    }
}

/// Guards against trust in stale launch watermarks. In an outage of the state service the leader launches tasks
/// without writing watermarks; the next leader must not rely on them until its takeover is settled.
#[test]
fn a_leader_after_an_outage_does_not_rely_on_watermarks() {
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
            "only {launched} tasks started, not more than the watermark covers"
        );
        w.cloud.deletes_fail = true;
        let until = w.now + WORKER_LEASE - SECOND / 2;
        w.workers
            .values_mut()
            .skip(1)
            .for_each(|m| m.hung_until = until);
        w.state.down = false;
        replace_leader(&mut w);
        assert!(leader_cluster(&w).is_some_and(|c| !c.watermarks.reliable));
        w.run_until(60, "the takeover is settled", settled);
        w.cloud.capacity = 40;
        w.cloud.deletes_fail = false;
        w.run_until(300, "the array is done", World::all_jobs_ended);
        w.finish();
    }
}

/// Guards against trust in unconfirmed launch watermarks. Both peers restart. If the leader confirms to them that the
/// watermarks are reliable, the peer that takes over relies on the watermarks; if a partition holds up the
/// confirmations, it does not.
#[test]
fn a_restarted_peer_relies_on_watermarks_only_if_confirmed() {
    for confirmed in [true, false] {
        let mut w = world_with_replicas(30, "blue", 12);
        let leader = w.leader().expect("a controller leads");
        (0..3)
            .filter(|n| *n != leader)
            .for_each(|n| w.crash(n, SECOND));
        w.run(2);
        if !confirmed {
            // No peer gets an answer from the leader before the leader crashes.
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
        replace_leader(&mut w);
        assert_eq!(
            leader_cluster(&w).map(|c| c.watermarks.reliable),
            Some(confirmed)
        );
        w.run(20);
        w.finish();
    }
}

/// Guards against trust in launch watermarks after an upgrade. The stored records lack the fields of watermarks, as
/// the previous release writes them; a new leader must not rely on watermarks until they cover all launches, and must
/// say so in the lease record. Only the leader after that relies on them.
#[test]
fn watermarks_are_unreliable_after_a_release_without_them() {
    let mut w = world_with_replicas(31, "blue", 12);
    let without = |v: &mut Value| {
        drop(
            v.as_object_mut()
                .map(|o| (o.remove("marked"), o.remove("open"))),
        )
    };
    edit_stored_values(&mut w, "gh/l", without);
    let marked = |w: &World| {
        w.state
            .value("gh/lead/term")
            .map(|v| v["marked"] == json!(true))
    };
    let old = w.leader().expect("a controller leads");
    w.crash(old, SECOND);
    w.run_until(12, "another controller leads", |w| {
        leader_cluster(w).is_some_and(|c| c.term > 1)
    });
    assert!(leader_cluster(&w).is_some_and(|c| !c.watermarks.reliable));
    assert_eq!(marked(&w), Some(false));
    w.run_until(
        30,
        "the lease record says that watermarks are reliable",
        |w| marked(w) == Some(true),
    );
    replace_leader(&mut w);
    assert!(leader_cluster(&w).is_some_and(|c| c.watermarks.reliable));
    w.run(20);
    w.finish();
}

/// Guards against a team above its limit between the end of loading and the first tick. Two unconfirmed machines may
/// run six tasks of a team with a limit of 8 CPUs, so from the first scheduling pass on only two more CPUs may be
/// used.
#[test]
fn limits_count_unconfirmed_tasks_right_after_loading() {
    let mut view = LeaderView::unread(&[("red", 8.0, 8.0)], None);
    view.cluster.watermarks.set_reliable(true);
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
    view.cluster.apply_job_record("j-1", record, 5);
    view.cluster.apply_shard_chunk("gh/block/0/0", chunk, 6);
    view.cluster.finish_loading(view.now);
    assert_eq!(
        view.cluster.takeover.unconfirmed.possible_usage[0].cpu, 6_000,
        "six tasks may run on the unconfirmed machines"
    );
    // The first machine reports two of these tasks before any tick. Two more CPUs of the limit are left, for tasks
    // from the watermark (6) on.
    view.heartbeat(
        "up-1",
        "small",
        "a",
        &[("j-1/0", 1, false), ("j-1/1", 1, false)],
    );
    view.cluster.run_scheduling_pass(view.now);
    let placed: Vec<u32> = view.cluster.machines["up-1"]
        .attempts
        .keys()
        .map(|id| id.task.index)
        .collect();
    assert_eq!(
        placed,
        [0, 1],
        "reported tasks count on top of the possible usage until the next tick computes it again"
    );
    view.advance(0);
    view.cluster.run_scheduling_pass(view.now);
    let placed: Vec<u32> = view.cluster.machines["up-1"]
        .attempts
        .keys()
        .map(|id| id.task.index)
        .collect();
    assert_eq!(placed, [0, 1, 6, 7]);
}

/// Guards against a successor that repeats finished tasks. A leader that cannot rely on watermarks finds a task that was
/// launched above its job's watermark and has ended; until the end is stored, only a watermark tells a successor about it.
/// So watermarks must not count as reliable before this one is durable.
#[test]
fn watermarks_cover_tasks_that_ended_above_them() {
    let mut view = LeaderView::unread(&[("red", 8.0, 8.0)], None);
    let member = ShardMember {
        machine_type: "small".into(),
        zone: "a".into(),
        spot: false,
    };
    let chunk = ChunkRecord {
        term: 1,
        owner: "n9".into(),
        machines: [("up-1".to_string(), member)].into(),
    };
    let mut record = JobRecord::new(spec(Shape::Array, "red", 20, 1.0), 1);
    record.watermark = Some(0);
    view.cluster.apply_job_record("j-1", record, 5);
    view.cluster.apply_shard_chunk("gh/block/0/0", chunk, 6);
    view.cluster.finish_loading(view.now);
    view.heartbeat("up-1", "small", "a", &[("j-1/9", 1, true)]);
    view.cluster.tick(view.now, view.now);
    assert!(view.cluster.takeover.is_settled);
    assert!(view.cluster.jobs["j-1"].tasks.done.contains(9));
    assert!(!view.cluster.watermarks_cover_all_launches());
    view.write();
    let persistence = &view.cluster.jobs["j-1"].persistence;
    assert!(persistence.durable_watermark >= 10 && persistence.durable_done.contains(9));
    assert!(view.cluster.watermarks_cover_all_launches());
}

/// Plays losses of leaders, machines, messages and the state service, so frequent that most takeovers begin before
/// the previous takeover is settled.
#[test]
fn overlapping_takeovers_violate_no_invariant() {
    let (mut early_seconds, mut terms) = (0, 0);
    for seed in 200..224 {
        let mut w = World::new(3, seed);
        w.cloud.capacity = 6;
        w.cloud.deletes_fail = seed % 2 == 0;
        w.run(2);
        for i in 1..5 {
            let shape = ["array", "array", "group", "service"][w.rng.random_range(0..4)];
            let crew = ["red", "blue"][w.rng.random_range(0..2)];
            let tasks = w.rng.random_range(2..12);
            let more = json!({"shape": shape, "crew": crew, "rigs": ["small"],
                "together": w.rng.random_bool(0.3), "stamp_every_s": 1.0, "stamp_s": 1.0});
            w.submit(job(i, tasks, more));
        }
        w.run_until(40, "tasks are running", |w| w.starts > 2);
        for round in 0..9 {
            let tasks = w.rng.random_range(1..6);
            w.submit(job(10 + round, tasks, json!({"rigs": ["small"]})));
            let until = w.now + w.rng.random_range(SECOND..WORKER_LEASE + 3 * SECOND);
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
                early_seconds += usize::from(
                    w.starts > before && leader_cluster(&w).is_some_and(|c| !c.takeover.is_settled),
                );
            }
        }
        terms += leader_cluster(&w).map_or(0, |c| c.term);
        w.state.down = false;
        w.faults.late_commit_rate = 0.0;
        w.faults.partitioned.clear();
        w.cloud.deletes_fail = false;
        w.workers
            .values_mut()
            .for_each(|m| m.hung_until = m.hung_until.min(w.now));
        (1..5).for_each(|i| w.cancel(i));
        w.run_until(300, "all jobs have ended", World::all_jobs_ended);
        w.finish();
    }
    assert!(
        early_seconds > 15 && terms > 50,
        "{early_seconds} seconds with starts before the takeover was settled, {terms} terms"
    );
}
