//! Until when a lease may be acted on, by this process's steady clock.
//!
//! An owner acts only while its lease is provably valid. The lease in the state service is counted from when its renewal
//! was *sent*, less clock drift and a margin. While the state service is down, the votes of all peers together extend the
//! lease: each promises not to take over for a bounded time.

use std::collections::HashSet;

use crate::model::{Micros, SECOND};

/// How long a vote binds who gave it.
pub const VOTE_DURATION: Micros = 8 * SECOND;
/// A vote that comes later than this after it was asked for counts for nothing. So what a process voted before it was
/// restarted is of no use to anyone once it is back for so long.
pub(super) const VOTE_TIMEOUT: Micros = 2 * SECOND;
/// Taken off every duration that is counted on another process's clock, beside the drift.
pub(super) const CLOCK_MARGIN: Micros = 150_000;
/// Any two clocks drift apart by less than one part in this many; each may be off by half of that.
pub(super) const CLOCK_DRIFT_DIVISOR: Micros = 1000;

/// The end, on this process's clock, of something that lasts `duration` from `from` on any clock that may run 0.05%
/// faster, less a margin.
fn safe_expiry(from: Micros, duration: Micros) -> Micros {
    from + duration - duration / CLOCK_DRIFT_DIVISOR - CLOCK_MARGIN
}

/// An owner's right to act.
#[derive(Debug)]
pub(super) struct LeaseValidity {
    ttl: Micros,
    store_lease_until: Micros,
    votes_until: Micros,
    /// The present round of asking for votes.
    round: u64,
    round_started_at: Micros,
    votes_needed: usize,
    voters: HashSet<usize>,
    /// Voters that told with their vote all cancellations that they know of.
    informed_voters: HashSet<usize>,
    extended_by_votes: bool,
}

impl LeaseValidity {
    /// The validity of a lease in the state service that lasts `ttl` and was asked for at `requested_at`.
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

    /// Whether the lease may be acted on.
    pub fn is_valid(&self, now: Micros) -> bool {
        now < self.store_lease_until.max(self.votes_until)
    }

    /// Whether the lease in the state service has missed a renewal or two.
    pub fn is_running_low(&self, now: Micros) -> bool {
        now + self.ttl / 2 > self.store_lease_until
    }

    /// The state service has carried out a renewal that was sent at `sent_at`.
    pub fn store_lease_renewed(&mut self, sent_at: Micros) {
        let until = safe_expiry(sent_at, self.ttl);
        self.store_lease_until = self.store_lease_until.max(until);
    }

    /// Begins a round of asking all peers for their votes, and returns its number. Answers to earlier rounds no longer
    /// count.
    pub fn start_vote_round(&mut self, now: Micros, peers: usize) -> u64 {
        self.round += 1;
        self.round_started_at = now;
        self.votes_needed = peers;
        self.voters.clear();
        self.informed_voters.clear();
        self.round
    }

    /// A peer has told with its vote all cancellations that it knows of. Once all have in one round, no cancellation that
    /// any of them had confirmed to its user by the beginning of the round is unknown here: that time is returned.
    pub fn record_informed_voter(&mut self, round: u64, peer: usize) -> Option<Micros> {
        if round != self.round {
            return None;
        }
        self.informed_voters.insert(peer);
        let all_told = self.votes_needed > 0 && self.informed_voters.len() >= self.votes_needed;
        all_told.then_some(self.round_started_at)
    }

    /// A peer has voted. Only all of them together extend the lease.
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

    /// Whether all peers have voted in one round at some time in this term. Then none of them goes by the term's launch
    /// watermarks any more ([`Election::watermarks_reliable`](super::election::Election::watermarks_reliable)), so launches
    /// need none; and while the state service is down, there is no writing them.
    pub fn was_extended_by_votes(&self) -> bool {
        self.extended_by_votes
    }
}

#[cfg(test)]
mod tests;
