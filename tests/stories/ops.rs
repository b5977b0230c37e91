//! What operators met: storms of queries, guests, machines that come late, jobs that never succeed.

use serde_json::json;

use crate::sim::{World, job};

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
