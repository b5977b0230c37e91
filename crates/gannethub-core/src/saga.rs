//! Nested sagas, after Garcia-Molina et al., "Coordinating Multi-Transaction Activities".
//!
//! A saga consists of elements, each of which is a child saga. The saga commits when all of its elements have
//! committed. The abort of a vital element aborts the saga: active elements are cancelled, and committed elements are
//! compensated in reverse commit order. The abort of a non-vital element cancels only its downstream elements. A
//! pipeline is a saga of jobs. A gang attempt is a saga of tasks and is non-vital to its job, so that a lost attempt
//! is repeated.

use std::collections::{BTreeMap, BTreeSet};

/// State of a saga or of one of its elements.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum SagaState {
    /// The element waits for upstream elements to commit.
    Waiting,
    /// The element or saga is running or may run.
    Active,
    /// The element or saga ended successfully. An element is then undone only if the whole saga aborts.
    Committed,
    /// The element or saga was aborted. An element of an aborted saga that had committed before stays `Committed` and
    /// has to be compensated.
    Aborted,
}

impl SagaState {
    /// Whether the element has neither committed nor been aborted.
    fn is_unfinished(self) -> bool {
        matches!(self, SagaState::Waiting | SagaState::Active)
    }
}

/// Action that the owner of a saga has to take for one of its elements after an abort.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum AbortAction<K> {
    /// The element was active, or waited for an element that has been aborted, and has to be stopped.
    Cancel(K),
    /// The element had committed, and its compensating step has to run.
    Compensate(K),
}

#[derive(Clone, Debug)]
struct Element<K> {
    vital: bool,
    /// Upstream elements that have not committed.
    uncommitted_upstream: BTreeSet<K>,
    /// Elements that wait for this element.
    downstream: BTreeSet<K>,
    state: SagaState,
}

impl<K> Element<K> {
    fn new(vital: bool) -> Element<K> {
        Element {
            vital,
            uncommitted_upstream: BTreeSet::new(),
            downstream: BTreeSet::new(),
            state: SagaState::Active,
        }
    }
}

/// A saga whose elements have keys of type `K`. The cost of a commit or an abort depends only on the number of
/// changes that it makes.
#[derive(Clone, Debug)]
pub struct Saga<K> {
    elements: BTreeMap<K, Element<K>>,
    commit_order: Vec<K>,
    /// Number of elements that have neither committed nor been aborted.
    unfinished: usize,
    /// Whether the saga stays active when no element is left to run, since further elements may be added.
    open_ended: bool,
    state: SagaState,
}

impl<K> Default for Saga<K> {
    fn default() -> Saga<K> {
        Saga {
            elements: BTreeMap::new(),
            commit_order: Vec::new(),
            unfinished: 0,
            open_ended: false,
            state: SagaState::Active,
        }
    }
}

impl Saga<u32> {
    /// Creates a saga of `count` vital elements without dependencies: a gang attempt, or a job on its own.
    pub fn independent(count: u32) -> Saga<u32> {
        let mut saga = Saga::default();
        (0..count).for_each(|index| saga.add(index, true, &[]));
        saga
    }
}

impl<K: Ord + Clone> Saga<K> {
    /// Creates a saga to which elements are added and from which they are removed indefinitely.
    pub fn open_ended() -> Saga<K> {
        Saga {
            open_ended: true,
            ..Saga::default()
        }
    }

    fn element_or_new(&mut self, key: &K, vital: bool) -> &mut Element<K> {
        let unfinished = &mut self.unfinished;
        self.elements.entry(key.clone()).or_insert_with(|| {
            *unfinished += 1;
            Element::new(vital)
        })
    }

    /// Adds an element that is released when every element of `upstream` has committed. Upstream elements that are
    /// not known yet count as active and may be added later.
    pub fn add(&mut self, key: K, vital: bool, upstream: &[K]) {
        let mut uncommitted_upstream = BTreeSet::new();
        for upstream_key in upstream {
            let element = self.element_or_new(upstream_key, false);
            if element.state != SagaState::Committed {
                element.downstream.insert(key.clone());
                uncommitted_upstream.insert(upstream_key.clone());
            }
        }
        let has_aborted_upstream = uncommitted_upstream
            .iter()
            .any(|upstream_key| self.element_state(upstream_key) == Some(SagaState::Aborted));
        let element = self.element_or_new(&key, vital);
        element.vital = vital;
        if !uncommitted_upstream.is_empty() && element.state == SagaState::Active {
            element.state = SagaState::Waiting;
        }
        element.uncommitted_upstream = uncommitted_upstream;
        if has_aborted_upstream {
            self.abort_element(&key);
        }
    }

    /// Returns the state of the saga itself.
    pub fn state(&self) -> SagaState {
        self.state
    }

    /// Returns the state of an element.
    pub fn element_state(&self, key: &K) -> Option<SagaState> {
        self.elements.get(key).map(|element| element.state)
    }

    /// Returns the upstream elements for which an element still waits.
    pub fn uncommitted_upstream(&self, key: &K) -> impl Iterator<Item = &K> {
        let element = self.elements.get(key).into_iter();
        element.flat_map(|element| &element.uncommitted_upstream)
    }

    /// Returns the elements that wait for an element.
    pub fn downstream(&self, key: &K) -> impl Iterator<Item = &K> {
        let element = self.elements.get(key).into_iter();
        element.flat_map(|element| &element.downstream)
    }

    /// Returns the keys of all elements.
    pub fn keys(&self) -> impl Iterator<Item = &K> {
        self.elements.keys()
    }

    /// Commits an active element and returns the waiting elements that the commit releases, in order.
    pub fn commit(&mut self, key: &K) -> Vec<K> {
        let Some(element) = self.elements.get_mut(key) else {
            return Vec::new();
        };
        if self.state != SagaState::Active || element.state != SagaState::Active {
            return Vec::new();
        }
        element.state = SagaState::Committed;
        self.commit_order.push(key.clone());
        let mut released = Vec::new();
        for downstream_key in std::mem::take(&mut element.downstream) {
            let Some(waiting) = self.elements.get_mut(&downstream_key) else {
                continue;
            };
            waiting.uncommitted_upstream.remove(key);
            if waiting.state == SagaState::Waiting && waiting.uncommitted_upstream.is_empty() {
                waiting.state = SagaState::Active;
                released.push(downstream_key);
            }
        }
        self.element_finished();
        released
    }

    /// Counts an element as finished. The saga commits with its last unfinished element, unless the saga is
    /// open-ended.
    fn element_finished(&mut self) {
        self.unfinished -= 1;
        if self.state == SagaState::Active && self.unfinished == 0 && !self.open_ended {
            self.state = SagaState::Committed;
        }
    }

    /// Aborts one element. The abort of a vital element aborts the whole saga; the abort of any other element aborts
    /// its downstream elements.
    pub fn abort_element(&mut self, key: &K) -> Vec<AbortAction<K>> {
        if self.state != SagaState::Active {
            return Vec::new();
        }
        let unfinished = |element: &&mut Element<K>| element.state.is_unfinished();
        let Some(element) = self.elements.get_mut(key).filter(unfinished) else {
            return Vec::new();
        };
        if element.vital {
            element.state = SagaState::Aborted;
            return self.abort();
        }
        self.abort_with_downstream(key)
    }

    fn abort_with_downstream(&mut self, key: &K) -> Vec<AbortAction<K>> {
        let mut actions = Vec::new();
        // A work list rather than recursion, since dependency chains may be long.
        let mut to_abort = vec![key.clone()];
        while let Some(next) = to_abort.pop() {
            let unfinished = |element: &&mut Element<K>| element.state.is_unfinished();
            let Some(element) = self.elements.get_mut(&next).filter(unfinished) else {
                continue;
            };
            element.state = SagaState::Aborted;
            to_abort.extend(element.downstream.iter().cloned());
            if next != *key {
                actions.push(AbortAction::Cancel(next));
            }
            self.element_finished();
        }
        actions
    }

    /// Removes an element that has finished, or that no element waits for, from the saga.
    pub fn remove(&mut self, key: &K) {
        let Some(element) = self.elements.remove(key) else {
            return;
        };
        if element.state.is_unfinished() {
            self.unfinished -= 1;
        }
        self.detach(key, element.uncommitted_upstream);
        // The downstream elements of an aborted element are aborted as well. None of them may keep a reference to the
        // removed element.
        for downstream_key in element.downstream {
            if let Some(downstream) = self.elements.get_mut(&downstream_key) {
                downstream.uncommitted_upstream.remove(key);
            }
        }
        self.commit_order.retain(|committed| committed != key);
    }

    /// Releases a waiting element whose upstream elements are known to have committed elsewhere.
    pub fn release(&mut self, key: &K) {
        let waiting = |element: &&mut Element<K>| element.state == SagaState::Waiting;
        let Some(element) = self.elements.get_mut(key).filter(waiting) else {
            return;
        };
        element.state = SagaState::Active;
        let upstream = std::mem::take(&mut element.uncommitted_upstream);
        self.detach(key, upstream);
    }

    /// Removes `key` from the downstream elements of the elements in `upstream`, for which `key` no longer waits.
    fn detach(&mut self, key: &K, upstream: BTreeSet<K>) {
        for upstream_key in upstream {
            if let Some(element) = self.elements.get_mut(&upstream_key) {
                element.downstream.remove(key);
            }
        }
    }

    /// Aborts the whole saga. Only an active saga can be aborted.
    pub fn abort(&mut self) -> Vec<AbortAction<K>> {
        if self.state != SagaState::Active {
            return Vec::new();
        }
        self.state = SagaState::Aborted;
        let mut actions = Vec::new();
        for (key, element) in &mut self.elements {
            match element.state {
                SagaState::Active => actions.push(AbortAction::Cancel(key.clone())),
                SagaState::Committed => continue,
                SagaState::Waiting | SagaState::Aborted => {}
            }
            element.state = SagaState::Aborted;
        }
        let committed = self.commit_order.iter().rev().cloned();
        actions.extend(committed.map(AbortAction::Compensate));
        actions
    }
}

#[cfg(test)]
mod tests;
