//! Purpose of each request to the state service, by which its answer is routed to the part of the controller that
//! sent the request.

use super::config_watch::ConfigurationRead;
use super::load_stage::LoadStage;
use crate::model::{JobId, Micros};
use crate::state::writes::WriteBatch;
use crate::wire::api::JobView;
use crate::wire::store::LeaseRecord;

/// A request to the state service that has no answer yet.
#[derive(Debug)]
pub(super) enum PendingRequest {
    /// Sent for the election of the leader.
    Membership(MembershipRequest),
    /// Sent for the leases on shards other than shard 0.
    ShardAssignment(AssignmentRequest),
    /// Sent by the owner of a shard in this term. The answer is dropped if the shard is no longer owned in that term.
    ShardOwner { term: u64, request: OwnerRequest },
    /// Sent by the users' job API.
    JobApi(JobApiRequest),
    /// Sent by the configuration watch.
    Configuration(ConfigurationRead),
    /// Revokes a store lease.
    RevokeStoreLease { shard: u32, store_lease: u64 },
}

impl PendingRequest {
    /// Whether a late answer is expected, since the state service holds the answer back until something changes.
    pub fn is_watch(&self) -> bool {
        matches!(
            self,
            PendingRequest::ShardOwner {
                request: OwnerRequest::Watch,
                ..
            }
        )
    }
}

/// A store lease that was requested to own a shard.
#[derive(Clone, Copy, Debug)]
pub(super) struct AcquiredLease {
    pub shard: u32,
    /// Number of the store lease.
    pub store_lease: u64,
    /// Time on this process's clock at which the lease was requested. The lease duration counts from this time.
    pub requested_at: Micros,
}

/// A transaction that makes this controller the owner of a shard.
#[derive(Debug)]
pub(super) struct Takeover {
    pub lease: AcquiredLease,
    pub record: LeaseRecord,
}

/// Requests of [`Membership`](super::membership::Membership).
#[derive(Debug)]
pub(super) enum MembershipRequest {
    /// Reads which controller is the leader.
    Probe,
    /// Acquires a store lease for the leader.
    AcquireLease { requested_at: Micros },
    /// Takes over as leader.
    TakeOver(Takeover),
}

/// Requests of [`ShardAssignments`](super::shard_assignment::ShardAssignments).
#[derive(Debug)]
pub(super) enum AssignmentRequest {
    /// Reads the owners of the shards.
    Probe,
    /// Acquires a store lease for the owner of a shard.
    AcquireLease { shard: u32, requested_at: Micros },
    /// Reads the leader's term and the counter of terms, before a takeover of a shard.
    ReadTerms(AcquiredLease),
    /// Takes over a shard.
    TakeOver(Takeover),
}

/// Requests of a [`ShardOwner`](super::shard_owner::ShardOwner).
#[derive(Debug)]
pub(super) enum OwnerRequest {
    /// Renews the store lease.
    RenewLease { sent_at: Micros },
    /// Reads a page of the records that the state service holds for the shard.
    Load { stage: LoadStage },
    /// Reads the head of the ledger.
    LoadLedgerHead,
    /// Waits for changes of jobs.
    Watch,
    /// Reads changes independently of the watch.
    CatchUp { sent_at: Micros },
    /// Writes changes of the state in memory.
    Write { batch: WriteBatch },
    /// Reads a key whose stored value is in doubt.
    Reread { key: String, sent_at: Micros },
    /// Reads the outcome of a job that is no longer live.
    ReadFinishedJob { job: JobId },
    /// Reads the owner of a finished job, for the ledger.
    ReadJobOwner { job: JobId },
    /// Reads the machines that were transferred to the shard.
    ReadTransfers,
    /// Reads the quota partitions of all shards.
    ReadQuotaPartitions,
    /// Writes quota partitions.
    WriteQuotaPartitions,
}

/// A job in a transaction that accepts jobs, and the connection on which its user waits.
#[derive(Debug)]
pub(super) struct PendingAccept {
    pub connection: u64,
    pub job: JobId,
}

/// State of a job whose cancellation is being stored.
#[derive(Clone, Copy, Debug)]
pub(super) enum CancellationTarget {
    /// The job waits for upstream jobs, so no task of it can be started.
    Waiting,
    /// Tasks of the job may be started in this shard.
    Released { shard: u32 },
}

/// Requests of [`JobApi`](super::job_api::JobApi).
#[derive(Debug)]
pub(super) enum JobApiRequest {
    /// Reads the ledger's head or one of its pages for a user. If a team is named, only those lines of the page are
    /// returned that charge the team.
    ReadLedger {
        connection: u64,
        team: Option<String>,
    },
    /// Reads the record of one job: its finished record if `finished` is set, else its live record.
    LookUpJob { job: JobId, finished: bool },
    /// Reads the outcome of an upstream job.
    ReadUpstreamOutcome { job: JobId },
    /// Reads whether a job that a submission names was ever accepted.
    ReadUpstreamJob { connection: u64, job: JobId },
    /// Reads a page of all live jobs, for the replica from which queries are answered.
    ListLiveJobs,
    /// Reads the changes since the last refresh of the replica.
    ReadChanges,
    /// Accepts jobs.
    AcceptJobs { jobs: Vec<PendingAccept> },
    /// Cancels a job. `view` is the answer to the users once the cancellation is stored.
    CancelJob {
        job: JobId,
        target: CancellationTarget,
        connections: Vec<u64>,
        view: JobView,
    },
}

impl From<MembershipRequest> for PendingRequest {
    fn from(request: MembershipRequest) -> PendingRequest {
        PendingRequest::Membership(request)
    }
}

impl From<AssignmentRequest> for PendingRequest {
    fn from(request: AssignmentRequest) -> PendingRequest {
        PendingRequest::ShardAssignment(request)
    }
}

impl From<JobApiRequest> for PendingRequest {
    fn from(request: JobApiRequest) -> PendingRequest {
        PendingRequest::JobApi(request)
    }
}

impl From<ConfigurationRead> for PendingRequest {
    fn from(read: ConfigurationRead) -> PendingRequest {
        PendingRequest::Configuration(read)
    }
}
