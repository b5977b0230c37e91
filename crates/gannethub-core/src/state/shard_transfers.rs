//! Machines on their way between shards, and what the owner of shard 0 knows of the other shards.

use std::collections::{BTreeMap, HashSet};

use super::fleet::Offer;
use super::shard_load::ShardLoad;
use crate::model::{JobId, Micros};
use crate::wire::store::MachineTransferRecord;

/// Machines that are being transferred from or to this shard.
///
/// Only the owner of shard 0 gives machines away; any owner takes them. It is changed by `reconcile::shard_transfer`,
/// but for the provisioning requests, which `scheduling::quota_partition` adds.
#[derive(Debug, Default)]
pub struct ShardTransfers {
    /// New machines that are to go to other shards, by name, until that is durable.
    pub outgoing: BTreeMap<String, OutgoingTransfer>,
    /// Provisioning requests, by name, and the shards that their machines are for.
    pub provisioning_for_shard: BTreeMap<String, u32>,
    /// What has lately been transferred to each shard.
    pub(crate) recent: BTreeMap<u32, Vec<RecentTransfer>>,
    /// Machines that are being taken into this shard and are not on its durable record yet.
    pub incoming: HashSet<String>,
}

/// A new machine on its way to another shard.
#[derive(Clone, Debug)]
pub struct OutgoingTransfer {
    pub to_shard: u32,
    pub record: MachineTransferRecord,
    /// The transaction that makes the transfer durable is on its way.
    pub write_in_flight: bool,
}

/// A machine that was transferred to another shard.
#[derive(Debug)]
pub(crate) struct RecentTransfer {
    pub record: MachineTransferRecord,
    /// Until when the machine counts as on its way.
    pub counts_until: Micros,
}

/// What is known of the other shards. Only the owner of shard 0 keeps track of their machines and jobs.
#[derive(Debug, Default)]
pub struct OtherShards {
    /// Machines that are in another shard, or on their way there, and which that is.
    pub machines: BTreeMap<String, u32>,
    /// Jobs of other shards, and the versions of their records.
    pub jobs: BTreeMap<JobId, u64>,
    /// How the shards stand, from which the home shard of a new job is chosen.
    pub loads: Vec<ShardLoad>,
    /// Machines that the owners of other shards ask for and that have not been requested yet.
    pub demand: BTreeMap<u32, BTreeMap<Offer, u32>>,
}
