//! Whether this controller may take over a shard; shard 0 is the leader's.
//!
//! Whoever takes over needs the owner's key in the state service gone, and none of its own votes alive. A process that has
//! just started may have forgotten a vote, so it first waits for as long as one lasts.
//!
//! Every takeover raises the term, which workers see as the fencing token.

use super::lease_validity::{CLOCK_DRIFT_DIVISOR, CLOCK_MARGIN, VOTE_DURATION, VOTE_TIMEOUT};
use crate::model::{Micros, SECOND};
use crate::wire::store::LeaseRecord;

/// A lease in the state service that may not have been revoked is revoked again after this time.
const REVOKE_RETRY_INTERVAL: Micros = SECOND;
/// Votes that a process gave before it was started are of no use to anyone this long after its start.
const FORGOTTEN_VOTE_LIFETIME: Micros = VOTE_TIMEOUT + SECOND / 2;
/// A process that does not know whether a term's watermarks hold asks its peers this often.
const WATERMARK_QUERY_INTERVAL: Micros = SECOND;

/// A record of who owns a shard, as the state service holds it.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct StoredLease {
    pub record: LeaseRecord,
    /// The version of its key.
    pub version: u64,
}

/// What a takeover is conditional on.
#[derive(Clone, Copy, Debug)]
pub(super) struct TakeoverConditions {
    /// Versions of the owner's key and the term's key; 0: there is none.
    pub owner_key_version: u64,
    pub term_key_version: u64,
    /// The last term in which the shard was owned.
    pub last_term: u64,
}

/// This controller's own chances of owning a shard.
#[derive(Debug)]
pub(super) struct Election {
    /// This controller's name.
    name: String,
    /// Until when votes of an earlier process of this name may be alive.
    quiet_until: Micros,
    /// Until when its own vote binds it.
    vote_until: Micros,
    /// Until when it leaves a takeover to others.
    abstain_until: Micros,
    /// A takeover that had no answer may still be carried out under this lease in the state service, until that is known
    /// to be revoked.
    unresolved_store_lease: Option<u64>,
    revoke_at: Micros,
    /// The last term when this process began: what it voted in later ones it remembers.
    term_at_start: Option<u64>,
    /// The highest term that it has voted in, or launched without watermarks in.
    highest_voted_term: u64,
    /// The last term of which a peer told this process that nothing had been launched without watermarks in it.
    reliable_watermarks_term: u64,
    started_at: Micros,
    watermark_query_at: Micros,
    /// A takeover is under way.
    pub attempt_in_progress: bool,
    /// The records below are what a read of the state service has shown since the last takeover.
    has_observed_store: bool,
    owner: Option<StoredLease>,
    last_term: Option<StoredLease>,
}

impl Election {
    /// The chances of a process that begins now.
    pub fn new(name: &str, now: Micros) -> Election {
        Election {
            name: name.into(),
            quiet_until: now + with_drift(VOTE_DURATION) + CLOCK_MARGIN,
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
            owner: None,
            last_term: None,
        }
    }

    /// Takes in what the state service says of the shard's owner and of its last term.
    pub fn observe(&mut self, owner: Option<StoredLease>, last_term: Option<StoredLease>) {
        self.has_observed_store = true;
        self.term_at_start
            .get_or_insert(last_term.as_ref().map_or(0, |last| last.record.term));
        self.owner = owner;
        self.last_term = last_term;
    }

    /// Whether the shard was ever owned, as far as was seen.
    pub fn has_known_term(&self) -> bool {
        self.last_term.is_some()
    }

    // ---- Launch watermarks ----

    /// Whether this process knows that nothing has been launched without watermarks in a term so far. Such a launch takes a
    /// vote of *every* peer of the term's owner, so one that remembers to have given none is enough. What a process voted
    /// before it began it does not remember, but a peer may have told it since.
    pub fn knows_watermarks_hold(&self, term: u64) -> bool {
        let remembers = self.term_at_start.is_some_and(|start| start < term)
            || self.reliable_watermarks_term == term;
        remembers && self.highest_voted_term < term
    }

    /// Whether a successor to the last term may go by the jobs' watermarks.
    pub fn watermarks_reliable(&self) -> bool {
        // If the shard was never owned, nothing was launched.
        self.last_term.as_ref().is_none_or(|last| {
            last.record.watermarks_reliable && self.knows_watermarks_hold(last.record.term)
        })
    }

    /// The term that peers are to be asked about now, if any: only once nothing that this process may have voted before it
    /// began can be of use to that term's owner any more.
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

    /// A peer that knows says, in answer to this process, that the term's watermarks hold.
    pub fn confirm_watermarks(&mut self, term: u64) {
        self.reliable_watermarks_term = self.reliable_watermarks_term.max(term);
    }

    /// This controller owned the shard in that term, and launched without watermarks.
    pub fn launched_without_watermarks(&mut self, term: u64) {
        self.highest_voted_term = self.highest_voted_term.max(term);
    }

    // ---- Taking over ----

    /// Whether a takeover may be tried now.
    pub fn may_campaign(&self, now: Micros) -> bool {
        !self.attempt_in_progress && self.unresolved_store_lease.is_none() && self.is_eligible(now)
    }

    /// Whether nothing that is known stands against taking over now.
    pub fn is_eligible(&self, now: Micros) -> bool {
        if !self.has_observed_store || now < self.vote_until || now < self.abstain_until {
            return false;
        }
        let is_own = |lease: &StoredLease| lease.record.owner == self.name;
        // If the shard was never owned, or its last owner was this controller itself before it was restarted, no vote for
        // another can be alive.
        let was_others = self.last_term.as_ref().is_some_and(|last| !is_own(last));
        let must_wait = now < self.quiet_until && was_others;
        !must_wait && self.owner.as_ref().is_none_or(is_own)
    }

    /// What a takeover is conditional on, as last observed.
    pub fn conditions(&self) -> TakeoverConditions {
        let version = |lease: &Option<StoredLease>| lease.as_ref().map_or(0, |l| l.version);
        TakeoverConditions {
            owner_key_version: version(&self.owner),
            term_key_version: version(&self.last_term),
            last_term: self.last_term.as_ref().map_or(0, |last| last.record.term),
        }
    }

    /// Leaves a takeover to others until then.
    pub fn abstain(&mut self, until: Micros) {
        self.abstain_until = until;
    }

    /// A takeover under this lease was not carried out, or nothing is known of it; `status` is the answer's, if one came.
    /// If nothing is known, it may still be carried out: nobody gets a vote from here until the lease is known to be gone.
    pub fn takeover_failed(&mut self, store_lease: u64, status: Option<u16>, now: Micros) {
        let was_refused = matches!(status, Some(400 | 409 | 429 | 503));
        if !was_refused {
            self.unresolved_store_lease = Some(store_lease);
            self.revoke_at = now + REVOKE_RETRY_INTERVAL;
            self.has_observed_store = false;
        }
    }

    /// A lease in the state service that is to be revoked once more, since it is not known to be gone yet. A single attempt
    /// is not enough: after a refusal the controller could neither vote nor take over for ever, and where that met all
    /// controllers nobody led again.
    pub fn store_lease_to_revoke(&mut self, now: Micros) -> Option<u64> {
        let store_lease = self
            .unresolved_store_lease
            .filter(|_| now >= self.revoke_at)?;
        self.revoke_at = now + REVOKE_RETRY_INTERVAL;
        Some(store_lease)
    }

    /// This lease in the state service is gone, whichever it was.
    pub fn store_lease_revoked(&mut self, store_lease: u64) {
        self.unresolved_store_lease
            .take_if(|unresolved| *unresolved == store_lease);
    }

    /// The takeover was carried out in this version of the state service.
    pub fn takeover_succeeded(&mut self, record: LeaseRecord, version: u64) {
        let lease = StoredLease { record, version };
        self.owner = Some(lease.clone());
        self.last_term = Some(lease);
        // What is known now is out of date once the shard has been lost.
        self.has_observed_store = false;
    }

    // ---- Voting ----

    /// Votes for the owner in this term, which binds this controller not to take over for `duration`. False: it cannot keep
    /// to that, and gives no vote.
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

/// A duration that is no shorter on any peer's clock.
fn with_drift(duration: Micros) -> Micros {
    duration + duration / CLOCK_DRIFT_DIVISOR
}

#[cfg(test)]
mod tests;
