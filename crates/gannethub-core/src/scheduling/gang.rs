//! Gang scheduling: all tasks of a gang are placed at the same time, or none.
//!
//! A gang that finds too little capacity gathers it: the machines that will have capacity soonest are reserved for
//! it, but only if they will be enough for the whole gang, and soon. Capacity that a gang would hold while the rest
//! is missing is left to other jobs; once the missing part is in sight, the gang reserves all of it, and what other
//! jobs use of it becomes free as their tasks end. All waiting gangs gather in the same passes, in queue order, so no
//! gang is offered capacity that an earlier gang has reserved. If waiting would take too long, capacity is freed by
//! preemption ([`preemption`](crate::scheduling::preemption)).

mod confirmed_machines;

use std::collections::HashMap;
use std::sync::Arc;

use crate::model::{AttemptId, JobId, JobSpec, Micros, SECOND};
use crate::scheduling::capacity_timeline::{
    CapacityTimeline, ChosenCapacity, PlacementConstraints,
};
use crate::scheduling::placement::{Placement, UnplaceableJobs, machine_per_task, placed_tasks};
use crate::scheduling::preemption::PreemptionPass;
use crate::scheduling::zones::ZoneTaskCounts;
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
            job.tasks
                .gang_attempt
                .get_or_insert_with(|| GangAttempt::new(attempt_number, spec.tasks, now));
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
