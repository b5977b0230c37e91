//! Kill orders: attempts of cancelled jobs whose workers are notified at once, without waiting for their next
//! heartbeats.

use std::collections::BTreeMap;

use crate::model::{AttemptId, MachineId, Micros};
use crate::wire::budget::TokenBucket;

/// The attempts that one worker has to kill.
#[derive(Debug, Default)]
pub struct KillOrder {
    /// Time at which the last of the attempts was cancelled.
    pub last_cancelled_at: Micros,
    pub attempts: Vec<AttemptId>,
    /// Whether one of the attempts does not run yet, and would start after the user was told that the job is
    /// cancelled.
    pub has_unstarted: bool,
}

/// The kill orders that are still to be sent, and the limit on their rate.
#[derive(Debug)]
pub(crate) struct KillOrders {
    pub pending: BTreeMap<MachineId, KillOrder>,
    pub rate_limit: TokenBucket,
}

impl KillOrders {
    /// Returns the state without pending orders. `rate`: maximum number of orders sent per second, one per machine.
    pub fn new(rate: f64) -> KillOrders {
        KillOrders {
            pending: BTreeMap::new(),
            rate_limit: TokenBucket::new(rate),
        }
    }
}
