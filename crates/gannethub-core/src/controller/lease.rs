//! What a holder has in its hand: a key of the state service under a grant, the version at which it was taken, its
//! term, and the authority that these give on this process's own clock.
//!
//! Whoever holds a lease renews it, has promises bridge an outage, and guards every write by the key's version; when the
//! authority has run out, or the key is gone, nothing more is done in its name. Authority also ends when too long ago was
//! the last time that its holder provably knew which jobs are cancelled, whoever renews or promises: by its answers the
//! tasks of a job that is cancelled elsewhere would run on.

use super::election::{LeaseValidity, VOTE_DURATION};
use super::outbox::{Outbox, PendingRequest};
use crate::model::{Micros, SECOND};
use crate::settings::Settings;
use crate::wire::budget::Urgency;
use crate::wire::peer::{Body, VoteRequest};
use crate::wire::store::StoreRequest;

/// Promises are asked for this often while the grant runs low.
const VOTE_REQUEST_INTERVAL: Micros = 600_000;
/// A renewal that failed is tried again after this time.
const RENEW_RETRY_INTERVAL: Micros = 300_000;

#[derive(Debug)]
pub(super) struct ShardLease {
    pub shard: u32,
    pub term: u64,
    pub store_lease: u64,
    /// Version of the holder's key: every write of this holder depends on it.
    pub key_version: u64,
    pub validity: LeaseValidity,
    renew_at: Micros,
    vote_request_at: Micros,
    /// All cancellations that any controller had confirmed by then are known here.
    cancellations_known_at: Micros,
    /// How long that may be ago.
    max_cancellation_age: Micros,
}

/// How long a holder may go on answering workers since it last knew which jobs are cancelled. Whoever is told of a
/// cancellation after that is told at most so long before the holder's last answer, and with a lease from there every
/// task is gone within `cancel_s`. Where the settings leave no room for that, no more than a grant's time.
fn max_cancellation_age(settings: &Settings, ttl: Micros) -> Micros {
    let lease = settings.lease + settings.lease / 1000 + SECOND / 2;
    settings
        .cancel
        .saturating_sub(lease + settings.cancel / 1000)
        .max(ttl)
}

impl ShardLease {
    /// Taken with a grant that was asked for at `sent`.
    pub fn new(
        shard: u32,
        term: u64,
        store_lease: u64,
        key_version: u64,
        sent: Micros,
        port: &Outbox,
    ) -> ShardLease {
        let validity = LeaseValidity::new(sent, port.store_lease_ttl());
        let max_cancellation_age = max_cancellation_age(&port.settings, port.store_lease_ttl());
        let now = port.clock.now;
        // Until the state has been read, nothing is answered that needs this knowledge.
        let cancellations_known_at = now;
        let renew_at = now;
        ShardLease {
            shard,
            term,
            store_lease,
            key_version,
            validity,
            renew_at,
            vote_request_at: 0,
            cancellations_known_at,
            max_cancellation_age,
        }
    }

    /// Why it is no more to be acted on, if it is not.
    pub fn end_reason(&self, now: Micros) -> Option<&'static str> {
        if !self.validity.is_valid(now) {
            Some("its authority ran out")
        } else if now >= self.cancellations_known_at + self.max_cancellation_age {
            Some("what is cancelled was last known too long ago")
        } else {
            None
        }
    }

    /// All that was read at this time has been taken in.
    pub fn cancellations_known(&mut self, at: Micros) {
        self.cancellations_known_at = self.cancellations_known_at.max(at);
    }

    /// Everything has been read, from this time on.
    pub fn reset_cancellations_known(&mut self, at: Micros) {
        self.cancellations_known_at = at;
    }

    /// It is time to look what has changed, in case the watch hangs or nothing changes.
    pub fn is_catch_up_due(&self, now: Micros) -> bool {
        now >= self.cancellations_known_at + self.max_cancellation_age / 2
    }

    /// Renews the grant in time. When it runs low, the state service may be down for everybody: siblings that see
    /// that too may promise not to take over.
    /// All changes of jobs up to `known` have been taken in.
    pub fn maintain(&mut self, port: &mut Outbox, known: u64) {
        let now = port.clock.now;
        if now >= self.renew_at {
            self.renew_at = now + port.store_lease_ttl() / 4;
            let purpose = PendingRequest::RenewStoreLease {
                sent_at: now,
                term: self.term,
            };
            port.send_to_store(
                Urgency::Renewal,
                StoreRequest::renew_lease(self.store_lease),
                purpose,
            );
        }
        let siblings = port.settings.siblings.len();
        if self.validity.is_running_low(now) && now >= self.vote_request_at && siblings > 0 {
            self.vote_request_at = now + VOTE_REQUEST_INTERVAL;
            let (round, term) = (self.validity.start_vote_round(now, siblings), self.term);
            let ask = VoteRequest {
                round,
                term,
                duration: VOTE_DURATION,
                shard: self.shard,
                known_version: known,
            };
            (0..siblings).for_each(|i| port.send_to_peer(i, Body::VoteRequest(ask.clone())));
        }
    }

    /// Takes in the answer to a renewal that was sent then. False: the grant has ended.
    pub fn handle_renewal(&mut self, sent: Micros, status: Option<u16>, now: Micros) -> bool {
        match status {
            Some(200) => self.validity.store_lease_renewed(sent),
            Some(404) => return false,
            _ => self.renew_at = self.renew_at.min(now + RENEW_RETRY_INTERVAL),
        }
        true
    }
}
