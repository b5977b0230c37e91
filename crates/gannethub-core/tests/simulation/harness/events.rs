//! The event queue and the simulated clock: what happens in the world, and in which order.

use super::*;

/// Who sent an HTTP request.
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
        life: u32,
        command: Command,
    },
    /// The same, at a controller that is short of processor and gets to it only now.
    Late {
        node: usize,
        life: u32,
        command: Command,
    },
    Store {
        node: usize,
        life: u32,
        id: u64,
        request: StoreRequest,
        asked: u64,
    },
    Cloud {
        node: usize,
        life: u32,
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
    /// A copy of a heartbeat that was delivered long ago, to this controller or to a random one.
    Copy {
        node: Option<usize>,
        body: String,
    },
    /// Commands that a controller sends to a worker directly.
    Direct {
        node: usize,
        addr: String,
        body: Bytes,
    },
    /// A user sends a request.
    Ask {
        job: String,
        what: &'static str,
        node: usize,
    },
}

impl World {
    pub(super) fn at(&mut self, delay: u64, event: Event) {
        self.seq += 1;
        self.events.push(Reverse((self.now + delay, self.seq)));
        self.queue.insert(self.seq, event);
    }

    pub(super) fn jitter(&mut self) -> u64 {
        self.rng.random_range(1_000..12_000)
    }

    pub fn run(&mut self, seconds: u64) {
        self.pause(seconds * SECOND);
    }

    /// The same for a part of a second.
    pub fn pause(&mut self, micros: u64) {
        let end = self.now + micros;
        while self.now < end {
            self.step();
        }
    }

    /// Runs until `done` holds; fails the test after `seconds`.
    pub fn run_until(&mut self, seconds: u64, what: &str, mut done: impl FnMut(&World) -> bool) {
        let end = self.now + seconds * SECOND;
        while !done(self) {
            if self.now >= end {
                let open: Vec<_> = self
                    .jobs
                    .iter()
                    .filter(|(_, j)| j.told_done.is_none())
                    .collect();
                panic!(
                    "not within {seconds} s: {what}; broken: {:?}; open: {open:?}",
                    self.broken
                );
            }
            self.step();
        }
    }

    /// Advances the clock by one step, and everybody with it.
    fn step(&mut self) {
        if self.now.is_multiple_of(SECOND) {
            self.check_index();
            self.check_cancelled();
            self.check_parts();
            self.check_waiting();
        }
        self.now += STEP;
        self.wait_out(STEP);
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

    /// Handles the events whose time has come, in the order of their times.
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
                life,
                command,
            } => self.command(node, life, command),
            Event::Late {
                node,
                life,
                command,
            } => self.take(node, life, command),
            Event::Store {
                node,
                life,
                id,
                request,
                asked,
            } => self.handle_store_request(node, life, id, &request, asked),
            Event::Cloud {
                node,
                life,
                id,
                path,
                body,
            } => self.handle_cloud_request(node, life, id, &path, &body),
            Event::Peer { from, to, message } => self.deliver_peer_message(from, to, message),
            Event::Answer {
                origin,
                node,
                response,
            } => match origin {
                Origin::User { job, what, asked } => {
                    self.user_answer(&job, what, asked, &response);
                }
                Origin::Worker { name, sent } => self.worker_answer(name, sent, node, response),
            },
            Event::Restart { node } => self.restart(node),
            Event::Direct { node, addr, body } => self.command_worker(node, addr, body),
            Event::Ask { job, what, node } => self.ask_at(&job, what, node),
            Event::Copy { node, body } => self.deliver_heartbeat_copy(node, body),
        }
    }
}
