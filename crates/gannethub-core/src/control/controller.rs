//! The single owner of a controller's state: commands and the time go in, effects come out. It owns the roles and
//! hands each command, answer and message to the one that it is for.
//!
//! | role | what is its |
//! | --- | --- |
//! | [`intake`](super::intake), [`queries`](super::queries) | users: submissions, queries, cancellations, and the copy of what is live |
//! | [`standing`](super::standing) | siblings: who is heard, who leads, and this controller's own chances |
//! | [`holder`](super::holder) | under a [`lease`](super::lease): the machines, what runs on them, and what is written of it |
//! | [`port`](super::port) | no role: what all of them ask of the outside |

use std::collections::HashMap;
use std::sync::Arc;

use bytes::Bytes;

use super::holder::Holder;
use super::intake::{Intake, POLL_PATIENCE, SUBMIT_PATIENCE, Waiter};
use super::lease::Lease;
pub use super::port::{Clock, Command, Effect};
use super::port::{News, Port, Purpose};
use super::standing::Standing;
use crate::http::{Request, Response};
use crate::memory::cluster::Cluster;
use crate::memory::fleet::CloudCall;
use crate::memory::shadow::Shadow;
use crate::model::{JobId, Micros, SECOND, valid_job_id};
use crate::settings::Settings;
use crate::wire::api::{self, Route};
use crate::wire::cloud::{self, CloudRequest};
use crate::wire::peer::{Body, Changed, Envelope, OpenTabs, Promise, Relay, Relayed, TabsAsk};
use crate::wire::store::{Committed, LeadRecord};
use crate::wire::worker::ReportElsewhere;

const RELAY_PATIENCE: Micros = 1_500_000;
const TICK: Micros = 50_000;

pub struct Controller {
    port: Port,
    standing: Standing,
    intake: Intake,
    holder: Option<Box<Holder>>,
    /// What the leader has not charged yet.
    shadow: Shadow,
    /// Reports passed on to the leader: whose they are, and until when it may answer.
    relays: HashMap<u64, (u64, Micros)>,
    flavors_at: Micros,
    next_tick: Micros,
}

impl Controller {
    pub fn new(settings: Arc<Settings>, clock: Clock) -> Controller {
        let port = Port::new(settings, clock);
        Controller {
            standing: Standing::new(&port),
            port,
            intake: Intake::default(),
            holder: None,
            shadow: Shadow::default(),
            relays: HashMap::new(),
            flavors_at: 0,
            next_tick: 0,
        }
    }

    /// Works through a batch of commands.
    pub fn step(
        &mut self,
        clock: Clock,
        commands: impl IntoIterator<Item = Command>,
    ) -> Vec<Effect> {
        self.port.clock = clock;
        self.check_authority();
        for command in commands {
            match command {
                Command::Request { conn, request } => self.request(conn, request),
                Command::Store { id, answer } => self.store_answer(id, answer),
                Command::Cloud { id, answer } => self.cloud_answer(id, answer),
                Command::Peer(message) => self.peer(message),
                Command::Tick => {}
            }
            self.spread_news();
            self.check_ended();
        }
        if clock.now >= self.next_tick {
            self.next_tick = clock.now + TICK;
            self.tick();
            self.check_ended();
        }
        if self.holder.as_ref().is_some_and(|h| h.cluster.urgent_tabs()) {
            self.tell_tabs();
        }
        self.intake.flush_accepts(&mut self.port);
        while let Some((id, request)) = self.port.budget.pop(clock.now) {
            self.port.effects.push(Effect::Store { id, request });
        }
        std::mem::take(&mut self.port.effects)
    }

    /// The cluster as the leader sees it; `None` on every other controller.
    pub fn cluster(&self) -> Option<&Cluster> {
        self.holder.as_ref().map(|h| &h.cluster)
    }

    fn check_authority(&mut self) {
        if self.holder.as_ref().is_some_and(|h| !h.lease.valid(&self.port)) {
            self.step_down("its authority ran out");
        }
    }

    fn check_ended(&mut self) {
        if let Some(why) = self.holder.as_ref().and_then(|h| h.ended) {
            self.step_down(why);
        }
    }

    fn step_down(&mut self, why: &str) {
        let Some(holder) = self.holder.take() else { return };
        tracing::info!(term = holder.lease.term, why, "no longer leading");
        if holder.cluster.ledger.is_some() {
            let now = self.port.clock.now;
            self.shadow = Shadow::own(holder.lease.term, holder.cluster.all_tabs(now), now);
        }
        self.port.lead(false);
        self.standing.stepped_down(&mut self.port, holder.lease.grant, holder.deaf);
    }

    /// What one role has told is for others.
    fn spread_news(&mut self) {
        for news in std::mem::take(&mut self.port.news) {
            match news {
                News::Changed(id, stamp) => self.changed(&id, stamp),
            }
        }
    }

    /// Lets the leader know, in case its watch does not: that may hang in a cut.
    fn changed(&mut self, id: &JobId, stamp: u64) {
        if let Some(holder) = &mut self.holder {
            holder.expect(&self.port, id, stamp);
        } else if let Some(i) = self.standing.leader(&self.port) {
            self.port.say(i, Body::Changed(Changed { job: id.to_string(), stamp }));
        }
    }

    fn tick(&mut self) {
        let now = self.port.clock.now;
        let late = self.port.deadlines.iter().filter(|(_, t)| **t <= now);
        for conn in late.map(|(c, _)| *c).collect::<Vec<_>>() {
            self.intake.give_up(conn);
            self.port.unavailable(conn);
        }
        self.relays.retain(|_, r| r.1 > now);
        self.port.forgive();
        self.intake.refresh(&mut self.port);
        self.intake.read_ends(&mut self.port, self.holder.as_deref());
        if self.standing.beat(&mut self.port, self.holder.as_deref()) {
            self.tell_tabs();
        }
        if self.port.flavors.is_empty() && now >= self.flavors_at {
            self.flavors_at = now + 2 * SECOND;
            self.port.call(0, CloudCall::Flavors, CloudRequest::flavors());
        }
        match &mut self.holder {
            Some(holder) => holder.tick(&mut self.port),
            None => self.standing.tick(&mut self.port),
        }
    }

    fn tell_tabs(&mut self) {
        let now = self.port.clock.now;
        let tabs = self.holder.as_mut().map(|h| h.cluster.tabs_to_tell(now));
        for (i, tabs) in tabs.into_iter().flatten() {
            self.port.say(i, Body::OpenTabs(tabs));
        }
    }

    // ---- Users and workers ----

    fn request(&mut self, conn: u64, request: Request) {
        let (port, intake) = (&mut self.port, &mut self.intake);
        let now = port.clock.now;
        port.deadlines.insert(conn, now + POLL_PATIENCE);
        let route = match api::route(request.method, &request.path) {
            Ok(route) => route,
            Err(response) => return port.reply(conn, response),
        };
        match route {
            Route::Health => {
                let response = if self.standing.healthy(port) {
                    Response { status: 200, body: Bytes::from_static(b"{}"), retry_after: None }
                } else {
                    Response::error(503, "not ready to take requests")
                };
                port.reply(conn, response);
            }
            Route::Report => self.report(conn, request.body),
            Route::Ledger { page, team } => intake.show_ledger(port, conn, page, team),
            Route::Submit => intake.submit(port, conn, &request.body),
            Route::Query(id) | Route::Cancel(id) if !valid_job_id(id) => {
                port.reply(conn, Response::error(404, "no such job"));
            }
            Route::Query(id) => intake.query(port, conn, id.into()),
            Route::Cancel(id) => {
                port.deadlines.insert(conn, now + SUBMIT_PATIENCE);
                intake.look(port, id.into(), Waiter::Cancel(conn));
            }
        }
    }

    fn report(&mut self, conn: u64, body: Bytes) {
        let port = &mut self.port;
        if let Some(holder) = &mut self.holder {
            let (status, body) = holder.report(port, &body);
            return port.reply(conn, Response { status, body, retry_after: None });
        }
        match self.standing.leader(port) {
            // Passed on rather than sent away: the worker may not reach the leader itself.
            Some(i) => {
                let id = port.next_id;
                port.next_id += 1;
                let until = port.clock.now + RELAY_PATIENCE;
                port.deadlines.insert(conn, until);
                self.relays.insert(id, (conn, until));
                port.say(i, Body::Relay(Relay { id, report: body }));
            }
            None => {
                // A sibling that still hears the leader is told by name, which spares the worker
                // the wait before it would try that one itself.
                let other = self.standing.helper(port);
                let report_to = other.map(|i| port.settings.siblings[i].name.as_str());
                let response = Response::json(421, &ReportElsewhere { report_to });
                port.reply(conn, response);
            }
        }
    }

    // ---- Siblings ----

    fn peer(&mut self, message: Envelope) {
        let port = &mut self.port;
        let now = port.clock.now;
        let Some(i) = port.settings.siblings.iter().position(|s| s.name == message.from) else {
            tracing::info!(from = %message.from, "a message from a stranger is dropped");
            return;
        };
        self.standing.siblings[i].heard_at = Some(now);
        if let Some(holder) = &mut self.holder {
            holder.heard_at = Some(now);
        }
        match message.body {
            Some(Body::Heartbeat(beat)) => {
                self.shadow.heard(beat.leading, now);
                self.standing.beaten(i, beat);
            }
            Some(Body::Relay(relay)) => {
                let (status, body) = match &mut self.holder {
                    Some(holder) => holder.report(port, &relay.report),
                    None => (503, Response::error(503, "not leading").body),
                };
                let reply = Relayed { id: relay.id, status: u32::from(status), body };
                port.say(i, Body::Relayed(reply));
            }
            Some(Body::Relayed(reply)) => {
                if let Some((conn, _)) = self.relays.remove(&reply.id) {
                    let status = u16::try_from(reply.status).unwrap_or(503);
                    port.reply(conn, Response { status, body: reply.body, retry_after: None });
                }
            }
            Some(Body::PromiseAsk(ask)) => {
                let leads = self.holder.is_some();
                self.standing.promise_asked(port, i, &ask, leads);
            }
            Some(Body::Promise(promise)) => self.promised(i, &promise),
            Some(Body::Changed(changed)) if valid_job_id(&changed.job) => {
                if let Some(holder) = &mut self.holder {
                    holder.expect(port, &changed.job, changed.stamp);
                }
            }
            Some(Body::OpenTabs(tabs)) if port.settings.ledger.is_some() => {
                self.tabs_told(i, tabs);
            }
            Some(Body::TabsAsk(ask)) => {
                let asked = self.holder.as_mut().filter(|h| h.lease.term == ask.term);
                if let Some(holder) = asked {
                    holder.cluster.tell_all(i);
                }
            }
            Some(Body::MarksAsk(ask)) => {
                self.standing.marks_asked(port, i, ask, self.holder.as_deref());
            }
            Some(Body::MarksHold(told)) => self.standing.marks_told(&told),
            Some(Body::Changed(_) | Body::OpenTabs(_)) | None => {}
        }
    }

    fn promised(&mut self, i: usize, promise: &Promise) {
        let asked = self.holder.as_mut().filter(|h| h.lease.term == promise.term);
        let Some(holder) = asked else { return };
        holder.lease.authority.promised(promise.round, i, self.port.clock.now);
        if holder.lease.authority.bridged() {
            holder.cluster.unmarked = true;
            self.standing.candidacy.bridged(promise.term);
        }
    }

    fn tabs_told(&mut self, i: usize, tabs: OpenTabs) {
        let port = &mut self.port;
        let off = port.settings.ledger.as_ref().map_or(0, |l| l.settings.clock_off);
        let late = port.clock.wall.saturating_sub(tabs.at);
        // What two clocks may be apart does not count.
        let late = if late > off + SECOND { late } else { 0 };
        let term = tabs.term;
        if self.holder.is_none() && self.shadow.take(tabs, port.clock.now, late) {
            port.say(i, Body::TabsAsk(TabsAsk { term }));
        }
    }

    // ---- Answers of the state service and the cloud ----

    fn store_answer(&mut self, id: u64, answer: Option<(u16, Bytes)>) {
        let port = &mut self.port;
        let Some(purpose) = port.purposes.remove(&id) else { return };
        let now = port.clock.now;
        let status = answer.as_ref().map(|a| a.0);
        if status.is_some_and(|s| s < 500 && s != 429) && !matches!(purpose, Purpose::Follow { .. })
        {
            port.state_ok_at = Some(now);
        }
        if status == Some(429) {
            port.slow_down();
        }
        let (intake, standing) = (&mut self.intake, &mut self.standing);
        let holder = self.holder.as_deref_mut();
        // Answers to an earlier term of this controller's own are nobody's any more.
        let of = |term: u64| holder.filter(|h| h.lease.term == term);
        match purpose {
            Purpose::Probe => standing.probed(answer),
            Purpose::Grant { sent } => standing.granted(port, sent, answer),
            Purpose::Takeover { record, grant, sent } => {
                self.taken_over(record, grant, sent, answer);
            }
            Purpose::DropGrant => {
                if matches!(status, Some(200 | 204 | 404)) {
                    standing.candidacy.grant_dropped();
                }
            }
            Purpose::Renew { sent, term } => {
                let Some(holder) = of(term) else { return };
                if !holder.lease.renewed(sent, status, now) {
                    holder.ended = Some("its grant ended");
                }
            }
            Purpose::Load { term, stage } => {
                let shadow = &mut self.shadow;
                if let Some(h) = of(term) {
                    h.load_answer(port, shadow, stage, answer);
                }
            }
            Purpose::LoadLedger { term } => {
                let shadow = &mut self.shadow;
                if let Some(h) = of(term) {
                    h.ledger_head(port, shadow, answer);
                }
            }
            Purpose::Follow { term } => {
                if let Some(h) = of(term) {
                    h.followed(port, answer);
                }
            }
            Purpose::Write { term, batch } => {
                if let Some(h) = of(term) {
                    h.written(port, batch, answer);
                }
            }
            Purpose::ReadBack { term, key } => {
                if let Some(h) = of(term) {
                    h.read_again(port, key, answer);
                }
            }
            Purpose::ReadOver { term, key } => {
                if let Some(h) = of(term) {
                    h.over_read(&key, answer);
                }
            }
            Purpose::ReadOwner { term, job } => {
                if let Some(h) = of(term) {
                    h.owner_read(port, &job, answer);
                }
            }
            Purpose::ShowLedger { conn, team } => intake.ledger_shown(port, conn, team, answer),
            Purpose::Upstream { job } => {
                intake.upstream_read(port, job, answer, self.holder.as_deref_mut());
            }
            Purpose::Named { conn, job } => intake.named(port, conn, job, answer),
            Purpose::Copy => intake.copied(port, answer),
            Purpose::Accept { jobs } => intake.accepted(port, jobs, answer),
            Purpose::Cancel { job, conns, view } => {
                intake.cancelled(port, job, conns, view, answer);
            }
            Purpose::Look { .. } | Purpose::Refresh => self.asked(purpose, answer),
        }
    }

    /// Queries are answered, with what the leader knows beside what is stored.
    fn asked(&mut self, purpose: Purpose, answer: Option<(u16, Bytes)>) {
        let (port, standing) = (&mut self.port, &self.standing);
        let holder = self.holder.as_deref();
        let told = standing.progress(port);
        let progress = |id: &JobId| match holder {
            Some(holder) => holder.progress(id),
            None => told?.get(&**id).copied(),
        };
        match purpose {
            Purpose::Look { job, over } => {
                self.intake.looked(port, job, over, answer, &progress);
            }
            _ => {
                self.intake.refreshed(port, answer, &progress);
                self.intake.read_ends(port, holder);
            }
        }
    }

    fn taken_over(
        &mut self,
        record: LeadRecord,
        grant: u64,
        sent: Micros,
        answer: Option<(u16, Bytes)>,
    ) {
        let (port, standing) = (&mut self.port, &mut self.standing);
        let now = port.clock.now;
        standing.candidacy.trying = false;
        let stamp = match &answer {
            Some((200, body)) => serde_json::from_slice::<Committed>(body).ok(),
            _ => None,
        };
        let Some(stamp) = stamp else {
            return standing.not_taken(port, grant, answer.map(|a| a.0));
        };
        let (term, trusted) = (record.term, record.marked);
        tracing::info!(term, trusted, "leading");
        let lease = Lease::new(&record, grant, stamp.ledger_no, sent, port);
        standing.candidacy.took(record, stamp.ledger_no);
        let (settings, flavors) = (port.settings.clone(), port.flavors.clone());
        let mut cluster = Cluster::new(term, settings, flavors, now, port.clock.wall);
        cluster.trust(trusted);
        let mut holder = Holder::new(lease, cluster);
        port.lead(true);
        standing.beat_soon(now);
        holder.load(port, "");
        self.holder = Some(Box::new(holder));
        self.tick();
    }

    fn cloud_answer(&mut self, id: u64, answer: Option<(u16, Bytes)>) {
        let Some((term, call)) = self.port.calls.remove(&id) else { return };
        if term == 0 {
            let flavors = answer.filter(|a| a.0 == 200).and_then(|a| cloud::parse_flavors(&a.1));
            if let Some(flavors) = flavors {
                self.port.flavors = Arc::new(flavors);
            }
            return;
        }
        if let Some(holder) = self.holder.as_mut().filter(|h| h.lease.term == term) {
            holder.cloud_answer(&self.port, call, answer);
        }
    }
}
