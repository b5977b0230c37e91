//! What lines come to, by team and class: exact sums, and usage that decays.

use std::collections::BTreeMap;

use crate::Micros;
use crate::decay::Decayed;
use crate::line::{BalancePart, Charge, ChargeGroup, Entry, Line, LineBody, Usefulness};
use crate::meter::STAGES;
use crate::settings::Settings;

/// Sums of an account: for each stage CPU-, GPU- and memory-time, the same for useful and for lost run time, the
/// time held, the time at workers, and how far that may be off. Times in microseconds, amounts in thousandths.
const SUM_COUNT: usize = 3 * STAGES.len() + 9;
const USEFUL_OFFSET: usize = 3 * STAGES.len();
const LOST_OFFSET: usize = USEFUL_OFFSET + 3;
const HELD_OFFSET: usize = LOST_OFFSET + 3;

/// One team's jobs of one class.
#[derive(Clone, Debug, PartialEq, Eq, Default)]
pub struct Account {
    /// Charged attempts.
    pub entries: u64,
    sums: Vec<u128>,
    pub decayed: Decayed,
}

impl Account {
    fn add(&mut self, i: usize, amount: u128) {
        self.sums.resize(SUM_COUNT, 0);
        self.sums[i] = self.sums[i].saturating_add(amount);
    }

    fn sum(&self, i: usize) -> u128 {
        self.sums.get(i).copied().unwrap_or(0)
    }

    fn charge(&mut self, charge: &Charge, settings: &Settings) {
        let common = &charge.group;
        let need = [common.resources.0, common.resources.1, common.resources.2].map(u128::from);
        let rate = settings.rate(common.resources);
        let half = settings.half_life(&common.team);
        for e in &charge.entries {
            self.entries += 1;
            for (stage, time) in e.stage_times.0.iter().enumerate() {
                for (r, need) in need.iter().enumerate() {
                    self.add(3 * stage + r, need * u128::from(*time));
                }
            }
            let run = match common.usefulness {
                Usefulness::Useful | Usefulness::Saved => USEFUL_OFFSET,
                Usefulness::Lost => LOST_OFFSET,
            };
            for (r, need) in need.iter().enumerate() {
                self.add(run + r, need * u128::from(e.stage_times.running()));
            }
            self.add(HELD_OFFSET, u128::from(e.stage_times.held()));
            self.add(HELD_OFFSET + 1, u128::from(e.stage_times.at_worker()));
            self.add(HELD_OFFSET + 2, u128::from(e.max_error));
            self.decayed.add(&half.weigh(rate, e.begin, e.end()));
        }
    }

    /// CPU-, GPU- and memory-time held, in thousandths times microseconds.
    pub fn held(&self) -> [u128; 3] {
        [0, 1, 2].map(|r| (0..STAGES.len()).map(|s| self.sum(3 * s + r)).sum())
    }

    /// The same of one stage, by its place in [`STAGES`].
    pub fn stage(&self, stage: usize) -> [u128; 3] {
        [0, 1, 2].map(|r| self.sum(3 * stage + r))
    }

    /// The same of run time that was worth something, and of run time that was not.
    pub fn useful(&self) -> [u128; 3] {
        [0, 1, 2].map(|r| self.sum(USEFUL_OFFSET + r))
    }

    pub fn lost(&self) -> [u128; 3] {
        [0, 1, 2].map(|r| self.sum(LOST_OFFSET + r))
    }

    /// Times, whatever was needed: places held, what the workers would say, and how far that may be off.
    pub fn times(&self) -> [u128; 3] {
        [0, 1, 2].map(|i| self.sum(HELD_OFFSET + i))
    }

    /// Takes out what was added before.
    fn subtract(&mut self, other: &Account) {
        self.entries -= other.entries.min(self.entries);
        for (sum, less) in self.sums.iter_mut().zip(&other.sums) {
            *sum = sum.saturating_sub(*less);
        }
        self.decayed.subtract(&other.decayed);
    }
}

/// Accounts by team and class.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Accounts(BTreeMap<(String, String), Account>);

impl Accounts {
    /// Takes a line in. Lines come to the same in any order; those of a balance are not taken twice.
    pub fn line(&mut self, line: &Line, settings: &Settings) {
        if let LineBody::Charge(c) = &line.body {
            self.charge(c, settings);
        }
    }

    pub fn charge(&mut self, charge: &Charge, settings: &Settings) {
        let name = (charge.group.team.clone(), charge.group.class.clone());
        self.0.entry(name).or_default().charge(charge, settings);
    }

    pub fn iter(&self) -> impl Iterator<Item = (&(String, String), &Account)> {
        self.0.iter()
    }

    /// Takes out what is counted already and is to be written after a balance.
    pub(crate) fn subtract_pending(
        &mut self,
        later: &BTreeMap<ChargeGroup, Vec<(u64, Entry)>>,
        settings: &Settings,
    ) {
        let mut out = Accounts::default();
        for (common, entries) in later {
            let entries = entries.iter().map(|e| e.1.clone()).collect();
            out.charge(
                &Charge {
                    group: common.clone(),
                    entries,
                },
                settings,
            );
        }
        for (name, later) in &out.0 {
            if let Some(account) = self.0.get_mut(name) {
                account.subtract(later);
            }
        }
        self.0.retain(|_, account| account.entries > 0);
    }

    /// The parts of a balance that says what these accounts come to.
    pub fn parts(&self, settings: &Settings) -> Vec<BalancePart> {
        let part = |((team, class), a): (&(String, String), &Account)| BalancePart {
            team: team.clone(),
            class: class.clone(),
            entries: a.entries,
            amounts: (0..SUM_COUNT).map(|i| a.sum(i)).collect(),
            half_life: settings.half_life(team).time(),
            decayed: a.decayed.sums().to_vec(),
        };
        self.0.iter().map(part).collect()
    }

    /// What the parts of a balance say. Usage that decayed by another half-life than it does now cannot be
    /// taken over; it starts from nothing.
    pub fn from_parts<'a>(
        parts: impl IntoIterator<Item = &'a BalancePart>,
        settings: &Settings,
    ) -> Accounts {
        let mut all = Accounts::default();
        for p in parts {
            let account = all.0.entry((p.team.clone(), p.class.clone())).or_default();
            account.entries += p.entries;
            for (i, amount) in p.amounts.iter().enumerate().take(SUM_COUNT) {
                account.add(i, *amount);
            }
            if settings.half_life(&p.team).time() == p.half_life {
                account
                    .decayed
                    .add(&Decayed::from_sums(p.decayed.iter().copied()));
            }
        }
        all
    }

    /// What a team's usage has decayed to, in cost times seconds.
    pub fn usage(&self, team: &str, settings: &Settings, now: Micros) -> f64 {
        let half = settings.half_life(team);
        let own = self.0.iter().filter(|(name, _)| name.0 == team);
        own.map(|(_, a)| a.decayed.at(half, now)).sum::<f64>() / 1e9
    }

    /// Each team's part of all usage now, and that part over the part it is due: above one, it has had more.
    /// `open` is what work under way adds to each team's usage.
    pub fn shares(
        &self,
        settings: &Settings,
        now: Micros,
        open: &BTreeMap<String, f64>,
    ) -> BTreeMap<String, (f64, f64)> {
        let own = |t: &String| self.usage(t, settings, now) + open.get(t).copied().unwrap_or(0.0);
        let usage: BTreeMap<&String, f64> = settings.teams.keys().map(|t| (t, own(t))).collect();
        let all: f64 = usage.values().sum();
        let share = |(team, used): (&String, f64)| {
            let part = if all > 0.0 { used / all } else { 0.0 };
            let due = settings.teams[team].share;
            let over = match (all > 0.0, due > 0.0) {
                (false, _) => 1.0,
                (true, true) => part / due,
                // What is due to nobody is too much as soon as it is used.
                (true, false) if part > 0.0 => 1e6,
                (true, false) => 1.0,
            };
            (team.clone(), (part, over))
        };
        usage.into_iter().map(share).collect()
    }
}

#[cfg(test)]
mod tests;
