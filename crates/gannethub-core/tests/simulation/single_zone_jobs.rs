//! Jobs whose tasks all have to be in one zone: they must not be held in a zone that has room for some of them only.

use serde_json::{Value, json};

use crate::harness::{SECOND, World, job};

/// A zone with one machine, which a service uses in part.
const FIRST_ZONE: &str = "a";

/// Number of small machines of an offer: zone, whether spot, and the number.
type OfferCapacity = (&'static str, bool, usize);

/// Returns a world in which a service of one small replica runs in each of `zones`, with the cloud's capacity as given.
fn world_with_services(seed: u64, zones: &[&str], capacities: &[OfferCapacity]) -> World {
    let mut w = World::new(3, seed);
    for machine_type in w.cloud.flavors["rigs"].as_array_mut().into_iter().flatten() {
        machine_type["yards"] = json!(["a", "b", "c"]);
    }
    let offers: Vec<_> = capacities
        .iter()
        .map(|(zone, spot, count)| ("small", *zone, *spot, *count))
        .collect();
    w.limit_offers(&offers);
    w.run(2);
    w.end_faults();
    for (number, zone) in zones.iter().enumerate() {
        let service = json!({"shape": "service", "yard": zone});
        w.submit(job(10 + number as u32, 1, service));
    }
    w.run_until(30, "the services run", |w| w.starts == zones.len());
    w
}

/// Returns a job of tasks of three quarters of a small machine, all in one zone.
fn single_zone_job(shape: &str, tasks: u32) -> Value {
    let fields = json!({"shape": shape, "together": true, "vcpus": 3.0, "crew": "red"});
    job(1, tasks, fields)
}

fn zones_of_job(w: &World) -> Vec<String> {
    let runs = |m: &&crate::harness::Worker| m.tasks.keys().any(|t| t.starts_with("j-000001/"));
    w.workers
        .values()
        .filter(runs)
        .map(|m| m.zone.clone())
        .collect()
}

fn run_until_all_run(w: &mut World, tasks: usize) {
    w.run_until(60, "all tasks run", |w| zones_of_job(w).len() == tasks);
    w.run(5);
    assert!(w.violations.is_empty(), "{:?}", w.violations);
}

/// Guards against a gang that is never started because its plan begins in a zone with room for one task, where the cloud
/// has no further machine, and tries no other zone.
#[test]
fn a_gang_is_planned_in_a_zone_that_can_take_all_of_it() {
    let mut w = world_with_services(1, &["a"], &[("a", false, 1), ("b", false, 2)]);
    w.submit(single_zone_job("group", 2));
    w.run_until(60, "the gang is done", |w| {
        w.jobs["j-000001"].done_confirmed_at.is_some()
    });
    w.finish();
}

/// Guards against the same where two zones have room for one task each, and the third one can take the gang.
#[test]
fn a_gang_tries_every_zone() {
    let capacities = [("a", false, 1), ("b", false, 1), ("c", false, 2)];
    let mut w = world_with_services(2, &["a", "b"], &capacities);
    w.submit(single_zone_job("group", 2));
    w.run_until(60, "the gang is done", |w| {
        w.jobs["j-000001"].done_confirmed_at.is_some()
    });
    w.finish();
}

/// Guards against a gang that waits for spot machines in the zone of its first task, which the cloud refuses, although
/// another zone has ordinary ones.
#[test]
fn a_gang_leaves_a_zone_that_refuses_spot_machines() {
    let mut w = world_with_services(3, &["a"], &[("a", true, 1), ("b", false, 2)]);
    w.submit(single_zone_job("group", 2));
    w.run_until(60, "the gang is done", |w| {
        w.jobs["j-000001"].done_confirmed_at.is_some()
    });
    w.finish();
}

/// Guards against a gang that waits for a machine of its first task's zone that never boots.
#[test]
fn a_gang_leaves_a_zone_whose_machine_does_not_boot() {
    let mut w = world_with_services(4, &["a"], &[("a", false, 2), ("b", false, 2)]);
    let usual_boot = w.cloud.boot;
    w.cloud.boot = (1000 * SECOND, 1001 * SECOND);
    w.submit(job(2, 1, json!({"vcpus": 4.0, "yard": FIRST_ZONE})));
    w.run_until(30, "a machine boots", |w| w.workers.len() == 2);
    w.cloud.boot = usual_boot;
    w.cancel(2);
    w.submit(single_zone_job("group", 2));
    w.run_until(60, "the gang is done", |w| {
        w.jobs["j-000001"].done_confirmed_at.is_some()
    });
    w.finish();
}

/// Guards against a gang that waits for room that is reserved for another gang, although another zone can take it.
#[test]
fn a_gang_leaves_a_zone_whose_machines_are_reserved() {
    let mut w = world_with_services(5, &["a"], &[("a", false, 2), ("b", false, 2)]);
    w.run_time_range = (40 * SECOND, 41 * SECOND);
    w.submit(job(
        2,
        1,
        json!({"vcpus": 4.0, "yard": FIRST_ZONE, "guess_s": 40.0}),
    ));
    w.run_until(30, "a task runs in the zone", |w| w.starts == 2);
    let other = json!({"shape": "group", "vcpus": 3.0, "yard": FIRST_ZONE, "rank": "urgent"});
    w.submit(job(3, 2, other));
    w.run(2);
    w.submit(single_zone_job("group", 2));
    w.run_until(30, "the gang runs", |w| zones_of_job(w) == ["b", "b"]);
    w.finish();
}

/// Guards against an array whose tasks run one after the other in a zone with room for one of them, although another
/// zone can take all.
#[test]
fn an_array_runs_in_a_zone_that_can_take_all_of_it() {
    let mut w = world_with_services(6, &["a"], &[("a", false, 1), ("b", false, 4)]);
    w.run_time_range = (60 * SECOND, 61 * SECOND);
    let mut array = single_zone_job("array", 4);
    array["guess_s"] = json!(60.0);
    w.submit(array);
    run_until_all_run(&mut w, 4);
    assert_eq!(zones_of_job(&w), ["b"; 4]);
    w.finish();
}

/// Guards against a service whose first replica runs for ever in a zone with no room for the others.
#[test]
fn a_service_runs_in_a_zone_that_can_take_all_replicas() {
    let mut w = world_with_services(7, &["a"], &[("a", false, 1), ("b", false, 3)]);
    w.submit(single_zone_job("service", 3));
    run_until_all_run(&mut w, 3);
    assert_eq!(zones_of_job(&w), ["b"; 3]);
    w.finish();
}

/// Guards against a service or array that waits for ever because no zone can take all of it: what fits runs.
#[test]
fn a_job_that_no_zone_can_take_runs_in_part() {
    for (seed, shape) in [(8, "service"), (9, "array")] {
        let mut w = world_with_services(seed, &["a"], &[("a", false, 1), ("b", false, 2)]);
        w.submit(single_zone_job(shape, 4));
        w.run_until(60, "some tasks run", |w| !zones_of_job(w).is_empty());
        w.finish();
    }
}

/// Guards against a job that waits without a bound for a zone about which the cloud gives no answer, beside capacity for
/// some of its tasks.
#[test]
fn a_job_does_not_wait_for_ever_for_answers_of_the_cloud() {
    for (seed, shape) in [(20, "service"), (21, "array")] {
        let mut w = world_with_services(seed, &["a"], &[("a", false, 1), ("b", false, 2)]);
        w.faults.provisioning_unanswered = true;
        w.submit(single_zone_job(shape, 2));
        w.run_until(90, "some tasks run", |w| !zones_of_job(w).is_empty());
        w.faults.provisioning_unanswered = false;
        w.finish();
    }
}

/// Guards against a service that loses all replicas at once and then runs in part, in a zone with room for one of them,
/// because it was accepted long ago.
#[test]
fn a_service_that_lost_all_replicas_waits_for_a_zone_again() {
    for (seed, crashes) in [(22, false), (23, true)] {
        let mut w = world_with_services(seed, &["a"], &[("a", false, 1), ("b", false, 6)]);
        w.submit(single_zone_job("service", 3));
        run_until_all_run(&mut w, 3);
        let machines = w.workers.values_mut();
        machines
            .filter(|m| m.zone == "b")
            .for_each(|m| m.dead = true);
        if crashes {
            w.crash_leader(SECOND);
        }
        w.run(60);
        let is_alive = |w: &World, zone: &str| {
            w.workers.values().any(|m| {
                m.zone == zone && !m.dead && m.tasks.keys().any(|t| t.starts_with("j-000001/"))
            })
        };
        assert!(!is_alive(&w, "a") && is_alive(&w, "b"));
        w.finish();
    }
}

/// Guards against a job that settles in a zone with room for some of its tasks as soon as there is any, because it waited
/// for long while there was none.
#[test]
fn time_without_capacity_does_not_shorten_the_wait_for_a_zone() {
    let mut w = world_with_services(24, &["a"], &[("a", false, 1), ("b", false, 2)]);
    w.run_time_range = (80 * SECOND, 81 * SECOND);
    w.submit(job(
        2,
        1,
        json!({"vcpus": 3.0, "yard": FIRST_ZONE, "guess_s": 80.0}),
    ));
    w.run_until(30, "the zone is full", |w| w.starts == 2);
    w.faults.provisioning_unanswered = true;
    w.submit(single_zone_job("service", 2));
    w.run_until(100, "the zone has room", |w| {
        w.jobs["j-000002"].done_confirmed_at.is_some()
    });
    w.run(20);
    assert!(zones_of_job(&w).is_empty());
    w.run_until(60, "some tasks run", |w| !zones_of_job(w).is_empty());
    w.finish();
}
