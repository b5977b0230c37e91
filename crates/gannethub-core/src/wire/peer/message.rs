//! Message types. Every message is sent in an [`Envelope`].

use bytes::Bytes;
use prost::Message;

use super::usage::{UsageRecords, UsageRecordsRequest};

/// One message and its sender.
#[derive(Clone, PartialEq, Message)]
pub struct Envelope {
    /// The sender's name.
    #[prost(string, tag = "1")]
    pub from: String,
    #[prost(oneof = "Body", tags = "2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12")]
    pub body: Option<Body>,
}

/// The content of a message.
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
    /// Asks whether a launch watermark covered every launch in the term so far.
    #[prost(message, tag = "10")]
    WatermarkQuery(WatermarkCheck),
    /// Confirms that a launch watermark covered every launch in the term so far. A peer that cannot confirm this sends
    /// no response.
    #[prost(message, tag = "11")]
    WatermarkConfirmation(WatermarkCheck),
    #[prost(message, tag = "12")]
    CancellationApplied(CancellationApplied),
}

/// A controller's heartbeat, sent to every peer at a fixed interval.
#[derive(Clone, PartialEq, Message)]
pub struct Heartbeat {
    /// The sender's term if it is the leader, else 0.
    #[prost(uint64, tag = "1")]
    pub leading_term: u64,
    /// Whether the state service responds to the sender's requests.
    #[prost(bool, tag = "2")]
    pub store_reachable: bool,
    /// Whether the sender is the leader or can relay workers' heartbeats to the leader.
    #[prost(bool, tag = "3")]
    pub accepts_heartbeats: bool,
    /// Progress of the jobs with running tasks, sent by shard owners.
    #[prost(message, repeated, tag = "4")]
    pub running_jobs: Vec<RunningJobProgress>,
    /// The shards that the sender owns, if the cluster has several shards.
    #[prost(message, repeated, tag = "5")]
    pub shards: Vec<ShardStatus>,
    /// Offers that the cloud refuses, each with the time in milliseconds during which no machine is requested from the
    /// offer. The owner of shard 0 sends them.
    #[prost(message, repeated, tag = "6")]
    pub refused_offers: Vec<OfferAmount>,
    /// Whether the sender follows versions of the configuration. Earlier releases do not set this field.
    #[prost(bool, tag = "7")]
    pub supports_configuration: bool,
    /// The configuration version in force at the sender.
    #[prost(uint64, tag = "8")]
    pub configuration_version: u64,
    /// The newest configuration version that the sender has seen.
    #[prost(uint64, tag = "9")]
    pub newest_configuration_version: u64,
    /// The version up to which the sender, as the owner of shard 0, has applied all changes of jobs; 0 if not stated.
    #[prost(uint64, tag = "10")]
    pub applied_version: u64,
}

/// The load of a shard. Amounts are in thousandths of a CPU or GPU.
#[derive(Clone, PartialEq, Message)]
pub struct ShardStatus {
    #[prost(uint32, tag = "1")]
    pub shard: u32,
    #[prost(uint64, tag = "2")]
    pub term: u64,
    /// CPUs requested by the shard's unfinished jobs.
    #[prost(int64, tag = "3")]
    pub backlog_cpu: i64,
    /// The part of `backlog_cpu` that waits for a machine.
    #[prost(int64, tag = "4")]
    pub waiting_cpu: i64,
    /// Free CPUs on the shard's machines.
    #[prost(int64, tag = "5")]
    pub free_cpu: i64,
    /// The status of each team, in the order of the teams in the settings.
    #[prost(message, repeated, tag = "6")]
    pub teams: Vec<TeamStatus>,
    /// Machines that the shard's provisioning plan requests.
    #[prost(message, repeated, tag = "7")]
    pub machine_demand: Vec<OfferAmount>,
    /// The version up to which the shard's owner has applied all changes of jobs; 0 if not stated.
    #[prost(uint64, tag = "8")]
    pub applied_version: u64,
}

/// Resources that a team uses in a shard and waits for, in thousandths of a CPU or GPU.
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

/// An offer of the cloud with an amount. The field that holds the message defines the unit: machines or milliseconds.
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

/// Progress of a live job.
#[derive(Clone, PartialEq, Message)]
pub struct RunningJobProgress {
    #[prost(string, tag = "1")]
    pub job: String,
    /// Number of tasks on machines.
    #[prost(uint32, tag = "2")]
    pub tasks: u32,
    /// Number of finished tasks.
    #[prost(uint32, tag = "3")]
    pub done: u32,
}

/// A worker's heartbeat, relayed to the owner of the shard that the worker's machine belongs to.
#[derive(Clone, PartialEq, Message)]
pub struct RelayHeartbeat {
    /// The sender's number for the relayed heartbeat, repeated in the response. No other process of the sender uses the
    /// number, except that processes of earlier releases count from 1.
    #[prost(uint64, tag = "1")]
    pub id: u64,
    /// The request body as the worker sent it.
    #[prost(bytes = "bytes", tag = "2")]
    pub heartbeat: Bytes,
}

/// The shard owner's response to a relayed heartbeat. The receiver passes the response on to the worker.
#[derive(Clone, PartialEq, Message)]
pub struct RelayAnswer {
    #[prost(uint64, tag = "1")]
    pub id: u64,
    /// The HTTP status code.
    #[prost(uint32, tag = "2")]
    pub status: u32,
    #[prost(bytes = "bytes", tag = "3")]
    pub body: Bytes,
}

/// A request for votes. A shard owner that cannot reach the state service asks its peers not to take the shard over for
/// a limited time.
#[derive(Clone, PartialEq, Message)]
pub struct VoteRequest {
    /// The sender's number for this round of requests, repeated in the votes.
    #[prost(uint64, tag = "1")]
    pub round: u64,
    #[prost(uint64, tag = "2")]
    pub term: u64,
    /// Requested duration of the vote, in microseconds from receipt.
    #[prost(uint64, tag = "3")]
    pub duration: u64,
    #[prost(uint32, tag = "4")]
    pub shard: u32,
    /// The version up to which the sender has seen all changes of jobs; 0 if not stated.
    #[prost(uint64, tag = "5")]
    pub known_version: u64,
}

/// A vote: the sender will not take the shard over from the owner in `term` for the requested duration.
#[derive(Clone, PartialEq, Message)]
pub struct Vote {
    #[prost(uint64, tag = "1")]
    pub round: u64,
    #[prost(uint64, tag = "2")]
    pub term: u64,
    #[prost(uint32, tag = "3")]
    pub shard: u32,
    /// Whether `cancelled_jobs` lists every cancellation that the sender has told anybody of and that is newer than the
    /// version named in the request. If not, the owner cannot know which cancellations users were told of.
    #[prost(bool, tag = "4")]
    pub knows_cancellations: bool,
    /// Ids of cancelled jobs, in the format of [`encode_job_ids`](crate::wire::store::encode_job_ids).
    #[prost(string, tag = "5")]
    pub cancelled_jobs: String,
    /// Number of jobs in `cancelled_jobs`. A receiver that decodes a different number of ids knows that it does not
    /// understand their encoding.
    #[prost(uint32, tag = "6")]
    pub cancelled_count: u32,
    /// The newest configuration version that the sender has seen.
    #[prost(uint64, tag = "7")]
    pub configuration_version: u64,
}

/// The query whether a launch watermark covered every launch in a term so far, or the confirmation. A process that
/// started during the term sends the query, as the process cannot know about launches before its start.
#[derive(Clone, PartialEq, Message)]
pub struct WatermarkCheck {
    #[prost(uint64, tag = "1")]
    pub term: u64,
    /// The incarnation of the process that sent the query. A confirmation to an earlier process of the same name does
    /// not count.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    #[prost(uint32, tag = "3")]
    pub shard: u32,
}

/// A notice that the sender stored a change of a job, or has read that a job is cancelled. The owner of the job's shard
/// reads the job's record if its watch does not deliver the change soon. Until it has done so, it starts no task of the
/// job if the change is a cancellation, or if the kind of the change is not stated.
#[derive(Clone, PartialEq, Message)]
pub struct JobChanged {
    #[prost(string, tag = "1")]
    pub job: String,
    /// The version at which the job changed.
    #[prost(uint64, tag = "2")]
    pub version: u64,
    #[prost(enumeration = "JobChangeKind", tag = "3")]
    pub kind: i32,
    /// The shard in which the job's tasks run, if the job is cancelled.
    #[prost(uint32, tag = "4")]
    pub shard: u32,
}

/// The kind of a job's change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, prost::Enumeration)]
#[repr(i32)]
pub enum JobChangeKind {
    /// The job was accepted or cancelled: earlier releases do not state which.
    Unspecified = 0,
    Accepted = 1,
    Cancelled = 2,
}

/// The response of a shard's owner to the notice that a job of the shard is cancelled: the owner starts no task of the
/// job from now on. An owner of an earlier release sends no response.
#[derive(Clone, PartialEq, Message)]
pub struct CancellationApplied {
    #[prost(string, tag = "1")]
    pub job: String,
    #[prost(uint32, tag = "2")]
    pub shard: u32,
}
