//! Models of the state service, the cloud and its workers, by their published protocols.
//!
//! They have no sockets and no clock: the time and a [`Site`] are given to them. The stories play them on a
//! simulated clock; `gannethub dev` and `gannethub standin` serve the same models on loopback. They are
//! stand-ins, for tests and for trying things out: what they hold is gone when their process ends.

pub mod cloud;
pub mod record;
pub mod state;
pub mod worker;

pub use cloud::Cloud;
pub use record::{Record, Span};
pub use state::State;
pub use worker::{JobFacts, Site, Worker};

/// One second, in microseconds.
pub const SECOND: u64 = 1_000_000;
