//! A controller's copy of what the state service says of jobs, which lets one read answer any
//! number of queries.
//!
//! The copy is of every live pipeline. Before queries are answered it is brought up to the present
//! with one read of what changed; a query that comes while that read is under way waits for the
//! next one. So an answer is never older than its question, and nobody is told less than another
//! controller has said already, in a takeover or after a cut as well. Of what is over only the
//! answers given or seen lately are kept: an end never changes.

use std::collections::{HashMap, HashSet};

use serde::Deserialize;

use crate::api::{JobView, Status};
use crate::model::{JobId, Ranges};
use crate::store::{Change, Followed, Item, LIVE, Listing, decode_done};

/// How many ends, and how many ids that nobody submitted, are remembered.
const REMEMBERED: usize = 50_000;

/// What a query needs of a job's record.
#[derive(Deserialize)]
struct Brief {
    spec: BriefSpec,
    #[serde(default)]
    done: String,
    #[serde(default)]
    cancelled: bool,
}

#[derive(Deserialize)]
struct BriefSpec {
    tasks: u32,
}

#[derive(Debug)]
struct Live {
    tasks: u32,
    done: u32,
    cancelled: bool,
}

/// What the copy says of a job.
#[derive(Debug, PartialEq)]
pub enum Found {
    /// Alive, or over for good.
    Job(JobView),
    /// Not alive; nobody has asked yet whether it is over.
    NotLive,
    /// It was never submitted.
    Absent,
}

#[derive(Debug, Default)]
pub struct Mirror {
    /// The version the copy is true to; `None` until everything has been read.
    at: Option<u64>,
    /// The version at which reading everything began.
    reading: Option<u64>,
    live: HashMap<JobId, Live>,
    over: HashMap<JobId, JobView>,
    absent: HashSet<JobId>,
}

impl Mirror {
    /// The version from which changes are to be read; `None` if everything has to be.
    pub fn at(&self) -> Option<u64> {
        self.at
    }

    /// The final state of a job, if it is known to be over. It holds at any time.
    pub fn ended(&self, id: &str) -> Option<&JobView> {
        self.over.get(id)
    }

    pub fn is_live(&self, id: &str) -> bool {
        self.live.contains_key(id)
    }

    /// A job's final state has been read or written.
    pub fn end(&mut self, id: JobId, view: JobView) {
        if self.over.len() >= REMEMBERED {
            self.over.clear();
        }
        self.over.insert(id, view);
    }

    /// The job was neither alive nor over at this version. That holds until a change shows it, if
    /// all later changes are still to come.
    pub fn miss(&mut self, id: JobId, stamp: u64) {
        if self.at.is_none_or(|at| at > stamp) {
            return;
        }
        if self.absent.len() >= REMEMBERED {
            self.absent.clear();
        }
        self.absent.insert(id);
    }

    /// What the copy says, as of the version it is true to.
    pub fn find(&self, id: &str) -> Found {
        if let Some(view) = self.over.get(id) {
            return Found::Job(view.clone());
        }
        match self.live.get(id) {
            Some(l) => Found::Job(l.view()),
            None if self.absent.contains(id) => Found::Absent,
            None => Found::NotLive,
        }
    }

    /// Changes were missed: everything has to be read again.
    pub fn lost(&mut self) {
        self.at = None;
        self.reading = None;
        self.live.clear();
        self.absent.clear();
    }

    /// Takes in a page of all live jobs. Returns the key after which the next page begins.
    pub fn listed(&mut self, listing: &Listing) -> Option<String> {
        let began = *self.reading.get_or_insert(listing.ledger_no);
        listing.items.iter().for_each(|item| self.read(item));
        let last = listing.items.last().filter(|_| listing.truncated);
        if last.is_none() {
            // What changed while the pages were read is read again with the changes since then.
            self.at = Some(began);
            self.reading = None;
        }
        last.map(|i| i.k.clone())
    }

    fn read(&mut self, item: &Item) {
        if let (Some(id), Some(brief)) = (item.k.strip_prefix(LIVE), item.record::<Brief>()) {
            self.live.insert(id.into(), Live::new(&brief));
        }
    }

    /// Takes in all changes since [`Mirror::at`].
    pub fn followed(&mut self, followed: &Followed) {
        for change in &followed.log {
            self.change(change);
        }
        self.at = Some(followed.ledger_no);
    }

    fn change(&mut self, change: &Change) {
        if let Some(id) = change.write.as_deref().and_then(|k| k.strip_prefix(LIVE)) {
            let text = change.v.as_deref().map_or("null", |v| v.get());
            match serde_json::from_str::<Brief>(text) {
                Ok(brief) => {
                    self.absent.remove(id);
                    self.live.insert(id.into(), Live::new(&brief));
                }
                Err(e) => tracing::error!(job = id, error = %e, "a job's value is not ours"),
            }
        }
        // The record of a pipeline goes when it is over, in one transaction with the end's: what
        // it said last tells which end that is.
        if let Some(id) = change.delete.as_deref().and_then(|k| k.strip_prefix(LIVE)) {
            self.absent.remove(id);
            if let Some((id, live)) = self.live.remove_entry(id) {
                self.end(id, live.over());
            }
        }
    }
}

impl Live {
    fn new(brief: &Brief) -> Live {
        let mut done = Ranges::default();
        decode_done(&brief.done, 0, &mut done);
        Live { tasks: brief.spec.tasks, done: done.len(), cancelled: brief.cancelled }
    }

    fn view(&self) -> JobView {
        let status = if self.cancelled { Status::Cancelled } else { Status::Pending };
        JobView { status, done: self.done, running: 0 }
    }

    fn over(&self) -> JobView {
        let (status, done) = if self.cancelled {
            (Status::Cancelled, self.done)
        } else {
            (Status::Done, self.tasks)
        };
        JobView { status, done, running: 0 }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn listing(text: &str) -> Listing {
        serde_json::from_str(text).unwrap()
    }

    fn record(done: &str, cancelled: bool) -> String {
        format!(r#"{{"spec":{{"tasks":4}},"at":0,"done":"{done}","cancelled":{cancelled}}}"#)
    }

    #[test]
    fn a_copy_follows_every_change_and_tells_ends_apart() {
        let mut m = Mirror::default();
        let (a, b) = (record("0-1", false), record("", true));
        let page = format!(
            r#"{{"items":[{{"k":"gh/live/j-1","v":{a},"stamp":3}}],"truncated":true,"ledger_no":7}}"#
        );
        assert_eq!(m.listed(&listing(&page)).as_deref(), Some("gh/live/j-1"));
        assert_eq!(m.at(), None);
        let page = format!(
            r#"{{"items":[{{"k":"gh/live/j-2","v":{a},"stamp":9}}],"truncated":false,"ledger_no":9}}"#
        );
        assert_eq!(m.listed(&listing(&page)), None);
        assert_eq!(m.at(), Some(7), "changes between the pages are read again");
        assert!(matches!(m.find("j-1"), Found::Job(v) if v.done == 2));
        assert_eq!(m.find("j-3"), Found::NotLive);
        m.miss("j-3".into(), 6);
        assert_eq!(m.find("j-3"), Found::NotLive, "a later change may have shown it");
        m.miss("j-3".into(), 9);
        assert_eq!(m.find("j-3"), Found::Absent);
        let log = format!(
            r#"{{"ledger_no":12,"log":[{{"write":"gh/live/j-2","v":{b},"stamp":10}},
            {{"delete":"gh/live/j-1","stamp":11}},{{"delete":"gh/live/j-2","stamp":11}},
            {{"write":"gh/live/j-3","v":{a},"stamp":12}}]}}"#
        );
        m.followed(&serde_json::from_str(&log).unwrap());
        assert_eq!(m.at(), Some(12));
        assert!(matches!(m.find("j-1"), Found::Job(v) if v.status == Status::Done && v.done == 4));
        assert!(matches!(m.find("j-2"), Found::Job(v) if v.status == Status::Cancelled));
        assert!(matches!(m.find("j-3"), Found::Job(_)), "it is not absent any more");
        m.lost();
        assert!(m.at().is_none() && m.ended("j-1").is_some(), "an end holds at any time");
    }
}
