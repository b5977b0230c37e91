//! Parts of a leader's work at three cluster sizes: a heartbeat that frees capacity, a scheduling pass over a queue for
//! which there is no capacity, a plan of the fleet, and a takeover. The result is the ratio between the sizes.
//!
//!     cargo bench -p gannethub-core --bench decide

#[allow(dead_code)]
#[path = "../tests/simulation/leader_view.rs"]
mod leader_view;

use std::cell::RefCell;
use std::hint::black_box;

use criterion::{BatchSize, BenchmarkId, Criterion, criterion_group, criterion_main};
use gannethub_core::model::{JobSpec, SECOND, Shape};
use gannethub_core::state::shard::{ChunkRecord, ShardMember};
use gannethub_core::wire::store::JobRecord;
use leader_view::{LeaderView, WALL, spec};

/// Cluster sizes, in machines.
const SIZES: [usize; 3] = [1000, 3000, 10_000];

/// Returns a full cluster with a queue whose length grows with the number of machines.
fn full_cluster(machines: usize) -> LeaderView {
    let cpus = machines as f64 * 6.8;
    let teams = [
        ("red", cpus * 0.5, cpus * 4.0),
        ("blue", cpus * 0.1, cpus * 4.0),
    ];
    let mut view = LeaderView::with(&teams, Some(20.0));
    view.machines("small", machines * 9 / 10, "small", "a");
    view.machines("large", machines / 10, "large", "b");
    view.submit(
        "j-1",
        JobSpec {
            checkpoint_interval: SECOND,
            ..spec(Shape::Array, "blue", 7 * machines as u32, 1.0)
        },
    );
    view.cluster.run_scheduling_pass(view.now);
    view.run_all();
    for i in 0..machines / 20 {
        let cpus = 0.6 + (i % 9) as f64 * 0.1;
        view.submit(
            &format!("j-{}", 2 * i + 2),
            spec(Shape::Array, "red", 40, cpus),
        );
        view.submit(
            &format!("j-{}", 2 * i + 3),
            spec(Shape::Gang, "red", 2, 30.0),
        );
    }
    view.cluster.run_scheduling_pass(view.now);
    view
}

fn decide(c: &mut Criterion) {
    let mut group = c.benchmark_group("decide");
    group.sample_size(20);
    for machines in SIZES {
        let mut view = full_cluster(machines);
        group.bench_with_input(BenchmarkId::new("pass", machines), &machines, |b, _| {
            b.iter(|| {
                view.now += 100_000;
                view.cluster.run_scheduling_pass(view.now);
            });
        });
        group.bench_with_input(BenchmarkId::new("plan", machines), &machines, |b, _| {
            b.iter(|| black_box(view.cluster.compute_machine_demand(view.now)));
        });
        // One task ends with each heartbeat, and another one takes its place. Scheduling passes are kept out of the
        // measurement by setting the time of the last pass.
        let view = RefCell::new(full_cluster(machines));
        let names: Vec<String> = (0..machines * 9 / 10)
            .map(|i| format!("small-{i:04}"))
            .collect();
        let mut next = 0;
        group.bench_with_input(BenchmarkId::new("report", machines), &machines, |b, _| {
            b.iter_batched(
                || {
                    next = (next + 1) % names.len();
                    let name = names[next].clone();
                    let tasks: Vec<(String, u64)> = view.borrow().cluster.machines[name.as_str()]
                        .attempts
                        .keys()
                        .map(|id| (id.task.to_string(), id.number))
                        .collect();
                    (name, tasks)
                },
                |(name, tasks)| {
                    let mut view = view.borrow_mut();
                    view.cluster.passes.last_at = view.now;
                    let done = tasks
                        .iter()
                        .enumerate()
                        .map(|(i, (t, n))| (t.as_str(), *n, i == 0));
                    black_box(view.heartbeat(&name, "small", "a", &done.collect::<Vec<_>>()))
                },
                BatchSize::PerIteration,
            );
        });
        group.bench_with_input(BenchmarkId::new("takeover", machines), &machines, |b, n| {
            b.iter(|| takeover(*n));
        });
    }
    group.finish();
}

/// Runs a takeover: reads the records of jobs and machines, handles a heartbeat of every machine, and runs a scheduling
/// pass. Returns the length of the queue.
fn takeover(machines: usize) -> usize {
    let cpus = machines as f64 * 6.8;
    let mut view = LeaderView::unread(&[("red", cpus * 0.5, cpus * 4.0)], Some(20.0));
    for i in 0..machines / 10 {
        let record = JobRecord::new(spec(Shape::Array, "red", 40, 1.0), WALL);
        view.cluster.apply_job_record(&format!("j-{i}"), record, 5);
    }
    let names: Vec<String> = (0..machines).map(|i| format!("host-{i:06}")).collect();
    for (chunk, names) in names.chunks(40).enumerate() {
        let member = ShardMember {
            machine_type: "small".into(),
            zone: "a".into(),
            spot: false,
        };
        let machines = names.iter().map(|n| (n.clone(), member.clone())).collect();
        let record = ChunkRecord {
            term: 0,
            owner: "n1".into(),
            machines,
        };
        view.cluster
            .apply_shard_chunk(&view.cluster.shard.chunk_key(chunk), record, 5);
    }
    view.cluster.finish_loading(view.now);
    names
        .iter()
        .for_each(|n| drop(view.heartbeat(n, "small", "a", &[])));
    view.advance(1);
    assert!(view.cluster.takeover.is_settled);
    view.cluster.run_scheduling_pass(view.now);
    view.cluster.passes.placement_order.len()
}

criterion_group!(benches, decide);
criterion_main!(benches);
