//! Usage ledger: charges the usage of each task attempt exactly once, decays it into team shares, and can be audited.
//!
//! The crate reads no clock, file or socket and does not depend on the scheduler. The leader reports its observations
//! of an attempt to a [`Meter`], passes the resulting usage to its [`Book`], and writes the pages that the book
//! returns. Any holder of the pages and the keys can [`verify`](audit::verify) the pages and compute the same
//! [`Accounts`].
//!
//! Times are whole microseconds. Timestamps in lines are the leader's time of day; durations are measured on the
//! leader's monotonic clock, so a time of day that steps back cannot make a charge negative.

pub mod account;
pub mod audit;
pub mod book;
pub mod chain;
pub mod decay;
#[cfg(feature = "export")]
pub mod export;
pub mod line;
pub mod meter;
pub mod settings;

pub use account::{Account, Accounts};
pub use book::Book;
pub use chain::KeyRing;
pub use line::{Charge, Line};
pub use meter::Meter;
pub use settings::Settings;

/// A timestamp or a duration in whole microseconds.
pub type Micros = u64;

/// One second in microseconds.
pub const SECOND: Micros = 1_000_000;
