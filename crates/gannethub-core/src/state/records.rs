//! Machines, attempts, gangs and jobs as the leader remembers them, and nothing that decides.

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::net::SocketAddrV4;
use std::sync::Arc;

use super::usage::UsageRecord;
use crate::model::{JobId, JobSpec, Micros, Priority, Resources, SECOND, Shape, TaskId, TaskSet};
use crate::saga::Saga;
use crate::wire::worker::ExitReason;

/// A job that failed on so many machines, and did well on none, is suspect.
const SUSPECT_AFTER: usize = 3;
/// A trial that found no room for so long may have a machine rented.
const OVERDUE: Micros = 30 * SECOND;

/// Reports that came closer together than this may have been held back together.
const APART: Micros = 3 * SECOND;

pub type MachineId = Arc<str>;

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum AttemptPhase {
    /// Placed; the worker has not shown it yet.
    Starting,
    Fetching,
    Waiting,
    Running,
    Saving,
    Ended(ExitReason),
}

/// One start of a task, on one machine.
#[derive(Debug, Clone)]
pub struct Attempt {
    pub phase: AttemptPhase,
    pub phase_since: Micros,
    /// The worker has reported it.
    pub reported: bool,
    /// Told to stop, with this much time to save.
    pub stop_grace: Option<Micros>,
    pub resources: Resources,
    pub team: Option<usize>,
    /// It counts against its machine and its team.
    pub holds_capacity: bool,
    /// What is charged of it, where a ledger is kept.
    pub usage_record: Option<Box<UsageRecord>>,
}

/// Room of a machine kept for so many tasks of a job. It lapses unless it is asked for again.
#[derive(Debug, Clone)]
pub struct Reservation {
    pub job: JobId,
    pub tasks: i64,
    pub expires_at: Micros,
}

#[derive(Debug)]
pub struct Machine {
    pub id: MachineId,
    pub machine_type: Option<usize>,
    pub capacity: Resources,
    pub zone: Arc<str>,
    pub spot: bool,
    /// In its block's record, durably.
    pub recorded: bool,
    /// Its worker has seen this term's token.
    pub confirmed: bool,
    pub incarnation: u64,
    pub sequence: u64,
    /// No task of this session or an earlier one can be left.
    pub lost_incarnation: u64,
    pub last_heartbeat_at: Option<Micros>,
    /// The same of the report before that.
    pub previous_heartbeat_at: Option<Micros>,
    /// Reports between those two have not come.
    pub missed_heartbeats: bool,
    /// The last answer that could have renewed the worker's lease.
    pub last_answered_at: Micros,
    /// Where its worker takes commands.
    pub address: Option<SocketAddrV4>,
    pub attempts: BTreeMap<(TaskId, u64), Attempt>,
    pub used: Resources,
    pub idle_since: Micros,
    pub known_since: Micros,
    /// When it was rented, as far as is known.
    pub provisioned_at: Micros,
    /// The worker has reported at all, so it is up.
    pub is_up: bool,
    /// It should have been up for long.
    pub boot_overdue: bool,
    pub in_listing: bool,
    pub missed_listings: u32,
    pub preemption_notice: bool,
    pub deleting: bool,
    /// Its work is being moved elsewhere, so that it can be returned.
    pub draining: bool,
    /// Not worth placing on: faulty, or of an unknown type.
    pub quarantined: bool,
    /// Jobs whose tasks have failed here since one last did well, and how often.
    pub failures_by_job: HashMap<JobId, u32>,
    pub cached_images: HashSet<String>,
    /// Room that is being kept for a waiting job.
    pub reservation: Option<Reservation>,
    /// Work that will be released soon is planned here: it is not returned until then.
    pub planned_work_until: Micros,
    pub unschedulable_until: Micros,
    /// How many sessions in a row ended though their reports were answered: the answers do not arrive.
    pub unanswered_incarnations: u32,
    /// When work of high priority was last placed here.
    pub high_priority_placed_at: Option<Micros>,
    /// The tasks of the last report taken in, unless they have been told something since: a report
    /// of the same holds no news.
    pub heartbeat_digest: Option<u64>,
    /// Where it stands in [`Rooms`]: its shelf's number, and with how much free CPU, if it may be
    /// placed on.
    pub capacity_bucket: Option<usize>,
    pub indexed_free_cpu: Option<i64>,
}

impl Machine {
    pub fn free(&self) -> Resources {
        self.capacity - self.used
    }

    /// Its room once everything that was told to stop has gone.
    pub fn free_after_stops(&self) -> Resources {
        let mut free = self.free();
        let stopping = self
            .attempts
            .values()
            .filter(|a| a.holds_capacity && a.stop_grace.is_some());
        stopping.for_each(|a| free += a.resources);
        free
    }

    /// What is kept on it at this time.
    pub fn active_reservation(&self, now: Micros) -> Option<&Reservation> {
        self.reservation.as_ref().filter(|k| k.expires_at > now)
    }

    pub(crate) fn holds_capacity(&self) -> bool {
        self.attempts.values().any(|a| a.holds_capacity)
    }

    /// The session that its worker begins anew ended within a lease of a report that was answered. Reports that were
    /// held back and came together are no sign of that: what answers them is late.
    pub(crate) fn ended_unanswered(&self, now: Micros, lease: Micros) -> bool {
        let (Some(last), Some(before)) = (self.last_heartbeat_at, self.previous_heartbeat_at)
        else {
            return false;
        };
        now + SECOND < last + lease && now >= last + APART && last >= before + APART
    }

    /// Its worker has not got the answers to its reports, and nothing is planned there for a while.
    pub fn is_unanswered(&self, now: Micros) -> bool {
        self.unanswered_incarnations > 0 && now < self.unschedulable_until
    }

    /// Whether new tasks may be placed here now.
    pub fn is_schedulable(&self, now: Micros, report: Micros) -> bool {
        let fresh = self
            .last_heartbeat_at
            .is_some_and(|t| now < t + 2 * report + SECOND);
        self.confirmed
            && self.recorded
            && fresh
            && !self.deleting
            && !self.draining
            && !self.quarantined
            && !self.preemption_notice
            && self.machine_type.is_some()
            && self.unschedulable_until <= now
    }
}

#[derive(Debug)]
pub struct GangAttempt {
    pub attempt: u64,
    /// The attempt's own saga: its tasks are vital to it, it is not vital to its job.
    pub saga: Saga<u32>,
    pub running: bool,
    pub stopping: bool,
}

#[derive(Debug)]
pub struct Job {
    pub id: JobId,
    /// What placing goes by: as submitted, but for what policy forbids.
    pub spec: Arc<JobSpec>,
    pub(crate) submitted_spec: Arc<JobSpec>,
    pub team: Option<usize>,
    /// Time of day at acceptance: deadlines count from here ...
    pub accepted_at: u64,
    /// ... and everything else from here, when the last job that it waited for was done.
    pub ready_at: u64,
    /// What jobs that wait for it ask of it.
    pub downstream_demand: Option<DownstreamDemand>,
    pub version: u64,
    pub done: TaskSet,
    /// The part of `done` that the state service holds.
    pub durable_done: TaskSet,
    pub cancelled: bool,
    /// The job's own saga. [`Pipelines`] holds the one that it shares with what waits for it.
    pub saga: Saga<u32>,
    pub pending: TaskSet,
    /// Those of `pending` that an earlier leader may have put on a machine which has not been heard yet.
    pub unconfirmed: TaskSet,
    /// Its mark as the state service holds it: tasks below it may be launched ...
    pub durable_watermark: u32,
    /// ... and what it is to be raised to.
    pub requested_watermark: u32,
    pub live_attempts: HashMap<u32, (MachineId, u64)>,
    pub gang_attempt: Option<GangAttempt>,
    /// How long tasks ran before they were stopped and saved, as far as this leader has seen.
    pub saved_progress: HashMap<u32, Micros>,
    /// Tasks that wait after a failure, and how often they failed.
    pub backoff: HashMap<u32, (Micros, u32)>,
    pub failure_tracking: FailureTracking,
    pub(crate) dirty_parts: BTreeSet<u32>,
    pub(crate) dirty_since: Option<Micros>,
    /// Finished tasks of its first part are kept in a key of their own: its value has no room.
    pub(crate) overflow: bool,
    pub(crate) write_in_flight: bool,
    /// Its version is unknown until it has been read again.
    pub version_unknown: bool,
    /// All that its team may run of it at once has been placed.
    pub fully_placed: bool,
    /// The block that it is to go to.
    pub home_shard: Option<u32>,
    /// It lay within its team's guarantee when the queue was last put in order.
    pub within_guarantee: bool,
    /// Room has been gathered for it: from then on it is gathered with all others.
    pub gang_placement_tried: bool,
    /// When other work was last stopped to make room for it.
    pub preempted_for_at: Option<Micros>,
    /// No room is kept for it after this.
    pub reservable_until: Micros,
    /// The last pass that found it in the queue with work to place.
    pub last_queued_pass: u64,
}

impl Job {
    pub fn is_finished(&self) -> bool {
        self.spec.shape != Shape::Service && self.done.len() == self.spec.tasks
    }

    /// How many of its tasks wait for a machine and are known to be on none.
    pub fn placeable_count(&self) -> usize {
        self.pending.len().saturating_sub(self.unconfirmed.len()) as usize
    }

    /// None of its tasks has been launched, and none may be: any holder can take it.
    pub fn has_no_launches(&self) -> bool {
        self.durable_watermark == 0
            && self.requested_watermark == 0
            && self.live_attempts.is_empty()
            && self.done.is_empty()
    }

    /// Its mark is to cover all tasks below `to`.
    pub fn request_watermark(&mut self, to: u32) {
        let to = if self.spec.shape == Shape::Gang {
            self.spec.tasks
        } else {
            to
        };
        self.requested_watermark = self.requested_watermark.max(to.min(self.spec.tasks));
    }

    /// Its record is to be written again.
    pub fn mark_dirty(&mut self, now: Micros) {
        self.dirty_parts.insert(0);
        self.dirty_since.get_or_insert(now);
    }

    /// Its own priority, or that of a job that needs it.
    pub fn effective_priority(&self) -> Priority {
        self.downstream_demand
            .as_ref()
            .map_or(self.spec.priority, |p| p.priority.max(self.spec.priority))
    }

    pub fn live_count(&self) -> u32 {
        self.live_attempts.len() as u32
    }
}

/// What a job's failures say of it.
#[derive(Debug, Default)]
pub struct FailureTracking {
    /// Machines it has failed on.
    pub failed_machines: HashSet<MachineId>,
    /// An earlier leader found it suspect.
    pub known_crash_looping: bool,
    /// Trials that failed since it became suspect, and when the next may begin.
    pub(crate) failed_probes: u32,
    pub(crate) next_probe_at: Micros,
}

impl FailureTracking {
    /// Of a job that an earlier leader found suspect, or not.
    pub fn new(known_crash_looping: bool) -> FailureTracking {
        FailureTracking {
            known_crash_looping,
            ..FailureTracking::default()
        }
    }
}

impl Job {
    /// It fails wherever it runs: most likely its user's mistake.
    pub fn is_crash_looping(&self) -> bool {
        self.done.is_empty()
            && (self.failure_tracking.known_crash_looping
                || self.failure_tracking.failed_machines.len() >= SUSPECT_AFTER)
    }

    /// How many of its tasks may be on machines at this time, as far as its failures go.
    pub fn allowed_probes(&self, now: Micros) -> i64 {
        match (
            self.is_crash_looping(),
            now >= self.failure_tracking.next_probe_at,
        ) {
            (false, _) => i64::MAX,
            (true, true) if self.spec.shape == Shape::Gang => i64::from(self.spec.tasks),
            (true, true) => 1,
            (true, false) => 0,
        }
    }

    /// How many of its tasks a machine may be rented for. A suspect job's next trial uses room that
    /// is there; only when none came free for long would it never be cleared without one.
    pub fn tasks_worth_provisioning(&self, now: Micros) -> i64 {
        if self.is_crash_looping() && now < self.failure_tracking.next_probe_at + OVERDUE {
            0
        } else {
            self.allowed_probes(now)
        }
    }
}

/// What jobs downstream ask of one upstream.
#[derive(Clone, Debug, PartialEq)]
pub struct DownstreamDemand {
    pub priority: Priority,
    /// For each deadline objective: when this job has to be done, so that what is to run after it can
    /// meet the objective.
    pub deadlines: Vec<Option<Deadline>>,
}

/// Times of day by which a job has to be done.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Deadline {
    /// If what comes after it takes as long as it may well take.
    pub target: u64,
    /// If that goes as fast as can be: later than this is too late for certain.
    pub latest: u64,
}

impl Deadline {
    /// The same for a job whose own time, from its release to its end, lies before these.
    pub(crate) fn minus_stage(self, stage: StageDuration) -> Deadline {
        let by = self.target.saturating_sub(stage.expected);
        Deadline {
            target: by,
            latest: self.latest.saturating_sub(stage.minimum),
        }
    }

    pub(crate) fn earliest(self, other: Deadline) -> Deadline {
        Deadline {
            target: self.target.min(other.target),
            latest: self.latest.min(other.latest),
        }
    }

    /// The time of day by which the job has to start, if that is not too late.
    pub fn start_by(self, stage: StageDuration, now: u64) -> Option<u64> {
        let due = self.minus_stage(stage);
        (due.latest >= now).then(|| due.target.max(now))
    }
}

/// How long a job takes from its start to its end.
#[derive(Clone, Copy, Debug)]
pub struct StageDuration {
    pub expected: Micros,
    pub minimum: Micros,
}
