//! Controllers: their clocks and lives, the commands that reach them, and the effects they ask for.

use super::*;

pub struct Node {
    pub controller: Option<Controller>,
    pub life: u32,
    pub(super) born: u64,
    pub(super) stepped_at: u64,
    /// How often it was woken with nothing to do but look at its clock.
    pub ticks: u64,
}

impl World {
    /// Who owns a shard, as the state service has it.
    pub fn shard_owner(&self, shard: u32) -> Option<String> {
        let key = assignment_keys(shard).owner;
        Some(self.state.value(&key)?["holder"].as_str()?.to_string())
    }

    /// What the owner of a shard sees, whoever that is.
    pub fn shard(&self, shard: u32) -> Option<&Cluster> {
        let all = self.nodes.iter().filter_map(|n| n.controller.as_ref());
        all.flat_map(|c| c.clusters())
            .filter(|c| c.shard.id == shard)
            .max_by_key(|c| c.term)
    }

    pub(super) fn clock(&self, node: usize) -> Clock {
        // Steady clocks drift by a little, each in its own direction.
        let t = self.now - self.nodes[node].born;
        let drift = (t / 2000) * (node as u64 % 2);
        Clock {
            now: t + drift,
            unix_time: 1_700_000_000 * SECOND + self.now,
        }
    }

    pub fn restart(&mut self, node: usize) {
        self.nodes[node].life += 1;
        self.nodes[node].born = self.now;
        let clock = self.clock(node);
        self.nodes[node].controller = Some(Controller::new(self.settings[node].clone(), clock));
    }

    pub fn crash(&mut self, node: usize, back_after: u64) {
        self.nodes[node].controller = None;
        self.nodes[node].life += 1;
        self.at(back_after, Event::Restart { node });
    }

    /// Whoever leads ends, and is back after so long.
    pub fn lose_leader(&mut self, back_after: u64) {
        if let Some(leader) = self.leader() {
            self.crash(leader, back_after);
        }
    }

    /// The controller that leads, if one does.
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

    pub(super) fn command(&mut self, node: usize, life: u32, command: Command) {
        match self.faults.processor_delays.get(&node).copied() {
            Some(late) if !matches!(command, Command::Tick) => {
                self.at(
                    late,
                    Event::Late {
                        node,
                        life,
                        command,
                    },
                );
            }
            Some(late) if self.now < self.nodes[node].stepped_at + late => {}
            _ => self.take(node, life, command),
        }
    }

    /// A tick for each controller, unless it allowed to be left alone for longer and the test is about that.
    pub(super) fn tick_controllers(&mut self) {
        for node in 0..self.nodes.len() {
            let n = &self.nodes[node];
            let pause = n.controller.as_ref().map_or(0, Controller::max_idle_time);
            if self.patient && pause > TICK && self.now < n.stepped_at + pause {
                continue;
            }
            self.nodes[node].ticks += 1;
            self.command(node, self.nodes[node].life, Command::Tick);
        }
    }

    /// A controller handles a command, unless it is down or stands still.
    pub(super) fn take(&mut self, node: usize, life: u32, command: Command) {
        if self.nodes[node].life != life {
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
                self.at(
                    until - self.now,
                    Event::Command {
                        node,
                        life,
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
        self.nodes[node].stepped_at = self.now;
        for effect in effects {
            let delay = self.jitter();
            if let Effect::Reply { response, .. } = &effect {
                self.check_reply(node, life, response, leading_term, &owned_terms);
            }
            self.carry_out(delay, node, life, effect);
        }
    }

    /// Carries out an effect that a controller asked for.
    fn carry_out(&mut self, delay: u64, node: usize, life: u32, effect: Effect) {
        match effect {
            Effect::Reply {
                connection,
                response,
            } => self.send_reply(delay, life, connection, response),
            Effect::StoreRequest { id, request } => {
                self.send_store_request(delay, node, life, id, request);
            }
            Effect::CloudRequest { id, request } => {
                let (path, body) = (request.path, request.body);
                self.at(
                    delay,
                    Event::Cloud {
                        node,
                        life,
                        id,
                        path,
                        body,
                    },
                );
            }
            Effect::WorkerCommands { addr, body } => {
                self.counters.direct_commands += 1;
                let addr = addr.to_string();
                self.at(delay, Event::Direct { node, addr, body });
            }
            Effect::PeerMessage { to, message } => {
                self.send_peer_message(delay, node, to, message);
            }
        }
    }

    /// Sends an answer to the user or worker that waits for it.
    fn send_reply(&mut self, delay: u64, life: u32, connection: u64, response: Response) {
        let Some((origin, node, _)) = self.conns.remove(&connection) else {
            return;
        };
        let body: Value = serde_json::from_slice(&response.body).unwrap_or_default();
        if let Origin::User { job, .. } = &origin
            && body["status"] == json!("cancelled")
        {
            self.told_by.insert((node, life, job.clone()));
        }
        let is_slow =
            matches!(origin, Origin::Worker { .. }) && self.faults.max_worker_answer_delay > 0;
        let slow = if is_slow {
            self.rng
                .random_range(0..self.faults.max_worker_answer_delay)
        } else {
            0
        };
        self.at(
            delay + slow,
            Event::Answer {
                origin,
                node,
                response,
            },
        );
    }
}
