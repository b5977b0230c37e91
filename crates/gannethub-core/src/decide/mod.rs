//! What is decided: reads what is remembered, and chooses.

pub mod allot;
pub mod blame;
pub mod gather;
pub mod limits;
pub mod order;
pub mod plan;
pub mod pulls;
pub mod renting;
pub mod scheduler;
pub mod takeover;
pub mod zones;
