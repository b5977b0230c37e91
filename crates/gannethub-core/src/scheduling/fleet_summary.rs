//! Log lines at level `debug` that summarise the fleet and the cost of scheduling.

use std::collections::BTreeMap;

use crate::model::Micros;
use crate::state::attempt::AttemptPhase;
use crate::state::cluster::Cluster;
use crate::state::machine::Machine;
use crate::state::pass_state::SchedulingCost;

const MILLICPUS_PER_CPU: i64 = 1000;

/// Use of the machines of one type and market.
#[derive(Default)]
struct FleetUse {
    booting: u32,
    up: u32,
    idle: u32,
    reserved: u32,
    cpus: i64,
    /// CPUs held by attempts that run or save.
    running: i64,
    /// CPUs held by attempts that have not begun to run.
    fetching: i64,
}

impl FleetUse {
    fn add(&mut self, machine: &Machine, now: Micros) {
        if !machine.lifecycle.has_booted {
            self.booting += 1;
            return;
        }
        self.up += 1;
        self.idle += u32::from(machine.attempts.is_empty());
        self.reserved += u32::from(machine.active_reservation(now).is_some());
        self.cpus += machine.capacity.cpu / MILLICPUS_PER_CPU;
        for attempt in machine.attempts.values() {
            if !attempt.holds_capacity {
                continue;
            }
            let cpus = attempt.resources.cpu / MILLICPUS_PER_CPU;
            match attempt.phase {
                AttemptPhase::Running | AttemptPhase::Saving => self.running += cpus,
                _ => self.fetching += cpus,
            }
        }
    }
}

impl Cluster {
    /// Logs the cost of scheduling since the last summary, and the use of the machines of each type.
    pub(super) fn log_summary(&mut self, now: Micros) {
        let cost = std::mem::take(&mut self.passes.cost);
        if !tracing::enabled!(tracing::Level::DEBUG) {
            return;
        }
        self.log_scheduling_cost(&cost);
        let mut use_by_type: BTreeMap<(usize, bool), FleetUse> = BTreeMap::new();
        for machine in self.machines.values() {
            if let Some(machine_type) = machine.machine_type {
                let group = use_by_type.entry((machine_type, machine.spot)).or_default();
                group.add(machine, now);
            }
        }
        for ((machine_type, spot), group) in use_by_type {
            let FleetUse {
                booting,
                up,
                idle,
                reserved,
                cpus,
                running,
                fetching,
            } = group;
            let machine_type = &self.machine_types[machine_type].name;
            tracing::debug!(%machine_type, spot, booting, up, idle, reserved, cpus, running, fetching, "fleet");
        }
    }

    fn log_scheduling_cost(&self, cost: &SchedulingCost) {
        let SchedulingCost {
            passes,
            pass_steps,
            plans,
            plan_steps,
            max_steps,
        } = cost;
        let (jobs, machines) = (self.jobs.len(), self.machines.len());
        tracing::debug!(
            passes,
            pass_steps,
            plans,
            plan_steps,
            max_steps,
            jobs,
            machines,
            "scheduling cost"
        );
    }
}
