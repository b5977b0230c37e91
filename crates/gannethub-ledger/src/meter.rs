//! Meters of attempts: the time that an attempt spends in each stage, as observed by the leader.
//!
//! A heartbeat does not say when a change happened, only that the change had happened when the heartbeat was sent. A
//! worker reports a change at once, but not within half a second of another heartbeat: an end is therefore observed at
//! most half a second late, or, if heartbeats were lost, late by at most the time since the last heartbeat that
//! arrived. A launch takes effect when the heartbeat response that carries it arrives. Fetching is therefore counted
//! from the last time that the launch was sent before the worker reports the attempt. An earlier response may have
//! arrived after all, so the time between the first and the last sending is an uncertainty of the begin.

use crate::{Micros, SECOND};

/// Minimum interval between two heartbeats of a worker, in microseconds.
const MIN_HEARTBEAT_SPACING: Micros = SECOND / 2;
/// Maximum time between sending and receiving a heartbeat, in microseconds: after this time the worker gives up
/// sending the heartbeat.
const MAX_TRANSIT_TIME: Micros = 4 * SECOND;
/// Maximum deviation of a heartbeat from its interval, late or early, in microseconds.
const HEARTBEAT_JITTER: Micros = SECOND / 20;

/// Stage of an attempt that holds a place on a machine.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Stage {
    /// The attempt is placed; as far as the leader knows, the launch has not reached the worker.
    Starting,
    Fetching,
    /// The attempt is ready on its machine and waits for the other tasks of its gang.
    Waiting,
    Running,
    Saving,
}

/// Names of the stages in the order of [`StageTimes`]. The last entry, `silent`, is time without heartbeats.
pub const STAGES: [&str; 6] = [
    "starting", "fetching", "waiting", "running", "saving", "silent",
];
const SILENT_STAGE: usize = 5;

impl Stage {
    /// Returns the index of the stage in [`StageTimes`].
    pub fn index(self) -> usize {
        self as usize
    }

    pub fn from_index(i: usize) -> Option<Stage> {
        let all = [
            Stage::Starting,
            Stage::Fetching,
            Stage::Waiting,
            Stage::Running,
            Stage::Saving,
        ];
        all.get(i).copied()
    }
}

/// Time in each stage in microseconds, in the order of [`STAGES`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StageTimes(pub [Micros; 6]);

impl StageTimes {
    /// Returns the time from the placement of the attempt until its place was known to be free.
    pub fn total(&self) -> Micros {
        self.0.iter().sum()
    }

    /// Returns the time of the attempt at its worker, as the worker would measure it and as far as the leader can tell.
    pub fn at_worker(&self) -> Micros {
        self.total() - self.0[Stage::Starting.index()] - self.0[SILENT_STAGE]
    }

    pub fn running(&self) -> Micros {
        self.0[Stage::Running.index()]
    }
}

/// How the leader learned of the end of an attempt.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum EndObservation {
    /// The worker reported the end. `previous_heartbeat_at` is the time at which the worker's previous heartbeat
    /// arrived, if there was one; `missed_heartbeats` means that the worker sent heartbeats in between that did not
    /// arrive.
    Reported {
        previous_heartbeat_at: Option<Micros>,
        missed_heartbeats: bool,
    },
    /// The machine sent no more heartbeats and is given up. `last_heartbeat_at` is the time of the last heartbeat that
    /// contained the attempt, if any. `likely_duration` is the most likely time that the attempt continued after that
    /// heartbeat, in microseconds: half the heartbeat interval, or the lease duration if the lease is known to have
    /// expired.
    Silence {
        last_heartbeat_at: Option<Micros>,
        likely_duration: Micros,
    },
}

impl MeteredUsage {
    /// Extends the silent time at the end of the attempt, and the maximum error, by `more` microseconds.
    pub fn extend_silence(mut self, more: Micros) -> MeteredUsage {
        self.stage_times.0[SILENT_STAGE] += more;
        self.max_error += more;
        self
    }
}

/// Meter of one attempt. All times are times of the leader's monotonic clock, in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Meter {
    pub stage: Stage,
    /// Time at which the stage began, or at which the attempt was first observed in the stage.
    pub since: Micros,
    /// Times at which the launch was first and last sent to the worker.
    pub launch_sent_at: Option<(Micros, Micros)>,
    /// Time counted in each stage so far, without the time in the present stage since `since`.
    pub stage_times: StageTimes,
    /// Maximum error of the begin, in microseconds.
    pub begin_uncertainty: Micros,
    /// Whether the begin was estimated because it was not observed.
    pub begin_estimated: bool,
}

/// Metered usage of an ended attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MeteredUsage {
    pub stage_times: StageTimes,
    /// Maximum error of the time at the worker, in microseconds.
    pub max_error: Micros,
    /// Whether the begin or the end was estimated because it was not observed.
    pub is_estimate: bool,
}

/// An end as a heartbeat shows it. Both times are in microseconds.
struct ReportedEnd {
    /// Estimated time from the end to the heartbeat.
    delay: Micros,
    /// Maximum error of the end.
    max_error: Micros,
}

impl Meter {
    /// Returns the meter of an attempt that is placed now.
    pub fn new(now: Micros) -> Meter {
        let (stage, stage_times) = (Stage::Starting, StageTimes::default());
        Meter {
            stage,
            since: now,
            launch_sent_at: None,
            stage_times,
            begin_uncertainty: 0,
            begin_estimated: false,
        }
    }

    /// Returns the meter of an attempt that another leader placed `age` microseconds ago, with a maximum error of
    /// `begin_uncertainty`, and that its worker now reports in `stage`. All time since the placement counts as time in
    /// `stage`. The placement is given as an age and not as a time of this process's clock, because that clock may have
    /// started later.
    pub fn adopted(age: Micros, begin_uncertainty: Micros, stage: Stage, now: Micros) -> Meter {
        let mut stage_times = StageTimes::default();
        stage_times.0[stage.index()] = age;
        Meter {
            stage,
            since: now,
            launch_sent_at: None,
            stage_times,
            begin_uncertainty,
            begin_estimated: true,
        }
    }

    /// Adds `more` microseconds to the present stage: time that passed before this process knew of the attempt.
    pub fn add_unobserved_time(&mut self, more: Micros) {
        self.stage_times.0[self.stage.index()] += more;
    }

    /// Returns the time since the attempt was placed, in microseconds.
    pub fn age(&self, now: Micros) -> Micros {
        self.stage_times.total() + now.saturating_sub(self.since)
    }

    /// Records that the launch is sent to the worker, for the first time or again.
    pub fn record_launch_sent(&mut self, now: Micros) {
        if self.stage == Stage::Starting {
            self.launch_sent_at = Some((self.launch_sent_at.map_or(now, |s| s.0), now));
        }
    }

    /// Records that a heartbeat has reported the end of an attempt that is to be launched again. The meter counts no
    /// time at the worker until it enters another stage.
    pub fn pause(
        &mut self,
        now: Micros,
        previous_heartbeat_at: Option<Micros>,
        missed_heartbeats: bool,
    ) {
        let now = now.max(self.since);
        let report = self.reported_end(now, previous_heartbeat_at, missed_heartbeats);
        self.stage_times.0[self.stage.index()] += now - report.delay - self.since;
        self.stage_times.0[SILENT_STAGE] += report.delay;
        self.begin_uncertainty += report.max_error;
        (self.stage, self.since) = (Stage::Starting, now);
        self.launch_sent_at = None;
    }

    /// Returns how long before `now`, at which a heartbeat reports it, the end probably was.
    fn reported_end(
        &self,
        now: Micros,
        previous_heartbeat_at: Option<Micros>,
        missed_heartbeats: bool,
    ) -> ReportedEnd {
        let gap = previous_heartbeat_at.map_or(MIN_HEARTBEAT_SPACING, |t| now.saturating_sub(t));
        let max_gap_of_delayed = MIN_HEARTBEAT_SPACING + HEARTBEAT_JITTER;
        // A heartbeat that came as soon as possible after the previous one may have been delayed by the minimum
        // spacing, and a heartbeat that follows lost ones reports a change of any time since the previous one: in
        // both cases the attempt ended, on average, in the middle of the gap.
        let is_delayed = missed_heartbeats || gap <= max_gap_of_delayed;
        ReportedEnd {
            delay: if is_delayed {
                (gap / 2).min(now - self.since)
            } else {
                0
            },
            max_error: if missed_heartbeats {
                gap
            } else {
                gap.min(max_gap_of_delayed)
            },
        }
    }

    /// Records that the worker reports the attempt in a new stage.
    pub fn enter_stage(&mut self, stage: Stage, now: Micros) {
        let began_at = match (self.stage, self.launch_sent_at) {
            (Stage::Starting, Some((first, last))) => {
                self.begin_uncertainty += last - first;
                last.max(self.since)
            }
            _ => now.max(self.since),
        };
        self.stage_times.0[self.stage.index()] += began_at - self.since;
        (self.stage, self.since) = (stage, began_at);
    }

    /// Ends the meter: the attempt is known to have ended. Returns the usage of the attempt.
    pub fn end(mut self, now: Micros, observation: EndObservation) -> MeteredUsage {
        let now = now.max(self.since);
        let (estimated_end, mut max_error, mut is_estimate) = match observation {
            EndObservation::Reported {
                previous_heartbeat_at,
                missed_heartbeats,
            } => {
                let report = self.reported_end(now, previous_heartbeat_at, missed_heartbeats);
                (now - report.delay, report.max_error, false)
            }
            EndObservation::Silence {
                last_heartbeat_at,
                likely_duration,
            } => {
                let last_heartbeat_at = last_heartbeat_at
                    .unwrap_or(self.since)
                    .clamp(self.since, now);
                (
                    (last_heartbeat_at + likely_duration).min(now),
                    now - last_heartbeat_at + MAX_TRANSIT_TIME,
                    true,
                )
            }
        };
        // The worker never reported the attempt: either the attempt was never at the worker, or it ended before its
        // first heartbeat.
        if self.stage == Stage::Starting {
            max_error = self
                .launch_sent_at
                .map_or(0, |launch_sent_at| now.saturating_sub(launch_sent_at.0));
            is_estimate &= self.launch_sent_at.is_some();
        }
        self.stage_times.0[self.stage.index()] += estimated_end - self.since;
        self.stage_times.0[SILENT_STAGE] += now - estimated_end;
        is_estimate |= self.begin_estimated;
        MeteredUsage {
            stage_times: self.stage_times,
            max_error: max_error + self.begin_uncertainty,
            is_estimate,
        }
    }
}

#[cfg(test)]
mod tests;
