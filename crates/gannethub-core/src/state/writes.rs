//! What is in a transaction on its way to the state service.

use std::collections::BTreeMap;

use crate::model::{JobId, TaskSet};
use crate::wire::store::JobRecord;

/// Part of a transaction in flight.
#[derive(Debug, Clone)]
pub enum BatchedWrite {
    JobProgress {
        id: JobId,
        done_parts: BTreeMap<u32, TaskSet>,
        /// The mark in its own value.
        watermark: u32,
    },
    /// `late_s`: by how much it missed its deadline.
    JobEnd {
        id: JobId,
        cancelled: bool,
        deadline_missed_by_s: Option<u32>,
    },
    /// A job that waited for others is released.
    JobRelease {
        id: JobId,
        record: Box<JobRecord>,
    },
    /// A waiting job is cancelled with one that it needs.
    WaitingJobCancellation {
        id: JobId,
    },
    ShardChunk {
        index: usize,
        members: Vec<String>,
    },
    /// A page of the ledger.
    LedgerPage,
    /// That marks cover all launches.
    WatermarksReliable,
    /// A job goes to another block.
    JobTransfer {
        id: JobId,
        record: Box<JobRecord>,
    },
    /// A machine was given to another block.
    MachineTransfer {
        machine: String,
    },
    StaleKeyDeletion,
}

#[derive(Debug, Default)]
pub struct WriteBatch {
    pub(crate) writes: Vec<BatchedWrite>,
    keys: Vec<String>,
}

impl WriteBatch {
    pub fn push(&mut self, item: BatchedWrite, key: String) {
        self.writes.push(item);
        self.keys.push(key);
    }

    /// Keys whose versions are unsure when the transaction's fate is.
    pub fn keys(&self) -> &[String] {
        &self.keys
    }
}
