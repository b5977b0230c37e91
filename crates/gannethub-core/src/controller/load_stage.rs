//! The stages in which a shard's owner reads its state from the state service.

use crate::wire::store;

/// One kind of records to be read. The stages follow each other in the order of the variants, and each may take several
/// pages.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum LoadStage {
    /// Live jobs.
    #[default]
    Jobs,
    /// Finished tasks that the jobs' own records have no room for.
    DoneParts,
    /// The shard's own machines.
    Machines,
    /// Machines on their way from one shard to another. Only where there are several shards.
    Transfers,
    /// What each shard may use of the teams' limits. Only where there are several shards.
    QuotaPartitions,
    /// The ledger's head. Only where a ledger is kept.
    LedgerHead,
    /// The ledger's last pages.
    LedgerPages,
    /// Everything has been read.
    Loaded,
}

impl LoadStage {
    /// The stage that follows.
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

    /// Whether it is read only where there are several shards.
    pub fn is_for_several_shards(self) -> bool {
        matches!(self, LoadStage::Transfers | LoadStage::QuotaPartitions)
    }

    /// The prefix under which all keys are listed, where the stage is a listing of all of them.
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
