//! Stories in which two troubles meet.

use crate::*;
use sim::CANCEL;

/// Work that outlasts any outage here: eight arrays, of two tasks each, on machines.
fn long(nodes: usize, seed: u64) -> World {
    let mut w = World::new(nodes, seed);
    w.runs = (200 * SECOND, 300 * SECOND);
    w.run(2);
    for i in 1..=8 {
        w.submit(job(i, 2, json!({"guess_s": 250.0, "rigs": ["small"]})));
    }
    w.run_until(60, "all of it runs", |w| w.starts >= 16);
    w.run(5);
    w
}

fn others(w: &World, old: usize) -> Vec<usize> {
    (0..w.nodes.len()).filter(|i| *i != old).collect()
}

fn told(w: &World, jobs: std::ops::RangeInclusive<u32>) -> bool {
    jobs.into_iter().all(|i| w.jobs[&format!("j-{i:06}")].told_cancelled.is_some())
}

/// Nothing of the cancelled jobs is on a machine that can still do anything with it.
fn gone(w: &World, jobs: std::ops::RangeInclusive<u32>) -> bool {
    let ids: Vec<String> = jobs.map(|i| format!("j-{i:06}")).collect();
    let on = |x: &sim::Worker| {
        x.tasks.values().any(|t| t.on_machine() && ids.iter().any(|i| t.name.starts_with(&**i)))
    };
    !w.workers.values().any(|x| !x.dead && on(x))
}

/// The state service refuses the leader alone; a sibling confirms cancellations; then the state service is down for all
/// for longer than a cancellation has, while the workers report to the old leader.
#[test]
fn a_cancellation_that_the_old_leader_never_read_is_carried_out_in_time() {
    for seed in 1..=8 {
        let mut w = long(3, seed);
        let old = w.leader().expect("one leads");
        let near = others(&w, old)[seed as usize % 2];
        w.refused.insert(old);
        (1..=4).for_each(|i| w.cancel_at(i, near));
        w.run_until(1, "the users are told", |w| told(w, 1..=4));
        w.state.down = true;
        w.run(CANCEL / SECOND + 25);
        assert!(gone(&w, 1..=4), "seed {seed}: it runs on");
        assert_eq!(w.broken, Vec::<String>::new(), "seed {seed}");
        w.state.down = false;
        w.refused.clear();
        w.run(40);
        (5..=8).for_each(|i| w.cancel(i));
        w.run_until(180, "all are over", World::all_over);
        w.finish();
    }
}
