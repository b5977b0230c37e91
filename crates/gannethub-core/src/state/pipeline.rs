//! Pipelines of several jobs, as the leader keeps them.
//!
//! Releases and cancellations follow from the contents of the state service alone, so every controller reaches the
//! same result, whichever controller leads and whether or not the leader has written the result yet:
//!
//! - a job is done when its `over` record says so, which never changes;
//! - a job is cancelled when its own record says so, live or over, or when an upstream job is cancelled. A cancelled
//!   job is never done, so a cancellation never changes either;
//! - a waiting job has another kind of record than a released job. Only the leader rewrites a waiting record into a
//!   released record, after it has read or written the ends of all upstream jobs. Only jobs that the leader keeps
//!   among its jobs can be placed on a machine, and a waiting job is never one of these.
//!
//! The end of an upstream job that is not live is read from the state service.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use super::dependencies::DependencyGraph;
use super::downstream_demand::DownstreamDemand;
use crate::model::{JobId, JobSpec, Micros};

/// A job that waits for other jobs.
#[derive(Debug)]
pub struct WaitingJob {
    pub spec: Arc<JobSpec>,
    /// Time of day at which the job was accepted.
    pub accepted_at: u64,
    /// Version of the job's stored record, which guards the next write.
    pub(crate) version: u64,
    /// The upstream jobs, as encoded in the job's record.
    pub(crate) upstream_ids: String,
    /// Demand of the downstream jobs.
    pub downstream_demand: Option<DownstreamDemand>,
    /// Whether the job's stored record says that the job is cancelled.
    pub(crate) cancellation_recorded: bool,
    /// Whether a transaction with the job's record is in flight.
    pub(crate) write_in_flight: bool,
    /// Whether the version is unknown until the record has been read again, because the outcome of a write is unknown.
    pub(crate) version_unknown: bool,
}

/// All jobs that wait for other jobs. `reconcile::pipelines` changes them, and `scheduling::downstream_demand`
/// changes their downstream demand.
#[derive(Debug, Default)]
pub struct Pipelines {
    pub waiting: BTreeMap<JobId, WaitingJob>,
    pub dependencies: DependencyGraph,
    /// Waiting jobs with a pending write.
    pub(crate) pending_writes: BTreeSet<JobId>,
    /// Whether the dependencies have changed since downstream demand was last computed.
    pub(crate) dependencies_changed: bool,
    pub(crate) demand_computed_at: Micros,
    /// Jobs that had downstream demand when it was last computed.
    pub(crate) jobs_with_demand: Vec<JobId>,
}
