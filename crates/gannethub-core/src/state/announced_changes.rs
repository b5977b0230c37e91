//! Changes of jobs that a shard owner was told of and has not read from the state service yet.
//!
//! Users may be told of a cancellation as soon as the owner has recorded it here, so an owner starts no task of a job
//! that is announced as cancelled, even if it learns of the job itself only later. A peer of an earlier release
//! announces changes without their kind. Any of them may be a cancellation whose user has been told, so such a job is
//! held until the owner has read the change.

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
    /// Changes whose kind is not known.
    unread: BTreeMap<JobId, AnnouncedChange>,
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

    /// Records a change that may be a cancellation. No task of the job is started until the change has been read.
    pub fn record_unread_change(&mut self, id: JobId, version: u64, now: Micros) {
        let change = AnnouncedChange {
            version,
            announced_at: now,
        };
        self.unread.insert(id, change);
    }

    /// Whether the job is announced as cancelled.
    pub fn is_cancelled(&self, id: &str) -> bool {
        self.cancellations.contains_key(id)
    }

    /// Whether the start of the job's tasks is held until a change of the job has been read.
    pub fn is_held(&self, id: &str) -> bool {
        self.unread.contains_key(id)
    }

    /// Drops the changes that are among all changes up to `version`, as read by a request that was sent at `sent_at`.
    /// Returns whether a job is no longer held.
    pub fn apply_read(&mut self, version: u64, sent_at: Micros) -> bool {
        let held_before = self.unread.len();
        self.cancellations
            .retain(|_, change| !change.is_contained_in(version, sent_at));
        self.unread
            .retain(|_, change| !change.is_contained_in(version, sent_at));
        self.unread.len() < held_before
    }

    /// Drops the holds that began by `known_at`, a time up to which the owner knows all confirmed cancellations by
    /// other means than reading. Returns whether a job is no longer held.
    pub fn release_held_by(&mut self, known_at: Micros) -> bool {
        let held_before = self.unread.len();
        self.unread
            .retain(|_, change| change.announced_at > known_at);
        self.unread.len() < held_before
    }

    /// Drops the hold on a job whose record was read by a request that was sent at `sent_at`, if the read contains the
    /// change. `version` is the version of the record that was read; 0 if the job has no live record.
    pub fn release(&mut self, id: &str, version: u64, sent_at: Micros) {
        let change = self.unread.get(id);
        if change.is_some_and(|change| change.is_contained_in(version, sent_at)) {
            self.unread.remove(id);
        }
    }

    /// Drops all changes of a job that has ended.
    pub fn remove(&mut self, id: &str) {
        self.cancellations.remove(id);
        self.unread.remove(id);
    }
}

#[cfg(test)]
mod tests;
