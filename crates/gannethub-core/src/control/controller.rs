//! The single owner of a controller's state: commands and the time go in, effects come out.

use std::collections::{BTreeSet, HashMap, VecDeque};
use std::sync::Arc;

use bytes::Bytes;
use gannethub_ledger::audit::Page;
use gannethub_ledger::book::Head;

use crate::apply::reports::Outcome;
use crate::control::leadership::{Authority, Candidacy, PROMISE};
use crate::http::{Request, Response};
use crate::memory::block::ChunkRecord;
use crate::memory::cluster::Cluster;
use crate::memory::fleet::CloudCall;
use crate::memory::mirror::{Found, Mirror};
use crate::memory::pipeline::Fate;
use crate::memory::shadow::Shadow;
use crate::memory::writes::Batch;
use crate::model::{Flavor, JobId, Micros, Ranges, SECOND, micros, valid_job_id};
use crate::policy::Setting;
use crate::settings::{Rates, Settings};
use crate::wire::api::{self, JobView, Refusal, Route, Status, Submission};
use crate::wire::cloud::CloudRequest;
use crate::wire::peer::{
    Body, Changed, Envelope, Heartbeat, Marks, Promise, PromiseAsk, Relay, Relayed, Running,
    TabsAsk,
};
use crate::wire::store::{
    self, Budget, Commit, Committed, Conflict, Followed, Granted, HOLDER, Item, JobRecord, LEAD,
    LeadRecord, Listing, LiveRecord, OverRecord, PartRecord, StoreRequest, TERM, Urgency,
    WaitingRecord,
};
use crate::wire::worker::{Report, ReportAnswer, ReportElsewhere};

const PROBE_EVERY: Micros = 500_000;
const BEAT_EVERY: Micros = 500_000;
/// A sibling that was not heard for this long does not count as reachable.
const HEARD: Micros = 1_800_000;
/// A leader that hears neither workers nor siblings for this long makes way.
const DEAF: Micros = 3 * SECOND;
const ABSTAIN: Micros = 12 * SECOND;
const POLL_PATIENCE: Micros = 1_700_000;
const SUBMIT_PATIENCE: Micros = 2_500_000;
const RELAY_PATIENCE: Micros = 1_500_000;
/// The watch should have brought a change by this time after it was told of.
const WATCH_PATIENCE: Micros = 400_000;
/// Queries that may wait for one read; more are told to come back.
const MAX_ASKING: usize = 4000;
/// After this long without a refusal a little more is asked of the state service again.
const FORGIVEN: Micros = 5 * SECOND;
/// Ends of jobs that others wait for that are asked for at once.
const MOST_ENDS: usize = 20;
/// Queries share one read of what has changed, made at most this often ...
const REFRESH_EVERY: Micros = 100_000;
/// ... and at least this often, so that few changes pile up.
const REFRESH_AT_LEAST: Micros = 5 * SECOND;

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
    Request { conn: u64, request: Request },
    Store { id: u64, answer: Option<(u16, Bytes)> },
    Cloud { id: u64, answer: Option<(u16, Bytes)> },
    Peer(Envelope),
    Tick,
}

/// What it wants done.
#[derive(Debug)]
pub enum Effect {
    Reply { conn: u64, response: Response },
    Store { id: u64, request: StoreRequest },
    Cloud { id: u64, request: CloudRequest },
    Peer { to: usize, message: Envelope },
}

/// What a request to the state service was for.
#[derive(Debug)]
enum Purpose {
    Probe,
    Grant {
        sent: Micros,
    },
    Takeover {
        record: LeadRecord,
        grant: u64,
        sent: Micros,
    },
    DropGrant,
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
    Write {
        term: u64,
        batch: Batch,
    },
    ReadBack {
        term: u64,
        key: String,
    },
    ReadOver {
        term: u64,
        key: String,
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
    Accept {
        jobs: Vec<(u64, JobId)>,
    },
    Cancel {
        job: JobId,
        conns: Vec<u64>,
        view: JobView,
    },
}

const STAGES: [&str; 3] = [store::LIVE, store::PART, store::BLOCK];
/// What follows where a ledger is kept: its head, and its last pages.
const HEAD_STAGE: usize = STAGES.len();
const PAGE_STAGE: usize = HEAD_STAGE + 1;
const LOADED: usize = PAGE_STAGE + 1;

/// Why a job is being looked up.
#[derive(Debug)]
enum Waiter {
    Poll(u64),
    Cancel(u64),
    /// A submission, with what to answer if the job is not known.
    Submit(u64, Result<Box<Submission>, Refusal>),
    /// The commit of an acceptance had no answer: found means accepted.
    Confirm(u64),
}

impl Waiter {
    fn conn(&self) -> u64 {
        match self {
            Waiter::Poll(c) | Waiter::Cancel(c) | Waiter::Submit(c, _) | Waiter::Confirm(c) => *c,
        }
    }
}

/// Who waits for the next read of what has changed.
#[derive(Debug)]
enum Asker {
    Query(u64, JobId),
    /// A submission that names jobs which are not known here yet.
    Submit(u64, JobId, Box<Submission>),
}

impl Asker {
    fn conn(&self) -> u64 {
        match self {
            Asker::Query(c, _) | Asker::Submit(c, ..) => *c,
        }
    }
}

/// A submission that waits for reads of jobs that it names.
#[derive(Debug)]
struct Naming {
    job: JobId,
    submission: Box<Submission>,
    unread: usize,
}

/// A read that answers those who asked before it began; later askers wait for the next one, so
/// that nobody is told something older than what another controller has said already.
#[derive(Debug, Default)]
struct Lookup {
    now: Vec<Waiter>,
    next: Vec<Waiter>,
}

#[derive(Debug)]
struct Lead {
    term: u64,
    grant: u64,
    /// Version of the leader's key: every write of this leader depends on it.
    holder: u64,
    authority: Authority,
    cluster: Cluster,
    /// The stage of reading the state; past the last one everything is loaded.
    stage: usize,
    loaded_once: bool,
    /// What has been read of the ledger.
    ledger_head: Option<Head>,
    ledger_pages: Vec<(Page, u64)>,
    load_at: Option<Micros>,
    watched: u64,
    following: bool,
    follow_at: Micros,
    writing: bool,
    write_at: Micros,
    readbacks: BTreeSet<String>,
    readback_at: Micros,
    reading: usize,
    /// Changes that siblings told of: when the watch should have brought them, their versions and
    /// keys. They come in order of time.
    expected: VecDeque<(Micros, u64, String)>,
    renew_at: Micros,
    ask_at: Micros,
    heard_at: Option<Micros>,
    schedule_at: Micros,
    fleet_at: Micros,
}

impl Lead {
    fn loaded(&self) -> bool {
        self.stage >= LOADED
    }
}

#[derive(Debug, Default, Clone)]
struct SiblingView {
    heard_at: Option<Micros>,
    leading: u64,
    state_ok: bool,
    takes_reports: bool,
}

pub struct Controller {
    settings: Arc<Settings>,
    clock: Clock,
    flavors: Arc<Vec<Flavor>>,
    flavors_at: Micros,
    candidacy: Candidacy,
    /// Tells this process from an earlier one of the same name.
    life: u64,
    lead: Option<Box<Lead>>,
    siblings: Vec<SiblingView>,
    running: HashMap<String, (u32, u32)>,
    state_ok_at: Option<Micros>,
    probing: bool,
    probe_at: Micros,
    beat_at: Micros,
    budget: Budget<(u64, StoreRequest)>,
    /// What the state service is believed to allow, and the part of it that is used after refusals.
    rates: Rates,
    restraint: f64,
    slowed_at: Micros,
    purposes: HashMap<u64, Purpose>,
    calls: HashMap<u64, (u64, CloudCall)>,
    next_id: u64,
    lookups: HashMap<JobId, Lookup>,
    accepting: VecDeque<(u64, JobId, Box<Submission>)>,
    accept_specs: HashMap<u64, Box<Submission>>,
    naming: HashMap<u64, Naming>,
    /// Jobs whose ends are being read, or are to be read again after this time.
    ends_asked: HashMap<JobId, Micros>,
    deadlines: HashMap<u64, Micros>,
    relays: HashMap<u64, (u64, Micros)>,
    mirror: Mirror,
    /// What the leader has not charged yet.
    shadow: Shadow,
    /// Reading what the mirror lacks is under way.
    refreshing: bool,
    refresh_at: Micros,
    /// Queries that the read under way answers, and those that the next one will.
    answering: Vec<Asker>,
    asking: Vec<Asker>,
    effects: Vec<Effect>,
    next_tick: Micros,
}

impl Controller {
    pub fn new(settings: Arc<Settings>, clock: Clock) -> Controller {
        let n = settings.siblings.len();
        let mut controller = Controller {
            candidacy: Candidacy::new(&settings.name, clock.now),
            life: clock.wall,
            budget: Budget::new(1.0, 1.0),
            rates: settings.state_rates,
            restraint: 1.0,
            slowed_at: 0,
            settings,
            clock,
            flavors: Arc::default(),
            flavors_at: 0,
            lead: None,
            siblings: vec![SiblingView::default(); n],
            running: HashMap::new(),
            state_ok_at: None,
            probing: false,
            probe_at: 0,
            beat_at: 0,
            purposes: HashMap::new(),
            calls: HashMap::new(),
            next_id: 1,
            lookups: HashMap::new(),
            accepting: VecDeque::new(),
            accept_specs: HashMap::new(),
            naming: HashMap::new(),
            ends_asked: HashMap::new(),
            deadlines: HashMap::new(),
            relays: HashMap::new(),
            mirror: Mirror::default(),
            shadow: Shadow::default(),
            refreshing: false,
            refresh_at: 0,
            answering: Vec::new(),
            asking: Vec::new(),
            effects: Vec::new(),
            next_tick: 0,
        };
        controller.share_budget();
        controller
    }

    /// Works through a batch of commands.
    pub fn step(
        &mut self,
        clock: Clock,
        commands: impl IntoIterator<Item = Command>,
    ) -> Vec<Effect> {
        self.clock = clock;
        self.check_authority();
        for command in commands {
            match command {
                Command::Request { conn, request } => self.request(conn, request),
                Command::Store { id, answer } => self.store_answer(id, answer),
                Command::Cloud { id, answer } => self.cloud_answer(id, answer),
                Command::Peer(message) => self.peer(message),
                Command::Tick => {}
            }
        }
        if clock.now >= self.next_tick {
            self.next_tick = clock.now + 50_000;
            self.tick();
        }
        if self.lead.as_ref().is_some_and(|l| l.cluster.urgent_tabs()) {
            self.tell_tabs();
        }
        self.flush_accepts();
        while let Some((id, request)) = self.budget.pop(clock.now) {
            self.effects.push(Effect::Store { id, request });
        }
        std::mem::take(&mut self.effects)
    }

    /// The cluster as the leader sees it; `None` on every other controller.
    pub fn cluster(&self) -> Option<&Cluster> {
        self.lead.as_ref().map(|l| &l.cluster)
    }

    // ---- Plumbing ----

    fn share_budget(&mut self) {
        let n = self.settings.siblings.len() as f64;
        let share = match (self.lead.is_some(), n > 0.0) {
            (_, false) => 0.95,
            (true, true) => 0.5,
            (false, true) => 0.6 / n,
        };
        let share = share * self.restraint;
        self.budget.set_share(self.rates.requests * share, self.rates.changes * share);
    }

    /// The state service has had too much: it has gone over to its next rates, or all controllers
    /// together ask for more than it allows.
    fn slow_down(&mut self) {
        if self.clock.now < self.slowed_at + SECOND {
            return;
        }
        self.slowed_at = self.clock.now;
        if self.rates != self.settings.state_rates_next {
            self.rates = self.settings.state_rates_next;
            let Rates { requests, changes } = self.rates;
            tracing::info!(requests, changes, "the state service allows less from now on");
        } else {
            self.restraint = (self.restraint * 0.9).max(0.5);
        }
        self.share_budget();
    }

    fn send(&mut self, urgency: Urgency, request: StoreRequest, purpose: Purpose) {
        let id = self.next_id;
        self.next_id += 1;
        self.purposes.insert(id, purpose);
        self.budget.push(urgency, request.changes, (id, request));
    }

    fn reply(&mut self, conn: u64, response: Response) {
        if self.deadlines.remove(&conn).is_some() {
            self.effects.push(Effect::Reply { conn, response });
        }
    }

    fn say(&mut self, to: usize, body: Body) {
        let message = Envelope { from: self.settings.name.clone(), body: Some(body) };
        self.effects.push(Effect::Peer { to, message });
    }

    /// How long this controller's grants last without renewal.
    fn ttl(&self) -> Micros {
        micros(self.settings.policy.number(Setting::Grant, &[]))
    }

    fn state_ok(&self) -> bool {
        self.state_ok_at.is_some_and(|t| self.clock.now < t + 3 * PROBE_EVERY)
    }

    fn heard(&self, i: usize) -> bool {
        self.siblings[i].heard_at.is_some_and(|t| self.clock.now < t + HEARD)
    }

    /// The sibling that says it leads, and can be heard.
    fn leader(&self) -> Option<usize> {
        (0..self.siblings.len())
            .filter(|&i| self.heard(i) && self.siblings[i].leading > 0)
            .max_by_key(|&i| self.siblings[i].leading)
    }

    fn healthy(&self) -> bool {
        if self.flavors.is_empty() {
            return false;
        }
        // In an outage that everybody sees, users are better told so than turned away; a
        // controller that alone is cut off from the state service must not take requests.
        let others = || (0..self.siblings.len()).filter(|&i| self.heard(i));
        self.state_ok() || (others().count() > 0 && others().all(|i| !self.siblings[i].state_ok))
    }

    // ---- Time ----

    fn check_authority(&mut self) {
        let now = self.clock.now;
        if self.lead.as_ref().is_some_and(|l| !l.authority.valid(now)) {
            self.step_down("its authority ran out");
        }
    }

    fn step_down(&mut self, why: &str) {
        let Some(lead) = self.lead.take() else { return };
        tracing::info!(term = lead.term, why, "no longer leading");
        if lead.cluster.ledger.is_some() {
            let now = self.clock.now;
            self.shadow = Shadow::own(lead.term, lead.cluster.all_tabs(now), now);
        }
        self.share_budget();
        self.send(Urgency::Renewal, StoreRequest::drop_grant(lead.grant), Purpose::DropGrant);
        self.probe_at = self.clock.now;
    }

    fn tick(&mut self) {
        let now = self.clock.now;
        let late: Vec<u64> =
            self.deadlines.iter().filter(|(_, t)| **t <= now).map(|(c, _)| *c).collect();
        for conn in late {
            self.accept_specs.remove(&conn);
            self.naming.remove(&conn);
            self.unavailable(conn);
        }
        self.relays.retain(|_, r| r.1 > now);
        if self.restraint < 1.0 && now >= self.slowed_at + FORGIVEN {
            self.restraint = (self.restraint + 0.05).min(1.0);
            self.slowed_at = now;
            self.share_budget();
        }
        self.refresh();
        self.read_ends();
        if now >= self.beat_at {
            self.beat_at = now + BEAT_EVERY;
            self.beat();
        }
        if self.flavors.is_empty() && now >= self.flavors_at {
            self.flavors_at = now + 2 * SECOND;
            self.call(0, CloudCall::Flavors, CloudRequest::flavors());
        }
        if self.lead.is_some() {
            self.lead_tick();
        } else {
            if let Some(term) = self.candidacy.asks_marks(now) {
                let ask = Marks { term, life: self.life };
                (0..self.siblings.len()).for_each(|i| self.say(i, Body::MarksAsk(ask.clone())));
            }
            if !self.probing && now >= self.probe_at {
                self.probing = true;
                self.probe_at = now + PROBE_EVERY;
                self.send(Urgency::Renewal, StoreRequest::list(LEAD, ""), Purpose::Probe);
            }
            if !self.flavors.is_empty() && self.candidacy.may_try(now) {
                self.candidacy.trying = true;
                let purpose = Purpose::Grant { sent: now };
                self.send(Urgency::Renewal, StoreRequest::grant(self.ttl()), purpose);
            }
        }
    }

    fn beat(&mut self) {
        let mut running = Vec::new();
        if let Some(lead) = &self.lead {
            for job in lead.cluster.jobs.values().filter(|j| j.running() > 0).take(2000) {
                running.push(Running {
                    job: job.id.to_string(),
                    tasks: job.running(),
                    done: job.done.len(),
                });
            }
        }
        let beat = Heartbeat {
            leading: self.lead.as_ref().map_or(0, |l| l.term),
            state_ok: self.state_ok(),
            takes_reports: self.lead.is_some() || self.leader().is_some(),
            running,
        };
        for i in 0..self.siblings.len() {
            self.say(i, Body::Heartbeat(beat.clone()));
        }
        self.tell_tabs();
    }

    fn tell_tabs(&mut self) {
        let now = self.clock.now;
        let tabs = self.lead.as_mut().map(|l| l.cluster.tabs_to_tell(now));
        for (i, tabs) in tabs.into_iter().flatten() {
            self.say(i, Body::OpenTabs(tabs));
        }
    }

    fn lead_tick(&mut self) {
        let now = self.clock.now;
        let wall = self.clock.wall;
        let siblings = self.siblings.len();
        let ttl = self.ttl();
        let Some(lead) = &mut self.lead else { return };
        if siblings > 0 && lead.heard_at.is_some_and(|t| now > t + DEAF) {
            self.candidacy.abstain(now + ABSTAIN);
            self.step_down("it hears neither workers nor siblings");
            return;
        }
        if now >= lead.renew_at {
            lead.renew_at = now + ttl / 4;
            let (grant, term) = (lead.grant, lead.term);
            let purpose = Purpose::Renew { sent: now, term };
            self.send(Urgency::Renewal, StoreRequest::renew(grant), purpose);
        }
        let Some(lead) = &mut self.lead else { return };
        // The grant runs low: the state service may be down for everybody. Siblings that see
        // that too may promise not to take over.
        if lead.authority.low(now) && now >= lead.ask_at && siblings > 0 {
            lead.ask_at = now + 600_000;
            let (round, term) = (lead.authority.ask(now, siblings), lead.term);
            for i in 0..siblings {
                self.say(i, Body::PromiseAsk(PromiseAsk { round, term, micros: PROMISE }));
            }
        }
        let Some(lead) = &mut self.lead else { return };
        if !lead.loaded() {
            if lead.load_at.is_some_and(|t| t <= now) {
                lead.load_at = None;
                self.load("");
            }
            return;
        }
        lead.cluster.tick(now, wall);
        let due = lead.cluster.stirred || now >= lead.cluster.last_pass + SECOND;
        // Passes and plans are spaced by what they cost: reports, renewals and users come first.
        if now >= lead.schedule_at.max(lead.cluster.next_pass) && due {
            lead.schedule_at = now + 100_000;
            lead.cluster.schedule(now);
        }
        let mut calls = Vec::new();
        if now >= lead.fleet_at.max(lead.cluster.next_plan) {
            lead.fleet_at = now + 500_000;
            for call in lead.cluster.plan_fleet(now) {
                let request = call.request(&lead.cluster.flavors);
                calls.push((lead.term, call, request));
            }
        }
        for (term, call, request) in calls {
            self.call(term, call, request);
        }
        self.follow();
        self.write();
        self.read_back();
        self.read_owners();
    }

    /// Reads whose jobs were that were over before an attempt's end was found.
    fn read_owners(&mut self) {
        let now = self.clock.now;
        let Some(lead) = &mut self.lead else { return };
        let (term, wanted) = (lead.term, lead.cluster.owners_wanted(now));
        for job in wanted {
            let key = format!("{}{job}", store::OVER);
            self.send(Urgency::Rest, StoreRequest::get(&key), Purpose::ReadOwner { term, job });
        }
    }

    fn owner_read(&mut self, term: u64, job: &JobId, answer: Option<(u16, Bytes)>) {
        let now = self.clock.now;
        let Some(lead) = self.lead.as_mut().filter(|l| l.term == term) else { return };
        match answer {
            Some((200, body)) => {
                let over = serde_json::from_slice::<Item>(&body).ok();
                let over = over.and_then(|i| i.record::<OverRecord>());
                lead.cluster.owner_read(job, over.and_then(|o| o.owner), now);
            }
            Some((404, _)) => lead.cluster.owner_read(job, None, now),
            // It is asked for again.
            _ => {}
        }
    }

    fn call(&mut self, term: u64, call: CloudCall, request: CloudRequest) {
        let id = self.next_id;
        self.next_id += 1;
        self.calls.insert(id, (term, call));
        self.effects.push(Effect::Cloud { id, request });
    }

    fn follow(&mut self) {
        let now = self.clock.now;
        let Some(lead) = &mut self.lead else { return };
        if lead.following || now < lead.follow_at {
            return;
        }
        lead.following = true;
        // Bounds how often the watch is opened when much is written.
        lead.follow_at = now + 100_000;
        let (term, from) = (lead.term, lead.watched);
        self.send(
            Urgency::Commit,
            StoreRequest::follow(store::LIVE, from),
            Purpose::Follow { term },
        );
    }

    fn write(&mut self) {
        let now = self.clock.now;
        let Some(lead) = &mut self.lead else { return };
        if lead.writing || now < lead.write_at {
            return;
        }
        if let Some((commit, batch)) = lead.cluster.next_commit(now, lead.holder) {
            lead.writing = true;
            lead.write_at = now + 100_000;
            let term = lead.term;
            self.send(Urgency::Commit, commit.request(), Purpose::Write { term, batch });
        }
    }

    fn read_back(&mut self) {
        let now = self.clock.now;
        let Some(lead) = &mut self.lead else { return };
        while let Some((due, stamp, _)) = lead.expected.front() {
            let come = lead.watched >= *stamp;
            if !come && now < *due {
                break;
            }
            lead.readbacks.extend(lead.expected.pop_front().filter(|_| !come).map(|e| e.2));
        }
        if lead.reading > 0 || now < lead.readback_at || lead.readbacks.is_empty() {
            return;
        }
        lead.readback_at = now + 300_000;
        let keys = std::mem::take(&mut lead.readbacks);
        lead.reading = keys.len();
        let term = lead.term;
        for key in keys {
            self.send(Urgency::Commit, StoreRequest::get(&key), Purpose::ReadBack { term, key });
        }
    }

    // ---- Users and workers ----

    fn request(&mut self, conn: u64, request: Request) {
        let now = self.clock.now;
        self.deadlines.insert(conn, now + POLL_PATIENCE);
        let route = match api::route(request.method, &request.path) {
            Ok(route) => route,
            Err(response) => return self.reply(conn, response),
        };
        match route {
            Route::Health => {
                let response = if self.healthy() {
                    Response { status: 200, body: Bytes::from_static(b"{}"), retry_after: None }
                } else {
                    Response::error(503, "not ready to take requests")
                };
                self.reply(conn, response);
            }
            Route::Report => self.report(conn, request.body),
            Route::Ledger { page, team } => self.show_ledger(conn, page, team),
            Route::Submit => self.submit(conn, &request.body),
            Route::Query(id) | Route::Cancel(id) if !valid_job_id(id) => {
                self.reply(conn, Response::error(404, "no such job"));
            }
            Route::Query(id) => self.query(conn, id.into()),
            Route::Cancel(id) => {
                self.deadlines.insert(conn, now + SUBMIT_PATIENCE);
                self.look(id.into(), Waiter::Cancel(conn));
            }
        }
    }

    fn show_ledger(&mut self, conn: u64, page: Option<u64>, team: Option<&str>) {
        if self.settings.ledger.is_none() {
            return self.reply(conn, Response::error(404, "no ledger is kept here"));
        }
        if let Some(team) = team.filter(|t| self.settings.team(t).is_none()) {
            let why = format!("team: there is no team {team:?}");
            return self.reply(conn, Response::error(400, why));
        }
        let wait = self.budget.wait();
        if wait > POLL_PATIENCE {
            return self.too_much(conn, wait);
        }
        let key = page.map_or(store::LEDGER_HEAD.into(), store::ledger_page);
        let team = team.map(str::to_string);
        self.send(Urgency::User, StoreRequest::get(&key), Purpose::ShowLedger { conn, team });
    }

    /// What is written is shown as it is written; so what was shown once never changes.
    fn ledger_shown(&mut self, conn: u64, team: Option<String>, answer: Option<(u16, Bytes)>) {
        let item = match answer {
            Some((200, body)) => serde_json::from_slice::<Item>(&body).ok(),
            Some((404, _)) => {
                let why = "page: there is no such page";
                return self.reply(conn, Response::error(404, why));
            }
            _ => None,
        };
        let Some(item) = item else { return self.unavailable(conn) };
        let response = match (team, item.record::<Page>()) {
            (Some(team), Some(mut page)) => {
                page.lines.retain(|l| l[1] == "charge" && l[2][0] == *team);
                Response::json(200, &page)
            }
            _ => Response::json(200, &item.v),
        };
        self.reply(conn, response);
    }

    fn submit(&mut self, conn: u64, body: &[u8]) {
        self.deadlines.insert(conn, self.clock.now + SUBMIT_PATIENCE);
        let (map, id) = match api::parse_object(body) {
            Ok(parsed) => parsed,
            Err(refusal) => return self.refuse(conn, &refusal),
        };
        let checked = api::parse_submission(&map).and_then(|mut submission| {
            api::admit(&mut submission.spec, &self.settings.teams, &self.flavors)?;
            Ok(Box::new(submission))
        });
        let wait = self.budget.wait();
        if wait > SUBMIT_PATIENCE && (id.is_some() || checked.is_ok()) {
            // More than can be written in time is queued already: better said now than later.
            return self.too_much(conn, wait);
        }
        match (id, checked) {
            (Some(id), Ok(submission))
                if self.mirror.ended(&id).is_none() && !self.mirror.is_live(&id) =>
            {
                self.accept(conn, id, submission);
            }
            // A known job gets its state, whatever this body would be answered with.
            (Some(id), checked) => self.look(id, Waiter::Submit(conn, checked)),
            (None, Err(refusal)) => self.refuse(conn, &refusal),
            (None, Ok(_)) => self.refuse(conn, &Refusal::Malformed("id: missing".into())),
        }
    }

    fn too_much(&mut self, conn: u64, wait: Micros) {
        let seconds = (wait / SECOND).clamp(1, 30) as u32;
        let why = "too many requests are waiting for the state service";
        self.reply(conn, Response::error(503, why).retry(seconds));
    }

    fn refuse(&mut self, conn: u64, refusal: &Refusal) {
        let response = match refusal {
            Refusal::Malformed(_) => Response::error(400, refusal),
            Refusal::Impossible(_) => Response::error(422, refusal),
            Refusal::NotYet => Response::error(503, refusal).retry(2),
        };
        self.reply(conn, response);
    }

    /// Accepts a submission, if it is certain that all jobs which it names were. What is known of a
    /// job here shows that, however old; what is not known is read.
    fn accept(&mut self, conn: u64, id: JobId, submission: Box<Submission>) {
        if submission.waits_on.iter().all(|u| self.mirror.fate(u) != Fate::Unknown) {
            self.accepting.push_back((conn, id, submission));
        } else if self.asking.len() >= MAX_ASKING {
            self.too_much(conn, SECOND);
        } else {
            self.asking.push(Asker::Submit(conn, id, submission));
            self.refresh();
        }
    }

    /// The copy of what is alive has been brought up to the present. A job that a submission names
    /// and that is not alive now is over, or was never accepted before the submission came.
    fn check_named(&mut self, conn: u64, job: JobId, submission: Box<Submission>) {
        if !self.deadlines.contains_key(&conn) {
            return;
        }
        if self.mirror.is_live(&job) {
            return self.look(job, Waiter::Submit(conn, Ok(submission)));
        }
        let unknown = |u: &&JobId| self.mirror.fate(u) == Fate::Unknown;
        let unread: Vec<JobId> = submission.waits_on.iter().filter(unknown).cloned().collect();
        if unread.is_empty() {
            return self.accepting.push_back((conn, job, submission));
        }
        self.naming.insert(conn, Naming { job, submission, unread: unread.len() });
        for job in unread {
            let key = format!("{}{job}", store::OVER);
            self.send(Urgency::User, StoreRequest::get(&key), Purpose::Named { conn, job });
        }
    }

    fn named(&mut self, conn: u64, job: JobId, answer: Option<(u16, Bytes)>) {
        let end = answer.as_ref().and_then(end_of);
        if let Some(view) = &end {
            self.mirror.end(job.clone(), view.clone());
        }
        let Some(naming) = self.naming.get_mut(&conn) else { return };
        match (end, answer) {
            (Some(_), _) => {
                naming.unread -= 1;
                if naming.unread == 0 {
                    let Some(n) = self.naming.remove(&conn) else { return };
                    self.accepting.push_back((conn, n.job, n.submission));
                }
            }
            (None, Some((404, _))) => {
                self.naming.remove(&conn);
                let why = format!("waits_on: no such job as {job}");
                self.refuse(conn, &Refusal::Impossible(why));
            }
            _ => {
                self.naming.remove(&conn);
                self.unavailable(conn);
            }
        }
    }

    /// Reads how jobs ended that others wait for and that are not alive.
    fn read_ends(&mut self) {
        let now = self.clock.now;
        if self.mirror.links.complete()
            && self.lead.as_ref().is_none_or(|l| l.cluster.pipelines.links.complete())
        {
            return;
        }
        self.ends_asked.retain(|_, until| now < *until);
        // While the copy or the state is being read, what is not known yet may still turn up.
        let lead = self.lead.as_ref().filter(|l| l.loaded());
        let theirs = lead.into_iter().flat_map(|l| l.cluster.pipelines.links.unknown());
        let ours = self.mirror.at().into_iter().flat_map(|_| self.mirror.links.unknown());
        let wanted: BTreeSet<JobId> =
            theirs.chain(ours).filter(|j| !self.ends_asked.contains_key(*j)).cloned().collect();
        for job in wanted.into_iter().take(MOST_ENDS) {
            self.ends_asked.insert(job.clone(), now + 3 * SECOND);
            let key = format!("{}{job}", store::OVER);
            self.send(Urgency::Commit, StoreRequest::get(&key), Purpose::Upstream { job });
        }
    }

    fn upstream_read(&mut self, job: JobId, answer: Option<(u16, Bytes)>) {
        let now = self.clock.now;
        let Some(view) = answer.as_ref().and_then(end_of) else {
            // Not over, or not to be known now.
            self.ends_asked.insert(job, now + SECOND / 2);
            return;
        };
        self.ends_asked.remove(&job);
        if let Some(lead) = self.lead.as_mut().filter(|l| l.loaded()) {
            lead.cluster.upstream_over(&job, Some(view.status == Status::Cancelled));
        }
        self.mirror.upstream_over(job, view);
        self.refresh();
    }

    /// The record of a job that is accepted now. What it waits for and is done already is left out.
    fn record(&self, submission: &Submission) -> (Box<serde_json::value::RawValue>, usize) {
        let at = self.clock.wall;
        let spec = submission.spec.clone();
        let fates = submission.waits_on.iter().map(|u| (u, self.mirror.fate(u)));
        let (mut open, mut cancelled) = (Vec::new(), false);
        for (u, fate) in fates.filter(|f| f.1 != Fate::Done) {
            open.push(u.clone());
            cancelled |= fate == Fate::Cancelled;
        }
        if open.is_empty() {
            (store::raw(&JobRecord::new(spec, at)), 0)
        } else {
            (store::raw(&WaitingRecord::new(spec, at, cancelled, &open)), open.len())
        }
    }

    /// Submissions that came together are accepted in one transaction.
    fn flush_accepts(&mut self) {
        let max = self.settings.txn_ops.min(8);
        while !self.accepting.is_empty() {
            let mut commit = Commit::default();
            let mut jobs: Vec<(u64, JobId)> = Vec::new();
            let mut left = VecDeque::new();
            while let Some((conn, id, spec)) = self.accepting.pop_front() {
                if jobs.len() >= max || jobs.iter().any(|j| j.1 == id) {
                    left.push_back((conn, id, spec));
                    continue;
                }
                let live = format!("{}{id}", store::LIVE);
                let (value, waits) = self.record(&spec);
                if value.get().len() + store::SLACK > self.settings.value_bytes {
                    let field = if waits > 0 { "waits_on: " } else { "" };
                    let why = format!("{field}the description is too long to be kept");
                    self.reply(conn, Response::error(400, why));
                    continue;
                }
                commit.guard(&live, 0);
                commit.guard(&format!("{}{id}", store::OVER), 0);
                commit.put(&live, value, None);
                self.accept_specs.insert(conn, spec);
                jobs.push((conn, id));
            }
            self.accepting = left;
            if !jobs.is_empty() {
                self.send(Urgency::User, commit.request(), Purpose::Accept { jobs });
            }
        }
    }

    fn accepted(&mut self, jobs: Vec<(u64, JobId)>, answer: Option<(u16, Bytes)>) {
        let status = answer.as_ref().map(|a| a.0);
        let stamp = committed(answer.as_ref());
        let failed = answer
            .filter(|a| a.0 == 409)
            .and_then(|a| serde_json::from_slice::<Conflict>(&a.1).ok())
            .map_or_else(Vec::new, |c| c.failed);
        for (conn, id) in jobs {
            let Some(spec) = self.accept_specs.remove(&conn) else { continue };
            match status {
                Some(200) => {
                    let (class, tasks) = (&spec.spec.class, spec.spec.tasks);
                    let waits_on = spec.waits_on.len();
                    tracing::info!(job = %id, %class, tasks, waits_on, "accepted");
                    let view = JobView::new(Status::Pending, 0);
                    self.reply(conn, api::answer(201, &id, &view));
                    self.changed(&id, stamp);
                }
                // One of them was known already: the others are tried again without it.
                Some(409) if !failed.is_empty() && !failed.iter().any(|k| k.ends_with(&*id)) => {
                    self.accepting.push_back((conn, id, spec));
                }
                Some(409) => self.look(id, Waiter::Submit(conn, Ok(spec))),
                // Perhaps carried out, perhaps later: only reading tells.
                None => self.look(id, Waiter::Confirm(conn)),
                Some(_) => self.unavailable(conn),
            }
        }
    }

    /// Lets the leader know, in case its watch does not: that may hang in a cut.
    fn changed(&mut self, id: &JobId, stamp: u64) {
        if self.lead.is_some() {
            self.expect(id, stamp);
        } else if let Some(i) = self.leader() {
            self.say(i, Body::Changed(Changed { job: id.to_string(), stamp }));
        }
    }

    fn expect(&mut self, id: &str, stamp: u64) {
        let due = self.clock.now + WATCH_PATIENCE;
        if let Some(lead) = self.lead.as_mut().filter(|l| l.watched < stamp) {
            lead.expected.push_back((due, stamp, format!("{}{id}", store::LIVE)));
        }
    }

    fn look(&mut self, id: JobId, waiter: Waiter) {
        self.look_up(id, waiter, false);
    }

    /// Reads a job's record. `over`: it is known not to be alive, so only whether it is over is
    /// to be read.
    fn look_up(&mut self, id: JobId, waiter: Waiter, over: bool) {
        if let Some(view) = self.mirror.ended(&id) {
            let response = api::answer(200, &id, view);
            return self.reply(waiter.conn(), response);
        }
        let wait = self.budget.wait();
        if wait > POLL_PATIENCE && !self.lookups.contains_key(&id) {
            // The answer would come too late, and reads that nobody waits for any more would keep
            // submissions out.
            return self.too_much(waiter.conn(), wait);
        }
        let lookup = self.lookups.entry(id.clone()).or_default();
        if !lookup.now.is_empty() {
            lookup.next.push(waiter);
            return;
        }
        lookup.now.push(waiter);
        self.start_look(id, over);
    }

    fn start_look(&mut self, job: JobId, over: bool) {
        let key = format!("{}{job}", if over { store::OVER } else { store::LIVE });
        self.send(Urgency::User, StoreRequest::get(&key), Purpose::Look { job, over });
    }

    /// A query waits for the next read of what has changed, which answers all that wait then.
    fn query(&mut self, conn: u64, id: JobId) {
        if self.mirror.at().is_none() {
            return self.look(id, Waiter::Poll(conn));
        }
        if let Some(view) = self.mirror.ended(&id) {
            let response = api::answer(200, &id, view);
            return self.reply(conn, response);
        }
        let wait = self.budget.wait();
        if wait > POLL_PATIENCE || self.asking.len() >= MAX_ASKING {
            return self.too_much(conn, wait);
        }
        self.asking.push(Asker::Query(conn, id));
        self.refresh();
    }

    /// Reads what the mirror lacks, if there is a reason to.
    fn refresh(&mut self) {
        let now = self.clock.now;
        if self.refreshing || now < self.refresh_at {
            return;
        }
        // At most half of this controller's requests, however many queries come.
        let pause = (2.0 * SECOND as f64 / self.budget.rate().max(0.1)) as Micros;
        let pause = pause.max(REFRESH_EVERY);
        match self.mirror.at() {
            Some(at) if !self.asking.is_empty() || now >= self.refresh_at + REFRESH_AT_LEAST => {
                self.refreshing = true;
                self.refresh_at = now + pause;
                self.answering = std::mem::take(&mut self.asking);
                let request = StoreRequest::changes(store::LIVE, at);
                self.send(Urgency::User, request, Purpose::Refresh);
            }
            None if self.state_ok() => {
                self.refreshing = true;
                self.refresh_at = now + SECOND;
                let request = StoreRequest::list(store::LIVE, "");
                self.send(Urgency::User, request, Purpose::Copy);
            }
            _ => {}
        }
    }

    fn copied(&mut self, answer: Option<(u16, Bytes)>) {
        let listing = answer
            .filter(|a| a.0 == 200)
            .and_then(|a| serde_json::from_slice::<Listing>(&a.1).ok());
        let Some(listing) = listing else {
            self.refreshing = false;
            return self.mirror.lost();
        };
        match self.mirror.listed(&listing) {
            Some(after) => {
                let request = StoreRequest::list(store::LIVE, &after);
                self.send(Urgency::User, request, Purpose::Copy);
            }
            None => {
                self.refreshing = false;
                self.refresh_at = self.clock.now;
            }
        }
    }

    fn refreshed(&mut self, answer: Option<(u16, Bytes)>) {
        self.refreshing = false;
        let waiting = std::mem::take(&mut self.answering);
        let followed = match &answer {
            Some((200, body)) => serde_json::from_slice::<Followed>(body).ok(),
            _ => None,
        };
        let Some(followed) = followed else {
            if matches!(answer, Some((status, _)) if status != 429 && status != 503) {
                // Too far behind: the changes are not kept any more.
                self.mirror.lost();
            }
            waiting.into_iter().for_each(|asker| self.unavailable(asker.conn()));
            return self.refresh();
        };
        self.mirror.followed(&followed);
        for asker in waiting {
            let (conn, id) = match asker {
                Asker::Query(conn, id) => (conn, id),
                Asker::Submit(conn, id, submission) => {
                    self.check_named(conn, id, submission);
                    continue;
                }
            };
            match self.mirror.find(&id) {
                // It is asked again once that end has been read.
                Found::Unsure if self.deadlines.contains_key(&conn) => {
                    self.asking.push(Asker::Query(conn, id));
                }
                Found::Unsure => {}
                Found::Job(mut view) => {
                    self.progress(&id, &mut view);
                    self.reply(conn, api::answer(200, &id, &view));
                }
                Found::Absent => self.reply(conn, Response::error(404, "no such job")),
                Found::NotLive => self.look_up(id, Waiter::Poll(conn), true),
            }
        }
        self.read_ends();
        self.refresh();
    }

    fn looked(&mut self, job: JobId, over: bool, answer: Option<(u16, Bytes)>) {
        match answer {
            Some((200, body)) => {
                let Ok(item) = serde_json::from_slice::<Item>(&body) else {
                    return self.look_failed(job);
                };
                if over {
                    let Some(view) = view_of_end(&item) else { return self.look_failed(job) };
                    self.found(job, view, None);
                } else {
                    let Some(r) = item.live() else { return self.look_failed(job) };
                    let view = self.view(&job, &r);
                    self.found(job, view, Some((r, item.stamp)));
                }
            }
            Some((404, _)) if !over => self.start_look(job, true),
            Some((404, body)) => {
                if let Ok(missing) = serde_json::from_slice::<Committed>(&body) {
                    self.mirror.miss(job.clone(), missing.ledger_no);
                }
                let waiters = self.take_waiters(&job);
                for w in waiters {
                    match w {
                        Waiter::Poll(c) | Waiter::Cancel(c) => {
                            self.reply(c, Response::error(404, "no such job"));
                        }
                        Waiter::Submit(c, Ok(spec)) => self.accept(c, job.clone(), spec),
                        Waiter::Submit(c, Err(refusal)) => self.refuse(c, &refusal),
                        Waiter::Confirm(c) => {
                            let why = "it is not certain yet that the job was accepted";
                            self.reply(c, Response::error(503, why).retry(1));
                        }
                    }
                }
            }
            _ => self.look_failed(job),
        }
    }

    fn look_failed(&mut self, job: JobId) {
        for w in self.take_waiters(&job) {
            self.unavailable(w.conn());
        }
    }

    /// What cannot be answered is refused at once, with the time to come back: another controller
    /// may be able to.
    fn unavailable(&mut self, conn: u64) {
        self.reply(conn, Response::error(503, "the state service does not answer").retry(1));
    }

    /// Those whom the finished read may answer; starts the next read for the rest.
    fn take_waiters(&mut self, job: &JobId) -> Vec<Waiter> {
        let Some(lookup) = self.lookups.get_mut(job) else { return Vec::new() };
        let waiters = std::mem::take(&mut lookup.now);
        lookup.now = std::mem::take(&mut lookup.next);
        if lookup.now.is_empty() {
            self.lookups.remove(job);
        } else {
            self.start_look(job.clone(), false);
        }
        waiters
    }

    fn view(&self, id: &JobId, record: &LiveRecord) -> JobView {
        let mut done = Ranges::default();
        if let LiveRecord::Job(record) = record {
            store::decode_done(&record.done, 0, &mut done);
        }
        let status = if record.cancelled() { Status::Cancelled } else { Status::Pending };
        let mut view = JobView::new(status, done.len());
        self.progress(id, &mut view);
        view
    }

    /// Adds what the leader knows of a live job: for display only.
    fn progress(&self, id: &JobId, view: &mut JobView) {
        if view.status != Status::Pending {
            return;
        }
        if let Some(job) = self.lead.as_ref().and_then(|l| l.cluster.jobs.get(id)) {
            (view.running, view.done) = (job.running(), job.done.len());
        } else if let Some(r) = self.running.get(&**id).filter(|_| self.leader().is_some()) {
            (view.running, view.done) = (r.0, r.1.max(view.done));
        }
        if view.running > 0 {
            view.status = Status::Running;
        }
    }

    fn found(&mut self, job: JobId, view: JobView, live: Option<(LiveRecord, u64)>) {
        if matches!(view.status, Status::Done | Status::Cancelled) {
            self.mirror.end(job.clone(), view.clone());
        }
        let mut cancels = Vec::new();
        for w in self.take_waiters(&job) {
            match (w, &live) {
                (Waiter::Cancel(c), Some((r, _))) if !r.cancelled() => cancels.push(c),
                // Whether it is cancelled with one that it needs, its own record does not tell.
                (w, Some((LiveRecord::Waiting(r), _))) if !r.cancelled => {
                    if self.mirror.at().is_some() {
                        self.asking.push(Asker::Query(w.conn(), job.clone()));
                    } else {
                        self.unavailable(w.conn());
                    }
                }
                (w, _) => self.reply(w.conn(), api::answer(200, &job, &view)),
            }
        }
        self.refresh();
        let Some((record, stamp)) = live.filter(|_| !cancels.is_empty()) else { return };
        let key = format!("{}{job}", store::LIVE);
        let mut commit = Commit::default();
        commit.guard(&key, stamp);
        commit.put(&key, record.cancel(self.settings.value_bytes), None);
        let view = JobView::new(Status::Cancelled, view.done);
        let purpose = Purpose::Cancel { job, conns: cancels, view };
        self.send(Urgency::User, commit.request(), purpose);
    }

    fn cancelled(
        &mut self,
        job: JobId,
        conns: Vec<u64>,
        view: JobView,
        answer: Option<(u16, Bytes)>,
    ) {
        let status = answer.as_ref().map(|a| a.0);
        if status == Some(200) {
            self.mirror.end(job.clone(), view.clone());
            for c in conns {
                self.reply(c, api::answer(200, &job, &view));
            }
            return self.changed(&job, committed(answer.as_ref()));
        }
        for c in conns {
            match status {
                // The job changed meanwhile, or nothing is certain: only looking again tells.
                Some(409) | None if self.deadlines.contains_key(&c) => {
                    self.look(job.clone(), Waiter::Cancel(c));
                }
                _ => self.unavailable(c),
            }
        }
    }

    fn report(&mut self, conn: u64, body: Bytes) {
        if self.lead.is_some() {
            let (status, body) = self.lead_report(&body);
            return self.reply(conn, Response { status, body, retry_after: None });
        }
        match self.leader() {
            // Passed on rather than sent away: the worker may not reach the leader itself.
            Some(i) => {
                let id = self.next_id;
                self.next_id += 1;
                let until = self.clock.now + RELAY_PATIENCE;
                self.deadlines.insert(conn, until);
                self.relays.insert(id, (conn, until));
                self.say(i, Body::Relay(Relay { id, report: body }));
            }
            None => {
                // A sibling that still hears the leader is told by name, which spares the worker
                // the wait before it would try that one itself.
                let other = (0..self.siblings.len())
                    .find(|&i| self.heard(i) && self.siblings[i].takes_reports);
                let report_to = other.map(|i| self.settings.siblings[i].name.as_str());
                let elsewhere = ReportElsewhere { report_to };
                let response = Response::json(421, &elsewhere);
                self.reply(conn, response);
            }
        }
    }

    /// The leader's answer to a report.
    fn lead_report(&mut self, body: &Bytes) -> (u16, Bytes) {
        let now = self.clock.now;
        let error = |status: u16, why: &str| (status, Response::error(status, why).body);
        let Some(lead) = &mut self.lead else { return error(503, "not leading") };
        lead.heard_at = Some(now);
        lead.cluster.wall = self.clock.wall;
        let report: Report<'_> = match serde_json::from_slice(body) {
            Ok(report) => report,
            Err(e) => {
                tracing::debug!(error = %e, "a report makes no sense");
                return error(400, "not a report");
            }
        };
        if !lead.loaded() && report.token <= lead.term {
            // Renews the worker's lease and shows it the new token while the state is read.
            let body = ReportAnswer { token: lead.term, orders: &[] };
            return (200, Response::json(200, &body).body);
        }
        match lead.cluster.report(now, &report) {
            Outcome::Orders(orders) => {
                let body = ReportAnswer { token: lead.term, orders: &orders };
                (200, Response::json(200, &body).body)
            }
            Outcome::Stale => error(503, "an old report"),
            Outcome::Deposed => {
                self.step_down("a worker has seen a higher token");
                error(503, "not leading")
            }
        }
    }

    // ---- Siblings ----

    fn peer(&mut self, message: Envelope) {
        let now = self.clock.now;
        let Some(i) = self.settings.siblings.iter().position(|s| s.name == message.from) else {
            tracing::info!(from = %message.from, "a message from a stranger is dropped");
            return;
        };
        self.siblings[i].heard_at = Some(now);
        if let Some(lead) = &mut self.lead {
            lead.heard_at = Some(now);
        }
        match message.body {
            Some(Body::Heartbeat(beat)) => {
                self.siblings[i].leading = beat.leading;
                self.siblings[i].state_ok = beat.state_ok;
                self.siblings[i].takes_reports = beat.takes_reports;
                self.shadow.heard(beat.leading, now);
                if beat.leading > 0 {
                    self.running =
                        beat.running.into_iter().map(|r| (r.job, (r.tasks, r.done))).collect();
                }
            }
            Some(Body::Relay(relay)) => {
                let (status, body) = self.lead_report(&relay.report);
                let reply = Relayed { id: relay.id, status: u32::from(status), body };
                self.say(i, Body::Relayed(reply));
            }
            Some(Body::Relayed(reply)) => {
                if let Some((conn, _)) = self.relays.remove(&reply.id) {
                    let status = u16::try_from(reply.status).unwrap_or(503);
                    self.reply(conn, Response { status, body: reply.body, retry_after: None });
                }
            }
            Some(Body::PromiseAsk(ask)) => {
                // Only an outage that this controller sees too is a reason to promise.
                let sees = !self.state_ok() && self.lead.is_none();
                let micros = ask.micros.min(PROMISE);
                if sees && self.candidacy.promise(ask.term, now, micros) {
                    self.say(i, Body::Promise(Promise { round: ask.round, term: ask.term }));
                }
            }
            Some(Body::Promise(promise)) => {
                if let Some(lead) = self.lead.as_mut().filter(|l| l.term == promise.term) {
                    lead.authority.promised(promise.round, i, now);
                    if lead.authority.bridged() {
                        lead.cluster.unmarked = true;
                        self.candidacy.bridged(promise.term);
                    }
                }
            }
            Some(Body::Changed(changed)) if valid_job_id(&changed.job) => {
                self.expect(&changed.job, changed.stamp);
            }
            Some(Body::OpenTabs(tabs)) if self.settings.ledger.is_some() => {
                let off = self.settings.ledger.as_ref().map_or(0, |l| l.settings.clock_off);
                let late = self.clock.wall.saturating_sub(tabs.at);
                // What two clocks may be apart does not count.
                let late = if late > off + SECOND { late } else { 0 };
                let term = tabs.term;
                if self.lead.is_none() && self.shadow.take(tabs, now, late) {
                    self.say(i, Body::TabsAsk(TabsAsk { term }));
                }
            }
            Some(Body::TabsAsk(ask)) => {
                if let Some(lead) = self.lead.as_mut().filter(|l| l.term == ask.term) {
                    lead.cluster.tell_all(i);
                }
            }
            Some(Body::MarksAsk(ask)) => {
                let leads = self.lead.as_ref().filter(|l| l.term == ask.term);
                let holds = match leads {
                    Some(lead) => !lead.cluster.unmarked,
                    None => self.candidacy.knows_marks(ask.term),
                };
                if holds {
                    self.say(i, Body::MarksHold(ask));
                }
            }
            Some(Body::MarksHold(told)) if told.life == self.life => {
                self.candidacy.marks_hold(told.term);
            }
            Some(Body::Changed(_) | Body::OpenTabs(_) | Body::MarksHold(_)) | None => {}
        }
    }

    // ---- Answers of the state service and the cloud ----

    fn store_answer(&mut self, id: u64, answer: Option<(u16, Bytes)>) {
        let Some(purpose) = self.purposes.remove(&id) else { return };
        let now = self.clock.now;
        let status = answer.as_ref().map(|a| a.0);
        if status.is_some_and(|s| s < 500 && s != 429) && !matches!(purpose, Purpose::Follow { .. })
        {
            self.state_ok_at = Some(now);
        }
        if status == Some(429) {
            self.slow_down();
        }
        match purpose {
            Purpose::Probe => self.probed(answer),
            Purpose::Grant { sent } => self.granted(sent, answer),
            Purpose::Takeover { record, grant, sent } => {
                self.taken_over(record, grant, sent, answer);
            }
            Purpose::DropGrant => {
                if matches!(status, Some(200 | 204 | 404)) {
                    self.candidacy.grant_dropped();
                }
            }
            Purpose::Renew { sent, term } => {
                let Some(lead) = self.lead.as_mut().filter(|l| l.term == term) else { return };
                match status {
                    Some(200) => lead.authority.renewed(sent),
                    Some(404) => self.step_down("its grant ended"),
                    _ => lead.renew_at = lead.renew_at.min(now + 300_000),
                }
            }
            Purpose::Load { term, stage } => self.load_answer(term, stage, answer),
            Purpose::Follow { term } => self.followed(term, answer),
            Purpose::Write { term, batch } => self.written(term, batch, answer),
            Purpose::ReadBack { term, key } => self.read(term, key, answer),
            Purpose::ReadOver { term, key } => {
                let Some(lead) = self.lead.as_mut().filter(|l| l.term == term) else { return };
                lead.reading = lead.reading.saturating_sub(1);
                match answer {
                    Some((200, body)) => {
                        let item = serde_json::from_slice::<Item>(&body).ok();
                        let id = key.trim_start_matches(store::OVER);
                        let end = item.as_ref().and_then(view_of_end);
                        let stamp = item.map_or(u64::MAX, |i| i.stamp);
                        let cancelled = end.map(|v| v.status == Status::Cancelled);
                        lead.cluster.job_gone(id, stamp, cancelled);
                    }
                    Some((404, _)) => {}
                    _ => {
                        let id = key.trim_start_matches(store::OVER);
                        lead.readbacks.insert(format!("{}{id}", store::LIVE));
                    }
                }
            }
            Purpose::LoadLedger { term } => self.ledger_head(term, answer),
            Purpose::ReadOwner { term, job } => self.owner_read(term, &job, answer),
            Purpose::ShowLedger { conn, team } => self.ledger_shown(conn, team, answer),
            Purpose::Look { job, over } => self.looked(job, over, answer),
            Purpose::Upstream { job } => self.upstream_read(job, answer),
            Purpose::Named { conn, job } => self.named(conn, job, answer),
            Purpose::Copy => self.copied(answer),
            Purpose::Refresh => self.refreshed(answer),
            Purpose::Accept { jobs } => self.accepted(jobs, answer),
            Purpose::Cancel { job, conns, view } => self.cancelled(job, conns, view, answer),
        }
    }

    fn probed(&mut self, answer: Option<(u16, Bytes)>) {
        self.probing = false;
        let listing = answer
            .filter(|a| a.0 == 200)
            .and_then(|a| serde_json::from_slice::<Listing>(&a.1).ok());
        let Some(listing) = listing else { return };
        let mut holder = None;
        let mut term = None;
        for item in &listing.items {
            let Some(record) = item.record::<LeadRecord>() else { return };
            match item.k.as_str() {
                HOLDER => holder = Some((record, item.stamp)),
                TERM => term = Some((record, item.stamp)),
                _ => {}
            }
        }
        self.candidacy.saw(holder, term);
    }

    fn granted(&mut self, sent: Micros, answer: Option<(u16, Bytes)>) {
        let granted = answer
            .filter(|a| a.0 == 200)
            .and_then(|a| serde_json::from_slice::<Granted>(&a.1).ok());
        let Some(granted) = granted else {
            self.candidacy.trying = false;
            return;
        };
        if !self.candidacy.still_may(self.clock.now) {
            self.candidacy.trying = false;
            let request = StoreRequest::drop_grant(granted.permit);
            return self.send(Urgency::Renewal, request, Purpose::DropGrant);
        }
        let (holder, term, last) = self.candidacy.versions();
        // What this leader knows of marks, its own successor will: if it does not go by them, nobody is to until
        // it has covered all that it finds.
        let marked = self.candidacy.trusts();
        let record = LeadRecord { holder: self.settings.name.clone(), term: last + 1, marked };
        let mut commit = Commit::default();
        commit.guard(HOLDER, holder);
        commit.guard(TERM, term);
        commit.put(HOLDER, store::raw(&record), Some(granted.permit));
        commit.put(TERM, store::raw(&record), None);
        let purpose = Purpose::Takeover { record, grant: granted.permit, sent };
        self.send(Urgency::Renewal, commit.request(), purpose);
    }

    fn taken_over(
        &mut self,
        record: LeadRecord,
        grant: u64,
        sent: Micros,
        answer: Option<(u16, Bytes)>,
    ) {
        let now = self.clock.now;
        self.candidacy.trying = false;
        let stamp = match &answer {
            Some((200, body)) => serde_json::from_slice::<Committed>(body).ok(),
            _ => None,
        };
        let Some(stamp) = stamp else {
            if !matches!(answer, Some((400 | 409 | 429 | 503, _))) {
                // It may still be carried out; until the grant is known to be gone, nobody gets
                // a promise from here.
                self.candidacy.unsure();
            }
            self.probe_at = now;
            return self.send(
                Urgency::Renewal,
                StoreRequest::drop_grant(grant),
                Purpose::DropGrant,
            );
        };
        let (term, trusted) = (record.term, record.marked);
        tracing::info!(term, trusted, "leading");
        self.candidacy.took(record, stamp.ledger_no);
        let (settings, flavors) = (self.settings.clone(), self.flavors.clone());
        let mut cluster = Cluster::new(term, settings, flavors, now, self.clock.wall);
        cluster.trust(trusted);
        self.lead = Some(Box::new(Lead {
            term,
            grant,
            holder: stamp.ledger_no,
            authority: Authority::new(sent, self.ttl()),
            cluster,
            stage: 0,
            loaded_once: false,
            ledger_head: None,
            ledger_pages: Vec::new(),
            load_at: None,
            watched: 0,
            following: false,
            follow_at: 0,
            writing: false,
            write_at: 0,
            readbacks: BTreeSet::new(),
            readback_at: 0,
            reading: 0,
            expected: VecDeque::new(),
            renew_at: now,
            ask_at: 0,
            heard_at: None,
            schedule_at: 0,
            fleet_at: 0,
        }));
        self.share_budget();
        self.beat_at = now;
        self.load("");
        self.tick();
    }

    fn load(&mut self, after: &str) {
        let now = self.clock.now;
        let Some(lead) = &mut self.lead else { return };
        let (term, stage) = (lead.term, lead.stage);
        match STAGES.get(stage) {
            Some(prefix) => {
                let request = StoreRequest::list(prefix, after);
                self.send(Urgency::Renewal, request, Purpose::Load { term, stage });
            }
            // Later reads find the ledger kept already, and whoever keeps none has nothing to read.
            None if stage < LOADED && (lead.loaded_once || self.settings.ledger.is_none()) => {
                lead.stage = LOADED;
                self.load("");
            }
            None if stage == HEAD_STAGE => {
                let request = StoreRequest::get(store::LEDGER_HEAD);
                self.send(Urgency::Renewal, request, Purpose::LoadLedger { term });
            }
            None if stage == PAGE_STAGE => {
                let from = lead.ledger_head.as_ref().map_or(0, |h| h.from);
                let first = from.checked_sub(1).map(store::ledger_page).unwrap_or_default();
                let after = if after.is_empty() { &first } else { after };
                let request = StoreRequest::list(store::LEDGER_PAGE, after);
                self.send(Urgency::Renewal, request, Purpose::Load { term, stage });
            }
            None => {
                lead.loaded_once = true;
                lead.cluster.loaded(now);
            }
        }
    }

    fn ledger_head(&mut self, term: u64, answer: Option<(u16, Bytes)>) {
        let now = self.clock.now;
        let Some(lead) = self.lead.as_mut().filter(|l| l.term == term) else { return };
        match answer {
            Some((200, body)) => {
                let item = serde_json::from_slice::<Item>(&body).ok();
                lead.ledger_head = item.and_then(|i| i.record::<Head>());
                lead.stage = match lead.ledger_head {
                    Some(_) => PAGE_STAGE,
                    // Where it stands is not known: nothing is charged in this term, and nothing overwritten.
                    None => {
                        tracing::error!(key = store::LEDGER_HEAD, "the ledger cannot be kept");
                        LOADED
                    }
                };
                self.load("");
            }
            Some((404, _)) => {
                lead.cluster.open_ledger(None, &[], &mut self.shadow, now);
                lead.stage = LOADED;
                self.load("");
            }
            _ => lead.load_at = Some(now + 300_000),
        }
    }

    fn load_answer(&mut self, term: u64, stage: usize, answer: Option<(u16, Bytes)>) {
        let Some(lead) = self.lead.as_mut().filter(|l| l.term == term) else { return };
        let listing = answer
            .filter(|a| a.0 == 200)
            .and_then(|a| serde_json::from_slice::<Listing>(&a.1).ok());
        let Some(listing) = listing else {
            // Reading a stage again is harmless.
            lead.load_at = Some(self.clock.now + 300_000);
            return;
        };
        if stage == 0 && lead.watched == 0 {
            lead.watched = listing.ledger_no;
        }
        for item in &listing.items {
            match stage {
                0 => {
                    if let Some(record) = item.live() {
                        let id = item.k.trim_start_matches(store::LIVE);
                        lead.cluster.live_record(id, record, item.stamp);
                    }
                }
                1 => {
                    if let Some(record) = item.record::<PartRecord>() {
                        lead.cluster.part_record(&item.k, &record);
                    }
                }
                PAGE_STAGE => match item.record::<Page>() {
                    Some(page) => lead.ledger_pages.push((page, item.stamp)),
                    None => tracing::error!(key = %item.k, "kept as it is"),
                },
                // After the first time this leader knows better: nobody else writes the block.
                _ if lead.loaded_once => {}
                _ => {
                    if let Some(record) = item.record::<ChunkRecord>() {
                        lead.cluster.chunk_record(&item.k, record, item.stamp);
                    }
                }
            }
        }
        let last = listing.items.last().map(|i| i.k.clone()).filter(|_| listing.truncated);
        if last.is_none() {
            lead.stage += 1;
            if stage == PAGE_STAGE {
                let pages = std::mem::take(&mut lead.ledger_pages);
                let head = lead.ledger_head.take();
                lead.cluster.open_ledger(head, &pages, &mut self.shadow, self.clock.now);
            }
        }
        self.load(last.as_deref().unwrap_or(""));
    }

    fn followed(&mut self, term: u64, answer: Option<(u16, Bytes)>) {
        let now = self.clock.now;
        let Some(lead) = self.lead.as_mut().filter(|l| l.term == term) else { return };
        lead.following = false;
        let followed = match answer {
            Some((200, body)) => serde_json::from_slice::<Followed>(&body).ok(),
            Some((410, _)) => {
                // Too far behind: read everything live again. What ended is found by reading back.
                tracing::info!("the watch fell behind; reading all jobs again");
                let waiting = lead.cluster.pipelines.waiting.keys();
                let known = lead.cluster.jobs.keys().chain(waiting);
                lead.readbacks.extend(known.map(|id| format!("{}{id}", store::LIVE)));
                lead.watched = 0;
                lead.stage = 0;
                return self.load("");
            }
            _ => None,
        };
        let Some(followed) = followed else {
            lead.follow_at = now + 500_000;
            return;
        };
        for change in followed.log {
            if let Some(id) = change.delete.as_deref().and_then(|k| k.strip_prefix(store::LIVE)) {
                lead.cluster.job_gone(id, change.stamp, None);
            }
            let key = change.write.as_deref().and_then(|k| k.strip_prefix(store::LIVE));
            let (Some(id), Some(v)) = (key, &change.v) else { continue };
            if lead.cluster.stamp_of(id).is_some_and(|known| known >= change.stamp) {
                continue;
            }
            match LiveRecord::parse(v.get()) {
                Ok(record) => {
                    // New work is planned for at once: a machine takes long enough to boot.
                    lead.fleet_at = now;
                    lead.cluster.live_record(id, record, change.stamp);
                }
                Err(e) => tracing::error!(job = id, error = %e, "a job's value is not ours"),
            }
            lead.cluster.stirred = true;
        }
        lead.watched = followed.ledger_no;
        lead.cluster.watched(followed.ledger_no);
    }

    fn written(&mut self, term: u64, batch: Batch, answer: Option<(u16, Bytes)>) {
        let now = self.clock.now;
        let Some(lead) = self.lead.as_mut().filter(|l| l.term == term) else { return };
        lead.writing = false;
        match answer {
            Some((200, body)) => match serde_json::from_slice::<Committed>(&body) {
                Ok(done) => {
                    lead.cluster.stirred = true;
                    lead.cluster.committed(batch, done.ledger_no);
                }
                Err(_) => self.unwritten(batch),
            },
            Some((409, body)) => {
                let conflict = serde_json::from_slice::<Conflict>(&body);
                if conflict.is_ok_and(|c| c.failed.iter().any(|k| k == HOLDER)) {
                    return self.step_down("its key is gone");
                }
                self.unwritten(batch);
            }
            Some((429 | 503, _)) => {
                lead.cluster.uncommitted(&batch, false, now);
                lead.write_at = now + 300_000;
            }
            Some((status, body)) => {
                let reason = String::from_utf8_lossy(&body).into_owned();
                tracing::error!(status, reason, "the state service refuses a transaction");
                // Smaller ones are tried, and more and more rarely: it may allow less than we know.
                lead.cluster.refusals += 1;
                lead.write_at = now + (SECOND << lead.cluster.refusals.min(6)) / 2;
                self.unwritten(batch);
            }
            None => self.unwritten(batch),
        }
    }

    fn unwritten(&mut self, batch: Batch) {
        let now = self.clock.now;
        let Some(lead) = &mut self.lead else { return };
        lead.cluster.uncommitted(&batch, true, now);
        lead.readbacks.extend(batch.keys().iter().cloned());
        lead.readback_at = now;
    }

    fn read(&mut self, term: u64, key: String, answer: Option<(u16, Bytes)>) {
        let Some(lead) = self.lead.as_mut().filter(|l| l.term == term) else { return };
        lead.reading = lead.reading.saturating_sub(1);
        lead.cluster.stirred = true;
        let item = match &answer {
            Some((200, body)) => serde_json::from_slice::<Item>(body).ok(),
            _ => None,
        };
        if let Some(chunk) = lead.cluster.block.chunk_of_key(&key) {
            match (item, answer) {
                (Some(item), _) => lead.cluster.block.rewrite(chunk, item.stamp),
                (None, Some((404, _))) => lead.cluster.block.rewrite(chunk, 0),
                _ => {
                    lead.readbacks.insert(key);
                }
            }
            return;
        }
        if key.starts_with(store::LEDGER_PAGE) {
            match (item, answer) {
                (Some(item), _) => lead.cluster.ledger_reread(Some(&item)),
                (None, Some((404, _))) => lead.cluster.ledger_reread(None),
                _ => {
                    lead.readbacks.insert(key);
                }
            }
            return;
        }
        let id = key.trim_start_matches(store::LIVE).to_string();
        match (item, answer) {
            (Some(item), _) => {
                if let Some(record) = item.live() {
                    lead.cluster.live_record(&id, record, item.stamp);
                }
            }
            (None, Some((404, _))) => {
                lead.reading += 1;
                let key = format!("{}{id}", store::OVER);
                let purpose = Purpose::ReadOver { term, key: key.clone() };
                self.send(Urgency::Commit, StoreRequest::get(&key), purpose);
            }
            _ => {
                lead.readbacks.insert(key);
            }
        }
    }

    fn cloud_answer(&mut self, id: u64, answer: Option<(u16, Bytes)>) {
        let now = self.clock.now;
        let Some((term, call)) = self.calls.remove(&id) else { return };
        if term == 0 {
            let flavors =
                answer.filter(|a| a.0 == 200).and_then(|a| crate::wire::cloud::parse_flavors(&a.1));
            if let Some(flavors) = flavors {
                self.flavors = Arc::new(flavors);
            }
            return;
        }
        if let Some(lead) = self.lead.as_mut().filter(|l| l.term == term) {
            let answer = answer.as_ref().map(|a| (a.0, &a.1[..]));
            if matches!(call, CloudCall::Rent { .. }) {
                // A refusal leads to the next best offer without delay.
                lead.fleet_at = now;
            }
            lead.cluster.cloud_answer(call, answer, now);
            lead.cluster.stirred = true;
        }
    }
}

/// The version a transaction was carried out at, as its answer has it. An answer that cannot be
/// read is taken for the newest: the job is then looked at.
fn committed(answer: Option<&(u16, Bytes)>) -> u64 {
    let done = answer.and_then(|a| serde_json::from_slice::<Committed>(&a.1).ok());
    done.map_or(u64::MAX, |c| c.ledger_no)
}

/// How a job ended, as its record in the state service has it.
fn view_of_end(item: &Item) -> Option<JobView> {
    let r = item.record::<OverRecord>()?;
    Some(match r.cancelled {
        true => JobView::new(Status::Cancelled, 0),
        false => JobView::new(Status::Done, r.tasks),
    })
}

/// The same from the answer to a read of that record, if there was one.
fn end_of(answer: &(u16, Bytes)) -> Option<JobView> {
    let item = (answer.0 == 200).then(|| serde_json::from_slice::<Item>(&answer.1).ok());
    view_of_end(&item.flatten()?)
}
