//! Looks up single jobs in the state service: for queries that the replica cannot answer, and before cancellations
//! and repeated submissions.

use super::job_api::{
    JobApi, LookupReason, LookupWaiter, QUERY_TIMEOUT, QueuedSubmission, RefreshWaiter,
};
use super::job_views::{ProgressLookup, finished_job_view, live_job_view};
use super::key_read::KeyRead;
use super::outbox::Outbox;
use super::pending_request::JobApiRequest;
use crate::http::{CallResult, Response};
use crate::model::JobId;
use crate::state::job_replica::StoredCancellation;
use crate::wire::api::{self, JobStatus, JobView};
use crate::wire::budget::Urgency;
use crate::wire::store::{self, LiveRecord, StoreRequest, StoredValue};

/// A live job's record, with the version of its key.
pub(super) struct LiveJob {
    pub record: LiveRecord,
    pub version: u64,
}

impl JobApi {
    /// Reads a job's live record, and its finished record if no live record exists.
    pub fn look_up_live_job(&mut self, outbox: &mut Outbox, job: JobId, waiter: LookupWaiter) {
        self.look_up_job(outbox, job, waiter, false);
    }

    /// Reads the finished record of a job that is known not to be live.
    pub fn look_up_finished_job(&mut self, outbox: &mut Outbox, job: JobId, waiter: LookupWaiter) {
        self.look_up_job(outbox, job, waiter, true);
    }

    fn look_up_job(
        &mut self,
        outbox: &mut Outbox,
        job: JobId,
        waiter: LookupWaiter,
        finished: bool,
    ) {
        if let Some(view) = self.job_replica.final_view(&job) {
            let response = api::job_response(200, &job, view);
            return outbox.reply(waiter.connection, response);
        }
        let wait = outbox.budget.query_wait();
        if wait > QUERY_TIMEOUT && !self.lookups.contains_key(&job) {
            // The answer would arrive too late, and reads for which nobody waits any more would hold up submissions.
            return outbox.reply_overloaded(waiter.connection, wait);
        }
        let lookup = self.lookups.entry(job.clone()).or_default();
        if !lookup.current.is_empty() {
            lookup.next.push(waiter);
            return;
        }
        lookup.current.push(waiter);
        send_lookup(outbox, job, finished);
    }

    /// Handles the answer to a read of a job's record. `finished` means that its finished record was read.
    pub fn handle_lookup_answer(
        &mut self,
        outbox: &mut Outbox,
        job: JobId,
        finished: bool,
        answer: &CallResult,
        progress: ProgressLookup<'_>,
    ) {
        match KeyRead::from(answer) {
            KeyRead::Found(item) if finished => self.handle_finished_record(outbox, job, &item),
            KeyRead::Found(item) => self.handle_live_record(outbox, job, &item, progress),
            KeyRead::Absent { .. } if !finished => send_lookup(outbox, job, true),
            KeyRead::Absent { version } => {
                if let Some(version) = version {
                    self.job_replica.record_absent(job.clone(), version);
                }
                self.handle_absent_job(outbox, &job);
            }
            KeyRead::Unreadable | KeyRead::Failed => self.handle_failed_lookup(outbox, &job),
        }
    }

    fn handle_finished_record(&mut self, outbox: &mut Outbox, job: JobId, item: &StoredValue) {
        match finished_job_view(item) {
            Some(view) => self.handle_found_job(outbox, job, &view, None),
            None => self.handle_failed_lookup(outbox, &job),
        }
    }

    fn handle_live_record(
        &mut self,
        outbox: &mut Outbox,
        job: JobId,
        item: &StoredValue,
        progress: ProgressLookup<'_>,
    ) {
        let Some(record) = item.as_live_record() else {
            return self.handle_failed_lookup(outbox, &job);
        };
        let view = live_job_view(&job, &record, progress);
        let live = LiveJob {
            record,
            version: item.version,
        };
        self.handle_found_job(outbox, job, &view, Some(live));
    }

    /// Answers the requests that wait for a job that was found, and stores its cancellation if one of them asks for
    /// it.
    fn handle_found_job(
        &mut self,
        outbox: &mut Outbox,
        job: JobId,
        view: &JobView,
        live: Option<LiveJob>,
    ) {
        if let Some(live) = live.as_ref().filter(|live| live.record.is_cancelled()) {
            self.job_replica
                .record_cancellation(job.clone(), live.version);
            if let LiveRecord::Job(record) = &live.record {
                let cancellation = StoredCancellation {
                    version: live.version,
                    shard: record.shard,
                };
                return self.answer_cancelled_lookup(outbox, job, view, cancellation);
            }
        }
        if matches!(view.status, JobStatus::Done | JobStatus::Cancelled) {
            self.job_replica.record_end(job.clone(), view.clone());
        }
        let live = live.filter(|live| !live.record.is_cancelled());
        let mut cancelling = Vec::new();
        for LookupWaiter { connection, reason } in self.take_lookup_waiters(outbox, &job) {
            match (reason, &live) {
                (LookupReason::Cancel, Some(_)) => cancelling.push(connection),
                // The record of a waiting job does not tell whether the job is cancelled together with an upstream
                // job. The replica does.
                (_, Some(live)) if matches!(live.record, LiveRecord::Waiting(_)) => {
                    self.queue_replica_query(outbox, connection, &job);
                }
                _ => outbox.reply(connection, api::job_response(200, &job, view)),
            }
        }
        self.refresh(outbox);
        if let Some(live) = live.filter(|_| !cancelling.is_empty()) {
            self.send_cancellation(outbox, job, live, cancelling, view.done);
        }
    }

    /// Answers the requests that wait for a job whose stored record says that it is cancelled.
    fn answer_cancelled_lookup(
        &mut self,
        outbox: &mut Outbox,
        job: JobId,
        view: &JobView,
        cancellation: StoredCancellation,
    ) {
        for LookupWaiter { connection, .. } in self.take_lookup_waiters(outbox, &job) {
            let (job, view) = (job.clone(), view.clone());
            self.answer_when_confirmed(outbox, job, cancellation, view, connection);
        }
        self.refresh(outbox);
    }

    fn queue_replica_query(&mut self, outbox: &mut Outbox, connection: u64, job: &JobId) {
        if self.job_replica.version().is_none() {
            return outbox.reply_unavailable(connection);
        }
        self.next_refresh_waiters.push(RefreshWaiter::Query {
            connection,
            job: job.clone(),
        });
    }

    /// Handles the requests that wait for a job that is neither live nor finished. A valid submission of the job is
    /// accepted.
    fn handle_absent_job(&mut self, outbox: &mut Outbox, job: &JobId) {
        for LookupWaiter { connection, reason } in self.take_lookup_waiters(outbox, job) {
            match reason {
                LookupReason::Query | LookupReason::Cancel => {
                    outbox.reply(connection, Response::error(404, "no such job"));
                }
                LookupReason::Submit(Ok(submission)) => {
                    let queued = QueuedSubmission {
                        connection,
                        job: job.clone(),
                        submission,
                    };
                    self.accept(outbox, queued);
                }
                LookupReason::Submit(Err(refusal)) => outbox.reply_refusal(connection, &refusal),
                LookupReason::Confirm => {
                    let reason = "cannot confirm yet that the job was accepted";
                    let response = Response::error(503, reason).with_retry_after(1);
                    outbox.reply(connection, response);
                }
            }
        }
    }

    fn handle_failed_lookup(&mut self, outbox: &mut Outbox, job: &JobId) {
        for waiter in self.take_lookup_waiters(outbox, job) {
            outbox.reply_unavailable(waiter.connection);
        }
    }

    /// Removes and returns the requests that the completed look-up may answer. Starts the next look-up for the
    /// others.
    fn take_lookup_waiters(&mut self, outbox: &mut Outbox, job: &JobId) -> Vec<LookupWaiter> {
        let Some(lookup) = self.lookups.get_mut(job) else {
            return Vec::new();
        };
        let next = std::mem::take(&mut lookup.next);
        let waiters = std::mem::replace(&mut lookup.current, next);
        if lookup.current.is_empty() {
            self.lookups.remove(job);
        } else {
            send_lookup(outbox, job.clone(), false);
        }
        waiters
    }
}

fn send_lookup(outbox: &mut Outbox, job: JobId, finished: bool) {
    let key = match finished {
        true => store::finished_job_key(&job),
        false => store::live_job_key(&job),
    };
    let request = StoreRequest::get(&key);
    let pending = JobApiRequest::LookUpJob { job, finished };
    outbox.send_to_store(Urgency::User, request, pending);
}
