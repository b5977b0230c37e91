//! What a controller remembers, without any decision: decisions are made in `scheduling`, and what comes in from
//! outside is taken in by `reconcile`.
//!
//! | modules | what they have |
//! | --- | --- |
//! | [`cluster`] | [`Cluster`](cluster::Cluster): all that the owner of a shard knows of it |
//! | [`machine`], [`attempt`], [`capacity_index`], [`zones`] | machines, what is on them, and where there is free capacity |
//! | [`job`], [`failure_tracking`], [`queue`], [`quota`], [`pass_state`] | jobs, their order, and what the scheduler keeps |
//! | [`pipeline`], [`dependencies`], [`deadline`] | jobs that wait for others |
//! | [`unconfirmed`], [`watermarks`] | what a new leader may rely on before all machines have confirmed its term |
//! | [`shard`], [`shard_load`], [`shard_transfers`] | the shard's durable record, and the other shards |
//! | [`fleet`], [`provisioning_times`] | the cloud, as far as it is known |
//! | [`writes`], [`kill_orders`] | what is to be sent to the state service and to workers |
//! | [`usage`] | the leader's side of the usage ledger |
//! | [`job_replica`], [`usage_replica`] | copies that every controller keeps, whoever leads |

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
