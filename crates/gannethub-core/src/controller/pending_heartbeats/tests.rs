use std::collections::HashSet;

use super::*;
use crate::model::SECOND;

fn relayed(peer: usize) -> RelayedHeartbeat {
    RelayedHeartbeat {
        peer,
        connection: 7,
        deadline: SECOND,
        heartbeat: Bytes::new(),
    }
}

/// Guards against an answer to an earlier process that matches a heartbeat of a later one: processes that start within
/// a second of each other must use different numbers.
#[test]
fn processes_relay_under_different_numbers() {
    let started_at = 1_700_000_000 * SECOND;
    let mut numbers = HashSet::new();
    for microseconds in (0..1000).chain((1..50).map(|process| process * SECOND / 50)) {
        let mut pending = PendingHeartbeats::new(started_at + microseconds);
        for _ in 0..200 {
            let id = pending.add_relayed(relayed(0));
            assert!(microseconds == 0 || numbers.insert(id));
        }
    }
}

/// Guards against an answer of another peer than the one that the heartbeat was relayed to, and against a second answer.
#[test]
fn only_the_first_answer_of_the_asked_peer_counts() {
    let mut pending = PendingHeartbeats::new(5);
    let id = pending.add_relayed(relayed(1));
    assert!(pending.take_relayed(0, id).is_none());
    assert!(pending.take_relayed(1, id).is_some());
    assert!(pending.take_relayed(1, id).is_none());
}
