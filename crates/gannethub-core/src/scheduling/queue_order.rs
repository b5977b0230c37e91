//! The order in which jobs are served, kept between passes.
//!
//! A job's place depends on the time left to it, so the order changes while nothing happens. It is
//! worked out anew only as often as its length allows, and in between a job that arrives is put
//! where it belongs. So a long queue costs a fixed part of the processor, however many passes and
//! plans read it.

use std::cmp::Reverse;

use crate::model::{Micros, Resources, Team};
use crate::policy::Setting;
use crate::state::cluster::Cluster;
use crate::state::job::Job;
use crate::state::queue::QueueKey;

/// The order is worked out anew this often, for each job in it.
const REORDER_INTERVAL_PER_JOB: Micros = 200;

/// Counts a job against what is left of its team's guarantee; whether it fits there.
fn charge_guarantee(left: &mut [Resources], job: &Job) -> bool {
    let Some(t) = job.team.filter(|_| !job.is_crash_looping()) else {
        return false;
    };
    let all = job
        .spec
        .resources
        .scaled_by(i64::from(job.spec.tasks - job.tasks.done.len()));
    let within = Team::within(&left[t], &Resources::default(), &all);
    left[t] -= all;
    within
}

impl Cluster {
    /// Whether a job alone would fit into its team's guarantee.
    pub fn fits_guarantee(&self, job: &Job) -> bool {
        let mut left: Vec<Resources> = self.settings.teams.iter().map(|t| t.guarantee).collect();
        charge_guarantee(&mut left, job)
    }

    /// Brings the order up to date.
    pub fn order_queue(&mut self, now: Micros) {
        self.update_usage_shares(now);
        let mut queue = std::mem::take(&mut self.queue);
        let every = REORDER_INTERVAL_PER_JOB * queue.entries.len() as Micros;
        if queue.ordered_at.is_none_or(|t| now >= t + every) {
            queue.ordered_at = Some(now);
            queue.arrivals.clear();
            queue.remaining_guarantees = self.settings.teams.iter().map(|t| t.guarantee).collect();
            let mut ready: Vec<&Job> = self.jobs.values().filter(|j| !j.cancelled).collect();
            ready.sort_by(|a, b| (a.ready_at, &a.id).cmp(&(b.ready_at, &b.id)));
            let left = &mut queue.remaining_guarantees;
            let keys = ready
                .into_iter()
                .map(|j| self.queue_key(j, charge_guarantee(left, j)));
            queue.entries = keys.collect();
            queue.entries.sort_unstable();
            self.passes.add_steps(queue.entries.len() as u64);
        }
        for id in std::mem::take(&mut queue.arrivals) {
            let Some(job) = self.jobs.get(&id).filter(|j| !j.cancelled) else {
                continue;
            };
            let within = charge_guarantee(&mut queue.remaining_guarantees, job);
            let key = self.queue_key(job, within);
            if let Err(place) = queue.entries.binary_search(&key) {
                queue.entries.insert(place, key);
            }
        }
        self.queue = queue;
    }

    fn queue_key(&self, job: &Job, within: bool) -> QueueKey {
        let latest = self.latest_start(job, within);
        let facts = self.policy_inputs(job, within, latest);
        let weight = self.settings.policy.number(Setting::QueueWeight, &facts);
        let share = self.settings.policy.number(Setting::QueueShare, &facts);
        QueueKey {
            priority: Reverse(job.effective_priority()),
            is_above_guarantee: !within,
            is_too_late: latest.is_none(),
            // As whole thousandths, so that the order is total.
            share: (share * 1000.0) as i64,
            weight: (weight * 1000.0) as i64,
            ready_at: job.ready_at,
            job: job.id.clone(),
        }
    }
}
