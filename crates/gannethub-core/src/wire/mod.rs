//! Formats of requests, responses, messages and stored values, and the budget for requests to the state service.
//!
//! The protocol and the stored data fix the names on the wire; `serde` attributes and `prost` tags map Rust names to
//! them. These modules do not depend on how a message is handled.

pub mod api;
pub mod budget;
pub mod cloud;
pub mod configuration;
pub mod peer;
pub mod store;
pub mod worker;
