//! Applies events to the state: heartbeats, responses of the cloud and of the state service, stored records. The
//! resulting writes and worker orders are prepared here; scheduling decisions are left to [`crate::scheduling`].
//!
//! | module | events that the module applies, or output that it prepares |
//! | --- | --- |
//! | `heartbeat`, `attempts`, `attempt_end`, `image_cache` | worker heartbeats and the attempts that they report |
//! | `gang_wait` | gang tasks that exit because the rest of their gang is not ready |
//! | `orders`, `kill_delivery` | orders to workers, sent in heartbeat responses or pushed |
//! | `lease_expiry` | changes that passing time alone causes, such as lease expiry |
//! | `stored_records`, `cancellation`, `pipelines` | records read from the state service |
//! | `transaction`, `job_writes`, `transaction_outcome` | transactions to the state service, and their outcomes |
//! | `provisioning`, `machine_listing` | responses of the cloud |
//! | `shard_transfer` | machine transfers between shards |
//! | `configuration` | new settings |

mod attempt_end;
mod attempts;
mod cancellation;
mod configuration;
mod gang_wait;
pub mod heartbeat;
mod image_cache;
mod job_writes;
pub mod kill_delivery;
mod lease_expiry;
mod machine_listing;
mod orders;
mod pipelines;
mod provisioning;
mod shard_transfer;
mod stored_records;
mod transaction;
mod transaction_outcome;
