//! What is remembered, and nothing that decides.

pub mod block;
pub mod boots;
pub mod cluster;
pub mod doubt;
pub mod fleet;
pub mod halt;
pub mod ledger;
pub mod mirror;
pub mod pipeline;
pub mod queue;
pub mod records;
pub mod room;
pub mod shadow;
pub mod share;
pub mod writes;
