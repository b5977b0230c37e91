//! The first of the meetings in `docs/design-concurrent-failures.md`, a cancellation that the old leader never hears of: the state service refuses the leader alone; another controller confirms cancellations; then the state
//! service is down for all, for longer than a cancellation has, while workers send heartbeats to the old leader. The checker counts
//! from when a user was told, at whichever controller, and looks at every machine every second.

use crate::*;
use gannethub_core::wire::store::TERM_KEY;
use harness::CANCEL;

/// Work that outlasts any outage here: eight arrays of two tasks each, on machines.
pub fn long(nodes: usize, seed: u64) -> World {
    begin(World::new(nodes, seed))
}

pub fn begin(mut w: World) -> World {
    w.runs = (300 * SECOND, 400 * SECOND);
    w.run(2);
    for i in 1..=8 {
        w.submit(job(i, 2, json!({"guess_s": 350.0, "rigs": ["small"]})));
    }
    w.run_until(60, "all of it runs", |w| w.starts >= 16);
    w.run(5);
    w
}

/// The leader and the others, in an order drawn by the seed.
pub fn roles(w: &World, seed: u64) -> (usize, Vec<usize>) {
    let old = w.leader().expect("one leads");
    let mut others: Vec<usize> = (0..w.nodes.len()).filter(|i| *i != old).collect();
    let first = seed as usize % others.len();
    others.rotate_left(first);
    (old, others)
}

pub fn id(i: u32) -> String {
    format!("j-{i:06}")
}

pub fn told(w: &World, jobs: &[u32]) -> bool {
    jobs.iter()
        .all(|i| w.jobs[&id(*i)].told_cancelled.is_some())
}

/// The state service refuses the leader, and users cancel these jobs at one other controller, which tells them so.
fn cancel_while_leader_is_refused(w: &mut World, old: usize, near: usize, jobs: &[u32]) {
    w.faults.store_refuses.insert(old);
    jobs.iter().for_each(|i| w.cancel_at(*i, near));
    w.run_until(1, "the users are told", |w| told(w, jobs));
}

/// The outage goes on well past what a cancellation has. Then all is well again, and everything ends.
fn outlast_cancel_deadline(mut w: World, seed: u64) {
    w.state.down = true;
    w.run(CANCEL / SECOND + 25);
    assert_eq!(w.broken, Vec::<String>::new(), "seed {seed}");
    recover(w, seed);
}

pub fn recover(mut w: World, seed: u64) {
    w.all_well();
    w.run(15);
    let open: Vec<String> = w.jobs.keys().cloned().collect();
    w.runs = (2 * SECOND, 8 * SECOND);
    open.iter()
        .for_each(|i| w.cancel(i[2..].parse().expect("a number")));
    w.run_until(240, "all are over", World::all_over);
    w.run_until(60, "nothing is left", |w| {
        w.state.keys("gh/live/").is_empty()
    });
    assert_eq!(w.broken, Vec::<String>::new(), "seed {seed}");
    w.finish();
}

#[test]
fn a_cancellation_that_the_old_leader_never_read_is_carried_out_in_time() {
    for (nodes, seed) in [(3, 1), (3, 2), (3, 3), (3, 4), (5, 5), (5, 6)] {
        let mut w = long(nodes, seed);
        let (old, others) = roles(&w, seed);
        cancel_while_leader_is_refused(&mut w, old, others[0], &[1, 2, 3, 4]);
        outlast_cancel_deadline(w, seed);
    }
}

/// Nobody's word is needed: the same with peers of the version before, which say nothing of what is cancelled. Their
/// leader gives up when it cannot know for too long.
#[test]
fn peers_that_say_nothing_of_cancellations_carry_a_leader_only_so_far() {
    for seed in 1..=4 {
        let mut w = long(3, seed);
        let (old, others) = roles(&w, seed);
        w.faults.previous_release.extend(others.iter().copied());
        cancel_while_leader_is_refused(&mut w, old, others[0], &[1, 2, 3, 4]);
        w.state.down = true;
        w.run(9);
        assert_eq!(w.leader(), Some(old), "they carry it for a while");
        w.run(17);
        assert_eq!(w.leader(), None, "and no further");
        outlast_cancel_deadline(w, seed);
    }
}

/// Nor is anything built on votes that cannot be read in full.
#[test]
fn votes_that_make_no_sense_carry_a_leader_only_so_far() {
    for seed in 1..=3 {
        let mut w = long(3, seed);
        let (old, others) = roles(&w, seed);
        w.faults.corrupts_votes.insert(others[0]);
        cancel_while_leader_is_refused(&mut w, old, others[0], &[1, 2, 3, 4]);
        w.state.down = true;
        w.run(27);
        assert_eq!(w.leader(), None);
        outlast_cancel_deadline(w, seed);
    }
}

/// What is asked by a leader of the version before is answered by a new peer as ever.
#[test]
fn a_leader_that_does_not_say_what_it_knows_gets_its_votes() {
    let mut w = long(3, 7);
    let (old, _) = roles(&w, 7);
    w.faults.previous_release.insert(old);
    w.state.down = true;
    w.run(9);
    assert_eq!(w.leader(), Some(old), "longer than its grant");
    recover(w, 7);
}

/// The transaction is carried out, its answer is late, and the vote was given in between.
#[test]
fn a_cancellation_that_is_confirmed_after_the_vote_is_carried_out_in_time() {
    for seed in 1..=4 {
        let mut w = long(3, seed);
        let (old, others) = roles(&w, seed);
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
        w.run_until(1, "it is stored", stored);
        assert!(!told(&w, &[1]), "nobody is told yet");
        w.state.down = true;
        w.run_until(3, "the users are told", |w| told(w, &[1, 2, 3, 4]));
        outlast_cancel_deadline(w, seed);
    }
}

/// The controller that confirmed is gone, or back with nothing read, inside the outage.
#[test]
fn a_controller_that_confirmed_and_forgot_is_not_taken_at_its_word() {
    for (seed, back) in [(1, 7), (2, 7), (3, 3), (4, 2_000), (5, 2_000)] {
        let mut w = long(3, seed);
        let (old, others) = roles(&w, seed);
        cancel_while_leader_is_refused(&mut w, old, others[0], &[1, 2, 3, 4]);
        w.state.down = true;
        w.crash(others[0], back * SECOND / 10);
        outlast_cancel_deadline(w, seed);
    }
}

/// Another controller confirms and the rest vote; one of them is refused as well, halted, or cut off from the leader.
#[test]
fn whoever_else_is_in_trouble_the_cancellation_is_carried_out() {
    for seed in 1..=9 {
        let mut w = long(if seed % 2 == 0 { 3 } else { 5 }, seed);
        let (old, others) = roles(&w, seed);
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
            // The one that confirmed cannot tell the leader itself.
            w.faults.partitioned.extend([(others[0], old)]);
        }
        outlast_cancel_deadline(w, seed);
    }
}

/// Gangs, a job that waits for a cancelled one, tasks that were told to save, and launches still on their way.
#[test]
fn whatever_state_its_tasks_are_in_a_cancelled_job_goes() {
    for seed in 1..=6 {
        let mut w = long(3, seed);
        let (old, others) = roles(&w, seed);
        let save = json!({"guess_s": 350.0, "stamp_every_s": 5.0, "stamp_s": 20.0});
        w.submit(job(
            11,
            3,
            json!({"shape": "group", "guess_s": 350.0, "crew": "red"}),
        ));
        w.submit(job(12, 4, save));
        w.run_until(60, "they run", |w| w.starts >= 23);
        w.submit(job(13, 2, json!({"waits_on": ["j-000011"]})));
        // Told to save shortly before, since its machine is to be taken away.
        let on = |x: &harness::Worker| x.tasks.keys().any(|t| t.starts_with("j-000012"));
        w.workers
            .values_mut()
            .filter(|x| on(x))
            .for_each(|x| x.notice = true);
        w.run(1);
        w.submit(job(14, 6, json!({"guess_s": 350.0, "rigs": ["small"]})));
        w.run_until(5, "it is accepted", |w| {
            w.jobs["j-000014"].accepted.is_some()
        });
        cancel_while_leader_is_refused(&mut w, old, others[0], &[11, 12, 14]);
        outlast_cancel_deadline(w, seed);
    }
}

/// Machines that hear nothing, hang, or are heard only through a peer, and a zone that is cut off.
#[test]
fn machines_that_cannot_be_told_lose_what_is_cancelled_with_their_leases() {
    for seed in 1..=8 {
        let mut w = long(3, seed);
        let (old, others) = roles(&w, seed);
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
                let until = w.now + LEASE - SECOND;
                names
                    .iter()
                    .for_each(|n| w.workers.get_mut(n).expect("there").hung_until = until);
            }
            // The leader hears its workers through its peers alone.
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
            roles(&w, seed)
        };
        cancel_while_leader_is_refused(&mut w, old, others[0], &jobs);
        outlast_cancel_deadline(w, seed);
    }
}

/// Refused, served, refused in turn: renewals come through now and then, and reads perhaps not.
#[test]
fn a_leader_that_is_refused_by_turns_still_learns_what_is_cancelled() {
    for seed in 1..=4 {
        let mut w = long(3, seed);
        let (old, others) = roles(&w, seed);
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

/// An outage, votes, the state service back for all but the leader, cancellations while the votes last, and the next
/// outage.
#[test]
fn what_is_cancelled_between_two_outages_is_known_in_the_second() {
    for seed in 1..=4 {
        let mut w = long(3, seed);
        let (old, others) = roles(&w, seed);
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

/// A peer takes over, and the outage begins before it has read anything. What it cannot know to run on, it does not
/// keep: the cancellation was confirmed while nobody led.
#[test]
fn an_outage_in_the_middle_of_a_takeover_keeps_nothing_that_is_cancelled() {
    for seed in 1..=8 {
        let mut w = long(3, seed);
        let (old, others) = roles(&w, seed);
        w.crash(old, 5 * SECOND);
        w.run(1);
        (1..=4).for_each(|i| w.cancel_at(i, others[0]));
        w.run_until(1, "the users are told", |w| told(w, &[1, 2, 3, 4]));
        if seed > 4 {
            // Back with nothing read: its copy knows nothing either.
            let last = others[1];
            w.crash(others[0], SECOND / 2);
            w.run_until(15, "another leads", |w| w.leader() == Some(last));
        } else {
            w.run_until(15, "another leads", |w| w.leader().is_some());
        }
        outlast_cancel_deadline(w, seed);
    }
}

/// The same where there are several shards, for each owner.
#[test]
fn each_shard_owner_learns_what_is_cancelled() {
    for seed in 1..=4 {
        let mut w = begin(World::with_shards(3, seed, 3, &|text| text));
        w.run(10);
        let refused: Vec<usize> = (0..3).filter(|i| *i != seed as usize % 3).collect();
        let near = seed as usize % 3;
        w.faults
            .store_refuses
            .extend(&refused[..1 + seed as usize % 2]);
        (1..=4).for_each(|i| w.cancel_at(i, near));
        w.run_until(1, "the users are told", |w| told(w, &[1, 2, 3, 4]));
        outlast_cancel_deadline(w, seed);
    }
}

/// A watch that hangs, while all else is answered, costs the leader neither its place nor a cancellation its time.
#[test]
fn a_leader_whose_watch_hangs_looks_for_itself() {
    for seed in 1..=4 {
        let mut w = long(3, seed);
        let (old, others) = roles(&w, seed);
        let term = w.state.value(TERM_KEY).cloned();
        w.faults.hung_watches.insert(old);
        others.iter().for_each(|i| {
            w.faults.lossy_links.insert((*i, old));
        });
        w.run(10);
        (1..=4).for_each(|i| w.cancel_at(i, others[0]));
        w.run(CANCEL / SECOND + 25);
        assert_eq!(w.state.value(TERM_KEY).cloned(), term, "it leads on");
        recover(w, seed);
    }
}

/// An ordinary outage, with no cancellation in doubt, carries all work through, however long it lasts.
#[test]
fn an_outage_for_all_loses_nothing_however_long() {
    for (nodes, seed) in [(3, 1), (3, 2), (5, 3)] {
        let mut w = long(nodes, seed);
        let (old, _) = roles(&w, seed);
        let starts = w.starts;
        w.state.down = true;
        w.run(120);
        assert_eq!(w.leader(), Some(old));
        assert!(
            w.workers.values().all(|x| x.session == 1),
            "a lease ran out"
        );
        assert_eq!(w.starts, starts, "nothing began anew");
        recover(w, seed);
    }
}
