//! Records the events that workers and users observed, and checks the rules against these events. No entry of the
//! record comes from a controller's own account of its actions.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use gannethub_emulators::worker::job_id_of_task;
use serde::Serialize;

use crate::messages::{TaskEvent, TaskEventKind};

/// The time that an attempt of a task spent on a machine, in microseconds of the run's clock.
#[derive(Clone, Debug)]
pub struct Placement {
    pub host: String,
    pub attempt: u64,
    pub began: u64,
    /// `None` while the attempt is on the machine.
    pub ended: Option<u64>,
    pub done: bool,
}

/// A machine as the cloud provisioned it.
#[derive(Clone, Debug)]
pub struct HostInfo {
    pub flavor: String,
    pub zone: String,
    pub spot: bool,
}

/// A job as its user knows it. All times are microseconds of the run's clock.
#[derive(Clone, Debug, Default)]
pub struct JobRecord {
    pub team: usize,
    pub tasks: u32,
    pub cpus: f64,
    pub is_gang: bool,
    pub spot_allowed: bool,
    pub urgent: bool,
    /// Time at which the user first sent the submission.
    pub sent_at: u64,
    pub accepted: Option<u64>,
    pub told_done: Option<u64>,
    pub cancel_requested: Option<u64>,
    pub told_cancelled: Option<u64>,
    /// Violations of rules that the user observed, such as a wrong answer or none: the rule's name and a description.
    pub violations: Vec<(&'static str, String)>,
}

/// Limit of a team in processors that counts from the time `at` on, in microseconds of the run's clock. Before `at`,
/// the preceding limit counts. A run only lowers limits, so the preceding limit is the higher one.
#[derive(Clone, Copy, Debug)]
pub struct LimitEntry {
    pub at: u64,
    pub cpus: f64,
}

/// A violation of a rule.
#[derive(Clone, Debug, Serialize)]
pub struct Violation {
    pub rule: &'static str,
    pub what: String,
}

/// Change of a team's use by a task: the team, the added processors (negative at an end), and the task.
type UsageChange<'a> = (usize, f64, &'a str);

/// All events that workers and users observed.
#[derive(Default)]
pub struct Record {
    pub hosts: HashMap<String, HostInfo>,
    pub jobs: HashMap<String, JobRecord>,
    pub placements: HashMap<String, Vec<Placement>>,
    /// Limits of each team, in order of time.
    pub limits: Vec<Vec<LimitEntry>>,
    /// Maximum time from the confirmed cancellation of a job until its last task is gone, in microseconds.
    pub max_cancel_time: u64,
    /// Tasks on each machine now.
    tasks_by_host: HashMap<String, BTreeSet<String>>,
    violations: Vec<Violation>,
}

impl Record {
    /// Returns an empty record. The checks require that each team stays within its limits, and that cancelled tasks
    /// are gone within `max_cancel_time` microseconds.
    pub fn new(limits: Vec<Vec<LimitEntry>>, max_cancel_time: u64) -> Record {
        Record {
            limits,
            max_cancel_time,
            ..Record::default()
        }
    }

    pub fn record_event(&mut self, event: &TaskEvent) {
        let placements = self.placements.entry(event.task.clone()).or_default();
        match event.what {
            TaskEventKind::Started => {
                placements.push(Placement {
                    host: event.host.clone(),
                    attempt: event.attempt,
                    began: event.at,
                    ended: None,
                    done: false,
                });
                self.tasks_by_host
                    .entry(event.host.clone())
                    .or_default()
                    .insert(event.task.clone());
            }
            TaskEventKind::Done | TaskEventKind::Gone => {
                let same = |s: &&mut Placement| {
                    s.host == event.host && s.attempt == event.attempt && s.ended.is_none()
                };
                if let Some(placement) = placements.iter_mut().rev().find(same) {
                    placement.ended = Some(event.at);
                    placement.done = event.what == TaskEventKind::Done;
                }
                if let Some(tasks) = self.tasks_by_host.get_mut(&event.host) {
                    tasks.remove(&event.task);
                }
            }
        }
    }

    /// Records that a machine ended without reporting its tasks. All tasks on the machine are recorded as gone, and
    /// the events of these tasks are returned.
    pub fn host_ended(&mut self, host: &str, at: u64) -> Vec<TaskEvent> {
        let mut gone = Vec::new();
        for task in self.tasks_by_host.remove(host).unwrap_or_default() {
            let placements = self.placements.get_mut(&task).into_iter().flatten();
            for placement in placements.filter(|s| s.host == host && s.ended.is_none()) {
                placement.ended = Some(at);
                let (host, task, attempt) = (host.to_string(), task.clone(), placement.attempt);
                gone.push(TaskEvent {
                    at,
                    host,
                    task,
                    attempt,
                    what: TaskEventKind::Gone,
                });
            }
        }
        gone
    }

    /// Returns the number of tasks that are on machines now.
    pub fn running(&self) -> usize {
        self.tasks_by_host.values().map(BTreeSet::len).sum()
    }

    /// Returns any task that is on a machine, with its attempt and the machine.
    pub fn any_running(&self) -> Option<(String, u64, String)> {
        let (host, tasks) = self
            .tasks_by_host
            .iter()
            .find(|(_, tasks)| !tasks.is_empty())?;
        let task = tasks.first()?;
        let placement = self.placements.get(task)?.last()?;
        Some((task.clone(), placement.attempt, host.clone()))
    }

    /// Returns the number of attempts that began from `from` until before `to`.
    pub fn count_starts(&self, from: u64, to: u64) -> usize {
        let within = |s: &&Placement| (from..to).contains(&s.began);
        self.placements.values().flatten().filter(within).count()
    }

    /// Returns the mean number of tasks on machines between `from` and `to`.
    pub fn mean_running(&self, from: u64, to: u64) -> f64 {
        let time_within = |s: &Placement| {
            s.ended
                .unwrap_or(to)
                .min(to)
                .saturating_sub(s.began.max(from))
        };
        let sum: u64 = self.placements.values().flatten().map(time_within).sum();
        sum as f64 / (to - from).max(1) as f64
    }

    /// Returns the times in microseconds from the submission of urgent jobs until their first task began, for the
    /// jobs submitted from `from` until before `to`.
    pub fn urgent_start_times(&self, from: u64, to: u64) -> Vec<u64> {
        let mut first: HashMap<&str, u64> = HashMap::new();
        for (task, placements) in &self.placements {
            let began = placements.iter().map(|s| s.began).min().unwrap_or(u64::MAX);
            let entry = first.entry(job_id_of_task(task)).or_insert(u64::MAX);
            *entry = (*entry).min(began);
        }
        let urgent = |j: &&JobRecord| j.urgent && (from..to).contains(&j.sent_at);
        let jobs = self.jobs.iter().filter(|(_, j)| urgent(j));
        jobs.filter_map(|(id, j)| first.get(id.as_str()).map(|t| t.saturating_sub(j.sent_at)))
            .collect()
    }

    /// Returns, for each cancelled job, the time in microseconds from the confirmed cancellation until the last task
    /// was gone. A task that has not ended counts as gone at `until`.
    pub fn cancellation_times(&self, until: u64) -> Vec<u64> {
        let mut last: HashMap<&str, u64> = HashMap::new();
        for (task, placements) in &self.placements {
            let ended = placements
                .iter()
                .map(|s| s.ended.unwrap_or(until))
                .max()
                .unwrap_or(0);
            let entry = last.entry(job_id_of_task(task)).or_default();
            *entry = (*entry).max(ended);
        }
        let time_until_gone = |(id, j): (&String, &JobRecord)| {
            let told_at = j.told_cancelled?;
            Some(
                last.get(id.as_str())
                    .map_or(0, |at| at.saturating_sub(told_at)),
            )
        };
        self.jobs.iter().filter_map(time_until_gone).collect()
    }

    /// Checks all observed events against the rules and returns the violations. All events that workers observed
    /// before `until` must have been recorded. Answers that users received later are not compared with these events.
    pub fn check_rules(&mut self, until: u64) -> Vec<Violation> {
        self.check_tasks(until);
        self.check_quota(until);
        self.check_places(until);
        for (id, job) in &self.jobs {
            for (rule, what) in &job.violations {
                self.violations.push(Violation {
                    rule,
                    what: format!("{id}: {what}"),
                });
            }
        }
        std::mem::take(&mut self.violations)
    }

    fn check_tasks(&mut self, until: u64) {
        let mut done: HashMap<&str, Vec<u64>> = HashMap::new();
        for (task, placements) in &self.placements {
            let mut in_order: Vec<&Placement> = placements.iter().collect();
            in_order.sort_by_key(|s| s.began);
            for (a, b) in in_order.iter().zip(in_order.iter().skip(1)) {
                if b.host != a.host && b.began < a.ended.unwrap_or(u64::MAX) {
                    let what = format!("{task} on {} and on {} at {}", a.host, b.host, b.began);
                    self.violations.push(Violation {
                        rule: "ran_twice",
                        what,
                    });
                }
            }
            if let Some(at) = placements
                .iter()
                .filter(|s| s.done)
                .filter_map(|s| s.ended)
                .min()
            {
                done.entry(job_id_of_task(task)).or_default().push(at);
            }
            let Some(job) = self.jobs.get(job_id_of_task(task)) else {
                continue;
            };
            let Some(told_at) = job.told_cancelled.filter(|t| *t <= until) else {
                continue;
            };
            let late = |s: &&Placement| s.ended.unwrap_or(until) > told_at + self.max_cancel_time;
            if let Some(placement) = placements.iter().find(late) {
                let what = format!("{task} on {} after {told_at}", placement.host);
                self.violations.push(Violation {
                    rule: "ran_cancelled",
                    what,
                });
            }
        }
        for (id, job) in &self.jobs {
            let Some(told_at) = job.told_done.filter(|t| *t <= until) else {
                continue;
            };
            let ended = done
                .get(id.as_str())
                .map_or(0, |d| d.iter().filter(|at| **at <= told_at).count());
            if ended < job.tasks as usize {
                let what = format!("{id}: told done with {ended} of {} tasks done", job.tasks);
                self.violations.push(Violation {
                    rule: "not_done",
                    what,
                });
            }
        }
    }

    /// Checks the use of each team against its limit. Tasks that run above the limit when the limit is lowered may
    /// continue. Therefore only starts are checked: a use above the limit without a new start is no violation.
    fn check_quota(&mut self, until: u64) {
        let mut changes: BTreeMap<(u64, bool), Vec<UsageChange<'_>>> = BTreeMap::new();
        for (task, placements) in &self.placements {
            let Some(job) = self.jobs.get(job_id_of_task(task)) else {
                continue;
            };
            for placement in placements {
                let ended = placement.ended.unwrap_or(until);
                // Ends are applied before starts of the same time, because an ending task makes room for a starting
                // one.
                changes
                    .entry((placement.began, true))
                    .or_default()
                    .push((job.team, job.cpus, task));
                changes
                    .entry((ended, false))
                    .or_default()
                    .push((job.team, -job.cpus, task));
            }
        }
        let mut used = vec![0.0f64; self.limits.len()];
        for ((at, begins), list) in changes {
            for (team, cpus, task) in list {
                used[team] += cpus;
                let limit = limit_at(&self.limits[team], at);
                if begins && used[team] > limit + 1e-6 {
                    let what = format!(
                        "team {team} uses {} of {limit} with {task} at {at}",
                        used[team]
                    );
                    self.violations.push(Violation {
                        rule: "quota",
                        what,
                    });
                }
            }
        }
    }

    fn check_places(&mut self, until: u64) {
        let mut by_job: HashMap<&str, Vec<(&Placement, &HostInfo)>> = HashMap::new();
        for (task, placements) in &self.placements {
            for placement in placements {
                let Some(host) = self.hosts.get(&placement.host) else {
                    continue;
                };
                let Some(job) = self.jobs.get(job_id_of_task(task)) else {
                    continue;
                };
                if host.spot && !job.spot_allowed {
                    let what = format!("{task} on the spot machine {}", placement.host);
                    self.violations.push(Violation {
                        rule: "wrong_place",
                        what,
                    });
                }
                if job.is_gang {
                    by_job
                        .entry(job_id_of_task(task))
                        .or_default()
                        .push((placement, host));
                }
            }
        }
        for (job, placements) in by_job {
            let overlap = |a: &Placement, b: &Placement| {
                a.began < b.ended.unwrap_or(until) && b.began < a.ended.unwrap_or(until)
            };
            let apart = placements.iter().enumerate().find_map(|(i, (a, at))| {
                let other =
                    |(b, there): &&(&Placement, &HostInfo)| at.zone != there.zone && overlap(a, b);
                placements[i + 1..]
                    .iter()
                    .find(other)
                    .map(|(b, _)| (a.host.clone(), b.host.clone()))
            });
            if let Some((a, b)) = apart {
                let what = format!("{job} at the same time on {a} and {b}, in two zones");
                self.violations.push(Violation {
                    rule: "wrong_place",
                    what,
                });
            }
        }
    }
}

/// Returns the limit that counts at a time.
fn limit_at(limits: &[LimitEntry], at: u64) -> f64 {
    limits
        .iter()
        .rev()
        .find(|l| l.at <= at)
        .map_or(f64::INFINITY, |l| l.cpus)
}

#[cfg(test)]
mod tests;
