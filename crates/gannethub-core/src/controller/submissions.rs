//! Intake: submissions, from the request to the answer that the job is in the state service. Queries and cancellations
//! are beside it, in [`queries`](super::queries), with the copy of what is live that both go by.

use std::collections::{HashMap, VecDeque};

use bytes::Bytes;

use super::outbox::{News, Port, Purpose};
use super::queries::end_of;
use crate::http::Response;
use crate::model::{JobId, Micros, SECOND};
use crate::state::job_replica::JobReplica;
use crate::state::pipeline::DependencyOutcome;
use crate::wire::api::{self, JobView, Refusal, Status, Submission};
use crate::wire::budget::Urgency;
use crate::wire::configuration::CURRENT;
use crate::wire::store::{
    self, Commit, Committed, Conflict, JobRecord, StoreRequest, WaitingRecord,
};

pub(super) const POLL_PATIENCE: Micros = 1_700_000;
pub(super) const SUBMIT_PATIENCE: Micros = 2_500_000;
/// Queries that may wait for one read; more are told to come back.
pub(super) const MAX_ASKING: usize = 4000;

/// Why a job is being looked up.
#[derive(Debug)]
pub(super) enum Waiter {
    Poll(u64),
    Cancel(u64),
    /// A submission, with what to answer if the job is not known.
    Submit(u64, Result<Box<Submission>, Refusal>),
    /// The commit of an acceptance had no answer: found means accepted.
    Confirm(u64),
}

impl Waiter {
    pub fn conn(&self) -> u64 {
        match self {
            Waiter::Poll(c) | Waiter::Cancel(c) | Waiter::Submit(c, _) | Waiter::Confirm(c) => *c,
        }
    }
}

/// Who waits for the next read of what has changed.
#[derive(Debug)]
pub(super) enum Asker {
    Query(u64, JobId),
    /// A submission that names jobs which are not known here yet.
    Submit(u64, JobId, Box<Submission>),
}

impl Asker {
    pub fn conn(&self) -> u64 {
        match self {
            Asker::Query(c, _) | Asker::Submit(c, ..) => *c,
        }
    }
}

/// A submission that waits for reads of jobs that it names.
#[derive(Debug)]
pub(super) struct Naming {
    job: JobId,
    submission: Box<Submission>,
    unread: usize,
}

/// A read that answers those who asked before it began; later askers wait for the next one, so
/// that nobody is told something older than what another controller has said already.
#[derive(Debug, Default)]
pub(super) struct Lookup {
    pub now: Vec<Waiter>,
    pub next: Vec<Waiter>,
}

#[derive(Default)]
pub(super) struct Intake {
    pub mirror: JobReplica,
    pub lookups: HashMap<JobId, Lookup>,
    accepting: VecDeque<(u64, JobId, Box<Submission>)>,
    accept_specs: HashMap<u64, Box<Submission>>,
    naming: HashMap<u64, Naming>,
    /// Jobs whose ends are being read, or are to be read again after this time.
    pub ends_asked: HashMap<JobId, Micros>,
    /// Reading what the mirror lacks is under way, asked for at this time.
    pub refreshing: bool,
    pub refresh_sent: Micros,
    pub refresh_at: Micros,
    /// Queries that the read under way answers, and those that the next one will.
    pub answering: Vec<Asker>,
    pub asking: Vec<Asker>,
}

impl Intake {
    /// The request of a connection is not answered in time.
    pub fn give_up(&mut self, conn: u64) {
        self.accept_specs.remove(&conn);
        self.naming.remove(&conn);
    }

    pub(super) fn submit(&mut self, port: &mut Port, conn: u64, body: &[u8]) {
        port.deadlines
            .insert(conn, port.clock.now + SUBMIT_PATIENCE);
        let (map, id) = match api::parse_object(body) {
            Ok(parsed) => parsed,
            Err(refusal) => return port.refuse(conn, &refusal),
        };
        let checked = api::parse_submission(&map).and_then(|mut submission| {
            check(port, &mut submission)?;
            Ok(Box::new(submission))
        });
        let wait = port.budget.wait();
        if wait > SUBMIT_PATIENCE && (id.is_some() || checked.is_ok()) {
            // More than can be written in time is queued already: better said now than later.
            return port.too_much(conn, wait);
        }
        match (id, checked) {
            (Some(id), Ok(submission))
                if self.mirror.final_view(&id).is_none() && !self.mirror.is_live(&id) =>
            {
                self.accept(port, conn, id, submission);
            }
            // A known job gets its state, whatever this body would be answered with.
            (Some(id), checked) => self.look(port, id, Waiter::Submit(conn, checked)),
            (None, Err(refusal)) => port.refuse(conn, &refusal),
            (None, Ok(_)) => port.refuse(conn, &Refusal::Malformed("id: missing".into())),
        }
    }

    /// Accepts a submission, if it is certain that all jobs which it names were. What is known of a
    /// job here shows that, however old; what is not known is read.
    pub(super) fn accept(
        &mut self,
        port: &mut Port,
        conn: u64,
        id: JobId,
        submission: Box<Submission>,
    ) {
        if submission
            .waits_on
            .iter()
            .all(|u| self.mirror.dependency_outcome(u) != DependencyOutcome::Unknown)
        {
            self.accepting.push_back((conn, id, submission));
        } else if self.asking.len() >= MAX_ASKING {
            port.too_much(conn, SECOND);
        } else {
            self.asking.push(Asker::Submit(conn, id, submission));
            self.refresh(port);
        }
    }

    /// The copy of what is alive has been brought up to the present. A job that a submission names
    /// and that is not alive now is over, or was never accepted before the submission came.
    pub(super) fn check_named(
        &mut self,
        port: &mut Port,
        conn: u64,
        job: JobId,
        submission: Box<Submission>,
    ) {
        if !port.deadlines.contains_key(&conn) {
            return;
        }
        if self.mirror.is_live(&job) {
            return self.look(port, job, Waiter::Submit(conn, Ok(submission)));
        }
        let unknown = |u: &&JobId| self.mirror.dependency_outcome(u) == DependencyOutcome::Unknown;
        let unread: Vec<JobId> = submission
            .waits_on
            .iter()
            .filter(unknown)
            .cloned()
            .collect();
        if unread.is_empty() {
            return self.accepting.push_back((conn, job, submission));
        }
        self.naming.insert(
            conn,
            Naming {
                job,
                submission,
                unread: unread.len(),
            },
        );
        for job in unread {
            let key = format!("{}{job}", store::OVER);
            port.send(
                Urgency::User,
                StoreRequest::get(&key),
                Purpose::Named { conn, job },
            );
        }
    }

    pub(super) fn named(
        &mut self,
        port: &mut Port,
        conn: u64,
        job: JobId,
        answer: Option<(u16, Bytes)>,
    ) {
        let end = answer.as_ref().and_then(end_of);
        if let Some(view) = &end {
            self.mirror.record_end(job.clone(), view.clone());
        }
        let Some(naming) = self.naming.get_mut(&conn) else {
            return;
        };
        match (end, answer) {
            (Some(_), _) => {
                naming.unread -= 1;
                if naming.unread == 0 {
                    let Some(n) = self.naming.remove(&conn) else {
                        return;
                    };
                    self.accepting.push_back((conn, n.job, n.submission));
                }
            }
            (None, Some((404, _))) => {
                self.naming.remove(&conn);
                let why = format!("waits_on: no such job as {job}");
                port.refuse(conn, &Refusal::Impossible(why));
            }
            _ => {
                self.naming.remove(&conn);
                port.unavailable(conn);
            }
        }
    }

    /// The record of a job that is accepted now. What it waits for and is done already is left out.
    pub(super) fn record(
        &self,
        port: &mut Port,
        submission: &Submission,
    ) -> (Box<serde_json::value::RawValue>, usize) {
        let at = port.clock.wall;
        let spec = submission.spec.clone();
        let fates = submission
            .waits_on
            .iter()
            .map(|u| (u, self.mirror.dependency_outcome(u)));
        let (mut open, mut cancelled) = (Vec::new(), false);
        for (u, fate) in fates.filter(|f| f.1 != DependencyOutcome::Done) {
            open.push(u.clone());
            cancelled |= fate == DependencyOutcome::Cancelled;
        }
        if open.is_empty() {
            let block = port.home(&spec);
            (
                JobRecord {
                    block,
                    ..JobRecord::new(spec, at)
                }
                .value(),
                0,
            )
        } else {
            (
                store::raw(&WaitingRecord::new(spec, at, cancelled, &open)),
                open.len(),
            )
        }
    }

    /// A new configuration is in force: what was refused by the one before is to be asked again.
    pub(super) fn configured(&mut self) {
        let waiters = self
            .lookups
            .values_mut()
            .flat_map(|l| l.now.iter_mut().chain(&mut l.next));
        for waiter in waiters {
            if let Waiter::Submit(_, checked @ Err(Refusal::Impossible(_))) = waiter {
                *checked = Err(Refusal::Changing);
            }
        }
    }

    /// Checks those again that were checked by an older configuration.
    fn check_again(&mut self, port: &mut Port) {
        let version = port.configuring.version();
        for (conn, id, mut submission) in std::mem::take(&mut self.accepting) {
            if submission.checked_under == version {
                self.accepting.push_back((conn, id, submission));
                continue;
            }
            match check(port, &mut submission) {
                Ok(()) => self.accepting.push_back((conn, id, submission)),
                Err(refusal) => self.look(port, id, Waiter::Submit(conn, Err(refusal))),
            }
        }
    }

    /// Submissions that came together are accepted in one transaction.
    pub(super) fn flush_accepts(&mut self, port: &mut Port) {
        if self.accepting.is_empty() {
            return;
        }
        if !port.configuring.settled() {
            // There is a newer configuration to check them by, which is being read.
            self.accepting.retain(|a| port.deadlines.contains_key(&a.0));
            return;
        }
        self.check_again(port);
        let max = port.settings.txn_ops.min(8);
        while !self.accepting.is_empty() {
            let mut commit = Commit::default();
            // None is accepted by an older configuration: where there is a newer one, all of this fails.
            commit.guard(CURRENT, port.configuring.guard());
            let mut jobs: Vec<(u64, JobId)> = Vec::new();
            let mut left = VecDeque::new();
            while let Some((conn, id, spec)) = self.accepting.pop_front() {
                if jobs.len() >= max || jobs.iter().any(|j| j.1 == id) {
                    left.push_back((conn, id, spec));
                    continue;
                }
                let live = format!("{}{id}", store::LIVE);
                let (value, waits) = self.record(port, &spec);
                if value.get().len() + store::SLACK > port.settings.value_bytes {
                    let field = if waits > 0 { "waits_on: " } else { "" };
                    let why = format!("{field}the description is too long to be kept");
                    port.reply(conn, Response::error(400, why));
                    continue;
                }
                commit.guard(&live, 0);
                commit.guard(&format!("{}{id}", store::OVER), 0);
                commit.put(&live, value, None);
                self.accept_specs.insert(conn, spec);
                jobs.push((conn, id));
            }
            self.accepting = left;
            if !jobs.is_empty() {
                port.send(Urgency::User, commit.request(), Purpose::Accept { jobs });
            }
        }
    }

    pub(super) fn accepted(
        &mut self,
        port: &mut Port,
        jobs: Vec<(u64, JobId)>,
        answer: Option<(u16, Bytes)>,
    ) {
        let status = answer.as_ref().map(|a| a.0);
        let stamp = committed(answer.as_ref());
        let failed = answer
            .filter(|a| a.0 == 409)
            .and_then(|a| serde_json::from_slice::<Conflict>(&a.1).ok())
            .map_or_else(Vec::new, |c| c.failed);
        if failed.iter().any(|k| k == CURRENT) {
            port.configuring.doubt(port.clock.now);
        }
        for (conn, id) in jobs {
            let Some(spec) = self.accept_specs.remove(&conn) else {
                continue;
            };
            match status {
                Some(200) => {
                    let (class, tasks) = (&spec.spec.class, spec.spec.tasks);
                    let waits_on = spec.waits_on.len();
                    tracing::info!(job = %id, %class, tasks, waits_on, "accepted");
                    let view = JobView::new(Status::Pending, 0);
                    port.reply(conn, api::answer(201, &id, &view));
                    port.news.push(News::Changed(id.clone(), stamp));
                }
                // One of them was known already: the others are tried again without it.
                Some(409) if !failed.is_empty() && !failed.iter().any(|k| k.ends_with(&*id)) => {
                    self.accepting.push_back((conn, id, spec));
                }
                Some(409) => self.look(port, id, Waiter::Submit(conn, Ok(spec))),
                // Perhaps carried out, perhaps later: only reading tells.
                None => self.look(port, id, Waiter::Confirm(conn)),
                Some(_) => port.unavailable(conn),
            }
        }
    }
}

/// Whether a job can ever run, by the configuration in force here.
fn check(port: &Port, submission: &mut Submission) -> Result<(), Refusal> {
    submission.checked_under = port.configuring.version();
    api::admit(&mut submission.spec, &port.settings.teams, &port.flavors)
}

/// The version a transaction was carried out at, as its answer has it. An answer that cannot be
/// read is taken for the newest: the job is then looked at.
pub(super) fn committed(answer: Option<&(u16, Bytes)>) -> u64 {
    let done = answer.and_then(|a| serde_json::from_slice::<Committed>(&a.1).ok());
    done.map_or(u64::MAX, |c| c.ledger_no)
}
