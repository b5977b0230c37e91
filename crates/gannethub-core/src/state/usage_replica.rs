//! A sibling's copy of what a leader has not charged yet, or not in writing.
//!
//! A worker remembers an attempt until it is told to forget it, and that is enough while machines live. What was
//! on a machine that is lost together with the leader is known to nobody else; so the leader tells its siblings
//! what is open, and one of them goes on with it. Messages may be lost: a copy with a gap asks for all of it,
//! and says of itself that it is not complete.

use std::collections::BTreeMap;

use crate::model::{Micros, SECOND};
use crate::wire::peer::{AttemptKey, OpenUsageRecord, UsageRecords};

/// A copy that has a gap asks again after this time.
const ASK_AGAIN: Micros = 2 * SECOND;

/// A tab as a leader told of it.
#[derive(Debug, Clone)]
pub struct ReplicatedRecord {
    pub record: OpenUsageRecord,
    /// When that came, and how long it had been on its way.
    pub received_at: Micros,
    pub transit_time: Micros,
    /// When the leader was last heard, and had nothing else to tell of it.
    pub current_until: Micros,
}

/// What is known of a leader's open tabs.
#[derive(Debug, Default)]
pub struct UsageReplica {
    pub term: u64,
    next: u64,
    complete: bool,
    filling: bool,
    asked_at: Option<Micros>,
    heard_at: Micros,
    tabs: BTreeMap<AttemptKey, ReplicatedRecord>,
}

impl UsageReplica {
    /// What a leader that steps down knows itself.
    pub fn from_own_records(term: u64, tabs: Vec<OpenUsageRecord>, now: Micros) -> UsageReplica {
        let mut shadow = UsageReplica::default();
        let (seq, closed) = (0, Vec::new());
        let (first, last, at) = (true, true, 0);
        let all = UsageRecords {
            term,
            sequence: seq,
            is_first: first,
            is_last: last,
            open_records: tabs,
            closed_keys: closed,
            sent_at: at,
        };
        shadow.apply(all, now, 0);
        shadow
    }

    /// Takes in a leader's message that has been on its way so long. True: all of it should be asked for.
    pub fn apply(&mut self, message: UsageRecords, now: Micros, late: Micros) -> bool {
        if message.term < self.term {
            return false;
        }
        if message.term > self.term {
            *self = UsageReplica {
                term: message.term,
                ..UsageReplica::default()
            };
        }
        if message.is_first {
            self.tabs.clear();
            (self.filling, self.next) = (true, message.sequence);
        }
        let follows = message.sequence == self.next;
        self.next = message.sequence + 1;
        if !follows {
            (self.complete, self.filling) = (false, false);
        }
        // What has come is of use even where something is missing.
        for key in message.closed_keys {
            self.tabs.remove(&key);
        }
        for tab in message.open_records {
            if let Some(key) = tab.key.clone() {
                self.tabs.insert(
                    key,
                    ReplicatedRecord {
                        record: tab,
                        received_at: now,
                        transit_time: late,
                        current_until: now,
                    },
                );
            }
        }
        if message.is_last && self.filling {
            (self.complete, self.filling) = (true, false);
        }
        let ask = !self.complete && !self.filling;
        let due = self.asked_at.is_none_or(|t| now >= t + ASK_AGAIN);
        if ask && due {
            self.asked_at = Some(now);
        }
        ask && due
    }

    /// The leader of `term` is alive.
    pub fn leader_heard(&mut self, term: u64, now: Micros) {
        if term == self.term {
            self.heard_at = now;
        }
    }

    /// What the leader of `term` left open, and whether that is all. Of what it had no news of, nothing had
    /// changed while it was heard.
    pub fn take_records(&mut self, term: u64) -> (Vec<ReplicatedRecord>, bool) {
        let complete = self.complete && self.term == term;
        let UsageReplica { tabs, heard_at, .. } = std::mem::take(self);
        let until = |told: ReplicatedRecord| ReplicatedRecord {
            current_until: told.current_until.max(heard_at),
            ..told
        };
        (tabs.into_values().map(until).collect(), complete)
    }
}

#[cfg(test)]
mod tests;
