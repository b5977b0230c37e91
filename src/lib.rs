//! gannethub, a cluster scheduler: the process around the core.
//!
//! [`gannethub_core`] decides and remembers; [`daemon`] connects it to sockets and clocks, [`files`] reads what
//! operators write, and [`ledger`] is their command for the ledger. [`dev`] runs a whole cluster on loopback, with the
//! sockets of [`standins`].

pub mod daemon;
pub mod dev;
pub mod files;
pub mod http;
pub mod ledger;
mod peers;
pub mod standins;

pub use gannethub_core as core;
