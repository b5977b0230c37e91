//! The order in which jobs are served, as it was last worked out.

use std::cmp::Reverse;

use crate::model::{JobId, Micros, Priority, Resources};

/// What jobs are ordered by. The job with the least key is served first; the fields count in this order.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub struct QueueKey {
    /// Higher priorities first.
    pub(crate) priority: Reverse<Priority>,
    /// Jobs within their team's guarantee come first.
    pub(crate) is_above_guarantee: bool,
    /// Jobs that can no longer be in time come last.
    pub(crate) is_too_late: bool,
    /// The policy's `queue_share`, in thousandths: how much the job's team has had of late, where policy asks for
    /// that.
    pub(crate) share: i64,
    /// The policy's `queue_weight`, in thousandths: usually the time left until a task has to start, lengthened by
    /// the work that the job brings.
    pub(crate) weight: i64,
    /// Time of day at which the job became ready.
    pub(crate) ready_at: u64,
    pub(crate) job: JobId,
}

/// All live jobs in the order in which they are served.
#[derive(Debug, Default)]
pub struct Queue {
    /// In order, but for `arrivals`.
    pub(crate) entries: Vec<QueueKey>,
    /// What earlier jobs leave of each team's guarantee.
    pub(crate) remaining_guarantees: Vec<Resources>,
    /// Jobs that came since the queue was last put in order.
    pub(crate) arrivals: Vec<JobId>,
    /// When the queue was last put in order.
    pub(crate) ordered_at: Option<Micros>,
}

impl Queue {
    /// A job has become live.
    pub fn add_arrival(&mut self, id: JobId) {
        self.arrivals.push(id);
    }

    /// The jobs in order, and whether each is within its team's guarantee. Some may be over by now.
    pub fn jobs(&self) -> impl Iterator<Item = (&JobId, bool)> {
        self.entries
            .iter()
            .map(|entry| (&entry.job, !entry.is_above_guarantee))
    }
}
