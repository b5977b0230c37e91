//! Placement by a new leader before it knows the state of all machines, and the launch watermarks that make this
//! safe.
//!
//! A machine that has sent a heartbeat with this term's fencing token has reported all that it holds, so tasks may be
//! placed on it at once. Every other machine in the shard's record counts as holding as much as it can: a task that
//! an earlier leader may have launched on it is unconfirmed, is not started elsewhere, and counts against its team's
//! limit. The jobs' launch watermarks ([`JobRecord::watermark`](crate::wire::store::JobRecord::watermark)) tell which
//! tasks these are: a task at or above its job's watermark is on no machine, since the watermark is raised, durably
//! and under the guard of the shard owner's key, before a launch is sent. Watermarks are raised ahead of the next
//! launches, so that launches seldom wait for them, and together with completions, so that they seldom cost a
//! separate change in the state service.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::model::{JobId, JobSpec, Micros, Resources, SECOND, Shape, TaskSet};
use crate::state::capacity_index::MachineKind;
use crate::state::cluster::Cluster;
use crate::state::job::Job;

/// Minimum number of tasks by which watermarks are ahead of the launches. The lead is larger when more tasks are
/// launched ([`LaunchRate`](crate::state::watermarks::LaunchRate)).
const MIN_WATERMARK_LEAD: usize = 32;
/// The lead is also at least one task for every group of this many machines, since all machines may have capacity at
/// the same moment.
const MACHINES_PER_LEAD_TASK: usize = 4;

/// Time after the failover, added to one and a quarter heartbeat intervals, within which every worker that reaches a
/// controller has sent a heartbeat.
const HEARTBEAT_DELAY: Micros = 2 * SECOND;

/// Machines that have not confirmed this leader's term yet.
#[derive(Default)]
struct UnconfirmedMachines {
    /// Number of unconfirmed machines of each kind; `None` for machines of unknown type.
    by_kind: BTreeMap<Option<MachineKind>, i64>,
    capacity: Resources,
}

impl Cluster {
    /// Returns the maximum number of a job's tasks that unconfirmed machines can hold. Machines that the job may not
    /// use, or that are too small, do not count.
    fn max_unconfirmed_tasks(&self, spec: &JobSpec) -> i64 {
        let tasks_on = |kind: &Option<MachineKind>| match kind {
            Some(kind) if !self.is_eligible_bucket(spec, kind) => 0,
            Some(kind) => {
                let capacity = &self.machine_types[kind.machine_type].capacity;
                spec.resources.times_fitting_in(capacity)
            }
            None => i64::MAX,
        };
        let unconfirmed = self.takeover.unconfirmed.machine_counts.iter();
        unconfirmed
            .map(|(kind, machines)| tasks_on(kind).saturating_mul(*machines))
            .fold(0, i64::saturating_add)
    }

    /// Returns the maximum number of a job's tasks that the unconfirmed machines of each zone could hold if they were
    /// empty.
    pub(super) fn max_unconfirmed_tasks_by_zone(&self, spec: &JobSpec) -> BTreeMap<Arc<str>, i64> {
        let mut tasks_by_zone: BTreeMap<Arc<str>, i64> = BTreeMap::new();
        for (kind, machines) in &self.takeover.unconfirmed.machine_counts {
            let Some(kind) = kind else { continue };
            if !self.is_eligible_bucket(spec, kind) {
                continue;
            }
            let capacity = &self.machine_types[kind.machine_type].capacity;
            let tasks = spec.resources.times_fitting_in(capacity);
            let in_zone = tasks_by_zone.entry(kind.zone.clone()).or_default();
            *in_zone = in_zone.saturating_add(tasks.saturating_mul(*machines));
        }
        tasks_by_zone
    }

    /// Updates the unconfirmed tasks and their possible usage, as machines have sent heartbeats or are known to hold
    /// nothing. Returns the number of machines that may still hold unconfirmed tasks.
    pub fn update_unconfirmed(&mut self, now: Micros) -> usize {
        let machines = self.unconfirmed_machines(now);
        let count = machines.by_kind.values().sum::<i64>() as usize;
        let has_unknown_type = machines.by_kind.contains_key(&None);
        self.takeover.unconfirmed.machine_counts = machines.by_kind.into_iter().collect();
        let mut possible_usage = vec![Resources::default(); self.quota.team_usage.len()];
        let mut confirmed: Vec<JobId> = Vec::new();
        let jobs = self.jobs.values();
        for job in jobs.filter(|job| !job.tasks.unconfirmed.is_empty()) {
            self.passes.add_steps(1);
            // The submitted spec counts: an earlier leader may have launched the job on machines that policy excludes
            // now.
            let spec = &job.submitted_spec;
            let max_tasks = self.max_unconfirmed_tasks(spec);
            if max_tasks == 0 {
                confirmed.push(job.id.clone());
            }
            if let Some(team) = job.team {
                let tasks = max_tasks.min(i64::from(job.tasks.unconfirmed.len()));
                possible_usage[team] += spec.resources.scaled_by(tasks);
            }
        }
        for id in confirmed {
            if let Some(job) = self.jobs.get_mut(&id) {
                job.tasks.unconfirmed = TaskSet::default();
                self.passes.needed = true;
            }
        }
        if !has_unknown_type {
            for usage in &mut possible_usage {
                usage.cpu = usage.cpu.min(machines.capacity.cpu);
                usage.gpu = usage.gpu.min(machines.capacity.gpu);
            }
        }
        self.takeover.unconfirmed.possible_usage = possible_usage;
        count
    }

    fn unconfirmed_machines(&self, now: Micros) -> UnconfirmedMachines {
        let lease_expiry = self.lease_expiry_bound();
        let mut unconfirmed = UnconfirmedMachines::default();
        for machine in self.machines.values() {
            if !machine.is_unconfirmed(now, lease_expiry) {
                continue;
            }
            let bucket = machine.placement.capacity_bucket;
            let kind = bucket.map(|index| self.capacity_index.buckets[index].kind.clone());
            *unconfirmed.by_kind.entry(kind).or_default() += 1;
            unconfirmed.capacity += machine.capacity;
        }
        unconfirmed
    }

    /// Raises watermarks ahead of the next launches, in the order of the last pass.
    pub fn raise_watermarks_ahead(&mut self, now: Micros) {
        self.watermarks.launch_rate.measure(now);
        let mut lead = MIN_WATERMARK_LEAD
            .max(self.machines.len() / MACHINES_PER_LEAD_TASK)
            .max(self.watermarks.launch_rate.tasks_per_second as usize);
        for position in 0..self.passes.placement_order.len() {
            let id = self.passes.placement_order[position].clone();
            let Some(job) = self.jobs.get(&id) else {
                continue;
            };
            self.passes.add_steps(1);
            let waiting = job.placeable_count();
            if waiting == 0 || job.cancelled || self.tasks_within_quota(job) <= 0 {
                continue;
            }
            let wanted = match job.spec.shape {
                Shape::Gang => waiting,
                _ => waiting.min(lead),
            };
            if let Some(watermark) = watermark_to_request(job, wanted)
                && let Some(job) = self.jobs.get_mut(&id)
            {
                job.request_watermark(watermark);
            }
            lead = lead.saturating_sub(wanted);
            if lead == 0 {
                break;
            }
        }
    }

    /// Whether every worker that reaches a controller has had the time to send a heartbeat to this leader. A machine
    /// that has not sent one by then may stay silent for a whole lease and offers no capacity that can be planned
    /// with.
    pub fn all_workers_had_time_to_report(&self, now: Micros) -> bool {
        now > self.takeover.started_at + self.settings.heartbeat_interval * 5 / 4 + HEARTBEAT_DELAY
    }

    /// Whether every task that may be on a machine is below its job's watermark as stored in the state service, so
    /// that a successor can rely on the watermarks.
    pub fn watermarks_cover_all_launches(&self) -> bool {
        let is_covered = |job: &Job| {
            let persistence = &job.persistence;
            persistence.requested_watermark <= persistence.durable_watermark
        };
        self.takeover.is_settled
            && !self.watermarks.not_required
            && self.jobs.values().all(is_covered)
    }
}

/// Returns the watermark that covers the next `wanted` tasks of a job, or `None` if the present watermark covers more
/// than half of them. Each job's watermark is therefore raised seldom, and by a large step.
fn watermark_to_request(job: &Job, wanted: usize) -> Option<u32> {
    let pending = &job.tasks.pending;
    let covered = pending.slice(0, job.persistence.requested_watermark).len() as usize;
    if covered >= wanted || covered > wanted / 2 {
        return None;
    }
    pending.iter().nth(wanted - 1).map(|last| last + 1)
}
