//! Keys of the state service.
//!
//! | key | value |
//! | --- | --- |
//! | `gh/lead/holder` | the leader; the key is bound to the leader's store lease: [`LeaseRecord`](super::LeaseRecord) |
//! | `gh/lead/term` | the last term of a leader, and the leader in that term: [`LeaseRecord`](super::LeaseRecord) |
//! | `gh/lead/count` | the highest term of any shard owner, if the cluster has several shards |
//! | `gh/seat/<shard>/holder`, `gh/seat/<shard>/term` | the same two records as under the leader's keys, for every other shard |
//! | `gh/live/<job>` | an unfinished job: [`JobRecord`](super::JobRecord), or [`WaitingRecord`](super::WaitingRecord) before the job's release |
//! | `gh/live/configuration` | the configuration version in force |
//! | `gh/part/<job>/<n>` | finished tasks that do not fit into the job's record: [`DonePartRecord`](super::DonePartRecord) |
//! | `gh/over/<job>` | a finished job, or a cancelled job without remaining tasks: [`FinishedJobRecord`](super::FinishedJobRecord) |
//! | `gh/block/<shard>/<chunk>` | machines of a shard; the record is written before the first launch on them |
//! | `gh/move/<shard>/<machine>` | a machine that was transferred to the shard and is in no shard's record yet: [`MachineTransferRecord`](super::MachineTransferRecord) |
//! | `gh/allot/<shard>` | the resources that teams may use in the shard: [`QuotaPartitionRecord`](super::QuotaPartitionRecord). Shard 0 has the rest of the teams' limits |
//! | `gh/config/…` | the history of configuration versions, and their documents |
//! | `gh/ledger/head` | the head of the ledger |
//! | `gh/ledger/page/<n>` | a page of the ledger |

/// Key of the owner of shard 0, which is the leader.
pub const LEADER_KEY: &str = "gh/lead/holder";
/// Key of the leader's last term.
pub const LEADER_TERM_KEY: &str = "gh/lead/term";
/// Prefix of the leader's keys.
pub const LEADER_PREFIX: &str = "gh/lead/";
/// Prefix of the keys of unfinished jobs.
pub const LIVE_JOB_PREFIX: &str = "gh/live/";
/// Prefix of the keys of finished tasks that are stored outside their job's record.
pub const DONE_PART_PREFIX: &str = "gh/part/";
/// Prefix of the keys of finished jobs.
pub const FINISHED_JOB_PREFIX: &str = "gh/over/";
/// Prefix of the keys of shards' machines.
pub const SHARD_PREFIX: &str = "gh/block/";
/// Key of the highest term of any shard owner.
pub const TERM_COUNTER_KEY: &str = "gh/lead/count";
/// Prefix of the keys of the owners and terms of shards other than shard 0.
pub const SHARD_ASSIGNMENT_PREFIX: &str = "gh/seat/";
/// Prefix of the keys of machines in transfer to a shard.
pub const MACHINE_TRANSFER_PREFIX: &str = "gh/move/";
/// Prefix of the keys of quota partitions, which are the shards' parts of the teams' limits.
pub const QUOTA_PARTITION_PREFIX: &str = "gh/allot/";
/// Key of the head of the ledger.
pub const LEDGER_HEAD_KEY: &str = "gh/ledger/head";
/// Prefix of the keys of the ledger's pages.
pub const LEDGER_PAGE_PREFIX: &str = "gh/ledger/page/";

/// The keys that hold the assignment of a shard to its owner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AssignmentKeys {
    /// Key of the shard's owner. The key is bound to the owner's store lease and is deleted with the lease.
    pub owner: String,
    /// Key of the last term in which the shard was owned. This key outlives the store lease.
    pub term: String,
}

/// Returns the keys that hold the assignment of a shard. Those of shard 0 are the leader's keys.
pub fn assignment_keys(shard: u32) -> AssignmentKeys {
    match shard {
        0 => AssignmentKeys {
            owner: LEADER_KEY.into(),
            term: LEADER_TERM_KEY.into(),
        },
        _ => AssignmentKeys {
            owner: format!("{SHARD_ASSIGNMENT_PREFIX}{shard}/holder"),
            term: format!("{SHARD_ASSIGNMENT_PREFIX}{shard}/term"),
        },
    }
}

/// Returns the key of a live job's record.
pub fn live_job_key(id: &str) -> String {
    format!("{LIVE_JOB_PREFIX}{id}")
}

/// Returns the key of a finished job's record.
pub fn finished_job_key(id: &str) -> String {
    format!("{FINISHED_JOB_PREFIX}{id}")
}

/// Returns the key of one part of a large array's finished tasks.
pub fn done_part_key(id: &str, part: u32) -> String {
    format!("{DONE_PART_PREFIX}{id}/{part}")
}

/// Parses a key built by [`done_part_key`] into the job id and the number of the part.
pub fn parse_done_part_key(key: &str) -> Option<(&str, u32)> {
    let (id, part) = key.strip_prefix(DONE_PART_PREFIX)?.rsplit_once('/')?;
    Some((id, part.parse().ok()?))
}

/// Returns the key of a machine in transfer to a shard.
pub fn machine_transfer_key(shard: u32, machine: &str) -> String {
    format!("{MACHINE_TRANSFER_PREFIX}{shard}/{machine}")
}

/// Returns the shard named in the key of a chunk of machines. The shard may be any shard.
pub fn parse_chunk_shard(key: &str) -> Option<u32> {
    let (shard, _) = key.strip_prefix(SHARD_PREFIX)?.split_once('/')?;
    shard.parse().ok()
}

/// Returns the key of a page of the ledger. The keys sort in the order of the page numbers.
pub fn ledger_page_key(page: u64) -> String {
    format!("{LEDGER_PAGE_PREFIX}{page:012}")
}
