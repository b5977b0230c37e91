//! Machines as the leader keeps them: identity, worker and lease, lifecycle, and placed attempts.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddrV4;
use std::sync::Arc;

use super::attempt::Attempt;
use super::capacity_index::{CapacityIndex, MachineKind};
use crate::model::{AttemptId, JobId, MachineId, MachineType, Micros, Resources, SECOND};

/// Heartbeats that arrived closer together than this may have been held back in the network and delivered together.
const MIN_HEARTBEAT_SPACING: Micros = 3 * SECOND;

/// A machine that is known to this leader.
///
/// Only [`Cluster`](super::cluster::Cluster) changes the resource usage ([`Machine::used`]) and the position in the
/// capacity index, and keeps the two consistent.
#[derive(Debug)]
pub struct Machine {
    pub id: MachineId,
    /// Index into the list of machine types. `None`: the type is unknown, and no task may be placed on the machine.
    pub machine_type: Option<usize>,
    /// Resources of the whole machine.
    pub capacity: Resources,
    pub zone: Arc<str>,
    /// Whether this is a spot machine, which the cloud may take back at short notice.
    pub spot: bool,
    /// All attempts that are or may still be on the machine, by task and number.
    pub attempts: BTreeMap<AttemptId, Attempt>,
    /// Resources of all attempts that hold capacity.
    pub used: Resources,
    pub worker: WorkerState,
    pub lifecycle: MachineLifecycle,
    pub placement: PlacementState,
}

/// Known state of the worker on a machine: its heartbeats and its lease.
///
/// A worker that gets no response for the duration of its lease kills everything that it runs. A machine whose
/// heartbeats are not answered is therefore known to be empty once
/// [`lease_expiry_bound`](super::cluster::Cluster::lease_expiry_bound) has passed since
/// [`WorkerState::last_response_at`].
#[derive(Debug)]
pub struct WorkerState {
    /// Whether the worker has sent a heartbeat with this term's fencing token, and has thereby reported all its
    /// tasks.
    pub confirmed: bool,
    /// The worker's current incarnation. A worker begins a new incarnation when its lease has expired.
    pub incarnation: u64,
    /// Sequence number of the last heartbeat within the incarnation.
    pub sequence: u64,
    /// The newest incarnation that is known to be lost: no task of it or of an earlier incarnation can be left.
    pub lost_incarnation: u64,
    pub last_heartbeat_at: Option<Micros>,
    /// Arrival time of the heartbeat before the last one.
    pub previous_heartbeat_at: Option<Micros>,
    /// Whether the worker may have sent heartbeats between the last two that did not arrive here.
    pub missed_heartbeats: bool,
    /// Time at which the last response was sent that may have renewed the worker's lease. Before the first response,
    /// the time at which the machine became known or at which this leader took over.
    pub last_response_at: Micros,
    /// Address at which the worker accepts orders that do not wait for its next heartbeat.
    pub address: Option<SocketAddrV4>,
    /// Number of consecutive incarnations that ended although their heartbeats were answered, which shows that the
    /// responses do not arrive.
    pub lost_response_incarnations: u32,
    /// Hash of the tasks in the last heartbeat, unless there have been new orders for the tasks since then. A
    /// heartbeat with the same hash changes nothing.
    pub heartbeat_digest: Option<u64>,
}

/// State of a machine between its provisioning and its deletion.
///
/// The flags are independent of each other, and each is set by a different event: a spot machine with a preemption
/// notice may be draining and be about to be deleted at the same time.
#[derive(Debug)]
pub struct MachineLifecycle {
    /// Whether the machine is on its shard's durable record. Nothing may be launched on an unrecorded machine.
    pub recorded: bool,
    /// Time at which this leader first knew of the machine.
    pub known_since: Micros,
    /// Time at which the machine was provisioned, as far as known.
    pub provisioned_at: Micros,
    /// Whether the machine has booted: its worker has sent a heartbeat, or the machine was on the shard's record when
    /// this leader took over.
    pub has_booted: bool,
    /// Whether the boot has taken much longer than expected. Each machine is counted as overdue once.
    pub boot_overdue: bool,
    /// Whether the cloud's list of machines has contained the machine.
    pub in_listing: bool,
    /// Number of consecutive lists that did not contain the machine.
    pub missed_listings: u32,
    /// Whether the cloud has announced that it takes this spot machine back.
    pub preemption_notice: bool,
    /// Whether the machine's deletion is due or has been requested.
    pub deleting: bool,
    /// Whether the machine's work is being moved elsewhere so that the machine can be returned.
    pub draining: bool,
    /// Whether placement on the machine is disabled for good, because the machine is faulty or of an unknown type, or
    /// because responses do not reach its worker.
    pub quarantined: bool,
}

/// State that the scheduler keeps about a machine between decisions.
#[derive(Debug)]
pub struct PlacementState {
    /// Time at which the last attempt released its capacity.
    pub idle_since: Micros,
    /// Failures on this machine since a task last succeeded on it, by job.
    pub failures_by_job: HashMap<JobId, MachineFailures>,
    /// Images that the worker has fetched.
    pub cached_images: HashSet<String>,
    /// Capacity reserved for a waiting job. The reservation may have expired: see [`Machine::active_reservation`].
    pub reservation: Option<Reservation>,
    /// Time until which the machine is not returned because work that will be released soon is planned on it.
    pub planned_work_until: Micros,
    /// Time until which nothing is placed on the machine, because a launch was refused or responses do not reach
    /// the worker.
    pub unschedulable_until: Micros,
    /// Time at which work of high priority was last placed on the machine.
    pub high_priority_placed_at: Option<Micros>,
    /// The machine's bucket in the [`CapacityIndex`]. `None`: the machine's type is unknown.
    pub capacity_bucket: Option<usize>,
    /// Free CPU, in thousandths, under which the bucket lists the machine. `None`: nothing may be placed on the
    /// machine at present.
    pub indexed_free_cpu: Option<i64>,
}

/// Failures of a job's tasks on a machine.
#[derive(Debug, Clone, Copy, Default)]
pub struct MachineFailures {
    pub count: u32,
    /// Time until which no task of the job is placed on the machine.
    pub avoid_until: Micros,
}

/// Capacity of a machine that is reserved for a number of tasks of one job.
#[derive(Debug, Clone)]
pub struct Reservation {
    pub job: JobId,
    /// Number of tasks that are still to be placed in the reservation.
    pub tasks: i64,
    /// Time at which the reservation expires unless it is renewed.
    pub expires_at: Micros,
}

impl Machine {
    /// Returns a newly known machine and enters it into the capacity index. The machine's lease is counted from
    /// `now`.
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
                .map(|index| machine_types[index].capacity)
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

    /// Returns the resources that no attempt holds.
    pub fn free(&self) -> Resources {
        self.capacity - self.used
    }

    /// Returns the resources that will be free once all attempts that were told to stop have ended.
    pub fn free_after_stops(&self) -> Resources {
        let mut free = self.free();
        let stopping = self
            .attempts
            .values()
            .filter(|attempt| attempt.holds_capacity && attempt.stop_grace.is_some());
        stopping.for_each(|attempt| free += attempt.resources);
        free
    }

    /// Whether a job's tasks have failed on the machine and may not be placed on it yet.
    pub fn is_avoided_by(&self, job: &JobId, now: Micros) -> bool {
        let failures = self.placement.failures_by_job.get(job);
        failures.is_some_and(|failures| now < failures.avoid_until)
    }

    /// Returns the machine's reservation, unless the reservation has expired.
    pub fn active_reservation(&self, now: Micros) -> Option<&Reservation> {
        self.placement
            .reservation
            .as_ref()
            .filter(|reservation| reservation.expires_at > now)
    }

    /// Whether any attempt on the machine holds capacity.
    pub(crate) fn holds_capacity(&self) -> bool {
        self.attempts.values().any(|attempt| attempt.holds_capacity)
    }

    /// Whether the incarnation that the worker now replaces ended although its heartbeats were answered. The
    /// incarnation ended within one lease of an answered heartbeat, so the responses do not arrive. Heartbeats that
    /// were held back and arrived together are no evidence of lost responses, because the responses came too late.
    pub(crate) fn ended_with_lost_responses(&self, now: Micros, lease: Micros) -> bool {
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

    /// Whether responses to the machine's heartbeats do not arrive (a one-way partition), so nothing is planned on the
    /// machine for a while.
    pub fn has_lost_responses(&self, now: Micros) -> bool {
        self.worker.lost_response_incarnations > 0 && now < self.placement.unschedulable_until
    }

    /// Whether the machine may hold tasks of an earlier term that this leader does not know of: the machine is on its
    /// shard's record, has not confirmed this term, and its lease may not have expired. `lease_bound`: maximum time
    /// until the lease has expired.
    pub fn is_unconfirmed(&self, now: Micros, lease_bound: Micros) -> bool {
        self.lifecycle.recorded
            && !self.worker.confirmed
            && now <= self.worker.last_response_at + lease_bound
    }

    /// Whether new tasks may be placed on the machine now. A heartbeat is recent enough for two heartbeat intervals
    /// and one second.
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

    /// Returns the free CPU, in thousandths, under which the capacity index should list the machine. `None`: nothing
    /// may be placed on the machine.
    pub(crate) fn schedulable_cpu(&self, now: Micros, heartbeat_interval: Micros) -> Option<i64> {
        let free = self.free().cpu;
        (self.is_schedulable(now, heartbeat_interval) && free >= 0).then_some(free)
    }
}

/// Data of a machine when it first becomes known.
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
            last_response_at: now,
            address: None,
            lost_response_incarnations: 0,
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
            has_booted: false,
            boot_overdue: false,
            in_listing: false,
            missed_listings: 0,
            preemption_notice: false,
            deleting: false,
            draining: false,
            quarantined: !is_known_type,
        }
    }

    /// Whether the machine is on record and nothing keeps new work away from it.
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
    /// Reduces the reservation by one task after a task of `job` was placed, if the reservation is for that job.
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
