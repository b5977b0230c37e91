//! Downstream demand on a job: a priority, and the times of day by which the job has to be done.

use crate::model::{Micros, Priority};

/// Demand of downstream jobs on an upstream job.
#[derive(Clone, Debug, PartialEq)]
pub struct DownstreamDemand {
    /// The highest priority of all direct and indirect downstream jobs.
    pub priority: Priority,
    /// For each deadline objective, the deadline of this job that lets the downstream jobs meet the objective.
    pub deadlines: Vec<Option<Deadline>>,
}

/// Times of day, in microseconds since 1970, by which a job has to be done.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Deadline {
    /// Deadline if the downstream jobs take their expected time.
    pub target: u64,
    /// Deadline if the downstream jobs take their minimum time. Later ends are certainly too late.
    pub latest: u64,
}

/// Duration of a job from its start to its end.
#[derive(Clone, Copy, Debug)]
pub struct JobDuration {
    /// Duration that the job may well take: its expected duration with some allowance.
    pub expected: Micros,
    /// Minimum duration.
    pub minimum: Micros,
}

impl Deadline {
    /// Returns the deadline of a job that takes `duration` from its release to its end and has to be done before this
    /// deadline.
    pub(crate) fn minus_duration(self, duration: JobDuration) -> Deadline {
        Deadline {
            target: self.target.saturating_sub(duration.expected),
            latest: self.latest.saturating_sub(duration.minimum),
        }
    }

    /// Returns the earlier of two deadlines, separately for each of the two times.
    pub(crate) fn earliest(self, other: Deadline) -> Deadline {
        Deadline {
            target: self.target.min(other.target),
            latest: self.latest.min(other.latest),
        }
    }

    /// Returns the time of day by which the job has to start, never before `now`. `None`: it is certainly too late.
    pub fn start_by(self, duration: JobDuration, now: u64) -> Option<u64> {
        let deadline = self.minus_duration(duration);
        (deadline.latest >= now).then(|| deadline.target.max(now))
    }
}
