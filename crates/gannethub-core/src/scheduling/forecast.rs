//! A forecast of free capacity: the present and requested machines, and the times at which tasks of a shape can start
//! on them.
//!
//! Machines of one type, zone and market form a group. For each shape (the resources of a task) and each group an
//! index tells which machine has capacity first. All jobs of that shape share the index, and each reservation updates
//! all indexes of the machine's group. The cost of a plan is therefore proportional to its placements plus its
//! machines, not to the product of the two.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::sync::Arc;

use crate::model::{JobId, JobSpec, MachineId, Micros, Resources, SECOND, Shape};
use crate::scheduling::zones::{ZoneTaskCounts, is_zone_allowed};
use crate::state::fleet::Offer;

/// Fraction by which the expected wait for the end of several tasks grows with each doubling of their number.
const LAST_END_DELAY: f64 = 0.25;

/// Less than any task needs.
const NO_CAPACITY: Resources = Resources {
    cpu: -1,
    gpu: -1,
    memory: -1,
};

/// Work of a job for which there is no free capacity.
#[derive(Clone)]
pub(super) struct PendingWork {
    /// The job; `None` for work that is not released yet.
    pub job: Option<JobId>,
    pub spec: Arc<JobSpec>,
    /// Number of tasks that have not been planned yet.
    pub tasks: i64,
    /// Zones of the job's other tasks, if the job has zone constraints.
    pub zones: ZoneTaskCounts,
    /// Zones that the plan has tried and found to lack capacity for the whole job.
    pub excluded_zones: Vec<Arc<str>>,
    pub run_time: Micros,
    /// Earliest start of the tasks; for a job that waits for others, the time of its release.
    pub earliest_start: Micros,
    /// Latest start of the tasks, on this process's clock.
    pub latest_start: Micros,
}

impl PendingWork {
    /// Whether the tasks need their capacity together.
    pub fn needs_capacity_together(&self) -> bool {
        self.tasks > 1 && (self.spec.shape == Shape::Gang || self.chooses_zone())
    }

    /// Whether all tasks have to be in one zone, which is still open.
    pub fn chooses_zone(&self) -> bool {
        self.spec.single_zone && self.zones.is_empty()
    }

    /// Whether tasks may be planned in `zone`.
    pub fn is_zone_allowed(&self, zone: &str) -> bool {
        let mut excluded = self.excluded_zones.iter();
        is_zone_allowed(&self.spec, &self.zones, zone) && !excluded.any(|other| **other == *zone)
    }
}

/// Capacity that becomes free on a machine.
#[derive(Clone, Copy)]
pub(super) struct Release {
    pub at: Micros,
    /// Number of tasks that end at this time; `resources` is the total that they hold.
    pub tasks: u32,
    pub resources: Resources,
}

/// The forecast of one machine: its free capacity, and the times at which more capacity becomes free.
#[derive(Clone)]
pub(super) struct MachineForecast {
    pub group: usize,
    pub zone: Arc<str>,
    pub free: Resources,
    pub available_at: Micros,
    /// Releases in descending order of time: the earliest is last.
    pub releases: Vec<Release>,
    /// The machine's ID; `None` for a machine that is not up yet.
    pub machine: Option<MachineId>,
    /// Jobs whose tasks may not be placed on the machine because they have failed there.
    pub avoided_by: Vec<JobId>,
    /// Number of reservations made so far. Index entries of an earlier version are out of date.
    pub version: u32,
}

impl MachineForecast {
    /// Returns the earliest start of a task, or `Micros::MAX` if it never fits. Waiting for several tasks to end
    /// takes longer than each task is expected to run: the last of k tasks is late by about the logarithm of k.
    pub fn earliest_start(&self, resources: &Resources, now: Micros) -> Micros {
        let mut free = self.free;
        if resources.fits(&free) {
            return self.available_at;
        }
        let mut ended_tasks = 0;
        for release in self.releases.iter().rev() {
            free += release.resources;
            ended_tasks += release.tasks;
            if !resources.fits(&free) {
                continue;
            }
            if release.at == Micros::MAX {
                // Tasks of a service run until they are cancelled, and an addition to their end would overflow.
                return Micros::MAX;
            }
            let delay = 1.0 + LAST_END_DELAY * f64::from(ended_tasks).log2();
            let wait = release.at.saturating_sub(now) as f64 * delay;
            return (now + wait as Micros).max(self.available_at);
        }
        Micros::MAX
    }

    fn is_avoided_by(&self, work: &PendingWork) -> bool {
        let mut jobs = self.avoided_by.iter();
        jobs.any(|job| work.job.as_ref() == Some(job))
    }

    /// Reserves capacity for all the tasks that can start at `start`, at least one.
    pub fn reserve_tasks(&mut self, work: &mut PendingWork, start: Micros) {
        self.version += 1;
        self.release_until(start, &work.spec.resources);
        self.available_at = self.available_at.max(start);
        let tasks = self.tasks_that_fit(work).max(1);
        let resources = work.spec.resources.scaled_by(tasks);
        self.free -= resources;
        // Tasks of a service do not end. The tasks of a gang need all their capacity at the same time, so one of them
        // must not be planned to follow another.
        let frees_capacity = match work.spec.shape {
            Shape::Array => true,
            Shape::Gang => work.spec.tasks == 1,
            Shape::Service => false,
        };
        if frees_capacity {
            let at = start + work.run_time.max(SECOND);
            let position = self.releases.partition_point(|release| release.at > at);
            let release = Release {
                at,
                tasks: tasks as u32,
                resources,
            };
            self.releases.insert(position, release);
        }
        if work.spec.is_zone_constrained() {
            *work.zones.entry(self.zone.clone()).or_default() += tasks as u32;
        }
        work.tasks -= tasks;
    }

    /// Makes a machine useless for every task. The machine keeps its position, to which indexes refer.
    fn retire(&mut self) {
        self.version += 1;
        self.releases.clear();
        self.free = NO_CAPACITY;
    }

    /// Applies the releases up to `start`, until a task fits.
    fn release_until(&mut self, start: Micros, resources: &Resources) {
        while let Some(release) = self.releases.last().copied() {
            if release.at > start || resources.fits(&self.free) {
                return;
            }
            self.releases.pop();
            self.free += release.resources;
        }
    }

    fn tasks_that_fit(&self, work: &PendingWork) -> i64 {
        let spec = &work.spec;
        let tasks = spec.resources.times_fitting_in(&self.free).min(work.tasks);
        if !spec.spread {
            return tasks;
        }
        let in_zone = work.zones.get(&self.zone).copied().unwrap_or(0);
        tasks.min(i64::from(spec.max_tasks_per_zone().saturating_sub(in_zone)))
    }
}

/// Properties that the machines of a group have in common.
#[derive(Clone, PartialEq, Eq, Hash, Debug)]
pub(super) struct MachineGroupKey {
    pub machine_type: usize,
    pub zone: Arc<str>,
    pub spot: bool,
}

impl From<&Offer> for MachineGroupKey {
    fn from(offer: &Offer) -> MachineGroupKey {
        MachineGroupKey {
            machine_type: offer.machine_type,
            zone: offer.zone.as_str().into(),
            spot: offer.spot,
        }
    }
}

/// Machines of one type, zone and market.
pub(super) struct MachineGroup {
    pub key: MachineGroupKey,
    /// Price for an hour of a thousandth of a CPU.
    pub price: f64,
    /// Positions of the group's machines in [`Forecast::machines`].
    members: Vec<usize>,
}

/// Time at which a machine has capacity for a task, computed from the given version of its forecast. Entries are
/// ordered by time.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct IndexEntry {
    start: Micros,
    machine: usize,
    version: u32,
}

/// For each group, the times at which its machines have capacity for a task of a shape, the earliest first. `None`
/// for a group that no job of the shape has read yet.
type ShapeIndex = Vec<Option<BinaryHeap<Reverse<IndexEntry>>>>;

/// A machine that a job has read from an index. Candidates are ordered by time.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Candidate {
    /// Time at which the job's task can start on the machine.
    start: Micros,
    machine: usize,
    /// Start time in the index entry, which may be for a smaller shape.
    indexed_start: Micros,
}

/// Candidates that a job has read from the index of its shape and has not used.
pub(super) struct Candidates {
    shape: Resources,
    eligible_groups: Vec<usize>,
    by_group: Vec<BinaryHeap<Reverse<Candidate>>>,
}

impl Candidates {
    /// Creates an empty set of candidates for a job whose tasks may run on machines of `eligible_groups`.
    pub fn new(shape: Resources, eligible_groups: Vec<usize>) -> Candidates {
        Candidates {
            shape,
            eligible_groups,
            by_group: Vec::new(),
        }
    }

    /// Makes room for the candidates of `groups` groups.
    pub fn resize(&mut self, groups: usize) {
        self.by_group.resize_with(groups, BinaryHeap::new);
    }

    /// Adds an eligible group if it is new.
    pub fn add_group(&mut self, group: usize) {
        if group == self.by_group.len() {
            self.by_group.push(BinaryHeap::new());
            self.eligible_groups.push(group);
        }
    }
}

/// Returns the shape whose index similar shapes share. Each size is rounded down, by less than an eighth, so a task of
/// any shape that shares the index starts no earlier than the index entry says.
pub(super) fn coarse_shape(resources: &Resources) -> Resources {
    let round_down = |size: i64| {
        let bits = 63 - size.max(1).leading_zeros();
        let step = 1i64 << bits.saturating_sub(3);
        size / step * step
    };
    Resources {
        cpu: round_down(resources.cpu),
        gpu: round_down(resources.gpu),
        memory: round_down(resources.memory),
    }
}

/// A change of a forecast that can be undone.
enum ForecastChange {
    /// A machine was added at this position.
    Added(usize),
    /// Capacity of the machine at this position was reserved. The forecast is the one before.
    Reserved(usize, MachineForecast),
}

/// The machines that are up, booting, requested or planned, and the indexes over them.
#[derive(Default)]
pub(super) struct Forecast {
    pub groups: Vec<MachineGroup>,
    pub machines: Vec<MachineForecast>,
    pub now: Micros,
    /// Number of scheduling steps taken.
    pub steps: u64,
    /// Changes since [`Forecast::begin_trial`], the newest last; `None` outside a trial.
    trial: Option<Vec<ForecastChange>>,
    group_index: HashMap<MachineGroupKey, usize>,
    shape_indexes: HashMap<Resources, ShapeIndex>,
}

/// Place and start time of a job's next tasks.
#[derive(Clone, Copy)]
pub(super) struct PlacementChoice {
    pub start: Micros,
    pub machine: usize,
    group: usize,
}

impl Forecast {
    /// Creates a forecast without machines.
    pub fn new(now: Micros) -> Forecast {
        Forecast {
            now,
            ..Forecast::default()
        }
    }

    /// Returns the group of a kind of machines, and creates the group if it is new.
    pub fn group_for(&mut self, key: &MachineGroupKey, price: f64) -> usize {
        if let Some(group) = self.group_index.get(key) {
            return *group;
        }
        let group = self.groups.len();
        self.group_index.insert(key.clone(), group);
        self.groups.push(MachineGroup {
            key: key.clone(),
            price,
            members: Vec::new(),
        });
        for index in self.shape_indexes.values_mut() {
            index.push(None);
        }
        group
    }

    pub fn add_machine(&mut self, machine: MachineForecast) {
        let position = self.machines.len();
        if let Some(changes) = &mut self.trial {
            changes.push(ForecastChange::Added(position));
        }
        self.groups[machine.group].members.push(position);
        self.machines.push(machine);
        self.index_machine(position);
    }

    /// Adds an entry for a machine to every index of its group that a job has read.
    fn index_machine(&mut self, position: usize) {
        let machine = &self.machines[position];
        for (resources, index) in &mut self.shape_indexes {
            let Some(Some(entries)) = index.get_mut(machine.group) else {
                continue;
            };
            self.steps += 1;
            let start = machine.earliest_start(resources, self.now);
            if start < Micros::MAX {
                entries.push(Reverse(IndexEntry {
                    start,
                    machine: position,
                    version: machine.version,
                }));
            }
        }
    }

    /// Reserves the chosen capacity for a job's next tasks.
    pub fn take(
        &mut self,
        choice: PlacementChoice,
        work: &mut PendingWork,
        candidates: &mut Candidates,
    ) {
        candidates.by_group[choice.group].pop();
        if let Some(changes) = &mut self.trial {
            let before = self.machines[choice.machine].clone();
            changes.push(ForecastChange::Reserved(choice.machine, before));
        }
        self.machines[choice.machine].reserve_tasks(work, choice.start);
        self.index_machine(choice.machine);
    }

    /// Begins to record the changes, so that they can be undone.
    pub fn begin_trial(&mut self) {
        self.trial = Some(Vec::new());
    }

    /// Keeps the changes since the trial began.
    pub fn keep_trial(&mut self) {
        self.trial = None;
    }

    /// Undoes the changes since the trial began. The candidates of the trial must have been returned.
    pub fn undo_trial(&mut self) {
        for change in self.trial.take().into_iter().flatten().rev() {
            match change {
                ForecastChange::Added(position) => self.machines[position].retire(),
                ForecastChange::Reserved(position, before) => {
                    let version = self.machines[position].version + 1;
                    self.machines[position] = MachineForecast { version, ..before };
                    self.index_machine(position);
                }
            }
        }
    }

    /// Reads from a group's index until no entry can be earlier than the earliest candidate.
    fn read_group(&mut self, group: usize, work: &PendingWork, candidates: &mut Candidates) {
        let shape = candidates.shape;
        let groups = self.groups.len();
        let index = self
            .shape_indexes
            .entry(shape)
            .or_insert_with(|| (0..groups).map(|_| None).collect());
        let entries = index[group].get_or_insert_with(|| {
            let members = &self.groups[group].members;
            self.steps += members.len() as u64;
            let entries = members.iter().map(|position| {
                let machine = &self.machines[*position];
                Reverse(IndexEntry {
                    start: machine.earliest_start(&shape, self.now),
                    machine: *position,
                    version: machine.version,
                })
            });
            entries
                .filter(|Reverse(entry)| entry.start < Micros::MAX)
                .collect()
        });
        let read = &mut candidates.by_group[group];
        while let Some(Reverse(entry)) = entries.peek().copied() {
            // Machines that have capacity before the job's release are equally good.
            let entry_start = entry.start.max(work.earliest_start);
            let is_earliest_read = read.peek().is_some_and(|Reverse(earliest)| {
                (earliest.start, earliest.machine) <= (entry_start, entry.machine)
            });
            if is_earliest_read {
                return;
            }
            entries.pop();
            self.steps += 1;
            let machine = &self.machines[entry.machine];
            if machine.version != entry.version {
                continue;
            }
            // A machine that never has capacity for this job may have some for the next job of its shape, so it is
            // returned to the index with the others.
            let start = if machine.is_avoided_by(work) {
                Micros::MAX
            } else {
                machine.earliest_start(&work.spec.resources, self.now)
            };
            read.push(Reverse(Candidate {
                start: start.max(work.earliest_start),
                machine: entry.machine,
                indexed_start: entry.start,
            }));
        }
    }

    /// Returns the best choice for a job's next tasks: the lowest price among choices that are in time, else the
    /// earliest choice.
    pub fn best_choice(
        &mut self,
        work: &PendingWork,
        candidates: &mut Candidates,
    ) -> Option<PlacementChoice> {
        let mut best: Option<((bool, u64, u64, usize), PlacementChoice)> = None;
        for position in 0..candidates.eligible_groups.len() {
            let group = candidates.eligible_groups[position];
            if !work.is_zone_allowed(&self.groups[group].key.zone) {
                continue;
            }
            self.read_group(group, work, candidates);
            let earliest = candidates.by_group[group].peek().copied();
            let Some(Reverse(candidate)) = earliest.filter(|entry| entry.0.start < Micros::MAX)
            else {
                continue;
            };
            let Candidate { start, machine, .. } = candidate;
            // Prices are not negative, and the bits of non-negative floating-point numbers sort like the numbers.
            let price = self.groups[group].price.max(0.0).to_bits();
            let is_late = start > work.latest_start;
            let rank = if is_late {
                (is_late, start, price, machine)
            } else {
                (is_late, price, start, machine)
            };
            if best.as_ref().is_none_or(|(best_rank, _)| rank < *best_rank) {
                let choice = PlacementChoice {
                    start,
                    machine,
                    group,
                };
                best = Some((rank, choice));
            }
        }
        best.map(|(_, choice)| choice)
    }

    /// Returns the unused candidates of a job to the index.
    pub fn return_candidates(&mut self, candidates: Candidates) {
        let Some(index) = self.shape_indexes.get_mut(&candidates.shape) else {
            return;
        };
        for (entries, read) in index.iter_mut().zip(candidates.by_group) {
            let Some(entries) = entries else { continue };
            for Reverse(candidate) in read {
                entries.push(Reverse(IndexEntry {
                    start: candidate.indexed_start,
                    machine: candidate.machine,
                    version: self.machines[candidate.machine].version,
                }));
            }
        }
    }
}

#[cfg(test)]
mod tests;
