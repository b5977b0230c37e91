//! Tests of one-way partitions, in which heartbeats of workers arrive while answers and commands do not reach the
//! workers, and of late copies of heartbeats.

use crate::*;

/// Returns a world in which an array of 12 tasks runs, and the name of a machine with tasks.
fn world_with_running_array(seed: u64) -> (World, String) {
    let mut w = World::new(3, seed);
    w.run(2);
    w.submit(job(1, 12, json!({"guess_s": 60.0, "rigs": ["small"]})));
    w.run_until(60, "the whole array runs", |w| w.starts >= 12);
    let busy = w
        .workers
        .values()
        .find(|x| !x.tasks.is_empty())
        .expect("a machine has tasks");
    let name = busy.name.clone();
    (w, name)
}

/// Guards against tasks that are placed again and again on a machine which cannot run them: its heartbeats arrive,
/// but no answer reaches it. The machine must be returned, and all jobs must end elsewhere.
#[test]
fn a_machine_without_answers_gets_no_tasks_and_is_returned() {
    for seed in 1..=6 {
        let (mut w, name) = world_with_running_array(seed);
        w.faults.unanswered_workers.insert(name.clone());
        for i in 2..=9 {
            w.submit(job(i, 8, json!({"rigs": ["small"]})));
            w.run(4);
        }
        w.run_until(120, "the machine is returned", |w| {
            !w.workers.contains_key(&name)
        });
        w.run_until(180, "all jobs have ended", World::all_jobs_ended);
        w.finish();
    }
}

/// Guards against jobs that wait for a zone whose workers receive no answers, and against a zone that stays unused
/// after the partition has ended.
#[test]
fn a_zone_without_answers_delays_no_job_and_is_used_again() {
    for seed in 1..=6 {
        let (mut w, name) = world_with_running_array(seed);
        let zone = w.workers[&name].zone.clone();
        let unanswered: Vec<String> = w
            .workers
            .values()
            .filter(|x| x.zone == zone)
            .map(|x| x.name.clone())
            .collect();
        w.faults
            .unanswered_workers
            .extend(unanswered.iter().cloned());
        w.run(14);
        // The first incarnations have ended. New tasks and lost tasks start on machines that are provisioned for
        // them.
        w.submit(job(2, 4, json!({"rigs": ["small"]})));
        let before = w.starts;
        w.run_until(20, "new work starts elsewhere", |w| w.starts >= before + 4);
        w.faults.unanswered_workers.clear();
        w.submit(job(3, 40, json!({"rigs": ["small"], "guess_s": 20.0})));
        w.run_until(180, "all jobs have ended", World::all_jobs_ended);
        w.finish();
    }
}

/// Guards against old heartbeats that revive or end tasks or free capacity. Copies arrive after their incarnation
/// ended, after their machine was deleted, after their leader was replaced, at controllers that never received the
/// original, and where nothing is left to compare them with.
#[test]
fn late_copies_of_heartbeats_change_no_state() {
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
                w.crash_leader(5 * SECOND);
            } else if let Some(name) = w
                .workers
                .values()
                .find(|x| !x.tasks.is_empty())
                .map(|x| x.name.clone())
            {
                // The machine is silent for 12 s, longer than its lease, and begins another incarnation.
                let until = w.now + 12 * SECOND;
                w.workers
                    .get_mut(&name)
                    .expect("the worker exists")
                    .hung_until = until;
            }
        }
        w.run_until(240, "all jobs have ended", World::all_jobs_ended);
        // Copies that are still under way arrive at a cluster without any work left.
        w.run(30);
        assert!(
            w.counters.heartbeat_copies_sent > 50,
            "only {} copies of heartbeats arrived",
            w.counters.heartbeat_copies_sent
        );
        w.finish();
    }
}

/// Guards against lost tasks when a leader loses the state service and its peers, but not its workers. The leader
/// stops with its store lease and redirects the workers; all find the new leader before their leases end, so that no
/// running task is lost. The old leader must not act on old state once it is back.
#[test]
fn workers_of_an_isolated_leader_find_its_successor_in_time() {
    for seed in 1..=8 {
        let (mut w, _) = world_with_running_array(seed);
        let old = w.leader().expect("a controller leads");
        let others: Vec<usize> = (0..w.nodes.len()).filter(|i| *i != old).collect();
        w.faults.store_refuses.insert(old);
        for i in &others {
            w.faults.partitioned.extend([(old, *i), (*i, old)]);
        }
        w.run_until(15, "another controller leads", |w| {
            w.leader().is_some_and(|l| l != old)
        });
        w.run(20);
        let incarnations: Vec<(String, u64)> = w
            .workers
            .values()
            .map(|x| (x.name.clone(), x.incarnation))
            .collect();
        assert!(
            incarnations
                .iter()
                .all(|(_, incarnation)| *incarnation == 1),
            "incarnations that ended early: {incarnations:?}"
        );
        let acts = w.nodes[old]
            .controller
            .as_ref()
            .is_some_and(|c| c.cluster().is_some());
        assert!(!acts, "the old leader still leads");
        w.faults.store_refuses.clear();
        w.faults.partitioned.clear();
        w.submit(job(2, 8, json!({"rigs": ["small"]})));
        w.run_until(180, "all jobs have ended", World::all_jobs_ended);
        w.finish();
    }
}
