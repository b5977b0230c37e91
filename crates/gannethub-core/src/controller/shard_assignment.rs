//! Who holds the blocks other than 0: looking for those that nobody holds, taking them in turn, and handing back what
//! a sibling was lost with.

use std::collections::{BTreeMap, BTreeSet};

use super::election::Election;
use super::membership::Membership;
use super::outbox::{Outbox, PROBE_INTERVAL, PendingRequest};
use super::shard_owner::{ShardOwner, ShardOwners};
use crate::http::{CallResult, decode_ok};
use crate::model::{Micros, SECOND};
use crate::wire::budget::Urgency;
use crate::wire::peer::{Body, WatermarkCheck};
use crate::wire::store::{
    self, LEADER_PREFIX, LeaseGranted, LeaseRecord, Listing, SHARD_ASSIGNMENT_PREFIX, StoreRequest,
    TERM_COUNTER_KEY, TERM_KEY, Transaction, assignment_keys,
};

/// Where one block is enough, others that are left over are looked for this often.
const SURPLUS_PROBE_INTERVAL: Micros = 5 * SECOND;
/// A block that nobody holds is left to those before this controller for so long, each.
const TAKEOVER_STAGGER: Micros = 700_000;
/// A block is handed to the sibling whose turn is first once that has been heard for so long.
const PEER_STABLE_TIME: Micros = 8 * SECOND;
/// Not more than one block is handed on in this time: a sibling may not be able to take it.
const TRANSFER_INTERVAL: Micros = 30 * SECOND;
/// Who handed a block on does not take it back for so long.
const ABSTAIN_AFTER_TRANSFER: Micros = 6 * SECOND;

#[derive(Debug)]
pub(super) struct ShardAssignment {
    pub election: Election,
    unowned_since: Option<Micros>,
}

#[derive(Debug, Default)]
pub(super) struct ShardAssignments {
    pub assignments: BTreeMap<u32, ShardAssignment>,
    probe_in_flight: bool,
    probe_at: Micros,
    /// Since when each sibling has been heard without a pause.
    heard_since: Vec<Option<Micros>>,
    /// When a block was last handed on.
    last_transfer_at: Option<Micros>,
    /// Keys that make no sense, told of once.
    malformed_keys: BTreeSet<String>,
}

impl ShardAssignments {
    fn assignment(&mut self, port: &Outbox, block: u32) -> &mut ShardAssignment {
        let new = || ShardAssignment {
            election: Election::new(&port.settings.name, port.clock.now),
            unowned_since: None,
        };
        self.assignments.entry(block).or_insert_with(new)
    }

    /// This controller's place among those that are heard, in the order in which they take a block: those that hold
    /// the fewest first, and among them each block begins with another.
    fn takeover_rank(
        port: &Outbox,
        standing: &Membership,
        holders: &ShardOwners,
        block: u32,
    ) -> usize {
        let siblings = port.settings.siblings.iter().enumerate();
        let heard = siblings.filter(|(i, _)| standing.is_heard(port, *i));
        let mut all: Vec<(usize, &str)> = heard
            .map(|(i, s)| (standing.peers[i].shard_loads.len(), &*s.name))
            .collect();
        let own = (holders.len(), &*port.settings.name);
        all.push(own);
        all.sort_unstable_by_key(|c| c.1);
        let first = block as usize % all.len();
        all.rotate_left(first);
        all.sort_by_key(|c| c.0);
        all.iter().position(|c| *c == own).unwrap_or(0)
    }

    /// Looks for blocks that nobody holds, and takes those whose turn it is.
    pub fn tick(&mut self, port: &mut Outbox, standing: &Membership, holders: &ShardOwners) {
        if !port.is_sharded {
            return;
        }
        let now = port.clock.now;
        self.heard_since.resize(standing.peers.len(), None);
        for i in 0..self.heard_since.len() {
            let heard = standing.is_heard(port, i);
            self.heard_since[i] = self.heard_since[i].or(Some(now)).filter(|_| heard);
        }
        if !self.probe_in_flight && now >= self.probe_at {
            self.probe_in_flight = true;
            self.probe_at = now
                + if self.assignments.is_empty() {
                    SURPLUS_PROBE_INTERVAL
                } else {
                    PROBE_INTERVAL
                };
            port.send_to_store(
                Urgency::Renewal,
                StoreRequest::list(SHARD_ASSIGNMENT_PREFIX, ""),
                PendingRequest::ProbeShards,
            );
        }
        for block in 1..port.shard_count() {
            self.assignment(port, block);
        }
        let led = holders.contains_key(&0) || standing.leading_peer(port).is_some();
        for (block, seat) in &mut self.assignments {
            if let Some(term) = seat.election.watermark_query_due(now) {
                let ask = WatermarkCheck {
                    term,
                    incarnation: standing.incarnation,
                    shard: *block,
                };
                let all = 0..standing.peers.len();
                all.for_each(|i| port.send_to_peer(i, Body::WatermarkQuery(ask.clone())));
            }
            if let Some(grant) = seat.election.store_lease_to_revoke(now) {
                port.revoke_store_lease(*block, grant);
            }
            // Only what its settings or its record speak of is taken, and only where somebody gives out machines.
            let exists = *block < port.shard_count() || seat.election.has_known_term();
            let free = exists && led && !holders.contains_key(block);
            if !free || port.machine_types.is_empty() || !seat.election.may_campaign(now) {
                seat.unowned_since = None;
                continue;
            }
            let since = *seat.unowned_since.get_or_insert(now);
            let place = ShardAssignments::takeover_rank(port, standing, holders, *block);
            if now >= since + TAKEOVER_STAGGER * place as Micros {
                seat.election.attempt_in_progress = true;
                let purpose = PendingRequest::AcquireShardLease {
                    shard: *block,
                    sent_at: now,
                };
                port.send_to_store(
                    Urgency::Renewal,
                    StoreRequest::acquire_lease(port.store_lease_ttl()),
                    purpose,
                );
            }
        }
    }

    /// A block to hand on: while this controller holds several, and one that is up for a while and reaches the state
    /// service holds none. That one takes it, since its turn is first.
    pub fn shard_to_transfer(
        &self,
        port: &Outbox,
        standing: &Membership,
        holders: &ShardOwners,
    ) -> Option<u32> {
        let now = port.clock.now;
        if self
            .last_transfer_at
            .is_some_and(|t| now < t + TRANSFER_INTERVAL)
        {
            return None;
        }
        let idle = (0..standing.peers.len()).any(|i| {
            let steady = self.heard_since.get(i).copied().flatten();
            let sibling = &standing.peers[i];
            steady.is_some_and(|t| now > t + PEER_STABLE_TIME)
                && sibling.store_reachable
                && sibling.leading_term == 0
                && sibling.shard_loads.is_empty()
        });
        let ready = |h: &ShardOwner| h.is_loaded() && h.cluster.takeover.settled;
        let mut held = holders
            .iter()
            .filter(|(b, h)| **b > 0 && ready(h))
            .map(|(b, _)| *b);
        held.next().filter(|_| idle && holders.len() > 1)
    }

    /// This controller does not hold the block any more. `handed`: a sibling is to take it; `deaf`: it heard nobody.
    pub fn handle_step_down(
        &mut self,
        port: &mut Outbox,
        block: u32,
        grant: u64,
        handed: bool,
        deaf: bool,
    ) {
        let now = port.clock.now;
        if handed {
            self.last_transfer_at = Some(now);
        }
        let seat = self.assignment(port, block);
        if handed || deaf {
            seat.election.abstain(now + ABSTAIN_AFTER_TRANSFER);
        }
        self.probe_at = now;
        port.revoke_store_lease(block, grant);
    }

    pub fn handle_probe_answer(&mut self, port: &Outbox, answer: CallResult) {
        self.probe_in_flight = false;
        let Some(listing) = decode_ok::<Listing>(&answer) else {
            return;
        };
        type Seen = Option<(LeaseRecord, u64)>;
        let mut seen: BTreeMap<u32, (Seen, Seen)> = BTreeMap::new();
        for item in &listing.items {
            let key = item
                .key
                .strip_prefix(SHARD_ASSIGNMENT_PREFIX)
                .and_then(|k| k.split_once('/'));
            let Some((block, what)) = key.and_then(|(b, w)| Some((b.parse::<u32>().ok()?, w)))
            else {
                if self.malformed_keys.insert(item.key.clone()) {
                    tracing::error!(key = %item.key, "no block's");
                }
                continue;
            };
            let Some(record) = item.decode::<LeaseRecord>().filter(|_| block > 0) else {
                continue;
            };
            let (holder, term) = seen.entry(block).or_default();
            match what {
                "holder" => *holder = Some((record, item.version)),
                "term" => *term = Some((record, item.version)),
                _ => {}
            }
        }
        for block in self
            .assignments
            .keys()
            .chain(seen.keys())
            .copied()
            .collect::<Vec<_>>()
        {
            let (holder, term) = seen.get(&block).cloned().unwrap_or_default();
            self.assignment(port, block).election.observe(holder, term);
        }
    }

    /// A grant to take a block with. The terms there are, are read once more: one counter serves all blocks.
    pub fn handle_store_lease_answer(
        &mut self,
        port: &mut Outbox,
        block: u32,
        sent: Micros,
        answer: CallResult,
    ) {
        let granted = decode_ok::<LeaseGranted>(&answer);
        let seat = self.assignment(port, block);
        let Some(granted) = granted else {
            seat.election.attempt_in_progress = false;
            return;
        };
        let purpose = PendingRequest::ReadTerms {
            shard: block,
            store_lease: granted.lease_id,
            sent_at: sent,
        };
        port.send_to_store(
            Urgency::Renewal,
            StoreRequest::list(LEADER_PREFIX, ""),
            purpose,
        );
    }

    pub fn handle_terms_answer(
        &mut self,
        port: &mut Outbox,
        block: u32,
        grant: u64,
        sent: Micros,
        answer: CallResult,
    ) {
        let listing = decode_ok::<Listing>(&answer);
        let now = port.clock.now;
        let name = port.settings.name.clone();
        let candidacy = &mut self.assignment(port, block).election;
        let Some(listing) = listing.filter(|_| candidacy.is_eligible(now)) else {
            candidacy.attempt_in_progress = false;
            return port.revoke_store_lease(block, grant);
        };
        let find = |key: &str| {
            let item = listing.items.iter().find(|i| i.key == key);
            item.and_then(|i| Some((i.decode::<LeaseRecord>()?.term, i.version)))
                .unwrap_or((0, 0))
        };
        let (lead, count) = (find(TERM_KEY), find(TERM_COUNTER_KEY));
        let (holder, term, last) = candidacy.versions();
        let marked = candidacy.watermarks_reliable();
        let next = lead.0.max(count.0).max(last) + 1;
        let record = LeaseRecord {
            owner: name,
            term: next,
            watermarks_reliable: marked,
        };
        let keys = assignment_keys(block);
        let mut commit = Transaction::default();
        commit.guard(&keys.owner, holder);
        commit.guard(&keys.term, term);
        commit.guard(TERM_KEY, lead.1);
        commit.guard(TERM_COUNTER_KEY, count.1);
        commit.put(&keys.owner, store::to_raw_value(&record), Some(grant));
        commit.put(&keys.term, store::to_raw_value(&record), None);
        commit.put(TERM_COUNTER_KEY, store::to_raw_value(&record), None);
        let purpose = PendingRequest::TakeOverShard {
            shard: block,
            record,
            store_lease: grant,
            sent_at: sent,
        };
        port.send_to_store(Urgency::Renewal, commit.to_request(), purpose);
    }

    /// A block was not taken, or nothing is known of it.
    pub fn takeover_failed(
        &mut self,
        port: &mut Outbox,
        block: u32,
        grant: u64,
        answer: Option<u16>,
    ) {
        let now = port.clock.now;
        self.assignment(port, block)
            .election
            .takeover_failed(grant, answer, now);
        self.probe_at = now;
        port.revoke_store_lease(block, grant);
    }
}
