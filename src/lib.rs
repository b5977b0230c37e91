//! gannethub, a cluster scheduler: the process around the core.
//!
//! [`gannethub_core`] decides and remembers; [`daemon`] connects it to sockets and clocks.

pub mod daemon;
pub mod http;

pub use gannethub_core as core;
