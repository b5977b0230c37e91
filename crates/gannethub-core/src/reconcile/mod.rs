//! What happens: reports, answers and stored values are taken in, and what follows from them.

pub mod configuration;
pub mod heartbeat;
pub mod kill_delivery;
pub mod persistence;
pub mod pipelines;
pub mod provisioning;
pub mod shard_transfer;
