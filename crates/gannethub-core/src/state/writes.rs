//! What is to be written to the state service, and what a transaction on its way there carries.

use std::collections::{BTreeMap, HashMap};

use crate::model::{JobId, TaskSet};
use crate::wire::store::{AssignmentKeys, JobRecord};

/// What has to be remembered about writes to the state service, beside the state that is written.
#[derive(Debug)]
pub struct StoreWrites {
    /// The owner key guards every transaction.
    pub assignment_keys: AssignmentKeys,
    /// Keys that nothing needs any more. They are deleted as transactions have room for it.
    pub(crate) stale_keys: Vec<String>,
    /// Jobs that are over, and the versions at which they ended: the watch may still bring older records of them.
    tombstones: HashMap<JobId, u64>,
    /// Transactions in a row that the state service called malformed or too large. The next ones are smaller.
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

    /// The job ended at this version.
    pub(crate) fn add_tombstone(&mut self, job: JobId, version: u64) {
        self.tombstones.insert(job, version);
    }

    /// Whether the job had ended when its record had this version.
    pub fn has_tombstone(&self, job: &str, version: u64) -> bool {
        let ended_at = self.tombstones.get(job);
        ended_at.is_some_and(|ended_at| *ended_at >= version)
    }

    /// The watch has reached this version, so nothing older can come.
    pub fn prune_tombstones(&mut self, version: u64) {
        self.tombstones.retain(|_, ended_at| *ended_at > version);
    }
}

/// A change that a transaction on its way to the state service carries, with what has to be done once its outcome
/// is known.
#[derive(Debug, Clone)]
pub enum BatchedWrite {
    /// The record of a job, with parts of its set of finished tasks.
    JobProgress {
        id: JobId,
        /// Finished tasks by the number of the part that they are stored in.
        done_parts: BTreeMap<u32, TaskSet>,
        /// The launch watermark in the record.
        watermark: u32,
    },
    /// The end of a job. `deadline_missed_by_s`: by how many seconds it missed its deadline, if it did.
    JobEnd {
        id: JobId,
        cancelled: bool,
        deadline_missed_by_s: Option<u32>,
    },
    /// A job that waited for others is released.
    JobRelease { id: JobId, record: Box<JobRecord> },
    /// A waiting job is cancelled together with one that it waits for.
    WaitingJobCancellation { id: JobId },
    /// Part of the shard's record of its machines.
    ShardChunk { index: usize, members: Vec<String> },
    /// A page of the usage ledger.
    LedgerPage,
    /// That the watermarks of this term are reliable.
    WatermarksReliable,
    /// A job goes to another shard.
    JobTransfer { id: JobId, record: Box<JobRecord> },
    /// A machine goes to another shard.
    MachineTransfer { machine: String },
    /// The deletion of a key that nothing needs any more.
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

    /// Keys whose versions are unknown when the outcome of the transaction is.
    pub fn keys(&self) -> &[String] {
        &self.guarded_keys
    }
}
