//! Placement of tasks on machines, and stopping of tasks.

use crate::model::{AttemptId, JobId, MachineId, Micros, Priority, SECOND, Shape, TaskId};
use crate::state::attempt::{Attempt, LiveAttempt};
use crate::state::cluster::Cluster;
use crate::state::job::Job;

/// Margin added to a task's own save time when the task is preempted.
const SAVE_MARGIN: Micros = 2 * SECOND;
/// Number of count bits in an attempt number without a time: the term is above them, the count is in them.
const ATTEMPT_COUNT_BITS: u32 = 24;

impl Cluster {
    /// Tells one attempt to stop. A shorter grace period replaces a longer one.
    pub(crate) fn stop_attempt(&mut self, machine: &MachineId, id: &AttemptId, grace: Micros) {
        let Some(machine) = self.machines.get_mut(machine) else {
            return;
        };
        machine.worker.heartbeat_digest = None;
        if let Some(attempt) = machine.attempts.get_mut(id) {
            let shortest = attempt.stop_grace.map_or(grace, |known| known.min(grace));
            attempt.stop_grace = Some(shortest);
        }
    }

    /// Stops a task so that it saves its progress if it can. A gang is stopped as a whole, and only once.
    pub fn preempt(&mut self, job_id: &JobId, index: u32) {
        let Some(job) = self.jobs.get_mut(job_id) else {
            return;
        };
        let saves_progress = job.spec.checkpoint_interval > 0;
        let grace = match saves_progress {
            true => job.spec.save_time + SAVE_MARGIN,
            false => 0,
        };
        let targets: Vec<u32> = match &mut job.tasks.gang_attempt {
            Some(gang) if gang.stopping => return,
            Some(gang) => {
                gang.stopping = true;
                job.tasks.live_attempts.keys().copied().collect()
            }
            None => vec![index],
        };
        let live_attempts = &job.tasks.live_attempts;
        let live: Vec<_> = targets
            .into_iter()
            .filter_map(|index| Some((index, live_attempts.get(&index)?.clone())))
            .collect();
        for (index, live) in live {
            let attempt = AttemptId::new(job_id.clone(), index, live.number);
            self.stop_attempt(&live.machine, &attempt, grace);
        }
    }

    /// Preempts the tasks on a machine that can move to another machine without losing progress: tasks that save their
    /// progress, and service tasks. Of a gang that has not started, only the tasks on this machine move, so that the
    /// other tasks keep their fetches.
    pub fn drain_machine(&mut self, id: &MachineId) {
        let Some(machine) = self.machines.get(id) else {
            return;
        };
        let running = machine
            .attempts
            .iter()
            .filter(|(_, attempt)| attempt.holds_capacity && attempt.stop_grace.is_none());
        let attempts: Vec<AttemptId> = running.map(|(id, _)| id.clone()).collect();
        for attempt in attempts {
            let task = &attempt.task;
            let Some(job) = self.jobs.get(&task.job) else {
                continue;
            };
            if job.spec.checkpoint_interval == 0 && job.spec.shape != Shape::Service {
                continue;
            }
            let gang = job.tasks.gang_attempt.as_ref();
            if gang.is_some_and(|gang| !gang.running && !gang.stopping) {
                self.stop_attempt(id, &attempt, 0);
            } else {
                self.preempt(&task.job, task.index);
            }
        }
    }

    /// Places a task on a machine. The launch is sent with the response to the machine's next heartbeat; if the machine
    /// still holds an end of the same attempt, its worker has to forget the end first.
    pub fn place_task(&mut self, id: AttemptId, machine_id: &MachineId, now: Micros) {
        let held = self.machines.get(machine_id);
        let has_end = held
            .and_then(|machine| machine.attempts.get(&id))
            .is_some_and(|attempt| attempt.phase.is_ended());
        let usage_record = match has_end {
            true => None,
            false => self.open_usage_record(&id, machine_id, now),
        };
        let TaskId { job: job_id, index } = &id.task;
        let job = self.jobs.get_mut(job_id);
        let machine = self.machines.get_mut(machine_id);
        let (Some(job), Some(machine)) = (job, machine) else {
            return;
        };
        job.tasks.pending.remove(*index);
        let live_attempt = LiveAttempt {
            machine: machine_id.clone(),
            number: id.number,
        };
        job.tasks.live_attempts.insert(*index, live_attempt);
        job.request_watermark(*index + 1);
        job.scheduling.zone_wanted_since = None;
        self.watermarks.launch_rate.record_placed();
        let (team, resources) = (job.team, job.spec.resources);
        if job.effective_priority() >= Priority::High {
            machine.placement.high_priority_placed_at = Some(now);
        }
        machine.placement.use_reservation(job_id);
        machine.worker.heartbeat_digest = None;
        match machine.attempts.get_mut(&id) {
            Some(ended) if has_end => ended.place_again(resources, team),
            _ => {
                let attempt = Attempt::starting(resources, team, usage_record, now);
                machine.attempts.insert(id, attempt);
            }
        }
        self.adjust_usage(machine_id, team, resources, now);
    }

    /// Whether the launch of a task may be sent: starts of the job are not paused, and either its durable watermark
    /// covers the task or no successor relies on watermarks.
    pub fn may_launch(&self, job: &Job, index: u32) -> bool {
        let is_covered = index < job.persistence.durable_watermark;
        !self.are_starts_paused(job) && (is_covered || self.watermarks.not_required)
    }

    /// Whether no task of the job may be placed or launched now: a newer configuration than the known one may exist, or
    /// the job may be cancelled.
    pub fn are_starts_paused(&self, job: &Job) -> bool {
        self.starts_paused || self.announced_changes.is_held(&job.id)
    }

    /// Returns a number that no other attempt of the same task has, in this term or another.
    pub fn next_attempt_number(&mut self) -> u64 {
        if let Some(number) = self.timestamped_attempt_number() {
            return number;
        }
        self.attempts_started += 1;
        (self.term << ATTEMPT_COUNT_BITS) + self.attempts_started
    }
}
