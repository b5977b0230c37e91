//! Quota partition of a shard, which is the shard's part of the teams' limits: its owner reads, applies and writes it.
//! The decisions on the size of the partitions are made in [`quota_partition`].
//!
//! At any moment, no owner uses more quota than the stored partitions allow. An owner that returns quota applies the
//! lower limits before it sends the write, and until it is certain that the write was carried out or never will be: a
//! write without an answer is sent again, guarded by the same versions, until one of the copies is answered as
//! carried out or refused. The same holds for the owner of shard 0 when it raises the partition of another shard,
//! because this takes the same amount from its own.

use std::collections::{BTreeMap, BTreeSet};

use super::lease::ShardLease;
use super::outbox::Outbox;
use super::pending_request::{OwnerRequest, PendingRequest};
use crate::http::{CallResult, decode_ok};
use crate::model::{Micros, Resources, SECOND, Team};
use crate::scheduling::quota_partition::{self, ShardQuotas};
use crate::state::cluster::Cluster;
use crate::state::shard_load::ShardLoad;
use crate::wire::budget::Urgency;
use crate::wire::store::{
    self, Listing, QUOTA_PARTITION_PREFIX, QuotaPartitionRecord, StoreRequest, StoredValue,
    Transaction,
};

/// Interval between reads of the partitions.
const READ_INTERVAL: Micros = SECOND / 2;
/// Interval between reads of the partitions while the shard has neither waiting tasks nor quota to return. Shard 0
/// always uses [`READ_INTERVAL`].
const IDLE_READ_INTERVAL: Micros = 2 * SECOND;
/// Time for which quota must be idle before it is returned.
const RETURN_DELAY: Micros = 2 * SECOND;
/// Delay before a write without an answer is sent again.
const WRITE_RETRY_INTERVAL: Micros = SECOND / 2;

/// A shard's quota partition, as last read.
#[derive(Debug)]
struct StoredPartition {
    /// Limits in the settings' order of teams.
    limits: Vec<Resources>,
    version: u64,
}

/// A quota partition as stored, with its limits by team name and not yet in the settings' order of teams.
#[derive(Debug)]
struct UnresolvedPartition {
    shard: u32,
    record: QuotaPartitionRecord,
    version: u64,
}

/// A write of quota partitions whose outcome is not certain yet.
#[derive(Debug)]
struct PendingWrite {
    quotas: ShardQuotas,
    transaction: Transaction,
    is_in_flight: bool,
    retry_at: Micros,
}

/// Reads, applies and writes the quota partitions on behalf of a shard owner.
#[derive(Debug, Default)]
pub(super) struct QuotaPartitioner {
    partitions: BTreeMap<u32, StoredPartition>,
    unresolved: Vec<UnresolvedPartition>,
    read_in_flight: bool,
    read_at: Micros,
    pending_write: Option<PendingWrite>,
    /// Time since which more quota is idle than the shard is to keep.
    idle_since: Option<Micros>,
    /// Whether the last read contained records that cannot be parsed. While there are any, no partition is raised, and
    /// shard 0 may use no quota.
    has_damaged_records: bool,
    /// Whether the read before the last contained records that cannot be parsed.
    had_damaged_records: bool,
}

impl QuotaPartitioner {
    // ---- Reading ----

    /// Adds a quota partition record as read from the state service.
    pub fn add_record(&mut self, item: &StoredValue) {
        let shard = item
            .key
            .strip_prefix(QUOTA_PARTITION_PREFIX)
            .and_then(|shard| shard.parse::<u32>().ok())
            .filter(|shard| *shard > 0);
        match (shard, item.decode::<QuotaPartitionRecord>()) {
            (Some(shard), Some(record)) => self.unresolved.push(UnresolvedPartition {
                shard,
                record,
                version: item.version,
            }),
            _ => {
                if !self.had_damaged_records {
                    tracing::error!(key = %item.key, "cannot parse quota partition; no quota is given out");
                }
                self.has_damaged_records = true;
            }
        }
    }

    /// Converts the records read into limits in the settings' order of teams.
    fn resolve_records(&mut self, teams: &[Team]) {
        let read = std::mem::take(&mut self.unresolved).into_iter();
        let resolved = read.map(|partition| {
            let limit = |team: &Team| {
                partition
                    .record
                    .teams
                    .get(&team.name)
                    .copied()
                    .unwrap_or_default()
            };
            let stored = StoredPartition {
                limits: teams.iter().map(limit).collect(),
                version: partition.version,
            };
            (partition.shard, stored)
        });
        self.partitions = resolved.collect();
    }

    fn quotas(&self) -> ShardQuotas {
        let partitions = self.partitions.iter();
        partitions
            .map(|(shard, partition)| (*shard, partition.limits.clone()))
            .collect()
    }

    /// Applies the limits of the cluster's shard to the cluster.
    pub fn apply_limits(&mut self, cluster: &mut Cluster) {
        if !self.unresolved.is_empty() {
            self.resolve_records(&cluster.quota.cluster_teams);
        }
        let Some(limits) = self.limits(cluster) else {
            return;
        };
        let present = cluster.settings.teams.iter().map(|team| team.limit);
        let is_same = |(a, b): (Resources, &Resources)| (a.cpu, a.gpu) == (b.cpu, b.gpu);
        if !present.zip(&limits).all(is_same) {
            cluster.apply_team_limits(&limits);
        }
    }

    /// Returns the limits of the cluster's shard; `None` if there are no partitions, so that shard 0 may use the
    /// whole quota.
    fn limits(&self, cluster: &Cluster) -> Option<Vec<Resources>> {
        let total = team_limits(cluster);
        let mut quotas = self.quotas();
        if let Some(pending) = &self.pending_write {
            // The pending write may have been carried out already. Its values give this shard the lower limits: they
            // either raise the partitions of other shards, or lower this shard's own.
            quotas.extend(pending.quotas.clone());
        }
        let zero_limits = vec![Resources::default(); total.len()];
        match cluster.shard.id {
            0 if self.has_damaged_records => Some(zero_limits),
            0 if quotas.is_empty() => None,
            0 => Some(quota_partition::shard_0_quotas(&total, &quotas)),
            shard => Some(quotas.remove(&shard).unwrap_or(zero_limits)),
        }
    }

    /// Sends the pending write, or sends it again if no answer arrived. Without a pending write, reads the partitions
    /// when a read is due.
    pub fn tick(&mut self, outbox: &mut Outbox, lease: &ShardLease) {
        let now = outbox.clock.now;
        if !outbox.is_sharded {
            return;
        }
        if let Some(write) = &mut self.pending_write {
            if !write.is_in_flight && now >= write.retry_at {
                write.is_in_flight = true;
                let request = write.transaction.to_request();
                send(outbox, lease, request, OwnerRequest::WriteQuotaPartitions);
            }
            return;
        }
        if self.read_in_flight || now < self.read_at {
            return;
        }
        self.read_in_flight = true;
        // Raising needs the versions of all partitions, and returning quota needs the version of the shard's own.
        let request = StoreRequest::list(QUOTA_PARTITION_PREFIX, "");
        send(outbox, lease, request, OwnerRequest::ReadQuotaPartitions);
    }

    /// Applies the partitions read, and then returns idle quota or, as owner of shard 0, raises other partitions.
    pub fn handle_read_answer(
        &mut self,
        outbox: &mut Outbox,
        lease: &ShardLease,
        cluster: &mut Cluster,
        answer: &CallResult,
    ) {
        let now = outbox.clock.now;
        self.read_in_flight = false;
        self.read_at = now + READ_INTERVAL;
        let Some(listing) = decode_ok::<Listing>(answer) else {
            return;
        };
        self.had_damaged_records = std::mem::replace(&mut self.has_damaged_records, false);
        listing.items.iter().for_each(|item| self.add_record(item));
        self.resolve_records(&cluster.quota.cluster_teams);
        self.apply_limits(cluster);
        let load = cluster.shard_load();
        let changed = match lease.shard {
            0 => self.raised_quotas(outbox, cluster, &load),
            shard => self.lowered_quotas(shard, &load, now),
        };
        if !changed.is_empty() {
            self.idle_since = None;
            self.write(outbox, lease, cluster, changed);
        }
    }

    // ---- Raising and returning quota ----

    /// Returns the raised partitions of other shards, taken from the quota that shard 0 has left.
    fn raised_quotas(&self, outbox: &Outbox, cluster: &Cluster, load: &ShardLoad) -> ShardQuotas {
        if self.has_damaged_records {
            return ShardQuotas::new();
        }
        let others = outbox.shard_loads.iter().filter(|load| load.shard > 0);
        let loads = others
            .map(|load| (load.shard, load.teams.clone()))
            .collect();
        let total = team_limits(cluster);
        quota_partition::raised_quotas(&total, &self.quotas(), &load.teams, &loads)
    }

    /// Returns this shard's lowered partition if some of its quota has been idle for at least [`RETURN_DELAY`].
    fn lowered_quotas(&mut self, shard: u32, load: &ShardLoad, now: Micros) -> ShardQuotas {
        let partition = self.partitions.get(&shard);
        let limits = partition.map_or(&[][..], |partition| &partition.limits[..]);
        let lowered = quota_partition::lowered_quota(limits, &load.teams);
        let idle_since = *self.idle_since.get_or_insert(now);
        let Some(lowered) = lowered else {
            self.idle_since = None;
            let has_no_demand = load
                .teams
                .iter()
                .all(|team| team.waiting == Resources::default());
            if has_no_demand {
                self.read_at = now + IDLE_READ_INTERVAL;
            }
            return ShardQuotas::new();
        };
        if now < idle_since + RETURN_DELAY {
            return ShardQuotas::new();
        }
        ShardQuotas::from([(shard, lowered)])
    }

    /// Writes changed partitions, as many as fit into one transaction. Their limits apply before the write is sent.
    fn write(
        &mut self,
        outbox: &mut Outbox,
        lease: &ShardLease,
        cluster: &mut Cluster,
        mut quotas: ShardQuotas,
    ) {
        while quotas.len() > cluster.max_transaction_changes() {
            quotas.pop_last();
        }
        let mut transaction = Transaction::default();
        transaction.guard(
            &cluster.store_writes.assignment_keys.owner,
            lease.key_version,
        );
        // A raise depends on all partitions, and a return of quota on the shard's own partition alone.
        let guarded: BTreeSet<u32> = match lease.shard {
            0 => self
                .partitions
                .keys()
                .chain(quotas.keys())
                .copied()
                .collect(),
            shard => BTreeSet::from([shard]),
        };
        for shard in guarded {
            let partition = self.partitions.get(&shard);
            let version = partition.map_or(0, |partition| partition.version);
            transaction.guard(&partition_key(shard), version);
        }
        for (shard, limits) in &quotas {
            let names = cluster
                .quota
                .cluster_teams
                .iter()
                .map(|team| team.name.clone());
            let teams = names.zip(limits.iter().copied()).collect();
            let record = QuotaPartitionRecord { teams };
            transaction.put(&partition_key(*shard), store::to_raw_value(&record), None);
        }
        self.pending_write = Some(PendingWrite {
            quotas,
            transaction,
            is_in_flight: false,
            retry_at: outbox.clock.now,
        });
        self.apply_limits(cluster);
        self.tick(outbox, lease);
    }

    /// Handles the answer to a write; `status` is `None` if no answer arrived.
    pub fn handle_write_answer(&mut self, now: Micros, status: Option<u16>) {
        match status {
            // The write was carried out or never will be: the first of its copies to be carried out changed a version
            // that guards the other copies.
            Some(200 | 409 | 400) => {
                self.pending_write = None;
                self.read_at = now;
            }
            _ => {
                if let Some(write) = &mut self.pending_write {
                    write.is_in_flight = false;
                    write.retry_at = now + WRITE_RETRY_INTERVAL;
                }
            }
        }
    }
}

/// Returns each team's limit in the whole cluster.
fn team_limits(cluster: &Cluster) -> Vec<Resources> {
    cluster
        .quota
        .cluster_teams
        .iter()
        .map(|team| team.limit)
        .collect()
}

fn partition_key(shard: u32) -> String {
    format!("{QUOTA_PARTITION_PREFIX}{shard}")
}

fn send(outbox: &mut Outbox, lease: &ShardLease, request: StoreRequest, pending: OwnerRequest) {
    let pending = PendingRequest::ShardOwner {
        term: lease.term,
        request: pending,
    };
    outbox.send_to_store(Urgency::Transaction, request, pending);
}
