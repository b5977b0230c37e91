//! The single owner of a controller's state: commands and the time go in, effects come out. It owns the roles and
//! hands each command, answer and message to the one that it is for.
//!
//! | role | what is its |
//! | --- | --- |
//! | [`submissions`](self::submissions), [`queries`](self::queries) | users: submissions, queries, cancellations, and the copy of what is live |
//! | [`membership`](self::membership) | siblings: who is heard, who leads, and this controller's own chances |
//! | [`shard_assignment`](self::shard_assignment), [`quota_partitioner`](self::quota_partitioner) | where there are several blocks: who holds which, and what teams may use in each |
//! | [`shard_owner`](self::shard_owner) | under a [`lease`](self::lease): the machines, what runs on them, and what is written of it |
//! | [`heartbeat_routing`](self::heartbeat_routing) | workers' reports: answered here, or passed on to whoever holds the machine |
//! | [`outbox`](self::outbox) | no role: what all of them ask of the outside |

mod config_status;
mod config_watch;
pub mod election;
mod heartbeat_routing;
mod lease;
mod membership;
mod outbox;
mod queries;
mod quota_partitioner;
mod recovery;
mod shard_assignment;
mod shard_owner;
mod submissions;

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

use bytes::Bytes;

use self::election::Candidacy;
use self::heartbeat_routing::Early;
use self::lease::Lease;
use self::membership::{Standing, offer_of};
pub use self::outbox::{Clock, Command, Effect};
use self::outbox::{News, Port, Purpose};
use self::shard_assignment::Seats;
use self::shard_owner::{Holder, Holders};
use self::submissions::{Intake, POLL_PATIENCE, SUBMIT_PATIENCE, Waiter};
use crate::http::{Request, Response};
use crate::model::{JobId, Micros, SECOND, is_valid_job_id};
use crate::settings::Settings;
use crate::state::cluster::Cluster;
use crate::state::fleet::{CloudCall, Offer};
use crate::state::usage_replica::UsageReplica;
use crate::wire::api::{self, Route};
use crate::wire::cloud::{self, CloudRequest};
use crate::wire::peer::{Body, Changed, Envelope, OfferTold, OpenTabs, Promise, TabsAsk};
use crate::wire::store::{self, Committed, LeadRecord};

const TICK: Micros = 50_000;
/// A controller that waits for nothing but the next heartbeat looks at its clock at least this often.
const QUIET: Micros = 4 * TICK;

/// Why a block is given up that a sibling is to take.
const HANDED_ON: &str = "it is handed on";

/// Who holds a block in that term. Answers to an earlier term of this controller's own are nobody's any more.
fn of_term(holders: &mut Holders, term: u64) -> Option<&mut Holder> {
    holders
        .values_mut()
        .find(|h| h.lease.term == term)
        .map(|h| &mut **h)
}

pub struct Controller {
    port: Port,
    standing: Standing,
    intake: Intake,
    seats: Seats,
    /// The blocks that it holds. Whoever holds block 0 is the leader.
    holders: Holders,
    /// Siblings that hold the blocks of machines that have reported here.
    routes: HashMap<String, usize>,
    /// What the leader has not charged yet.
    shadow: UsageReplica,
    /// Reports passed on to a holder: whose they are, until when it may answer, and what to ask another if it is not its.
    relays: HashMap<u64, (u64, Micros, Bytes)>,
    /// Reports that came while the state was being read.
    early: Vec<Early>,
    flavors_at: Micros,
    next_tick: Micros,
    /// The state service has answered since the last tick, and what follows from that has not been done.
    told: bool,
}

impl Controller {
    pub fn new(settings: Arc<Settings>, clock: Clock) -> Controller {
        let port = Port::new(settings, clock);
        Controller {
            standing: Standing::new(&port),
            port,
            intake: Intake::default(),
            seats: Seats::default(),
            holders: Holders::new(),
            routes: HashMap::new(),
            shadow: UsageReplica::default(),
            relays: HashMap::new(),
            early: Vec::new(),
            flavors_at: 0,
            next_tick: 0,
            told: false,
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
                Command::Store { id, answer } => {
                    self.told = true;
                    self.store_answer(id, answer);
                }
                Command::Cloud { id, answer } => self.cloud_answer(id, answer),
                Command::Peer(message) => self.peer(message),
                Command::Tick => {}
            }
            self.spread_news();
            self.check_ended();
            if !self.early.is_empty() {
                self.answer_early();
            }
        }
        if clock.now >= self.next_tick {
            self.next_tick = clock.now + TICK;
            self.told = false;
            self.tick();
            self.check_ended();
        }
        let port = &mut self.port;
        self.holders
            .values_mut()
            .filter(|h| h.loaded())
            .for_each(|h| h.halt(port));
        if self
            .holders
            .get(&0)
            .is_some_and(|h| h.cluster.has_urgent_usage())
        {
            self.tell_tabs();
        }
        self.intake.flush_accepts(&mut self.port);
        while let Some((id, request)) = self.port.budget.pop(clock.now) {
            self.port.effects.push(Effect::Store { id, request });
        }
        std::mem::take(&mut self.port.effects)
    }

    /// How long it may be left alone if nothing comes for it. Each look at the clock is a wake-up of the process, and most
    /// controllers stand by: one that hears a leader, has nobody waiting and has asked for nothing has nothing to do
    /// until its next heartbeat or probe.
    pub fn pause(&self) -> Micros {
        let port = &self.port;
        let stands_by = self.holders.is_empty()
            && !port.several
            && !self.told
            && port.deadlines.is_empty()
            && port.budget.queued() == 0
            && self.standing.leader(port).is_some();
        if !stands_by {
            return TICK;
        }
        self.standing
            .due()
            .saturating_sub(port.clock.now)
            .clamp(TICK, QUIET)
    }

    /// The cluster as the leader sees it; `None` on every other controller.
    pub fn cluster(&self) -> Option<&Cluster> {
        self.holders.get(&0).map(|h| &h.cluster)
    }

    /// The version of the configuration in force here, and whether it may be acted on now.
    pub fn configuration(&self) -> (u64, bool) {
        let configuring = &self.port.configuring;
        (
            configuring.version(),
            configuring.fresh(self.port.clock.now),
        )
    }

    /// All blocks that this controller holds.
    pub fn clusters(&self) -> impl Iterator<Item = &Cluster> {
        self.holders.values().map(|h| &h.cluster)
    }

    fn check_authority(&mut self) {
        let now = self.port.clock.now;
        for holder in self.holders.values_mut() {
            holder.ended = holder.ended.or(holder.lease.ended(now));
        }
        self.check_ended();
    }

    fn check_ended(&mut self) {
        let ended = self
            .holders
            .iter()
            .find_map(|(b, h)| h.ended.map(|why| (*b, why)));
        if let Some((block, why)) = ended {
            self.step_down(block, why);
            self.check_ended();
        }
    }

    fn step_down(&mut self, block: u32, why: &str) {
        let Some(holder) = self.holders.remove(&block) else {
            return;
        };
        let (term, grant) = (holder.lease.term, holder.lease.grant);
        if block > 0 {
            tracing::info!(block, term, why, "gives up a block");
            let handed = why == HANDED_ON;
            return self
                .seats
                .left(&mut self.port, block, grant, handed, holder.deaf);
        }
        tracing::info!(term, why, "no longer leading");
        if holder.cluster.usage_ledger.is_some() {
            let now = self.port.clock.now;
            self.shadow =
                UsageReplica::from_own_records(term, holder.cluster.all_usage_records(now), now);
        }
        self.port.lead(false);
        self.standing
            .stepped_down(&mut self.port, grant, holder.deaf);
    }

    /// What one role has told is for others.
    fn spread_news(&mut self) {
        for news in std::mem::take(&mut self.port.news) {
            match news {
                News::Changed(id, stamp) => self.changed(&id, stamp),
            }
        }
        // Its users are told by its copy, which may be ahead of a holder's watch: what they are told is cancelled is not
        // launched here from then on.
        for id in self.intake.mirror.take_new_cancellations() {
            for holder in self.holders.values_mut() {
                holder.cluster.cancelled_elsewhere(&id);
            }
        }
    }

    /// Lets the leader know, in case its watch does not: that may hang in a cut.
    fn changed(&mut self, id: &JobId, stamp: u64) {
        for holder in self.holders.values_mut() {
            holder.expect(&self.port, id, stamp);
        }
        let told = Changed {
            job: id.to_string(),
            stamp,
        };
        if self.port.several {
            let all = 0..self.standing.siblings.len();
            all.for_each(|i| self.port.say(i, Body::Changed(told.clone())));
        } else if let Some(i) = self
            .standing
            .leader(&self.port)
            .filter(|_| self.holders.is_empty())
        {
            self.port.say(i, Body::Changed(told));
        }
    }

    fn tick(&mut self) {
        let now = self.port.clock.now;
        let late = self.port.deadlines.iter().filter(|(_, t)| **t <= now);
        for conn in late.map(|(c, _)| *c).collect::<BTreeSet<_>>() {
            self.intake.give_up(conn);
            self.port.unavailable(conn);
        }
        self.relays.retain(|_, r| r.1 > now);
        self.port.forgive();
        self.intake.refresh(&mut self.port);
        self.read_configuration();
        self.intake
            .read_ends(&mut self.port, self.holders.get(&0).map(|h| &**h));
        if self.standing.beat(&mut self.port, &self.holders) {
            self.tell_tabs();
            self.share_out();
        }
        if self.port.flavors.is_empty() && now >= self.flavors_at {
            self.flavors_at = now + 2 * SECOND;
            self.port
                .call(0, CloudCall::MachineTypes, CloudRequest::flavors());
        }
        if !self.holders.contains_key(&0) {
            self.standing.tick(&mut self.port);
        }
        self.holders
            .values_mut()
            .for_each(|h| h.tick(&mut self.port));
        self.seats
            .tick(&mut self.port, &self.standing, &self.holders);
        if let Some(block) = self
            .seats
            .hands_over(&self.port, &self.standing, &self.holders)
        {
            self.step_down(block, HANDED_ON);
        }
    }

    /// What is known of all blocks goes to those who go by it: intake for homes of new jobs, holders for those that
    /// have no room, and block 0's for machines that others ask for.
    fn share_out(&mut self) {
        if !self.port.several {
            return;
        }
        let most = self.port.blocks();
        let mut loads = self.standing.loads(&self.port);
        let orders: BTreeMap<u32, BTreeMap<Offer, u32>> = loads
            .iter()
            .filter(|l| l.shard > 0 && !l.machine_demand.is_empty())
            .map(|l| (l.shard, l.machine_demand.iter().cloned().collect()))
            .collect();
        self.port.loads.clone_from(&loads);
        let mut refused = Vec::new();
        if let Some(holder) = self.holders.get_mut(&0) {
            holder.cluster.other_shards_demand = orders;
            refused = holder.cluster.refused_offers();
        }
        let now = self.port.clock.now;
        for holder in self.holders.values_mut().filter(|h| h.lease.block > 0) {
            holder.cluster.told_refused(refused.clone(), now);
        }
        // A block that is one too many gets no more work.
        loads.retain(|l| l.shard < most);
        for (block, holder) in &mut self.holders {
            holder.cluster.shard_loads.clone_from(&loads);
            holder.cluster.transfer_waiting_jobs(*block >= most);
        }
    }

    fn tell_tabs(&mut self) {
        let now = self.port.clock.now;
        let tabs = self
            .holders
            .get_mut(&0)
            .map(|h| h.cluster.usage_messages(now));
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
                    Response {
                        status: 200,
                        body: Bytes::from_static(b"{}"),
                        retry_after: None,
                    }
                } else {
                    Response::error(503, "not ready to take requests")
                };
                port.reply(conn, response);
            }
            Route::Configuration => self.show_configuration(conn),
            Route::Report => self.report(conn, request.body),
            Route::Ledger { page, team } => intake.show_ledger(port, conn, page, team),
            Route::Submit => intake.submit(port, conn, &request.body),
            Route::Query(id) | Route::Cancel(id) if !is_valid_job_id(id) => {
                port.reply(conn, Response::error(404, "no such job"));
            }
            Route::Query(id) => intake.query(port, conn, id.into()),
            Route::Cancel(id) => {
                port.deadlines.insert(conn, now + SUBMIT_PATIENCE);
                let wait = port.budget.wait();
                if wait > POLL_PATIENCE {
                    return port.too_much(conn, wait);
                }
                intake.look(port, id.into(), Waiter::Cancel(conn));
            }
        }
    }

    // ---- Siblings ----

    fn peer(&mut self, message: Envelope) {
        let port = &mut self.port;
        let now = port.clock.now;
        let Some(i) = port
            .settings
            .siblings
            .iter()
            .position(|s| s.name == message.from)
        else {
            tracing::info!(from = %message.from, "a message from a stranger is dropped");
            return;
        };
        self.standing.siblings[i].heard_at = Some(now);
        self.holders
            .values_mut()
            .for_each(|h| h.heard_at = Some(now));
        match message.body {
            Some(Body::Heartbeat(beat)) => {
                self.shadow.leader_heard(beat.leading, now);
                if beat.leading > 0 {
                    let offer =
                        |o: &OfferTold| Some((offer_of(&port.flavors, o)?, o.number * 1000));
                    let refused: Vec<(Offer, Micros)> =
                        beat.refused.iter().filter_map(offer).collect();
                    for holder in self.holders.values_mut().filter(|h| h.lease.block > 0) {
                        holder.cluster.told_refused(refused.clone(), now);
                    }
                }
                self.standing.beaten(port, i, beat);
            }
            Some(Body::Relay(relay)) => self.relayed_here(i, relay),
            Some(Body::Relayed(reply)) => self.relay_answered(i, reply),
            Some(Body::PromiseAsk(ask)) => {
                let seats = &mut self.seats.seats;
                let candidacy = match ask.block {
                    0 => Some(&mut self.standing.candidacy),
                    b => seats.get_mut(&b).map(|s| &mut s.candidacy),
                };
                let free = !self.holders.contains_key(&ask.block);
                if let Some(candidacy) = candidacy.filter(|_| free) {
                    let copy = &self.intake.mirror;
                    Standing::promise_asked(port, candidacy, copy, i, &ask);
                }
            }
            Some(Body::Promise(promise)) => self.promised(i, &promise),
            Some(Body::Changed(changed)) if is_valid_job_id(&changed.job) => {
                for holder in self.holders.values_mut() {
                    holder.expect(port, &changed.job, changed.stamp);
                }
            }
            Some(Body::OpenTabs(tabs)) if port.settings.ledger.is_some() => {
                self.tabs_told(i, tabs);
            }
            Some(Body::TabsAsk(ask)) => {
                let asked = self.holders.values_mut().find(|h| h.lease.term == ask.term);
                if let Some(holder) = asked {
                    holder.cluster.resend_all_usage(i);
                }
            }
            Some(Body::MarksAsk(ask)) => {
                let holder = self.holders.get(&ask.block).map(|h| &**h);
                let candidacy = match ask.block {
                    0 => Some(&self.standing.candidacy),
                    b => self.seats.seats.get(&b).map(|s| &s.candidacy),
                };
                if let Some(candidacy) = candidacy {
                    Standing::marks_asked(port, candidacy, i, ask, holder);
                }
            }
            Some(Body::MarksHold(told)) if told.life == self.standing.life => {
                if let Some(candidacy) = self.candidacy(told.block) {
                    candidacy.marks_hold(told.term);
                }
            }
            Some(Body::Changed(_) | Body::OpenTabs(_) | Body::MarksHold(_)) | None => {}
        }
    }

    /// This controller's own chances of holding a block.
    fn candidacy(&mut self, block: u32) -> Option<&mut Candidacy> {
        match block {
            0 => Some(&mut self.standing.candidacy),
            b => self.seats.seats.get_mut(&b).map(|s| &mut s.candidacy),
        }
    }

    fn promised(&mut self, i: usize, promise: &Promise) {
        let block = promise.block;
        let asked = self
            .holders
            .get_mut(&block)
            .filter(|h| h.lease.term == promise.term);
        let Some(holder) = asked else { return };
        let ids = store::decode_ids(&promise.cancelled);
        for id in &ids {
            holder.cluster.cancelled_elsewhere(id);
        }
        // What cannot be read in full tells nothing for certain.
        let whole = ids.len() == promise.count as usize;
        let sibling = &mut self.standing.siblings[i];
        if !whole && !std::mem::replace(&mut sibling.odd, true) {
            let (from, told) = (&self.port.settings.siblings[i].name, promise.count);
            tracing::warn!(%from, told, read = ids.len(), "a promise makes no sense in part");
        }
        // A newer version than is known here cannot be read now: nothing is started until it can.
        self.port.configuring.told(promise.configuration);
        let knows = promise.knows && whole;
        if knows && let Some(at) = holder.lease.authority.informed(promise.round, i) {
            // Its own users' cancellations are among those that its copy knows of.
            for id in self.intake.mirror.cancelled_since(holder.watched) {
                holder.cluster.cancelled_elsewhere(id);
            }
            holder.lease.knew(at);
            self.port.configuring.knew(at);
        }
        holder
            .lease
            .authority
            .promised(promise.round, i, self.port.clock.now);
        if holder.lease.authority.bridged() {
            holder.cluster.launches_without_watermark = true;
            if let Some(candidacy) = self.candidacy(block) {
                candidacy.bridged(promise.term);
            }
        }
    }

    fn tabs_told(&mut self, i: usize, tabs: OpenTabs) {
        let port = &mut self.port;
        let off = port
            .settings
            .ledger
            .as_ref()
            .map_or(0, |l| l.settings.clock_off);
        let late = port.clock.wall.saturating_sub(tabs.at);
        // What two clocks may be apart does not count.
        let late = if late > off + SECOND { late } else { 0 };
        let term = tabs.term;
        if !self.holders.contains_key(&0) && self.shadow.apply(tabs, port.clock.now, late) {
            port.say(i, Body::TabsAsk(TabsAsk { term }));
        }
    }

    // ---- Answers of the state service and the cloud ----

    fn store_answer(&mut self, id: u64, answer: Option<(u16, Bytes)>) {
        let port = &mut self.port;
        let Some(purpose) = port.purposes.remove(&id) else {
            return;
        };
        let now = port.clock.now;
        let status = answer.as_ref().map(|a| a.0);
        if status.is_some_and(|s| s < 500 && s != 429) && !matches!(purpose, Purpose::Follow { .. })
        {
            port.state_ok_at = Some(now);
        }
        if status == Some(503) {
            port.refused_at = Some(now);
        }
        if status == Some(429) {
            port.slow_down();
        }
        let (intake, standing) = (&mut self.intake, &mut self.standing);
        let holders = &mut self.holders;
        match purpose {
            Purpose::Probe => standing.probed(port, answer),
            Purpose::Grant { sent } => standing.granted(port, sent, answer),
            Purpose::Takeover {
                record,
                grant,
                sent,
            } => {
                self.taken_over(record, grant, sent, answer);
            }
            Purpose::DropGrant { block, grant } => {
                if matches!(status, Some(200 | 204 | 404))
                    && let Some(candidacy) = self.candidacy(block)
                {
                    candidacy.grant_dropped(grant);
                }
            }
            Purpose::Renew { sent, term } => {
                let Some(holder) = of_term(holders, term) else {
                    return;
                };
                if !holder.lease.renewed(sent, status, now) {
                    holder.ended = Some("its grant ended");
                }
            }
            Purpose::Moves { term } => {
                if let Some(h) = of_term(holders, term) {
                    h.moves_read(port, answer);
                }
            }
            Purpose::Allots { term } => {
                if let Some(h) = of_term(holders, term) {
                    h.allotter.read_all(port, &h.lease, &mut h.cluster, answer);
                }
            }
            Purpose::Allot { term } => {
                if let Some(h) = of_term(holders, term) {
                    h.allotter.written(now, status);
                }
            }
            Purpose::Seats => self.seats.probed(port, answer),
            Purpose::SeatGrant { block, sent } => self.seats.granted(port, block, sent, answer),
            Purpose::SeatTerms { block, grant, sent } => {
                self.seats.terms_read(port, block, grant, sent, answer);
            }
            Purpose::SeatTake {
                block,
                record,
                grant,
                sent,
            } => {
                self.seat_taken(block, record, grant, sent, answer);
            }
            Purpose::Load { term, stage } => {
                let shadow = &mut self.shadow;
                if let Some(h) = of_term(holders, term) {
                    h.load_answer(port, shadow, stage, answer);
                }
            }
            Purpose::LoadLedger { term } => {
                let shadow = &mut self.shadow;
                if let Some(h) = of_term(holders, term) {
                    h.ledger_head(port, shadow, answer);
                }
            }
            Purpose::Follow { term } => {
                if let Some(h) = of_term(holders, term) {
                    h.followed(port, answer);
                }
            }
            Purpose::CatchUp { term, sent } => {
                if let Some(h) = of_term(holders, term) {
                    h.caught_up(port, sent, answer);
                }
            }
            Purpose::Write { term, batch } => {
                if let Some(h) = of_term(holders, term) {
                    h.written(port, batch, answer);
                }
            }
            Purpose::ReadBack { term, key } => {
                if let Some(h) = of_term(holders, term) {
                    h.read_again(port, key, answer);
                }
            }
            Purpose::ReadOver { term, key } => {
                if let Some(h) = of_term(holders, term) {
                    h.over_read(&key, answer);
                }
            }
            Purpose::ReadOwner { term, job } => {
                if let Some(h) = of_term(holders, term) {
                    h.owner_read(port, &job, answer);
                }
            }
            Purpose::ShowLedger { conn, team } => intake.ledger_shown(port, conn, team, answer),
            Purpose::Upstream { job } => {
                let holder = self.holders.get_mut(&0).map(|h| &mut **h);
                intake.upstream_read(port, job, answer, holder);
            }
            Purpose::Named { conn, job } => intake.named(port, conn, job, answer),
            Purpose::Copy => intake.copied(port, answer),
            Purpose::Configuration(what) => self.configuration_read(what, answer),
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
        let holders = &self.holders;
        let siblings = standing.running(port);
        let told = |id: &JobId| siblings.iter().find_map(|s| s.get(&**id).copied());
        let own = |id: &JobId| holders.values().find_map(|h| h.progress(id));
        let progress = |id: &JobId| own(id).or_else(|| told(id));
        match purpose {
            Purpose::Look { job, over } => {
                self.intake.looked(port, job, over, answer, &progress);
            }
            _ => {
                self.intake.refreshed(port, answer, &progress);
                self.intake.read_ends(port, holders.get(&0).map(|h| &**h));
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
        let lease = Lease::new(0, term, grant, stamp.ledger_no, sent, port);
        standing.candidacy.took(record, stamp.ledger_no);
        let (settings, flavors) = (port.settings.clone(), port.flavors.clone());
        let mut cluster = Cluster::new(term, settings, flavors, now, port.clock.wall);
        cluster.set_watermarks_reliable(trusted);
        let mut holder = Holder::new(lease, cluster);
        port.lead(true);
        standing.beat_soon(now);
        holder.load(port, "");
        self.holders.insert(0, Box::new(holder));
        self.tick();
    }

    fn seat_taken(
        &mut self,
        block: u32,
        record: LeadRecord,
        grant: u64,
        sent: Micros,
        answer: Option<(u16, Bytes)>,
    ) {
        let port = &mut self.port;
        let status = answer.as_ref().map(|a| a.0);
        let stamp = match &answer {
            Some((200, body)) => serde_json::from_slice::<Committed>(body).ok(),
            _ => None,
        };
        let Some(seat) = self.seats.seats.get_mut(&block) else {
            return;
        };
        seat.candidacy.trying = false;
        let Some(stamp) = stamp else {
            return self.seats.not_taken(port, block, grant, status);
        };
        let (term, trusted) = (record.term, record.marked);
        tracing::info!(block, term, trusted, "holds a block");
        seat.candidacy.took(record, stamp.ledger_no);
        let lease = Lease::new(block, term, grant, stamp.ledger_no, sent, port);
        let (settings, flavors) = (port.settings.clone(), port.flavors.clone());
        let now = port.clock.now;
        let mut cluster = Cluster::new(term, settings, flavors, now, port.clock.wall);
        cluster.assign_shard(block);
        cluster.set_watermarks_reliable(trusted);
        let mut holder = Holder::new(lease, cluster);
        holder.load(port, "");
        self.standing.beat_soon(now);
        self.holders.insert(block, Box::new(holder));
    }

    fn cloud_answer(&mut self, id: u64, answer: Option<(u16, Bytes)>) {
        let Some((term, call)) = self.port.calls.remove(&id) else {
            return;
        };
        if term == 0 {
            let flavors = answer
                .filter(|a| a.0 == 200)
                .and_then(|a| cloud::parse_flavors(&a.1));
            if let Some(flavors) = flavors {
                self.port.flavors = Arc::new(flavors);
            }
            return;
        }
        if let Some(holder) = self.holders.values_mut().find(|h| h.lease.term == term) {
            holder.cloud_answer(&self.port, call, answer);
        }
    }
}
