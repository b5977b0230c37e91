//! Machines as the leader remembers them: identity, worker and lease, provisioning, and what is placed on them.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddrV4;
use std::sync::Arc;

use super::attempt::Attempt;
use super::capacity_index::{CapacityIndex, MachineKind};
use crate::model::{AttemptId, JobId, MachineId, MachineType, Micros, Resources, SECOND};

/// Heartbeats that arrived closer together than this may have been held back in the network together.
const MIN_HEARTBEAT_SPACING: Micros = 3 * SECOND;

/// A machine that is known to this leader.
///
/// The use of resources ([`Machine::used`]) and the position in the capacity index are changed by
/// [`Cluster`](super::cluster::Cluster) alone, which keeps them consistent with each other.
#[derive(Debug)]
pub struct Machine {
    pub id: MachineId,
    /// Index into the list of machine types. `None`: its type is unknown, and nothing may be placed on it.
    pub machine_type: Option<usize>,
    /// The resources of the whole machine.
    pub capacity: Resources,
    pub zone: Arc<str>,
    /// It is a spot machine: the cloud may take it back at short notice.
    pub spot: bool,
    /// Everything that is or may still be on the machine, by task and number.
    pub attempts: BTreeMap<AttemptId, Attempt>,
    /// The resources of all attempts that hold capacity.
    pub used: Resources,
    pub worker: WorkerState,
    pub lifecycle: MachineLifecycle,
    pub placement: PlacementState,
}

/// What is known of the worker on a machine: its heartbeats and its lease.
///
/// A worker that gets no answer for the length of its lease kills everything it runs. So an unanswered machine is
/// known to be empty once [`lease_expiry_bound`](super::cluster::Cluster::lease_expiry_bound) has passed since
/// [`WorkerState::last_answered_at`].
#[derive(Debug)]
pub struct WorkerState {
    /// It has sent a heartbeat with this term's fencing token, and so has shown all that it holds.
    pub confirmed: bool,
    /// The worker's current incarnation: it begins a new one when its lease has run out.
    pub incarnation: u64,
    /// Sequence number of the last heartbeat within the incarnation.
    pub sequence: u64,
    /// No task of this incarnation or an earlier one can be left.
    pub lost_incarnation: u64,
    pub last_heartbeat_at: Option<Micros>,
    /// When the heartbeat before the last one came.
    pub previous_heartbeat_at: Option<Micros>,
    /// Heartbeats between the last two have not come.
    pub missed_heartbeats: bool,
    /// When an answer was last sent that may have renewed the worker's lease.
    pub last_answered_at: Micros,
    /// Where the worker takes orders that do not wait for its next heartbeat.
    pub address: Option<SocketAddrV4>,
    /// How many incarnations in a row ended although their heartbeats were answered: the answers do not arrive.
    pub unanswered_incarnations: u32,
    /// Hash of the tasks in the last heartbeat, unless they were told something since: a heartbeat with the same
    /// tasks changes nothing.
    pub heartbeat_digest: Option<u64>,
}

/// Where a machine is between its provisioning and its deletion.
///
/// The flags are independent of one another: a spot machine under notice may be draining and be on its way to
/// deletion at the same time, and each is decided by a different event.
#[derive(Debug)]
pub struct MachineLifecycle {
    /// It is on its shard's durable record. Nothing may be launched on it before.
    pub recorded: bool,
    /// When this leader first knew of it.
    pub known_since: Micros,
    /// When it was provisioned, as far as is known.
    pub provisioned_at: Micros,
    /// Its worker has sent a heartbeat at all.
    pub is_up: bool,
    /// It has taken much longer to boot than expected, which was counted once.
    pub boot_overdue: bool,
    /// The cloud's list of machines has shown it.
    pub in_listing: bool,
    /// How many lists in a row did not show it.
    pub missed_listings: u32,
    /// The cloud has announced that it takes this spot machine back.
    pub preemption_notice: bool,
    /// Its deletion is due or has been requested.
    pub deleting: bool,
    /// Its work is being moved elsewhere, so that it can be returned.
    pub draining: bool,
    /// Nothing is placed on it: it is faulty, or of an unknown type.
    pub quarantined: bool,
}

/// What the scheduler remembers about a machine from one decision to the next.
#[derive(Debug)]
pub struct PlacementState {
    /// When its last attempt gave its capacity back.
    pub idle_since: Micros,
    /// Jobs whose tasks have failed here since a task last succeeded, and how often.
    pub failures_by_job: HashMap<JobId, u32>,
    /// Images that its worker has fetched.
    pub cached_images: HashSet<String>,
    /// Capacity that is reserved for a waiting job. It may have lapsed: see [`Machine::active_reservation`].
    pub reservation: Option<Reservation>,
    /// Work that will be released soon is planned here: the machine is not returned until then.
    pub planned_work_until: Micros,
    /// Nothing is placed here until then, as a launch was refused or answers do not reach the worker.
    pub unschedulable_until: Micros,
    /// When work of high priority was last placed here.
    pub high_priority_placed_at: Option<Micros>,
    /// The machine's bucket in the [`CapacityIndex`]. `None`: its type is unknown.
    pub capacity_bucket: Option<usize>,
    /// The free CPU under which the bucket has it. `None`: nothing may be placed on it at present.
    pub indexed_free_cpu: Option<i64>,
}

/// Capacity of a machine that is reserved for a number of tasks of one job.
#[derive(Debug, Clone)]
pub struct Reservation {
    pub job: JobId,
    /// How many tasks are still to be placed in it.
    pub tasks: i64,
    /// It lapses at this time unless it is renewed.
    pub expires_at: Micros,
}

impl Machine {
    /// A machine that has just become known, entered into the capacity index. Its lease is counted from `now`.
    pub fn new(
        id: MachineId,
        machine_types: &[MachineType],
        kind: NewMachine<'_>,
        capacity_index: &mut CapacityIndex,
        now: Micros,
    ) -> Machine {
        let machine_type = machine_types
            .iter()
            .position(|known| *known.name == *kind.machine_type);
        let zone: Arc<str> = kind.zone.into();
        let capacity_bucket = machine_type.map(|machine_type| {
            let kind = MachineKind {
                machine_type,
                zone: zone.clone(),
                spot: kind.spot,
            };
            capacity_index.insert(kind, id.clone())
        });
        Machine {
            id,
            machine_type,
            capacity: machine_type
                .map(|index| machine_types[index].size)
                .unwrap_or_default(),
            zone,
            spot: kind.spot,
            attempts: BTreeMap::new(),
            used: Resources::default(),
            worker: WorkerState::new(now),
            lifecycle: MachineLifecycle::new(machine_type.is_some(), now),
            placement: PlacementState::new(capacity_bucket, now),
        }
    }

    /// Resources that no attempt holds.
    pub fn free(&self) -> Resources {
        self.capacity - self.used
    }

    /// What will be free once everything that was told to stop has ended.
    pub fn free_after_stops(&self) -> Resources {
        let mut free = self.free();
        let stopping = self
            .attempts
            .values()
            .filter(|attempt| attempt.holds_capacity && attempt.stop_grace.is_some());
        stopping.for_each(|attempt| free += attempt.resources);
        free
    }

    /// The reservation on it, unless that has lapsed.
    pub fn active_reservation(&self, now: Micros) -> Option<&Reservation> {
        self.placement
            .reservation
            .as_ref()
            .filter(|reservation| reservation.expires_at > now)
    }

    /// Whether any attempt on it holds capacity.
    pub(crate) fn holds_capacity(&self) -> bool {
        self.attempts.values().any(|attempt| attempt.holds_capacity)
    }

    /// The incarnation that its worker replaces by a new one ended within a lease of a heartbeat that was
    /// answered, so the answers do not arrive. Heartbeats that were held back and came together are no sign of
    /// that: their answers came too late.
    pub(crate) fn ended_unanswered(&self, now: Micros, lease: Micros) -> bool {
        let (Some(last), Some(previous)) = (
            self.worker.last_heartbeat_at,
            self.worker.previous_heartbeat_at,
        ) else {
            return false;
        };
        now + SECOND < last + lease
            && now >= last + MIN_HEARTBEAT_SPACING
            && last >= previous + MIN_HEARTBEAT_SPACING
    }

    /// The answers to its heartbeats do not arrive (a one-way partition), and nothing is planned there for a while.
    pub fn is_unanswered(&self, now: Micros) -> bool {
        self.worker.unanswered_incarnations > 0 && now < self.placement.unschedulable_until
    }

    /// Whether it may hold tasks of an earlier term that this leader does not know of: it is on its shard's
    /// record, has not confirmed this term, and its lease may not have run out. `lease_bound`: how long that takes
    /// at most.
    pub fn is_unconfirmed(&self, now: Micros, lease_bound: Micros) -> bool {
        self.lifecycle.recorded
            && !self.worker.confirmed
            && now <= self.worker.last_answered_at + lease_bound
    }

    /// Whether new tasks may be placed on it now. A machine is fresh for two heartbeat intervals and a second.
    pub fn is_schedulable(&self, now: Micros, heartbeat_interval: Micros) -> bool {
        let fresh = self
            .worker
            .last_heartbeat_at
            .is_some_and(|at| now < at + 2 * heartbeat_interval + SECOND);
        self.worker.confirmed
            && fresh
            && self.lifecycle.accepts_work()
            && self.machine_type.is_some()
            && self.placement.unschedulable_until <= now
    }

    /// The free CPU by which the capacity index should have it: `None` if nothing may be placed on it.
    pub(crate) fn schedulable_cpu(&self, now: Micros, heartbeat_interval: Micros) -> Option<i64> {
        let free = self.free().cpu;
        (self.is_schedulable(now, heartbeat_interval) && free >= 0).then_some(free)
    }
}

/// What is known of a machine when it is first heard of.
#[derive(Clone, Copy, Debug)]
pub struct NewMachine<'a> {
    pub machine_type: &'a str,
    pub zone: &'a str,
    pub spot: bool,
}

impl WorkerState {
    fn new(now: Micros) -> WorkerState {
        WorkerState {
            confirmed: false,
            incarnation: 0,
            sequence: 0,
            lost_incarnation: 0,
            last_heartbeat_at: None,
            previous_heartbeat_at: None,
            missed_heartbeats: false,
            last_answered_at: now,
            address: None,
            unanswered_incarnations: 0,
            heartbeat_digest: None,
        }
    }
}

impl MachineLifecycle {
    fn new(is_known_type: bool, now: Micros) -> MachineLifecycle {
        MachineLifecycle {
            recorded: false,
            known_since: now,
            provisioned_at: now,
            is_up: false,
            boot_overdue: false,
            in_listing: false,
            missed_listings: 0,
            preemption_notice: false,
            deleting: false,
            draining: false,
            quarantined: !is_known_type,
        }
    }

    /// Whether the machine is on record and there is no reason to keep new work away from it.
    fn accepts_work(&self) -> bool {
        self.recorded
            && !self.deleting
            && !self.draining
            && !self.quarantined
            && !self.preemption_notice
    }
}

impl PlacementState {
    fn new(capacity_bucket: Option<usize>, now: Micros) -> PlacementState {
        PlacementState {
            idle_since: now,
            failures_by_job: HashMap::new(),
            cached_images: HashSet::new(),
            reservation: None,
            planned_work_until: 0,
            unschedulable_until: 0,
            high_priority_placed_at: None,
            capacity_bucket,
            indexed_free_cpu: None,
        }
    }
    /// A task of a job has been placed here: its reservation, if it has one, is for one task less.
    pub(crate) fn use_reservation(&mut self, job: &JobId) {
        let reservation = self.reservation.as_mut();
        let Some(reservation) = reservation.filter(|reservation| reservation.job == *job) else {
            return;
        };
        reservation.tasks -= 1;
        if reservation.tasks <= 0 {
            self.reservation = None;
        }
    }
}
