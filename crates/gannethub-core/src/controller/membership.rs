//! This controller and its peers: which of them are reachable, who leads, and whether this controller may take over.

use std::collections::{BTreeMap, HashMap};

use super::election::{Election, StoredLease};
use super::job_views::JobProgress;
use super::lease_validity::VOTE_DURATION;
use super::load_messages::{decode_shard_load, encode_offer, encode_shard_load};
use super::outbox::{Outbox, PROBE_INTERVAL};
use super::pending_request::{AcquiredLease, MembershipRequest, Takeover};
use super::shard_owner::{ShardOwner, ShardOwners};
use crate::http::{CallResult, decode_ok};
use crate::model::{JobId, MILLISECOND, Micros, SECOND};
use crate::state::job_replica::JobReplica;
use crate::state::shard_load::ShardLoad;
use crate::wire::budget::Urgency;
use crate::wire::peer::{Body, Heartbeat, OfferAmount, Vote, VoteRequest, WatermarkCheck};
use crate::wire::store::{
    self, LEADER_KEY, LEADER_PREFIX, LeaseGranted, LeaseRecord, Listing, StoreRequest,
    TERM_COUNTER_KEY, TERM_KEY, Transaction,
};

/// Heartbeats are sent to the peers this often.
const HEARTBEAT_INTERVAL: Micros = 500_000;
/// A peer that was not heard for this long does not count as reachable.
const PEER_TIMEOUT: Micros = 1_800_000;
/// A leader that stepped down because it heard nobody does not campaign for this long.
const ABSTAIN_AFTER_ISOLATION: Micros = 12 * SECOND;
/// Cancellations that one vote tells of: so many fit into a message. With more, it does not claim to tell all.
const MAX_CANCELLATIONS_PER_VOTE: usize = 10_000;
/// A peer, as its last messages tell.
#[derive(Debug, Default, Clone)]
pub(super) struct PeerStatus {
    pub last_heard_at: Option<Micros>,
    /// The term that it leads in; 0: it does not lead.
    pub leading_term: u64,
    /// The state service answers it.
    pub store_reachable: bool,
    /// It leads, or can pass workers' heartbeats on to the leader.
    pub accepts_heartbeats: bool,
    running_jobs: HashMap<String, JobProgress>,
    /// The loads of the shards that it owns.
    pub shard_loads: Vec<ShardLoad>,
    /// The version of the configuration in force there; `None`: its release knows of none.
    pub configuration_version: Option<u64>,
    /// It has sent a vote that could not be read in full, and that was logged.
    pub malformed_vote_logged: bool,
}

/// See the [module](self).
pub(super) struct Membership {
    /// Whether this controller may take over as leader.
    pub election: Election,
    /// Tells this process from an earlier one of the same name.
    pub incarnation: u64,
    /// In the settings' order.
    pub peers: Vec<PeerStatus>,
    /// The loads of its own shards when it last told them.
    own_loads: Vec<ShardLoad>,
    /// The highest term of any shard, where there are several.
    term_counter: Option<StoredLease>,
    probe_in_flight: bool,
    probe_at: Micros,
    heartbeat_at: Micros,
}

impl Membership {
    pub fn new(outbox: &Outbox) -> Membership {
        Membership {
            election: Election::new(&outbox.settings.name, outbox.clock.now),
            incarnation: outbox.clock.unix_time,
            peers: vec![PeerStatus::default(); outbox.settings.peers.len()],
            own_loads: Vec::new(),
            term_counter: None,
            probe_in_flight: false,
            probe_at: 0,
            heartbeat_at: 0,
        }
    }

    // ---- Who is heard ----

    /// Whether the peer was heard lately.
    pub fn is_heard(&self, outbox: &Outbox, peer: usize) -> bool {
        self.peers[peer]
            .last_heard_at
            .is_some_and(|at| outbox.clock.now < at + PEER_TIMEOUT)
    }

    /// Indices of all peers that were heard lately.
    fn heard_peers(&self, outbox: &Outbox) -> impl Iterator<Item = usize> {
        (0..self.peers.len()).filter(|peer| self.is_heard(outbox, *peer))
    }

    /// The peer that says it leads, if one that is heard does.
    pub fn leading_peer(&self, outbox: &Outbox) -> Option<usize> {
        self.heard_peers(outbox)
            .filter(|peer| self.peers[*peer].leading_term > 0)
            .max_by_key(|peer| self.peers[*peer].leading_term)
    }

    /// A peer to send a worker to that this controller cannot help.
    pub fn peer_accepting_heartbeats(&self, outbox: &Outbox) -> Option<usize> {
        self.heard_peers(outbox)
            .find(|peer| self.peers[*peer].accepts_heartbeats)
    }

    /// Whether users' requests may come here. In an outage that all controllers see, users are better told so than turned
    /// away; a controller that alone is cut off from the state service must not take requests.
    pub fn is_ready(&self, outbox: &Outbox) -> bool {
        if outbox.machine_types.is_empty() {
            return false;
        }
        let mut heard = self.heard_peers(outbox).peekable();
        let hears_others = heard.peek().is_some();
        outbox.is_store_reachable()
            || (hears_others && heard.all(|peer| !self.peers[peer].store_reachable))
    }

    /// The progress of jobs as each peer that is heard told it.
    pub fn running_jobs<'a>(&'a self, outbox: &Outbox) -> Vec<&'a HashMap<String, JobProgress>> {
        self.heard_peers(outbox)
            .map(|peer| &self.peers[peer].running_jobs)
            .collect()
    }

    /// The loads of all shards whose owners are heard; of a shard that two say they own, the one of the later term.
    pub fn shard_loads(&self, outbox: &Outbox) -> Vec<ShardLoad> {
        let heard = self.heard_peers(outbox);
        let told = heard.flat_map(|peer| &self.peers[peer].shard_loads);
        let mut loads: BTreeMap<u32, ShardLoad> = BTreeMap::new();
        for load in told.chain(&self.own_loads) {
            let known = loads.get(&load.shard);
            if known.is_none_or(|known| known.term < load.term) {
                loads.insert(load.shard, load.clone());
            }
        }
        loads.into_values().collect()
    }

    // ---- Heartbeats between peers ----

    /// When it next has a heartbeat or a probe to send.
    pub fn next_due_at(&self) -> Micros {
        if self.probe_in_flight {
            self.heartbeat_at
        } else {
            self.heartbeat_at.min(self.probe_at)
        }
    }

    /// Makes the next tick send heartbeats without delay.
    pub fn send_heartbeats_soon(&mut self, now: Micros) {
        self.heartbeat_at = now;
    }

    /// Sends heartbeats to all peers if they are due, and says whether they were.
    pub fn send_heartbeats(&mut self, outbox: &mut Outbox, owners: &ShardOwners) -> bool {
        let now = outbox.clock.now;
        if now < self.heartbeat_at {
            return false;
        }
        self.heartbeat_at = now + HEARTBEAT_INTERVAL;
        self.own_loads = match outbox.is_sharded {
            true => owners
                .values()
                .map(|owner| owner.cluster.shard_load())
                .collect(),
            false => Vec::new(),
        };
        let heartbeat = self.heartbeat(outbox, owners);
        outbox.send_to_all_peers(&Body::Heartbeat(heartbeat));
        true
    }

    fn heartbeat(&self, outbox: &Outbox, owners: &ShardOwners) -> Heartbeat {
        let leader = owners.get(&0);
        let machine_types = &outbox.machine_types;
        let encode_load = |load| encode_shard_load(machine_types, load);
        let running = owners.values().flat_map(|owner| owner.running_jobs());
        Heartbeat {
            leading_term: leader.map_or(0, |leader| leader.lease.term),
            store_reachable: outbox.is_store_reachable(),
            accepts_heartbeats: leader.is_some() || self.leading_peer(outbox).is_some(),
            running_jobs: running.collect(),
            shards: self.own_loads.iter().map(encode_load).collect(),
            refused_offers: match leader {
                Some(leader) if outbox.is_sharded => encode_refused_offers(outbox, leader),
                _ => Vec::new(),
            },
            supports_configuration: true,
            configuration_version: outbox.configuration.version(),
            newest_configuration_version: outbox.configuration.newest_version(),
        }
    }

    /// Takes in a peer's heartbeat.
    pub fn handle_heartbeat(&mut self, outbox: &mut Outbox, peer: usize, heartbeat: Heartbeat) {
        outbox.is_sharded |= !heartbeat.shards.is_empty();
        outbox
            .configuration
            .record_peer_version(heartbeat.newest_configuration_version);
        let loads = heartbeat.shards.iter();
        let loads = loads.map(|load| decode_shard_load(&outbox.machine_types, load, peer));
        let running = heartbeat.running_jobs.into_iter().map(|job| {
            let progress = JobProgress {
                running: job.tasks,
                done: job.done,
            };
            (job.job, progress)
        });
        let status = &mut self.peers[peer];
        status.shard_loads = loads.collect();
        status.running_jobs = running.collect();
        status.leading_term = heartbeat.leading_term;
        status.configuration_version = heartbeat
            .supports_configuration
            .then_some(heartbeat.configuration_version);
        status.store_reachable = heartbeat.store_reachable;
        status.accepts_heartbeats = heartbeat.accepts_heartbeats;
    }

    // ---- Leading ----

    /// Probes who leads, and campaigns if nobody does. Called only while this controller does not lead.
    pub fn tick(&mut self, outbox: &mut Outbox) {
        let now = outbox.clock.now;
        if let Some(term) = self.election.watermark_query_due(now) {
            let query = WatermarkCheck {
                term,
                incarnation: self.incarnation,
                shard: 0,
            };
            outbox.send_to_all_peers(&Body::WatermarkQuery(query));
        }
        if !self.probe_in_flight && now >= self.probe_at {
            self.probe_in_flight = true;
            self.probe_at = now + PROBE_INTERVAL;
            let request = StoreRequest::list(LEADER_PREFIX, "");
            outbox.send_to_store(Urgency::Renewal, request, MembershipRequest::Probe);
        }
        if let Some(store_lease) = self.election.store_lease_to_revoke(now) {
            outbox.revoke_store_lease(0, store_lease);
        }
        if !outbox.machine_types.is_empty() && self.election.may_campaign(now) {
            self.election.attempt_in_progress = true;
            let request = StoreRequest::acquire_lease(outbox.store_lease_ttl());
            let pending = MembershipRequest::AcquireLease { requested_at: now };
            outbox.send_to_store(Urgency::Renewal, request, pending);
        }
    }

    /// Takes in the records of who leads. Where one of them cannot be read, nothing is taken in: a takeover would be
    /// conditional on the wrong versions.
    pub fn handle_probe_answer(&mut self, outbox: &mut Outbox, answer: &CallResult) {
        self.probe_in_flight = false;
        let Some(listing) = decode_ok::<Listing>(answer) else {
            return;
        };
        let (mut leader, mut last_term, mut counter) = (None, None, None);
        for item in &listing.items {
            let Some(record) = item.decode::<LeaseRecord>() else {
                return;
            };
            let lease = Some(StoredLease {
                record,
                version: item.version,
            });
            match item.key.as_str() {
                TERM_COUNTER_KEY => counter = lease,
                LEADER_KEY => leader = lease,
                TERM_KEY => last_term = lease,
                _ => {}
            }
        }
        self.election.observe(leader, last_term);
        outbox.is_sharded |= counter.is_some();
        self.term_counter = counter;
    }

    /// Takes in the answer to a request for a lease, and takes over with it if that is still allowed.
    pub fn handle_lease_answer(
        &mut self,
        outbox: &mut Outbox,
        requested_at: Micros,
        answer: &CallResult,
    ) {
        let Some(granted) = decode_ok::<LeaseGranted>(answer) else {
            self.election.attempt_in_progress = false;
            return;
        };
        let store_lease = granted.lease_id;
        if !self.election.is_eligible(outbox.clock.now) {
            self.election.attempt_in_progress = false;
            return outbox.revoke_store_lease(0, store_lease);
        }
        let (record, transaction) = self.takeover(outbox, store_lease);
        let lease = AcquiredLease {
            shard: 0,
            store_lease,
            requested_at,
        };
        let pending = MembershipRequest::TakeOver(Takeover { lease, record });
        outbox.send_to_store(Urgency::Renewal, transaction.to_request(), pending);
    }

    fn takeover(&self, outbox: &Outbox, store_lease: u64) -> (LeaseRecord, Transaction) {
        let conditions = self.election.conditions();
        let counter = self.term_counter.as_ref();
        let highest_term = conditions
            .last_term
            .max(counter.map_or(0, |counter| counter.record.term));
        let record = LeaseRecord {
            owner: outbox.settings.name.clone(),
            term: highest_term + 1,
            // What this leader knows of watermarks, its own successor will: if it does not go by them, nobody is to until
            // it has covered all that it finds.
            watermarks_reliable: self.election.watermarks_reliable(),
        };
        let mut transaction = Transaction::default();
        transaction.guard(LEADER_KEY, conditions.owner_key_version);
        transaction.guard(TERM_KEY, conditions.term_key_version);
        transaction.guard(
            TERM_COUNTER_KEY,
            counter.map_or(0, |counter| counter.version),
        );
        if counter.is_some() {
            transaction.put(TERM_COUNTER_KEY, store::to_raw_value(&record), None);
        }
        transaction.put(LEADER_KEY, store::to_raw_value(&record), Some(store_lease));
        transaction.put(TERM_KEY, store::to_raw_value(&record), None);
        (record, transaction)
    }

    /// A takeover was not carried out, or nothing is known of it; `status` is the answer's, if one came.
    pub fn takeover_failed(&mut self, outbox: &mut Outbox, store_lease: u64, status: Option<u16>) {
        let now = outbox.clock.now;
        self.election.takeover_failed(store_lease, status, now);
        self.probe_at = now;
        outbox.revoke_store_lease(0, store_lease);
    }

    /// This controller led, and gives its lease back. `was_isolated`: since it heard nobody.
    pub fn handle_step_down(&mut self, outbox: &mut Outbox, store_lease: u64, was_isolated: bool) {
        let now = outbox.clock.now;
        if was_isolated {
            self.election.abstain(now + ABSTAIN_AFTER_ISOLATION);
        }
        outbox.revoke_store_lease(0, store_lease);
        self.probe_at = now;
    }

    // ---- Requests of peers ----

    /// A peer asks not to be replaced for a while. Only an outage that this controller sees too is a reason. With the vote
    /// goes every cancellation that this controller knows of and the peer may not: whom it carries through an outage has to
    /// act on them.
    pub fn handle_vote_request(
        outbox: &mut Outbox,
        election: &mut Election,
        replica: &JobReplica,
        peer: usize,
        request: &VoteRequest,
    ) {
        let duration = request.duration.min(VOTE_DURATION);
        if !outbox.is_store_failing() || !election.vote(request.term, outbox.clock.now, duration) {
            return;
        }
        // A release before does not say which changes the peer has seen.
        let known_version = Some(request.known_version).filter(|version| *version > 0);
        let unknown = known_version
            .into_iter()
            .flat_map(|version| replica.cancelled_since(version));
        let mut jobs: Vec<JobId> = unknown
            .take(MAX_CANCELLATIONS_PER_VOTE + 1)
            .cloned()
            .collect();
        let are_all = jobs.len() <= MAX_CANCELLATIONS_PER_VOTE;
        jobs.truncate(MAX_CANCELLATIONS_PER_VOTE);
        jobs.sort_unstable();
        jobs.dedup();
        // A process that has not read the state does not know what an earlier one of its name has confirmed.
        let has_read_state = replica.version().is_some();
        let vote = Vote {
            round: request.round,
            term: request.term,
            shard: request.shard,
            knows_cancellations: known_version.is_some() && has_read_state && are_all,
            cancelled_jobs: store::encode_job_ids(&jobs),
            cancelled_count: jobs.len() as u32,
            configuration_version: outbox.configuration.newest_version(),
        };
        outbox.send_to_peer(peer, Body::Vote(vote));
    }

    /// A peer that began within a term asks whether the term's watermarks hold. `owner`: the shard's owner, if it is this
    /// controller.
    pub fn handle_watermark_query(
        outbox: &mut Outbox,
        election: &Election,
        peer: usize,
        query: WatermarkCheck,
        owner: Option<&ShardOwner>,
    ) {
        let owner = owner.filter(|owner| owner.lease.term == query.term);
        let watermarks_hold = match owner {
            Some(owner) => !owner.cluster.watermarks.not_required,
            None => election.knows_watermarks_hold(query.term),
        };
        if watermarks_hold {
            outbox.send_to_peer(peer, Body::WatermarkConfirmation(query));
        }
    }
}

/// What the cloud refuses the leader, for the owners of other shards.
fn encode_refused_offers(outbox: &Outbox, leader: &ShardOwner) -> Vec<OfferAmount> {
    let refused = leader.cluster.refused_offers().into_iter();
    let told = refused
        .map(|(offer, left)| encode_offer(&outbox.machine_types, &offer, left / MILLISECOND));
    told.collect()
}

#[cfg(test)]
mod tests;
