//! Queries and cancellations, and the copy of what is live that they are answered from.

use std::collections::BTreeSet;

use gannethub_ledger::audit::Page;

use super::config_watch::CHANGE_READ_INTERVAL;
use super::outbox::{Event, Outbox, PendingRequest};
use super::shard_owner::ShardOwner;
use super::submissions::{
    JobApi, LookupWaiter, MAX_WAITING_QUERIES, QUERY_TIMEOUT, RefreshWaiter, commit_version,
};
use crate::http::{Answer, CallResult, Response, decode_ok};
use crate::model::{JobId, Micros, SECOND, TaskSet};
use crate::state::job_replica::JobLookup;
use crate::wire::api::{self, JobStatus, JobView};
use crate::wire::budget::Urgency;
use crate::wire::store::{
    self, ChangeLog, Committed, FinishedJobRecord, Listing, LiveRecord, StoreRequest, StoredValue,
    Transaction,
};

/// Ends of jobs that others wait for that are asked for at once.
const MAX_OUTCOME_READS: usize = 20;
/// Queries share one read of what has changed, made at most this often ...
const MIN_REFRESH_INTERVAL: Micros = 100_000;
/// ... and at least this often, so that few changes pile up.
const MAX_REFRESH_INTERVAL: Micros = 5 * SECOND;

/// What is known of how far live jobs are: tasks on machines and done.
pub(super) type ProgressLookup<'a> = &'a dyn Fn(&JobId) -> Option<(u32, u32)>;

impl JobApi {
    pub(super) fn read_ledger(
        &mut self,
        port: &mut Outbox,
        conn: u64,
        page: Option<u64>,
        team: Option<&str>,
    ) {
        if port.settings.ledger.is_none() {
            return port.reply(conn, Response::error(404, "no ledger is kept here"));
        }
        if let Some(team) = team.filter(|t| port.settings.team(t).is_none()) {
            let why = format!("team: there is no team {team:?}");
            return port.reply(conn, Response::error(400, why));
        }
        let wait = port.budget.query_wait();
        if wait > QUERY_TIMEOUT {
            return port.reply_overloaded(conn, wait);
        }
        let key = page.map_or(store::LEDGER_HEAD_KEY.into(), store::ledger_page_key);
        let team = team.map(str::to_string);
        port.send_to_store(
            Urgency::User,
            StoreRequest::get(&key),
            PendingRequest::ShowLedger {
                connection: conn,
                team,
            },
        );
    }

    /// What is written is shown as it is written; so what was shown once never changes.
    pub(super) fn handle_ledger_answer(
        &mut self,
        port: &mut Outbox,
        conn: u64,
        team: Option<String>,
        answer: CallResult,
    ) {
        let item = match answer {
            Ok(Answer { status: 200, body }) => serde_json::from_slice::<StoredValue>(&body).ok(),
            Ok(Answer { status: 404, .. }) => {
                let why = "page: there is no such page";
                return port.reply(conn, Response::error(404, why));
            }
            _ => None,
        };
        let Some(item) = item else {
            return port.reply_unavailable(conn);
        };
        let response = match (team, item.decode::<Page>()) {
            (Some(team), Some(mut page)) => {
                page.lines.retain(|l| l[1] == "charge" && l[2][0] == *team);
                Response::json(200, &page)
            }
            _ => Response::json(200, &item.value),
        };
        port.reply(conn, response);
    }

    /// Reads how jobs ended that others wait for and that are not alive.
    pub fn read_dependency_outcomes(&mut self, port: &mut Outbox, holder: Option<&ShardOwner>) {
        let now = port.clock.now;
        if self.job_replica.dependencies.is_complete()
            && holder.is_none_or(|h| h.cluster.pipelines.dependencies.is_complete())
        {
            return;
        }
        self.outcome_reads.retain(|_, until| now < *until);
        // While the copy or the state is being read, what is not known yet may still turn up.
        let holder = holder.filter(|h| h.is_loaded());
        let theirs = holder
            .into_iter()
            .flat_map(|h| h.cluster.pipelines.dependencies.unknown_outcomes());
        let ours = self
            .job_replica
            .version()
            .into_iter()
            .flat_map(|_| self.job_replica.dependencies.unknown_outcomes());
        let wanted: BTreeSet<JobId> = theirs
            .chain(ours)
            .filter(|j| !self.outcome_reads.contains_key(*j))
            .cloned()
            .collect();
        for job in wanted.into_iter().take(MAX_OUTCOME_READS) {
            self.outcome_reads.insert(job.clone(), now + 3 * SECOND);
            let key = format!("{}{job}", store::FINISHED_JOB_PREFIX);
            port.send_to_store(
                Urgency::Transaction,
                StoreRequest::get(&key),
                PendingRequest::ReadDependency { job },
            );
        }
    }

    pub(super) fn handle_dependency_answer(
        &mut self,
        port: &mut Outbox,
        job: JobId,
        answer: CallResult,
        holder: Option<&mut ShardOwner>,
    ) {
        let now = port.clock.now;
        let Some(view) = finished_view_of_answer(&answer) else {
            // Not over, or not to be known now.
            self.outcome_reads.insert(job, now + SECOND / 2);
            return;
        };
        self.outcome_reads.remove(&job);
        if let Some(holder) = holder.filter(|h| h.is_loaded()) {
            holder
                .cluster
                .mark_upstream_ended(&job, Some(view.status == JobStatus::Cancelled));
        }
        self.job_replica.record_upstream_end(job, view);
        self.refresh(port);
    }

    pub(super) fn look_up_live_job(&mut self, port: &mut Outbox, id: JobId, waiter: LookupWaiter) {
        self.look_up_job(port, id, waiter, false);
    }

    /// Reads a job's record. `over`: it is known not to be alive, so only whether it is over is
    /// to be read.
    pub(super) fn look_up_job(
        &mut self,
        port: &mut Outbox,
        id: JobId,
        waiter: LookupWaiter,
        over: bool,
    ) {
        if let Some(view) = self.job_replica.final_view(&id) {
            let response = api::job_response(200, &id, view);
            return port.reply(waiter.connection(), response);
        }
        let wait = port.budget.query_wait();
        if wait > QUERY_TIMEOUT && !self.lookups.contains_key(&id) {
            // The answer would come too late, and reads that nobody waits for any more would keep
            // submissions out.
            return port.reply_overloaded(waiter.connection(), wait);
        }
        let lookup = self.lookups.entry(id.clone()).or_default();
        if !lookup.current.is_empty() {
            lookup.next.push(waiter);
            return;
        }
        lookup.current.push(waiter);
        self.send_lookup(port, id, over);
    }

    pub(super) fn send_lookup(&mut self, port: &mut Outbox, job: JobId, over: bool) {
        let key = format!(
            "{}{job}",
            if over {
                store::FINISHED_JOB_PREFIX
            } else {
                store::LIVE_JOB_PREFIX
            }
        );
        port.send_to_store(
            Urgency::User,
            StoreRequest::get(&key),
            PendingRequest::LookUpJob {
                job,
                finished: over,
            },
        );
    }

    /// A query waits for the next read of what has changed, which answers all that wait then.
    pub(super) fn query(&mut self, port: &mut Outbox, conn: u64, id: JobId) {
        if self.job_replica.version().is_none() {
            return self.look_up_live_job(port, id, LookupWaiter::Query(conn));
        }
        if let Some(view) = self.job_replica.final_view(&id) {
            let response = api::job_response(200, &id, view);
            return port.reply(conn, response);
        }
        let wait = port.budget.query_wait();
        if wait > QUERY_TIMEOUT || self.next_refresh_waiters.len() >= MAX_WAITING_QUERIES {
            return port.reply_overloaded(conn, wait);
        }
        self.next_refresh_waiters
            .push(RefreshWaiter::Query(conn, id));
        self.refresh(port);
    }

    /// Reads what the mirror lacks, if there is a reason to.
    pub(super) fn refresh(&mut self, port: &mut Outbox) {
        let now = port.clock.now;
        if self.refresh_in_flight || now < self.refresh_at {
            return;
        }
        // At most half of this controller's requests, however many queries come.
        let pause = (2.0 * SECOND as f64 / port.budget.request_rate().max(0.1)) as Micros;
        let pause = pause.max(MIN_REFRESH_INTERVAL);
        let at_least = if port.configuration.has_stored_version() {
            CHANGE_READ_INTERVAL.min(MAX_REFRESH_INTERVAL)
        } else {
            MAX_REFRESH_INTERVAL
        };
        let due = now >= self.refresh_at + at_least;
        match self.job_replica.version() {
            Some(at)
                if !self.next_refresh_waiters.is_empty()
                    || port.configuration.is_behind()
                    || due =>
            {
                self.refresh_in_flight = true;
                self.refresh_sent_at = now;
                self.refresh_at = now + pause;
                self.current_refresh_waiters = std::mem::take(&mut self.next_refresh_waiters);
                let request = StoreRequest::changes_since(store::LIVE_JOB_PREFIX, at);
                port.send_to_store(Urgency::User, request, PendingRequest::ReadChanges);
            }
            None if port.is_store_reachable() => {
                self.refresh_in_flight = true;
                self.refresh_sent_at = now;
                self.refresh_at = now + SECOND;
                let request = StoreRequest::list(store::LIVE_JOB_PREFIX, "");
                port.send_to_store(Urgency::User, request, PendingRequest::ListLiveJobs);
            }
            _ => {}
        }
    }

    pub(super) fn handle_listing_answer(&mut self, port: &mut Outbox, answer: CallResult) {
        let listing = decode_ok::<Listing>(&answer);
        let Some(listing) = listing else {
            self.refresh_in_flight = false;
            return self.job_replica.reset();
        };
        port.configuration
            .apply_listing(&listing, self.job_replica.is_at_first_page());
        match self.job_replica.apply_listing_page(&listing) {
            Some(after) => {
                let request = StoreRequest::list(store::LIVE_JOB_PREFIX, &after);
                port.send_to_store(Urgency::User, request, PendingRequest::ListLiveJobs);
            }
            None => {
                self.refresh_in_flight = false;
                self.refresh_at = port.clock.now;
                port.configuration.confirm_newest(self.refresh_sent_at);
            }
        }
    }

    pub(super) fn handle_refresh_answer(
        &mut self,
        port: &mut Outbox,
        answer: CallResult,
        progress: ProgressLookup<'_>,
    ) {
        self.refresh_in_flight = false;
        let waiting = std::mem::take(&mut self.current_refresh_waiters);
        let followed = match &answer {
            Ok(Answer { status: 200, body }) => serde_json::from_slice::<ChangeLog>(body).ok(),
            _ => None,
        };
        let Some(followed) = followed else {
            if matches!(answer, Ok(Answer { status, .. }) if status != 429 && status != 503) {
                // Too far behind: the changes are not kept any more.
                self.job_replica.reset();
            }
            waiting
                .into_iter()
                .for_each(|asker| port.reply_unavailable(asker.connection()));
            return self.refresh(port);
        };
        port.configuration.apply_changes(&followed.changes);
        port.configuration.confirm_newest(self.refresh_sent_at);
        self.job_replica.apply_changes(&followed);
        for asker in waiting {
            let (conn, id) = match asker {
                RefreshWaiter::Query(conn, id) => (conn, id),
                RefreshWaiter::Submit(conn, id, submission) => {
                    self.check_dependencies(port, conn, id, submission);
                    continue;
                }
            };
            match self.job_replica.lookup(&id) {
                // It is asked again once that end has been read.
                JobLookup::DependencyUnknown if port.reply_deadlines.contains_key(&conn) => {
                    self.next_refresh_waiters
                        .push(RefreshWaiter::Query(conn, id));
                }
                JobLookup::DependencyUnknown => {}
                JobLookup::Job(mut view) => {
                    add_progress(&id, &mut view, progress);
                    port.reply(conn, api::job_response(200, &id, &view));
                }
                JobLookup::NeverSubmitted => port.reply(conn, Response::error(404, "no such job")),
                JobLookup::NotLive => self.look_up_job(port, id, LookupWaiter::Query(conn), true),
            }
        }
        self.refresh(port);
    }

    pub(super) fn handle_lookup_answer(
        &mut self,
        port: &mut Outbox,
        job: JobId,
        over: bool,
        answer: CallResult,
        progress: ProgressLookup<'_>,
    ) {
        match answer {
            Ok(Answer { status: 200, body }) => {
                let Ok(item) = serde_json::from_slice::<StoredValue>(&body) else {
                    return self.lookup_failed(port, job);
                };
                if over {
                    let Some(view) = finished_job_view(&item) else {
                        return self.lookup_failed(port, job);
                    };
                    self.job_found(port, job, view, None);
                } else {
                    let Some(r) = item.as_live_record() else {
                        return self.lookup_failed(port, job);
                    };
                    let view = live_job_view(&job, &r, progress);
                    self.job_found(port, job, view, Some((r, item.version)));
                }
            }
            Ok(Answer { status: 404, .. }) if !over => self.send_lookup(port, job, true),
            Ok(Answer { status: 404, body }) => {
                if let Ok(missing) = serde_json::from_slice::<Committed>(&body) {
                    self.job_replica.record_absent(job.clone(), missing.version);
                }
                let waiters = self.take_waiters(port, &job);
                for w in waiters {
                    match w {
                        LookupWaiter::Query(c) | LookupWaiter::Cancel(c) => {
                            port.reply(c, Response::error(404, "no such job"));
                        }
                        LookupWaiter::Submit(c, Ok(spec)) => {
                            self.accept(port, c, job.clone(), spec)
                        }
                        LookupWaiter::Submit(c, Err(refusal)) => port.reply_refusal(c, &refusal),
                        LookupWaiter::Confirm(c) => {
                            let why = "it is not certain yet that the job was accepted";
                            port.reply(c, Response::error(503, why).with_retry_after(1));
                        }
                    }
                }
            }
            _ => self.lookup_failed(port, job),
        }
    }

    pub(super) fn lookup_failed(&mut self, port: &mut Outbox, job: JobId) {
        for w in self.take_waiters(port, &job) {
            port.reply_unavailable(w.connection());
        }
    }

    /// Those whom the finished read may answer; starts the next read for the rest.
    pub(super) fn take_waiters(&mut self, port: &mut Outbox, job: &JobId) -> Vec<LookupWaiter> {
        let Some(lookup) = self.lookups.get_mut(job) else {
            return Vec::new();
        };
        let waiters = std::mem::take(&mut lookup.current);
        lookup.current = std::mem::take(&mut lookup.next);
        if lookup.current.is_empty() {
            self.lookups.remove(job);
        } else {
            self.send_lookup(port, job.clone(), false);
        }
        waiters
    }

    pub(super) fn job_found(
        &mut self,
        port: &mut Outbox,
        job: JobId,
        view: JobView,
        live: Option<(LiveRecord, u64)>,
    ) {
        if matches!(view.status, JobStatus::Done | JobStatus::Cancelled) {
            self.job_replica.record_end(job.clone(), view.clone());
        }
        if let Some((record, stamp)) = &live
            && record.is_cancelled()
        {
            self.job_replica.record_cancellation(job.clone(), *stamp);
        }
        let mut cancels = Vec::new();
        for w in self.take_waiters(port, &job) {
            match (w, &live) {
                (LookupWaiter::Cancel(c), Some((r, _))) if !r.is_cancelled() => cancels.push(c),
                // Whether it is cancelled with one that it needs, its own record does not tell.
                (w, Some((LiveRecord::Waiting(r), _))) if !r.cancelled => {
                    if self.job_replica.version().is_some() {
                        self.next_refresh_waiters
                            .push(RefreshWaiter::Query(w.connection(), job.clone()));
                    } else {
                        port.reply_unavailable(w.connection());
                    }
                }
                (w, _) => port.reply(w.connection(), api::job_response(200, &job, &view)),
            }
        }
        self.refresh(port);
        let Some((record, stamp)) = live.filter(|_| !cancels.is_empty()) else {
            return;
        };
        let key = format!("{}{job}", store::LIVE_JOB_PREFIX);
        let mut commit = Transaction::default();
        commit.guard(&key, stamp);
        commit.put(
            &key,
            record.into_cancelled_value(port.settings.value_bytes),
            None,
        );
        let view = JobView::new(JobStatus::Cancelled, view.done);
        let purpose = PendingRequest::CancelJob {
            job,
            connections: cancels,
            view,
        };
        port.send_to_store(Urgency::User, commit.to_request(), purpose);
    }

    pub(super) fn handle_cancel_answer(
        &mut self,
        port: &mut Outbox,
        job: JobId,
        conns: Vec<u64>,
        view: JobView,
        answer: CallResult,
    ) {
        let status = answer.as_ref().ok().map(|a| a.status);
        if status == Some(200) {
            let stamp = commit_version(&answer);
            self.job_replica.record_end(job.clone(), view.clone());
            self.job_replica.record_cancellation(job.clone(), stamp);
            for c in conns {
                port.reply(c, api::job_response(200, &job, &view));
            }
            return port.events.push(Event::JobChanged(job, stamp));
        }
        for c in conns {
            match status {
                // The job changed meanwhile, or nothing is certain: only looking again tells.
                Some(409) | None if port.reply_deadlines.contains_key(&c) => {
                    self.look_up_live_job(port, job.clone(), LookupWaiter::Cancel(c));
                }
                _ => port.reply_unavailable(c),
            }
        }
    }
}

/// A live job as its record and what is known of its progress show it.
fn live_job_view(id: &JobId, record: &LiveRecord, progress: ProgressLookup<'_>) -> JobView {
    let mut done = TaskSet::default();
    if let LiveRecord::Job(record) = record {
        store::decode_done_part(&record.done, 0, &mut done);
    }
    let status = if record.is_cancelled() {
        JobStatus::Cancelled
    } else {
        JobStatus::Pending
    };
    let mut view = JobView::new(status, done.len());
    add_progress(id, &mut view, progress);
    view
}

/// Adds what is known of a live job beside its record: for display only.
fn add_progress(id: &JobId, view: &mut JobView, progress: ProgressLookup<'_>) {
    if view.status != JobStatus::Pending {
        return;
    }
    if let Some((running, done)) = progress(id) {
        (view.running, view.done) = (running, done.max(view.done));
    }
    if view.running > 0 {
        view.status = JobStatus::Running;
    }
}

/// How a job ended, as its record in the state service has it.
pub(super) fn finished_job_view(item: &StoredValue) -> Option<JobView> {
    let r = item.decode::<FinishedJobRecord>()?;
    Some(match r.cancelled {
        true => JobView::new(JobStatus::Cancelled, 0),
        false => JobView::new(JobStatus::Done, r.tasks),
    })
}

/// The same from the answer to a read of that record, if there was one.
pub(super) fn finished_view_of_answer(answer: &CallResult) -> Option<JobView> {
    finished_job_view(&decode_ok::<StoredValue>(answer)?)
}
