//! Replication of a leader's open usage records to its peers. The usage of an attempt that has not been charged in the
//! stored ledger yet must survive the loss of the leader.

use prost::Message;

/// Changes of a leader's open usage records since its last message to this peer, or the full list of open records.
#[derive(Clone, PartialEq, Message)]
pub struct UsageRecords {
    #[prost(uint64, tag = "1")]
    pub term: u64,
    /// Number of this message among the messages to this peer. After a missing message, the following messages are
    /// useless until all records are sent again.
    #[prost(uint64, tag = "2")]
    pub sequence: u64,
    /// Whether this is the first message of a full list of open records.
    #[prost(bool, tag = "3")]
    pub is_first: bool,
    /// Whether this is the last message of a full list of open records.
    #[prost(bool, tag = "4")]
    pub is_last: bool,
    #[prost(message, repeated, tag = "5")]
    pub open_records: Vec<OpenUsageRecord>,
    /// Keys of records that have been stored in the ledger or will never be charged.
    #[prost(message, repeated, tag = "6")]
    pub closed_keys: Vec<AttemptKey>,
    /// Unix time in microseconds at which the message was sent. Delivery may be delayed by minutes.
    #[prost(uint64, tag = "7")]
    pub sent_at: u64,
}

/// The unique key of an attempt.
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

/// Usage of one attempt so far. Times are in microseconds; points in time are given as ages at the time of sending.
#[derive(Clone, PartialEq, Message)]
pub struct OpenUsageRecord {
    #[prost(message, optional, tag = "1")]
    pub key: Option<AttemptKey>,
    #[prost(message, optional, tag = "2")]
    pub account: Option<UsageAccount>,
    #[prost(string, tag = "3")]
    pub machine_type: String,
    #[prost(string, tag = "4")]
    pub zone: String,
    #[prost(bool, tag = "5")]
    pub spot: bool,
    /// The machine's price per hour, in millionths.
    #[prost(uint64, tag = "6")]
    pub price: u64,
    /// The worker incarnation in which the attempt was placed.
    #[prost(uint64, tag = "7")]
    pub incarnation: u64,
    /// The attempt's present stage, as an index into the ledger's list of stages.
    #[prost(uint32, tag = "8")]
    pub stage: u32,
    /// Time since the present stage began, or since the attempt was found in that stage.
    #[prost(uint64, tag = "9")]
    pub stage_age: u64,
    /// Time spent in each stage before the present one began, in the ledger's order of stages.
    #[prost(uint64, repeated, tag = "10")]
    pub stage_times: Vec<u64>,
    /// Maximum error of the attempt's start time.
    #[prost(uint64, tag = "11")]
    pub begin_uncertainty: u64,
    /// Whether the start was not observed.
    #[prost(bool, tag = "12")]
    pub begin_estimated: bool,
    /// Whether the attempt's progress was saved.
    #[prost(bool, tag = "13")]
    pub saved: bool,
    /// The reason for which the attempt ended, as an index into the list of end reasons counted from one; 0 if the
    /// attempt has not ended.
    #[prost(uint32, tag = "14")]
    pub end_reason: u32,
    /// Time since the attempt ended.
    #[prost(uint64, tag = "15")]
    pub end_age: u64,
    /// Maximum error of the attempt's time at the worker.
    #[prost(uint64, tag = "16")]
    pub time_uncertainty: u64,
}

/// The team and class that an attempt is charged to, and the resources that the attempt needs, in thousandths.
#[derive(Clone, PartialEq, Message)]
pub struct UsageAccount {
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
    /// Whether the job is a service: its tasks run until stopped, and all of their run time counts as useful.
    #[prost(bool, tag = "6")]
    pub is_service: bool,
}

/// A request for all of the leader's usage records, sent by a peer that has missed some.
#[derive(Clone, PartialEq, Message)]
pub struct UsageRecordsRequest {
    #[prost(uint64, tag = "1")]
    pub term: u64,
}
