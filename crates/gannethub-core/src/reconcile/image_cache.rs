//! Images that the machines hold, as far as the phases of their attempts show.

use crate::model::{AttemptId, MachineId};
use crate::state::attempt::AttemptPhase;
use crate::state::cluster::Cluster;
use crate::wire::worker::ExitReason;

impl Cluster {
    /// Records what an attempt's phase shows about its image on its machine. A worker that fetches an image did not
    /// have it, or has evicted it.
    pub(super) fn record_image(
        &mut self,
        machine: &MachineId,
        attempt_id: &AttemptId,
        phase: AttemptPhase,
    ) {
        let job = self.jobs.get(&attempt_id.task.job);
        let (Some(job), Some(machine)) = (job, self.machines.get_mut(machine)) else {
            return;
        };
        let images = &mut machine.placement.cached_images;
        if phase == AttemptPhase::Fetching {
            images.remove(&job.spec.image);
        } else if shows_image(phase) {
            images.insert(job.spec.image.clone());
        }
    }
}

/// Whether an attempt in this phase has had its image.
fn shows_image(phase: AttemptPhase) -> bool {
    matches!(
        phase,
        AttemptPhase::Waiting
            | AttemptPhase::Running
            | AttemptPhase::Saving
            | AttemptPhase::Ended(ExitReason::Done | ExitReason::Alone | ExitReason::PeersGone)
    )
}
