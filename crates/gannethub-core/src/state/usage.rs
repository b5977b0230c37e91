//! The leader's side of the ledger: which attempts are charged, and to whom.
//!
//! What charges, writes and decays is [`gannethub_ledger`]; here the cluster's events meet it. Without a ledger
//! every call of this module does nothing.

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::sync::Arc;

use gannethub_ledger::book::{Book, Damaged, Head, Key};
use gannethub_ledger::line::{Body, Common, Entry, Gap, Need, Reason, Took, Worth};
use gannethub_ledger::meter::{Meter, News, Reading, Spent, Stage};

use super::cluster::Cluster;
use super::usage_replica::{ReplicatedRecord, UsageReplica};
use crate::model::MachineId;
use crate::model::{JobId, Micros, Resources, SECOND, Shape, TaskId};
use crate::state::attempt::AttemptPhase;
use crate::state::job::Job;
use crate::state::machine::Machine;
use crate::wire::peer::{AttemptKey, OpenUsageRecord, UsageOwner, UsageRecords};
use crate::wire::store::{JobOwner, VALUE_SLACK_BYTES, ledger_page_key};
use crate::wire::worker::ExitReason;

/// Attempt numbers with a time in them: the term above, milliseconds since [`EPOCH`] below.
const TIME_BITS: u32 = 42;
/// Terms above this leave no room for a time.
const MOST_TERMS: u64 = 1 << 21;
/// The start of 2020, in milliseconds since 1970.
const EPOCH: u64 = 1_577_836_800_000;
/// More ended attempts than this are not kept in a worker's report: it has to stay below 64 KiB.
const MOST_ENDED: usize = 200;
/// An owner that could not be read is asked for again after this time.
const ASK_AGAIN: Micros = 3 * SECOND;
const MOST_ASKED: usize = 5;
/// A worker that gets no answer sends its next report after this time.
const LOST_ANSWER: Micros = 5 * SECOND;
/// Work under way is added up this often.
const SHARES_EVERY: Micros = SECOND;

/// Tabs in one message to a sibling: keeps it below its limit.
const TABS_EACH: usize = 400;
/// In the order in which siblings number them.
const REASONS: [Reason; 12] = [
    Reason::Done,
    Reason::Stopped,
    Reason::PeersGone,
    Reason::Alone,
    Reason::Error,
    Reason::NoRoom,
    Reason::Busy,
    Reason::Unknown,
    Reason::Other,
    Reason::Missing,
    Reason::Lease,
    Reason::Machine,
];

/// What is charged of one attempt.
#[derive(Debug, Clone)]
pub struct UsageRecord {
    pub meter: Meter,
    /// Not known of an attempt whose job is over and that this leader did not start.
    owner: Option<Arc<JobOwner>>,
    charged: Charged,
    /// Its worker says that its progress was saved.
    pub saved: bool,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Charged {
    Open,
    /// Its end is known, whose it was is not yet.
    Unowned,
    Ticket(u64),
    /// By an earlier leader.
    Before,
}

/// The type, zone and kind of a machine, and its price an hour in millionths.
type Kind = (String, String, bool, u64);

/// An attempt's end.
#[derive(Debug, Clone)]
struct End {
    key: (TaskId, u64),
    machine: MachineId,
    kind: Kind,
    reading: Reading,
    /// The same on this process's clock.
    at: Micros,
    /// Time of day when its place came free.
    end: Micros,
    reason: Reason,
    saved: bool,
}

/// An attempt that an earlier leader told of, and that no worker has shown since.
#[derive(Debug)]
struct Ghost {
    tab: UsageRecord,
    kind: Kind,
    session: u64,
    /// When it was last told of, and how long that had been on its way.
    told_at: Micros,
    late: Micros,
}

/// A leader's ledger.
#[derive(Debug)]
pub struct UsageLedger {
    pub book: Book,
    /// Attempts that earlier leaders charged, as far as they may be met again.
    before: HashSet<Key>,
    unowned: BTreeMap<JobId, Vec<End>>,
    /// Ends that are charged and not in writing yet, by their tickets.
    ends: BTreeMap<u64, (Arc<JobOwner>, End)>,
    ghosts: BTreeMap<MachineId, BTreeMap<(TaskId, u64), Ghost>>,
    /// What an earlier leader had charged, and this one wrote down.
    inherited: HashMap<Key, u64>,
    /// What siblings are to be told of.
    changed: BTreeSet<(MachineId, (TaskId, u64))>,
    /// Launches among that are going out now.
    urgent: bool,
    ended: Vec<u64>,
    closed: Vec<AttemptKey>,
    told: Vec<Sent>,
    /// When owners were asked for.
    asked: HashMap<JobId, Micros>,
    /// The copy that this leader took over was complete.
    complete: bool,
    gaps: HashSet<MachineId>,
    last_number: u64,
    /// Each team's part of all usage, and that part over what it is due, in the settings' order of teams.
    shares: Vec<(f64, f64)>,
    shares_at: Option<Micros>,
}

/// Whom a job's attempts are charged to.
pub(crate) fn job_owner(job: &Job) -> JobOwner {
    JobOwner {
        team: job.spec.team.clone(),
        class: job.spec.class.clone(),
        resources: job.spec.need,
        is_service: job.spec.shape == Shape::Service,
    }
}

/// How far a sibling has been told.
#[derive(Debug, Clone, Default)]
struct Sent {
    seq: u64,
    /// It is to be told all again.
    all: bool,
}

fn stage(phase: AttemptPhase) -> Stage {
    match phase {
        AttemptPhase::Starting => Stage::Starting,
        AttemptPhase::Fetching => Stage::Fetching,
        AttemptPhase::Waiting => Stage::Waiting,
        AttemptPhase::Running => Stage::Running,
        AttemptPhase::Saving => Stage::Saving,
        // What it did before it was found is put down to what it most likely did last.
        AttemptPhase::Ended(ExitReason::NoRoom | ExitReason::Busy | ExitReason::Unknown) => {
            Stage::Starting
        }
        AttemptPhase::Ended(ExitReason::Alone) => Stage::Waiting,
        AttemptPhase::Ended(_) => Stage::Running,
    }
}

/// Why an attempt that its worker reports as ended did so.
pub fn end_reason(why: ExitReason) -> Reason {
    match why {
        ExitReason::Done => Reason::Done,
        ExitReason::Stopped => Reason::Stopped,
        ExitReason::PeersGone => Reason::PeersGone,
        ExitReason::Alone => Reason::Alone,
        ExitReason::Error => Reason::Error,
        ExitReason::NoRoom => Reason::NoRoom,
        ExitReason::Busy => Reason::Busy,
        ExitReason::Unknown => Reason::Unknown,
        ExitReason::Other => Reason::Other,
    }
}

/// A page that is not as it was written is left as it is, and the service goes on.
pub(crate) fn log_damaged_page(page: Damaged) {
    let key = ledger_page_key(page.0);
    tracing::error!(
        key,
        "a page of the ledger is not as it was written; it is kept"
    );
}

impl Cluster {
    /// Begins to keep the ledger, after what the state service holds of it.
    pub fn open_usage_ledger(
        &mut self,
        head: Option<Head>,
        pages: &[(gannethub_ledger::audit::Page, u64)],
        shadow: &mut UsageReplica,
        now: Micros,
    ) {
        let Some(setup) = self.settings.ledger.clone() else {
            return;
        };
        let limit = self.settings.value_bytes - VALUE_SLACK_BYTES;
        let window = Book::window(self.settings.lease, &setup.settings);
        let opened = Book::open(setup.settings, setup.keys, limit, window, head, pages);
        opened.damaged.into_iter().for_each(log_damaged_page);
        self.usage_ledger = Some(Box::new(UsageLedger {
            book: opened.book,
            before: opened.charged,
            unowned: BTreeMap::new(),
            ends: BTreeMap::new(),
            ghosts: BTreeMap::new(),
            inherited: HashMap::new(),
            changed: BTreeSet::new(),
            urgent: false,
            ended: Vec::new(),
            closed: Vec::new(),
            told: vec![Sent { seq: 0, all: true }; self.settings.siblings.len()],
            complete: false,
            asked: HashMap::new(),
            gaps: HashSet::new(),
            last_number: 0,
            shares: Vec::new(),
            shares_at: None,
        }));
        let (tabs, complete) = shadow.take_records(self.term - 1);
        self.inherit(tabs, now);
        let (term, holder) = (self.term, self.settings.name.clone());
        let took = Took {
            term,
            holder,
            at: self.unix_time,
            complete,
        };
        if let Some(ledger) = &mut self.usage_ledger {
            ledger.complete = complete;
            ledger.book.note(Body::Took(took), now);
        }
    }

    /// Goes on with what the leader before this one had not in writing, as far as it told.
    fn inherit(&mut self, tabs: Vec<ReplicatedRecord>, now: Micros) {
        for ReplicatedRecord {
            record: t,
            received_at: told_at,
            transit_time: late,
            current_until: until,
        } in tabs
        {
            let Some(k) = &t.key else { continue };
            let name = (k.job.clone(), k.task, k.attempt, k.machine.clone());
            let known = self
                .usage_ledger
                .as_ref()
                .is_none_or(|l| l.before.contains(&name));
            let Some(reading) = reading_of(&t).filter(|_| !known) else {
                continue;
            };
            let key = (
                TaskId {
                    job: k.job.as_str().into(),
                    index: k.task,
                },
                k.attempt,
            );
            let machine: MachineId = k.machine.as_str().into();
            let owner = t.owner.as_ref().map(|o| Arc::new(read_owner(o)));
            let kind = (t.machine_type.clone(), t.zone.clone(), t.spot, t.price);
            if let Some(reason) = REASONS.get((t.end_reason as usize).wrapping_sub(1)) {
                let at = told_at.saturating_sub(t.end_age);
                // The process may be younger than that end.
                let ago = now
                    .saturating_sub(told_at)
                    .saturating_add(t.end_age)
                    .saturating_add(late);
                let end = self.time_of_day(now).saturating_sub(ago);
                let (reason, saved) = (*reason, t.saved);
                let end = End {
                    key,
                    machine,
                    kind,
                    reading,
                    at,
                    end,
                    reason,
                    saved,
                };
                if let Some(ticket) = self.charge_end(owner, end, now)
                    && let Some(ledger) = &mut self.usage_ledger
                {
                    ledger.inherited.insert(name, ticket);
                }
                continue;
            }
            let Some(stage) = Stage::from_index(t.stage as usize) else {
                continue;
            };
            let mut spent = reading.spent;
            spent.0[stage.index()] += t.stage_age;
            let meter = Meter {
                stage,
                since: told_at,
                // Whether its launch went out was not told.
                sent: Some((told_at.saturating_sub(t.stage_age), told_at)),
                spent,
                // The machine may have been lost before its leader was, which did not know it yet.
                unsure: t.begin_uncertainty + until - told_at,
                guessed: t.begin_estimated,
            };
            let tab = UsageRecord {
                meter,
                owner,
                charged: Charged::Open,
                saved: t.saved,
            };
            let ghost = Ghost {
                tab,
                kind,
                session: t.incarnation,
                told_at: until,
                late,
            };
            let Some(ledger) = &mut self.usage_ledger else {
                return;
            };
            ledger.changed.insert((machine.clone(), key.clone()));
            ledger.ghosts.entry(machine).or_default().insert(key, ghost);
        }
    }

    /// Charges an end to its owner, or keeps it until that is known.
    fn charge_end(&mut self, owner: Option<Arc<JobOwner>>, end: End, now: Micros) -> Option<u64> {
        let job = || {
            self.jobs
                .get(&end.key.0.job)
                .map(|j| Arc::new(job_owner(j)))
        };
        let owner = owner.or_else(job);
        let ledger = self.usage_ledger.as_mut()?;
        let Some(owner) = owner else {
            ledger
                .changed
                .insert((end.machine.clone(), end.key.clone()));
            ledger
                .unowned
                .entry(end.key.0.job.clone())
                .or_default()
                .push(end);
            return None;
        };
        let ticket = ledger.book.charge_to(&owner, &end, now);
        ledger.ends.insert(ticket, (owner, end));
        ledger.ended.push(ticket);
        Some(ticket)
    }

    /// Ghosts of a machine that are not on it any more are charged: all, or those that `gone` says of.
    fn settle_ghosts(
        &mut self,
        id: &MachineId,
        reason: Reason,
        now: Micros,
        likely: Micros,
        gone: impl Fn(&(TaskId, u64), &Ghost) -> bool,
    ) {
        let Some(ledger) = &mut self.usage_ledger else {
            return;
        };
        let Some(ghosts) = ledger.ghosts.remove(id) else {
            return;
        };
        let (over, left): (BTreeMap<_, _>, BTreeMap<_, _>) = ghosts
            .into_iter()
            .partition(|(key, ghost)| gone(key, ghost));
        if !left.is_empty() {
            ledger.ghosts.insert(id.clone(), left);
        }
        let end = self.time_of_day(now);
        for (key, ghost) in over {
            // Whenever it ended, that was not seen.
            let news = News::Silence {
                heard: Some(ghost.told_at),
                likely,
            };
            let reading = ghost.tab.meter.end(now, news).quiet(ghost.late);
            let (machine, kind, saved) = (id.clone(), ghost.kind, ghost.tab.saved);
            let end = End {
                key,
                machine,
                kind,
                reading,
                at: now,
                end,
                reason,
                saved,
            };
            self.charge_end(ghost.tab.owner, end, now);
        }
    }

    /// A worker has shown all that it holds to this leader for the first time.
    pub(crate) fn charge_orphans_not_shown(&mut self, id: &MachineId, session: u64, now: Micros) {
        let known = self
            .usage_ledger
            .as_ref()
            .is_some_and(|l| l.ghosts.contains_key(id));
        if !known {
            return;
        }
        // The machine is alive: what it had was lost when the lease ran out.
        let (lease, report) = (self.settings.lease, self.settings.report);
        self.settle_ghosts(id, Reason::Lease, now, lease, |_, g| g.session != session);
        self.settle_ghosts(id, Reason::Missing, now, report / 2, |_, _| true);
    }

    /// A machine is gone, or its worker's lease is over.
    pub(crate) fn charge_orphans(&mut self, id: &MachineId, reason: Reason, now: Micros) {
        let likely = self.settings.report / 2;
        self.settle_ghosts(id, reason, now, likely, |_, _| true);
    }

    /// Ghosts of machines that are not there any more, once nothing of an earlier term can be left.
    pub(crate) fn charge_orphans_of_lost_machines(&mut self, now: Micros) {
        if now <= self.takeover.at + self.lease_expiry_bound() {
            return;
        }
        let Some(ledger) = &self.usage_ledger else {
            return;
        };
        let lost = ledger
            .ghosts
            .keys()
            .filter(|id| !self.machines.contains_key(*id));
        let lost: Vec<MachineId> = lost.cloned().collect();
        lost.iter()
            .for_each(|id| self.charge_orphans(id, Reason::Machine, now));
    }

    /// The transaction with the ledger's page was carried out.
    pub(crate) fn usage_page_written(&mut self, tickets: Vec<u64>) {
        let Some(ledger) = &mut self.usage_ledger else {
            return;
        };
        for (_, end) in tickets.iter().filter_map(|t| ledger.ends.remove(t)) {
            ledger.closed.push(tab_key(&end.machine, &end.key));
        }
    }

    /// All that is not charged yet, or not in writing.
    pub fn all_usage_records(&self, now: Micros) -> Vec<OpenUsageRecord> {
        let Some(ledger) = &self.usage_ledger else {
            return Vec::new();
        };
        let placed = self.machines.iter().flat_map(|(id, m)| {
            m.attempts
                .iter()
                .filter_map(|(k, a)| self.open_tab(id, k, a.usage_record.as_deref()?, now))
        });
        let ghosts = ledger
            .ghosts
            .iter()
            .flat_map(|(id, g)| g.keys().filter_map(|k| self.told_tab(id, k, now)));
        let ends = ledger
            .ends
            .values()
            .map(|(o, e)| end_tab(Some(&**o), e, now));
        let unowned = ledger
            .unowned
            .values()
            .flatten()
            .map(|e| end_tab(None, e, now));
        placed.chain(ghosts).chain(ends).chain(unowned).collect()
    }

    /// What has changed since siblings were last told.
    fn new_tabs(&self, now: Micros) -> Vec<OpenUsageRecord> {
        let Some(ledger) = &self.usage_ledger else {
            return Vec::new();
        };
        let changed = ledger
            .changed
            .iter()
            .filter_map(|(id, key)| self.told_tab(id, key, now));
        let ended = ledger
            .ended
            .iter()
            .filter_map(|ticket| ledger.ends.get(ticket));
        changed
            .chain(ended.map(|(owner, end)| end_tab(Some(&**owner), end, now)))
            .collect()
    }

    /// What to tell each sibling of the ledger now.
    pub fn usage_messages(&mut self, now: Micros) -> Vec<(usize, UsageRecords)> {
        let (term, at) = (self.term, self.unix_time);
        let lagging = self
            .usage_ledger
            .as_ref()
            .is_some_and(|l| l.told.iter().any(|t| t.all));
        let all = if lagging {
            self.all_usage_records(now)
        } else {
            Vec::new()
        };
        let news = self.new_tabs(now);
        let Some(ledger) = &mut self.usage_ledger else {
            return Vec::new();
        };
        ledger.changed.clear();
        ledger.urgent = false;
        ledger.ended.clear();
        let closed = std::mem::take(&mut ledger.closed);
        let mut messages = Vec::new();
        for (sibling, told) in ledger.told.iter_mut().enumerate() {
            let (open, closed) = match told.all {
                true => (&all, &[][..]),
                false => (&news, &closed[..]),
            };
            let mut open = open.chunks(TABS_EACH);
            let mut closed = closed.chunks(4 * TABS_EACH);
            let count = open.len().max(closed.len()).max(usize::from(told.all));
            for n in 0..count {
                let open = open.next().unwrap_or_default().to_vec();
                let closed = closed.next().unwrap_or_default().to_vec();
                let (first, last) = (told.all && n == 0, told.all && n + 1 == count);
                let seq = told.seq;
                told.seq += 1;
                messages.push((
                    sibling,
                    UsageRecords {
                        term,
                        sequence: seq,
                        is_first: first,
                        is_last: last,
                        open_records: open,
                        closed_keys: closed,
                        sent_at: at,
                    },
                ));
            }
            told.all = false;
        }
        messages
    }

    /// Launches go out that no sibling has been told of: one that is lost with its machine just after this leader
    /// would else be known to nobody, and a successor would take its copy for complete.
    pub fn has_urgent_usage(&self) -> bool {
        self.usage_ledger.as_ref().is_some_and(|l| l.urgent)
    }

    /// A sibling has missed something.
    pub fn resend_all_usage(&mut self, sibling: usize) {
        if let Some(told) = self
            .usage_ledger
            .as_mut()
            .and_then(|l| l.told.get_mut(sibling))
        {
            told.all = true;
        }
    }

    /// An attempt as siblings are told of it, unless it is charged: then its ticket tells.
    fn told_tab(
        &self,
        id: &MachineId,
        key: &(TaskId, u64),
        now: Micros,
    ) -> Option<OpenUsageRecord> {
        let ledger = self.usage_ledger.as_ref()?;
        let ended = |e: &&End| e.key == *key && e.machine == *id;
        if let Some(end) = ledger
            .unowned
            .get(&key.0.job)
            .and_then(|l| l.iter().find(ended))
        {
            return Some(end_tab(None, end, now));
        }
        if let Some(g) = ledger.ghosts.get(id).and_then(|g| g.get(key)) {
            let mut tab = g.tab.clone();
            tab.meter.wait(g.late);
            return Some(tab_of(id, key, &tab, &g.kind, g.session, now));
        }
        let attempt = self.machines.get(id).and_then(|m| m.attempts.get(key));
        self.open_tab(id, key, attempt?.usage_record.as_deref()?, now)
    }

    fn open_tab(
        &self,
        id: &MachineId,
        key: &(TaskId, u64),
        tab: &UsageRecord,
        now: Micros,
    ) -> Option<OpenUsageRecord> {
        let m = self
            .machines
            .get(id)
            .filter(|_| tab.charged == Charged::Open)?;
        Some(tab_of(
            id,
            key,
            tab,
            &self.kind(m),
            m.worker.incarnation,
            now,
        ))
    }

    fn kind(&self, m: &Machine) -> Kind {
        let flavor = m.machine_type.and_then(|f| self.machine_types.get(f));
        let name = flavor.map_or(String::new(), |f| f.name.to_string());
        let hourly = flavor.map_or(0.0, |f| f.price_of(m.spot));
        (name, m.zone.to_string(), m.spot, (hourly * 1e6) as u64)
    }

    /// The time of day at a time of the steady clock.
    fn time_of_day(&self, at: Micros) -> Micros {
        self.unix_time.saturating_sub(self.now.saturating_sub(at))
    }

    /// The number of a start now, if numbers tell the time of theirs.
    pub(crate) fn timestamped_attempt_number(&mut self) -> Option<u64> {
        let ms = (self.unix_time / 1000)
            .checked_sub(EPOCH)
            .filter(|ms| *ms < 1 << TIME_BITS)?;
        let term = self.term;
        let ledger = self.usage_ledger.as_mut().filter(|_| term < MOST_TERMS)?;
        // The clock may step back; a start must never get the number of an earlier one of its task.
        ledger.last_number = ledger.last_number.max((term << TIME_BITS) + ms);
        Some(ledger.last_number)
    }

    /// How long ago an attempt of another term began, and how far that may be off.
    fn age(&self, attempt: u64, ready: Micros) -> (Micros, Micros) {
        let off = self
            .settings
            .ledger
            .as_ref()
            .map_or(0, |l| l.settings.clock_off);
        let ms = attempt & ((1 << TIME_BITS) - 1);
        let at = (attempt >> TIME_BITS > 0).then_some((EPOCH + ms) * 1000);
        // A number of another make gives a time that cannot be.
        let at = at.filter(|at| *at <= self.unix_time + off && *at + off >= ready);
        match at {
            Some(at) => (self.unix_time.saturating_sub(at), off),
            None => (0, self.unix_time.saturating_sub(ready)),
        }
    }

    /// The tab of an attempt that is placed now.
    pub(crate) fn open_usage_record(
        &mut self,
        job: &JobId,
        index: u32,
        machine: &MachineId,
        attempt: u64,
        now: Micros,
    ) -> Option<Box<UsageRecord>> {
        let ledger = self.usage_ledger.as_mut()?;
        let job = self.jobs.get(job)?;
        let task = TaskId {
            job: job.id.clone(),
            index,
        };
        ledger.changed.insert((machine.clone(), (task, attempt)));
        let (owner, charged) = (Some(Arc::new(job_owner(job))), Charged::Open);
        Some(Box::new(UsageRecord {
            meter: Meter::placed(now),
            owner,
            charged,
            saved: false,
        }))
    }

    /// The tab of an attempt that another leader started, and that is found on a machine.
    pub(crate) fn adopt_usage_record(
        &mut self,
        id: &MachineId,
        key: &(TaskId, u64),
        phase: AttemptPhase,
    ) -> Option<Box<UsageRecord>> {
        let now = self.now;
        let job = self.jobs.get(&key.0.job);
        let (owner, ready) = (
            job.map(|j| Arc::new(job_owner(j))),
            job.map_or(0, |j| j.ready_at),
        );
        // Of a job that is over nobody knows here when it was released.
        let (age, unsure) = self.age(key.1, ready);
        let ended = matches!(phase, AttemptPhase::Ended(_));
        let session = self.machines.get(id).map_or(0, |m| m.worker.incarnation);
        let ledger = self.usage_ledger.as_mut()?;
        ledger.changed.insert((id.clone(), key.clone()));
        let name = (key.0.job.to_string(), key.0.index, key.1, id.to_string());
        let ghost = ledger.ghosts.get_mut(id).and_then(|g| g.remove(key));
        if let Some(ghost) = ghost.filter(|g| g.session == session) {
            let mut tab = ghost.tab;
            tab.meter.wait(ghost.late);
            if ended {
                // It may have ended at any time since it was told of: in the middle, on average.
                let open = now.saturating_sub(ghost.told_at);
                tab.meter.since = tab.meter.since.max(ghost.told_at + open / 2);
                tab.meter.unsure += open + ghost.late;
            } else if stage(phase) != tab.meter.stage {
                tab.meter.enter(stage(phase), now);
            }
            tab.owner = tab.owner.or(owner);
            return Some(Box::new(tab));
        }
        let charged = match ledger.inherited.get(&name) {
            Some(ticket) => Charged::Ticket(*ticket),
            // What was charged is over. One that goes on is a later start under the same number, as when a gang's
            // task was replaced where it had been.
            None if ended && ledger.before.contains(&name) => Charged::Before,
            None => Charged::Open,
        };
        // How long its launch took to reach the worker is not known: a report, or another after a lost answer.
        let unsure = unsure + 2 * self.settings.report + LOST_ANSWER;
        let (age, unsure) = if ended {
            (age / 2, unsure + age)
        } else {
            (age, unsure)
        };
        let meter = Meter::found(age, unsure, stage(phase), now);
        Some(Box::new(UsageRecord {
            meter,
            owner,
            charged,
            saved: false,
        }))
    }

    /// An attempt is in another phase than before.
    pub(crate) fn usage_phase_changed(
        &mut self,
        id: &MachineId,
        key: &(TaskId, u64),
        phase: AttemptPhase,
        now: Micros,
    ) {
        let Some(ledger) = self
            .usage_ledger
            .as_mut()
            .filter(|_| !matches!(phase, AttemptPhase::Ended(_)))
        else {
            return;
        };
        ledger.changed.insert((id.clone(), key.clone()));
        let attempt = self
            .machines
            .get_mut(id)
            .and_then(|m| m.attempts.get_mut(key));
        if let Some(tab) = attempt.and_then(|a| a.usage_record.as_mut()) {
            tab.meter.enter(stage(phase), now);
        }
    }

    /// Launches that wait on a machine go out with the answer to its report.
    pub(crate) fn launches_sent(&mut self, id: &MachineId, now: Micros) {
        let Some(m) = self.machines.get(id) else {
            return;
        };
        let goes = |(t, _): &&(TaskId, u64)| {
            self.jobs
                .get(&t.job)
                .is_some_and(|j| self.may_launch(j, t.index))
        };
        let starting = m
            .attempts
            .iter()
            .filter(|(_, a)| a.phase == AttemptPhase::Starting);
        let sent: Vec<_> = starting.map(|(key, _)| key).filter(goes).cloned().collect();
        if let Some(ledger) = &mut self.usage_ledger {
            let untold = |key: &(TaskId, u64)| ledger.changed.contains(&(id.clone(), key.clone()));
            ledger.urgent |= sent.iter().any(untold);
        }
        let Some(m) = self.machines.get_mut(id) else {
            return;
        };
        for key in sent {
            if let Some(tab) = m
                .attempts
                .get_mut(&key)
                .and_then(|a| a.usage_record.as_mut())
            {
                tab.meter.sent(now);
            }
        }
    }

    /// An attempt's place has come free: it is charged, unless it was.
    pub(crate) fn charge_attempt(
        &mut self,
        id: &MachineId,
        key: &(TaskId, u64),
        reason: Reason,
        now: Micros,
    ) {
        if self.usage_ledger.is_none() {
            return;
        }
        let Some(machine) = self.machines.get(id) else {
            return;
        };
        let tab = machine
            .attempts
            .get(key)
            .and_then(|a| a.usage_record.as_ref());
        let Some(tab) = tab.filter(|t| t.charged == Charged::Open) else {
            return;
        };
        let kind = self.kind(machine);
        let news = match reason {
            // A report that shows a new session shows that the lease of the one before ran out, after the last answer
            // in it; of a machine that is silent nobody knows.
            Reason::Lease | Reason::Machine => match machine.worker.last_heartbeat_at {
                Some(t) if t == now => News::Silence {
                    heard: machine.worker.previous_heartbeat_at,
                    likely: self.settings.lease,
                },
                heard => News::Silence {
                    heard,
                    likely: self.settings.report / 2,
                },
            },
            _ => News::Reported {
                before: machine.worker.previous_heartbeat_at,
                missed: machine.worker.missed_heartbeats,
            },
        };
        let reading = tab.meter.end(now, news);
        let (owner, saved) = (tab.owner.clone(), tab.saved);
        let (key_of, machine, end) = (key.clone(), id.clone(), self.time_of_day(now));
        let end = End {
            key: key_of,
            machine,
            kind,
            reading,
            at: now,
            end,
            reason,
            saved,
        };
        let charged = match self.charge_end(owner, end, now) {
            Some(ticket) => Charged::Ticket(ticket),
            None => Charged::Unowned,
        };
        let attempt = self
            .machines
            .get_mut(id)
            .and_then(|m| m.attempts.get_mut(key));
        if let Some(tab) = attempt.and_then(|a| a.usage_record.as_mut()) {
            tab.charged = charged;
        }
    }

    /// Jobs whose owners are to be read from what is kept of their ends.
    pub fn owners_to_read(&mut self, now: Micros) -> Vec<JobId> {
        let Some(ledger) = &mut self.usage_ledger else {
            return Vec::new();
        };
        let asked = &mut ledger.asked;
        asked.retain(|_, at| now < *at + ASK_AGAIN);
        let open = ledger.unowned.keys().filter(|j| !asked.contains_key(*j));
        let wanted: Vec<JobId> = open.take(MOST_ASKED).cloned().collect();
        wanted.iter().for_each(|j| {
            asked.insert(j.clone(), now);
        });
        wanted
    }

    /// Whose a job was, as far as is kept; what nobody owns is charged to nobody.
    pub fn usage_owner_read(&mut self, job: &JobId, owner: Option<JobOwner>, now: Micros) {
        let Some(ledger) = &mut self.usage_ledger else {
            return;
        };
        let owner = Arc::new(owner.unwrap_or_default());
        for end in ledger.unowned.remove(job).unwrap_or_default() {
            let (machine, key) = (end.machine.clone(), end.key.clone());
            let Some(ticket) = self.charge_end(Some(owner.clone()), end, now) else {
                continue;
            };
            let attempt = self
                .machines
                .get_mut(&machine)
                .and_then(|m| m.attempts.get_mut(&key));
            if let Some(tab) = attempt.and_then(|a| a.usage_record.as_mut()) {
                tab.charged = Charged::Ticket(ticket);
            }
        }
    }

    /// A recorded machine that never reported to this leader is given up.
    pub(crate) fn record_unmetered_interval(&mut self, id: &MachineId, now: Micros) {
        let blind = self
            .usage_ledger
            .as_ref()
            .is_some_and(|l| !l.complete && !l.gaps.contains(id));
        let unheard =
            |m: &&Machine| blind && m.lifecycle.recorded && m.worker.last_heartbeat_at.is_none();
        let Some(m) = self.machines.get(id).filter(unheard) else {
            return;
        };
        let (flavor, zone, spot, _) = self.kind(m);
        let (from, to) = (self.time_of_day(self.takeover.at), self.time_of_day(now));
        let gap = Gap {
            machine: id.to_string(),
            flavor,
            zone,
            spot,
            from,
            to,
        };
        if let Some(ledger) = &mut self.usage_ledger {
            ledger.gaps.insert(id.clone());
            ledger.book.note(Body::Gap(gap), now);
        }
    }

    /// Whether a worker may forget an ended attempt, as far as the ledger goes.
    pub(crate) fn is_usage_settled(&self, machine: &Machine, key: &(TaskId, u64)) -> bool {
        let Some(ledger) = &self.usage_ledger else {
            return true;
        };
        let tab = machine
            .attempts
            .get(key)
            .and_then(|a| a.usage_record.as_ref());
        let written = match tab.map(|t| t.charged) {
            None | Some(Charged::Before) => true,
            Some(Charged::Ticket(t)) => ledger.book.is_written(t),
            Some(Charged::Open | Charged::Unowned) => false,
        };
        // An end that is still shown would get the next start of the task here refused; and a report must
        // not outgrow its limit. Then this leader's memory has to do.
        let again = || {
            let other = |(k, a): (&(TaskId, u64), &crate::state::attempt::Attempt)| {
                k.0 == key.0 && k.1 != key.1 && a.phase == AttemptPhase::Starting
            };
            machine.attempts.iter().any(other)
        };
        let crowd = || {
            let ended = machine
                .attempts
                .values()
                .filter(|a| matches!(a.phase, AttemptPhase::Ended(_)));
            ended.count() > MOST_ENDED
        };
        written || again() || crowd()
    }

    /// Brings each team's share of all usage up to date, work under way included.
    pub fn update_usage_shares(&mut self, now: Micros) {
        let Some(ledger) = &self.usage_ledger else {
            return;
        };
        if ledger.shares_at.is_some_and(|t| now < t + SHARES_EVERY) {
            return;
        }
        let settings = ledger.book.settings().clone();
        let mut open: BTreeMap<String, f64> = BTreeMap::new();
        for a in self
            .machines
            .values()
            .flat_map(|m| m.attempts.values())
            .filter(|a| a.holds_capacity)
        {
            let Some(team) = a.team.and_then(|t| self.settings.teams.get(t)) else {
                continue;
            };
            let age = |t: &UsageRecord| t.meter.age(now);
            let age = a.usage_record.as_ref().map_or(0, |t| age(t)) as f64;
            let half = settings.half_life(&team.name).time() as f64;
            let decayed = half / std::f64::consts::LN_2 * (1.0 - (-age / half).exp2());
            let rate = settings.rate(need(a.resources)) as f64;
            *open.entry(team.name.clone()).or_default() += rate * decayed / 1e9;
        }
        let Some(ledger) = &mut self.usage_ledger else {
            return;
        };
        let shares = ledger
            .book
            .accounts()
            .shares(&settings, self.unix_time, &open);
        let of = |t: &crate::model::Team| shares.get(&t.name).copied().unwrap_or((0.0, 1.0));
        ledger.shares = self.settings.teams.iter().map(of).collect();
        ledger.shares_at = Some(now);
    }

    /// A team's part of all usage, and that part over what it is due; without a ledger all have what they
    /// are due.
    pub fn team_usage_share(&self, team: Option<usize>) -> (f64, f64) {
        let ledger = self.usage_ledger.as_ref();
        let share = ledger.zip(team).and_then(|(l, t)| l.shares.get(t));
        share.copied().unwrap_or((0.0, 1.0))
    }
}

fn tab_key(machine: &MachineId, key: &(TaskId, u64)) -> AttemptKey {
    let (task, attempt) = key;
    let (machine, job) = (machine.to_string(), task.job.to_string());
    AttemptKey {
        machine,
        job,
        task: task.index,
        attempt: *attempt,
    }
}

fn write_owner(o: &JobOwner) -> UsageOwner {
    let (team, class) = (o.team.clone(), o.class.clone());
    let Resources { cpu, gpu, mem } = o.resources;
    UsageOwner {
        team,
        class,
        cpu,
        gpu,
        mem,
        is_service: o.is_service,
    }
}

fn read_owner(o: &UsageOwner) -> JobOwner {
    let need = Resources {
        cpu: o.cpu,
        gpu: o.gpu,
        mem: o.mem,
    };
    JobOwner {
        team: o.team.clone(),
        class: o.class.clone(),
        resources: need,
        is_service: o.is_service,
    }
}

/// What is told of an attempt that is not over.
fn tab_of(
    id: &MachineId,
    key: &(TaskId, u64),
    tab: &UsageRecord,
    kind: &Kind,
    session: u64,
    now: Micros,
) -> OpenUsageRecord {
    let m = &tab.meter;
    let (flavor, zone, spot, price) = kind.clone();
    OpenUsageRecord {
        key: Some(tab_key(id, key)),
        owner: tab.owner.as_deref().map(write_owner),
        machine_type: flavor,
        zone,
        spot,
        price,
        incarnation: session,
        stage: m.stage.index() as u32,
        stage_age: now.saturating_sub(m.since),
        stage_times: m.spent.0.to_vec(),
        begin_uncertainty: m.unsure,
        begin_estimated: m.guessed,
        saved: tab.saved,
        ..OpenUsageRecord::default()
    }
}

/// What is told of one that is over and not in writing.
fn end_tab(owner: Option<&JobOwner>, end: &End, now: Micros) -> OpenUsageRecord {
    let (flavor, zone, spot, price) = end.kind.clone();
    let place = REASONS.iter().position(|r| *r == end.reason).unwrap_or(0);
    OpenUsageRecord {
        key: Some(tab_key(&end.machine, &end.key)),
        owner: owner.map(write_owner),
        machine_type: flavor,
        zone,
        spot,
        price,
        stage_times: end.reading.spent.0.to_vec(),
        begin_estimated: end.reading.estimate,
        saved: end.saved,
        end_reason: place as u32 + 1,
        end_age: now.saturating_sub(end.at),
        time_uncertainty: end.reading.bound,
        ..OpenUsageRecord::default()
    }
}

/// The times of a tab as it was told; `None` if they make no sense.
fn reading_of(t: &OpenUsageRecord) -> Option<Reading> {
    let spent: [Micros; 6] = t.stage_times.clone().try_into().ok()?;
    Some(Reading {
        spent: Spent(spent),
        bound: t.time_uncertainty,
        estimate: t.begin_estimated,
    })
}

/// A need as the ledger writes it.
fn need(r: Resources) -> Need {
    let part = |x: i64| u64::try_from(x).unwrap_or(0);
    Need(part(r.cpu), part(r.gpu), part(r.mem))
}

/// Charging, as the cluster has it.
trait ChargeTo {
    fn charge_to(&mut self, owner: &JobOwner, end: &End, now: Micros) -> u64;
}

impl ChargeTo for Book {
    fn charge_to(&mut self, owner: &JobOwner, end: &End, now: Micros) -> u64 {
        let worth = match (end.reason, end.saved) {
            (Reason::Done, _) => Worth::Useful,
            _ if owner.is_service => Worth::Useful,
            (_, true) => Worth::Saved,
            _ => Worth::Lost,
        };
        let ((task, attempt), (flavor, zone, spot, price)) = (&end.key, end.kind.clone());
        let common = Common {
            team: owner.team.clone(),
            class: owner.class.clone(),
            job: task.job.to_string(),
            need: need(owner.resources),
            flavor,
            zone,
            spot,
            price,
            reason: end.reason,
            worth,
        };
        let entry = Entry {
            task: task.index,
            attempt: *attempt,
            machine: end.machine.to_string(),
            begin: end.end.saturating_sub(end.reading.spent.held()),
            spent: end.reading.spent,
            bound: end.reading.bound,
            estimate: end.reading.estimate,
        };
        self.charge(common, entry, now)
    }
}
