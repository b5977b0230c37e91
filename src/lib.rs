//! gannethub, a cluster scheduler: the process around the scheduler core.
//!
//! [`gannethub_core`] makes the scheduling decisions and keeps the state. [`daemon`] connects the core to sockets and
//! clocks, [`files`] reads the files that operators write, [`config`] changes the configuration while controllers run,
//! and [`ledger`] is the command for the ledger. [`dev`] runs a whole cluster on loopback, with the sockets of
//! [`emulators`].

pub mod config;
pub mod daemon;
pub mod dev;
pub mod emulators;
pub mod files;
pub mod http;
pub mod ledger;
mod peers;

pub use gannethub_core as core;
