//! What the roles of a controller share: its settings and clock, the way to everything outside, and what was asked
//! there. It knows no role; answers go back to whoever asked by their [`Purpose`].

use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::sync::Arc;

use bytes::Bytes;
use serde::de::DeserializeOwned;

use super::config_watch::{ConfigurationRead, Configuring};
use crate::http::{Request, Response};
use crate::model::{JobId, JobSpec, MachineType, Micros, SECOND, micros_from_seconds};
use crate::policy::Setting;
use crate::settings::{Rates, Settings};
use crate::state::fleet::CloudCall;
use crate::state::shard_load::{self, ShardLoad};
use crate::state::writes::WriteBatch;
use crate::wire::api::{JobView, Refusal};
use crate::wire::budget::{Budget, Urgency};
use crate::wire::cloud::CloudRequest;
use crate::wire::peer::{Body, Envelope};
use crate::wire::store::{LeadRecord, StoreRequest};

/// The state service is asked at least this often, and counts as gone after three times as long without an answer.
pub(super) const PROBE_EVERY: Micros = 500_000;
/// After this long without a refusal a little more is asked of the state service again.
const FORGIVEN: Micros = 5 * SECOND;

/// The time, as a step sees it.
#[derive(Clone, Copy, Debug, Default)]
pub struct Clock {
    /// This process's steady clock.
    pub now: Micros,
    /// Time of day, since 1970.
    pub wall: u64,
}

/// What the owner of all state is told.
#[derive(Debug)]
pub enum Command {
    Request {
        conn: u64,
        request: Request,
    },
    Store {
        id: u64,
        answer: Option<(u16, Bytes)>,
    },
    Cloud {
        id: u64,
        answer: Option<(u16, Bytes)>,
    },
    Peer(Envelope),
    Tick,
}

/// What it wants done.
#[derive(Debug)]
pub enum Effect {
    Reply {
        conn: u64,
        response: Response,
    },
    Store {
        id: u64,
        request: StoreRequest,
    },
    Cloud {
        id: u64,
        request: CloudRequest,
    },
    Peer {
        to: usize,
        message: Envelope,
    },
    /// Commands for a worker, by `POST /commands`. Nobody waits for the answer.
    Worker {
        addr: SocketAddrV4,
        body: Bytes,
    },
}

/// What a request to the state service was for.
#[derive(Debug)]
pub(super) enum Purpose {
    Probe,
    Grant {
        sent: Micros,
    },
    Takeover {
        record: LeadRecord,
        grant: u64,
        sent: Micros,
    },
    DropGrant {
        block: u32,
        grant: u64,
    },
    Renew {
        sent: Micros,
        term: u64,
    },
    Load {
        term: u64,
        stage: usize,
    },
    Follow {
        term: u64,
    },
    /// What has changed, beside the watch.
    CatchUp {
        term: u64,
        sent: Micros,
    },
    Write {
        term: u64,
        batch: WriteBatch,
    },
    ReadBack {
        term: u64,
        key: String,
    },
    ReadOver {
        term: u64,
        key: String,
    },
    /// Machines on their way to a block.
    Moves {
        term: u64,
    },
    /// What blocks may use.
    Allots {
        term: u64,
    },
    /// That a block may use less or more.
    Allot {
        term: u64,
    },
    /// Who holds the blocks other than 0.
    Seats,
    SeatGrant {
        block: u32,
        sent: Micros,
    },
    /// The terms there are, for a seat that is to be taken.
    SeatTerms {
        block: u32,
        grant: u64,
        sent: Micros,
    },
    SeatTake {
        block: u32,
        record: LeadRecord,
        grant: u64,
        sent: Micros,
    },
    /// Where the ledger stands, for a new leader.
    LoadLedger {
        term: u64,
    },
    /// Whose a job was that is over, for the ledger.
    ReadOwner {
        term: u64,
        job: JobId,
    },
    /// The ledger's head or one of its pages, for a user; of a page, one team's lines if it names one.
    ShowLedger {
        conn: u64,
        team: Option<String>,
    },
    Look {
        job: JobId,
        over: bool,
    },
    /// How a job that others wait for ended.
    Upstream {
        job: JobId,
    },
    /// Whether a job that a submission names was ever accepted.
    Named {
        conn: u64,
        job: JobId,
    },
    /// A page of all live jobs, for the copy that queries are answered from.
    Copy,
    /// What has changed since.
    Refresh,
    /// A version of the configuration, or those before it.
    Configuration(ConfigurationRead),
    Accept {
        jobs: Vec<(u64, JobId)>,
    },
    Cancel {
        job: JobId,
        conns: Vec<u64>,
        view: JobView,
    },
}

/// What one role tells the others, through the owner of all.
#[derive(Debug)]
pub(super) enum News {
    /// A job was accepted or cancelled here, at this version.
    Changed(JobId, u64),
}

/// What an answer holds, if it is there and is one.
pub(super) fn read<T: DeserializeOwned>(answer: Option<(u16, Bytes)>) -> Option<T> {
    let (_, body) = answer.filter(|a| a.0 == 200)?;
    serde_json::from_slice(&body).ok()
}

pub(super) struct Port {
    pub settings: Arc<Settings>,
    pub clock: Clock,
    pub flavors: Arc<Vec<MachineType>>,
    pub budget: Budget<(u64, StoreRequest)>,
    /// This controller leads, and needs more of what the state service allows.
    leads: bool,
    /// What the state service is believed to allow, and the part of it that is used after refusals.
    rates: Rates,
    restraint: f64,
    slowed_at: Micros,
    pub state_ok_at: Option<Micros>,
    /// When it last refused this controller.
    pub refused_at: Option<Micros>,
    pub purposes: HashMap<u64, Purpose>,
    pub calls: HashMap<u64, (u64, CloudCall)>,
    pub next_id: u64,
    /// Until when each connection's request is answered.
    pub deadlines: HashMap<u64, Micros>,
    pub effects: Vec<Effect>,
    pub news: Vec<News>,
    /// How the blocks stand, as their holders last told.
    pub loads: Vec<ShardLoad>,
    /// Which version of the configuration is in force.
    pub configuring: Configuring,
    /// There are several blocks, or have been, or are to be. Where not, nothing is asked or told of them.
    pub several: bool,
}

impl Port {
    pub fn new(settings: Arc<Settings>, clock: Clock) -> Port {
        let mut port = Port {
            budget: Budget::new(1.0, 1.0),
            leads: false,
            rates: settings.state_rates,
            restraint: 1.0,
            slowed_at: 0,
            configuring: Configuring::new(settings.clone()),
            settings,
            clock,
            flavors: Arc::default(),
            state_ok_at: None,
            refused_at: None,
            purposes: HashMap::new(),
            calls: HashMap::new(),
            next_id: 1,
            deadlines: HashMap::new(),
            effects: Vec::new(),
            news: Vec::new(),
            loads: Vec::new(),
            several: false,
        };
        port.several = port.blocks() > 1;
        port.share();
        port
    }

    /// This controller leads from now on, or no longer.
    pub fn lead(&mut self, leads: bool) {
        self.leads = leads;
        self.share();
    }

    fn share(&mut self) {
        let n = self.settings.siblings.len() as f64;
        // Where all hold blocks, all need the same.
        let share = match (self.leads, n > 0.0) {
            (_, true) if self.blocks() > 1 => 0.95 / (n + 1.0),
            (_, false) => 0.95,
            (true, true) => 0.5,
            (false, true) => 0.6 / n,
        };
        let share = share * self.restraint;
        self.budget
            .set_share(self.rates.requests * share, self.rates.changes * share);
    }

    /// Asks for a little more again, some time after the last refusal.
    pub fn forgive(&mut self) {
        let now = self.clock.now;
        if self.restraint < 1.0 && now >= self.slowed_at + FORGIVEN {
            self.restraint = (self.restraint + 0.05).min(1.0);
            self.slowed_at = now;
            self.share();
        }
    }

    /// Into how many blocks the machines are divided.
    pub fn blocks(&self) -> u32 {
        let blocks = self.settings.policy.number(Setting::Blocks, &[]) as u32;
        if self.settings.ledger.is_some() {
            1
        } else {
            blocks
        }
    }

    /// The block that a job accepted now goes to.
    pub fn home(&mut self, spec: &JobSpec) -> u32 {
        let most = self.blocks();
        shard_load::choose_home_shard(&mut self.loads, most, spec)
    }

    /// How long this controller's grants last without renewal.
    pub fn ttl(&self) -> Micros {
        micros_from_seconds(self.settings.policy.number(Setting::Grant, &[]))
    }

    pub fn state_ok(&self) -> bool {
        self.state_ok_at
            .is_some_and(|t| self.clock.now < t + 3 * PROBE_EVERY)
    }

    /// It has not answered for a while, or has refused what was asked last. That is enough for a promise, which binds nobody
    /// but this controller, and cannot wait: a leader that was refused shortly before an outage has a second left.
    pub fn state_fails(&self) -> bool {
        !self.state_ok() || self.refused_at > self.state_ok_at
    }

    /// The state service has had too much: it has gone over to its next rates, or all controllers
    /// together ask for more than it allows.
    pub(super) fn slow_down(&mut self) {
        if self.clock.now < self.slowed_at + SECOND {
            return;
        }
        self.slowed_at = self.clock.now;
        if self.rates != self.settings.state_rates_next {
            self.rates = self.settings.state_rates_next;
            let Rates { requests, changes } = self.rates;
            tracing::info!(
                requests,
                changes,
                "the state service allows less from now on"
            );
        } else {
            self.restraint = (self.restraint * 0.9).max(0.5);
        }
        self.share();
    }

    pub(super) fn send(&mut self, urgency: Urgency, request: StoreRequest, purpose: Purpose) {
        let id = self.next_id;
        self.next_id += 1;
        self.purposes.insert(id, purpose);
        self.budget.push(urgency, request.changes, (id, request));
    }

    /// A grant to hold a block with is not needed any more.
    pub(super) fn drop_grant(&mut self, block: u32, grant: u64) {
        let purpose = Purpose::DropGrant { block, grant };
        self.send(Urgency::Renewal, StoreRequest::drop_grant(grant), purpose);
    }

    pub(super) fn reply(&mut self, conn: u64, response: Response) {
        if self.deadlines.remove(&conn).is_some() {
            self.effects.push(Effect::Reply { conn, response });
        }
    }

    pub(super) fn say(&mut self, to: usize, body: Body) {
        let message = Envelope {
            from: self.settings.name.clone(),
            body: Some(body),
        };
        self.effects.push(Effect::Peer { to, message });
    }

    pub(super) fn call(&mut self, term: u64, call: CloudCall, request: CloudRequest) {
        let id = self.next_id;
        self.next_id += 1;
        self.calls.insert(id, (term, call));
        self.effects.push(Effect::Cloud { id, request });
    }

    pub(super) fn too_much(&mut self, conn: u64, wait: Micros) {
        let seconds = (wait / SECOND).clamp(1, 30) as u32;
        let why = "too many requests are waiting for the state service";
        self.reply(conn, Response::error(503, why).retry(seconds));
    }

    pub(super) fn refuse(&mut self, conn: u64, refusal: &Refusal) {
        // What can never run by an older configuration may run by a newer one, and its user would not ask again.
        let old = !self.configuring.fresh(self.clock.now);
        let refusal = match refusal {
            Refusal::Impossible(_) if old => &Refusal::Changing,
            refusal => refusal,
        };
        let response = match refusal {
            Refusal::Malformed(_) => Response::error(400, refusal),
            Refusal::Impossible(_) => Response::error(422, refusal),
            Refusal::NotYet => Response::error(503, refusal).retry(2),
            Refusal::Changing => Response::error(503, refusal).retry(1),
        };
        self.reply(conn, response);
    }

    /// What cannot be answered is refused at once, with the time to come back: another controller
    /// may be able to.
    pub(super) fn unavailable(&mut self, conn: u64) {
        self.reply(
            conn,
            Response::error(503, "the state service does not answer").retry(1),
        );
    }
}
