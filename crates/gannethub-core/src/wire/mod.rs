//! Formats: requests, answers, messages and stored values, and the budget for requests to the state service.
//!
//! Names on the wire are fixed by the protocol and by what is stored; Rust names differ from them by `serde` attributes
//! and `prost` tags. Nothing here knows what a message leads to.

pub mod api;
pub mod budget;
pub mod cloud;
pub mod configuration;
pub mod peer;
pub mod store;
pub mod worker;
