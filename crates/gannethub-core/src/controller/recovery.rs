//! Reading what the state service holds for a block: all of it after a takeover, and machines that were given to it.

use gannethub_ledger::audit::Page;
use gannethub_ledger::book::Head;

use super::outbox::{Outbox, PendingRequest};
use super::shard_owner::ShardOwner;
use crate::http::{Answer, CallResult, decode_ok};
use crate::model::{Micros, SECOND};
use crate::state::shard::ChunkRecord;
use crate::state::usage_replica::UsageReplica;
use crate::wire::budget::Urgency;
use crate::wire::configuration::CURRENT_VERSION_KEY;
use crate::wire::store::{
    self, DonePartRecord, Listing, MachineTransferRecord, StoreRequest, StoredValue,
};

/// Machines on their way here are looked for this often.
const TRANSFERS_READ_INTERVAL: Micros = SECOND;
const LISTED_PREFIXES: [&str; 5] = [
    store::LIVE_JOB_PREFIX,
    store::DONE_PART_PREFIX,
    store::SHARD_PREFIX,
    store::MACHINE_TRANSFER_PREFIX,
    store::QUOTA_PARTITION_PREFIX,
];
const TRANSFER_STAGE: usize = 3;
const QUOTA_STAGE: usize = 4;
/// What follows where a ledger is kept: its head, and its last pages.
const LEDGER_HEAD_STAGE: usize = LISTED_PREFIXES.len();
const LEDGER_PAGE_STAGE: usize = LEDGER_HEAD_STAGE + 1;
pub(super) const ALL_LOADED: usize = LEDGER_PAGE_STAGE + 1;

impl ShardOwner {
    /// A machine that was given to a block and is on no record yet.
    pub(super) fn apply_transfer_record(&mut self, item: &StoredValue, now: Micros) {
        let key = item
            .key
            .strip_prefix(store::MACHINE_TRANSFER_PREFIX)
            .and_then(|k| k.split_once('/'));
        let Some((block, machine)) = key.and_then(|(b, m)| Some((b.parse::<u32>().ok()?, m)))
        else {
            return;
        };
        if block == self.lease.shard {
            if let Some(record) = item.decode::<MachineTransferRecord>() {
                self.cluster.accept_machine_transfer(machine, &record, now);
            }
        } else if self.lease.shard == 0 {
            self.cluster
                .other_shards
                .machines
                .insert(machine.into(), block);
        }
    }

    /// Machines on their way here have been looked for.
    pub fn handle_transfers_answer(&mut self, port: &Outbox, answer: CallResult) {
        let listing = decode_ok::<Listing>(&answer);
        for item in listing.iter().flat_map(|l| &l.items) {
            self.apply_transfer_record(item, port.clock.now);
        }
    }

    pub(super) fn read_transfers(&mut self, port: &mut Outbox) {
        let now = port.clock.now;
        if self.lease.shard == 0 || now < self.transfers_read_at {
            return;
        }
        self.transfers_read_at = now + TRANSFERS_READ_INTERVAL;
        let request = StoreRequest::list(
            &format!("{}{}/", store::MACHINE_TRANSFER_PREFIX, self.lease.shard),
            "",
        );
        port.send_to_store(
            Urgency::Transaction,
            request,
            PendingRequest::ReadTransfers {
                term: self.lease.term,
            },
        );
    }

    pub(super) fn load_next(&mut self, port: &mut Outbox, after: &str) {
        let now = port.clock.now;
        let (term, stage) = (self.lease.term, self.load_stage);
        match LISTED_PREFIXES.get(stage) {
            Some(_) if stage >= TRANSFER_STAGE && !port.is_sharded => {
                self.load_stage = LEDGER_HEAD_STAGE;
                self.load_next(port, "");
            }
            Some(prefix) => {
                if stage == 0 && after.is_empty() {
                    self.load_started_at = now;
                }
                let request = StoreRequest::list(prefix, after);
                port.send_to_store(
                    Urgency::Renewal,
                    request,
                    PendingRequest::Load { term, stage },
                );
            }
            // Later reads find the ledger kept already, and whoever keeps none has nothing to read.
            None if stage < ALL_LOADED && (self.loaded_once || port.settings.ledger.is_none()) => {
                self.load_stage = ALL_LOADED;
                self.load_next(port, "");
            }
            None if stage == LEDGER_HEAD_STAGE => {
                let request = StoreRequest::get(store::LEDGER_HEAD_KEY);
                port.send_to_store(
                    Urgency::Renewal,
                    request,
                    PendingRequest::LoadLedger { term },
                );
            }
            None if stage == LEDGER_PAGE_STAGE => {
                let from = self.ledger_head.as_ref().map_or(0, |h| h.from);
                let first = from
                    .checked_sub(1)
                    .map(store::ledger_page_key)
                    .unwrap_or_default();
                let after = if after.is_empty() { &first } else { after };
                let request = StoreRequest::list(store::LEDGER_PAGE_PREFIX, after);
                port.send_to_store(
                    Urgency::Renewal,
                    request,
                    PendingRequest::Load { term, stage },
                );
            }
            None => {
                if !self.loaded_once && port.is_sharded {
                    self.quota_partitioner.apply_limits(&mut self.cluster);
                }
                self.loaded_once = true;
                self.lease.reset_cancellations_known(self.load_started_at);
                port.configuration.confirm_newest(self.load_started_at);
                self.update_start_hold(port);
                self.cluster.finish_loading(now);
            }
        }
    }

    pub(super) fn handle_ledger_head_answer(
        &mut self,
        port: &mut Outbox,
        shadow: &mut UsageReplica,
        answer: CallResult,
    ) {
        let now = port.clock.now;
        match answer {
            Ok(Answer { status: 200, body }) => {
                let item = serde_json::from_slice::<StoredValue>(&body).ok();
                self.ledger_head = item.and_then(|i| i.decode::<Head>());
                self.load_stage = match self.ledger_head {
                    Some(_) => LEDGER_PAGE_STAGE,
                    // Where it stands is not known: nothing is charged in this term, and nothing overwritten.
                    None => {
                        tracing::error!(key = store::LEDGER_HEAD_KEY, "the ledger cannot be kept");
                        ALL_LOADED
                    }
                };
                self.load_next(port, "");
            }
            Ok(Answer { status: 404, .. }) => {
                self.cluster.open_usage_ledger(None, &[], shadow, now);
                self.load_stage = ALL_LOADED;
                self.load_next(port, "");
            }
            _ => self.reload_at = Some(now + 300_000),
        }
    }

    pub(super) fn handle_load_answer(
        &mut self,
        port: &mut Outbox,
        shadow: &mut UsageReplica,
        stage: usize,
        answer: CallResult,
    ) {
        let listing = decode_ok::<Listing>(&answer);
        let Some(listing) = listing else {
            // Reading a stage again is harmless.
            self.reload_at = Some(port.clock.now + 300_000);
            return;
        };
        if stage == 0 && self.watched_version == 0 {
            self.watched_version = listing.version;
        }
        if stage == 0 {
            port.configuration.apply_listing(&listing, false);
        }
        for item in &listing.items {
            match stage {
                0 if item.key == CURRENT_VERSION_KEY => {}
                0 => {
                    if let Some(record) = item.as_live_record() {
                        let id = item.key.trim_start_matches(store::LIVE_JOB_PREFIX);
                        self.cluster.apply_live_record(id, record, item.version);
                    }
                }
                1 => {
                    if let Some(record) = item.decode::<DonePartRecord>() {
                        self.cluster.apply_done_part(&item.key, &record);
                    }
                }
                LEDGER_PAGE_STAGE => match item.decode::<Page>() {
                    Some(page) => self.ledger_pages.push((page, item.version)),
                    None => tracing::error!(key = %item.key, "kept as it is"),
                },
                // After the first time this leader knows better: nobody else writes the block.
                _ if self.loaded_once => {}
                TRANSFER_STAGE => self.apply_transfer_record(item, port.clock.now),
                QUOTA_STAGE => self.quota_partitioner.add_record(item),
                _ => {
                    if let Some(record) = item.decode::<ChunkRecord>() {
                        self.cluster
                            .apply_shard_chunk(&item.key, record, item.version);
                    }
                }
            }
        }
        let last = listing
            .items
            .last()
            .map(|i| i.key.clone())
            .filter(|_| listing.truncated);
        if last.is_none() {
            self.load_stage += 1;
            if stage == LEDGER_PAGE_STAGE {
                let pages = std::mem::take(&mut self.ledger_pages);
                let head = self.ledger_head.take();
                self.cluster
                    .open_usage_ledger(head, &pages, shadow, port.clock.now);
            }
        }
        self.load_next(port, last.as_deref().unwrap_or(""));
    }
}
