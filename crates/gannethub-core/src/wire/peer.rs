//! What controllers say to one another: `prost` messages in length-limited frames.

use bytes::{Buf, BufMut, Bytes, BytesMut};
use prost::Message;

/// A frame longer than this is garbage, and ends the connection.
pub const MAX_FRAME: usize = 256 * 1024;

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
    Relay(Relay),
    #[prost(message, tag = "4")]
    Relayed(Relayed),
    #[prost(message, tag = "5")]
    PromiseAsk(PromiseAsk),
    #[prost(message, tag = "6")]
    Promise(Promise),
    #[prost(message, tag = "7")]
    Changed(Changed),
    #[prost(message, tag = "8")]
    OpenTabs(OpenTabs),
    #[prost(message, tag = "9")]
    TabsAsk(TabsAsk),
    #[prost(message, tag = "10")]
    MarksAsk(Marks),
    #[prost(message, tag = "11")]
    MarksHold(Marks),
}

/// Sent to every sibling, by every controller, all the time.
#[derive(Clone, PartialEq, Message)]
pub struct Heartbeat {
    /// The sender's term if it is the leader, else 0.
    #[prost(uint64, tag = "1")]
    pub leading: u64,
    /// The state service answers the sender.
    #[prost(bool, tag = "2")]
    pub state_ok: bool,
    /// The sender leads, or can pass reports on to the leader.
    #[prost(bool, tag = "3")]
    pub takes_reports: bool,
    /// From holders: tasks running now, by job.
    #[prost(message, repeated, tag = "4")]
    pub running: Vec<Running>,
    /// The blocks that the sender holds, where there are several.
    #[prost(message, repeated, tag = "5")]
    pub blocks: Vec<BlockTold>,
    /// From block 0's holder: offers that the cloud refuses, and for how many milliseconds they are left alone.
    #[prost(message, repeated, tag = "6")]
    pub refused: Vec<OfferTold>,
    /// The sender follows versions of the configuration; a sender of an earlier release does not say so.
    #[prost(bool, tag = "7")]
    pub configurable: bool,
    /// The version of the configuration that is in force at the sender, and the newest that it has seen.
    #[prost(uint64, tag = "8")]
    pub configuration: u64,
    #[prost(uint64, tag = "9")]
    pub newest_configuration: u64,
}

/// How a block stands.
#[derive(Clone, PartialEq, Message)]
pub struct BlockTold {
    #[prost(uint32, tag = "1")]
    pub block: u32,
    #[prost(uint64, tag = "2")]
    pub term: u64,
    /// Thousandths of a CPU, as are all amounts here.
    #[prost(int64, tag = "3")]
    pub backlog: i64,
    #[prost(int64, tag = "4")]
    pub waiting: i64,
    #[prost(int64, tag = "5")]
    pub free: i64,
    /// In the settings' order of teams.
    #[prost(message, repeated, tag = "6")]
    pub teams: Vec<TeamTold>,
    #[prost(message, repeated, tag = "7")]
    pub wants: Vec<OfferTold>,
}

#[derive(Clone, PartialEq, Message)]
pub struct TeamTold {
    #[prost(int64, tag = "1")]
    pub used_cpu: i64,
    #[prost(int64, tag = "2")]
    pub used_gpu: i64,
    #[prost(int64, tag = "3")]
    pub waits_cpu: i64,
    #[prost(int64, tag = "4")]
    pub waits_gpu: i64,
}

#[derive(Clone, PartialEq, Message)]
pub struct OfferTold {
    #[prost(string, tag = "1")]
    pub flavor: String,
    #[prost(string, tag = "2")]
    pub zone: String,
    #[prost(bool, tag = "3")]
    pub spot: bool,
    #[prost(uint64, tag = "4")]
    pub number: u64,
}

#[derive(Clone, PartialEq, Message)]
pub struct Running {
    #[prost(string, tag = "1")]
    pub job: String,
    #[prost(uint32, tag = "2")]
    pub tasks: u32,
    #[prost(uint32, tag = "3")]
    pub done: u32,
}

/// A worker's report, passed on to the leader.
#[derive(Clone, PartialEq, Message)]
pub struct Relay {
    #[prost(uint64, tag = "1")]
    pub id: u64,
    #[prost(bytes = "bytes", tag = "2")]
    pub report: Bytes,
}

/// The leader's answer to a relayed report.
#[derive(Clone, PartialEq, Message)]
pub struct Relayed {
    #[prost(uint64, tag = "1")]
    pub id: u64,
    #[prost(uint32, tag = "2")]
    pub status: u32,
    #[prost(bytes = "bytes", tag = "3")]
    pub body: Bytes,
}

/// The leader cannot reach the state service and asks not to be replaced for a while.
#[derive(Clone, PartialEq, Message)]
pub struct PromiseAsk {
    #[prost(uint64, tag = "1")]
    pub round: u64,
    #[prost(uint64, tag = "2")]
    pub term: u64,
    #[prost(uint64, tag = "3")]
    pub micros: u64,
    /// The block that the lease is for.
    #[prost(uint32, tag = "4")]
    pub block: u32,
    /// The asker has seen all changes of jobs up to this version. 0: it does not say.
    #[prost(uint64, tag = "5")]
    pub known: u64,
}

/// The sender will not take over from `term` for as long as was asked.
#[derive(Clone, PartialEq, Message)]
pub struct Promise {
    #[prost(uint64, tag = "1")]
    pub round: u64,
    #[prost(uint64, tag = "2")]
    pub term: u64,
    /// The block that the lease is for.
    #[prost(uint32, tag = "3")]
    pub block: u32,
    /// All cancellations that the sender has told anybody of, and that came after what the asker has seen, are here.
    #[prost(bool, tag = "4")]
    pub knows: bool,
    /// Those, as numbers and ranges, and how many they are.
    #[prost(string, tag = "5")]
    pub cancelled: String,
    #[prost(uint32, tag = "6")]
    pub count: u32,
    /// The newest version of the configuration that the sender has seen.
    #[prost(uint64, tag = "7")]
    pub configuration: u64,
}

/// A process that began within a term asks, and whoever knows answers, whether nothing was launched without
/// marks in it so far.
#[derive(Clone, PartialEq, Message)]
pub struct Marks {
    #[prost(uint64, tag = "1")]
    pub term: u64,
    /// The asking process's own number: answers to another life of it count for nothing.
    #[prost(uint64, tag = "2")]
    pub life: u64,
    /// The block that the lease is for.
    #[prost(uint32, tag = "3")]
    pub block: u32,
}

/// A job was accepted or cancelled here. The leader looks at it if its watch does not tell it soon.
#[derive(Clone, PartialEq, Message)]
pub struct Changed {
    #[prost(string, tag = "1")]
    pub job: String,
    /// The version at which it changed.
    #[prost(uint64, tag = "2")]
    pub stamp: u64,
}

/// From a leader that keeps a ledger: attempts that are not charged yet, or not in writing.
#[derive(Clone, PartialEq, Message)]
pub struct OpenTabs {
    #[prost(uint64, tag = "1")]
    pub term: u64,
    /// Counts what the leader has sent to this sibling; one that is missing makes the rest useless.
    #[prost(uint64, tag = "2")]
    pub seq: u64,
    /// The first of a list of all, and the last of one.
    #[prost(bool, tag = "3")]
    pub first: bool,
    #[prost(bool, tag = "4")]
    pub last: bool,
    #[prost(message, repeated, tag = "5")]
    pub open: Vec<OpenTab>,
    /// In writing by now, or never to be charged.
    #[prost(message, repeated, tag = "6")]
    pub closed: Vec<TabKey>,
    /// Time of day when it was sent: messages may be held back for minutes.
    #[prost(uint64, tag = "7")]
    pub at: u64,
}

#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Message)]
pub struct TabKey {
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
pub struct OpenTab {
    #[prost(message, optional, tag = "1")]
    pub key: Option<TabKey>,
    #[prost(message, optional, tag = "2")]
    pub owner: Option<TabOwner>,
    #[prost(string, tag = "3")]
    pub flavor: String,
    #[prost(string, tag = "4")]
    pub zone: String,
    #[prost(bool, tag = "5")]
    pub spot: bool,
    #[prost(uint64, tag = "6")]
    pub price: u64,
    /// The worker's session in which it was placed.
    #[prost(uint64, tag = "7")]
    pub session: u64,
    #[prost(uint32, tag = "8")]
    pub stage: u32,
    #[prost(uint64, tag = "9")]
    pub since: u64,
    #[prost(uint64, repeated, tag = "10")]
    pub spent: Vec<u64>,
    #[prost(uint64, tag = "11")]
    pub unsure: u64,
    #[prost(bool, tag = "12")]
    pub guessed: bool,
    #[prost(bool, tag = "13")]
    pub saved: bool,
    /// If it is over: why, by its place among the reasons and counted from one, how long ago, and how far its
    /// time may be off.
    #[prost(uint32, tag = "14")]
    pub reason: u32,
    #[prost(uint64, tag = "15")]
    pub ended: u64,
    #[prost(uint64, tag = "16")]
    pub bound: u64,
}

#[derive(Clone, PartialEq, Message)]
pub struct TabOwner {
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
    pub replica: bool,
}

/// The sender has missed some of the leader's open tabs and asks for all.
#[derive(Clone, PartialEq, Message)]
pub struct TabsAsk {
    #[prost(uint64, tag = "1")]
    pub term: u64,
}

/// Appends a message to `out` as one frame.
pub fn encode(message: &Envelope, out: &mut BytesMut) {
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
pub fn decode(buf: &mut BytesMut) -> Result<Option<Envelope>, FrameError> {
    let Some(head) = buf.get(..4) else {
        return Ok(None);
    };
    let n = u32::from_be_bytes([head[0], head[1], head[2], head[3]]) as usize;
    if n > MAX_FRAME {
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
