//! What controllers say to one another: `prost` messages in length-limited frames.

use bytes::{Buf, BufMut, Bytes, BytesMut};
use prost::Message;

/// A frame longer than this is garbage, and ends the connection.
pub const MAX_FRAME_BYTES: usize = 256 * 1024;

#[derive(Clone, PartialEq, Message)]
pub struct Envelope {
    /// The sender's name.
    #[prost(string, tag = "1")]
    pub from: String,
    #[prost(oneof = "Body", tags = "2, 3, 4, 5, 6, 7, 8, 9, 10, 11")]
    pub body: Option<Body>,
}

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
    #[prost(message, tag = "10")]
    WatermarkQuery(WatermarkCheck),
    #[prost(message, tag = "11")]
    WatermarkConfirmation(WatermarkCheck),
}

/// Sent to every sibling, by every controller, all the time.
#[derive(Clone, PartialEq, Message)]
pub struct Heartbeat {
    /// The sender's term if it is the leader, else 0.
    #[prost(uint64, tag = "1")]
    pub leading_term: u64,
    /// The state service answers the sender.
    #[prost(bool, tag = "2")]
    pub store_reachable: bool,
    /// The sender leads, or can pass reports on to the leader.
    #[prost(bool, tag = "3")]
    pub accepts_heartbeats: bool,
    /// From holders: tasks running now, by job.
    #[prost(message, repeated, tag = "4")]
    pub running_jobs: Vec<RunningJob>,
    /// The blocks that the sender holds, where there are several.
    #[prost(message, repeated, tag = "5")]
    pub shards: Vec<ShardStatus>,
    /// From block 0's holder: offers that the cloud refuses, and for how many milliseconds they are left alone.
    #[prost(message, repeated, tag = "6")]
    pub refused_offers: Vec<OfferAmount>,
    /// The sender follows versions of the configuration; a sender of an earlier release does not say so.
    #[prost(bool, tag = "7")]
    pub supports_configuration: bool,
    /// The version of the configuration that is in force at the sender, and the newest that it has seen.
    #[prost(uint64, tag = "8")]
    pub configuration_version: u64,
    #[prost(uint64, tag = "9")]
    pub newest_configuration_version: u64,
}

/// How a block stands.
#[derive(Clone, PartialEq, Message)]
pub struct ShardStatus {
    #[prost(uint32, tag = "1")]
    pub shard: u32,
    #[prost(uint64, tag = "2")]
    pub term: u64,
    /// Thousandths of a CPU, as are all amounts here.
    #[prost(int64, tag = "3")]
    pub backlog_cpu: i64,
    #[prost(int64, tag = "4")]
    pub waiting_cpu: i64,
    #[prost(int64, tag = "5")]
    pub free_cpu: i64,
    /// In the settings' order of teams.
    #[prost(message, repeated, tag = "6")]
    pub teams: Vec<TeamStatus>,
    #[prost(message, repeated, tag = "7")]
    pub machine_demand: Vec<OfferAmount>,
}

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

#[derive(Clone, PartialEq, Message)]
pub struct RunningJob {
    #[prost(string, tag = "1")]
    pub job: String,
    #[prost(uint32, tag = "2")]
    pub tasks: u32,
    #[prost(uint32, tag = "3")]
    pub done: u32,
}

/// A worker's report, passed on to the leader.
#[derive(Clone, PartialEq, Message)]
pub struct RelayHeartbeat {
    #[prost(uint64, tag = "1")]
    pub id: u64,
    #[prost(bytes = "bytes", tag = "2")]
    pub heartbeat: Bytes,
}

/// The leader's answer to a relayed report.
#[derive(Clone, PartialEq, Message)]
pub struct RelayAnswer {
    #[prost(uint64, tag = "1")]
    pub id: u64,
    #[prost(uint32, tag = "2")]
    pub status: u32,
    #[prost(bytes = "bytes", tag = "3")]
    pub body: Bytes,
}

/// The leader cannot reach the state service and asks not to be replaced for a while.
#[derive(Clone, PartialEq, Message)]
pub struct VoteRequest {
    #[prost(uint64, tag = "1")]
    pub round: u64,
    #[prost(uint64, tag = "2")]
    pub term: u64,
    #[prost(uint64, tag = "3")]
    pub duration: u64,
    /// The block that the lease is for.
    #[prost(uint32, tag = "4")]
    pub shard: u32,
    /// The asker has seen all changes of jobs up to this version. 0: it does not say.
    #[prost(uint64, tag = "5")]
    pub known_version: u64,
}

/// The sender will not take over from `term` for as long as was asked.
#[derive(Clone, PartialEq, Message)]
pub struct Vote {
    #[prost(uint64, tag = "1")]
    pub round: u64,
    #[prost(uint64, tag = "2")]
    pub term: u64,
    /// The block that the lease is for.
    #[prost(uint32, tag = "3")]
    pub shard: u32,
    /// All cancellations that the sender has told anybody of, and that came after what the asker has seen, are here.
    #[prost(bool, tag = "4")]
    pub knows_cancellations: bool,
    /// Those, as numbers and ranges, and how many they are.
    #[prost(string, tag = "5")]
    pub cancelled_jobs: String,
    #[prost(uint32, tag = "6")]
    pub cancelled_count: u32,
    /// The newest version of the configuration that the sender has seen.
    #[prost(uint64, tag = "7")]
    pub configuration_version: u64,
}

/// A process that began within a term asks, and whoever knows answers, whether nothing was launched without
/// marks in it so far.
#[derive(Clone, PartialEq, Message)]
pub struct WatermarkCheck {
    #[prost(uint64, tag = "1")]
    pub term: u64,
    /// The asking process's own number: answers to another life of it count for nothing.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// The block that the lease is for.
    #[prost(uint32, tag = "3")]
    pub shard: u32,
}

/// A job was accepted or cancelled here. The leader looks at it if its watch does not tell it soon.
#[derive(Clone, PartialEq, Message)]
pub struct JobChanged {
    #[prost(string, tag = "1")]
    pub job: String,
    /// The version at which it changed.
    #[prost(uint64, tag = "2")]
    pub version: u64,
}

/// From a leader that keeps a ledger: attempts that are not charged yet, or not in writing.
#[derive(Clone, PartialEq, Message)]
pub struct UsageRecords {
    #[prost(uint64, tag = "1")]
    pub term: u64,
    /// Counts what the leader has sent to this sibling; one that is missing makes the rest useless.
    #[prost(uint64, tag = "2")]
    pub sequence: u64,
    /// The first of a list of all, and the last of one.
    #[prost(bool, tag = "3")]
    pub is_first: bool,
    #[prost(bool, tag = "4")]
    pub is_last: bool,
    #[prost(message, repeated, tag = "5")]
    pub open_records: Vec<OpenUsageRecord>,
    /// In writing by now, or never to be charged.
    #[prost(message, repeated, tag = "6")]
    pub closed_keys: Vec<AttemptKey>,
    /// Time of day when it was sent: messages may be held back for minutes.
    #[prost(uint64, tag = "7")]
    pub sent_at: u64,
}

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

/// What is charged of one attempt so far. Times are ages when the message was sent, in microseconds.
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
    #[prost(uint64, tag = "6")]
    pub price: u64,
    /// The worker's session in which it was placed.
    #[prost(uint64, tag = "7")]
    pub incarnation: u64,
    #[prost(uint32, tag = "8")]
    pub stage: u32,
    #[prost(uint64, tag = "9")]
    pub stage_age: u64,
    #[prost(uint64, repeated, tag = "10")]
    pub stage_times: Vec<u64>,
    #[prost(uint64, tag = "11")]
    pub begin_uncertainty: u64,
    #[prost(bool, tag = "12")]
    pub begin_estimated: bool,
    #[prost(bool, tag = "13")]
    pub saved: bool,
    /// If it is over: why, by its place among the reasons and counted from one, how long ago, and how far its
    /// time may be off.
    #[prost(uint32, tag = "14")]
    pub end_reason: u32,
    #[prost(uint64, tag = "15")]
    pub end_age: u64,
    #[prost(uint64, tag = "16")]
    pub time_uncertainty: u64,
}

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
    #[prost(bool, tag = "6")]
    pub is_service: bool,
}

/// The sender has missed some of the leader's open tabs and asks for all.
#[derive(Clone, PartialEq, Message)]
pub struct UsageRecordsRequest {
    #[prost(uint64, tag = "1")]
    pub term: u64,
}

/// Appends a message to `out` as one frame.
pub fn encode_frame(message: &Envelope, out: &mut BytesMut) {
    out.put_u32(message.encoded_len() as u32);
    // A BytesMut grows, so encoding cannot run out of room.
    let _ = message.encode(out);
}

/// A frame that cannot be understood.
#[derive(Debug, thiserror::Error)]
pub enum FrameError {
    #[error("a frame of {0} bytes is over the limit")]
    TooLong(usize),
    #[error("not a message: {0}")]
    Garbled(#[from] prost::DecodeError),
}

/// Takes the next whole frame off `buf`, if there is one.
pub fn decode_frame(buf: &mut BytesMut) -> Result<Option<Envelope>, FrameError> {
    let Some(head) = buf.get(..4) else {
        return Ok(None);
    };
    let n = u32::from_be_bytes([head[0], head[1], head[2], head[3]]) as usize;
    if n > MAX_FRAME_BYTES {
        return Err(FrameError::TooLong(n));
    }
    if buf.len() < 4 + n {
        return Ok(None);
    }
    buf.advance(4);
    Ok(Some(Envelope::decode(buf.split_to(n).freeze())?))
}

#[cfg(test)]
mod tests;
