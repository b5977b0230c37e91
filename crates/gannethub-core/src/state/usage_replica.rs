//! A peer's copy of the leader's usage records that are not yet charged or not yet durable.
//!
//! A worker remembers an attempt until it is told to forget the attempt, which is enough while machines live. If a
//! machine is lost together with the leader, nobody else knows the attempts on that machine. The leader therefore
//! sends its open usage records to its peers, and the peer that succeeds it continues with them. Messages may be
//! lost: a copy that has missed a message requests all records, and reports that it is not complete.

use std::collections::BTreeMap;

use crate::model::{Micros, SECOND};
use crate::wire::peer::{AttemptKey, OpenUsageRecord, UsageRecords};

/// Interval at which a copy that has missed a message repeats its request for all records.
const RESEND_REQUEST_INTERVAL: Micros = 2 * SECOND;

/// An open usage record as received from a leader.
#[derive(Debug, Clone)]
pub struct ReplicatedRecord {
    pub record: OpenUsageRecord,
    /// Time at which the record was received, on this process's clock.
    pub received_at: Micros,
    /// Time that the record spent in transit.
    pub transit_time: Micros,
    /// Time until which the record is known to have been current: the last time that the leader was heard without
    /// sending a change of the record.
    pub current_until: Micros,
}

/// The records with which a new leader continues.
#[derive(Debug)]
pub struct InheritedRecords {
    pub records: Vec<ReplicatedRecord>,
    /// Whether the records of the previous leader are all present.
    pub is_complete: bool,
}

/// The copy of a leader's open usage records.
#[derive(Debug, Default)]
pub struct UsageReplica {
    /// The leader's term.
    pub term: u64,
    next_sequence: u64,
    /// Whether the copy has all of the leader's records.
    is_complete: bool,
    /// Whether the leader is sending all of its records and no message has been missed so far.
    is_filling: bool,
    resend_requested_at: Option<Micros>,
    leader_heard_at: Micros,
    records: BTreeMap<AttemptKey, ReplicatedRecord>,
}

impl UsageReplica {
    /// Returns the complete copy of a leader that steps down, made from its own records.
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

    /// Applies a leader's message. Returns whether to request all records again.
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
        // The records of this message are useful even if another message is missing.
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

    /// Records that the leader of `term` is alive.
    pub fn leader_heard(&mut self, term: u64, now: Micros) {
        if term == self.term {
            self.leader_heard_at = now;
        }
    }

    /// Returns the records that the leader of `term` left open, and whether they are complete. A record without news
    /// from the leader had not changed up to the time when the leader was last heard.
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
