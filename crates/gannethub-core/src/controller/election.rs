//! Eligibility of this controller to take over a shard; the owner of shard 0 is the leader.
//!
//! A takeover requires that the owner's key in the state service is gone and that no vote of this controller is still
//! binding. A process that has just started may have forgotten a vote, so it first waits for the duration of a vote.
//!
//! Every takeover raises the term, which workers see as the fencing token.

use super::lease_validity::{CLOCK_DRIFT_DIVISOR, CLOCK_MARGIN, VOTE_DURATION, VOTE_TIMEOUT};
use crate::model::{Micros, SECOND};
use crate::wire::store::LeaseRecord;

/// Delay before a store lease that may not have been revoked is revoked again.
const REVOKE_RETRY_INTERVAL: Micros = SECOND;
/// Time after a process's start at which votes from before that start no longer count for any owner.
const FORGOTTEN_VOTE_LIFETIME: Micros = VOTE_TIMEOUT + SECOND / 2;
/// Interval at which a process asks its peers whether a term's launch watermarks hold, until it knows.
const WATERMARK_QUERY_INTERVAL: Micros = SECOND;

/// A shard's lease record, as the state service holds it.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct StoredLease {
    pub record: LeaseRecord,
    /// Version of the record's key.
    pub version: u64,
}

/// Conditions of a takeover transaction.
#[derive(Clone, Copy, Debug)]
pub(super) struct TakeoverConditions {
    /// Versions of the owner's key and the term's key; 0 if the key does not exist.
    pub owner_key_version: u64,
    pub term_key_version: u64,
    /// Last term in which the shard was owned.
    pub last_term: u64,
}

/// Eligibility of this controller to own one shard.
#[derive(Debug)]
pub(super) struct Election {
    /// This controller's name.
    name: String,
    /// Time until which votes of an earlier process of this name may still be binding.
    earlier_votes_until: Micros,
    /// Time until which this process's own vote binds it.
    vote_until: Micros,
    /// Time until which this controller leaves a takeover to others.
    abstain_until: Micros,
    /// Store lease of a takeover that got no answer. The takeover may still be carried out until this lease is known
    /// to be revoked.
    unresolved_store_lease: Option<u64>,
    revoke_at: Micros,
    /// Last term of the shard at the start of this process, which remembers its votes in all later terms.
    term_at_start: Option<u64>,
    /// Highest term in which this process has voted, or was allowed to launch without watermarks.
    highest_voted_term: u64,
    /// Last term for which a peer confirmed to this process that nothing was launched without watermarks.
    reliable_watermarks_term: u64,
    started_at: Micros,
    watermark_query_at: Micros,
    /// Whether a takeover is under way.
    pub attempt_in_progress: bool,
    /// Whether the records below come from a read of the state service since this controller's last takeover, and since
    /// its last takeover attempt whose outcome is unknown.
    has_observed_store: bool,
    /// Version of the state service in which the records below were last read.
    observed_version: u64,
    owner: Option<StoredLease>,
    last_term: Option<StoredLease>,
}

impl Election {
    /// Creates the election state of a process that starts now.
    pub fn new(name: &str, now: Micros) -> Election {
        Election {
            name: name.into(),
            earlier_votes_until: now + with_drift(VOTE_DURATION) + CLOCK_MARGIN,
            vote_until: 0,
            abstain_until: 0,
            unresolved_store_lease: None,
            revoke_at: 0,
            term_at_start: None,
            highest_voted_term: 0,
            reliable_watermarks_term: 0,
            started_at: now,
            watermark_query_at: 0,
            attempt_in_progress: false,
            has_observed_store: false,
            observed_version: 0,
            owner: None,
            last_term: None,
        }
    }

    /// Records the state service's answer about the shard's owner and last term, as of `version`.
    pub fn observe(
        &mut self,
        owner: Option<StoredLease>,
        last_term: Option<StoredLease>,
        version: u64,
    ) {
        self.has_observed_store = true;
        self.observed_version = version;
        self.term_at_start
            .get_or_insert(last_term.as_ref().map_or(0, |last| last.record.term));
        self.owner = owner;
        self.last_term = last_term;
    }

    /// Whether this process knows that the shard was ever owned.
    pub fn has_known_term(&self) -> bool {
        self.last_term.is_some()
    }

    // ---- Launch watermarks ----

    /// Whether this process knows that nothing has been launched without watermarks in a term so far. Such a launch
    /// requires the vote of *every* peer of the term's owner, so a single peer that remembers giving no vote is
    /// sufficient proof. A process does not remember votes from before its start, but a peer may have confirmed the
    /// term since.
    pub fn knows_watermarks_hold(&self, term: u64) -> bool {
        let remembers = self.term_at_start.is_some_and(|start| start < term)
            || self.reliable_watermarks_term == term;
        remembers && self.highest_voted_term < term
    }

    /// Whether the successor of the last term's owner may rely on the jobs' launch watermarks.
    pub fn watermarks_reliable(&self) -> bool {
        // A shard that was never owned has launched nothing.
        self.last_term.as_ref().is_none_or(|last| {
            last.record.watermarks_reliable && self.knows_watermarks_hold(last.record.term)
        })
    }

    /// Returns the term for which a watermark query to the peers is due, if any. The query waits until no vote that
    /// this process may have given before its start can still count for the term's owner.
    pub fn watermark_query_due(&mut self, now: Micros) -> Option<u64> {
        let last = &self.last_term.as_ref()?.record;
        let term = Some(last.term).filter(|_| last.watermarks_reliable)?;
        let query_at = self
            .watermark_query_at
            .max(self.started_at + FORGOTTEN_VOTE_LIFETIME);
        if now < query_at || self.highest_voted_term >= term || self.knows_watermarks_hold(term) {
            return None;
        }
        self.watermark_query_at = now + WATERMARK_QUERY_INTERVAL;
        Some(term)
    }

    /// Records the answer of a peer, to a query of this process, that the term's watermarks hold.
    pub fn confirm_watermarks(&mut self, term: u64) {
        self.reliable_watermarks_term = self.reliable_watermarks_term.max(term);
    }

    /// Records that this controller owns the shard in this term, and may launch without watermarks from now on.
    pub fn record_launch_without_watermarks(&mut self, term: u64) {
        self.highest_voted_term = self.highest_voted_term.max(term);
    }

    // ---- Taking over ----

    /// Whether this controller may attempt a takeover now.
    pub fn may_campaign(&self, now: Micros) -> bool {
        !self.attempt_in_progress && self.unresolved_store_lease.is_none() && self.is_eligible(now)
    }

    /// Whether no known fact forbids a takeover now.
    pub fn is_eligible(&self, now: Micros) -> bool {
        self.has_observed_store
            && now >= self.abstain_until
            && !self.is_bound_by_vote(now)
            && self.owner.as_ref().is_none_or(|owner| self.is_own(owner))
    }

    /// Whether no owner that took the shard over before this version of the state service has authority any more: the
    /// shard was taken over later, or it had no owner and no vote of this controller lets an earlier owner act on.
    pub fn excludes_owner_before(&self, version: u64, now: Micros) -> bool {
        match &self.owner {
            Some(owner) => owner.version > version,
            None => {
                self.has_observed_store
                    && self.observed_version >= version
                    && !self.is_bound_by_vote(now)
            }
        }
    }

    /// Whether a vote of this process, or of an earlier process of its name, may still be binding.
    fn is_bound_by_vote(&self, now: Micros) -> bool {
        // If the shard was never owned, or its last owner was this controller itself before a restart, no vote for
        // another owner can still be binding.
        let had_other_owner = self
            .last_term
            .as_ref()
            .is_some_and(|last| !self.is_own(last));
        now < self.vote_until || (now < self.earlier_votes_until && had_other_owner)
    }

    fn is_own(&self, lease: &StoredLease) -> bool {
        lease.record.owner == self.name
    }

    /// Returns the conditions of a takeover, as last observed.
    pub fn conditions(&self) -> TakeoverConditions {
        let version = |lease: &Option<StoredLease>| lease.as_ref().map_or(0, |l| l.version);
        TakeoverConditions {
            owner_key_version: version(&self.owner),
            term_key_version: version(&self.last_term),
            last_term: self.last_term.as_ref().map_or(0, |last| last.record.term),
        }
    }

    /// Leaves a takeover to other controllers until this time.
    pub fn abstain(&mut self, until: Micros) {
        self.abstain_until = until;
    }

    /// Records that a takeover under this store lease was refused, or that its outcome is unknown; `status` is the
    /// status of the answer, if one arrived. With an unknown outcome the takeover may still be carried out, so this
    /// controller votes for nobody until the store lease is known to be gone.
    pub fn takeover_failed(&mut self, store_lease: u64, status: Option<u16>, now: Micros) {
        let was_refused = matches!(status, Some(400 | 409 | 429 | 503));
        if !was_refused {
            self.unresolved_store_lease = Some(store_lease);
            self.revoke_at = now + REVOKE_RETRY_INTERVAL;
            self.has_observed_store = false;
        }
    }

    /// Returns the store lease to revoke again, if one is not yet known to be gone and the retry is due. A single
    /// attempt is not enough: after a refused revocation the controller could never again vote or take over, and when
    /// this happened to all controllers, none of them led again.
    pub fn store_lease_to_revoke(&mut self, now: Micros) -> Option<u64> {
        let store_lease = self
            .unresolved_store_lease
            .filter(|_| now >= self.revoke_at)?;
        self.revoke_at = now + REVOKE_RETRY_INTERVAL;
        Some(store_lease)
    }

    /// Records that a store lease is gone. Store leases other than the unresolved one are ignored.
    pub fn store_lease_revoked(&mut self, store_lease: u64) {
        self.unresolved_store_lease
            .take_if(|unresolved| *unresolved == store_lease);
    }

    /// Records that the takeover was carried out in this version of the state service.
    pub fn takeover_succeeded(&mut self, record: LeaseRecord, version: u64) {
        let lease = StoredLease { record, version };
        self.owner = Some(lease.clone());
        self.last_term = Some(lease);
        // The observed records will be out of date by the time this controller loses the shard.
        self.has_observed_store = false;
    }

    // ---- Voting ----

    /// Votes for the owner in this term, which binds this controller not to take over for `duration`. Returns false,
    /// and gives no vote, if this controller cannot make that promise.
    pub fn vote(&mut self, term: u64, now: Micros, duration: Micros) -> bool {
        let knows_newer = self
            .last_term
            .as_ref()
            .is_some_and(|last| last.record.term > term);
        if self.attempt_in_progress || self.unresolved_store_lease.is_some() || knows_newer {
            return false;
        }
        self.vote_until = self.vote_until.max(now + with_drift(duration));
        self.highest_voted_term = self.highest_voted_term.max(term);
        true
    }
}

/// Returns `duration` extended by the clock drift, so that the period is no shorter on any peer's clock.
fn with_drift(duration: Micros) -> Micros {
    duration + duration / CLOCK_DRIFT_DIVISOR
}

#[cfg(test)]
mod tests;
