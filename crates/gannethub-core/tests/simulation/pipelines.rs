//! Tests of jobs that wait for others.

use gannethub_core::model::{JobSpec, Priority, Shape};
use gannethub_core::state::fleet::CloudCall;
use gannethub_core::wire::store::WaitingRecord;
use serde_json::json;

use crate::harness::{CANCEL, SECOND, World, job};
use crate::leader_view::{LeaderView, WALL, spec};

/// A job that waits for these.
fn after(id: u32, tasks: u32, on: &[u32]) -> serde_json::Value {
    let on: Vec<String> = on.iter().map(|i| format!("j-{i:06}")).collect();
    job(id, tasks, json!({"waits_on": on}))
}

/// Submits and waits until it is accepted, as users do before they name a job.
fn accept(w: &mut World, body: serde_json::Value) {
    let id = body["id"].as_str().expect("an id").to_string();
    w.submit(body);
    w.run_until(20, "it is accepted", |w| w.jobs[&id].accepted.is_some());
}

fn done(w: &World, id: u32) -> bool {
    w.jobs[&format!("j-{id:06}")].told_done.is_some()
}

fn cancelled(w: &World, id: u32) -> bool {
    w.jobs[&format!("j-{id:06}")].told_cancelled.is_some()
}

/// A diamond with a gang in the middle and a job of another team at its end.
fn diamond(w: &mut World) {
    accept(w, job(1, 4, json!({})));
    accept(w, after(2, 5, &[1]));
    let mut gang = after(3, 3, &[1, 1]);
    gang["shape"] = json!("group");
    accept(w, gang);
    let mut last = after(4, 2, &[2, 3]);
    last["crew"] = json!("red");
    accept(w, last);
}

#[test]
fn a_diamond_runs_in_order_and_what_names_a_finished_job_runs_at_once() {
    let mut w = World::new(3, 404);
    w.run(2);
    diamond(&mut w);
    w.run_until(180, "all are done", World::all_over);
    accept(&mut w, after(5, 2, &[4, 1]));
    assert!(w.state.value("gh/live/j-000005").expect("alive")["waiting"].is_null());
    w.run_until(60, "the late one is done", World::all_over);
    w.finish();
}

#[test]
fn every_controller_may_crash_and_no_stage_starts_early_or_is_forgotten() {
    for seed in 61..64 {
        let mut w = World::new(3, seed);
        w.run(2);
        diamond(&mut w);
        w.faults.late_commit_rate = 0.15;
        for _ in 0..4 {
            (0..3).for_each(|n| w.crash(n, 3 * SECOND));
            w.run(14);
        }
        w.faults.late_commit_rate = 0.0;
        w.run_until(240, "all are done", World::all_over);
        w.finish();
    }
}

#[test]
fn a_cancellation_takes_all_that_wait_with_it_and_leaves_the_rest_alone() {
    let mut w = World::new(3, 65);
    w.run(2);
    accept(&mut w, job(1, 30, json!({"vcpus": 2.0})));
    accept(&mut w, job(9, 3, json!({})));
    for i in 2..8 {
        accept(&mut w, after(i, 2, &[i - 1]));
    }
    accept(&mut w, after(10, 2, &[9, 5]));
    accept(&mut w, after(11, 2, &[9]));
    w.cancel(1);
    w.run_until(10, "the head is cancelled", |w| cancelled(w, 1));
    w.run_until(CANCEL / SECOND, "so are all behind it", |w| {
        (2..8).chain([10]).all(|i| cancelled(w, i))
    });
    // One that comes late is accepted all the same.
    accept(&mut w, after(12, 1, &[7]));
    w.run_until(60, "all are over", World::all_over);
    assert!(done(&w, 9) && done(&w, 11) && cancelled(&w, 12));
    w.run_until(20, "nothing is left to write", |w| {
        w.state.keys("gh/live/").is_empty()
    });
    w.finish();
}

#[test]
fn every_controller_tells_of_a_cancellation_upstream_while_nobody_leads() {
    let mut w = World::new(3, 404);
    w.run(2);
    accept(&mut w, job(1, 30, json!({"vcpus": 2.0})));
    accept(&mut w, after(2, 2, &[1]));
    accept(&mut w, after(3, 2, &[2]));
    w.run_until(30, "the head runs", |w| w.starts > 0);
    w.cancel(1);
    w.run_until(10, "the head is cancelled", |w| cancelled(w, 1));
    // The leader stays away, and the others keep quiet for a while after they have come back: none
    // has written anything down by then.
    let leader = w.leader().expect("one leads");
    (0..3).for_each(|n| w.crash(n, if n == leader { 60 * SECOND } else { SECOND }));
    w.run(3);
    assert!(w.leader().is_none());
    w.run_until(3, "its followers are known to be cancelled", |w| {
        cancelled(w, 3)
    });
    assert!(w.leader().is_none());
    w.run_until(120, "all is tidied up", |w| {
        w.state.keys("gh/live/").is_empty()
    });
    w.finish();
}

#[test]
fn a_cancellation_in_an_outage_with_unanswered_commits_is_never_taken_back() {
    for seed in 67..70 {
        let mut w = World::new(3, seed);
        w.run(2);
        diamond(&mut w);
        w.run_until(60, "the middle runs", |w| done(w, 1));
        w.faults.late_commit_rate = 0.3;
        w.cancel(2);
        w.run(3);
        w.state.down = true;
        w.run(6);
        w.state.down = false;
        w.run(10);
        w.faults.late_commit_rate = 0.0;
        w.run_until(240, "all are over", World::all_over);
        // Either it was done before the cancellation came through, or it took the last with it.
        assert_eq!(cancelled(&w, 2), cancelled(&w, 4));
        assert!(done(&w, 3));
        w.finish();
    }
}

#[test]
fn naming_what_nobody_submitted_is_refused_and_never_by_an_old_reading() {
    let mut w = World::new(3, 71);
    w.run(2);
    w.submit(after(2, 1, &[1]));
    w.run(1);
    assert!(
        w.jobs["j-000002"].accepted.is_none(),
        "it names nothing that was accepted"
    );
    // Every controller has heard of that id by now, and that it is none.
    for _ in 0..6 {
        w.ask("j-000002", "submit");
    }
    w.run(1);
    accept(&mut w, job(1, 2, json!({})));
    for _ in 0..6 {
        w.ask("j-000002", "submit");
    }
    w.run(1);
    assert!(w.jobs["j-000002"].accepted.is_some());
    w.run_until(120, "both are done", World::all_over);
    w.finish();
}

#[test]
fn a_long_list_fits_and_a_wide_graph_is_released_and_cancelled_in_small_transactions() {
    let limits = "[cluster.state.next]\nvalue_kb = 2.0\ntxn_ops = 4\n[cluster.cloud]";
    let mut w = World::with_settings(3, 72, 10.0, &|t| t.replace("[cluster.cloud]", limits));
    w.state.limits = (2048, 4);
    w.run(2);
    accept(&mut w, job(1, 1, json!({})));
    (100..220).for_each(|i| w.submit(after(i, 1, &[1])));
    w.run_until(60, "the wide stage is accepted", |w| {
        w.jobs.values().all(|j| j.accepted.is_some())
    });
    accept(&mut w, after(300, 1, &(100..220).collect::<Vec<u32>>()));
    (400..460).for_each(|i| w.submit(after(i, 1, &[300])));
    w.run_until(60, "the last stage is accepted", |w| {
        w.jobs.values().all(|j| j.accepted.is_some())
    });
    w.run_until(400, "the wide stage is done", |w| {
        (100..220).all(|i| done(w, i))
    });
    w.cancel(300);
    w.run_until(60, "all are over", World::all_over);
    assert_eq!(w.state.too_large, 0);
    w.finish();
}

#[test]
fn a_waiting_job_takes_nothing_and_shows_what_it_waits_for() {
    let mut w = World::new(1, 73);
    w.run(2);
    // A service never ends, and a job that waits for one of its tasks' worth of room is not ready.
    accept(&mut w, job(1, 12, json!({"crew": "red", "vcpus": 1.0})));
    accept(
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
        .expect("it leads");
    assert!(
        !cluster.jobs.contains_key("j-000002"),
        "what is not here cannot be placed"
    );
    assert_eq!(cluster.pipelines.waiting.len(), 1);
    assert_eq!(w.waits_on("j-000002"), ["j-000001"]);
    w.run_until(120, "both are done", World::all_over);
    w.finish();
}

#[test]
fn machines_are_rented_for_a_job_shortly_before_it_is_released_and_no_room_is_held_for_it() {
    let mut f = LeaderView::new();
    f.machines("up", 1, "small", "a");
    let long = JobSpec {
        run_time_estimate: 60 * SECOND,
        ..spec(Shape::Array, "blue", 1, 4.0)
    };
    f.submit("j-1", long);
    f.c.run_scheduling_pass(f.now);
    f.run_all();
    let held = WaitingRecord::new(
        spec(Shape::Array, "blue", 6, 4.0),
        0,
        false,
        &["j-1".into()],
    );
    f.version += 1;
    f.c.apply_waiting_job("j-2", held, f.version);
    let rents = |f: &mut LeaderView| {
        let calls = f.c.plan_cloud_calls(f.now);
        calls
            .iter()
            .filter(|c| matches!(c, CloudCall::Provision { .. }))
            .count()
    };
    f.pass(1);
    f.run_all();
    assert_eq!(rents(&mut f), 0, "its release is further off than a boot");
    for _ in 0..7 {
        f.pass(5);
        f.run_all();
    }
    assert!(rents(&mut f) > 0);
    f.c.run_scheduling_pass(f.now);
    assert!(
        f.c.machines
            .values()
            .all(|m| m.active_reservation(f.now).is_none())
    );
    assert!(
        f.c.passes.placement_order.is_empty(),
        "it is not in the queue"
    );
}

#[test]
fn smaller_tasks_do_not_take_all_room_bit_by_bit_before_a_stage_of_a_pipeline() {
    let mut f = LeaderView::new();
    f.machines("up", 1, "small", "a");
    f.submit("j-1", spec(Shape::Array, "blue", 30, 1.0));
    f.c.run_scheduling_pass(f.now);
    f.run_all();
    f.submit("j-2", spec(Shape::Array, "blue", 1, 2.0));
    let last = JobSpec {
        priority: Priority::High,
        deadline: Some(60 * SECOND),
        ..spec(Shape::Array, "blue", 1, 1.0)
    };
    f.version += 1;
    let held = WaitingRecord::new(last, WALL + f.now, false, &["j-2".into()]);
    f.c.apply_waiting_job("j-3", held, f.version);
    f.pass(1);
    f.c.run_scheduling_pass(f.now);
    assert_eq!(
        f.c.jobs["j-2"].effective_priority(),
        Priority::High,
        "what needs it is urgent"
    );
    // One small task ends, then another: the bit of room that the first leaves is held.
    let running: Vec<_> = f.c.machines["up-0000"].attempts.keys().cloned().collect();
    for ended in 1..=2 {
        let tasks: Vec<(String, u64, bool)> = running
            .iter()
            .enumerate()
            .map(|(i, id)| (id.task.to_string(), id.number, i < ended))
            .collect();
        let tasks: Vec<_> = tasks.iter().map(|(t, a, d)| (t.as_str(), *a, *d)).collect();
        f.pass(1);
        f.heartbeat("up-0000", "small", "a", &tasks);
        f.c.run_scheduling_pass(f.now);
        assert_eq!(
            f.c.jobs["j-1"].tasks.live_attempts.len(),
            4 - ended,
            "nothing else has started"
        );
        assert_eq!(
            f.c.jobs["j-2"].tasks.live_attempts.len(),
            usize::from(ended == 2)
        );
    }
}

#[test]
fn a_rate_that_falls_without_notice_is_kept_to_after_the_first_refusals() {
    let limits = "[cluster.state.next]\nwrite_rps = 15.0\n[cluster.cloud]";
    let mut w = World::with_settings(3, 74, 10.0, &|t| t.replace("[cluster.cloud]", limits));
    w.run(2);
    w.state.rate = Some(15.0);
    (100..240).for_each(|i| w.submit(job(i, 1, json!({}))));
    w.run_until(60, "all are accepted", |w| {
        w.jobs.values().all(|j| j.accepted.is_some())
    });
    let learning = w.state.too_many;
    assert!(learning > 0, "the old rate was tried");
    (300..400).for_each(|i| w.submit(after(i, 1, &[i - 200])));
    w.run_until(400, "all are done", World::all_over);
    let later = w.state.too_many - learning;
    assert!(later < 10, "{later} refusals after {learning}");
    w.finish();
}
