//! Ownership of the shards other than 0: this controller probes for shards without an owner, takes them over in an
//! order that all controllers agree on, and transfers shards to a peer that owns none.

use std::collections::{BTreeMap, BTreeSet};

use super::election::{Election, StoredLease};
use super::membership::Membership;
use super::outbox::{Outbox, PROBE_INTERVAL};
use super::pending_request::{AcquiredLease, AssignmentRequest, Takeover};
use super::shard_owner::{ShardOwner, ShardOwners};
use crate::http::{CallResult, decode_ok};
use crate::model::{Micros, SECOND};
use crate::wire::budget::Urgency;
use crate::wire::peer::{Body, WatermarkCheck};
use crate::wire::store::{
    self, LEADER_PREFIX, LEADER_TERM_KEY, LeaseGranted, LeaseRecord, Listing,
    SHARD_ASSIGNMENT_PREFIX, StoreRequest, StoredValue, TERM_COUNTER_KEY, Transaction,
    assignment_keys,
};

/// Interval between probes for surplus shards while no shard other than 0 is known.
const SURPLUS_PROBE_INTERVAL: Micros = 5 * SECOND;
/// Time for which an unowned shard is left to each controller that precedes this one in the takeover order.
const TAKEOVER_STAGGER: Micros = 700_000;
/// Time for which a peer must have been reachable before a shard is transferred to it.
const PEER_STABLE_TIME: Micros = 8 * SECOND;
/// Minimum interval between shard transfers, because the peer may be unable to take over the shard.
const TRANSFER_INTERVAL: Micros = 30 * SECOND;
/// Time for which a controller that transferred a shard, or stepped down because it was isolated, does not take the
/// shard back.
const ABSTAIN_AFTER_TRANSFER: Micros = 6 * SECOND;

/// Ownership of one shard as this controller knows it.
#[derive(Debug)]
pub(super) struct ShardAssignment {
    /// Eligibility of this controller to own the shard.
    pub election: Election,
    /// Time since which this controller has been eligible to take over the shard.
    unowned_since: Option<Micros>,
}

/// Kinds of stepping down from a shard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum StepDownKind {
    /// The owner stepped down for any other reason, such as the end of its lease.
    Ended,
    /// The owner received no messages from workers or peers.
    Isolated,
    /// The shard is transferred to a peer.
    Transferred,
}

/// All shards other than 0 that the settings or the records in the state service name.
#[derive(Debug, Default)]
pub(super) struct ShardAssignments {
    assignments: BTreeMap<u32, ShardAssignment>,
    probe_in_flight: bool,
    probe_at: Micros,
    /// Time since which each peer has been reachable without interruption, in the settings' order of peers.
    reachable_since: Vec<Option<Micros>>,
    /// Time of this controller's last transfer of a shard.
    last_transfer_at: Option<Micros>,
    /// Keys that cannot be parsed. Each is logged once.
    malformed_keys: BTreeSet<String>,
}

/// Ownership records of one shard.
#[derive(Clone, Debug, Default)]
struct AssignmentRecords {
    owner: Option<StoredLease>,
    last_term: Option<StoredLease>,
    /// Whether one of the records exists but cannot be parsed.
    is_unreadable: bool,
}

/// A term and the version of its key; both are 0 if the key does not exist.
#[derive(Clone, Copy, Debug, Default)]
struct StoredTerm {
    term: u64,
    version: u64,
}

impl ShardAssignments {
    /// Returns this controller's eligibility to own a shard, if the shard is known here.
    pub fn election(&self, shard: u32) -> Option<&Election> {
        Some(&self.assignments.get(&shard)?.election)
    }

    /// Returns the mutable counterpart of [`Self::election`].
    pub fn election_mut(&mut self, shard: u32) -> Option<&mut Election> {
        Some(&mut self.assignments.get_mut(&shard)?.election)
    }

    fn assignment(&mut self, outbox: &Outbox, shard: u32) -> &mut ShardAssignment {
        self.assignments
            .entry(shard)
            .or_insert_with(|| ShardAssignment {
                election: Election::new(&outbox.settings.name, outbox.clock.now),
                unowned_since: None,
            })
    }

    // ---- Taking over ----

    /// Probes for unowned shards, and takes over each once it is this controller's turn.
    pub fn tick(&mut self, outbox: &mut Outbox, membership: &Membership, owners: &ShardOwners) {
        if !outbox.is_sharded {
            return;
        }
        self.record_reachable_peers(outbox, membership);
        self.probe(outbox);
        for shard in 1..outbox.shard_count() {
            self.assignment(outbox, shard);
        }
        // Shards are useful only while there is a leader that assigns machines.
        let has_leader = owners.contains_key(&0) || membership.leading_peer(outbox).is_some();
        for (shard, assignment) in &mut self.assignments {
            assignment.tick(outbox, membership, *shard);
            // Only shards that the settings or the records name are taken over.
            let exists = *shard < outbox.shard_count() || assignment.election.has_known_term();
            let is_unowned = exists && has_leader && !owners.contains_key(shard);
            if is_unowned {
                assignment.campaign(outbox, membership, owners, *shard);
            } else {
                assignment.unowned_since = None;
            }
        }
    }

    fn record_reachable_peers(&mut self, outbox: &Outbox, membership: &Membership) {
        let now = outbox.clock.now;
        self.reachable_since.resize(membership.peers.len(), None);
        for (peer, since) in self.reachable_since.iter_mut().enumerate() {
            let is_reachable = membership.is_reachable(outbox, peer);
            *since = since.or(Some(now)).filter(|_| is_reachable);
        }
    }

    fn probe(&mut self, outbox: &mut Outbox) {
        let now = outbox.clock.now;
        if self.probe_in_flight || now < self.probe_at {
            return;
        }
        self.probe_in_flight = true;
        let interval = if self.assignments.is_empty() {
            SURPLUS_PROBE_INTERVAL
        } else {
            PROBE_INTERVAL
        };
        self.probe_at = now + interval;
        let request = StoreRequest::list(SHARD_ASSIGNMENT_PREFIX, "");
        outbox.send_to_store(Urgency::Renewal, request, AssignmentRequest::Probe);
    }

    /// Records the owners and terms of all shards from the answer to a probe. A shard with a record that cannot be parsed
    /// keeps its last known records, since a record that is there must not count as absent.
    pub fn handle_probe_answer(&mut self, outbox: &Outbox, answer: &CallResult) {
        self.probe_in_flight = false;
        let Some(listing) = decode_ok::<Listing>(answer) else {
            return;
        };
        let mut records: BTreeMap<u32, AssignmentRecords> = BTreeMap::new();
        for item in &listing.items {
            self.read_record(item, &mut records);
        }
        let known: Vec<u32> = self
            .assignments
            .keys()
            .chain(records.keys())
            .copied()
            .collect();
        for shard in known {
            let AssignmentRecords {
                owner,
                last_term,
                is_unreadable,
            } = records.get(&shard).cloned().unwrap_or_default();
            let election = &mut self.assignment(outbox, shard).election;
            if !is_unreadable {
                election.observe(owner, last_term, listing.version);
            }
        }
    }

    fn read_record(&mut self, item: &StoredValue, records: &mut BTreeMap<u32, AssignmentRecords>) {
        let Some((shard, kind)) = parse_assignment_key(&item.key) else {
            if self.malformed_keys.insert(item.key.clone()) {
                tracing::error!(key = %item.key, "cannot parse shard assignment key");
            }
            return;
        };
        // Shard 0 belongs to the leader, which has keys of its own.
        if shard == 0 {
            return;
        }
        let records = records.entry(shard).or_default();
        let Some(record) = item.decode::<LeaseRecord>() else {
            records.is_unreadable = true;
            return;
        };
        let lease = Some(StoredLease {
            record,
            version: item.version,
        });
        match kind {
            "holder" => records.owner = lease,
            "term" => records.last_term = lease,
            _ => {}
        }
    }

    /// Handles the answer to a request for a store lease. Before the takeover, the terms are read once more, because
    /// one counter serves the terms of all shards.
    pub fn handle_lease_answer(
        &mut self,
        outbox: &mut Outbox,
        shard: u32,
        requested_at: Micros,
        answer: &CallResult,
    ) {
        let Some(granted) = decode_ok::<LeaseGranted>(answer) else {
            self.assignment(outbox, shard).election.attempt_in_progress = false;
            return;
        };
        let pending = AssignmentRequest::ReadTerms(AcquiredLease {
            shard,
            store_lease: granted.lease_id,
            requested_at,
        });
        let request = StoreRequest::list(LEADER_PREFIX, "");
        outbox.send_to_store(Urgency::Renewal, request, pending);
    }

    /// Handles the answer to a read of the terms, and takes over the shard if this is still allowed.
    pub fn handle_terms_answer(
        &mut self,
        outbox: &mut Outbox,
        lease: AcquiredLease,
        answer: &CallResult,
    ) {
        let now = outbox.clock.now;
        let election = &mut self.assignment(outbox, lease.shard).election;
        let listing = decode_ok::<Listing>(answer);
        let Some(listing) = listing.filter(|_| election.is_eligible(now)) else {
            election.attempt_in_progress = false;
            return outbox.revoke_store_lease(lease.shard, lease.store_lease);
        };
        let (record, transaction) = takeover(election, &outbox.settings.name, &lease, &listing);
        let pending = AssignmentRequest::TakeOver(Takeover { lease, record });
        outbox.send_to_store(Urgency::Renewal, transaction.to_request(), pending);
    }

    /// Handles a takeover that was refused or whose outcome is unknown; `status` is the status of the answer, if one
    /// arrived.
    pub fn takeover_failed(
        &mut self,
        outbox: &mut Outbox,
        lease: AcquiredLease,
        status: Option<u16>,
    ) {
        let now = outbox.clock.now;
        self.assignment(outbox, lease.shard)
            .election
            .takeover_failed(lease.store_lease, status, now);
        self.probe_at = now;
        outbox.revoke_store_lease(lease.shard, lease.store_lease);
    }

    // ---- Transfers ----

    /// Returns a shard to transfer. There is one only while this controller owns several shards, and a peer that owns
    /// none has been reachable for a while and reaches the state service. That peer takes over the shard, because it
    /// comes first in the takeover order.
    pub fn shard_to_transfer(
        &self,
        outbox: &Outbox,
        membership: &Membership,
        owners: &ShardOwners,
    ) -> Option<u32> {
        let now = outbox.clock.now;
        let was_recent = |at: Micros| now < at + TRANSFER_INTERVAL;
        if self.last_transfer_at.is_some_and(was_recent) || owners.len() <= 1 {
            return None;
        }
        let mut peers = 0..membership.peers.len();
        if !peers.any(|peer| self.is_idle(membership, peer, now)) {
            return None;
        }
        let is_settled =
            |owner: &ShardOwner| owner.is_loaded() && owner.cluster.takeover.is_settled;
        owners
            .iter()
            .find(|(shard, owner)| **shard > 0 && is_settled(owner))
            .map(|(shard, _)| *shard)
    }

    /// Whether the peer owns no shard and is able to own one.
    fn is_idle(&self, membership: &Membership, peer: usize, now: Micros) -> bool {
        let reachable_since = self.reachable_since.get(peer).copied().flatten();
        let status = &membership.peers[peer];
        reachable_since.is_some_and(|since| now > since + PEER_STABLE_TIME)
            && status.store_reachable
            && status.leading_term == 0
            && status.shard_loads.is_empty()
    }

    /// Revokes the store lease of a shard that this controller no longer owns.
    pub fn handle_step_down(
        &mut self,
        outbox: &mut Outbox,
        shard: u32,
        store_lease: u64,
        kind: StepDownKind,
    ) {
        let now = outbox.clock.now;
        if kind == StepDownKind::Transferred {
            self.last_transfer_at = Some(now);
        }
        if kind != StepDownKind::Ended {
            self.assignment(outbox, shard)
                .election
                .abstain(now + ABSTAIN_AFTER_TRANSFER);
        }
        self.probe_at = now;
        outbox.revoke_store_lease(shard, store_lease);
    }
}

impl ShardAssignment {
    /// Asks the peers about the last term's watermarks and revokes the store lease of a failed takeover, each when
    /// due.
    fn tick(&mut self, outbox: &mut Outbox, membership: &Membership, shard: u32) {
        let now = outbox.clock.now;
        if let Some(term) = self.election.watermark_query_due(now) {
            let query = WatermarkCheck {
                term,
                incarnation: membership.incarnation,
                shard,
            };
            outbox.send_to_all_peers(&Body::WatermarkQuery(query));
        }
        if let Some(store_lease) = self.election.store_lease_to_revoke(now) {
            outbox.revoke_store_lease(shard, store_lease);
        }
    }

    /// Begins the takeover of an unowned shard once it is this controller's turn.
    fn campaign(
        &mut self,
        outbox: &mut Outbox,
        membership: &Membership,
        owners: &ShardOwners,
        shard: u32,
    ) {
        let now = outbox.clock.now;
        if outbox.machine_types.is_empty() || !self.election.may_campaign(now) {
            self.unowned_since = None;
            return;
        }
        let since = *self.unowned_since.get_or_insert(now);
        let rank = takeover_rank(outbox, membership, owners, shard);
        if now >= since + TAKEOVER_STAGGER * rank as Micros {
            self.election.attempt_in_progress = true;
            let pending = AssignmentRequest::AcquireLease {
                shard,
                requested_at: now,
            };
            let request = StoreRequest::acquire_lease(outbox.store_lease_ttl());
            outbox.send_to_store(Urgency::Renewal, request, pending);
        }
    }
}

/// Returns this controller's rank in the order in which the reachable controllers take over a shard: controllers with
/// the fewest shards come first, and among equals each shard's order begins with a different controller.
fn takeover_rank(
    outbox: &Outbox,
    membership: &Membership,
    owners: &ShardOwners,
    shard: u32,
) -> usize {
    struct Candidate<'a> {
        owned_shards: usize,
        name: &'a str,
    }
    let own_name = outbox.settings.name.as_str();
    let peers = outbox.settings.peers.iter().enumerate();
    let reachable = peers.filter(|(peer, _)| membership.is_reachable(outbox, *peer));
    let mut candidates: Vec<Candidate<'_>> = reachable
        .map(|(peer, settings)| Candidate {
            owned_shards: membership.peers[peer].shard_loads.len(),
            name: &settings.name,
        })
        .collect();
    candidates.push(Candidate {
        owned_shards: owners.len(),
        name: own_name,
    });
    candidates.sort_unstable_by_key(|candidate| candidate.name);
    let first = shard as usize % candidates.len();
    candidates.rotate_left(first);
    candidates.sort_by_key(|candidate| candidate.owned_shards);
    let own = |candidate: &Candidate<'_>| candidate.name == own_name;
    candidates.iter().position(own).unwrap_or(0)
}

/// Returns the record and the transaction that make this controller the owner of a shard.
fn takeover(
    election: &Election,
    own_name: &str,
    lease: &AcquiredLease,
    listing: &Listing,
) -> (LeaseRecord, Transaction) {
    let (leader, counter) = (
        stored_term(listing, LEADER_TERM_KEY),
        stored_term(listing, TERM_COUNTER_KEY),
    );
    let conditions = election.conditions();
    let highest_term = leader.term.max(counter.term).max(conditions.last_term);
    let record = LeaseRecord {
        owner: own_name.to_string(),
        term: highest_term + 1,
        watermarks_reliable: election.watermarks_reliable(),
    };
    let keys = assignment_keys(lease.shard);
    let mut transaction = Transaction::default();
    transaction.guard(&keys.owner, conditions.owner_key_version);
    transaction.guard(&keys.term, conditions.term_key_version);
    transaction.guard(LEADER_TERM_KEY, leader.version);
    transaction.guard(TERM_COUNTER_KEY, counter.version);
    let store_lease = Some(lease.store_lease);
    transaction.put(&keys.owner, store::to_raw_value(&record), store_lease);
    transaction.put(&keys.term, store::to_raw_value(&record), None);
    transaction.put(TERM_COUNTER_KEY, store::to_raw_value(&record), None);
    (record, transaction)
}

fn stored_term(listing: &Listing, key: &str) -> StoredTerm {
    let item = listing.items.iter().find(|item| item.key == key);
    let stored = item.and_then(|item| {
        Some(StoredTerm {
            term: item.decode::<LeaseRecord>()?.term,
            version: item.version,
        })
    });
    stored.unwrap_or_default()
}

/// Parses a key into its shard and the kind of record that the key holds.
fn parse_assignment_key(key: &str) -> Option<(u32, &str)> {
    let rest = key.strip_prefix(SHARD_ASSIGNMENT_PREFIX)?;
    let (shard, kind) = rest.split_once('/')?;
    Some((shard.parse().ok()?, kind))
}

#[cfg(test)]
mod tests;
