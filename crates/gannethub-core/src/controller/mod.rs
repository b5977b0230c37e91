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

use self::election::Election;
use self::heartbeat_routing::DeferredHeartbeat;
use self::lease::ShardLease;
use self::membership::{Membership, decode_offer};
pub use self::outbox::{Clock, Command, Effect};
use self::outbox::{Event, Outbox, PendingRequest};
use self::shard_assignment::ShardAssignments;
use self::shard_owner::{ShardOwner, ShardOwners};
use self::submissions::{JobApi, LookupWaiter, QUERY_TIMEOUT, SUBMIT_TIMEOUT};
use crate::http::{Answer, CallResult, Request, Response};
use crate::model::{JobId, Micros, SECOND, is_valid_job_id};
use crate::settings::Settings;
use crate::state::cluster::Cluster;
use crate::state::fleet::{CloudCall, Offer};
use crate::state::usage_replica::UsageReplica;
use crate::wire::api::{self, Route};
use crate::wire::cloud::{self, CloudRequest};
use crate::wire::peer::{
    Body, Envelope, JobChanged, OfferAmount, UsageRecords, UsageRecordsRequest, Vote,
};
use crate::wire::store::{self, Committed, LeaseRecord};

const TICK_INTERVAL: Micros = 50_000;
/// A controller that waits for nothing but the next heartbeat looks at its clock at least this often.
const MAX_IDLE_TIME: Micros = 4 * TICK_INTERVAL;

/// Why a block is given up that a sibling is to take.
const TRANSFERRED: &str = "it is handed on";

/// Who holds a block in that term. Answers to an earlier term of this controller's own are nobody's any more.
fn owner_of_term(holders: &mut ShardOwners, term: u64) -> Option<&mut ShardOwner> {
    holders
        .values_mut()
        .find(|h| h.lease.term == term)
        .map(|h| &mut **h)
}

pub struct Controller {
    outbox: Outbox,
    membership: Membership,
    job_api: JobApi,
    shard_assignments: ShardAssignments,
    /// The blocks that it holds. Whoever holds block 0 is the leader.
    shard_owners: ShardOwners,
    /// Siblings that hold the blocks of machines that have reported here.
    peer_by_machine: HashMap<String, usize>,
    /// What the leader has not charged yet.
    usage_replica: UsageReplica,
    /// Reports passed on to a holder: whose they are, until when it may answer, and what to ask another if it is not its.
    relayed_heartbeats: HashMap<u64, (u64, Micros, Bytes)>,
    /// Reports that came while the state was being read.
    deferred_heartbeats: Vec<DeferredHeartbeat>,
    machine_types_request_at: Micros,
    next_tick_at: Micros,
    /// The state service has answered since the last tick, and what follows from that has not been done.
    store_answered: bool,
}

impl Controller {
    pub fn new(settings: Arc<Settings>, clock: Clock) -> Controller {
        let outbox = Outbox::new(settings, clock);
        Controller {
            membership: Membership::new(&outbox),
            outbox,
            job_api: JobApi::default(),
            shard_assignments: ShardAssignments::default(),
            shard_owners: ShardOwners::new(),
            peer_by_machine: HashMap::new(),
            usage_replica: UsageReplica::default(),
            relayed_heartbeats: HashMap::new(),
            deferred_heartbeats: Vec::new(),
            machine_types_request_at: 0,
            next_tick_at: 0,
            store_answered: false,
        }
    }

    /// Works through a batch of commands.
    pub fn step(
        &mut self,
        clock: Clock,
        commands: impl IntoIterator<Item = Command>,
    ) -> Vec<Effect> {
        self.outbox.clock = clock;
        self.check_leases();
        for command in commands {
            match command {
                Command::HttpRequest {
                    connection: conn,
                    request,
                } => self.handle_request(conn, request),
                Command::StoreAnswer { id, answer } => {
                    self.store_answered = true;
                    self.handle_store_answer(id, answer);
                }
                Command::CloudAnswer { id, answer } => self.handle_cloud_answer(id, answer),
                Command::PeerMessage(message) => self.handle_peer_message(message),
                Command::Tick => {}
            }
            self.dispatch_events();
            self.step_down_ended();
            if !self.deferred_heartbeats.is_empty() {
                self.answer_deferred_heartbeats();
            }
        }
        if clock.now >= self.next_tick_at {
            self.next_tick_at = clock.now + TICK_INTERVAL;
            self.store_answered = false;
            self.tick();
            self.step_down_ended();
        }
        let port = &mut self.outbox;
        self.shard_owners
            .values_mut()
            .filter(|h| h.is_loaded())
            .for_each(|h| h.send_kill_orders(port));
        if self
            .shard_owners
            .get(&0)
            .is_some_and(|h| h.cluster.has_urgent_usage())
        {
            self.send_usage_records();
        }
        self.job_api.send_accepts(&mut self.outbox);
        while let Some((id, request)) = self.outbox.budget.pop(clock.now) {
            self.outbox
                .effects
                .push(Effect::StoreRequest { id, request });
        }
        std::mem::take(&mut self.outbox.effects)
    }

    /// How long it may be left alone if nothing comes for it. Each look at the clock is a wake-up of the process, and most
    /// controllers stand by: one that hears a leader, has nobody waiting and has asked for nothing has nothing to do
    /// until its next heartbeat or probe.
    pub fn max_idle_time(&self) -> Micros {
        let port = &self.outbox;
        let stands_by = self.shard_owners.is_empty()
            && !port.is_sharded
            && !self.store_answered
            && port.reply_deadlines.is_empty()
            && port.budget.queued_requests() == 0
            && self.membership.leading_peer(port).is_some();
        if !stands_by {
            return TICK_INTERVAL;
        }
        self.membership
            .next_due_at()
            .saturating_sub(port.clock.now)
            .clamp(TICK_INTERVAL, MAX_IDLE_TIME)
    }

    /// The cluster as the leader sees it; `None` on every other controller.
    pub fn cluster(&self) -> Option<&Cluster> {
        self.shard_owners.get(&0).map(|h| &h.cluster)
    }

    /// The version of the configuration in force here, and whether it may be acted on now.
    pub fn configuration(&self) -> (u64, bool) {
        let configuring = &self.outbox.configuration;
        (
            configuring.version(),
            configuring.is_fresh(self.outbox.clock.now),
        )
    }

    /// All blocks that this controller holds.
    pub fn clusters(&self) -> impl Iterator<Item = &Cluster> {
        self.shard_owners.values().map(|h| &h.cluster)
    }

    fn check_leases(&mut self) {
        let now = self.outbox.clock.now;
        for holder in self.shard_owners.values_mut() {
            holder.end_reason = holder.end_reason.or(holder.lease.end_reason(now));
        }
        self.step_down_ended();
    }

    fn step_down_ended(&mut self) {
        let ended = self
            .shard_owners
            .iter()
            .find_map(|(b, h)| h.end_reason.map(|why| (*b, why)));
        if let Some((block, why)) = ended {
            self.step_down(block, why);
            self.step_down_ended();
        }
    }

    fn step_down(&mut self, block: u32, why: &str) {
        let Some(holder) = self.shard_owners.remove(&block) else {
            return;
        };
        let (term, grant) = (holder.lease.term, holder.lease.store_lease);
        if block > 0 {
            tracing::info!(block, term, why, "gives up a block");
            let handed = why == TRANSFERRED;
            return self.shard_assignments.handle_step_down(
                &mut self.outbox,
                block,
                grant,
                handed,
                holder.is_isolated,
            );
        }
        tracing::info!(term, why, "no longer leading");
        if holder.cluster.usage_ledger.is_some() {
            let now = self.outbox.clock.now;
            self.usage_replica =
                UsageReplica::from_own_records(term, holder.cluster.all_usage_records(now), now);
        }
        self.outbox.set_leader(false);
        self.membership
            .handle_step_down(&mut self.outbox, grant, holder.is_isolated);
    }

    /// What one role has told is for others.
    fn dispatch_events(&mut self) {
        for news in std::mem::take(&mut self.outbox.events) {
            match news {
                Event::JobChanged(id, stamp) => self.announce_job_change(&id, stamp),
            }
        }
        // Its users are told by its copy, which may be ahead of a holder's watch: what they are told is cancelled is not
        // launched here from then on.
        for id in self.job_api.job_replica.take_new_cancellations() {
            for holder in self.shard_owners.values_mut() {
                holder.cluster.apply_remote_cancellation(&id);
            }
        }
    }

    /// Lets the leader know, in case its watch does not: that may hang in a cut.
    fn announce_job_change(&mut self, id: &JobId, stamp: u64) {
        for holder in self.shard_owners.values_mut() {
            holder.expect_change(&self.outbox, id, stamp);
        }
        let told = JobChanged {
            job: id.to_string(),
            version: stamp,
        };
        if self.outbox.is_sharded {
            let all = 0..self.membership.peers.len();
            all.for_each(|i| self.outbox.send_to_peer(i, Body::JobChanged(told.clone())));
        } else if let Some(i) = self
            .membership
            .leading_peer(&self.outbox)
            .filter(|_| self.shard_owners.is_empty())
        {
            self.outbox.send_to_peer(i, Body::JobChanged(told));
        }
    }

    fn tick(&mut self) {
        let now = self.outbox.clock.now;
        let late = self
            .outbox
            .reply_deadlines
            .iter()
            .filter(|(_, t)| **t <= now);
        for conn in late.map(|(c, _)| *c).collect::<BTreeSet<_>>() {
            self.job_api.abandon(conn);
            self.outbox.reply_unavailable(conn);
        }
        self.relayed_heartbeats.retain(|_, r| r.1 > now);
        self.outbox.recover_rate();
        self.job_api.refresh(&mut self.outbox);
        self.send_configuration_read();
        self.job_api
            .read_dependency_outcomes(&mut self.outbox, self.shard_owners.get(&0).map(|h| &**h));
        if self
            .membership
            .send_heartbeats(&mut self.outbox, &self.shard_owners)
        {
            self.send_usage_records();
            self.share_shard_loads();
        }
        if self.outbox.machine_types.is_empty() && now >= self.machine_types_request_at {
            self.machine_types_request_at = now + 2 * SECOND;
            self.outbox
                .call_cloud(0, CloudCall::MachineTypes, CloudRequest::machine_types());
        }
        if !self.shard_owners.contains_key(&0) {
            self.membership.tick(&mut self.outbox);
        }
        self.shard_owners
            .values_mut()
            .for_each(|h| h.tick(&mut self.outbox));
        self.shard_assignments
            .tick(&mut self.outbox, &self.membership, &self.shard_owners);
        if let Some(block) = self.shard_assignments.shard_to_transfer(
            &self.outbox,
            &self.membership,
            &self.shard_owners,
        ) {
            self.step_down(block, TRANSFERRED);
        }
    }

    /// What is known of all blocks goes to those who go by it: intake for homes of new jobs, holders for those that
    /// have no room, and block 0's for machines that others ask for.
    fn share_shard_loads(&mut self) {
        if !self.outbox.is_sharded {
            return;
        }
        let most = self.outbox.shard_count();
        let mut loads = self.membership.shard_loads(&self.outbox);
        let orders: BTreeMap<u32, BTreeMap<Offer, u32>> = loads
            .iter()
            .filter(|l| l.shard > 0 && !l.machine_demand.is_empty())
            .map(|l| (l.shard, l.machine_demand.iter().cloned().collect()))
            .collect();
        self.outbox.shard_loads.clone_from(&loads);
        let mut refused = Vec::new();
        if let Some(holder) = self.shard_owners.get_mut(&0) {
            holder.cluster.other_shards.demand = orders;
            refused = holder.cluster.refused_offers();
        }
        let now = self.outbox.clock.now;
        for holder in self.shard_owners.values_mut().filter(|h| h.lease.shard > 0) {
            holder.cluster.apply_refused_offers(refused.clone(), now);
        }
        // A block that is one too many gets no more work.
        loads.retain(|l| l.shard < most);
        for (block, holder) in &mut self.shard_owners {
            holder.cluster.other_shards.loads.clone_from(&loads);
            holder.cluster.transfer_waiting_jobs(*block >= most);
        }
    }

    fn send_usage_records(&mut self) {
        let now = self.outbox.clock.now;
        let tabs = self
            .shard_owners
            .get_mut(&0)
            .map(|h| h.cluster.usage_messages(now));
        for message in tabs.into_iter().flatten() {
            let records = Body::UsageRecords(message.records);
            self.outbox.send_to_peer(message.peer, records);
        }
    }

    // ---- Users and workers ----

    fn handle_request(&mut self, conn: u64, request: Request) {
        let (port, intake) = (&mut self.outbox, &mut self.job_api);
        let now = port.clock.now;
        port.reply_deadlines.insert(conn, now + QUERY_TIMEOUT);
        let route = match api::route(request.method, &request.path) {
            Ok(route) => route,
            Err(response) => return port.reply(conn, response),
        };
        match route {
            Route::Health => {
                let response = if self.membership.is_ready(port) {
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
            Route::Heartbeat => self.handle_heartbeat(conn, request.body),
            Route::Ledger { page, team } => intake.read_ledger(port, conn, page, team),
            Route::Submit => intake.submit(port, conn, &request.body),
            Route::Query(id) | Route::Cancel(id) if !is_valid_job_id(id) => {
                port.reply(conn, Response::error(404, "no such job"));
            }
            Route::Query(id) => intake.query(port, conn, id.into()),
            Route::Cancel(id) => {
                port.reply_deadlines.insert(conn, now + SUBMIT_TIMEOUT);
                let wait = port.budget.change_wait();
                if wait > QUERY_TIMEOUT {
                    return port.reply_overloaded(conn, wait);
                }
                intake.look_up_live_job(port, id.into(), LookupWaiter::Cancel(conn));
            }
        }
    }

    // ---- Siblings ----

    fn handle_peer_message(&mut self, message: Envelope) {
        let port = &mut self.outbox;
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
        self.membership.peers[i].last_heard_at = Some(now);
        self.shard_owners
            .values_mut()
            .for_each(|h| h.last_heard_at = Some(now));
        match message.body {
            Some(Body::Heartbeat(beat)) => {
                self.usage_replica.leader_heard(beat.leading_term, now);
                if beat.leading_term > 0 {
                    let offer = |o: &OfferAmount| {
                        Some((decode_offer(&port.machine_types, o)?, o.amount * 1000))
                    };
                    let refused: Vec<(Offer, Micros)> =
                        beat.refused_offers.iter().filter_map(offer).collect();
                    for holder in self.shard_owners.values_mut().filter(|h| h.lease.shard > 0) {
                        holder.cluster.apply_refused_offers(refused.clone(), now);
                    }
                }
                self.membership.handle_heartbeat(port, i, beat);
            }
            Some(Body::RelayHeartbeat(relay)) => self.handle_relay(i, relay),
            Some(Body::RelayAnswer(reply)) => self.handle_relay_answer(i, reply),
            Some(Body::VoteRequest(ask)) => {
                let seats = &mut self.shard_assignments.assignments;
                let candidacy = match ask.shard {
                    0 => Some(&mut self.membership.election),
                    b => seats.get_mut(&b).map(|s| &mut s.election),
                };
                let free = !self.shard_owners.contains_key(&ask.shard);
                if let Some(candidacy) = candidacy.filter(|_| free) {
                    let copy = &self.job_api.job_replica;
                    Membership::handle_vote_request(port, candidacy, copy, i, &ask);
                }
            }
            Some(Body::Vote(promise)) => self.handle_vote(i, &promise),
            Some(Body::JobChanged(changed)) if is_valid_job_id(&changed.job) => {
                for holder in self.shard_owners.values_mut() {
                    holder.expect_change(port, &changed.job, changed.version);
                }
            }
            Some(Body::UsageRecords(tabs)) if port.settings.ledger.is_some() => {
                self.handle_usage_records(i, tabs);
            }
            Some(Body::UsageRecordsRequest(ask)) => {
                let asked = self
                    .shard_owners
                    .values_mut()
                    .find(|h| h.lease.term == ask.term);
                if let Some(holder) = asked {
                    holder.cluster.resend_all_usage(i);
                }
            }
            Some(Body::WatermarkQuery(ask)) => {
                let holder = self.shard_owners.get(&ask.shard).map(|h| &**h);
                let candidacy = match ask.shard {
                    0 => Some(&self.membership.election),
                    b => self
                        .shard_assignments
                        .assignments
                        .get(&b)
                        .map(|s| &s.election),
                };
                if let Some(candidacy) = candidacy {
                    Membership::handle_watermark_query(port, candidacy, i, ask, holder);
                }
            }
            Some(Body::WatermarkConfirmation(told))
                if told.incarnation == self.membership.incarnation =>
            {
                if let Some(candidacy) = self.election(told.shard) {
                    candidacy.confirm_watermarks(told.term);
                }
            }
            Some(Body::JobChanged(_) | Body::UsageRecords(_) | Body::WatermarkConfirmation(_))
            | None => {}
        }
    }

    /// This controller's own chances of holding a block.
    fn election(&mut self, block: u32) -> Option<&mut Election> {
        match block {
            0 => Some(&mut self.membership.election),
            b => self
                .shard_assignments
                .assignments
                .get_mut(&b)
                .map(|s| &mut s.election),
        }
    }

    fn handle_vote(&mut self, i: usize, promise: &Vote) {
        let block = promise.shard;
        let asked = self
            .shard_owners
            .get_mut(&block)
            .filter(|h| h.lease.term == promise.term);
        let Some(holder) = asked else { return };
        let ids = store::decode_job_ids(&promise.cancelled_jobs);
        for id in &ids {
            holder.cluster.apply_remote_cancellation(id);
        }
        // What cannot be read in full tells nothing for certain.
        let whole = ids.len() == promise.cancelled_count as usize;
        let sibling = &mut self.membership.peers[i];
        if !whole && !std::mem::replace(&mut sibling.malformed_vote_logged, true) {
            let (from, told) = (
                &self.outbox.settings.siblings[i].name,
                promise.cancelled_count,
            );
            tracing::warn!(%from, told, read = ids.len(), "a promise makes no sense in part");
        }
        // A newer version than is known here cannot be read now: nothing is started until it can.
        self.outbox
            .configuration
            .record_peer_version(promise.configuration_version);
        let knows = promise.knows_cancellations && whole;
        if knows
            && let Some(at) = holder
                .lease
                .validity
                .record_informed_voter(promise.round, i)
        {
            // Its own users' cancellations are among those that its copy knows of.
            for id in self
                .job_api
                .job_replica
                .cancelled_since(holder.watched_version)
            {
                holder.cluster.apply_remote_cancellation(id);
            }
            holder.lease.cancellations_known(at);
            self.outbox.configuration.confirm_newest(at);
        }
        holder
            .lease
            .validity
            .record_vote(promise.round, i, self.outbox.clock.now);
        if holder.lease.validity.was_extended_by_votes() {
            holder.cluster.watermarks.not_required = true;
            if let Some(candidacy) = self.election(block) {
                candidacy.launched_without_watermarks(promise.term);
            }
        }
    }

    fn handle_usage_records(&mut self, i: usize, tabs: UsageRecords) {
        let port = &mut self.outbox;
        let off = port
            .settings
            .ledger
            .as_ref()
            .map_or(0, |l| l.settings.clock_off);
        let late = port.clock.unix_time.saturating_sub(tabs.sent_at);
        // What two clocks may be apart does not count.
        let late = if late > off + SECOND { late } else { 0 };
        let term = tabs.term;
        if !self.shard_owners.contains_key(&0)
            && self.usage_replica.apply(tabs, port.clock.now, late)
        {
            port.send_to_peer(i, Body::UsageRecordsRequest(UsageRecordsRequest { term }));
        }
    }

    // ---- Answers of the state service and the cloud ----

    fn handle_store_answer(&mut self, id: u64, answer: CallResult) {
        let port = &mut self.outbox;
        let Some(purpose) = port.pending_requests.remove(&id) else {
            return;
        };
        let now = port.clock.now;
        let status = answer.as_ref().ok().map(|a| a.status);
        if status.is_some_and(|s| s < 500 && s != 429)
            && !matches!(purpose, PendingRequest::Watch { .. })
        {
            port.store_answered_at = Some(now);
        }
        if status == Some(503) {
            port.store_refused_at = Some(now);
        }
        if status == Some(429) {
            port.reduce_rate();
        }
        let (intake, standing) = (&mut self.job_api, &mut self.membership);
        let holders = &mut self.shard_owners;
        match purpose {
            PendingRequest::ProbeLeader => standing.handle_probe_answer(port, answer),
            PendingRequest::AcquireStoreLease { sent_at: sent } => {
                standing.handle_store_lease_answer(port, sent, answer)
            }
            PendingRequest::TakeOver {
                record,
                store_lease: grant,
                sent_at: sent,
            } => {
                self.handle_takeover_answer(record, grant, sent, answer);
            }
            PendingRequest::RevokeStoreLease {
                shard: block,
                store_lease: grant,
            } => {
                if matches!(status, Some(200 | 204 | 404))
                    && let Some(candidacy) = self.election(block)
                {
                    candidacy.store_lease_revoked(grant);
                }
            }
            PendingRequest::RenewStoreLease {
                sent_at: sent,
                term,
            } => {
                let Some(holder) = owner_of_term(holders, term) else {
                    return;
                };
                if !holder.lease.handle_renewal(sent, status, now) {
                    holder.end_reason = Some("its grant ended");
                }
            }
            PendingRequest::ReadTransfers { term } => {
                if let Some(h) = owner_of_term(holders, term) {
                    h.handle_transfers_answer(port, answer);
                }
            }
            PendingRequest::ReadQuotaPartitions { term } => {
                if let Some(h) = owner_of_term(holders, term) {
                    h.quota_partitioner
                        .handle_read_answer(port, &h.lease, &mut h.cluster, answer);
                }
            }
            PendingRequest::WriteQuotaPartitions { term } => {
                if let Some(h) = owner_of_term(holders, term) {
                    h.quota_partitioner.handle_write_answer(now, status);
                }
            }
            PendingRequest::ProbeShards => self.shard_assignments.handle_probe_answer(port, answer),
            PendingRequest::AcquireShardLease {
                shard: block,
                sent_at: sent,
            } => self
                .shard_assignments
                .handle_store_lease_answer(port, block, sent, answer),
            PendingRequest::ReadTerms {
                shard: block,
                store_lease: grant,
                sent_at: sent,
            } => {
                self.shard_assignments
                    .handle_terms_answer(port, block, grant, sent, answer);
            }
            PendingRequest::TakeOverShard {
                shard: block,
                record,
                store_lease: grant,
                sent_at: sent,
            } => {
                self.handle_shard_takeover_answer(block, record, grant, sent, answer);
            }
            PendingRequest::Load { term, stage } => {
                let shadow = &mut self.usage_replica;
                if let Some(h) = owner_of_term(holders, term) {
                    h.handle_load_answer(port, shadow, stage, answer);
                }
            }
            PendingRequest::LoadLedger { term } => {
                let shadow = &mut self.usage_replica;
                if let Some(h) = owner_of_term(holders, term) {
                    h.handle_ledger_head_answer(port, shadow, answer);
                }
            }
            PendingRequest::Watch { term } => {
                if let Some(h) = owner_of_term(holders, term) {
                    h.handle_watch_answer(port, answer);
                }
            }
            PendingRequest::CatchUp {
                term,
                sent_at: sent,
            } => {
                if let Some(h) = owner_of_term(holders, term) {
                    h.handle_catch_up_answer(port, sent, answer);
                }
            }
            PendingRequest::Write { term, batch } => {
                if let Some(h) = owner_of_term(holders, term) {
                    h.handle_write_answer(port, batch, answer);
                }
            }
            PendingRequest::Reread { term, key } => {
                if let Some(h) = owner_of_term(holders, term) {
                    h.handle_reread_answer(port, key, answer);
                }
            }
            PendingRequest::ReadFinishedJob { term, key } => {
                if let Some(h) = owner_of_term(holders, term) {
                    h.handle_finished_job_answer(&key, answer);
                }
            }
            PendingRequest::ReadJobOwner { term, job } => {
                if let Some(h) = owner_of_term(holders, term) {
                    h.handle_job_owner_answer(port, &job, answer);
                }
            }
            PendingRequest::ShowLedger {
                connection: conn,
                team,
            } => intake.handle_ledger_answer(port, conn, team, answer),
            PendingRequest::ReadDependency { job } => {
                let holder = self.shard_owners.get_mut(&0).map(|h| &mut **h);
                intake.handle_dependency_answer(port, job, answer, holder);
            }
            PendingRequest::ReadNamedJob {
                connection: conn,
                job,
            } => intake.handle_named_job_answer(port, conn, job, answer),
            PendingRequest::ListLiveJobs => intake.handle_listing_answer(port, answer),
            PendingRequest::Configuration(what) => self.handle_configuration_answer(what, answer),
            PendingRequest::AcceptJobs { jobs } => intake.handle_accept_answer(port, jobs, answer),
            PendingRequest::CancelJob {
                job,
                connections: conns,
                view,
            } => {
                intake.handle_cancel_answer(port, job, conns, view, answer);
            }
            PendingRequest::LookUpJob { .. } | PendingRequest::ReadChanges => {
                self.answer_queries(purpose, answer)
            }
        }
    }

    /// Queries are answered, with what the leader knows beside what is stored.
    fn answer_queries(&mut self, purpose: PendingRequest, answer: CallResult) {
        let (port, standing) = (&mut self.outbox, &self.membership);
        let holders = &self.shard_owners;
        let siblings = standing.running_jobs(port);
        let told = |id: &JobId| siblings.iter().find_map(|s| s.get(&**id).copied());
        let own = |id: &JobId| holders.values().find_map(|h| h.progress(id));
        let progress = |id: &JobId| own(id).or_else(|| told(id));
        match purpose {
            PendingRequest::LookUpJob {
                job,
                finished: over,
            } => {
                self.job_api
                    .handle_lookup_answer(port, job, over, answer, &progress);
            }
            _ => {
                self.job_api.handle_refresh_answer(port, answer, &progress);
                self.job_api
                    .read_dependency_outcomes(port, holders.get(&0).map(|h| &**h));
            }
        }
    }

    fn handle_takeover_answer(
        &mut self,
        record: LeaseRecord,
        grant: u64,
        sent: Micros,
        answer: CallResult,
    ) {
        let (port, standing) = (&mut self.outbox, &mut self.membership);
        let now = port.clock.now;
        standing.election.attempt_in_progress = false;
        let stamp = match &answer {
            Ok(Answer { status: 200, body }) => serde_json::from_slice::<Committed>(body).ok(),
            _ => None,
        };
        let Some(stamp) = stamp else {
            return standing.takeover_failed(port, grant, answer.ok().map(|answer| answer.status));
        };
        let (term, trusted) = (record.term, record.watermarks_reliable);
        tracing::info!(term, trusted, "leading");
        let lease = ShardLease::new(0, term, grant, stamp.version, sent, port);
        standing.election.takeover_succeeded(record, stamp.version);
        let (settings, flavors) = (port.settings.clone(), port.machine_types.clone());
        let mut cluster = Cluster::new(term, settings, flavors, now, port.clock.unix_time);
        cluster.watermarks.set_reliable(trusted);
        let mut holder = ShardOwner::new(lease, cluster);
        port.set_leader(true);
        standing.send_heartbeats_soon(now);
        holder.load_next(port, "");
        self.shard_owners.insert(0, Box::new(holder));
        self.tick();
    }

    fn handle_shard_takeover_answer(
        &mut self,
        block: u32,
        record: LeaseRecord,
        grant: u64,
        sent: Micros,
        answer: CallResult,
    ) {
        let port = &mut self.outbox;
        let status = answer.as_ref().ok().map(|a| a.status);
        let stamp = match &answer {
            Ok(Answer { status: 200, body }) => serde_json::from_slice::<Committed>(body).ok(),
            _ => None,
        };
        let Some(seat) = self.shard_assignments.assignments.get_mut(&block) else {
            return;
        };
        seat.election.attempt_in_progress = false;
        let Some(stamp) = stamp else {
            return self
                .shard_assignments
                .takeover_failed(port, block, grant, status);
        };
        let (term, trusted) = (record.term, record.watermarks_reliable);
        tracing::info!(block, term, trusted, "holds a block");
        seat.election.takeover_succeeded(record, stamp.version);
        let lease = ShardLease::new(block, term, grant, stamp.version, sent, port);
        let (settings, flavors) = (port.settings.clone(), port.machine_types.clone());
        let now = port.clock.now;
        let mut cluster = Cluster::new(term, settings, flavors, now, port.clock.unix_time);
        cluster.assign_shard(block);
        cluster.watermarks.set_reliable(trusted);
        let mut holder = ShardOwner::new(lease, cluster);
        holder.load_next(port, "");
        self.membership.send_heartbeats_soon(now);
        self.shard_owners.insert(block, Box::new(holder));
    }

    fn handle_cloud_answer(&mut self, id: u64, answer: CallResult) {
        let Some((term, call)) = self.outbox.pending_cloud_calls.remove(&id) else {
            return;
        };
        if term == 0 {
            if let Some(flavors) = cloud::decode_machine_types(&answer) {
                self.outbox.machine_types = Arc::new(flavors);
            }
            return;
        }
        if let Some(holder) = self
            .shard_owners
            .values_mut()
            .find(|h| h.lease.term == term)
        {
            holder.handle_cloud_answer(&self.outbox, call, answer);
        }
    }
}
