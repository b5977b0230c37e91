//! Nested sagas, after Garcia-Molina et al., "Coordinating Multi-Transaction Activities".
//!
//! A saga holds elements, each a child saga. It commits when all of them have, and a vital child's
//! abort aborts it: active elements are cancelled, committed ones compensated in reverse commit
//! order. A non-vital child's abort cancels only what waits for it. A pipeline is a saga of jobs;
//! a gang attempt is a saga of tasks, non-vital to its job, so that a lost attempt is repeated.

use std::collections::{BTreeMap, BTreeSet};

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum SagaState {
    /// Waits for upstream elements to commit.
    Waiting,
    Active,
    Committed,
    Aborted,
}

/// What the owner of a saga has to do after an abort.
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
    open: BTreeSet<K>,
    /// Elements that wait for this one.
    downstream: BTreeSet<K>,
    state: SagaState,
}

/// A saga whose elements go by `K`. What a commit or an abort costs follows what it changes.
#[derive(Clone, Debug)]
pub struct Saga<K> {
    elements: BTreeMap<K, Element<K>>,
    commit_order: Vec<K>,
    unfinished: usize,
    /// It goes on when no element is left to run: others may come.
    standing: bool,
    state: SagaState,
}

impl<K> Default for Saga<K> {
    fn default() -> Saga<K> {
        Saga {
            elements: BTreeMap::new(),
            commit_order: Vec::new(),
            unfinished: 0,
            standing: false,
            state: SagaState::Active,
        }
    }
}

impl Saga<u32> {
    /// A saga of `n` vital elements that wait for nothing: a gang attempt, or a job on its own.
    pub fn independent(n: u32) -> Saga<u32> {
        let mut saga = Saga::default();
        (0..n).for_each(|i| saga.add(i, true, &[]));
        saga
    }
}

impl<K: Ord + Clone> Saga<K> {
    /// A saga that elements keep joining and leaving.
    pub fn open_ended() -> Saga<K> {
        Saga {
            standing: true,
            ..Saga::default()
        }
    }

    fn enter(&mut self, key: &K, vital: bool) -> &mut Element<K> {
        let unfinished = &mut self.unfinished;
        self.elements.entry(key.clone()).or_insert_with(|| {
            *unfinished += 1;
            let (open, downstream) = (BTreeSet::new(), BTreeSet::new());
            Element {
                vital,
                open,
                downstream,
                state: SagaState::Active,
            }
        })
    }

    /// Adds an element that is released when every element of `upstream` has committed. Upstream
    /// elements that are not known yet are taken to be active, and may be added later.
    pub fn add(&mut self, key: K, vital: bool, upstream: &[K]) {
        let mut open = BTreeSet::new();
        for u in upstream {
            let element = self.enter(u, false);
            if element.state != SagaState::Committed {
                element.downstream.insert(key.clone());
                open.insert(u.clone());
            }
        }
        let lost = open
            .iter()
            .any(|u| self.element_state(u) == Some(SagaState::Aborted));
        let element = self.enter(&key, vital);
        element.vital = vital;
        if !open.is_empty() && element.state == SagaState::Active {
            element.state = SagaState::Waiting;
        }
        element.open = open;
        if lost {
            self.abort_element(&key);
        }
    }

    pub fn state(&self) -> SagaState {
        self.state
    }

    pub fn element_state(&self, key: &K) -> Option<SagaState> {
        self.elements.get(key).map(|e| e.state)
    }

    /// What an element still waits for.
    pub fn open_upstream(&self, key: &K) -> impl Iterator<Item = &K> {
        self.elements.get(key).into_iter().flat_map(|e| &e.open)
    }

    /// What waits for an element.
    pub fn downstream(&self, key: &K) -> impl Iterator<Item = &K> {
        self.elements
            .get(key)
            .into_iter()
            .flat_map(|e| &e.downstream)
    }

    pub fn keys(&self) -> impl Iterator<Item = &K> {
        self.elements.keys()
    }

    /// Commits an element and returns those it releases, in order.
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
        for d in std::mem::take(&mut element.downstream) {
            let Some(e) = self.elements.get_mut(&d) else {
                continue;
            };
            e.open.remove(key);
            if e.state == SagaState::Waiting && e.open.is_empty() {
                e.state = SagaState::Active;
                released.push(d);
            }
        }
        self.finished();
        released
    }

    /// One element less is left to run. The saga commits with the last one.
    fn finished(&mut self) {
        self.unfinished -= 1;
        if self.state == SagaState::Active && self.unfinished == 0 && !self.standing {
            self.state = SagaState::Committed;
        }
    }

    /// Aborts one element; a vital one takes the saga with it, any other what waits for it.
    pub fn abort_element(&mut self, key: &K) -> Vec<AbortAction<K>> {
        let open = |s| matches!(s, Some(SagaState::Active | SagaState::Waiting));
        if self.state != SagaState::Active || !open(self.element_state(key)) {
            return Vec::new();
        }
        if self.elements.get(key).is_some_and(|e| e.vital) {
            if let Some(e) = self.elements.get_mut(key) {
                e.state = SagaState::Aborted;
            }
            return self.abort();
        }
        let mut actions = Vec::new();
        // A list of what is left to do rather than calls within calls: chains may be long.
        let mut gone = vec![key.clone()];
        while let Some(x) = gone.pop() {
            let Some(e) = self.elements.get_mut(&x).filter(|e| open(Some(e.state))) else {
                continue;
            };
            e.state = SagaState::Aborted;
            gone.extend(e.downstream.iter().cloned());
            if x != *key {
                actions.push(AbortAction::Cancel(x));
            }
            self.finished();
        }
        actions
    }

    /// Takes an element that is over, or that nothing waits for, out of the saga.
    pub fn remove(&mut self, key: &K) {
        let Some(e) = self.elements.remove(key) else {
            return;
        };
        if matches!(e.state, SagaState::Active | SagaState::Waiting) {
            self.unfinished -= 1;
        }
        self.detach(key, e.open);
        // An aborted element's downstream is aborted as well: nothing must go on naming it.
        for d in e.downstream {
            if let Some(d) = self.elements.get_mut(&d) {
                d.open.remove(key);
            }
        }
        self.commit_order.retain(|k| k != key);
    }

    /// A waiting element is known to be released: all that it waited for has committed elsewhere.
    pub fn release(&mut self, key: &K) {
        let Some(e) = self
            .elements
            .get_mut(key)
            .filter(|e| e.state == SagaState::Waiting)
        else {
            return;
        };
        e.state = SagaState::Active;
        let open = std::mem::take(&mut e.open);
        self.detach(key, open);
    }

    /// `key` does not wait for these any more.
    fn detach(&mut self, key: &K, upstream: BTreeSet<K>) {
        for u in upstream {
            if let Some(u) = self.elements.get_mut(&u) {
                u.downstream.remove(key);
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
        for (k, e) in self.elements.iter_mut() {
            match e.state {
                SagaState::Active => actions.push(AbortAction::Cancel(k.clone())),
                SagaState::Committed => continue,
                SagaState::Waiting | SagaState::Aborted => {}
            }
            e.state = SagaState::Aborted;
        }
        actions.extend(
            self.commit_order
                .iter()
                .rev()
                .cloned()
                .map(AbortAction::Compensate),
        );
        actions
    }
}

#[cfg(test)]
mod tests;
