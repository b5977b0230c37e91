//! All that the leader keeps of the usage ledger beside the open records, which lie with their attempts.

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::sync::Arc;

use gannethub_ledger::book::{Book, ChargedAttempt, OpenedBook};

use super::record::{AttemptEnd, OrphanedAttempt, UsageShare};
use crate::model::{AttemptId, JobId, MachineId, Micros};
use crate::wire::peer::AttemptKey;
use crate::wire::store::JobOwner;

/// A leader's usage ledger.
#[derive(Debug)]
pub struct UsageLedger {
    /// The accounts, and the pages that are durable or to be written.
    pub book: Book,
    /// Attempts that earlier leaders charged, as far as they may be met again.
    pub(super) charged_before: HashSet<ChargedAttempt>,
    /// Ends that an earlier leader had charged but not made durable, and the tickets under which this one has
    /// charged them.
    pub(super) inherited_tickets: HashMap<ChargedAttempt, u64>,
    /// The copy of the earlier leader's records that this one took over was complete.
    pub(super) replica_was_complete: bool,
    pub(super) orphans: BTreeMap<MachineId, BTreeMap<AttemptId, OrphanedAttempt>>,
    /// Ends whose owners are not known yet, by their jobs.
    pub(super) unowned_ends: BTreeMap<JobId, Vec<AttemptEnd>>,
    /// When the owners of these jobs were last asked for.
    pub(super) owner_queries: HashMap<JobId, Micros>,
    /// Ends that are charged and not durable yet, by their tickets.
    pub(super) undurable_ends: BTreeMap<u64, (Arc<JobOwner>, AttemptEnd)>,
    /// Machines for which an unmetered interval is on the books.
    pub(super) unmetered_machines: HashSet<MachineId>,
    /// The last attempt number that was given out with a time in it.
    pub(super) last_attempt_number: u64,
    pub(super) replication: Replication,
    /// Each team's share of all usage, in the settings' order of teams, and when that was last worked out.
    pub(super) shares: Vec<UsageShare>,
    pub(super) shares_updated_at: Option<Micros>,
}

/// What has changed since peers were last told of the open records.
#[derive(Debug)]
pub(super) struct Replication {
    /// Attempts whose records are new or have changed.
    pub changed: BTreeSet<(MachineId, AttemptId)>,
    /// Launches among them are going out now.
    pub is_urgent: bool,
    /// Tickets of attempts that have ended.
    pub ended: Vec<u64>,
    /// Attempts whose ends have become durable.
    pub closed: Vec<AttemptKey>,
    /// How far each peer has been told.
    pub peers: Vec<PeerProgress>,
}

/// How far a peer has been told.
#[derive(Debug, Clone)]
pub(super) struct PeerProgress {
    pub next_sequence: u64,
    /// It is to be told of all records again.
    pub needs_all: bool,
}

impl Replication {
    fn new(peer_count: usize) -> Replication {
        let untold = PeerProgress {
            next_sequence: 0,
            needs_all: true,
        };
        Replication {
            changed: BTreeSet::new(),
            is_urgent: false,
            ended: Vec::new(),
            closed: Vec::new(),
            peers: vec![untold; peer_count],
        }
    }

    pub fn mark_changed(&mut self, machine: &MachineId, attempt: &AttemptId) {
        self.changed.insert((machine.clone(), attempt.clone()));
    }
}

impl UsageLedger {
    /// The ledger as the state service holds it.
    pub(super) fn new(opened: OpenedBook, peer_count: usize) -> UsageLedger {
        UsageLedger {
            book: opened.book,
            charged_before: opened.charged,
            inherited_tickets: HashMap::new(),
            replica_was_complete: false,
            orphans: BTreeMap::new(),
            unowned_ends: BTreeMap::new(),
            owner_queries: HashMap::new(),
            undurable_ends: BTreeMap::new(),
            unmetered_machines: HashSet::new(),
            last_attempt_number: 0,
            replication: Replication::new(peer_count),
            shares: Vec::new(),
            shares_updated_at: None,
        }
    }
}
