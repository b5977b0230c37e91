//! Why each request to the state service was sent, so that its answer finds its way back to the part of the controller
//! that sent it.

use super::config_watch::ConfigurationRead;
use super::load_stage::LoadStage;
use crate::model::{JobId, Micros};
use crate::state::writes::WriteBatch;
use crate::wire::api::JobView;
use crate::wire::store::LeaseRecord;

/// A request to the state service that has not been answered yet.
#[derive(Debug)]
pub(super) enum PendingRequest {
    /// Of the election of a leader.
    Membership(MembershipRequest),
    /// Of the leases on shards other than 0.
    ShardAssignment(AssignmentRequest),
    /// Of a shard's owner in this term. The answer is dropped if the shard is no longer owned in that term.
    ShardOwner { term: u64, request: OwnerRequest },
    /// Of the users' job API.
    JobApi(JobApiRequest),
    /// Of the configuration watch.
    Configuration(ConfigurationRead),
    /// A lease in the state service that is given back.
    RevokeStoreLease { shard: u32, store_lease: u64 },
}

impl PendingRequest {
    /// Whether the answer may rightly take long, since the state service holds it back until something changes.
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

/// A lease in the state service that was asked for to own a shard.
#[derive(Clone, Copy, Debug)]
pub(super) struct AcquiredLease {
    pub shard: u32,
    /// The lease's number in the state service.
    pub store_lease: u64,
    /// When the lease was asked for. Its duration counts from here on this process's clock.
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
    /// Reads who leads.
    Probe,
    /// Acquires a lease to lead with.
    AcquireLease { requested_at: Micros },
    /// Takes over as leader.
    TakeOver(Takeover),
}

/// Requests of [`ShardAssignments`](super::shard_assignment::ShardAssignments).
#[derive(Debug)]
pub(super) enum AssignmentRequest {
    /// Reads who owns the shards.
    Probe,
    /// Acquires a lease to own a shard with.
    AcquireLease { shard: u32, requested_at: Micros },
    /// Reads all terms before a shard is taken over.
    ReadTerms(AcquiredLease),
    /// Takes over a shard.
    TakeOver(Takeover),
}

/// Requests of a [`ShardOwner`](super::shard_owner::ShardOwner).
#[derive(Debug)]
pub(super) enum OwnerRequest {
    /// Renews the lease in the state service.
    RenewLease { sent_at: Micros },
    /// Reads a page of what the state service holds for the shard.
    Load { stage: LoadStage },
    /// Reads where the ledger stands.
    LoadLedgerHead,
    /// Waits for changes of jobs.
    Watch,
    /// Reads what has changed beside the watch.
    CatchUp { sent_at: Micros },
    /// Writes what has changed in memory.
    Write { batch: WriteBatch },
    /// Reads a key whose stored value is in doubt.
    Reread { key: String },
    /// Reads the end of a job that is no longer among the live ones.
    ReadFinishedJob { job: JobId },
    /// Reads whose a finished job was, for the ledger.
    ReadJobOwner { job: JobId },
    /// Reads machines that were given to the shard.
    ReadTransfers,
    /// Reads the quota partitions of all shards.
    ReadQuotaPartitions,
    /// Writes quota partitions.
    WriteQuotaPartitions,
}

/// A job in a transaction that accepts jobs, and the connection that waits for it.
#[derive(Debug)]
pub(super) struct PendingAccept {
    pub connection: u64,
    pub job: JobId,
}

/// Requests of [`JobApi`](super::job_api::JobApi).
#[derive(Debug)]
pub(super) enum JobApiRequest {
    /// Reads the ledger's head or one of its pages for a user; of a page, only one team's lines if a team is named.
    ReadLedger {
        connection: u64,
        team: Option<String>,
    },
    /// Reads the record of one job: its live one, or what is kept of it once it is finished.
    LookUpJob { job: JobId, finished: bool },
    /// Reads how a job ended that other jobs wait for.
    ReadDependency { job: JobId },
    /// Reads whether a job that a submission names was ever accepted.
    ReadNamedJob { connection: u64, job: JobId },
    /// Reads a page of all live jobs, for the replica that queries are answered from.
    ListLiveJobs,
    /// Reads what has changed since the replica was last brought up to date.
    ReadChanges,
    /// Accepts jobs.
    AcceptJobs { jobs: Vec<PendingAccept> },
    /// Cancels a job; `view` is what those who asked are told then.
    CancelJob {
        job: JobId,
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
