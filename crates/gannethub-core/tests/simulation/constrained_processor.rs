//! Tests of controllers that are short of CPU time: which wake-ups they omit, and that takeovers and renewals are not
//! late because of that.

use crate::*;

/// Returns a world with three controllers after 20 s. With `rare_wake_ups`, the clock wakes each controller as rarely
/// as the controller allows; otherwise every 50 ms.
fn idle_world(seed: u64, rare_wake_ups: bool) -> World {
    let mut w = World::new(3, seed);
    w.respects_idle_time = rare_wake_ups;
    w.run(20);
    w
}

/// Number of ticks, which are wake-ups by the clock alone, of the leader and of all others together in 10 s.
fn ticks(w: &mut World) -> (u64, u64) {
    let leader = w.leader().expect("a controller leads");
    let count = |w: &World| {
        let all = w.nodes.iter().enumerate();
        all.fold((0, 0), |n, (i, node)| match i == leader {
            true => (n.0 + node.ticks, n.1),
            false => (n.0, n.1 + node.ticks),
        })
    };
    let before = count(w);
    w.run(10);
    let after = count(w);
    (after.0 - before.0, after.1 - before.1)
}

/// Guards against followers that use CPU time for nothing: in 10 s both together may be woken at most 200 times
/// by their clocks, instead of 400 times.
#[test]
fn followers_are_rarely_woken() {
    assert_eq!(ticks(&mut idle_world(1, false)), (200, 400));
    let (leader, others) = ticks(&mut idle_world(1, true));
    assert_eq!(
        leader, 200,
        "a leader must look after its machines at every tick"
    );
    assert!(
        others <= 200,
        "the followers were woken {others} times by their clocks alone"
    );
}

/// Guards against late takeovers because followers are rarely woken: the mean time from a crash to the next leader
/// may grow by at most 150 ms.
#[test]
fn rare_wake_ups_do_not_delay_a_takeover() {
    // Mean time from the crash of the leader until another controller leads, in milliseconds.
    let mean = |rare_wake_ups: bool| {
        let times = (1..=8).map(|seed| {
            let mut w = idle_world(seed, rare_wake_ups);
            w.run(seed % 3);
            let (lost, at) = (w.leader().expect("a controller leads"), w.now);
            w.crash(lost, 60 * SECOND);
            w.run_until(15, "another controller leads", |w| {
                w.leader().is_some_and(|l| l != lost)
            });
            let took = w.now - at;
            assert!(w.violations.is_empty(), "{:?}", w.violations);
            took / 1000
        });
        times.sum::<u64>() / 8
    };
    let (often, rarely) = (mean(false), mean(true));
    assert!(
        rarely <= often + 150,
        "mean takeover {rarely} ms, against {often} ms with ticks every 50 ms"
    );
}

/// Guards against the needless loss of a slow leader. Its timers fire late and answers wait for it, 0.5 s each; as
/// long as its renewals are answered within the store lease, the leader must keep its term.
#[test]
fn a_leader_with_a_small_delay_keeps_its_term() {
    for seed in 1..=6 {
        let mut w = world_with_jobs(seed);
        let old = w.leader().expect("a controller leads");
        let term = |w: &World| {
            w.nodes[old]
                .controller
                .as_ref()
                .and_then(|c| c.cluster())
                .map(|c| c.term)
        };
        let before = term(&w);
        w.faults.processor_delays.insert(old, SECOND / 2);
        w.run(20);
        assert_eq!(term(&w), before, "the leader keeps its term");
        recover(w);
    }
}

/// Guards against a leader that acts on an expired store lease. The leader is 0.8 s to 4 s behind. It sends a
/// renewal, is cut off from the state service right after the renewal was carried out, and handles the answer late.
/// Its lease validity counts from when the renewal was sent. If it counted from when the answer was handled, the
/// checker would see the old leader answer workers after a peer took over.
#[test]
fn a_slow_leader_never_acts_on_an_expired_store_lease() {
    for seed in 1..=6 {
        for late in [SECOND * 8 / 10, SECOND, SECOND * 12 / 10, 4 * SECOND] {
            let mut w = world_with_jobs(seed);
            let old = w.leader().expect("a controller leads");
            w.faults.processor_delays.insert(old, late);
            let sent = w.now + late + SECOND / 10;
            w.run_until(5, "the store lease is renewed", |w| w.now >= sent);
            w.faults.store_refuses.insert(old);
            w.run_until(25, "another controller leads", |w| {
                w.leader().is_some_and(|l| l != old)
            });
            w.run(10);
            w.faults.store_refuses.clear();
            recover(w);
        }
    }
}

/// Returns a world with three controllers and four arrays, which are the work during the faults of the tests.
fn world_with_jobs(seed: u64) -> World {
    let mut w = World::new(3, seed);
    w.run(3);
    for i in 1..=4 {
        w.submit(job(i, 6, json!({"guess_s": 40.0})));
    }
    w.run(10);
    w
}

/// Ends all processor delays, submits one more job and checks that all jobs end.
fn recover(mut w: World) {
    w.faults.processor_delays.clear();
    w.submit(job(9, 6, json!({})));
    w.run_until(180, "all jobs have ended", World::all_jobs_ended);
    w.finish();
}
