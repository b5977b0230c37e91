//! Who leads: grants, terms, and promises that bridge an outage of the state service.
//!
//! A leader acts only while its authority is provably valid on its own steady clock. Its grant is
//! counted from when the renewal was *sent*, less clock drift and a margin. When the state service
//! is down, all siblings together can extend its authority by promising not to take over for a
//! bounded time. Whoever takes over needs the leader's key gone and none of its own promises alive;
//! a process that has just started may have forgotten one, so it first keeps quiet that long.

use std::collections::HashSet;

use crate::model::{Micros, SECOND};
use crate::wire::store::LeadRecord;

/// How long a promise lasts.
pub const PROMISE: Micros = 8 * SECOND;
/// A grant that may not have been given back is given back again after this time.
const DROP_AGAIN: Micros = SECOND;
const MARGIN: Micros = 150_000;
/// A promise that comes later than this after it was asked for counts for nothing. So what a process promised
/// before it was restarted is of no use to anyone once it is back for so long.
const PROMISE_FRESH: Micros = 2 * SECOND;
const FORGOTTEN: Micros = PROMISE_FRESH + SECOND / 2;
/// A process that does not know whether marks hold asks this often.
const ASK_MARKS: Micros = SECOND;

/// The end, on our clock, of something that lasts `d` from `from` on any clock that may run 0.05%
/// faster, less a margin.
fn safe_end(from: Micros, d: Micros) -> Micros {
    from + d - d / 1000 - MARGIN
}

/// When a grant asked for or renewed at `sent` must be taken to end.
pub fn grant_end(sent: Micros, ttl: Micros) -> Micros {
    safe_end(sent, ttl)
}

/// A leader's right to act.
#[derive(Debug)]
pub struct Authority {
    ttl: Micros,
    grant_until: Micros,
    promise_until: Micros,
    round: u64,
    asked_at: Micros,
    needed: usize,
    promised: HashSet<usize>,
    /// Those whose promise told all that they know of cancellations.
    informed: HashSet<usize>,
    bridged: bool,
}

impl Authority {
    /// The authority of a grant of `ttl` that was asked for at `sent`.
    pub fn new(sent: Micros, ttl: Micros) -> Authority {
        Authority {
            ttl,
            grant_until: grant_end(sent, ttl),
            promise_until: 0,
            round: 0,
            asked_at: 0,
            needed: 0,
            promised: HashSet::new(),
            informed: HashSet::new(),
            bridged: false,
        }
    }

    pub fn valid(&self, now: Micros) -> bool {
        now < self.grant_until.max(self.promise_until)
    }

    /// The grant has missed a renewal or two.
    pub fn low(&self, now: Micros) -> bool {
        now + self.ttl / 2 > self.grant_until
    }

    pub fn renewed(&mut self, sent: Micros) {
        self.grant_until = self.grant_until.max(grant_end(sent, self.ttl));
    }

    /// Begins a round of asking all `siblings`; answers to earlier rounds no longer count.
    pub fn ask(&mut self, now: Micros, siblings: usize) -> u64 {
        self.round += 1;
        self.asked_at = now;
        self.needed = siblings;
        self.promised.clear();
        self.informed.clear();
        self.round
    }

    /// A sibling has told with its promise all that it knows of cancellations. Once all have in one round, nothing that
    /// any of them had told its users by the time that the round began is unknown here: that time.
    pub fn informed(&mut self, round: u64, sibling: usize) -> Option<Micros> {
        if round != self.round {
            return None;
        }
        self.informed.insert(sibling);
        (self.needed > 0 && self.informed.len() >= self.needed).then_some(self.asked_at)
    }

    /// A sibling promised. Only all of them together extend the authority.
    pub fn promised(&mut self, round: u64, sibling: usize, now: Micros) {
        if round != self.round || now > self.asked_at + PROMISE_FRESH {
            return;
        }
        self.promised.insert(sibling);
        if self.needed > 0 && self.promised.len() >= self.needed {
            self.promise_until = self.promise_until.max(safe_end(self.asked_at, PROMISE));
            self.bridged = true;
        }
    }

    /// All siblings have promised in one round at some time in this term: none of them goes by its marks any
    /// more ([`Candidacy::trusts`]), so launches need none, as in the outage there is no writing them.
    pub fn bridged(&self) -> bool {
        self.bridged
    }
}

/// A controller's own chances of leading.
#[derive(Debug)]
pub struct Candidacy {
    name: String,
    quiet_until: Micros,
    promise_until: Micros,
    abstain_until: Micros,
    /// A takeover that had no answer may still be carried out under this grant, and when that is to be given back again.
    unsure: Option<u64>,
    drop_at: Micros,
    /// The last term when this process began: what it promised of later ones it knows.
    first: Option<u64>,
    /// The highest term that it has promised anything to, or bridged an outage in.
    promised: u64,
    /// The last term of which it was told, in this life, that nothing had been launched without marks in it.
    told: u64,
    born: Micros,
    ask_at: Micros,
    pub trying: bool,
    /// What the last look at the state service showed.
    seen: bool,
    holder: Option<(LeadRecord, u64)>,
    term: Option<(LeadRecord, u64)>,
}

impl Candidacy {
    pub fn new(name: &str, now: Micros) -> Candidacy {
        Candidacy {
            name: name.into(),
            quiet_until: now + PROMISE + PROMISE / 1000 + MARGIN,
            promise_until: 0,
            abstain_until: 0,
            unsure: None,
            drop_at: 0,
            first: None,
            promised: 0,
            told: 0,
            born: now,
            ask_at: 0,
            trying: false,
            seen: false,
            holder: None,
            term: None,
        }
    }

    /// Takes in what the state service says of the leader and of the last term.
    pub fn saw(&mut self, holder: Option<(LeadRecord, u64)>, term: Option<(LeadRecord, u64)>) {
        self.seen = true;
        self.first
            .get_or_insert(term.as_ref().map_or(0, |t| t.0.term));
        self.holder = holder;
        self.term = term;
    }

    /// Whether it knows that nothing has been launched without marks in a term so far. That takes a promise of
    /// *every* sibling of its leader, so one that remembers to have given none is enough. What a process promised
    /// before it began it does not remember, but somebody else may have told it since.
    pub fn knows_marks(&self, term: u64) -> bool {
        let remembers = self.first.is_some_and(|first| first < term) || self.told == term;
        remembers && self.promised < term
    }

    /// Whether a successor to the last term may go by the jobs' marks.
    pub fn trusts(&self) -> bool {
        // If nobody ever led, nothing was launched.
        self.term
            .as_ref()
            .is_none_or(|(last, _)| last.marked && self.knows_marks(last.term))
    }

    /// The term that siblings are to be asked about now: only once nothing that this process may have promised
    /// before it began can be of use to that term's leader any more.
    pub fn asks_marks(&mut self, now: Micros) -> Option<u64> {
        let term = self
            .term
            .as_ref()
            .filter(|t| t.0.marked)
            .map(|t| t.0.term)?;
        let due = now >= self.ask_at.max(self.born + FORGOTTEN);
        if !due || self.promised >= term || self.knows_marks(term) {
            return None;
        }
        self.ask_at = now + ASK_MARKS;
        Some(term)
    }

    /// Somebody who knows says so, in answer to this process.
    pub fn marks_hold(&mut self, term: u64) {
        self.told = self.told.max(term);
    }

    /// This controller led in that term, and launched without marks.
    pub fn bridged(&mut self, term: u64) {
        self.promised = self.promised.max(term);
    }

    /// There has been such a lease at some time, as far as was seen.
    pub fn known(&self) -> bool {
        self.term.is_some()
    }

    pub fn may_try(&self, now: Micros) -> bool {
        !self.trying && self.unsure.is_none() && self.still_may(now)
    }

    /// Whether nothing that is known stands against taking over now.
    pub fn still_may(&self, now: Micros) -> bool {
        if !self.seen || now < self.promise_until || now < self.abstain_until {
            return false;
        }
        let mine =
            |r: &Option<(LeadRecord, u64)>| r.as_ref().is_some_and(|r| r.0.holder == self.name);
        // Nobody ever led, or the last to lead was this controller itself, before it was
        // restarted: then no promise to another can be alive.
        let quiet = now < self.quiet_until && self.term.is_some() && !mine(&self.term);
        !quiet && (self.holder.is_none() || mine(&self.holder))
    }

    /// Versions of the leader's and the term's key, and the last term.
    pub fn versions(&self) -> (u64, u64, u64) {
        let stamp = |r: &Option<(LeadRecord, u64)>| r.as_ref().map_or(0, |r| r.1);
        (
            stamp(&self.holder),
            stamp(&self.term),
            self.term.as_ref().map_or(0, |r| r.0.term),
        )
    }

    /// Promises not to take over, if that can be kept.
    pub fn promise(&mut self, term: u64, now: Micros, micros: Micros) -> bool {
        let newer = self.term.as_ref().is_some_and(|t| t.0.term > term);
        if self.trying || self.unsure.is_some() || newer {
            return false;
        }
        self.promise_until = self.promise_until.max(now + micros + micros / 1000);
        self.promised = self.promised.max(term);
        true
    }

    pub fn abstain(&mut self, until: Micros) {
        self.abstain_until = until;
    }

    /// A takeover under this grant was not carried out, or nothing is known of it. It may then still be carried out; until
    /// the grant is known to be gone, nobody gets a promise from here.
    pub fn not_taken(&mut self, grant: u64, status: Option<u16>, now: Micros) {
        if !matches!(status, Some(400 | 409 | 429 | 503)) {
            self.unsure = Some(grant);
            self.drop_at = now + DROP_AGAIN;
            self.seen = false;
        }
    }

    /// A grant that is to be given back once more, since nothing is known of that yet. Asked for but once, a refusal left the
    /// controller unsure for ever, and where that met all of them nobody led again.
    pub fn drop_again(&mut self, now: Micros) -> Option<u64> {
        let grant = self.unsure.filter(|_| now >= self.drop_at)?;
        self.drop_at = now + DROP_AGAIN;
        Some(grant)
    }

    /// This grant is gone, whichever it was.
    pub fn grant_dropped(&mut self, grant: u64) {
        self.unsure.take_if(|unsure| *unsure == grant);
    }

    /// The takeover succeeded.
    pub fn took(&mut self, record: LeadRecord, stamp: u64) {
        self.holder = Some((record.clone(), stamp));
        self.term = Some((record, stamp));
        // What is known now is out of date once leadership has been lost.
        self.seen = false;
    }
}

#[cfg(test)]
mod tests;
