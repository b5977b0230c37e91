//! Usage records that a leader has open, replicated to its peers: what an attempt used and is not charged for in
//! writing yet must survive the leader.

use prost::Message;

/// Changes of a leader's open usage records since its last message to this peer, or all of them.
#[derive(Clone, PartialEq, Message)]
pub struct UsageRecords {
    #[prost(uint64, tag = "1")]
    pub term: u64,
    /// Counts the messages to this peer. When one is missing, the rest are of no use until all records are sent again.
    #[prost(uint64, tag = "2")]
    pub sequence: u64,
    /// The first message of a list of all open records.
    #[prost(bool, tag = "3")]
    pub is_first: bool,
    /// The last message of a list of all open records.
    #[prost(bool, tag = "4")]
    pub is_last: bool,
    #[prost(message, repeated, tag = "5")]
    pub open_records: Vec<OpenUsageRecord>,
    /// Records that are in writing by now, or will never be charged.
    #[prost(message, repeated, tag = "6")]
    pub closed_keys: Vec<AttemptKey>,
    /// Unix time in microseconds when it was sent: messages may be held back for minutes.
    #[prost(uint64, tag = "7")]
    pub sent_at: u64,
}

/// What tells an attempt from every other.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Message)]
pub struct AttemptKey {
    #[prost(string, tag = "1")]
    pub machine: String,
    #[prost(string, tag = "2")]
    pub job: String,
    #[prost(uint32, tag = "3")]
    pub task: u32,
    #[prost(uint64, tag = "4")]
    pub attempt: u64,
}

/// What one attempt has used so far. Times are ages when the message was sent, in microseconds.
#[derive(Clone, PartialEq, Message)]
pub struct OpenUsageRecord {
    #[prost(message, optional, tag = "1")]
    pub key: Option<AttemptKey>,
    #[prost(message, optional, tag = "2")]
    pub owner: Option<UsageOwner>,
    #[prost(string, tag = "3")]
    pub machine_type: String,
    #[prost(string, tag = "4")]
    pub zone: String,
    #[prost(bool, tag = "5")]
    pub spot: bool,
    /// The machine's price an hour, in millionths.
    #[prost(uint64, tag = "6")]
    pub price: u64,
    /// The worker's incarnation in which it was placed.
    #[prost(uint64, tag = "7")]
    pub incarnation: u64,
    /// Its present stage, by its place among the ledger's stages.
    #[prost(uint32, tag = "8")]
    pub stage: u32,
    /// How long ago that stage began, or it was found in it.
    #[prost(uint64, tag = "9")]
    pub stage_age: u64,
    /// The time in each stage before the present one began, in the ledger's order of stages.
    #[prost(uint64, repeated, tag = "10")]
    pub stage_times: Vec<u64>,
    /// How far its begin may be off.
    #[prost(uint64, tag = "11")]
    pub begin_uncertainty: u64,
    /// Its begin was not seen.
    #[prost(bool, tag = "12")]
    pub begin_estimated: bool,
    /// Its progress was saved.
    #[prost(bool, tag = "13")]
    pub saved: bool,
    /// Why it ended, by the reason's place among the reasons and counted from one. 0: it has not ended.
    #[prost(uint32, tag = "14")]
    pub end_reason: u32,
    /// How long ago it ended.
    #[prost(uint64, tag = "15")]
    pub end_age: u64,
    /// How far its time at the worker may be off.
    #[prost(uint64, tag = "16")]
    pub time_uncertainty: u64,
}

/// Whom an attempt is charged to, and what it needs, in thousandths.
#[derive(Clone, PartialEq, Message)]
pub struct UsageOwner {
    #[prost(string, tag = "1")]
    pub team: String,
    #[prost(string, tag = "2")]
    pub class: String,
    #[prost(int64, tag = "3")]
    pub cpu: i64,
    #[prost(int64, tag = "4")]
    pub gpu: i64,
    #[prost(int64, tag = "5")]
    pub mem: i64,
    /// It runs until it is stopped, and all of its run counts as useful.
    #[prost(bool, tag = "6")]
    pub is_service: bool,
}

/// The sender has missed some of the leader's usage records, and asks for all of them.
#[derive(Clone, PartialEq, Message)]
pub struct UsageRecordsRequest {
    #[prost(uint64, tag = "1")]
    pub term: u64,
}
