//! Records kept in the state service.

use std::collections::BTreeMap;
use std::ops::Not;

use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

use super::encoding::encode_job_ids;
use crate::model::{JobId, JobSpec, Resources};

/// A value as it goes into a transaction.
pub fn to_raw_value(value: &impl Serialize) -> Box<RawValue> {
    // Our records have string keys only and finite numbers, so they always serialize.
    serde_json::value::to_raw_value(value).unwrap_or_else(|_| RawValue::NULL.to_owned())
}

/// Values are kept this far below their limit, as the state service may write them less tightly.
pub const VALUE_SLACK_BYTES: usize = 64;

/// A machine that is on its way to a shard.
#[derive(Serialize, Deserialize, Clone, Debug, PartialEq)]
pub struct MachineTransferRecord {
    #[serde(rename = "flavor")]
    pub machine_type: String,
    pub zone: String,
    pub spot: bool,
}

/// What each team may use in a shard at most. The shard's owner lowers it, and keeps to that from before it is
/// written; only the owner of shard 0 raises it, out of what no other shard has.
#[derive(Serialize, Deserialize, Clone, Debug, Default, PartialEq)]
pub struct QuotaPartitionRecord {
    pub teams: BTreeMap<String, Resources>,
}

/// Who owns a shard, under its owner key and its term key.
#[derive(Serialize, Deserialize, Clone, Debug, PartialEq)]
pub struct LeaseRecord {
    /// The controller's name.
    #[serde(rename = "holder")]
    pub owner: String,
    pub term: u64,
    /// Whatever may be on a machine, of any term so far, is below its job's watermark ([`JobRecord::watermark`]).
    /// Releases before watermarks do not write this field, and launch without them.
    #[serde(rename = "marked", default, skip_serializing_if = "Not::not")]
    pub watermarks_reliable: bool,
}

/// A live job that waits for no other job, or no longer.
#[derive(Serialize, Deserialize, Clone, Debug, PartialEq)]
pub struct JobRecord {
    pub spec: JobSpec,
    /// Unix time at acceptance, in microseconds.
    #[serde(rename = "at")]
    pub accepted_at: u64,
    /// Unix time at its release, in microseconds, if it waited for other jobs.
    #[serde(rename = "ready", default, skip_serializing_if = "Option::is_none")]
    pub ready_at: Option<u64>,
    /// Finished tasks of its first part ([`encode_done_part`](super::encode_done_part)), unless those have a key of
    /// their own.
    #[serde(default)]
    pub done: String,
    #[serde(default)]
    pub cancelled: bool,
    /// It fails wherever it runs.
    #[serde(rename = "failing", default, skip_serializing_if = "Not::not")]
    pub crash_looping: bool,
    /// Only tasks with lower numbers may be on a machine: it is raised before they are launched. `None`: any may be.
    #[serde(rename = "open", default, skip_serializing_if = "Option::is_none")]
    pub watermark: Option<u32>,
    /// The shard that its tasks run in. Only [`JobRecord::to_value`] writes it.
    #[serde(skip)]
    pub shard: u32,
}

impl JobRecord {
    /// A job that is accepted at `accepted_at`, none of whose tasks has been launched.
    pub fn new(spec: JobSpec, accepted_at: u64) -> JobRecord {
        JobRecord {
            spec,
            accepted_at,
            ready_at: None,
            done: String::new(),
            cancelled: false,
            crash_looping: false,
            watermark: Some(0),
            shard: 0,
        }
    }

    /// The value as it is stored. A job of another shard than 0 has a form of its own.
    pub fn to_value(&self) -> Box<RawValue> {
        match self.shard {
            0 => to_raw_value(self),
            _ => to_raw_value(&ShardedJobRecord::from(self.clone())),
        }
    }

    /// Tasks with this number or a higher one are on no machine.
    pub fn effective_watermark(&self) -> u32 {
        let tasks = self.spec.tasks;
        self.watermark.unwrap_or(tasks).min(tasks)
    }
}

/// A live job that waits for others.
///
/// It is written so that a controller of a release before pipelines answers queries from it, and cannot start the job:
/// what that release's queries need is where they look for it, and what its leader needs is not.
#[derive(Serialize, Deserialize, Clone, Debug, PartialEq)]
pub struct WaitingRecord {
    spec: TaskCount,
    /// Unix time at acceptance, in microseconds.
    #[serde(rename = "at")]
    pub accepted_at: u64,
    pub cancelled: bool,
    pub waiting: WaitingJobSpec,
}

/// What a waiting job is, and which jobs it waits for.
#[derive(Serialize, Deserialize, Clone, Debug, PartialEq)]
pub struct WaitingJobSpec {
    pub job: JobSpec,
    /// As [`encode_job_ids`] writes them.
    #[serde(rename = "on")]
    pub upstream_ids: String,
}

/// The part of a spec that queries of earlier releases need.
#[derive(Serialize, Deserialize, Clone, Debug, PartialEq)]
struct TaskCount {
    tasks: u32,
}

impl WaitingRecord {
    pub fn new(
        job: JobSpec,
        accepted_at: u64,
        cancelled: bool,
        upstream: &[JobId],
    ) -> WaitingRecord {
        WaitingRecord {
            spec: TaskCount { tasks: job.tasks },
            accepted_at,
            cancelled,
            waiting: WaitingJobSpec {
                job,
                upstream_ids: encode_job_ids(upstream),
            },
        }
    }
}

/// A live job whose tasks run in another shard than 0.
///
/// A controller of a release before shards answers queries from it, and cannot start the job, which it would do beside
/// the shard's owner.
#[derive(Serialize, Deserialize, Clone, Debug, PartialEq)]
struct ShardedJobRecord {
    spec: TaskCount,
    #[serde(rename = "at")]
    accepted_at: u64,
    #[serde(default)]
    done: String,
    #[serde(default)]
    cancelled: bool,
    #[serde(rename = "homed")]
    sharded: ShardedJob,
}

#[derive(Serialize, Deserialize, Clone, Debug, PartialEq)]
struct ShardedJob {
    #[serde(rename = "block")]
    shard: u32,
    #[serde(rename = "job")]
    spec: JobSpec,
    #[serde(rename = "ready", default, skip_serializing_if = "Option::is_none")]
    ready_at: Option<u64>,
    #[serde(rename = "failing", default, skip_serializing_if = "Not::not")]
    crash_looping: bool,
    #[serde(rename = "open", default, skip_serializing_if = "Option::is_none")]
    watermark: Option<u32>,
}

impl From<JobRecord> for ShardedJobRecord {
    fn from(record: JobRecord) -> ShardedJobRecord {
        ShardedJobRecord {
            spec: TaskCount {
                tasks: record.spec.tasks,
            },
            accepted_at: record.accepted_at,
            done: record.done,
            cancelled: record.cancelled,
            sharded: ShardedJob {
                shard: record.shard,
                spec: record.spec,
                ready_at: record.ready_at,
                crash_looping: record.crash_looping,
                watermark: record.watermark,
            },
        }
    }
}

impl From<ShardedJobRecord> for JobRecord {
    fn from(record: ShardedJobRecord) -> JobRecord {
        JobRecord {
            spec: record.sharded.spec,
            accepted_at: record.accepted_at,
            ready_at: record.sharded.ready_at,
            done: record.done,
            cancelled: record.cancelled,
            crash_looping: record.sharded.crash_looping,
            watermark: record.sharded.watermark,
            shard: record.sharded.shard,
        }
    }
}

/// A live job's record, in any of its forms.
#[derive(Clone, Debug, PartialEq)]
pub enum LiveRecord {
    Job(JobRecord),
    Waiting(WaitingRecord),
}

impl LiveRecord {
    /// Reads a live job's record. Text of no form is explained as what it is most likely meant to be, a [`JobRecord`].
    pub fn parse(text: &str) -> Result<LiveRecord, serde_json::Error> {
        let error = match serde_json::from_str(text) {
            Ok(record) => return Ok(LiveRecord::Job(record)),
            Err(error) => error,
        };
        if let Ok(record) = serde_json::from_str(text) {
            return Ok(LiveRecord::Waiting(record));
        }
        match serde_json::from_str::<ShardedJobRecord>(text) {
            Ok(record) => Ok(LiveRecord::Job(record.into())),
            Err(_) => Err(error),
        }
    }

    pub fn is_cancelled(&self) -> bool {
        match self {
            LiveRecord::Job(record) => record.cancelled,
            LiveRecord::Waiting(record) => record.cancelled,
        }
    }

    /// The value of the same job once its user has cancelled it, within `value_bytes` bytes. Which of its tasks were
    /// done does not matter any more, and is left out where it does not fit.
    pub fn into_cancelled_value(self, value_bytes: usize) -> Box<RawValue> {
        match self {
            LiveRecord::Job(mut record) => {
                record.cancelled = true;
                let value = record.to_value();
                if value.get().len() + VALUE_SLACK_BYTES <= value_bytes {
                    return value;
                }
                record.done.clear();
                record.to_value()
            }
            LiveRecord::Waiting(mut record) => {
                record.cancelled = true;
                to_raw_value(&record)
            }
        }
    }
}

/// A job that is finished, or was cancelled and has no task left.
#[derive(Serialize, Deserialize, Clone, Debug, PartialEq)]
pub struct FinishedJobRecord {
    pub cancelled: bool,
    pub tasks: u32,
    /// Whose it was, where a ledger is kept: an attempt's end may be found after its job's.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub owner: Option<JobOwner>,
}

/// Whom an attempt is charged to, and for what.
#[derive(Serialize, Deserialize, Clone, Debug, Default, PartialEq)]
pub struct JobOwner {
    pub team: String,
    pub class: String,
    /// What one task needs.
    #[serde(rename = "need")]
    pub resources: Resources,
    /// It runs until it is stopped, and all of its run counts as useful.
    #[serde(rename = "replica")]
    pub is_service: bool,
}

/// Finished tasks of one part of an array.
#[derive(Serialize, Deserialize, Clone, Debug, PartialEq)]
pub struct DonePartRecord {
    /// As [`encode_done_part`](super::encode_done_part) writes them.
    pub done: String,
}
