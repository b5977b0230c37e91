//! Kill orders that are pushed: tasks of a job that was just cancelled are told to stop by `POST /commands`, beside the
//! next answer to their machines' heartbeats.
//!
//! A push saves what a task would run, or start, within a heartbeat interval, and reaches workers that reach no
//! controller. Nothing relies on it: it is sent once, its answer is not looked at, and whatever it does not reach is
//! told by the next answer or ends with its worker's lease.
//!
//! A push may arrive late, minutes after it was sent, and must be harmless then. A kill order is: it names an attempt
//! that is never used again, of a job that is cancelled for good, under this term's token and the worker's
//! incarnation. A launch or a `forget` is not, so those are never pushed.

use std::net::SocketAddrV4;

use super::orders::{MAX_ORDERS_PER_ANSWER, stop_order};
use crate::model::{AttemptId, MachineId, Micros};
use crate::policy::Setting;
use crate::state::attempt::AttemptPhase;
use crate::state::cluster::Cluster;
use crate::state::kill_orders::KillOrder;
use crate::state::machine::Machine;
use crate::wire::worker::Order;

/// Kill orders to be pushed to one worker.
#[derive(Debug)]
pub struct KillOrderDelivery {
    pub address: SocketAddrV4,
    pub incarnation: u64,
    pub orders: Vec<Order>,
}

impl Cluster {
    /// Queues a kill order for an attempt of a cancelled job, if its worker takes pushes.
    pub(super) fn queue_kill_order(&mut self, machine: &MachineId, attempt_id: AttemptId) {
        let known = self.machines.get(machine);
        let Some(reachable) = known.filter(|machine| machine.worker.address.is_some()) else {
            return;
        };
        let Some(attempt) = reachable.attempts.get(&attempt_id) else {
            return;
        };
        let is_unstarted = matches!(
            attempt.phase,
            AttemptPhase::Starting | AttemptPhase::Fetching | AttemptPhase::Waiting
        );
        let order = self.kill_orders.pending.entry(machine.clone()).or_default();
        order.since = self.now;
        order.has_unstarted |= is_unstarted;
        if order.attempts.len() < MAX_ORDERS_PER_ANSWER {
            order.attempts.push(attempt_id);
        }
    }

    /// The pushes to send now, as far as the rate limit goes: first to machines where something would start.
    pub fn next_kill_orders(&mut self, now: Micros) -> Vec<KillOrderDelivery> {
        if self.kill_orders.pending.is_empty() {
            return Vec::new();
        }
        if self.settings.policy.number(Setting::Halts, &[]) <= 0.0 {
            self.kill_orders.pending.clear();
            return Vec::new();
        }
        self.kill_orders.rate_limit.refill(now);
        if self.kill_orders.rate_limit.tokens < 1.0 {
            // The queue is not gone through at each step for what may not be sent yet.
            return Vec::new();
        }
        self.drop_needless_kill_orders(now);
        let mut deliveries = Vec::new();
        for id in self.kill_orders_by_urgency() {
            let order = self.kill_orders.pending.remove(&id);
            let (Some(order), Some(machine)) = (order, self.machines.get(&id)) else {
                continue;
            };
            if let Some(delivery) = delivery_to(machine, order) {
                self.kill_orders.rate_limit.tokens -= 1.0;
                deliveries.push(delivery);
            }
        }
        deliveries
    }

    /// Drops orders for machines that are lost, that were answered since, or that are about to be.
    fn drop_needless_kill_orders(&mut self, now: Micros) {
        let machines = &self.machines;
        let answered_within =
            self.settings.heartbeat_interval + self.settings.heartbeat_interval / 4;
        self.kill_orders.pending.retain(|id, order| {
            let is_unanswered = machines.get(id).is_some_and(|machine| {
                let last = machine.worker.last_heartbeat_at;
                last.is_none_or(|last| last <= order.since)
            });
            is_unanswered && now < order.since + answered_within
        });
    }

    /// The machines that may be told now.
    fn kill_orders_by_urgency(&self) -> Vec<MachineId> {
        let pending = self.kill_orders.pending.iter();
        let mut due: Vec<(bool, MachineId)> = pending
            .map(|(id, order)| (!order.has_unstarted, id.clone()))
            .collect();
        due.sort();
        due.truncate(self.kill_orders.rate_limit.tokens as usize);
        due.into_iter().map(|(_, id)| id).collect()
    }
}

/// What is pushed to a worker; `None` if all the attempts have ended, or it takes no pushes any more.
fn delivery_to(machine: &Machine, order: KillOrder) -> Option<KillOrderDelivery> {
    let is_live = |attempt_id: &AttemptId| {
        let attempt = machine.attempts.get(attempt_id);
        attempt.is_some_and(|attempt| !attempt.phase.is_ended())
    };
    let live = order.attempts.into_iter().filter(is_live);
    let orders: Vec<Order> = live.map(|id| stop_order(&id.task, id.number, 0)).collect();
    let address = machine.worker.address.filter(|_| !orders.is_empty())?;
    Some(KillOrderDelivery {
        address,
        incarnation: machine.worker.incarnation,
        orders,
    })
}
