//! The work of a plan: the tasks that have no capacity now, as far as their teams' limits allow them to run.

use std::collections::{BTreeSet, HashSet};

use crate::model::{
    JobId, JobSpec, Micros, Resources, SECOND, Shape, UNLIMITED, micros_from_seconds,
};
use crate::policy::Setting;
use crate::scheduling::estimates::JobTimes;
use crate::scheduling::forecast::PendingWork;
use crate::scheduling::zones::ZoneTaskCounts;
use crate::state::cluster::Cluster;
use crate::state::job::Job;

/// Upcoming work may wait in the plan for this fraction of the time between its release and its latest start.
const UPCOMING_SLACK: f64 = 0.2;

/// Tasks whose remaining backoff exceeds this time are not planned.
const MAX_PLANNED_BACKOFF: Micros = 10 * SECOND;

/// Work in queue order.
pub(super) struct WorkList {
    pub work: Vec<PendingWork>,
    /// Teams, by index, with jobs that are not planned in full because of their limit.
    pub limited_teams: BTreeSet<usize>,
}

impl Cluster {
    /// Returns the work, in queue order, that has no capacity now and may run under its team's limit, and the work
    /// that will be released before a new machine is up. `unplannable`: jobs that are left out.
    pub(super) fn pending_work(&self, unplannable: &HashSet<JobId>, now: Micros) -> WorkList {
        let teams = 0..self.quota.team_usage.len();
        let mut quota: Vec<Resources> = teams.map(|team| self.remaining_quota(team)).collect();
        let mut pending = Vec::new();
        let mut limited_teams = BTreeSet::new();
        for (id, within_guarantee) in self.queue.jobs() {
            self.passes.add_steps(1);
            let Some(job) = self.jobs.get(id) else {
                continue;
            };
            let Some(team) = job.team else { continue };
            if unplannable.contains(id) {
                continue;
            }
            let wanted = tasks_to_plan(job, now);
            let tasks = take_quota(&job.spec, wanted, job.tasks.pending.len(), &mut quota[team]);
            if tasks < wanted {
                limited_teams.insert(team);
            }
            if tasks == 0 {
                continue;
            }
            pending.push(PendingWork {
                job: Some(id.clone()),
                spec: job.spec.clone(),
                tasks,
                zones: self.zones_in_use(job),
                excluded_zones: Vec::new(),
                run_time: self.expected_run_time(&job.spec),
                earliest_start: now,
                latest_start: now + self.planned_slack(job, within_guarantee),
            });
        }
        self.add_upcoming_work(&mut pending, &mut quota, now);
        WorkList {
            work: pending,
            limited_teams,
        }
    }

    /// Returns the time that a job's tasks may wait before a new machine is worth its price. Estimates are rough, so
    /// only a part of the time that the job's objectives leave is used.
    fn planned_slack(&self, job: &Job, within_guarantee: bool) -> Micros {
        let latest_start = self.latest_start(job, within_guarantee);
        let inputs = self.policy_inputs(job, within_guarantee, latest_start);
        let policy = &self.settings.policy;
        match latest_start {
            Some(start) => {
                let fraction = policy.number(Setting::PlanSlack, &inputs);
                (start.saturating_sub(self.unix_time) as f64 * fraction) as Micros
            }
            None => {
                let patience = micros_from_seconds(policy.number(Setting::Patience, &inputs));
                (job.ready_at + patience).saturating_sub(self.unix_time)
            }
        }
    }

    /// Adds the work of waiting jobs that will be released before a machine provisioned now is up.
    fn add_upcoming_work(
        &self,
        pending: &mut Vec<PendingWork>,
        quota: &mut [Resources],
        now: Micros,
    ) {
        let boot_times = self.machine_types.iter().map(|kind| 2 * kind.boot_time);
        let horizon = now + boot_times.max().unwrap_or(0);
        for (release_at, _, waiting) in self.upcoming_releases(now, horizon) {
            let spec = &waiting.spec;
            let boot_time = self.expected_boot_time_for(spec, now);
            if boot_time.is_none_or(|boot_time| release_at > now + boot_time) {
                continue;
            }
            let Some(team) = self.settings.team(&spec.team) else {
                continue;
            };
            let tasks = take_quota(spec, i64::from(spec.tasks), spec.tasks, &mut quota[team]);
            if tasks == 0 {
                continue;
            }
            let ready_at = self.unix_time + (release_at - now);
            let times = JobTimes {
                accepted_at: waiting.accepted_at,
                ready_at,
            };
            let demand = waiting.downstream_demand.as_ref();
            let latest_start = self.latest_start_for(spec, times, demand, false);
            let slack = latest_start.map_or(0, |start| start.saturating_sub(ready_at));
            pending.push(PendingWork {
                job: None,
                spec: spec.clone(),
                tasks,
                zones: ZoneTaskCounts::new(),
                excluded_zones: Vec::new(),
                run_time: self.expected_run_time(spec),
                earliest_start: release_at,
                latest_start: release_at + (slack as f64 * UPCOMING_SLACK) as Micros,
            });
        }
    }

    /// Returns the boot time of the machine that a job would most likely get: a machine of the cheapest type that
    /// fits its tasks, in the zone with the shortest boot time.
    fn expected_boot_time_for(&self, spec: &JobSpec, now: Micros) -> Option<Micros> {
        let price = |index: &usize| self.price_per_millicpu(*index, spec.spot);
        let index = (0..self.machine_types.len())
            .filter(|index| spec.resources.fits(&self.machine_types[*index].capacity))
            .min_by(|a, b| price(a).total_cmp(&price(b)))?;
        let machine_type = &self.machine_types[index];
        let times = &self.fleet.provisioning_times;
        let zones = machine_type.zones.iter();
        zones
            .map(|zone| times.expected_boot_time(index, zone, machine_type.boot_time, now))
            .min()
    }
}

/// Returns the number of tasks of a job to plan if its team's limit allows all of them.
fn tasks_to_plan(job: &Job, now: Micros) -> i64 {
    let placeable = job.placeable_count() as i64;
    if placeable == 0 {
        return 0;
    }
    let backing_off = job
        .tasks
        .backoff
        .values()
        .filter(|backoff| backoff.until > now + MAX_PLANNED_BACKOFF)
        .count() as i64;
    let live = job.tasks.live_attempts.len() as i64;
    let worth_it = job.tasks_worth_provisioning(now).saturating_sub(live);
    (placeable - backing_off).min(worth_it).max(0)
}

/// Deducts up to `tasks` tasks of a job from a team's quota. Returns the number of tasks deducted: for a gang all its
/// missing tasks or none, so a gang is not planned if some of its tasks are unconfirmed.
fn take_quota(spec: &JobSpec, tasks: i64, gang_tasks: u32, quota: &mut Resources) -> i64 {
    quota.memory = UNLIMITED;
    let needed = Resources {
        memory: 0,
        ..spec.resources
    };
    let tasks = tasks.min(needed.times_fitting_in(quota));
    let is_partial_gang = spec.shape == Shape::Gang && tasks < i64::from(gang_tasks);
    if tasks <= 0 || is_partial_gang {
        return 0;
    }
    *quota -= needed.scaled_by(tasks);
    tasks
}
