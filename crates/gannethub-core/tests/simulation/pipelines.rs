//! Tests of pipelines: jobs that wait for upstream jobs.

use gannethub_core::model::{JobSpec, Priority, Shape};
use gannethub_core::state::fleet::CloudCall;
use gannethub_core::wire::store::WaitingRecord;
use serde_json::json;

use crate::harness::{CANCEL_DEADLINE, SECOND, World, job};
use crate::leader_view::{LeaderView, WALL, spec};

/// Returns the body of a job that waits for the given upstream jobs.
fn job_after(id: u32, tasks: u32, on: &[u32]) -> serde_json::Value {
    let on: Vec<String> = on.iter().map(|i| format!("j-{i:06}")).collect();
    job(id, tasks, json!({"waits_on": on}))
}

/// Submits a job and waits until it is accepted: users name a job only after it was accepted.
fn submit_accepted(w: &mut World, body: serde_json::Value) {
    let id = body["id"].as_str().expect("the body has an id").to_string();
    w.submit(body);
    w.run_until(20, "the job is accepted", |w| {
        w.jobs[&id].accepted.is_some()
    });
}

/// Whether the user was told that the job is done.
fn done(w: &World, id: u32) -> bool {
    w.jobs[&format!("j-{id:06}")].done_confirmed_at.is_some()
}

/// Whether the user was told that the job is cancelled.
fn cancelled(w: &World, id: u32) -> bool {
    w.jobs[&format!("j-{id:06}")]
        .cancellation_confirmed_at
        .is_some()
}

/// Submits a diamond of four jobs: job 2 and job 3 (a gang, which names job 1 twice) wait for job 1, and job 4 (of
/// another team) waits for both.
fn submit_diamond(w: &mut World) {
    submit_accepted(w, job(1, 4, json!({})));
    submit_accepted(w, job_after(2, 5, &[1]));
    let mut gang = job_after(3, 3, &[1, 1]);
    gang["shape"] = json!("group");
    submit_accepted(w, gang);
    let mut last = job_after(4, 2, &[2, 3]);
    last["crew"] = json!("red");
    submit_accepted(w, last);
}

/// Guards against stages that start before their upstream jobs are done, and against a job that waits for upstream
/// jobs which were done before it was submitted.
#[test]
fn a_diamond_runs_in_order_and_a_late_job_at_once() {
    let mut w = World::new(3, 404);
    w.run(2);
    submit_diamond(&mut w);
    w.run_until(180, "all jobs are done", World::all_jobs_ended);
    submit_accepted(&mut w, job_after(5, 2, &[4, 1]));
    assert!(
        w.state
            .value("gh/live/j-000005")
            .expect("the job record exists")["waiting"]
            .is_null()
    );
    w.run_until(60, "the job submitted last is done", World::all_jobs_ended);
    w.finish();
}

/// Guards against stages that start early or never. All controllers crash four times, and 15 % of the transactions
/// are carried out late.
#[test]
fn crashes_start_no_stage_early_and_lose_no_stage() {
    for seed in 61..64 {
        let mut w = World::new(3, seed);
        w.run(2);
        submit_diamond(&mut w);
        w.faults.late_commit_rate = 0.15;
        for _ in 0..4 {
            (0..3).for_each(|n| w.crash(n, 3 * SECOND));
            w.run(14);
        }
        w.faults.late_commit_rate = 0.0;
        w.run_until(240, "all jobs are done", World::all_jobs_ended);
        w.finish();
    }
}

/// Guards against downstream jobs that wait for a cancelled job for ever, and against cancellations of unrelated
/// jobs. All downstream jobs must be reported as cancelled within 35 s.
#[test]
fn a_cancellation_cancels_all_downstream_jobs_and_no_other() {
    let mut w = World::new(3, 65);
    w.run(2);
    submit_accepted(&mut w, job(1, 30, json!({"vcpus": 2.0})));
    submit_accepted(&mut w, job(9, 3, json!({})));
    for i in 2..8 {
        submit_accepted(&mut w, job_after(i, 2, &[i - 1]));
    }
    submit_accepted(&mut w, job_after(10, 2, &[9, 5]));
    submit_accepted(&mut w, job_after(11, 2, &[9]));
    w.cancel(1);
    w.run_until(10, "the upstream job is cancelled", |w| cancelled(w, 1));
    w.run_until(
        CANCEL_DEADLINE / SECOND,
        "all downstream jobs are cancelled",
        |w| (2..8).chain([10]).all(|i| cancelled(w, i)),
    );
    // A downstream job submitted after the cancellation is accepted all the same.
    submit_accepted(&mut w, job_after(12, 1, &[7]));
    w.run_until(60, "all jobs have ended", World::all_jobs_ended);
    assert!(done(&w, 9) && done(&w, 11) && cancelled(&w, 12));
    w.run_until(20, "no live job record is left", |w| {
        w.state.keys("gh/live/").is_empty()
    });
    w.finish();
}

/// Guards against outdated answers while no controller leads: a follower must derive from the cancellation of the
/// upstream job that the downstream jobs are cancelled.
#[test]
fn followers_report_upstream_cancellations_without_a_leader() {
    let mut w = World::new(3, 404);
    w.run(2);
    submit_accepted(&mut w, job(1, 30, json!({"vcpus": 2.0})));
    submit_accepted(&mut w, job_after(2, 2, &[1]));
    submit_accepted(&mut w, job_after(3, 2, &[2]));
    w.run_until(30, "the upstream job runs", |w| w.starts > 0);
    w.cancel(1);
    w.run_until(10, "the upstream job is cancelled", |w| cancelled(w, 1));
    // The leader stays away for 60 s. The others return after 1 s and stay passive for a while after their restart,
    // so none of them has stored the downstream cancellations by then.
    let leader = w.leader().expect("a controller leads");
    (0..3).for_each(|n| w.crash(n, if n == leader { 60 * SECOND } else { SECOND }));
    w.run(3);
    assert!(w.leader().is_none());
    w.run_until(3, "the last downstream job is reported as cancelled", |w| {
        cancelled(w, 3)
    });
    assert!(w.leader().is_none());
    w.run_until(120, "no live job record is left", |w| {
        w.state.keys("gh/live/").is_empty()
    });
    w.finish();
}

/// Guards against a cancellation that is taken back. Transactions are carried out late and without an answer, and an
/// outage of the state service follows the cancellation of a middle stage.
#[test]
fn late_transactions_undo_no_cancellation_in_a_pipeline() {
    for seed in 67..70 {
        let mut w = World::new(3, seed);
        w.run(2);
        submit_diamond(&mut w);
        w.run_until(60, "the first stage is done", |w| done(w, 1));
        w.faults.late_commit_rate = 0.3;
        w.cancel(2);
        w.run(3);
        w.state.down = true;
        w.run(6);
        w.state.down = false;
        w.run(10);
        w.faults.late_commit_rate = 0.0;
        w.run_until(240, "all jobs have ended", World::all_jobs_ended);
        // Either the stage was done before the cancellation was stored, or the last stage was cancelled with it.
        assert_eq!(cancelled(&w, 2), cancelled(&w, 4));
        assert!(done(&w, 3));
        w.finish();
    }
}

/// Guards against refusals by an outdated read. A job that names an unknown upstream job is refused; once the
/// upstream job is accepted, no controller may refuse the job because of what it read before.
#[test]
fn unknown_upstream_ids_are_refused_by_fresh_reads_only() {
    let mut w = World::new(3, 71);
    w.run(2);
    w.submit(job_after(2, 1, &[1]));
    w.run(1);
    assert!(
        w.jobs["j-000002"].accepted.is_none(),
        "the job names an upstream job that was not accepted"
    );
    // By now every controller has looked up the upstream id and has found no job.
    for _ in 0..6 {
        w.send_request("j-000002", "submit");
    }
    w.run(1);
    submit_accepted(&mut w, job(1, 2, json!({})));
    for _ in 0..6 {
        w.send_request("j-000002", "submit");
    }
    w.run(1);
    assert!(w.jobs["j-000002"].accepted.is_some());
    w.run_until(120, "both jobs are done", World::all_jobs_ended);
    w.finish();
}

/// Guards against values and transactions above the limits of the state service (2 KB and 4 changes). 120 jobs wait
/// for one job, one job waits for these 120, and 60 jobs wait for that one; the stages are released and cancelled.
#[test]
fn wide_pipelines_fit_into_small_values_and_transactions() {
    let limits = "[cluster.state.next]\nvalue_kb = 2.0\ntxn_ops = 4\n[cluster.cloud]";
    let mut w = World::with_settings(3, 72, 10.0, &|t| t.replace("[cluster.cloud]", limits));
    w.state.limits = (2048, 4);
    w.run(2);
    submit_accepted(&mut w, job(1, 1, json!({})));
    (100..220).for_each(|i| w.submit(job_after(i, 1, &[1])));
    w.run_until(60, "the wide stage is accepted", |w| {
        w.jobs.values().all(|j| j.accepted.is_some())
    });
    submit_accepted(&mut w, job_after(300, 1, &(100..220).collect::<Vec<u32>>()));
    (400..460).for_each(|i| w.submit(job_after(i, 1, &[300])));
    w.run_until(60, "the last stage is accepted", |w| {
        w.jobs.values().all(|j| j.accepted.is_some())
    });
    w.run_until(400, "the wide stage is done", |w| {
        (100..220).all(|i| done(w, i))
    });
    w.cancel(300);
    w.run_until(60, "all jobs have ended", World::all_jobs_ended);
    assert_eq!(w.state.too_large, 0);
    w.finish();
}

/// Guards against waiting jobs that take capacity or quota: a waiting job is not among the jobs that can be placed,
/// and its status names its upstream jobs.
#[test]
fn a_waiting_job_uses_nothing_and_shows_its_upstream_jobs() {
    let mut w = World::new(1, 73);
    w.run(2);
    // Job 1 is an array, because a service never ends. Team red has quota left for one task of the waiting job, but
    // that job is not ready.
    submit_accepted(&mut w, job(1, 12, json!({"crew": "red", "vcpus": 1.0})));
    submit_accepted(
        &mut w,
        job(
            2,
            4,
            json!({"crew": "red", "vcpus": 4.0, "waits_on": ["j-000001"]}),
        ),
    );
    w.run(3);
    let cluster = w.nodes[0]
        .controller
        .as_ref()
        .and_then(|c| c.cluster())
        .expect("the controller leads");
    assert!(
        !cluster.jobs.contains_key("j-000002"),
        "a waiting job must not be among the jobs that can be placed"
    );
    assert_eq!(cluster.pipelines.waiting.len(), 1);
    assert_eq!(w.waits_on("j-000002"), ["j-000001"]);
    w.run_until(120, "both jobs are done", World::all_jobs_ended);
    w.finish();
}

/// Guards against machines that are provisioned too early or too late for a waiting job, and against reservations for
/// a waiting job. Provisioning starts when the release is about one boot time (30 s) away.
#[test]
fn machines_are_provisioned_shortly_before_a_release() {
    let mut view = LeaderView::new();
    view.machines("up", 1, "small", "a");
    let long = JobSpec {
        run_time_estimate: 60 * SECOND,
        ..spec(Shape::Array, "blue", 1, 4.0)
    };
    view.submit("j-1", long);
    view.cluster.run_scheduling_pass(view.now);
    view.run_all();
    let waiting_record = WaitingRecord::new(
        spec(Shape::Array, "blue", 6, 4.0),
        0,
        false,
        &["j-1".into()],
    );
    view.version += 1;
    view.cluster
        .apply_waiting_job("j-2", waiting_record, view.version);
    let provision_requests = |view: &mut LeaderView| {
        let calls = view.cluster.plan_cloud_calls(view.now);
        calls
            .iter()
            .filter(|c| matches!(c, CloudCall::Provision { .. }))
            .count()
    };
    view.advance(1);
    view.run_all();
    assert_eq!(
        provision_requests(&mut view),
        0,
        "the release is further away than the boot time"
    );
    for _ in 0..7 {
        view.advance(5);
        view.run_all();
    }
    assert!(provision_requests(&mut view) > 0);
    view.cluster.run_scheduling_pass(view.now);
    assert!(
        view.cluster
            .machines
            .values()
            .all(|m| m.active_reservation(view.now).is_none())
    );
    assert!(
        view.cluster.passes.placement_order.is_empty(),
        "the waiting job is not in the queue"
    );
}

/// Guards against a stage that never finds enough capacity. Small tasks end one by one; the freed CPUs must be held
/// for the stage, which takes on the high priority of its downstream job, and not go to other small tasks.
#[test]
fn small_tasks_do_not_starve_a_stage_of_a_pipeline() {
    let mut view = LeaderView::new();
    view.machines("up", 1, "small", "a");
    view.submit("j-1", spec(Shape::Array, "blue", 30, 1.0));
    view.cluster.run_scheduling_pass(view.now);
    view.run_all();
    view.submit("j-2", spec(Shape::Array, "blue", 1, 2.0));
    let last = JobSpec {
        priority: Priority::High,
        deadline: Some(60 * SECOND),
        ..spec(Shape::Array, "blue", 1, 1.0)
    };
    view.version += 1;
    let waiting_record = WaitingRecord::new(last, WALL + view.now, false, &["j-2".into()]);
    view.cluster
        .apply_waiting_job("j-3", waiting_record, view.version);
    view.advance(1);
    view.cluster.run_scheduling_pass(view.now);
    assert_eq!(
        view.cluster.jobs["j-2"].effective_priority(),
        Priority::High,
        "the job takes on the priority of its downstream job"
    );
    // One small task ends, then another: the CPU that the first task frees is held for the stage.
    let running: Vec<_> = view.cluster.machines["up-0000"]
        .attempts
        .keys()
        .cloned()
        .collect();
    for ended in 1..=2 {
        let tasks: Vec<(String, u64, bool)> = running
            .iter()
            .enumerate()
            .map(|(i, id)| (id.task.to_string(), id.number, i < ended))
            .collect();
        let tasks: Vec<_> = tasks.iter().map(|(t, a, d)| (t.as_str(), *a, *d)).collect();
        view.advance(1);
        view.heartbeat("up-0000", "small", "a", &tasks);
        view.cluster.run_scheduling_pass(view.now);
        assert_eq!(
            view.cluster.jobs["j-1"].tasks.live_attempts.len(),
            4 - ended,
            "no other task has started"
        );
        assert_eq!(
            view.cluster.jobs["j-2"].tasks.live_attempts.len(),
            usize::from(ended == 2)
        );
    }
}

/// Guards against a controller that keeps exceeding a write rate limit which the state service lowered without
/// notice, to 15 per second: after the first refusals fewer than 10 more may follow.
#[test]
fn a_lowered_write_rate_is_respected_after_a_few_refusals() {
    let limits = "[cluster.state.next]\nwrite_rps = 15.0\n[cluster.cloud]";
    let mut w = World::with_settings(3, 74, 10.0, &|t| t.replace("[cluster.cloud]", limits));
    w.run(2);
    w.state.change_rate = Some(15.0);
    (100..240).for_each(|i| w.submit(job(i, 1, json!({}))));
    w.run_until(60, "all jobs are accepted", |w| {
        w.jobs.values().all(|j| j.accepted.is_some())
    });
    let first_refusals = w.state.rate_limited;
    assert!(first_refusals > 0, "the controllers tried the old rate");
    (300..400).for_each(|i| w.submit(job_after(i, 1, &[i - 200])));
    w.run_until(400, "all jobs are done", World::all_jobs_ended);
    let later = w.state.rate_limited - first_refusals;
    assert!(
        later < 10,
        "{later} refusals after the first {first_refusals}"
    );
    w.finish();
}
