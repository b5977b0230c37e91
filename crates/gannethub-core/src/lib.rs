//! The gannethub cluster scheduler without input or output: jobs run as nested sagas on machines rented
//! from a cloud.
//!
//! The [`controller`] owns all state of a process; commands and the time go in, effects come out, so a program
//! can embed it and a test can drive it by its own clock. Nothing here opens a socket, reads a file or asks
//! for the time.
//!
//! Modules import downwards only: [`controller`] above [`reconcile`], that above [`scheduling`], that above
//! [`state`], which knows the types of the [`wire`] and the plain modules below.

pub mod configuration;
pub mod controller;
pub mod http;
pub mod model;
pub mod policy;
pub mod reconcile;
pub mod saga;
pub mod scheduling;
pub mod settings;
pub mod state;
pub mod wire;
