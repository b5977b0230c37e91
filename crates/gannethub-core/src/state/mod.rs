//! What is remembered, and nothing that decides.

pub mod capacity_index;
pub mod cluster;
pub mod fleet;
pub mod job_replica;
pub mod kill_orders;
pub mod pipeline;
pub mod provisioning_times;
pub mod queue;
pub mod records;
pub mod shard;
pub mod shard_load;
pub mod unconfirmed;
pub mod usage;
pub mod usage_replica;
pub mod writes;
