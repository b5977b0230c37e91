//! State that a controller keeps in memory. These modules make no decisions: `scheduling` decides, and `reconcile`
//! applies input from outside.
//!
//! | modules | contents |
//! | --- | --- |
//! | [`cluster`] | [`Cluster`](cluster::Cluster): the complete view that a shard owner has of its shard |
//! | [`machine`], [`attempt`], [`capacity_index`], [`zones`] | machines, their attempts, and where capacity is free |
//! | [`job`], [`failure_tracking`], [`queue`], [`quota`], [`pass_state`] | jobs, their order, and scheduler state |
//! | [`announced_changes`] | changes of jobs that were announced and not read yet |
//! | [`pipeline`], [`dependencies`], [`downstream_demand`] | jobs that wait for other jobs |
//! | [`unconfirmed`], [`watermarks`] | knowledge of a new leader before all machines have confirmed its term |
//! | [`shard`], [`shard_load`], [`shard_transfers`] | the shard's durable record, and the other shards |
//! | [`fleet`], [`provisioning_times`] | known state of the cloud |
//! | [`writes`], [`kill_orders`] | pending messages to the state service and to workers |
//! | [`usage`] | the leader's side of the usage ledger |
//! | [`job_replica`], [`usage_replica`] | copies that every controller keeps, whichever controller leads |

pub mod announced_changes;
pub mod attempt;
pub mod capacity_index;
pub mod cluster;
pub mod dependencies;
pub mod downstream_demand;
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
