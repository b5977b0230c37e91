//! What a holder has in its hand: a key of the state service under a grant, the version at which it was taken, its
//! term, and the authority that these give on this process's own clock.
//!
//! Whoever holds a lease renews it, has promises bridge an outage, and guards every write by the key's version; when the
//! authority has run out, or the key is gone, nothing more is done in its name. Authority also ends when too long ago was
//! the last time that its holder provably knew which jobs are cancelled, whoever renews or promises: by its answers the
//! tasks of a job that is cancelled elsewhere would run on.

use super::election::{Authority, PROMISE};
use super::outbox::{Port, Purpose};
use crate::model::{Micros, SECOND};
use crate::settings::Settings;
use crate::wire::budget::Urgency;
use crate::wire::peer::{Body, PromiseAsk};
use crate::wire::store::StoreRequest;

/// Promises are asked for this often while the grant runs low.
const ASK_EVERY: Micros = 600_000;
/// A renewal that failed is tried again after this time.
const RENEW_AGAIN: Micros = 300_000;

#[derive(Debug)]
pub(super) struct Lease {
    pub block: u32,
    pub term: u64,
    pub grant: u64,
    /// Version of the holder's key: every write of this holder depends on it.
    pub stamp: u64,
    pub authority: Authority,
    renew_at: Micros,
    ask_at: Micros,
    /// All cancellations that any controller had confirmed by then are known here.
    known_at: Micros,
    /// How long that may be ago.
    patience: Micros,
}

/// How long a holder may go on answering workers since it last knew which jobs are cancelled. Whoever is told of a
/// cancellation after that is told at most so long before the holder's last answer, and with a lease from there every
/// task is gone within `cancel_s`. Where the settings leave no room for that, no more than a grant's time.
fn patience(settings: &Settings, ttl: Micros) -> Micros {
    let lease = settings.lease + settings.lease / 1000 + SECOND / 2;
    settings
        .cancel
        .saturating_sub(lease + settings.cancel / 1000)
        .max(ttl)
}

impl Lease {
    /// Taken with a grant that was asked for at `sent`.
    pub fn new(block: u32, term: u64, grant: u64, stamp: u64, sent: Micros, port: &Port) -> Lease {
        let authority = Authority::new(sent, port.ttl());
        let patience = patience(&port.settings, port.ttl());
        let now = port.clock.now;
        // Until the state has been read, nothing is answered that needs this knowledge.
        let known_at = now;
        let renew_at = now;
        Lease {
            block,
            term,
            grant,
            stamp,
            authority,
            renew_at,
            ask_at: 0,
            known_at,
            patience,
        }
    }

    /// Why it is no more to be acted on, if it is not.
    pub fn ended(&self, now: Micros) -> Option<&'static str> {
        if !self.authority.valid(now) {
            Some("its authority ran out")
        } else if now >= self.known_at + self.patience {
            Some("what is cancelled was last known too long ago")
        } else {
            None
        }
    }

    /// All that was read at this time has been taken in.
    pub fn knew(&mut self, at: Micros) {
        self.known_at = self.known_at.max(at);
    }

    /// Everything has been read, from this time on.
    pub fn read_from(&mut self, at: Micros) {
        self.known_at = at;
    }

    /// It is time to look what has changed, in case the watch hangs or nothing changes.
    pub fn looks(&self, now: Micros) -> bool {
        now >= self.known_at + self.patience / 2
    }

    /// Renews the grant in time. When it runs low, the state service may be down for everybody: siblings that see
    /// that too may promise not to take over.
    /// All changes of jobs up to `known` have been taken in.
    pub fn keep(&mut self, port: &mut Port, known: u64) {
        let now = port.clock.now;
        if now >= self.renew_at {
            self.renew_at = now + port.ttl() / 4;
            let purpose = Purpose::Renew {
                sent: now,
                term: self.term,
            };
            port.send(Urgency::Renewal, StoreRequest::renew(self.grant), purpose);
        }
        let siblings = port.settings.siblings.len();
        if self.authority.low(now) && now >= self.ask_at && siblings > 0 {
            self.ask_at = now + ASK_EVERY;
            let (round, term) = (self.authority.ask(now, siblings), self.term);
            let ask = PromiseAsk {
                round,
                term,
                micros: PROMISE,
                block: self.block,
                known,
            };
            (0..siblings).for_each(|i| port.say(i, Body::PromiseAsk(ask.clone())));
        }
    }

    /// Takes in the answer to a renewal that was sent then. False: the grant has ended.
    pub fn renewed(&mut self, sent: Micros, status: Option<u16>, now: Micros) -> bool {
        match status {
            Some(200) => self.authority.renewed(sent),
            Some(404) => return false,
            _ => self.renew_at = self.renew_at.min(now + RENEW_AGAIN),
        }
        true
    }
}
