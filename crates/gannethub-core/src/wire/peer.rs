//! Messages between controllers: `prost` messages in length-prefixed frames.
//!
//! Fields go by their tags on the wire. Controllers of different releases talk to each other during an upgrade: a tag
//! is never used again for something else, and a field that an earlier release does not send has its default.

mod frame;
mod message;
mod usage;

pub use self::frame::{FrameError, MAX_FRAME_BYTES, decode_frame, encode_frame};
pub use self::message::{
    Body, Envelope, Heartbeat, JobChanged, OfferAmount, RelayAnswer, RelayHeartbeat, RunningJob,
    ShardStatus, TeamStatus, Vote, VoteRequest, WatermarkCheck,
};
pub use self::usage::{AttemptKey, OpenUsageRecord, UsageOwner, UsageRecords, UsageRecordsRequest};
