//! The lease on a shard: the owner's key in the state service, the lease there that it is under, the version at which it
//! was taken, the term, and until when all this may be acted on.
//!
//! The owner renews the lease, has votes of its peers bridge an outage of the state service, and guards every write by the
//! key's version; when the lease has expired, or the key is gone, nothing more is done in its name. The lease also ends
//! when its owner last provably knew too long ago which jobs are cancelled, whoever renews or votes: by its answers the
//! tasks of a job that is cancelled elsewhere would run on.

use super::end_reason::EndReason;
use super::lease_validity::{LeaseValidity, VOTE_DURATION};
use super::outbox::Outbox;
use super::pending_request::{AcquiredLease, OwnerRequest, PendingRequest};
use crate::model::{Micros, SECOND};
use crate::settings::Settings;
use crate::wire::budget::Urgency;
use crate::wire::peer::{Body, VoteRequest};
use crate::wire::store::StoreRequest;

/// Votes are asked for this often while the lease runs low.
const VOTE_REQUEST_INTERVAL: Micros = 600_000;
/// A renewal that failed is tried again after this time.
const RENEW_RETRY_INTERVAL: Micros = 300_000;
/// The lease is renewed this many times while it lasts.
const RENEWALS_PER_TTL: Micros = 4;
/// A worker's lease may last longer on its own clock than on this process's, by less than this part and this time.
const WORKER_CLOCK_DRIFT_DIVISOR: Micros = 1000;
const WORKER_MARGIN: Micros = SECOND / 2;

/// See the [module](self).
#[derive(Debug)]
pub(super) struct ShardLease {
    pub shard: u32,
    /// The term, which is the fencing token that workers see.
    pub term: u64,
    /// The number of the lease in the state service.
    pub store_lease: u64,
    /// The version of the owner's key: every write of this owner depends on it.
    pub key_version: u64,
    pub validity: LeaseValidity,
    renew_at: Micros,
    vote_request_at: Micros,
    /// All cancellations that any controller had confirmed by then are known here.
    cancellations_known_at: Micros,
    /// How long that may be ago.
    max_cancellation_age: Micros,
}

/// How long an owner may go on answering workers since it last knew which jobs are cancelled. Whoever is told of a
/// cancellation after that is told at most so long before the owner's last answer, and with a worker's lease from there
/// every task is gone within the time that settings give a cancellation. Where they leave no room for that: no more than
/// the lease's own time.
fn max_cancellation_age(settings: &Settings, ttl: Micros) -> Micros {
    let worker_lease = settings.lease_duration
        + settings.lease_duration / WORKER_CLOCK_DRIFT_DIVISOR
        + WORKER_MARGIN;
    settings
        .cancel_timeout
        .saturating_sub(worker_lease + settings.cancel_timeout / WORKER_CLOCK_DRIFT_DIVISOR)
        .max(ttl)
}

impl ShardLease {
    /// A lease that a takeover in this term has just brought; `key_version` is the version that it was carried out at.
    pub fn new(
        acquired: AcquiredLease,
        term: u64,
        key_version: u64,
        outbox: &Outbox,
    ) -> ShardLease {
        let now = outbox.clock.now;
        let ttl = outbox.store_lease_ttl();
        ShardLease {
            shard: acquired.shard,
            term,
            store_lease: acquired.store_lease,
            key_version,
            validity: LeaseValidity::new(acquired.requested_at, ttl),
            renew_at: now,
            vote_request_at: 0,
            // Until the state has been read, nothing is answered that needs this knowledge.
            cancellations_known_at: now,
            max_cancellation_age: max_cancellation_age(&outbox.settings, ttl),
        }
    }

    /// Why it may not be acted on any more, if it may not.
    pub fn end_reason(&self, now: Micros) -> Option<EndReason> {
        if !self.validity.is_valid(now) {
            Some(EndReason::LeaseExpired)
        } else if now >= self.cancellations_known_at + self.max_cancellation_age {
            Some(EndReason::CancellationsUnknown)
        } else {
            None
        }
    }

    /// All cancellations that had been confirmed by this time have been applied.
    pub fn cancellations_known(&mut self, at: Micros) {
        self.cancellations_known_at = self.cancellations_known_at.max(at);
    }

    /// Everything has been read from this time on, and nothing is known beyond that.
    pub fn reset_cancellations_known(&mut self, at: Micros) {
        self.cancellations_known_at = at;
    }

    /// Whether it is time to read what has changed, in case the watch hangs or nothing changes.
    pub fn is_catch_up_due(&self, now: Micros) -> bool {
        now >= self.cancellations_known_at + self.max_cancellation_age / 2
    }

    /// Renews the lease in time. When it runs low, the state service may be down for everybody: peers that see that too may
    /// vote for this owner. All changes of jobs up to `known_version` have been applied; 0: that is not known.
    pub fn maintain(&mut self, outbox: &mut Outbox, known_version: u64) {
        let now = outbox.clock.now;
        if now >= self.renew_at {
            self.renew_at = now + outbox.store_lease_ttl() / RENEWALS_PER_TTL;
            let pending = PendingRequest::ShardOwner {
                term: self.term,
                request: OwnerRequest::RenewLease { sent_at: now },
            };
            let request = StoreRequest::renew_lease(self.store_lease);
            outbox.send_to_store(Urgency::Renewal, request, pending);
        }
        if self.validity.is_running_low(now) && now >= self.vote_request_at {
            self.request_votes(outbox, known_version);
        }
    }

    fn request_votes(&mut self, outbox: &mut Outbox, known_version: u64) {
        let now = outbox.clock.now;
        let peers = outbox.settings.peers.len();
        if peers == 0 {
            return;
        }
        self.vote_request_at = now + VOTE_REQUEST_INTERVAL;
        let request = VoteRequest {
            round: self.validity.start_vote_round(now, peers),
            term: self.term,
            duration: VOTE_DURATION,
            shard: self.shard,
            known_version,
        };
        outbox.send_to_all_peers(&Body::VoteRequest(request));
    }

    /// Takes in the answer to a renewal; `status` is `None` if there was none. False: the lease in the state service has
    /// ended.
    pub fn handle_renewal(&mut self, sent_at: Micros, status: Option<u16>, now: Micros) -> bool {
        match status {
            Some(200) => self.validity.store_lease_renewed(sent_at),
            Some(404) => return false,
            _ => self.renew_at = self.renew_at.min(now + RENEW_RETRY_INTERVAL),
        }
        true
    }
}
