//! Jobs as the leader remembers them: specification, tasks, what the scheduler keeps, and what is stored of them.

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;

use super::attempt::{GangAttempt, LiveAttempt};
use super::deadline::DownstreamDemand;
use super::failure_tracking::FailureTracking;
use crate::model::{JobId, JobSpec, Micros, Priority, SECOND, Shape, TaskSet};
use crate::saga::Saga;
use crate::wire::store::{JobRecord, decode_done_part};

/// A job that failed on so many machines and finished nothing on any is crash looping.
const CRASH_LOOP_MACHINES: usize = 3;
/// A probe that found no free capacity for so long may have a machine provisioned.
const PROBE_PROVISIONING_DELAY: Micros = 30 * SECOND;

/// A live job that waits for no other, so its tasks may be placed.
#[derive(Debug)]
pub struct Job {
    pub id: JobId,
    /// What placing goes by: as submitted, but without spot machines where policy forbids them.
    pub spec: Arc<JobSpec>,
    /// As its user submitted it, which is what is stored.
    pub(crate) submitted_spec: Arc<JobSpec>,
    /// Index of its team in the settings.
    pub team: Option<usize>,
    /// Time of day at which it was accepted: deadlines count from here.
    pub accepted_at: u64,
    /// Time of day from which everything else counts: when the last job that it waited for was done.
    pub ready_at: u64,
    /// Its user has cancelled it. Nothing of it starts from then on.
    pub cancelled: bool,
    /// The job's own saga, with one element. [`Pipelines`](super::pipeline::Pipelines) holds the one that it
    /// shares with the jobs that wait for it.
    pub saga: Saga<u32>,
    /// What the failures of its tasks say about it.
    pub failure_tracking: FailureTracking,
    pub tasks: JobTasks,
    pub scheduling: JobScheduling,
    pub persistence: JobPersistence,
}

/// The state of a job's tasks.
///
/// Every task of a job that is not cancelled is done, pending or live. A task in `unconfirmed` is pending as well.
#[derive(Debug)]
pub struct JobTasks {
    /// Finished tasks. What of it is durable is [`JobPersistence::durable_done`].
    pub done: TaskSet,
    /// Tasks that wait to be placed.
    pub pending: TaskSet,
    /// Those of `pending` that an earlier leader may have launched on a machine which has not confirmed this term
    /// yet.
    pub unconfirmed: TaskSet,
    /// The attempt of every task that is placed.
    pub live_attempts: HashMap<u32, LiveAttempt>,
    /// The current attempt of a gang.
    pub gang_attempt: Option<GangAttempt>,
    /// How long tasks ran before they were stopped and saved, as far as this leader has seen.
    pub saved_progress: HashMap<u32, Micros>,
    /// Tasks that have failed or were refused, until they are done.
    pub backoff: HashMap<u32, TaskBackoff>,
}

/// A pause before a task is placed again.
#[derive(Clone, Copy, Default, Debug)]
pub struct TaskBackoff {
    /// The task is not placed before this time.
    pub until: Micros,
    /// How often it has failed.
    pub failures: u32,
}

/// What the scheduler remembers about a job from one pass to the next.
#[derive(Debug, Default)]
pub struct JobScheduling {
    /// What the jobs that wait for it ask of it.
    pub downstream_demand: Option<DownstreamDemand>,
    /// All that its team may run of it at once has been placed, which is logged once.
    pub fully_placed: bool,
    /// The shard that it is to be transferred to.
    pub home_shard: Option<u32>,
    /// It was within its team's guarantee when the queue was last put in order.
    pub within_guarantee: bool,
    /// Gang placement has been tried for it: from then on it is tried in the rounds for all gangs.
    pub gang_placement_tried: bool,
    /// When other work was last preempted for it.
    pub preempted_for_at: Option<Micros>,
    /// When the last of its reservations expires: no capacity is reserved for it after that.
    pub reserved_until: Micros,
    /// The last scheduling pass that found it in the queue with tasks to place.
    pub last_queued_pass: u64,
}

/// What the state service holds of a job, and what is to be written of it.
#[derive(Debug)]
pub struct JobPersistence {
    /// Version of the stored record, which guards the next write.
    pub version: u64,
    /// Its version is unknown until the record has been read again, as a write had no clear answer.
    pub version_unknown: bool,
    /// A transaction with its record is on its way.
    pub(crate) write_in_flight: bool,
    /// The finished tasks that the state service holds. A worker may forget a completion only when it is among them.
    pub durable_done: TaskSet,
    /// Parts of the set of finished tasks that have changed since they were written.
    pub(crate) dirty_parts: BTreeSet<u32>,
    /// Since when there has been something to write.
    pub(crate) dirty_since: Option<Micros>,
    /// The finished tasks of its first part are stored under a key of their own, as its record would be too large.
    pub(crate) overflow: bool,
    /// The launch watermark that the state service holds: tasks below it may be launched.
    pub durable_watermark: u32,
    /// What the launch watermark is to be raised to.
    pub requested_watermark: u32,
}

impl Job {
    /// A job as its stored record shows it. `possibly_launched`: tasks below this number may be on machines that
    /// have not confirmed this term yet.
    pub fn from_record(
        id: JobId,
        record: JobRecord,
        version: u64,
        team: Option<usize>,
        possibly_launched: u32,
    ) -> Job {
        let watermark = record.effective_watermark();
        let mut done = TaskSet::default();
        decode_done_part(&record.done, 0, &mut done);
        let spec = Arc::new(record.spec);
        Job {
            id,
            submitted_spec: spec.clone(),
            team,
            accepted_at: record.accepted_at,
            ready_at: record.ready_at.unwrap_or(record.accepted_at),
            cancelled: false,
            saga: Saga::independent(1),
            failure_tracking: FailureTracking::new(record.crash_looping),
            tasks: JobTasks::new(spec.tasks, done.clone(), possibly_launched),
            scheduling: JobScheduling::default(),
            persistence: JobPersistence::new(version, done, watermark),
            spec,
        }
    }

    /// Whether all its tasks are done. Services never are.
    pub fn is_finished(&self) -> bool {
        self.spec.shape != Shape::Service && self.tasks.done.len() == self.spec.tasks
    }

    /// How many of its tasks wait for a machine and are known to be on none.
    pub fn placeable_count(&self) -> usize {
        let JobTasks {
            pending,
            unconfirmed,
            ..
        } = &self.tasks;
        pending.len().saturating_sub(unconfirmed.len()) as usize
    }

    /// None of its tasks has been launched and no launch is covered by a watermark: any shard owner can take it over.
    pub fn has_no_launches(&self) -> bool {
        self.persistence.durable_watermark == 0
            && self.persistence.requested_watermark == 0
            && self.tasks.live_attempts.is_empty()
            && self.tasks.done.is_empty()
    }

    /// Asks for a launch watermark that covers all tasks below `task_count`. A gang is always covered whole.
    pub fn request_watermark(&mut self, task_count: u32) {
        let task_count = match self.spec.shape {
            Shape::Gang => self.spec.tasks,
            _ => task_count.min(self.spec.tasks),
        };
        let requested = &mut self.persistence.requested_watermark;
        *requested = (*requested).max(task_count);
    }

    /// Its record is to be written again.
    pub fn mark_dirty(&mut self, now: Micros) {
        self.persistence.dirty_parts.insert(0);
        self.persistence.dirty_since.get_or_insert(now);
    }

    /// Its own priority, or that of a job that waits for it if that is higher.
    pub fn effective_priority(&self) -> Priority {
        match &self.scheduling.downstream_demand {
            Some(demand) => demand.priority.max(self.spec.priority),
            None => self.spec.priority,
        }
    }

    /// How many of its tasks are placed.
    pub fn live_count(&self) -> u32 {
        self.tasks.live_attempts.len() as u32
    }

    /// Whether it fails wherever it runs, most likely by its user's mistake.
    pub fn is_crash_looping(&self) -> bool {
        let failures = &self.failure_tracking;
        self.tasks.done.is_empty()
            && (failures.known_crash_looping
                || failures.failed_machines.len() >= CRASH_LOOP_MACHINES)
    }

    /// How many of its tasks may be placed at this time, as far as its failures go: one probe at a time, or one
    /// whole gang, of a job that is crash looping.
    pub fn allowed_probes(&self, now: Micros) -> i64 {
        if !self.is_crash_looping() {
            return i64::MAX;
        }
        if now < self.failure_tracking.next_probe_at {
            return 0;
        }
        match self.spec.shape {
            Shape::Gang => i64::from(self.spec.tasks),
            _ => 1,
        }
    }

    /// How many of its tasks a machine may be provisioned for. The next probe of a crash-looping job uses capacity
    /// that is there; only when none came free for long would it never be cleared without a new machine.
    pub fn tasks_worth_provisioning(&self, now: Micros) -> i64 {
        let provision_from = self.failure_tracking.next_probe_at + PROBE_PROVISIONING_DELAY;
        if self.is_crash_looping() && now < provision_from {
            0
        } else {
            self.allowed_probes(now)
        }
    }
}

impl JobTasks {
    /// The tasks of a job that are not done are pending; those below `possibly_launched` are unconfirmed.
    fn new(task_count: u32, done: TaskSet, possibly_launched: u32) -> JobTasks {
        let mut pending = TaskSet::up_to(task_count);
        done.iter().for_each(|index| {
            pending.remove(index);
        });
        JobTasks {
            done,
            unconfirmed: pending.slice(0, possibly_launched),
            pending,
            live_attempts: HashMap::new(),
            gang_attempt: None,
            saved_progress: HashMap::new(),
            backoff: HashMap::new(),
        }
    }
}

impl JobPersistence {
    fn new(version: u64, durable_done: TaskSet, watermark: u32) -> JobPersistence {
        JobPersistence {
            version,
            version_unknown: false,
            write_in_flight: false,
            durable_done,
            dirty_parts: BTreeSet::new(),
            dirty_since: None,
            overflow: false,
            durable_watermark: watermark,
            requested_watermark: watermark,
        }
    }
}
