//! Pushed kill orders: workers are told to stop the tasks of a just cancelled job by `POST /commands`, in addition to
//! the next response to their heartbeats.
//!
//! A push saves up to one heartbeat interval of a task's work, or prevents the task's start. A push also reaches
//! workers that cannot reach any controller. Nothing relies on a push: it is sent once and its response is ignored. A
//! worker that a push does not reach gets the order with its next heartbeat response, or stops the tasks when its lease
//! ends.
//!
//! A push may arrive minutes after it was sent, and must be harmless then. A kill order is harmless: it names an
//! attempt that is never used again, of a job that is cancelled for good, under this term's fencing token and the
//! worker's incarnation. A launch or a `forget` order is not harmless when late, so neither is ever pushed.

use std::net::SocketAddrV4;

use super::orders::{MAX_ORDERS_PER_RESPONSE, stop_order};
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
    /// Queues a kill order for an attempt of a cancelled job, if the address of its worker is known.
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
        order.last_cancelled_at = self.now;
        order.has_unstarted |= is_unstarted;
        if order.attempts.len() < MAX_ORDERS_PER_RESPONSE {
            order.attempts.push(attempt_id);
        }
    }

    /// Returns the pushes to send now, within the rate limit. Machines with tasks that have not started yet come first.
    pub fn next_kill_orders(&mut self, now: Micros) -> Vec<KillOrderDelivery> {
        if self.kill_orders.pending.is_empty() {
            return Vec::new();
        }
        if self.settings.policy.number(Setting::KillOrderRate, &[]) <= 0.0 {
            self.kill_orders.pending.clear();
            return Vec::new();
        }
        self.kill_orders.rate_limit.refill(now);
        if self.kill_orders.rate_limit.tokens < 1.0 {
            // While the rate limit allows no push, scanning the queue at each step would be wasted work.
            return Vec::new();
        }
        self.drop_unneeded_kill_orders(now);
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

    /// Drops kill orders for machines that were removed, that have sent a heartbeat since the order was queued, or
    /// whose next heartbeat is due by now. The response to the heartbeat carries the same order.
    fn drop_unneeded_kill_orders(&mut self, now: Micros) {
        let machines = &self.machines;
        let answered_within =
            self.settings.heartbeat_interval + self.settings.heartbeat_interval / 4;
        self.kill_orders.pending.retain(|id, order| {
            let is_unanswered = machines.get(id).is_some_and(|machine| {
                let last = machine.worker.last_heartbeat_at;
                last.is_none_or(|last| last <= order.last_cancelled_at)
            });
            is_unanswered && now < order.last_cancelled_at + answered_within
        });
    }

    /// Returns the machines to which a push may be sent now, most urgent first.
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

/// Returns the push for a worker, or `None` if all the attempts have ended or the worker's address is no longer known.
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
