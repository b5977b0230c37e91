//! Opening the ledger, and tracking its durable pages.

use gannethub_ledger::audit::Page;
use gannethub_ledger::book::{Book, DamagedPage, Head};
use gannethub_ledger::line::{LeaderChange, LineBody, UnmeteredInterval};

use super::ledger::UsageLedger;
use super::replication::attempt_key;
use crate::model::{MachineId, Micros};
use crate::state::cluster::Cluster;
use crate::state::machine::Machine;
use crate::state::usage_replica::UsageReplica;
use crate::wire::store::{VALUE_SLACK_BYTES, ledger_page_key};

/// Logs a damaged page. The page is kept unchanged, and the service continues.
pub(crate) fn log_damaged_page(page: DamagedPage) {
    let key = ledger_page_key(page.0);
    tracing::error!(key, "usage ledger page is damaged; keeping it unchanged");
}

impl Cluster {
    /// Opens the ledger from its contents in the state service and from the records that the previous leader sent.
    pub fn open_usage_ledger(
        &mut self,
        head: Option<Head>,
        pages: &[(Page, u64)],
        replica: &mut UsageReplica,
        now: Micros,
    ) {
        let Some(setup) = self.settings.ledger.clone() else {
            return;
        };
        let value_limit = self.settings.max_value_bytes - VALUE_SLACK_BYTES;
        let window = Book::duplicate_window(self.settings.lease_duration, &setup.settings);
        let mut opened = Book::open(setup.settings, setup.keys, value_limit, window, head, pages);
        std::mem::take(&mut opened.damaged)
            .into_iter()
            .for_each(log_damaged_page);
        let peer_count = self.settings.peers.len();
        self.usage_ledger = Some(Box::new(UsageLedger::new(opened, peer_count)));
        let inherited = replica.take_records(self.term - 1);
        self.take_over_usage(inherited.records, now);
        let takeover = LeaderChange {
            term: self.term,
            owner: self.settings.name.clone(),
            at: self.unix_time,
            has_all_open_usage: inherited.is_complete,
        };
        if let Some(ledger) = &mut self.usage_ledger {
            ledger.replica_was_complete = inherited.is_complete;
            ledger
                .book
                .queue_line(LineBody::LeaderChanged(takeover), now);
        }
    }

    /// Handles the success of a transaction with a ledger page: the ends with these tickets are durable.
    pub(crate) fn usage_page_written(&mut self, tickets: Vec<u64>) {
        let Some(ledger) = &mut self.usage_ledger else {
            return;
        };
        for ticket in tickets {
            if let Some((_, end)) = ledger.non_durable_ends.remove(&ticket) {
                let key = attempt_key(&end.machine, &end.id);
                ledger.replication.closed.push(key);
            }
        }
    }

    /// Notes in the ledger, once per machine, that the usage on a machine could not be metered. This is the case for
    /// a recorded machine that is given up without ever having sent this leader a heartbeat, if records of the
    /// previous leader may be missing.
    pub(crate) fn record_unmetered_interval(&mut self, id: &MachineId, now: Micros) {
        let may_miss_records = self.usage_ledger.as_ref().is_some_and(|ledger| {
            !ledger.replica_was_complete && !ledger.unmetered_machines.contains(id)
        });
        let was_never_heard = |machine: &&Machine| {
            machine.lifecycle.recorded && machine.worker.last_heartbeat_at.is_none()
        };
        let machine = self.machines.get(id).filter(was_never_heard);
        let Some(machine) = machine.filter(|_| may_miss_records) else {
            return;
        };
        let rate = self.machine_rate(machine);
        let interval = UnmeteredInterval {
            machine: id.to_string(),
            machine_type: rate.machine_type,
            zone: rate.zone,
            spot: rate.spot,
            from: self.time_of_day(self.takeover.started_at),
            to: self.time_of_day(now),
        };
        if let Some(ledger) = &mut self.usage_ledger {
            ledger.unmetered_machines.insert(id.clone());
            ledger.book.queue_line(LineBody::Unmetered(interval), now);
        }
    }

    /// Converts a time on this process's clock to a time of day.
    pub(super) fn time_of_day(&self, at: Micros) -> Micros {
        self.unix_time.saturating_sub(self.now.saturating_sub(at))
    }
}
