//! State that scheduling passes and provisioning plans leave for later passes and plans, and their cost.

use std::cell::Cell;

use crate::model::{JobId, Micros};

/// The scheduler's state between passes. Only the module `scheduling` changes this state, with two exceptions: any code
/// may set the flags that request a pass, and `reconcile::configuration` makes the next pass and plan due at once.
#[derive(Debug)]
pub struct PassState {
    /// Whether a change has to be considered by a pass over the whole queue.
    pub needed: bool,
    /// Whether capacity was freed since the last heartbeat was answered.
    pub(crate) capacity_freed: bool,
    /// Jobs with tasks to place, in queue order, as of the last pass.
    pub placement_order: Vec<JobId>,
    /// Indices of capacity buckets in first-fit order, in tiers of equal preference, as of the last pass.
    pub bucket_tiers: Vec<Vec<usize>>,
    /// Number of passes so far.
    pub count: u64,
    pub last_at: Micros,
    /// Earliest time of the next pass.
    pub next_at: Micros,
    /// Earliest time of the next provisioning plan.
    pub next_plan_at: Micros,
    /// Whether an earlier pass ran out of scheduling steps before it reached all jobs that request preemption: arrays
    /// and services as well as gangs.
    pub preemption_requests_deferred: bool,
    /// Time at which gang placement was last tried for all waiting gangs.
    pub last_gang_placement_at: Micros,
    /// Scheduling steps taken so far: the number of machines, jobs and forecasts examined. Passes and plans are paced
    /// by their cost in steps. The counter is a cell because read-only helpers count steps as well.
    pub steps: Cell<u64>,
    /// Cost of passes and plans since the cost was last logged.
    pub cost: SchedulingCost,
}

/// Cost of scheduling, in scheduling steps.
#[derive(Debug, Default)]
pub struct SchedulingCost {
    pub passes: u64,
    pub pass_steps: u64,
    pub plans: u64,
    pub plan_steps: u64,
    /// Largest number of steps taken by a single pass or plan.
    pub max_steps: u64,
}

impl Default for PassState {
    /// Returns the state before the first pass, which is needed.
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
            preemption_requests_deferred: false,
            last_gang_placement_at: 0,
            steps: Cell::new(0),
            cost: SchedulingCost::default(),
        }
    }
}

impl PassState {
    /// Counts scheduling steps taken by a decision.
    pub(crate) fn add_steps(&self, steps: u64) {
        self.steps.set(self.steps.get() + steps);
    }
}
