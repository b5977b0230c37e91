//! Pipelines of several jobs, as the leader keeps them.
//!
//! Releases and cancellations follow from what the state service holds and from nothing else, so every controller
//! comes to the same answer, whoever leads and whether or not the leader has written it down yet:
//!
//! - a job is done when its `over` record says so, and that never changes;
//! - a job is cancelled when its own record says so, live or over, or when one it waits for is cancelled. A
//!   cancelled job is never done, so this never changes either;
//! - a waiting job has another kind of record than one that was released. Only the leader rewrites the one into
//!   the other, after it has read or written the ends of all jobs upstream, and only what it keeps among its jobs,
//!   which no waiting job is, can be placed on a machine.
//!
//! Of a job that another one waits for and that is not live, the end is read.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use super::deadline::DownstreamDemand;
use super::dependencies::DependencyGraph;
use crate::model::{JobId, JobSpec, Micros};

/// A job that waits for others.
#[derive(Debug)]
pub struct WaitingJob {
    pub spec: Arc<JobSpec>,
    /// Time of day at which it was accepted.
    pub accepted_at: u64,
    /// Version of its stored record, which guards the next write.
    pub(crate) version: u64,
    /// The jobs that it waits for, as its record encodes them.
    pub(crate) upstream_ids: String,
    /// What the jobs that wait for it ask of it.
    pub downstream_demand: Option<DownstreamDemand>,
    /// Its stored record says that it is cancelled.
    pub(crate) cancellation_recorded: bool,
    /// A transaction with its record is on its way.
    pub(crate) write_in_flight: bool,
    /// Its version is unknown until the record has been read again, as a write had no clear answer.
    pub(crate) version_unknown: bool,
}

/// All jobs that wait for others. It is changed by `reconcile::pipelines`, and its demand by
/// `scheduling::downstream_demand`.
#[derive(Debug, Default)]
pub struct Pipelines {
    pub waiting: BTreeMap<JobId, WaitingJob>,
    pub dependencies: DependencyGraph,
    /// Waiting jobs about which something is to be written.
    pub(crate) pending_writes: BTreeSet<JobId>,
    /// Who waits for whom has changed since downstream demand was worked out.
    pub(crate) dependencies_changed: bool,
    pub(crate) demand_computed_at: Micros,
    /// Jobs that had downstream demand when it was last worked out.
    pub(crate) jobs_with_demand: Vec<JobId>,
}
