//! Gangs on simulated workers: all tasks of a gang start, complete and fail together.

use std::collections::BTreeMap;

use super::{Environment, JobFacts, Phase, Task, Worker, job_id_of_task};

/// A gang's task, by the names of its worker and of the task.
type Member = (String, String);

/// The state of one attempt of a gang on all of its workers.
struct GangState {
    now: u64,
    run_time: u64,
    peer_timeout: u64,
    is_complete: bool,
    /// Whether all tasks that are present wait.
    is_ready: bool,
    /// Whether no task's machine hangs. A hung machine blocks its whole gang.
    is_responsive: bool,
    /// Whether all tasks have run for their run time.
    has_run: bool,
}

impl GangState {
    fn new(
        workers: &BTreeMap<String, Worker>,
        members: &[Member],
        facts: &JobFacts,
        peer_timeout: u64,
        environment: &mut dyn Environment,
    ) -> GangState {
        let now = environment.now();
        let tasks: Vec<&Task> = members
            .iter()
            .filter_map(|(worker, task)| workers.get(worker)?.tasks.get(task))
            .collect();
        let mut machines = members.iter().filter_map(|(worker, _)| workers.get(worker));
        let has_run = |task: &&Task| task.phase == Phase::Running && now >= task.phase_ends_at;
        GangState {
            now,
            run_time: environment.run_time(facts),
            peer_timeout,
            is_complete: members.len() == facts.tasks as usize,
            is_ready: tasks.iter().all(|task| task.phase == Phase::Waiting),
            is_responsive: machines.all(|worker| !worker.is_unresponsive(now)),
            has_run: tasks.iter().all(has_run),
        }
    }

    /// Starts, completes or fails a task of the gang. Returns whether the task has completed.
    fn advance(&self, task: &mut Task) -> bool {
        if self.is_complete && self.is_ready {
            task.phase = Phase::Running;
            task.phase_ends_at = self.now + self.run_time;
        } else if self.is_complete && self.is_responsive && self.has_run {
            task.end("done");
            return true;
        } else if (!self.is_complete || !self.is_responsive) && task.phase == Phase::Running {
            let since = *task.peers_missing_since.get_or_insert(self.now);
            if self.now > since + self.peer_timeout {
                task.end("mates_gone");
            }
        }
        false
    }
}

/// Returns the gangs' tasks that have not ended, by job and attempt.
fn gangs_on(workers: &BTreeMap<String, Worker>) -> BTreeMap<(String, u64), Vec<Member>> {
    let mut gangs: BTreeMap<(String, u64), Vec<Member>> = BTreeMap::new();
    for worker in workers.values().filter(|worker| !worker.dead) {
        let tasks = worker.tasks.values();
        for task in tasks.filter(|task| task.gang && !task.ended()) {
            let job = job_id_of_task(&task.name).to_string();
            let members = gangs.entry((job, task.attempt)).or_default();
            members.push((worker.name.clone(), task.name.clone()));
        }
    }
    gangs
}

/// Starts, completes and fails gangs. A running task ends after `peer_timeout` microseconds without a peer, or with a
/// peer on a machine that hangs.
pub fn step_gangs(
    workers: &mut BTreeMap<String, Worker>,
    peer_timeout: u64,
    environment: &mut dyn Environment,
) {
    for ((job, _), members) in gangs_on(workers) {
        let Some(facts) = environment.job(&job) else {
            continue;
        };
        let state = GangState::new(workers, &members, &facts, peer_timeout, environment);
        for (worker, name) in members {
            let Some(worker) = workers.get_mut(&worker) else {
                continue;
            };
            let Some(task) = worker.tasks.get_mut(&name) else {
                continue;
            };
            let before = task.phase;
            let completed = state.advance(task);
            let changed = task.phase != before;
            if completed {
                environment.on_task_done(&name);
            }
            if changed {
                worker.send_heartbeat_soon(state.now);
            }
        }
    }
}
