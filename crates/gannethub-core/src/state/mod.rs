//! What is remembered, and nothing that decides.

pub mod attempt;
pub mod capacity_index;
pub mod cluster;
pub mod deadline;
pub mod dependencies;
pub mod failure_tracking;
pub mod fleet;
pub mod job;
pub mod job_replica;
pub mod kill_orders;
pub mod machine;
pub mod pass_state;
pub mod pipeline;
pub mod provisioning_times;
pub mod queue;
pub mod quota;
pub mod shard;
pub mod shard_load;
pub mod shard_transfers;
pub mod unconfirmed;
pub mod usage;
pub mod usage_replica;
pub mod watermarks;
pub mod writes;
pub mod zones;
