//! Stores cancellations in the live records of jobs. Users are told of a cancellation only after it has been stored.
//! The shard owner finds the cancellation in the live record.

use super::job_api::{JobApi, JobChange, LookupReason, LookupWaiter, committed_version};
use super::job_lookups::LiveJob;
use super::outbox::Outbox;
use super::pending_request::JobApiRequest;
use crate::http::CallResult;
use crate::model::JobId;
use crate::wire::api::{self, JobStatus, JobView};
use crate::wire::budget::Urgency;
use crate::wire::store::{self, Transaction};

impl JobApi {
    /// Stores the cancellation of a live job, on the condition that the job has not changed since it was read.
    pub fn send_cancellation(
        &mut self,
        outbox: &mut Outbox,
        job: JobId,
        live: LiveJob,
        connections: Vec<u64>,
        done: u32,
    ) {
        let key = store::live_job_key(&job);
        let value = live
            .record
            .into_cancelled_value(outbox.settings.max_value_bytes);
        let mut transaction = Transaction::default();
        transaction.guard(&key, live.version);
        transaction.put(&key, value, None);
        let pending = JobApiRequest::CancelJob {
            job,
            connections,
            view: JobView::new(JobStatus::Cancelled, done),
        };
        outbox.send_to_store(Urgency::User, transaction.to_request(), pending);
    }

    /// Handles the answer to a transaction that stores a cancellation.
    pub fn handle_cancel_answer(
        &mut self,
        outbox: &mut Outbox,
        job: JobId,
        connections: Vec<u64>,
        view: &JobView,
        answer: &CallResult,
    ) {
        if answer.as_ref().is_ok_and(|answer| answer.is_ok()) {
            let version = committed_version(answer);
            self.job_replica.record_end(job.clone(), view.clone());
            self.job_replica.record_cancellation(job.clone(), version);
            for connection in connections {
                outbox.reply(connection, api::job_response(200, &job, view));
            }
            return self.job_changes.push(JobChange { job, version });
        }
        // On a conflict the job has changed since it was read; without an answer the outcome is unknown. Only another
        // read tells whether the job is cancelled.
        let is_undecided = match answer {
            Ok(answer) => answer.status == 409,
            Err(_) => true,
        };
        for connection in connections {
            if is_undecided && outbox.awaits_reply(connection) {
                let waiter = LookupWaiter::new(connection, LookupReason::Cancel);
                self.look_up_live_job(outbox, job.clone(), waiter);
            } else {
                outbox.reply_unavailable(connection);
            }
        }
    }
}
