//! This controller and its peers: reachability of the peers, the leader, and this controller's eligibility to lead.

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
use crate::wire::peer::{
    Body, Heartbeat, OfferAmount, ShardStatus, Vote, VoteRequest, WatermarkCheck,
};
use crate::wire::store::{
    self, LEADER_KEY, LEADER_PREFIX, LEADER_TERM_KEY, LeaseGranted, LeaseRecord, Listing,
    StoreRequest, TERM_COUNTER_KEY, Transaction,
};

/// Interval between heartbeats to the peers.
const HEARTBEAT_INTERVAL: Micros = 500_000;
/// Time without a message from a peer after which the peer does not count as reachable.
const PEER_TIMEOUT: Micros = 1_800_000;
/// Time for which a leader that stepped down because it was isolated does not campaign.
const ABSTAIN_AFTER_ISOLATION: Micros = 12 * SECOND;
/// Maximum number of cancellations in one vote: this many fit into one message. A voter that knows more does not claim
/// to report all of them.
const MAX_CANCELLATIONS_PER_VOTE: usize = 10_000;

/// State of a peer according to its last messages.
#[derive(Debug, Default, Clone)]
pub(super) struct PeerStatus {
    pub last_heard_at: Option<Micros>,
    /// Term in which the peer leads; 0 if it does not lead.
    pub leading_term: u64,
    /// Whether the state service answers the peer.
    pub store_reachable: bool,
    /// Whether the peer leads or can relay workers' heartbeats to the leader.
    pub accepts_heartbeats: bool,
    running_jobs: HashMap<String, JobProgress>,
    /// Versions up to which the owners of shards have applied all changes of jobs, by shard.
    applied_versions: BTreeMap<u32, u64>,
    /// Loads of the shards that the peer owns.
    pub shard_loads: Vec<ShardLoad>,
    /// Version of the configuration in force on the peer; `None` if the peer's release does not support configuration
    /// versions.
    pub configuration_version: Option<u64>,
    /// Whether a malformed vote of the peer has been logged.
    pub malformed_vote_logged: bool,
}

/// State of the peers, and this controller's own eligibility to lead.
pub(super) struct Membership {
    /// Whether this controller may take over as leader.
    pub election: Election,
    /// Distinguishes this process from an earlier one of the same name.
    pub incarnation: u64,
    /// Peers in the settings' order.
    pub peers: Vec<PeerStatus>,
    /// Loads of this controller's own shards, as last sent to the peers.
    own_loads: Vec<ShardLoad>,
    /// Highest term of any shard, if there are several shards.
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

    // ---- Reachable peers ----

    /// Whether a message from the peer arrived within [`PEER_TIMEOUT`].
    pub fn is_reachable(&self, outbox: &Outbox, peer: usize) -> bool {
        self.peers[peer]
            .last_heard_at
            .is_some_and(|at| outbox.clock.now < at + PEER_TIMEOUT)
    }

    /// Returns the indices of all reachable peers.
    fn reachable_peers(&self, outbox: &Outbox) -> impl Iterator<Item = usize> {
        (0..self.peers.len()).filter(|peer| self.is_reachable(outbox, *peer))
    }

    /// Returns the reachable peer that reports leading in the highest term, if any does.
    pub fn leading_peer(&self, outbox: &Outbox) -> Option<usize> {
        self.reachable_peers(outbox)
            .filter(|peer| self.peers[*peer].leading_term > 0)
            .max_by_key(|peer| self.peers[*peer].leading_term)
    }

    /// Returns a peer to which to redirect a worker whose heartbeat this controller cannot handle.
    pub fn peer_accepting_heartbeats(&self, outbox: &Outbox) -> Option<usize> {
        self.reachable_peers(outbox)
            .find(|peer| self.peers[*peer].accepts_heartbeats)
    }

    /// Whether users' requests may be sent to this controller. In an outage of the state service that all controllers
    /// see, reporting the outage to users is better than turning them away. A controller that alone is cut off
    /// from the state service must not take requests.
    pub fn is_ready(&self, outbox: &Outbox) -> bool {
        if outbox.machine_types.is_empty() {
            return false;
        }
        let mut reachable = self.reachable_peers(outbox).peekable();
        let has_reachable_peers = reachable.peek().is_some();
        outbox.is_store_reachable()
            || (has_reachable_peers && reachable.all(|peer| !self.peers[peer].store_reachable))
    }

    /// Returns the progress of jobs as reported by each reachable peer.
    pub fn running_jobs<'a>(&'a self, outbox: &Outbox) -> Vec<&'a HashMap<String, JobProgress>> {
        self.reachable_peers(outbox)
            .map(|peer| &self.peers[peer].running_jobs)
            .collect()
    }

    /// Returns the loads of all shards whose owners are reachable. If two controllers report owning the same shard,
    /// the load of the later term counts.
    pub fn shard_loads(&self, outbox: &Outbox) -> Vec<ShardLoad> {
        let reachable = self.reachable_peers(outbox);
        let reported = reachable.flat_map(|peer| &self.peers[peer].shard_loads);
        let mut loads: BTreeMap<u32, ShardLoad> = BTreeMap::new();
        for load in reported.chain(&self.own_loads) {
            let known = loads.get(&load.shard);
            if known.is_none_or(|known| known.term < load.term) {
                loads.insert(load.shard, load.clone());
            }
        }
        loads.into_values().collect()
    }

    /// Returns the version up to which a peer that owns the shard, or owned it, has applied all changes of jobs; 0 if
    /// no peer has told.
    pub fn applied_version(&self, shard: u32) -> u64 {
        let versions = self.peers.iter();
        let versions = versions.filter_map(|peer| peer.applied_versions.get(&shard).copied());
        versions.max().unwrap_or(0)
    }

    // ---- Heartbeats between peers ----

    /// Returns the time at which the next heartbeat or probe is due.
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

    /// Sends heartbeats to all peers if they are due, and returns whether they were.
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
        let applied_version = |shard: u32| {
            owners
                .get(&shard)
                .map_or(0, |owner| owner.applied_version())
        };
        let encode_load = |load: &ShardLoad| ShardStatus {
            applied_version: applied_version(load.shard),
            ..encode_shard_load(machine_types, load)
        };
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
            applied_version: applied_version(0),
        }
    }

    /// Records the state that a peer's heartbeat reports.
    pub fn handle_heartbeat(&mut self, outbox: &mut Outbox, peer: usize, heartbeat: Heartbeat) {
        outbox.is_sharded |= !heartbeat.shards.is_empty();
        outbox
            .configuration
            .record_peer_version(heartbeat.newest_configuration_version);
        let shards = heartbeat.shards.iter();
        let applied_versions = shards
            .map(|shard| (shard.shard, shard.applied_version))
            .chain([(0, heartbeat.applied_version)]);
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
        for (shard, version) in applied_versions {
            let known = status.applied_versions.entry(shard).or_default();
            *known = version.max(*known);
        }
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

    /// Probes for the leader, and campaigns if there is none. Called only while this controller does not lead.
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

    /// Records the leader and its term from the answer to a probe. If one of the records cannot be parsed, the whole
    /// answer is ignored: a takeover would be conditional on the wrong versions.
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
                LEADER_TERM_KEY => last_term = lease,
                _ => {}
            }
        }
        self.election.observe(leader, last_term, listing.version);
        outbox.is_sharded |= counter.is_some();
        self.term_counter = counter;
    }

    /// Handles the answer to a request for a store lease, and takes over with that lease if this is still allowed.
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
            // This leader's knowledge of watermarks passes to its successor: if this leader does not rely on them, no
            // successor may until the watermarks cover all launches that this leader finds.
            watermarks_reliable: self.election.watermarks_reliable(),
        };
        let mut transaction = Transaction::default();
        transaction.guard(LEADER_KEY, conditions.owner_key_version);
        transaction.guard(LEADER_TERM_KEY, conditions.term_key_version);
        transaction.guard(
            TERM_COUNTER_KEY,
            counter.map_or(0, |counter| counter.version),
        );
        if counter.is_some() {
            transaction.put(TERM_COUNTER_KEY, store::to_raw_value(&record), None);
        }
        transaction.put(LEADER_KEY, store::to_raw_value(&record), Some(store_lease));
        transaction.put(LEADER_TERM_KEY, store::to_raw_value(&record), None);
        (record, transaction)
    }

    /// Handles a takeover that was refused or whose outcome is unknown; `status` is the status of the answer, if one
    /// arrived.
    pub fn takeover_failed(&mut self, outbox: &mut Outbox, store_lease: u64, status: Option<u16>) {
        let now = outbox.clock.now;
        self.election.takeover_failed(store_lease, status, now);
        self.probe_at = now;
        outbox.revoke_store_lease(0, store_lease);
    }

    /// Revokes the store lease of this controller after it has stepped down as leader. `was_isolated` tells whether the
    /// reason was that no messages arrived from workers or peers.
    pub fn handle_step_down(&mut self, outbox: &mut Outbox, store_lease: u64, was_isolated: bool) {
        let now = outbox.clock.now;
        if was_isolated {
            self.election.abstain(now + ABSTAIN_AFTER_ISOLATION);
        }
        outbox.revoke_store_lease(0, store_lease);
        self.probe_at = now;
    }

    // ---- Requests of peers ----

    /// Handles a vote request, with which a peer asks not to be replaced as shard owner for a while. This controller
    /// votes only in an outage of the state service that it sees too. The vote reports every cancellation that this
    /// controller knows and the peer may not know, because an owner whose lease is extended by votes has to act on all
    /// cancellations.
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
        // Version 0: a peer of an earlier release does not report which changes it has seen.
        let known_version = Some(request.known_version).filter(|version| *version > 0);
        let unknown = known_version
            .into_iter()
            .flat_map(|version| replica.cancelled_since(version));
        let mut jobs: Vec<JobId> = unknown
            .take(MAX_CANCELLATIONS_PER_VOTE + 1)
            .cloned()
            .collect();
        let is_complete = jobs.len() <= MAX_CANCELLATIONS_PER_VOTE;
        jobs.truncate(MAX_CANCELLATIONS_PER_VOTE);
        jobs.sort_unstable();
        jobs.dedup();
        // A process that has not read the state does not know the cancellations that an earlier process of its name
        // has confirmed.
        let has_read_state = replica.version().is_some();
        let vote = Vote {
            round: request.round,
            term: request.term,
            shard: request.shard,
            knows_cancellations: known_version.is_some() && has_read_state && is_complete,
            cancelled_jobs: store::encode_job_ids(&jobs),
            cancelled_count: jobs.len() as u32,
            configuration_version: outbox.configuration.newest_version(),
        };
        outbox.send_to_peer(peer, Body::Vote(vote));
    }

    /// Handles a peer's query whether a term's launch watermarks hold. The peer asks because it started within that
    /// term. `owner` is the shard's owner, if this controller owns the shard.
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

/// Encodes the offers that the cloud refuses to the leader, for the owners of other shards.
fn encode_refused_offers(outbox: &Outbox, leader: &ShardOwner) -> Vec<OfferAmount> {
    let refused = leader.cluster.refused_offers().into_iter();
    let encoded = refused
        .map(|(offer, left)| encode_offer(&outbox.machine_types, &offer, left / MILLISECOND));
    encoded.collect()
}

#[cfg(test)]
mod tests;
