//! Attempts of cancelled jobs whose workers are to be told at once.

use std::collections::BTreeMap;

use crate::model::MachineId;
use crate::model::{Micros, TaskId};
use crate::wire::budget::TokenBucket;

/// Attempts to be halted on one machine.
#[derive(Debug, Default)]
pub struct KillOrder {
    /// When the last of them was called off.
    pub since: Micros,
    pub attempts: Vec<(TaskId, u64)>,
    /// One of them does not run yet, and would start after its user was told.
    pub has_unstarted: bool,
}

/// All that is to be told, and how many machines may be told.
#[derive(Debug)]
pub(crate) struct KillOrders {
    pub pending: BTreeMap<MachineId, KillOrder>,
    pub rate_limit: TokenBucket,
}

impl KillOrders {
    /// So many machines may be told a second.
    pub fn new(rate: f64) -> KillOrders {
        KillOrders {
            pending: BTreeMap::new(),
            rate_limit: TokenBucket::new(rate),
        }
    }
}
