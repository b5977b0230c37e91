//! What the failures of a job's tasks say about the job.

use std::collections::HashSet;

use crate::model::{MachineId, Micros};

/// Evidence that a job fails wherever it runs, most likely by its user's mistake.
///
/// It is weighed only as long as the job has not finished a task; the first one that it finishes clears it.
#[derive(Debug, Default)]
pub struct FailureTracking {
    /// Machines it has failed on.
    pub failed_machines: HashSet<MachineId>,
    /// The job's stored record says that it is crash looping, as this leader or an earlier one has found.
    pub known_crash_looping: bool,
    /// Probes that failed since the job was found to be crash looping.
    pub(crate) failed_probes: u32,
    /// When the next probe may begin.
    pub(crate) next_probe_at: Micros,
}

impl FailureTracking {
    /// For a job whose stored record says that it is crash looping, or not.
    pub fn new(known_crash_looping: bool) -> FailureTracking {
        FailureTracking {
            known_crash_looping,
            ..FailureTracking::default()
        }
    }
}
