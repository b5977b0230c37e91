//! The configuration changes while the service runs, and while other things go wrong.

use std::sync::Arc;

use gannethub_core::configuration::{Document, ObjectiveEntry, OverLimit};
use gannethub_core::model::Shape;
use gannethub_core::settings::Settings;
use gannethub_core::wire::configuration::{CURRENT_VERSION_KEY, HISTORY_KEY, VersionRecord};
use gannethub_core::wire::store::to_raw_value;
use gannethub_core::wire::worker::Order;
use serde_json::json;

use crate::harness::config_changes::{team, teams};
use crate::harness::{SECOND, World, job};
use crate::leader_view::{LeaderView, spec};

/// How long a version takes to be in force everywhere, at the most, in seconds.
const EVERYWHERE: u64 = 7;

/// Three controllers, and red, whose limit is 16, with so many replicas on machines.
fn red_runs(seed: u64, replicas: u32) -> World {
    let mut w = World::new(3, seed);
    w.cloud.capacity = 16;
    w.run(10);
    w.submit(job(
        1,
        replicas,
        json!({"shape": "service", "crew": "red", "rigs": ["small"]}),
    ));
    w.run_until(60, "the replicas run", |w| w.starts >= replicas as usize);
    w
}

fn red(cpus_max: f64) -> Document {
    teams(vec![team("red", cpus_max.min(8.0), cpus_max)])
}

/// What red has on machines.
fn used(w: &World) -> usize {
    let of_red = |t: &&gannethub_emulators::worker::Task| {
        let id = t.name.split('/').next().unwrap_or("");
        t.on_machine() && w.jobs.get(id).is_some_and(|j| j.body["crew"] == "red")
    };
    w.workers
        .values()
        .flat_map(|m| m.tasks.values())
        .filter(of_red)
        .count()
}

fn lose_leader(w: &mut World) {
    let old = w.leader().expect("someone leads");
    w.crash(old, 20 * SECOND);
    w.run_until(20, "another leads", |w| {
        w.leader().is_some_and(|l| l != old)
    });
}

#[test]
fn a_version_is_in_force_everywhere_within_seconds_and_controllers_tell() {
    let mut w = red_runs(1, 4);
    for (round, limit) in [20.0, 12.0, 16.0].into_iter().enumerate() {
        let version = w.configure(red(limit), 0);
        assert_eq!(version, round as u64 + 1);
        w.run_until(EVERYWHERE, "it is in force", |w| w.in_force(version));
    }
    w.finish();
}

#[test]
fn a_limit_that_is_lowered_while_its_team_is_full_counts_from_there_on() {
    for seed in 2..6 {
        let mut w = red_runs(seed, 16);
        w.submit(job(2, 12, json!({"crew": "red", "rigs": ["small"]})));
        let version = w.configure(red(8.0), 0);
        w.run_until(EVERYWHERE, "it is in force", |w| w.none_older(version));
        lose_leader(&mut w);
        // What runs goes on; what is lost with its machine does not come back above the limit.
        assert!(used(&w) > 8, "{} run", used(&w));
        let lost: Vec<String> = w.workers.keys().cloned().collect();
        for name in lost.iter().take(3) {
            w.workers.get_mut(name).expect("it is there").dead = true;
        }
        w.run(30);
        let raised = w.configure(red(40.0), 0);
        w.run_until(90, "the array is done", |w| {
            w.jobs["j-000002"].told_done.is_some()
        });
        assert!(w.in_force(raised));
        w.finish();
    }
}

#[test]
fn what_runs_above_a_lowered_limit_is_stopped_where_operators_want_that() {
    let mut w = red_runs(7, 16);
    let stop = Document {
        over_limit: OverLimit::Stop,
        ..red(8.0)
    };
    w.configure(stop, 0);
    w.run_until(20, "red is within its limit", |w| used(w) == 8);
    lose_leader(&mut w);
    w.run(20);
    assert_eq!(used(&w), 8);
    w.finish();
}

/// The settings of a leader's view with another limit for red.
fn with_limit(f: &LeaderView, cpus_max: f64) -> Arc<Settings> {
    let settings = &f.c.settings;
    Arc::new(
        red(cpus_max)
            .effective(settings, settings)
            .expect("it is fine"),
    )
}

/// Tasks that machines are told to launch now.
fn launches(f: &mut LeaderView) -> usize {
    let names: Vec<String> = f.c.machines.keys().map(|m| m.to_string()).collect();
    let orders = names.iter().flat_map(|n| f.heartbeat(n, "small", "a", &[]));
    orders.filter(|o| matches!(o, Order::Start { .. })).count()
}

#[test]
fn what_was_placed_and_is_not_launched_yet_stays_where_a_lowered_limit_forbids_it() {
    let mut f = LeaderView::with(&[("red", 4.0, 16.0)], None);
    f.machines("up", 4, "small", "a");
    f.submit("j-1", spec(Shape::Array, "red", 16, 1.0));
    f.c.run_scheduling_pass(f.now);
    f.write();
    let settings = with_limit(&f, 6.0);
    f.c.apply_settings(&settings, OverLimit::Run, f.now);
    assert_eq!(launches(&mut f), 6);
    assert_eq!(
        f.c.jobs["j-1"].tasks.live_attempts.len(),
        6,
        "the others wait for room under the limit"
    );
}

#[test]
fn nothing_is_launched_while_there_may_be_a_newer_version() {
    let mut f = LeaderView::with(&[("red", 4.0, 16.0)], None);
    f.machines("up", 4, "small", "a");
    f.submit("j-1", spec(Shape::Array, "red", 16, 1.0));
    f.c.run_scheduling_pass(f.now);
    f.write();
    f.c.starts_paused = true;
    assert_eq!(launches(&mut f), 0);
    f.submit("j-2", spec(Shape::Array, "blue", 1, 1.0));
    f.c.run_scheduling_pass(f.now);
    assert!(
        !f.c.jobs["j-2"].tasks.live_attempts.contains_key(&0),
        "and nothing is placed"
    );
    f.c.starts_paused = false;
    assert_eq!(launches(&mut f), 16);
}

#[test]
fn lowered_raised_and_lowered_within_a_second_the_last_one_holds() {
    for seed in 10..14 {
        let mut w = red_runs(seed, 6);
        w.submit(job(2, 16, json!({"crew": "red", "rigs": ["small"]})));
        w.configure(red(8.0), 0);
        w.pause(300_000);
        w.configure(red(24.0), 0);
        w.pause(300_000);
        let version = w.configure(red(9.0), 0);
        w.run_until(EVERYWHERE, "the last is in force", |w| w.in_force(version));
        w.run_until(120, "the array is done", |w| {
            w.jobs["j-000002"].told_done.is_some()
        });
        w.finish();
    }
}

#[test]
fn an_owner_whose_watch_hangs_misses_nothing() {
    let mut w = red_runs(15, 6);
    let leader = w.leader().expect("someone leads");
    w.faults.hung_watches.insert(leader);
    w.submit(job(2, 16, json!({"crew": "red", "rigs": ["small"]})));
    let version = w.configure(red(8.0), 0);
    w.run_until(EVERYWHERE, "it is in force", |w| w.none_older(version));
    w.run_until(EVERYWHERE, "the leader knows it", |w| w.in_force(version));
    w.faults.hung_watches.clear();
    w.run_until(120, "the array is done", |w| {
        w.jobs["j-000002"].told_done.is_some()
    });
    w.finish();
}

#[test]
fn an_owner_that_is_cut_off_from_the_state_acts_on_no_older_version() {
    for seed in 16..20 {
        let mut w = red_runs(seed, 6);
        let leader = w.leader().expect("someone leads");
        w.isolate(leader);
        w.submit(job(2, 16, json!({"crew": "red", "rigs": ["small"]})));
        let version = w.configure(red(8.0), 0);
        w.run(EVERYWHERE);
        assert!(w.none_older(version), "{:?}", w.versions());
        w.run(20);
        w.all_well();
        w.run_until(120, "the array is done", |w| {
            w.jobs["j-000002"].told_done.is_some()
        });
        w.finish();
    }
}

#[test]
fn a_change_in_the_middle_of_a_takeover_is_heeded_by_the_successor() {
    for seed in 20..28 {
        let mut w = red_runs(seed, 10);
        w.submit(job(2, 16, json!({"crew": "red", "rigs": ["small"]})));
        let old = w.leader().expect("someone leads");
        w.crash(old, 20 * SECOND);
        // From before anybody can know of the loss until after somebody leads.
        w.pause((seed - 20) * 700_000);
        w.configure(red(8.0), 0);
        w.run_until(20, "another leads", |w| {
            w.leader().is_some_and(|l| l != old)
        });
        w.run(20);
        w.configure(red(40.0), 0);
        w.run_until(150, "the array is done", |w| {
            w.jobs["j-000002"].told_done.is_some()
        });
        w.finish();
    }
}

#[test]
fn a_change_right_before_an_outage_is_in_force_after_it_at_the_latest() {
    for seed in 30..34 {
        let mut w = red_runs(seed, 6);
        w.configure(red(16.0), 0);
        w.run(8);
        w.submit(job(2, 16, json!({"crew": "red", "rigs": ["small"]})));
        w.run(2);
        let outage = 20;
        let version = w.configure(red(8.0), outage * SECOND);
        w.state.down = true;
        w.run(outage);
        w.state.down = false;
        w.run_until(EVERYWHERE, "it is in force", |w| w.in_force(version));
        w.run_until(120, "the array is done", |w| {
            w.jobs["j-000002"].told_done.is_some()
        });
        w.finish();
    }
}

#[test]
fn in_an_outage_work_goes_on_where_all_peers_know_of_nothing_newer() {
    let mut w = red_runs(35, 4);
    let version = w.configure(red(20.0), 0);
    w.run_until(EVERYWHERE, "it is in force", |w| w.in_force(version));
    w.submit(job(
        2,
        60,
        json!({"crew": "blue", "rigs": ["small"], "guess_s": 3.0}),
    ));
    w.run(12);
    w.state.down = true;
    w.run(8);
    let before = w.starts;
    w.run(8);
    assert!(w.starts > before, "nothing was started in the outage");
    w.state.down = false;
    w.run_until(120, "the array is done", |w| {
        w.jobs["j-000002"].told_done.is_some()
    });
    w.finish();
}

#[test]
fn a_team_is_removed_and_added_again_with_jobs_alive() {
    let mut w = red_runs(40, 4);
    w.submit(job(2, 30, json!({"crew": "red", "rigs": ["small"]})));
    w.run_until(20, "it is accepted", |w| {
        w.jobs["j-000002"].accepted.is_some()
    });
    let mut gone = red(16.0);
    gone.teams[0].removed = true;
    let version = w.configure(gone, 0);
    w.run_until(EVERYWHERE, "it is in force", |w| w.in_force(version));
    // No new jobs, at any controller; the old ones finish within the last limit.
    for node in 0..3 {
        w.submit_odd(
            job(50 + node as u32, 1, json!({"crew": "red"})),
            "crew",
            node,
        );
    }
    w.run(2);
    assert!(w.odd.values().all(|o| o.refused == 1), "{:?}", w.odd);
    w.submit(job(3, 2, json!({"crew": "blue"})));
    lose_leader(&mut w);
    w.run_until(120, "the old job is done", |w| {
        w.jobs["j-000002"].told_done.is_some()
    });
    let version = w.configure(red(12.0), 0);
    w.run_until(EVERYWHERE, "it is in force", |w| w.in_force(version));
    w.submit(job(4, 10, json!({"crew": "red"})));
    w.run_until(90, "the new job is done", |w| {
        w.jobs["j-000004"].told_done.is_some()
    });
    w.finish();
}

#[test]
fn a_team_that_is_new_is_served_and_none_of_its_jobs_is_refused_for_good() {
    for seed in 41..45 {
        let mut w = red_runs(seed, 4);
        let version = w.configure(teams(vec![team("late", 2.0, 6.0)]), 0);
        w.run_until(EVERYWHERE, "it is in force", |w| w.none_older(version));
        for i in 0..6 {
            w.submit(job(10 + i, 3, json!({"crew": "late"})));
        }
        w.run_until(90, "all are done", |w| {
            (10..16).all(|i| w.jobs[&format!("j-{i:06}")].told_done.is_some())
        });
        w.restart(0);
        w.run_until(30, "someone leads", |w| w.leader().is_some());
        lose_leader(&mut w);
        w.submit(job(20, 12, json!({"crew": "late"})));
        w.run(3);
        // All processes are new: the jobs are read before the document.
        (0..3).for_each(|node| w.restart(node));
        w.run_until(90, "it is done", |w| w.jobs["j-000020"].told_done.is_some());
        w.finish();
    }
}

#[test]
fn no_job_is_accepted_by_an_older_version() {
    for seed in 46..50 {
        let mut w = red_runs(seed, 2);
        let mut gone = red(16.0);
        gone.teams[0].removed = true;
        w.configure(gone, 0);
        let stored = w.state.stamp(CURRENT_VERSION_KEY);
        // Controllers have not heard of it, and their transactions are on their way.
        for i in 0..9 {
            w.ask_quietly(job(50 + i, 1, json!({"crew": "red"})), i as usize % 3);
        }
        w.run(5);
        for i in 50..59 {
            let key = format!("gh/live/j-{i:06}");
            assert!(
                w.state.stamp(&key) < stored,
                "{key} was accepted after its team was removed"
            );
        }
        w.finish();
    }
}

#[test]
fn a_document_that_cannot_be_used_leaves_the_last_good_one_in_force() {
    for (seed, broken) in [
        (50, "7"),
        (
            51,
            "{\"version\":9,\"id\":\"9-x\",\"parts\":2,\"at\":0,\"by\":\"\",\"why\":\"\"}",
        ),
        (52, ""),
    ] {
        let mut w = red_runs(seed, 4);
        let version = w.configure(red(6.0), 0);
        w.run_until(EVERYWHERE, "it is in force", |w| w.in_force(version));
        match broken {
            "" => w.state.remove(CURRENT_VERSION_KEY),
            text => w.state.put(CURRENT_VERSION_KEY, text),
        }
        w.run(EVERYWHERE);
        assert!(w.in_force(version), "{:?}", w.versions());
        w.submit(job(2, 10, json!({"crew": "red"})));
        w.run_until(60, "the service goes on", |w| {
            w.jobs["j-000002"].told_done.is_some()
        });
        if !broken.is_empty() {
            // Processes that are new find it as well.
            (0..3).for_each(|node| w.restart(node));
            w.run_until(20, "it is in force", |w| w.in_force(version));
            w.submit(job(3, 10, json!({"crew": "red"})));
            w.run_until(90, "the service goes on", |w| {
                w.jobs["j-000003"].told_done.is_some()
            });
        }
        w.finish();
    }
}

#[test]
fn documents_of_a_future_version_or_with_nonsense_are_refused_whole() {
    let mut w = red_runs(53, 4);
    let version = w.configure(red(6.0), 0);
    w.run_until(EVERYWHERE, "it is in force", |w| w.in_force(version));
    let documents = [
        json!({"teams": [], "quantum": true}),
        json!({"teams": [{"name": "red", "cpus": 9.0, "cpus_max": 6.0}]}),
        json!({"policy": "grant_s = 9"}),
    ];
    for (i, document) in documents.into_iter().enumerate() {
        let number = 10 + i as u64;
        let id = format!("{number}-tool");
        let record = VersionRecord {
            version: number,
            id,
            parts: 1,
            ..VersionRecord::default()
        };
        w.state.put(&record.part_key(0), &document.to_string());
        w.state
            .put(CURRENT_VERSION_KEY, to_raw_value(&record).get());
        w.run(EVERYWHERE);
        assert!(w.in_force(version), "{document}: {:?}", w.versions());
    }
    w.state.remove(HISTORY_KEY);
    w.submit(job(2, 10, json!({"crew": "red"})));
    w.run_until(60, "the service goes on", |w| {
        w.jobs["j-000002"].told_done.is_some()
    });
    w.finish();
}

#[test]
fn with_several_shards_limits_stay_and_objectives_change() {
    let mut w = World::with_shards(3, 54, 3, &|text| text);
    w.run(12);
    w.submit(job(1, 20, json!({"crew": "red"})));
    let objective = ObjectiveEntry {
        kind: "wait".into(),
        class: Some("c".into()),
        within_s: 5.0,
        share: 0.9,
        times: 1.0,
    };
    let objectives = Document {
        objectives: Some(vec![objective]),
        ..Document::default()
    };
    let version = w.configure(objectives, 0);
    w.run_until(EVERYWHERE, "it is in force", |w| w.in_force(version));
    let record = VersionRecord {
        version: 9,
        id: "9-tool".into(),
        parts: 1,
        ..VersionRecord::default()
    };
    w.state.put(
        &record.part_key(0),
        r#"{"teams":[{"name":"red","cpus":1.0,"cpus_max":2.0}]}"#,
    );
    w.state
        .put(CURRENT_VERSION_KEY, to_raw_value(&record).get());
    w.run(EVERYWHERE);
    assert!(w.in_force(version), "{:?}", w.versions());
    w.run_until(120, "the array is done", |w| {
        w.jobs["j-000001"].told_done.is_some()
    });
    w.finish();
}

#[test]
fn where_nothing_was_ever_stored_nothing_more_is_asked() {
    let w = red_runs(55, 4);
    assert!(w.state.keys("gh/config/").is_empty() && w.state.value(CURRENT_VERSION_KEY).is_none());
    assert!(w.versions().iter().all(|v| v.version == 0));
    w.finish();
}

#[test]
fn a_controller_that_stood_still_refuses_nothing_by_what_it_knew_before() {
    for seed in 56..60 {
        let mut w = red_runs(seed, 2);
        let follower = (w.leader().expect("someone leads") + 1) % 3;
        let until = w.now + 9 * SECOND;
        w.faults.frozen_until.insert(follower, until);
        let version = w.configure(teams(vec![team("late", 2.0, 6.0)]), 0);
        w.run(8);
        assert!(w.nodes.len() == 3 && version == 1);
        let before = w.odd.len();
        for i in 0..8 {
            w.submit_odd(job(60 + i, 1, json!({"crew": "late"})), "never", follower);
            w.pause(150_000);
        }
        w.run(4);
        // A refusal would be for good; what is accepted, or sent away to come back, is not.
        assert_eq!(w.odd.len(), before + 8);
        let refused = w.broken.iter().filter(|b| b.contains("422")).count();
        assert_eq!(refused, 0, "{:?}", w.broken);
    }
}

#[test]
fn what_a_peer_knows_keeps_the_leader_from_starting_in_an_outage() {
    for seed in 60..64 {
        let mut w = red_runs(seed, 4);
        let first = w.configure(red(8.0), 0);
        w.submit(job(2, 60, json!({"crew": "red", "rigs": ["small"]})));
        w.run_until(30, "it is in force", |w| w.in_force(first) && used(w) >= 6);
        let leader = w.leader().expect("someone leads");
        // The leader alone is refused while the others hear of a change, and then all are.
        w.queries = 3;
        w.faults.store_refuses.insert(leader);
        w.faults.partitioned.extend(
            (0..3)
                .filter(|i| *i != leader)
                .flat_map(|i| [(i, leader), (leader, i)]),
        );
        let version = w.configure(red(4.0), 0);
        w.pause(1_200_000);
        assert!(
            w.versions().iter().any(|v| v.version == version),
            "nobody has heard of it"
        );
        w.state.down = true;
        w.faults.partitioned.clear();
        w.run(25);
        assert!(w.none_older(version), "{:?}", w.versions());
        w.all_well();
        w.configure(red(24.0), 0);
        w.run_until(120, "the array is done", |w| {
            w.jobs["j-000002"].told_done.is_some()
        });
        w.finish();
    }
}
