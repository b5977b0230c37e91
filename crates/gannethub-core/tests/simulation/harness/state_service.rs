//! Controllers' requests to the state service. By the faults in force, the state service answers late, refuses requests
//! or lets watches hang, and answers are lost.

use super::*;

impl World {
    /// Handles a request that reaches the state service and schedules its answer.
    pub(super) fn handle_store_request(
        &mut self,
        node: usize,
        incarnation: u32,
        id: u64,
        request: &StoreRequest,
        asked: u64,
    ) {
        let own = self.nodes[node].incarnation == incarnation;
        if own && self.faults.store_refuses.contains(&node) {
            return self.store_answer(node, incarnation, id, Some((503, json!({}))));
        }
        let outcome = self.state.handle(
            request.method.as_str(),
            &request.path,
            &request.body,
            self.now,
        );
        match outcome {
            Outcome::Answer(status, body) => {
                let lost = self.now > asked + request.timeout;
                let answer = (!lost).then_some((status, body));
                let late = self.faults.commit_answer_delays.get(&node).copied();
                match late.filter(|_| request.path == "/commit") {
                    Some(late) => self.schedule_store_answer(late, node, incarnation, id, answer),
                    None => self.store_answer(node, incarnation, id, answer),
                }
            }
            // A read that does not wait is not a watch, so it is answered even if watches hang.
            Outcome::Wait { until, .. }
                if until <= self.now && self.faults.hung_watches.contains(&node) =>
            {
                let no_changes_answer = self.state.no_changes_answer();
                self.store_answer(node, incarnation, id, Some((200, no_changes_answer)));
            }
            Outcome::Wait {
                prefix,
                after,
                until,
            } => {
                self.watches
                    .push((node, incarnation, id, prefix, after, until));
            }
        }
    }

    /// Sends a controller's request. The faults in force may carry out a transaction late or lose its answer. In both
    /// cases the controller sees a timeout.
    pub(super) fn send_store_request(
        &mut self,
        delay: u64,
        node: usize,
        incarnation: u32,
        id: u64,
        request: StoreRequest,
    ) {
        let late = request.path == "/commit" && self.rng.random_bool(self.faults.late_commit_rate);
        let lost = !late
            && request.path == "/commit"
            && self.faults.lost_commit_answer_rate > 0.0
            && self.rng.random_bool(self.faults.lost_commit_answer_rate);
        if !late && !lost {
            let asked = self.now;
            self.schedule(
                delay,
                Event::Store {
                    node,
                    incarnation,
                    id,
                    request,
                    asked,
                },
            );
            return;
        }
        let long = self.rng.random_range(SECOND..20 * SECOND);
        let long = if lost { delay } else { long };
        self.counters.unanswered_commits += usize::from(lost);
        let patience = request.timeout;
        self.schedule(
            long,
            Event::Store {
                node,
                incarnation: 0,
                id,
                request,
                asked: 0,
            },
        );
        self.schedule_store_timeout(patience, node, incarnation, id);
    }

    /// Schedules the timeout of a controller's request after `patience` microseconds.
    fn schedule_store_timeout(&mut self, patience: u64, node: usize, incarnation: u32, id: u64) {
        let answer = Err(CallError::Timeout);
        let command = Command::StoreAnswer { id, answer };
        self.schedule(
            patience,
            Event::Command {
                node,
                incarnation,
                command,
            },
        );
    }

    pub(super) fn store_answer(
        &mut self,
        node: usize,
        incarnation: u32,
        id: u64,
        answer: Option<(u16, Value)>,
    ) {
        let delay = self.store_delay();
        self.schedule_store_answer(delay, node, incarnation, id, answer);
    }

    /// Draws the delay of an answer from the state service, in microseconds.
    pub(super) fn store_delay(&mut self) -> u64 {
        let slow = if self.faults.max_store_delay > 0 {
            self.rng.random_range(0..self.faults.max_store_delay)
        } else {
            0
        };
        self.jitter() + slow
    }

    pub(super) fn schedule_store_answer(
        &mut self,
        delay: u64,
        node: usize,
        incarnation: u32,
        id: u64,
        answer: Option<(u16, Value)>,
    ) {
        let answer = answer
            .map(|(status, body)| Answer::new(status, body.to_string()))
            .ok_or(CallError::Timeout);
        self.schedule(
            delay,
            Event::Command {
                node,
                incarnation,
                command: Command::StoreAnswer { id, answer },
            },
        );
    }

    pub(super) fn wake_watches(&mut self) {
        if self.state.down {
            return;
        }
        for (node, incarnation, id, prefix, after, until) in std::mem::take(&mut self.watches) {
            let hangs = self.faults.store_refuses.contains(&node)
                || self.faults.hung_watches.contains(&node);
            if hangs && self.nodes[node].incarnation == incarnation {
                // The controller's open watches get no answer, as in an outage, until they time out 3 s after their
                // normal end.
                match self.now > until + 3 * SECOND {
                    true => self.store_answer(node, incarnation, id, None),
                    false => self
                        .watches
                        .push((node, incarnation, id, prefix, after, until)),
                }
                continue;
            }
            match self.state.changes(&prefix, after) {
                Some(changes) => {
                    let slow = self.faults.max_watch_delay;
                    let slow = if slow > 0 {
                        self.rng.random_range(0..slow)
                    } else {
                        0
                    };
                    let delay = slow + self.store_delay();
                    self.schedule_store_answer(delay, node, incarnation, id, Some((200, changes)));
                }
                None if until <= self.now => {
                    let no_changes_answer = self.state.no_changes_answer();
                    self.store_answer(node, incarnation, id, Some((200, no_changes_answer)));
                }
                None => self
                    .watches
                    .push((node, incarnation, id, prefix, after, until)),
            }
        }
    }
}
