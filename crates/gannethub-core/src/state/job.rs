//! Jobs as the leader keeps them: specification, tasks, scheduler state, and stored state.

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;

use super::attempt::{GangAttempt, LiveAttempt};
use super::downstream_demand::DownstreamDemand;
use super::failure_tracking::FailureTracking;
use crate::model::{JobId, JobSpec, Micros, Priority, SECOND, Shape, TaskSet};
use crate::saga::Saga;
use crate::wire::store::{JobRecord, decode_done_part};

/// Number of machines on which a job has to fail, without finishing a task on any, to be crash-looping.
const CRASH_LOOP_MACHINES: usize = 3;
/// Time for which a probe has to be due before a machine may be provisioned for it. Until then, the probe waits for
/// capacity that becomes free.
const PROBE_PROVISIONING_DELAY: Micros = 30 * SECOND;

/// A live job that waits for no other job, so its tasks may be placed.
#[derive(Debug)]
pub struct Job {
    pub id: JobId,
    /// The specification that placement uses: as submitted, but without spot machines where the policy forbids them.
    pub spec: Arc<JobSpec>,
    /// The specification as submitted by the user, which is the stored one.
    pub(crate) submitted_spec: Arc<JobSpec>,
    /// Index of the job's team in the settings.
    pub team: Option<usize>,
    /// Time of day at which the job was accepted. Deadlines are counted from this time.
    pub accepted_at: u64,
    /// Time of day at which the last upstream job was done. All times other than deadlines are counted from this
    /// time.
    pub ready_at: u64,
    /// Whether the user has cancelled the job. No task of a cancelled job is started.
    pub cancelled: bool,
    /// The job's own saga, with one element. [`Pipelines`](super::pipeline::Pipelines) holds the saga that the job
    /// shares with its downstream jobs.
    pub saga: Saga<u32>,
    /// Evidence from the failures of the job's tasks.
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
    /// Finished tasks. [`JobPersistence::durable_done`] is the durable part of them.
    pub done: TaskSet,
    /// Tasks that wait to be placed.
    pub pending: TaskSet,
    /// Tasks in `pending` that an earlier leader may have launched on a machine that has not confirmed this term yet.
    pub unconfirmed: TaskSet,
    /// The current attempt of every placed task.
    pub live_attempts: HashMap<u32, LiveAttempt>,
    /// The current attempt of a gang.
    pub gang_attempt: Option<GangAttempt>,
    /// Time for which tasks ran before they were stopped and saved, as far as this leader has observed, by task.
    pub saved_progress: HashMap<u32, Micros>,
    /// Backoff of tasks that have failed or were refused, until they are done.
    pub backoff: HashMap<u32, TaskBackoff>,
}

/// A pause before a task is placed again.
#[derive(Clone, Copy, Default, Debug)]
pub struct TaskBackoff {
    /// Earliest time at which the task is placed.
    pub until: Micros,
    /// Number of the task's failures.
    pub failures: u32,
}

/// State that the scheduler keeps about a job between passes.
#[derive(Debug, Default)]
pub struct JobScheduling {
    /// Demand of the downstream jobs.
    pub downstream_demand: Option<DownstreamDemand>,
    /// Whether all tasks that the team may run at once have been placed, which is logged once.
    pub fully_placed: bool,
    /// The shard to which the job is to be transferred.
    pub target_shard: Option<u32>,
    /// Whether the job was within its team's guarantee when the queue was last sorted.
    pub within_guarantee: bool,
    /// Whether gang placement has been tried for the job. It is tried again only in the rounds for all gangs.
    pub gang_placement_tried: bool,
    /// The provisioning plan's choice for a job whose tasks all have to be in one zone.
    pub planned_zone: Option<PlannedZone>,
    /// Time since which the job waits, beside capacity for some of its tasks, for the choice of the zone for all of them.
    pub zone_wanted_since: Option<Micros>,
    /// Time until which the job avoids some machines because its tasks have failed there.
    pub avoids_machines_until: Micros,
    /// Time at which other work was last preempted for the job.
    pub last_preemption_at: Option<Micros>,
    /// Time at which the last of the job's reservations expires. No capacity is reserved for the job after this time.
    pub reserved_until: Micros,
    /// Number of the last scheduling pass that found the job in the queue with tasks to place.
    pub last_queued_pass: u64,
}

impl JobScheduling {
    /// Returns the provisioning plan's choice of a zone, unless the choice has expired.
    pub fn current_zone_choice(&self, now: Micros) -> Option<&ZoneChoice> {
        let plan = self.planned_zone.as_ref();
        plan.filter(|plan| now < plan.expires_at)
            .map(|plan| &plan.choice)
    }
}

/// Choice of a zone for a job by the provisioning plan.
#[derive(Debug, Clone)]
pub struct PlannedZone {
    pub choice: ZoneChoice,
    /// Time after which placement no longer follows the choice.
    pub expires_at: Micros,
}

/// Where the tasks of a job find capacity if all of them have to be in one zone.
#[derive(Debug, Clone)]
pub enum ZoneChoice {
    /// The machines that are up or boot in this zone have capacity for the whole job in time.
    Zone(Arc<str>),
    /// A zone needs further machines, which the cloud may refuse.
    Undecided,
    /// No zone has capacity for the whole job in time.
    NoZone,
}

/// State of a job in the state service, and pending writes of the job.
#[derive(Debug)]
pub struct JobPersistence {
    /// Version of the stored record, which guards the next write.
    pub version: u64,
    /// Whether the version is unknown until the record has been read again, because the outcome of a write is unknown.
    pub version_unknown: bool,
    /// Whether a transaction with the job's record is in flight.
    pub(crate) write_in_flight: bool,
    /// Finished tasks that the state service holds. A worker may forget a completion only when the task is among
    /// them.
    pub durable_done: TaskSet,
    /// Parts of the set of finished tasks that have changed since they were written.
    pub(crate) dirty_parts: BTreeSet<u32>,
    /// Time since which a write has been pending.
    pub(crate) dirty_since: Option<Micros>,
    /// Whether the finished tasks of the first part are stored under a separate key because the record would be too
    /// large.
    pub(crate) overflow: bool,
    /// The launch watermark in the state service: tasks below it may be launched.
    pub durable_watermark: u32,
    /// The value to which the launch watermark is to be raised.
    pub requested_watermark: u32,
}

impl Job {
    /// Returns a job as described by its stored record. `possibly_launched`: tasks below this number may be on
    /// machines that have not confirmed this term yet.
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

    /// Whether all tasks of the job are done. Services are never finished.
    pub fn is_finished(&self) -> bool {
        self.spec.shape != Shape::Service && self.tasks.done.len() == self.spec.tasks
    }

    /// Returns the number of tasks that wait for a machine and are known to be on none.
    pub fn placeable_count(&self) -> usize {
        let JobTasks {
            pending,
            unconfirmed,
            ..
        } = &self.tasks;
        pending.len().saturating_sub(unconfirmed.len()) as usize
    }

    /// Whether none of the job's tasks has been launched and no launch is covered by a watermark: any shard owner can
    /// take such a job over.
    pub fn has_no_launches(&self) -> bool {
        self.persistence.durable_watermark == 0
            && self.persistence.requested_watermark == 0
            && self.tasks.live_attempts.is_empty()
            && self.tasks.done.is_empty()
    }

    /// Requests a launch watermark that covers all tasks below `task_count`. A gang is always covered as a whole.
    pub fn request_watermark(&mut self, task_count: u32) {
        let task_count = match self.spec.shape {
            Shape::Gang => self.spec.tasks,
            _ => task_count.min(self.spec.tasks),
        };
        let requested = &mut self.persistence.requested_watermark;
        *requested = (*requested).max(task_count);
    }

    /// Marks the job's record to be written again.
    pub fn mark_dirty(&mut self, now: Micros) {
        self.persistence.dirty_parts.insert(0);
        self.persistence.dirty_since.get_or_insert(now);
    }

    /// Returns the job's priority, or the priority of a downstream job if that priority is higher.
    pub fn effective_priority(&self) -> Priority {
        match &self.scheduling.downstream_demand {
            Some(demand) => demand.priority.max(self.spec.priority),
            None => self.spec.priority,
        }
    }

    /// Returns the number of the job's tasks that are placed.
    pub fn live_count(&self) -> u32 {
        self.tasks.live_attempts.len() as u32
    }

    /// Whether the job avoids machines on which its tasks have failed. What holds for the job's capacity then need not
    /// hold for similar jobs.
    pub fn avoids_machines(&self, now: Micros) -> bool {
        now < self.scheduling.avoids_machines_until
    }

    /// Whether the job seems to fail on every machine, most likely because of a user's mistake: the job has finished no
    /// task, and has failed on `CRASH_LOOP_MACHINES` machines or is crash-looping according to its stored record.
    pub fn is_crash_looping(&self) -> bool {
        let failures = &self.failure_tracking;
        self.tasks.done.is_empty()
            && (failures.known_crash_looping
                || failures.failed_machines.len() >= CRASH_LOOP_MACHINES)
    }

    /// Returns the number of tasks that the job's failures allow to be placed now: for a crash-looping job one probe
    /// at a time, or one whole gang.
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

    /// Returns the number of tasks for which machines may be provisioned. The next probe of a crash-looping job uses
    /// existing capacity. If the probe has found none for a long time, a machine may be provisioned for it, because
    /// otherwise the job could never be cleared.
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
    /// Returns the state in which all tasks that are not done are pending, and those below `possibly_launched`
    /// unconfirmed.
    fn new(task_count: u32, done: TaskSet, possibly_launched: u32) -> JobTasks {
        let mut pending = TaskSet::with_first(task_count);
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
