//! Lease validity: the time until which an owner may act on a lease, by this process's monotonic clock.
//!
//! An owner acts only while its lease is provably valid. The store lease counts from the time at which its renewal was
//! *sent*, less clock drift and a margin. While the state service is down, the votes of all peers together extend the
//! lease: with its vote, each peer promises not to take over for a bounded time.

use std::collections::HashSet;

use crate::model::{Micros, SECOND};

/// Duration for which a vote binds the voter.
pub const VOTE_DURATION: Micros = 8 * SECOND;
/// Maximum time between a vote request and its vote; a later vote does not count. A vote that a process gave before
/// its restart therefore counts for no owner once the process has been running again for this time.
pub(super) const VOTE_TIMEOUT: Micros = 2 * SECOND;
/// Safety margin, in addition to the drift, for durations that are counted on another process's clock.
pub(super) const CLOCK_MARGIN: Micros = 150_000;
/// Bound on clock drift: any two clocks drift apart by less than one part in this number, and each clock may be off by
/// half of that.
pub(super) const CLOCK_DRIFT_DIVISOR: Micros = 1000;

/// Returns the end, on this process's clock, of a period that lasts `duration` from `from` on any clock that may run
/// 0.05% fast, less [`CLOCK_MARGIN`].
fn safe_expiry(from: Micros, duration: Micros) -> Micros {
    from + duration - duration / CLOCK_DRIFT_DIVISOR - CLOCK_MARGIN
}

/// Validity of an owner's lease, from renewals and from votes.
#[derive(Debug)]
pub(super) struct LeaseValidity {
    ttl: Micros,
    store_lease_until: Micros,
    votes_until: Micros,
    /// Number of the current round of vote requests.
    round: u64,
    round_started_at: Micros,
    votes_needed: usize,
    voters: HashSet<usize>,
    /// Voters that reported, with their vote, all cancellations they know.
    informed_voters: HashSet<usize>,
    extended_by_votes: bool,
}

impl LeaseValidity {
    /// Creates the validity of a store lease that was requested at `requested_at` and lasts `ttl`.
    pub fn new(requested_at: Micros, ttl: Micros) -> LeaseValidity {
        LeaseValidity {
            ttl,
            store_lease_until: safe_expiry(requested_at, ttl),
            votes_until: 0,
            round: 0,
            round_started_at: 0,
            votes_needed: 0,
            voters: HashSet::new(),
            informed_voters: HashSet::new(),
            extended_by_votes: false,
        }
    }

    /// Whether the owner may act on the lease.
    pub fn is_valid(&self, now: Micros) -> bool {
        now < self.store_lease_until.max(self.votes_until)
    }

    /// Whether the store lease has less than half of its TTL left, which means one or two missed renewals.
    pub fn is_running_low(&self, now: Micros) -> bool {
        now + self.ttl / 2 > self.store_lease_until
    }

    /// Records that the state service carried out a renewal that was sent at `sent_at`.
    pub fn store_lease_renewed(&mut self, sent_at: Micros) {
        let until = safe_expiry(sent_at, self.ttl);
        self.store_lease_until = self.store_lease_until.max(until);
    }

    /// Begins a round of vote requests to all peers, and returns the round's number. Answers to earlier rounds no
    /// longer count.
    pub fn start_vote_round(&mut self, now: Micros, peers: usize) -> u64 {
        self.round += 1;
        self.round_started_at = now;
        self.votes_needed = peers;
        self.voters.clear();
        self.informed_voters.clear();
        self.round
    }

    /// Records that a peer reported, with its vote, all cancellations it knows. Once all peers have done so in one
    /// round, this owner knows every cancellation that any peer had confirmed to its user by the beginning of the
    /// round, and the time of that beginning is returned.
    pub fn record_informed_voter(&mut self, round: u64, peer: usize) -> Option<Micros> {
        if round != self.round {
            return None;
        }
        self.informed_voters.insert(peer);
        let all_informed = self.votes_needed > 0 && self.informed_voters.len() >= self.votes_needed;
        all_informed.then_some(self.round_started_at)
    }

    /// Records a peer's vote. Only the votes of all peers together extend the lease.
    pub fn record_vote(&mut self, round: u64, peer: usize, now: Micros) {
        if round != self.round || now > self.round_started_at + VOTE_TIMEOUT {
            return;
        }
        self.voters.insert(peer);
        if self.votes_needed > 0 && self.voters.len() >= self.votes_needed {
            let until = safe_expiry(self.round_started_at, VOTE_DURATION);
            self.votes_until = self.votes_until.max(until);
            self.extended_by_votes = true;
        }
    }

    /// Whether all peers have voted in one round at some time in this term. After such a round no peer relies on the
    /// term's launch watermarks ([`Election::watermarks_reliable`](super::election::Election::watermarks_reliable)),
    /// so launches need no watermarks. Watermarks cannot be written while the state service is down.
    pub fn was_extended_by_votes(&self) -> bool {
        self.extended_by_votes
    }
}

#[cfg(test)]
mod tests;
