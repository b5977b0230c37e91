//! What goes over each wire: the types of requests, answers and stored values.

pub mod api;
pub mod budget;
pub mod cloud;
pub mod configuration;
pub mod peer;
pub mod store;
pub mod worker;
