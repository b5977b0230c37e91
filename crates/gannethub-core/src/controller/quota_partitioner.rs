//! A block's part of the teams' limits, as its holder reads, obeys and writes it. What is decided is in
//! [`allot`](crate::scheduling::quota_partition).
//!
//! Nobody goes by more than is written, at any moment. A holder that gives back obeys before its write is sent, and
//! until it is certain that the write was carried out or never will be: a write without an answer is sent again, guarded
//! by the same versions, until one of them is answered with yes or no. The same holds for block 0's holder when
//! it raises the part of another block, since that takes the same from its own.

use std::collections::{BTreeMap, BTreeSet};

use super::lease::ShardLease;
use super::outbox::{Outbox, PendingRequest};
use crate::http::{CallResult, decode_ok};
use crate::model::{Micros, Resources, SECOND, Team};
use crate::scheduling::quota_partition::{self, ShardQuotas};
use crate::state::cluster::Cluster;
use crate::wire::budget::Urgency;
use crate::wire::store::{
    self, Listing, QUOTA_PARTITION_PREFIX, QuotaPartitionRecord, StoreRequest, StoredValue,
    Transaction,
};

/// Parts are read this often, and this often while nothing asks for it.
const READ_INTERVAL: Micros = SECOND / 2;
const IDLE_READ_INTERVAL: Micros = 2 * SECOND;
/// What lies idle for so long is given back.
const RETURN_DELAY: Micros = 2 * SECOND;
/// A write without an answer is sent again after this time.
const WRITE_RETRY_INTERVAL: Micros = SECOND / 2;

#[derive(Debug, Default)]
pub(super) struct QuotaPartitioner {
    /// Each block's part and its version, as last read.
    partitions: BTreeMap<u32, (Vec<Resources>, u64)>,
    read_in_flight: bool,
    read_at: Micros,
    /// A write whose fate is not certain: its parts, and its transaction.
    pending_write: Option<(ShardQuotas, Transaction)>,
    write_in_flight: bool,
    retry_at: Micros,
    /// Since when more lies idle than is to be kept.
    idle_since: Option<Micros>,
    /// Values that made no sense: nothing is raised while there are any.
    has_damaged_records: bool,
    had_damaged_records: bool,
    /// What it has read, before teams are known.
    records: Vec<(u32, QuotaPartitionRecord, u64)>,
}

impl QuotaPartitioner {
    /// A part, as the state service holds it.
    pub fn add_record(&mut self, item: &StoredValue) {
        let block = item
            .key
            .strip_prefix(QUOTA_PARTITION_PREFIX)
            .and_then(|b| b.parse::<u32>().ok());
        match (
            block.filter(|b| *b > 0),
            item.decode::<QuotaPartitionRecord>(),
        ) {
            (Some(block), Some(record)) => self.records.push((block, record, item.version)),
            _ => {
                if !self.had_damaged_records {
                    tracing::error!(key = %item.key, "what a block may use cannot be read; nothing is given out");
                }
                self.has_damaged_records = true;
            }
        }
    }

    fn decode_records(&mut self, teams: &[Team]) {
        self.partitions = std::mem::take(&mut self.records)
            .into_iter()
            .map(|(block, record, stamp)| {
                let part = |t: &Team| record.teams.get(&t.name).copied().unwrap_or_default();
                (block, (teams.iter().map(part).collect(), stamp))
            })
            .collect();
    }

    fn partitions(&self) -> ShardQuotas {
        self.partitions
            .iter()
            .map(|(b, p)| (*b, p.0.clone()))
            .collect()
    }

    /// Has the cluster keep to what its block may use.
    pub fn apply_limits(&mut self, cluster: &mut Cluster) {
        if !self.records.is_empty() {
            self.decode_records(&cluster.quota.cluster_teams);
        }
        let whole: Vec<Resources> = cluster
            .quota
            .cluster_teams
            .iter()
            .map(|t| t.limit)
            .collect();
        let own = cluster.shard.id;
        let mut parts = self.partitions();
        if let Some((pending, _)) = &self.pending_write {
            // What may be written already: the more for others, the less for this one.
            parts.extend(pending.iter().map(|(b, p)| (*b, p.clone())));
        }
        let limits = match own {
            0 if self.has_damaged_records => whole.iter().map(|_| Resources::default()).collect(),
            0 if parts.is_empty() => return,
            0 => quota_partition::remaining_quota(&whole, &parts),
            b => parts
                .get(&b)
                .cloned()
                .unwrap_or_else(|| vec![Resources::default(); whole.len()]),
        };
        let now: Vec<Resources> = cluster.settings.teams.iter().map(|t| t.limit).collect();
        let same = |(a, b): (&Resources, &Resources)| (a.cpu, a.gpu) == (b.cpu, b.gpu);
        if !now.iter().zip(&limits).all(same) {
            cluster.apply_team_limits(&limits);
        }
    }

    /// Reads parts now and then, and gives back or gives out.
    pub fn tick(&mut self, port: &mut Outbox, lease: &ShardLease) {
        let now = port.clock.now;
        if !port.is_sharded {
            return;
        }
        if let Some((_, commit)) = self
            .pending_write
            .as_ref()
            .filter(|_| !self.write_in_flight && now >= self.retry_at)
        {
            self.write_in_flight = true;
            let purpose = PendingRequest::WriteQuotaPartitions { term: lease.term };
            port.send_to_store(Urgency::Transaction, commit.to_request(), purpose);
            return;
        }
        if self.read_in_flight || self.pending_write.is_some() || now < self.read_at {
            return;
        }
        self.read_in_flight = true;
        // Versions of all are needed to give out, and one's own to give back.
        port.send_to_store(
            Urgency::Transaction,
            StoreRequest::list(QUOTA_PARTITION_PREFIX, ""),
            PendingRequest::ReadQuotaPartitions { term: lease.term },
        );
    }

    /// Parts have been read.
    pub fn handle_read_answer(
        &mut self,
        port: &mut Outbox,
        lease: &ShardLease,
        cluster: &mut Cluster,
        answer: CallResult,
    ) {
        let now = port.clock.now;
        self.read_in_flight = false;
        self.read_at = now + READ_INTERVAL;
        let Some(listing) = decode_ok::<Listing>(&answer) else {
            return;
        };
        self.had_damaged_records = std::mem::replace(&mut self.has_damaged_records, false);
        listing.items.iter().for_each(|item| self.add_record(item));
        self.decode_records(&cluster.quota.cluster_teams);
        self.apply_limits(cluster);
        let load = cluster.shard_load();
        let raised = match lease.shard {
            0 if self.has_damaged_records => ShardQuotas::new(),
            0 => {
                let whole: Vec<Resources> = cluster
                    .quota
                    .cluster_teams
                    .iter()
                    .map(|t| t.limit)
                    .collect();
                let others = port.shard_loads.iter().filter(|l| l.shard > 0);
                let told = others.map(|l| (l.shard, l.teams.clone())).collect();
                quota_partition::raised_quotas(&whole, &self.partitions(), &load.teams, &told)
            }
            b => {
                let part = self
                    .partitions
                    .get(&b)
                    .map(|p| p.0.clone())
                    .unwrap_or_default();
                let lowered = quota_partition::lowered_quota(&part, &load.teams);
                let since = *self.idle_since.get_or_insert(now);
                if lowered.is_none() {
                    self.idle_since = None;
                    if load.teams.iter().all(|t| t.1 == Resources::default()) {
                        self.read_at = now + IDLE_READ_INTERVAL;
                    }
                }
                let lowered = lowered.filter(|_| now >= since + RETURN_DELAY);
                lowered.into_iter().map(|l| (b, l)).collect()
            }
        };
        if raised.is_empty() {
            return;
        }
        self.idle_since = None;
        let mut commit = Transaction::default();
        commit.guard(
            &cluster.store_writes.assignment_keys.owner,
            lease.key_version,
        );
        let mut raised = raised;
        while raised.len() > cluster.max_transaction_changes() {
            raised.pop_last();
        }
        // What is given out depends on all that has been; what is given back on this one alone.
        let guarded: Vec<u32> = match lease.shard {
            0 => self
                .partitions
                .keys()
                .chain(raised.keys())
                .copied()
                .collect(),
            b => vec![b],
        };
        for b in BTreeSet::from_iter(guarded) {
            commit.guard(
                &format!("{QUOTA_PARTITION_PREFIX}{b}"),
                self.partitions.get(&b).map_or(0, |p| p.1),
            );
        }
        for (b, part) in &raised {
            let names = cluster.quota.cluster_teams.iter().map(|t| t.name.clone());
            let teams = names.zip(part.iter().copied()).collect();
            commit.put(
                &format!("{QUOTA_PARTITION_PREFIX}{b}"),
                store::to_raw_value(&QuotaPartitionRecord { teams }),
                None,
            );
        }
        self.pending_write = Some((raised, commit));
        (self.write_in_flight, self.retry_at) = (false, now);
        // Obeyed from before it is sent.
        self.apply_limits(cluster);
        self.tick(port, lease);
    }

    /// A write of parts was answered, or not.
    pub fn handle_write_answer(&mut self, now: Micros, status: Option<u16>) {
        self.write_in_flight = false;
        match status {
            // Carried out now, or never: whichever of its like came first has changed a version.
            Some(200 | 409 | 400) => {
                self.pending_write = None;
                self.read_at = now;
            }
            _ => self.retry_at = now + WRITE_RETRY_INTERVAL,
        }
    }
}
