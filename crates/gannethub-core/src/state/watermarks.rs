//! Launch watermarks, which tell a new leader which tasks an earlier leader may have launched.
//!
//! A job's watermark is a task number that is durable before any task below it is launched. The leader raises the
//! watermark ahead of its launches, so that launches seldom wait for the write.

use crate::model::{Micros, SECOND};

/// Watermarks are raised ahead of launches by at least the number of tasks that were recently placed in this time.
const WATERMARK_LEAD_TIME: Micros = SECOND;
/// Interval at which the launch rate is measured.
const MEASUREMENT_INTERVAL: Micros = SECOND;

/// Reliability of the watermarks of all jobs.
#[derive(Debug)]
pub struct LaunchWatermarks {
    /// Whether the watermarks of earlier terms tell which tasks were launched in those terms.
    pub reliable: bool,
    /// Whether the state service has recorded that this term's watermarks are reliable.
    pub recorded: ReliabilityRecord,
    /// Whether launches are sent without waiting for a watermark. All peers know of this setting, and no peer relies on
    /// the watermarks.
    pub not_required: bool,
    /// Rate at which tasks are launched, which determines the lead of the watermarks.
    pub launch_rate: LaunchRate,
}

/// Whether the state service has recorded that a successor can rely on the watermarks of this term.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum ReliabilityRecord {
    /// The record does not exist, or its existence is unknown.
    Missing,
    /// The transaction that writes the record is in flight.
    WriteInFlight,
    Durable,
}

impl Default for LaunchWatermarks {
    /// Returns the state in which nothing is known about the watermarks.
    fn default() -> LaunchWatermarks {
        LaunchWatermarks {
            reliable: false,
            recorded: ReliabilityRecord::Missing,
            not_required: false,
            launch_rate: LaunchRate::default(),
        }
    }
}

impl LaunchWatermarks {
    /// Sets whether the watermarks of earlier terms are reliable, as the record of the last term says.
    pub fn set_reliable(&mut self, reliable: bool) {
        self.reliable = reliable;
        self.recorded = match reliable {
            true => ReliabilityRecord::Durable,
            false => ReliabilityRecord::Missing,
        };
    }
}

/// Number of tasks placed per second.
#[derive(Debug, Default)]
pub struct LaunchRate {
    /// Time since which `placed` counts.
    since: Micros,
    placed: u32,
    /// Recent number of tasks placed per second.
    pub tasks_per_second: u32,
}

impl LaunchRate {
    /// Counts a placed task.
    pub fn record_placed(&mut self) {
        self.placed += 1;
    }

    /// Updates the rate, if enough time has passed since the last update.
    pub fn measure(&mut self, now: Micros) {
        let passed = now.saturating_sub(self.since);
        if passed < MEASUREMENT_INTERVAL {
            return;
        }
        let rate = u64::from(self.placed) * WATERMARK_LEAD_TIME / passed;
        // The rate falls slowly, because launches come in bursts.
        self.tasks_per_second = (rate as u32).max(self.tasks_per_second / 2);
        self.placed = 0;
        self.since = now;
    }
}
