//! The leader's state of the usage ledger, except for the open records, which are stored with their attempts.

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::sync::Arc;

use gannethub_ledger::book::{Book, ChargedAttempt, OpenedBook};

use super::record::{AttemptEnd, OrphanedAttempt, UsageShare};
use crate::model::{AttemptId, JobId, MachineId, Micros};
use crate::wire::peer::AttemptKey;
use crate::wire::store::JobAccount;

/// A leader's usage ledger.
#[derive(Debug)]
pub struct UsageLedger {
    /// The accounts, and the pages that are durable or to be written.
    pub book: Book,
    /// Attempts charged by earlier leaders that this leader may still encounter.
    pub(super) charged_before: HashSet<ChargedAttempt>,
    /// Tickets under which this leader has charged ends that the previous leader sent and had not made durable.
    pub(super) inherited_tickets: HashMap<ChargedAttempt, u64>,
    /// Whether the copy of the previous leader's records that this leader took over was complete.
    pub(super) replica_was_complete: bool,
    pub(super) orphans: BTreeMap<MachineId, BTreeMap<AttemptId, OrphanedAttempt>>,
    /// Ends whose owners are not known yet, by job.
    pub(super) unowned_ends: BTreeMap<JobId, Vec<AttemptEnd>>,
    /// Time at which the owner of each job was last queried.
    pub(super) owner_queries: HashMap<JobId, Micros>,
    /// Ends that are charged and not durable yet, by ticket.
    pub(super) non_durable_ends: BTreeMap<u64, (Arc<JobAccount>, AttemptEnd)>,
    /// Machines for which the ledger has an unmetered interval.
    pub(super) unmetered_machines: HashSet<MachineId>,
    /// The last attempt number with a timestamp that was assigned.
    pub(super) last_attempt_number: u64,
    pub(super) replication: Replication,
    /// Each team's share of all usage, in the order of teams in the settings.
    pub(super) shares: Vec<UsageShare>,
    pub(super) shares_updated_at: Option<Micros>,
}

/// Changes of the open records since the last messages to peers.
#[derive(Debug)]
pub(super) struct Replication {
    /// Attempts whose records are new or have changed.
    pub changed: BTreeSet<(MachineId, AttemptId)>,
    /// Whether launches of changed attempts are being sent now.
    pub is_urgent: bool,
    /// Tickets of attempts that have ended.
    pub ended: Vec<u64>,
    /// Attempts whose ends have become durable.
    pub closed: Vec<AttemptKey>,
    /// Progress of the messages to each peer.
    pub peers: Vec<PeerProgress>,
}

/// Progress of the messages to one peer.
#[derive(Debug, Clone)]
pub(super) struct PeerProgress {
    pub next_sequence: u64,
    /// Whether all records have to be sent to the peer again.
    pub needs_all: bool,
}

impl Replication {
    fn new(peer_count: usize) -> Replication {
        let initial_progress = PeerProgress {
            next_sequence: 0,
            needs_all: true,
        };
        Replication {
            changed: BTreeSet::new(),
            is_urgent: false,
            ended: Vec::new(),
            closed: Vec::new(),
            peers: vec![initial_progress; peer_count],
        }
    }

    pub fn mark_changed(&mut self, machine: &MachineId, attempt: &AttemptId) {
        self.changed.insert((machine.clone(), attempt.clone()));
    }
}

impl UsageLedger {
    /// Returns the ledger as stored in the state service.
    pub(super) fn new(opened: OpenedBook, peer_count: usize) -> UsageLedger {
        UsageLedger {
            book: opened.book,
            charged_before: opened.charged_attempts,
            inherited_tickets: HashMap::new(),
            replica_was_complete: false,
            orphans: BTreeMap::new(),
            unowned_ends: BTreeMap::new(),
            owner_queries: HashMap::new(),
            non_durable_ends: BTreeMap::new(),
            unmetered_machines: HashSet::new(),
            last_attempt_number: 0,
            replication: Replication::new(peer_count),
            shares: Vec::new(),
            shares_updated_at: None,
        }
    }
}
