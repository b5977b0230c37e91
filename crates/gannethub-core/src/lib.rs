//! The gannethub cluster scheduler without input or output: jobs run as nested sagas on machines rented
//! from a cloud.
//!
//! The [`controller`] owns all state of a process; commands and the time go in, effects come out, so a program
//! can embed it and a test can drive it by its own clock. Nothing here opens a socket, reads a file or asks
//! for the time.

pub mod api;
pub mod blame;
pub mod block;
pub mod boots;
pub mod cloud;
pub mod cluster;
pub mod controller;
pub mod fleet;
pub mod gather;
pub mod http;
pub mod leadership;
pub mod mirror;
pub mod model;
pub mod peer;
pub mod pipeline;
pub mod plan;
pub mod policy;
pub mod queue;
pub mod room;
pub mod saga;
pub mod scheduler;
pub mod settings;
pub mod store;
pub mod worker;
