//! What a new leader may decide before it knows all machines, and the marks that let it.
//!
//! A machine that has reported with this term's token has told all that it holds, so it may be placed on at
//! once. Every other machine on the block's record counts as holding the most that it can: a task that an
//! earlier leader may have launched on it stays where it is in doubt, and its team's limit is taken up by it.
//! Which tasks these are, the jobs' marks say ([`JobRecord::open`](crate::wire::store::JobRecord::open)): a task
//! at or above its job's mark is on no machine, since the mark is raised, durably and under the guard of the
//! leader's key, before a launch goes out. Marks are raised ahead of what is about to be launched, so that
//! launches seldom wait for them, and together with completions, so that they seldom cost a change.

use std::collections::BTreeMap;

use crate::model::{JobSpec, Micros, Resources, SECOND, Shape};
use crate::state::capacity_index::MachineKind;
use crate::state::cluster::Cluster;

/// Marks are at least so many tasks ahead of what is launched, and one for so many machines, which may all
/// have room in the same moment; and more where more is launched ([`LaunchRate`](crate::state::watermarks::LaunchRate)).
const MIN_WATERMARK_LEAD: usize = 32;
const MACHINES_PER_WATERMARK_STEP: usize = 4;

impl Cluster {
    /// What is in doubt may only be on a machine that its job allows and that has room for it.
    fn max_unconfirmed_tasks(&self, spec: &JobSpec) -> i64 {
        let fits = |kind: &Option<MachineKind>| match kind {
            Some(kind) if !self.is_eligible_bucket(spec, kind) => 0,
            Some(kind) => spec
                .resources
                .count_in(&self.machine_types[kind.machine_type].size),
            None => i64::MAX,
        };
        let each = self
            .takeover
            .unconfirmed
            .silent_machines
            .iter()
            .map(|(kind, n)| fits(kind).saturating_mul(*n));
        each.fold(0, i64::saturating_add)
    }

    /// Goes over what is in doubt, as machines have been heard or are known to hold nothing. Returns how many
    /// may still hold something.
    pub fn review_unconfirmed(&mut self, now: Micros) -> usize {
        let limit = self.lease_expiry_bound();
        let mut silent: BTreeMap<Option<MachineKind>, i64> = BTreeMap::new();
        let mut most = Resources::default();
        for m in self
            .machines
            .values()
            .filter(|m| m.is_unconfirmed(now, limit))
        {
            let kind = m
                .placement
                .capacity_bucket
                .map(|n| self.capacity_index.buckets[n].kind.clone());
            *silent.entry(kind).or_default() += 1;
            most += m.capacity;
        }
        let unknown = silent.contains_key(&None);
        let machines = silent.values().sum::<i64>() as usize;
        self.takeover.unconfirmed.silent_machines = silent.into_iter().collect();
        let mut held = vec![Resources::default(); self.quota.team_usage.len()];
        let mut clear = Vec::new();
        for job in self
            .jobs
            .values()
            .filter(|j| !j.tasks.unconfirmed.is_empty())
        {
            self.passes.add_steps(1);
            // As it was submitted: what policy forbids now, another leader may have allowed.
            let most = self.max_unconfirmed_tasks(&job.submitted_spec);
            if most == 0 {
                clear.push(job.id.clone());
            }
            if let Some(t) = job.team {
                held[t] += job
                    .submitted_spec
                    .resources
                    .scaled_by(most.min(i64::from(job.tasks.unconfirmed.len())));
            }
        }
        for id in clear {
            if let Some(job) = self.jobs.get_mut(&id) {
                job.tasks.unconfirmed = Default::default();
                self.passes.needed = true;
            }
        }
        if !unknown {
            for h in &mut held {
                h.cpu = h.cpu.min(most.cpu);
                h.gpu = h.gpu.min(most.gpu);
            }
        }
        self.takeover.unconfirmed.possible_usage = held;
        machines
    }

    /// Raises marks ahead of what is to be launched next, in the order of the last pass.
    pub fn raise_watermarks_ahead(&mut self, now: Micros) {
        self.watermarks.launch_rate.measure(now);
        let large = self.machines.len() / MACHINES_PER_WATERMARK_STEP;
        let mut left = MIN_WATERMARK_LEAD
            .max(large)
            .max(self.watermarks.launch_rate.tasks_per_second as usize);
        for i in 0..self.passes.placement_order.len() {
            let id = self.passes.placement_order[i].clone();
            let Some(job) = self.jobs.get(&id) else {
                continue;
            };
            self.passes.add_steps(1);
            let waiting = job.placeable_count();
            if waiting == 0 || job.cancelled || self.tasks_within_quota(job) <= 0 {
                continue;
            }
            let wanted = if job.spec.shape == Shape::Gang {
                waiting
            } else {
                waiting.min(left)
            };
            let covered = job
                .tasks
                .pending
                .slice(0, job.persistence.requested_watermark)
                .len() as usize;
            // A mark that has half of what it should have is raised by all of it.
            if covered < wanted && covered <= wanted / 2 {
                let last = job.tasks.pending.iter().nth(wanted - 1);
                if let (Some(last), Some(job)) = (last, self.jobs.get_mut(&id)) {
                    job.request_watermark(last + 1);
                }
            }
            left = left.saturating_sub(wanted);
            if left == 0 {
                break;
            }
        }
    }

    /// Every worker that reaches a controller has had the time to report to this leader: what is silent now may
    /// stay so for a lease, and gives no room that can be planned with.
    pub fn all_workers_had_time_to_report(&self, now: Micros) -> bool {
        now > self.takeover.at + self.settings.report * 5 / 4 + 2 * SECOND
    }

    /// Whether all that may be on a machine is below its mark, as the state service holds it: then a successor
    /// can go by them.
    pub fn watermarks_cover_all_launches(&self) -> bool {
        self.takeover.settled
            && !self.watermarks.not_required
            && self
                .jobs
                .values()
                .all(|j| j.persistence.requested_watermark <= j.persistence.durable_watermark)
    }
}
