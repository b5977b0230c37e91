//! Dependencies between jobs, and the consequences of their ends.
//!
//! All live jobs that wait, and their upstream jobs, are non-vital children of one open-ended [`Saga`]: a job is
//! released when every upstream job has committed, and cancelled together with any upstream job.

use std::collections::{BTreeSet, HashMap};

use crate::model::JobId;
use crate::saga::{AbortAction, Saga, SagaState};

/// Known outcome of an upstream job.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum UpstreamOutcome {
    /// The job has not ended.
    Live,
    /// All tasks of the job are done.
    Done,
    /// The job is cancelled, by its user or together with an upstream job.
    Cancelled,
    /// The job is not live as far as known, and its end has not been read.
    Unknown,
}

/// Downstream effects of a cancellation or an end.
#[derive(Debug, Default, PartialEq)]
pub struct PipelineEffects {
    /// Jobs that no longer wait for any job, in order.
    pub released: Vec<JobId>,
    /// Waiting jobs that are cancelled together with an upstream job.
    pub cancelled: Vec<JobId>,
}

/// The graph of waiting jobs and their upstream jobs.
#[derive(Debug)]
pub struct DependencyGraph {
    pub(crate) saga: Saga<JobId>,
    /// Upstream jobs whose ends have to be read.
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
    /// Adds a job that waits for the jobs in `upstream`. The list never changes, so only the first call for a job
    /// counts.
    pub fn add_waiting(
        &mut self,
        id: &JobId,
        upstream: &[JobId],
        cancelled: bool,
        outcome: impl Fn(&JobId) -> UpstreamOutcome,
    ) -> PipelineEffects {
        self.unknown_outcomes.remove(id);
        let mut is_cancelled = cancelled;
        let state = self.saga.element_state(id);
        if !matches!(state, Some(SagaState::Waiting | SagaState::Aborted)) {
            let mut unfinished = Vec::new();
            for job in upstream {
                match outcome(job) {
                    UpstreamOutcome::Done => continue,
                    UpstreamOutcome::Cancelled => is_cancelled = true,
                    UpstreamOutcome::Unknown => {
                        self.unknown_outcomes.insert(job.clone());
                    }
                    UpstreamOutcome::Live => {}
                }
                unfinished.push(job.clone());
            }
            self.saga.add(id.clone(), false, &unfinished);
        }
        if is_cancelled {
            self.cancel(id)
        } else {
            PipelineEffects::default()
        }
    }

    /// Records that an upstream job is live after all.
    pub fn mark_live(&mut self, id: &JobId) {
        self.unknown_outcomes.remove(id);
    }

    /// Records that a live job is gone without a known outcome, which matters if other jobs wait for it.
    pub fn mark_outcome_unknown(&mut self, id: &JobId) {
        if self.saga.element_state(id).is_some() {
            self.unknown_outcomes.insert(id.clone());
        }
    }

    /// Cancels a job together with all downstream jobs.
    pub fn cancel(&mut self, id: &JobId) -> PipelineEffects {
        let actions = self.saga.abort_element(id).into_iter();
        let cancelled = actions.map(|action| match action {
            AbortAction::Cancel(id) | AbortAction::Compensate(id) => id,
        });
        PipelineEffects {
            cancelled: cancelled.collect(),
            released: Vec::new(),
        }
    }

    /// Records that a waiting job has been released: its record says that all upstream jobs are done.
    pub fn mark_released(&mut self, id: &JobId) {
        self.saga.release(id);
        if self.saga.downstream(id).next().is_none() {
            self.saga.remove(id);
        }
    }

    /// Records that a job is over according to the state service.
    pub fn mark_ended(&mut self, id: &JobId, cancelled: bool) -> PipelineEffects {
        self.unknown_outcomes.remove(id);
        if self.saga.element_state(id).is_none() {
            return PipelineEffects::default();
        }
        let effects = if cancelled {
            self.cancel(id)
        } else {
            self.mark_released(id);
            PipelineEffects {
                released: self.saga.commit(id),
                cancelled: Vec::new(),
            }
        };
        self.saga.remove(id);
        effects
    }

    /// Whether a waiting job is cancelled, by its user or together with an upstream job.
    pub fn is_cancelled(&self, id: &JobId) -> bool {
        self.saga.element_state(id) == Some(SagaState::Aborted)
    }

    /// Whether all upstream jobs of the job are done.
    pub(crate) fn is_ready(&self, id: &JobId) -> bool {
        self.saga.element_state(id) == Some(SagaState::Active)
    }

    /// Returns the jobs for which a job still waits.
    pub fn open_dependencies(&self, id: &JobId) -> Vec<JobId> {
        self.saga.uncommitted_upstream(id).cloned().collect()
    }

    /// Returns the jobs whose ends have to be read.
    pub fn unknown_outcomes(&self) -> impl Iterator<Item = &JobId> {
        self.unknown_outcomes.iter()
    }

    /// Whether every upstream job is either live or has a known outcome.
    pub fn is_complete(&self) -> bool {
        self.unknown_outcomes.is_empty()
    }

    /// Whether every direct and indirect upstream job of this job is either live or has a known outcome.
    pub fn is_complete_for(&self, id: &JobId) -> bool {
        if self.is_complete() {
            return true;
        }
        let mut seen = BTreeSet::from([id]);
        let mut unvisited = vec![id];
        while let Some(id) = unvisited.pop() {
            if self.unknown_outcomes.contains(id) {
                return false;
            }
            let upstream = self.saga.uncommitted_upstream(id);
            unvisited.extend(upstream.filter(|job| seen.insert(job)));
        }
        true
    }

    /// Returns all waiting and upstream jobs, downstream jobs before upstream jobs.
    pub(crate) fn downstream_first(&self) -> Vec<&JobId> {
        let mut unvisited_downstream: HashMap<&JobId, usize> = self
            .saga
            .keys()
            .map(|id| (id, self.saga.downstream(id).count()))
            .collect();
        let without_downstream = unvisited_downstream
            .iter()
            .filter(|(_, count)| **count == 0);
        let mut order: Vec<&JobId> = without_downstream.map(|(id, _)| *id).collect();
        order.sort();
        let mut next = 0;
        while let Some(id) = order.get(next).copied() {
            next += 1;
            for upstream in self.saga.uncommitted_upstream(id) {
                if let Some(count) = unvisited_downstream.get_mut(upstream) {
                    *count -= 1;
                    if *count == 0 {
                        order.push(upstream);
                    }
                }
            }
        }
        order
    }
}
