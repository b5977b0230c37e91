//! What is decided: reads what is remembered, and chooses.

pub mod autoscaler;
pub mod downstream_demand;
pub mod failover;
pub mod failure_tracking;
pub mod forecast;
pub mod gang;
pub mod limits;
pub mod queue_order;
pub mod quota_partition;
pub mod scheduler;
pub mod zones;
