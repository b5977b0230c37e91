//! Reading what the state service holds for a block: all of it after a takeover, and machines that were given to it.

use bytes::Bytes;
use gannethub_ledger::audit::Page;
use gannethub_ledger::book::Head;

use super::outbox::{Port, Purpose, read};
use super::shard_owner::Holder;
use crate::model::{Micros, SECOND};
use crate::state::shard::ChunkRecord;
use crate::state::usage_replica::UsageReplica;
use crate::wire::budget::Urgency;
use crate::wire::configuration::CURRENT;
use crate::wire::store::{self, Item, Listing, MoveRecord, PartRecord, StoreRequest};

/// Machines on their way here are looked for this often.
const MOVES_EVERY: Micros = SECOND;
const STAGES: [&str; 5] = [
    store::LIVE,
    store::PART,
    store::BLOCK,
    store::MOVE,
    store::ALLOT,
];
const MOVE_STAGE: usize = 3;
const ALLOT_STAGE: usize = 4;
/// What follows where a ledger is kept: its head, and its last pages.
const HEAD_STAGE: usize = STAGES.len();
const PAGE_STAGE: usize = HEAD_STAGE + 1;
pub(super) const LOADED: usize = PAGE_STAGE + 1;

impl Holder {
    /// A machine that was given to a block and is on no record yet.
    pub(super) fn on_the_way(&mut self, item: &Item, now: Micros) {
        let key = item
            .k
            .strip_prefix(store::MOVE)
            .and_then(|k| k.split_once('/'));
        let Some((block, machine)) = key.and_then(|(b, m)| Some((b.parse::<u32>().ok()?, m)))
        else {
            return;
        };
        if block == self.lease.block {
            if let Some(record) = item.record::<MoveRecord>() {
                self.cluster.incoming(machine, &record, now);
            }
        } else if self.lease.block == 0 {
            self.cluster
                .machines_in_other_shards
                .insert(machine.into(), block);
        }
    }

    /// Machines on their way here have been looked for.
    pub fn moves_read(&mut self, port: &Port, answer: Option<(u16, Bytes)>) {
        let listing = read::<Listing>(answer);
        for item in listing.iter().flat_map(|l| &l.items) {
            self.on_the_way(item, port.clock.now);
        }
    }

    pub(super) fn look_for_moves(&mut self, port: &mut Port) {
        let now = port.clock.now;
        if self.lease.block == 0 || now < self.moves_at {
            return;
        }
        self.moves_at = now + MOVES_EVERY;
        let request = StoreRequest::list(&format!("{}{}/", store::MOVE, self.lease.block), "");
        port.send(
            Urgency::Commit,
            request,
            Purpose::Moves {
                term: self.lease.term,
            },
        );
    }

    pub(super) fn load(&mut self, port: &mut Port, after: &str) {
        let now = port.clock.now;
        let (term, stage) = (self.lease.term, self.stage);
        match STAGES.get(stage) {
            Some(_) if stage >= MOVE_STAGE && !port.several => {
                self.stage = HEAD_STAGE;
                self.load(port, "");
            }
            Some(prefix) => {
                if stage == 0 && after.is_empty() {
                    self.read_from = now;
                }
                let request = StoreRequest::list(prefix, after);
                port.send(Urgency::Renewal, request, Purpose::Load { term, stage });
            }
            // Later reads find the ledger kept already, and whoever keeps none has nothing to read.
            None if stage < LOADED && (self.loaded_once || port.settings.ledger.is_none()) => {
                self.stage = LOADED;
                self.load(port, "");
            }
            None if stage == HEAD_STAGE => {
                let request = StoreRequest::get(store::LEDGER_HEAD);
                port.send(Urgency::Renewal, request, Purpose::LoadLedger { term });
            }
            None if stage == PAGE_STAGE => {
                let from = self.ledger_head.as_ref().map_or(0, |h| h.from);
                let first = from
                    .checked_sub(1)
                    .map(store::ledger_page)
                    .unwrap_or_default();
                let after = if after.is_empty() { &first } else { after };
                let request = StoreRequest::list(store::LEDGER_PAGE, after);
                port.send(Urgency::Renewal, request, Purpose::Load { term, stage });
            }
            None => {
                if !self.loaded_once && port.several {
                    self.allotter.obey(&mut self.cluster);
                }
                self.loaded_once = true;
                self.lease.read_from(self.read_from);
                port.configuring.knew(self.read_from);
                self.heed_configuration(port);
                self.cluster.loaded(now);
            }
        }
    }

    pub(super) fn ledger_head(
        &mut self,
        port: &mut Port,
        shadow: &mut UsageReplica,
        answer: Option<(u16, Bytes)>,
    ) {
        let now = port.clock.now;
        match answer {
            Some((200, body)) => {
                let item = serde_json::from_slice::<Item>(&body).ok();
                self.ledger_head = item.and_then(|i| i.record::<Head>());
                self.stage = match self.ledger_head {
                    Some(_) => PAGE_STAGE,
                    // Where it stands is not known: nothing is charged in this term, and nothing overwritten.
                    None => {
                        tracing::error!(key = store::LEDGER_HEAD, "the ledger cannot be kept");
                        LOADED
                    }
                };
                self.load(port, "");
            }
            Some((404, _)) => {
                self.cluster.open_usage_ledger(None, &[], shadow, now);
                self.stage = LOADED;
                self.load(port, "");
            }
            _ => self.load_at = Some(now + 300_000),
        }
    }

    pub(super) fn load_answer(
        &mut self,
        port: &mut Port,
        shadow: &mut UsageReplica,
        stage: usize,
        answer: Option<(u16, Bytes)>,
    ) {
        let listing = read::<Listing>(answer);
        let Some(listing) = listing else {
            // Reading a stage again is harmless.
            self.load_at = Some(port.clock.now + 300_000);
            return;
        };
        if stage == 0 && self.watched == 0 {
            self.watched = listing.ledger_no;
        }
        if stage == 0 {
            port.configuring.listed(&listing, false);
        }
        for item in &listing.items {
            match stage {
                0 if item.k == CURRENT => {}
                0 => {
                    if let Some(record) = item.live() {
                        let id = item.k.trim_start_matches(store::LIVE);
                        self.cluster.live_record(id, record, item.stamp);
                    }
                }
                1 => {
                    if let Some(record) = item.record::<PartRecord>() {
                        self.cluster.part_record(&item.k, &record);
                    }
                }
                PAGE_STAGE => match item.record::<Page>() {
                    Some(page) => self.ledger_pages.push((page, item.stamp)),
                    None => tracing::error!(key = %item.k, "kept as it is"),
                },
                // After the first time this leader knows better: nobody else writes the block.
                _ if self.loaded_once => {}
                MOVE_STAGE => self.on_the_way(item, port.clock.now),
                ALLOT_STAGE => self.allotter.read(item),
                _ => {
                    if let Some(record) = item.record::<ChunkRecord>() {
                        self.cluster.chunk_record(&item.k, record, item.stamp);
                    }
                }
            }
        }
        let last = listing
            .items
            .last()
            .map(|i| i.k.clone())
            .filter(|_| listing.truncated);
        if last.is_none() {
            self.stage += 1;
            if stage == PAGE_STAGE {
                let pages = std::mem::take(&mut self.ledger_pages);
                let head = self.ledger_head.take();
                self.cluster
                    .open_usage_ledger(head, &pages, shadow, port.clock.now);
            }
        }
        self.load(port, last.as_deref().unwrap_or(""));
    }
}
