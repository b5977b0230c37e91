//! Tests of large clusters: which machines are provisioned and reserved, which tasks are preempted, and how many
//! scheduling steps that takes.

use crate::harness::{SECOND, World, job};
use crate::leader_view::{LeaderView, spec};
use gannethub_core::model::{JobSpec, Priority, Shape};
use gannethub_core::wire::worker::Order;
use serde_json::json;

/// Guards against two gangs that reserve the same booting machine, and against reservations of a gang in more than
/// one zone.
#[test]
fn gangs_never_reserve_the_same_booting_machine() {
    let mut view = LeaderView::new();
    for (i, zone) in ["a", "a", "a", "b", "b"].iter().enumerate() {
        view.cluster
            .get_or_adopt_machine(&format!("host-{i}"), "large", zone, false, view.now);
    }
    for id in ["j-1", "j-2", "j-3"] {
        view.submit(id, spec(Shape::Gang, "red", 2, 30.0));
    }
    view.cluster.run_scheduling_pass(view.now);
    // Each gang has its reservations in one zone. The third machine of zone a is half of what the third gang needs,
    // and no reservation is made for half a gang.
    assert_eq!(
        [
            view.reserved_tasks("j-1"),
            view.reserved_tasks("j-2"),
            view.reserved_tasks("j-3")
        ],
        [2, 2, 0]
    );
    for m in view
        .cluster
        .machines
        .values()
        .filter(|m| m.active_reservation(view.now).is_some())
    {
        let same = |o: &&gannethub_core::state::machine::Machine| {
            o.active_reservation(view.now).map(|k| &k.job)
                == m.active_reservation(view.now).map(|k| &k.job)
        };
        assert!(
            view.cluster
                .machines
                .values()
                .filter(same)
                .all(|o| o.zone == m.zone)
        );
    }
}

/// Guards against a gang of high priority that waits behind the reservations of a gang later in the queue.
#[test]
fn a_gang_takes_reservations_of_a_gang_later_in_the_queue() {
    let mut view = LeaderView::new();
    for i in 0..2 {
        view.cluster
            .get_or_adopt_machine(&format!("host-{i}"), "large", "a", false, view.now);
    }
    view.submit("j-1", spec(Shape::Gang, "red", 2, 30.0));
    view.cluster.run_scheduling_pass(view.now);
    assert_eq!(view.reserved_tasks("j-1"), 2);
    let first = JobSpec {
        priority: Priority::High,
        ..spec(Shape::Gang, "blue", 2, 30.0)
    };
    view.submit("j-2", first);
    view.advance(1);
    view.cluster.run_scheduling_pass(view.now);
    assert_eq!(
        [view.reserved_tasks("j-2"), view.reserved_tasks("j-1")],
        [2, 0]
    );
}

/// Guards against a gang that waits for a machine long overdue to boot although preemption on a ready machine gives
/// it the capacity.
#[test]
fn a_gang_preempts_instead_of_waiting_for_an_overdue_machine() {
    let mut view = LeaderView::new();
    view.machines("up", 3, "large", "a");
    view.submit("j-1", spec(Shape::Array, "blue", 96, 1.0));
    view.cluster.run_scheduling_pass(view.now);
    view.run_all();
    view.cluster
        .get_or_adopt_machine("late-0", "large", "a", false, view.now);
    for _ in 0..8 {
        view.advance(7);
        view.run_all();
    }
    view.submit("j-2", spec(Shape::Gang, "red", 1, 30.0));
    view.cluster.run_scheduling_pass(view.now);
    let attempts = view
        .cluster
        .machines
        .values()
        .flat_map(|m| m.attempts.values());
    let stopped = attempts.filter(|a| a.stop_grace.is_some()).count();
    assert_eq!(stopped, 30, "tasks on a ready machine are preempted");
}

/// Guards against useless preemption: tasks are stopped for another team's guarantee only within the borrowed quota,
/// and only if that suffices for the whole gang. A second scheduling pass must preempt nothing more.
#[test]
fn preemption_for_a_guarantee_stops_only_borrowed_quota() {
    // Team blue uses 96 CPUs, 32 above its guarantee. Preemption of borrowed quota frees one large machine, but not
    // two.
    for (tasks, expected) in [(1, 30), (2, 0)] {
        let mut view = LeaderView::new();
        view.machines("up", 3, "large", "a");
        view.submit("j-1", spec(Shape::Array, "blue", 200, 1.0));
        view.cluster.run_scheduling_pass(view.now);
        view.run_all();
        assert_eq!(view.cluster.quota.team_usage[1].cpu, 96_000);
        view.submit("j-2", spec(Shape::Gang, "red", tasks, 30.0));
        view.cluster.run_scheduling_pass(view.now);
        let attempts = view
            .cluster
            .machines
            .values()
            .flat_map(|m| m.attempts.values());
        assert_eq!(
            attempts.filter(|a| a.stop_grace.is_some()).count(),
            expected,
            "gang of {tasks} tasks"
        );
        // A second scheduling pass preempts no further task.
        view.advance(1);
        view.cluster.run_scheduling_pass(view.now);
        let attempts = view
            .cluster
            .machines
            .values()
            .flat_map(|m| m.attempts.values());
        assert_eq!(
            attempts.filter(|a| a.stop_grace.is_some()).count(),
            expected
        );
    }
}

/// Guards against an array of high priority that waits on a full cluster: exactly as many tasks as it needs CPUs (4)
/// are preempted on the only machine.
#[test]
fn an_urgent_array_preempts_tasks_on_the_only_machine() {
    let mut view = LeaderView::new();
    view.machines("up", 1, "large", "a");
    view.submit("j-1", spec(Shape::Array, "blue", 32, 1.0));
    view.cluster.run_scheduling_pass(view.now);
    view.run_all();
    let urgent = JobSpec {
        priority: Priority::High,
        ..spec(Shape::Array, "red", 1, 4.0)
    };
    view.submit("j-2", urgent);
    view.cluster.run_scheduling_pass(view.now);
    let attempts = view
        .cluster
        .machines
        .values()
        .flat_map(|m| m.attempts.values());
    assert_eq!(attempts.filter(|a| a.stop_grace.is_some()).count(), 4);
}

/// Guards against a provisioning plan that covers only the head of the queue, that asks for machines in small
/// requests, or that spreads a gang over zones.
#[test]
fn the_provisioning_plan_covers_the_whole_queue() {
    let mut view = LeaderView::new();
    view.submit("j-1", spec(Shape::Array, "red", 2000, 1.0));
    view.submit("j-2", spec(Shape::Gang, "blue", 3, 30.0));
    view.advance(59);
    let provisioned = view.provision_all();
    let cpus: u32 = provisioned
        .iter()
        .map(|((type_name, _), n)| if type_name == "small" { 4 * n } else { 32 * n })
        .sum();
    assert!(cpus > 1500, "{provisioned:?}");
    let large = |zone: &str| {
        provisioned
            .get(&("large".into(), zone.into()))
            .copied()
            .unwrap_or(0)
    };
    assert!(
        large("a") >= 3 || large("b") >= 3,
        "no zone has capacity for the whole gang: {provisioned:?}"
    );
}

/// Guards against machines that are provisioned in a zone whose workers do not reach the leader. At most one machine
/// is provisioned there, as a probe, and a heartbeat from the zone makes it usable again.
#[test]
fn an_unreachable_zone_gets_at_most_one_probe_machine() {
    let mut view = LeaderView::new();
    view.machines("cut", 6, "small", "a");
    let reachable = view.machines("ok", 6, "small", "b");
    view.submit("j-1", spec(Shape::Array, "red", 400, 1.0));
    for _ in 0..8 {
        view.advance(1);
        reachable
            .iter()
            .for_each(|n| drop(view.heartbeat(n, "small", "b", &[])));
    }
    view.cluster.plan_cloud_calls(view.now);
    assert!(
        view.cluster.zones.unreachable.contains_key("a")
            && !view.cluster.zones.unreachable.contains_key("b")
    );
    view.advance(52);
    reachable
        .iter()
        .for_each(|n| drop(view.heartbeat(n, "small", "b", &[])));
    let provisioned = view.provision_all();
    assert!(provisioned.keys().any(|k| k.1 == "b"), "{provisioned:?}");
    let probed: u32 = provisioned
        .iter()
        .filter(|(k, _)| k.1 == "a")
        .map(|(_, n)| n)
        .sum();
    assert!(probed <= 1, "{provisioned:?}");
    view.heartbeat("new-0000", "small", "a", &[]);
    assert!(
        !view.cluster.zones.unreachable.contains_key("a"),
        "the zone is reachable again"
    );
}

/// Guards against costly heartbeats, with 400 machines and 20 waiting jobs. A heartbeat without changes may take no
/// scheduling step; one that frees capacity may take two steps per machine, but not per machine and job.
#[test]
fn the_cost_of_a_heartbeat_depends_only_on_its_changes() {
    let mut view = LeaderView::new();
    let names = view.machines("host", 400, "small", "a");
    for i in 0..20 {
        view.submit(&format!("j-{i}"), spec(Shape::Array, "red", 150, 1.0));
    }
    view.cluster.run_scheduling_pass(view.now);
    view.run_all();
    view.write();
    let running: Vec<Vec<(String, u64)>> = names
        .iter()
        .map(|n| {
            view.cluster.machines[n.as_str()]
                .attempts
                .keys()
                .map(|id| (id.task.to_string(), id.number))
                .collect()
        })
        .collect();
    assert!(running.iter().all(|r| r.len() == 4));
    // Heartbeats without changes take no scheduling steps on other machines.
    let before = view.cluster.passes.steps.get();
    view.run_all();
    assert_eq!(view.cluster.passes.steps.get(), before);
    // 100 machines report one completed task each at the same time. Each heartbeat may lead to one scan of the
    // machines, but not to one for each waiting job.
    for (name, tasks) in names.iter().zip(&running).take(100) {
        let tasks: Vec<_> = tasks
            .iter()
            .enumerate()
            .map(|(i, (t, a))| (t.as_str(), *a, i == 0))
            .collect();
        let orders = view.heartbeat(name, "small", "a", &tasks);
        let starts = orders
            .iter()
            .filter(|o| matches!(o, Order::Start { .. }))
            .count();
        assert_eq!(starts, 1, "freed capacity is used in the same answer");
    }
    let steps = view.cluster.passes.steps.get() - before;
    assert!(
        steps < 100 * 2 * 400,
        "{steps} scheduling steps for 100 heartbeats"
    );
    // 100 completions of a few jobs are stored in few changes.
    view.advance(3);
    let (calls, changes) = view.write();
    assert!(
        calls <= 4 && changes <= 20,
        "{calls} transactions with {changes} changes"
    );
}

/// Guards against faults that only size brings about: hundreds of machines, thousands of tasks, small stored values
/// and transactions, lost machines and a takeover.
#[test]
fn a_large_cluster_violates_no_invariant_in_a_takeover() {
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
    w.run_until(40, "more than 600 tasks have started", |w| w.starts > 600);
    let leader = w.leader().expect("a controller leads");
    w.crash(leader, 6 * SECOND);
    w.workers.values_mut().take(5).for_each(|m| {
        m.dead = true;
        m.tasks.clear();
    });
    w.run_until(150, "all jobs are done", World::all_jobs_ended);
    w.finish();
}

/// Guards against submissions that wait for the write rate limit of the state service (25 per second). Of 400
/// submissions at once, those above the limit must be refused within 0.2 s, and all must be accepted when users
/// retry.
#[test]
fn excess_submissions_are_refused_at_once_and_accepted_later() {
    let mut w = World::with_settings(3, 41, 10.0, &|text| {
        text.replace("write_rps = 100.0", "write_rps = 25.0")
            .replace("rps = 200.0", "rps = 70.0")
    });
    w.run(2);
    (0..400).for_each(|i| w.submit(job(i, 1, json!({}))));
    w.run(1);
    let refused = w.refusals.len();
    assert!(
        refused > 100,
        "only {refused} submissions were refused with a retry time"
    );
    assert!(
        w.refusals.iter().all(|t| *t < SECOND / 5),
        "every refusal came at once"
    );
    w.run_until(120, "all jobs are accepted", |w| {
        w.jobs.values().all(|j| j.accepted.is_some())
    });
    assert!(w.violations.is_empty(), "{:?}", w.violations);
}
