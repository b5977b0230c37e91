//! Cancellations by users.

use crate::model::{AttemptId, Micros, TaskSet};
use crate::saga::AbortAction;
use crate::state::attempt::LiveAttempt;
use crate::state::cluster::Cluster;

impl Cluster {
    /// Applies the cancellation of a job, stored in `version` of the state service, of which users may be told from now
    /// on. The watch of this controller may not have delivered the cancellation yet, nor the job itself. The job's record
    /// is still read, and is applied like any other record.
    pub fn apply_remote_cancellation(&mut self, id: &str, version: u64, now: Micros) {
        let is_upstream_only =
            self.pipelines.waiting.contains_key(id) || self.other_shards.jobs.contains_key(id);
        if !self.jobs.contains_key(id) && !self.store_writes.has_tombstone(id, version) {
            self.announced_changes
                .record_cancellation(id.into(), version, now);
        }
        if self.jobs.get(id).is_some_and(|job| !job.cancelled) {
            self.cancel_job(id);
        } else if is_upstream_only {
            self.mark_upstream_cancelled(id);
        } else {
            return;
        }
        self.passes.needed = true;
    }

    /// Cancels a job on behalf of its user: the job's saga aborts, its running tasks are stopped, and none of its tasks
    /// is started from now on.
    pub(super) fn cancel_job(&mut self, id: &str) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        job.cancelled = true;
        job.tasks.pending = TaskSet::default();
        job.persistence.dirty_since = Some(0);
        let actions = job.saga.abort();
        let live: Vec<_> = job
            .tasks
            .live_attempts
            .iter()
            .map(|(index, attempt)| (*index, attempt.clone()))
            .collect();
        tracing::info!(job = id, tasks = live.len(), "cancelled");
        self.mark_upstream_cancelled(id);
        if !actions.contains(&AbortAction::Cancel(0)) {
            return;
        }
        for (index, LiveAttempt { machine, number }) in live {
            let attempt = AttemptId::new(id.into(), index, number);
            self.stop_attempt(&machine, &attempt, 0);
            self.queue_kill_order(&machine, attempt);
        }
    }
}
