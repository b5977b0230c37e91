//! Usage of machines and teams by attempts, and the capacity index that follows from the usage.

use crate::model::{MachineId, Micros, Resources};
use crate::state::cluster::Cluster;

impl Cluster {
    /// Updates a machine's entry in the capacity index.
    pub fn reindex_machine(&mut self, id: &MachineId, now: Micros) {
        let Some(machine) = self.machines.get_mut(id) else {
            return;
        };
        let Some(bucket) = machine.placement.capacity_bucket else {
            return;
        };
        let free_cpu = machine.schedulable_cpu(now, self.settings.heartbeat_interval);
        let indexed = &mut machine.placement.indexed_free_cpu;
        if free_cpu != *indexed {
            let previous = std::mem::replace(indexed, free_cpu);
            self.capacity_index.update(bucket, id, previous, free_cpu);
        }
    }

    /// Adds an attempt's resources to the usage of its machine and of its team. A negative amount releases them.
    pub fn adjust_usage(
        &mut self,
        id: &MachineId,
        team: Option<usize>,
        amount: Resources,
        now: Micros,
    ) {
        if let Some(machine) = self.machines.get_mut(id) {
            machine.used += amount;
        }
        if let Some(team) = team {
            self.quota.team_usage[team] += amount;
        }
        self.reindex_machine(id, now);
    }

    /// Reindexes machines whose state has changed with time alone, for example because they have fallen silent.
    pub fn reindex_changed_machines(&mut self, now: Micros) {
        let heartbeat_interval = self.settings.heartbeat_interval;
        let changed: Vec<MachineId> = self
            .machines
            .values()
            .filter(|machine| {
                let is_indexed = machine.placement.indexed_free_cpu.is_some();
                let is_schedulable = machine.schedulable_cpu(now, heartbeat_interval).is_some();
                machine.placement.capacity_bucket.is_some() && is_indexed != is_schedulable
            })
            .map(|machine| machine.id.clone())
            .collect();
        changed.iter().for_each(|id| self.reindex_machine(id, now));
    }

    /// Returns the differences between the capacity index and the machines, of which there must be none. For tests.
    pub fn index_inconsistencies(&self) -> Vec<String> {
        let mut inconsistencies = Vec::new();
        for machine in self.machines.values() {
            let Some(bucket) = machine.placement.capacity_bucket else {
                continue;
            };
            let bucket = &self.capacity_index.buckets[bucket];
            let (id, indexed) = (&machine.id, machine.placement.indexed_free_cpu);
            let entries = bucket.schedulable.iter().filter(|(_, other)| other == id);
            let cpus: Vec<i64> = entries.map(|(cpu, _)| *cpu).collect();
            if !bucket.machines.contains(id) || cpus != Vec::from_iter(indexed) {
                inconsistencies.push(format!(
                    "{id}: index lists CPU {cpus:?}, machine has {indexed:?}"
                ));
            }
            if indexed.is_some_and(|cpu| cpu != machine.free().cpu) {
                inconsistencies.push(format!(
                    "{id}: indexed CPU {indexed:?}, free {:?}",
                    machine.free()
                ));
            }
        }
        let buckets = &self.capacity_index.buckets;
        let indexed: usize = buckets.iter().map(|bucket| bucket.machines.len()).sum();
        let with_bucket = self
            .machines
            .values()
            .filter(|machine| machine.placement.capacity_bucket.is_some())
            .count();
        if indexed != with_bucket {
            inconsistencies.push(format!(
                "{indexed} machines in the index, {with_bucket} machines with a bucket"
            ));
        }
        inconsistencies
    }
}
