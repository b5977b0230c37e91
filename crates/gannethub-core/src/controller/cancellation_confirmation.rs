//! Confirms cancellations to users.
//!
//! A cancellation is stored first, and the owner of the job's shard is told of it. No controller tells a user that a
//! job is cancelled before it knows that no task of the job can be started any more. It knows this when
//!
//! - the owner of the job's shard is this process, or has answered that it obeys the cancellation;
//! - an owner has reported that it has applied all changes up to the cancellation's version;
//! - the shard was taken over after the cancellation was stored, or has no owner: a later owner reads the cancellation
//!   before it starts anything;
//! - the job has ended, which only its owner can store; or
//! - so much time has passed that an owner without knowledge of the cancellation has given up its lease.
//!
//! The last of these bounds the wait. A user whose request meets its own deadline earlier is told to retry.
//!
//! A job that still waits for upstream jobs needs none of this: its owner starts no task before it has stored the job's
//! release, and that transaction fails once the job's record says that the job is cancelled.

use super::Controller;
use super::job_api::{JobApi, JobChange};
use super::lease::max_unaware_time;
use super::outbox::Outbox;
use super::pending_confirmations::PendingConfirmation;
use crate::http::Response;
use crate::model::{JobId, MILLISECOND};
use crate::state::job_replica::StoredCancellation;
use crate::wire::api::{self, JobView};
use crate::wire::peer::{Body, CancellationApplied, JobChangeKind, JobChanged};

/// Reason for which no task of a cancelled job can be started any more. The reason's text appears in the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
enum ConfirmationReason {
    #[error("this controller owns the job's shard")]
    OwnShard,
    #[error("the owner of the job's shard obeys the cancellation")]
    AppliedByOwner,
    #[error("an owner of the job's shard has read the cancellation")]
    ReadByOwner,
    #[error("no earlier owner of the job's shard has a lease any more")]
    OwnerExcluded,
    #[error("the job has ended")]
    JobEnded,
    #[error("an owner without knowledge of the cancellation has given up its lease")]
    OwnerUnaware,
}

impl JobApi {
    /// Answers a user that a job is cancelled, once the cancellation is confirmed. The cancellation is announced until
    /// then, even if the user's request has been refused already.
    pub fn answer_when_confirmed(
        &mut self,
        outbox: &Outbox,
        job: JobId,
        cancellation: StoredCancellation,
        view: JobView,
        connection: u64,
    ) {
        let now = outbox.clock.now;
        let waiting = Some(connection).filter(|connection| outbox.awaits_reply(*connection));
        self.confirmations
            .add(job, cancellation, view, waiting, now);
    }

    /// Answers the users who wait for the confirmation of a cancellation, and all later ones at once.
    fn confirm_cancellation(
        &mut self,
        outbox: &mut Outbox,
        job: JobId,
        pending: PendingConfirmation,
        why: ConfirmationReason,
    ) {
        let waited_ms = (outbox.clock.now - pending.learned_at) / MILLISECOND;
        tracing::info!(%job, %why, waited_ms, "cancellation confirmed");
        for connection in pending.waiting {
            outbox.reply(connection, api::job_response(200, &job, &pending.view));
        }
        self.job_replica.record_end(job, pending.view);
    }

    /// Refuses a request whose deadline has passed, and drops its state.
    pub fn refuse_overdue_request(&mut self, outbox: &mut Outbox, connection: u64) {
        if self.confirmations.is_waiting(connection) {
            let reason = "the job's cancellation is stored but not confirmed yet";
            outbox.reply(connection, Response::error(503, reason).with_retry_after(1));
        }
        self.drop_request(connection);
        outbox.reply_unavailable(connection);
    }
}

impl Controller {
    /// Confirms the cancellations that can be confirmed by now, and announces the others to the shard owners, from time
    /// to time again.
    pub(super) fn confirm_cancellations(&mut self) {
        if self.job_api.confirmations.is_empty() {
            return;
        }
        let mut confirmations = std::mem::take(&mut self.job_api.confirmations);
        let confirmed =
            confirmations.take_confirmed(|job, pending| self.confirmation_reason(job, pending));
        let due = confirmations.take_due_announcements(self.outbox.clock.now);
        self.job_api.confirmations = confirmations;
        for (job, pending, why) in confirmed {
            self.job_api
                .confirm_cancellation(&mut self.outbox, job, pending, why);
        }
        for (job, StoredCancellation { version, shard }) in due {
            let change = JobChange {
                job,
                version,
                kind: JobChangeKind::Cancelled,
                shard,
            };
            self.outbox.send_to_all_peers(&change.to_message());
        }
    }

    /// Returns why no task of the cancelled job can be started any more; `None` while one may still be started.
    fn confirmation_reason(
        &self,
        job: &JobId,
        pending: &PendingConfirmation,
    ) -> Option<ConfirmationReason> {
        let now = self.outbox.clock.now;
        let StoredCancellation { version, shard } = pending.cancellation;
        let election = match shard {
            0 => Some(&self.membership.election),
            shard => self.shard_assignments.election(shard),
        };
        // An owner here has a valid lease and has applied the cancellation by now.
        if self.shard_owners.contains_key(&shard) {
            Some(ConfirmationReason::OwnShard)
        } else if pending.is_applied {
            Some(ConfirmationReason::AppliedByOwner)
        } else if self.membership.applied_version(shard) >= version {
            Some(ConfirmationReason::ReadByOwner)
        } else if election.is_some_and(|election| election.excludes_owner_before(version, now)) {
            Some(ConfirmationReason::OwnerExcluded)
        } else if self.job_api.job_replica.final_view(job).is_some() {
            Some(ConfirmationReason::JobEnded)
        } else if now >= pending.learned_at + max_unaware_time(&self.outbox) {
            Some(ConfirmationReason::OwnerUnaware)
        } else {
            None
        }
    }

    /// Handles the announcement of a peer that it has stored a change of a job, or has read that a job is cancelled.
    pub(super) fn handle_job_change(&mut self, peer: usize, change: &JobChanged) {
        for owner in self.shard_owners.values_mut() {
            owner.handle_announced_change(&self.outbox, change);
        }
        let is_cancelled = change.kind() == JobChangeKind::Cancelled;
        if is_cancelled && self.shard_owners.contains_key(&change.shard) {
            let applied = CancellationApplied {
                job: change.job.clone(),
                shard: change.shard,
            };
            self.outbox
                .send_to_peer(peer, Body::CancellationApplied(applied));
        }
    }

    /// Handles the answer of a shard owner that it obeys a cancellation.
    pub(super) fn handle_applied_cancellation(&mut self, applied: &CancellationApplied) {
        self.job_api
            .confirmations
            .record_applied(&applied.job, applied.shard);
    }
}

#[cfg(test)]
mod tests;
