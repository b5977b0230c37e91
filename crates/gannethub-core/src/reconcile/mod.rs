//! Events are applied to the state: heartbeats, answers of the cloud and of the state service, stored records. What
//! follows from them is written down and sent on; decisions are left to [`crate::scheduling`].
//!
//! | module | what it applies, or prepares |
//! | --- | --- |
//! | `heartbeat`, `attempts`, `attempt_end` | workers' heartbeats, and what they say of attempts |
//! | `orders`, `kill_delivery` | orders to workers, with the answer to a heartbeat or pushed |
//! | `lease_expiry` | what time alone changes |
//! | `stored_records`, `cancellation`, `pipelines` | records of the state service, as they are read |
//! | `transaction`, `job_writes`, `transaction_outcome` | what is written there, and whether it was |
//! | `provisioning`, `machine_listing` | answers of the cloud |
//! | `shard_transfer` | machines that go from one shard to another |
//! | `configuration` | new settings |

mod attempt_end;
mod attempts;
mod cancellation;
mod configuration;
pub mod heartbeat;
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
