//! The messages themselves, all of them in one [`Envelope`].

use bytes::Bytes;
use prost::Message;

use super::usage::{UsageRecords, UsageRecordsRequest};

/// One message and its sender.
#[derive(Clone, PartialEq, Message)]
pub struct Envelope {
    /// The sender's name.
    #[prost(string, tag = "1")]
    pub from: String,
    #[prost(oneof = "Body", tags = "2, 3, 4, 5, 6, 7, 8, 9, 10, 11")]
    pub body: Option<Body>,
}

/// What a message says.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum Body {
    #[prost(message, tag = "2")]
    Heartbeat(Heartbeat),
    #[prost(message, tag = "3")]
    RelayHeartbeat(RelayHeartbeat),
    #[prost(message, tag = "4")]
    RelayAnswer(RelayAnswer),
    #[prost(message, tag = "5")]
    VoteRequest(VoteRequest),
    #[prost(message, tag = "6")]
    Vote(Vote),
    #[prost(message, tag = "7")]
    JobChanged(JobChanged),
    #[prost(message, tag = "8")]
    UsageRecords(UsageRecords),
    #[prost(message, tag = "9")]
    UsageRecordsRequest(UsageRecordsRequest),
    /// Asks whether every launch in the term so far was covered by a watermark.
    #[prost(message, tag = "10")]
    WatermarkQuery(WatermarkCheck),
    /// Answers that it was. Whoever does not know does not answer.
    #[prost(message, tag = "11")]
    WatermarkConfirmation(WatermarkCheck),
}

/// A controller's heartbeat, sent to every peer at a fixed interval.
#[derive(Clone, PartialEq, Message)]
pub struct Heartbeat {
    /// The sender's term if it is the leader, else 0.
    #[prost(uint64, tag = "1")]
    pub leading_term: u64,
    /// The state service answers the sender.
    #[prost(bool, tag = "2")]
    pub store_reachable: bool,
    /// The sender leads, or can relay workers' heartbeats to the leader.
    #[prost(bool, tag = "3")]
    pub accepts_heartbeats: bool,
    /// From shard owners: tasks that run now, by job.
    #[prost(message, repeated, tag = "4")]
    pub running_jobs: Vec<RunningJob>,
    /// The shards that the sender owns, where there are several.
    #[prost(message, repeated, tag = "5")]
    pub shards: Vec<ShardStatus>,
    /// From shard 0's owner: offers that the cloud refuses, and for how many milliseconds they are not asked for.
    #[prost(message, repeated, tag = "6")]
    pub refused_offers: Vec<OfferAmount>,
    /// The sender follows versions of the configuration; one of an earlier release does not say so.
    #[prost(bool, tag = "7")]
    pub supports_configuration: bool,
    /// The version of the configuration that is in force at the sender.
    #[prost(uint64, tag = "8")]
    pub configuration_version: u64,
    /// The newest version of the configuration that the sender has seen.
    #[prost(uint64, tag = "9")]
    pub newest_configuration_version: u64,
}

/// The load of a shard. Amounts are thousandths of a CPU or of a GPU.
#[derive(Clone, PartialEq, Message)]
pub struct ShardStatus {
    #[prost(uint32, tag = "1")]
    pub shard: u32,
    #[prost(uint64, tag = "2")]
    pub term: u64,
    /// What its unfinished jobs ask for.
    #[prost(int64, tag = "3")]
    pub backlog_cpu: i64,
    /// The part of the backlog that waits for a machine.
    #[prost(int64, tag = "4")]
    pub waiting_cpu: i64,
    /// What is free on its machines.
    #[prost(int64, tag = "5")]
    pub free_cpu: i64,
    /// In the settings' order of teams.
    #[prost(message, repeated, tag = "6")]
    pub teams: Vec<TeamStatus>,
    /// Machines that its plan asks for.
    #[prost(message, repeated, tag = "7")]
    pub machine_demand: Vec<OfferAmount>,
}

/// What a team uses in a shard, and what it waits for, in thousandths.
#[derive(Clone, PartialEq, Message)]
pub struct TeamStatus {
    #[prost(int64, tag = "1")]
    pub used_cpu: i64,
    #[prost(int64, tag = "2")]
    pub used_gpu: i64,
    #[prost(int64, tag = "3")]
    pub waiting_cpu: i64,
    #[prost(int64, tag = "4")]
    pub waiting_gpu: i64,
}

/// An offer of the cloud, and an amount that the field it is in explains: machines, or milliseconds.
#[derive(Clone, PartialEq, Message)]
pub struct OfferAmount {
    #[prost(string, tag = "1")]
    pub machine_type: String,
    #[prost(string, tag = "2")]
    pub zone: String,
    #[prost(bool, tag = "3")]
    pub spot: bool,
    #[prost(uint64, tag = "4")]
    pub amount: u64,
}

/// How far a live job is.
#[derive(Clone, PartialEq, Message)]
pub struct RunningJob {
    #[prost(string, tag = "1")]
    pub job: String,
    /// Tasks on machines.
    #[prost(uint32, tag = "2")]
    pub tasks: u32,
    /// Finished tasks.
    #[prost(uint32, tag = "3")]
    pub done: u32,
}

/// A worker's heartbeat, relayed to the owner of its machine's shard.
#[derive(Clone, PartialEq, Message)]
pub struct RelayHeartbeat {
    /// The sender's number for it, which the answer repeats.
    #[prost(uint64, tag = "1")]
    pub id: u64,
    /// The body as the worker sent it.
    #[prost(bytes = "bytes", tag = "2")]
    pub heartbeat: Bytes,
}

/// The owner's answer to a relayed heartbeat, to be passed on to the worker.
#[derive(Clone, PartialEq, Message)]
pub struct RelayAnswer {
    #[prost(uint64, tag = "1")]
    pub id: u64,
    /// The HTTP status.
    #[prost(uint32, tag = "2")]
    pub status: u32,
    #[prost(bytes = "bytes", tag = "3")]
    pub body: Bytes,
}

/// A shard's owner cannot reach the state service, and asks its peers not to take the shard over for a while.
#[derive(Clone, PartialEq, Message)]
pub struct VoteRequest {
    /// The sender's number for this round of requests, which votes repeat.
    #[prost(uint64, tag = "1")]
    pub round: u64,
    #[prost(uint64, tag = "2")]
    pub term: u64,
    /// For how long, in microseconds from the receipt.
    #[prost(uint64, tag = "3")]
    pub duration: u64,
    #[prost(uint32, tag = "4")]
    pub shard: u32,
    /// The sender has seen all changes of jobs up to this version. 0: it does not say.
    #[prost(uint64, tag = "5")]
    pub known_version: u64,
}

/// The sender will not take over from the owner in `term` for as long as was asked.
#[derive(Clone, PartialEq, Message)]
pub struct Vote {
    #[prost(uint64, tag = "1")]
    pub round: u64,
    #[prost(uint64, tag = "2")]
    pub term: u64,
    #[prost(uint32, tag = "3")]
    pub shard: u32,
    /// `cancelled_jobs` has all cancellations that the sender has told anybody of after the version that the request
    /// names. Without that the owner cannot know what users were told.
    #[prost(bool, tag = "4")]
    pub knows_cancellations: bool,
    /// Ids of cancelled jobs, as [`encode_job_ids`](crate::wire::store::encode_job_ids) writes them.
    #[prost(string, tag = "5")]
    pub cancelled_jobs: String,
    /// How many there are: a receiver that reads another number knows that it does not understand them.
    #[prost(uint32, tag = "6")]
    pub cancelled_count: u32,
    /// The newest version of the configuration that the sender has seen.
    #[prost(uint64, tag = "7")]
    pub configuration_version: u64,
}

/// Asks, or confirms, that nothing was launched without a watermark in a term so far. A process that began within the
/// term asks: it cannot know itself.
#[derive(Clone, PartialEq, Message)]
pub struct WatermarkCheck {
    #[prost(uint64, tag = "1")]
    pub term: u64,
    /// The asking process's own number: an answer to an earlier process of the same name does not count.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    #[prost(uint32, tag = "3")]
    pub shard: u32,
}

/// A job was accepted or cancelled at the sender. The job's owner reads it if its watch does not show the change soon.
#[derive(Clone, PartialEq, Message)]
pub struct JobChanged {
    #[prost(string, tag = "1")]
    pub job: String,
    /// The version at which it changed.
    #[prost(uint64, tag = "2")]
    pub version: u64,
}
