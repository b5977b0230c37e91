//! What a holder has in its hand: a key of the state service under a grant, the version at which it was taken, its
//! term, and the authority that these give on this process's own clock.
//!
//! Whoever holds a lease renews it, has promises bridge an outage, and guards every write by the key's version; when the
//! authority has run out, or the key is gone, nothing more is done in its name.

use super::leadership::{Authority, PROMISE};
use super::port::{Port, Purpose};
use crate::model::Micros;
use crate::wire::peer::{Body, PromiseAsk};
use crate::wire::store::{StoreRequest, Urgency};

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
}

impl Lease {
    /// Taken with a grant that was asked for at `sent`.
    pub fn new(block: u32, term: u64, grant: u64, stamp: u64, sent: Micros, port: &Port) -> Lease {
        let authority = Authority::new(sent, port.ttl());
        Lease { block, term, grant, stamp, authority, renew_at: port.clock.now, ask_at: 0 }
    }

    pub fn valid(&self, port: &Port) -> bool {
        self.authority.valid(port.clock.now)
    }

    /// Renews the grant in time. When it runs low, the state service may be down for everybody: siblings that see
    /// that too may promise not to take over.
    pub fn keep(&mut self, port: &mut Port) {
        let now = port.clock.now;
        if now >= self.renew_at {
            self.renew_at = now + port.ttl() / 4;
            let purpose = Purpose::Renew { sent: now, term: self.term };
            port.send(Urgency::Renewal, StoreRequest::renew(self.grant), purpose);
        }
        let siblings = port.settings.siblings.len();
        if self.authority.low(now) && now >= self.ask_at && siblings > 0 {
            self.ask_at = now + ASK_EVERY;
            let (round, term) = (self.authority.ask(now, siblings), self.term);
            let ask = PromiseAsk { round, term, micros: PROMISE, block: self.block };
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
