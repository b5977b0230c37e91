//! Machines in transfer between shards, and the known state of the other shards.

use std::collections::{BTreeMap, HashSet};

use super::fleet::Offer;
use super::shard_load::ShardLoad;
use crate::model::{JobId, Micros};
use crate::wire::store::MachineTransferRecord;

/// Machines that are being transferred from or to this shard.
///
/// Only the owner of shard 0 gives machines away; any owner accepts them. `reconcile` changes this state, except that
/// `scheduling::quota_partition` adds the provisioning requests.
#[derive(Debug, Default)]
pub struct ShardTransfers {
    /// New machines that are to be transferred to other shards, by name, until the transfer is durable.
    pub outgoing: BTreeMap<String, OutgoingTransfer>,
    /// Provisioning requests by name, with the shards for which their machines are intended.
    pub provisioning_for_shard: BTreeMap<String, u32>,
    /// Recent transfers to each shard.
    pub(crate) recent: BTreeMap<u32, Vec<RecentTransfer>>,
    /// Machines that are being taken into this shard and are not on its durable record yet.
    pub incoming: HashSet<String>,
}

/// A new machine in transfer to another shard.
#[derive(Clone, Debug)]
pub struct OutgoingTransfer {
    pub to_shard: u32,
    pub record: MachineTransferRecord,
    /// Whether the transaction that makes the transfer durable is in flight.
    pub write_in_flight: bool,
}

/// A machine that was transferred to another shard.
#[derive(Debug)]
pub(crate) struct RecentTransfer {
    pub record: MachineTransferRecord,
    /// Time until which the machine counts as in transfer.
    pub counts_until: Micros,
}

/// Known state of the other shards. Only the owner of shard 0 tracks their machines and jobs.
#[derive(Debug, Default)]
pub struct OtherShards {
    /// Machines that are in another shard or in transfer to it, with that shard.
    pub machines: BTreeMap<String, u32>,
    /// Jobs of other shards, with the versions of their records.
    pub jobs: BTreeMap<JobId, u64>,
    /// Loads of the shards, from which the target shard of a new job is chosen.
    pub loads: Vec<ShardLoad>,
    /// Machines that the owners of other shards request and that have not been requested from the cloud yet.
    pub demand: BTreeMap<u32, BTreeMap<Offer, u32>>,
}
