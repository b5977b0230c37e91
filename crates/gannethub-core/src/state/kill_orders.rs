//! Attempts of cancelled jobs whose workers are to be told at once, without waiting for their next heartbeats.

use std::collections::BTreeMap;

use crate::model::{AttemptId, MachineId, Micros};
use crate::wire::budget::TokenBucket;

/// The attempts that one worker is to be told to kill.
#[derive(Debug, Default)]
pub struct KillOrder {
    /// When the last of them was cancelled.
    pub since: Micros,
    pub attempts: Vec<AttemptId>,
    /// One of them does not run yet, and would start after its user was told that the job is cancelled.
    pub has_unstarted: bool,
}

/// The orders that are yet to be sent, and how many may be sent in a second.
#[derive(Debug)]
pub(crate) struct KillOrders {
    pub pending: BTreeMap<MachineId, KillOrder>,
    pub rate_limit: TokenBucket,
}

impl KillOrders {
    /// `rate`: how many machines may be sent an order in a second.
    pub fn new(rate: f64) -> KillOrders {
        KillOrders {
            pending: BTreeMap::new(),
            rate_limit: TokenBucket::new(rate),
        }
    }
}
