//! The users' job API: submissions, queries, cancellations and reads of the ledger, and the replica of all live jobs
//! from which queries are answered. This module holds the state that the other modules of the API share:
//!
//! | module | purpose |
//! | --- | --- |
//! | [`submissions`](super::submissions) | checks submissions and the jobs that they name |
//! | [`acceptance`](super::acceptance) | stores accepted jobs |
//! | [`queries`](super::queries) | answers queries and keeps the replica up to date |
//! | [`job_lookups`](super::job_lookups) | reads single jobs for which the replica has no answer |
//! | [`cancellations`](super::cancellations) | stores cancellations |
//! | [`cancellation_confirmation`](super::cancellation_confirmation) | tells users of cancellations |
//! | [`dependency_outcomes`](super::dependency_outcomes) | reads the outcomes of upstream jobs |
//! | [`ledger_queries`](super::ledger_queries) | serves the ledger to users |

use std::collections::{HashMap, VecDeque};

use super::pending_confirmations::PendingConfirmations;
use crate::http::CallResult;
use crate::model::{JobId, Micros};
use crate::state::job_replica::JobReplica;
use crate::wire::api::{Refusal, Submission};
use crate::wire::peer::{Body, JobChangeKind, JobChanged};
use crate::wire::store::Committed;

/// Maximum time in which a query is answered or refused.
pub(super) const QUERY_TIMEOUT: Micros = 1_700_000;
/// Maximum time in which a submission or a cancellation is answered or refused.
pub(super) const SUBMIT_TIMEOUT: Micros = 2_500_000;
/// Maximum number of requests that wait for one refresh of the replica. Further requests are told to retry later.
pub(super) const MAX_WAITING_QUERIES: usize = 4000;

/// Reason for which a job is looked up.
#[derive(Debug)]
pub(super) enum LookupReason {
    Query,
    Cancel,
    /// A submission. If the job turns out to be unknown, an `Ok` submission is accepted and an `Err` refusal is the
    /// answer.
    Submit(Result<Box<Submission>, Refusal>),
    /// A transaction to accept the job got no answer. If the look-up finds the job, the job was accepted.
    Confirm,
}

/// A request that waits for the look-up of a job.
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

/// The look-up of a job. Its answer goes only to requests that arrived before the look-up was sent. Later requests
/// wait for the next look-up, since an earlier read may return an older state than another controller has already
/// told a user.
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

/// A request that waits for a refresh of the replica.
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

/// A submission that waits for reads of the jobs that it names.
#[derive(Debug)]
pub(super) struct DependencyCheck {
    pub queued: QueuedSubmission,
    pub unread_dependencies: usize,
}

/// A job that this controller accepted or cancelled, with the version of the state service at which the change was
/// made.
#[derive(Debug)]
pub(super) struct JobChange {
    pub job: JobId,
    pub version: u64,
    pub kind: JobChangeKind,
    /// The shard in which the tasks of a cancelled job run.
    pub shard: u32,
}

impl JobChange {
    /// Returns the message that announces the change to the shard owners.
    pub fn to_message(&self) -> Body {
        Body::JobChanged(JobChanged {
            job: self.job.to_string(),
            version: self.version,
            kind: self.kind.into(),
            shard: self.shard,
        })
    }
}

/// State of the job API, which its [parts](self) share.
#[derive(Default)]
pub(super) struct JobApi {
    pub job_replica: JobReplica,
    /// Look-ups in progress, by job.
    pub lookups: HashMap<JobId, Lookup>,
    /// Submissions to be accepted by the next transactions.
    pub accept_queue: VecDeque<QueuedSubmission>,
    /// Submissions in transactions that have no answer yet, by connection.
    pub accepts_in_flight: HashMap<u64, Box<Submission>>,
    /// Submissions that wait for reads of the jobs that they name, by connection.
    pub dependency_checks: HashMap<u64, DependencyCheck>,
    /// Jobs whose outcomes are being read, each with the time before which its outcome is not read again.
    pub outcome_reads: HashMap<JobId, Micros>,
    /// Whether a request that reads or refreshes the replica is in flight. The request was sent at `refresh_sent_at`.
    pub refresh_in_flight: bool,
    pub refresh_sent_at: Micros,
    /// Earliest time of the next refresh.
    pub refresh_at: Micros,
    /// Requests that the refresh in flight answers; `next_refresh_waiters` are answered by the one after it.
    pub current_refresh_waiters: Vec<RefreshWaiter>,
    pub next_refresh_waiters: Vec<RefreshWaiter>,
    /// Stored cancellations of which users may not be told yet.
    pub confirmations: PendingConfirmations,
    /// Changes made by this controller of which the shard owners have not been told yet.
    pub job_changes: Vec<JobChange>,
}

impl JobApi {
    /// Drops the state of a request that was not answered in time. The answers to the transaction and the reads that
    /// were sent for the request are not acted on for it any more.
    pub fn drop_request(&mut self, connection: u64) {
        self.accepts_in_flight.remove(&connection);
        self.dependency_checks.remove(&connection);
        self.confirmations.drop_connection(connection);
    }
}

/// Returns the version of the state service at which a transaction was committed, as its answer states. An answer
/// that cannot be parsed counts as the newest version, so that the job is then read.
pub(super) fn committed_version(result: &CallResult) -> u64 {
    let answer = result.as_ref().ok();
    let committed = answer.and_then(|answer| answer.decode::<Committed>());
    committed.map_or(u64::MAX, |committed| committed.version)
}
