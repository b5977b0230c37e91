//! What operators met: storms of queries, guests, machines that come late, jobs that never succeed.

use serde_json::json;

use crate::sim::{World, job};

/// The rates of a small state service.
fn slow_state(text: String) -> String {
    text.replace("write_rps = 100.0", "write_rps = 25.0").replace("rps = 200.0", "rps = 70.0")
}

#[test]
fn a_storm_of_queries_does_not_keep_a_cancellation_from_the_leader() {
    let mut w = World::with_settings(3, 60, 10.0, &slow_state);
    w.run(2);
    (0..150).for_each(|i| w.submit(job(i, 1, json!({"shape": "service"}))));
    w.run_until(60, "all are accepted", |w| w.jobs.values().all(|j| j.accepted.is_some()));
    w.queries = 40;
    w.run(5);
    (0..10).for_each(|i| w.cancel(i));
    w.run(60);
    // The users were told, and nothing is left on any machine.
    w.check_cancelled();
    let told = w.jobs.values().filter(|j| j.told_cancelled.is_some()).count();
    assert_eq!(told, 10);
    w.finish();
}

#[test]
fn a_limit_of_zero_is_none_and_a_team_that_is_not_listed_is_still_refused() {
    let guest = "[[cluster.teams]]\nname = \"guest\"\n";
    let mut w = World::with_settings(1, 61, 10.0, &|text| text + guest);
    w.run(2);
    w.submit(job(1, 60, json!({"crew": "guest"})));
    w.run_until(120, "the guest's job is done", World::all_over);
    let stranger = job(2, 1, json!({"crew": "stranger"}));
    w.submit(stranger);
    w.run(10);
    assert!(w.jobs["j-000002"].accepted.is_none());
    w.jobs.remove("j-000002");
    w.finish();
}
