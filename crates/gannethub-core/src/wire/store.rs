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

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use bytes::Bytes;
use serde::{Deserialize, Deserializer, Serialize};
use serde_json::value::RawValue;

use crate::http::Method;
use crate::model::{JobId, JobSpec, Micros, Ranges, Resources, SECOND};

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
    pub holder: String,
    pub term: u64,
    /// Whatever may be on a machine of any term so far is below its job's mark ([`JobRecord::open`]). The
    /// version before marks does not write it, and launches without them.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub marked: bool,
}

/// The value of a live job that waits for no other, or no longer.
#[derive(Serialize, Deserialize, Clone, Debug, PartialEq)]
pub struct JobRecord {
    pub spec: JobSpec,
    /// Time of day at acceptance, in microseconds.
    pub at: u64,
    /// Time of day at its release, if it waited for other jobs.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub ready: Option<u64>,
    #[serde(default)]
    pub done: String,
    #[serde(default)]
    pub cancelled: bool,
    /// It fails wherever it runs.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub failing: bool,
    /// Its mark: only tasks with lower numbers may be on a machine. It is raised before they are launched.
    /// `None`: any may be.
    #[serde(default, skip_serializing_if = "Option::is_none")]
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
            spec: Size { tasks: r.spec.tasks },
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
        JobRecord { spec, at, ready, done, cancelled: false, failing: false, open, block: 0 }
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
    at: u64,
    #[serde(default)]
    done: String,
    #[serde(default)]
    cancelled: bool,
    homed: Homed,
}

#[derive(Serialize, Deserialize, Clone, Debug, PartialEq)]
struct Homed {
    block: u32,
    job: JobSpec,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    ready: Option<u64>,
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    failing: bool,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    open: Option<u32>,
}

impl From<HomedRecord> for JobRecord {
    fn from(r: HomedRecord) -> JobRecord {
        let Homed { block, job, ready, failing, open } = r.homed;
        let (at, done, cancelled) = (r.at, r.done, r.cancelled);
        JobRecord { spec: job, at, ready, done, cancelled, failing, open, block }
    }
}

/// What a waiting job is, and which jobs it waits for ([`encode_ids`]).
#[derive(Serialize, Deserialize, Clone, Debug, PartialEq)]
pub struct Held {
    pub job: JobSpec,
    pub on: String,
}

impl WaitingRecord {
    pub fn new(job: JobSpec, at: u64, cancelled: bool, upstream: &[JobId]) -> WaitingRecord {
        let on = encode_ids(upstream);
        WaitingRecord { spec: Size { tasks: job.tasks }, at, cancelled, waiting: Held { job, on } }
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
        serde_json::from_str(text).map(LiveRecord::Job).or_else(|e| {
            // What is neither is explained as what it is most likely meant to be.
            let homed = || serde_json::from_str::<HomedRecord>(text);
            let waiting = serde_json::from_str(text).map(LiveRecord::Waiting);
            waiting.or_else(|_| homed().map(|r| LiveRecord::Job(r.into()))).map_err(|_| e)
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
        let Ok(digits) = digits.parse::<usize>() else { continue };
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
    pub need: Resources,
    /// It runs until it is stopped, and all of its run counts.
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
pub fn encode_done(done: &Ranges, part: u32) -> String {
    use std::fmt::Write;
    let lo = part * PART_TASKS;
    let slice = done.slice(lo, lo + PART_TASKS);
    let mut out = String::new();
    for &(a, b) in slice.as_slice() {
        let sep = if out.is_empty() { "" } else { "," };
        // Writing to a String cannot fail.
        let _ = if a == b { write!(out, "{sep}{a}") } else { write!(out, "{sep}{a}-{b}") };
        if out.len() > PART_TASKS as usize / 4 {
            let mut map = vec![0u8; PART_TASKS as usize / 8];
            slice.iter().for_each(|x| map[(x - lo) as usize / 8] |= 1 << ((x - lo) % 8));
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
pub fn decode_done(text: &str, part: u32, done: &mut Ranges) {
    let lo = part * PART_TASKS;
    if let Some(hex) = text.strip_prefix('x') {
        for (i, pair) in hex.as_bytes().chunks(2).enumerate().take(PART_TASKS as usize / 8) {
            let byte = std::str::from_utf8(pair).ok().and_then(|p| u8::from_str_radix(p, 16).ok());
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
        StoreRequest { method, path, body, patience: 2 * SECOND, changes: 0 }
    }

    pub fn get(key: &str) -> StoreRequest {
        StoreRequest::new(Method::Get, format!("/kv/{key}"), Bytes::new())
    }

    pub fn list(prefix: &str, after: &str) -> StoreRequest {
        let from = if after.is_empty() { String::new() } else { format!("&from={after}") };
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
        StoreRequest::new(Method::Post, "/grants".into(), json(&Grant { ttl_ms: ttl / 1000 }))
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
    k: String,
    stamp: u64,
}

#[derive(Serialize, Debug, Clone)]
#[serde(untagged)]
enum Write {
    Put {
        write: String,
        v: Box<RawValue>,
        #[serde(skip_serializing_if = "Option::is_none")]
        permit: Option<u64>,
    },
    Delete {
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
        self.guards.push(Guard { k: key.into(), stamp });
    }

    pub fn put(&mut self, key: &str, value: Box<RawValue>, grant: Option<u64>) {
        self.writes.push(Write::Put { write: key.into(), v: value, permit: grant });
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
    pub k: String,
    pub v: Box<RawValue>,
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
    pub ledger_no: u64,
}

#[derive(Deserialize, Debug)]
pub struct Committed {
    pub ledger_no: u64,
}

#[derive(Deserialize, Debug)]
pub struct Conflict {
    #[serde(default)]
    pub failed: Vec<String>,
}

#[derive(Deserialize, Debug)]
pub struct Granted {
    pub permit: u64,
}

#[derive(Deserialize, Debug)]
pub struct Followed {
    pub ledger_no: u64,
    #[serde(default, deserialize_with = "in_order")]
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
    pub write: Option<String>,
    pub delete: Option<String>,
    pub v: Option<Box<RawValue>>,
    pub stamp: u64,
}

impl Change {
    /// The key that was written or deleted.
    pub fn key(&self) -> Option<&str> {
        self.write.as_deref().or(self.delete.as_deref())
    }
}

/// Tokens that refill over time, up to one second's worth.
#[derive(Debug)]
pub(crate) struct Bucket {
    rate: f64,
    pub level: f64,
    at: Micros,
}

impl Bucket {
    pub fn new(rate: f64) -> Bucket {
        Bucket { rate, level: rate.max(1.0), at: 0 }
    }

    pub fn refill(&mut self, now: Micros) {
        let earned = now.saturating_sub(self.at) as f64 / SECOND as f64 * self.rate;
        self.level = (self.level + earned).min(self.rate.max(1.0));
        self.at = now;
    }
}

/// How urgent a request is. Renewals are never held up by the rest. Users and commits take turns:
/// a storm of queries must not keep a leader from what its watch brings, a cancellation first of
/// all, or from writing what is done. What users ask and what they change take turns as well: when
/// more is submitted than may be written, questions about jobs behind that went without an answer
/// for minutes. The rest goes when nothing else waits.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub enum Urgency {
    Renewal,
    User,
    Commit,
    Rest,
}

/// Keeps one controller's requests within its share of what the service allows.
#[derive(Debug)]
pub struct Budget<T> {
    requests: Bucket,
    changes: Bucket,
    renewals: VecDeque<(u32, T)>,
    /// Those that take turns: what users ask, what they change, and commits.
    lanes: [VecDeque<(u32, T)>; 3],
    /// Whether it is the turn of commits next, and which of users' lanes comes first when it is theirs.
    commits_next: bool,
    users: [usize; 2],
    rest: VecDeque<(u32, T)>,
}

const ASKS: usize = 0;
const CHANGES: usize = 1;
const COMMITS: usize = 2;

impl<T> Budget<T> {
    pub fn new(rps: f64, write_rps: f64) -> Budget<T> {
        Budget {
            requests: Bucket::new(rps),
            changes: Bucket::new(write_rps),
            renewals: VecDeque::new(),
            lanes: Default::default(),
            commits_next: false,
            users: [ASKS, CHANGES],
            rest: VecDeque::new(),
        }
    }

    /// The requests a second that it may make.
    pub fn rate(&self) -> f64 {
        self.requests.rate
    }

    /// Changes the share, as when leadership comes or goes.
    pub fn set_share(&mut self, rps: f64, write_rps: f64) {
        self.requests.rate = rps;
        self.changes.rate = write_rps;
    }

    pub fn push(&mut self, urgency: Urgency, changes: u32, item: T) {
        let queue = match urgency {
            Urgency::Renewal => &mut self.renewals,
            Urgency::User if changes == 0 => &mut self.lanes[ASKS],
            Urgency::User => &mut self.lanes[CHANGES],
            Urgency::Commit => &mut self.lanes[COMMITS],
            Urgency::Rest => &mut self.rest,
        };
        queue.push_back((changes, item));
    }

    /// The next request that may go now.
    pub fn pop(&mut self, now: Micros) -> Option<T> {
        self.requests.refill(now);
        self.changes.refill(now);
        if let Some((n, item)) = self.renewals.pop_front() {
            self.requests.level -= 1.0;
            self.changes.level -= f64::from(n);
            return Some(item);
        }
        let mut blocked = false;
        let [first, second] = self.users;
        let turns = match self.commits_next {
            true => [Some(COMMITS), Some(first), Some(second), None],
            false => [Some(first), Some(second), Some(COMMITS), None],
        };
        for lane in turns {
            let queue = match lane {
                Some(lane) => &mut self.lanes[lane],
                None => &mut self.rest,
            };
            let Some(&(n, _)) = queue.front() else { continue };
            let changes = f64::from(n);
            // A transaction larger than the bucket goes when the bucket is full. Until it can
            // go, only what changes nothing passes it.
            blocked |= self.changes.level < changes.min(self.changes.rate.max(1.0));
            if self.requests.level < 1.0 || (blocked && n > 0) {
                continue;
            }
            let item = queue.pop_front().map(|(_, item)| item);
            match lane {
                Some(COMMITS) => self.commits_next = false,
                Some(lane) => (self.commits_next, self.users) = (true, [CHANGES - lane, lane]),
                None => {}
            }
            self.requests.level -= 1.0;
            self.changes.level -= changes;
            return item;
        }
        None
    }

    /// How long another change of users' would wait behind what is queued, the others taking turns.
    pub fn wait(&self) -> Micros {
        let [_, changes, commits] = &self.lanes;
        let between = commits.iter().take(changes.len() + 1);
        let queued = self.renewals.iter().chain(changes).chain(between);
        let changes = queued.map(|(n, _)| f64::from(*n)).sum();
        self.behind(CHANGES).max(Self::time(changes, &self.changes))
    }

    /// How long another question of users would wait. Changes that may not be made yet do not hold it up.
    pub fn wait_to_ask(&self) -> Micros {
        self.behind(ASKS)
    }

    /// How long until it is a lane's turn once more after all that is in it, as far as requests go.
    fn behind(&self, lane: usize) -> Micros {
        let own = self.lanes[lane].len();
        let others = (0..self.lanes.len()).filter(|other| *other != lane);
        let between: usize = others.map(|other| self.lanes[other].len().min(own + 1)).sum();
        Self::time((self.renewals.len() + own + between) as f64, &self.requests)
    }

    fn time(queued: f64, bucket: &Bucket) -> Micros {
        let wait = (queued - bucket.level).max(0.0) / bucket.rate.max(0.1);
        (wait * SECOND as f64) as Micros
    }

    pub fn queued(&self) -> usize {
        let lanes: usize = self.lanes.iter().map(VecDeque::len).sum();
        self.renewals.len() + lanes + self.rest.len()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn finished_tasks_fold_into_ranges_or_a_bitmap_and_come_back() {
        let mut sparse = Ranges::default();
        [0, 1, 2, 9, 5000, 5001].into_iter().for_each(|x| {
            sparse.insert(x);
        });
        assert_eq!(encode_done(&sparse, 0), "0-2,9");
        assert_eq!(encode_done(&sparse, 1), "5000-5001");
        let mut dense = Ranges::default();
        (0..10_000).filter(|x| x % 2 == 0).for_each(|x| {
            dense.insert(x);
        });
        for set in [sparse, dense] {
            let mut back = Ranges::default();
            for part in 0..3 {
                let text = encode_done(&set, part);
                assert!(text.len() <= 1100, "{}", text.len());
                decode_done(&text, part, &mut back);
            }
            assert_eq!(back, set);
        }
    }

    #[test]
    fn ids_are_written_briefly_and_come_back_as_they_were() {
        let ids: Vec<JobId> =
            ["j-000398", "j-000399", "j-000400", "j-7", "j-007", "j-999999999999999999"]
                .map(JobId::from)
                .to_vec();
        let text = encode_ids(&ids);
        assert_eq!(text, "1:7;3:7;6:398-400;18:999999999999999999");
        let back: BTreeSet<JobId> = decode_ids(&text).into_iter().collect();
        assert_eq!(back, ids.into_iter().collect());
        assert!(decode_ids("").is_empty() && decode_ids("x:1;3:y;").is_empty());
    }

    #[test]
    fn the_budget_lets_renewals_pass_and_holds_the_rest_to_its_rates() {
        let mut b = Budget::new(4.0, 2.0);
        for i in 0..10 {
            b.push(Urgency::User, 1, i);
        }
        b.push(Urgency::Renewal, 0, 100);
        let mut first = Vec::new();
        while let Some(x) = b.pop(SECOND) {
            first.push(x);
        }
        assert_eq!(first, [100, 0, 1], "the renewal first, then two changes a second");
        let later = std::iter::from_fn(|| b.pop(2 * SECOND)).count();
        assert_eq!(later, 2);
        assert_eq!(b.queued(), 6);
        assert_eq!(b.wait(), 3 * SECOND, "six changes at two a second");
    }

    #[test]
    fn questions_do_not_wait_behind_changes_that_may_not_be_made_yet() {
        let mut b = Budget::new(20.0, 4.0);
        (0..10).for_each(|i| b.push(Urgency::User, 4, i));
        b.push(Urgency::Commit, 4, 50);
        (100..104).for_each(|i| b.push(Urgency::User, 0, i));
        assert!(b.wait() > 8 * SECOND && b.wait_to_ask() == 0);
        let first: Vec<u32> = std::iter::from_fn(|| b.pop(0)).collect();
        assert_eq!(first, [100, 50, 101, 102, 103]);
        // Nor are changes kept out by questions without end, or commits by both.
        (200..1000).for_each(|i| b.push(Urgency::User, 0, i));
        assert!(b.wait_to_ask() > 30 * SECOND);
        let then: Vec<u32> = (1..9).flat_map(|s| b.pop(s * SECOND)).collect();
        assert!(then.iter().filter(|i| **i < 10).count() >= 3, "{then:?}");
    }

    #[test]
    fn a_storm_of_queries_leaves_every_other_request_to_commits() {
        let mut b = Budget::new(6.0, 6.0);
        (0..1000).for_each(|i| b.push(Urgency::User, 0, i));
        (0..3).for_each(|i| b.push(Urgency::Commit, 0, 2000 + i));
        b.push(Urgency::Rest, 0, 3000);
        let first: Vec<u32> = std::iter::from_fn(|| b.pop(SECOND)).collect();
        assert_eq!(first, [0, 2000, 1, 2001, 2, 2002]);
        // A transaction that waits for its changes holds up no reads, but the changes behind it.
        let mut b = Budget::new(10.0, 4.0);
        b.push(Urgency::User, 4, 0);
        b.push(Urgency::User, 4, 1);
        (2..6).for_each(|i| b.push(Urgency::Commit, u32::from(i == 4), i));
        let first: Vec<u32> = std::iter::from_fn(|| b.pop(0)).collect();
        assert_eq!(first, [0, 2, 3]);
    }
}
