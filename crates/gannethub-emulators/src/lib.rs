//! Models of the state service, the cloud and its workers, by their published protocols.
//!
//! The models have no sockets and no clock: callers pass in the time and an [`Environment`]. The simulation tests drive
//! the models on a simulated clock; `gannethub dev` and the scale runs serve the same models on loopback. The models
//! are for tests and trials only: they keep their state in memory, and lose it when their process ends.

pub mod cloud;
pub mod record;
pub mod state;
pub mod worker;

pub use cloud::Cloud;
pub use record::{Record, Span};
pub use state::State;
pub use worker::{Environment, JobFacts, Worker};

/// One second in microseconds, the unit of all times in this crate.
pub const SECOND: u64 = 1_000_000;
