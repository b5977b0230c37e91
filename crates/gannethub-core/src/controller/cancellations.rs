//! Stores cancellations in the live records of jobs. Users are told of a cancellation only after it has been stored
//! and [confirmed](super::cancellation_confirmation). The shard owner is told of the cancellation, and finds it in the
//! live record.

use super::job_api::{JobApi, JobChange, LookupReason, LookupWaiter, committed_version};
use super::job_lookups::LiveJob;
use super::outbox::Outbox;
use super::pending_request::{CancellationTarget, JobApiRequest};
use crate::http::CallResult;
use crate::model::JobId;
use crate::state::job_replica::StoredCancellation;
use crate::wire::api::{self, JobStatus, JobView};
use crate::wire::budget::Urgency;
use crate::wire::peer::JobChangeKind;
use crate::wire::store::{self, LiveRecord, Transaction};

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
        let target = match &live.record {
            LiveRecord::Job(record) => CancellationTarget::Released {
                shard: record.shard,
            },
            LiveRecord::Waiting(_) => CancellationTarget::Waiting,
        };
        let value = live
            .record
            .into_cancelled_value(outbox.settings.max_value_bytes);
        let mut transaction = Transaction::default();
        transaction.guard(&key, live.version);
        transaction.put(&key, value, None);
        let pending = JobApiRequest::CancelJob {
            job,
            target,
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
        target: CancellationTarget,
        connections: Vec<u64>,
        view: &JobView,
        answer: &CallResult,
    ) {
        if answer.as_ref().is_ok_and(|answer| answer.is_ok()) {
            let version = committed_version(answer);
            return self.cancellation_stored(outbox, job, target, connections, view, version);
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

    /// Announces a cancellation that was stored in this version, and answers its users once it is confirmed.
    fn cancellation_stored(
        &mut self,
        outbox: &mut Outbox,
        job: JobId,
        target: CancellationTarget,
        connections: Vec<u64>,
        view: &JobView,
        version: u64,
    ) {
        self.job_replica.record_cancellation(job.clone(), version);
        let shard = match target {
            CancellationTarget::Released { shard } => {
                let cancellation = StoredCancellation { version, shard };
                for connection in connections {
                    let (job, view) = (job.clone(), view.clone());
                    self.answer_when_confirmed(outbox, job, cancellation, view, connection);
                }
                shard
            }
            CancellationTarget::Waiting => {
                self.job_replica.record_end(job.clone(), view.clone());
                for connection in connections {
                    outbox.reply(connection, api::job_response(200, &job, view));
                }
                0
            }
        };
        self.job_changes.push(JobChange {
            job,
            version,
            kind: JobChangeKind::Cancelled,
            shard,
        });
    }
}
