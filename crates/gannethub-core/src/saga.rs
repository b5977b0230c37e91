//! Nested sagas, after Garcia-Molina et al., "Coordinating Multi-Transaction Activities".
//!
//! A saga holds elements, each a child saga. It commits when all of them have, and a vital child's abort aborts
//! it: active elements are cancelled, committed ones compensated in reverse commit order. A non-vital child's
//! abort cancels only what waits for it. A pipeline is a saga of jobs; a gang attempt is a saga of tasks,
//! non-vital to its job, so that a lost attempt is repeated.

use std::collections::{BTreeMap, BTreeSet};

/// The state of a saga or of one of its elements.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum SagaState {
    /// Waits for upstream elements to commit.
    Waiting,
    /// Running, or free to run.
    Active,
    /// Ended well. It is undone only if the whole saga aborts.
    Committed,
    /// Cancelled or compensated.
    Aborted,
}

impl SagaState {
    /// Whether it can still be aborted and has not committed.
    fn is_unfinished(self) -> bool {
        matches!(self, SagaState::Waiting | SagaState::Active)
    }
}

/// What the owner of a saga has to do with one of its elements after an abort.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum AbortAction<K> {
    /// The element was active, or waited for one that has been aborted: stop it.
    Cancel(K),
    /// The element had committed: run its compensating step.
    Compensate(K),
}

#[derive(Clone, Debug)]
struct Element<K> {
    vital: bool,
    /// Upstream elements that have not committed.
    open_upstream: BTreeSet<K>,
    /// Elements that wait for this one.
    downstream: BTreeSet<K>,
    state: SagaState,
}

impl<K> Element<K> {
    fn new(vital: bool) -> Element<K> {
        Element {
            vital,
            open_upstream: BTreeSet::new(),
            downstream: BTreeSet::new(),
            state: SagaState::Active,
        }
    }
}

/// A saga whose elements have keys of type `K`. What a commit or an abort costs depends only on how much it changes.
#[derive(Clone, Debug)]
pub struct Saga<K> {
    elements: BTreeMap<K, Element<K>>,
    commit_order: Vec<K>,
    /// How many elements have neither committed nor been aborted.
    unfinished: usize,
    /// It stays active when no element is left to run, as others may join.
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
    /// A saga of `count` vital elements that wait for nothing: a gang attempt, or a job on its own.
    pub fn independent(count: u32) -> Saga<u32> {
        let mut saga = Saga::default();
        (0..count).for_each(|index| saga.add(index, true, &[]));
        saga
    }
}

impl<K: Ord + Clone> Saga<K> {
    /// A saga that elements keep joining and leaving.
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
    /// not known yet are taken to be active, and may be added later.
    pub fn add(&mut self, key: K, vital: bool, upstream: &[K]) {
        let mut open_upstream = BTreeSet::new();
        for upstream_key in upstream {
            let element = self.element_or_new(upstream_key, false);
            if element.state != SagaState::Committed {
                element.downstream.insert(key.clone());
                open_upstream.insert(upstream_key.clone());
            }
        }
        let is_lost = open_upstream
            .iter()
            .any(|upstream_key| self.element_state(upstream_key) == Some(SagaState::Aborted));
        let element = self.element_or_new(&key, vital);
        element.vital = vital;
        if !open_upstream.is_empty() && element.state == SagaState::Active {
            element.state = SagaState::Waiting;
        }
        element.open_upstream = open_upstream;
        if is_lost {
            self.abort_element(&key);
        }
    }

    /// The state of the saga itself.
    pub fn state(&self) -> SagaState {
        self.state
    }

    /// The state of an element.
    pub fn element_state(&self, key: &K) -> Option<SagaState> {
        self.elements.get(key).map(|element| element.state)
    }

    /// What an element still waits for.
    pub fn open_upstream(&self, key: &K) -> impl Iterator<Item = &K> {
        let element = self.elements.get(key).into_iter();
        element.flat_map(|element| &element.open_upstream)
    }

    /// What waits for an element.
    pub fn downstream(&self, key: &K) -> impl Iterator<Item = &K> {
        let element = self.elements.get(key).into_iter();
        element.flat_map(|element| &element.downstream)
    }

    /// All elements.
    pub fn keys(&self) -> impl Iterator<Item = &K> {
        self.elements.keys()
    }

    /// Commits an active element and returns those that this releases, in order.
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
            waiting.open_upstream.remove(key);
            if waiting.state == SagaState::Waiting && waiting.open_upstream.is_empty() {
                waiting.state = SagaState::Active;
                released.push(downstream_key);
            }
        }
        self.element_finished();
        released
    }

    /// One element less is left to run. The saga commits with the last one.
    fn element_finished(&mut self) {
        self.unfinished -= 1;
        if self.state == SagaState::Active && self.unfinished == 0 && !self.open_ended {
            self.state = SagaState::Committed;
        }
    }

    /// Aborts one element; a vital one takes the saga with it, any other what waits for it.
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
        // A list of what is left to do rather than recursion: chains may be long.
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

    /// Takes an element that is over, or that nothing waits for, out of the saga.
    pub fn remove(&mut self, key: &K) {
        let Some(element) = self.elements.remove(key) else {
            return;
        };
        if element.state.is_unfinished() {
            self.unfinished -= 1;
        }
        self.detach(key, element.open_upstream);
        // The downstream of an aborted element is aborted as well: nothing must go on naming it.
        for downstream_key in element.downstream {
            if let Some(downstream) = self.elements.get_mut(&downstream_key) {
                downstream.open_upstream.remove(key);
            }
        }
        self.commit_order.retain(|committed| committed != key);
    }

    /// A waiting element is known to be released: all that it waited for has committed elsewhere.
    pub fn release(&mut self, key: &K) {
        let waiting = |element: &&mut Element<K>| element.state == SagaState::Waiting;
        let Some(element) = self.elements.get_mut(key).filter(waiting) else {
            return;
        };
        element.state = SagaState::Active;
        let upstream = std::mem::take(&mut element.open_upstream);
        self.detach(key, upstream);
    }

    /// `key` does not wait for these any more.
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
