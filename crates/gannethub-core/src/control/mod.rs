//! The roles of a controller, and the owner of them all.

mod allotter;
pub mod controller;
mod holder;
mod intake;
pub mod leadership;
mod lease;
mod port;
mod queries;
mod seats;
mod standing;
