//! What all parts of a controller share: the settings and clock, and the way to users, workers, peers, the state service
//! and the cloud. It knows no part; answers go back to whoever asked by their [`PendingRequest`].

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

/// The state service is probed at least this often, and counts as unreachable after [`MISSED_PROBES`] times as long
/// without an answer.
pub(super) const PROBE_INTERVAL: Micros = 500_000;
/// Probes that may go without an answer before the state service counts as unreachable.
const MISSED_PROBES: u64 = 3;
/// After this long without a refusal the request rate is raised by [`RATE_RECOVERY_STEP`].
const RATE_RECOVERY_INTERVAL: Micros = 5 * SECOND;
const RATE_RECOVERY_STEP: f64 = 0.05;
/// A refusal multiplies the request rate by this, down to [`MIN_RATE_FACTOR`].
const RATE_REDUCTION: f64 = 0.9;
const MIN_RATE_FACTOR: f64 = 0.5;
/// The part of the state service's rate that all controllers together may use where all need the same.
const TOTAL_RATE_SHARE: f64 = 0.95;
/// The part that the leader may use.
const LEADER_RATE_SHARE: f64 = 0.5;
/// The part that all other controllers together may use. The leader's part and this one may overlap: not all of them
/// use theirs at the same time.
const FOLLOWERS_RATE_SHARE: f64 = 0.6;
/// Bounds of the `Retry-After` that users get when too much is queued, in seconds.
const MIN_RETRY_AFTER_S: u64 = 1;
const MAX_RETRY_AFTER_S: u64 = 30;

/// A request to the state service that waits until the request rate has room for it.
#[derive(Debug)]
pub(super) struct QueuedRequest {
    id: u64,
    request: StoreRequest,
}

/// Who made a call to the cloud, and for what.
#[derive(Debug)]
pub(super) struct PendingCloudCall {
    /// The term of the shard's owner that made it; `None`: the controller itself.
    pub owner_term: Option<u64>,
    pub call: CloudCall,
}

/// See the [module](self).
pub(super) struct Outbox {
    pub settings: Arc<Settings>,
    pub clock: Clock,
    /// Empty until the cloud has told them.
    pub machine_types: Arc<Vec<MachineType>>,
    pub budget: RequestBudget<QueuedRequest>,
    /// This controller leads, and needs more of what the state service allows.
    is_leader: bool,
    /// What the state service is believed to allow, and the part of it that is used after refusals.
    store_rates: Rates,
    rate_factor: f64,
    rate_changed_at: Micros,
    /// When the state service last answered.
    pub store_answered_at: Option<Micros>,
    /// When it last refused a request of this controller.
    pub store_refused_at: Option<Micros>,
    /// Requests to the state service that are not answered yet, by their number.
    pub pending_requests: HashMap<u64, PendingRequest>,
    /// Calls to the cloud that are not answered yet, by their number.
    pub pending_cloud_calls: HashMap<u64, PendingCloudCall>,
    last_id: u64,
    /// Until when the request on each connection is to be answered.
    pub reply_deadlines: HashMap<u64, Micros>,
    effects: Vec<Effect>,
    /// The loads of all shards, as their owners last told.
    pub shard_loads: Vec<ShardLoad>,
    /// Which version of the configuration is in force.
    pub configuration: ConfigWatch,
    /// There are several shards, or there have been, or there are to be. Otherwise no request or message concerns shards.
    pub is_sharded: bool,
}

impl Outbox {
    pub fn new(settings: Arc<Settings>, clock: Clock) -> Outbox {
        let mut outbox = Outbox {
            budget: RequestBudget::new(1.0, 1.0),
            is_leader: false,
            store_rates: settings.state_rates,
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

    /// A number that no request or relayed heartbeat of this process has had.
    pub fn next_id(&mut self) -> u64 {
        self.last_id += 1;
        self.last_id
    }

    /// Hands out everything that is to be done now. Requests to the state service beyond its rate stay queued.
    pub fn take_effects(&mut self) -> Vec<Effect> {
        while let Some(QueuedRequest { id, request }) = self.budget.pop(self.clock.now) {
            self.effects.push(Effect::StoreRequest { id, request });
        }
        std::mem::take(&mut self.effects)
    }

    // ---- The state service's rate ----

    /// Notes that this controller leads from now on, or no longer.
    pub fn set_leader(&mut self, is_leader: bool) {
        self.is_leader = is_leader;
        self.update_budget_share();
    }

    fn update_budget_share(&mut self) {
        let peers = self.settings.peers.len() as f64;
        let share = if peers > 0.0 && self.shard_count() > 1 {
            // Where all own shards, all need the same.
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

    /// Raises the request rate a little again, some time after the last refusal.
    pub fn recover_rate(&mut self) {
        let now = self.clock.now;
        if self.rate_factor < 1.0 && now >= self.rate_changed_at + RATE_RECOVERY_INTERVAL {
            self.rate_factor = (self.rate_factor + RATE_RECOVERY_STEP).min(1.0);
            self.rate_changed_at = now;
            self.update_budget_share();
        }
    }

    /// Lowers the request rate: the state service has had too much. Either it has gone over to its next rates, or all
    /// controllers together ask for more than it allows.
    fn reduce_rate(&mut self) {
        if self.clock.now < self.rate_changed_at + SECOND {
            return;
        }
        self.rate_changed_at = self.clock.now;
        if self.store_rates != self.settings.state_rates_next {
            self.store_rates = self.settings.state_rates_next;
            let Rates { requests, changes } = self.store_rates;
            tracing::info!(
                requests,
                changes,
                "the state service allows less from now on"
            );
        } else {
            self.rate_factor = (self.rate_factor * RATE_REDUCTION).max(MIN_RATE_FACTOR);
        }
        self.update_budget_share();
    }

    // ---- The state service's health ----

    /// Takes note of an answer's status; `None`: no answer came. An answer to a watch is no sign of health: it may have
    /// been held back for long.
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

    /// Whether the state service has answered lately.
    pub fn is_store_reachable(&self) -> bool {
        self.store_answered_at
            .is_some_and(|answered| self.clock.now < answered + MISSED_PROBES * PROBE_INTERVAL)
    }

    /// Whether it has not answered for a while, or has refused what was asked last. That is enough for a vote, which binds
    /// nobody but this controller, and cannot wait: a leader that was refused shortly before an outage has a second left.
    pub fn is_store_failing(&self) -> bool {
        !self.is_store_reachable() || self.store_refused_at > self.store_answered_at
    }

    /// How long leases of this controller in the state service last without renewal.
    pub fn store_lease_ttl(&self) -> Micros {
        micros_from_seconds(self.settings.policy.number(Setting::Grant, &[]))
    }

    // ---- Shards ----

    /// The number of shards that the machines are divided into. A ledger is kept of one shard alone.
    pub fn shard_count(&self) -> u32 {
        if self.settings.ledger.is_some() {
            return 1;
        }
        self.settings.policy.number(Setting::Blocks, &[]) as u32
    }

    /// The shard that a job accepted now goes to. Its load is raised by the job.
    pub fn choose_home_shard(&mut self, spec: &JobSpec) -> u32 {
        let shard_count = self.shard_count();
        shard_load::choose_home_shard(&mut self.shard_loads, shard_count, spec)
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

    /// Gives back a lease in the state service that is not needed any more to own the shard.
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

    /// Makes a call to the cloud, for a shard's owner in this term or for the controller itself.
    pub fn call_cloud(&mut self, owner_term: Option<u64>, call: CloudCall, request: CloudRequest) {
        let id = self.next_id();
        self.pending_cloud_calls
            .insert(id, PendingCloudCall { owner_term, call });
        self.effects.push(Effect::CloudRequest { id, request });
    }

    /// Sends commands to a worker beside its heartbeats.
    pub fn command_worker(&mut self, addr: SocketAddrV4, body: Bytes) {
        self.effects.push(Effect::WorkerCommands { addr, body });
    }

    // ---- Replies to users and workers ----

    /// Whether the request on this connection still waits for its answer.
    pub fn awaits_reply(&self, connection: u64) -> bool {
        self.reply_deadlines.contains_key(&connection)
    }

    /// Gives a request on this connection until `deadline` to be answered.
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

    /// Refuses a request since what is queued for the state service already takes this long.
    pub fn reply_overloaded(&mut self, connection: u64, wait: Micros) {
        let seconds = (wait / SECOND).clamp(MIN_RETRY_AFTER_S, MAX_RETRY_AFTER_S) as u32;
        let reason = "too many requests are waiting for the state service";
        let response = Response::error(503, reason).with_retry_after(seconds);
        self.reply(connection, response);
    }

    /// Answers a submission that is not accepted.
    pub fn reply_refusal(&mut self, connection: u64, refusal: &Refusal) {
        // What can never run by an older configuration may run by a newer one, and its user would not ask again.
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

    /// Refuses a request that cannot be answered, with the time to come back: another controller may be able to.
    pub fn reply_unavailable(&mut self, connection: u64) {
        let response = Response::error(503, "the state service does not answer");
        self.reply(connection, response.with_retry_after(1));
    }
}
