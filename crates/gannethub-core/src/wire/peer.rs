//! Messages between controllers: `prost` messages in length-prefixed frames.
//!
//! Tags identify the fields on the wire. Controllers of different releases exchange messages during an upgrade, so a
//! tag is never reused for another field, and a field that an earlier release does not send takes its default value.

mod frame;
mod message;
mod usage;

pub use self::frame::{FrameError, MAX_FRAME_BYTES, decode_frame, encode_frame};
pub use self::message::{
    Body, CancellationApplied, Envelope, Heartbeat, JobChangeKind, JobChanged, OfferAmount,
    RelayAnswer, RelayHeartbeat, RunningJobProgress, ShardStatus, TeamStatus, Vote, VoteRequest,
    WatermarkCheck,
};
pub use self::usage::{
    AttemptKey, OpenUsageRecord, UsageAccount, UsageRecords, UsageRecordsRequest,
};
