//! How long machines take to boot, learned for each type and zone from what is observed.
//!
//! The cloud states a usual time. Some machines take several times as long, some nights all of a
//! type do in a zone, or never come up; at other times they are up at once. What was seen counts
//! at first and is forgotten again, so that a bad hour does not keep a zone out for the day.

use std::collections::HashMap;

use crate::model::{Micros, SECOND};

/// What was seen loses half its weight in this time.
const HALF_LIFE: Micros = 120 * SECOND;
/// How much one machine counts: one that came up, one that is late, one that never came up. Of a
/// burst the late ones are seen last and alone: a few of them must not count for the whole.
const UP: f64 = 0.15;
const LATE: f64 = 0.025;
const LOST: f64 = 0.03;
/// A single boot far from what is expected is no more than a sign.
const STEP: f64 = 0.4;
/// A machine is late when it has taken so much longer than expected, and then taken to need so
/// much more.
pub const OVERDUE_FACTOR: f64 = 1.6;
const LATE_MEANS: f64 = 2.0;
const ORDINARY: f64 = 0.3;
const ORDINARY_LOST: f64 = 0.1;
/// A use of a machine that boots are weighed against.
const USE: f64 = 150.0;

#[derive(Clone, Copy, Debug)]
struct Seen {
    /// Times the usual boot time.
    factor: f64,
    /// The share that never came up.
    lost: f64,
    at: Micros,
}

/// A machine's type, by number, and its zone.
pub type Location = (usize, String);

#[derive(Debug, Default)]
pub struct ProvisioningTimes {
    seen: HashMap<Location, Seen>,
}

impl ProvisioningTimes {
    fn now(&self, flavor: usize, zone: &str, now: Micros) -> Seen {
        // A look-up without copying the name would need a second map; there are few places.
        let Some(s) = self.seen.get(&(flavor, zone.to_string())) else {
            return Seen {
                factor: 1.0,
                lost: 0.0,
                at: now,
            };
        };
        let age = now.saturating_sub(s.at) as f64 / HALF_LIFE as f64;
        let weight = 0.5f64.powf(age);
        Seen {
            factor: 1.0 + (s.factor - 1.0) * weight,
            lost: s.lost * weight,
            at: now,
        }
    }

    /// Like [`Boots::now`], but the ordinary spread is no news: else the choice among zones that are
    /// as good as one another would wander, and gangs that need one zone would find half their
    /// room in each.
    fn news(&self, flavor: usize, zone: &str, now: Micros) -> Seen {
        let mut s = self.now(flavor, zone, now);
        if (s.factor - 1.0).abs() < ORDINARY {
            s.factor = 1.0;
        }
        if s.lost < ORDINARY_LOST {
            s.lost = 0.0;
        }
        s
    }

    fn learn(&mut self, place: (usize, &str), now: Micros, change: impl FnOnce(&mut Seen)) {
        let mut s = self.now(place.0, place.1, now);
        change(&mut s);
        s.factor = s.factor.clamp(0.02, 6.0);
        self.seen.insert((place.0, place.1.to_string()), s);
    }

    /// How long a machine is expected to take whose type usually takes `usual`.
    pub fn expected_boot_time(
        &self,
        flavor: usize,
        zone: &str,
        usual: Micros,
        now: Micros,
    ) -> Micros {
        (usual as f64 * self.news(flavor, zone, now).factor) as Micros
    }

    /// A machine came up after `took`.
    pub fn record_boot(
        &mut self,
        flavor: usize,
        zone: &str,
        usual: Micros,
        took: Micros,
        now: Micros,
    ) {
        let factor = took as f64 / usual.max(1) as f64;
        self.learn((flavor, zone), now, |s| {
            s.factor += UP * (factor - s.factor).clamp(-STEP, STEP);
            s.lost -= LOST * s.lost;
        });
    }

    /// A machine is late.
    pub fn record_overdue(&mut self, flavor: usize, zone: &str, now: Micros) {
        self.learn((flavor, zone), now, |s| {
            s.factor += LATE * (LATE_MEANS - 1.0) * s.factor;
        });
    }

    /// A machine is given up: it never came up.
    pub fn record_lost(&mut self, flavor: usize, zone: &str, now: Micros) {
        self.learn((flavor, zone), now, |s| s.lost += LOST * (1.0 - s.lost));
    }

    /// By how much boots make a machine dearer than its price: what is paid for longer boots, and
    /// for machines that are given up after `patience`.
    pub fn price_factor(
        &self,
        flavor: usize,
        zone: &str,
        usual: Micros,
        patience: Micros,
        now: Micros,
    ) -> f64 {
        let s = self.news(flavor, zone, now);
        let longer = (s.factor - 1.0).max(0.0) * usual as f64;
        let wasted = s.lost / (1.0 - s.lost).max(0.1) * patience as f64;
        1.0 + (longer + wasted) / (USE * SECOND as f64)
    }
}

#[cfg(test)]
mod tests;
