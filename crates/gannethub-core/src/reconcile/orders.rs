//! Orders that a worker receives with the response to its heartbeat.
//!
//! Orders are derived from the state alone and are repeated with every response until the worker reports that it
//! carried them out, so a lost response needs no bookkeeping.

use crate::model::{AttemptId, MachineId, Micros, SECOND, Shape, TaskId};
use crate::state::attempt::{Attempt, AttemptPhase};
use crate::state::cluster::Cluster;
use crate::state::job::Job;
use crate::state::machine::Machine;
use crate::wire::worker::{ExitReason, Order};

/// Maximum number of orders in one response or push. The maximum keeps the body below the 64 KiB that workers read.
pub(super) const MAX_ORDERS_PER_RESPONSE: usize = 300;

impl Cluster {
    /// Returns the orders for a machine: orders that stop or forget attempts come first, then launches.
    pub(super) fn next_orders(&mut self, id: &MachineId) -> Vec<Order> {
        let Some(machine) = self.machines.get(id) else {
            return Vec::new();
        };
        let mut launches = Vec::new();
        let mut orders = Vec::new();
        for (attempt_id, attempt) in &machine.attempts {
            match self.order_for(machine, attempt_id, attempt) {
                Some(launch @ Order::Start { .. }) => launches.push(launch),
                Some(order) => orders.push(order),
                None => {}
            }
        }
        orders.append(&mut launches);
        orders.truncate(MAX_ORDERS_PER_RESPONSE);
        if self.usage_ledger.is_some() {
            self.launches_sent(id, self.now);
        }
        orders
    }

    /// Returns the order for one attempt, if its worker has to act on the attempt.
    fn order_for(
        &self,
        machine: &Machine,
        attempt_id: &AttemptId,
        attempt: &Attempt,
    ) -> Option<Order> {
        let (task, number) = (&attempt_id.task, attempt_id.number);
        let job = self.jobs.get(&task.job);
        // An attempt whose job is not live has to end.
        let stop_grace = job.map_or(Some(0), |_| attempt.stop_grace);
        match (attempt.phase, stop_grace) {
            (AttemptPhase::Ended(reason), _) => (is_durable(job, task.index, reason)
                && self.is_usage_settled(machine, attempt_id))
            .then(|| forget_order(task, number)),
            // The attempt is saving its progress already, which is the purpose of the grace period.
            (AttemptPhase::Saving, Some(grace)) if grace > 0 => None,
            (_, Some(grace)) if attempt.reported => Some(stop_order(task, number, grace)),
            // Until the launch watermark that covers the task is durable, the attempt only holds its capacity.
            (AttemptPhase::Starting, None) => job
                .is_some_and(|job| self.may_launch(job, task.index))
                .then(|| start_order(task, number)),
            _ => None,
        }
    }
}

/// Whether the state service holds everything that this end of an attempt changes for the job. Until then the worker
/// keeps the result.
fn is_durable(job: Option<&Job>, index: u32, reason: ExitReason) -> bool {
    let Some(job) = job.filter(|_| reason == ExitReason::Done) else {
        return true;
    };
    job.cancelled
        || job.persistence.durable_done.contains(index)
        || job.spec.shape == Shape::Service
}

fn start_order(task: &TaskId, attempt: u64) -> Order {
    Order::Start {
        task: task.to_string(),
        attempt,
    }
}

/// Returns the order to stop an attempt. `grace`: time that the attempt has to save its progress.
pub(super) fn stop_order(task: &TaskId, attempt: u64, grace: Micros) -> Order {
    Order::Stop {
        task: task.to_string(),
        attempt,
        grace_s: grace as f64 / SECOND as f64,
    }
}

fn forget_order(task: &TaskId, attempt: u64) -> Order {
    Order::Forget {
        task: task.to_string(),
        attempt,
    }
}
