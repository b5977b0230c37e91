//! What the roles of a controller share: its settings and clock, the way to everything outside, and what was asked
//! there. It knows no role; answers go back to whoever asked by their [`Purpose`].

use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::sync::Arc;

use bytes::Bytes;

use super::config_watch::{ConfigWatch, ConfigurationRead};
use crate::http::{CallResult, Request, Response};
use crate::model::{JobId, JobSpec, MachineType, Micros, SECOND, micros_from_seconds};
use crate::policy::Setting;
use crate::settings::{Rates, Settings};
use crate::state::fleet::CloudCall;
use crate::state::shard_load::{self, ShardLoad};
use crate::state::writes::WriteBatch;
use crate::wire::api::{JobView, Refusal};
use crate::wire::budget::{RequestBudget, Urgency};
use crate::wire::cloud::CloudRequest;
use crate::wire::peer::{Body, Envelope};
use crate::wire::store::{LeaseRecord, StoreRequest};

/// The state service is asked at least this often, and counts as gone after three times as long without an answer.
pub(super) const PROBE_INTERVAL: Micros = 500_000;
/// After this long without a refusal a little more is asked of the state service again.
const RATE_RECOVERY_INTERVAL: Micros = 5 * SECOND;

/// The time, as a step sees it.
#[derive(Clone, Copy, Debug, Default)]
pub struct Clock {
    /// This process's steady clock.
    pub now: Micros,
    /// Time of day, since 1970.
    pub unix_time: u64,
}

/// What the owner of all state is told.
#[derive(Debug)]
pub enum Command {
    HttpRequest { connection: u64, request: Request },
    StoreAnswer { id: u64, answer: CallResult },
    CloudAnswer { id: u64, answer: CallResult },
    PeerMessage(Envelope),
    Tick,
}

/// What it wants done.
#[derive(Debug)]
pub enum Effect {
    Reply {
        connection: u64,
        response: Response,
    },
    StoreRequest {
        id: u64,
        request: StoreRequest,
    },
    CloudRequest {
        id: u64,
        request: CloudRequest,
    },
    PeerMessage {
        to: usize,
        message: Envelope,
    },
    /// Commands for a worker, by `POST /commands`. Nobody waits for the answer.
    WorkerCommands {
        addr: SocketAddrV4,
        body: Bytes,
    },
}

/// What a request to the state service was for.
#[derive(Debug)]
pub(super) enum PendingRequest {
    ProbeLeader,
    AcquireStoreLease {
        sent_at: Micros,
    },
    TakeOver {
        record: LeaseRecord,
        store_lease: u64,
        sent_at: Micros,
    },
    RevokeStoreLease {
        shard: u32,
        store_lease: u64,
    },
    RenewStoreLease {
        sent_at: Micros,
        term: u64,
    },
    Load {
        term: u64,
        stage: usize,
    },
    Watch {
        term: u64,
    },
    /// What has changed, beside the watch.
    CatchUp {
        term: u64,
        sent_at: Micros,
    },
    Write {
        term: u64,
        batch: WriteBatch,
    },
    Reread {
        term: u64,
        key: String,
    },
    ReadFinishedJob {
        term: u64,
        key: String,
    },
    /// Machines on their way to a block.
    ReadTransfers {
        term: u64,
    },
    /// What blocks may use.
    ReadQuotaPartitions {
        term: u64,
    },
    /// That a block may use less or more.
    WriteQuotaPartitions {
        term: u64,
    },
    /// Who holds the blocks other than 0.
    ProbeShards,
    AcquireShardLease {
        shard: u32,
        sent_at: Micros,
    },
    /// The terms there are, for a seat that is to be taken.
    ReadTerms {
        shard: u32,
        store_lease: u64,
        sent_at: Micros,
    },
    TakeOverShard {
        shard: u32,
        record: LeaseRecord,
        store_lease: u64,
        sent_at: Micros,
    },
    /// Where the ledger stands, for a new leader.
    LoadLedger {
        term: u64,
    },
    /// Whose a job was that is over, for the ledger.
    ReadJobOwner {
        term: u64,
        job: JobId,
    },
    /// The ledger's head or one of its pages, for a user; of a page, one team's lines if it names one.
    ShowLedger {
        connection: u64,
        team: Option<String>,
    },
    LookUpJob {
        job: JobId,
        finished: bool,
    },
    /// How a job that others wait for ended.
    ReadDependency {
        job: JobId,
    },
    /// Whether a job that a submission names was ever accepted.
    ReadNamedJob {
        connection: u64,
        job: JobId,
    },
    /// A page of all live jobs, for the copy that queries are answered from.
    ListLiveJobs,
    /// What has changed since.
    ReadChanges,
    /// A version of the configuration, or those before it.
    Configuration(ConfigurationRead),
    AcceptJobs {
        jobs: Vec<(u64, JobId)>,
    },
    CancelJob {
        job: JobId,
        connections: Vec<u64>,
        view: JobView,
    },
}

/// What one role tells the others, through the owner of all.
#[derive(Debug)]
pub(super) enum Event {
    /// A job was accepted or cancelled here, at this version.
    JobChanged(JobId, u64),
}

pub(super) struct Outbox {
    pub settings: Arc<Settings>,
    pub clock: Clock,
    pub machine_types: Arc<Vec<MachineType>>,
    pub budget: RequestBudget<(u64, StoreRequest)>,
    /// This controller leads, and needs more of what the state service allows.
    is_leader: bool,
    /// What the state service is believed to allow, and the part of it that is used after refusals.
    store_rates: Rates,
    rate_factor: f64,
    rate_changed_at: Micros,
    pub store_answered_at: Option<Micros>,
    /// When it last refused this controller.
    pub store_refused_at: Option<Micros>,
    pub pending_requests: HashMap<u64, PendingRequest>,
    pub pending_cloud_calls: HashMap<u64, (u64, CloudCall)>,
    pub next_request_id: u64,
    /// Until when each connection's request is answered.
    pub reply_deadlines: HashMap<u64, Micros>,
    pub effects: Vec<Effect>,
    pub events: Vec<Event>,
    /// How the blocks stand, as their holders last told.
    pub shard_loads: Vec<ShardLoad>,
    /// Which version of the configuration is in force.
    pub configuration: ConfigWatch,
    /// There are several blocks, or have been, or are to be. Where not, nothing is asked or told of them.
    pub is_sharded: bool,
}

impl Outbox {
    pub fn new(settings: Arc<Settings>, clock: Clock) -> Outbox {
        let mut port = Outbox {
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
            next_request_id: 1,
            reply_deadlines: HashMap::new(),
            effects: Vec::new(),
            events: Vec::new(),
            shard_loads: Vec::new(),
            is_sharded: false,
        };
        port.is_sharded = port.shard_count() > 1;
        port.update_budget_share();
        port
    }

    /// This controller leads from now on, or no longer.
    pub fn set_leader(&mut self, leads: bool) {
        self.is_leader = leads;
        self.update_budget_share();
    }

    fn update_budget_share(&mut self) {
        let n = self.settings.siblings.len() as f64;
        // Where all hold blocks, all need the same.
        let share = match (self.is_leader, n > 0.0) {
            (_, true) if self.shard_count() > 1 => 0.95 / (n + 1.0),
            (_, false) => 0.95,
            (true, true) => 0.5,
            (false, true) => 0.6 / n,
        };
        let share = share * self.rate_factor;
        self.budget.set_rates(
            self.store_rates.requests * share,
            self.store_rates.changes * share,
        );
    }

    /// Asks for a little more again, some time after the last refusal.
    pub fn recover_rate(&mut self) {
        let now = self.clock.now;
        if self.rate_factor < 1.0 && now >= self.rate_changed_at + RATE_RECOVERY_INTERVAL {
            self.rate_factor = (self.rate_factor + 0.05).min(1.0);
            self.rate_changed_at = now;
            self.update_budget_share();
        }
    }

    /// Into how many blocks the machines are divided.
    pub fn shard_count(&self) -> u32 {
        let blocks = self.settings.policy.number(Setting::Blocks, &[]) as u32;
        if self.settings.ledger.is_some() {
            1
        } else {
            blocks
        }
    }

    /// The block that a job accepted now goes to.
    pub fn choose_home_shard(&mut self, spec: &JobSpec) -> u32 {
        let most = self.shard_count();
        shard_load::choose_home_shard(&mut self.shard_loads, most, spec)
    }

    /// How long this controller's grants last without renewal.
    pub fn store_lease_ttl(&self) -> Micros {
        micros_from_seconds(self.settings.policy.number(Setting::Grant, &[]))
    }

    pub fn is_store_reachable(&self) -> bool {
        self.store_answered_at
            .is_some_and(|t| self.clock.now < t + 3 * PROBE_INTERVAL)
    }

    /// It has not answered for a while, or has refused what was asked last. That is enough for a promise, which binds nobody
    /// but this controller, and cannot wait: a leader that was refused shortly before an outage has a second left.
    pub fn is_store_failing(&self) -> bool {
        !self.is_store_reachable() || self.store_refused_at > self.store_answered_at
    }

    /// The state service has had too much: it has gone over to its next rates, or all controllers
    /// together ask for more than it allows.
    pub(super) fn reduce_rate(&mut self) {
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
            self.rate_factor = (self.rate_factor * 0.9).max(0.5);
        }
        self.update_budget_share();
    }

    pub(super) fn send_to_store(
        &mut self,
        urgency: Urgency,
        request: StoreRequest,
        purpose: PendingRequest,
    ) {
        let id = self.next_request_id;
        self.next_request_id += 1;
        self.pending_requests.insert(id, purpose);
        self.budget
            .push(urgency, request.change_count, (id, request));
    }

    /// A grant to hold a block with is not needed any more.
    pub(super) fn revoke_store_lease(&mut self, block: u32, grant: u64) {
        let purpose = PendingRequest::RevokeStoreLease {
            shard: block,
            store_lease: grant,
        };
        self.send_to_store(Urgency::Renewal, StoreRequest::revoke_lease(grant), purpose);
    }

    pub(super) fn reply(&mut self, conn: u64, response: Response) {
        if self.reply_deadlines.remove(&conn).is_some() {
            self.effects.push(Effect::Reply {
                connection: conn,
                response,
            });
        }
    }

    pub(super) fn send_to_peer(&mut self, to: usize, body: Body) {
        let message = Envelope {
            from: self.settings.name.clone(),
            body: Some(body),
        };
        self.effects.push(Effect::PeerMessage { to, message });
    }

    pub(super) fn call_cloud(&mut self, term: u64, call: CloudCall, request: CloudRequest) {
        let id = self.next_request_id;
        self.next_request_id += 1;
        self.pending_cloud_calls.insert(id, (term, call));
        self.effects.push(Effect::CloudRequest { id, request });
    }

    pub(super) fn reply_overloaded(&mut self, conn: u64, wait: Micros) {
        let seconds = (wait / SECOND).clamp(1, 30) as u32;
        let why = "too many requests are waiting for the state service";
        self.reply(conn, Response::error(503, why).with_retry_after(seconds));
    }

    pub(super) fn reply_refusal(&mut self, conn: u64, refusal: &Refusal) {
        // What can never run by an older configuration may run by a newer one, and its user would not ask again.
        let old = !self.configuration.is_fresh(self.clock.now);
        let refusal = match refusal {
            Refusal::Impossible(_) if old => &Refusal::ConfigurationChanging,
            refusal => refusal,
        };
        let response = match refusal {
            Refusal::Malformed(_) => Response::error(400, refusal),
            Refusal::Impossible(_) => Response::error(422, refusal),
            Refusal::MachineTypesUnknown => Response::error(503, refusal).with_retry_after(2),
            Refusal::ConfigurationChanging => Response::error(503, refusal).with_retry_after(1),
        };
        self.reply(conn, response);
    }

    /// What cannot be answered is refused at once, with the time to come back: another controller
    /// may be able to.
    pub(super) fn reply_unavailable(&mut self, conn: u64) {
        self.reply(
            conn,
            Response::error(503, "the state service does not answer").with_retry_after(1),
        );
    }
}
