//! Event queue and simulated clock, which determine the order of all events in the simulation.

use super::*;

/// Sender of an HTTP request.
#[derive(Clone, Debug)]
pub enum Origin {
    User {
        job: String,
        what: &'static str,
        asked: u64,
    },
    Worker {
        name: String,
        sent: u64,
    },
}

pub enum Event {
    Command {
        node: usize,
        incarnation: u32,
        command: Command,
    },
    /// A command whose handling was delayed because the controller is short of CPU time.
    DelayedCommand {
        node: usize,
        incarnation: u32,
        command: Command,
    },
    Store {
        node: usize,
        incarnation: u32,
        id: u64,
        request: StoreRequest,
        asked: u64,
    },
    Cloud {
        node: usize,
        incarnation: u32,
        id: u64,
        path: String,
        body: Bytes,
    },
    Peer {
        from: usize,
        to: usize,
        message: Envelope,
    },
    Answer {
        origin: Origin,
        node: usize,
        response: Response,
    },
    Restart {
        node: usize,
    },
    /// A copy of an old heartbeat, for the given controller, or for a random one if `node` is `None`.
    HeartbeatCopy {
        node: Option<usize>,
        body: String,
    },
    /// Commands that a controller sends directly to a worker, not in a heartbeat response.
    DirectCommands {
        node: usize,
        addr: String,
        body: Bytes,
    },
    /// A user's request that is sent when the event is due.
    UserRequest {
        job: String,
        what: &'static str,
        node: usize,
    },
}

impl World {
    pub(super) fn schedule(&mut self, delay: u64, event: Event) {
        self.seq += 1;
        self.events.push(Reverse((self.now + delay, self.seq)));
        self.queue.insert(self.seq, event);
    }

    pub(super) fn jitter(&mut self) -> u64 {
        self.rng.random_range(1_000..12_000)
    }

    /// Runs the simulation for `seconds` seconds.
    pub fn run(&mut self, seconds: u64) {
        self.run_micros(seconds * SECOND);
    }

    /// Runs the simulation for `micros` microseconds.
    pub fn run_micros(&mut self, micros: u64) {
        let end = self.now + micros;
        while self.now < end {
            self.step();
        }
    }

    /// Runs the simulation until `done` holds, and fails the test if it does not hold after `seconds`.
    pub fn run_until(&mut self, seconds: u64, what: &str, mut done: impl FnMut(&World) -> bool) {
        let end = self.now + seconds * SECOND;
        while !done(self) {
            if self.now >= end {
                let open: Vec<_> = self
                    .jobs
                    .iter()
                    .filter(|(_, j)| j.done_confirmed_at.is_none())
                    .collect();
                panic!(
                    "condition not met within {seconds} s: {what}; violations: {:?}; open jobs: {open:?}",
                    self.violations
                );
            }
            self.step();
        }
    }

    /// Advances the clock by [`STEP`], handles the due events and, every [`TICK`], gives all participants their turn.
    /// The invariants that concern the whole cluster are checked once a second.
    fn step(&mut self) {
        if self.now.is_multiple_of(SECOND) {
            self.check_index();
            self.check_cancelled();
            self.check_stored_completions();
            self.check_waiting();
        }
        self.now += STEP;
        self.extend_rollouts_in_outage(STEP);
        self.state.tick(self.now);
        self.send_kept_copies();
        self.wake_watches();
        self.release_held_messages();
        self.handle_due_events();
        if self.now.is_multiple_of(TICK) {
            self.tick_controllers();
            self.step_workers();
            self.poll_jobs();
            self.send_random_queries();
        }
    }

    /// Handles all due events, in the order of their times.
    fn handle_due_events(&mut self) {
        while self.events.peek().is_some_and(|e| e.0.0 <= self.now) {
            let Some(Reverse((_, seq))) = self.events.pop() else {
                break;
            };
            if let Some(event) = self.queue.remove(&seq) {
                self.handle(event);
            }
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Command {
                node,
                incarnation,
                command,
            } => self.deliver_command(node, incarnation, command),
            Event::DelayedCommand {
                node,
                incarnation,
                command,
            } => self.handle_command(node, incarnation, command),
            Event::Store {
                node,
                incarnation,
                id,
                request,
                asked,
            } => self.handle_store_request(node, incarnation, id, &request, asked),
            Event::Cloud {
                node,
                incarnation,
                id,
                path,
                body,
            } => self.handle_cloud_request(node, incarnation, id, &path, &body),
            Event::Peer { from, to, message } => self.deliver_peer_message(from, to, message),
            Event::Answer {
                origin,
                node,
                response,
            } => match origin {
                Origin::User { job, what, asked } => {
                    self.on_user_answer(&job, what, asked, &response);
                }
                Origin::Worker { name, sent } => self.on_worker_answer(name, sent, node, response),
            },
            Event::Restart { node } => self.restart(node),
            Event::DirectCommands { node, addr, body } => self.command_worker(node, addr, body),
            Event::UserRequest { job, what, node } => self.send_request_to(&job, what, node),
            Event::HeartbeatCopy { node, body } => self.deliver_heartbeat_copy(node, body),
        }
    }
}
