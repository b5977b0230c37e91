//! What the state service holds: taking it in, and writing down what has changed.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

use gannethub_ledger::audit::Page;
use serde_json::value::RawValue;

use crate::model::{JobId, JobSpec, Micros, Ranges, SECOND, TaskId, seconds};
use crate::policy::Setting;
use crate::saga::{Action, Saga};
use crate::state::cluster::Cluster;
use crate::state::records::{Failing, Job};
use crate::state::shard::ChunkRecord;
use crate::state::usage::{owner_of, tell_damage};
use crate::state::writes::{Batch, Item};
use crate::wire::store::{
    self, Commit, JobRecord, LeadRecord, LiveRecord, OverRecord, PART_TASKS, PartRecord,
};

/// Why a job's value is to be written, in the order in which that is done.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Mark,
    /// It goes to another block.
    Home,
    /// It is done, and its users wait to be told.
    Over,
    /// It is cancelled, as its users know.
    Tidy,
    Progress,
}

impl Cluster {
    /// Takes in a live job's record.
    pub fn live_record(&mut self, id: &str, record: LiveRecord, stamp: u64) {
        match record {
            LiveRecord::Job(record) => self.job_record(id, record, stamp),
            LiveRecord::Waiting(record) => self.waiting_record(id, record, stamp),
        }
    }

    /// Takes in a job's record: a new job, a cancellation, or what was read back.
    pub fn job_record(&mut self, id: &str, record: JobRecord, stamp: u64) {
        if record.block != self.block.id {
            return self.foreign_record(id, &record, stamp);
        }
        self.foreign.remove(id);
        if let Some(job) = self.jobs.get_mut(id) {
            if stamp > job.stamp {
                job.stamp = stamp;
            }
            job.unsure = false;
            job.opened = job.opened.max(record.mark());
            store::decode_done(&record.done, 0, &mut job.flushed);
            if record.cancelled && !job.cancelled {
                self.cancel(id);
            }
            return;
        }
        if self.buried(id, stamp) {
            return;
        }
        self.upstream_released(&id.into());
        let opened = record.mark();
        let spec = Arc::new(record.spec);
        let mut done = Ranges::default();
        store::decode_done(&record.done, 0, &mut done);
        let mut pending = Ranges::up_to(spec.tasks);
        done.iter().for_each(|x| {
            pending.remove(x);
        });
        // What was there before this term may be on machines of which nothing is known yet.
        let doubtful = match self.doubt.loading {
            true if self.trusted => opened,
            true => spec.tasks,
            false => 0,
        };
        let doubted = pending.slice(0, doubtful);
        let submitted = spec.clone();
        let mut job = Job {
            id: id.into(),
            submitted,
            team: self.settings.team(&spec.team),
            at: record.at,
            ready: record.ready.unwrap_or(record.at),
            pull: None,
            stamp,
            flushed: done.clone(),
            done,
            cancelled: false,
            saga: Saga::flat(1),
            pending,
            doubted,
            opened,
            opening: opened,
            live: HashMap::new(),
            gang: None,
            progress: HashMap::new(),
            backoff: HashMap::new(),
            blame: Failing::new(record.failing),
            dirty_parts: BTreeSet::new(),
            dirty_since: None,
            outgrown: false,
            writing: false,
            unsure: false,
            placed: false,
            home: None,
            within: false,
            gathered: false,
            made_at: None,
            kept_until: 0,
            queued: 0,
            spec,
        };
        if job.spec.spot {
            let within = self.fits_guarantee(&job);
            let facts = self.policy_inputs(&job, within, self.latest_start(&job, within));
            let spot = self.settings.policy.truth(Setting::UseSpot, &facts);
            if !spot {
                job.spec = Arc::new(JobSpec {
                    spot,
                    ..(*job.submitted).clone()
                });
            }
        }
        self.queue.arrived(job.id.clone());
        self.jobs.insert(job.id.clone(), job);
        self.stirred = true;
        if record.cancelled {
            self.cancel(id);
        }
    }

    /// A job whose tasks run in another block. Block 0's holder keeps track of it, for jobs that wait for it.
    fn foreign_record(&mut self, id: &str, record: &JobRecord, stamp: u64) {
        if self.jobs.remove(id).is_some() {
            tracing::info!(job = id, block = record.block, "goes to another block");
        }
        if self.block.id != 0 || self.buried(id, stamp) {
            return;
        }
        let known = self.foreign.insert(id.into(), stamp).is_some();
        if !known {
            self.upstream_released(&id.into());
        }
        if record.cancelled {
            self.upstream_cancelled(id);
        }
    }

    /// Takes in finished tasks of a large array.
    pub fn part_record(&mut self, key: &str, record: &PartRecord) {
        let parsed = key
            .strip_prefix(store::PART)
            .and_then(|k| k.rsplit_once('/'));
        let Some((id, part)) = parsed.and_then(|(j, n)| Some((j, n.parse::<u32>().ok()?))) else {
            return;
        };
        match self.jobs.get_mut(id) {
            Some(job) if part < 100 => {
                job.outgrown |= part == 0;
                let mut done = Ranges::default();
                store::decode_done(&record.done, part, &mut done);
                for x in done.iter().filter(|x| *x < job.spec.tasks) {
                    job.done.insert(x);
                    job.flushed.insert(x);
                    job.pending.remove(x);
                    job.doubted.remove(x);
                }
            }
            // What belongs to no job is left over from one that is over.
            _ if self.block.id == 0 && !self.foreign.contains_key(id) => {
                self.drops.push(key.to_string());
            }
            _ => {}
        }
    }

    /// Takes in a part of the block's record. Its machines may hold tasks of an earlier term.
    pub fn chunk_record(&mut self, key: &str, record: ChunkRecord, stamp: u64) {
        let Some(index) = self.block.chunk_of_key(key) else {
            let block = key
                .strip_prefix(store::BLOCK)
                .and_then(|k| k.split_once('/'));
            if let Some(block) = block.and_then(|(b, _)| b.parse().ok()) {
                self.elsewhere
                    .extend(record.machines.into_keys().map(|m| (m, block)));
            }
            return;
        };
        for (name, member) in &record.machines {
            let taken = self.taken_at;
            let machine = self.machine(name, &member.flavor, &member.zone, member.spot, taken);
            machine.recorded = true;
            machine.answered_at = taken;
            machine.up = true;
        }
        self.block.load(index, record, stamp);
    }

    /// Another controller has told its users that the job is cancelled. What is stored of it is read all the same.
    pub fn cancelled_elsewhere(&mut self, id: &str) {
        if self.jobs.get(id).is_some_and(|j| !j.cancelled) {
            self.cancel(id);
        } else if self.pipelines.waiting.contains_key(id) || self.foreign.contains_key(id) {
            self.upstream_cancelled(id);
        } else {
            return;
        }
        self.stirred = true;
    }

    /// The user cancelled: the pipeline's saga aborts. Nothing of it starts from here on.
    fn cancel(&mut self, id: &str) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        job.cancelled = true;
        job.pending = Ranges::default();
        job.dirty_since = Some(0);
        let actions = job.saga.abort();
        let live: Vec<_> = job.live.iter().map(|(i, p)| (*i, p.clone())).collect();
        tracing::info!(job = id, tasks = live.len(), "cancelled");
        self.upstream_cancelled(id);
        if actions.contains(&Action::Cancel(0)) {
            for (index, (machine, attempt)) in live {
                self.stop(id, index, &machine, attempt, 0);
                self.halt_soon(
                    &machine,
                    TaskId {
                        job: id.into(),
                        index,
                    },
                    attempt,
                );
            }
        }
    }

    /// A live key is gone: the job is over, whoever wrote that. `cancelled`: what its end says,
    /// where that was read or written here. Else it is read if another job waits for it.
    pub fn job_gone(&mut self, id: &str, stamp: u64, cancelled: Option<bool>) {
        if self.stamp_of(id).is_some_and(|known| known >= stamp) {
            return;
        }
        self.buried.insert(id.into(), stamp);
        self.foreign.remove(id);
        if self.waiting_gone(id) {
            return;
        }
        self.upstream_over(id, cancelled);
        if let Some(job) = self.jobs.remove(id) {
            let first = u32::from(!job.outgrown);
            for part in first..job.spec.tasks.div_ceil(PART_TASKS) {
                self.drops.push(format!("{}{id}/{part}", store::PART));
            }
        }
    }

    /// Everything has been read; leases of recorded machines are counted from here.
    pub fn loaded(&mut self, now: Micros) {
        self.taken_at = now;
        self.doubt.loading = false;
        self.block.loaded();
        self.machines.values_mut().for_each(|m| m.answered_at = now);
        // A report may come before the next tick: limits count what is in doubt from here on.
        self.review_unconfirmed(now);
    }

    /// The next transaction, if anything needs to be written. `holder` is the leader key's version.
    pub fn next_commit(&mut self, now: Micros, holder: u64) -> Option<(Commit, Batch)> {
        let (ops, limit) = (self.most_changes(), self.settings.value_bytes);
        let mut commit = Commit::default();
        let mut batch = Batch::default();
        let mut bytes = 512;
        commit.guard(&self.keys.0, holder);
        // A transaction must be able to carry the end of a job beside machines.
        let most = (ops / 2).max(1);
        self.write_block(&mut commit, &mut batch, &mut bytes, most, false);
        self.write_ledger(&mut commit, &mut batch, &mut bytes, now);
        self.write_moves(&mut commit, &mut batch, &mut bytes, most);
        self.write_pipelines(&mut commit, &mut batch, &mut bytes);
        let mut due: Vec<(Due, Micros, JobId)> = Vec::new();
        for job in self.jobs.values_mut().filter(|j| !j.writing && !j.unsure) {
            if job.home.is_some_and(|home| home != self.block.id) && job.untouched() {
                due.push((Due::Home, 0, job.id.clone()));
                continue;
            }
            let over = job.finished() || (job.cancelled && job.live.is_empty() && self.settled);
            match job.dirty_since {
                // In the order in which they ended: in that of their names one of a high number would wait for as long as
                // more end than may be written.
                since if job.finished() => {
                    due.push((Due::Over, since.unwrap_or(0), job.id.clone()));
                }
                _ if over => due.push((Due::Tidy, 0, job.id.clone())),
                // Launches wait for it.
                _ if job.opening > job.opened && !self.unmarked => {
                    due.push((Due::Mark, 0, job.id.clone()));
                }
                // Progress can wait: until it is written, the worker keeps the result.
                Some(t) if now >= t + 2 * SECOND && !job.dirty_parts.is_empty() => {
                    due.push((Due::Progress, t, job.id.clone()));
                }
                _ => {}
            }
        }
        due.sort();
        for (what, _, id) in due {
            let Some(job) = self.jobs.get_mut(&id) else {
                continue;
            };
            let live = format!("{}{id}", store::LIVE);
            let room = ops - commit.changes();
            if let (Due::Home, Some(home)) = (what, job.home) {
                if room == 0 || bytes > 40_000 {
                    break;
                }
                let mut r = JobRecord::new((*job.submitted).clone(), job.at);
                r.ready = (job.ready != job.at).then_some(job.ready);
                (r.cancelled, r.failing, r.block) = (job.cancelled, job.suspect(), home);
                commit.guard(&live, job.stamp);
                commit.put(&live, r.value(), None);
                bytes += 1500;
                job.writing = true;
                batch.push(
                    Item::Home {
                        id,
                        record: Box::new(r),
                    },
                    live,
                );
                continue;
            }
            if matches!(what, Due::Over | Due::Tidy) {
                if room < 2 || bytes > 40_000 {
                    break;
                }
                let cancelled = job.cancelled;
                commit.guard(&live, job.stamp);
                let owner = self.ledger.as_ref().map(|_| owner_of(job));
                commit.end(
                    &id,
                    &OverRecord {
                        cancelled,
                        tasks: job.spec.tasks,
                        owner,
                    },
                );
                bytes += 400;
                job.writing = true;
                let due = job
                    .submitted
                    .deadline
                    .filter(|_| !cancelled)
                    .map(|d| job.at + d);
                let late = due.and_then(|due| self.wall.checked_sub(due));
                let late_s = late.map(|t| seconds(t) as u32);
                batch.push(
                    Item::Over {
                        id,
                        cancelled,
                        late_s,
                    },
                    live,
                );
                continue;
            }
            // Every write of a job's ends changes its live value and is guarded by that one's version: a transaction of
            // parts alone, carried out late, would take back ends that were written since.
            let spec = (*job.submitted).clone();
            let mut r = JobRecord::new(spec, job.at);
            r.ready = (job.ready != job.at).then_some(job.ready);
            (r.cancelled, r.failing) = (job.cancelled, job.suspect());
            (r.open, r.block) = (Some(job.opening), self.block.id);
            r.done = store::encode_done(&job.done, 0);
            let mut value = r.value();
            let outgrew = !job.outgrown && value.get().len() + store::SLACK > limit;
            if outgrew {
                job.outgrown = true;
                job.dirty_parts.insert(0);
            }
            if job.outgrown {
                // Both change in one transaction. Whoever reads the parts, the version before as well, takes part 0 for
                // what it is.
                r.done.clear();
                value = r.value();
            }
            let in_parts = job.dirty_parts.iter().any(|part| *part > 0 || job.outgrown);
            if room < 1 + usize::from(in_parts) || bytes > 40_000 {
                break;
            }
            commit.guard(&live, job.stamp);
            commit.put(&live, value, None);
            bytes += 1500;
            let mut parts = BTreeMap::new();
            if !job.outgrown {
                job.dirty_parts.remove(&0);
                parts.insert(0, job.done.slice(0, PART_TASKS));
            }
            for part in job
                .dirty_parts
                .iter()
                .copied()
                .take(room - 1)
                .collect::<Vec<_>>()
            {
                let done = store::encode_done(&job.done, part);
                job.dirty_parts.remove(&part);
                bytes += done.len() + 200;
                let lo = part * PART_TASKS;
                parts.insert(part, job.done.slice(lo, lo + PART_TASKS));
                let key = format!("{}{id}/{part}", store::PART);
                commit.put(&key, store::raw(&PartRecord { done }), None);
            }
            if job.dirty_parts.is_empty() {
                job.dirty_since = None;
            }
            job.writing = true;
            batch.push(
                Item::Job {
                    id,
                    parts,
                    open: job.opening,
                },
                live,
            );
        }
        if self.marked == Some(false)
            && commit.changes() < ops
            && self.watermarks_cover_all_launches()
        {
            let holder = self.settings.name.clone();
            let record = LeadRecord {
                holder,
                term: self.term,
                marked: true,
            };
            commit.put(&self.keys.1, store::raw(&record), None);
            batch.items.push(Item::Marked);
            self.marked = None;
        }
        while commit.changes() < ops && bytes < 40_000 {
            let Some(key) = self.drops.pop() else { break };
            commit.delete(&key);
            bytes += key.len() + 20;
            batch.items.push(Item::Drop);
        }
        if commit.changes() == 0 {
            self.write_block(&mut commit, &mut batch, &mut bytes, ops, true);
        }
        (commit.changes() > 0).then_some((commit, batch))
    }

    /// Adds parts of the block's record to a transaction, until it has `most` changes.
    fn write_block(
        &mut self,
        commit: &mut Commit,
        batch: &mut Batch,
        bytes: &mut usize,
        most: usize,
        idle: bool,
    ) {
        while commit.changes() < most && *bytes < 40_000 {
            let Some((index, stamp, record)) = self.block.dirty(idle) else {
                break;
            };
            let key = self.block.key(index);
            let value = store::raw(&record);
            *bytes += value.get().len() + 200;
            commit.guard(&key, stamp);
            commit.put(&key, value, None);
            self.block.writing(index);
            let members = record.machines.into_keys().collect();
            batch.push(Item::Chunk { index, members }, key);
        }
    }

    /// Adds the ledger's next page to a transaction, if one is due and fits.
    fn write_ledger(
        &mut self,
        commit: &mut Commit,
        batch: &mut Batch,
        bytes: &mut usize,
        now: Micros,
    ) {
        let room = self.most_changes() - commit.changes().min(self.most_changes());
        let Some(ledger) = &mut self.ledger else {
            return;
        };
        let Some(write) = ledger.book.write(now, self.wall, room) else {
            return;
        };
        let key = store::ledger_page(write.page);
        *bytes += write.value.len() + 200;
        commit.guard(&key, write.stamp);
        // It is built as JSON; what is not would be refused and read back.
        commit.put(
            &key,
            RawValue::from_string(write.value).unwrap_or_default(),
            None,
        );
        if let Some(head) = &write.head {
            commit.put(store::LEDGER_HEAD, store::raw(head), None);
        }
        for page in write.deletes {
            commit.delete(&store::ledger_page(page));
        }
        batch.push(Item::Ledger, key);
    }

    /// A page of the ledger has been read again, as its write had no answer.
    pub fn ledger_reread(&mut self, item: Option<&store::Item>) {
        let Some(ledger) = &mut self.ledger else {
            return;
        };
        let page = item.and_then(|i| Some((i.record::<Page>()?, i.stamp)));
        let unreadable = item.is_some() && page.is_none();
        let found = page.as_ref().map(|(p, stamp)| (p, *stamp));
        let result = match unreadable {
            true => Err(ledger.book.abandon()),
            false => ledger.book.reread(found),
        };
        match result {
            Ok(tickets) => self.ledger_written(tickets),
            Err(damaged) => tell_damage(damaged),
        }
    }

    /// A transaction was carried out.
    pub fn committed(&mut self, batch: Batch, stamp: u64) {
        self.refusals = 0;
        for item in batch.items {
            match item {
                Item::Job { id, parts, open } => {
                    let Some(job) = self.jobs.get_mut(&id) else {
                        continue;
                    };
                    job.writing = false;
                    job.stamp = job.stamp.max(stamp);
                    job.opened = job.opened.max(open);
                    for x in parts.values().flat_map(Ranges::iter) {
                        job.flushed.insert(x);
                    }
                }
                Item::Over {
                    id,
                    cancelled,
                    late_s,
                } => {
                    match late_s {
                        Some(late_s) => tracing::info!(job = %id, late_s, "over"),
                        None => tracing::info!(job = %id, cancelled, "over"),
                    }
                    self.job_gone(&id, stamp, Some(cancelled));
                }
                Item::Release { .. } | Item::Mark { .. } => self.pipeline_written(&item, stamp),
                Item::Chunk { index, members } => {
                    self.block.written(index, stamp);
                    for name in members {
                        if self.taking.remove(&name) {
                            // Only now that it is on this block's record may that of its way here go.
                            self.drops
                                .push(format!("{}{}/{name}", store::MOVE, self.block.id));
                        }
                        if let Some(m) = self.machines.get_mut(name.as_str()) {
                            m.recorded = true;
                            let id = m.id.clone();
                            self.reshelve(&id, self.now);
                        }
                    }
                }
                Item::Ledger => {
                    let book = self.ledger.as_mut().map(|l| &mut l.book);
                    let tickets = book.map_or_else(Vec::new, |b| b.written(stamp));
                    self.ledger_written(tickets);
                }
                Item::Home { id, record } => self.job_record(&id, *record, stamp),
                Item::Gave { machine } => self.gave(&machine),
                Item::Marked => {
                    tracing::info!(term = self.term, "a successor can go by the jobs' marks");
                    self.marked = Some(true);
                }
                Item::Drop => {}
            }
        }
    }

    /// A transaction was not carried out. `unsure`: perhaps it was, or its versions were wrong; its
    /// keys are then to be read back, never assumed.
    pub fn uncommitted(&mut self, batch: &Batch, unsure: bool, now: Micros) {
        for item in &batch.items {
            match item {
                Item::Home { id, .. } => {
                    if let Some(job) = self.jobs.get_mut(id) {
                        (job.writing, job.unsure) = (false, unsure);
                    }
                }
                Item::Gave { machine } => self.not_given(machine),
                Item::Job { id, parts, .. } => {
                    if let Some(job) = self.jobs.get_mut(id) {
                        job.writing = false;
                        job.unsure = unsure;
                        job.dirty_parts.extend(parts.keys());
                        job.dirty_since.get_or_insert(now);
                    }
                }
                Item::Over { id, .. } | Item::Release { id, .. } | Item::Mark { id } => {
                    if let Some(job) = self.jobs.get_mut(id) {
                        job.writing = false;
                        job.unsure = unsure;
                    }
                    self.pipeline_unwritten(id, unsure);
                }
                Item::Ledger => {
                    if let Some(ledger) = &mut self.ledger {
                        ledger.book.not_written(unsure);
                    }
                }
                // That it may say so, though it was not told, is true all the same.
                Item::Marked => self.marked = Some(false),
                Item::Chunk { index, .. } if !unsure => self.block.unwritten(*index),
                // A dropped key that stays is found and dropped again at the next takeover.
                Item::Chunk { .. } | Item::Drop => {}
            }
        }
    }
}
