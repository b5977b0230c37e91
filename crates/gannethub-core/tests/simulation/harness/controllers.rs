//! Simulated controllers: their clocks, restarts and crashes, the commands that reach them, and the effects that they
//! request.

use super::*;

pub struct Node {
    pub controller: Option<Controller>,
    pub incarnation: u32,
    pub(super) started_at: u64,
    pub(super) last_step_at: u64,
    /// Number of ticks sent to the controller: wake-ups in which the controller only looks at its clock.
    pub ticks: u64,
}

impl World {
    /// Returns the owner of a shard as stored in the state service.
    pub fn shard_owner(&self, shard: u32) -> Option<String> {
        let key = assignment_keys(shard).owner;
        Some(self.state.value(&key)?["holder"].as_str()?.to_string())
    }

    /// Returns the cluster state of the shard's owner. If several controllers consider themselves its owner, the
    /// state under the highest term is returned.
    pub fn shard(&self, shard: u32) -> Option<&Cluster> {
        let all = self.nodes.iter().filter_map(|n| n.controller.as_ref());
        all.flat_map(|c| c.clusters())
            .filter(|c| c.shard.id == shard)
            .max_by_key(|c| c.term)
    }

    pub(super) fn clock(&self, node: usize) -> Clock {
        // The monotonic clocks of nodes with an odd number run fast by 1/2000; the other clocks are exact.
        let t = self.now - self.nodes[node].started_at;
        let drift = (t / 2000) * (node as u64 % 2);
        Clock {
            now: t + drift,
            unix_time: 1_700_000_000 * SECOND + self.now,
        }
    }

    pub fn restart(&mut self, node: usize) {
        self.nodes[node].incarnation += 1;
        self.nodes[node].started_at = self.now;
        let clock = self.clock(node);
        self.nodes[node].controller = Some(Controller::new(self.settings[node].clone(), clock));
    }

    pub fn crash(&mut self, node: usize, back_after: u64) {
        self.nodes[node].controller = None;
        self.nodes[node].incarnation += 1;
        self.schedule(back_after, Event::Restart { node });
    }

    /// Crashes the leader, if there is one, and restarts it after `back_after` microseconds.
    pub fn crash_leader(&mut self, back_after: u64) {
        if let Some(leader) = self.leader() {
            self.crash(leader, back_after);
        }
    }

    /// Returns the node that leads, or `None`. If several nodes consider themselves leader, the one with the highest
    /// term is returned.
    pub fn leader(&self) -> Option<usize> {
        (0..self.nodes.len())
            .filter(|&i| {
                self.nodes[i]
                    .controller
                    .as_ref()
                    .is_some_and(|c| c.cluster().is_some())
            })
            .max_by_key(|&i| {
                let controller = self.nodes[i].controller.as_ref();
                controller.and_then(|c| c.cluster()).map_or(0, |c| c.term)
            })
    }

    pub(super) fn deliver_command(&mut self, node: usize, incarnation: u32, command: Command) {
        match self.faults.processor_delays.get(&node).copied() {
            Some(late) if !matches!(command, Command::Tick) => {
                self.schedule(
                    late,
                    Event::DelayedCommand {
                        node,
                        incarnation,
                        command,
                    },
                );
            }
            Some(late) if self.now < self.nodes[node].last_step_at + late => {}
            _ => self.handle_command(node, incarnation, command),
        }
    }

    /// Sends a tick to each controller. If `respects_idle_time` is set, a controller that allows a longer idle time gets
    /// its tick only after that time.
    pub(super) fn tick_controllers(&mut self) {
        for node in 0..self.nodes.len() {
            let n = &self.nodes[node];
            let pause = n.controller.as_ref().map_or(0, Controller::max_idle_time);
            if self.respects_idle_time && pause > TICK && self.now < n.last_step_at + pause {
                continue;
            }
            self.nodes[node].ticks += 1;
            self.deliver_command(node, self.nodes[node].incarnation, Command::Tick);
        }
    }

    /// Passes a command to a controller. A command for an earlier incarnation or for a stopped controller is dropped.
    /// While the controller is frozen, ticks are dropped and all other commands wait.
    pub(super) fn handle_command(&mut self, node: usize, incarnation: u32, command: Command) {
        if self.nodes[node].incarnation != incarnation {
            return;
        }
        if let Some(until) = self
            .faults
            .frozen_until
            .get(&node)
            .copied()
            .filter(|t| self.now < *t)
        {
            if !matches!(command, Command::Tick) {
                self.schedule(
                    until - self.now,
                    Event::Command {
                        node,
                        incarnation,
                        command,
                    },
                );
            }
            return;
        }
        let clock = self.clock(node);
        let Some(controller) = self.nodes[node].controller.as_mut() else {
            return;
        };
        let effects = controller.step(clock, [command]);
        let leading_term = controller.cluster().map(|c| c.term);
        let owned_terms: Vec<u64> = controller.clusters().map(|c| c.term).collect();
        self.nodes[node].last_step_at = self.now;
        for effect in effects {
            let delay = self.jitter();
            if let Effect::Reply { response, .. } = &effect {
                self.check_reply(node, incarnation, response, leading_term, &owned_terms);
            }
            self.carry_out(delay, node, incarnation, effect);
        }
    }

    /// Carries out an effect that a controller requested.
    fn carry_out(&mut self, delay: u64, node: usize, incarnation: u32, effect: Effect) {
        match effect {
            Effect::Reply {
                connection,
                response,
            } => self.send_reply(delay, incarnation, connection, response),
            Effect::StoreRequest { id, request } => {
                self.send_store_request(delay, node, incarnation, id, request);
            }
            Effect::CloudRequest { id, request } => {
                let (path, body) = (request.path, request.body);
                self.schedule(
                    delay,
                    Event::Cloud {
                        node,
                        incarnation,
                        id,
                        path,
                        body,
                    },
                );
            }
            Effect::WorkerCommands { addr, body } => {
                self.counters.direct_commands += 1;
                let addr = addr.to_string();
                self.schedule(delay, Event::DirectCommands { node, addr, body });
            }
            Effect::PeerMessage { to, message } => {
                self.send_peer_message(delay, node, to, message);
            }
        }
    }

    /// Sends an answer to the user or worker that waits for it, and records confirmations of cancellations.
    fn send_reply(&mut self, delay: u64, incarnation: u32, connection: u64, response: Response) {
        let Some((origin, node, _)) = self.connections.remove(&connection) else {
            return;
        };
        let body: Value = serde_json::from_slice(&response.body).unwrap_or_default();
        if let Origin::User { job, .. } = &origin
            && body["status"] == json!("cancelled")
        {
            self.confirmed_cancellations
                .insert((node, incarnation, job.clone()));
        }
        let is_slow =
            matches!(origin, Origin::Worker { .. }) && self.faults.max_worker_answer_delay > 0;
        let slow = if is_slow {
            self.rng
                .random_range(0..self.faults.max_worker_answer_delay)
        } else {
            0
        };
        self.schedule(
            delay + slow,
            Event::Answer {
                origin,
                node,
                response,
            },
        );
    }
}
