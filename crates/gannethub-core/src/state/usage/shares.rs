//! Each team's share of all usage.

use std::collections::BTreeMap;

use super::record::{UsageShare, to_resource_amounts};
use crate::model::{Micros, SECOND};
use crate::state::attempt::Attempt;
use crate::state::cluster::Cluster;

/// Interval at which running work is added to the shares.
const UPDATE_INTERVAL: Micros = SECOND;

impl Cluster {
    /// Updates each team's share of all usage, including running work.
    pub fn update_usage_shares(&mut self, now: Micros) {
        let Some(ledger) = &self.usage_ledger else {
            return;
        };
        let is_fresh = |updated_at| now < updated_at + UPDATE_INTERVAL;
        if ledger.shares_updated_at.is_some_and(is_fresh) {
            return;
        }
        let open_usage = self.open_usage(&ledger.book.settings().clone(), now);
        let Some(ledger) = &mut self.usage_ledger else {
            return;
        };
        let settings = ledger.book.settings().clone();
        let accounts = ledger.book.accounts();
        let shares = accounts.shares(&settings, self.unix_time, &open_usage);
        let teams = self.settings.teams.iter();
        let team_shares = teams.map(|team| match shares.get(&team.name) {
            Some(&(of_total, ratio_to_due_share)) => UsageShare {
                of_total,
                ratio_to_due_share,
            },
            None => UsageShare::default(),
        });
        ledger.shares = team_shares.collect();
        ledger.shares_updated_at = Some(now);
    }

    /// Returns the usage so far of each team's attempts that hold capacity. This usage decays in the same way as
    /// charged usage.
    fn open_usage(
        &self,
        settings: &gannethub_ledger::settings::Settings,
        now: Micros,
    ) -> BTreeMap<String, f64> {
        let mut usage: BTreeMap<String, f64> = BTreeMap::new();
        let attempts = self
            .machines
            .values()
            .flat_map(|machine| machine.attempts.values());
        for attempt in attempts.filter(|attempt| attempt.holds_capacity) {
            let team = attempt.team.and_then(|team| self.settings.teams.get(team));
            let Some(team) = team else { continue };
            let half_life = settings.half_life(&team.name).time() as f64;
            let age = attempt_age(attempt, now) as f64;
            let decayed_age =
                half_life / std::f64::consts::LN_2 * (1.0 - (-age / half_life).exp2());
            let rate = settings.rate(to_resource_amounts(attempt.resources)) as f64;
            *usage.entry(team.name.clone()).or_default() += rate * decayed_age / 1e9;
        }
        usage
    }

    /// Returns a team's share of all usage. If no ledger is kept, every team has exactly its due part.
    pub fn team_usage_share(&self, team: Option<usize>) -> UsageShare {
        let ledger = self.usage_ledger.as_ref();
        let share = ledger
            .zip(team)
            .and_then(|(ledger, team)| ledger.shares.get(team));
        share.copied().unwrap_or_default()
    }
}

fn attempt_age(attempt: &Attempt, now: Micros) -> Micros {
    let record = attempt.usage_record.as_ref();
    record.map_or(0, |record| record.meter.age(now))
}
