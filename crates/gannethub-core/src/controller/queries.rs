//! Queries and cancellations, and the copy of what is live that they are answered from.

use std::collections::BTreeSet;

use bytes::Bytes;
use gannethub_ledger::audit::Page;

use super::config_watch::LOOK_EVERY;
use super::outbox::{News, Port, Purpose, read};
use super::shard_owner::Holder;
use super::submissions::{Asker, Intake, MAX_ASKING, POLL_PATIENCE, Waiter, committed};
use crate::http::Response;
use crate::model::{JobId, Micros, SECOND, TaskSet};
use crate::state::job_replica::JobLookup;
use crate::wire::api::{self, JobView, Status};
use crate::wire::budget::Urgency;
use crate::wire::store::{
    self, Commit, Committed, Followed, Item, Listing, LiveRecord, OverRecord, StoreRequest,
};

/// Ends of jobs that others wait for that are asked for at once.
const MOST_ENDS: usize = 20;
/// Queries share one read of what has changed, made at most this often ...
const REFRESH_EVERY: Micros = 100_000;
/// ... and at least this often, so that few changes pile up.
const REFRESH_AT_LEAST: Micros = 5 * SECOND;

/// What is known of how far live jobs are: tasks on machines and done.
pub(super) type Progress<'a> = &'a dyn Fn(&JobId) -> Option<(u32, u32)>;

impl Intake {
    pub(super) fn show_ledger(
        &mut self,
        port: &mut Port,
        conn: u64,
        page: Option<u64>,
        team: Option<&str>,
    ) {
        if port.settings.ledger.is_none() {
            return port.reply(conn, Response::error(404, "no ledger is kept here"));
        }
        if let Some(team) = team.filter(|t| port.settings.team(t).is_none()) {
            let why = format!("team: there is no team {team:?}");
            return port.reply(conn, Response::error(400, why));
        }
        let wait = port.budget.wait_to_ask();
        if wait > POLL_PATIENCE {
            return port.too_much(conn, wait);
        }
        let key = page.map_or(store::LEDGER_HEAD.into(), store::ledger_page);
        let team = team.map(str::to_string);
        port.send(
            Urgency::User,
            StoreRequest::get(&key),
            Purpose::ShowLedger { conn, team },
        );
    }

    /// What is written is shown as it is written; so what was shown once never changes.
    pub(super) fn ledger_shown(
        &mut self,
        port: &mut Port,
        conn: u64,
        team: Option<String>,
        answer: Option<(u16, Bytes)>,
    ) {
        let item = match answer {
            Some((200, body)) => serde_json::from_slice::<Item>(&body).ok(),
            Some((404, _)) => {
                let why = "page: there is no such page";
                return port.reply(conn, Response::error(404, why));
            }
            _ => None,
        };
        let Some(item) = item else {
            return port.unavailable(conn);
        };
        let response = match (team, item.record::<Page>()) {
            (Some(team), Some(mut page)) => {
                page.lines.retain(|l| l[1] == "charge" && l[2][0] == *team);
                Response::json(200, &page)
            }
            _ => Response::json(200, &item.v),
        };
        port.reply(conn, response);
    }

    /// Reads how jobs ended that others wait for and that are not alive.
    pub fn read_ends(&mut self, port: &mut Port, holder: Option<&Holder>) {
        let now = port.clock.now;
        if self.mirror.dependencies.is_complete()
            && holder.is_none_or(|h| h.cluster.pipelines.dependencies.is_complete())
        {
            return;
        }
        self.ends_asked.retain(|_, until| now < *until);
        // While the copy or the state is being read, what is not known yet may still turn up.
        let holder = holder.filter(|h| h.loaded());
        let theirs = holder
            .into_iter()
            .flat_map(|h| h.cluster.pipelines.dependencies.unknown_outcomes());
        let ours = self
            .mirror
            .version()
            .into_iter()
            .flat_map(|_| self.mirror.dependencies.unknown_outcomes());
        let wanted: BTreeSet<JobId> = theirs
            .chain(ours)
            .filter(|j| !self.ends_asked.contains_key(*j))
            .cloned()
            .collect();
        for job in wanted.into_iter().take(MOST_ENDS) {
            self.ends_asked.insert(job.clone(), now + 3 * SECOND);
            let key = format!("{}{job}", store::OVER);
            port.send(
                Urgency::Commit,
                StoreRequest::get(&key),
                Purpose::Upstream { job },
            );
        }
    }

    pub(super) fn upstream_read(
        &mut self,
        port: &mut Port,
        job: JobId,
        answer: Option<(u16, Bytes)>,
        holder: Option<&mut Holder>,
    ) {
        let now = port.clock.now;
        let Some(view) = answer.as_ref().and_then(end_of) else {
            // Not over, or not to be known now.
            self.ends_asked.insert(job, now + SECOND / 2);
            return;
        };
        self.ends_asked.remove(&job);
        if let Some(holder) = holder.filter(|h| h.loaded()) {
            holder
                .cluster
                .upstream_over(&job, Some(view.status == Status::Cancelled));
        }
        self.mirror.record_upstream_end(job, view);
        self.refresh(port);
    }

    pub(super) fn look(&mut self, port: &mut Port, id: JobId, waiter: Waiter) {
        self.look_up(port, id, waiter, false);
    }

    /// Reads a job's record. `over`: it is known not to be alive, so only whether it is over is
    /// to be read.
    pub(super) fn look_up(&mut self, port: &mut Port, id: JobId, waiter: Waiter, over: bool) {
        if let Some(view) = self.mirror.final_view(&id) {
            let response = api::answer(200, &id, view);
            return port.reply(waiter.conn(), response);
        }
        let wait = port.budget.wait_to_ask();
        if wait > POLL_PATIENCE && !self.lookups.contains_key(&id) {
            // The answer would come too late, and reads that nobody waits for any more would keep
            // submissions out.
            return port.too_much(waiter.conn(), wait);
        }
        let lookup = self.lookups.entry(id.clone()).or_default();
        if !lookup.now.is_empty() {
            lookup.next.push(waiter);
            return;
        }
        lookup.now.push(waiter);
        self.start_look(port, id, over);
    }

    pub(super) fn start_look(&mut self, port: &mut Port, job: JobId, over: bool) {
        let key = format!("{}{job}", if over { store::OVER } else { store::LIVE });
        port.send(
            Urgency::User,
            StoreRequest::get(&key),
            Purpose::Look { job, over },
        );
    }

    /// A query waits for the next read of what has changed, which answers all that wait then.
    pub(super) fn query(&mut self, port: &mut Port, conn: u64, id: JobId) {
        if self.mirror.version().is_none() {
            return self.look(port, id, Waiter::Poll(conn));
        }
        if let Some(view) = self.mirror.final_view(&id) {
            let response = api::answer(200, &id, view);
            return port.reply(conn, response);
        }
        let wait = port.budget.wait_to_ask();
        if wait > POLL_PATIENCE || self.asking.len() >= MAX_ASKING {
            return port.too_much(conn, wait);
        }
        self.asking.push(Asker::Query(conn, id));
        self.refresh(port);
    }

    /// Reads what the mirror lacks, if there is a reason to.
    pub(super) fn refresh(&mut self, port: &mut Port) {
        let now = port.clock.now;
        if self.refreshing || now < self.refresh_at {
            return;
        }
        // At most half of this controller's requests, however many queries come.
        let pause = (2.0 * SECOND as f64 / port.budget.rate().max(0.1)) as Micros;
        let pause = pause.max(REFRESH_EVERY);
        let at_least = if port.configuring.ever() {
            LOOK_EVERY.min(REFRESH_AT_LEAST)
        } else {
            REFRESH_AT_LEAST
        };
        let due = now >= self.refresh_at + at_least;
        match self.mirror.version() {
            Some(at) if !self.asking.is_empty() || port.configuring.behind() || due => {
                self.refreshing = true;
                self.refresh_sent = now;
                self.refresh_at = now + pause;
                self.answering = std::mem::take(&mut self.asking);
                let request = StoreRequest::changes(store::LIVE, at);
                port.send(Urgency::User, request, Purpose::Refresh);
            }
            None if port.state_ok() => {
                self.refreshing = true;
                self.refresh_sent = now;
                self.refresh_at = now + SECOND;
                let request = StoreRequest::list(store::LIVE, "");
                port.send(Urgency::User, request, Purpose::Copy);
            }
            _ => {}
        }
    }

    pub(super) fn copied(&mut self, port: &mut Port, answer: Option<(u16, Bytes)>) {
        let listing = read::<Listing>(answer);
        let Some(listing) = listing else {
            self.refreshing = false;
            return self.mirror.reset();
        };
        port.configuring
            .listed(&listing, self.mirror.is_at_first_page());
        match self.mirror.apply_listing_page(&listing) {
            Some(after) => {
                let request = StoreRequest::list(store::LIVE, &after);
                port.send(Urgency::User, request, Purpose::Copy);
            }
            None => {
                self.refreshing = false;
                self.refresh_at = port.clock.now;
                port.configuring.knew(self.refresh_sent);
            }
        }
    }

    pub(super) fn refreshed(
        &mut self,
        port: &mut Port,
        answer: Option<(u16, Bytes)>,
        progress: Progress<'_>,
    ) {
        self.refreshing = false;
        let waiting = std::mem::take(&mut self.answering);
        let followed = match &answer {
            Some((200, body)) => serde_json::from_slice::<Followed>(body).ok(),
            _ => None,
        };
        let Some(followed) = followed else {
            if matches!(answer, Some((status, _)) if status != 429 && status != 503) {
                // Too far behind: the changes are not kept any more.
                self.mirror.reset();
            }
            waiting
                .into_iter()
                .for_each(|asker| port.unavailable(asker.conn()));
            return self.refresh(port);
        };
        port.configuring.changed(&followed.log);
        port.configuring.knew(self.refresh_sent);
        self.mirror.apply_changes(&followed);
        for asker in waiting {
            let (conn, id) = match asker {
                Asker::Query(conn, id) => (conn, id),
                Asker::Submit(conn, id, submission) => {
                    self.check_named(port, conn, id, submission);
                    continue;
                }
            };
            match self.mirror.lookup(&id) {
                // It is asked again once that end has been read.
                JobLookup::DependencyUnknown if port.deadlines.contains_key(&conn) => {
                    self.asking.push(Asker::Query(conn, id));
                }
                JobLookup::DependencyUnknown => {}
                JobLookup::Job(mut view) => {
                    show_progress(&id, &mut view, progress);
                    port.reply(conn, api::answer(200, &id, &view));
                }
                JobLookup::NeverSubmitted => port.reply(conn, Response::error(404, "no such job")),
                JobLookup::NotLive => self.look_up(port, id, Waiter::Poll(conn), true),
            }
        }
        self.refresh(port);
    }

    pub(super) fn looked(
        &mut self,
        port: &mut Port,
        job: JobId,
        over: bool,
        answer: Option<(u16, Bytes)>,
        progress: Progress<'_>,
    ) {
        match answer {
            Some((200, body)) => {
                let Ok(item) = serde_json::from_slice::<Item>(&body) else {
                    return self.look_failed(port, job);
                };
                if over {
                    let Some(view) = view_of_end(&item) else {
                        return self.look_failed(port, job);
                    };
                    self.found(port, job, view, None);
                } else {
                    let Some(r) = item.live() else {
                        return self.look_failed(port, job);
                    };
                    let view = view_of(&job, &r, progress);
                    self.found(port, job, view, Some((r, item.stamp)));
                }
            }
            Some((404, _)) if !over => self.start_look(port, job, true),
            Some((404, body)) => {
                if let Ok(missing) = serde_json::from_slice::<Committed>(&body) {
                    self.mirror.record_absent(job.clone(), missing.ledger_no);
                }
                let waiters = self.take_waiters(port, &job);
                for w in waiters {
                    match w {
                        Waiter::Poll(c) | Waiter::Cancel(c) => {
                            port.reply(c, Response::error(404, "no such job"));
                        }
                        Waiter::Submit(c, Ok(spec)) => self.accept(port, c, job.clone(), spec),
                        Waiter::Submit(c, Err(refusal)) => port.refuse(c, &refusal),
                        Waiter::Confirm(c) => {
                            let why = "it is not certain yet that the job was accepted";
                            port.reply(c, Response::error(503, why).retry(1));
                        }
                    }
                }
            }
            _ => self.look_failed(port, job),
        }
    }

    pub(super) fn look_failed(&mut self, port: &mut Port, job: JobId) {
        for w in self.take_waiters(port, &job) {
            port.unavailable(w.conn());
        }
    }

    /// Those whom the finished read may answer; starts the next read for the rest.
    pub(super) fn take_waiters(&mut self, port: &mut Port, job: &JobId) -> Vec<Waiter> {
        let Some(lookup) = self.lookups.get_mut(job) else {
            return Vec::new();
        };
        let waiters = std::mem::take(&mut lookup.now);
        lookup.now = std::mem::take(&mut lookup.next);
        if lookup.now.is_empty() {
            self.lookups.remove(job);
        } else {
            self.start_look(port, job.clone(), false);
        }
        waiters
    }

    pub(super) fn found(
        &mut self,
        port: &mut Port,
        job: JobId,
        view: JobView,
        live: Option<(LiveRecord, u64)>,
    ) {
        if matches!(view.status, Status::Done | Status::Cancelled) {
            self.mirror.record_end(job.clone(), view.clone());
        }
        if let Some((record, stamp)) = &live
            && record.cancelled()
        {
            self.mirror.record_cancellation(job.clone(), *stamp);
        }
        let mut cancels = Vec::new();
        for w in self.take_waiters(port, &job) {
            match (w, &live) {
                (Waiter::Cancel(c), Some((r, _))) if !r.cancelled() => cancels.push(c),
                // Whether it is cancelled with one that it needs, its own record does not tell.
                (w, Some((LiveRecord::Waiting(r), _))) if !r.cancelled => {
                    if self.mirror.version().is_some() {
                        self.asking.push(Asker::Query(w.conn(), job.clone()));
                    } else {
                        port.unavailable(w.conn());
                    }
                }
                (w, _) => port.reply(w.conn(), api::answer(200, &job, &view)),
            }
        }
        self.refresh(port);
        let Some((record, stamp)) = live.filter(|_| !cancels.is_empty()) else {
            return;
        };
        let key = format!("{}{job}", store::LIVE);
        let mut commit = Commit::default();
        commit.guard(&key, stamp);
        commit.put(&key, record.cancel(port.settings.value_bytes), None);
        let view = JobView::new(Status::Cancelled, view.done);
        let purpose = Purpose::Cancel {
            job,
            conns: cancels,
            view,
        };
        port.send(Urgency::User, commit.request(), purpose);
    }

    pub(super) fn cancelled(
        &mut self,
        port: &mut Port,
        job: JobId,
        conns: Vec<u64>,
        view: JobView,
        answer: Option<(u16, Bytes)>,
    ) {
        let status = answer.as_ref().map(|a| a.0);
        if status == Some(200) {
            let stamp = committed(answer.as_ref());
            self.mirror.record_end(job.clone(), view.clone());
            self.mirror.record_cancellation(job.clone(), stamp);
            for c in conns {
                port.reply(c, api::answer(200, &job, &view));
            }
            return port.news.push(News::Changed(job, stamp));
        }
        for c in conns {
            match status {
                // The job changed meanwhile, or nothing is certain: only looking again tells.
                Some(409) | None if port.deadlines.contains_key(&c) => {
                    self.look(port, job.clone(), Waiter::Cancel(c));
                }
                _ => port.unavailable(c),
            }
        }
    }
}

/// A live job as its record and what is known of its progress show it.
fn view_of(id: &JobId, record: &LiveRecord, progress: Progress<'_>) -> JobView {
    let mut done = TaskSet::default();
    if let LiveRecord::Job(record) = record {
        store::decode_done(&record.done, 0, &mut done);
    }
    let status = if record.cancelled() {
        Status::Cancelled
    } else {
        Status::Pending
    };
    let mut view = JobView::new(status, done.len());
    show_progress(id, &mut view, progress);
    view
}

/// Adds what is known of a live job beside its record: for display only.
fn show_progress(id: &JobId, view: &mut JobView, progress: Progress<'_>) {
    if view.status != Status::Pending {
        return;
    }
    if let Some((running, done)) = progress(id) {
        (view.running, view.done) = (running, done.max(view.done));
    }
    if view.running > 0 {
        view.status = Status::Running;
    }
}

/// How a job ended, as its record in the state service has it.
pub(super) fn view_of_end(item: &Item) -> Option<JobView> {
    let r = item.record::<OverRecord>()?;
    Some(match r.cancelled {
        true => JobView::new(Status::Cancelled, 0),
        false => JobView::new(Status::Done, r.tasks),
    })
}

/// The same from the answer to a read of that record, if there was one.
pub(super) fn end_of(answer: &(u16, Bytes)) -> Option<JobView> {
    let item = (answer.0 == 200).then(|| serde_json::from_slice::<Item>(&answer.1).ok());
    view_of_end(&item.flatten()?)
}
