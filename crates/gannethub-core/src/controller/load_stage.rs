//! Stages in which a shard owner reads its shard's state from the state service.

use crate::wire::store;

/// One kind of records to read. The stages follow each other in the order of the variants, and each stage may take
/// several pages.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum LoadStage {
    /// Live jobs.
    #[default]
    Jobs,
    /// Finished tasks that do not fit into the jobs' own records.
    DoneParts,
    /// The shard's own machines.
    Machines,
    /// Machines in transfer from one shard to another. Read only if there are several shards.
    Transfers,
    /// Quota partitions of the shards. Read only if there are several shards.
    QuotaPartitions,
    /// Head of the ledger. Read only if a ledger is kept.
    LedgerHead,
    /// Last pages of the ledger.
    LedgerPages,
    /// Everything has been read.
    Loaded,
}

impl LoadStage {
    pub fn next(self) -> LoadStage {
        match self {
            LoadStage::Jobs => LoadStage::DoneParts,
            LoadStage::DoneParts => LoadStage::Machines,
            LoadStage::Machines => LoadStage::Transfers,
            LoadStage::Transfers => LoadStage::QuotaPartitions,
            LoadStage::QuotaPartitions => LoadStage::LedgerHead,
            LoadStage::LedgerHead => LoadStage::LedgerPages,
            LoadStage::LedgerPages | LoadStage::Loaded => LoadStage::Loaded,
        }
    }

    /// Whether the stage is read only if there are several shards.
    pub fn is_for_several_shards(self) -> bool {
        matches!(self, LoadStage::Transfers | LoadStage::QuotaPartitions)
    }

    /// Returns the prefix of the stage's keys, if the stage lists all keys with one prefix.
    pub fn listed_prefix(self) -> Option<&'static str> {
        match self {
            LoadStage::Jobs => Some(store::LIVE_JOB_PREFIX),
            LoadStage::DoneParts => Some(store::DONE_PART_PREFIX),
            LoadStage::Machines => Some(store::SHARD_PREFIX),
            LoadStage::Transfers => Some(store::MACHINE_TRANSFER_PREFIX),
            LoadStage::QuotaPartitions => Some(store::QUOTA_PARTITION_PREFIX),
            LoadStage::LedgerHead | LoadStage::LedgerPages | LoadStage::Loaded => None,
        }
    }
}
