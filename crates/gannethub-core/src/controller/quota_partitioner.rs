//! A block's part of the teams' limits, as its holder reads, obeys and writes it. What is decided is in
//! [`allot`](crate::scheduling::quota_partition).
//!
//! Nobody goes by more than is written, at any moment. A holder that gives back obeys before its write is sent, and
//! until it is certain that the write was carried out or never will be: a write without an answer is sent again, guarded
//! by the same versions, until one of them is answered with yes or no. The same holds for block 0's holder when
//! it raises the part of another block, since that takes the same from its own.

use std::collections::{BTreeMap, BTreeSet};

use bytes::Bytes;

use super::lease::Lease;
use super::outbox::{Port, Purpose, read};
use crate::model::{Micros, Resources, SECOND, Team};
use crate::scheduling::quota_partition::{self, ShardQuotas};
use crate::state::cluster::Cluster;
use crate::wire::budget::Urgency;
use crate::wire::store::{self, ALLOT, AllotRecord, Commit, Item, Listing, StoreRequest};

/// Parts are read this often, and this often while nothing asks for it.
const READ_EVERY: Micros = SECOND / 2;
const READ_AT_LEAST: Micros = 2 * SECOND;
/// What lies idle for so long is given back.
const IDLE: Micros = 2 * SECOND;
/// A write without an answer is sent again after this time.
const AGAIN: Micros = SECOND / 2;

#[derive(Debug, Default)]
pub(super) struct Allotter {
    /// Each block's part and its version, as last read.
    parts: BTreeMap<u32, (Vec<Resources>, u64)>,
    reading: bool,
    read_at: Micros,
    /// A write whose fate is not certain: its parts, and its transaction.
    pending: Option<(ShardQuotas, Commit)>,
    sent: bool,
    again_at: Micros,
    /// Since when more lies idle than is to be kept.
    idle_since: Option<Micros>,
    /// Values that made no sense: nothing is raised while there are any.
    damaged: bool,
    damaged_before: bool,
    /// What it has read, before teams are known.
    records: Vec<(u32, AllotRecord, u64)>,
}

impl Allotter {
    /// A part, as the state service holds it.
    pub fn read(&mut self, item: &Item) {
        let block = item
            .k
            .strip_prefix(ALLOT)
            .and_then(|b| b.parse::<u32>().ok());
        match (block.filter(|b| *b > 0), item.record::<AllotRecord>()) {
            (Some(block), Some(record)) => self.records.push((block, record, item.stamp)),
            _ => {
                if !self.damaged_before {
                    tracing::error!(key = %item.k, "what a block may use cannot be read; nothing is given out");
                }
                self.damaged = true;
            }
        }
    }

    fn take_in(&mut self, teams: &[Team]) {
        self.parts = std::mem::take(&mut self.records)
            .into_iter()
            .map(|(block, record, stamp)| {
                let part = |t: &Team| record.teams.get(&t.name).copied().unwrap_or_default();
                (block, (teams.iter().map(part).collect(), stamp))
            })
            .collect();
    }

    fn parts(&self) -> ShardQuotas {
        self.parts.iter().map(|(b, p)| (*b, p.0.clone())).collect()
    }

    /// Has the cluster keep to what its block may use.
    pub fn obey(&mut self, cluster: &mut Cluster) {
        if !self.records.is_empty() {
            self.take_in(&cluster.cluster_teams);
        }
        let whole: Vec<Resources> = cluster.cluster_teams.iter().map(|t| t.limit).collect();
        let own = cluster.shard.id;
        let mut parts = self.parts();
        if let Some((pending, _)) = &self.pending {
            // What may be written already: the more for others, the less for this one.
            parts.extend(pending.iter().map(|(b, p)| (*b, p.clone())));
        }
        let limits = match own {
            0 if self.damaged => whole.iter().map(|_| Resources::default()).collect(),
            0 if parts.is_empty() => return,
            0 => quota_partition::remaining_quota(&whole, &parts),
            b => parts
                .get(&b)
                .cloned()
                .unwrap_or_else(|| vec![Resources::default(); whole.len()]),
        };
        let now: Vec<Resources> = cluster.settings.teams.iter().map(|t| t.limit).collect();
        let same = |(a, b): (&Resources, &Resources)| (a.cpu, a.gpu) == (b.cpu, b.gpu);
        if !now.iter().zip(&limits).all(same) {
            cluster.apply_team_limits(&limits);
        }
    }

    /// Reads parts now and then, and gives back or gives out.
    pub fn tick(&mut self, port: &mut Port, lease: &Lease) {
        let now = port.clock.now;
        if !port.several {
            return;
        }
        if let Some((_, commit)) = self
            .pending
            .as_ref()
            .filter(|_| !self.sent && now >= self.again_at)
        {
            self.sent = true;
            let purpose = Purpose::Allot { term: lease.term };
            port.send(Urgency::Commit, commit.request(), purpose);
            return;
        }
        if self.reading || self.pending.is_some() || now < self.read_at {
            return;
        }
        self.reading = true;
        // Versions of all are needed to give out, and one's own to give back.
        port.send(
            Urgency::Commit,
            StoreRequest::list(ALLOT, ""),
            Purpose::Allots { term: lease.term },
        );
    }

    /// Parts have been read.
    pub fn read_all(
        &mut self,
        port: &mut Port,
        lease: &Lease,
        cluster: &mut Cluster,
        answer: Option<(u16, Bytes)>,
    ) {
        let now = port.clock.now;
        self.reading = false;
        self.read_at = now + READ_EVERY;
        let Some(listing) = read::<Listing>(answer) else {
            return;
        };
        self.damaged_before = std::mem::replace(&mut self.damaged, false);
        listing.items.iter().for_each(|item| self.read(item));
        self.take_in(&cluster.cluster_teams);
        self.obey(cluster);
        let load = cluster.shard_load();
        let raised = match lease.block {
            0 if self.damaged => ShardQuotas::new(),
            0 => {
                let whole: Vec<Resources> = cluster.cluster_teams.iter().map(|t| t.limit).collect();
                let others = port.loads.iter().filter(|l| l.shard > 0);
                let told = others.map(|l| (l.shard, l.teams.clone())).collect();
                quota_partition::raised_quotas(&whole, &self.parts(), &load.teams, &told)
            }
            b => {
                let part = self.parts.get(&b).map(|p| p.0.clone()).unwrap_or_default();
                let lowered = quota_partition::lowered_quota(&part, &load.teams);
                let since = *self.idle_since.get_or_insert(now);
                if lowered.is_none() {
                    self.idle_since = None;
                    if load.teams.iter().all(|t| t.1 == Resources::default()) {
                        self.read_at = now + READ_AT_LEAST;
                    }
                }
                let lowered = lowered.filter(|_| now >= since + IDLE);
                lowered.into_iter().map(|l| (b, l)).collect()
            }
        };
        if raised.is_empty() {
            return;
        }
        self.idle_since = None;
        let mut commit = Commit::default();
        commit.guard(&cluster.assignment_keys.0, lease.stamp);
        let mut raised = raised;
        while raised.len() > cluster.max_transaction_changes() {
            raised.pop_last();
        }
        // What is given out depends on all that has been; what is given back on this one alone.
        let guarded: Vec<u32> = match lease.block {
            0 => self.parts.keys().chain(raised.keys()).copied().collect(),
            b => vec![b],
        };
        for b in BTreeSet::from_iter(guarded) {
            commit.guard(
                &format!("{ALLOT}{b}"),
                self.parts.get(&b).map_or(0, |p| p.1),
            );
        }
        for (b, part) in &raised {
            let names = cluster.cluster_teams.iter().map(|t| t.name.clone());
            let teams = names.zip(part.iter().copied()).collect();
            commit.put(
                &format!("{ALLOT}{b}"),
                store::raw(&AllotRecord { teams }),
                None,
            );
        }
        self.pending = Some((raised, commit));
        (self.sent, self.again_at) = (false, now);
        // Obeyed from before it is sent.
        self.obey(cluster);
        self.tick(port, lease);
    }

    /// A write of parts was answered, or not.
    pub fn written(&mut self, now: Micros, status: Option<u16>) {
        self.sent = false;
        match status {
            // Carried out now, or never: whichever of its like came first has changed a version.
            Some(200 | 409 | 400) => {
                self.pending = None;
                self.read_at = now;
            }
            _ => self.again_at = now + AGAIN,
        }
    }
}
