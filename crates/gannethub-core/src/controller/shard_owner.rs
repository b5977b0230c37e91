//! Holding: the machines of a block, what runs on them, and what is written of it, under one lease.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use bytes::Bytes;
use gannethub_ledger::audit::Page;
use gannethub_ledger::book::Head;

use super::lease::Lease;
use super::outbox::{Effect, Port, Purpose, read};
use super::quota_partitioner::Allotter;
use super::recovery::LOADED;
use crate::http::Response;
use crate::model::{JobId, Micros, SECOND};
use crate::reconcile::heartbeat::Outcome;
use crate::reconcile::kill_delivery::Directly;
use crate::state::cluster::Cluster;
use crate::state::fleet::CloudCall;
use crate::state::writes::WriteBatch;
use crate::wire::budget::Urgency;
use crate::wire::configuration::CURRENT;
use crate::wire::peer::Running;
use crate::wire::store::{
    self, Committed, Conflict, Followed, Item, LiveRecord, OverRecord, StoreRequest,
};
use crate::wire::worker::{Commands, Report, ReportAnswer};

/// A leader that hears neither workers nor siblings for this long makes way.
const DEAF: Micros = 3 * SECOND;
/// The watch should have brought a change by this time after it was told of.
const WATCH_PATIENCE: Micros = 400_000;
/// Jobs that a heartbeat tells the progress of.
const MOST_RUNNING: usize = 2000;

#[derive(Debug)]
pub(super) struct Holder {
    /// The answer to a report that asks for nothing to be done: most are.
    nothing: Bytes,
    pub lease: Lease,
    pub cluster: Cluster,
    /// Why it has to give its lease back, if it has to.
    pub ended: Option<&'static str>,
    /// That is because it hears nobody.
    pub deaf: bool,
    /// When it last heard a worker or a sibling.
    pub heard_at: Option<Micros>,
    /// The stage of reading the state; past the last one everything is loaded.
    pub(super) stage: usize,
    pub(super) loaded_once: bool,
    /// What has been read of the ledger.
    pub(super) ledger_head: Option<Head>,
    pub(super) ledger_pages: Vec<(Page, u64)>,
    pub(super) load_at: Option<Micros>,
    pub(super) watched: u64,
    /// When reading everything began.
    pub(super) read_from: Micros,
    following: bool,
    follow_sent: Micros,
    /// Looking what has changed beside the watch.
    catching: bool,
    catch_at: Micros,
    follow_at: Micros,
    writing: bool,
    write_at: Micros,
    readbacks: BTreeSet<String>,
    readback_at: Micros,
    reading: usize,
    /// Changes that siblings told of: when the watch should have brought them, their versions and
    /// keys. They come in order of time.
    expected: VecDeque<(Micros, u64, String)>,
    schedule_at: Micros,
    fleet_at: Micros,
    /// Its block's part of the teams' limits.
    pub allotter: Allotter,
    /// When it was last looked for machines on their way here.
    pub(super) moves_at: Micros,
}

/// What this controller holds, by block.
pub(super) type Holders = BTreeMap<u32, Box<Holder>>;

/// What a report is answered with.
pub(super) enum Answer {
    Now(u16, Bytes),
    /// The machine is another block's; which one, block 0's holder knows.
    Elsewhere(Option<u32>),
    /// Not before the state has been read.
    Later,
}

impl Holder {
    pub fn new(lease: Lease, cluster: Cluster) -> Holder {
        let nothing = ReportAnswer {
            token: lease.term,
            orders: &[],
        };
        Holder {
            nothing: Response::json(200, &nothing).body,
            lease,
            cluster,
            ended: None,
            deaf: false,
            heard_at: None,
            stage: 0,
            loaded_once: false,
            ledger_head: None,
            ledger_pages: Vec::new(),
            load_at: None,
            watched: 0,
            read_from: 0,
            following: false,
            follow_sent: 0,
            catching: false,
            catch_at: 0,
            follow_at: 0,
            writing: false,
            write_at: 0,
            readbacks: BTreeSet::new(),
            readback_at: 0,
            reading: 0,
            expected: VecDeque::new(),
            schedule_at: 0,
            fleet_at: 0,
            allotter: Allotter::default(),
            moves_at: 0,
        }
    }

    /// All that was there when it took over has been read.
    pub fn loaded(&self) -> bool {
        self.stage >= LOADED
    }

    /// Jobs with tasks on machines, for siblings to tell users of.
    pub fn running(&self) -> Vec<Running> {
        let running = self
            .cluster
            .jobs
            .values()
            .filter(|j| j.live_count() > 0)
            .take(MOST_RUNNING);
        let told = running.map(|job| Running {
            job: job.id.to_string(),
            tasks: job.live_count(),
            done: job.done.len(),
        });
        told.collect()
    }

    /// What a job has on machines, and has done.
    pub fn progress(&self, id: &JobId) -> Option<(u32, u32)> {
        self.cluster
            .jobs
            .get(id)
            .map(|job| (job.live_count(), job.done.len()))
    }

    /// How a job ended that was no longer alive when it was read.
    pub fn over_read(&mut self, key: &str, answer: Option<(u16, Bytes)>) {
        self.reading = self.reading.saturating_sub(1);
        let id = key.trim_start_matches(store::OVER);
        match answer {
            Some((200, body)) => {
                let item = serde_json::from_slice::<Item>(&body).ok();
                let end = item.as_ref().and_then(|i| i.record::<OverRecord>());
                let stamp = item.map_or(u64::MAX, |i| i.stamp);
                self.cluster.job_gone(id, stamp, end.map(|e| e.cancelled));
            }
            Some((404, _)) => {}
            _ => {
                self.readbacks.insert(format!("{}{id}", store::LIVE));
            }
        }
    }

    /// It is its block's.
    pub fn has(&self, machine: &str) -> bool {
        self.cluster.machines.contains_key(machine)
    }

    /// Asks the cloud for what the plan wants.
    fn plan(&mut self, port: &mut Port) {
        let now = port.clock.now;
        if now < self.fleet_at.max(self.cluster.next_plan_at) {
            return;
        }
        self.fleet_at = now + 500_000;
        for call in self.cluster.plan_cloud_calls(now) {
            let request = call.to_request(&self.cluster.machine_types);
            port.call(self.lease.term, call, request);
        }
    }

    /// Takes in an answer of the cloud.
    pub fn cloud_answer(&mut self, port: &Port, call: CloudCall, answer: Option<(u16, Bytes)>) {
        let now = port.clock.now;
        let answer = answer.as_ref().map(|a| (a.0, &a.1[..]));
        if matches!(call, CloudCall::Provision { .. }) {
            // A refusal leads to the next best offer without delay.
            self.fleet_at = now;
        }
        self.cluster.cloud_answer(call, answer, now);
        self.cluster.pass_needed = true;
    }

    /// Reads whose jobs were that were over before an attempt's end was found.
    pub(super) fn read_owners(&mut self, port: &mut Port) {
        let now = port.clock.now;
        let (term, wanted) = (self.lease.term, self.cluster.owners_to_read(now));
        for job in wanted {
            let key = format!("{}{job}", store::OVER);
            port.send(
                Urgency::Rest,
                StoreRequest::get(&key),
                Purpose::ReadOwner { term, job },
            );
        }
    }

    pub(super) fn owner_read(&mut self, port: &Port, job: &JobId, answer: Option<(u16, Bytes)>) {
        let now = port.clock.now;
        match answer {
            Some((200, body)) => {
                let over = serde_json::from_slice::<Item>(&body).ok();
                let over = over.and_then(|i| i.record::<OverRecord>());
                self.cluster
                    .usage_owner_read(job, over.and_then(|o| o.owner), now);
            }
            Some((404, _)) => self.cluster.usage_owner_read(job, None, now),
            // It is asked for again.
            _ => {}
        }
    }

    pub(super) fn follow(&mut self, port: &mut Port) {
        let now = port.clock.now;
        if self.following || now < self.follow_at {
            return;
        }
        self.following = true;
        self.follow_sent = now;
        // Bounds how often the watch is opened when much is written.
        self.follow_at = now + 100_000;
        let (term, from) = (self.lease.term, self.watched);
        port.send(
            Urgency::Commit,
            StoreRequest::follow(store::LIVE, from),
            Purpose::Follow { term },
        );
    }

    pub(super) fn write(&mut self, port: &mut Port) {
        let now = port.clock.now;
        if self.writing || now < self.write_at {
            return;
        }
        if let Some((commit, batch)) = self.cluster.next_commit(now, self.lease.stamp) {
            self.writing = true;
            self.write_at = now + 100_000;
            let term = self.lease.term;
            port.send(
                Urgency::Commit,
                commit.request(),
                Purpose::Write { term, batch },
            );
        }
    }

    pub(super) fn read_back(&mut self, port: &mut Port) {
        let now = port.clock.now;
        while let Some((due, stamp, _)) = self.expected.front() {
            let come = self.watched >= *stamp;
            if !come && now < *due {
                break;
            }
            self.readbacks
                .extend(self.expected.pop_front().filter(|_| !come).map(|e| e.2));
        }
        if self.reading > 0 || now < self.readback_at || self.readbacks.is_empty() {
            return;
        }
        self.readback_at = now + 300_000;
        let keys = std::mem::take(&mut self.readbacks);
        self.reading = keys.len();
        let term = self.lease.term;
        for key in keys {
            port.send(
                Urgency::Commit,
                StoreRequest::get(&key),
                Purpose::ReadBack { term, key },
            );
        }
    }

    pub(super) fn expect(&mut self, port: &Port, id: &str, stamp: u64) {
        let due = port.clock.now + WATCH_PATIENCE;
        if self.watched < stamp {
            self.expected
                .push_back((due, stamp, format!("{}{id}", store::LIVE)));
        }
    }

    /// Looks what has changed, when that has not been known for a while: a watch may hang, and where nothing changes its
    /// answer is as old as its question.
    fn catch_up(&mut self, port: &mut Port) {
        let now = port.clock.now;
        if self.catching || now < self.catch_at || !self.lease.looks(now) {
            return;
        }
        self.catching = true;
        self.catch_at = now + SECOND;
        let request = StoreRequest::changes(store::LIVE, self.watched);
        let purpose = Purpose::CatchUp {
            term: self.lease.term,
            sent: now,
        };
        port.send(Urgency::Renewal, request, purpose);
    }

    pub(super) fn caught_up(
        &mut self,
        port: &mut Port,
        sent: Micros,
        answer: Option<(u16, Bytes)>,
    ) {
        self.catching = false;
        // The watch finds out if it is too far behind.
        if self.loaded()
            && let Some(followed) = read::<Followed>(answer)
        {
            self.take_changes(port, followed, sent);
        }
    }

    /// Tells workers of cancelled tasks at once.
    pub fn halt(&mut self, port: &mut Port) {
        for Directly {
            addr,
            session,
            orders,
        } in self.cluster.next_halts(port.clock.now)
        {
            let commands = Commands {
                token: self.lease.term,
                session,
                orders: &orders,
            };
            let body = Response::json(200, &commands).body;
            port.effects.push(Effect::Worker { addr, body });
        }
    }

    /// Starts nothing while there may be a newer configuration than is known here.
    pub(super) fn heed_configuration(&mut self, port: &Port) {
        self.cluster.starts_paused = port.configuring.holds_starts(port.clock.now);
    }

    /// The leader's answer to a report.
    pub(super) fn report(&mut self, port: &Port, body: &Bytes) -> Answer {
        let now = port.clock.now;
        let error = |status: u16, why: &str| Answer::Now(status, Response::error(status, why).body);
        self.heard_at = Some(now);
        self.cluster.unix_time = port.clock.wall;
        self.heed_configuration(port);
        let report: Report<'_> = match serde_json::from_slice(body) {
            Ok(report) => report,
            Err(e) => {
                tracing::debug!(error = %e, "a report makes no sense");
                return error(400, "not a report");
            }
        };
        if !self.loaded() && self.lease.block != 0 {
            // Whether the machine is this block's is not known yet.
            return error(503, "the state is being read");
        }
        if !self.loaded() && report.token <= self.lease.term {
            // What it runs may be cancelled, and an answer would renew its lease all the same.
            return Answer::Later;
        }
        match self.cluster.report(now, &report) {
            Outcome::Orders(orders) if orders.is_empty() => Answer::Now(200, self.nothing.clone()),
            Outcome::Orders(orders) => {
                let body = ReportAnswer {
                    token: self.lease.term,
                    orders: &orders,
                };
                Answer::Now(200, Response::json(200, &body).body)
            }
            Outcome::Elsewhere(block) => Answer::Elsewhere(block),
            Outcome::Stale => error(503, "an old report"),
            Outcome::Deposed => {
                self.ended = Some("a worker has seen a higher token");
                error(503, "not leading")
            }
        }
    }

    pub(super) fn followed(&mut self, port: &mut Port, answer: Option<(u16, Bytes)>) {
        let now = port.clock.now;
        self.following = false;
        let followed = match answer {
            Some((200, body)) => serde_json::from_slice::<Followed>(&body).ok(),
            Some((410, _)) => {
                // Too far behind: read everything live again. What ended is found by reading back.
                tracing::info!("the watch fell behind; reading all jobs again");
                let waiting = self.cluster.pipelines.waiting.keys();
                let known = self.cluster.jobs.keys().chain(waiting);
                self.readbacks
                    .extend(known.map(|id| format!("{}{id}", store::LIVE)));
                self.watched = 0;
                self.stage = 0;
                return self.load(port, "");
            }
            _ => None,
        };
        let Some(followed) = followed else {
            self.follow_at = now + 500_000;
            return;
        };
        self.take_changes(port, followed, self.follow_sent);
    }

    /// Takes in what has changed, as was asked for then. The watch and what is read beside it may overtake each other.
    fn take_changes(&mut self, port: &mut Port, followed: Followed, sent: Micros) {
        let now = port.clock.now;
        port.configuring.changed(&followed.log);
        port.configuring.knew(sent);
        let jobs = followed
            .log
            .into_iter()
            .filter(|c| c.key() != Some(CURRENT));
        for change in jobs.filter(|c| c.stamp > self.watched) {
            if let Some(id) = change
                .delete
                .as_deref()
                .and_then(|k| k.strip_prefix(store::LIVE))
            {
                self.cluster.job_gone(id, change.stamp, None);
            }
            let key = change
                .write
                .as_deref()
                .and_then(|k| k.strip_prefix(store::LIVE));
            let (Some(id), Some(v)) = (key, &change.v) else {
                continue;
            };
            if self
                .cluster
                .record_version(id)
                .is_some_and(|known| known >= change.stamp)
            {
                continue;
            }
            match LiveRecord::parse(v.get()) {
                Ok(record) => {
                    // New work is planned for at once: a machine takes long enough to boot.
                    self.fleet_at = now;
                    self.cluster.live_record(id, record, change.stamp);
                }
                Err(e) => tracing::error!(job = id, error = %e, "a job's value is not ours"),
            }
            self.cluster.pass_needed = true;
        }
        self.watched = self.watched.max(followed.ledger_no);
        self.cluster.prune_tombstones(self.watched);
        self.lease.knew(sent);
    }

    pub(super) fn written(&mut self, port: &Port, batch: WriteBatch, answer: Option<(u16, Bytes)>) {
        let now = port.clock.now;
        self.writing = false;
        match answer {
            Some((200, body)) => match serde_json::from_slice::<Committed>(&body) {
                Ok(done) => {
                    self.cluster.pass_needed = true;
                    self.cluster.committed(batch, done.ledger_no);
                }
                Err(_) => self.unwritten(port, batch),
            },
            Some((409, body)) => {
                let conflict = serde_json::from_slice::<Conflict>(&body);
                if conflict.is_ok_and(|c| c.failed.contains(&self.cluster.assignment_keys.0)) {
                    self.ended = Some("its key is gone");
                    return;
                }
                self.unwritten(port, batch);
            }
            Some((429 | 503, _)) => {
                self.cluster.uncommitted(&batch, false, now);
                self.write_at = now + 300_000;
            }
            Some((status, body)) => {
                let reason = String::from_utf8_lossy(&body).into_owned();
                tracing::error!(status, reason, "the state service refuses a transaction");
                // Smaller ones are tried, and more and more rarely: it may allow less than we know.
                self.cluster.transaction_rejections += 1;
                self.write_at = now + (SECOND << self.cluster.transaction_rejections.min(6)) / 2;
                self.unwritten(port, batch);
            }
            None => self.unwritten(port, batch),
        }
    }

    pub(super) fn unwritten(&mut self, port: &Port, batch: WriteBatch) {
        let now = port.clock.now;
        self.cluster.uncommitted(&batch, true, now);
        self.readbacks.extend(batch.keys().iter().cloned());
        self.readback_at = now;
    }

    pub(super) fn read_again(
        &mut self,
        port: &mut Port,
        key: String,
        answer: Option<(u16, Bytes)>,
    ) {
        self.reading = self.reading.saturating_sub(1);
        self.cluster.pass_needed = true;
        let item = match &answer {
            Some((200, body)) => serde_json::from_slice::<Item>(body).ok(),
            _ => None,
        };
        if let Some(chunk) = self.cluster.shard.parse_chunk_key(&key) {
            match (item, answer) {
                (Some(item), _) => self.cluster.shard.mark_write_unknown(chunk, item.stamp),
                (None, Some((404, _))) => self.cluster.shard.mark_write_unknown(chunk, 0),
                _ => {
                    self.readbacks.insert(key);
                }
            }
            return;
        }
        if key.starts_with(store::LEDGER_PAGE) {
            match (item, answer) {
                (Some(item), _) => self.cluster.ledger_reread(Some(&item)),
                (None, Some((404, _))) => self.cluster.ledger_reread(None),
                _ => {
                    self.readbacks.insert(key);
                }
            }
            return;
        }
        let id = key.trim_start_matches(store::LIVE).to_string();
        match (item, answer) {
            (Some(item), _) => {
                if let Some(record) = item.live() {
                    self.cluster.live_record(&id, record, item.stamp);
                }
            }
            (None, Some((404, _))) => {
                self.reading += 1;
                let key = format!("{}{id}", store::OVER);
                let purpose = Purpose::ReadOver {
                    term: self.lease.term,
                    key: key.clone(),
                };
                port.send(Urgency::Commit, StoreRequest::get(&key), purpose);
            }
            _ => {
                self.readbacks.insert(key);
            }
        }
    }

    pub(super) fn tick(&mut self, port: &mut Port) {
        let now = port.clock.now;
        self.heed_configuration(port);
        let wall = port.clock.wall;
        let siblings = port.settings.siblings.len();
        if siblings > 0 && self.heard_at.is_some_and(|t| now > t + DEAF) {
            self.deaf = true;
            self.ended = Some("it hears neither workers nor siblings");
            return;
        }
        self.lease
            .keep(port, if self.loaded() { self.watched } else { 0 });
        if !self.loaded() {
            if self.load_at.is_some_and(|t| t <= now) {
                self.load_at = None;
                self.load(port, "");
            }
            return;
        }
        self.cluster.tick(now, wall);
        self.look_for_moves(port);
        self.allotter.tick(port, &self.lease);
        let due = self.cluster.pass_needed || now >= self.cluster.last_pass_at + SECOND;
        // Passes and plans are spaced by what they cost: reports, renewals and users come first.
        if now >= self.schedule_at.max(self.cluster.next_pass_at) && due {
            self.schedule_at = now + 100_000;
            self.cluster.run_scheduling_pass(now);
        }
        self.plan(port);
        self.follow(port);
        self.catch_up(port);
        self.write(port);
        self.read_back(port);
        self.read_owners(port);
    }
}
