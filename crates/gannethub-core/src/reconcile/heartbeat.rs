//! Worker heartbeats: admission checks, machine updates, and the orders in the response.
//!
//! The attempts that a heartbeat lists are handled in [`super::attempts`]; the orders of the response are built in
//! [`super::orders`].

use std::sync::Arc;

use gannethub_ledger::line::Reason;

use crate::model::{MachineId, Micros, SECOND, seconds_from_micros};
use crate::state::cluster::Cluster;
use crate::state::machine::Machine;
use crate::state::shard::ShardMember;
use crate::wire::worker::{Order, WorkerHeartbeat};

/// Number of consecutive incarnations that ended although their heartbeats were answered, after which a machine is
/// quarantined and returned to the cloud. The responses evidently do not reach its worker.
const MAX_LOST_RESPONSE_INCARNATIONS: u32 = 3;

/// Outcome of a worker's heartbeat, which determines the response.
#[derive(Debug, PartialEq)]
pub enum HeartbeatOutcome {
    /// The heartbeat is accepted. The response renews the worker's lease and carries these orders.
    Orders(Vec<Order>),
    /// The heartbeat is outdated, or its response must not renew the worker's lease.
    Stale,
    /// The worker has seen a higher fencing token: this controller has been replaced.
    Deposed,
    /// The machine belongs to the given shard. `None`: its shard is not known here.
    OtherShard(Option<u32>),
}

/// Changes of a machine that a heartbeat caused.
struct MachineChanges {
    id: MachineId,
    zone: Arc<str>,
    /// Type of a machine that has just come up, and the time from its provisioning to this heartbeat. `None` if the
    /// machine was up before, and also if this controller does not know when the machine was provisioned.
    booted: Option<(usize, Micros)>,
    /// Whether the worker has restarted since its last heartbeat.
    is_new_incarnation: bool,
    /// Whether this is the first heartbeat of an incarnation, or no heartbeat with this term's fencing token has
    /// arrived from the worker so far.
    is_first_contact: bool,
    /// Whether this is the first heartbeat with the cloud's preemption notice for the machine.
    is_preemption_announced: bool,
}

impl Cluster {
    /// Applies a worker's heartbeat and returns its outcome. The caller has checked that this controller may act,
    /// i.e. that its lease is valid.
    pub fn apply_heartbeat(
        &mut self,
        now: Micros,
        heartbeat: &WorkerHeartbeat<'_>,
    ) -> HeartbeatOutcome {
        self.now = now;
        if let Some(refusal) = self.heartbeat_refusal(heartbeat) {
            return refusal;
        }
        let Some(changes) = self.update_machine(now, heartbeat) else {
            return HeartbeatOutcome::Stale;
        };
        self.apply_machine_changes(now, heartbeat, &changes);
        if heartbeat.token < self.term {
            // A heartbeat that was delayed in the network may be older than another leader's launches. Only a worker
            // that has seen this term's fencing token reports all tasks that it holds.
            return HeartbeatOutcome::Orders(Vec::new());
        }
        self.apply_confirmed_heartbeat(now, heartbeat, &changes);
        HeartbeatOutcome::Orders(self.next_orders(&changes.id))
    }

    /// Returns the outcome of a heartbeat that this controller refuses, or `None` if it passes these checks.
    fn heartbeat_refusal(&self, heartbeat: &WorkerHeartbeat<'_>) -> Option<HeartbeatOutcome> {
        let is_known = self.machines.contains_key(&*heartbeat.machine);
        if !is_known && self.shard.id != 0 {
            return Some(HeartbeatOutcome::OtherShard(None));
        }
        if let Some(shard) = self.other_shards.machines.get(&*heartbeat.machine) {
            return Some(HeartbeatOutcome::OtherShard(Some(*shard)));
        }
        if heartbeat.token > self.term {
            return Some(HeartbeatOutcome::Deposed);
        }
        let is_deleted = self
            .fleet
            .deleted_machines
            .contains_key(&*heartbeat.machine);
        // The machine is known to be deleted. Tasks listed in a delayed heartbeat of the machine must not delay their
        // successors for another lease duration.
        (!is_known && is_deleted).then_some(HeartbeatOutcome::Stale)
    }

    /// Updates the state of the machine itself, and adopts a machine that is not known yet. Returns `None` if the
    /// heartbeat is not newer than an earlier one, or belongs to an incarnation that counts as lost.
    fn update_machine(
        &mut self,
        now: Micros,
        heartbeat: &WorkerHeartbeat<'_>,
    ) -> Option<MachineChanges> {
        let is_known = self.machines.contains_key(&*heartbeat.machine);
        let interval = self.settings.heartbeat_interval;
        let max_interval = interval + interval / 4 + SECOND / 20;
        let lease = self.settings.lease_duration;
        let machine = self.get_or_adopt_machine(
            &heartbeat.machine,
            &heartbeat.machine_type,
            &heartbeat.zone,
            heartbeat.spot,
            now,
        );
        let latest = (machine.worker.incarnation, machine.worker.sequence);
        if (heartbeat.incarnation, heartbeat.sequence) <= latest
            || heartbeat.incarnation <= machine.worker.lost_incarnation
        {
            return None;
        }
        let booted = mark_up(machine, is_known, now);
        let is_new_incarnation = heartbeat.incarnation > machine.worker.incarnation;
        let is_first_contact = is_new_incarnation || !machine.worker.confirmed;
        if is_new_incarnation && machine.ended_with_lost_responses(now, lease) {
            record_lost_response_incarnation(machine, now, lease);
        }
        record_heartbeat(machine, heartbeat, now, max_interval);
        if is_first_contact || machine.worker.address.is_none() {
            machine.worker.address = heartbeat.address.parse().ok();
        }
        let is_preemption_announced =
            heartbeat.preemption_notice_s.is_some() && !machine.lifecycle.preemption_notice;
        machine.lifecycle.preemption_notice |= is_preemption_announced;
        Some(MachineChanges {
            id: machine.id.clone(),
            zone: machine.zone.clone(),
            booted,
            is_new_incarnation,
            is_first_contact,
            is_preemption_announced,
        })
    }

    /// Applies the effects of a heartbeat on the rest of the cluster that do not depend on the fencing token that the
    /// worker has seen.
    fn apply_machine_changes(
        &mut self,
        now: Micros,
        heartbeat: &WorkerHeartbeat<'_>,
        changes: &MachineChanges,
    ) {
        self.add_to_shard(heartbeat, &changes.id);
        if let Some((machine_type, boot_time)) = changes.booted {
            let nominal = self.machine_types[machine_type].boot_time;
            self.fleet.provisioning_times.record_boot(
                machine_type,
                &changes.zone,
                nominal,
                boot_time,
                now,
            );
        }
        self.passes.needed |= changes.is_first_contact;
        if changes.is_new_incarnation {
            // The worker killed and forgot all its tasks when its lease ended.
            self.lose_attempts(&changes.id, now, Reason::Lease, "worker restarted");
        }
    }

    /// Queues a machine for recording in this shard. The record has to be durable before a task is placed on the
    /// machine.
    fn add_to_shard(&mut self, heartbeat: &WorkerHeartbeat<'_>, id: &MachineId) {
        let is_unrecorded = self
            .machines
            .get(id)
            .is_some_and(|machine| !machine.lifecycle.recorded && !machine.lifecycle.deleting);
        if is_unrecorded && !self.shard.contains(id) {
            let member = ShardMember {
                machine_type: heartbeat.machine_type.to_string(),
                zone: heartbeat.zone.to_string(),
                spot: heartbeat.spot,
            };
            self.shard.add(id, member, None);
        }
    }

    /// Applies the parts of a heartbeat that count only with this term's fencing token, above all the tasks that the
    /// heartbeat lists: only a heartbeat with this token lists all tasks that run on the machine.
    fn apply_confirmed_heartbeat(
        &mut self,
        now: Micros,
        heartbeat: &WorkerHeartbeat<'_>,
        changes: &MachineChanges,
    ) {
        let (id, zone) = (&changes.id, &changes.zone);
        if let Some(machine) = self.machines.get_mut(id) {
            machine.worker.confirmed = true;
        }
        if changes.is_preemption_announced {
            tracing::info!(machine = %id, "preemption notice received");
            self.passes.needed = true;
        }
        if self.zones.unreachable.remove(zone).is_some() {
            tracing::info!(%zone, "zone is reachable again");
        }
        self.reconcile_if_changed(id, now, heartbeat);
        if self
            .machines
            .get(id)
            .is_some_and(|m| m.lifecycle.preemption_notice)
        {
            self.drain_machine(id);
        }
        self.reindex_machine(id, now);
        if std::mem::take(&mut self.passes.capacity_freed) {
            // Freed capacity is used at once, so that the launches go out with the response to this heartbeat.
            self.use_freed_capacity(id, now);
        }
    }

    /// Reconciles the machine's attempts with the heartbeat, unless the heartbeat lists the same attempts in the same
    /// states as the last one.
    fn reconcile_if_changed(
        &mut self,
        id: &MachineId,
        now: Micros,
        heartbeat: &WorkerHeartbeat<'_>,
    ) {
        let digest = Some(heartbeat_digest(heartbeat));
        let has_changed = |machine: &Machine| machine.worker.heartbeat_digest != digest;
        if !self.machines.get(id).is_some_and(has_changed) {
            return;
        }
        self.reconcile_attempts(id, now, heartbeat);
        if let Some(machine) = self.machines.get_mut(id) {
            machine.worker.heartbeat_digest = digest;
        }
    }
}

/// Marks a machine as up on its first heartbeat. Returns its machine type and boot time if its provisioning time is
/// known.
fn mark_up(machine: &mut Machine, is_known: bool, now: Micros) -> Option<(usize, Micros)> {
    if machine.lifecycle.has_booted {
        return None;
    }
    let boot_time = now.saturating_sub(machine.lifecycle.provisioned_at);
    let boot_s = seconds_from_micros(boot_time) as u32;
    tracing::info!(machine = %machine.id, known = is_known, boot_s, "machine is up");
    machine.lifecycle.has_booted = true;
    machine.placement.idle_since = now;
    // An adopted machine was provisioned by another controller at an unknown time.
    let machine_type = machine.machine_type.filter(|_| is_known)?;
    Some((machine_type, boot_time))
}

/// Records an incarnation that ended although its heartbeats were answered, and backs off placement on the machine.
/// The machine is quarantined after [`MAX_LOST_RESPONSE_INCARNATIONS`] such incarnations in a row.
///
/// Heartbeats arrive from the machine but the responses do not reach it. Tasks placed on the machine are lost with each
/// incarnation, and as its capacity may be the cheapest of all, they would be placed there again and again.
fn record_lost_response_incarnation(machine: &mut Machine, now: Micros, lease: Micros) {
    machine.worker.lost_response_incarnations += 1;
    let count = machine.worker.lost_response_incarnations;
    machine.placement.unschedulable_until =
        now + (lease << count.min(MAX_LOST_RESPONSE_INCARNATIONS));
    machine.lifecycle.quarantined |= count >= MAX_LOST_RESPONSE_INCARNATIONS;
    tracing::info!(machine = %machine.id, incarnations = count, "responses do not reach worker");
}

/// Records the arrival time of a heartbeat, and whether the worker sent other heartbeats since the last one received.
fn record_heartbeat(
    machine: &mut Machine,
    heartbeat: &WorkerHeartbeat<'_>,
    now: Micros,
    max_interval: Micros,
) {
    let is_new_incarnation = heartbeat.incarnation > machine.worker.incarnation;
    let is_gap_in_sequence = heartbeat.sequence > machine.worker.sequence + 1;
    // A late heartbeat was delayed while its worker tried another controller.
    let is_late = machine
        .worker
        .last_heartbeat_at
        .is_some_and(|last| now > last + max_interval);
    machine.worker.missed_heartbeats = is_new_incarnation || is_gap_in_sequence || is_late;
    machine.worker.incarnation = heartbeat.incarnation;
    machine.worker.sequence = heartbeat.sequence;
    machine.worker.previous_heartbeat_at = machine.worker.last_heartbeat_at.replace(now);
    machine.worker.last_response_at = now;
}

/// Returns a hash of the attempts that a heartbeat lists and of their states. A heartbeat with the same digest as the
/// last one changes no attempt, and most heartbeats change none.
fn heartbeat_digest(heartbeat: &WorkerHeartbeat<'_>) -> u64 {
    use std::hash::{DefaultHasher, Hash, Hasher};
    let mut hasher = DefaultHasher::new();
    heartbeat.tasks.len().hash(&mut hasher);
    for task in &heartbeat.tasks {
        let reason = task.exit_reason.map(|reason| reason as u8);
        (&task.task, task.attempt, task.state as u8, reason).hash(&mut hasher);
    }
    hasher.finish()
}
