//! Gang scheduling: all tasks of a gang are placed at the same time, or none.
//!
//! A gang that finds too little capacity gathers it: the machines that will have capacity soonest are reserved for
//! it, but only if they will be enough for the whole gang, and soon. Capacity that a gang would hold while the rest
//! is missing is left to other jobs; once the missing part is in sight, the gang reserves all of it, and what other
//! jobs use of it becomes free as their tasks end. All waiting gangs gather in the same passes, in queue order, so no gang is offered capacity that an earlier
//! gang has reserved. If waiting would take too long, capacity is freed by preemption
//! ([`preemption`](crate::scheduling::preemption)).

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use crate::model::{AttemptId, JobId, JobSpec, MachineId, Micros, SECOND};
use crate::saga::Saga;
use crate::scheduling::capacity_timeline::{
    CapacityTimeline, ChosenCapacity, PlacementConstraints,
};
use crate::scheduling::placement::{
    CANDIDATES_PER_BUCKET, Placement, STAGE_RESERVATION, UnplaceableJobs, machine_per_task,
    placed_tasks,
};
use crate::scheduling::preemption::PreemptionPass;
use crate::scheduling::zones::{ZoneTaskCounts, is_zone_allowed, zone_allowance};
use crate::state::attempt::GangAttempt;
use crate::state::cluster::Cluster;
use crate::state::job::Job;
use crate::state::machine::Reservation;

/// Interval between renewed choices of the gangs' reservations, in microseconds for each machine.
const GATHER_INTERVAL_PER_MACHINE: Micros = 800;
/// Maximum interval between renewed choices, in microseconds: shorter than [`GATHERED_RESERVATION`], so that
/// reservations are renewed before they expire.
const MAX_GATHER_INTERVAL: Micros = 500_000;

/// A gang reserves capacity if all of it will be free within this time. Other jobs may wait for about as long beside
/// capacity that is free already.
const MIN_GATHER_HORIZON: Micros = 60 * SECOND;
/// The horizon grows by the time for which the gang has waited, up to this limit, so that a gang also finds capacity
/// beside a stream of longer tasks.
const MAX_GATHER_HORIZON: Micros = 240 * SECOND;

/// A gang's reservation expires after this time unless a pass renews it.
const GATHERED_RESERVATION: Micros = 2 * SECOND;

/// Capacity for gangs as far as a pass has computed it.
#[derive(Debug, Default)]
pub struct GangPass {
    /// Whether all waiting gangs gather capacity again in this pass, or only gangs that have never tried.
    regather_all: bool,
    timelines: HashMap<PlacementConstraints, CapacityTimeline>,
    pub(super) preemption: PreemptionPass,
}

/// A confirmed machine on which a gang may reserve capacity. In sorted order, machines reserved for this gang already
/// come before unreserved machines.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct ConfirmedMachine<'a> {
    is_unreserved: bool,
    machine: &'a MachineId,
    max_tasks: i64,
}

impl Cluster {
    /// Prepares the gang state of a pass that begins now.
    pub(super) fn begin_gang_pass(&mut self, now: Micros) -> GangPass {
        let interval =
            (GATHER_INTERVAL_PER_MACHINE * self.machines.len() as Micros).min(MAX_GATHER_INTERVAL);
        let regather_all = now >= self.passes.last_gang_placement_at + interval;
        if regather_all {
            self.passes.last_gang_placement_at = now;
        }
        GangPass {
            regather_all,
            preemption: self.begin_preemption_pass(regather_all),
            ..GangPass::default()
        }
    }

    /// Places all missing tasks of a gang's attempt, or none. A gang that cannot be placed reserves capacity instead.
    pub(super) fn place_gang(
        &mut self,
        id: &JobId,
        unplaceable: &mut UnplaceableJobs,
        gangs: &mut GangPass,
        now: Micros,
    ) {
        let Some(job) = self.jobs.get(id).filter(|job| may_place_gang(job, now)) else {
            return;
        };
        let spec = job.spec.clone();
        let missing: Vec<u32> = job.tasks.pending.iter().collect();
        if self.tasks_within_quota(job) < missing.len() as i64 {
            return;
        }
        let zones = self.zones_in_use(job);
        let is_typical = job.tasks.gang_attempt.is_none() && !job.avoids_machines(now);
        let is_known_unplaceable =
            is_typical && !self.has_reservation(id) && unplaceable.contains(&spec, missing.len());
        if !is_known_unplaceable {
            if let Some(placements) = self.fit_whole_gang(id, &spec, &zones, missing.len(), now) {
                return self.start_gang_attempt(id, &spec, &missing, &placements, now);
            }
            if is_typical {
                unplaceable.record(&spec, missing.len());
            }
        }
        if self.takeover.is_settled {
            self.gather_or_preempt(id, missing.len(), gangs, now);
        } else {
            self.reserve_on_confirmed_machines(id, &spec, &zones, missing.len(), gangs, now);
        }
    }

    /// Places the missing tasks of a gang, under the present attempt or a new one.
    fn start_gang_attempt(
        &mut self,
        id: &JobId,
        spec: &JobSpec,
        missing: &[u32],
        placements: &[Placement],
        now: Micros,
    ) {
        let gang_attempt = self
            .jobs
            .get(id)
            .and_then(|job| job.tasks.gang_attempt.as_ref());
        let attempt_number = match gang_attempt {
            Some(gang_attempt) => gang_attempt.number,
            None => self.next_attempt_number(),
        };
        if let Some(job) = self.jobs.get_mut(id) {
            job.tasks.gang_attempt.get_or_insert_with(|| GangAttempt {
                number: attempt_number,
                saga: Saga::independent(spec.tasks),
                running: false,
                stopping: false,
            });
        }
        for (index, machine) in missing.iter().zip(machine_per_task(placements)) {
            let attempt = AttemptId::new(id.clone(), *index, attempt_number);
            self.place_task(attempt, machine, now);
        }
    }

    /// Finds capacity for all missing tasks of a gang, within its zone constraints.
    fn fit_whole_gang(
        &self,
        id: &JobId,
        spec: &JobSpec,
        zones: &ZoneTaskCounts,
        tasks: usize,
        now: Micros,
    ) -> Option<Vec<Placement>> {
        let mut choices: Vec<Option<Arc<str>>> = vec![None];
        if spec.single_zone && zones.is_empty() {
            choices = self.schedulable_zones().into_iter().map(Some).collect();
        }
        choices.into_iter().find_map(|zone_choice| {
            let mut zones = zones.clone();
            zones.extend(zone_choice.map(|zone| (zone, 0)));
            let placements = self.first_fit(id, spec, &mut zones, tasks, now);
            (placed_tasks(&placements) == tasks).then_some(placements)
        })
    }

    /// Returns the zones with schedulable machines, sorted by name.
    fn schedulable_zones(&self) -> Vec<Arc<str>> {
        let buckets = self.capacity_index.buckets.iter();
        let mut zones: Vec<Arc<str>> = buckets
            .filter(|bucket| bucket.has_schedulable())
            .map(|bucket| bucket.kind.zone.clone())
            .collect();
        zones.sort();
        zones.dedup();
        zones
    }

    /// Reserves confirmed machines for a gang, in the zone with capacity for the most tasks. After a failover
    /// a gang rarely finds capacity for all its tasks at once, as machines are confirmed one by one. Without the
    /// reservations, smaller tasks would take the confirmed capacity bit by bit and hold it for as long as they run.
    /// Nothing is reserved if the whole gang would not fit within its horizon even if all unconfirmed machines were
    /// empty.
    fn reserve_on_confirmed_machines(
        &mut self,
        id: &JobId,
        spec: &JobSpec,
        zones: &ZoneTaskCounts,
        tasks: usize,
        gangs: &mut GangPass,
        now: Micros,
    ) {
        let timeline = gangs
            .timelines
            .entry(PlacementConstraints::from(spec))
            .or_insert_with(|| self.capacity_timeline(spec, now));
        let mut attainable = timeline.tasks_until(now + self.reservation_horizon(id));
        for (zone, unconfirmed) in self.max_unconfirmed_tasks_by_zone(spec) {
            let in_zone = attainable.entry(zone).or_default();
            *in_zone = in_zone.saturating_add(unconfirmed);
        }
        if !is_enough_for_gang(&attainable, spec, zones, tasks) {
            return;
        }
        let total = |machines: &Vec<ConfirmedMachine<'_>>| -> i64 {
            machines.iter().map(|machine| machine.max_tasks).sum()
        };
        let is_candidate = |zone: &Arc<str>| {
            !spec.single_zone || attainable.get(zone).is_some_and(|max| *max >= tasks as i64)
        };
        let confirmed = self.confirmed_machines(id, spec, zones, now);
        let mut machines = confirmed
            .into_iter()
            .filter(|(zone, _)| is_candidate(zone))
            .map(|(_, machines)| machines)
            .max_by_key(total)
            .unwrap_or_default();
        machines.sort_unstable();
        let mut remaining = tasks as i64;
        let mut reservations: Vec<(MachineId, i64)> = Vec::new();
        for machine in machines {
            if remaining <= 0 {
                break;
            }
            reservations.push((machine.machine.clone(), machine.max_tasks.min(remaining)));
            remaining -= machine.max_tasks;
        }
        for (machine, tasks) in reservations {
            let reservation = Reservation {
                job: id.clone(),
                tasks,
                expires_at: now + STAGE_RESERVATION,
            };
            self.reserve(&machine, reservation);
        }
    }

    /// Returns, by zone, the confirmed machines that have capacity for a gang and are not reserved for another job.
    fn confirmed_machines(
        &self,
        id: &JobId,
        spec: &JobSpec,
        allowed_zones: &ZoneTaskCounts,
        now: Micros,
    ) -> BTreeMap<&Arc<str>, Vec<ConfirmedMachine<'_>>> {
        let mut zones: BTreeMap<&Arc<str>, Vec<ConfirmedMachine<'_>>> = BTreeMap::new();
        for bucket in self.eligible_buckets(spec) {
            if !is_zone_allowed(spec, allowed_zones, &bucket.kind.zone) {
                continue;
            }
            let machines = bucket
                .with_cpu(spec.resources.cpu)
                .take(CANDIDATES_PER_BUCKET);
            for machine in machines.filter_map(|id| self.machines.get(id)) {
                let reservation = machine.active_reservation(now);
                if reservation.is_some_and(|reservation| reservation.job != *id) {
                    continue;
                }
                let max_tasks = self.tasks_that_fit(machine, id, spec, false, now);
                if max_tasks > 0 {
                    zones
                        .entry(&machine.zone)
                        .or_default()
                        .push(ConfirmedMachine {
                            is_unreserved: reservation.is_none(),
                            machine: &machine.id,
                            max_tasks,
                        });
                }
            }
        }
        zones
    }

    /// Gathers capacity for a gang that found none, and preempts for the gang if waiting would take too long.
    fn gather_or_preempt(&mut self, id: &JobId, tasks: usize, gangs: &mut GangPass, now: Micros) {
        let Some(job) = self.jobs.get_mut(id).filter(|job| !job.is_crash_looping()) else {
            return;
        };
        if !gangs.regather_all && job.scheduling.gang_placement_tried {
            return;
        }
        job.scheduling.gang_placement_tried = true;
        let complete_at = self.gather_capacity(id, tasks, gangs, now);
        let Some(job) = self.jobs.get(id) else { return };
        let slack = self
            .latest_start(job, job.scheduling.within_guarantee)
            .map_or(0, |start| start.saturating_sub(self.unix_time));
        let patience = slack.max(2 * self.settings.heartbeat_interval);
        if complete_at.is_none_or(|at| at > now + patience) {
            self.preempt_for(id, tasks, &mut gangs.preemption, now);
        }
    }

    /// Reserves the machines that will soonest have capacity for a waiting gang: capacity that becomes free on them,
    /// or that boots, is kept for the gang. No machine is reserved for two gangs, and all of a gang's capacity lies
    /// where its zone constraints let it be used together, so gangs never each hold half of the capacity that they
    /// need. Nothing is reserved unless all tasks find capacity within the gang's horizon. Returns the time at which the
    /// last task will have capacity, or `None` if not all tasks find capacity.
    fn gather_capacity(
        &mut self,
        id: &JobId,
        tasks: usize,
        gangs: &mut GangPass,
        now: Micros,
    ) -> Option<Micros> {
        let job = self.jobs.get(id)?;
        let spec = job.spec.clone();
        let zones = self.zones_in_use(job);
        let timeline = gangs
            .timelines
            .entry(PlacementConstraints::from(&*spec))
            .or_insert_with(|| self.capacity_timeline(&spec, now));
        let chosen = self.choose_earliest_capacity(timeline, id, &spec, zones, tasks, now)?;
        let ChosenCapacity {
            tasks_by_machine,
            complete_at,
        } = chosen;
        if complete_at > now + self.reservation_horizon(id) {
            return Some(complete_at);
        }
        for (machine, tasks) in tasks_by_machine {
            let Some(state) = self.machines.get(&machine) else {
                continue;
            };
            let current = state.placement.reservation.as_ref();
            let expires_at = current.map_or(0, |reservation| reservation.expires_at);
            let reservation = Reservation {
                job: id.clone(),
                tasks,
                expires_at: expires_at.max(now + GATHERED_RESERVATION),
            };
            self.reserve(&machine, reservation);
        }
        Some(complete_at)
    }

    /// Returns the maximum time until a job's capacity is free for which capacity is reserved for the job.
    pub(super) fn reservation_horizon(&self, id: &JobId) -> Micros {
        let ready_at = self.jobs.get(id).map_or(self.unix_time, |job| job.ready_at);
        let waited = self.unix_time.saturating_sub(ready_at);
        (MIN_GATHER_HORIZON + waited).min(MAX_GATHER_HORIZON)
    }
}

/// Whether the zones that a gang may use have capacity for all its missing tasks together. `attainable`: the number of
/// tasks for which each zone may have capacity.
fn is_enough_for_gang(
    attainable: &BTreeMap<Arc<str>, i64>,
    spec: &JobSpec,
    zones: &ZoneTaskCounts,
    tasks: usize,
) -> bool {
    let allowed = attainable
        .iter()
        .map(|(zone, max)| (*max).min(i64::from(zone_allowance(spec, zones, zone))));
    let total = if spec.single_zone {
        allowed.max().unwrap_or(0)
    } else {
        allowed.fold(0, i64::saturating_add)
    };
    total >= tasks as i64
}

/// Whether tasks of a gang may be placed now, if there is capacity.
fn may_place_gang(job: &Job, now: Micros) -> bool {
    // The next attempt begins only when no task of the last attempt is on a machine any more.
    let may_attempt = match &job.tasks.gang_attempt {
        Some(attempt) => !attempt.stopping && !attempt.running,
        None => job.tasks.live_attempts.is_empty(),
    };
    let is_backing_off = job
        .tasks
        .backoff
        .values()
        .any(|backoff| backoff.until > now);
    may_attempt
        && !is_backing_off
        && job.allowed_probes(now) != 0
        // The gang's attempt may still run on machines that are not confirmed yet.
        && job.tasks.unconfirmed.is_empty()
}
