//! The lease on a shard: the owner's key in the state service, the store lease under which that key is stored, the
//! key's version, the term, and the time until which the owner may act on the lease.
//!
//! The owner renews the lease, bridges an outage of the state service with votes of its peers, and guards every write
//! by the key's version. When the lease has expired or the key is gone, the owner does nothing more in the lease's
//! name. The lease also ends, regardless of renewals and votes, when the owner's last provable knowledge of cancelled
//! jobs is too old: if the owner kept answering workers, tasks of a job that was cancelled on another controller
//! would keep running.

use super::end_reason::EndReason;
use super::lease_validity::{CLOCK_DRIFT_DIVISOR, CLOCK_MARGIN, LeaseValidity, VOTE_DURATION};
use super::outbox::Outbox;
use super::pending_request::{AcquiredLease, OwnerRequest, PendingRequest};
use crate::model::{Micros, SECOND};
use crate::settings::Settings;
use crate::wire::budget::Urgency;
use crate::wire::peer::{Body, VoteRequest};
use crate::wire::store::StoreRequest;

/// Interval between vote requests while the lease runs low.
const VOTE_REQUEST_INTERVAL: Micros = 600_000;
/// Delay before a failed renewal is retried.
const RENEW_RETRY_INTERVAL: Micros = 300_000;
/// Number of renewals within one TTL of the lease.
const RENEWALS_PER_TTL: Micros = 4;
/// Clock drift of a worker: its lease may last longer on the worker's clock than on this process's clock by less than
/// the lease duration divided by this number, plus [`WORKER_MARGIN`].
const WORKER_CLOCK_DRIFT_DIVISOR: Micros = 1000;
/// Constant part of the bound that [`WORKER_CLOCK_DRIFT_DIVISOR`] describes.
const WORKER_MARGIN: Micros = SECOND / 2;

/// The owner's lease on one shard.
#[derive(Debug)]
pub(super) struct ShardLease {
    pub shard: u32,
    /// The term, which workers see as the fencing token.
    pub term: u64,
    /// Number of the store lease.
    pub store_lease: u64,
    /// Version of the owner's key. Every write of this owner is guarded by this version.
    pub key_version: u64,
    pub validity: LeaseValidity,
    renew_at: Micros,
    vote_request_at: Micros,
    /// Time up to which this owner knows every cancellation that any controller has confirmed.
    cancellations_known_at: Micros,
    /// Maximum age of `cancellations_known_at`; the lease ends once that time is older.
    max_cancellation_age: Micros,
}

/// Returns how long an owner may continue to answer workers after the last time at which it knew all cancelled jobs.
/// A user whose cancellation is confirmed after that time gets the confirmation at most this long before the owner's
/// last answer to a worker. A worker's lease runs from that answer, so every task of the job is gone within the
/// settings' cancel timeout. Where the settings leave less room than one TTL of the store lease, the TTL is returned.
fn max_cancellation_age(settings: &Settings, ttl: Micros) -> Micros {
    let worker_lease = settings.lease_duration
        + settings.lease_duration / WORKER_CLOCK_DRIFT_DIVISOR
        + WORKER_MARGIN;
    settings
        .cancel_timeout
        .saturating_sub(worker_lease + settings.cancel_timeout / WORKER_CLOCK_DRIFT_DIVISOR)
        .max(ttl)
}

/// Returns how long, by any process's clock, an owner may keep its lease without knowing of a cancellation that the
/// process knows of.
pub(super) fn max_unaware_time(outbox: &Outbox) -> Micros {
    let age = max_cancellation_age(&outbox.settings, outbox.store_lease_ttl());
    age + age / CLOCK_DRIFT_DIVISOR + CLOCK_MARGIN
}

impl ShardLease {
    /// Creates the lease of a takeover that was just carried out in this term; `key_version` is the version of the
    /// state service at which it was carried out.
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
            // Until the state has been read, the owner gives no answer that depends on known cancellations.
            cancellations_known_at: now,
            max_cancellation_age: max_cancellation_age(&outbox.settings, ttl),
        }
    }

    /// Returns why the owner may no longer act on the lease, if it may not.
    pub fn end_reason(&self, now: Micros) -> Option<EndReason> {
        if !self.validity.is_valid(now) {
            Some(EndReason::LeaseExpired)
        } else if now >= self.cancellations_known_at + self.max_cancellation_age {
            Some(EndReason::CancellationsUnknown)
        } else {
            None
        }
    }

    /// Records that all cancellations confirmed by this time have been applied.
    pub fn record_cancellations_known(&mut self, at: Micros) {
        self.cancellations_known_at = self.cancellations_known_at.max(at);
    }

    /// Records that a full read began at this time: the owner's knowledge of cancellations reaches up to this time
    /// only.
    pub fn reset_cancellations_known(&mut self, at: Micros) {
        self.cancellations_known_at = at;
    }

    /// Whether a read of changes is due, in case the watch hangs or there are no changes.
    pub fn is_catch_up_due(&self, now: Micros) -> bool {
        now >= self.cancellations_known_at + self.max_cancellation_age / 2
    }

    /// Renews the lease in time, and asks for votes when the lease runs low: the state service may then be down for
    /// all controllers, and peers that see the outage too may vote for this owner. All changes of jobs up to
    /// `known_version` have been applied; 0 means that the version is not known.
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

    /// Handles the answer to a renewal; `status` is `None` if no answer arrived. Returns false if the store lease has
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
