//! Handles submissions from the request until a submission can certainly be accepted: the submission has been
//! checked, and all jobs that it names are known.

use super::job_api::{
    DependencyCheck, JobApi, LookupReason, LookupWaiter, MAX_WAITING_QUERIES, QueuedSubmission,
    RefreshWaiter, SUBMIT_TIMEOUT,
};
use super::job_views::finished_job_view_of_read;
use super::key_read::KeyRead;
use super::outbox::Outbox;
use super::pending_request::JobApiRequest;
use crate::http::CallResult;
use crate::model::{JobId, SECOND};
use crate::state::dependencies::UpstreamOutcome;
use crate::wire::api::{self, Refusal, Submission};
use crate::wire::budget::Urgency;
use crate::wire::store::{self, StoreRequest};

impl JobApi {
    /// Handles a submission.
    pub fn submit(&mut self, outbox: &mut Outbox, connection: u64, body: &[u8]) {
        outbox.set_reply_deadline(connection, outbox.clock.now + SUBMIT_TIMEOUT);
        let (map, id) = match api::parse_json_object(body) {
            Ok(parsed) => parsed,
            Err(refusal) => return outbox.reply_refusal(connection, &refusal),
        };
        let checked = api::parse_submission(&map).and_then(|mut submission| {
            check_submission(outbox, &mut submission)?;
            Ok(Box::new(submission))
        });
        let wait = outbox.budget.change_wait();
        if wait > SUBMIT_TIMEOUT && (id.is_some() || checked.is_ok()) {
            // The queued writes already take longer than the timeout, so the user is told at once rather than later.
            return outbox.reply_overloaded(connection, wait);
        }
        match (id, checked) {
            (Some(job), Ok(submission)) if !self.is_known(&job) => {
                let queued = QueuedSubmission {
                    connection,
                    job,
                    submission,
                };
                self.accept(outbox, queued);
            }
            // The job is known or may be known. A submission of a known job is answered with the state of that job,
            // whatever the answer to this body would be.
            (Some(job), checked) => {
                let waiter = LookupWaiter::new(connection, LookupReason::Submit(checked));
                self.look_up_live_job(outbox, job, waiter);
            }
            (None, Err(refusal)) => outbox.reply_refusal(connection, &refusal),
            (None, Ok(_)) => {
                outbox.reply_refusal(connection, &Refusal::Malformed("id: missing".into()));
            }
        }
    }

    fn is_known(&self, job: &JobId) -> bool {
        self.job_replica.final_view(job).is_some() || self.job_replica.is_live(job)
    }

    /// Queues a submission for acceptance if all jobs that it names are certain to have been accepted. Anything known
    /// of a job here proves its acceptance, however old the information is. The state of unknown jobs is read first.
    pub fn accept(&mut self, outbox: &mut Outbox, queued: QueuedSubmission) {
        if self.unknown_dependencies(&queued.submission).is_empty() {
            self.accept_queue.push_back(queued);
        } else if self.next_refresh_waiters.len() >= MAX_WAITING_QUERIES {
            outbox.reply_overloaded(queued.connection, SECOND);
        } else {
            self.next_refresh_waiters
                .push(RefreshWaiter::Submit(queued));
            self.refresh(outbox);
        }
    }

    /// Returns the jobs that a submission names and of which nothing is known here.
    fn unknown_dependencies(&self, submission: &Submission) -> Vec<JobId> {
        let is_unknown =
            |job: &&JobId| self.job_replica.upstream_outcome(job) == UpstreamOutcome::Unknown;
        let named = submission.waits_on.iter();
        named.filter(is_unknown).cloned().collect()
    }

    /// Continues with a submission after a refresh of the replica. A named job without a live record is then finished,
    /// or was not accepted before the submission arrived. Its finished record is read to tell which of the two holds.
    pub fn check_dependencies(&mut self, outbox: &mut Outbox, queued: QueuedSubmission) {
        let connection = queued.connection;
        if !outbox.awaits_reply(connection) {
            return;
        }
        if self.job_replica.is_live(&queued.job) {
            let reason = LookupReason::Submit(Ok(queued.submission));
            let waiter = LookupWaiter::new(connection, reason);
            return self.look_up_live_job(outbox, queued.job, waiter);
        }
        let unknown = self.unknown_dependencies(&queued.submission);
        if unknown.is_empty() {
            return self.accept_queue.push_back(queued);
        }
        let check = DependencyCheck {
            queued,
            unread_dependencies: unknown.len(),
        };
        self.dependency_checks.insert(connection, check);
        for job in unknown {
            let request = StoreRequest::get(&store::finished_job_key(&job));
            let pending = JobApiRequest::ReadUpstreamJob { connection, job };
            outbox.send_to_store(Urgency::User, request, pending);
        }
    }

    /// Handles the answer to a read of the finished record of a job that a submission names.
    pub fn handle_upstream_job_answer(
        &mut self,
        outbox: &mut Outbox,
        connection: u64,
        job: JobId,
        answer: &CallResult,
    ) {
        let read = KeyRead::from(answer);
        let finished_view = finished_job_view_of_read(&read);
        if let Some(view) = &finished_view {
            self.job_replica.record_end(job.clone(), view.clone());
        }
        let Some(mut check) = self.dependency_checks.remove(&connection) else {
            return;
        };
        match read {
            _ if finished_view.is_some() => {
                check.unread_dependencies -= 1;
                if check.unread_dependencies == 0 {
                    self.accept_queue.push_back(check.queued);
                } else {
                    self.dependency_checks.insert(connection, check);
                }
            }
            KeyRead::Absent { .. } => {
                let reason = format!("waits_on: no such job as {job}");
                outbox.reply_refusal(connection, &Refusal::Impossible(reason));
            }
            _ => outbox.reply_unavailable(connection),
        }
    }

    /// Handles a new configuration in force. Waiting submissions that the previous configuration refused as
    /// impossible are refused with [`Refusal::ConfigurationChanging`] instead, since they have to be checked again.
    pub fn handle_new_configuration(&mut self) {
        let lookups = self.lookups.values_mut();
        let waiters = lookups.flat_map(|lookup| lookup.current.iter_mut().chain(&mut lookup.next));
        for waiter in waiters {
            if let LookupReason::Submit(checked @ Err(Refusal::Impossible(_))) = &mut waiter.reason
            {
                *checked = Err(Refusal::ConfigurationChanging);
            }
        }
    }
}

/// Checks whether a job can ever run under the configuration in force in this controller, and notes the version of
/// that configuration in the submission.
pub(super) fn check_submission(
    outbox: &Outbox,
    submission: &mut Submission,
) -> Result<(), Refusal> {
    submission.configuration_version = outbox.configuration.version();
    api::admit(
        &mut submission.spec,
        &outbox.settings.teams,
        &outbox.machine_types,
    )
}
