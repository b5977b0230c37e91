//! Halts that are sent to workers at once: tasks of a job that was just cancelled are told to end by `POST /commands`, beside
//! the next answer to their machines' reports.
//!
//! It saves what a task would run or start within a report's time, and reaches workers that reach no controller. Nothing
//! relies on it: it is sent once, its answer is not looked at, and what it does not reach is told by the next answer or ends
//! with its lease. A halt may be carried out late, minutes after it was sent, and can harm nothing then: it names an attempt
//! that is not used again, of a job that is cancelled for ever, under this term's token and the worker's session. A launch or
//! a `forget` could, so they are never sent this way.

use std::net::SocketAddrV4;

use super::heartbeat::MAX_ORDERS_PER_ANSWER;
use crate::model::{AttemptId, MachineId, Micros, TaskId};
use crate::policy::Setting;
use crate::state::attempt::AttemptPhase;
use crate::state::cluster::Cluster;
use crate::wire::worker::Order;

/// What is to be sent to a worker.
#[derive(Debug)]
pub struct KillOrderDelivery {
    pub address: SocketAddrV4,
    pub incarnation: u64,
    pub orders: Vec<Order>,
}

impl Cluster {
    /// An attempt of a cancelled job is to end.
    pub(crate) fn queue_kill_order(&mut self, machine: &MachineId, task: TaskId, attempt: u64) {
        let Some(m) = self
            .machines
            .get(machine)
            .filter(|m| m.worker.address.is_some())
        else {
            return;
        };
        let key = AttemptId {
            task,
            number: attempt,
        };
        let Some(a) = m.attempts.get(&key) else {
            return;
        };
        let starts = matches!(
            a.phase,
            AttemptPhase::Starting | AttemptPhase::Fetching | AttemptPhase::Waiting
        );
        let halt = self.kill_orders.pending.entry(machine.clone()).or_default();
        halt.since = self.now;
        halt.has_unstarted |= starts;
        if halt.attempts.len() < MAX_ORDERS_PER_ANSWER {
            halt.attempts.push(key);
        }
    }

    /// What is to be sent now: first to machines where something would start. Who has been answered since, or has been lost,
    /// needs nothing; and more than may be sent within a report's time is left to the answers.
    pub fn next_kill_orders(&mut self, now: Micros) -> Vec<KillOrderDelivery> {
        if self.kill_orders.pending.is_empty() {
            return Vec::new();
        }
        let halts = &mut self.kill_orders;
        if self.settings.policy.number(Setting::Halts, &[]) <= 0.0 {
            halts.pending.clear();
            return Vec::new();
        }
        halts.rate_limit.refill(now);
        if halts.rate_limit.tokens < 1.0 {
            // Nothing is gone through at each step for what may not be sent yet.
            return Vec::new();
        }
        let (machines, late) = (
            &self.machines,
            self.settings.report + self.settings.report / 4,
        );
        halts.pending.retain(|id, halt| {
            let machine = machines.get(id);
            now < halt.since + late
                && machine
                    .is_some_and(|m| m.worker.last_heartbeat_at.is_none_or(|t| t <= halt.since))
        });
        let mut due: Vec<(bool, MachineId)> = halts
            .pending
            .iter()
            .map(|(id, halt)| (!halt.has_unstarted, id.clone()))
            .collect();
        due.sort();
        due.truncate(halts.rate_limit.tokens as usize);
        let mut sent = Vec::new();
        for (_, id) in due {
            let (Some(halt), Some(m)) = (halts.pending.remove(&id), machines.get(&id)) else {
                continue;
            };
            let alive = |key: &AttemptId| {
                m.attempts
                    .get(key)
                    .is_some_and(|a| !matches!(a.phase, AttemptPhase::Ended(_)))
            };
            let attempts = halt.attempts.into_iter().filter(alive);
            let stop = |attempt: AttemptId| Order::Stop {
                task: attempt.task.to_string(),
                attempt: attempt.number,
                grace_s: 0.0,
            };
            let orders: Vec<Order> = attempts.map(stop).collect();
            if let (Some(addr), false) = (m.worker.address, orders.is_empty()) {
                halts.rate_limit.tokens -= 1.0;
                sent.push(KillOrderDelivery {
                    address: addr,
                    incarnation: m.worker.incarnation,
                    orders,
                });
            }
        }
        sent
    }
}
