//! Consolidation: while no job waits for capacity, long tasks that save checkpoints are moved together. A machine that
//! a few of these tasks would occupy for a long time can then be returned.

use std::collections::{BTreeSet, HashMap, HashSet};
use std::sync::Arc;

use crate::model::{MachineId, Micros, Resources, SECOND, Shape, TaskId};
use crate::scheduling::zones::ZoneTaskCounts;
use crate::state::attempt::{Attempt, AttemptPhase};
use crate::state::cluster::Cluster;
use crate::state::job::Job;
use crate::state::machine::Machine;

/// Interval between searches for machines that could be emptied.
const CONSOLIDATION_INTERVAL: Micros = 3 * SECOND;

/// At most one in this many of the machines that could be emptied is emptied at a time, rounded up.
const CONSOLIDATION_FRACTION: usize = 8;

/// Tasks that have run for less than this time are not moved.
const MIN_RUN_TIME_BEFORE_MOVE: Micros = 35 * SECOND;

/// Time that a move takes in addition to saving and fetching the image: heartbeats on both machines.
const MOVE_OVERHEAD: Micros = 5 * SECOND;

/// A task is moved only if its remaining run time exceeds this many times the duration of the move, plus a boot time.
const MIN_GAIN_FACTOR: Micros = 4;

/// Maximum number of machines examined to find a host for one task.
const MAX_HOSTS_EXAMINED: usize = 50;

/// Free capacity of machines that are not emptied, by machine and by free CPU.
#[derive(Default)]
struct SpareCapacity {
    free: HashMap<MachineId, Resources>,
    by_cpu: BTreeSet<(i64, MachineId)>,
}

impl SpareCapacity {
    fn insert(&mut self, machine: MachineId, free: Resources) {
        self.by_cpu.insert((free.cpu, machine.clone()));
        self.free.insert(machine, free);
    }

    fn remove(&mut self, machine: &MachineId) -> Option<Resources> {
        let free = self.free.remove(machine)?;
        self.by_cpu.remove(&(free.cpu, machine.clone()));
        Some(free)
    }

    /// Adds back the capacity that was taken for a task.
    fn release(&mut self, host: Host) {
        let free = self.remove(&host.machine).unwrap_or_default();
        self.insert(host.machine, free - host.taken.scaled_by(-1));
    }
}

/// A machine whose tasks could all be moved.
struct MovableMachine {
    /// Price of the machine for each thousandth of a CPU in use: the saving for each unit of moved work.
    price_per_used_cpu: f64,
    machine: MachineId,
    tasks: Vec<TaskId>,
}

/// Capacity on a machine, taken for a task that is to be moved.
struct Host {
    machine: MachineId,
    taken: Resources,
}

impl Cluster {
    /// Starts to empty machines whose tasks all have a long remaining run time and fit elsewhere, if no job waits for
    /// capacity and no machine is draining.
    pub(super) fn consolidate(&mut self, now: Micros) {
        if now < self.fleet.next_consolidation_at {
            return;
        }
        self.fleet.next_consolidation_at = now + CONSOLIDATION_INTERVAL;
        let is_waiting = |job: &Job| {
            !job.cancelled && !job.tasks.pending.is_empty() && self.tasks_within_quota(job) > 0
        };
        let is_draining =
            |machine: &Machine| machine.lifecycle.draining && !machine.lifecycle.deleting;
        if self.machines.values().any(is_draining) || self.jobs.values().any(is_waiting) {
            return;
        }
        let (mut spare, movable) = self.movable_machines(now);
        for machine in self.choose_machines_to_empty(movable, &mut spare, now) {
            let tasks = &machine.tasks;
            tracing::info!(machine = %machine.machine, tasks = tasks.len(), "draining machine for consolidation");
            if let Some(state) = self.machines.get_mut(&machine.machine) {
                state.lifecycle.draining = true;
            }
            for task in tasks {
                self.preempt(&task.job, task.index);
            }
        }
    }

    /// Returns the free capacity of the unreserved machines that run tasks, and the machines that could be emptied, in
    /// order of decreasing saving.
    fn movable_machines(&self, now: Micros) -> (SpareCapacity, Vec<MovableMachine>) {
        let mut spare = SpareCapacity::default();
        let mut movable = Vec::new();
        for machine in self.machines.values() {
            if !machine.is_schedulable(now, self.settings.heartbeat_interval)
                || machine.attempts.is_empty()
            {
                continue;
            }
            self.passes.add_steps(1);
            if machine.free().cpu > 0 && machine.active_reservation(now).is_none() {
                spare.insert(machine.id.clone(), machine.free());
            }
            let tasks: Option<Vec<TaskId>> = machine
                .attempts
                .iter()
                .map(|(id, attempt)| {
                    self.is_worth_moving(machine, &id.task, attempt, now)
                        .then(|| id.task.clone())
                })
                .collect();
            if let (Some(tasks), Some(machine_type)) = (tasks, machine.machine_type) {
                let price = self.machine_types[machine_type].price_of(machine.spot);
                movable.push(MovableMachine {
                    price_per_used_cpu: price / machine.used.cpu.max(1) as f64,
                    machine: machine.id.clone(),
                    tasks,
                });
            }
        }
        movable.sort_by(|a, b| {
            let by_price = b.price_per_used_cpu.total_cmp(&a.price_per_used_cpu);
            by_price.then_with(|| a.machine.cmp(&b.machine))
        });
        (spare, movable)
    }

    /// Chooses machines whose tasks all find a host.
    fn choose_machines_to_empty(
        &self,
        movable: Vec<MovableMachine>,
        spare: &mut SpareCapacity,
        now: Micros,
    ) -> Vec<MovableMachine> {
        let max_machines = movable.len().div_ceil(CONSOLIDATION_FRACTION);
        let mut hosts: HashSet<MachineId> = HashSet::new();
        let mut chosen = Vec::new();
        for machine in movable {
            if chosen.len() >= max_machines {
                break;
            }
            // A machine that receives moved tasks is not emptied.
            if hosts.contains(&machine.machine) {
                continue;
            }
            let own_free = spare.remove(&machine.machine);
            let found: Vec<Host> = machine
                .tasks
                .iter()
                .map_while(|task| self.take_host(task, spare, now))
                .collect();
            if found.len() == machine.tasks.len() {
                hosts.extend(found.into_iter().map(|host| host.machine));
                chosen.push(machine);
                continue;
            }
            for host in found {
                spare.release(host);
            }
            if let Some(free) = own_free {
                spare.insert(machine.machine, free);
            }
        }
        chosen
    }

    /// Takes capacity for a task that is to be moved, on the machine with the least free CPU that can host the task.
    fn take_host(&self, task: &TaskId, spare: &mut SpareCapacity, now: Micros) -> Option<Host> {
        let spec = &self.jobs.get(&task.job)?.spec;
        let can_take = |id: &MachineId| {
            self.passes.add_steps(1);
            let free = spare.free.get(id);
            if !free.is_some_and(|free| spec.resources.fits(free)) {
                return false;
            }
            let no_zones = ZoneTaskCounts::new();
            self.machines
                .get(id)
                .is_some_and(|machine| self.can_host(machine, &task.job, spec, &no_zones, now))
        };
        let first_id: MachineId = Arc::from("");
        let mut candidates = spare
            .by_cpu
            .range((spec.resources.cpu, first_id)..)
            .take(MAX_HOSTS_EXAMINED);
        let machine = candidates.find(|(_, id)| can_take(id))?.1.clone();
        let free = spare.remove(&machine)?;
        spare.insert(machine.clone(), free - spec.resources);
        Some(Host {
            machine,
            taken: spec.resources,
        })
    }

    /// Whether the cost of moving a task is small against the time for which the task would still occupy its machine.
    fn is_worth_moving(
        &self,
        machine: &Machine,
        task: &TaskId,
        attempt: &Attempt,
        now: Micros,
    ) -> bool {
        let (Some(job), Some(machine_type)) = (self.jobs.get(&task.job), machine.machine_type)
        else {
            return false;
        };
        let spec = &job.spec;
        let move_time = spec.save_time + self.fetch_time(spec) + MOVE_OVERHEAD;
        let boot_time = self.machine_types[machine_type].boot_time;
        spec.shape == Shape::Array
            && !spec.is_zone_constrained()
            && spec.checkpoint_interval > 0
            && attempt.phase == AttemptPhase::Running
            && attempt.stop_grace.is_none()
            && now > attempt.phase_since + MIN_RUN_TIME_BEFORE_MOVE
            && self.expected_end(task, attempt, now) > now + MIN_GAIN_FACTOR * move_time + boot_time
    }
}
