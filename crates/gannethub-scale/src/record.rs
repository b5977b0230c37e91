//! What workers and users themselves saw, and the rules that it is held against. Nothing here comes from a controller's
//! own account of what it did.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use gannethub_emulators::worker::job_of;
use serde::Serialize;

use crate::messages::{Happened, TaskEvent};

/// An attempt's time on a machine, in microseconds of the run's clock.
#[derive(Clone, Debug)]
pub struct Stay {
    pub host: String,
    pub attempt: u64,
    pub began: u64,
    /// `None`: it is still there.
    pub ended: Option<u64>,
    pub done: bool,
}

/// A machine as the cloud rented it.
#[derive(Clone, Debug)]
pub struct HostFacts {
    pub flavor: String,
    pub zone: String,
    pub spot: bool,
}

/// A job as its user knows it.
#[derive(Clone, Debug, Default)]
pub struct JobRecord {
    pub team: usize,
    pub tasks: u32,
    pub cpus: f64,
    pub together: bool,
    pub spot_allowed: bool,
    pub urgent: bool,
    /// When its user first asked to submit it.
    pub asked: u64,
    pub accepted: Option<u64>,
    pub told_done: Option<u64>,
    pub cancel_asked: Option<u64>,
    pub told_cancelled: Option<u64>,
    /// What was answered against the protocol.
    pub broken: Vec<(&'static str, String)>,
}

/// A team's limit in force from a time on. Before, `cpus` or what stood before counts, whichever is more.
#[derive(Clone, Copy, Debug)]
pub struct LimitFrom {
    pub at: u64,
    pub cpus: f64,
}

#[derive(Clone, Debug, Serialize)]
pub struct Broken {
    pub rule: &'static str,
    pub what: String,
}

/// A team uses more or less from a moment on, by a task.
type UseChange<'a> = (usize, f64, &'a str);

/// All that was seen.
#[derive(Default)]
pub struct Record {
    pub hosts: HashMap<String, HostFacts>,
    pub jobs: HashMap<String, JobRecord>,
    pub stays: HashMap<String, Vec<Stay>>,
    /// By team: its limits, in the order of time.
    pub limits: Vec<Vec<LimitFrom>>,
    pub cancel: u64,
    open: HashMap<String, BTreeSet<String>>,
    broken: Vec<Broken>,
}

impl Record {
    /// A record that holds each team to its limits, and cancelled tasks to be gone within `cancel` microseconds.
    pub fn new(limits: Vec<Vec<LimitFrom>>, cancel: u64) -> Record {
        Record {
            limits,
            cancel,
            ..Record::default()
        }
    }

    pub fn event(&mut self, event: &TaskEvent) {
        let stays = self.stays.entry(event.task.clone()).or_default();
        match event.what {
            Happened::Started => {
                stays.push(Stay {
                    host: event.host.clone(),
                    attempt: event.attempt,
                    began: event.at,
                    ended: None,
                    done: false,
                });
                self.open
                    .entry(event.host.clone())
                    .or_default()
                    .insert(event.task.clone());
            }
            Happened::Done | Happened::Gone => {
                let same = |s: &&mut Stay| {
                    s.host == event.host && s.attempt == event.attempt && s.ended.is_none()
                };
                if let Some(stay) = stays.iter_mut().rev().find(same) {
                    stay.ended = Some(event.at);
                    stay.done = event.what == Happened::Done;
                }
                if let Some(open) = self.open.get_mut(&event.host) {
                    open.remove(&event.task);
                }
            }
        }
    }

    /// A machine ended without a word of what was on it: that is gone as well, as is returned.
    pub fn host_ended(&mut self, host: &str, at: u64) -> Vec<TaskEvent> {
        let mut gone = Vec::new();
        for task in self.open.remove(host).unwrap_or_default() {
            let stays = self.stays.get_mut(&task).into_iter().flatten();
            for stay in stays.filter(|s| s.host == host && s.ended.is_none()) {
                stay.ended = Some(at);
                let (host, task, attempt) = (host.to_string(), task.clone(), stay.attempt);
                gone.push(TaskEvent {
                    at,
                    host,
                    task,
                    attempt,
                    what: Happened::Gone,
                });
            }
        }
        gone
    }

    /// How many tasks are on machines now.
    pub fn running(&self) -> usize {
        self.open.values().map(BTreeSet::len).sum()
    }

    /// A task that is on a machine, its attempt and the machine.
    pub fn any_running(&self) -> Option<(String, u64, String)> {
        let (host, tasks) = self.open.iter().find(|(_, tasks)| !tasks.is_empty())?;
        let task = tasks.first()?;
        let stay = self.stays.get(task)?.last()?;
        Some((task.clone(), stay.attempt, host.clone()))
    }

    /// Stays that began within a time.
    pub fn starts(&self, from: u64, to: u64) -> usize {
        let within = |s: &&Stay| (from..to).contains(&s.began);
        self.stays.values().flatten().filter(within).count()
    }

    /// The mean number of tasks on machines within a time.
    pub fn mean_running(&self, from: u64, to: u64) -> f64 {
        let time = |s: &Stay| {
            s.ended
                .unwrap_or(to)
                .min(to)
                .saturating_sub(s.began.max(from))
        };
        let sum: u64 = self.stays.values().flatten().map(time).sum();
        sum as f64 / (to - from).max(1) as f64
    }

    /// How long urgent jobs waited for their first task, of those submitted within a time.
    pub fn urgent_starts(&self, from: u64, to: u64) -> Vec<u64> {
        let mut first: HashMap<&str, u64> = HashMap::new();
        for (task, stays) in &self.stays {
            let began = stays.iter().map(|s| s.began).min().unwrap_or(u64::MAX);
            let entry = first.entry(job_of(task)).or_insert(u64::MAX);
            *entry = (*entry).min(began);
        }
        let urgent = |j: &&JobRecord| j.urgent && (from..to).contains(&j.asked);
        let jobs = self.jobs.iter().filter(|(_, j)| urgent(j));
        jobs.filter_map(|(id, j)| first.get(id.as_str()).map(|at| at.saturating_sub(j.asked)))
            .collect()
    }

    /// How long after its confirmation each cancelled job's last task was gone.
    pub fn cancellations_gone(&self, until: u64) -> Vec<u64> {
        let mut last: HashMap<&str, u64> = HashMap::new();
        for (task, stays) in &self.stays {
            let ended = stays
                .iter()
                .map(|s| s.ended.unwrap_or(until))
                .max()
                .unwrap_or(0);
            let entry = last.entry(job_of(task)).or_default();
            *entry = (*entry).max(ended);
        }
        let told = |(id, j): (&String, &JobRecord)| {
            let told = j.told_cancelled?;
            Some(
                last.get(id.as_str())
                    .map_or(0, |at| at.saturating_sub(told)),
            )
        };
        self.jobs.iter().filter_map(told).collect()
    }

    /// Holds all that was seen against the rules. `until`: up to when everything that workers saw has been heard; what
    /// users were told after that is left out.
    pub fn check(&mut self, until: u64) -> Vec<Broken> {
        self.check_tasks(until);
        self.check_quota(until);
        self.check_places(until);
        for (id, job) in &self.jobs {
            for (rule, what) in &job.broken {
                self.broken.push(Broken {
                    rule,
                    what: format!("{id}: {what}"),
                });
            }
        }
        std::mem::take(&mut self.broken)
    }

    fn check_tasks(&mut self, until: u64) {
        let mut done: HashMap<&str, Vec<u64>> = HashMap::new();
        for (task, stays) in &self.stays {
            let mut in_order: Vec<&Stay> = stays.iter().collect();
            in_order.sort_by_key(|s| s.began);
            for (a, b) in in_order.iter().zip(in_order.iter().skip(1)) {
                if b.host != a.host && b.began < a.ended.unwrap_or(u64::MAX) {
                    let what = format!("{task} on {} and on {} at {}", a.host, b.host, b.began);
                    self.broken.push(Broken {
                        rule: "ran_twice",
                        what,
                    });
                }
            }
            if let Some(at) = stays
                .iter()
                .filter(|s| s.done)
                .filter_map(|s| s.ended)
                .min()
            {
                done.entry(job_of(task)).or_default().push(at);
            }
            let Some(job) = self.jobs.get(job_of(task)) else {
                continue;
            };
            let Some(told) = job.told_cancelled.filter(|t| *t <= until) else {
                continue;
            };
            let late = |s: &&Stay| s.ended.unwrap_or(until) > told + self.cancel;
            if let Some(stay) = stays.iter().find(late) {
                let what = format!("{task} on {} after {told}", stay.host);
                self.broken.push(Broken {
                    rule: "ran_cancelled",
                    what,
                });
            }
        }
        for (id, job) in &self.jobs {
            let Some(told) = job.told_done.filter(|t| *t <= until) else {
                continue;
            };
            let ended = done
                .get(id.as_str())
                .map_or(0, |d| d.iter().filter(|at| **at <= told).count());
            if ended < job.tasks as usize {
                let what = format!("{id}: told done with {ended} of {} tasks done", job.tasks);
                self.broken.push(Broken {
                    rule: "not_done",
                    what,
                });
            }
        }
    }

    /// What a team's tasks use against its limit. After a limit is lowered what runs above it is let run, so each
    /// start is held against the limit, and a use above it that nothing was added to is none.
    fn check_quota(&mut self, until: u64) {
        let mut changes: BTreeMap<(u64, bool), Vec<UseChange<'_>>> = BTreeMap::new();
        for (task, stays) in &self.stays {
            let Some(job) = self.jobs.get(job_of(task)) else {
                continue;
            };
            for stay in stays {
                let ended = stay.ended.unwrap_or(until);
                // At the same moment what ends makes room for what begins.
                changes
                    .entry((stay.began, true))
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
                    self.broken.push(Broken {
                        rule: "quota",
                        what,
                    });
                }
            }
        }
    }

    fn check_places(&mut self, until: u64) {
        let mut by_job: HashMap<&str, Vec<(&Stay, &HostFacts)>> = HashMap::new();
        for (task, stays) in &self.stays {
            for stay in stays {
                let Some(host) = self.hosts.get(&stay.host) else {
                    continue;
                };
                let Some(job) = self.jobs.get(job_of(task)) else {
                    continue;
                };
                if host.spot && !job.spot_allowed {
                    let what = format!("{task} on the spot machine {}", stay.host);
                    self.broken.push(Broken {
                        rule: "wrong_place",
                        what,
                    });
                }
                if job.together {
                    by_job.entry(job_of(task)).or_default().push((stay, host));
                }
            }
        }
        for (job, stays) in by_job {
            let overlap = |a: &Stay, b: &Stay| {
                a.began < b.ended.unwrap_or(until) && b.began < a.ended.unwrap_or(until)
            };
            let apart = stays.iter().enumerate().find_map(|(i, (a, at))| {
                let other =
                    |(b, there): &&(&Stay, &HostFacts)| at.zone != there.zone && overlap(a, b);
                stays[i + 1..]
                    .iter()
                    .find(other)
                    .map(|(b, _)| (a.host.clone(), b.host.clone()))
            });
            if let Some((a, b)) = apart {
                let what = format!("{job} at the same time on {a} and {b}, in two zones");
                self.broken.push(Broken {
                    rule: "wrong_place",
                    what,
                });
            }
        }
    }
}

/// The limit that holds at a time.
fn limit_at(limits: &[LimitFrom], at: u64) -> f64 {
    limits
        .iter()
        .rev()
        .find(|l| l.at <= at)
        .map_or(f64::INFINITY, |l| l.cpus)
}

#[cfg(test)]
mod tests;
