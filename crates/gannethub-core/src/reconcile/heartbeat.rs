//! Worker heartbeats: admission checks, what they say of a machine, and the orders that answer them.
//!
//! The attempts that a heartbeat lists are handled in [`super::attempts`], the answer is put together in
//! [`super::orders`].

use std::sync::Arc;

use gannethub_ledger::line::Reason;

use crate::model::{MachineId, Micros, SECOND, seconds_from_micros};
use crate::state::cluster::Cluster;
use crate::state::machine::Machine;
use crate::state::shard::ShardMember;
use crate::wire::worker::{Order, WorkerHeartbeat};

/// After this many consecutive incarnations that ended although their heartbeats were answered, a machine is
/// quarantined and returned: the answers evidently do not reach its worker.
const MAX_UNANSWERED_INCARNATIONS: u32 = 3;

/// How a worker's heartbeat is answered.
#[derive(Debug, PartialEq)]
pub enum HeartbeatOutcome {
    /// Accepted. The answer renews the worker's lease and carries these orders.
    Orders(Vec<Order>),
    /// An old message, or one whose answer must not renew the worker's lease.
    Stale,
    /// The worker has seen a higher token: this controller has been replaced.
    Deposed,
    /// The machine belongs to that shard, or to none that is known here.
    OtherShard(Option<u32>),
}

/// What a heartbeat changed about its machine.
struct MachineChanges {
    id: MachineId,
    zone: Arc<str>,
    /// The machine has just come up: its type, and the time since it was provisioned. `None` also where nobody
    /// here knows when that was.
    booted: Option<(usize, Micros)>,
    /// The worker has started anew since its last heartbeat.
    is_new_incarnation: bool,
    /// A new incarnation, or the first heartbeat to this leader.
    is_first_contact: bool,
    /// The cloud has announced that it takes the machine back, and this is the first heartbeat to say so.
    is_preemption_announced: bool,
}

impl Cluster {
    /// Applies a worker's heartbeat and returns its answer. The caller has checked that this controller may act,
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
            // A heartbeat that was held back in the network may be older than another leader's launches. Only a
            // worker that has seen this term's token tells us all that it holds.
            return HeartbeatOutcome::Orders(Vec::new());
        }
        self.apply_confirmed_heartbeat(now, heartbeat, &changes);
        HeartbeatOutcome::Orders(self.next_orders(&changes.id))
    }

    /// Why a heartbeat is not for this controller, if it is not.
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
        // The machine is known to be gone. Its tasks, shown by a heartbeat that was held back, must not hold up
        // their successors for another lease.
        (!is_known && is_deleted).then_some(HeartbeatOutcome::Stale)
    }

    /// Updates what is known of the machine itself, adopting one that is not known yet. `None`: the heartbeat is
    /// older than another one, or of an incarnation that counts as lost.
    fn update_machine(
        &mut self,
        now: Micros,
        heartbeat: &WorkerHeartbeat<'_>,
    ) -> Option<MachineChanges> {
        let is_known = self.machines.contains_key(&*heartbeat.machine);
        let interval = self.settings.heartbeat_interval;
        let max_interval = interval + interval / 4 + SECOND / 20;
        let lease = self.settings.lease_duration;
        let machine = self.machine_or_adopt(
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
        if is_new_incarnation && machine.ended_unanswered(now, lease) {
            record_unanswered_incarnation(machine, now, lease);
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

    /// What follows from a heartbeat for the rest of the cluster, whichever leader's token its worker has seen.
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
            // The worker killed and forgot all it had when its lease ended.
            self.lose_attempts(&changes.id, now, Reason::Lease, "its worker started anew");
        }
    }

    /// Has a machine recorded in this shard, which has to be durable before anything is placed on it.
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

    /// Applies what only a heartbeat with this term's token tells: what runs on the machine.
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
            tracing::info!(machine = %id, "preemption notice");
            self.passes.needed = true;
        }
        if self.zones.unreachable.remove(zone).is_some() {
            tracing::info!(%zone, "a zone is heard again");
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
            // What came free is used at once: the launches go out with this very answer.
            self.use_freed_capacity(id, now);
        }
    }

    /// Reconciles the machine's attempts with the heartbeat, unless it lists the same as the last one.
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

/// Marks a machine as up with its first heartbeat. Returns its type and how long it took to boot, where it is known
/// when it was provisioned.
fn mark_up(machine: &mut Machine, is_known: bool, now: Micros) -> Option<(usize, Micros)> {
    if machine.lifecycle.is_up {
        return None;
    }
    let boot_time = now.saturating_sub(machine.lifecycle.provisioned_at);
    let boot_s = seconds_from_micros(boot_time) as u32;
    tracing::info!(machine = %machine.id, known = is_known, boot_s, "machine is up");
    machine.lifecycle.is_up = true;
    machine.placement.idle_since = now;
    // An adopted machine was provisioned by somebody else at an unknown time.
    let machine_type = machine.machine_type.filter(|_| is_known)?;
    Some((machine_type, boot_time))
}

/// Heartbeats arrive from this machine and the answers do not reach it. Whatever is placed there is lost with each
/// incarnation, and as its capacity may be the cheapest of all, it would be placed there again and again.
fn record_unanswered_incarnation(machine: &mut Machine, now: Micros, lease: Micros) {
    machine.worker.unanswered_incarnations += 1;
    let count = machine.worker.unanswered_incarnations;
    machine.placement.unschedulable_until = now + (lease << count.min(MAX_UNANSWERED_INCARNATIONS));
    machine.lifecycle.quarantined |= count >= MAX_UNANSWERED_INCARNATIONS;
    tracing::info!(machine = %machine.id, incarnations = count, "its worker gets no answers");
}

/// Records when a heartbeat came, and whether others were sent since the one before.
fn record_heartbeat(
    machine: &mut Machine,
    heartbeat: &WorkerHeartbeat<'_>,
    now: Micros,
    max_interval: Micros,
) {
    let is_new_incarnation = heartbeat.incarnation > machine.worker.incarnation;
    let is_gap_in_sequence = heartbeat.sequence > machine.worker.sequence + 1;
    // A late heartbeat was held up while its worker tried another controller.
    let is_late = machine
        .worker
        .last_heartbeat_at
        .is_some_and(|last| now > last + max_interval);
    machine.worker.missed_heartbeats = is_new_incarnation || is_gap_in_sequence || is_late;
    machine.worker.incarnation = heartbeat.incarnation;
    machine.worker.sequence = heartbeat.sequence;
    machine.worker.previous_heartbeat_at = machine.worker.last_heartbeat_at.replace(now);
    machine.worker.last_answered_at = now;
}

/// A hash of the attempts that a heartbeat lists and of their states. A heartbeat with the digest of the last one
/// changes nothing, and most do not.
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
