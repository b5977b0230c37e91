//! The order in which jobs are served, kept between passes.
//!
//! A job's position depends on the time left until its deadlines, so the order changes even without events. The order
//! is recomputed only as often as its length allows, and jobs that arrive in between are inserted at their positions.
//! A long queue therefore costs a fixed part of the processor, however many passes and plans read it.

use std::cmp::Reverse;

use crate::model::{Micros, Resources, Team};
use crate::policy::Setting;
use crate::state::cluster::Cluster;
use crate::state::job::Job;
use crate::state::queue::{Queue, QueueKey};

/// Interval between computations of the order, in microseconds for each job in the queue.
const REORDER_INTERVAL_PER_JOB: Micros = 200;

/// Numbers that policy returns are multiplied by this factor and compared as whole numbers, so that the order is total.
const KEY_PRECISION: f64 = 1000.0;

/// Deducts a job's remaining tasks from what remains of its team's guarantee. Returns whether the job fits into the
/// remainder.
fn charge_guarantee(remaining: &mut [Resources], job: &Job) -> bool {
    let Some(team) = job.team.filter(|_| !job.is_crash_looping()) else {
        return false;
    };
    let remaining_tasks = i64::from(job.spec.tasks - job.tasks.done.len());
    let needed = job.spec.resources.scaled_by(remaining_tasks);
    let is_within = Team::fits_within(&remaining[team], &Resources::default(), &needed);
    remaining[team] -= needed;
    is_within
}

impl Cluster {
    fn guarantees(&self) -> Vec<Resources> {
        let teams = self.settings.teams.iter();
        teams.map(|team| team.guarantee).collect()
    }

    /// Whether a job fits into its team's guarantee when it is the team's only job.
    pub fn fits_guarantee(&self, job: &Job) -> bool {
        charge_guarantee(&mut self.guarantees(), job)
    }

    /// Brings the queue up to date.
    pub fn update_queue_order(&mut self, now: Micros) {
        self.update_usage_shares(now);
        let mut queue = std::mem::take(&mut self.queue);
        let interval = REORDER_INTERVAL_PER_JOB * queue.entries.len() as Micros;
        if queue.ordered_at.is_none_or(|at| now >= at + interval) {
            self.reorder(&mut queue, now);
        }
        self.insert_arrivals(&mut queue);
        self.queue = queue;
    }

    /// Computes the order of all jobs. Jobs are charged to their teams' guarantees in the order in which they became
    /// ready.
    fn reorder(&self, queue: &mut Queue, now: Micros) {
        queue.ordered_at = Some(now);
        queue.arrivals.clear();
        queue.remaining_guarantees = self.guarantees();
        let mut jobs: Vec<&Job> = self.jobs.values().filter(|job| !job.cancelled).collect();
        jobs.sort_by(|a, b| (a.ready_at, &a.id).cmp(&(b.ready_at, &b.id)));
        let remaining = &mut queue.remaining_guarantees;
        let keys = jobs
            .into_iter()
            .map(|job| self.queue_key(job, charge_guarantee(remaining, job)));
        queue.entries = keys.collect();
        queue.entries.sort_unstable();
        self.passes.add_steps(queue.entries.len() as u64);
    }

    /// Inserts jobs that have arrived since the order was computed.
    fn insert_arrivals(&self, queue: &mut Queue) {
        for id in std::mem::take(&mut queue.arrivals) {
            let Some(job) = self.jobs.get(&id).filter(|job| !job.cancelled) else {
                continue;
            };
            let within_guarantee = charge_guarantee(&mut queue.remaining_guarantees, job);
            let key = self.queue_key(job, within_guarantee);
            if let Err(position) = queue.entries.binary_search(&key) {
                queue.entries.insert(position, key);
            }
        }
    }

    fn queue_key(&self, job: &Job, within_guarantee: bool) -> QueueKey {
        let latest_start = self.latest_start(job, within_guarantee);
        let inputs = self.policy_inputs(job, within_guarantee, latest_start);
        let policy = &self.settings.policy;
        let weight = policy.number(Setting::QueueWeight, &inputs);
        let share = policy.number(Setting::QueueShare, &inputs);
        QueueKey {
            priority: Reverse(job.effective_priority()),
            is_above_guarantee: !within_guarantee,
            is_too_late: latest_start.is_none(),
            share: (share * KEY_PRECISION) as i64,
            weight: (weight * KEY_PRECISION) as i64,
            ready_at: job.ready_at,
            job: job.id.clone(),
        }
    }
}
