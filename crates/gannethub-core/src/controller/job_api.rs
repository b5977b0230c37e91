//! The users' job API: submissions, queries, cancellations and reads of the ledger, and the replica of all live jobs that
//! they are answered from. This module holds the state that its parts share:
//!
//! | part | what it does |
//! | --- | --- |
//! | [`submissions`](super::submissions) | checks submissions and the jobs that they name |
//! | [`acceptance`](super::acceptance) | stores accepted jobs |
//! | [`queries`](super::queries) | answers queries, and keeps the replica up to date |
//! | [`job_lookups`](super::job_lookups) | reads single jobs that the replica does not show |
//! | [`cancellations`](super::cancellations) | stores cancellations |
//! | [`dependency_outcomes`](super::dependency_outcomes) | reads how jobs ended that other jobs wait for |
//! | [`ledger_queries`](super::ledger_queries) | shows users the ledger |

use std::collections::{HashMap, VecDeque};

use crate::http::CallResult;
use crate::model::{JobId, Micros};
use crate::state::job_replica::JobReplica;
use crate::wire::api::{Refusal, Submission};
use crate::wire::store::Committed;

/// A query is answered within this time, or refused.
pub(super) const QUERY_TIMEOUT: Micros = 1_700_000;
/// A submission or a cancellation is answered within this time, or refused.
pub(super) const SUBMIT_TIMEOUT: Micros = 2_500_000;
/// Requests that may wait for one refresh of the replica; more are told to come back.
pub(super) const MAX_WAITING_QUERIES: usize = 4000;

/// Why a job is being looked up.
#[derive(Debug)]
pub(super) enum LookupReason {
    /// A query.
    Query,
    /// A cancellation.
    Cancel,
    /// A submission, with what follows if the job is not known.
    Submit(Result<Box<Submission>, Refusal>),
    /// The transaction that was to accept the job had no answer: if the job is found, it was accepted.
    Confirm,
}

/// A request that waits for a job to be looked up.
#[derive(Debug)]
pub(super) struct LookupWaiter {
    pub connection: u64,
    pub reason: LookupReason,
}

impl LookupWaiter {
    pub fn new(connection: u64, reason: LookupReason) -> LookupWaiter {
        LookupWaiter { connection, reason }
    }
}

/// The look-up of a job. It answers those who asked before it began; later ones wait for the next, so that nobody is told
/// something older than what another controller has said already.
#[derive(Debug, Default)]
pub(super) struct Lookup {
    pub current: Vec<LookupWaiter>,
    pub next: Vec<LookupWaiter>,
}

/// A submission that can be accepted.
#[derive(Debug)]
pub(super) struct QueuedSubmission {
    pub connection: u64,
    pub job: JobId,
    pub submission: Box<Submission>,
}

/// A request that waits for the replica to be refreshed.
#[derive(Debug)]
pub(super) enum RefreshWaiter {
    Query {
        connection: u64,
        job: JobId,
    },
    /// A submission that names jobs which are not known here yet.
    Submit(QueuedSubmission),
}

impl RefreshWaiter {
    pub fn connection(&self) -> u64 {
        match self {
            RefreshWaiter::Query { connection, .. } => *connection,
            RefreshWaiter::Submit(queued) => queued.connection,
        }
    }
}

/// A submission that waits for reads of jobs that it names.
#[derive(Debug)]
pub(super) struct DependencyCheck {
    pub queued: QueuedSubmission,
    pub unread_dependencies: usize,
}

/// A job that was accepted or cancelled here, in this version of the state service.
#[derive(Debug)]
pub(super) struct JobChange {
    pub job: JobId,
    pub version: u64,
}

/// See the [module](self).
#[derive(Default)]
pub(super) struct JobApi {
    pub job_replica: JobReplica,
    /// Jobs that are being looked up.
    pub lookups: HashMap<JobId, Lookup>,
    /// Submissions that go into the next transactions.
    pub accept_queue: VecDeque<QueuedSubmission>,
    /// Submissions in transactions that are not answered yet, by their connection.
    pub accepts_in_flight: HashMap<u64, Box<Submission>>,
    /// Submissions that wait for reads of jobs that they name, by their connection.
    pub dependency_checks: HashMap<u64, DependencyCheck>,
    /// Jobs whose ends are being read, each until when it is not to be read again.
    pub outcome_reads: HashMap<JobId, Micros>,
    /// The replica is being read or refreshed, by a request that was sent at this time.
    pub refresh_in_flight: bool,
    pub refresh_sent_at: Micros,
    /// The next refresh is made no sooner than this.
    pub refresh_at: Micros,
    /// Those whom the present refresh answers, and those whom the next one will.
    pub current_refresh_waiters: Vec<RefreshWaiter>,
    pub next_refresh_waiters: Vec<RefreshWaiter>,
    /// Changes that were made here and that the shards' owners have not been told of yet.
    pub job_changes: Vec<JobChange>,
}

impl JobApi {
    /// The request on this connection was not answered in time: nothing more is done for it.
    pub fn abandon(&mut self, connection: u64) {
        self.accepts_in_flight.remove(&connection);
        self.dependency_checks.remove(&connection);
    }
}

/// The version of the state service that a transaction was carried out at, as its answer has it. An answer that cannot be
/// parsed is taken for the newest: the job is then read.
pub(super) fn committed_version(result: &CallResult) -> u64 {
    let answer = result.as_ref().ok();
    let committed = answer.and_then(|answer| answer.decode::<Committed>());
    committed.map_or(u64::MAX, |committed| committed.version)
}
