//! Expected boot times of machines, learned from observations for each machine type and zone.
//!
//! The cloud states a usual boot time. Some machines take several times as long; on some nights all machines of a
//! type in a zone do so, or never boot; at other times machines boot at once. Observations count in full at first and
//! fade over time, so that a bad hour does not exclude a zone for the day.

use std::collections::HashMap;

use crate::model::{Micros, SECOND};

/// Time in which an observation loses half its weight.
const HALF_LIFE: Micros = 120 * SECOND;
/// Weight of one machine that booted.
const BOOTED_WEIGHT: f64 = 0.15;
/// Weight of one overdue machine. The overdue machines of a burst are observed last and without the others, so a few
/// of them must not count for the whole burst.
const OVERDUE_WEIGHT: f64 = 0.025;
/// Weight of one machine that never booted.
const LOST_WEIGHT: f64 = 0.03;
/// Maximum counted deviation of a single boot from the estimated factor. A single outlier is only weak evidence.
const MAX_BOOT_DEVIATION: f64 = 0.4;
/// Multiple of the expected boot time after which a machine is overdue.
pub const OVERDUE_FACTOR: f64 = 1.6;
/// Boot time assumed for an overdue machine, as a multiple of the expected boot time.
const OVERDUE_MACHINE_FACTOR: f64 = 2.0;
/// Range to which the boot time factor is clamped.
const FACTOR_RANGE: (f64, f64) = (0.02, 6.0);
/// Deviations of the boot time factor from 1 below this value are ordinary variation.
const ORDINARY_DEVIATION: f64 = 0.3;
/// Shares of lost machines below this value are ordinary variation.
const ORDINARY_LOSS: f64 = 0.1;
/// Minimum share of machines that is assumed to boot when the cost of lost machines is computed.
const MIN_BOOTED_SHARE: f64 = 0.1;
/// Typical time for which a machine is used, in seconds. The cost of a boot is weighed against this time.
const TYPICAL_USE_SECONDS: f64 = 150.0;

/// Estimates for the machines of one type in one zone.
#[derive(Clone, Copy, Debug)]
struct Estimate {
    /// Boot time as a multiple of the usual boot time.
    factor: f64,
    /// Share of machines that never booted.
    lost_share: f64,
    updated_at: Micros,
}

/// A machine's type, as an index into the list of machine types, and its zone.
type Location = (usize, String);

/// Learned boot times and losses, by machine type and zone.
#[derive(Debug, Default)]
pub struct ProvisioningTimes {
    estimates: HashMap<Location, Estimate>,
}

impl ProvisioningTimes {
    /// Returns the estimate at `now`, with the weight of earlier observations reduced by their age.
    fn estimate(&self, machine_type: usize, zone: &str, now: Micros) -> Estimate {
        // A lookup without copying the name would need a second map; there are few zones.
        let Some(known) = self.estimates.get(&(machine_type, zone.to_string())) else {
            return Estimate {
                factor: 1.0,
                lost_share: 0.0,
                updated_at: now,
            };
        };
        let half_lives = now.saturating_sub(known.updated_at) as f64 / HALF_LIFE as f64;
        let weight = 0.5f64.powf(half_lives);
        Estimate {
            factor: 1.0 + (known.factor - 1.0) * weight,
            lost_share: known.lost_share * weight,
            updated_at: now,
        }
    }

    /// Like [`ProvisioningTimes::estimate`], but without ordinary variation. Otherwise the choice among zones of
    /// equal quality would vary, and gangs that need a single zone would find half their capacity in each.
    fn significant_estimate(&self, machine_type: usize, zone: &str, now: Micros) -> Estimate {
        let mut estimate = self.estimate(machine_type, zone, now);
        if (estimate.factor - 1.0).abs() < ORDINARY_DEVIATION {
            estimate.factor = 1.0;
        }
        if estimate.lost_share < ORDINARY_LOSS {
            estimate.lost_share = 0.0;
        }
        estimate
    }

    fn observe(
        &mut self,
        machine_type: usize,
        zone: &str,
        now: Micros,
        change: impl FnOnce(&mut Estimate),
    ) {
        let mut estimate = self.estimate(machine_type, zone, now);
        change(&mut estimate);
        estimate.factor = estimate.factor.clamp(FACTOR_RANGE.0, FACTOR_RANGE.1);
        self.estimates
            .insert((machine_type, zone.to_string()), estimate);
    }

    /// Returns the expected boot time of a machine whose type usually takes `usual`.
    pub fn expected_boot_time(
        &self,
        machine_type: usize,
        zone: &str,
        usual: Micros,
        now: Micros,
    ) -> Micros {
        let estimate = self.significant_estimate(machine_type, zone, now);
        (usual as f64 * estimate.factor) as Micros
    }

    /// Records that a machine of a type that usually takes `usual` booted after `boot_time`.
    pub fn record_boot(
        &mut self,
        machine_type: usize,
        zone: &str,
        usual: Micros,
        boot_time: Micros,
        now: Micros,
    ) {
        let factor = boot_time as f64 / usual.max(1) as f64;
        self.observe(machine_type, zone, now, |estimate| {
            let deviation = factor - estimate.factor;
            estimate.factor +=
                BOOTED_WEIGHT * deviation.clamp(-MAX_BOOT_DEVIATION, MAX_BOOT_DEVIATION);
            estimate.lost_share -= LOST_WEIGHT * estimate.lost_share;
        });
    }

    /// Records that a machine is overdue.
    pub fn record_overdue(&mut self, machine_type: usize, zone: &str, now: Micros) {
        self.observe(machine_type, zone, now, |estimate| {
            estimate.factor += OVERDUE_WEIGHT * (OVERDUE_MACHINE_FACTOR - 1.0) * estimate.factor;
        });
    }

    /// Records that a machine never booted and is given up.
    pub fn record_failed_boot(&mut self, machine_type: usize, zone: &str, now: Micros) {
        self.observe(machine_type, zone, now, |estimate| {
            estimate.lost_share += LOST_WEIGHT * (1.0 - estimate.lost_share);
        });
    }

    /// Returns the factor by which boots raise the cost of a machine above its price. The factor covers boots that
    /// take longer than usual, and machines that are given up after `max_boot_time`.
    pub fn price_factor(
        &self,
        machine_type: usize,
        zone: &str,
        usual: Micros,
        max_boot_time: Micros,
        now: Micros,
    ) -> f64 {
        let estimate = self.significant_estimate(machine_type, zone, now);
        let extra_boot_time = (estimate.factor - 1.0).max(0.0) * usual as f64;
        let booted_share = (1.0 - estimate.lost_share).max(MIN_BOOTED_SHARE);
        let wasted_boot_time = estimate.lost_share / booted_share * max_boot_time as f64;
        1.0 + (extra_boot_time + wasted_boot_time) / (TYPICAL_USE_SECONDS * SECOND as f64)
    }
}

#[cfg(test)]
mod tests;
