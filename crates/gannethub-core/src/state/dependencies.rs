//! Which job waits for which others, and what follows from their ends.
//!
//! All live jobs that wait, and those they wait for, are non-vital children of one open-ended [`Saga`]: a job is
//! released when every job upstream has committed, and cancelled with any of them.

use std::collections::{BTreeSet, HashMap};

use crate::model::JobId;
use crate::saga::{AbortAction, Saga, SagaState};

/// What is known of a job that another one waits for.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum DependencyOutcome {
    /// It has not ended.
    Live,
    /// All its tasks are done.
    Done,
    /// It is cancelled, by its user or with a job that it waits for.
    Cancelled,
    /// Not live as far as is known; its end has not been read.
    Unknown,
}

/// What a cancellation or an end leads to downstream.
#[derive(Debug, Default, PartialEq)]
pub struct PipelineEffects {
    /// Jobs that wait for nothing any more, in order.
    pub released: Vec<JobId>,
    /// Waiting jobs that are cancelled with what they wait for.
    pub cancelled: Vec<JobId>,
}

/// The graph of waiting jobs and the jobs they wait for.
#[derive(Debug)]
pub struct DependencyGraph {
    pub(crate) saga: Saga<JobId>,
    /// Jobs that others wait for and whose ends have to be read.
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
    /// Adds a job that waits for the jobs in `upstream`. That list never changes, so only the first call counts.
    pub fn add_waiting(
        &mut self,
        id: &JobId,
        upstream: &[JobId],
        cancelled: bool,
        outcome: impl Fn(&JobId) -> DependencyOutcome,
    ) -> PipelineEffects {
        self.unknown_outcomes.remove(id);
        let mut is_lost = cancelled;
        let state = self.saga.element_state(id);
        if !matches!(state, Some(SagaState::Waiting | SagaState::Aborted)) {
            let mut unfinished = Vec::new();
            for job in upstream {
                match outcome(job) {
                    DependencyOutcome::Done => continue,
                    DependencyOutcome::Cancelled => is_lost = true,
                    DependencyOutcome::Unknown => {
                        self.unknown_outcomes.insert(job.clone());
                    }
                    DependencyOutcome::Live => {}
                }
                unfinished.push(job.clone());
            }
            self.saga.add(id.clone(), false, &unfinished);
        }
        if is_lost {
            self.cancel(id)
        } else {
            PipelineEffects::default()
        }
    }

    /// A job that others wait for is live after all.
    pub fn mark_live(&mut self, id: &JobId) {
        self.unknown_outcomes.remove(id);
    }

    /// A live job is gone and nothing tells how it ended, which matters if others wait for it.
    pub fn mark_outcome_unknown(&mut self, id: &JobId) {
        if self.saga.element_state(id).is_some() {
            self.unknown_outcomes.insert(id.clone());
        }
    }

    /// A job has been cancelled, and with it all that wait for it.
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

    /// Whether a waiting job is cancelled, by its user or with one that it waits for.
    pub fn is_cancelled(&self, id: &JobId) -> bool {
        self.saga.element_state(id) == Some(SagaState::Aborted)
    }

    /// Whether all jobs that it waited for are done.
    pub(crate) fn is_ready(&self, id: &JobId) -> bool {
        self.saga.element_state(id) == Some(SagaState::Active)
    }

    /// What a job still waits for.
    pub fn open_dependencies(&self, id: &JobId) -> Vec<JobId> {
        self.saga.open_upstream(id).cloned().collect()
    }

    /// Jobs whose ends have to be read.
    pub fn unknown_outcomes(&self) -> impl Iterator<Item = &JobId> {
        self.unknown_outcomes.iter()
    }

    /// Whether every job that another one waits for is live, or it is known how it ended.
    pub fn is_complete(&self) -> bool {
        self.unknown_outcomes.is_empty()
    }

    /// The same of all jobs that this one waits for, directly or through others.
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
            let upstream = self.saga.open_upstream(id);
            unvisited.extend(upstream.filter(|job| seen.insert(job)));
        }
        true
    }

    /// Jobs that wait for others or are waited for, those downstream before those upstream.
    pub(crate) fn downstream_first(&self) -> Vec<&JobId> {
        let mut unvisited_downstream: HashMap<&JobId, usize> = self
            .saga
            .keys()
            .map(|id| (id, self.saga.downstream(id).count()))
            .collect();
        let last_in_line = unvisited_downstream
            .iter()
            .filter(|(_, count)| **count == 0);
        let mut order: Vec<&JobId> = last_in_line.map(|(id, _)| *id).collect();
        order.sort();
        let mut next = 0;
        while let Some(id) = order.get(next).copied() {
            next += 1;
            for upstream in self.saga.open_upstream(id) {
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
