//! The order in which jobs are served, as it was last worked out.

use std::cmp::Reverse;

use crate::model::{JobId, Micros, Priority, Resources};

/// What jobs are ordered by, the first to be served first: priority; within its team's guarantee; still able
/// to be in time; how much its team has had of late, if policy asks; the time left until a task has to start, lengthened by the work the job brings, in
/// thousandths; and the order in which they became ready.
pub type QueueKey = ((Reverse<Priority>, bool, bool), i64, i64, u64, JobId);

/// All live jobs in the order in which they are served.
#[derive(Debug, Default)]
pub struct Queue {
    pub(crate) entries: Vec<QueueKey>,
    /// What earlier jobs leave of each team's guarantee.
    pub(crate) remaining_guarantees: Vec<Resources>,
    /// Jobs that came since the order was last looked at.
    pub(crate) arrivals: Vec<JobId>,
    pub(crate) ordered_at: Option<Micros>,
}

impl Queue {
    pub fn add_arrival(&mut self, id: JobId) {
        self.arrivals.push(id);
    }

    /// The jobs with whether each lies within its team's guarantee. Some may be over by now.
    pub fn jobs(&self) -> impl Iterator<Item = (&JobId, bool)> {
        self.entries.iter().map(|k| (&k.4, !k.0.1))
    }
}
