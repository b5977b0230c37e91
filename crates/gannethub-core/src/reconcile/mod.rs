//! Events are applied to the state: heartbeats, answers of the cloud and of the state service, stored records. What
//! follows from them is written down and sent on; decisions are left to [`crate::scheduling`].

pub mod attempts;
pub mod cancellation;
pub mod configuration;
pub mod heartbeat;
mod job_writes;
pub mod kill_delivery;
pub mod lease_expiry;
pub mod orders;
pub mod pipelines;
pub mod provisioning;
pub mod shard_transfer;
pub mod stored_records;
pub mod transaction;
pub mod transaction_outcome;
