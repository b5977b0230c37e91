//! The forecast of a plan: the present machines and the machines that boot or are requested, with the times at which
//! their capacity becomes free.

use std::cmp::Reverse;

use crate::model::Micros;
use crate::scheduling::forecast::{Forecast, MachineForecast, MachineGroupKey, Release};
use crate::state::cluster::Cluster;
use crate::state::fleet::{Offer, PendingProvision};
use crate::state::machine::Machine;

impl Cluster {
    /// Builds the forecast from the present machines and the machines that boot or are requested, with the times at
    /// which their capacity becomes free.
    pub(super) fn forecast(&self, now: Micros) -> Forecast {
        let mut forecast = Forecast::new(now);
        for machine in self.machines.values() {
            self.add_machine_forecast(&mut forecast, machine, now);
        }
        for PendingProvision { offer, count } in self.fleet.pending_provisions.values() {
            let available_at = self.expected_boot_end(offer, now);
            let key = MachineGroupKey::from(offer);
            let group = self.forecast_group(&mut forecast, &key);
            for _ in 0..*count {
                forecast.add_machine(self.empty_machine(group, &key, available_at));
            }
        }
        forecast
    }

    fn add_machine_forecast(&self, forecast: &mut Forecast, machine: &Machine, now: Micros) {
        let Some(machine_type) = machine.machine_type else {
            return;
        };
        let lifecycle = &machine.lifecycle;
        if lifecycle.deleting
            || lifecycle.draining
            || lifecycle.quarantined
            || lifecycle.preemption_notice
            || machine.has_lost_responses(now)
        {
            return;
        }
        forecast.steps += 1 + machine.attempts.len() as u64 / 2;
        let key = MachineGroupKey {
            machine_type,
            zone: machine.zone.clone(),
            spot: machine.spot,
        };
        let group = self.forecast_group(forecast, &key);
        if !lifecycle.has_booted {
            if let Some(available_at) = self.expected_up_at(machine, now) {
                forecast.add_machine(self.empty_machine(group, &key, available_at));
            }
            return;
        }
        let mut machine_forecast = self.empty_machine(group, &key, now);
        machine_forecast.free = machine.free();
        machine_forecast.machine = Some(machine.id.clone());
        let failures = machine.placement.failures_by_job.iter();
        machine_forecast.avoided_by = failures
            .filter(|(_, failures)| now < failures.avoid_until)
            .map(|(job, _)| job)
            .filter(|id| {
                self.jobs
                    .get(*id)
                    .is_some_and(|job| !job.is_crash_looping())
            })
            .cloned()
            .collect();
        let holding = machine
            .attempts
            .iter()
            .filter(|(_, attempt)| attempt.holds_capacity);
        machine_forecast
            .releases
            .extend(holding.map(|(id, attempt)| Release {
                at: self.expected_end(&id.task, attempt, now),
                tasks: 1,
                resources: attempt.resources,
            }));
        machine_forecast
            .releases
            .sort_by_key(|release| Reverse(release.at));
        forecast.add_machine(machine_forecast);
    }

    /// Returns the forecast's group of a kind of machines.
    pub(super) fn forecast_group(&self, forecast: &mut Forecast, key: &MachineGroupKey) -> usize {
        let price = self.price_per_millicpu(key.machine_type, key.spot);
        forecast.group_for(key, price)
    }

    /// Returns the forecast of a machine without attempts.
    pub(super) fn empty_machine(
        &self,
        group: usize,
        key: &MachineGroupKey,
        available_at: Micros,
    ) -> MachineForecast {
        MachineForecast {
            group,
            zone: key.zone.clone(),
            free: self.machine_types[key.machine_type].capacity,
            available_at,
            releases: Vec::new(),
            machine: None,
            avoided_by: Vec::new(),
            version: 0,
        }
    }

    /// Returns the time at which a machine provisioned now is expected to be up.
    pub(super) fn expected_boot_end(&self, offer: &Offer, now: Micros) -> Micros {
        let usual = self.machine_types[offer.machine_type].boot_time;
        let times = &self.fleet.provisioning_times;
        now + times.expected_boot_time(offer.machine_type, &offer.zone, usual, now)
    }
}
