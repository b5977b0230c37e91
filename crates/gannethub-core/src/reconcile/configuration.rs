//! Application of a new configuration version by a shard owner.

use std::sync::Arc;

use crate::configuration::OverLimit;
use crate::model::{Micros, Resources};
use crate::policy::Setting;
use crate::settings::Settings;
use crate::state::cluster::Cluster;
use crate::state::kill_orders::KillOrders;

impl Cluster {
    /// Applies new settings, which are in force from now on. The caller has checked that existing teams keep their
    /// positions and that new teams come after them.
    pub fn apply_settings(&mut self, settings: &Arc<Settings>, over_limit: OverLimit, now: Micros) {
        let mut shard_settings = (**settings).clone();
        let has_same_count = self.settings.teams.len() == settings.teams.len();
        if has_same_count && self.quota.cluster_teams == settings.teams {
            // The limits of the cluster have not changed, so the shard keeps its quota partition.
            shard_settings.teams.clone_from(&self.settings.teams);
        }
        let teams = shard_settings.teams.len();
        self.quota.team_usage.resize(teams, Resources::default());
        self.takeover
            .unconfirmed
            .possible_usage
            .resize(teams, Resources::default());
        self.quota.cluster_teams.clone_from(&settings.teams);
        self.apply_kill_order_rate(&shard_settings);
        self.settings = Arc::new(shard_settings);
        self.quota.over_limit = over_limit;
        self.resolve_teams();
        self.enforce_limits(now);
        self.passes.needed = true;
        self.passes.next_at = now;
        self.passes.next_plan_at = now;
    }

    /// Replaces the rate limit of kill orders if its setting has changed. Pending kill orders stay.
    fn apply_kill_order_rate(&mut self, settings: &Settings) {
        let rate = |settings: &Settings| settings.policy.number(Setting::KillOrderRate, &[]);
        if rate(settings) != rate(&self.settings) {
            let pending = std::mem::take(&mut self.kill_orders.pending);
            self.kill_orders = KillOrders {
                pending,
                ..KillOrders::new(rate(settings))
            };
        }
    }

    /// Assigns teams to jobs whose team was not known so far, and counts the capacity that such jobs hold on machines
    /// as usage of their teams.
    fn resolve_teams(&mut self) {
        for job in self.jobs.values_mut().filter(|job| job.team.is_none()) {
            job.team = self.settings.team(&job.spec.team);
        }
        let (jobs, team_usage) = (&self.jobs, &mut self.quota.team_usage);
        let machines = self.machines.values_mut();
        for (id, attempt) in machines.flat_map(|machine| &mut machine.attempts) {
            if attempt.team.is_some() {
                continue;
            }
            attempt.team = jobs.get(&id.task.job).and_then(|job| job.team);
            if let Some(team) = attempt.team.filter(|_| attempt.holds_capacity) {
                team_usage[team] += attempt.resources;
            }
        }
    }
}
