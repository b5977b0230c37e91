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

pub const HOLDER: &str = "gh/lead/holder";
pub const TERM: &str = "gh/lead/term";
pub const LEAD: &str = "gh/lead/";
pub const LIVE: &str = "gh/live/";
pub const PART: &str = "gh/part/";
pub const OVER: &str = "gh/over/";
pub const BLOCK: &str = "gh/block/";
pub const COUNT: &str = "gh/lead/count";
pub const SEAT: &str = "gh/seat/";
pub const MOVE: &str = "gh/move/";
pub const ALLOT: &str = "gh/allot/";
pub const LEDGER_HEAD: &str = "gh/ledger/head";
pub const LEDGER_PAGE: &str = "gh/ledger/page/";

/// The key of a page of the ledger; in the order of their numbers.
pub fn ledger_page(page: u64) -> String {
    format!("{LEDGER_PAGE}{page:012}")
}

/// The keys of a block's holder and of the last term that it was held in. Block 0 is the leader's.
pub fn seat_keys(block: u32) -> (String, String) {
    match block {
        0 => (HOLDER.into(), TERM.into()),
        b => (format!("{SEAT}{b}/holder"), format!("{SEAT}{b}/term")),
    }
}

/// A machine on its way to a block: [`MOVE`].
#[derive(Serialize, Deserialize, Clone, Debug, PartialEq)]
pub struct MoveRecord {
    #[serde(rename = "flavor")]
    pub flavor: String,
    pub zone: String,
    pub spot: bool,
}

/// What each team may use in a block at most. Its holder lowers it, and keeps to that from before it is written on;
/// only the holder of block 0 raises it, out of what no other block has.
#[derive(Serialize, Deserialize, Clone, Debug, Default, PartialEq)]
pub struct AllotRecord {
    pub teams: BTreeMap<String, Resources>,
}

/// The value of both keys under [`LEAD`].
#[derive(Serialize, Deserialize, Clone, Debug, PartialEq)]
pub struct LeadRecord {
    #[serde(rename = "holder")]
    pub holder: String,
    pub term: u64,
    /// Whatever may be on a machine of any term so far is below its job's mark ([`JobRecord::open`]). The
    /// version before marks does not write it, and launches without them.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    #[serde(rename = "marked")]
    pub marked: bool,
}

/// The value of a live job that waits for no other, or no longer.
#[derive(Serialize, Deserialize, Clone, Debug, PartialEq)]
pub struct JobRecord {
    pub spec: JobSpec,
    /// Time of day at acceptance, in microseconds.
    #[serde(rename = "at")]
    pub at: u64,
    /// Time of day at its release, if it waited for other jobs.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[serde(rename = "ready")]
    pub ready: Option<u64>,
    #[serde(default)]
    pub done: String,
    #[serde(default)]
    pub cancelled: bool,
    /// It fails wherever it runs.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    #[serde(rename = "failing")]
    pub failing: bool,
    /// Its mark: only tasks with lower numbers may be on a machine. It is raised before they are launched.
    /// `None`: any may be.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[serde(rename = "open")]
    pub open: Option<u32>,
    /// The block that its tasks run in. Only [`JobRecord::value`] writes it.
    #[serde(skip)]
    pub block: u32,
}

impl JobRecord {
    /// The value as it is written: that of a job of another block than 0 as a [`HomedRecord`].
    pub fn value(&self) -> Box<RawValue> {
        if self.block == 0 {
            return raw(self);
        }
        let r = self.clone();
        raw(&HomedRecord {
            spec: Size {
                tasks: r.spec.tasks,
            },
            at: r.at,
            done: r.done,
            cancelled: r.cancelled,
            homed: Homed {
                block: r.block,
                job: r.spec,
                ready: r.ready,
                failing: r.failing,
                open: r.open,
            },
        })
    }

    /// Of a job that is accepted at `at`, none of whose tasks has been launched.
    pub fn new(spec: JobSpec, at: u64) -> JobRecord {
        let (done, ready, open) = (String::new(), None, Some(0));
        JobRecord {
            spec,
            at,
            ready,
            done,
            cancelled: false,
            failing: false,
            open,
            block: 0,
        }
    }

    /// The mark: tasks with this number or a higher one are on no machine.
    pub fn mark(&self) -> u32 {
        self.open.unwrap_or(self.spec.tasks).min(self.spec.tasks)
    }
}

/// The value of a live job that waits for others. It is so written that a controller of the
/// version before pipelines answers queries from it, and cannot start the job: what that version's
/// queries need is where they look for it, and what its leader needs is not.
#[derive(Serialize, Deserialize, Clone, Debug, PartialEq)]
pub struct WaitingRecord {
    spec: Size,
    /// Time of day at acceptance, in microseconds.
    #[serde(rename = "at")]
    pub at: u64,
    pub cancelled: bool,
    pub waiting: Held,
}

#[derive(Serialize, Deserialize, Clone, Debug, PartialEq)]
struct Size {
    tasks: u32,
}

/// The value of a job whose tasks run in another block than 0. A controller of the version before blocks answers
/// queries from it, and cannot start the job: it would do so beside the block's holder.
#[derive(Serialize, Deserialize, Clone, Debug, PartialEq)]
struct HomedRecord {
    spec: Size,
    #[serde(rename = "at")]
    at: u64,
    #[serde(default)]
    done: String,
    #[serde(default)]
    cancelled: bool,
    #[serde(rename = "homed")]
    homed: Homed,
}

#[derive(Serialize, Deserialize, Clone, Debug, PartialEq)]
struct Homed {
    #[serde(rename = "block")]
    block: u32,
    #[serde(rename = "job")]
    job: JobSpec,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[serde(rename = "ready")]
    ready: Option<u64>,
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    #[serde(rename = "failing")]
    failing: bool,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[serde(rename = "open")]
    open: Option<u32>,
}

impl From<HomedRecord> for JobRecord {
    fn from(r: HomedRecord) -> JobRecord {
        let Homed {
            block,
            job,
            ready,
            failing,
            open,
        } = r.homed;
        let (at, done, cancelled) = (r.at, r.done, r.cancelled);
        JobRecord {
            spec: job,
            at,
            ready,
            done,
            cancelled,
            failing,
            open,
            block,
        }
    }
}

/// What a waiting job is, and which jobs it waits for ([`encode_ids`]).
#[derive(Serialize, Deserialize, Clone, Debug, PartialEq)]
pub struct Held {
    pub job: JobSpec,
    #[serde(rename = "on")]
    pub on: String,
}

impl WaitingRecord {
    pub fn new(job: JobSpec, at: u64, cancelled: bool, upstream: &[JobId]) -> WaitingRecord {
        let on = encode_ids(upstream);
        WaitingRecord {
            spec: Size { tasks: job.tasks },
            at,
            cancelled,
            waiting: Held { job, on },
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
                let homed = || serde_json::from_str::<HomedRecord>(text);
                let waiting = serde_json::from_str(text).map(LiveRecord::Waiting);
                waiting
                    .or_else(|_| homed().map(|r| LiveRecord::Job(r.into())))
                    .map_err(|_| e)
            })
    }

    pub fn cancelled(&self) -> bool {
        match self {
            LiveRecord::Job(r) => r.cancelled,
            LiveRecord::Waiting(r) => r.cancelled,
        }
    }

    /// The record of the same job once its user has cancelled it, within `limit` bytes. What was
    /// done of it counts for nothing any more, and goes where there is no room for it.
    pub fn cancel(self, limit: usize) -> Box<RawValue> {
        match self {
            LiveRecord::Job(mut r) => {
                r.cancelled = true;
                let whole = r.value();
                if whole.get().len() + SLACK <= limit {
                    return whole;
                }
                r.done.clear();
                r.value()
            }
            LiveRecord::Waiting(mut r) => {
                r.cancelled = true;
                raw(&r)
            }
        }
    }
}

/// Writes job ids briefly: by their number of digits, as numbers and ranges of them, in order.
pub fn encode_ids(ids: &[JobId]) -> String {
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
pub fn decode_ids(text: &str) -> Vec<JobId> {
    let mut ids = Vec::new();
    for (digits, numbers) in text.split(';').filter_map(|group| group.split_once(':')) {
        let Ok(digits) = digits.parse::<usize>() else {
            continue;
        };
        for item in numbers.split(',') {
            let (a, b) = item.split_once('-').unwrap_or((item, item));
            if let (Ok(a), Ok(b)) = (a.parse::<u64>(), b.parse::<u64>()) {
                let most = b.min(a.saturating_add(MAX_UPSTREAM as u64));
                ids.extend((a..=most).map(|n| JobId::from(format!("j-{n:0digits$}"))));
            }
        }
    }
    ids
}

/// The most jobs that one may wait for; a body of 64 KiB holds no more.
pub const MAX_UPSTREAM: usize = 16_000;

/// What is kept of a job that is over.
#[derive(Serialize, Deserialize, Clone, Debug, PartialEq)]
pub struct OverRecord {
    pub cancelled: bool,
    pub tasks: u32,
    /// Whose it was, where a ledger is kept: an attempt's end may be found after its job's.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub owner: Option<Owner>,
}

/// Whom an attempt is charged to, and for what.
#[derive(Serialize, Deserialize, Clone, Debug, Default, PartialEq)]
pub struct Owner {
    pub team: String,
    pub class: String,
    #[serde(rename = "need")]
    pub need: Resources,
    /// It runs until it is stopped, and all of its run counts.
    #[serde(rename = "replica")]
    pub replica: bool,
}

/// Finished tasks of one part of an array.
#[derive(Serialize, Deserialize, Clone, Debug, PartialEq)]
pub struct PartRecord {
    pub done: String,
}

/// Values stay this far below their limit, as the state service may write them less tightly.
pub const SLACK: usize = 64;

/// Tasks whose completions share one value. A bitmap of this many always fits into 2 KiB.
pub const PART_TASKS: u32 = 4096;

/// Writes the members of `done` within part `part`: as ranges, or as a bitmap when that is shorter.
pub fn encode_done(done: &TaskSet, part: u32) -> String {
    use std::fmt::Write;
    let lo = part * PART_TASKS;
    let slice = done.slice(lo, lo + PART_TASKS);
    let mut out = String::new();
    for &(a, b) in slice.as_ranges() {
        let sep = if out.is_empty() { "" } else { "," };
        // Writing to a String cannot fail.
        let _ = if a == b {
            write!(out, "{sep}{a}")
        } else {
            write!(out, "{sep}{a}-{b}")
        };
        if out.len() > PART_TASKS as usize / 4 {
            let mut map = vec![0u8; PART_TASKS as usize / 8];
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
pub fn decode_done(text: &str, part: u32, done: &mut TaskSet) {
    let lo = part * PART_TASKS;
    if let Some(hex) = text.strip_prefix('x') {
        for (i, pair) in hex
            .as_bytes()
            .chunks(2)
            .enumerate()
            .take(PART_TASKS as usize / 8)
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
            (a.max(lo)..=b.min(lo + PART_TASKS - 1)).for_each(|x| {
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
    pub patience: Micros,
    /// Puts and deletes it carries.
    pub changes: u32,
}

impl StoreRequest {
    fn new(method: Method, path: String, body: Bytes) -> StoreRequest {
        StoreRequest {
            method,
            path,
            body,
            patience: 2 * SECOND,
            changes: 0,
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

    pub fn follow(prefix: &str, after: u64) -> StoreRequest {
        let path = format!("/follow?starts={prefix}&from={after}&block_ms=10000");
        let mut r = StoreRequest::new(Method::Get, path, Bytes::new());
        r.patience = 13 * SECOND;
        r
    }

    /// What has changed since then, and nothing more: it does not wait for changes.
    pub fn changes(prefix: &str, after: u64) -> StoreRequest {
        let path = format!("/follow?starts={prefix}&from={after}&block_ms=0");
        StoreRequest::new(Method::Get, path, Bytes::new())
    }

    pub fn grant(ttl: Micros) -> StoreRequest {
        #[derive(Serialize)]
        struct Grant {
            ttl_ms: u64,
        }
        StoreRequest::new(
            Method::Post,
            "/grants".into(),
            json(&Grant { ttl_ms: ttl / 1000 }),
        )
    }

    pub fn renew(grant: u64) -> StoreRequest {
        let mut r = StoreRequest::new(Method::Post, format!("/grants/{grant}/renew"), Bytes::new());
        r.body = Bytes::from_static(b"{}");
        r.patience = SECOND;
        r
    }

    pub fn drop_grant(grant: u64) -> StoreRequest {
        StoreRequest::new(Method::Delete, format!("/grants/{grant}"), Bytes::new())
    }
}

fn json(value: &impl Serialize) -> Bytes {
    serde_json::to_vec(value).unwrap_or_default().into()
}

/// A value as it goes into a transaction.
pub fn raw(value: &impl Serialize) -> Box<RawValue> {
    // Our records have string keys only and finite numbers, so they always serialize.
    serde_json::value::to_raw_value(value).unwrap_or_else(|_| RawValue::NULL.to_owned())
}

#[derive(Serialize, Debug, Clone)]
struct Guard {
    #[serde(rename = "k")]
    k: String,
    #[serde(rename = "stamp")]
    stamp: u64,
}

#[derive(Serialize, Debug, Clone)]
#[serde(untagged)]
enum Write {
    Put {
        #[serde(rename = "write")]
        write: String,
        #[serde(rename = "v")]
        v: Box<RawValue>,
        #[serde(rename = "permit", skip_serializing_if = "Option::is_none")]
        permit: Option<u64>,
    },
    Delete {
        #[serde(rename = "delete")]
        delete: String,
    },
}

/// A conditional transaction being put together.
#[derive(Serialize, Debug, Clone, Default)]
pub struct Commit {
    guards: Vec<Guard>,
    writes: Vec<Write>,
}

impl Commit {
    /// Requires `key` to have version `stamp`; 0: not to exist.
    pub fn guard(&mut self, key: &str, stamp: u64) {
        self.guards.push(Guard {
            k: key.into(),
            stamp,
        });
    }

    pub fn put(&mut self, key: &str, value: Box<RawValue>, grant: Option<u64>) {
        self.writes.push(Write::Put {
            write: key.into(),
            v: value,
            permit: grant,
        });
    }

    pub fn delete(&mut self, key: &str) {
        self.writes.push(Write::Delete { delete: key.into() });
    }

    /// Moves a job from the live to those that are over. The caller guards its live record.
    pub fn end(&mut self, id: &str, over: &OverRecord) {
        let key = format!("{OVER}{id}");
        self.guard(&key, 0);
        self.delete(&format!("{LIVE}{id}"));
        self.put(&key, raw(over), None);
    }

    pub fn changes(&self) -> usize {
        self.writes.len()
    }

    pub fn request(&self) -> StoreRequest {
        let mut r = StoreRequest::new(Method::Post, "/commit".into(), json(self));
        r.changes = self.writes.len() as u32;
        r
    }
}

/// An item read from the store.
#[derive(Deserialize, Debug)]
pub struct Item {
    #[serde(rename = "k")]
    pub k: String,
    #[serde(rename = "v")]
    pub v: Box<RawValue>,
    #[serde(rename = "stamp")]
    pub stamp: u64,
}

impl Item {
    /// The value as a live job's record, if it is one.
    pub fn live(&self) -> Option<LiveRecord> {
        let parsed = LiveRecord::parse(self.v.get());
        if let Err(e) = &parsed {
            tracing::error!(key = %self.k, error = %e, "a value in the state service is not ours");
        }
        parsed.ok()
    }

    /// The value as a record, if it is one.
    pub fn record<'a, T: Deserialize<'a>>(&'a self) -> Option<T> {
        let parsed = serde_json::from_str(self.v.get());
        if let Err(e) = &parsed {
            tracing::error!(key = %self.k, error = %e, "a value in the state service is not ours");
        }
        parsed.ok()
    }
}

#[derive(Deserialize, Debug)]
pub struct Listing {
    pub items: Vec<Item>,
    #[serde(default)]
    pub truncated: bool,
    #[serde(rename = "ledger_no")]
    pub ledger_no: u64,
}

#[derive(Deserialize, Debug)]
pub struct Committed {
    #[serde(rename = "ledger_no")]
    pub ledger_no: u64,
}

#[derive(Deserialize, Debug)]
pub struct Conflict {
    #[serde(default)]
    #[serde(rename = "failed")]
    pub failed: Vec<String>,
}

#[derive(Deserialize, Debug)]
pub struct Granted {
    #[serde(rename = "permit")]
    pub permit: u64,
}

#[derive(Deserialize, Debug)]
pub struct Followed {
    #[serde(rename = "ledger_no")]
    pub ledger_no: u64,
    #[serde(default, deserialize_with = "in_order")]
    #[serde(rename = "log")]
    pub log: Vec<Change>,
}

/// A log's changes in the order of their versions, whatever order they are listed in: the end of a job is told from what its
/// record said before it went, and a change that is taken in after a newer one would take that back.
fn in_order<'de, D: Deserializer<'de>>(log: D) -> Result<Vec<Change>, D::Error> {
    let mut log = Vec::<Change>::deserialize(log)?;
    log.sort_by_key(|c| c.stamp);
    Ok(log)
}

#[derive(Deserialize, Debug)]
pub struct Change {
    #[serde(rename = "write")]
    pub write: Option<String>,
    #[serde(rename = "delete")]
    pub delete: Option<String>,
    #[serde(rename = "v")]
    pub v: Option<Box<RawValue>>,
    #[serde(rename = "stamp")]
    pub stamp: u64,
}

impl Change {
    /// The key that was written or deleted.
    pub fn key(&self) -> Option<&str> {
        self.write.as_deref().or(self.delete.as_deref())
    }
}

#[cfg(test)]
mod tests;
