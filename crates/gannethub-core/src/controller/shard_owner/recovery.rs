//! Reading a shard's state from the state service: the whole state after a takeover, and later the machines that are
//! transferred to the shard.

use gannethub_ledger::audit::Page;
use gannethub_ledger::book::Head;

use super::ShardOwner;
use crate::controller::key_read::KeyRead;
use crate::controller::load_stage::LoadStage;
use crate::controller::outbox::Outbox;
use crate::controller::pending_request::OwnerRequest;
use crate::http::{CallResult, decode_ok};
use crate::model::{Micros, SECOND};
use crate::state::shard::ChunkRecord;
use crate::state::usage_replica::UsageReplica;
use crate::wire::budget::Urgency;
use crate::wire::configuration::CURRENT_VERSION_KEY;
use crate::wire::store::{
    self, DonePartRecord, Listing, MachineTransferRecord, StoreRequest, StoredValue,
};

/// Interval between reads of machines that were transferred to the shard.
const TRANSFERS_READ_INTERVAL: Micros = SECOND;
/// Delay before a failed read is retried.
const LOAD_RETRY_INTERVAL: Micros = 300_000;

impl ShardOwner {
    /// Requests the page of the current stage that follows the key `after`, or the stage's first page if `after` is
    /// empty. Unneeded stages are skipped. After the last stage the load is complete, and scheduling on the shard's
    /// machines can begin.
    pub fn load_next(&mut self, outbox: &mut Outbox, after: &str) {
        self.skip_unneeded_stages(outbox);
        let stage = self.load.stage;
        if let Some(prefix) = stage.listed_prefix() {
            if stage == LoadStage::Jobs && after.is_empty() {
                self.load.started_at = outbox.clock.now;
            }
            let request = StoreRequest::list(prefix, after);
            let pending = OwnerRequest::Load { stage };
            return self.send_to_store(outbox, Urgency::Renewal, request, pending);
        }
        match stage {
            LoadStage::LedgerHead => {
                let request = StoreRequest::get(store::LEDGER_HEAD_KEY);
                let pending = OwnerRequest::LoadLedgerHead;
                self.send_to_store(outbox, Urgency::Renewal, request, pending);
            }
            LoadStage::LedgerPages => self.load_ledger_pages(outbox, after),
            _ => self.finish_load(outbox),
        }
    }

    fn skip_unneeded_stages(&mut self, outbox: &Outbox) {
        if self.load.stage.is_for_several_shards() && !outbox.is_sharded {
            self.load.stage = LoadStage::LedgerHead;
        }
        // On later reads the ledger is already open, and a controller that keeps no ledger has none to read.
        let needs_ledger = !self.load.was_loaded && outbox.settings.ledger.is_some();
        if self.load.stage >= LoadStage::LedgerHead && !needs_ledger {
            self.load.stage = LoadStage::Loaded;
        }
    }

    fn load_ledger_pages(&mut self, outbox: &mut Outbox, after: &str) {
        let first_kept = self.load.ledger_head.as_ref().map_or(0, |head| head.from);
        let before_first = first_kept
            .checked_sub(1)
            .map(store::ledger_page_key)
            .unwrap_or_default();
        let after = if after.is_empty() {
            &before_first
        } else {
            after
        };
        let request = StoreRequest::list(store::LEDGER_PAGE_PREFIX, after);
        let pending = OwnerRequest::Load {
            stage: LoadStage::LedgerPages,
        };
        self.send_to_store(outbox, Urgency::Renewal, request, pending);
    }

    fn finish_load(&mut self, outbox: &mut Outbox) {
        if !self.load.was_loaded && outbox.is_sharded {
            self.quota_partitioner.apply_limits(&mut self.cluster);
        }
        self.load.was_loaded = true;
        self.lease.reset_cancellations_known(self.load.started_at);
        outbox.configuration.confirm_newest(self.load.started_at);
        self.update_starts_paused(outbox);
        self.cluster.finish_loading(outbox.clock.now);
    }

    /// Retries a failed read once its delay is over, from the first page of its stage. Reading a page twice is
    /// harmless.
    pub(super) fn retry_load(&mut self, outbox: &mut Outbox) {
        let now = outbox.clock.now;
        if self.load.retry_at.take_if(|at| *at <= now).is_some() {
            self.load_next(outbox, "");
        }
    }

    pub(super) fn handle_load_answer(
        &mut self,
        outbox: &mut Outbox,
        usage_replica: &mut UsageReplica,
        stage: LoadStage,
        answer: &CallResult,
    ) {
        let now = outbox.clock.now;
        let Some(listing) = decode_ok::<Listing>(answer) else {
            self.load.retry_at = Some(now + LOAD_RETRY_INTERVAL);
            return;
        };
        if stage == LoadStage::Jobs {
            if self.watched_version == 0 {
                self.watched_version = listing.version;
            }
            outbox.configuration.apply_listing(&listing, false);
        }
        for item in &listing.items {
            self.load_item(stage, item, now);
        }
        let last_key = listing.items.last().map(|item| item.key.as_str());
        if let Some(last_key) = last_key.filter(|_| listing.truncated) {
            return self.load_next(outbox, last_key);
        }
        self.load.stage = self.load.stage.next();
        if stage == LoadStage::LedgerPages {
            let pages = std::mem::take(&mut self.load.ledger_pages);
            let head = self.load.ledger_head.take();
            self.cluster
                .open_usage_ledger(head, &pages, usage_replica, now);
        }
        self.load_next(outbox, "");
    }

    fn load_item(&mut self, stage: LoadStage, item: &StoredValue, now: Micros) {
        match stage {
            LoadStage::Jobs if item.key == CURRENT_VERSION_KEY => {}
            LoadStage::Jobs => {
                if let Some(record) = item.as_live_record() {
                    let id = item.key.trim_start_matches(store::LIVE_JOB_PREFIX);
                    self.cluster.apply_live_record(id, record, item.version);
                }
            }
            LoadStage::DoneParts => {
                if let Some(record) = item.decode::<DonePartRecord>() {
                    self.cluster.apply_done_part(&item.key, &record);
                }
            }
            LoadStage::LedgerPages => match item.decode::<Page>() {
                Some(page) => self.load.ledger_pages.push((page, item.version)),
                None => {
                    tracing::error!(key = %item.key, "cannot parse ledger page; the stored page is left unchanged")
                }
            },
            // After the first load the owner's state in memory is newer, because nobody else writes these records.
            _ if self.load.was_loaded => {}
            LoadStage::Transfers => self.apply_transfer_record(item, now),
            LoadStage::QuotaPartitions => self.quota_partitioner.add_record(item),
            LoadStage::Machines => {
                if let Some(record) = item.decode::<ChunkRecord>() {
                    self.cluster
                        .apply_shard_chunk(&item.key, record, item.version);
                }
            }
            LoadStage::LedgerHead | LoadStage::Loaded => {}
        }
    }

    pub(super) fn handle_ledger_head_answer(
        &mut self,
        outbox: &mut Outbox,
        usage_replica: &mut UsageReplica,
        answer: &CallResult,
    ) {
        let now = outbox.clock.now;
        self.load.ledger_head = match KeyRead::from(answer) {
            KeyRead::Found(item) => item.decode::<Head>(),
            KeyRead::Unreadable => None,
            KeyRead::Absent { .. } => {
                self.cluster
                    .open_usage_ledger(None, &[], usage_replica, now);
                self.load.stage = LoadStage::Loaded;
                return self.load_next(outbox, "");
            }
            KeyRead::Failed => {
                self.load.retry_at = Some(now + LOAD_RETRY_INTERVAL);
                return;
            }
        };
        self.load.stage = match self.load.ledger_head {
            Some(_) => LoadStage::LedgerPages,
            None => {
                // Without the head, the position in the ledger is unknown: in this term nothing is charged and no
                // page is overwritten.
                tracing::error!(
                    key = store::LEDGER_HEAD_KEY,
                    "cannot parse ledger head; no usage is charged in this term"
                );
                LoadStage::Loaded
            }
        };
        self.load_next(outbox, "");
    }

    // ---- Machines from other shards ----

    /// Reads periodically which machines were transferred to this shard. Shard 0 only transfers machines to other
    /// shards.
    pub(super) fn read_transfers(&mut self, outbox: &mut Outbox) {
        let now = outbox.clock.now;
        let shard = self.lease.shard;
        if shard == 0 || now < self.load.transfers_read_at {
            return;
        }
        self.load.transfers_read_at = now + TRANSFERS_READ_INTERVAL;
        let prefix = format!("{}{shard}/", store::MACHINE_TRANSFER_PREFIX);
        let request = StoreRequest::list(&prefix, "");
        let pending = OwnerRequest::ReadTransfers;
        self.send_to_store(outbox, Urgency::Transaction, request, pending);
    }

    pub(super) fn handle_transfers_answer(&mut self, outbox: &Outbox, answer: &CallResult) {
        let listing = decode_ok::<Listing>(answer);
        for item in listing.iter().flat_map(|listing| &listing.items) {
            self.apply_transfer_record(item, outbox.clock.now);
        }
    }

    /// Applies the record of a machine that was transferred to a shard and is in none of the shard's chunks yet.
    fn apply_transfer_record(&mut self, item: &StoredValue, now: Micros) {
        let Some((shard, machine)) = parse_transfer_key(&item.key) else {
            return;
        };
        if shard == self.lease.shard {
            if let Some(record) = item.decode::<MachineTransferRecord>() {
                self.cluster.accept_machine_transfer(machine, &record, now);
            }
        } else if self.lease.shard == 0 {
            let others = &mut self.cluster.other_shards.machines;
            others.insert(machine.into(), shard);
        }
    }
}

/// Returns the shard to which a machine is transferred, and the machine's name.
fn parse_transfer_key(key: &str) -> Option<(u32, &str)> {
    let rest = key.strip_prefix(store::MACHINE_TRANSFER_PREFIX)?;
    let (shard, machine) = rest.split_once('/')?;
    Some((shard.parse().ok()?, machine))
}
