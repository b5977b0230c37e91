//! How long machines take to boot, learned for each type and zone from what is observed.
//!
//! The cloud states a usual time. Some machines take several times as long, some nights all of a type do in a
//! zone, or never come up; at other times they are up at once. What was observed counts in full at first and fades
//! with time, so that a bad hour does not keep a zone out for the day.

use std::collections::HashMap;

use crate::model::{Micros, SECOND};

/// An observation loses half its weight in this time.
const HALF_LIFE: Micros = 120 * SECOND;
/// The weight of one machine that came up, one that is overdue, and one that never came up. Of a burst the overdue
/// ones are seen last and alone: a few of them must not count for the whole.
const BOOTED_WEIGHT: f64 = 0.15;
const OVERDUE_WEIGHT: f64 = 0.025;
const LOST_WEIGHT: f64 = 0.03;
/// The most by which a single boot may differ from what is expected: one that is far off is no more than a sign.
const MAX_BOOT_DEVIATION: f64 = 0.4;
/// A machine is overdue when it has taken so many times as long as expected.
pub const OVERDUE_FACTOR: f64 = 1.6;
/// How many times as long as expected an overdue machine is taken to need.
const OVERDUE_MACHINE_FACTOR: f64 = 2.0;
/// The range in which the factor of boot times is kept.
const FACTOR_RANGE: (f64, f64) = (0.02, 6.0);
/// Deviations of the factor, and shares of lost machines, below these are the ordinary spread.
const ORDINARY_DEVIATION: f64 = 0.3;
const ORDINARY_LOSS: f64 = 0.1;
/// At least this share of machines is taken to come up, where the cost of those that do not is worked out.
const MIN_BOOTED_SHARE: f64 = 0.1;
/// For how many seconds a machine is used: the cost of its boot is weighed against that.
const TYPICAL_USE_SECONDS: f64 = 150.0;

/// What has been learned of the machines of one type in one zone.
#[derive(Clone, Copy, Debug)]
struct Estimate {
    /// Boot times, as a multiple of the usual one.
    factor: f64,
    /// The share of machines that never came up.
    lost_share: f64,
    updated_at: Micros,
}

/// A machine's type, as an index into the list of machine types, and its zone.
type Location = (usize, String);

/// What has been learned, by type and zone.
#[derive(Debug, Default)]
pub struct ProvisioningTimes {
    estimates: HashMap<Location, Estimate>,
}

impl ProvisioningTimes {
    /// What is known at this time: earlier observations have faded.
    fn estimate(&self, machine_type: usize, zone: &str, now: Micros) -> Estimate {
        // A look-up without copying the name would need a second map; there are few zones.
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

    /// Like [`ProvisioningTimes::estimate`], but without the ordinary spread: else the choice among zones that are
    /// as good as one another would wander, and gangs that need one zone would find half their capacity in each.
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

    /// How long a machine is expected to take whose type usually takes `usual`.
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

    /// A machine came up after `boot_time`; its type usually takes `usual`.
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

    /// A machine is overdue.
    pub fn record_overdue(&mut self, machine_type: usize, zone: &str, now: Micros) {
        self.observe(machine_type, zone, now, |estimate| {
            estimate.factor += OVERDUE_WEIGHT * (OVERDUE_MACHINE_FACTOR - 1.0) * estimate.factor;
        });
    }

    /// A machine is given up: it never came up.
    pub fn record_lost(&mut self, machine_type: usize, zone: &str, now: Micros) {
        self.observe(machine_type, zone, now, |estimate| {
            estimate.lost_share += LOST_WEIGHT * (1.0 - estimate.lost_share);
        });
    }

    /// By which factor boots make a machine dearer than its price: what is paid for longer boots, and for machines
    /// that are given up after `max_boot_time`.
    pub fn price_factor(
        &self,
        machine_type: usize,
        zone: &str,
        usual: Micros,
        max_boot_time: Micros,
        now: Micros,
    ) -> f64 {
        let estimate = self.significant_estimate(machine_type, zone, now);
        let longer = (estimate.factor - 1.0).max(0.0) * usual as f64;
        let booted_share = (1.0 - estimate.lost_share).max(MIN_BOOTED_SHARE);
        let wasted = estimate.lost_share / booted_share * max_boot_time as f64;
        1.0 + (longer + wasted) / (TYPICAL_USE_SECONDS * SECOND as f64)
    }
}

#[cfg(test)]
mod tests;
