//! Tests of workers whose heartbeats arrive while answers and commands do not reach them, and of copies of heartbeats that
//! come late.

use crate::*;

/// Machines with work on them, and one of them.
fn working(seed: u64) -> (World, String) {
    let mut w = World::new(3, seed);
    w.run(2);
    w.submit(job(1, 12, json!({"guess_s": 60.0, "rigs": ["small"]})));
    w.run_until(60, "all of it runs", |w| w.starts >= 12);
    let busy = w
        .workers
        .values()
        .find(|x| !x.tasks.is_empty())
        .expect("one has work");
    let name = busy.name.clone();
    (w, name)
}

#[test]
fn nothing_more_is_placed_on_a_machine_that_gets_no_answers_and_it_is_returned() {
    for seed in 1..=6 {
        let (mut w, name) = working(seed);
        w.faults.unanswered_workers.insert(name.clone());
        for i in 2..=9 {
            w.submit(job(i, 8, json!({"rigs": ["small"]})));
            w.run(4);
        }
        w.run_until(120, "the machine is returned", |w| {
            !w.workers.contains_key(&name)
        });
        w.run_until(180, "all are over", World::all_over);
        w.finish();
    }
}

#[test]
fn a_zone_that_answers_do_not_reach_makes_nobody_wait_and_is_used_again() {
    for seed in 1..=6 {
        let (mut w, name) = working(seed);
        let zone = w.workers[&name].zone.clone();
        let deaf: Vec<String> = w
            .workers
            .values()
            .filter(|x| x.zone == zone)
            .map(|x| x.name.clone())
            .collect();
        w.faults.unanswered_workers.extend(deaf.iter().cloned());
        w.run(14);
        // The first session has ended: what is new, and what was lost, starts on machines that are rented for it.
        w.submit(job(2, 4, json!({"rigs": ["small"]})));
        let before = w.starts;
        w.run_until(20, "new work starts elsewhere", |w| w.starts >= before + 4);
        w.faults.unanswered_workers.clear();
        w.submit(job(3, 40, json!({"rigs": ["small"], "guess_s": 20.0})));
        w.run_until(180, "all are over", World::all_over);
        w.finish();
    }
}

/// Copies come after their session ended, their machine was deleted, their leader was replaced, at controllers that never
/// saw the original, and where nothing is left to compare them with.
#[test]
fn late_copies_of_heartbeats_revive_end_and_free_nothing() {
    for seed in 1..=10 {
        let mut w = World::new(3, seed);
        w.faults.heartbeat_copy_rate = 0.5;
        w.run(2);
        for i in 1..=5 {
            w.submit(job(2 * i, 8, json!({"rigs": ["small"]})));
            w.submit(job(
                2 * i + 1,
                3,
                json!({"shape": "group", "guess_s": 12.0}),
            ));
            w.run(6);
            if i % 2 == 0 {
                w.lose_leader(5 * SECOND);
            } else if let Some(name) = w
                .workers
                .values()
                .find(|x| !x.tasks.is_empty())
                .map(|x| x.name.clone())
            {
                // It is silent for longer than its lease and begins another session.
                let until = w.now + 12 * SECOND;
                w.workers.get_mut(&name).expect("just seen").hung_until = until;
            }
        }
        w.run_until(240, "all are over", World::all_over);
        // What is still under way comes to a cluster that has nothing left to do.
        w.run(30);
        assert!(w.counters.copied > 50, "{} copies came", w.counters.copied);
        w.finish();
    }
}

/// A leader loses the state service and its peers, but not its workers. It stops with its grant and sends them on; all
/// find the successor before their leases end, so that nothing that runs is lost. Back again, it acts on nothing old.
#[test]
fn the_workers_of_a_leader_that_has_only_them_find_its_successor_in_time() {
    for seed in 1..=8 {
        let (mut w, _) = working(seed);
        let old = w.leader().expect("one leads");
        let others: Vec<usize> = (0..w.nodes.len()).filter(|i| *i != old).collect();
        w.faults.store_refuses.insert(old);
        for i in &others {
            w.faults.partitioned.extend([(old, *i), (*i, old)]);
        }
        w.run_until(15, "another leads", |w| {
            w.leader().is_some_and(|l| l != old)
        });
        w.run(20);
        let before: Vec<(String, u64)> = w
            .workers
            .values()
            .map(|x| (x.name.clone(), x.session))
            .collect();
        assert!(
            before.iter().all(|(_, session)| *session == 1),
            "lost sessions: {before:?}"
        );
        let acts = w.nodes[old]
            .controller
            .as_ref()
            .is_some_and(|c| c.cluster().is_some());
        assert!(!acts, "it still leads");
        w.faults.store_refuses.clear();
        w.faults.partitioned.clear();
        w.submit(job(2, 8, json!({"rigs": ["small"]})));
        w.run_until(180, "all are over", World::all_over);
        w.finish();
    }
}
