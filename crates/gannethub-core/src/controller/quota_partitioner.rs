//! A shard's part of the teams' limits, as its owner reads, obeys and writes it. What is decided is in
//! [`quota_partition`].
//!
//! Nobody goes by more than is written, at any moment. An owner that gives back obeys before its write is sent, and until
//! it is certain that the write was carried out or never will be: a write without an answer is sent again, guarded by the
//! same versions, until one of them is answered with yes or no. The same holds for the owner of shard 0 when it raises the
//! part of another shard, since that takes the same from its own.

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

/// Partitions are read this often, and this often while nothing asks for it.
const READ_INTERVAL: Micros = SECOND / 2;
const IDLE_READ_INTERVAL: Micros = 2 * SECOND;
/// What lies idle for so long is given back.
const RETURN_DELAY: Micros = 2 * SECOND;
/// A write without an answer is sent again after this time.
const WRITE_RETRY_INTERVAL: Micros = SECOND / 2;

/// A shard's partition, as last read.
#[derive(Debug)]
struct StoredPartition {
    /// In the settings' order of teams.
    limits: Vec<Resources>,
    version: u64,
}

/// A partition that was read before the teams were known.
#[derive(Debug)]
struct UnresolvedPartition {
    shard: u32,
    record: QuotaPartitionRecord,
    version: u64,
}

/// A write whose outcome is not certain.
#[derive(Debug)]
struct PendingWrite {
    quotas: ShardQuotas,
    transaction: Transaction,
    is_in_flight: bool,
    retry_at: Micros,
}

/// See the [module](self).
#[derive(Debug, Default)]
pub(super) struct QuotaPartitioner {
    partitions: BTreeMap<u32, StoredPartition>,
    unresolved: Vec<UnresolvedPartition>,
    read_in_flight: bool,
    read_at: Micros,
    pending_write: Option<PendingWrite>,
    /// Since when more lies idle than is to be kept.
    idle_since: Option<Micros>,
    /// Records that cannot be parsed were read last, and the time before. Nothing is raised while there are any.
    has_damaged_records: bool,
    had_damaged_records: bool,
}

impl QuotaPartitioner {
    // ---- Reading ----

    /// Takes in a partition as the state service holds it.
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
                    tracing::error!(key = %item.key, "a quota partition cannot be read; nothing is given out");
                }
                self.has_damaged_records = true;
            }
        }
    }

    /// Puts what was read into the order of the teams.
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

    /// Has the cluster keep to what its shard may use.
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

    /// What the cluster's shard may use; `None`: there are no partitions, and shard 0 may use everything.
    fn limits(&self, cluster: &Cluster) -> Option<Vec<Resources>> {
        let total = team_limits(cluster);
        let mut quotas = self.quotas();
        if let Some(pending) = &self.pending_write {
            // What may be written already: the more for others, the less for this one.
            quotas.extend(pending.quotas.clone());
        }
        let nothing = vec![Resources::default(); total.len()];
        match cluster.shard.id {
            0 if self.has_damaged_records => Some(nothing),
            0 if quotas.is_empty() => None,
            0 => Some(quota_partition::remaining_quota(&total, &quotas)),
            shard => Some(quotas.remove(&shard).unwrap_or(nothing)),
        }
    }

    /// Reads the partitions now and then, and sends a write again that had no answer.
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
        // The versions of all are needed to give out, and one's own to give back.
        let request = StoreRequest::list(QUOTA_PARTITION_PREFIX, "");
        send(outbox, lease, request, OwnerRequest::ReadQuotaPartitions);
    }

    /// Takes in what was read, obeys it, and gives back or gives out.
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

    // ---- Giving out and giving back ----

    /// What other shards are to get out of what shard 0 has left.
    fn raised_quotas(&self, outbox: &Outbox, cluster: &Cluster, load: &ShardLoad) -> ShardQuotas {
        if self.has_damaged_records {
            return ShardQuotas::new();
        }
        let others = outbox.shard_loads.iter().filter(|load| load.shard > 0);
        let told = others
            .map(|load| (load.shard, load.teams.clone()))
            .collect();
        let total = team_limits(cluster);
        quota_partition::raised_quotas(&total, &self.quotas(), &load.teams, &told)
    }

    /// What this shard keeps, if some of what it may use has been idle for a while.
    fn lowered_quotas(&mut self, shard: u32, load: &ShardLoad, now: Micros) -> ShardQuotas {
        let partition = self.partitions.get(&shard);
        let limits = partition.map_or(&[][..], |partition| &partition.limits[..]);
        let lowered = quota_partition::lowered_quota(limits, &load.teams);
        let idle_since = *self.idle_since.get_or_insert(now);
        let Some(lowered) = lowered else {
            self.idle_since = None;
            let waits_for_nothing = load
                .teams
                .iter()
                .all(|team| team.waiting == Resources::default());
            if waits_for_nothing {
                self.read_at = now + IDLE_READ_INTERVAL;
            }
            return ShardQuotas::new();
        };
        if now < idle_since + RETURN_DELAY {
            return ShardQuotas::new();
        }
        ShardQuotas::from([(shard, lowered)])
    }

    /// Writes changed partitions, as many as one transaction holds. They are obeyed from before they are sent.
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
        // What is given out depends on all that has been; what is given back on this one alone.
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

    /// Takes in the answer to a write; `status` is `None` if there was none.
    pub fn handle_write_answer(&mut self, now: Micros, status: Option<u16>) {
        match status {
            // Carried out now, or never: whichever of its like came first has changed a version.
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

/// What each team may use in the whole cluster.
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
