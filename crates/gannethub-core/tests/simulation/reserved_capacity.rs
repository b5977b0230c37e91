//! Capacity reserved for a gang beside other jobs: it must be of use to the gang soon, or be left to the others.

use gannethub_core::state::cluster::Cluster;
use serde_json::{Value, json};

use crate::harness::{SECOND, World, job};

/// Number of the gang in all tests.
const GANG: u32 = 1;

/// Returns a gang each of whose tasks needs a whole small machine.
fn gang_of_whole_machines(tasks: u32) -> Value {
    job(GANG, tasks, json!({"shape": "group", "vcpus": 4.0}))
}

/// Returns a world with a gang of three whole machines and two machines, which are up and idle.
fn world_with_incomplete_gang(seed: u64) -> World {
    let mut w = World::new(3, seed);
    w.limit_offers(&[("small", "a", false, 1), ("small", "b", false, 1)]);
    w.run(2);
    w.end_faults();
    w.submit(gang_of_whole_machines(3));
    w.run_until(30, "two machines are up", |w| {
        w.workers.values().filter(|m| m.token > 0).count() == 2
    });
    w
}

fn has_begun(w: &World, id: &str) -> bool {
    let prefix = format!("{id}/");
    w.workers
        .values()
        .any(|m| m.tasks.keys().any(|task| task.starts_with(&prefix)))
        || w.jobs[id].done_confirmed_at.is_some()
}

fn leading_cluster(w: &World) -> Option<&Cluster> {
    w.nodes[w.leader()?].controller.as_ref()?.cluster()
}

/// Returns the number of machines that are reserved for a job.
fn machines_reserved_for(w: &World, id: &str) -> usize {
    let machines = leading_cluster(w).map(|cluster| cluster.machines.values());
    let reserved = |machine: &&gannethub_core::state::machine::Machine| {
        machine
            .active_reservation(w.now)
            .is_some_and(|reservation| &*reservation.job == id)
    };
    machines.into_iter().flatten().filter(reserved).count()
}

/// Guards against idle machines that are kept for ever for a gang that the region has too few machines for, while
/// other jobs wait.
#[test]
fn jobs_of_every_shape_start_beside_a_gang_that_cannot_be_complete() {
    let others = [
        json!({"rank": "urgent"}),
        json!({"rank": "normal"}),
        json!({"rank": "low"}),
        json!({"shape": "service"}),
        json!({"shape": "group", "pieces": 2, "vcpus": 3.0}),
        json!({"shape": "array", "pieces": 2, "together": true}),
    ];
    for (seed, other) in others.into_iter().enumerate() {
        let mut w = world_with_incomplete_gang(seed as u64);
        let mut body = job(2, 1, json!({"crew": "red"}));
        let fields = body.as_object_mut().expect("a job is an object");
        fields.extend(other.as_object().cloned().unwrap_or_default());
        w.submit(body);
        w.run_until(30, &format!("{other} starts"), |w| has_begun(w, "j-000002"));
        w.cancel(GANG);
        w.run(5);
        w.finish();
    }
}

/// Guards against idle machines that are kept for a gang whose last machine a service occupies: the service has no
/// end, so its machine never becomes free.
#[test]
fn a_gang_does_not_wait_for_the_machine_of_a_service() {
    let mut w = World::new(3, 20);
    w.limit_offers(&[("small", "a", false, 2), ("small", "b", false, 1)]);
    w.run(2);
    w.end_faults();
    w.submit(job(2, 1, json!({"shape": "service", "vcpus": 1.0})));
    w.run_until(30, "the service runs", |w| has_begun(w, "j-000002"));
    w.submit(gang_of_whole_machines(3));
    w.run_until(60, "three machines are up", |w| {
        w.workers.values().filter(|m| m.token > 0).count() == 3
    });
    w.submit(job(3, 2, json!({"crew": "red", "vcpus": 3.0})));
    w.run_until(40, "the array starts", |w| has_begun(w, "j-000003"));
    w.finish();
}

/// Guards against idle machines that are kept for a gang behind a task that has long exceeded its estimate and may
/// never end.
#[test]
fn a_gang_does_not_wait_for_a_task_without_foreseeable_end() {
    let mut w = World::new(3, 21);
    w.run_time_range = (900 * SECOND, 901 * SECOND);
    w.limit_offers(&[("small", "a", false, 2), ("small", "b", false, 1)]);
    w.run(2);
    w.end_faults();
    w.submit(job(2, 1, json!({"guess_s": 5.0})));
    w.run_until(30, "the long task runs", |w| has_begun(w, "j-000002"));
    w.run(90);
    w.submit(gang_of_whole_machines(3));
    w.run_until(60, "three machines are up", |w| {
        w.workers.values().filter(|m| m.token > 0).count() == 3
    });
    w.submit(job(3, 2, json!({"crew": "red", "vcpus": 3.0})));
    w.run_until(40, "the array starts", |w| has_begun(w, "j-000003"));
    w.finish();
}

/// Guards against a gang that starves: its missing machine comes while a stream of small jobs uses all the others.
#[test]
fn a_gang_gets_its_missing_machine_beside_a_stream_of_small_jobs() {
    for seed in 30..33 {
        let mut w = world_with_incomplete_gang(seed);
        let mut next = 100;
        let submit_small_job = |w: &mut World, next: &mut u32| {
            w.submit(job(*next, 1, json!({"crew": "red", "vcpus": 2.0})));
            *next += 1;
            w.run(1);
        };
        for _ in 0..30 {
            submit_small_job(&mut w, &mut next);
        }
        assert!(!has_begun(&w, "j-000001"));
        w.limit_offers(&[("small", "a", false, 2), ("small", "b", false, 1)]);
        let mut waited = 0;
        while !has_begun(&w, "j-000001") {
            assert!(waited < 180, "the gang does not start in {waited} s");
            submit_small_job(&mut w, &mut next);
            waited += 1;
        }
        w.run_until(240, "all jobs are done", World::all_jobs_ended);
        w.finish();
    }
}

/// Guards against the same after a failover: machines that have confirmed the new term are reserved for a gang only
/// if the unconfirmed ones can complete it.
#[test]
fn a_failover_reserves_no_machine_for_a_gang_that_cannot_be_complete() {
    for (tasks, reserved) in [(3, false), (2, true)] {
        let mut w = world_with_incomplete_gang(40);
        w.cancel(GANG);
        w.run(3);
        let old = w.leader().expect("a controller leads");
        let silent = w.workers.keys().next().cloned().expect("a machine is up");
        w.crash(old, 30 * SECOND);
        let until = w.now + 12 * SECOND;
        w.workers.get_mut(&silent).expect("it is up").hung_until = until;
        // No launch watermark covers the new gang, so none of its tasks may be on the silent machine.
        w.submit(job(2, tasks, json!({"shape": "group", "vcpus": 4.0})));
        let is_unsettled = |w: &World| {
            leading_cluster(w).is_some_and(|cluster| {
                let mut machines = cluster.machines.values();
                !cluster.takeover.is_settled && machines.any(|m| m.worker.confirmed)
            })
        };
        w.run_until(20, "one machine is confirmed and one is not", is_unsettled);
        let mut was_reserved = false;
        while is_unsettled(&w) {
            was_reserved |= machines_reserved_for(&w, "j-000002") > 0;
            w.run_micros(SECOND / 2);
        }
        assert_eq!(was_reserved, reserved, "gang of {tasks} tasks");
        w.submit(job(3, 1, json!({"crew": "red"})));
        w.run_until(60, "the other job is done", |w| {
            w.jobs["j-000003"].done_confirmed_at.is_some()
        });
        w.finish();
    }
}

/// Guards against capacity that is kept for ever for a stage of a pipeline, on a machine where a service leaves too
/// little for the stage.
#[test]
fn a_stage_does_not_keep_the_machine_of_a_service() {
    let mut w = World::new(3, 50);
    w.limit_offers(&[("small", "a", false, 1)]);
    w.run(2);
    w.end_faults();
    w.submit(job(2, 1, json!({"shape": "service"})));
    w.run_until(30, "the service runs", |w| has_begun(w, "j-000002"));
    w.submit(job(3, 1, json!({"vcpus": 4.0})));
    w.submit(job(4, 1, json!({"waits_on": ["j-000003"]})));
    w.run(5);
    w.submit(job(5, 1, json!({"crew": "red"})));
    w.run_until(30, "the small job starts", |w| has_begun(w, "j-000005"));
    w.finish();
}

/// Guards against a gang that uses up its team's limit in the provisioning plan although it cannot be complete: nothing
/// would be provisioned for the team's other jobs.
#[test]
fn a_gang_that_cannot_be_complete_leaves_its_teams_limit_to_others() {
    let mut w = World::new(3, 60);
    w.limit_offers(&[
        ("small", "a", false, 1),
        ("small", "b", false, 1),
        ("gpu", "a", false, 1),
    ]);
    w.run(2);
    w.end_faults();
    let gang = json!({"shape": "group", "vcpus": 4.0, "crew": "red", "rigs": ["small"]});
    w.submit(job(GANG, 3, gang));
    w.run(20);
    // Of the limit of 16 the gang would leave 4.
    w.submit(job(2, 1, json!({"crew": "red", "vcpus": 6.0})));
    w.run_until(60, "the large task is done", |w| {
        w.jobs["j-000002"].done_confirmed_at.is_some()
    });
    w.finish();
}
