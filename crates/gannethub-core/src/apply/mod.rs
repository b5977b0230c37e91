//! What happens: reports, answers and stored values are taken in, and what follows from them.

pub mod cloud;
pub mod configured;
pub mod halts;
pub mod moves;
pub mod pipelines;
pub mod reports;
pub mod storing;
