//! Placement of arrays and services: the machines that may run a job's tasks, and first-fit among them.
//!
//! The capacity index ([`CapacityIndex`](crate::state::capacity_index::CapacityIndex)) returns the machines with
//! enough free CPU. The cost of examining machines is counted in scheduling steps.

use std::cmp::Reverse;
use std::sync::Arc;

use crate::model::{AttemptId, JobId, JobSpec, MachineId, Micros, SECOND};
use crate::scheduling::zones::{ZoneTaskCounts, is_zone_allowed, zone_allowance};
use crate::state::capacity_index::{CapacityBucket, MachineKind};
use crate::state::cluster::Cluster;
use crate::state::job::Job;
use crate::state::machine::{Machine, Reservation};

/// Number of machines with free capacity among which a job chooses in each bucket, the machines with the least free
/// CPU first. The limit keeps each job from reading a whole empty cluster, as there is after a failover.
pub(super) const CANDIDATES_PER_BUCKET: usize = 512;
/// Number of further candidates for each task of the job.
const CANDIDATES_PER_TASK: usize = 4;

/// A reservation for a stage of a pipeline, or for a gang while machines are unconfirmed, expires after this time
/// unless a pass renews it.
pub(super) const STAGE_RESERVATION: Micros = 2 * SECOND;

/// A number of tasks to place on one machine.
#[derive(Clone, Debug)]
pub(super) struct Placement {
    pub machine: MachineId,
    pub tasks: usize,
}

/// Returns the total number of tasks of the placements.
pub(super) fn placed_tasks(placements: &[Placement]) -> usize {
    placements.iter().map(|placement| placement.tasks).sum()
}

/// Returns the machine of each task of the placements, one entry for each task.
pub(super) fn machine_per_task(placements: &[Placement]) -> impl Iterator<Item = &MachineId> {
    placements
        .iter()
        .flat_map(|placement| std::iter::repeat_n(&placement.machine, placement.tasks))
}

/// Jobs that found too little capacity in a pass. Capacity only shrinks during a pass, so a job that needs at least as
/// much and may use no other machines need not search again.
#[derive(Debug, Default)]
pub(super) struct UnplaceableJobs(Vec<UnplaceableJob>);

#[derive(Debug)]
struct UnplaceableJob {
    spec: Arc<JobSpec>,
    /// Number of tasks for which there was no capacity at the same time.
    tasks: usize,
}

impl UnplaceableJobs {
    /// Records that there was no capacity for `tasks` tasks of a job.
    pub fn record(&mut self, spec: &Arc<JobSpec>, tasks: usize) {
        let spec = spec.clone();
        self.0.push(UnplaceableJob { spec, tasks });
    }

    /// Whether another job that needs no more, and may use at least the same machines, has found no capacity already.
    pub fn contains(&self, spec: &JobSpec, tasks: usize) -> bool {
        self.0.iter().any(|known| {
            let other = &known.spec;
            tasks >= known.tasks
                && other.resources.fits(&spec.resources)
                && (other.spot || !spec.spot)
                && (other.zone.is_none() || other.zone == spec.zone)
                && (other.machine_types.is_none() || other.machine_types == spec.machine_types)
                && (!other.single_zone || spec.single_zone)
                && (!other.spread || (spec.spread && spec.tasks <= other.tasks))
        })
    }
}

/// A machine that may take tasks of a job.
#[derive(Clone, Copy)]
struct Candidate<'a> {
    /// Whether tasks of the job have failed on the machine.
    has_failures: bool,
    lacks_image: bool,
    machine: &'a Machine,
    max_tasks: i64,
}

impl Cluster {
    /// Whether machines of a kind may run the job's tasks at all.
    pub fn is_eligible_bucket(&self, spec: &JobSpec, kind: &MachineKind) -> bool {
        let machine_type = &self.machine_types[kind.machine_type];
        spec.resources.fits(&machine_type.capacity)
            && spec.allows(&machine_type.name, &kind.zone, kind.spot)
    }

    /// Returns the buckets of the capacity index whose machines may run the job's tasks.
    pub(super) fn eligible_buckets(&self, spec: &JobSpec) -> impl Iterator<Item = &CapacityBucket> {
        self.capacity_index
            .buckets
            .iter()
            .filter(|bucket| self.is_eligible_bucket(spec, &bucket.kind))
    }

    /// Whether the job's own constraints allow its tasks on a machine, wherever its other tasks are.
    pub fn is_eligible_machine(&self, machine: &Machine, spec: &JobSpec) -> bool {
        machine.machine_type.is_some_and(|index| {
            let name = &self.machine_types[index].name;
            spec.allows(name, &machine.zone, machine.spot)
        })
    }

    /// Whether the job's tasks may run on a machine once the machine has free capacity.
    pub fn can_host(
        &self,
        machine: &Machine,
        job: &JobId,
        spec: &JobSpec,
        zones: &ZoneTaskCounts,
        now: Micros,
    ) -> bool {
        machine.is_schedulable(now, self.settings.heartbeat_interval)
            && !machine.is_avoided_by(job, now)
            && self.is_eligible_machine(machine, spec)
            && is_zone_allowed(spec, zones, &machine.zone)
    }

    /// Returns the number of the job's tasks in each zone, including tasks that still have to exit; empty for a job
    /// without zone constraints.
    pub fn zones_in_use(&self, job: &Job) -> ZoneTaskCounts {
        let mut zones = ZoneTaskCounts::new();
        if !job.spec.is_zone_constrained() {
            return zones;
        }
        for live in job.tasks.live_attempts.values() {
            if let Some(machine) = self.machines.get(&live.machine) {
                *zones.entry(machine.zone.clone()).or_default() += 1;
            }
        }
        zones
    }

    /// Returns how many of a job's tasks may be placed on a machine now. Reservations for other jobs count as used.
    pub(super) fn tasks_that_fit(
        &self,
        machine: &Machine,
        job: &JobId,
        spec: &JobSpec,
        crash_looping: bool,
        now: Micros,
    ) -> i64 {
        self.passes.add_steps(1);
        // A crash-looping job is probed on any machine, since it may have failed on faulty machines only.
        let is_avoided = !crash_looping && machine.is_avoided_by(job, now);
        if is_avoided || !machine.is_schedulable(now, self.settings.heartbeat_interval) {
            return 0;
        }
        let mut free = machine.free();
        let reservation = machine.active_reservation(now);
        if let Some(reservation) = reservation.filter(|reservation| reservation.job != *job)
            && let Some(other) = self.jobs.get(&reservation.job)
        {
            free -= other.spec.resources.scaled_by(reservation.tasks);
        }
        if spec.resources.fits(&free) {
            spec.resources.times_fitting_in(&free)
        } else {
            0
        }
    }

    /// Places as many of a job's tasks as possible, on machine `only` or on all machines. Returns the number of tasks
    /// without capacity.
    pub(super) fn place_tasks(
        &mut self,
        id: &JobId,
        unplaceable: &mut UnplaceableJobs,
        only: Option<&MachineId>,
        now: Micros,
    ) -> usize {
        let Some(job) = self.jobs.get(id) else {
            return 0;
        };
        let spec = job.spec.clone();
        if spec.is_zone_constrained() && !job.tasks.unconfirmed.is_empty() {
            // The zones of the unconfirmed attempts decide which zones the other tasks may use.
            return 0;
        }
        let wanted = self.tasks_to_place(job, now);
        let is_typical = !spec.is_zone_constrained() && !job.avoids_machines(now);
        let is_known_unplaceable =
            || is_typical && !self.has_reservation(id) && unplaceable.contains(&spec, 1);
        if wanted == 0 || is_known_unplaceable() {
            return wanted;
        }
        let mut zones = self.zones_in_use(job);
        if spec.single_zone && zones.is_empty() {
            let Some(zone) = self.zone_for_all_tasks(id, wanted, only, now) else {
                return wanted;
            };
            zones.insert(zone, 0);
        }
        let placements = match only {
            Some(machine) => self.fit_on_machine(machine, id, &spec, &mut zones, wanted, now),
            None => self.first_fit(id, &spec, &mut zones, wanted, now),
        };
        let found = placed_tasks(&placements);
        // An array takes any capacity there is, so a later job is certain to find none only if this job found none at
        // all.
        if only.is_none() && is_typical && found == 0 {
            unplaceable.record(&spec, 1);
        }
        let job = self.jobs.get(id);
        let startable = job.into_iter().flat_map(|job| startable_tasks(job, now));
        let tasks: Vec<u32> = startable.take(found).collect();
        for (index, machine) in tasks.into_iter().zip(machine_per_task(&placements)) {
            let attempt = AttemptId::new(id.clone(), index, self.next_attempt_number());
            self.place_task(attempt, machine, now);
        }
        wanted - found
    }

    /// Returns how many tasks of a job could be placed now if there were capacity for all. A huge array must cost no
    /// more than the capacity that exists for it, so the tasks themselves are not iterated.
    fn tasks_to_place(&self, job: &Job, now: Micros) -> usize {
        let live = job.tasks.live_attempts.len() as i64;
        let probes = job.allowed_probes(now).saturating_sub(live);
        let limit = self.tasks_within_quota(job).min(probes);
        let backing_off = job
            .tasks
            .backoff
            .values()
            .filter(|backoff| backoff.until > now)
            .count();
        job.placeable_count()
            .saturating_sub(backing_off)
            .min(limit.max(0) as usize)
    }

    /// Finds capacity for up to `wanted` tasks of a job on one machine.
    fn fit_on_machine(
        &self,
        machine: &MachineId,
        id: &JobId,
        spec: &JobSpec,
        zones: &mut ZoneTaskCounts,
        wanted: usize,
        now: Micros,
    ) -> Vec<Placement> {
        let Some(machine) = self.machines.get(machine) else {
            return Vec::new();
        };
        if !self.is_eligible_machine(machine, spec) {
            return Vec::new();
        }
        let crash_looping = self.jobs.get(id).is_some_and(Job::is_crash_looping);
        let candidate = Candidate {
            has_failures: false,
            lacks_image: false,
            machine,
            max_tasks: self.tasks_that_fit(machine, id, spec, crash_looping, now),
        };
        let mut placements = Vec::new();
        take_candidate(candidate, spec, zones, wanted, &mut placements);
        placements
    }

    /// Finds capacity for up to `wanted` tasks of a job by first-fit in the order of tiers. Among the machines of a
    /// tier, which are equally preferred, machines that hold the job's image come first, and machines on which the job
    /// has failed come last.
    pub(super) fn first_fit(
        &self,
        id: &JobId,
        spec: &JobSpec,
        zones: &mut ZoneTaskCounts,
        wanted: usize,
        now: Micros,
    ) -> Vec<Placement> {
        let mut placements = Vec::new();
        let mut remaining = wanted;
        for tier in &self.passes.bucket_tiers {
            if remaining == 0 {
                break;
            }
            let mut candidates = self.tier_candidates(tier, id, spec, zones, remaining, now);
            candidates.sort_unstable_by(|a, b| {
                let key = |c: &Candidate<'_>| (c.has_failures, c.lacks_image);
                (key(a), &a.machine.id).cmp(&(key(b), &b.machine.id))
            });
            for candidate in candidates {
                remaining -= take_candidate(candidate, spec, zones, remaining, &mut placements);
                if remaining == 0 {
                    break;
                }
            }
        }
        placements
    }

    /// Returns the machines of a tier that can take tasks of a job.
    fn tier_candidates(
        &self,
        tier: &[usize],
        id: &JobId,
        spec: &JobSpec,
        zones: &ZoneTaskCounts,
        wanted: usize,
        now: Micros,
    ) -> Vec<Candidate<'_>> {
        let crash_looping = self.jobs.get(id).is_some_and(Job::is_crash_looping);
        let mut candidates = Vec::new();
        for bucket in tier
            .iter()
            .map(|index| &self.capacity_index.buckets[*index])
        {
            if !self.is_eligible_bucket(spec, &bucket.kind)
                || !is_zone_allowed(spec, zones, &bucket.kind.zone)
            {
                continue;
            }
            let enough = candidates.len() + CANDIDATES_PER_BUCKET + CANDIDATES_PER_TASK * wanted;
            let machines = bucket.with_cpu(spec.resources.cpu);
            for machine in machines.filter_map(|id| self.machines.get(id)) {
                let max_tasks = self.tasks_that_fit(machine, id, spec, crash_looping, now);
                if max_tasks <= 0 {
                    continue;
                }
                candidates.push(Candidate {
                    has_failures: machine.placement.failures_by_job.contains_key(id),
                    lacks_image: !machine.placement.cached_images.contains(&spec.image),
                    machine,
                    max_tasks,
                });
                if candidates.len() >= enough {
                    break;
                }
            }
        }
        candidates
    }

    /// Whether a reservation for a job may be active, judged by the latest expiry of its reservations.
    pub(super) fn has_reservation(&self, id: &JobId) -> bool {
        self.jobs
            .get(id)
            .is_some_and(|job| job.scheduling.reserved_until > self.now)
    }

    /// Reserves a machine's free capacity for a job.
    pub fn reserve(&mut self, machine: &MachineId, reservation: Reservation) {
        let Some(machine) = self.machines.get_mut(machine) else {
            return;
        };
        if let Some(job) = self.jobs.get_mut(&reservation.job) {
            let reserved_until = &mut job.scheduling.reserved_until;
            *reserved_until = (*reserved_until).max(reservation.expires_at);
        }
        machine.placement.reservation = Some(reservation);
    }

    /// Reserves machines that have too little free capacity yet, and will have enough soon, for a stage of a pipeline.
    /// The machines with the most attempts come first. Without the reservations, smaller tasks further down the queue would take all
    /// capacity bit by bit as it becomes free, and a task that needs more would never find enough.
    pub(super) fn reserve_for_stage(&mut self, id: &JobId, tasks: usize, now: Micros) {
        let Some(job) = self.jobs.get(id) else { return };
        if job.scheduling.downstream_demand.is_none() || job.spec.is_zone_constrained() {
            return;
        }
        let spec = job.spec.clone();
        let no_zones = ZoneTaskCounts::new();
        let free_by = now + self.reservation_horizon(id);
        let mut candidates: Vec<(Reverse<usize>, &MachineId)> = Vec::new();
        for bucket in self.eligible_buckets(&spec) {
            for machine in bucket.with_cpu(1).filter_map(|id| self.machines.get(id)) {
                self.passes.add_steps(1);
                if !spec.resources.fits(&machine.free())
                    && machine.active_reservation(now).is_none()
                    && self.can_host(machine, id, &spec, &no_zones, now)
                    && self
                        .capacity_times(machine, &spec, now)
                        .first()
                        .is_some_and(|at| *at <= free_by)
                {
                    candidates.push((Reverse(machine.attempts.len()), &machine.id));
                }
            }
        }
        candidates.sort();
        let machines: Vec<MachineId> = candidates
            .into_iter()
            .take(tasks)
            .map(|(_, machine)| machine.clone())
            .collect();
        for machine in machines {
            let reservation = Reservation {
                job: id.clone(),
                tasks: 1,
                expires_at: now + STAGE_RESERVATION,
            };
            self.reserve(&machine, reservation);
        }
    }
}

/// Returns the pending tasks of a job that may start now: tasks that are neither backing off nor possibly running on
/// an unconfirmed machine.
fn startable_tasks(job: &Job, now: Micros) -> impl Iterator<Item = u32> {
    job.tasks.pending.iter().filter(move |index| {
        let backoff = job.tasks.backoff.get(index);
        backoff.is_none_or(|backoff| backoff.until <= now)
            && !job.tasks.unconfirmed.contains(*index)
    })
}

/// Adds a placement of up to `wanted` tasks on a candidate, as far as the job's zone constraints allow. Returns the
/// number of tasks in the placement.
fn take_candidate(
    candidate: Candidate<'_>,
    spec: &JobSpec,
    zones: &mut ZoneTaskCounts,
    wanted: usize,
    placements: &mut Vec<Placement>,
) -> usize {
    let machine = candidate.machine;
    let tasks = (candidate.max_tasks as usize)
        .min(wanted)
        .min(zone_allowance(spec, zones, &machine.zone) as usize);
    if tasks == 0 {
        return 0;
    }
    if spec.is_zone_constrained() {
        *zones.entry(machine.zone.clone()).or_default() += tasks as u32;
    }
    placements.push(Placement {
        machine: machine.id.clone(),
        tasks,
    });
    tasks
}
