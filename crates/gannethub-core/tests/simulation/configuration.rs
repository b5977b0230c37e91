//! Tests of configuration changes while the service runs and while other faults occur.

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

/// Maximum time until a stored version is in force at every controller, in seconds.
const ROLLOUT_S: u64 = 7;

/// Returns a world with three controllers in which team red, whose limit is 16 CPUs, runs the given number of
/// replicas on machines (job 1).
fn world_with_replicas(seed: u64, replicas: u32) -> World {
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

/// Returns a document that sets the limit of team red; the guarantee is 8 CPUs, or the limit if that is lower.
fn limit_of_red(cpus_max: f64) -> Document {
    teams(vec![team("red", cpus_max.min(8.0), cpus_max)])
}

/// Number of tasks of team red on machines.
fn tasks_of_red(w: &World) -> usize {
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

/// Crashes the leader for 20 s and waits until another controller leads.
fn replace_leader(w: &mut World) {
    let old = w.leader().expect("a controller leads");
    w.crash(old, 20 * SECOND);
    w.run_until(20, "another controller leads", |w| {
        w.leader().is_some_and(|l| l != old)
    });
}

/// Guards against controllers that act on an old configuration: each of three versions must be in force at every
/// controller within 7 s, and the controllers must report it.
#[test]
fn a_new_version_is_in_force_everywhere_within_7_s() {
    let mut w = world_with_replicas(1, 4);
    for (round, limit) in [20.0, 12.0, 16.0].into_iter().enumerate() {
        let version = w.store_configuration(limit_of_red(limit), 0);
        assert_eq!(version, round as u64 + 1);
        w.run_until(ROLLOUT_S, "the version is in force", |w| {
            w.in_force(version)
        });
    }
    w.finish();
}

/// Guards against starts above a lowered limit. Team red uses its whole limit of 16 CPUs when the limit is lowered to
/// 8: running tasks go on, but tasks lost with their machines, here after a change of leader, must not start again
/// above the limit.
#[test]
fn a_lowered_limit_stops_new_starts_of_a_full_team() {
    for seed in 2..6 {
        let mut w = world_with_replicas(seed, 16);
        w.submit(job(2, 12, json!({"crew": "red", "rigs": ["small"]})));
        let version = w.store_configuration(limit_of_red(8.0), 0);
        w.run_until(ROLLOUT_S, "no controller acts on an older version", |w| {
            w.no_other_version_in_force(version)
        });
        replace_leader(&mut w);
        // Running tasks go on; tasks lost with their machine do not start again above the limit.
        assert!(
            tasks_of_red(&w) > 8,
            "only {} tasks of team red run, not more than the lowered limit",
            tasks_of_red(&w)
        );
        let lost: Vec<String> = w.workers.keys().cloned().collect();
        for name in lost.iter().take(3) {
            w.workers.get_mut(name).expect("the machine exists").dead = true;
        }
        w.run(30);
        let raised = w.store_configuration(limit_of_red(40.0), 0);
        w.run_until(90, "the array is done", |w| {
            w.jobs["j-000002"].done_confirmed_at.is_some()
        });
        assert!(w.in_force(raised));
        w.finish();
    }
}

/// Guards against tasks that run on above a lowered limit although operators chose to stop them (`OverLimit::Stop`).
/// The number of tasks must fall to the limit and stay there after a change of leader.
#[test]
fn over_limit_stop_stops_tasks_above_a_lowered_limit() {
    let mut w = world_with_replicas(7, 16);
    let stop = Document {
        over_limit: OverLimit::Stop,
        ..limit_of_red(8.0)
    };
    w.store_configuration(stop, 0);
    w.run_until(20, "team red is within its limit", |w| tasks_of_red(w) == 8);
    replace_leader(&mut w);
    w.run(20);
    assert_eq!(tasks_of_red(&w), 8);
    w.finish();
}

/// Returns the settings of a leader's view with another limit for team red.
fn settings_with_limit(view: &LeaderView, cpus_max: f64) -> Arc<Settings> {
    let settings = &view.cluster.settings;
    Arc::new(
        limit_of_red(cpus_max)
            .apply_to(settings, settings)
            .expect("the document is valid"),
    )
}

/// Number of tasks that machines are told to launch now, in answer to one heartbeat from each machine.
fn launches(view: &mut LeaderView) -> usize {
    let names: Vec<String> = view
        .cluster
        .machines
        .keys()
        .map(|m| m.to_string())
        .collect();
    let orders = names
        .iter()
        .flat_map(|n| view.heartbeat(n, "small", "a", &[]));
    orders.filter(|o| matches!(o, Order::Start { .. })).count()
}

/// Guards against launches above a lowered limit: tasks that were placed, but not launched, before the limit was
/// lowered from 16 to 6 CPUs must not be launched above 6 CPUs.
#[test]
fn placed_tasks_above_a_lowered_limit_are_not_launched() {
    let mut view = LeaderView::with(&[("red", 4.0, 16.0)], None);
    view.machines("up", 4, "small", "a");
    view.submit("j-1", spec(Shape::Array, "red", 16, 1.0));
    view.cluster.run_scheduling_pass(view.now);
    view.write();
    let settings = settings_with_limit(&view, 6.0);
    view.cluster
        .apply_settings(&settings, OverLimit::Run, view.now);
    assert_eq!(launches(&mut view), 6);
    assert_eq!(
        view.cluster.jobs["j-1"].tasks.live_attempts.len(),
        6,
        "the other tasks wait for quota"
    );
}

/// Guards against launches under an outdated configuration: while starts are paused because a newer version may
/// exist, no task may be launched or placed.
#[test]
fn nothing_starts_while_a_newer_version_may_exist() {
    let mut view = LeaderView::with(&[("red", 4.0, 16.0)], None);
    view.machines("up", 4, "small", "a");
    view.submit("j-1", spec(Shape::Array, "red", 16, 1.0));
    view.cluster.run_scheduling_pass(view.now);
    view.write();
    view.cluster.starts_paused = true;
    assert_eq!(launches(&mut view), 0);
    view.submit("j-2", spec(Shape::Array, "blue", 1, 1.0));
    view.cluster.run_scheduling_pass(view.now);
    assert!(
        !view.cluster.jobs["j-2"]
            .tasks
            .live_attempts
            .contains_key(&0),
        "no task may be placed while starts are paused"
    );
    view.cluster.starts_paused = false;
    assert_eq!(launches(&mut view), 16);
}

/// Guards against versions that are applied in the wrong order or skipped: the limit is lowered, raised and lowered
/// again at intervals of 0.3 s, and the last version must hold.
#[test]
fn the_last_of_three_versions_within_a_second_holds() {
    for seed in 10..14 {
        let mut w = world_with_replicas(seed, 6);
        w.submit(job(2, 16, json!({"crew": "red", "rigs": ["small"]})));
        w.store_configuration(limit_of_red(8.0), 0);
        w.run_micros(300_000);
        w.store_configuration(limit_of_red(24.0), 0);
        w.run_micros(300_000);
        let version = w.store_configuration(limit_of_red(9.0), 0);
        w.run_until(ROLLOUT_S, "the last version is in force", |w| {
            w.in_force(version)
        });
        w.run_until(120, "the array is done", |w| {
            w.jobs["j-000002"].done_confirmed_at.is_some()
        });
        w.finish();
    }
}

/// Guards against a version that the leader misses because its watch hangs, while all its other requests are answered.
#[test]
fn a_leader_with_a_hung_watch_misses_no_version() {
    let mut w = world_with_replicas(15, 6);
    let leader = w.leader().expect("a controller leads");
    w.faults.hung_watches.insert(leader);
    w.submit(job(2, 16, json!({"crew": "red", "rigs": ["small"]})));
    let version = w.store_configuration(limit_of_red(8.0), 0);
    w.run_until(ROLLOUT_S, "no controller acts on an older version", |w| {
        w.no_other_version_in_force(version)
    });
    w.run_until(
        ROLLOUT_S,
        "the version is in force at the leader too",
        |w| w.in_force(version),
    );
    w.faults.hung_watches.clear();
    w.run_until(120, "the array is done", |w| {
        w.jobs["j-000002"].done_confirmed_at.is_some()
    });
    w.finish();
}

/// Guards against a leader that acts on an old version. The leader is cut off from the state service and from its
/// peers when the limit is lowered; from 7 s on no controller may act on the older version.
#[test]
fn an_isolated_leader_acts_on_no_older_version() {
    for seed in 16..20 {
        let mut w = world_with_replicas(seed, 6);
        let leader = w.leader().expect("a controller leads");
        w.isolate(leader);
        w.submit(job(2, 16, json!({"crew": "red", "rigs": ["small"]})));
        let version = w.store_configuration(limit_of_red(8.0), 0);
        w.run(ROLLOUT_S);
        assert!(w.no_other_version_in_force(version), "{:?}", w.versions());
        w.run(20);
        w.end_faults();
        w.run_until(120, "the array is done", |w| {
            w.jobs["j-000002"].done_confirmed_at.is_some()
        });
        w.finish();
    }
}

/// Guards against a version that is lost between two leaders. The limit is lowered after the leader crashes, at once
/// or up to 4.9 s later by the seed, and raised at the end.
#[test]
fn a_new_leader_applies_a_change_made_during_its_takeover() {
    for seed in 20..28 {
        let mut w = world_with_replicas(seed, 10);
        w.submit(job(2, 16, json!({"crew": "red", "rigs": ["small"]})));
        let old = w.leader().expect("a controller leads");
        w.crash(old, 20 * SECOND);
        // The seeds cover times from before any peer can notice the crash until after the takeover.
        w.run_micros((seed - 20) * 700_000);
        w.store_configuration(limit_of_red(8.0), 0);
        w.run_until(20, "another controller leads", |w| {
            w.leader().is_some_and(|l| l != old)
        });
        w.run(20);
        w.store_configuration(limit_of_red(40.0), 0);
        w.run_until(150, "the array is done", |w| {
            w.jobs["j-000002"].done_confirmed_at.is_some()
        });
        w.finish();
    }
}

/// Guards against a version that is lost in an outage of the state service. The outage begins right after the version
/// is stored and lasts 20 s; the version must be in force within 7 s of its end.
#[test]
fn a_change_right_before_an_outage_holds_after_it() {
    for seed in 30..34 {
        let mut w = world_with_replicas(seed, 6);
        w.store_configuration(limit_of_red(16.0), 0);
        w.run(8);
        w.submit(job(2, 16, json!({"crew": "red", "rigs": ["small"]})));
        w.run(2);
        let outage = 20;
        let version = w.store_configuration(limit_of_red(8.0), outage * SECOND);
        w.state.down = true;
        w.run(outage);
        w.state.down = false;
        w.run_until(ROLLOUT_S, "the version is in force", |w| {
            w.in_force(version)
        });
        w.run_until(120, "the array is done", |w| {
            w.jobs["j-000002"].done_confirmed_at.is_some()
        });
        w.finish();
    }
}

/// Guards against a needless stop in an outage of the state service: where all peers know of no newer version, the
/// leader must go on starting tasks.
#[test]
fn starts_go_on_in_an_outage_if_no_peer_knows_a_newer_version() {
    let mut w = world_with_replicas(35, 4);
    let version = w.store_configuration(limit_of_red(20.0), 0);
    w.run_until(ROLLOUT_S, "the version is in force", |w| {
        w.in_force(version)
    });
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
    assert!(w.starts > before, "no task was started in the outage");
    w.state.down = false;
    w.run_until(120, "the array is done", |w| {
        w.jobs["j-000002"].done_confirmed_at.is_some()
    });
    w.finish();
}

/// Guards against live jobs that are lost with their team. While a team is removed, new jobs of the team are refused
/// at every controller, and its old jobs finish within its last limit; once it is added again, new jobs run.
#[test]
fn a_team_is_removed_and_added_again_with_live_jobs() {
    let mut w = world_with_replicas(40, 4);
    w.submit(job(2, 30, json!({"crew": "red", "rigs": ["small"]})));
    w.run_until(20, "the job is accepted", |w| {
        w.jobs["j-000002"].accepted.is_some()
    });
    let mut without_red = limit_of_red(16.0);
    without_red.teams[0].removed = true;
    let version = w.store_configuration(without_red, 0);
    w.run_until(ROLLOUT_S, "the version is in force", |w| {
        w.in_force(version)
    });
    // Every controller refuses new jobs of the team; the old jobs finish within its last limit.
    for node in 0..3 {
        w.submit_invalid(
            job(50 + node as u32, 1, json!({"crew": "red"})),
            "crew",
            node,
        );
    }
    w.run(2);
    assert!(
        w.invalid_submissions.values().all(|o| o.refused == 1),
        "{:?}",
        w.invalid_submissions
    );
    w.submit(job(3, 2, json!({"crew": "blue"})));
    replace_leader(&mut w);
    w.run_until(120, "the old job is done", |w| {
        w.jobs["j-000002"].done_confirmed_at.is_some()
    });
    let version = w.store_configuration(limit_of_red(12.0), 0);
    w.run_until(ROLLOUT_S, "the version is in force", |w| {
        w.in_force(version)
    });
    w.submit(job(4, 10, json!({"crew": "red"})));
    w.run_until(90, "the new job is done", |w| {
        w.jobs["j-000004"].done_confirmed_at.is_some()
    });
    w.finish();
}

/// Guards against final refusals for jobs of a team that was added while the service runs, also after restarts and
/// changes of leader, and against live jobs of that team that a restarted controller cannot handle.
#[test]
fn no_job_of_a_new_team_is_refused_for_good() {
    for seed in 41..45 {
        let mut w = world_with_replicas(seed, 4);
        let version = w.store_configuration(teams(vec![team("late", 2.0, 6.0)]), 0);
        w.run_until(ROLLOUT_S, "no controller acts on an older version", |w| {
            w.no_other_version_in_force(version)
        });
        for i in 0..6 {
            w.submit(job(10 + i, 3, json!({"crew": "late"})));
        }
        w.run_until(90, "all jobs are done", |w| {
            (10..16).all(|i| w.jobs[&format!("j-{i:06}")].done_confirmed_at.is_some())
        });
        w.restart(0);
        w.run_until(30, "a controller leads", |w| w.leader().is_some());
        replace_leader(&mut w);
        w.submit(job(20, 12, json!({"crew": "late"})));
        w.run(3);
        // All controllers restart, and each reads the live jobs before the configuration document.
        (0..3).for_each(|node| w.restart(node));
        w.run_until(90, "the job is done", |w| {
            w.jobs["j-000020"].done_confirmed_at.is_some()
        });
        w.finish();
    }
}

/// Guards against a job that is accepted under an old configuration. Submissions are under way while the team is
/// removed; none may be stored after the version that removes the team.
#[test]
fn no_job_is_accepted_under_an_older_version() {
    for seed in 46..50 {
        let mut w = world_with_replicas(seed, 2);
        let mut without_red = limit_of_red(16.0);
        without_red.teams[0].removed = true;
        w.store_configuration(without_red, 0);
        let stored = w.state.version(CURRENT_VERSION_KEY);
        // The controllers do not know of the new version yet, and their transactions are under way.
        for i in 0..9 {
            w.submit_once(job(50 + i, 1, json!({"crew": "red"})), i as usize % 3);
        }
        w.run(5);
        for i in 50..59 {
            let key = format!("gh/live/j-{i:06}");
            assert!(
                w.state.version(&key) < stored,
                "{key} was accepted after its team was removed"
            );
        }
        w.finish();
    }
}

/// Guards against a service that stops because of a damaged version record. The record of the current version is a
/// bare number, names a document that is not stored, or is deleted. The last valid version must stay in force; in the
/// first two cases also after a restart of all controllers.
#[test]
fn an_invalid_version_record_leaves_the_last_valid_version() {
    for (seed, broken) in [
        (50, "7"),
        (
            51,
            "{\"version\":9,\"id\":\"9-x\",\"parts\":2,\"at\":0,\"by\":\"\",\"why\":\"\"}",
        ),
        (52, ""),
    ] {
        let mut w = world_with_replicas(seed, 4);
        let version = w.store_configuration(limit_of_red(6.0), 0);
        w.run_until(ROLLOUT_S, "the version is in force", |w| {
            w.in_force(version)
        });
        match broken {
            "" => w.state.remove(CURRENT_VERSION_KEY),
            text => w.state.put(CURRENT_VERSION_KEY, text),
        }
        w.run(ROLLOUT_S);
        assert!(w.in_force(version), "{:?}", w.versions());
        w.submit(job(2, 10, json!({"crew": "red"})));
        w.run_until(60, "a new job is done", |w| {
            w.jobs["j-000002"].done_confirmed_at.is_some()
        });
        if !broken.is_empty() {
            // Restarted controllers find the last valid version as well.
            (0..3).for_each(|node| w.restart(node));
            w.run_until(20, "the version is in force", |w| w.in_force(version));
            w.submit(job(3, 10, json!({"crew": "red"})));
            w.run_until(90, "a new job is done", |w| {
                w.jobs["j-000003"].done_confirmed_at.is_some()
            });
        }
        w.finish();
    }
}

/// Guards against documents that are applied in part. A document with an unknown field, as of a later release, with a
/// guarantee above the limit, or with an invalid policy must be refused whole, and the version in force must stay.
#[test]
fn unknown_or_invalid_documents_are_refused_whole() {
    let mut w = world_with_replicas(53, 4);
    let version = w.store_configuration(limit_of_red(6.0), 0);
    w.run_until(ROLLOUT_S, "the version is in force", |w| {
        w.in_force(version)
    });
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
        w.run(ROLLOUT_S);
        assert!(w.in_force(version), "{document}: {:?}", w.versions());
    }
    w.state.remove(HISTORY_KEY);
    w.submit(job(2, 10, json!({"crew": "red"})));
    w.run_until(60, "a new job is done", |w| {
        w.jobs["j-000002"].done_confirmed_at.is_some()
    });
    w.finish();
}

/// Guards against changed limits in a cluster of several shards: a document that changes only objectives must come
/// into force, and a document that changes a limit must not.
#[test]
fn several_shards_keep_limits_and_change_objectives() {
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
    let version = w.store_configuration(objectives, 0);
    w.run_until(ROLLOUT_S, "the version is in force", |w| {
        w.in_force(version)
    });
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
    w.run(ROLLOUT_S);
    assert!(w.in_force(version), "{:?}", w.versions());
    w.run_until(120, "the array is done", |w| {
        w.jobs["j-000001"].done_confirmed_at.is_some()
    });
    w.finish();
}

/// Guards against configuration records that no operator stored: every controller must report version 0, and no key
/// of the configuration may exist.
#[test]
fn a_cluster_without_a_stored_version_runs_with_version_0() {
    let w = world_with_replicas(55, 4);
    assert!(w.state.keys("gh/config/").is_empty() && w.state.value(CURRENT_VERSION_KEY).is_none());
    assert!(w.versions().iter().all(|v| v.version == 0));
    w.finish();
}

/// Guards against final refusals by an outdated configuration. A follower is frozen for 9 s while a team is added,
/// and gets submissions of that team as it resumes.
#[test]
fn a_resumed_controller_refuses_nothing_by_an_old_version() {
    for seed in 56..60 {
        let mut w = world_with_replicas(seed, 2);
        let follower = (w.leader().expect("a controller leads") + 1) % 3;
        let until = w.now + 9 * SECOND;
        w.faults.frozen_until.insert(follower, until);
        let version = w.store_configuration(teams(vec![team("late", 2.0, 6.0)]), 0);
        w.run(8);
        assert!(w.nodes.len() == 3 && version == 1);
        let before = w.invalid_submissions.len();
        for i in 0..8 {
            w.submit_invalid(job(60 + i, 1, json!({"crew": "late"})), "never", follower);
            w.run_micros(150_000);
        }
        w.run(4);
        // Status 422 is a final refusal. An acceptance or a request to retry later is allowed.
        assert_eq!(w.invalid_submissions.len(), before + 8);
        let refused = w.violations.iter().filter(|b| b.contains("422")).count();
        assert_eq!(refused, 0, "{:?}", w.violations);
    }
}

/// Guards against starts under an old version in an outage. Only the peers know of the lowered limit when the state
/// service goes down for all controllers; the leader must learn of it from them and act on no older version.
#[test]
fn a_newer_version_at_a_peer_stops_starts_in_an_outage() {
    for seed in 60..64 {
        let mut w = world_with_replicas(seed, 4);
        let first = w.store_configuration(limit_of_red(8.0), 0);
        w.submit(job(2, 60, json!({"crew": "red", "rigs": ["small"]})));
        w.run_until(30, "the version is in force", |w| {
            w.in_force(first) && tasks_of_red(w) >= 6
        });
        let leader = w.leader().expect("a controller leads");
        // The state service refuses the leader alone while the peers learn of the change, and then it is down for all
        // controllers.
        w.extra_queries = 3;
        w.faults.store_refuses.insert(leader);
        w.faults.partitioned.extend(
            (0..3)
                .filter(|i| *i != leader)
                .flat_map(|i| [(i, leader), (leader, i)]),
        );
        let version = w.store_configuration(limit_of_red(4.0), 0);
        w.run_micros(1_200_000);
        assert!(
            w.versions().iter().any(|v| v.version == version),
            "no controller knows the new version"
        );
        w.state.down = true;
        w.faults.partitioned.clear();
        w.run(25);
        assert!(w.no_other_version_in_force(version), "{:?}", w.versions());
        w.end_faults();
        w.store_configuration(limit_of_red(24.0), 0);
        w.run_until(120, "the array is done", |w| {
            w.jobs["j-000002"].done_confirmed_at.is_some()
        });
        w.finish();
    }
}
