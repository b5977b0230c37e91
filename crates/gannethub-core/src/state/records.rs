//! Machines, attempts, gangs and jobs as the leader remembers them, and nothing that decides.

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::net::SocketAddrV4;
use std::sync::Arc;

use super::usage::Tab;
use crate::model::{JobId, JobSpec, Micros, Priority, Ranges, Resources, SECOND, Shape, TaskId};
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
pub enum Phase {
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
    pub phase: Phase,
    pub since: Micros,
    /// The worker has reported it.
    pub seen: bool,
    /// Told to stop, with this much time to save.
    pub stop: Option<Micros>,
    pub need: Resources,
    pub team: Option<usize>,
    /// It counts against its machine and its team.
    pub holds: bool,
    /// What is charged of it, where a ledger is kept.
    pub tab: Option<Box<Tab>>,
}

/// Room of a machine kept for so many tasks of a job. It lapses unless it is asked for again.
#[derive(Debug, Clone)]
pub struct Kept {
    pub job: JobId,
    pub tasks: i64,
    pub until: Micros,
}

#[derive(Debug)]
pub struct Machine {
    pub id: MachineId,
    pub flavor: Option<usize>,
    pub size: Resources,
    pub zone: Arc<str>,
    pub spot: bool,
    /// In its block's record, durably.
    pub recorded: bool,
    /// Its worker has seen this term's token.
    pub confirmed: bool,
    pub session: u64,
    pub seq: u64,
    /// No task of this session or an earlier one can be left.
    pub lost_session: u64,
    pub heard_at: Option<Micros>,
    /// The same of the report before that.
    pub heard_before: Option<Micros>,
    /// Reports between those two have not come.
    pub missed: bool,
    /// The last answer that could have renewed the worker's lease.
    pub answered_at: Micros,
    /// Where its worker takes commands.
    pub addr: Option<SocketAddrV4>,
    pub attempts: BTreeMap<(TaskId, u64), Attempt>,
    pub used: Resources,
    pub idle_since: Micros,
    pub known_since: Micros,
    /// When it was rented, as far as is known.
    pub rented_at: Micros,
    /// The worker has reported at all, so it is up.
    pub up: bool,
    /// It should have been up for long.
    pub late: bool,
    pub listed: bool,
    pub missed_lists: u32,
    pub notice: bool,
    pub deleting: bool,
    /// Its work is being moved elsewhere, so that it can be returned.
    pub leaving: bool,
    /// Not worth placing on: faulty, or of an unknown type.
    pub bad: bool,
    /// Jobs whose tasks have failed here since one last did well, and how often.
    pub failures: HashMap<JobId, u32>,
    pub images: HashSet<String>,
    /// Room that is being kept for a waiting job.
    pub kept: Option<Kept>,
    /// Work that will be released soon is planned here: it is not returned until then.
    pub awaited_until: Micros,
    pub refused_until: Micros,
    /// How many sessions in a row ended though their reports were answered: the answers do not arrive.
    pub unheard: u32,
    /// When work of high priority was last placed here.
    pub urgent_at: Option<Micros>,
    /// The tasks of the last report taken in, unless they have been told something since: a report
    /// of the same holds no news.
    pub digest: Option<u64>,
    /// Where it stands in [`Rooms`]: its shelf's number, and with how much free CPU, if it may be
    /// placed on.
    pub shelf: Option<usize>,
    pub open: Option<i64>,
}

impl Machine {
    pub fn free(&self) -> Resources {
        self.size - self.used
    }

    /// Its room once everything that was told to stop has gone.
    pub fn free_after_stops(&self) -> Resources {
        let mut free = self.free();
        let stopping = self
            .attempts
            .values()
            .filter(|a| a.holds && a.stop.is_some());
        stopping.for_each(|a| free += a.need);
        free
    }

    /// What is kept on it at this time.
    pub fn kept(&self, now: Micros) -> Option<&Kept> {
        self.kept.as_ref().filter(|k| k.until > now)
    }

    pub(crate) fn holds_any(&self) -> bool {
        self.attempts.values().any(|a| a.holds)
    }

    /// The session that its worker begins anew ended within a lease of a report that was answered. Reports that were
    /// held back and came together are no sign of that: what answers them is late.
    pub(crate) fn ended_unheard(&self, now: Micros, lease: Micros) -> bool {
        let (Some(last), Some(before)) = (self.heard_at, self.heard_before) else {
            return false;
        };
        now + SECOND < last + lease && now >= last + APART && last >= before + APART
    }

    /// Its worker has not got the answers to its reports, and nothing is planned there for a while.
    pub fn deaf(&self, now: Micros) -> bool {
        self.unheard > 0 && now < self.refused_until
    }

    /// Whether new tasks may be placed here now.
    pub fn usable(&self, now: Micros, report: Micros) -> bool {
        let fresh = self.heard_at.is_some_and(|t| now < t + 2 * report + SECOND);
        self.confirmed
            && self.recorded
            && fresh
            && !self.deleting
            && !self.leaving
            && !self.bad
            && !self.notice
            && self.flavor.is_some()
            && self.refused_until <= now
    }
}

#[derive(Debug)]
pub struct Gang {
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
    pub(crate) submitted: Arc<JobSpec>,
    pub team: Option<usize>,
    /// Time of day at acceptance: deadlines count from here ...
    pub at: u64,
    /// ... and everything else from here, when the last job that it waited for was done.
    pub ready: u64,
    /// What jobs that wait for it ask of it.
    pub pull: Option<Pull>,
    pub stamp: u64,
    pub done: Ranges,
    /// The part of `done` that the state service holds.
    pub flushed: Ranges,
    pub cancelled: bool,
    /// The job's own saga. [`Pipelines`] holds the one that it shares with what waits for it.
    pub saga: Saga<u32>,
    pub pending: Ranges,
    /// Those of `pending` that an earlier leader may have put on a machine which has not been heard yet.
    pub doubted: Ranges,
    /// Its mark as the state service holds it: tasks below it may be launched ...
    pub opened: u32,
    /// ... and what it is to be raised to.
    pub opening: u32,
    pub live: HashMap<u32, (MachineId, u64)>,
    pub gang: Option<Gang>,
    /// How long tasks ran before they were stopped and saved, as far as this leader has seen.
    pub progress: HashMap<u32, Micros>,
    /// Tasks that wait after a failure, and how often they failed.
    pub backoff: HashMap<u32, (Micros, u32)>,
    pub blame: Failing,
    pub(crate) dirty_parts: BTreeSet<u32>,
    pub(crate) dirty_since: Option<Micros>,
    /// Finished tasks of its first part are kept in a key of their own: its value has no room.
    pub(crate) outgrown: bool,
    pub(crate) writing: bool,
    /// Its version is unknown until it has been read again.
    pub unsure: bool,
    /// All that its team may run of it at once has been placed.
    pub placed: bool,
    /// The block that it is to go to.
    pub home: Option<u32>,
    /// It lay within its team's guarantee when the queue was last put in order.
    pub within: bool,
    /// Room has been gathered for it: from then on it is gathered with all others.
    pub gathered: bool,
    /// When other work was last stopped to make room for it.
    pub made_at: Option<Micros>,
    /// No room is kept for it after this.
    pub kept_until: Micros,
    /// The last pass that found it in the queue with work to place.
    pub queued: u64,
}

impl Job {
    pub fn finished(&self) -> bool {
        self.spec.shape != Shape::Service && self.done.len() == self.spec.tasks
    }

    /// How many of its tasks wait for a machine and are known to be on none.
    pub fn placeable(&self) -> usize {
        self.pending.len().saturating_sub(self.doubted.len()) as usize
    }

    /// None of its tasks has been launched, and none may be: any holder can take it.
    pub fn untouched(&self) -> bool {
        self.opened == 0 && self.opening == 0 && self.live.is_empty() && self.done.is_empty()
    }

    /// Its mark is to cover all tasks below `to`.
    pub fn open_to(&mut self, to: u32) {
        let to = if self.spec.shape == Shape::Gang {
            self.spec.tasks
        } else {
            to
        };
        self.opening = self.opening.max(to.min(self.spec.tasks));
    }

    /// Its record is to be written again.
    pub fn note(&mut self, now: Micros) {
        self.dirty_parts.insert(0);
        self.dirty_since.get_or_insert(now);
    }

    /// Its own priority, or that of a job that needs it.
    pub fn priority(&self) -> Priority {
        self.pull
            .as_ref()
            .map_or(self.spec.priority, |p| p.priority.max(self.spec.priority))
    }

    pub fn running(&self) -> u32 {
        self.live.len() as u32
    }
}

/// What a job's failures say of it.
#[derive(Debug, Default)]
pub struct Failing {
    /// Machines it has failed on.
    pub machines: HashSet<MachineId>,
    /// An earlier leader found it suspect.
    pub known: bool,
    /// Trials that failed since it became suspect, and when the next may begin.
    pub(crate) trials: u32,
    pub(crate) retry_at: Micros,
}

impl Failing {
    /// Of a job that an earlier leader found suspect, or not.
    pub fn new(known: bool) -> Failing {
        Failing {
            known,
            ..Failing::default()
        }
    }
}

impl Job {
    /// It fails wherever it runs: most likely its user's mistake.
    pub fn suspect(&self) -> bool {
        self.done.is_empty() && (self.blame.known || self.blame.machines.len() >= SUSPECT_AFTER)
    }

    /// How many of its tasks may be on machines at this time, as far as its failures go.
    pub fn trials(&self, now: Micros) -> i64 {
        match (self.suspect(), now >= self.blame.retry_at) {
            (false, _) => i64::MAX,
            (true, true) if self.spec.shape == Shape::Gang => i64::from(self.spec.tasks),
            (true, true) => 1,
            (true, false) => 0,
        }
    }

    /// How many of its tasks a machine may be rented for. A suspect job's next trial uses room that
    /// is there; only when none came free for long would it never be cleared without one.
    pub fn worth_renting(&self, now: Micros) -> i64 {
        if self.suspect() && now < self.blame.retry_at + OVERDUE {
            0
        } else {
            self.trials(now)
        }
    }
}

/// What jobs downstream ask of one upstream.
#[derive(Clone, Debug, PartialEq)]
pub struct Pull {
    pub priority: Priority,
    /// For each deadline objective: when this job has to be done, so that what is to run after it can
    /// meet the objective.
    pub due: Vec<Option<Due>>,
}

/// Times of day by which a job has to be done.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Due {
    /// If what comes after it takes as long as it may well take.
    pub by: u64,
    /// If that goes as fast as can be: later than this is too late for certain.
    pub last: u64,
}

impl Due {
    /// The same for a job whose own time, from its release to its end, lies before these.
    pub(crate) fn less(self, stage: Stage) -> Due {
        let by = self.by.saturating_sub(stage.likely);
        Due {
            by,
            last: self.last.saturating_sub(stage.least),
        }
    }

    pub(crate) fn first(self, other: Due) -> Due {
        Due {
            by: self.by.min(other.by),
            last: self.last.min(other.last),
        }
    }

    /// The time of day by which the job has to start, if that is not too late.
    pub fn start(self, stage: Stage, now: u64) -> Option<u64> {
        let due = self.less(stage);
        (due.last >= now).then(|| due.by.max(now))
    }
}

/// How long a job takes from its start to its end.
#[derive(Clone, Copy, Debug)]
pub struct Stage {
    pub likely: Micros,
    pub least: Micros,
}
