//! A change of the configuration is taken in by the holder of a block.

use std::sync::Arc;

use crate::configuration::OverLimit;
use crate::model::{Micros, Resources};
use crate::policy::Setting;
use crate::settings::Settings;
use crate::state::cluster::Cluster;
use crate::state::kill_orders::KillOrders;

impl Cluster {
    /// Goes by these settings from here on. Teams keep their numbers, new ones come behind them.
    pub fn apply_settings(&mut self, settings: &Arc<Settings>, over_limit: OverLimit, now: Micros) {
        let mut own = (**settings).clone();
        if self.settings.teams.len() == settings.teams.len()
            && self.quota.cluster_teams == settings.teams
        {
            // A block keeps to its part of limits that have not changed.
            own.teams.clone_from(&self.settings.teams);
        }
        self.quota
            .team_usage
            .resize(own.teams.len(), Resources::default());
        self.takeover
            .unconfirmed
            .possible_usage
            .resize(own.teams.len(), Resources::default());
        self.quota.cluster_teams.clone_from(&settings.teams);
        let halts = |s: &Settings| s.policy.number(Setting::Halts, &[]);
        if halts(&own) != halts(&self.settings) {
            let due = std::mem::take(&mut self.kill_orders.pending);
            self.kill_orders = KillOrders {
                pending: due,
                ..KillOrders::new(halts(&own))
            };
        }
        self.settings = Arc::new(own);
        self.quota.over_limit = over_limit;
        self.resolve_teams();
        self.enforce_limits(now);
        self.passes.needed = true;
        self.passes.next_at = now;
        self.passes.next_plan_at = now;
    }

    /// Jobs whose team was not known get theirs, and what they have on machines counts against it.
    fn resolve_teams(&mut self) {
        for job in self.jobs.values_mut().filter(|j| j.team.is_none()) {
            job.team = self.settings.team(&job.spec.team);
        }
        let (jobs, used) = (&self.jobs, &mut self.quota.team_usage);
        for machine in self.machines.values_mut() {
            for (id, attempt) in &mut machine.attempts {
                if attempt.team.is_some() {
                    continue;
                }
                attempt.team = jobs.get(&id.task.job).and_then(|j| j.team);
                if let Some(team) = attempt.team.filter(|_| attempt.holds_capacity) {
                    used[team] += attempt.resources;
                }
            }
        }
    }
}
