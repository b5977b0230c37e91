//! Stored cancellations of which no user may be told yet, because a shard owner might still start tasks of the job.

use std::collections::BTreeMap;

use crate::model::{JobId, Micros};
use crate::state::job_replica::StoredCancellation;
use crate::wire::api::JobView;

/// Interval between announcements of a cancellation to the shard owners until one of them confirms it.
const ANNOUNCEMENT_INTERVAL: Micros = 500_000;

/// A stored cancellation that is not confirmed yet.
#[derive(Debug)]
pub(super) struct PendingConfirmation {
    pub cancellation: StoredCancellation,
    /// Answer to the users once the cancellation is confirmed.
    pub view: JobView,
    /// Connections whose users wait for the answer.
    pub waiting: Vec<u64>,
    /// Time at which this process learned of the cancellation.
    pub learned_at: Micros,
    /// Whether the owner of the job's shard has told this process that it obeys the cancellation.
    pub is_applied: bool,
    announced_at: Option<Micros>,
}

impl PendingConfirmation {
    /// Whether the cancellation was announced and its confirmation should have arrived by now.
    fn is_overdue(&self, now: Micros) -> bool {
        self.announced_at
            .is_some_and(|announced| now >= announced + ANNOUNCEMENT_INTERVAL)
    }
}

/// All cancellations that are not confirmed yet, by job.
#[derive(Debug, Default)]
pub(super) struct PendingConfirmations {
    pending: BTreeMap<JobId, PendingConfirmation>,
}

impl PendingConfirmations {
    pub fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }

    /// Adds a cancellation, unless it is pending already. `waiting` is the connection of a user who waits for its
    /// confirmation.
    pub fn add(
        &mut self,
        job: JobId,
        cancellation: StoredCancellation,
        view: JobView,
        waiting: Option<u64>,
        now: Micros,
    ) {
        let pending = self
            .pending
            .entry(job)
            .or_insert_with(|| PendingConfirmation {
                cancellation,
                view,
                waiting: Vec::new(),
                learned_at: now,
                is_applied: false,
                announced_at: None,
            });
        pending.waiting.extend(waiting);
    }

    /// Records that the owner of a job's shard obeys the job's cancellation.
    pub fn record_applied(&mut self, job: &str, shard: u32) {
        if let Some(pending) = self.pending.get_mut(job) {
            pending.is_applied |= pending.cancellation.shard == shard;
        }
    }

    /// Removes and returns the cancellations for which `reason` returns why they are confirmed, with that reason.
    pub fn take_confirmed<R>(
        &mut self,
        reason: impl Fn(&JobId, &PendingConfirmation) -> Option<R>,
    ) -> Vec<(JobId, PendingConfirmation, R)> {
        let pending = self.pending.iter();
        let confirmed: Vec<(JobId, R)> = pending
            .filter_map(|(job, pending)| Some((job.clone(), reason(job, pending)?)))
            .collect();
        let removed = confirmed.into_iter().filter_map(|(job, reason)| {
            let pending = self.pending.remove(&job)?;
            Some((job, pending, reason))
        });
        removed.collect()
    }

    /// Records that a job's cancellation is announced now.
    pub fn record_announced(&mut self, job: &str, now: Micros) {
        if let Some(pending) = self.pending.get_mut(job) {
            pending.announced_at = Some(now);
        }
    }

    /// Returns the cancellations to announce now, and counts them as announced.
    pub fn take_due_announcements(&mut self, now: Micros) -> Vec<(JobId, StoredCancellation)> {
        let mut due = Vec::new();
        for (job, pending) in &mut self.pending {
            if pending.announced_at.is_none() || pending.is_overdue(now) {
                pending.announced_at = Some(now);
                due.push((job.clone(), pending.cancellation));
            }
        }
        due
    }

    /// Whether a user waits although the owner should have confirmed the cancellation by now. The job may have ended in
    /// the meantime, which a read of the changes tells.
    pub fn is_read_needed(&self, now: Micros) -> bool {
        let mut pending = self.pending.values();
        pending.any(|pending| !pending.waiting.is_empty() && pending.is_overdue(now))
    }

    /// Whether the user on this connection waits for a confirmation.
    pub fn is_waiting(&self, connection: u64) -> bool {
        let mut pending = self.pending.values();
        pending.any(|pending| pending.waiting.contains(&connection))
    }

    /// Drops a user who no longer waits.
    pub fn drop_connection(&mut self, connection: u64) {
        for pending in self.pending.values_mut() {
            pending.waiting.retain(|waiting| *waiting != connection);
        }
    }
}

#[cfg(test)]
mod tests;
