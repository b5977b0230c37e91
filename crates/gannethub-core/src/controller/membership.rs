//! Where this controller stands among its siblings: whom it hears, who leads, and its own chances of leading.

use std::collections::{BTreeMap, HashMap};

use super::election::{Election, VOTE_DURATION};
use super::outbox::{Outbox, PROBE_INTERVAL, PendingRequest};
use super::shard_owner::{ShardOwner, ShardOwners};
use crate::http::{CallResult, decode_ok};
use crate::model::{JobId, MachineType, Micros, Resources, SECOND};
use crate::state::fleet::Offer;
use crate::state::job_replica::JobReplica;
use crate::state::shard_load::ShardLoad;
use crate::wire::budget::Urgency;
use crate::wire::peer::{
    Body, Heartbeat, OfferAmount, ShardStatus, TeamStatus, Vote, VoteRequest, WatermarkCheck,
};
use crate::wire::store::{
    self, LEADER_KEY, LEADER_PREFIX, LeaseGranted, LeaseRecord, Listing, StoreRequest,
    TERM_COUNTER_KEY, TERM_KEY, Transaction,
};

const HEARTBEAT_INTERVAL: Micros = 500_000;
/// A sibling that was not heard for this long does not count as reachable.
const PEER_TIMEOUT: Micros = 1_800_000;
/// One that heard nobody does not lead for this long.
const ABSTAIN_AFTER_ISOLATION: Micros = 12 * SECOND;
/// Cancellations that one promise tells of: so many fit into a message. With more, it does not claim to tell all.
const MAX_CANCELLATIONS_PER_VOTE: usize = 10_000;

#[derive(Debug, Default, Clone)]
pub(super) struct PeerStatus {
    pub last_heard_at: Option<Micros>,
    pub leading_term: u64,
    pub store_reachable: bool,
    pub accepts_heartbeats: bool,
    /// Tasks on machines and done, by job, as it last told.
    running_jobs: HashMap<String, (u32, u32)>,
    /// How the blocks stand that it holds.
    pub shard_loads: Vec<ShardLoad>,
    /// The version of the configuration in force there; `None`: it is of a release that knows of none.
    pub configuration_version: Option<u64>,
    /// It has promised something that makes no sense, and that was logged.
    pub malformed_vote_logged: bool,
}

pub(super) struct Membership {
    pub election: Election,
    /// Tells this process from an earlier one of the same name.
    pub incarnation: u64,
    pub peers: Vec<PeerStatus>,
    /// How its own blocks stood when it last told.
    own_loads: Vec<ShardLoad>,
    /// The highest term of any block, where there are several.
    term_counter: Option<(LeaseRecord, u64)>,
    probe_in_flight: bool,
    probe_at: Micros,
    heartbeat_at: Micros,
}

impl Membership {
    pub fn new(port: &Outbox) -> Membership {
        Membership {
            election: Election::new(&port.settings.name, port.clock.now),
            incarnation: port.clock.unix_time,
            peers: vec![PeerStatus::default(); port.settings.siblings.len()],
            own_loads: Vec::new(),
            term_counter: None,
            probe_in_flight: false,
            probe_at: 0,
            heartbeat_at: 0,
        }
    }

    pub(super) fn is_heard(&self, port: &Outbox, i: usize) -> bool {
        self.peers[i]
            .last_heard_at
            .is_some_and(|t| port.clock.now < t + PEER_TIMEOUT)
    }

    /// The sibling that says it leads, and can be heard.
    pub(super) fn leading_peer(&self, port: &Outbox) -> Option<usize> {
        (0..self.peers.len())
            .filter(|&i| self.is_heard(port, i) && self.peers[i].leading_term > 0)
            .max_by_key(|&i| self.peers[i].leading_term)
    }

    pub(super) fn is_ready(&self, port: &Outbox) -> bool {
        if port.machine_types.is_empty() {
            return false;
        }
        // In an outage that everybody sees, users are better told so than turned away; a
        // controller that alone is cut off from the state service must not take requests.
        let others = || (0..self.peers.len()).filter(|&i| self.is_heard(port, i));
        port.is_store_reachable()
            || (others().count() > 0 && others().all(|i| !self.peers[i].store_reachable))
    }

    pub(super) fn handle_probe_answer(&mut self, port: &mut Outbox, answer: CallResult) {
        self.probe_in_flight = false;
        let listing = decode_ok::<Listing>(&answer);
        let Some(listing) = listing else { return };
        let mut holder = None;
        let (mut term, mut count) = (None, None);
        for item in &listing.items {
            let Some(record) = item.decode::<LeaseRecord>() else {
                return;
            };
            match item.key.as_str() {
                TERM_COUNTER_KEY => count = Some((record, item.version)),
                LEADER_KEY => holder = Some((record, item.version)),
                TERM_KEY => term = Some((record, item.version)),
                _ => {}
            }
        }
        self.election.observe(holder, term);
        port.is_sharded |= count.is_some();
        self.term_counter = count;
    }

    pub(super) fn handle_store_lease_answer(
        &mut self,
        port: &mut Outbox,
        sent: Micros,
        answer: CallResult,
    ) {
        let granted = decode_ok::<LeaseGranted>(&answer);
        let Some(granted) = granted else {
            self.election.attempt_in_progress = false;
            return;
        };
        if !self.election.is_eligible(port.clock.now) {
            self.election.attempt_in_progress = false;
            return port.revoke_store_lease(0, granted.lease_id);
        }
        let (holder, term, last) = self.election.versions();
        // What this leader knows of marks, its own successor will: if it does not go by them, nobody is to until
        // it has covered all that it finds.
        let marked = self.election.watermarks_reliable();
        let counted = self.term_counter.as_ref().map_or(0, |c| c.0.term);
        let next = last.max(counted) + 1;
        let record = LeaseRecord {
            owner: port.settings.name.clone(),
            term: next,
            watermarks_reliable: marked,
        };
        let mut commit = Transaction::default();
        commit.guard(LEADER_KEY, holder);
        commit.guard(TERM_KEY, term);
        commit.guard(
            TERM_COUNTER_KEY,
            self.term_counter.as_ref().map_or(0, |c| c.1),
        );
        if self.term_counter.is_some() {
            commit.put(TERM_COUNTER_KEY, store::to_raw_value(&record), None);
        }
        commit.put(
            LEADER_KEY,
            store::to_raw_value(&record),
            Some(granted.lease_id),
        );
        commit.put(TERM_KEY, store::to_raw_value(&record), None);
        let purpose = PendingRequest::TakeOver {
            record,
            store_lease: granted.lease_id,
            sent_at: sent,
        };
        port.send_to_store(Urgency::Renewal, commit.to_request(), purpose);
    }

    /// Tells all siblings how it stands, every so often. True: it was time to.
    pub fn send_heartbeats(&mut self, port: &mut Outbox, holders: &ShardOwners) -> bool {
        let now = port.clock.now;
        if now < self.heartbeat_at {
            return false;
        }
        self.heartbeat_at = now + HEARTBEAT_INTERVAL;
        let leader = holders.get(&0);
        let several = port.is_sharded;
        let own: Vec<ShardLoad> = holders
            .values()
            .filter(|_| several)
            .map(|h| h.cluster.shard_load())
            .collect();
        let refused = leader
            .filter(|_| several)
            .map(|h| h.cluster.refused_offers());
        let flavors = &port.machine_types;
        let refused = refused
            .into_iter()
            .flatten()
            .map(|(o, left)| encode_offer(flavors, &o, left / 1000));
        let beat = Heartbeat {
            leading_term: leader.map_or(0, |h| h.lease.term),
            store_reachable: port.is_store_reachable(),
            accepts_heartbeats: leader.is_some() || self.leading_peer(port).is_some(),
            running_jobs: holders.values().flat_map(|h| h.running_jobs()).collect(),
            shards: own.iter().map(|l| encode_shard_load(flavors, l)).collect(),
            refused_offers: refused.collect(),
            supports_configuration: true,
            configuration_version: port.configuration.version(),
            newest_configuration_version: port.configuration.newest_version(),
        };
        self.own_loads = own;
        for i in 0..self.peers.len() {
            port.send_to_peer(i, Body::Heartbeat(beat.clone()));
        }
        true
    }

    /// When it has something to say or to ask next.
    pub fn next_due_at(&self) -> Micros {
        if self.probe_in_flight {
            self.heartbeat_at
        } else {
            self.heartbeat_at.min(self.probe_at)
        }
    }

    /// All siblings are to be told without delay.
    pub fn send_heartbeats_soon(&mut self, now: Micros) {
        self.heartbeat_at = now;
    }

    /// Tasks on machines and done, by job, as each holder that is heard told.
    pub fn running_jobs<'a>(&'a self, port: &Outbox) -> Vec<&'a HashMap<String, (u32, u32)>> {
        let heard = (0..self.peers.len()).filter(|i| self.is_heard(port, *i));
        heard.map(|i| &self.peers[i].running_jobs).collect()
    }

    /// How all blocks stand whose holders are heard; of one that two say they hold, as the newer says.
    pub fn shard_loads(&self, port: &Outbox) -> Vec<ShardLoad> {
        let heard = (0..self.peers.len()).filter(|i| self.is_heard(port, *i));
        let all = heard
            .flat_map(|i| &self.peers[i].shard_loads)
            .chain(&self.own_loads);
        let mut loads: BTreeMap<u32, ShardLoad> = BTreeMap::new();
        for load in all {
            let newer = loads.get(&load.shard).is_none_or(|l| l.term < load.term);
            if newer {
                loads.insert(load.shard, load.clone());
            }
        }
        loads.into_values().collect()
    }

    /// A sibling to send a worker to that this controller cannot help.
    pub fn peer_accepting_heartbeats(&self, port: &Outbox) -> Option<usize> {
        let helps = |i: &usize| self.is_heard(port, *i) && self.peers[*i].accepts_heartbeats;
        (0..self.peers.len()).find(helps)
    }

    /// Looks who leads, and tries to, if nobody does.
    pub fn tick(&mut self, port: &mut Outbox) {
        let now = port.clock.now;
        if let Some(term) = self.election.watermark_query_due(now) {
            let ask = WatermarkCheck {
                term,
                incarnation: self.incarnation,
                shard: 0,
            };
            (0..self.peers.len())
                .for_each(|i| port.send_to_peer(i, Body::WatermarkQuery(ask.clone())));
        }
        if !self.probe_in_flight && now >= self.probe_at {
            self.probe_in_flight = true;
            self.probe_at = now + PROBE_INTERVAL;
            port.send_to_store(
                Urgency::Renewal,
                StoreRequest::list(LEADER_PREFIX, ""),
                PendingRequest::ProbeLeader,
            );
        }
        if let Some(grant) = self.election.store_lease_to_revoke(now) {
            port.revoke_store_lease(0, grant);
        }
        if !port.machine_types.is_empty() && self.election.may_campaign(now) {
            self.election.attempt_in_progress = true;
            let request = StoreRequest::acquire_lease(port.store_lease_ttl());
            port.send_to_store(
                Urgency::Renewal,
                request,
                PendingRequest::AcquireStoreLease { sent_at: now },
            );
        }
    }

    /// A takeover was not carried out, or nothing is known of it.
    pub fn takeover_failed(&mut self, port: &mut Outbox, grant: u64, answer: Option<u16>) {
        self.election.takeover_failed(grant, answer, port.clock.now);
        self.probe_at = port.clock.now;
        port.revoke_store_lease(0, grant);
    }

    /// It led, and gives its grant back. `deaf`: since it heard nobody.
    pub fn handle_step_down(&mut self, port: &mut Outbox, grant: u64, deaf: bool) {
        let now = port.clock.now;
        if deaf {
            self.election.abstain(now + ABSTAIN_AFTER_ISOLATION);
        }
        port.revoke_store_lease(0, grant);
        self.probe_at = now;
    }

    pub fn handle_heartbeat(&mut self, port: &mut Outbox, i: usize, beat: Heartbeat) {
        port.is_sharded |= !beat.shards.is_empty();
        let sibling = &mut self.peers[i];
        sibling.shard_loads = beat
            .shards
            .iter()
            .map(|b| decode_shard_load(&port.machine_types, b, i))
            .collect();
        sibling.leading_term = beat.leading_term;
        sibling.configuration_version = beat
            .supports_configuration
            .then_some(beat.configuration_version);
        port.configuration
            .record_peer_version(beat.newest_configuration_version);
        sibling.store_reachable = beat.store_reachable;
        sibling.accepts_heartbeats = beat.accepts_heartbeats;
        let running = beat.running_jobs.into_iter();
        sibling.running_jobs = running.map(|r| (r.job, (r.tasks, r.done))).collect();
    }

    /// A sibling asks not to be replaced for a while. Only an outage that this controller sees too is a reason.
    /// With the promise goes every cancellation that this controller knows of and the sibling may not: whom it carries
    /// through an outage has to act on them.
    pub fn handle_vote_request(
        port: &mut Outbox,
        candidacy: &mut Election,
        copy: &JobReplica,
        i: usize,
        ask: &VoteRequest,
    ) {
        let micros = ask.duration.min(VOTE_DURATION);
        if port.is_store_failing() && candidacy.vote(ask.term, port.clock.now, micros) {
            let (round, term, block) = (ask.round, ask.term, ask.shard);
            let asked = Some(ask.known_version).filter(|known| *known > 0);
            let since = asked
                .into_iter()
                .flat_map(|known| copy.cancelled_since(known));
            let mut ids: Vec<JobId> = since
                .take(MAX_CANCELLATIONS_PER_VOTE + 1)
                .cloned()
                .collect();
            let all = ids.len() <= MAX_CANCELLATIONS_PER_VOTE;
            ids.truncate(MAX_CANCELLATIONS_PER_VOTE);
            ids.sort_unstable();
            ids.dedup();
            // A process that has not read the state does not know what an earlier one of its name has confirmed.
            let knows = asked.is_some() && copy.version().is_some() && all;
            let (count, cancelled) = (ids.len() as u32, store::encode_job_ids(&ids));
            let configuration = port.configuration.newest_version();
            let promise = Vote {
                round,
                term,
                shard: block,
                knows_cancellations: knows,
                cancelled_jobs: cancelled,
                cancelled_count: count,
                configuration_version: configuration,
            };
            port.send_to_peer(i, Body::Vote(promise));
        }
    }

    /// A sibling that began within a term asks whether its marks hold.
    pub fn handle_watermark_query(
        port: &mut Outbox,
        candidacy: &Election,
        i: usize,
        ask: WatermarkCheck,
        holder: Option<&ShardOwner>,
    ) {
        let leads = holder.filter(|h| h.lease.term == ask.term);
        let holds = match leads {
            Some(holder) => !holder.cluster.watermarks.not_required,
            None => candidacy.knows_watermarks_hold(ask.term),
        };
        if holds {
            port.send_to_peer(i, Body::WatermarkConfirmation(ask));
        }
    }
}

fn encode_offer(flavors: &[MachineType], offer: &Offer, number: u64) -> OfferAmount {
    let flavor = flavors
        .get(offer.machine_type)
        .map_or(String::new(), |f| f.name.to_string());
    OfferAmount {
        machine_type: flavor,
        zone: offer.zone.clone(),
        spot: offer.spot,
        amount: number,
    }
}

/// The offer that a sibling means, if its type of machine is known here.
pub(super) fn decode_offer(flavors: &[MachineType], told: &OfferAmount) -> Option<Offer> {
    let flavor = flavors.iter().position(|f| *f.name == *told.machine_type)?;
    Some(Offer {
        machine_type: flavor,
        zone: told.zone.clone(),
        spot: told.spot,
    })
}

fn encode_shard_load(flavors: &[MachineType], load: &ShardLoad) -> ShardStatus {
    let teams = load.teams.iter().map(|(used, waits)| TeamStatus {
        used_cpu: used.cpu,
        used_gpu: used.gpu,
        waiting_cpu: waits.cpu,
        waiting_gpu: waits.gpu,
    });
    let wants = load
        .machine_demand
        .iter()
        .map(|(offer, n)| encode_offer(flavors, offer, u64::from(*n)));
    ShardStatus {
        shard: load.shard,
        term: load.term,
        backlog_cpu: load.backlog_cpu,
        waiting_cpu: load.waiting_cpu,
        free_cpu: load.free_cpu,
        teams: teams.collect(),
        machine_demand: wants.collect(),
    }
}

fn decode_shard_load(flavors: &[MachineType], b: &ShardStatus, i: usize) -> ShardLoad {
    let amount = |cpu: i64, gpu: i64| Resources {
        cpu: cpu.max(0),
        gpu: gpu.max(0),
        memory: 0,
    };
    let teams = b.teams.iter();
    let teams = teams
        .map(|t| {
            (
                amount(t.used_cpu, t.used_gpu),
                amount(t.waiting_cpu, t.waiting_gpu),
            )
        })
        .collect();
    let want = |o: &OfferAmount| Some((decode_offer(flavors, o)?, u32::try_from(o.amount).ok()?));
    ShardLoad {
        shard: b.shard,
        term: b.term,
        owner: Some(i),
        backlog_cpu: b.backlog_cpu,
        waiting_cpu: b.waiting_cpu,
        free_cpu: b.free_cpu,
        teams,
        machine_demand: b.machine_demand.iter().filter_map(want).collect(),
    }
}

#[cfg(test)]
mod tests;
