//! Tests that the cost of scheduling does not outgrow the cluster. The tests count scheduling steps (visits of
//! machines, jobs and lists) at two cluster sizes; none of them measures time.

use proptest::prelude::*;

use crate::harness::SECOND;
use crate::leader_view::{LeaderView, spec};
use gannethub_core::model::{JobSpec, Priority, Shape};
use gannethub_core::wire::worker::Order;

/// Returns a full cluster of `n` small machines and `n / 10` large machines, with a queue in proportion: arrays and
/// gangs of several shapes that find no capacity. Also returns the names of the small machines of zone a.
fn full_cluster(n: usize) -> (LeaderView, Vec<String>) {
    let cpus = n as f64 * 7.2;
    let teams = [
        ("red", cpus * 0.4, cpus * 4.0),
        ("blue", cpus * 0.1, cpus * 4.0),
    ];
    let mut view = LeaderView::with(&teams, Some(20.0));
    let names = view.machines("host", n / 2, "small", "a");
    view.machines("more", n / 2, "small", "b");
    view.machines("big", n / 20, "large", "a");
    view.machines("huge", n / 20, "large", "b");
    view.submit(
        "j-1",
        JobSpec {
            checkpoint_interval: SECOND,
            ..spec(Shape::Array, "blue", 7 * n as u32, 1.0)
        },
    );
    view.cluster.run_scheduling_pass(view.now);
    view.run_all();
    view.advance(1);
    for i in 0..n / 10 {
        let cpus = 0.6 + (i % 9) as f64 * 0.1;
        view.submit(
            &format!("j-{}", 2 * i + 2),
            spec(Shape::Array, "red", 40, cpus),
        );
        let team = if i % 2 == 0 { "red" } else { "blue" };
        view.submit(
            &format!("j-{}", 2 * i + 3),
            spec(Shape::Gang, team, 1 + (i % 3) as u32, 30.0),
        );
    }
    assert_eq!(view.cluster.index_inconsistencies(), Vec::<String>::new());
    (view, names)
}

/// Number of scheduling steps that `work` takes.
fn count_steps(view: &mut LeaderView, work: impl FnOnce(&mut LeaderView)) -> f64 {
    let before = view.cluster.passes.steps.get();
    work(view);
    (view.cluster.passes.steps.get() - before) as f64
}

/// Guards against scheduling cost that outgrows the cluster: with three times the machines and jobs, passes, plans
/// and heartbeats may take at most 3.6 times the scheduling steps.
#[test]
fn scheduling_cost_grows_no_faster_than_a_full_cluster() {
    // Costs in this order: the first pass, which preempts tasks; a pass in which nothing can be done; a provisioning
    // plan; heartbeats that free capacity.
    let costs = |n: usize| {
        let (mut view, names) = full_cluster(n);
        let first = count_steps(&mut view, |view| view.cluster.run_scheduling_pass(view.now));
        view.advance(1);
        let idle = count_steps(&mut view, |view| view.cluster.run_scheduling_pass(view.now));
        let plan = count_steps(&mut view, |v| drop(v.cluster.compute_machine_demand(v.now)));
        view.write();
        let mut starts = 0;
        let reports = count_steps(&mut view, |view| {
            for name in names.iter().take(n / 20) {
                let on_it: Vec<(String, u64)> = view.cluster.machines[name.as_str()]
                    .attempts
                    .keys()
                    .map(|id| (id.task.to_string(), id.number))
                    .collect();
                let done = on_it
                    .iter()
                    .enumerate()
                    .map(|(i, (t, a))| (t.as_str(), *a, i < 2));
                let orders = view.heartbeat(name, "small", "a", &done.collect::<Vec<_>>());
                starts += orders
                    .iter()
                    .filter(|o| matches!(o, Order::Start { .. }))
                    .count();
            }
        });
        assert!(
            starts >= n / 20,
            "freed capacity is not used: {starts} starts"
        );
        [first, idle, plan, reports]
    };
    let (small, large) = (costs(400), costs(1200));
    for (what, (small, large)) in ["first pass", "pass", "plan", "heartbeats"]
        .iter()
        .zip(small.iter().zip(&large))
    {
        assert!(*small > 0.0);
        assert!(
            large / small < 3.6,
            "{what}: {small} scheduling steps, {large} at three times the size"
        );
    }
}

/// Guards against a pass that scans all empty machines for every job: with three times the machines and jobs, a pass
/// may take at most 3.6 times the scheduling steps.
#[test]
fn an_empty_cluster_is_not_scanned_for_every_job() {
    let cost = |n: usize| {
        let cpus = n as f64 * 4.0;
        let mut view = LeaderView::with(&[("red", cpus, cpus)], Some(20.0));
        view.machines("host", n, "small", "a");
        (0..n / 20)
            .for_each(|i| view.submit(&format!("j-{i}"), spec(Shape::Array, "red", 40, 1.0)));
        let steps = count_steps(&mut view, |view| view.cluster.run_scheduling_pass(view.now));
        let placed: usize = view
            .cluster
            .machines
            .values()
            .map(|m| m.attempts.len())
            .sum();
        assert_eq!(placed, n / 20 * 40, "every task finds capacity");
        steps
    };
    let (small, large) = (cost(1000), cost(3000));
    assert!(
        large / small < 3.6,
        "{small} scheduling steps, {large} at three times the size"
    );
}

/// Guards against tasks on machines that have been silent for seconds, and against machines that stay unused after
/// their next heartbeat.
#[test]
fn a_silent_machine_gets_no_tasks_until_its_next_heartbeat() {
    let mut view = LeaderView::new();
    view.machines("quiet", 3, "small", "a");
    view.machines("up", 1, "small", "b");
    view.advance(4);
    view.heartbeat("up-0000", "small", "b", &[]);
    view.advance(1);
    view.submit("j-1", spec(Shape::Array, "red", 12, 1.0));
    view.cluster.run_scheduling_pass(view.now);
    let on = |view: &LeaderView, name: &str| view.cluster.machines[name].attempts.len();
    assert_eq!([on(&view, "up-0000"), on(&view, "quiet-0000")], [4, 0]);
    view.heartbeat("quiet-0001", "small", "a", &[]);
    view.cluster.run_scheduling_pass(view.now);
    assert_eq!(
        [on(&view, "quiet-0001"), on(&view, "quiet-0000")],
        [4, 0],
        "a machine gets tasks again after a heartbeat"
    );
    assert_eq!(view.cluster.index_inconsistencies(), Vec::<String>::new());
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(48))]

    /// Guards against a queue order that drifts from the full order: an arriving job is inserted where a computation
    /// of the whole order would put it.
    #[test]
    fn incremental_queue_order_equals_a_full_reorder(
        jobs in proptest::collection::vec((0..3usize, 1..60u32, 1..40u32, 0..3u8), 1..40),
        cut in 0..40usize,
    ) {
        let submit = |view: &mut LeaderView, from: usize, to: usize| {
            for (i, (team, tasks, cpus, priority)) in jobs.iter().enumerate().take(to).skip(from) {
                let team = ["red", "blue", "guest"][*team];
                let priority = [Priority::Low, Priority::Normal, Priority::High][*priority as usize];
                let job = spec(Shape::Array, team, *tasks, f64::from(*cpus) / 10.0);
                view.submit(&format!("j-{i:03}"), JobSpec { priority, ..job });
            }
        };
        let order = |view: &LeaderView| view.cluster.queue.jobs().map(|(id, w)| (id.clone(), w)).collect::<Vec<_>>();
        let cut = cut.min(jobs.len());
        let mut incremental = LeaderView::new();
        submit(&mut incremental, 0, cut);
        incremental.cluster.update_queue_order(incremental.now);
        submit(&mut incremental, cut, jobs.len());
        incremental.cluster.update_queue_order(incremental.now);
        let mut recomputed = LeaderView::new();
        submit(&mut recomputed, 0, jobs.len());
        recomputed.cluster.update_queue_order(recomputed.now);
        prop_assert_eq!(order(&incremental), order(&recomputed));
    }
}
