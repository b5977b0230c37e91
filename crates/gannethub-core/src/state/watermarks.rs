//! Launch watermarks: what lets a new leader know which tasks an earlier one may have launched.
//!
//! A job's watermark is a task number that is durable before any task below it is launched. The leader raises it
//! ahead of its launches, so that they seldom wait for the write.

use crate::model::{Micros, SECOND};

/// Watermarks are ahead of launches by what has been launched in this time.
const WATERMARK_LEAD_TIME: Micros = SECOND;
/// How often the rate of launches is measured.
const MEASUREMENT_INTERVAL: Micros = SECOND;

/// How far the watermarks of all jobs can be relied on.
#[derive(Debug)]
pub struct LaunchWatermarks {
    /// The watermarks of earlier terms tell what was launched then.
    pub reliable: bool,
    /// Whether the state service holds that this term's watermarks are reliable.
    pub recorded: ReliabilityRecord,
    /// Launches go out without waiting for a watermark. All peers know that, and none takes watermarks as reliable.
    pub not_required: bool,
    /// How fast tasks are launched, which tells how far ahead watermarks have to be.
    pub launch_rate: LaunchRate,
}

/// Whether the state service holds that a successor can rely on the watermarks of this term.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum ReliabilityRecord {
    /// It does not, or whether it does is not known.
    Missing,
    /// The transaction that says so is on its way.
    WriteInFlight,
    Durable,
}

impl Default for LaunchWatermarks {
    /// Watermarks that nothing is known of.
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
    /// Sets whether the watermarks of earlier terms are reliable, which the record of the last term says.
    pub fn set_reliable(&mut self, reliable: bool) {
        self.reliable = reliable;
        self.recorded = match reliable {
            true => ReliabilityRecord::Durable,
            false => ReliabilityRecord::Missing,
        };
    }
}

/// How many tasks are placed in a second.
#[derive(Debug, Default)]
pub struct LaunchRate {
    /// Since when `placed` counts.
    since: Micros,
    placed: u32,
    /// Tasks placed in a second, as of late.
    pub tasks_per_second: u32,
}

impl LaunchRate {
    /// A task was placed.
    pub fn record_placed(&mut self) {
        self.placed += 1;
    }

    /// Brings the rate up to date, if enough time has passed since that was last done.
    pub fn measure(&mut self, now: Micros) {
        let passed = now.saturating_sub(self.since);
        if passed < MEASUREMENT_INTERVAL {
            return;
        }
        let rate = u64::from(self.placed) * WATERMARK_LEAD_TIME / passed;
        // It falls slowly, as launches come in bursts.
        self.tasks_per_second = (rate as u32).max(self.tasks_per_second / 2);
        self.placed = 0;
        self.since = now;
    }
}
