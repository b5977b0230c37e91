//! What the jobs downstream of a job demand of it: a priority, and times of day by which it has to be done.

use crate::model::{Micros, Priority};

/// What jobs downstream ask of one upstream.
#[derive(Clone, Debug, PartialEq)]
pub struct DownstreamDemand {
    /// The highest priority of all jobs that wait for it, directly or through others.
    pub priority: Priority,
    /// For each deadline objective: when this job has to be done, so that what is to run after it can meet the
    /// objective.
    pub deadlines: Vec<Option<Deadline>>,
}

/// Times of day, in microseconds since 1970, by which a job has to be done.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Deadline {
    /// If what comes after it takes as long as it may well take.
    pub target: u64,
    /// If what comes after it goes as fast as it can: later than this is too late for certain.
    pub latest: u64,
}

/// How long a job takes from its start to its end.
#[derive(Clone, Copy, Debug)]
pub struct StageDuration {
    /// How long it may well take.
    pub expected: Micros,
    /// How long it takes at the least.
    pub minimum: Micros,
}

impl Deadline {
    /// The deadline of a job that takes `stage` from its release to its end and has to be done before this deadline.
    pub(crate) fn minus_stage(self, stage: StageDuration) -> Deadline {
        Deadline {
            target: self.target.saturating_sub(stage.expected),
            latest: self.latest.saturating_sub(stage.minimum),
        }
    }

    /// The earlier of two deadlines, each of its times taken on its own.
    pub(crate) fn earliest(self, other: Deadline) -> Deadline {
        Deadline {
            target: self.target.min(other.target),
            latest: self.latest.min(other.latest),
        }
    }

    /// The time of day by which the job has to start, never before `now`. `None`: it is too late for certain.
    pub fn start_by(self, stage: StageDuration, now: u64) -> Option<u64> {
        let deadline = self.minus_stage(stage);
        (deadline.latest >= now).then(|| deadline.target.max(now))
    }
}
