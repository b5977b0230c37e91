//! Pending writes to the state service, and the contents of in-flight transactions.

use std::collections::{BTreeMap, HashMap};

use crate::model::{JobId, TaskSet};
use crate::wire::store::{AssignmentKeys, JobRecord};

/// State about writes to the state service, in addition to the written state itself.
#[derive(Debug)]
pub struct StoreWrites {
    /// Keys of the shard's assignment. The owner key guards every transaction.
    pub assignment_keys: AssignmentKeys,
    /// Keys that are no longer needed. They are deleted when transactions have room for the deletion.
    pub(crate) stale_keys: Vec<String>,
    /// Jobs that are over, with the versions at which they ended: the watch may still deliver older records of them.
    tombstones: HashMap<JobId, u64>,
    /// Number of consecutive transactions that the state service rejected as malformed or too large. The next
    /// transactions are smaller.
    pub transaction_rejections: u32,
}

impl StoreWrites {
    pub fn new(assignment_keys: AssignmentKeys) -> StoreWrites {
        StoreWrites {
            assignment_keys,
            stale_keys: Vec::new(),
            tombstones: HashMap::new(),
            transaction_rejections: 0,
        }
    }

    /// Records that the job ended at this version.
    pub(crate) fn add_tombstone(&mut self, job: JobId, version: u64) {
        self.tombstones.insert(job, version);
    }

    /// Whether the job had already ended when its record had this version.
    pub fn has_tombstone(&self, job: &str, version: u64) -> bool {
        let ended_at = self.tombstones.get(job);
        ended_at.is_some_and(|ended_at| *ended_at >= version)
    }

    /// Removes tombstones up to `version`, which the watch has reached, so that no older record can arrive.
    pub fn prune_tombstones(&mut self, version: u64) {
        self.tombstones.retain(|_, ended_at| *ended_at > version);
    }
}

/// A change in an in-flight transaction to the state service, with the data needed once the outcome is known.
#[derive(Debug, Clone)]
pub enum BatchedWrite {
    /// The record of a job, with parts of its set of finished tasks.
    JobProgress {
        id: JobId,
        /// Finished tasks, by the number of the part in which they are stored.
        done_parts: BTreeMap<u32, TaskSet>,
        /// The launch watermark in the record.
        watermark: u32,
    },
    /// The end of a job. `deadline_missed_by_s`: number of seconds by which the job missed its deadline, if it did.
    JobEnd {
        id: JobId,
        cancelled: bool,
        deadline_missed_by_s: Option<u32>,
    },
    /// The release of a job that waited for other jobs.
    JobRelease { id: JobId, record: Box<JobRecord> },
    /// The cancellation of a waiting job together with an upstream job.
    WaitingJobCancellation { id: JobId },
    /// One chunk of the shard's record of its machines.
    ShardChunk { index: usize, members: Vec<String> },
    /// A page of the usage ledger.
    LedgerPage,
    /// The record that the watermarks of this term are reliable.
    WatermarksReliable,
    /// The transfer of a job to another shard.
    JobTransfer { id: JobId, record: Box<JobRecord> },
    /// The transfer of a machine to another shard.
    MachineTransfer { machine: String },
    /// The deletion of a key that is no longer needed.
    StaleKeyDeletion,
}

/// All changes of one transaction.
#[derive(Debug, Default)]
pub struct WriteBatch {
    pub(crate) writes: Vec<BatchedWrite>,
    guarded_keys: Vec<String>,
}

impl WriteBatch {
    /// Adds a change that is guarded by the version of a key.
    pub fn push(&mut self, write: BatchedWrite, key: String) {
        self.writes.push(write);
        self.guarded_keys.push(key);
    }

    /// Returns the keys whose versions are unknown if the outcome of the transaction is unknown.
    pub fn keys(&self) -> &[String] {
        &self.guarded_keys
    }
}
