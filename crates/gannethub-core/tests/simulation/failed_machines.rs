//! Tasks that failed on a machine which keeps other work: they start again, elsewhere if there is another machine.

use serde_json::{Value, json};

use crate::harness::{SECOND, World, job};

/// Time within which a task must start again if a machine has room for it.
const MAX_WAIT_S: u64 = 90;

/// Returns a world in which a service runs on one small machine, which fails all tasks that start from now on.
/// `machines`: number of machines that the cloud has.
fn world_with_failing_machine(seed: u64, machines: usize) -> (World, String) {
    let mut w = World::new(3, seed);
    w.limit_offers(&[("small", "a", false, machines)]);
    w.run(2);
    w.end_faults();
    w.submit(job(1, 1, json!({"shape": "service"})));
    w.run_until(30, "the service runs", |w| w.starts > 0);
    let machine = w.workers.keys().next().cloned().expect("a machine is up");
    w.workers.get_mut(&machine).expect("it is up").faulty = true;
    (w, machine)
}

/// Returns jobs of every shape, by their fields and number of tasks.
fn jobs_of_every_shape() -> Vec<(u32, Value)> {
    vec![
        (1, json!({})),
        (3, json!({})),
        (2, json!({"shape": "group"})),
        (2, json!({"shape": "group", "together": true})),
        (2, json!({"shape": "service"})),
        (2, json!({"together": true})),
    ]
}

fn running_tasks(w: &World, id: &str) -> usize {
    let prefix = format!("{id}/");
    let tasks = w.workers.values().flat_map(|m| m.tasks.keys());
    tasks.filter(|task| task.starts_with(&prefix)).count()
}

fn has_done_its_work(w: &World, id: &str, tasks: u32) -> bool {
    w.jobs[id].done_confirmed_at.is_some()
        || w.jobs[id].body["shape"] == "service" && running_tasks(w, id) == tasks as usize
}

/// Guards against tasks that are never started again because they failed on the region's only machine, where another
/// job keeps running.
#[test]
fn tasks_that_failed_on_the_only_machine_start_again() {
    for (seed, (tasks, fields)) in jobs_of_every_shape().into_iter().enumerate() {
        let (mut w, machine) = world_with_failing_machine(seed as u64, 1);
        w.submit(job(2, tasks, fields.clone()));
        w.run_until(30, "a task fails", |w| !w.failures.is_empty());
        w.run(1);
        w.workers.get_mut(&machine).expect("it is up").faulty = false;
        w.run_until(MAX_WAIT_S, &format!("{fields} runs again"), |w| {
            has_done_its_work(w, "j-000002", tasks)
        });
        w.finish();
    }
}

/// Guards against tasks that wait for the machine on which they failed instead of getting another one, and against
/// tasks that are started again on a faulty machine although the cloud has others.
#[test]
fn tasks_that_failed_on_a_faulty_machine_run_on_another() {
    for (seed, (tasks, fields)) in jobs_of_every_shape().into_iter().enumerate() {
        let (mut w, machine) = world_with_failing_machine(10 + seed as u64, 4);
        w.submit(job(2, tasks, fields.clone()));
        w.run_until(30, "a task fails", |w| !w.failures.is_empty());
        w.run(1);
        let failures = w.failures.len();
        w.run_until(60, &format!("{fields} runs elsewhere"), |w| {
            has_done_its_work(w, "j-000002", tasks)
        });
        assert_eq!(w.failures.len(), failures, "{fields}");
        let on_faulty = w.workers.get(&machine).map_or(0, |m| m.tasks.len());
        assert!(
            on_faulty <= 1,
            "only the service may be on the faulty machine"
        );
        w.finish();
    }
}

/// Guards against a job that is taken for unplaceable because a similar one avoids the only machine: a service whose
/// replica failed there while its other replica runs well.
#[test]
fn a_job_that_avoids_a_machine_keeps_no_similar_job_from_it() {
    let (mut w, machine) = world_with_failing_machine(30, 1);
    w.workers.get_mut(&machine).expect("it is up").faulty = false;
    w.submit(job(2, 2, json!({"shape": "service"})));
    w.run_until(30, "both replicas run", |w| {
        running_tasks(w, "j-000002") == 2
    });
    w.run(15);
    let worker = w.workers.get_mut(&machine).expect("it is up");
    worker.faulty = true;
    worker.tasks.remove("j-000002/1");
    w.run_until(30, "the lost replica fails when it starts again", |w| {
        !w.failures.is_empty()
    });
    // The replica's backoff is over, and it waits for the machine again.
    w.run(5);
    w.workers.get_mut(&machine).expect("it is up").faulty = false;
    let failed_at = w.now;
    w.submit(job(3, 1, json!({"shape": "service"})));
    w.run_until(20, "the similar job runs", |w| {
        running_tasks(w, "j-000003") == 1
    });
    assert!(w.now < failed_at + 20 * SECOND);
    w.run_until(MAX_WAIT_S, "the replica runs again", |w| {
        running_tasks(w, "j-000002") == 2
    });
    w.finish();
}
