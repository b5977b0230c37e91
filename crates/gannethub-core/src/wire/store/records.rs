//! Records stored in the state service.

use std::collections::BTreeMap;
use std::ops::Not;

use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

use super::encoding::encode_job_ids;
use crate::model::{JobId, JobSpec, Resources};

/// Serializes a value for a transaction.
pub fn to_raw_value(value: &impl Serialize) -> Box<RawValue> {
    // All records have only string keys and finite numbers, so serialization always succeeds.
    serde_json::value::to_raw_value(value).unwrap_or_else(|_| RawValue::NULL.to_owned())
}

/// Bytes by which values stay below the size limit, as the state service may encode them less compactly.
pub const VALUE_SLACK_BYTES: usize = 64;

/// A machine in transfer to a shard.
#[derive(Serialize, Deserialize, Clone, Debug, PartialEq)]
pub struct MachineTransferRecord {
    #[serde(rename = "flavor")]
    pub machine_type: String,
    pub zone: String,
    pub spot: bool,
}

/// A quota partition: the maximum resources that each team may use in a shard. The shard's owner lowers the amounts,
/// and obeys the lower amounts even before the record is written. Only the owner of shard 0 raises the amounts, out of
/// quota that no other shard has.
#[derive(Serialize, Deserialize, Clone, Debug, Default, PartialEq)]
pub struct QuotaPartitionRecord {
    pub teams: BTreeMap<String, Resources>,
}

/// The owner of a shard, stored under the shard's owner key and term key.
#[derive(Serialize, Deserialize, Clone, Debug, PartialEq)]
pub struct LeaseRecord {
    /// The controller's name.
    #[serde(rename = "holder")]
    pub owner: String,
    pub term: u64,
    /// Whether every task that may be on a machine, launched in any term so far, is below its job's watermark
    /// ([`JobRecord::watermark`]). Releases before watermarks do not write this field, and launch tasks without raising
    /// watermarks.
    #[serde(rename = "marked", default, skip_serializing_if = "Not::not")]
    pub watermarks_reliable: bool,
}

/// A live job that does not wait for other jobs, or no longer does.
#[derive(Serialize, Deserialize, Clone, Debug, PartialEq)]
pub struct JobRecord {
    pub spec: JobSpec,
    /// Unix time at acceptance, in microseconds.
    #[serde(rename = "at")]
    pub accepted_at: u64,
    /// Unix time at the job's release, in microseconds, if the job waited for other jobs.
    #[serde(rename = "ready", default, skip_serializing_if = "Option::is_none")]
    pub ready_at: Option<u64>,
    /// Finished tasks of the job's first part, in the format of [`encode_done_part`](super::encode_done_part), unless
    /// they have a key of their own.
    #[serde(default)]
    pub done: String,
    #[serde(default)]
    pub cancelled: bool,
    /// Whether the job is crash-looping: it fails on every machine.
    #[serde(rename = "failing", default, skip_serializing_if = "Not::not")]
    pub crash_looping: bool,
    /// The launch watermark: only tasks with lower numbers may be on a machine, as the watermark is raised before tasks
    /// are launched. `None`: any task may be on a machine.
    #[serde(rename = "open", default, skip_serializing_if = "Option::is_none")]
    pub watermark: Option<u32>,
    /// The shard in which the job's tasks run. Only [`JobRecord::to_value`] writes this field.
    #[serde(skip)]
    pub shard: u32,
}

impl JobRecord {
    /// Creates the record of a job accepted at `accepted_at`, with no task launched.
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

    /// Returns the value to store. Jobs of shards other than shard 0 have a separate format.
    pub fn to_value(&self) -> Box<RawValue> {
        match self.shard {
            0 => to_raw_value(self),
            _ => to_raw_value(&ShardedJobRecord::from(self.clone())),
        }
    }

    /// Returns the watermark, or the number of tasks if there is no lower watermark. Tasks with this number or a higher
    /// one are on no machine.
    pub fn effective_watermark(&self) -> u32 {
        let tasks = self.spec.tasks;
        self.watermark.unwrap_or(tasks).min(tasks)
    }
}

/// A live job that waits for other jobs.
///
/// The format lets a controller of a release before pipelines answer queries from the record, but not start the job:
/// the fields that queries of that release need are in the place where they are looked up, and the fields that the
/// leader of that release needs are not.
#[derive(Serialize, Deserialize, Clone, Debug, PartialEq)]
pub struct WaitingRecord {
    spec: TaskCount,
    /// Unix time at acceptance, in microseconds.
    #[serde(rename = "at")]
    pub accepted_at: u64,
    pub cancelled: bool,
    pub waiting: WaitingJobSpec,
}

/// The spec of a waiting job, and the upstream jobs that the job waits for.
#[derive(Serialize, Deserialize, Clone, Debug, PartialEq)]
pub struct WaitingJobSpec {
    pub job: JobSpec,
    /// Ids of the upstream jobs, in the format of [`encode_job_ids`].
    #[serde(rename = "on")]
    pub upstream_ids: String,
}

/// The part of a spec that queries in earlier releases need.
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

/// A live job whose tasks run in a shard other than shard 0.
///
/// A controller of a release before shards can answer queries from the record, but cannot start the job. Otherwise such
/// a controller would start the job in parallel with the shard's owner.
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

/// A live job's record in any of its formats.
#[derive(Clone, Debug, PartialEq)]
pub enum LiveRecord {
    Job(JobRecord),
    Waiting(WaitingRecord),
}

impl LiveRecord {
    /// Parses a live job's record. If the text matches no format, the error is that of parsing a [`JobRecord`], the
    /// most likely intended format.
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

    /// Returns the value of the same job after cancellation by its user, within `max_value_bytes` bytes. The finished
    /// tasks of a cancelled job do not matter any more, and are omitted if they do not fit.
    pub fn into_cancelled_value(self, max_value_bytes: usize) -> Box<RawValue> {
        match self {
            LiveRecord::Job(mut record) => {
                record.cancelled = true;
                let value = record.to_value();
                if value.get().len() + VALUE_SLACK_BYTES <= max_value_bytes {
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

/// A finished job, or a cancelled job without remaining tasks.
#[derive(Serialize, Deserialize, Clone, Debug, PartialEq)]
pub struct FinishedJobRecord {
    pub cancelled: bool,
    pub tasks: u32,
    /// The team and class that the job's attempts are charged to, stored if a ledger is kept. They are needed after the
    /// end of the job, as the end of an attempt may be found later than the end of its job.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub owner: Option<JobAccount>,
}

/// The team and class that an attempt is charged to, and the resources that it is charged for.
#[derive(Serialize, Deserialize, Clone, Debug, Default, PartialEq)]
pub struct JobAccount {
    pub team: String,
    pub class: String,
    /// Resources needed by one task.
    #[serde(rename = "need")]
    pub resources: Resources,
    /// Whether the job is a service: its tasks run until stopped, and all of their run time counts as useful.
    #[serde(rename = "replica")]
    pub is_service: bool,
}

/// The finished tasks of one part of an array.
#[derive(Serialize, Deserialize, Clone, Debug, PartialEq)]
pub struct DonePartRecord {
    /// Finished tasks, in the format of [`encode_done_part`](super::encode_done_part).
    pub done: String,
}
