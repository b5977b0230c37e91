//! Failures of a job's tasks, as evidence about the job.

use std::collections::HashSet;

use crate::model::{MachineId, Micros};

/// Evidence that a job fails on every machine, most likely because of a user's mistake.
///
/// The evidence counts only as long as the job has not finished a task; the first finished task clears it.
#[derive(Debug, Default)]
pub struct FailureTracking {
    /// Machines on which the job has failed.
    pub failed_machines: HashSet<MachineId>,
    /// Whether the job's stored record says that the job is crash-looping, as found by this leader or an earlier one.
    pub known_crash_looping: bool,
    /// Number of probes that failed since the job was found to be crash-looping.
    pub(crate) failed_probes: u32,
    /// Earliest time of the next probe.
    pub(crate) next_probe_at: Micros,
}

impl FailureTracking {
    /// Returns the state for a job whose stored record says whether the job is crash-looping.
    pub fn new(known_crash_looping: bool) -> FailureTracking {
        FailureTracking {
            known_crash_looping,
            ..FailureTracking::default()
        }
    }
}
