//! Situations that operators encountered: query storms, teams without a guarantee, machines that boot late, jobs that
//! never succeed.

use serde_json::json;

use gannethub_core::http::Answer;
use gannethub_core::model::{JobSpec, Shape};
use gannethub_core::reconcile::heartbeat::HeartbeatOutcome;
use gannethub_core::state::fleet::CloudCall;

use crate::harness::{SECOND, World, job};
use crate::leader_view::{LeaderView, spec};

/// Sets the request rates of a small state service: 70 requests and 25 writes per second.
fn slow_state(text: String) -> String {
    text.replace("write_rps = 100.0", "write_rps = 25.0")
        .replace("rps = 200.0", "rps = 70.0")
}

#[test]
fn query_storm_does_not_delay_cancellations() {
    let mut w = World::with_settings(3, 60, 10.0, &slow_state);
    w.run(2);
    (0..150).for_each(|i| w.submit(job(i, 1, json!({"shape": "service"}))));
    w.run_until(60, "all jobs are accepted", |w| {
        w.jobs.values().all(|j| j.accepted.is_some())
    });
    w.extra_queries = 40;
    w.run(5);
    (0..10).for_each(|i| w.cancel(i));
    w.run(60);
    // The users were told of the cancellations, and no cancelled task is left on any machine.
    w.check_cancelled();
    let told = w
        .jobs
        .values()
        .filter(|j| j.cancellation_confirmed_at.is_some())
        .count();
    assert_eq!(told, 10);
    w.finish();
}

#[test]
fn zero_limit_means_unlimited_and_unlisted_teams_are_refused() {
    let guest = "[[cluster.teams]]\nname = \"guest\"\n";
    let mut w = World::with_settings(1, 61, 10.0, &|text| text + guest);
    w.run(2);
    w.submit(job(1, 60, json!({"crew": "guest"})));
    w.run_until(120, "the guest's job is done", World::all_jobs_ended);
    w.submit_invalid(job(2, 1, json!({"crew": "stranger"})), "crew", 0);
    w.run(10);
    assert!(
        w.invalid_submissions.values().all(|o| o.refused == 1),
        "{:?}",
        w.invalid_submissions
    );
    w.finish();
}

#[test]
fn crash_looping_jobs_are_retried_less_and_blame_no_machine() {
    let mut w = World::new(3, 62);
    w.run(2);
    w.submit(job(1, 20, json!({"shape": "service"})));
    w.run_until(60, "the replicas run", |w| w.starts >= 20);
    w.submit(job(2, 15, json!({"jobclass": "broken"})));
    w.submit(job(3, 3, json!({"jobclass": "broken", "shape": "group"})));
    w.submit(job(4, 2, json!({"jobclass": "broken", "shape": "service"})));
    w.run(30);
    let (failed, machines) = (
        w.failures.len(),
        w.workers.keys().cloned().collect::<Vec<_>>(),
    );
    let old = w.leader().expect("a controller leads");
    w.crash(old, 6 * SECOND);
    w.run(90);
    // Each of the three jobs is tried only a few times: the new leader knows from its predecessor that they are
    // crash-looping.
    let more = w.failures.len() - failed;
    assert!((3..36).contains(&more), "{more} failures in 90 s");
    let cluster = w
        .leader()
        .and_then(|l| w.nodes[l].controller.as_ref()?.cluster());
    let blamed = cluster.map_or(0, |c| {
        c.machines
            .values()
            .filter(|m| m.lifecycle.quarantined)
            .count()
    });
    assert_eq!(blamed, 0);
    assert!(
        machines
            .iter()
            .filter(|m| w.workers.contains_key(*m))
            .count()
            >= 5,
        "fewer than five machines were kept"
    );
    // The cause of the failures is fixed: the array's next probe succeeds, and its other tasks start at once.
    w.jobs.get_mut("j-000002").expect("the job exists").body["jobclass"] = json!("c");
    w.run_until(180, "the array is done", |w| {
        w.jobs["j-000002"].done_confirmed_at.is_some()
    });
    (1..5).for_each(|i| w.cancel(i));
    w.run_until(60, "the rest is cancelled", World::all_jobs_ended);
    w.finish();
}

#[test]
fn late_heartbeat_of_a_deleted_machine_is_ignored() {
    let mut view = LeaderView::new();
    view.machines("host", 2, "large", "a");
    view.submit("j-1", spec(Shape::Array, "red", 2, 30.0));
    view.cluster.run_scheduling_pass(view.now);
    view.run_all();
    let mine: Vec<(String, u64)> = view.cluster.machines["host-0000"]
        .attempts
        .keys()
        .map(|id| (id.task.to_string(), id.number))
        .collect();
    // The first machine sends no heartbeat for longer than its lease and is deleted. The second one continues.
    for _ in 0..6 {
        view.advance(2);
        view.heartbeat("host-0001", "large", "a", &[]);
    }
    let calls = view.cluster.plan_cloud_calls(view.now);
    let delete = calls
        .into_iter()
        .find(|c| matches!(c, CloudCall::Delete { .. }));
    view.cluster.apply_cloud_answer(
        delete.expect("the silent machine is deleted"),
        &Ok(Answer::new(200, "{}")),
        view.now,
    );
    // A heartbeat that the deleted machine had sent before was delayed in the network. The machine's former task must
    // not wait for that machine again.
    view.advance(60);
    let tasks: Vec<_> = mine.iter().map(|(t, n)| (t.as_str(), *n, false)).collect();
    assert_eq!(
        view.try_heartbeat("host-0000", "large", "a", &tasks),
        HeartbeatOutcome::Stale
    );
    assert!(!view.cluster.machines.contains_key("host-0000"));
    assert!(
        view.cluster.jobs["j-1"]
            .tasks
            .live_attempts
            .values()
            .all(|live| &*live.machine != "host-0000")
    );
}

#[test]
fn consolidation_empties_and_returns_a_machine_when_idle() {
    let mut view = LeaderView::new();
    let names = view.machines("host", 3, "small", "a");
    view.submit("j-1", spec(Shape::Array, "red", 3, 3.0));
    let long = spec(Shape::Array, "red", 3, 1.0);
    let save = 3 * SECOND;
    view.submit(
        "j-2",
        JobSpec {
            run_time_estimate: 400 * SECOND,
            checkpoint_interval: 30 * SECOND,
            save_time: save,
            ..long
        },
    );
    view.cluster.run_scheduling_pass(view.now);
    view.run_all();
    // The tasks of j-1 end, and each machine is left with one long task.
    for name in &names {
        let attempts = view.cluster.machines[name.as_str()].attempts.keys();
        let tasks: Vec<_> = attempts
            .map(|id| (id.task.to_string(), id.number))
            .collect();
        assert_eq!(tasks.len(), 2);
        let ended = |t: &str| t.starts_with("j-1/");
        let tasks: Vec<_> = tasks
            .iter()
            .map(|(t, n)| (t.as_str(), *n, ended(t)))
            .collect();
        view.heartbeat(name, "small", "a", &tasks);
        view.heartbeat(name, "small", "a", &tasks[1..]);
    }
    let wait = |view: &mut LeaderView| {
        for _ in 0..40 {
            view.advance(1);
            view.run_all();
        }
        view.cluster.plan_cloud_calls(view.now);
        view.cluster
            .machines
            .values()
            .filter(|m| m.lifecycle.draining)
            .map(|m| m.id.to_string())
            .collect::<Vec<_>>()
    };
    view.submit("j-3", spec(Shape::Array, "red", 1, 30.0));
    assert!(
        wait(&mut view).is_empty(),
        "no consolidation while a task waits for capacity"
    );
    view.cluster.apply_job_end("j-3", u64::MAX, None);
    let leaving = wait(&mut view);
    assert_eq!(
        leaving.len(),
        1,
        "only a part of the machines is drained at a time"
    );
    let m = &view.cluster.machines[leaving[0].as_str()];
    assert!(
        m.attempts
            .values()
            .all(|a| a.stop_grace.is_some_and(|grace| grace > save))
    );
    assert!(!m.is_schedulable(view.now, SECOND));
    // After the task has saved a checkpoint, the machine is deleted and the task continues on another machine.
    view.heartbeat(&leaving[0], "small", "a", &[]);
    view.cluster.run_scheduling_pass(view.now);
    view.cluster.plan_cloud_calls(view.now);
    assert!(
        view.cluster.machines[leaving[0].as_str()]
            .lifecycle
            .deleting
    );
    assert!(
        view.cluster.jobs["j-2"]
            .tasks
            .live_attempts
            .values()
            .all(|live| *live.machine != *leaving[0])
    );
    assert_eq!(view.cluster.jobs["j-2"].tasks.live_attempts.len(), 3);
}

#[test]
fn takeover_does_not_wait_for_one_dead_machines_lease() {
    let mut w = World::new(3, 65);
    w.run(2);
    w.submit(job(1, 30, json!({"shape": "service"})));
    w.run_until(30, "the replicas run", |w| w.starts >= 30);
    let old = w.leader().expect("a controller leads");
    w.crash(old, 20 * SECOND);
    let dead = w.workers.values_mut().next().expect("a machine");
    dead.dead = true;
    dead.tasks.clear();
    w.run_until(8, "a new leader", |w| w.leader().is_some_and(|l| l != old));
    let settled = |w: &World| {
        let leader = w.leader().and_then(|l| w.nodes[l].controller.as_ref());
        leader
            .and_then(|c| c.cluster())
            .is_some_and(|c| c.takeover.is_settled)
    };
    w.run_until(6, "the takeover is settled", settled);
    w.finish();
}

#[test]
fn takeover_waits_for_an_unreachable_zone() {
    let mut w = World::new(3, 64);
    w.run(2);
    w.submit(job(1, 30, json!({"shape": "service"})));
    w.run_until(30, "the replicas run", |w| w.starts >= 30);
    let old = w.leader().expect("a controller leads");
    w.crash(old, 20 * SECOND);
    let hung = w.now + 9 * SECOND;
    let zone = w.workers.values().next().expect("a machine").zone.clone();
    let cut = w.workers.values_mut().filter(|m| m.zone == zone);
    let cut: Vec<String> = cut
        .map(|m| {
            m.hung_until = hung;
            m.name.clone()
        })
        .collect();
    assert!(cut.len() > 2);
    w.run(9);
    assert!(
        cut.iter().all(|m| w.workers.contains_key(m)),
        "a machine of the unreachable zone was deleted"
    );
    w.finish();
}

#[test]
fn preemption_covers_only_tasks_within_the_guarantee() {
    let checkpointing = |team: &str| JobSpec {
        checkpoint_interval: 30 * SECOND,
        save_time: 3 * SECOND,
        ..spec(Shape::Array, team, 80, 1.0)
    };
    let stopped = |view: &LeaderView| {
        let all = view
            .cluster
            .machines
            .values()
            .flat_map(|m| m.attempts.values());
        all.filter(|a| a.stop_grace.is_some()).count()
    };
    for (team, expected) in [("guest", 20), ("blue", 0)] {
        let mut view = LeaderView::new();
        view.machines("host", 20, "small", "a");
        view.submit("j-1", checkpointing(team));
        view.cluster.run_scheduling_pass(view.now);
        view.run_all();
        view.advance(2);
        view.run_all();
        // Twenty tasks are within the guarantee of their team, the other hundred are not.
        view.submit("j-2", spec(Shape::Array, "red", 20, 1.0));
        view.submit("j-3", spec(Shape::Array, "red", 100, 1.0));
        for _ in 0..3 {
            view.cluster.run_scheduling_pass(view.now);
            view.advance(1);
        }
        assert_eq!(stopped(&view), expected, "preempted tasks of team {team}");
    }
}

#[test]
fn queries_share_reads_and_unknown_ids_cost_one_read_each() {
    let mut w = World::new(3, 65);
    w.run(2);
    (0..60).for_each(|i| w.submit(job(i, 1, json!({"shape": "service"}))));
    w.run_until(60, "all jobs are accepted", |w| {
        w.jobs.values().all(|j| j.accepted.is_some())
    });
    w.run(20);
    let quiet = w.state.requests;
    w.run(10);
    let usual = w.state.requests - quiet;
    let polls = |w: &World| w.jobs.values().map(|j| j.polls).sum::<usize>();
    let (before, asked) = (w.state.requests, polls(&w));
    w.extra_queries = 30;
    w.run(10);
    w.extra_queries = 0;
    let answered = polls(&w) - asked;
    assert!(answered > 5500, "{answered} of some 6000 queries answered");
    let more = w.state.requests - before;
    // Each of the three controllers makes at most ten additional reads per second.
    assert!(
        more < usual + 330,
        "{more} requests against {usual} without the storm"
    );
    // Users send 200 queries per second for ten ids that were never submitted, to three controllers.
    let before = w.state.requests;
    for _ in 0..10 {
        (0..200).for_each(|i| w.send_request(&format!("j-77{:04}", i % 10), "poll"));
        w.run(1);
    }
    let more = w.state.requests - before;
    assert!(
        more < usual + 150,
        "{more} requests against {usual} without the flood"
    );
    w.finish();
}

#[test]
fn late_machines_are_given_up_and_early_heartbeats_are_used() {
    let mut w = World::new(3, 66);
    w.run(2);
    w.cloud.never_boot_probability = 0.3;
    w.cloud.boot = (SECOND, 20 * SECOND);
    w.cloud.list_lag = 15 * SECOND;
    w.submit(job(1, 60, json!({})));
    w.run_until(200, "the array is done", World::all_jobs_ended);
    // Machines that never booted have been returned as well.
    w.run(60);
    assert!(
        w.workers.is_empty(),
        "{} are still paid for",
        w.workers.len()
    );
    // Now machines boot at once, before the answer to the provision call and long before any list contains them.
    (w.cloud.never_boot_probability, w.cloud.boot) = (0.0, (1, 2));
    let starts_before = w.starts;
    w.submit(job(2, 8, json!({})));
    w.run_until(12, "all tasks run", |w| w.starts >= starts_before + 8);
    w.run_until(60, "the second is done", World::all_jobs_ended);
    w.finish();
}
