//! Accounts by team and job class: exact sums of the charged lines, and decayed usage.

use std::collections::BTreeMap;

use crate::Micros;
use crate::decay::Decayed;
use crate::line::{AttemptCharge, BalancePart, Charge, ChargeGroup, Line, LineBody, Usefulness};
use crate::meter::STAGES;
use crate::settings::Settings;

/// Number of sums in an account: CPU, GPU and memory time of each stage; CPU, GPU and memory time of useful and of
/// lost run time; the time held; the time at workers; and the maximum error of the time at workers. Times are in
/// microseconds, resource amounts in thousandths.
const SUM_COUNT: usize = 3 * STAGES.len() + 9;
const USEFUL_OFFSET: usize = 3 * STAGES.len();
const LOST_OFFSET: usize = USEFUL_OFFSET + 3;
const HELD_OFFSET: usize = LOST_OFFSET + 3;

/// Sums over the charged attempts of one team's jobs of one class.
#[derive(Clone, Debug, PartialEq, Eq, Default)]
pub struct Account {
    /// Number of charged attempts.
    pub charged_attempts: u64,
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

    fn add_charge(&mut self, charge: &Charge, settings: &Settings) {
        let group = &charge.group;
        let amounts = [group.resources.0, group.resources.1, group.resources.2].map(u128::from);
        let rate = settings.rate(group.resources);
        let half_life = settings.half_life(&group.team);
        for e in &charge.entries {
            self.charged_attempts += 1;
            for (stage, time) in e.stage_times.0.iter().enumerate() {
                for (r, amount) in amounts.iter().enumerate() {
                    self.add(3 * stage + r, amount * u128::from(*time));
                }
            }
            let run_offset = match group.usefulness {
                Usefulness::Useful | Usefulness::Saved => USEFUL_OFFSET,
                Usefulness::Lost => LOST_OFFSET,
            };
            for (r, amount) in amounts.iter().enumerate() {
                self.add(run_offset + r, amount * u128::from(e.stage_times.running()));
            }
            self.add(HELD_OFFSET, u128::from(e.stage_times.total()));
            self.add(HELD_OFFSET + 1, u128::from(e.stage_times.at_worker()));
            self.add(HELD_OFFSET + 2, u128::from(e.max_error));
            self.decayed.add(&half_life.weight(rate, e.begin, e.end()));
        }
    }

    /// Returns the CPU, GPU and memory time held over all stages, in thousandths times microseconds.
    pub fn held(&self) -> [u128; 3] {
        [0, 1, 2].map(|r| (0..STAGES.len()).map(|s| self.sum(3 * s + r)).sum())
    }

    /// Returns the CPU, GPU and memory time held in one stage, in thousandths times microseconds. `stage` is an index
    /// into [`STAGES`].
    pub fn stage(&self, stage: usize) -> [u128; 3] {
        [0, 1, 2].map(|r| self.sum(3 * stage + r))
    }

    /// Returns the CPU, GPU and memory time of useful run time (useful or saved), in thousandths times microseconds.
    pub fn useful(&self) -> [u128; 3] {
        [0, 1, 2].map(|r| self.sum(USEFUL_OFFSET + r))
    }

    /// Returns the CPU, GPU and memory time of lost run time, in thousandths times microseconds.
    pub fn lost(&self) -> [u128; 3] {
        [0, 1, 2].map(|r| self.sum(LOST_OFFSET + r))
    }

    /// Returns times in microseconds, not weighted by resources: the time held, the time at workers as the workers
    /// would measure it, and the maximum error of the time at workers.
    pub fn times(&self) -> [u128; 3] {
        [0, 1, 2].map(|i| self.sum(HELD_OFFSET + i))
    }

    /// Subtracts charges that were added before.
    fn subtract(&mut self, other: &Account) {
        self.charged_attempts -= other.charged_attempts.min(self.charged_attempts);
        for (sum, subtrahend) in self.sums.iter_mut().zip(&other.sums) {
            *sum = sum.saturating_sub(*subtrahend);
        }
        self.decayed.subtract(&other.decayed);
    }
}

/// Accounts, keyed by team and job class.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Accounts(BTreeMap<(String, String), Account>);

impl Accounts {
    /// Adds a line. The sums do not depend on the order of the lines. Lines of a balance are ignored, because a balance
    /// repeats charges that earlier lines already hold.
    pub fn add_line(&mut self, line: &Line, settings: &Settings) {
        if let LineBody::Charge(c) = &line.body {
            self.add_charge(c, settings);
        }
    }

    pub fn add_charge(&mut self, charge: &Charge, settings: &Settings) {
        let name = (charge.group.team.clone(), charge.group.class.clone());
        self.0.entry(name).or_default().add_charge(charge, settings);
    }

    pub fn iter(&self) -> impl Iterator<Item = (&(String, String), &Account)> {
        self.0.iter()
    }

    /// Subtracts charges that these accounts already count but that will be written after a balance.
    pub(crate) fn subtract_pending(
        &mut self,
        pending: &BTreeMap<ChargeGroup, Vec<(u64, AttemptCharge)>>,
        settings: &Settings,
    ) {
        let mut pending_accounts = Accounts::default();
        for (group, entries) in pending {
            let entries = entries.iter().map(|e| e.1.clone()).collect();
            pending_accounts.add_charge(
                &Charge {
                    group: group.clone(),
                    entries,
                },
                settings,
            );
        }
        for (name, pending) in &pending_accounts.0 {
            if let Some(account) = self.0.get_mut(name) {
                account.subtract(pending);
            }
        }
        self.0.retain(|_, account| account.charged_attempts > 0);
    }

    /// Returns the parts of a balance that records the sums of these accounts.
    pub fn balance_parts(&self, settings: &Settings) -> Vec<BalancePart> {
        let part = |((team, class), a): (&(String, String), &Account)| BalancePart {
            team: team.clone(),
            class: class.clone(),
            entries: a.charged_attempts,
            amounts: (0..SUM_COUNT).map(|i| a.sum(i)).collect(),
            half_life: settings.half_life(team).time(),
            decayed: a.decayed.sums().to_vec(),
        };
        self.0.iter().map(part).collect()
    }

    /// Returns the accounts that the parts of a balance record. Decayed usage that was summed with another half-life
    /// than the team's present one cannot be converted; such usage starts from zero.
    pub fn from_balance_parts<'a>(
        parts: impl IntoIterator<Item = &'a BalancePart>,
        settings: &Settings,
    ) -> Accounts {
        let mut all = Accounts::default();
        for p in parts {
            let account = all.0.entry((p.team.clone(), p.class.clone())).or_default();
            account.charged_attempts += p.entries;
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

    /// Returns a team's decayed usage at `now`, in cost times seconds.
    pub fn usage(&self, team: &str, settings: &Settings, now: Micros) -> f64 {
        let half_life = settings.half_life(team);
        let own = self.0.iter().filter(|(name, _)| name.0 == team);
        own.map(|(_, a)| a.decayed.at(half_life, now)).sum::<f64>() / 1e9
    }

    /// Returns for each team its fraction of all usage at `now`, and that fraction divided by the team's configured
    /// share: a ratio above one means that the team has used more than its share. `open` is the usage that running
    /// attempts add to each team.
    pub fn shares(
        &self,
        settings: &Settings,
        now: Micros,
        open: &BTreeMap<String, f64>,
    ) -> BTreeMap<String, (f64, f64)> {
        let own = |t: &String| self.usage(t, settings, now) + open.get(t).copied().unwrap_or(0.0);
        let usage: BTreeMap<&String, f64> = settings.teams.keys().map(|t| (t, own(t))).collect();
        let total: f64 = usage.values().sum();
        let share = |(team, used): (&String, f64)| {
            let fraction = if total > 0.0 { used / total } else { 0.0 };
            let configured = settings.teams[team].share;
            let ratio = match (total > 0.0, configured > 0.0) {
                (false, _) => 1.0,
                (true, true) => fraction / configured,
                // Any usage by a team with a share of zero is over its share.
                (true, false) if fraction > 0.0 => 1e6,
                (true, false) => 1.0,
            };
            (team.clone(), (fraction, ratio))
        };
        usage.into_iter().map(share).collect()
    }
}

#[cfg(test)]
mod tests;
