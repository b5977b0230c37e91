//! Timelines of future capacity for tasks of a shape, and the choice of the earliest capacity that the tasks of a job
//! can use together.
//!
//! Jobs with the same constraints look for the same capacity, so one timeline is computed for all of them, and the
//! capacity reserved for a job is removed from the timeline. Gangs use timelines to gather capacity; preemption uses
//! timelines for gangs and arrays.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use crate::model::{JobId, JobSpec, MachineId, Micros, Resources, Shape};
use crate::scheduling::zones::{ZoneTaskCounts, is_zone_allowed, zone_allowance};
use crate::state::cluster::Cluster;
use crate::state::machine::Machine;

/// Maximum number of a job's tasks for which capacity is sought on one machine.
pub(super) const MAX_TASKS_PER_MACHINE: i64 = 4096;

/// Constraints that decide where a job finds capacity. Jobs with equal constraints share a timeline.
#[derive(Clone, PartialEq, Eq, Hash, Debug)]
pub(super) struct PlacementConstraints {
    resources: Resources,
    machine_types: Option<Vec<String>>,
    zone: Option<String>,
    spot: bool,
}

impl From<&JobSpec> for PlacementConstraints {
    fn from(spec: &JobSpec) -> PlacementConstraints {
        PlacementConstraints {
            resources: spec.resources,
            machine_types: spec.machine_types.clone(),
            zone: spec.zone.clone(),
            spot: spec.spot,
        }
    }
}

/// Capacity for one task, ordered by time.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub(super) struct TaskCapacity {
    /// Time at which the capacity is expected; for capacity freed by preemption, the work lost instead.
    pub at: Micros,
    pub machine: MachineId,
}

/// Capacity for tasks of a shape by zone, the earliest first.
#[derive(Debug, Default)]
pub(super) struct CapacityTimeline {
    zones: BTreeMap<Arc<str>, VecDeque<TaskCapacity>>,
}

/// Capacity that a job may use, with its position in the zone's list.
#[derive(Clone)]
struct IndexedCapacity {
    capacity: TaskCapacity,
    position: usize,
}

/// Capacity that a job may use in a zone, the earliest first.
struct ZoneCandidates {
    zone: Arc<str>,
    candidates: VecDeque<IndexedCapacity>,
}

/// Capacity chosen for a job.
#[derive(Debug)]
pub(super) struct ChosenCapacity {
    /// Number of tasks for each machine.
    pub tasks_by_machine: BTreeMap<MachineId, i64>,
    /// Time at which the last task will have capacity.
    pub complete_at: Micros,
}

impl ChosenCapacity {
    /// Returns the number of tasks for which capacity was found.
    pub fn tasks(&self) -> i64 {
        self.tasks_by_machine.values().sum()
    }
}

impl CapacityTimeline {
    /// Returns the list of a zone. [`CapacityTimeline::sort`] must be called after the last entry was added.
    pub fn zone_mut(&mut self, zone: &Arc<str>) -> &mut VecDeque<TaskCapacity> {
        self.zones.entry(zone.clone()).or_default()
    }

    /// Returns the number of tasks for which each zone has capacity at or before `until`.
    pub fn tasks_until(&self, until: Micros) -> BTreeMap<Arc<str>, i64> {
        let in_zone = |list: &VecDeque<TaskCapacity>| {
            list.partition_point(|capacity| capacity.at <= until) as i64
        };
        let zones = self.zones.iter();
        zones
            .map(|(zone, list)| (zone.clone(), in_zone(list)))
            .collect()
    }

    /// Sorts the entries of each zone by time.
    pub fn sort(&mut self) {
        for list in self.zones.values_mut() {
            list.make_contiguous().sort_unstable();
        }
    }
}

impl Cluster {
    /// Builds the timeline of capacity for tasks of this job's shape, as attempts end and machines boot.
    pub(super) fn capacity_timeline(&self, spec: &JobSpec, now: Micros) -> CapacityTimeline {
        let mut timeline = CapacityTimeline::default();
        for bucket in self.eligible_buckets(spec) {
            let list = timeline.zone_mut(&bucket.kind.zone);
            for machine in bucket
                .machines
                .iter()
                .filter_map(|id| self.machines.get(id))
            {
                self.count_machine_steps(machine);
                let times = self.capacity_times(machine, spec, now);
                list.extend(times.into_iter().map(|at| TaskCapacity {
                    at,
                    machine: machine.id.clone(),
                }));
            }
        }
        timeline.sort();
        timeline
    }

    /// Counts the scheduling steps for examining a machine and its attempts.
    pub(super) fn count_machine_steps(&self, machine: &Machine) {
        self.passes.add_steps(1 + machine.attempts.len() as u64 / 4);
    }

    /// Removes from a timeline the earliest capacity that the job's zone constraints let it use together, and returns
    /// this capacity. Returns `None` and leaves the timeline as it is if the job must be in a single zone, has no zone
    /// yet, and no zone has enough capacity, or if the job is a gang that finds too little capacity.
    pub(super) fn choose_earliest_capacity(
        &self,
        timeline: &mut CapacityTimeline,
        job: &JobId,
        spec: &JobSpec,
        mut zones: ZoneTaskCounts,
        tasks: usize,
        now: Micros,
    ) -> Option<ChosenCapacity> {
        let mut candidates = self.zone_candidates(timeline, job, spec, &zones, tasks, now);
        if spec.single_zone && zones.is_empty() {
            zones.insert(first_complete_zone(&candidates, tasks)?, 0);
        }
        let mut tasks_by_machine: BTreeMap<MachineId, i64> = BTreeMap::new();
        let mut taken: Vec<(Arc<str>, usize)> = Vec::new();
        let mut complete_at = 0;
        while taken.len() < tasks {
            let Some((zone, next)) = pop_earliest(&mut candidates, spec, &zones) else {
                break;
            };
            *zones.entry(zone.clone()).or_default() += 1;
            complete_at = next.capacity.at;
            *tasks_by_machine.entry(next.capacity.machine).or_default() += 1;
            taken.push((zone, next.position));
        }
        if spec.shape == Shape::Gang && taken.len() < tasks {
            return None;
        }
        // Later positions of a zone are removed first, so that the earlier positions stay valid.
        for (zone, position) in taken.into_iter().rev() {
            if let Some(list) = timeline.zones.get_mut(&zone) {
                list.remove(position);
            }
        }
        Some(ChosenCapacity {
            tasks_by_machine,
            complete_at,
        })
    }

    /// Returns, for each zone that a job may use, the earliest capacity for up to `tasks` tasks. Capacity on machines
    /// reserved for jobs earlier in this pass is removed from the timeline.
    fn zone_candidates(
        &self,
        timeline: &mut CapacityTimeline,
        job: &JobId,
        spec: &JobSpec,
        zones: &ZoneTaskCounts,
        tasks: usize,
        now: Micros,
    ) -> Vec<ZoneCandidates> {
        let allowed = timeline
            .zones
            .iter_mut()
            .filter(|(zone, _)| is_zone_allowed(spec, zones, zone));
        allowed
            .map(|(zone, list)| {
                let mut candidates = VecDeque::new();
                let mut position = 0;
                while position < list.len() && candidates.len() < tasks {
                    let capacity = &list[position];
                    self.passes.add_steps(1);
                    let machine = self.machines.get(&capacity.machine);
                    if machine.is_some_and(|machine| self.is_reserved_ahead_of(machine, job, now)) {
                        list.remove(position);
                        continue;
                    }
                    if machine.is_some_and(|machine| !machine.is_avoided_by(job, now)) {
                        candidates.push_back(IndexedCapacity {
                            capacity: capacity.clone(),
                            position,
                        });
                    }
                    position += 1;
                }
                ZoneCandidates {
                    zone: zone.clone(),
                    candidates,
                }
            })
            .collect()
    }

    /// Whether a machine is reserved for a job that this pass has visited before. A machine reserved for a job
    /// further down the queue may be taken: otherwise each of two gangs could hold a ready machine for a long time
    /// while it waits for another machine.
    fn is_reserved_ahead_of(&self, machine: &Machine, job: &JobId, now: Micros) -> bool {
        let reservation = machine.active_reservation(now);
        reservation
            .filter(|reservation| reservation.job != *job)
            .and_then(|reservation| self.jobs.get(&reservation.job))
            .is_some_and(|other| other.scheduling.last_queued_pass == self.passes.count)
    }

    /// Returns the times at which a machine will have capacity for the first, the second, ... of a job's tasks. Capacity
    /// whose release nothing foretells is left out: nobody can wait for it.
    pub(super) fn capacity_times(
        &self,
        machine: &Machine,
        spec: &JobSpec,
        now: Micros,
    ) -> Vec<Micros> {
        let max_tasks = spec
            .resources
            .times_fitting_in(&machine.capacity)
            .min(MAX_TASKS_PER_MACHINE) as usize;
        let lifecycle = &machine.lifecycle;
        if !lifecycle.has_booted {
            let is_usable = !lifecycle.deleting && !lifecycle.quarantined;
            let up_at = self.expected_up_at(machine, now).filter(|_| is_usable);
            return up_at.map_or_else(Vec::new, |at| vec![at; max_tasks]);
        }
        if !machine.is_schedulable(now, self.settings.heartbeat_interval) {
            return Vec::new();
        }
        let mut ends: Vec<(Micros, Resources)> = machine
            .attempts
            .iter()
            .filter(|(_, attempt)| attempt.holds_capacity)
            .filter_map(|(id, attempt)| {
                let end = self.foreseeable_end(&id.task, attempt, now)?;
                Some((end, attempt.resources))
            })
            .collect();
        ends.sort_by_key(|(end, _)| *end);
        let mut ends = ends.into_iter();
        let mut free = machine.free();
        let mut at = now;
        let mut times = Vec::new();
        for _ in 0..max_tasks {
            while !spec.resources.fits(&free) {
                let Some((end, resources)) = ends.next() else {
                    return times;
                };
                free += resources;
                at = end;
            }
            free -= spec.resources;
            times.push(at);
        }
        times
    }
}

/// Returns the zone that has capacity for all tasks first.
fn first_complete_zone(candidates: &[ZoneCandidates], tasks: usize) -> Option<Arc<str>> {
    let complete = candidates
        .iter()
        .filter(|zone| zone.candidates.len() == tasks);
    let last_capacity =
        |zone: &&ZoneCandidates| zone.candidates.back().map(|last| last.capacity.clone());
    complete
        .min_by_key(last_capacity)
        .map(|zone| zone.zone.clone())
}

/// Removes and returns the earliest capacity among the zones that the job's constraints allow for one more task.
fn pop_earliest(
    candidates: &mut [ZoneCandidates],
    spec: &JobSpec,
    zones: &ZoneTaskCounts,
) -> Option<(Arc<str>, IndexedCapacity)> {
    let open = candidates
        .iter_mut()
        .filter(|zone| zone_allowance(spec, zones, &zone.zone) > 0);
    let (_, earliest) = open
        .filter_map(|zone| Some((zone.candidates.front()?.capacity.clone(), zone)))
        .min_by(|(a, _), (b, _)| a.cmp(b))?;
    let next = earliest.candidates.pop_front()?;
    Some((earliest.zone.clone(), next))
}
