//! Changes of jobs that a shard owner was told of and has not read from the state service yet.
//!
//! Users may be told of a cancellation as soon as the owner has recorded it here, so an owner starts no task of a job
//! that is announced as cancelled, even if it learns of the job itself only later.

use std::collections::BTreeMap;

use crate::model::{JobId, Micros};

/// An announced change of a job.
#[derive(Clone, Copy, Debug)]
struct AnnouncedChange {
    /// Version of the state service in which the change was stored. An unknown version counts as the newest one.
    version: u64,
    /// Time of the announcement, on this process's clock.
    announced_at: Micros,
}

impl AnnouncedChange {
    /// Whether the change is among all changes up to `version`, as read by a request that was sent at `sent_at`. A
    /// change is stored before it is announced.
    fn is_contained_in(&self, version: u64, sent_at: Micros) -> bool {
        self.version <= version || self.announced_at <= sent_at
    }
}

/// Announced changes of jobs, until the owner has read them.
#[derive(Debug, Default)]
pub struct AnnouncedChanges {
    /// Cancellations of jobs that are not known yet.
    cancellations: BTreeMap<JobId, AnnouncedChange>,
}

impl AnnouncedChanges {
    /// Records the cancellation of a job that is not known yet.
    pub fn record_cancellation(&mut self, id: JobId, version: u64, now: Micros) {
        let change = AnnouncedChange {
            version,
            announced_at: now,
        };
        self.cancellations.entry(id).or_insert(change);
    }

    /// Whether the job is announced as cancelled.
    pub fn is_cancelled(&self, id: &str) -> bool {
        self.cancellations.contains_key(id)
    }

    /// Drops the changes that are among all changes up to `version`, as read by a request that was sent at `sent_at`.
    pub fn apply_read(&mut self, version: u64, sent_at: Micros) {
        self.cancellations
            .retain(|_, change| !change.is_contained_in(version, sent_at));
    }

    /// Drops all changes of a job that has ended.
    pub fn remove(&mut self, id: &str) {
        self.cancellations.remove(id);
    }
}

#[cfg(test)]
mod tests;
