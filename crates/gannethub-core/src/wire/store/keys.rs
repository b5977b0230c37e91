//! Keys in the state service.
//!
//! | key | value |
//! | --- | --- |
//! | `gh/lead/holder` | the leader, bound to its store lease: [`LeaseRecord`](super::LeaseRecord) |
//! | `gh/lead/term` | the last term of a leader, and whose it was: [`LeaseRecord`](super::LeaseRecord) |
//! | `gh/lead/count` | the highest term of any shard's owner, where there are several shards |
//! | `gh/seat/<shard>/holder`, `gh/seat/<shard>/term` | the same as the leader's keys, of every other shard |
//! | `gh/live/<job>` | a job that is not finished: [`JobRecord`](super::JobRecord), or [`WaitingRecord`](super::WaitingRecord) before its release |
//! | `gh/live/configuration` | the version of the configuration that is in force |
//! | `gh/part/<job>/<n>` | finished tasks that do not fit into the job's own value: [`DonePartRecord`](super::DonePartRecord) |
//! | `gh/over/<job>` | a finished job, or a cancelled one none of whose tasks is left: [`FinishedJobRecord`](super::FinishedJobRecord) |
//! | `gh/block/<shard>/<chunk>` | machines of a shard, written before the first launch on them |
//! | `gh/move/<shard>/<machine>` | a machine that was given to that shard and is on no shard's record yet: [`MachineTransferRecord`](super::MachineTransferRecord) |
//! | `gh/allot/<shard>` | what teams may use in that shard: [`QuotaPartitionRecord`](super::QuotaPartitionRecord). What is left of their limits is shard 0's |
//! | `gh/config/…` | earlier versions of the configuration, and documents |
//! | `gh/ledger/head` | where the ledger stands |
//! | `gh/ledger/page/<n>` | a page of the ledger |

/// The owner of shard 0, which is the leader.
pub const LEADER_KEY: &str = "gh/lead/holder";
/// The leader's last term.
pub const TERM_KEY: &str = "gh/lead/term";
/// The prefix of the leader's keys.
pub const LEADER_PREFIX: &str = "gh/lead/";
/// The prefix of jobs that are not finished.
pub const LIVE_JOB_PREFIX: &str = "gh/live/";
/// The prefix of finished tasks in keys of their own.
pub const DONE_PART_PREFIX: &str = "gh/part/";
/// The prefix of finished jobs.
pub const FINISHED_JOB_PREFIX: &str = "gh/over/";
/// The prefix of shards' machines.
pub const SHARD_PREFIX: &str = "gh/block/";
/// The highest term of any shard's owner.
pub const TERM_COUNTER_KEY: &str = "gh/lead/count";
/// The prefix of the owners and terms of shards other than 0.
pub const SHARD_ASSIGNMENT_PREFIX: &str = "gh/seat/";
/// The prefix of machines on their way to a shard.
pub const MACHINE_TRANSFER_PREFIX: &str = "gh/move/";
/// The prefix of shards' parts of the teams' limits.
pub const QUOTA_PARTITION_PREFIX: &str = "gh/allot/";
/// Where the ledger stands.
pub const LEDGER_HEAD_KEY: &str = "gh/ledger/head";
/// The prefix of the ledger's pages.
pub const LEDGER_PAGE_PREFIX: &str = "gh/ledger/page/";

/// The keys that say who owns a shard.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AssignmentKeys {
    /// Its owner. The key is bound to the owner's store lease, and goes with it.
    pub owner: String,
    /// The last term that it was owned in. This key stays.
    pub term: String,
}

/// The keys that say who owns a shard. Shard 0's are the leader's.
pub fn assignment_keys(shard: u32) -> AssignmentKeys {
    match shard {
        0 => AssignmentKeys {
            owner: LEADER_KEY.into(),
            term: TERM_KEY.into(),
        },
        _ => AssignmentKeys {
            owner: format!("{SHARD_ASSIGNMENT_PREFIX}{shard}/holder"),
            term: format!("{SHARD_ASSIGNMENT_PREFIX}{shard}/term"),
        },
    }
}

/// The key of a live job's record.
pub fn live_job_key(id: &str) -> String {
    format!("{LIVE_JOB_PREFIX}{id}")
}

/// The key of a finished job's record.
pub fn finished_job_key(id: &str) -> String {
    format!("{FINISHED_JOB_PREFIX}{id}")
}

/// The key of one part of a large array's finished tasks.
pub fn done_part_key(id: &str, part: u32) -> String {
    format!("{DONE_PART_PREFIX}{id}/{part}")
}

/// The job and the number of the part that a key of [`done_part_key`] names.
pub fn parse_done_part_key(key: &str) -> Option<(&str, u32)> {
    let (id, part) = key.strip_prefix(DONE_PART_PREFIX)?.rsplit_once('/')?;
    Some((id, part.parse().ok()?))
}

/// The key of a machine that is on its way to a shard.
pub fn machine_transfer_key(shard: u32, machine: &str) -> String {
    format!("{MACHINE_TRANSFER_PREFIX}{shard}/{machine}")
}

/// The shard that a chunk's key names, whichever shard that is.
pub fn parse_chunk_shard(key: &str) -> Option<u32> {
    let (shard, _) = key.strip_prefix(SHARD_PREFIX)?.split_once('/')?;
    shard.parse().ok()
}

/// The key of a page of the ledger. Keys sort as their pages' numbers do.
pub fn ledger_page_key(page: u64) -> String {
    format!("{LEDGER_PAGE_PREFIX}{page:012}")
}
