//! Estimates for scheduling decisions: run times, deadlines, prices, boot times of machines and ends of attempts.
//!
//! No function of this module changes any state.

use crate::model::{
    JobSpec, Micros, Priority, SECOND, Shape, TaskId, micros_from_seconds, seconds_from_micros,
};
use crate::policy::Value;
use crate::state::attempt::{Attempt, AttemptPhase};
use crate::state::cluster::Cluster;
use crate::state::downstream_demand::DownstreamDemand;
use crate::state::job::Job;
use crate::state::machine::Machine;

/// Minimum remaining boot time that is assumed for a machine whose boot is overdue.
const MIN_OVERDUE_BOOT: Micros = 2 * SECOND;

/// An attempt that has run for this many times its expected run time, plus [`OVERRUN_ALLOWANCE`], has no foreseeable
/// end.
const MAX_OVERRUN_FACTOR: Micros = 4;
const OVERRUN_ALLOWANCE: Micros = 60 * SECOND;

/// Times of day at which a job was accepted and at which it was, or will be, released.
#[derive(Clone, Copy, Debug)]
pub struct JobTimes {
    /// Start of the time limits of `deadline` objectives.
    pub accepted_at: u64,
    /// Start of the time limits of all other objectives.
    pub ready_at: u64,
}

impl Cluster {
    /// Returns the values that a policy expression may read of a job, in the order of
    /// [`JOB_FIELDS`](crate::policy::JOB_FIELDS). `latest_start` is the job's [`Cluster::latest_start`].
    pub fn policy_inputs<'a>(
        &self,
        job: &'a Job,
        within_guarantee: bool,
        latest_start: Option<u64>,
    ) -> [Value<'a>; 14] {
        let spec = &job.spec;
        let share = self.team_usage_share(job.team);
        let duration = |time: Micros| Value::Number(seconds_from_micros(time));
        [
            Value::Text(&spec.class),
            Value::Text(&spec.team),
            Value::Text(priority_name(job.effective_priority())),
            Value::Number(f64::from(spec.tasks)),
            Value::Number(f64::from(job.tasks.done.len())),
            Value::Number(spec.resources.cpu as f64 / 1000.0),
            duration(self.unix_time.saturating_sub(job.ready_at)),
            duration(latest_start.unwrap_or(0).saturating_sub(self.unix_time)),
            duration(self.remaining_work_at_quota(job)),
            duration(self.expected_run_time(spec)),
            Value::Bool(latest_start.is_none()),
            Value::Bool(within_guarantee),
            Value::Number(share.of_total),
            Value::Number(share.ratio_to_due_share),
        ]
    }

    /// Expected run time of one of the job's tasks: the user's estimate, corrected by the measured run times of tasks
    /// of the same class.
    pub fn expected_run_time(&self, spec: &JobSpec) -> Micros {
        let ratio = self.runtime_ratios.get(&spec.class).copied().unwrap_or(1.0);
        (spec.run_time_estimate as f64 * ratio) as Micros
    }

    /// Time to fetch the job's image on a machine that does not have it, at the rate of the slowest machine type that
    /// fits a task.
    pub fn fetch_time(&self, spec: &JobSpec) -> Micros {
        let large_enough = self
            .machine_types
            .iter()
            .filter(|machine_type| spec.resources.fits(&machine_type.capacity));
        let slowest = large_enough
            .map(|machine_type| machine_type.fetch_gb_per_s)
            .fold(f64::INFINITY, f64::min);
        micros_from_seconds(spec.image_size_gb / slowest)
    }

    /// Returns the time of day by which the job's tasks have to start to meet the earliest objective that can still
    /// be met, or `None` if none can.
    pub fn latest_start(&self, job: &Job, within_guarantee: bool) -> Option<u64> {
        let times = JobTimes {
            accepted_at: job.accepted_at,
            ready_at: job.ready_at,
        };
        let demand = job.scheduling.downstream_demand.as_ref();
        self.latest_start_for(&job.spec, times, demand, within_guarantee)
    }

    /// Returns [`Cluster::latest_start`] for a job with these times of acceptance and release.
    pub fn latest_start_for(
        &self,
        spec: &JobSpec,
        times: JobTimes,
        demand: Option<&DownstreamDemand>,
        within_guarantee: bool,
    ) -> Option<u64> {
        // Run times vary, so a quarter more is allowed for.
        let run_time = self.expected_run_time(spec) * 5 / 4;
        let fetch_time = self.fetch_time(spec);
        let own = self.settings.objectives.iter().filter_map(|objective| {
            if objective
                .class
                .as_ref()
                .is_some_and(|class| *class != spec.class)
            {
                return None;
            }
            match objective.kind.as_str() {
                "wait" => Some(times.ready_at + objective.within),
                "guarantee" if within_guarantee => Some(times.ready_at + objective.within),
                "finished" => Some((times.ready_at + objective.within).saturating_sub(run_time)),
                "deadline" => {
                    let deadline = (spec.deadline? as f64 * objective.deadline_factor) as Micros;
                    Some((times.accepted_at + deadline).saturating_sub(run_time))
                }
                _ => None,
            }
        });
        let own = own
            .map(|start| start.saturating_sub(fetch_time))
            .filter(|start| *start >= self.unix_time);
        // Downstream jobs have to meet their deadlines as well.
        let stage = self.fetch_and_run_time(spec);
        let downstream = demand
            .iter()
            .flat_map(|demand| &demand.deadlines)
            .flatten()
            .filter_map(|deadline| deadline.start_by(stage, self.unix_time));
        own.chain(downstream).min()
    }

    /// Time that the job's remaining work takes when its team uses its whole limit.
    fn remaining_work_at_quota(&self, job: &Job) -> Micros {
        let Some(team) = job.team else { return 0 };
        let limit = &self.settings.teams[team].limit;
        let total = &self.total_capacity;
        let need = &job.spec.resources;
        // No team can use more than the total capacity.
        let fraction = |need: i64, limit: i64, total: i64| {
            need as f64 / limit.min(total.max(need)).max(1) as f64
        };
        let cpu = fraction(need.cpu, limit.cpu, total.cpu);
        let gpu = fraction(need.gpu, limit.gpu, total.gpu);
        let remaining_tasks = f64::from(job.spec.tasks - job.tasks.done.len());
        (remaining_tasks * cpu.max(gpu) * self.expected_run_time(&job.spec) as f64) as Micros
    }

    /// Price of a thousandth of a CPU for an hour on machines of this type and market.
    pub fn price_per_millicpu(&self, machine_type: usize, spot: bool) -> f64 {
        let machine_type = &self.machine_types[machine_type];
        machine_type.price_of(spot) / machine_type.capacity.cpu.max(1) as f64
    }

    /// Returns the time at which a booting machine is expected to be up. The remaining boot time of an overdue
    /// machine is assumed to equal the time by which the machine is late. A machine is no longer expected if its zone
    /// is unreachable, or once it is late by more than its expected or its usual boot time, whichever is longer.
    pub fn expected_up_at(&self, machine: &Machine, now: Micros) -> Option<Micros> {
        if self.zones.unreachable.contains_key(&machine.zone) {
            return None;
        }
        let machine_type = machine.machine_type?;
        let usual = self.machine_types[machine_type].boot_time;
        let times = &self.fleet.provisioning_times;
        let boot_time = times.expected_boot_time(machine_type, &machine.zone, usual, now);
        let expected_at = machine.lifecycle.provisioned_at + boot_time;
        let overdue = now.saturating_sub(expected_at);
        (overdue <= boot_time.max(usual))
            .then(|| expected_at.max(now + overdue.max(MIN_OVERDUE_BOOT)))
    }

    /// Returns the expected end of an attempt.
    pub fn expected_end(&self, task: &TaskId, attempt: &Attempt, now: Micros) -> Micros {
        let Some(job) = self.jobs.get(&task.job) else {
            return now;
        };
        if job.spec.shape == Shape::Service {
            return Micros::MAX;
        }
        let saved = job.tasks.saved_progress.get(&task.index).copied();
        let progress = running_time(attempt, now) + saved.unwrap_or(0);
        let remaining = self.expected_run_time(&job.spec).saturating_sub(progress);
        // Run times vary: every attempt is assumed to run for at least another quarter of its progress so far.
        now + remaining.max(progress / 4)
    }

    /// Returns the expected end of an attempt on which other work may wait. Returns `None` for a task of a service,
    /// unless the task was told to stop, and for an attempt that has run far longer than expected.
    pub(super) fn foreseeable_end(
        &self,
        task: &TaskId,
        attempt: &Attempt,
        now: Micros,
    ) -> Option<Micros> {
        if let Some(grace) = attempt.stop_grace {
            return Some(now + grace);
        }
        let job = self.jobs.get(&task.job);
        let expected_run_time = job.map_or(0, |job| self.expected_run_time(&job.spec));
        let max_run_time = MAX_OVERRUN_FACTOR * expected_run_time + OVERRUN_ALLOWANCE;
        let end = self.expected_end(task, attempt, now);
        (end < Micros::MAX && running_time(attempt, now) <= max_run_time).then_some(end)
    }
}

/// Returns the time for which an attempt has been running: 0 for an attempt that has not begun to run or is saving.
pub(super) fn running_time(attempt: &Attempt, now: Micros) -> Micros {
    match attempt.phase {
        AttemptPhase::Running => now.saturating_sub(attempt.phase_since),
        _ => 0,
    }
}

/// Returns the name of a priority in policies.
fn priority_name(priority: Priority) -> &'static str {
    match priority {
        Priority::Low => "low",
        Priority::Normal => "normal",
        Priority::High => "high",
        Priority::Production => "production",
    }
}
