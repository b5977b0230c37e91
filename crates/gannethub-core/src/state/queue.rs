//! The job queue: the order in which jobs are served, as last computed.

use std::cmp::Reverse;

use crate::model::{JobId, Micros, Priority, Resources};

/// Sort key of the queue. The job with the smallest key is served first; the fields are compared in this order.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub struct QueueKey {
    /// Higher priorities come first.
    pub(crate) priority: Reverse<Priority>,
    /// Jobs within their team's guarantee come first.
    pub(crate) is_above_guarantee: bool,
    /// Jobs that can no longer meet their deadline come last.
    pub(crate) is_too_late: bool,
    /// The policy's `queue_share`, in thousandths: the recent usage of the job's team, if the policy asks for it.
    pub(crate) share: i64,
    /// The policy's `queue_weight`, in thousandths: usually the time left until a task has to start, increased by the
    /// amount of work in the job.
    pub(crate) weight: i64,
    /// Time of day at which the job became ready.
    pub(crate) ready_at: u64,
    pub(crate) job: JobId,
}

/// All live jobs in the order in which they are served.
#[derive(Debug, Default)]
pub struct Queue {
    /// All jobs in order, except for `arrivals`.
    pub(crate) entries: Vec<QueueKey>,
    /// Part of each team's guarantee that earlier jobs in the queue leave unused.
    pub(crate) remaining_guarantees: Vec<Resources>,
    /// Jobs that arrived since the queue was last sorted.
    pub(crate) arrivals: Vec<JobId>,
    /// Time at which the queue was last sorted.
    pub(crate) ordered_at: Option<Micros>,
}

impl Queue {
    /// Adds a job that has become live.
    pub fn add_arrival(&mut self, id: JobId) {
        self.arrivals.push(id);
    }

    /// Returns the jobs in order, and whether each job is within its team's guarantee. Some of the jobs may have
    /// ended since the queue was sorted.
    pub fn jobs(&self) -> impl Iterator<Item = (&JobId, bool)> {
        self.entries
            .iter()
            .map(|entry| (&entry.job, !entry.is_above_guarantee))
    }
}
