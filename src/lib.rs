//! gannethub, a cluster scheduler: the process around the core.
//!
//! [`gannethub_core`] decides and remembers; [`daemon`] connects it to sockets and clocks, [`files`] reads what
//! operators write, [`config`] changes the configuration while controllers run, and [`ledger`] is the command for the ledger. [`dev`] runs a whole cluster on loopback, with the
//! sockets of [`emulators`].

pub mod config;
pub mod daemon;
pub mod dev;
pub mod emulators;
pub mod files;
pub mod http;
pub mod ledger;
mod peers;

pub use gannethub_core as core;
