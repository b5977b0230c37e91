//! Intake: submissions, from the request to the answer that the job is in the state service. Queries and cancellations
//! are beside it, in [`queries`](super::queries), with the copy of what is live that both go by.

use std::collections::{HashMap, VecDeque};

use super::outbox::{Event, Outbox, PendingRequest};
use super::queries::finished_view_of_answer;
use crate::http::{Answer, CallResult, Response};
use crate::model::{JobId, Micros, SECOND};
use crate::state::dependencies::DependencyOutcome;
use crate::state::job_replica::JobReplica;
use crate::wire::api::{self, JobStatus, JobView, Refusal, Submission};
use crate::wire::budget::Urgency;
use crate::wire::configuration::CURRENT_VERSION_KEY;
use crate::wire::store::{
    self, Committed, Conflict, JobRecord, StoreRequest, Transaction, WaitingRecord,
};

pub(super) const QUERY_TIMEOUT: Micros = 1_700_000;
pub(super) const SUBMIT_TIMEOUT: Micros = 2_500_000;
/// Queries that may wait for one read; more are told to come back.
pub(super) const MAX_WAITING_QUERIES: usize = 4000;

/// Why a job is being looked up.
#[derive(Debug)]
pub(super) enum LookupWaiter {
    Query(u64),
    Cancel(u64),
    /// A submission, with what to answer if the job is not known.
    Submit(u64, Result<Box<Submission>, Refusal>),
    /// The commit of an acceptance had no answer: found means accepted.
    Confirm(u64),
}

impl LookupWaiter {
    pub fn connection(&self) -> u64 {
        match self {
            LookupWaiter::Query(c)
            | LookupWaiter::Cancel(c)
            | LookupWaiter::Submit(c, _)
            | LookupWaiter::Confirm(c) => *c,
        }
    }
}

/// Who waits for the next read of what has changed.
#[derive(Debug)]
pub(super) enum RefreshWaiter {
    Query(u64, JobId),
    /// A submission that names jobs which are not known here yet.
    Submit(u64, JobId, Box<Submission>),
}

impl RefreshWaiter {
    pub fn connection(&self) -> u64 {
        match self {
            RefreshWaiter::Query(c, _) | RefreshWaiter::Submit(c, ..) => *c,
        }
    }
}

/// A submission that waits for reads of jobs that it names.
#[derive(Debug)]
pub(super) struct DependencyCheck {
    job: JobId,
    submission: Box<Submission>,
    unread_dependencies: usize,
}

/// A read that answers those who asked before it began; later askers wait for the next one, so
/// that nobody is told something older than what another controller has said already.
#[derive(Debug, Default)]
pub(super) struct Lookup {
    pub current: Vec<LookupWaiter>,
    pub next: Vec<LookupWaiter>,
}

#[derive(Default)]
pub(super) struct JobApi {
    pub job_replica: JobReplica,
    pub lookups: HashMap<JobId, Lookup>,
    accept_queue: VecDeque<(u64, JobId, Box<Submission>)>,
    accepts_in_flight: HashMap<u64, Box<Submission>>,
    dependency_checks: HashMap<u64, DependencyCheck>,
    /// Jobs whose ends are being read, or are to be read again after this time.
    pub outcome_reads: HashMap<JobId, Micros>,
    /// Reading what the mirror lacks is under way, asked for at this time.
    pub refresh_in_flight: bool,
    pub refresh_sent_at: Micros,
    pub refresh_at: Micros,
    /// Queries that the read under way answers, and those that the next one will.
    pub current_refresh_waiters: Vec<RefreshWaiter>,
    pub next_refresh_waiters: Vec<RefreshWaiter>,
}

impl JobApi {
    /// The request of a connection is not answered in time.
    pub fn abandon(&mut self, conn: u64) {
        self.accepts_in_flight.remove(&conn);
        self.dependency_checks.remove(&conn);
    }

    pub(super) fn submit(&mut self, port: &mut Outbox, conn: u64, body: &[u8]) {
        port.reply_deadlines
            .insert(conn, port.clock.now + SUBMIT_TIMEOUT);
        let (map, id) = match api::parse_json_object(body) {
            Ok(parsed) => parsed,
            Err(refusal) => return port.reply_refusal(conn, &refusal),
        };
        let checked = api::parse_submission(&map).and_then(|mut submission| {
            check_submission(port, &mut submission)?;
            Ok(Box::new(submission))
        });
        let wait = port.budget.change_wait();
        if wait > SUBMIT_TIMEOUT && (id.is_some() || checked.is_ok()) {
            // More than can be written in time is queued already: better said now than later.
            return port.reply_overloaded(conn, wait);
        }
        match (id, checked) {
            (Some(id), Ok(submission))
                if self.job_replica.final_view(&id).is_none() && !self.job_replica.is_live(&id) =>
            {
                self.accept(port, conn, id, submission);
            }
            // A known job gets its state, whatever this body would be answered with.
            (Some(id), checked) => {
                self.look_up_live_job(port, id, LookupWaiter::Submit(conn, checked))
            }
            (None, Err(refusal)) => port.reply_refusal(conn, &refusal),
            (None, Ok(_)) => port.reply_refusal(conn, &Refusal::Malformed("id: missing".into())),
        }
    }

    /// Accepts a submission, if it is certain that all jobs which it names were. What is known of a
    /// job here shows that, however old; what is not known is read.
    pub(super) fn accept(
        &mut self,
        port: &mut Outbox,
        conn: u64,
        id: JobId,
        submission: Box<Submission>,
    ) {
        if submission
            .waits_on
            .iter()
            .all(|u| self.job_replica.dependency_outcome(u) != DependencyOutcome::Unknown)
        {
            self.accept_queue.push_back((conn, id, submission));
        } else if self.next_refresh_waiters.len() >= MAX_WAITING_QUERIES {
            port.reply_overloaded(conn, SECOND);
        } else {
            self.next_refresh_waiters
                .push(RefreshWaiter::Submit(conn, id, submission));
            self.refresh(port);
        }
    }

    /// The copy of what is alive has been brought up to the present. A job that a submission names
    /// and that is not alive now is over, or was never accepted before the submission came.
    pub(super) fn check_dependencies(
        &mut self,
        port: &mut Outbox,
        conn: u64,
        job: JobId,
        submission: Box<Submission>,
    ) {
        if !port.reply_deadlines.contains_key(&conn) {
            return;
        }
        if self.job_replica.is_live(&job) {
            return self.look_up_live_job(port, job, LookupWaiter::Submit(conn, Ok(submission)));
        }
        let unknown =
            |u: &&JobId| self.job_replica.dependency_outcome(u) == DependencyOutcome::Unknown;
        let unread: Vec<JobId> = submission
            .waits_on
            .iter()
            .filter(unknown)
            .cloned()
            .collect();
        if unread.is_empty() {
            return self.accept_queue.push_back((conn, job, submission));
        }
        self.dependency_checks.insert(
            conn,
            DependencyCheck {
                job,
                submission,
                unread_dependencies: unread.len(),
            },
        );
        for job in unread {
            let key = format!("{}{job}", store::FINISHED_JOB_PREFIX);
            port.send_to_store(
                Urgency::User,
                StoreRequest::get(&key),
                PendingRequest::ReadNamedJob {
                    connection: conn,
                    job,
                },
            );
        }
    }

    pub(super) fn handle_named_job_answer(
        &mut self,
        port: &mut Outbox,
        conn: u64,
        job: JobId,
        answer: CallResult,
    ) {
        let end = finished_view_of_answer(&answer);
        if let Some(view) = &end {
            self.job_replica.record_end(job.clone(), view.clone());
        }
        let Some(naming) = self.dependency_checks.get_mut(&conn) else {
            return;
        };
        match (end, answer) {
            (Some(_), _) => {
                naming.unread_dependencies -= 1;
                if naming.unread_dependencies == 0 {
                    let Some(n) = self.dependency_checks.remove(&conn) else {
                        return;
                    };
                    self.accept_queue.push_back((conn, n.job, n.submission));
                }
            }
            (None, Ok(Answer { status: 404, .. })) => {
                self.dependency_checks.remove(&conn);
                let why = format!("waits_on: no such job as {job}");
                port.reply_refusal(conn, &Refusal::Impossible(why));
            }
            _ => {
                self.dependency_checks.remove(&conn);
                port.reply_unavailable(conn);
            }
        }
    }

    /// The record of a job that is accepted now. What it waits for and is done already is left out.
    pub(super) fn job_record(
        &self,
        port: &mut Outbox,
        submission: &Submission,
    ) -> (Box<serde_json::value::RawValue>, usize) {
        let at = port.clock.unix_time;
        let spec = submission.spec.clone();
        let fates = submission
            .waits_on
            .iter()
            .map(|u| (u, self.job_replica.dependency_outcome(u)));
        let (mut open, mut cancelled) = (Vec::new(), false);
        for (u, fate) in fates.filter(|f| f.1 != DependencyOutcome::Done) {
            open.push(u.clone());
            cancelled |= fate == DependencyOutcome::Cancelled;
        }
        if open.is_empty() {
            let block = port.choose_home_shard(&spec);
            (
                JobRecord {
                    shard: block,
                    ..JobRecord::new(spec, at)
                }
                .to_value(),
                0,
            )
        } else {
            (
                store::to_raw_value(&WaitingRecord::new(spec, at, cancelled, &open)),
                open.len(),
            )
        }
    }

    /// A new configuration is in force: what was refused by the one before is to be asked again.
    pub(super) fn handle_new_configuration(&mut self) {
        let waiters = self
            .lookups
            .values_mut()
            .flat_map(|l| l.current.iter_mut().chain(&mut l.next));
        for waiter in waiters {
            if let LookupWaiter::Submit(_, checked @ Err(Refusal::Impossible(_))) = waiter {
                *checked = Err(Refusal::ConfigurationChanging);
            }
        }
    }

    /// Checks those again that were checked by an older configuration.
    fn recheck_queued(&mut self, port: &mut Outbox) {
        let version = port.configuration.version();
        for (conn, id, mut submission) in std::mem::take(&mut self.accept_queue) {
            if submission.configuration_version == version {
                self.accept_queue.push_back((conn, id, submission));
                continue;
            }
            match check_submission(port, &mut submission) {
                Ok(()) => self.accept_queue.push_back((conn, id, submission)),
                Err(refusal) => {
                    self.look_up_live_job(port, id, LookupWaiter::Submit(conn, Err(refusal)))
                }
            }
        }
    }

    /// Submissions that came together are accepted in one transaction.
    pub(super) fn send_accepts(&mut self, port: &mut Outbox) {
        if self.accept_queue.is_empty() {
            return;
        }
        if !port.configuration.is_settled() {
            // There is a newer configuration to check them by, which is being read.
            self.accept_queue
                .retain(|a| port.reply_deadlines.contains_key(&a.0));
            return;
        }
        self.recheck_queued(port);
        let max = port.settings.txn_ops.min(8);
        while !self.accept_queue.is_empty() {
            let mut commit = Transaction::default();
            // None is accepted by an older configuration: where there is a newer one, all of this fails.
            commit.guard(CURRENT_VERSION_KEY, port.configuration.guard_version());
            let mut jobs: Vec<(u64, JobId)> = Vec::new();
            let mut left = VecDeque::new();
            while let Some((conn, id, spec)) = self.accept_queue.pop_front() {
                if jobs.len() >= max || jobs.iter().any(|j| j.1 == id) {
                    left.push_back((conn, id, spec));
                    continue;
                }
                let live = format!("{}{id}", store::LIVE_JOB_PREFIX);
                let (value, waits) = self.job_record(port, &spec);
                if value.get().len() + store::VALUE_SLACK_BYTES > port.settings.value_bytes {
                    let field = if waits > 0 { "waits_on: " } else { "" };
                    let why = format!("{field}the description is too long to be kept");
                    port.reply(conn, Response::error(400, why));
                    continue;
                }
                commit.guard(&live, 0);
                commit.guard(&format!("{}{id}", store::FINISHED_JOB_PREFIX), 0);
                commit.put(&live, value, None);
                self.accepts_in_flight.insert(conn, spec);
                jobs.push((conn, id));
            }
            self.accept_queue = left;
            if !jobs.is_empty() {
                port.send_to_store(
                    Urgency::User,
                    commit.to_request(),
                    PendingRequest::AcceptJobs { jobs },
                );
            }
        }
    }

    pub(super) fn handle_accept_answer(
        &mut self,
        port: &mut Outbox,
        jobs: Vec<(u64, JobId)>,
        answer: CallResult,
    ) {
        let status = answer.as_ref().ok().map(|a| a.status);
        let stamp = commit_version(&answer);
        let failed = answer
            .ok()
            .filter(|answer| answer.status == 409)
            .and_then(|answer| answer.decode::<Conflict>())
            .map_or_else(Vec::new, |c| c.failed_keys);
        if failed.iter().any(|k| k == CURRENT_VERSION_KEY) {
            port.configuration.mark_unconfirmed(port.clock.now);
        }
        for (conn, id) in jobs {
            let Some(spec) = self.accepts_in_flight.remove(&conn) else {
                continue;
            };
            match status {
                Some(200) => {
                    let (class, tasks) = (&spec.spec.class, spec.spec.tasks);
                    let waits_on = spec.waits_on.len();
                    tracing::info!(job = %id, %class, tasks, waits_on, "accepted");
                    let view = JobView::new(JobStatus::Pending, 0);
                    port.reply(conn, api::job_response(201, &id, &view));
                    port.events.push(Event::JobChanged(id.clone(), stamp));
                }
                // One of them was known already: the others are tried again without it.
                Some(409) if !failed.is_empty() && !failed.iter().any(|k| k.ends_with(&*id)) => {
                    self.accept_queue.push_back((conn, id, spec));
                }
                Some(409) => self.look_up_live_job(port, id, LookupWaiter::Submit(conn, Ok(spec))),
                // Perhaps carried out, perhaps later: only reading tells.
                None => self.look_up_live_job(port, id, LookupWaiter::Confirm(conn)),
                Some(_) => port.reply_unavailable(conn),
            }
        }
    }
}

/// Whether a job can ever run, by the configuration in force here.
fn check_submission(port: &Outbox, submission: &mut Submission) -> Result<(), Refusal> {
    submission.configuration_version = port.configuration.version();
    api::admit(
        &mut submission.spec,
        &port.settings.teams,
        &port.machine_types,
    )
}

/// The version a transaction was carried out at, as its answer has it. An answer that cannot be
/// read is taken for the newest: the job is then looked at.
pub(super) fn commit_version(result: &CallResult) -> u64 {
    let answer = result.as_ref().ok();
    let done = answer.and_then(|answer| answer.decode::<Committed>());
    done.map_or(u64::MAX, |c| c.version)
}
