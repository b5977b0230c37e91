//! Short tests of large clusters: what is rented, kept and stopped, and what it costs to decide.

use crate::harness::{SECOND, World, job};
use crate::leader_view::{LeaderView, spec};
use gannethub_core::model::{JobSpec, Priority, Shape};
use gannethub_core::wire::worker::Order;
use serde_json::json;

#[test]
fn two_gangs_never_count_on_the_same_booting_machine() {
    let mut f = LeaderView::new();
    for (i, zone) in ["a", "a", "a", "b", "b"].iter().enumerate() {
        f.c.machine_or_adopt(&format!("host-{i}"), "large", zone, false, f.now);
    }
    for id in ["j-1", "j-2", "j-3"] {
        f.submit(id, spec(Shape::Gang, "red", 2, 30.0));
    }
    f.c.run_scheduling_pass(f.now);
    // Each in one zone; the third machine of zone a is half of what the third gang needs, and
    // half a gang's room is not kept at all.
    assert_eq!(
        [f.kept_for("j-1"), f.kept_for("j-2"), f.kept_for("j-3")],
        [2, 2, 0]
    );
    for m in
        f.c.machines
            .values()
            .filter(|m| m.active_reservation(f.now).is_some())
    {
        let same = |o: &&gannethub_core::state::machine::Machine| {
            o.active_reservation(f.now).map(|k| &k.job)
                == m.active_reservation(f.now).map(|k| &k.job)
        };
        assert!(f.c.machines.values().filter(same).all(|o| o.zone == m.zone));
    }
}

#[test]
fn a_gang_takes_the_room_kept_for_one_further_down_the_queue() {
    let mut f = LeaderView::new();
    for i in 0..2 {
        f.c.machine_or_adopt(&format!("host-{i}"), "large", "a", false, f.now);
    }
    f.submit("j-1", spec(Shape::Gang, "red", 2, 30.0));
    f.c.run_scheduling_pass(f.now);
    assert_eq!(f.kept_for("j-1"), 2);
    let first = JobSpec {
        priority: Priority::High,
        ..spec(Shape::Gang, "blue", 2, 30.0)
    };
    f.submit("j-2", first);
    f.pass(1);
    f.c.run_scheduling_pass(f.now);
    assert_eq!([f.kept_for("j-2"), f.kept_for("j-1")], [2, 0]);
}

#[test]
fn a_machine_overdue_to_boot_is_not_waited_for_when_room_can_be_made() {
    let mut f = LeaderView::new();
    f.machines("up", 3, "large", "a");
    f.submit("j-1", spec(Shape::Array, "blue", 96, 1.0));
    f.c.run_scheduling_pass(f.now);
    f.run_all();
    f.c.machine_or_adopt("late-0", "large", "a", false, f.now);
    for _ in 0..8 {
        f.pass(7);
        f.run_all();
    }
    f.submit("j-2", spec(Shape::Gang, "red", 1, 30.0));
    f.c.run_scheduling_pass(f.now);
    let attempts = f.c.machines.values().flat_map(|m| m.attempts.values());
    let stopped = attempts.filter(|a| a.stop_grace.is_some()).count();
    assert_eq!(stopped, 30, "room is made on a machine that is up");
}

#[test]
fn a_guarantee_is_made_room_for_by_stopping_no_more_than_was_borrowed() {
    // 96 CPUs of blue run, 32 above its guarantee: two large machines cannot be had from it.
    for (tasks, expected) in [(1, 30), (2, 0)] {
        let mut f = LeaderView::new();
        f.machines("up", 3, "large", "a");
        f.submit("j-1", spec(Shape::Array, "blue", 200, 1.0));
        f.c.run_scheduling_pass(f.now);
        f.run_all();
        assert_eq!(f.c.quota.team_usage[1].cpu, 96_000);
        f.submit("j-2", spec(Shape::Gang, "red", tasks, 30.0));
        f.c.run_scheduling_pass(f.now);
        let attempts = f.c.machines.values().flat_map(|m| m.attempts.values());
        assert_eq!(
            attempts.filter(|a| a.stop_grace.is_some()).count(),
            expected,
            "{tasks} tasks"
        );
        // Asked again, nothing more is stopped.
        f.pass(1);
        f.c.run_scheduling_pass(f.now);
        let attempts = f.c.machines.values().flat_map(|m| m.attempts.values());
        assert_eq!(
            attempts.filter(|a| a.stop_grace.is_some()).count(),
            expected
        );
    }
}

#[test]
fn an_urgent_array_has_room_made_for_it_on_the_only_machine_there_is() {
    let mut f = LeaderView::new();
    f.machines("up", 1, "large", "a");
    f.submit("j-1", spec(Shape::Array, "blue", 32, 1.0));
    f.c.run_scheduling_pass(f.now);
    f.run_all();
    let urgent = JobSpec {
        priority: Priority::High,
        ..spec(Shape::Array, "red", 1, 4.0)
    };
    f.submit("j-2", urgent);
    f.c.run_scheduling_pass(f.now);
    let attempts = f.c.machines.values().flat_map(|m| m.attempts.values());
    assert_eq!(attempts.filter(|a| a.stop_grace.is_some()).count(), 4);
}

#[test]
fn the_plan_sees_the_whole_queue_and_asks_for_it_in_large_requests() {
    let mut f = LeaderView::new();
    f.submit("j-1", spec(Shape::Array, "red", 2000, 1.0));
    f.submit("j-2", spec(Shape::Gang, "blue", 3, 30.0));
    f.pass(59);
    let rented = f.rent_all();
    let cpus: u32 = rented
        .iter()
        .map(|((f, _), n)| if f == "small" { 4 * n } else { 32 * n })
        .sum();
    assert!(cpus > 1500, "{rented:?}");
    let large = |zone: &str| {
        rented
            .get(&("large".into(), zone.into()))
            .copied()
            .unwrap_or(0)
    };
    assert!(
        large("a") >= 3 || large("b") >= 3,
        "a whole gang's room in one zone: {rented:?}"
    );
}

#[test]
fn nothing_is_rented_in_a_zone_from_which_nothing_is_heard_but_one_to_try_it() {
    let mut f = LeaderView::new();
    f.machines("cut", 6, "small", "a");
    let heard = f.machines("ok", 6, "small", "b");
    f.submit("j-1", spec(Shape::Array, "red", 400, 1.0));
    for _ in 0..8 {
        f.pass(1);
        heard
            .iter()
            .for_each(|n| drop(f.heartbeat(n, "small", "b", &[])));
    }
    f.c.plan_cloud_calls(f.now);
    assert!(f.c.zones.unreachable.contains_key("a") && !f.c.zones.unreachable.contains_key("b"));
    f.pass(52);
    heard
        .iter()
        .for_each(|n| drop(f.heartbeat(n, "small", "b", &[])));
    let rented = f.rent_all();
    assert!(rented.keys().any(|k| k.1 == "b"), "{rented:?}");
    let tried: u32 = rented
        .iter()
        .filter(|(k, _)| k.1 == "a")
        .map(|(_, n)| n)
        .sum();
    assert!(tried <= 1, "{rented:?}");
    f.heartbeat("new-0000", "small", "a", &[]);
    assert!(!f.c.zones.unreachable.contains_key("a"), "heard again");
}

#[test]
fn the_work_of_a_heartbeat_follows_what_changed() {
    let mut f = LeaderView::new();
    let names = f.machines("host", 400, "small", "a");
    for i in 0..20 {
        f.submit(&format!("j-{i}"), spec(Shape::Array, "red", 150, 1.0));
    }
    f.c.run_scheduling_pass(f.now);
    f.run_all();
    f.write();
    let running: Vec<Vec<(String, u64)>> = names
        .iter()
        .map(|n| {
            f.c.machines[n.as_str()]
                .attempts
                .keys()
                .map(|id| (id.task.to_string(), id.number))
                .collect()
        })
        .collect();
    assert!(running.iter().all(|r| r.len() == 4));
    // Heartbeats without news look at no other machine.
    let before = f.c.passes.steps.get();
    f.run_all();
    assert_eq!(f.c.passes.steps.get(), before);
    // A hundred machines with a task done each, at one moment: one look over the machines for
    // each of them, and not one for each job that waits.
    for (name, tasks) in names.iter().zip(&running).take(100) {
        let tasks: Vec<_> = tasks
            .iter()
            .enumerate()
            .map(|(i, (t, a))| (t.as_str(), *a, i == 0))
            .collect();
        let orders = f.heartbeat(name, "small", "a", &tasks);
        let starts = orders
            .iter()
            .filter(|o| matches!(o, Order::Start { .. }))
            .count();
        assert_eq!(starts, 1, "the room is used with the same answer");
    }
    let looks = f.c.passes.steps.get() - before;
    assert!(looks < 100 * 2 * 400, "{looks} looks for 100 heartbeats");
    // And a hundred completions of a few jobs are few changes.
    f.pass(3);
    let (calls, changes) = f.write();
    assert!(
        calls <= 4 && changes <= 20,
        "{calls} calls, {changes} changes"
    );
}

/// Hundreds of machines, thousands of tasks, small values and transactions, and a takeover.
#[test]
fn a_large_cluster_keeps_every_rule_through_a_takeover() {
    let mut w = World::with_settings(3, 40, 10.0, &|text| {
        text.replace("value_kb = 16.0", "value_kb = 4.0")
            .replace("cpus_max = 40.0", "cpus_max = 900.0")
            .replace("cpus_max = 16.0", "cpus_max = 300.0")
            .replace("write_rps = 100.0", "write_rps = 25.0")
            .replace("rps = 200.0", "rps = 70.0")
    });
    w.cloud.capacity = 240;
    w.run(2);
    w.submit(job(1, 1500, json!({})));
    w.submit(job(2, 700, json!({"crew": "red"})));
    for i in 3..8 {
        w.submit(job(
            i,
            3,
            json!({"shape": "group", "together": true, "vcpus": 4.0}),
        ));
    }
    w.run_until(40, "much is running", |w| w.starts > 600);
    let leader = w.leader().expect("someone leads");
    w.crash(leader, 6 * SECOND);
    w.workers.values_mut().take(5).for_each(|m| {
        m.dead = true;
        m.tasks.clear();
    });
    w.run_until(150, "all are done", World::all_over);
    w.finish();
}

#[test]
fn more_submissions_than_can_be_written_are_refused_at_once_and_accepted_later() {
    let mut w = World::with_settings(3, 41, 10.0, &|text| {
        text.replace("write_rps = 100.0", "write_rps = 25.0")
            .replace("rps = 200.0", "rps = 70.0")
    });
    w.run(2);
    (0..400).for_each(|i| w.submit(job(i, 1, json!({}))));
    w.run(1);
    let told = w.refusals.len();
    assert!(told > 100, "{told} were told to come back");
    assert!(
        w.refusals.iter().all(|t| *t < SECOND / 5),
        "none of them was held"
    );
    w.run_until(120, "all are accepted", |w| {
        w.jobs.values().all(|j| j.accepted.is_some())
    });
    assert!(w.broken.is_empty(), "{:?}", w.broken);
}
