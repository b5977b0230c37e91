//! Simulation tests: a whole cluster in memory runs on a simulated clock while an independent checker verifies the
//! invariants.

mod cancellation_and_failover;
mod concurrent_failures;
mod configuration;
mod confirmed_cancellation;
mod constrained_processor;
mod failed_machines;
mod failover;
mod gang_image_fetches;
mod harness;
mod large_clusters;
mod late_relay_answers;
mod leader_view;
mod one_way_partition;
mod operations;
mod pipelines;
mod reserved_capacity;
mod scheduling_cost;
mod sharding;
mod single_zone_jobs;
mod unseen_cancellation;
mod upgrade;
mod usage_ledger;

use gannethub_core::controller::VOTE_DURATION;
use harness::{SECOND, WORKER_LEASE, World, job};
use rand::Rng;
use serde_json::json;

/// Duration of a store lease under the built-in policy, in microseconds.
const STORE_LEASE_DURATION: u64 = 3 * SECOND;

/// Returns the seeds that an environment variable names, such as `7..90` for the seeds 7 to 89.
fn seeds_in_variable(name: &str) -> Option<std::ops::Range<u64>> {
    let text = std::env::var(name).ok()?;
    let (first, end) = text.split_once("..")?;
    Some(first.parse().ok()?..end.parse().ok()?)
}

/// Returns a world in which an array, a gang and a service run on machines.
fn world_with_running_jobs(seed: u64) -> World {
    let mut w = World::new(3, seed);
    w.run(2);
    w.submit(job(1, 20, json!({})));
    w.submit(job(
        2,
        3,
        json!({"shape": "group", "together": true, "crew": "red"}),
    ));
    w.submit(job(3, 2, json!({"shape": "service"})));
    w.run_until(30, "tasks are running", |w| w.starts > 4);
    w
}

/// Guards against jobs that are not run to their end and against machines or job records left behind: once the array
/// and the gang are done and the service is cancelled, every machine is returned and no live job record remains.
#[test]
fn jobs_of_every_shape_run_and_all_machines_are_returned() {
    let mut w = world_with_running_jobs(1);
    w.run_until(90, "the array and the gang are done", World::all_jobs_ended);
    assert_eq!(w.jobs["j-000003"].status, "running");
    w.cancel(3);
    w.run_until(120, "all machines are returned", |w| w.workers.is_empty());
    assert!(w.state.keys("gh/live/").is_empty());
    assert_eq!(w.state.keys("gh/over/").len(), 3);
    w.finish();
}

/// Guards against placements that ignore a job's GPUs, machine type, zone, single-zone rule, spread rule or demand
/// for machines that are not spot instances. The checker examines every placement.
#[test]
fn placement_constraints_are_respected() {
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
    w.run_until(180, "all jobs are done", World::all_jobs_ended);
    w.finish();
}

/// Guards against a team above its limit: six arrays of one team ask for several times the limit of 16 CPUs.
#[test]
fn a_team_stays_within_its_limit() {
    let mut w = World::new(1, 3);
    for i in 0..6 {
        w.submit(job(i, 12, json!({"crew": "red", "vcpus": 2.0})));
    }
    w.run_until(240, "all jobs are done", World::all_jobs_ended);
    w.finish();
}

/// Guards against a slow takeover and against lost work. The leader crashes while tasks run; another controller leads
/// at most 3 s after the store lease has expired, and all jobs finish.
#[test]
fn a_leader_crash_leads_to_a_takeover_without_lost_work() {
    let mut w = world_with_running_jobs(4);
    let old = w.leader().expect("a controller leads");
    w.crash(old, 30 * SECOND);
    let limit = STORE_LEASE_DURATION / SECOND + 3;
    w.run_until(limit, "another controller leads", |w| {
        w.leader().is_some_and(|l| l != old)
    });
    w.run_until(120, "all jobs are done", World::all_jobs_ended);
    w.finish();
}

/// Guards against the loss of accepted jobs when all controllers crash at once and return 6 s later.
#[test]
fn accepted_jobs_finish_after_all_controllers_crash() {
    let mut w = world_with_running_jobs(5);
    (0..3).for_each(|i| w.crash(i, 6 * SECOND));
    w.run_until(150, "all jobs are done", World::all_jobs_ended);
    w.finish();
}

/// Guards against the loss of the leader in an outage of the state service. The leader cannot renew its store lease
/// for 25 s, longer than any store lease or worker lease, and leads on by the votes of all its peers.
#[test]
fn votes_of_all_peers_keep_the_leader_in_a_store_outage() {
    let mut w = world_with_running_jobs(6);
    let leader = w.leader();
    w.state.down = true;
    w.run(25);
    assert_eq!(
        w.leader(),
        leader,
        "the leader keeps its authority for longer than any store lease or worker lease"
    );
    w.state.down = false;
    w.run_until(120, "all jobs are done", World::all_jobs_ended);
    w.finish();
}

/// Guards against two leaders. The state service refuses the leader alone, so the peers, which still reach the state
/// service, must give the leader no vote and one of them must take over.
#[test]
fn a_leader_that_alone_lost_the_store_is_replaced() {
    let mut w = world_with_running_jobs(7);
    let old = w.leader().expect("a controller leads");
    w.faults.store_refuses.insert(old);
    w.run_until(12, "another controller leads", |w| {
        w.leader().is_some_and(|l| l != old)
    });
    w.run_until(120, "all jobs are done", World::all_jobs_ended);
    w.finish();
}

/// Guards against a leader that acts without the votes of all peers. One peer is down when the outage of the state
/// service begins, so the leader must stop once its store lease and the last votes have expired.
#[test]
fn a_store_outage_with_a_peer_down_ends_the_leadership() {
    let mut w = world_with_running_jobs(8);
    let leader = w.leader().expect("a controller leads");
    w.crash((leader + 1) % 3, 60 * SECOND);
    w.run(1);
    w.state.down = true;
    w.run((STORE_LEASE_DURATION + VOTE_DURATION) / SECOND + 2);
    assert_eq!(w.leader(), None);
    w.state.down = false;
    w.run_until(150, "all jobs are done", World::all_jobs_ended);
    w.finish();
}

/// Guards against the loss of the leader and of its workers when no worker of zones a and b reaches the leader: its
/// peers relay the heartbeats.
#[test]
fn peers_relay_heartbeats_that_cannot_reach_the_leader() {
    let mut w = world_with_running_jobs(9);
    w.submit(job(10, 12, json!({"yard": "a"})));
    w.run(3);
    let leader = w.leader().expect("a controller leads");
    w.faults.unreachable_zones.insert((leader, "a".into()));
    w.faults.unreachable_zones.insert((leader, "b".into()));
    let lost = w
        .workers
        .values()
        .map(|m| m.name.clone())
        .collect::<Vec<_>>();
    w.run_until(120, "all jobs are done", World::all_jobs_ended);
    assert_eq!(
        w.leader(),
        Some(leader),
        "the leader receives heartbeats through its peers"
    );
    assert!(!lost.is_empty());
    w.finish();
}

/// Guards against expired worker leases in a partition. The workers and one controller cannot reach the leader; the
/// third controller reaches both sides and must relay the heartbeats, so that no worker begins a new incarnation.
#[test]
fn worker_leases_survive_through_the_third_controller() {
    let mut w = world_with_running_jobs(18);
    let leader = w.leader().expect("a controller leads");
    let near = (leader + 1) % 3;
    w.faults
        .partitioned
        .extend([(leader, near), (near, leader)]);
    w.faults.unreachable_zones.insert((leader, "a".into()));
    w.faults.unreachable_zones.insert((leader, "b".into()));
    let incarnations: Vec<(String, u64)> = w
        .workers
        .values()
        .map(|m| (m.name.clone(), m.incarnation))
        .collect();
    w.run(30);
    assert_eq!(w.leader(), Some(leader));
    for (name, incarnation) in incarnations {
        let now = w.workers.get(&name).map(|m| m.incarnation);
        assert!(
            now.is_none_or(|s| s == incarnation),
            "{name} lost its lease"
        );
    }
    w.faults.partitioned.clear();
    w.faults.unreachable_zones.clear();
    w.run_until(120, "all jobs are done", World::all_jobs_ended);
    w.finish();
}

/// Guards against a leader that keeps its store lease but receives nothing from peers and workers: another controller
/// must take over, and messages held by the network until long after the takeover must do no harm.
#[test]
fn a_leader_without_peers_and_workers_is_replaced() {
    let mut w = world_with_running_jobs(10);
    let old = w.leader().expect("a controller leads");
    for other in (0..3).filter(|o| *o != old) {
        w.faults.partitioned.insert((old, other));
        w.faults.partitioned.insert((other, old));
    }
    w.faults.unreachable_zones.insert((old, "a".into()));
    w.faults.unreachable_zones.insert((old, "b".into()));
    w.run_until(12, "another controller leads", |w| {
        w.leader().is_some_and(|l| l != old)
    });
    w.run(10);
    w.faults.partitioned.clear();
    w.faults.unreachable_zones.clear();
    w.run_until(120, "all jobs are done", World::all_jobs_ended);
    w.finish();
}

/// Guards against a task that runs twice. All machines hang for 11.5 s to 12 s, by the seed, while worker leases last
/// 10 s, and the leader crashes meanwhile; the new leader must not start a task elsewhere while a machine may still
/// run the task.
#[test]
fn no_task_runs_twice_when_hung_machines_resume() {
    for seed in 20..26 {
        let mut w = world_with_running_jobs(seed);
        let until = w.now + WORKER_LEASE - SECOND / 2 + seed * 100_000;
        w.workers.values_mut().for_each(|m| m.hung_until = until);
        let leader = w.leader().expect("a controller leads");
        w.crash(leader, 5 * SECOND);
        w.run_until(150, "all jobs are done", World::all_jobs_ended);
        w.finish();
    }
}

/// Proves that the checker detects a task that runs twice. The controllers are configured with a lease of 1 s, far
/// shorter than the workers' lease, so they start tasks elsewhere while the first machine still runs them.
#[test]
fn the_checker_detects_a_double_run_with_too_short_leases() {
    let mut w = World::with_lease(3, 11, 1.0);
    w.run(2);
    w.submit(job(1, 8, json!({"shape": "service"})));
    w.run_until(30, "all replicas run", |w| w.starts >= 8);
    let until = w.now + 60 * SECOND;
    w.workers.values_mut().for_each(|m| m.hung_until = until);
    w.cloud.deletes_fail = true;
    w.cloud.capacity = 30;
    for _ in 0..30 {
        w.run(1);
        if w.violations.iter().any(|b| b.starts_with("ran_twice")) {
            return;
        }
    }
    panic!(
        "the checker did not detect the double run: {:?}",
        w.violations
    );
}

/// Guards against tasks that run on after their user was told of the cancellation. The leader crashes right after the
/// answer, and the tasks of one job take 4 s to save a checkpoint; all tasks must stop in time and for good on every
/// machine.
#[test]
fn cancelled_tasks_stop_in_time_despite_a_leader_crash() {
    let mut w = world_with_running_jobs(12);
    w.submit(job(7, 30, json!({"stamp_every_s": 2.0, "stamp_s": 4.0})));
    w.run(8);
    w.cancel(7);
    w.cancel(2);
    w.run_until(10, "the user is told of the cancellation", |w| {
        w.jobs["j-000007"].cancellation_confirmed_at.is_some()
    });
    let leader = w.leader().expect("a controller leads");
    w.crash(leader, 6 * SECOND);
    w.run(40);
    w.check_cancelled();
    w.run_until(120, "all jobs have ended", World::all_jobs_ended);
    w.finish();
}

/// Guards against answers that are taken back. A fifth of the transactions is carried out late and without an answer
/// to the controller, while jobs are submitted and cancelled.
#[test]
fn late_transactions_contradict_no_earlier_answer() {
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
        w.run_until(200, "all jobs have ended", World::all_jobs_ended);
        w.finish();
    }
}

/// Guards against a job that is blamed for a faulty machine, and the reverse. One machine fails every task, and one
/// job fails on every machine; the jobs without errors must finish.
#[test]
fn a_faulty_machine_and_a_crash_looping_job_are_told_apart() {
    let mut w = World::new(3, 13);
    w.run(2);
    w.submit(job(1, 16, json!({})));
    w.submit(job(2, 6, json!({"jobclass": "broken"})));
    w.run_until(30, "machines are up", |w| {
        w.workers.values().any(|m| m.token > 0)
    });
    let bad = w
        .workers
        .keys()
        .next()
        .cloned()
        .expect("at least one machine");
    w.workers.get_mut(&bad).expect("the machine exists").faulty = true;
    w.run_until(150, "the job without errors is done", |w| {
        w.jobs["j-000001"].done_confirmed_at.is_some()
    });
    w.submit(job(3, 4, json!({})));
    w.run_until(60, "a later job is done", |w| {
        w.jobs["j-000003"].done_confirmed_at.is_some()
    });
    w.cancel(2);
    w.run_until(
        60,
        "the crash-looping job is cancelled",
        World::all_jobs_ended,
    );
    w.finish();
}

/// Guards against replicas that are lost with their spot instance. Every machine gets a preemption notice; the
/// machines must be returned, and three replicas must run on others.
#[test]
fn a_preemption_notice_moves_tasks_to_other_machines() {
    let mut w = World::new(3, 14);
    w.run(2);
    w.submit(job(
        1,
        3,
        json!({"shape": "service", "stamp_every_s": 2.0, "stamp_s": 1.0}),
    ));
    w.run_until(30, "the replicas run", |w| w.starts >= 3);
    w.workers
        .values_mut()
        .for_each(|m| m.preemption_notice = true);
    let noticed: Vec<String> = w.workers.keys().cloned().collect();
    w.run_until(
        60,
        "the machines with a preemption notice are returned",
        |w| noticed.iter().all(|m| !w.workers.contains_key(m)),
    );
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

/// Guards against a gang that waits for ever. All machines that the cloud's capacity allows stand idle in one zone,
/// where the first gang ran, and half of the second gang needs the other zone. If the second gang reserved all idle
/// machines, none would be returned and the cloud could provision no machine in the other zone.
#[test]
fn a_gang_reserves_no_capacity_that_its_zone_rule_forbids() {
    for seed in 17..23 {
        let mut w = World::new(3, seed);
        w.run(2);
        w.cloud.capacity = 9;
        w.submit(job(
            1,
            36,
            json!({"yard": "a", "shape": "group", "rigs": ["small"]}),
        ));
        w.run_until(60, "the first gang is done", World::all_jobs_ended);
        assert_eq!(w.workers.len(), w.cloud.capacity);
        let more = json!({"shape": "group", "scatter": true, "rank": "urgent", "rigs": ["small"]});
        w.submit(job(2, 13, more));
        w.run_until(240, "the second gang is done", World::all_jobs_ended);
        w.finish();
    }
}

/// Guards against a refusal of a repeated submission. The job is done, and its body is now one that a new submission
/// would be refused for; the answer must be the status of the job.
#[test]
fn a_repeated_submission_returns_the_status_of_the_job() {
    let mut w = World::new(3, 15);
    w.run(3);
    w.submit(job(1, 2, json!({})));
    w.run_until(90, "the job is done", World::all_jobs_ended);
    w.jobs.get_mut("j-000001").expect("the job exists").body =
        json!({"id": "j-000001", "crew": "nobody"});
    for _ in 0..6 {
        w.send_request("j-000001", "submit");
        w.run(1);
    }
    w.jobs.get_mut("j-000001").expect("the job exists").body = job(1, 2, json!({}));
    w.finish();
}

/// Guards against stored values that outgrow the limit of the state service, and against completions lost in a leader
/// crash, for an array of 9000 tasks.
#[test]
fn an_array_of_9000_tasks_keeps_stored_values_small() {
    let mut w = World::new(1, 16);
    w.cloud.capacity = 10;
    w.run(2);
    w.submit(job(1, 9000, json!({"vcpus": 1.0})));
    w.run(60);
    let leader = w.leader().expect("a controller leads");
    w.crash(leader, 2 * SECOND);
    w.run(30);
    let done = w.nodes[0].controller.as_ref().and_then(|c| c.cluster());
    let done = done.map_or(0, |c| c.jobs["j-000001"].tasks.done.len());
    assert!(
        done > 50,
        "too few completions after the leader crash: {done}"
    );
    w.cancel(1);
    w.run_until(90, "the array is cancelled", World::all_jobs_ended);
    w.finish();
}

/// Plays random faults against the checker. The seeds are fixed, so the verdict is the same in every run.
#[test]
fn random_faults_violate_no_invariant() {
    for seed in 100..112 {
        play_random_faults(seed, ClusterKind::Plain).finish();
    }
    for seed in 112..118 {
        play_random_faults(seed, ClusterKind::RareWakeUps).finish();
    }
}

/// Configuration of the cluster in a test with random faults.
#[derive(Clone, Copy)]
enum ClusterKind {
    Plain,
    /// The clock wakes each controller as rarely as the controller allows, as in the daemon.
    RareWakeUps,
    Ledger,
    Shards(u32),
}

/// Plays random jobs and faults, drawn from `seed`, until all jobs have ended.
fn play_random_faults(seed: u64, kind: ClusterKind) -> World {
    let limits = "[cluster.state.next]\nvalue_kb = 2.0\ntxn_ops = 4\nwrite_rps = 60.0\n\
            [cluster.cloud]";
    let next_limits = |text: String| text.replace("[cluster.cloud]", limits);
    let mut w = match kind {
        ClusterKind::Ledger => World::with_ledger(3, seed, &next_limits),
        ClusterKind::Plain | ClusterKind::RareWakeUps => {
            World::with_settings(3, seed, WORKER_LEASE as f64 / SECOND as f64, &next_limits)
        }
        ClusterKind::Shards(shards) => World::with_shards(3, seed, shards, &next_limits),
    };
    w.respects_idle_time = matches!(kind, ClusterKind::RareWakeUps);
    w.run(2);
    let mut next = 1;
    let mut broken_jobs = 0;
    let mut services = Vec::new();
    for _ in 0..24 {
        let tasks = w.rng.random_range(1..14);
        let shape = ["array", "array", "group", "service"][w.rng.random_range(0..4)];
        let crew = ["red", "blue"][w.rng.random_range(0..2)];
        let rank = ["low", "normal", "urgent"][w.rng.random_range(0..3)];
        let (together, scatter) = (w.rng.random_bool(0.3), w.rng.random_bool(0.2));
        let stamp = if w.rng.random_bool(0.5) { 1.0 } else { 0.0 };
        if next < 12 {
            // The job waits for up to two accepted earlier jobs. Services never end, so no job waits for a service.
            let accepted_id = |w: &World, i: u32| {
                let id = format!("j-{i:06}");
                let j = &w.jobs[&id];
                (j.accepted.is_some() && j.body["shape"] != "service").then_some(id)
            };
            let candidates: Vec<u32> = (0..2).map(|_| w.rng.random_range(0..2 * next)).collect();
            let earlier = candidates.into_iter().filter(|i| (1..next).contains(i));
            let on: Vec<String> = earlier.filter_map(|i| accepted_id(&w, i)).collect();
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
                w.cloud.never_boot_probability = [0.0, 0.2][w.rng.random_range(0..2)];
            }
            11 => w.cloud.list_lag = w.rng.random_range(0..12) * SECOND,
            12 => w.extra_queries = [0, 5][w.rng.random_range(0..2)],
            13 => {
                let n = w.rng.random_range(0..3);
                if !w.faults.store_refuses.remove(&n) {
                    w.faults.store_refuses.insert(n);
                }
            }
            14 => {
                let broken = json!({"crew": crew, "jobclass": "broken", "shape": shape});
                broken_jobs += 1;
                w.submit(job(900 + broken_jobs, tasks, broken));
                w.run(6);
                w.cancel(900 + broken_jobs);
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
    w.cloud.never_boot_probability = 0.0;
    w.extra_queries = 0;
    (1..=broken_jobs).for_each(|i| w.cancel(900 + i));
    // Replicas use their team's quota until their service is cancelled.
    (1..next)
        .filter(|i| w.jobs[&format!("j-{i:06}")].body["shape"] == "service")
        .for_each(|i| services.push(i));
    services.drain(..).for_each(|i| w.cancel(i));
    w.run_until(400, "all jobs have ended", World::all_jobs_ended);
    assert_eq!(w.state.too_large, 0, "seed {seed}");
    w
}
