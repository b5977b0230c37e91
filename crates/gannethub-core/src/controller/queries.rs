//! Answers queries from a replica of all live jobs, and keeps that replica up to date.
//!
//! A query for a job whose final state is known is answered at once, since that state never changes. Every other query
//! waits for the next read of changes, since the replica may be older than a state that another controller has already
//! told a user. All waiting queries share one read. As long as there is no complete replica, jobs are looked up one by
//! one.

use super::config_watch::CHANGE_READ_INTERVAL;
use super::job_api::{
    JobApi, LookupReason, LookupWaiter, MAX_WAITING_QUERIES, QUERY_TIMEOUT, RefreshWaiter,
};
use super::job_views::{ProgressLookup, add_progress};
use super::outbox::Outbox;
use super::pending_request::JobApiRequest;
use crate::http::{Answer, CallResult, Response, decode_ok};
use crate::model::{JobId, Micros, SECOND};
use crate::state::job_replica::JobLookup;
use crate::wire::api;
use crate::wire::budget::Urgency;
use crate::wire::store::{self, ChangeLog, Listing, StoreRequest};

/// Minimum interval between refreshes of the replica.
const MIN_REFRESH_INTERVAL: Micros = 100_000;
/// A refresh without waiting requests is sent this long after the time from which it is allowed, so that few changes
/// pile up.
const MAX_REFRESH_INTERVAL: Micros = 5 * SECOND;
/// Minimum interval between complete reads of the replica after it was lost.
const LISTING_INTERVAL: Micros = SECOND;
/// Refreshes use at most one in this many of the controller's requests, however many queries arrive.
const REQUESTS_PER_REFRESH: f64 = 2.0;
/// Minimum request rate, per second, that the refresh interval is computed from. A lower rate counts as this one.
const MIN_REQUEST_RATE: f64 = 0.1;

impl JobApi {
    /// Handles a query. Unless its answer is known to be final, the query waits for the next refresh, which answers all
    /// queries that wait by then.
    pub fn query(&mut self, outbox: &mut Outbox, connection: u64, job: JobId) {
        if self.job_replica.version().is_none() {
            let waiter = LookupWaiter::new(connection, LookupReason::Query);
            return self.look_up_live_job(outbox, job, waiter);
        }
        if let Some(view) = self.job_replica.final_view(&job) {
            return outbox.reply(connection, api::job_response(200, &job, view));
        }
        let wait = outbox.budget.query_wait();
        if wait > QUERY_TIMEOUT || self.next_refresh_waiters.len() >= MAX_WAITING_QUERIES {
            return outbox.reply_overloaded(connection, wait);
        }
        self.next_refresh_waiters
            .push(RefreshWaiter::Query { connection, job });
        self.refresh(outbox);
    }

    /// Reads the live jobs or the changes that the replica lacks, if a refresh is due.
    pub fn refresh(&mut self, outbox: &mut Outbox) {
        let now = outbox.clock.now;
        if self.refresh_in_flight || now < self.refresh_at {
            return;
        }
        match self.job_replica.version() {
            Some(version) if self.is_refresh_needed(outbox) => {
                let rate = outbox.budget.request_rate().max(MIN_REQUEST_RATE);
                let pause = (REQUESTS_PER_REFRESH * SECOND as f64 / rate) as Micros;
                self.refresh_at = now + pause.max(MIN_REFRESH_INTERVAL);
                self.current_refresh_waiters = std::mem::take(&mut self.next_refresh_waiters);
                let request = StoreRequest::changes_since(store::LIVE_JOB_PREFIX, version);
                self.send_refresh(outbox, request, JobApiRequest::ReadChanges);
            }
            None if outbox.is_store_reachable() => {
                self.refresh_at = now + LISTING_INTERVAL;
                let request = StoreRequest::list(store::LIVE_JOB_PREFIX, "");
                self.send_refresh(outbox, request, JobApiRequest::ListLiveJobs);
            }
            _ => {}
        }
    }

    fn is_refresh_needed(&self, outbox: &Outbox) -> bool {
        let max_interval = match outbox.configuration.has_stored_version() {
            true => CHANGE_READ_INTERVAL.min(MAX_REFRESH_INTERVAL),
            false => MAX_REFRESH_INTERVAL,
        };
        !self.next_refresh_waiters.is_empty()
            || self.confirmations.is_read_needed(outbox.clock.now)
            || outbox.configuration.is_behind()
            || outbox.clock.now >= self.refresh_at + max_interval
    }

    fn send_refresh(&mut self, outbox: &mut Outbox, request: StoreRequest, pending: JobApiRequest) {
        self.refresh_in_flight = true;
        self.refresh_sent_at = outbox.clock.now;
        outbox.send_to_store(Urgency::User, request, pending);
    }

    /// Handles a page of the listing of all live jobs.
    pub fn handle_listing_answer(&mut self, outbox: &mut Outbox, answer: &CallResult) {
        let Some(listing) = decode_ok::<Listing>(answer) else {
            self.refresh_in_flight = false;
            return self.job_replica.reset();
        };
        let is_first_page = self.job_replica.is_at_first_page();
        outbox.configuration.apply_listing(&listing, is_first_page);
        match self.job_replica.apply_listing_page(&listing) {
            Some(after) => {
                let request = StoreRequest::list(store::LIVE_JOB_PREFIX, &after);
                outbox.send_to_store(Urgency::User, request, JobApiRequest::ListLiveJobs);
            }
            None => {
                self.refresh_in_flight = false;
                self.refresh_at = outbox.clock.now;
                outbox.configuration.confirm_newest(self.refresh_sent_at);
            }
        }
    }

    /// Handles the answer to a read of changes, and answers all requests that waited for it.
    pub fn handle_refresh_answer(
        &mut self,
        outbox: &mut Outbox,
        answer: &CallResult,
        progress: ProgressLookup<'_>,
    ) {
        self.refresh_in_flight = false;
        let waiters = std::mem::take(&mut self.current_refresh_waiters);
        match decode_ok::<ChangeLog>(answer) {
            Some(log) => {
                outbox.configuration.apply_changes(&log.changes);
                outbox.configuration.confirm_newest(self.refresh_sent_at);
                self.job_replica.apply_changes(&log);
                for waiter in waiters {
                    self.answer_refresh_waiter(outbox, waiter, progress);
                }
            }
            None => {
                if is_replica_too_old(answer) {
                    self.job_replica.reset();
                }
                for waiter in waiters {
                    outbox.reply_unavailable(waiter.connection());
                }
            }
        }
        self.refresh(outbox);
    }

    fn answer_refresh_waiter(
        &mut self,
        outbox: &mut Outbox,
        waiter: RefreshWaiter,
        progress: ProgressLookup<'_>,
    ) {
        let (connection, job) = match waiter {
            RefreshWaiter::Query { connection, job } => (connection, job),
            RefreshWaiter::Submit(queued) => return self.check_dependencies(outbox, queued),
        };
        match self.job_replica.lookup(&job) {
            JobLookup::Cancelled(view, cancellation) => {
                self.answer_when_confirmed(outbox, job, cancellation, view, connection);
            }
            JobLookup::Job(mut view) => {
                add_progress(&job, &mut view, progress);
                outbox.reply(connection, api::job_response(200, &job, &view));
            }
            JobLookup::NeverSubmitted => {
                outbox.reply(connection, Response::error(404, "no such job"));
            }
            JobLookup::NotLive => {
                let waiter = LookupWaiter::new(connection, LookupReason::Query);
                self.look_up_finished_job(outbox, job, waiter);
            }
            // The query waits for another refresh, and for more of them until the outcome of the upstream job has been
            // read.
            JobLookup::UpstreamOutcomeUnknown => {
                if outbox.awaits_reply(connection) {
                    self.next_refresh_waiters
                        .push(RefreshWaiter::Query { connection, job });
                }
            }
        }
    }
}

/// Whether a failed read of changes means that the replica is too old to be refreshed, since the state service no
/// longer keeps the changes. Every answer except a temporary refusal (status 429 or 503) counts as this case.
fn is_replica_too_old(answer: &CallResult) -> bool {
    matches!(answer, Ok(Answer { status, .. }) if *status != 429 && *status != 503)
}
