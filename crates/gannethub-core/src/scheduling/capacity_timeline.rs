//! When and where there will be capacity for tasks of a shape, and the choice of the earliest that a gang can use together.
//!
//! Gangs with the same constraints look for the same capacity, so a timeline is worked out once for all of them, and each
//! takes out of it what is reserved for it.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use crate::model::{JobId, JobSpec, MachineId, Micros, Resources};
use crate::scheduling::zones::{ZoneTaskCounts, is_zone_allowed, zone_allowance};
use crate::state::cluster::Cluster;
use crate::state::machine::Machine;

/// Tasks of a gang that are looked for on one machine.
pub(super) const MAX_TASKS_PER_MACHINE: i64 = 4096;

/// Jobs with the same constraints look for the same capacity.
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

/// Capacity for one task. The order is that of time.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub(super) struct TaskCapacity {
    /// When it will be there; for capacity that preemption makes, the work that is lost with it.
    pub at: Micros,
    pub machine: MachineId,
}

/// Capacity for tasks of a shape, by zone, the earliest first.
#[derive(Debug, Default)]
pub(super) struct CapacityTimeline {
    zones: BTreeMap<Arc<str>, VecDeque<TaskCapacity>>,
}

/// Capacity that a gang may use, with its position in its zone's list.
#[derive(Clone)]
struct IndexedCapacity {
    capacity: TaskCapacity,
    position: usize,
}

/// What a gang may use of a zone, the earliest first.
struct ZoneCandidates {
    zone: Arc<str>,
    candidates: VecDeque<IndexedCapacity>,
}

/// The capacity that was chosen for a gang.
#[derive(Debug)]
pub(super) struct ChosenCapacity {
    /// How many tasks each machine is to take.
    pub tasks_by_machine: BTreeMap<MachineId, i64>,
    /// When the last task will have capacity.
    pub complete_at: Micros,
}

impl ChosenCapacity {
    /// For how many tasks capacity was found.
    pub fn tasks(&self) -> i64 {
        self.tasks_by_machine.values().sum()
    }
}

impl CapacityTimeline {
    /// The list of a zone. After the last entry was added, [`CapacityTimeline::sort`] has to be called.
    pub fn zone_mut(&mut self, zone: &Arc<str>) -> &mut VecDeque<TaskCapacity> {
        self.zones.entry(zone.clone()).or_default()
    }

    /// Puts the entries of each zone in the order of time.
    pub fn sort(&mut self) {
        for list in self.zones.values_mut() {
            list.make_contiguous().sort_unstable();
        }
    }
}

impl Cluster {
    /// When and where there will be capacity for tasks like this job's, as attempts end and machines boot.
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

    /// Counts what looking at a machine and its attempts costs.
    pub(super) fn count_machine_steps(&self, machine: &Machine) {
        self.passes.add_steps(1 + machine.attempts.len() as u64 / 4);
    }

    /// Takes the earliest capacity out of a timeline that a job's zone constraints let it use together. `None` if no zone has
    /// enough for a job that has to be in one.
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
        // Of each zone the later positions are removed first, so that the others stay valid.
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

    /// Of each zone that a job may use, the earliest capacity for up to `tasks` tasks. What is reserved for jobs that the pass
    /// has come to already is dropped from the timeline.
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
                    if machine
                        .is_some_and(|machine| !machine.placement.failures_by_job.contains_key(job))
                    {
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

    /// Whether a machine is reserved for a job that this pass has come to before. What is reserved for a job further down the
    /// queue can be had: else each of two gangs may long hold a machine that is ready beside one that is not.
    fn is_reserved_ahead_of(&self, machine: &Machine, job: &JobId, now: Micros) -> bool {
        let reservation = machine.active_reservation(now);
        reservation
            .filter(|reservation| reservation.job != *job)
            .and_then(|reservation| self.jobs.get(&reservation.job))
            .is_some_and(|other| other.scheduling.last_queued_pass == self.passes.count)
    }

    /// When a machine will have capacity for the first, the second, ... of a job's tasks.
    fn capacity_times(&self, machine: &Machine, spec: &JobSpec, now: Micros) -> Vec<Micros> {
        let max_tasks = spec
            .resources
            .count_in(&machine.capacity)
            .min(MAX_TASKS_PER_MACHINE) as usize;
        let lifecycle = &machine.lifecycle;
        if !lifecycle.is_up {
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
            .map(|(id, attempt)| (self.expected_end(&id.task, attempt, now), attempt.resources))
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

/// The zone that has capacity for all tasks first.
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

/// Takes the earliest capacity of all zones in which the job may have another task.
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
