//! Accepts jobs. Users are told of the acceptance only after the job is stored in the state service.

use std::collections::VecDeque;

use serde_json::value::RawValue;

use super::job_api::{
    JobApi, JobChange, LookupReason, LookupWaiter, QueuedSubmission, committed_version,
};
use super::outbox::Outbox;
use super::pending_request::{JobApiRequest, PendingAccept};
use super::submissions::check_submission;
use crate::http::{CallResult, Response};
use crate::state::dependencies::UpstreamOutcome;
use crate::wire::api::{self, JobStatus, JobView, Submission};
use crate::wire::budget::Urgency;
use crate::wire::configuration::CURRENT_VERSION_KEY;
use crate::wire::peer::JobChangeKind;
use crate::wire::store::{self, Conflict, JobRecord, Transaction, WaitingRecord};

/// Maximum number of jobs that one transaction accepts.
const MAX_JOBS_PER_TRANSACTION: usize = 8;

/// The record of a newly accepted job, as it is stored.
struct NewRecord {
    value: Box<RawValue>,
    /// Whether the job waits for upstream jobs, which the record names.
    is_waiting: bool,
}

impl JobApi {
    /// Stores the queued submissions. Submissions that arrived together go into one transaction.
    pub fn send_accepts(&mut self, outbox: &mut Outbox) {
        if self.accept_queue.is_empty() {
            return;
        }
        if !outbox.configuration.changes_handled() {
            // A newer configuration, by which the submissions have to be checked, is still being read.
            self.accept_queue
                .retain(|queued| outbox.awaits_reply(queued.connection));
            return;
        }
        self.recheck_queued(outbox);
        while !self.accept_queue.is_empty() {
            self.send_accept_transaction(outbox);
        }
    }

    /// Repeats the check of queued submissions that were checked against another version of the configuration.
    fn recheck_queued(&mut self, outbox: &mut Outbox) {
        let version = outbox.configuration.version();
        for mut queued in std::mem::take(&mut self.accept_queue) {
            let is_current = queued.submission.configuration_version == version;
            if is_current {
                self.accept_queue.push_back(queued);
                continue;
            }
            match check_submission(outbox, &mut queued.submission) {
                Ok(()) => self.accept_queue.push_back(queued),
                Err(refusal) => {
                    let reason = LookupReason::Submit(Err(refusal));
                    let waiter = LookupWaiter::new(queued.connection, reason);
                    self.look_up_live_job(outbox, queued.job, waiter);
                }
            }
        }
    }

    /// Sends one transaction with as many queued jobs as it may hold, each job once.
    fn send_accept_transaction(&mut self, outbox: &mut Outbox) {
        let max_jobs = outbox
            .settings
            .max_transaction_operations
            .min(MAX_JOBS_PER_TRANSACTION);
        let mut transaction = Transaction::default();
        // No job is accepted under an older configuration: if a newer version exists, this guard fails the whole
        // transaction.
        transaction.guard(CURRENT_VERSION_KEY, outbox.configuration.guard_version());
        let mut jobs: Vec<PendingAccept> = Vec::new();
        let mut remaining = VecDeque::new();
        while let Some(queued) = self.accept_queue.pop_front() {
            let is_duplicate = jobs.iter().any(|accept| accept.job == queued.job);
            if jobs.len() >= max_jobs || is_duplicate {
                remaining.push_back(queued);
            } else if self.add_to_transaction(outbox, &mut transaction, &queued) {
                let QueuedSubmission {
                    connection,
                    job,
                    submission,
                } = queued;
                self.accepts_in_flight.insert(connection, submission);
                jobs.push(PendingAccept { connection, job });
            }
        }
        self.accept_queue = remaining;
        if !jobs.is_empty() {
            let pending = JobApiRequest::AcceptJobs { jobs };
            outbox.send_to_store(Urgency::User, transaction.to_request(), pending);
        }
    }

    /// Adds the acceptance of a job to the transaction. Returns `false` if the record is too long; the user is told
    /// so.
    fn add_to_transaction(
        &self,
        outbox: &mut Outbox,
        transaction: &mut Transaction,
        queued: &QueuedSubmission,
    ) -> bool {
        let record = self.new_record(outbox, &queued.submission);
        if record.value.get().len() + store::VALUE_SLACK_BYTES > outbox.settings.max_value_bytes {
            let field = if record.is_waiting { "waits_on: " } else { "" };
            let reason = format!("{field}the job description is too long to be stored");
            outbox.reply(queued.connection, Response::error(400, reason));
            return false;
        }
        let live_key = store::live_job_key(&queued.job);
        let finished_key = store::finished_job_key(&queued.job);
        transaction.guard(&live_key, 0);
        transaction.guard(&finished_key, 0);
        transaction.put(&live_key, record.value, None);
        true
    }

    /// Builds the record of a job that is accepted now. Upstream jobs that are already done are left out.
    fn new_record(&self, outbox: &mut Outbox, submission: &Submission) -> NewRecord {
        let accepted_at = outbox.clock.unix_time;
        let spec = submission.spec.clone();
        let (mut unfinished, mut is_cancelled) = (Vec::new(), false);
        for upstream in &submission.waits_on {
            let outcome = self.job_replica.upstream_outcome(upstream);
            if outcome != UpstreamOutcome::Done {
                unfinished.push(upstream.clone());
                is_cancelled |= outcome == UpstreamOutcome::Cancelled;
            }
        }
        if unfinished.is_empty() {
            let record = JobRecord {
                shard: outbox.choose_target_shard(&spec),
                ..JobRecord::new(spec, accepted_at)
            };
            return NewRecord {
                value: record.to_value(),
                is_waiting: false,
            };
        }
        let record = WaitingRecord::new(spec, accepted_at, is_cancelled, &unfinished);
        NewRecord {
            value: store::to_raw_value(&record),
            is_waiting: true,
        }
    }

    /// Handles the answer to a transaction that accepts jobs.
    pub fn handle_accept_answer(
        &mut self,
        outbox: &mut Outbox,
        jobs: Vec<PendingAccept>,
        answer: &CallResult,
    ) {
        let failed_keys = failed_keys(answer);
        if failed_keys.iter().any(|key| key == CURRENT_VERSION_KEY) {
            outbox.configuration.mark_unconfirmed(outbox.clock.now);
        }
        for PendingAccept { connection, job } in jobs {
            let Some(submission) = self.accepts_in_flight.remove(&connection) else {
                continue;
            };
            let queued = QueuedSubmission {
                connection,
                job,
                submission,
            };
            self.finish_accept(outbox, queued, answer, &failed_keys);
        }
    }

    fn finish_accept(
        &mut self,
        outbox: &mut Outbox,
        queued: QueuedSubmission,
        answer: &CallResult,
        failed_keys: &[String],
    ) {
        let QueuedSubmission {
            connection,
            job,
            submission,
        } = queued;
        let is_own_failure = || failed_keys.iter().any(|key| key.ends_with(&*job));
        let reason = match answer.as_ref().map(|answer| answer.status) {
            Ok(200) => {
                let (class, tasks) = (&submission.spec.class, submission.spec.tasks);
                let waits_on = submission.waits_on.len();
                tracing::info!(job = %job, %class, tasks, waits_on, "accepted");
                let view = JobView::new(JobStatus::Pending, 0);
                outbox.reply(connection, api::job_response(201, &job, &view));
                let version = committed_version(answer);
                let change = JobChange {
                    job,
                    version,
                    kind: JobChangeKind::Accepted,
                    shard: 0,
                };
                return self.job_changes.push(change);
            }
            // Only the guards of the configuration version or of other jobs failed. This job is queued again, and goes
            // into a later transaction.
            Ok(409) if !failed_keys.is_empty() && !is_own_failure() => {
                return self.accept_queue.push_back(QueuedSubmission {
                    connection,
                    job,
                    submission,
                });
            }
            Ok(409) => LookupReason::Submit(Ok(submission)),
            // The transaction may have been committed, or may still be committed later. Only a read tells.
            Err(_) => LookupReason::Confirm,
            Ok(_) => return outbox.reply_unavailable(connection),
        };
        let waiter = LookupWaiter::new(connection, reason);
        self.look_up_live_job(outbox, job, waiter);
    }
}

/// Returns the keys whose guards failed the transaction.
fn failed_keys(result: &CallResult) -> Vec<String> {
    let answer = result.as_ref().ok();
    answer
        .filter(|answer| answer.status == 409)
        .and_then(|answer| answer.decode::<Conflict>())
        .map_or_else(Vec::new, |conflict| conflict.failed_keys)
}
