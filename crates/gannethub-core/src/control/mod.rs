//! The single owner of a process's state, and who leads.

pub mod controller;
pub mod leadership;
