//! Pipelines of several jobs: which job waits for which others, and what follows from their ends.
//!
//! All live jobs that wait, and those they wait for, are non-vital children of one standing
//! [`Saga`]: a job is released when every job upstream has committed, and cancelled with any of them.
//! Both follow from what the state service holds and from nothing else, so every controller comes to
//! the same answer, whoever leads and whether or not the leader has written it down yet:
//!
//! - a job is done when its `over` record says so, and that never changes;
//! - a job is cancelled when its own record says so, live or over, or when one it waits for is
//!   cancelled. A cancelled job is never done, so this never changes either;
//! - a waiting job has another kind of record than one that was released. Only the leader rewrites
//!   the one into the other, after it has read or written the ends of all jobs upstream, and only what
//!   it keeps among its jobs, which no waiting job is, can be placed on a machine.
//!
//! Of a job that is named by another and is not alive, the end is read.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

use crate::model::{JobId, JobSpec, Micros};
use crate::saga::{AbortAction, Saga, SagaState};
use crate::state::deadline::DownstreamDemand;

/// What is known of a job that another one names.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum DependencyOutcome {
    Live,
    Done,
    Cancelled,
    /// Not alive as far as is known; its end has not been read.
    Unknown,
}

/// What a cancellation or an end leads to.
#[derive(Debug, Default, PartialEq)]
pub struct PipelineEffects {
    pub released: Vec<JobId>,
    pub cancelled: Vec<JobId>,
}

/// Who waits for whom.
#[derive(Debug)]
pub struct DependencyGraph {
    pub(crate) saga: Saga<JobId>,
    /// Jobs that others wait for, whose ends have to be read.
    pub(crate) unknown_outcomes: BTreeSet<JobId>,
}

impl Default for DependencyGraph {
    fn default() -> DependencyGraph {
        DependencyGraph {
            saga: Saga::open_ended(),
            unknown_outcomes: BTreeSet::new(),
        }
    }
}

impl DependencyGraph {
    /// A job that waits. Its list never changes, so only the first time counts.
    pub fn add_waiting(
        &mut self,
        id: &JobId,
        upstream: &[JobId],
        cancelled: bool,
        fate: impl Fn(&JobId) -> DependencyOutcome,
    ) -> PipelineEffects {
        self.unknown_outcomes.remove(id);
        let mut lost = cancelled;
        if !matches!(
            self.saga.element_state(id),
            Some(SagaState::Waiting | SagaState::Aborted)
        ) {
            let mut open = Vec::new();
            for u in upstream {
                match fate(u) {
                    DependencyOutcome::Done => continue,
                    DependencyOutcome::Cancelled => lost = true,
                    DependencyOutcome::Unknown => {
                        self.unknown_outcomes.insert(u.clone());
                    }
                    DependencyOutcome::Live => {}
                }
                open.push(u.clone());
            }
            self.saga.add(id.clone(), false, &open);
        }
        if lost {
            self.cancel(id)
        } else {
            PipelineEffects::default()
        }
    }

    /// A job that others wait for is alive after all.
    pub fn mark_live(&mut self, id: &JobId) {
        self.unknown_outcomes.remove(id);
    }

    /// A live job that others wait for is gone, and nothing tells how it ended.
    pub fn mark_outcome_unknown(&mut self, id: &JobId) {
        if self.saga.element_state(id).is_some() {
            self.unknown_outcomes.insert(id.clone());
        }
    }

    /// A job has been cancelled, and with it all that wait for it.
    pub fn cancel(&mut self, id: &JobId) -> PipelineEffects {
        let cancelled = self.saga.abort_element(id).into_iter().map(|a| match a {
            AbortAction::Cancel(id) | AbortAction::Compensate(id) => id,
        });
        PipelineEffects {
            cancelled: cancelled.collect(),
            released: Vec::new(),
        }
    }

    /// A job that waited has been released: its record says that all it waited for is done.
    pub fn mark_released(&mut self, id: &JobId) {
        self.saga.release(id);
        if self.saga.downstream(id).next().is_none() {
            self.saga.remove(id);
        }
    }

    /// A job is over, as the state service has it.
    pub fn mark_ended(&mut self, id: &JobId, cancelled: bool) -> PipelineEffects {
        self.unknown_outcomes.remove(id);
        if self.saga.element_state(id).is_none() {
            return PipelineEffects::default();
        }
        let consequences = if cancelled {
            self.cancel(id)
        } else {
            self.mark_released(id);
            PipelineEffects {
                released: self.saga.commit(id),
                cancelled: Vec::new(),
            }
        };
        self.saga.remove(id);
        consequences
    }

    /// A waiting job is cancelled, itself or with one that it needs.
    pub fn is_cancelled(&self, id: &JobId) -> bool {
        self.saga.element_state(id) == Some(SagaState::Aborted)
    }

    /// All jobs that it waited for are done.
    pub(crate) fn is_ready(&self, id: &JobId) -> bool {
        self.saga.element_state(id) == Some(SagaState::Active)
    }

    /// What a job waits for still.
    pub fn open_dependencies(&self, id: &JobId) -> Vec<JobId> {
        self.saga.open_upstream(id).cloned().collect()
    }

    /// Jobs whose ends have to be read.
    pub fn unknown_outcomes(&self) -> impl Iterator<Item = &JobId> {
        self.unknown_outcomes.iter()
    }

    /// Every job that is named is alive, or it is known how it ended.
    pub fn is_complete(&self) -> bool {
        self.unknown_outcomes.is_empty()
    }

    /// The same of all jobs that this one needs, directly or through others.
    pub fn is_complete_for(&self, id: &JobId) -> bool {
        if self.is_complete() {
            return true;
        }
        let mut seen = BTreeSet::from([id]);
        let mut left = vec![id];
        while let Some(id) = left.pop() {
            if self.unknown_outcomes.contains(id) {
                return false;
            }
            left.extend(self.saga.open_upstream(id).filter(|u| seen.insert(u)));
        }
        true
    }

    /// Jobs that wait for others or are waited for, those downstream before those upstream.
    pub(crate) fn downstream_first(&self) -> Vec<&JobId> {
        let mut left: HashMap<&JobId, usize> = self
            .saga
            .keys()
            .map(|k| (k, self.saga.downstream(k).count()))
            .collect();
        let mut order: Vec<&JobId> = left.iter().filter(|l| *l.1 == 0).map(|l| *l.0).collect();
        order.sort();
        let mut next = 0;
        while let Some(id) = order.get(next).copied() {
            next += 1;
            for u in self.saga.open_upstream(id) {
                if let Some(n) = left.get_mut(u) {
                    *n -= 1;
                    if *n == 0 {
                        order.push(u);
                    }
                }
            }
        }
        order
    }
}

/// A job that waits for others, as the leader keeps it.
#[derive(Debug)]
pub struct WaitingJob {
    pub spec: Arc<JobSpec>,
    pub accepted_at: u64,
    pub(crate) version: u64,
    pub(crate) upstream_ids: String,
    /// What jobs that wait for it ask of it.
    pub downstream_demand: Option<DownstreamDemand>,
    /// Its own record says that it is cancelled.
    pub(crate) cancellation_recorded: bool,
    pub(crate) write_in_flight: bool,
    pub(crate) version_unknown: bool,
}

/// All jobs that wait, as the leader sees them.
#[derive(Debug, Default)]
pub struct Pipelines {
    pub waiting: BTreeMap<JobId, WaitingJob>,
    pub dependencies: DependencyGraph,
    /// Waiting jobs about which something is to be written.
    pub(crate) pending_writes: BTreeSet<JobId>,
    /// Who waits for whom has changed since the pulls were worked out.
    pub(crate) dependencies_changed: bool,
    pub(crate) demand_computed_at: Micros,
    pub(crate) jobs_with_demand: Vec<JobId>,
}
