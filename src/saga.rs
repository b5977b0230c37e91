//! Nested sagas, after Garcia-Molina et al., "Coordinating Multi-Transaction Activities".
//!
//! A saga holds elements, each a child saga. It commits when all of them have, and a vital child's
//! abort aborts it: active elements are cancelled, committed ones compensated in reverse commit
//! order. A non-vital child's abort cancels only what waits for it. A pipeline is a saga of jobs;
//! a gang attempt is a saga of tasks, non-vital to its job, so that a lost attempt is repeated.

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum State {
    /// Waits for upstream elements to commit.
    Waiting,
    Active,
    Committed,
    Aborted,
}

/// What the owner of a saga has to do after an abort.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Action {
    /// The element was active: stop it.
    Cancel(usize),
    /// The element had committed: run its compensating step.
    Compensate(usize),
}

#[derive(Clone, Debug)]
struct Element {
    vital: bool,
    upstream: Vec<usize>,
    state: State,
}

#[derive(Clone, Debug)]
pub struct Saga {
    elements: Vec<Element>,
    commit_order: Vec<usize>,
    state: State,
}

impl Default for Saga {
    fn default() -> Saga {
        Saga { elements: Vec::new(), commit_order: Vec::new(), state: State::Active }
    }
}

impl Saga {
    /// A saga of `n` vital elements that wait for nothing: a gang attempt, or a one-job pipeline.
    pub fn flat(n: usize) -> Saga {
        let mut saga = Saga::default();
        for _ in 0..n {
            saga.add(true, &[]);
        }
        saga
    }

    /// Adds an element that is released when every element of `upstream` has committed.
    pub fn add(&mut self, vital: bool, upstream: &[usize]) -> usize {
        let state = if upstream.is_empty() { State::Active } else { State::Waiting };
        self.elements.push(Element { vital, upstream: upstream.to_vec(), state });
        self.elements.len() - 1
    }

    pub fn state(&self) -> State {
        self.state
    }

    pub fn element(&self, i: usize) -> Option<State> {
        self.elements.get(i).map(|e| e.state)
    }

    /// Commits an element and returns those it releases, in order.
    pub fn commit(&mut self, i: usize) -> Vec<usize> {
        if self.state != State::Active || self.element(i) != Some(State::Active) {
            return Vec::new();
        }
        self.elements[i].state = State::Committed;
        self.commit_order.push(i);
        let mut released = Vec::new();
        for j in 0..self.elements.len() {
            let committed = |&u: &usize| self.element(u) == Some(State::Committed);
            if self.elements[j].state == State::Waiting
                && self.elements[j].upstream.iter().all(committed)
            {
                self.elements[j].state = State::Active;
                released.push(j);
            }
        }
        self.settle();
        released
    }

    /// The saga commits when no element is left to run and it has not been aborted.
    fn settle(&mut self) {
        let over = |e: &Element| matches!(e.state, State::Committed | State::Aborted);
        if self.state == State::Active && self.elements.iter().all(over) {
            self.state = State::Committed;
        }
    }

    /// Aborts one element; a vital one takes the saga with it.
    pub fn abort_element(&mut self, i: usize) -> Vec<Action> {
        let active = matches!(self.element(i), Some(State::Active | State::Waiting));
        if self.state != State::Active || !active {
            return Vec::new();
        }
        if self.elements[i].vital {
            self.elements[i].state = State::Aborted;
            return self.abort();
        }
        let mut actions = Vec::new();
        let mut gone = vec![i];
        while let Some(x) = gone.pop() {
            if self.elements[x].state == State::Active && x != i {
                actions.push(Action::Cancel(x));
            }
            self.elements[x].state = State::Aborted;
            for j in 0..self.elements.len() {
                if self.elements[j].state == State::Waiting
                    && self.elements[j].upstream.contains(&x)
                {
                    gone.push(j);
                }
            }
        }
        self.settle();
        actions
    }

    /// Aborts the whole saga. Only an active saga can be aborted.
    pub fn abort(&mut self) -> Vec<Action> {
        if self.state != State::Active {
            return Vec::new();
        }
        self.state = State::Aborted;
        let mut actions = Vec::new();
        for (i, e) in self.elements.iter_mut().enumerate() {
            match e.state {
                State::Active => actions.push(Action::Cancel(i)),
                State::Committed => continue,
                State::Waiting | State::Aborted => {}
            }
            e.state = State::Aborted;
        }
        actions.extend(self.commit_order.iter().rev().map(|&i| Action::Compensate(i)));
        actions
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_job_is_released_when_all_upstream_jobs_have_committed() {
        let mut s = Saga::default();
        let (a, b) = (s.add(true, &[]), s.add(true, &[]));
        let c = s.add(true, &[a, b]);
        assert!(s.commit(a).is_empty());
        assert_eq!(s.element(c), Some(State::Waiting));
        assert_eq!(s.commit(b), vec![c]);
        s.commit(c);
        assert_eq!(s.state(), State::Committed);
        assert_eq!(s.abort(), vec![], "a committed saga cannot be aborted");
    }

    #[test]
    fn a_vital_abort_cancels_the_running_and_compensates_in_reverse_commit_order() {
        let mut s = Saga::flat(4);
        s.commit(2);
        s.commit(0);
        assert_eq!(
            s.abort_element(1),
            vec![Action::Cancel(3), Action::Compensate(0), Action::Compensate(2)]
        );
        assert_eq!(s.state(), State::Aborted);
    }

    #[test]
    fn a_non_vital_abort_cancels_only_what_waits_for_it() {
        let mut s = Saga::default();
        let a = s.add(false, &[]);
        let b = s.add(true, &[a]);
        let c = s.add(true, &[]);
        assert_eq!(s.abort_element(a), vec![]);
        assert_eq!(s.element(b), Some(State::Aborted));
        assert_eq!(s.state(), State::Active);
        s.commit(c);
        assert_eq!(s.state(), State::Committed);
    }
}
