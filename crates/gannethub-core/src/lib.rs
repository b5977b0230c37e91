//! The core of the gannethub cluster scheduler, without input or output. Jobs run as nested sagas on machines
//! provisioned from a cloud.
//!
//! The [`controller`] owns all state of a process. Its inputs are commands and the current time, and its outputs are
//! effects, so that a program can embed the controller and a test can drive it with a simulated clock. This crate
//! opens no sockets, reads no files and does not read the system clock.
//!
//! Modules import only from lower layers, in the order [`controller`], [`reconcile`], [`scheduling`], [`state`]. The
//! [`state`] module uses the types of [`wire`] and the basic modules below it.

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
