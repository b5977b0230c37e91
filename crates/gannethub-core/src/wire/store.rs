//! The state service: its wire format, the records kept in it, and the budget for using it.
//!
//! | key | value |
//! | --- | --- |
//! | `gh/lead/holder` | the leader, under its grant |
//! | `gh/lead/term` | the highest term ever taken, and by whom |
//! | `gh/live/<job>` | a job that is not over: [`JobRecord`], or [`WaitingRecord`] before its release |
//! | `gh/part/<job>/<n>` | finished tasks that the job's own value has no room for |
//! | `gh/over/<job>` | a job that is done, or was cancelled and has no task left |
//! | `gh/block/<block>/<chunk>` | machines of a block, written before the first launch on them |
//! | `gh/lead/count` | the highest term of any block, where there are several |
//! | `gh/seat/<block>/holder`, `gh/seat/<block>/term` | the same as the leader's keys, of every other block |
//! | `gh/move/<block>/<machine>` | a machine that was given to that block and is in no block's record yet |
//! | `gh/allot/<block>` | what teams may use in that block: [`AllotRecord`]. What is left of their limits is block 0's |
//! | `gh/ledger/head` | where the ledger stands |
//! | `gh/ledger/page/<n>` | a page of the ledger |

use std::collections::{BTreeMap, BTreeSet};

use bytes::Bytes;
use serde::{Deserialize, Deserializer, Serialize};
use serde_json::value::RawValue;

use crate::http::Method;
use crate::model::{JobId, JobSpec, Micros, Resources, SECOND, TaskSet};

pub const LEADER_KEY: &str = "gh/lead/holder";
pub const TERM_KEY: &str = "gh/lead/term";
pub const LEADER_PREFIX: &str = "gh/lead/";
pub const LIVE_JOB_PREFIX: &str = "gh/live/";
pub const DONE_PART_PREFIX: &str = "gh/part/";
pub const FINISHED_JOB_PREFIX: &str = "gh/over/";
pub const SHARD_PREFIX: &str = "gh/block/";
pub const TERM_COUNTER_KEY: &str = "gh/lead/count";
pub const SHARD_ASSIGNMENT_PREFIX: &str = "gh/seat/";
pub const MACHINE_TRANSFER_PREFIX: &str = "gh/move/";
pub const QUOTA_PARTITION_PREFIX: &str = "gh/allot/";
pub const LEDGER_HEAD_KEY: &str = "gh/ledger/head";
pub const LEDGER_PAGE_PREFIX: &str = "gh/ledger/page/";

/// The key of a page of the ledger; in the order of their numbers.
pub fn ledger_page_key(page: u64) -> String {
    format!("{LEDGER_PAGE_PREFIX}{page:012}")
}

/// The keys of a block's holder and of the last term that it was held in. Block 0 is the leader's.
pub fn assignment_keys(block: u32) -> (String, String) {
    match block {
        0 => (LEADER_KEY.into(), TERM_KEY.into()),
        b => (
            format!("{SHARD_ASSIGNMENT_PREFIX}{b}/holder"),
            format!("{SHARD_ASSIGNMENT_PREFIX}{b}/term"),
        ),
    }
}

/// A machine on its way to a block: [`MOVE`].
#[derive(Serialize, Deserialize, Clone, Debug, PartialEq)]
pub struct MachineTransferRecord {
    #[serde(rename = "flavor")]
    pub machine_type: String,
    pub zone: String,
    pub spot: bool,
}

/// What each team may use in a block at most. Its holder lowers it, and keeps to that from before it is written on;
/// only the holder of block 0 raises it, out of what no other block has.
#[derive(Serialize, Deserialize, Clone, Debug, Default, PartialEq)]
pub struct QuotaPartitionRecord {
    pub teams: BTreeMap<String, Resources>,
}

/// The value of both keys under [`LEAD`].
#[derive(Serialize, Deserialize, Clone, Debug, PartialEq)]
pub struct LeaseRecord {
    #[serde(rename = "holder")]
    pub owner: String,
    pub term: u64,
    /// Whatever may be on a machine of any term so far is below its job's mark ([`JobRecord::open`]). The
    /// version before marks does not write it, and launches without them.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    #[serde(rename = "marked")]
    pub watermarks_reliable: bool,
}

/// The value of a live job that waits for no other, or no longer.
#[derive(Serialize, Deserialize, Clone, Debug, PartialEq)]
pub struct JobRecord {
    pub spec: JobSpec,
    /// Time of day at acceptance, in microseconds.
    #[serde(rename = "at")]
    pub accepted_at: u64,
    /// Time of day at its release, if it waited for other jobs.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[serde(rename = "ready")]
    pub ready_at: Option<u64>,
    #[serde(default)]
    pub done: String,
    #[serde(default)]
    pub cancelled: bool,
    /// It fails wherever it runs.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    #[serde(rename = "failing")]
    pub crash_looping: bool,
    /// Its mark: only tasks with lower numbers may be on a machine. It is raised before they are launched.
    /// `None`: any may be.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[serde(rename = "open")]
    pub watermark: Option<u32>,
    /// The block that its tasks run in. Only [`JobRecord::value`] writes it.
    #[serde(skip)]
    pub shard: u32,
}

impl JobRecord {
    /// The value as it is written: that of a job of another block than 0 as a [`HomedRecord`].
    pub fn to_value(&self) -> Box<RawValue> {
        if self.shard == 0 {
            return to_raw_value(self);
        }
        let r = self.clone();
        to_raw_value(&ShardedJobRecord {
            spec: TaskCount {
                tasks: r.spec.tasks,
            },
            accepted_at: r.accepted_at,
            done: r.done,
            cancelled: r.cancelled,
            sharded: ShardedJob {
                shard: r.shard,
                spec: r.spec,
                ready_at: r.ready_at,
                crash_looping: r.crash_looping,
                watermark: r.watermark,
            },
        })
    }

    /// Of a job that is accepted at `at`, none of whose tasks has been launched.
    pub fn new(spec: JobSpec, accepted_at: u64) -> JobRecord {
        let (done, ready_at, watermark) = (String::new(), None, Some(0));
        JobRecord {
            spec,
            accepted_at,
            ready_at,
            done,
            cancelled: false,
            crash_looping: false,
            watermark,
            shard: 0,
        }
    }

    /// The mark: tasks with this number or a higher one are on no machine.
    pub fn effective_watermark(&self) -> u32 {
        self.watermark
            .unwrap_or(self.spec.tasks)
            .min(self.spec.tasks)
    }
}

/// The value of a live job that waits for others. It is so written that a controller of the
/// version before pipelines answers queries from it, and cannot start the job: what that version's
/// queries need is where they look for it, and what its leader needs is not.
#[derive(Serialize, Deserialize, Clone, Debug, PartialEq)]
pub struct WaitingRecord {
    spec: TaskCount,
    /// Time of day at acceptance, in microseconds.
    #[serde(rename = "at")]
    pub accepted_at: u64,
    pub cancelled: bool,
    pub waiting: WaitingJobSpec,
}

#[derive(Serialize, Deserialize, Clone, Debug, PartialEq)]
struct TaskCount {
    tasks: u32,
}

/// The value of a job whose tasks run in another block than 0. A controller of the version before blocks answers
/// queries from it, and cannot start the job: it would do so beside the block's holder.
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
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[serde(rename = "ready")]
    ready_at: Option<u64>,
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    #[serde(rename = "failing")]
    crash_looping: bool,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[serde(rename = "open")]
    watermark: Option<u32>,
}

impl From<ShardedJobRecord> for JobRecord {
    fn from(r: ShardedJobRecord) -> JobRecord {
        let ShardedJob {
            shard: block,
            spec: job,
            ready_at: ready,
            crash_looping: failing,
            watermark: open,
        } = r.sharded;
        let (at, done, cancelled) = (r.accepted_at, r.done, r.cancelled);
        JobRecord {
            spec: job,
            accepted_at: at,
            ready_at: ready,
            done,
            cancelled,
            crash_looping: failing,
            watermark: open,
            shard: block,
        }
    }
}

/// What a waiting job is, and which jobs it waits for ([`encode_ids`]).
#[derive(Serialize, Deserialize, Clone, Debug, PartialEq)]
pub struct WaitingJobSpec {
    pub job: JobSpec,
    #[serde(rename = "on")]
    pub upstream_ids: String,
}

impl WaitingRecord {
    pub fn new(
        job: JobSpec,
        accepted_at: u64,
        cancelled: bool,
        upstream: &[JobId],
    ) -> WaitingRecord {
        let on = encode_job_ids(upstream);
        WaitingRecord {
            spec: TaskCount { tasks: job.tasks },
            accepted_at,
            cancelled,
            waiting: WaitingJobSpec {
                job,
                upstream_ids: on,
            },
        }
    }
}

/// The value of a live job.
#[derive(Clone, Debug, PartialEq)]
pub enum LiveRecord {
    Job(JobRecord),
    Waiting(WaitingRecord),
}

impl LiveRecord {
    pub fn parse(text: &str) -> Result<LiveRecord, serde_json::Error> {
        serde_json::from_str(text)
            .map(LiveRecord::Job)
            .or_else(|e| {
                // What is neither is explained as what it is most likely meant to be.
                let homed = || serde_json::from_str::<ShardedJobRecord>(text);
                let waiting = serde_json::from_str(text).map(LiveRecord::Waiting);
                waiting
                    .or_else(|_| homed().map(|r| LiveRecord::Job(r.into())))
                    .map_err(|_| e)
            })
    }

    pub fn is_cancelled(&self) -> bool {
        match self {
            LiveRecord::Job(r) => r.cancelled,
            LiveRecord::Waiting(r) => r.cancelled,
        }
    }

    /// The record of the same job once its user has cancelled it, within `limit` bytes. What was
    /// done of it counts for nothing any more, and goes where there is no room for it.
    pub fn into_cancelled_value(self, limit: usize) -> Box<RawValue> {
        match self {
            LiveRecord::Job(mut r) => {
                r.cancelled = true;
                let whole = r.to_value();
                if whole.get().len() + VALUE_SLACK_BYTES <= limit {
                    return whole;
                }
                r.done.clear();
                r.to_value()
            }
            LiveRecord::Waiting(mut r) => {
                r.cancelled = true;
                to_raw_value(&r)
            }
        }
    }
}

/// Writes job ids briefly: by their number of digits, as numbers and ranges of them, in order.
pub fn encode_job_ids(ids: &[JobId]) -> String {
    use std::fmt::Write;
    let mut by_digits: BTreeMap<usize, BTreeSet<u64>> = BTreeMap::new();
    for digits in ids.iter().filter_map(|id| id.strip_prefix("j-")) {
        if let Ok(n) = digits.parse() {
            by_digits.entry(digits.len()).or_default().insert(n);
        }
    }
    let mut out = String::new();
    for (digits, numbers) in by_digits {
        let sep = if out.is_empty() { "" } else { ";" };
        // Writing to a String cannot fail.
        let _ = write!(out, "{sep}{digits}:");
        let mut numbers = numbers.into_iter().peekable();
        while let Some(first) = numbers.next() {
            let mut last = first;
            while let Some(next) = numbers.next_if(|n| *n == last + 1) {
                last = next;
            }
            let sep = if numbers.peek().is_some() { "," } else { "" };
            let _ = match last == first {
                true => write!(out, "{first}{sep}"),
                false => write!(out, "{first}-{last}{sep}"),
            };
        }
    }
    out
}

/// Reads what [`encode_ids`] wrote.
pub fn decode_job_ids(text: &str) -> Vec<JobId> {
    let mut ids = Vec::new();
    for (digits, numbers) in text.split(';').filter_map(|group| group.split_once(':')) {
        let Ok(digits) = digits.parse::<usize>() else {
            continue;
        };
        for item in numbers.split(',') {
            let (a, b) = item.split_once('-').unwrap_or((item, item));
            if let (Ok(a), Ok(b)) = (a.parse::<u64>(), b.parse::<u64>()) {
                let most = b.min(a.saturating_add(MAX_UPSTREAM_JOBS as u64));
                ids.extend((a..=most).map(|n| JobId::from(format!("j-{n:0digits$}"))));
            }
        }
    }
    ids
}

/// The most jobs that one may wait for; a body of 64 KiB holds no more.
pub const MAX_UPSTREAM_JOBS: usize = 16_000;

/// What is kept of a job that is over.
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
    #[serde(rename = "need")]
    pub resources: Resources,
    /// It runs until it is stopped, and all of its run counts.
    #[serde(rename = "replica")]
    pub is_service: bool,
}

/// Finished tasks of one part of an array.
#[derive(Serialize, Deserialize, Clone, Debug, PartialEq)]
pub struct DonePartRecord {
    pub done: String,
}

/// Values stay this far below their limit, as the state service may write them less tightly.
pub const VALUE_SLACK_BYTES: usize = 64;

/// Tasks whose completions share one value. A bitmap of this many always fits into 2 KiB.
pub const TASKS_PER_PART: u32 = 4096;

/// Writes the members of `done` within part `part`: as ranges, or as a bitmap when that is shorter.
pub fn encode_done_part(done: &TaskSet, part: u32) -> String {
    use std::fmt::Write;
    let lo = part * TASKS_PER_PART;
    let slice = done.slice(lo, lo + TASKS_PER_PART);
    let mut out = String::new();
    for &(a, b) in slice.as_ranges() {
        let sep = if out.is_empty() { "" } else { "," };
        // Writing to a String cannot fail.
        let _ = if a == b {
            write!(out, "{sep}{a}")
        } else {
            write!(out, "{sep}{a}-{b}")
        };
        if out.len() > TASKS_PER_PART as usize / 4 {
            let mut map = vec![0u8; TASKS_PER_PART as usize / 8];
            slice
                .iter()
                .for_each(|x| map[(x - lo) as usize / 8] |= 1 << ((x - lo) % 8));
            out = String::from("x");
            map.iter().for_each(|b| {
                let _ = write!(out, "{b:02x}");
            });
            break;
        }
    }
    out
}

/// Adds what [`encode_done`] wrote to `done`. Numbers outside the part are ignored.
pub fn decode_done_part(text: &str, part: u32, done: &mut TaskSet) {
    let lo = part * TASKS_PER_PART;
    if let Some(hex) = text.strip_prefix('x') {
        for (i, pair) in hex
            .as_bytes()
            .chunks(2)
            .enumerate()
            .take(TASKS_PER_PART as usize / 8)
        {
            let byte = std::str::from_utf8(pair)
                .ok()
                .and_then(|p| u8::from_str_radix(p, 16).ok());
            let byte = byte.unwrap_or(0);
            for bit in (0..8).filter(|bit| byte & (1 << bit) != 0) {
                done.insert(lo + i as u32 * 8 + bit);
            }
        }
        return;
    }
    for item in text.split(',') {
        let (a, b) = item.split_once('-').unwrap_or((item, item));
        if let (Ok(a), Ok(b)) = (a.parse::<u32>(), b.parse::<u32>()) {
            (a.max(lo)..=b.min(lo + TASKS_PER_PART - 1)).for_each(|x| {
                done.insert(x);
            });
        }
    }
}

/// A request to the state service.
#[derive(Clone, Debug, PartialEq)]
pub struct StoreRequest {
    pub method: Method,
    pub path: String,
    pub body: Bytes,
    pub timeout: Micros,
    /// Puts and deletes it carries.
    pub change_count: u32,
}

impl StoreRequest {
    fn new(method: Method, path: String, body: Bytes) -> StoreRequest {
        StoreRequest {
            method,
            path,
            body,
            timeout: 2 * SECOND,
            change_count: 0,
        }
    }

    pub fn get(key: &str) -> StoreRequest {
        StoreRequest::new(Method::Get, format!("/kv/{key}"), Bytes::new())
    }

    pub fn list(prefix: &str, after: &str) -> StoreRequest {
        let from = if after.is_empty() {
            String::new()
        } else {
            format!("&from={after}")
        };
        let path = format!("/kv?starts={prefix}{from}&page=200");
        StoreRequest::new(Method::Get, path, Bytes::new())
    }

    pub fn watch(prefix: &str, after: u64) -> StoreRequest {
        let path = format!("/follow?starts={prefix}&from={after}&block_ms=10000");
        let mut r = StoreRequest::new(Method::Get, path, Bytes::new());
        r.timeout = 13 * SECOND;
        r
    }

    /// What has changed since then, and nothing more: it does not wait for changes.
    pub fn changes_since(prefix: &str, after: u64) -> StoreRequest {
        let path = format!("/follow?starts={prefix}&from={after}&block_ms=0");
        StoreRequest::new(Method::Get, path, Bytes::new())
    }

    pub fn acquire_lease(ttl: Micros) -> StoreRequest {
        #[derive(Serialize)]
        struct Grant {
            ttl_ms: u64,
        }
        StoreRequest::new(
            Method::Post,
            "/grants".into(),
            to_json_bytes(&Grant { ttl_ms: ttl / 1000 }),
        )
    }

    pub fn renew_lease(grant: u64) -> StoreRequest {
        let mut r = StoreRequest::new(Method::Post, format!("/grants/{grant}/renew"), Bytes::new());
        r.body = Bytes::from_static(b"{}");
        r.timeout = SECOND;
        r
    }

    pub fn revoke_lease(grant: u64) -> StoreRequest {
        StoreRequest::new(Method::Delete, format!("/grants/{grant}"), Bytes::new())
    }
}

fn to_json_bytes(value: &impl Serialize) -> Bytes {
    serde_json::to_vec(value).unwrap_or_default().into()
}

/// A value as it goes into a transaction.
pub fn to_raw_value(value: &impl Serialize) -> Box<RawValue> {
    // Our records have string keys only and finite numbers, so they always serialize.
    serde_json::value::to_raw_value(value).unwrap_or_else(|_| RawValue::NULL.to_owned())
}

#[derive(Serialize, Debug, Clone)]
struct Guard {
    #[serde(rename = "k")]
    key: String,
    #[serde(rename = "stamp")]
    version: u64,
}

#[derive(Serialize, Debug, Clone)]
#[serde(untagged)]
enum Write {
    Put {
        #[serde(rename = "write")]
        key: String,
        #[serde(rename = "v")]
        value: Box<RawValue>,
        #[serde(rename = "permit", skip_serializing_if = "Option::is_none")]
        lease: Option<u64>,
    },
    Delete {
        #[serde(rename = "delete")]
        key: String,
    },
}

/// A conditional transaction being put together.
#[derive(Serialize, Debug, Clone, Default)]
pub struct Transaction {
    guards: Vec<Guard>,
    writes: Vec<Write>,
}

impl Transaction {
    /// Requires `key` to have version `stamp`; 0: not to exist.
    pub fn guard(&mut self, key: &str, stamp: u64) {
        self.guards.push(Guard {
            key: key.into(),
            version: stamp,
        });
    }

    pub fn put(&mut self, key: &str, value: Box<RawValue>, grant: Option<u64>) {
        self.writes.push(Write::Put {
            key: key.into(),
            value,
            lease: grant,
        });
    }

    pub fn delete(&mut self, key: &str) {
        self.writes.push(Write::Delete { key: key.into() });
    }

    /// Moves a job from the live to those that are over. The caller guards its live record.
    pub fn end_job(&mut self, id: &str, over: &FinishedJobRecord) {
        let key = format!("{FINISHED_JOB_PREFIX}{id}");
        self.guard(&key, 0);
        self.delete(&format!("{LIVE_JOB_PREFIX}{id}"));
        self.put(&key, to_raw_value(over), None);
    }

    pub fn change_count(&self) -> usize {
        self.writes.len()
    }

    pub fn to_request(&self) -> StoreRequest {
        let mut r = StoreRequest::new(Method::Post, "/commit".into(), to_json_bytes(self));
        r.change_count = self.writes.len() as u32;
        r
    }
}

/// An item read from the store.
#[derive(Deserialize, Debug)]
pub struct StoredValue {
    #[serde(rename = "k")]
    pub key: String,
    #[serde(rename = "v")]
    pub value: Box<RawValue>,
    #[serde(rename = "stamp")]
    pub version: u64,
}

impl StoredValue {
    /// The value as a live job's record, if it is one.
    pub fn as_live_record(&self) -> Option<LiveRecord> {
        let parsed = LiveRecord::parse(self.value.get());
        if let Err(e) = &parsed {
            tracing::error!(key = %self.key, error = %e, "a value in the state service is not ours");
        }
        parsed.ok()
    }

    /// The value as a record, if it is one.
    pub fn decode<'a, T: Deserialize<'a>>(&'a self) -> Option<T> {
        let parsed = serde_json::from_str(self.value.get());
        if let Err(e) = &parsed {
            tracing::error!(key = %self.key, error = %e, "a value in the state service is not ours");
        }
        parsed.ok()
    }
}

#[derive(Deserialize, Debug)]
pub struct Listing {
    pub items: Vec<StoredValue>,
    #[serde(default)]
    pub truncated: bool,
    #[serde(rename = "ledger_no")]
    pub version: u64,
}

#[derive(Deserialize, Debug)]
pub struct Committed {
    #[serde(rename = "ledger_no")]
    pub version: u64,
}

#[derive(Deserialize, Debug)]
pub struct Conflict {
    #[serde(default)]
    #[serde(rename = "failed")]
    pub failed_keys: Vec<String>,
}

#[derive(Deserialize, Debug)]
pub struct LeaseGranted {
    #[serde(rename = "permit")]
    pub lease_id: u64,
}

#[derive(Deserialize, Debug)]
pub struct ChangeLog {
    #[serde(rename = "ledger_no")]
    pub version: u64,
    #[serde(default, deserialize_with = "in_order")]
    #[serde(rename = "log")]
    pub changes: Vec<Change>,
}

/// A log's changes in the order of their versions, whatever order they are listed in: the end of a job is told from what its
/// record said before it went, and a change that is taken in after a newer one would take that back.
fn in_order<'de, D: Deserializer<'de>>(log: D) -> Result<Vec<Change>, D::Error> {
    let mut log = Vec::<Change>::deserialize(log)?;
    log.sort_by_key(|c| c.version);
    Ok(log)
}

#[derive(Deserialize, Debug)]
pub struct Change {
    #[serde(rename = "write")]
    pub written_key: Option<String>,
    #[serde(rename = "delete")]
    pub deleted_key: Option<String>,
    #[serde(rename = "v")]
    pub value: Option<Box<RawValue>>,
    #[serde(rename = "stamp")]
    pub version: u64,
}

impl Change {
    /// The key that was written or deleted.
    pub fn key(&self) -> Option<&str> {
        self.written_key.as_deref().or(self.deleted_key.as_deref())
    }
}

#[cfg(test)]
mod tests;
