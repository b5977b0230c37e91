//! Short tests: a whole cluster in memory, on a simulated clock, with the rules checked.

mod cancellation_and_failover;
mod concurrent_failures;
mod configuration;
mod constrained_processor;
mod failover;
mod harness;
mod large_clusters;
mod leader_view;
mod one_way_partition;
mod operations;
mod pipelines;
mod scheduling_cost;
mod sharding;
mod unseen_cancellation;
mod upgrade;
mod usage_ledger;

use gannethub_core::controller::VOTE_DURATION;
use harness::{LEASE, SECOND, World, job};
use rand::Rng;
use serde_json::json;

/// How long grants last under the built-in policy.
const TTL: u64 = 3 * SECOND;

/// A world with work on its machines.
fn busy(seed: u64) -> World {
    let mut w = World::new(3, seed);
    w.run(2);
    w.submit(job(1, 20, json!({})));
    w.submit(job(
        2,
        3,
        json!({"shape": "group", "together": true, "crew": "red"}),
    ));
    w.submit(job(3, 2, json!({"shape": "service"})));
    w.run_until(30, "work is running", |w| w.starts > 4);
    w
}

#[test]
fn arrays_gangs_and_services_run_and_the_fleet_is_given_back() {
    let mut w = busy(1);
    w.run_until(90, "the array and the gang are done", World::all_over);
    assert_eq!(w.jobs["j-000003"].status, "running");
    w.cancel(3);
    w.run_until(120, "all machines are returned", |w| w.workers.is_empty());
    assert!(w.state.keys("gh/live/").is_empty());
    assert_eq!(w.state.keys("gh/over/").len(), 3);
    w.finish();
}

#[test]
fn gpus_zones_spread_and_on_demand_rules_are_kept() {
    let mut w = World::new(3, 2);
    w.submit(job(
        1,
        2,
        json!({"cards": 3.0, "vcpus": 2.0, "rigs": ["gpu"], "yard": "b"}),
    ));
    w.submit(job(2, 9, json!({"scatter": true, "loaners": false})));
    w.submit(job(
        3,
        6,
        json!({"shape": "group", "together": true, "vcpus": 2.0}),
    ));
    w.submit(job(4, 5, json!({"shape": "group", "scatter": true})));
    w.submit(job(
        5,
        8,
        json!({"together": true, "crew": "red", "vcpus": 4.0}),
    ));
    w.run_until(180, "all are done", World::all_over);
    w.finish();
}

#[test]
fn a_team_never_exceeds_its_limit_however_much_it_asks_for() {
    let mut w = World::new(1, 3);
    for i in 0..6 {
        w.submit(job(i, 12, json!({"crew": "red", "vcpus": 2.0})));
    }
    w.run_until(240, "all are done", World::all_over);
    w.finish();
}

#[test]
fn a_new_leader_takes_over_within_seconds_and_loses_nothing() {
    let mut w = busy(4);
    let old = w.leader().expect("someone leads");
    w.crash(old, 30 * SECOND);
    let limit = TTL / SECOND + 3;
    w.run_until(limit, "another leads", |w| {
        w.leader().is_some_and(|l| l != old)
    });
    w.run_until(120, "all are done", World::all_over);
    w.finish();
}

#[test]
fn all_controllers_crash_and_every_accepted_job_is_still_done() {
    let mut w = busy(5);
    (0..3).for_each(|i| w.crash(i, 6 * SECOND));
    w.run_until(150, "all are done", World::all_over);
    w.finish();
}

#[test]
fn votes_of_all_peers_carry_the_leader_through_an_outage() {
    let mut w = busy(6);
    let leader = w.leader();
    w.state.down = true;
    w.run(25);
    assert_eq!(
        w.leader(),
        leader,
        "it kept its authority for longer than any grant or lease"
    );
    w.state.down = false;
    w.run_until(120, "all are done", World::all_over);
    w.finish();
}

#[test]
fn a_leader_refused_by_the_state_service_alone_gets_no_vote_and_is_replaced() {
    let mut w = busy(7);
    let old = w.leader().expect("someone leads");
    w.faults.store_refuses.insert(old);
    w.run_until(12, "another leads", |w| {
        w.leader().is_some_and(|l| l != old)
    });
    w.run_until(120, "all are done", World::all_over);
    w.finish();
}

#[test]
fn an_outage_in_which_a_peer_is_down_ends_the_leaders_authority() {
    let mut w = busy(8);
    let leader = w.leader().expect("someone leads");
    w.crash((leader + 1) % 3, 60 * SECOND);
    w.run(1);
    w.state.down = true;
    w.run((TTL + VOTE_DURATION) / SECOND + 2);
    assert_eq!(w.leader(), None);
    w.state.down = false;
    w.run_until(150, "all are done", World::all_over);
    w.finish();
}

#[test]
fn workers_that_cannot_reach_the_leader_are_relayed_by_a_peer() {
    let mut w = busy(9);
    w.submit(job(10, 12, json!({"yard": "a"})));
    w.run(3);
    let leader = w.leader().expect("someone leads");
    w.faults.unreachable_zones.insert((leader, "a".into()));
    w.faults.unreachable_zones.insert((leader, "b".into()));
    let lost = w
        .workers
        .values()
        .map(|m| m.name.clone())
        .collect::<Vec<_>>();
    w.run_until(120, "all are done", World::all_over);
    assert_eq!(
        w.leader(),
        Some(leader),
        "it hears its workers through its peers"
    );
    assert!(!lost.is_empty());
    w.finish();
}

#[test]
fn a_zone_cut_from_the_leader_keeps_its_leases_through_the_third_controller() {
    let mut w = busy(18);
    let leader = w.leader().expect("someone leads");
    let near = (leader + 1) % 3;
    // The workers and one controller are on the far side of a cut.
    w.faults
        .partitioned
        .extend([(leader, near), (near, leader)]);
    w.faults.unreachable_zones.insert((leader, "a".into()));
    w.faults.unreachable_zones.insert((leader, "b".into()));
    let sessions: Vec<(String, u64)> = w
        .workers
        .values()
        .map(|m| (m.name.clone(), m.session))
        .collect();
    w.run(30);
    assert_eq!(w.leader(), Some(leader));
    for (name, session) in sessions {
        let now = w.workers.get(&name).map(|m| m.session);
        assert!(now.is_none_or(|s| s == session), "{name} lost its lease");
    }
    w.faults.partitioned.clear();
    w.faults.unreachable_zones.clear();
    w.run_until(120, "all are done", World::all_over);
    w.finish();
}

#[test]
fn a_leader_that_hears_nobody_makes_way() {
    let mut w = busy(10);
    let old = w.leader().expect("someone leads");
    for other in (0..3).filter(|o| *o != old) {
        w.faults.partitioned.insert((old, other));
        w.faults.partitioned.insert((other, old));
    }
    w.faults.unreachable_zones.insert((old, "a".into()));
    w.faults.unreachable_zones.insert((old, "b".into()));
    w.run_until(12, "another leads", |w| {
        w.leader().is_some_and(|l| l != old)
    });
    w.run(10);
    // What was held back in the network comes now, long after the takeover.
    w.faults.partitioned.clear();
    w.faults.unreachable_zones.clear();
    w.run_until(120, "all are done", World::all_over);
    w.finish();
}

#[test]
fn a_hung_machine_that_resumes_within_its_lease_never_runs_a_task_twice() {
    for seed in 20..26 {
        let mut w = busy(seed);
        let until = w.now + LEASE - SECOND / 2 + seed * 100_000;
        w.workers.values_mut().for_each(|m| m.hung_until = until);
        let leader = w.leader().expect("someone leads");
        w.crash(leader, 5 * SECOND);
        w.run_until(150, "all are done", World::all_over);
        w.finish();
    }
}

#[test]
fn the_checker_sees_a_task_run_twice_when_leases_are_not_waited_out() {
    // Controllers that believe in a lease far shorter than the workers' start tasks elsewhere
    // while the first machine still runs them.
    let mut w = World::with_lease(3, 11, 1.0);
    w.run(2);
    w.submit(job(1, 8, json!({"shape": "service"})));
    w.run_until(30, "all replicas run", |w| w.starts >= 8);
    let until = w.now + 60 * SECOND;
    w.workers.values_mut().for_each(|m| m.hung_until = until);
    w.cloud.no_deletes = true;
    w.cloud.capacity = 30;
    for _ in 0..30 {
        w.run(1);
        if w.broken.iter().any(|b| b.starts_with("ran_twice")) {
            return;
        }
    }
    panic!("the broken guard was not noticed: {:?}", w.broken);
}

#[test]
fn cancelled_means_gone_in_time_and_for_good_on_every_node() {
    let mut w = busy(12);
    w.submit(job(7, 30, json!({"stamp_every_s": 2.0, "stamp_s": 4.0})));
    w.run(8);
    w.cancel(7);
    w.cancel(2);
    w.run_until(10, "the user is told", |w| {
        w.jobs["j-000007"].told_cancelled.is_some()
    });
    let leader = w.leader().expect("someone leads");
    w.crash(leader, 6 * SECOND);
    w.run(40);
    w.check_cancelled();
    w.run_until(120, "all are over", World::all_over);
    w.finish();
}

#[test]
fn late_transactions_change_nothing_that_was_told() {
    for seed in 30..34 {
        let mut w = World::new(3, seed);
        w.faults.late_commit_rate = 0.2;
        w.run(2);
        for i in 0..5 {
            w.submit(job(i, 6, json!({})));
        }
        w.run(10);
        w.cancel(3);
        w.run(20);
        w.faults.late_commit_rate = 0.0;
        w.run_until(200, "all are over", World::all_over);
        w.finish();
    }
}

#[test]
fn a_faulty_machine_is_told_from_a_faulty_job() {
    let mut w = World::new(3, 13);
    w.run(2);
    w.submit(job(1, 16, json!({})));
    w.submit(job(2, 6, json!({"jobclass": "broken"})));
    w.run_until(30, "machines are up", |w| {
        w.workers.values().any(|m| m.token > 0)
    });
    let bad = w.workers.keys().next().cloned().expect("a machine");
    w.workers.get_mut(&bad).expect("it is there").faulty = true;
    w.run_until(150, "the good job is done", |w| {
        w.jobs["j-000001"].told_done.is_some()
    });
    w.submit(job(3, 4, json!({})));
    w.run_until(60, "other work still runs", |w| {
        w.jobs["j-000003"].told_done.is_some()
    });
    w.cancel(2);
    w.run_until(60, "the broken job is cancelled", World::all_over);
    w.finish();
}

#[test]
fn a_spot_notice_empties_the_machine_and_its_work_goes_on_elsewhere() {
    let mut w = World::new(3, 14);
    w.run(2);
    w.submit(job(
        1,
        3,
        json!({"shape": "service", "stamp_every_s": 2.0, "stamp_s": 1.0}),
    ));
    w.run_until(30, "the replicas run", |w| w.starts >= 3);
    w.workers.values_mut().for_each(|m| m.notice = true);
    let noticed: Vec<String> = w.workers.keys().cloned().collect();
    w.run_until(60, "the noticed machines are returned", |w| {
        noticed.iter().all(|m| !w.workers.contains_key(m))
    });
    w.run_until(60, "the replicas run again", |w| {
        w.workers
            .values()
            .flat_map(|m| m.tasks.values())
            .filter(|t| t.on_machine())
            .count()
            == 3
    });
    w.finish();
}

#[test]
fn a_gathered_gang_does_not_keep_room_that_its_zone_rule_forbids() {
    for seed in 17..23 {
        // All the capacity stands idle in one zone, and half the gang needs the other: keeping all of
        // it for the gang would leave the cloud without a machine to rent there, for ever.
        let mut w = World::new(3, seed);
        w.run(2);
        w.cloud.capacity = 9;
        w.submit(job(
            1,
            36,
            json!({"yard": "a", "shape": "group", "rigs": ["small"]}),
        ));
        w.run_until(60, "the first gang is done", World::all_over);
        assert_eq!(w.workers.len(), w.cloud.capacity);
        let more = json!({"shape": "group", "scatter": true, "rank": "urgent", "rigs": ["small"]});
        w.submit(job(2, 13, more));
        w.run_until(240, "the second is done", World::all_over);
        w.finish();
    }
}

#[test]
fn a_repeated_submission_gets_the_jobs_state_even_when_it_would_now_be_refused() {
    let mut w = World::new(3, 15);
    w.run(3);
    w.submit(job(1, 2, json!({})));
    w.run_until(90, "it is done", World::all_over);
    w.jobs.get_mut("j-000001").expect("known").body = json!({"id": "j-000001", "crew": "nobody"});
    for _ in 0..6 {
        w.ask("j-000001", "submit");
        w.run(1);
    }
    w.jobs.get_mut("j-000001").expect("known").body = job(1, 2, json!({}));
    w.finish();
}

#[test]
fn an_array_of_many_thousand_tasks_keeps_its_values_small() {
    let mut w = World::new(1, 16);
    w.cloud.capacity = 10;
    w.run(2);
    w.submit(job(1, 9000, json!({"vcpus": 1.0})));
    w.run(60);
    let leader = w.leader().expect("someone leads");
    w.crash(leader, 2 * SECOND);
    w.run(30);
    let done = w.nodes[0].controller.as_ref().and_then(|c| c.cluster());
    let done = done.map_or(0, |c| c.jobs["j-000001"].tasks.done.len());
    assert!(done > 50, "completions survive: {done}");
    w.cancel(1);
    w.run_until(90, "it is cancelled", World::all_over);
    w.finish();
}

/// Faults at random against the checker. The seeds are fixed, so the verdict is always the same.
#[test]
fn random_troubles_break_no_rule() {
    for seed in 100..112 {
        troubles(seed, Kind::Plain).finish();
    }
    for seed in 112..118 {
        troubles(seed, Kind::Patient).finish();
    }
}

/// What is switched on in a test.
#[derive(Clone, Copy)]
enum Kind {
    Plain,
    /// Controllers are woken as rarely as they allow.
    Patient,
    Ledger,
    Shards(u32),
}

/// A day of troubles drawn from `seed`, played until all jobs are over.
fn troubles(seed: u64, kind: Kind) -> World {
    let limits = "[cluster.state.next]\nvalue_kb = 2.0\ntxn_ops = 4\nwrite_rps = 60.0\n\
            [cluster.cloud]";
    let next_limits = |text: String| text.replace("[cluster.cloud]", limits);
    let mut w = match kind {
        Kind::Ledger => World::with_ledger(3, seed, &next_limits),
        Kind::Plain | Kind::Patient => {
            World::with_settings(3, seed, LEASE as f64 / SECOND as f64, &next_limits)
        }
        Kind::Shards(blocks) => World::with_shards(3, seed, blocks, &next_limits),
    };
    w.patient = matches!(kind, Kind::Patient);
    w.run(2);
    let mut next = 1;
    let mut mistakes = 0;
    let mut services = Vec::new();
    for _ in 0..24 {
        let tasks = w.rng.random_range(1..14);
        let shape = ["array", "array", "group", "service"][w.rng.random_range(0..4)];
        let crew = ["red", "blue"][w.rng.random_range(0..2)];
        let rank = ["low", "normal", "urgent"][w.rng.random_range(0..3)];
        let (together, scatter) = (w.rng.random_bool(0.3), w.rng.random_bool(0.2));
        let stamp = if w.rng.random_bool(0.5) { 1.0 } else { 0.0 };
        if next < 12 {
            // Up to two of those before it, if they were accepted: nobody names a service.
            let names = |w: &World, i: u32| {
                let id = format!("j-{i:06}");
                let j = &w.jobs[&id];
                (j.accepted.is_some() && j.body["shape"] != "service").then_some(id)
            };
            let draw: Vec<u32> = (0..2).map(|_| w.rng.random_range(0..2 * next)).collect();
            let before = draw.into_iter().filter(|i| (1..next).contains(i));
            let on: Vec<String> = before.filter_map(|i| names(&w, i)).collect();
            let more = json!({"shape": shape, "crew": crew, "rank": rank, "together": together,
                    "scatter": scatter && !together, "stamp_every_s": stamp, "stamp_s": stamp,
                    "waits_on": on});
            w.submit(job(next, tasks, more));
            next += 1;
        }
        match w.rng.random_range(0..17) {
            15 => w.state.limits = (2048, 4),
            0 | 1 => {
                let n = w.rng.random_range(0..3);
                w.crash(n, 6 * SECOND);
            }
            2 => w.state.down = !w.state.down,
            3 => {
                let pair = (w.rng.random_range(0..3), w.rng.random_range(0..3));
                w.faults.partitioned.insert(pair);
            }
            4 => w.faults.partitioned.clear(),
            5 => {
                let until = w.now + w.rng.random_range(SECOND..20 * SECOND);
                if let Some(m) = w.workers.values_mut().next() {
                    m.hung_until = until;
                }
            }
            6 => {
                if let Some(m) = w.workers.values_mut().last() {
                    m.dead = true;
                    m.tasks.clear();
                }
            }
            7 => {
                let n = w.rng.random_range(0..3);
                w.faults.unreachable_zones.insert((n, "a".into()));
            }
            8 => w.faults.unreachable_zones.clear(),
            9 => {
                w.faults.late_commit_rate = if w.faults.late_commit_rate > 0.0 {
                    0.0
                } else {
                    0.1
                }
            }
            10 => {
                let (least, most) =
                    [(1, 2), (1_000, 4_000), (3_000, 15_000)][w.rng.random_range(0..3)];
                w.cloud.boot = (least * 1000, most * 1000);
                w.cloud.never_boot = [0.0, 0.2][w.rng.random_range(0..2)];
            }
            11 => w.cloud.list_lag = w.rng.random_range(0..12) * SECOND,
            12 => w.queries = [0, 5][w.rng.random_range(0..2)],
            13 => {
                let n = w.rng.random_range(0..3);
                if !w.faults.store_refuses.remove(&n) {
                    w.faults.store_refuses.insert(n);
                }
            }
            14 => {
                let broken = json!({"crew": crew, "jobclass": "broken", "shape": shape});
                mistakes += 1;
                w.submit(job(900 + mistakes, tasks, broken));
                w.run(6);
                w.cancel(900 + mistakes);
            }
            _ => {
                let n = w.rng.random_range(1..=next);
                w.cancel(n);
            }
        }
        w.run(7);
        w.check_cancelled();
    }
    w.state.down = false;
    w.faults.partitioned.clear();
    w.faults.unreachable_zones.clear();
    w.faults.late_commit_rate = 0.0;
    w.faults.store_refuses.clear();
    w.cloud.never_boot = 0.0;
    w.queries = 0;
    (1..=mistakes).for_each(|i| w.cancel(900 + i));
    // Replicas hold their team's room until they are cancelled.
    (1..next)
        .filter(|i| w.jobs[&format!("j-{i:06}")].body["shape"] == "service")
        .for_each(|i| services.push(i));
    services.drain(..).for_each(|i| w.cancel(i));
    w.run_until(400, "all are over", World::all_over);
    assert_eq!(w.state.too_large, 0, "seed {seed}");
    w
}
