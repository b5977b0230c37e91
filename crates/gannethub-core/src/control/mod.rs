//! The roles of a controller, and the owner of them all.

mod allotter;
mod configured;
mod configuring;
pub mod controller;
mod holder;
mod intake;
pub mod leadership;
mod lease;
mod loading;
mod port;
mod queries;
mod routing;
mod seats;
mod standing;
