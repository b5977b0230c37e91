//! Resources that all parts of a controller share: the settings, the clock, and the sending of requests, messages and
//! replies to users, workers, peers, the state service and the cloud. The outbox depends on none of the parts: an
//! answer returns to the part that sent the request by way of the [`PendingRequest`].

use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::sync::Arc;

use bytes::Bytes;

use super::config_watch::ConfigWatch;
use super::interface::{Clock, Effect};
use super::pending_request::PendingRequest;
use crate::http::Response;
use crate::model::{JobSpec, MachineType, Micros, SECOND, micros_from_seconds};
use crate::policy::Setting;
use crate::settings::{Rates, Settings};
use crate::state::fleet::CloudCall;
use crate::state::shard_load::{self, ShardLoad};
use crate::wire::api::Refusal;
use crate::wire::budget::{RequestBudget, Urgency};
use crate::wire::cloud::CloudRequest;
use crate::wire::peer::{Body, Envelope};
use crate::wire::store::StoreRequest;

/// Maximum interval between probes of the state service, which counts as unreachable after [`MISSED_PROBES`] times
/// this interval without an answer.
pub(super) const PROBE_INTERVAL: Micros = 500_000;
/// Number of unanswered probes after which the state service counts as unreachable.
const MISSED_PROBES: u64 = 3;
/// Time since the last change of the request rate after which its factor is raised by [`RATE_RECOVERY_STEP`].
const RATE_RECOVERY_INTERVAL: Micros = 5 * SECOND;
const RATE_RECOVERY_STEP: f64 = 0.05;
/// Factor by which a refusal multiplies the request rate, down to [`MIN_RATE_FACTOR`].
const RATE_REDUCTION: f64 = 0.9;
const MIN_RATE_FACTOR: f64 = 0.5;
/// Share of the state service's rate for all controllers together, if all of them need the same rate.
const TOTAL_RATE_SHARE: f64 = 0.95;
/// Share of the state service's rate for the leader.
const LEADER_RATE_SHARE: f64 = 0.5;
/// Share of the state service's rate for all followers together. This share and the leader's may overlap, because not
/// all controllers use theirs at the same time.
const FOLLOWERS_RATE_SHARE: f64 = 0.6;
/// Bounds, in seconds, of the `Retry-After` value in answers to users when too many requests are queued.
const MIN_RETRY_AFTER_S: u64 = 1;
const MAX_RETRY_AFTER_S: u64 = 30;

/// A request to the state service that waits until the request rate allows it.
#[derive(Debug)]
pub(super) struct QueuedRequest {
    id: u64,
    request: StoreRequest,
}

/// Origin and purpose of a call to the cloud.
#[derive(Debug)]
pub(super) struct PendingCloudCall {
    /// Term of the shard owner that made the call; `None` if the controller itself made it.
    pub owner_term: Option<u64>,
    pub call: CloudCall,
}

/// Shared resources and queued output of a controller.
pub(super) struct Outbox {
    pub settings: Arc<Settings>,
    pub clock: Clock,
    /// Machine types of the cloud; empty until the cloud has listed them.
    pub machine_types: Arc<Vec<MachineType>>,
    pub budget: RequestBudget<QueuedRequest>,
    /// Whether this controller leads, and so needs a larger share of the state service's rate.
    is_leader: bool,
    /// Rates that the state service is assumed to allow.
    store_rates: Rates,
    /// Factor of the rates that is used after refusals, at most 1.
    rate_factor: f64,
    rate_changed_at: Micros,
    /// Time of the last answer that shows the state service to be healthy. Answers with status 429 or 5xx, and answers
    /// to watches, do not count.
    pub store_answered_at: Option<Micros>,
    /// Time at which the state service last refused a request of this controller with status 503.
    pub store_refused_at: Option<Micros>,
    /// Unanswered requests to the state service, by request number.
    pub pending_requests: HashMap<u64, PendingRequest>,
    /// Unanswered calls to the cloud, by call number.
    pub pending_cloud_calls: HashMap<u64, PendingCloudCall>,
    last_id: u64,
    /// Deadline for the answer to the request on each connection.
    pub reply_deadlines: HashMap<u64, Micros>,
    effects: Vec<Effect>,
    /// Loads of all shards, as their owners last reported them.
    pub shard_loads: Vec<ShardLoad>,
    /// Tracks the version of the configuration in force.
    pub configuration: ConfigWatch,
    /// Whether there are, were or will be several shards. If not, no request or message concerns shards.
    pub is_sharded: bool,
}

impl Outbox {
    pub fn new(settings: Arc<Settings>, clock: Clock) -> Outbox {
        let mut outbox = Outbox {
            budget: RequestBudget::new(1.0, 1.0),
            is_leader: false,
            store_rates: settings.store_rates,
            rate_factor: 1.0,
            rate_changed_at: 0,
            configuration: ConfigWatch::new(settings.clone()),
            settings,
            clock,
            machine_types: Arc::default(),
            store_answered_at: None,
            store_refused_at: None,
            pending_requests: HashMap::new(),
            pending_cloud_calls: HashMap::new(),
            last_id: 0,
            reply_deadlines: HashMap::new(),
            effects: Vec::new(),
            shard_loads: Vec::new(),
            is_sharded: false,
        };
        outbox.is_sharded = outbox.shard_count() > 1;
        outbox.update_budget_share();
        outbox
    }

    /// Returns a number that no request of this process has used.
    pub fn next_id(&mut self) -> u64 {
        self.last_id += 1;
        self.last_id
    }

    /// Returns all effects to carry out now. Requests to the state service beyond the request rate stay queued.
    pub fn take_effects(&mut self) -> Vec<Effect> {
        while let Some(QueuedRequest { id, request }) = self.budget.pop(self.clock.now) {
            self.effects.push(Effect::StoreRequest { id, request });
        }
        std::mem::take(&mut self.effects)
    }

    // ---- The state service's rate ----

    /// Sets whether this controller leads, which decides its share of the request rate.
    pub fn set_leader(&mut self, is_leader: bool) {
        self.is_leader = is_leader;
        self.update_budget_share();
    }

    fn update_budget_share(&mut self) {
        let peers = self.settings.peers.len() as f64;
        let share = if peers > 0.0 && self.shard_count() > 1 {
            // With several shards all controllers own shards, and all need the same rate.
            TOTAL_RATE_SHARE / (peers + 1.0)
        } else if peers == 0.0 {
            TOTAL_RATE_SHARE
        } else if self.is_leader {
            LEADER_RATE_SHARE
        } else {
            FOLLOWERS_RATE_SHARE / peers
        };
        let share = share * self.rate_factor;
        let rates = self.store_rates;
        self.budget
            .set_rates(rates.requests * share, rates.changes * share);
    }

    /// Raises a reduced request rate by one step if [`RATE_RECOVERY_INTERVAL`] has passed since its last change.
    pub fn recover_rate(&mut self) {
        let now = self.clock.now;
        if self.rate_factor < 1.0 && now >= self.rate_changed_at + RATE_RECOVERY_INTERVAL {
            self.rate_factor = (self.rate_factor + RATE_RECOVERY_STEP).min(1.0);
            self.rate_changed_at = now;
            self.update_budget_share();
        }
    }

    /// Lowers the request rate after the state service answered a request with status 429. Either the state service has
    /// switched to its next rates, or all controllers together send more requests than it allows.
    fn reduce_rate(&mut self) {
        if self.clock.now < self.rate_changed_at + SECOND {
            return;
        }
        self.rate_changed_at = self.clock.now;
        if self.store_rates != self.settings.next_store_rates {
            self.store_rates = self.settings.next_store_rates;
            let Rates { requests, changes } = self.store_rates;
            tracing::info!(
                requests,
                changes,
                "state service answered 429; using its next rates"
            );
        } else {
            self.rate_factor = (self.rate_factor * RATE_REDUCTION).max(MIN_RATE_FACTOR);
        }
        self.update_budget_share();
    }

    // ---- The state service's health ----

    /// Records the status of an answer; `None` if no answer arrived. An answer to a watch is no sign of health,
    /// because the state service may have held it back for a long time.
    pub fn record_store_status(&mut self, status: Option<u16>, is_watch: bool) {
        let now = self.clock.now;
        if status.is_some_and(|status| status < 500 && status != 429) && !is_watch {
            self.store_answered_at = Some(now);
        }
        match status {
            Some(503) => self.store_refused_at = Some(now),
            Some(429) => self.reduce_rate(),
            _ => {}
        }
    }

    /// Whether the state service has answered within [`MISSED_PROBES`] probe intervals.
    pub fn is_store_reachable(&self) -> bool {
        self.store_answered_at
            .is_some_and(|answered| self.clock.now < answered + MISSED_PROBES * PROBE_INTERVAL)
    }

    /// Whether the state service has not answered for a while, or has refused a request with status 503 since its last
    /// healthy answer. Either is sufficient for a vote, because a vote binds only this controller. A vote also cannot
    /// wait: a leader that was refused shortly before an outage has one second left.
    pub fn is_store_failing(&self) -> bool {
        !self.is_store_reachable() || self.store_refused_at > self.store_answered_at
    }

    /// Returns how long a store lease of this controller lasts without renewal.
    pub fn store_lease_ttl(&self) -> Micros {
        micros_from_seconds(self.settings.policy.number(Setting::LeaseDuration, &[]))
    }

    // ---- Shards ----

    /// Returns the number of shards among which the machines are divided. A ledger can be kept only with a single
    /// shard.
    pub fn shard_count(&self) -> u32 {
        if self.settings.ledger.is_some() {
            return 1;
        }
        self.settings.policy.number(Setting::ShardCount, &[]) as u32
    }

    /// Chooses the target shard of a job that is accepted now, and adds the job to that shard's load.
    pub fn choose_target_shard(&mut self, spec: &JobSpec) -> u32 {
        let shard_count = self.shard_count();
        shard_load::choose_target_shard(&mut self.shard_loads, shard_count, spec)
    }

    // ---- Messages ----

    /// Queues a request to the state service.
    pub fn send_to_store(
        &mut self,
        urgency: Urgency,
        request: StoreRequest,
        pending: impl Into<PendingRequest>,
    ) {
        let id = self.next_id();
        self.pending_requests.insert(id, pending.into());
        let changes = request.change_count;
        self.budget
            .push(urgency, changes, QueuedRequest { id, request });
    }

    /// Revokes a store lease that is no longer needed to own the shard.
    pub fn revoke_store_lease(&mut self, shard: u32, store_lease: u64) {
        let pending = PendingRequest::RevokeStoreLease { shard, store_lease };
        let request = StoreRequest::revoke_lease(store_lease);
        self.send_to_store(Urgency::Renewal, request, pending);
    }

    /// Sends a message to the peer with this index.
    pub fn send_to_peer(&mut self, to: usize, body: Body) {
        let message = Envelope {
            from: self.settings.name.clone(),
            body: Some(body),
        };
        self.effects.push(Effect::PeerMessage { to, message });
    }

    /// Sends a message to every peer.
    pub fn send_to_all_peers(&mut self, body: &Body) {
        for peer in 0..self.settings.peers.len() {
            self.send_to_peer(peer, body.clone());
        }
    }

    /// Makes a call to the cloud, for the shard owner with this term or for the controller itself.
    pub fn call_cloud(&mut self, owner_term: Option<u64>, call: CloudCall, request: CloudRequest) {
        let id = self.next_id();
        self.pending_cloud_calls
            .insert(id, PendingCloudCall { owner_term, call });
        self.effects.push(Effect::CloudRequest { id, request });
    }

    /// Sends commands to a worker, besides the answers to its heartbeats.
    pub fn send_worker_commands(&mut self, addr: SocketAddrV4, body: Bytes) {
        self.effects.push(Effect::WorkerCommands { addr, body });
    }

    // ---- Replies to users and workers ----

    /// Whether the request on this connection still waits for its reply.
    pub fn awaits_reply(&self, connection: u64) -> bool {
        self.reply_deadlines.contains_key(&connection)
    }

    /// Sets the deadline for the reply to the request on this connection.
    pub fn set_reply_deadline(&mut self, connection: u64, deadline: Micros) {
        self.reply_deadlines.insert(connection, deadline);
    }

    /// Answers the request on this connection, unless it has been answered already.
    pub fn reply(&mut self, connection: u64, response: Response) {
        if self.reply_deadlines.remove(&connection).is_some() {
            self.effects.push(Effect::Reply {
                connection,
                response,
            });
        }
    }

    /// Refuses a request because the requests already queued for the state service take `wait` to be sent.
    pub fn reply_overloaded(&mut self, connection: u64, wait: Micros) {
        let seconds = (wait / SECOND).clamp(MIN_RETRY_AFTER_S, MAX_RETRY_AFTER_S) as u32;
        let reason = "too many requests are queued for the state service";
        let response = Response::error(503, reason).with_retry_after(seconds);
        self.reply(connection, response);
    }

    /// Answers a submission that is not accepted.
    pub fn reply_refusal(&mut self, connection: u64, refusal: &Refusal) {
        // A job that can never run under an outdated configuration may run under a newer one, and its user would not
        // submit it again after a permanent refusal.
        let is_outdated = !self.configuration.is_fresh(self.clock.now);
        let refusal = match refusal {
            Refusal::Impossible(_) if is_outdated => &Refusal::ConfigurationChanging,
            refusal => refusal,
        };
        let response = match refusal {
            Refusal::Malformed(_) => Response::error(400, refusal),
            Refusal::Impossible(_) => Response::error(422, refusal),
            Refusal::MachineTypesUnknown => Response::error(503, refusal).with_retry_after(2),
            Refusal::ConfigurationChanging => Response::error(503, refusal).with_retry_after(1),
        };
        self.reply(connection, response);
    }

    /// Refuses a request that this controller cannot answer, with the time after which to retry: another controller
    /// may be able to answer it.
    pub fn reply_unavailable(&mut self, connection: u64) {
        let response = Response::error(503, "the state service does not answer");
        self.reply(connection, response.with_retry_after(1));
    }
}
