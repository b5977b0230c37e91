//! A peer's copy of what a leader has not charged yet, or not made durable.
//!
//! A worker remembers an attempt until it is told to forget it, and that is enough while machines live. What was
//! on a machine that is lost together with the leader is known to nobody else; so the leader sends its open usage
//! records to its peers, and the one that succeeds it goes on with them. Messages may be lost: a copy that has
//! missed one asks for all records, and says of itself that it is not complete.

use std::collections::BTreeMap;

use crate::model::{Micros, SECOND};
use crate::wire::peer::{AttemptKey, OpenUsageRecord, UsageRecords};

/// A copy that has missed a message asks again after this time.
const RESEND_REQUEST_INTERVAL: Micros = 2 * SECOND;

/// An open usage record as a leader sent it.
#[derive(Debug, Clone)]
pub struct ReplicatedRecord {
    pub record: OpenUsageRecord,
    /// When the record came, on this process's clock.
    pub received_at: Micros,
    /// How long it had been on its way.
    pub transit_time: Micros,
    /// Until when it is known to have held: when the leader was last heard, and had nothing new to tell of it.
    pub current_until: Micros,
}

/// What a new leader goes on with.
#[derive(Debug)]
pub struct InheritedRecords {
    pub records: Vec<ReplicatedRecord>,
    /// No record of the leader before is missing.
    pub is_complete: bool,
}

/// What is known of a leader's open usage records.
#[derive(Debug, Default)]
pub struct UsageReplica {
    /// The leader's term.
    pub term: u64,
    next_sequence: u64,
    /// It has all of the leader's records.
    is_complete: bool,
    /// The leader is sending all of its records, and none has been missed so far.
    is_filling: bool,
    resend_requested_at: Option<Micros>,
    leader_heard_at: Micros,
    records: BTreeMap<AttemptKey, ReplicatedRecord>,
}

impl UsageReplica {
    /// What a leader that steps down knows itself.
    pub fn from_own_records(term: u64, records: Vec<OpenUsageRecord>, now: Micros) -> UsageReplica {
        let mut replica = UsageReplica::default();
        let all_records = UsageRecords {
            term,
            sequence: 0,
            is_first: true,
            is_last: true,
            open_records: records,
            closed_keys: Vec::new(),
            sent_at: 0,
        };
        replica.apply(all_records, now, 0);
        replica
    }

    /// Takes in a leader's message. Returns whether all records should be asked for again.
    pub fn apply(&mut self, message: UsageRecords, now: Micros, transit_time: Micros) -> bool {
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
            self.records.clear();
            self.is_filling = true;
            self.next_sequence = message.sequence;
        }
        if message.sequence != self.next_sequence {
            self.is_complete = false;
            self.is_filling = false;
        }
        self.next_sequence = message.sequence + 1;
        // What has come is of use even where something is missing.
        for key in &message.closed_keys {
            self.records.remove(key);
        }
        for record in message.open_records {
            self.insert(record, now, transit_time);
        }
        if message.is_last && self.is_filling {
            self.is_complete = true;
            self.is_filling = false;
        }
        self.should_request_resend(now)
    }

    fn insert(&mut self, record: OpenUsageRecord, now: Micros, transit_time: Micros) {
        let Some(key) = record.key.clone() else {
            return;
        };
        let record = ReplicatedRecord {
            record,
            received_at: now,
            transit_time,
            current_until: now,
        };
        self.records.insert(key, record);
    }

    fn should_request_resend(&mut self, now: Micros) -> bool {
        if self.is_complete || self.is_filling {
            return false;
        }
        let is_due = self
            .resend_requested_at
            .is_none_or(|at| now >= at + RESEND_REQUEST_INTERVAL);
        if is_due {
            self.resend_requested_at = Some(now);
        }
        is_due
    }

    /// The leader of `term` is alive.
    pub fn leader_heard(&mut self, term: u64, now: Micros) {
        if term == self.term {
            self.leader_heard_at = now;
        }
    }

    /// What the leader of `term` left open, and whether that is all. A record of which it sent no news had not
    /// changed while the leader was heard.
    pub fn take_records(&mut self, term: u64) -> InheritedRecords {
        let replica = std::mem::take(self);
        let records = replica
            .records
            .into_values()
            .map(|record| ReplicatedRecord {
                current_until: record.current_until.max(replica.leader_heard_at),
                ..record
            });
        InheritedRecords {
            records: records.collect(),
            is_complete: replica.is_complete && replica.term == term,
        }
    }
}

#[cfg(test)]
mod tests;
