//! A cancellation that the old leader never learns of, the first combination of failures in
//! `docs/design-concurrent-failures.md`. The state service refuses only the leader, and another controller confirms
//! cancellations. Then the state service is down for all controllers, for longer than the cancellation deadline, while
//! workers send heartbeats to the old leader. The checker counts the deadline from the time at which any controller
//! told the user, and checks every machine once a second.

use crate::*;
use gannethub_core::wire::store::LEADER_TERM_KEY;
use harness::CANCEL_DEADLINE;

/// Returns a world in which eight arrays of two tasks each run. Tasks run for 300 to 400 s, longer than any outage in
/// these tests.
pub fn world_with_long_jobs(nodes: usize, seed: u64) -> World {
    begin(World::new(nodes, seed))
}

/// Submits eight arrays of two tasks each, which run for 300 to 400 s, and waits until all tasks run.
pub fn begin(mut w: World) -> World {
    w.run_time_range = (300 * SECOND, 400 * SECOND);
    w.run(2);
    for i in 1..=8 {
        w.submit(job(i, 2, json!({"guess_s": 350.0, "rigs": ["small"]})));
    }
    w.run_until(60, "all tasks run", |w| w.starts >= 16);
    w.run(5);
    w
}

/// Returns the leader and the other nodes, in an order that depends on the seed.
pub fn leader_and_others(w: &World, seed: u64) -> (usize, Vec<usize>) {
    let old = w.leader().expect("a controller leads");
    let mut others: Vec<usize> = (0..w.nodes.len()).filter(|i| *i != old).collect();
    let first = seed as usize % others.len();
    others.rotate_left(first);
    (old, others)
}

pub fn id(i: u32) -> String {
    format!("j-{i:06}")
}

pub fn cancellations_confirmed(w: &World, jobs: &[u32]) -> bool {
    jobs.iter()
        .all(|i| w.jobs[&id(*i)].cancellation_confirmed_at.is_some())
}

/// Makes the state service refuse the leader, and cancels these jobs at one other controller, which confirms the
/// cancellations.
fn cancel_while_leader_is_refused(w: &mut World, old: usize, near: usize, jobs: &[u32]) {
    w.faults.store_refuses.insert(old);
    jobs.iter().for_each(|i| w.cancel_at(*i, near));
    w.run_until(1, "the users are told of the cancellations", |w| {
        cancellations_confirmed(w, jobs)
    });
}

/// Runs an outage of the state service until 25 s past the cancellation deadline, then recovers and ends all jobs.
fn outlast_cancel_deadline(mut w: World, seed: u64) {
    w.state.down = true;
    w.run(CANCEL_DEADLINE / SECOND + 25);
    assert_eq!(w.violations, Vec::<String>::new(), "seed {seed}");
    recover_and_cancel_all(w, seed);
}

/// Ends the faults, cancels all jobs, and checks that everything ends and no invariant was broken.
pub fn recover_and_cancel_all(mut w: World, seed: u64) {
    w.end_faults();
    w.run(15);
    let open: Vec<String> = w.jobs.keys().cloned().collect();
    w.run_time_range = (2 * SECOND, 8 * SECOND);
    open.iter()
        .for_each(|i| w.cancel(i[2..].parse().expect("a number")));
    w.run_until(240, "all jobs have ended", World::all_jobs_ended);
    w.run_until(60, "no live job is left", |w| {
        w.state.keys("gh/live/").is_empty()
    });
    assert_eq!(w.violations, Vec::<String>::new(), "seed {seed}");
    w.finish();
}

#[test]
fn cancellation_unseen_by_the_old_leader_meets_its_deadline() {
    for (nodes, seed) in [(3, 1), (3, 2), (3, 3), (3, 4), (5, 5), (5, 6)] {
        let mut w = world_with_long_jobs(nodes, seed);
        let (old, others) = leader_and_others(&w, seed);
        cancel_while_leader_is_refused(&mut w, old, others[0], &[1, 2, 3, 4]);
        outlast_cancel_deadline(w, seed);
    }
}

/// Cancellations meet their deadline even if peers of the previous release report none: a leader with such peers steps
/// down after it could not learn of cancellations for too long.
#[test]
fn votes_without_cancellations_extend_leadership_only_briefly() {
    for seed in 1..=4 {
        let mut w = world_with_long_jobs(3, seed);
        let (old, others) = leader_and_others(&w, seed);
        w.faults.previous_release.extend(others.iter().copied());
        cancel_while_leader_is_refused(&mut w, old, others[0], &[1, 2, 3, 4]);
        w.state.down = true;
        w.run(9);
        assert_eq!(
            w.leader(),
            Some(old),
            "the votes extend its leadership for a while"
        );
        w.run(17);
        assert_eq!(
            w.leader(),
            None,
            "the votes must not extend its leadership further"
        );
        outlast_cancel_deadline(w, seed);
    }
}

/// A leader must not rely on votes that it cannot parse completely.
#[test]
fn unparsable_votes_extend_leadership_only_briefly() {
    for seed in 1..=3 {
        let mut w = world_with_long_jobs(3, seed);
        let (old, others) = leader_and_others(&w, seed);
        w.faults.corrupts_votes.insert(others[0]);
        cancel_while_leader_is_refused(&mut w, old, others[0], &[1, 2, 3, 4]);
        w.state.down = true;
        w.run(27);
        assert_eq!(w.leader(), None);
        outlast_cancel_deadline(w, seed);
    }
}

/// Peers of the current release grant votes to a leader of the previous release, whose vote requests do not contain the
/// version that it knows.
#[test]
fn leader_of_the_previous_release_still_gets_votes() {
    let mut w = world_with_long_jobs(3, 7);
    let (old, _) = leader_and_others(&w, 7);
    w.faults.previous_release.insert(old);
    w.state.down = true;
    w.run(9);
    assert_eq!(
        w.leader(),
        Some(old),
        "leads for longer than its store lease"
    );
    recover_and_cancel_all(w, 7);
}

/// The transaction of a cancellation is carried out, its answer is late, and the vote is granted in between.
#[test]
fn cancellation_confirmed_after_the_vote_meets_its_deadline() {
    for seed in 1..=4 {
        let mut w = world_with_long_jobs(3, seed);
        let (old, others) = leader_and_others(&w, seed);
        let near = others[0];
        w.faults.commit_answer_delays.insert(near, SECOND * 19 / 10);
        w.faults.store_refuses.insert(old);
        (1..=4).for_each(|i| w.cancel_at(i, near));
        let stored = |w: &World| {
            (1..=4).all(|i| {
                let value = w.state.value(&format!("gh/live/{}", id(i)));
                value.is_some_and(|v| v["cancelled"] == json!(true))
            })
        };
        w.run_until(1, "the cancellations are stored", stored);
        assert!(!cancellations_confirmed(&w, &[1]), "no user is told yet");
        w.state.down = true;
        w.run_until(3, "the users are told of the cancellations", |w| {
            cancellations_confirmed(w, &[1, 2, 3, 4])
        });
        outlast_cancel_deadline(w, seed);
    }
}

/// The controller that confirmed the cancellations crashes during the outage. It stays down, or restarts and has read
/// nothing from the state service.
#[test]
fn confirming_controller_that_restarts_gives_no_valid_vote() {
    for (seed, back) in [(1, 7), (2, 7), (3, 3), (4, 2_000), (5, 2_000)] {
        let mut w = world_with_long_jobs(3, seed);
        let (old, others) = leader_and_others(&w, seed);
        cancel_while_leader_is_refused(&mut w, old, others[0], &[1, 2, 3, 4]);
        w.state.down = true;
        w.crash(others[0], back * SECOND / 10);
        outlast_cancel_deadline(w, seed);
    }
}

/// Another controller confirms the cancellations, and the other peers vote. One of the voting peers is also refused by
/// the state service, frozen, or partitioned from the leader.
#[test]
fn cancellation_meets_its_deadline_despite_a_third_failing_node() {
    for seed in 1..=9 {
        let mut w = world_with_long_jobs(if seed % 2 == 0 { 3 } else { 5 }, seed);
        let (old, others) = leader_and_others(&w, seed);
        let third = others[1];
        match seed % 3 {
            0 => {
                w.faults.store_refuses.insert(third);
            }
            1 => {
                w.faults.frozen_until.insert(third, w.now + 12 * SECOND);
            }
            _ => w.faults.partitioned.extend([(old, third), (third, old)]),
        }
        cancel_while_leader_is_refused(&mut w, old, others[0], &[1, 2, 3, 4]);
        if seed > 6 {
            // The controller that confirmed the cancellations cannot send messages to the leader.
            w.faults.partitioned.extend([(others[0], old)]);
        }
        outlast_cancel_deadline(w, seed);
    }
}

/// Cancels a gang that has a downstream job, tasks that were told to save a checkpoint, and a job whose launches may
/// still be in transit.
#[test]
fn cancelled_jobs_end_whatever_state_their_tasks_are_in() {
    for seed in 1..=6 {
        let mut w = world_with_long_jobs(3, seed);
        let (old, others) = leader_and_others(&w, seed);
        let save = json!({"guess_s": 350.0, "stamp_every_s": 5.0, "stamp_s": 20.0});
        w.submit(job(
            11,
            3,
            json!({"shape": "group", "guess_s": 350.0, "crew": "red"}),
        ));
        w.submit(job(12, 4, save));
        w.run_until(60, "all 23 tasks run", |w| w.starts >= 23);
        w.submit(job(13, 2, json!({"waits_on": ["j-000011"]})));
        // A preemption notice for the machines, shortly before the cancellation, makes the leader tell these tasks to
        // save a checkpoint.
        let on = |x: &harness::Worker| x.tasks.keys().any(|t| t.starts_with("j-000012"));
        w.workers
            .values_mut()
            .filter(|x| on(x))
            .for_each(|x| x.preemption_notice = true);
        w.run(1);
        w.submit(job(14, 6, json!({"guess_s": 350.0, "rigs": ["small"]})));
        w.run_until(5, "the job is accepted", |w| {
            w.jobs["j-000014"].accepted.is_some()
        });
        cancel_while_leader_is_refused(&mut w, old, others[0], &[11, 12, 14]);
        outlast_cancel_deadline(w, seed);
    }
}

/// Machines with tasks of cancelled jobs get no answers, hang, reach the leader only through a peer, or are in a zone
/// that no controller can reach.
#[test]
fn unreachable_machines_stop_cancelled_tasks_by_lease_expiry() {
    for seed in 1..=8 {
        let mut w = world_with_long_jobs(3, seed);
        let (old, others) = leader_and_others(&w, seed);
        let jobs = [1, 2, 3, 4];
        let holds = |x: &harness::Worker| {
            x.tasks
                .keys()
                .any(|t| jobs.iter().any(|i| t.starts_with(&id(*i))))
        };
        let names: Vec<String> = w
            .workers
            .values()
            .filter(|x| holds(x))
            .map(|x| x.name.clone())
            .collect();
        assert!(!names.is_empty());
        match seed % 4 {
            0 => w.faults.unanswered_workers.extend(names),
            1 => {
                let until = w.now + WORKER_LEASE - SECOND;
                names
                    .iter()
                    .for_each(|n| w.workers.get_mut(n).expect("a worker").hung_until = until);
            }
            // The leader gets its workers' heartbeats only through its peers.
            2 => w
                .faults
                .unreachable_zones
                .extend([(old, "a".into()), (old, "b".into())]),
            _ => (0..3).for_each(|n| {
                w.faults
                    .unreachable_zones
                    .insert((n, w.workers[&names[0]].zone.clone()));
            }),
        }
        w.run(2);
        let (old, others) = if w.leader() == Some(old) {
            (old, others)
        } else {
            leader_and_others(&w, seed)
        };
        cancel_while_leader_is_refused(&mut w, old, others[0], &jobs);
        outlast_cancel_deadline(w, seed);
    }
}

/// The state service alternates between refusing and serving the leader every second. Some lease renewals succeed,
/// while reads may not.
#[test]
fn intermittently_refused_leader_learns_of_cancellations() {
    for seed in 1..=4 {
        let mut w = world_with_long_jobs(3, seed);
        let (old, others) = leader_and_others(&w, seed);
        for i in 1..=6 {
            w.faults.store_refuses.insert(old);
            w.cancel_at(i, others[i as usize % 2]);
            w.run(1);
            w.faults.store_refuses.remove(&old);
            w.run(1);
        }
        cancel_while_leader_is_refused(&mut w, old, others[0], &[7]);
        outlast_cancel_deadline(w, seed);
    }
}

/// Votes carry the leader through an outage. Then the state service serves all but the leader, jobs are cancelled while
/// the votes are still valid, and the next outage begins.
#[test]
fn cancellations_between_two_outages_meet_their_deadline() {
    for seed in 1..=4 {
        let mut w = world_with_long_jobs(3, seed);
        let (old, others) = leader_and_others(&w, seed);
        w.state.down = true;
        w.run(6);
        assert_eq!(w.leader(), Some(old));
        w.state.down = false;
        w.faults.store_refuses.insert(old);
        w.run(1);
        cancel_while_leader_is_refused(&mut w, old, others[0], &[1, 2, 3, 4]);
        outlast_cancel_deadline(w, seed);
    }
}

/// The cancellations are confirmed while no controller leads. A peer takes over, and the outage begins before the peer
/// has read anything. The new leader must not keep tasks running unless it knows that their jobs are not cancelled.
#[test]
fn outage_during_takeover_does_not_revive_cancelled_jobs() {
    for seed in 1..=8 {
        let mut w = world_with_long_jobs(3, seed);
        let (old, others) = leader_and_others(&w, seed);
        w.crash(old, 5 * SECOND);
        w.run(1);
        (1..=4).for_each(|i| w.cancel_at(i, others[0]));
        // The users are told once the store lease of the crashed leader has expired.
        let limit = STORE_LEASE_DURATION / SECOND + 2;
        w.run_until(limit, "the users are told of the cancellations", |w| {
            cancellations_confirmed(w, &[1, 2, 3, 4])
        });
        if seed > 4 {
            // The confirming controller restarts and has read nothing, so its job replica does not contain the
            // cancellations either.
            let last = others[1];
            w.crash(others[0], SECOND / 2);
            w.run_until(15, "another controller leads", |w| w.leader() == Some(last));
        } else {
            w.run_until(15, "another controller leads", |w| w.leader().is_some());
        }
        outlast_cancel_deadline(w, seed);
    }
}

/// With several shards, each shard owner must learn of the cancellations, while the state service refuses some of them.
#[test]
fn each_shard_owner_learns_of_cancellations() {
    for seed in 1..=4 {
        let mut w = begin(World::with_shards(3, seed, 3, &|text| text));
        w.run(10);
        let refused: Vec<usize> = (0..3).filter(|i| *i != seed as usize % 3).collect();
        let near = seed as usize % 3;
        w.faults
            .store_refuses
            .extend(&refused[..1 + seed as usize % 2]);
        (1..=4).for_each(|i| w.cancel_at(i, near));
        w.run_until(1, "the users are told of the cancellations", |w| {
            cancellations_confirmed(w, &[1, 2, 3, 4])
        });
        outlast_cancel_deadline(w, seed);
    }
}

/// The leader's watch hangs, while the state service answers all its other requests. The leader keeps its leadership
/// and the cancellations meet their deadline.
#[test]
fn leader_with_hung_watch_still_learns_of_cancellations() {
    for seed in 1..=4 {
        let mut w = world_with_long_jobs(3, seed);
        let (old, others) = leader_and_others(&w, seed);
        let term = w.state.value(LEADER_TERM_KEY).cloned();
        w.faults.hung_watches.insert(old);
        others.iter().for_each(|i| {
            w.faults.lossy_links.insert((*i, old));
        });
        w.run(10);
        (1..=4).for_each(|i| w.cancel_at(i, others[0]));
        w.run(CANCEL_DEADLINE / SECOND + 25);
        assert_eq!(
            w.state.value(LEADER_TERM_KEY).cloned(),
            term,
            "the leader changed"
        );
        recover_and_cancel_all(w, seed);
    }
}

/// Tasks keep running in an outage without any cancellation, here for 120 s: votes extend the leadership however long
/// the outage lasts.
#[test]
fn long_outage_without_cancellations_loses_no_task() {
    for (nodes, seed) in [(3, 1), (3, 2), (5, 3)] {
        let mut w = world_with_long_jobs(nodes, seed);
        let (old, _) = leader_and_others(&w, seed);
        let starts = w.starts;
        w.state.down = true;
        w.run(120);
        assert_eq!(w.leader(), Some(old));
        assert!(
            w.workers.values().all(|x| x.incarnation == 1),
            "a lease ran out"
        );
        assert_eq!(w.starts, starts, "a task was started again");
        recover_and_cancel_all(w, seed);
    }
}
