//! Who leads: grants, terms, and promises that bridge an outage of the state service.
//!
//! A leader acts only while its authority is provably valid on its own steady clock. Its grant is
//! counted from when the renewal was *sent*, less clock drift and a margin. When the state service
//! is down, all siblings together can extend its authority by promising not to take over for a
//! bounded time. Whoever takes over needs the leader's key gone and none of its own promises alive;
//! a process that has just started may have forgotten one, so it first keeps quiet that long.

use std::collections::HashSet;

use crate::model::{Micros, SECOND};
use crate::wire::store::LeaseRecord;

/// How long a promise lasts.
pub const VOTE_DURATION: Micros = 8 * SECOND;
/// A grant that may not have been given back is given back again after this time.
const REVOKE_RETRY_INTERVAL: Micros = SECOND;
const CLOCK_MARGIN: Micros = 150_000;
/// A promise that comes later than this after it was asked for counts for nothing. So what a process promised
/// before it was restarted is of no use to anyone once it is back for so long.
const VOTE_TIMEOUT: Micros = 2 * SECOND;
const FORGOTTEN_VOTE_LIFETIME: Micros = VOTE_TIMEOUT + SECOND / 2;
/// A process that does not know whether marks hold asks this often.
const WATERMARK_QUERY_INTERVAL: Micros = SECOND;

/// The end, on our clock, of something that lasts `d` from `from` on any clock that may run 0.05%
/// faster, less a margin.
fn safe_expiry(from: Micros, d: Micros) -> Micros {
    from + d - d / 1000 - CLOCK_MARGIN
}

/// When a grant asked for or renewed at `sent` must be taken to end.
pub fn store_lease_expiry(sent: Micros, ttl: Micros) -> Micros {
    safe_expiry(sent, ttl)
}

/// A leader's right to act.
#[derive(Debug)]
pub struct LeaseValidity {
    ttl: Micros,
    store_lease_until: Micros,
    votes_until: Micros,
    round: u64,
    round_started_at: Micros,
    votes_needed: usize,
    voters: HashSet<usize>,
    /// Those whose promise told all that they know of cancellations.
    informed_voters: HashSet<usize>,
    extended_by_votes: bool,
}

impl LeaseValidity {
    /// The authority of a grant of `ttl` that was asked for at `sent`.
    pub fn new(sent: Micros, ttl: Micros) -> LeaseValidity {
        LeaseValidity {
            ttl,
            store_lease_until: store_lease_expiry(sent, ttl),
            votes_until: 0,
            round: 0,
            round_started_at: 0,
            votes_needed: 0,
            voters: HashSet::new(),
            informed_voters: HashSet::new(),
            extended_by_votes: false,
        }
    }

    pub fn is_valid(&self, now: Micros) -> bool {
        now < self.store_lease_until.max(self.votes_until)
    }

    /// The grant has missed a renewal or two.
    pub fn is_running_low(&self, now: Micros) -> bool {
        now + self.ttl / 2 > self.store_lease_until
    }

    pub fn store_lease_renewed(&mut self, sent: Micros) {
        self.store_lease_until = self
            .store_lease_until
            .max(store_lease_expiry(sent, self.ttl));
    }

    /// Begins a round of asking all `siblings`; answers to earlier rounds no longer count.
    pub fn start_vote_round(&mut self, now: Micros, siblings: usize) -> u64 {
        self.round += 1;
        self.round_started_at = now;
        self.votes_needed = siblings;
        self.voters.clear();
        self.informed_voters.clear();
        self.round
    }

    /// A sibling has told with its promise all that it knows of cancellations. Once all have in one round, nothing that
    /// any of them had told its users by the time that the round began is unknown here: that time.
    pub fn record_informed_voter(&mut self, round: u64, sibling: usize) -> Option<Micros> {
        if round != self.round {
            return None;
        }
        self.informed_voters.insert(sibling);
        (self.votes_needed > 0 && self.informed_voters.len() >= self.votes_needed)
            .then_some(self.round_started_at)
    }

    /// A sibling promised. Only all of them together extend the authority.
    pub fn record_vote(&mut self, round: u64, sibling: usize, now: Micros) {
        if round != self.round || now > self.round_started_at + VOTE_TIMEOUT {
            return;
        }
        self.voters.insert(sibling);
        if self.votes_needed > 0 && self.voters.len() >= self.votes_needed {
            self.votes_until = self
                .votes_until
                .max(safe_expiry(self.round_started_at, VOTE_DURATION));
            self.extended_by_votes = true;
        }
    }

    /// All siblings have promised in one round at some time in this term: none of them goes by its marks any
    /// more ([`Candidacy::trusts`]), so launches need none, as in the outage there is no writing them.
    pub fn was_extended_by_votes(&self) -> bool {
        self.extended_by_votes
    }
}

/// A controller's own chances of leading.
#[derive(Debug)]
pub struct Election {
    name: String,
    quiet_until: Micros,
    vote_until: Micros,
    abstain_until: Micros,
    /// A takeover that had no answer may still be carried out under this grant, and when that is to be given back again.
    unresolved_store_lease: Option<u64>,
    revoke_at: Micros,
    /// The last term when this process began: what it promised of later ones it knows.
    term_at_start: Option<u64>,
    /// The highest term that it has promised anything to, or bridged an outage in.
    highest_voted_term: u64,
    /// The last term of which it was told, in this life, that nothing had been launched without marks in it.
    reliable_watermarks_term: u64,
    started_at: Micros,
    watermark_query_at: Micros,
    pub attempt_in_progress: bool,
    /// What the last look at the state service showed.
    has_observed_store: bool,
    leader_record: Option<(LeaseRecord, u64)>,
    term_record: Option<(LeaseRecord, u64)>,
}

impl Election {
    pub fn new(name: &str, now: Micros) -> Election {
        Election {
            name: name.into(),
            quiet_until: now + VOTE_DURATION + VOTE_DURATION / 1000 + CLOCK_MARGIN,
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
            leader_record: None,
            term_record: None,
        }
    }

    /// Takes in what the state service says of the leader and of the last term.
    pub fn observe(
        &mut self,
        holder: Option<(LeaseRecord, u64)>,
        term: Option<(LeaseRecord, u64)>,
    ) {
        self.has_observed_store = true;
        self.term_at_start
            .get_or_insert(term.as_ref().map_or(0, |t| t.0.term));
        self.leader_record = holder;
        self.term_record = term;
    }

    /// Whether it knows that nothing has been launched without marks in a term so far. That takes a promise of
    /// *every* sibling of its leader, so one that remembers to have given none is enough. What a process promised
    /// before it began it does not remember, but somebody else may have told it since.
    pub fn knows_watermarks_hold(&self, term: u64) -> bool {
        let remembers = self.term_at_start.is_some_and(|first| first < term)
            || self.reliable_watermarks_term == term;
        remembers && self.highest_voted_term < term
    }

    /// Whether a successor to the last term may go by the jobs' marks.
    pub fn watermarks_reliable(&self) -> bool {
        // If nobody ever led, nothing was launched.
        self.term_record.as_ref().is_none_or(|(last, _)| {
            last.watermarks_reliable && self.knows_watermarks_hold(last.term)
        })
    }

    /// The term that siblings are to be asked about now: only once nothing that this process may have promised
    /// before it began can be of use to that term's leader any more.
    pub fn watermark_query_due(&mut self, now: Micros) -> Option<u64> {
        let term = self
            .term_record
            .as_ref()
            .filter(|t| t.0.watermarks_reliable)
            .map(|t| t.0.term)?;
        let due = now
            >= self
                .watermark_query_at
                .max(self.started_at + FORGOTTEN_VOTE_LIFETIME);
        if !due || self.highest_voted_term >= term || self.knows_watermarks_hold(term) {
            return None;
        }
        self.watermark_query_at = now + WATERMARK_QUERY_INTERVAL;
        Some(term)
    }

    /// Somebody who knows says so, in answer to this process.
    pub fn confirm_watermarks(&mut self, term: u64) {
        self.reliable_watermarks_term = self.reliable_watermarks_term.max(term);
    }

    /// This controller led in that term, and launched without marks.
    pub fn launched_without_watermarks(&mut self, term: u64) {
        self.highest_voted_term = self.highest_voted_term.max(term);
    }

    /// There has been such a lease at some time, as far as was seen.
    pub fn has_known_term(&self) -> bool {
        self.term_record.is_some()
    }

    pub fn may_campaign(&self, now: Micros) -> bool {
        !self.attempt_in_progress && self.unresolved_store_lease.is_none() && self.is_eligible(now)
    }

    /// Whether nothing that is known stands against taking over now.
    pub fn is_eligible(&self, now: Micros) -> bool {
        if !self.has_observed_store || now < self.vote_until || now < self.abstain_until {
            return false;
        }
        let mine =
            |r: &Option<(LeaseRecord, u64)>| r.as_ref().is_some_and(|r| r.0.owner == self.name);
        // Nobody ever led, or the last to lead was this controller itself, before it was
        // restarted: then no promise to another can be alive.
        let quiet =
            now < self.quiet_until && self.term_record.is_some() && !mine(&self.term_record);
        !quiet && (self.leader_record.is_none() || mine(&self.leader_record))
    }

    /// Versions of the leader's and the term's key, and the last term.
    pub fn versions(&self) -> (u64, u64, u64) {
        let stamp = |r: &Option<(LeaseRecord, u64)>| r.as_ref().map_or(0, |r| r.1);
        (
            stamp(&self.leader_record),
            stamp(&self.term_record),
            self.term_record.as_ref().map_or(0, |r| r.0.term),
        )
    }

    /// Promises not to take over, if that can be kept.
    pub fn vote(&mut self, term: u64, now: Micros, micros: Micros) -> bool {
        let newer = self.term_record.as_ref().is_some_and(|t| t.0.term > term);
        if self.attempt_in_progress || self.unresolved_store_lease.is_some() || newer {
            return false;
        }
        self.vote_until = self.vote_until.max(now + micros + micros / 1000);
        self.highest_voted_term = self.highest_voted_term.max(term);
        true
    }

    pub fn abstain(&mut self, until: Micros) {
        self.abstain_until = until;
    }

    /// A takeover under this grant was not carried out, or nothing is known of it. It may then still be carried out; until
    /// the grant is known to be gone, nobody gets a promise from here.
    pub fn takeover_failed(&mut self, grant: u64, status: Option<u16>, now: Micros) {
        if !matches!(status, Some(400 | 409 | 429 | 503)) {
            self.unresolved_store_lease = Some(grant);
            self.revoke_at = now + REVOKE_RETRY_INTERVAL;
            self.has_observed_store = false;
        }
    }

    /// A grant that is to be given back once more, since nothing is known of that yet. Asked for but once, a refusal left the
    /// controller unsure for ever, and where that met all of them nobody led again.
    pub fn store_lease_to_revoke(&mut self, now: Micros) -> Option<u64> {
        let grant = self
            .unresolved_store_lease
            .filter(|_| now >= self.revoke_at)?;
        self.revoke_at = now + REVOKE_RETRY_INTERVAL;
        Some(grant)
    }

    /// This grant is gone, whichever it was.
    pub fn store_lease_revoked(&mut self, grant: u64) {
        self.unresolved_store_lease
            .take_if(|unsure| *unsure == grant);
    }

    /// The takeover succeeded.
    pub fn takeover_succeeded(&mut self, record: LeaseRecord, stamp: u64) {
        self.leader_record = Some((record.clone(), stamp));
        self.term_record = Some((record, stamp));
        // What is known now is out of date once leadership has been lost.
        self.has_observed_store = false;
    }
}

#[cfg(test)]
mod tests;
