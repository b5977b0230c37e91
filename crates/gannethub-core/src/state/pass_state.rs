//! What scheduling passes and provisioning plans leave behind for the next ones, and what they cost.

use std::cell::Cell;

use crate::model::{JobId, Micros};

/// The scheduler's state between passes. It is changed by the folder `scheduling`; others only set the flags that
/// ask for a pass.
#[derive(Debug)]
pub struct PassState {
    /// Something changed that a pass over the whole queue should see.
    pub needed: bool,
    /// Capacity came free since the last heartbeat was answered.
    pub(crate) capacity_freed: bool,
    /// Jobs with tasks to place, in queue order, as of the last pass.
    pub placement_order: Vec<JobId>,
    /// Indices of capacity buckets in first-fit order, in tiers of like preference, as of the last pass.
    pub bucket_tiers: Vec<Vec<usize>>,
    /// How many passes there have been.
    pub count: u64,
    pub last_at: Micros,
    /// The next pass may not begin before this time.
    pub next_at: Micros,
    /// The next provisioning plan may not begin before this time.
    pub next_plan_at: Micros,
    /// The last pass ran out of steps before it came to all gangs that ask for preemption.
    pub gang_requests_deferred: bool,
    /// When gang placement was last tried for all gangs that wait.
    pub gang_round_at: Micros,
    /// Steps taken so far: machines, jobs and forecasts that were looked at. It paces passes and plans by what
    /// they cost, and is a cell as read-only helpers count as well.
    pub steps: Cell<u64>,
    /// What passes and plans have cost since that was last logged.
    pub cost: SchedulingCost,
}

/// What scheduling has cost, in steps.
#[derive(Debug, Default)]
pub struct SchedulingCost {
    pub passes: u64,
    pub pass_steps: u64,
    pub plans: u64,
    pub plan_steps: u64,
    /// The most that a single pass or plan took.
    pub max_steps: u64,
}

impl Default for PassState {
    /// The state before the first pass, which is needed.
    fn default() -> PassState {
        PassState {
            needed: true,
            capacity_freed: false,
            placement_order: Vec::new(),
            bucket_tiers: Vec::new(),
            count: 0,
            last_at: 0,
            next_at: 0,
            next_plan_at: 0,
            gang_requests_deferred: false,
            gang_round_at: 0,
            steps: Cell::new(0),
            cost: SchedulingCost::default(),
        }
    }
}

impl PassState {
    /// Counts steps that a decision has taken.
    pub(crate) fn add_steps(&self, steps: u64) {
        self.steps.set(self.steps.get() + steps);
    }
}
