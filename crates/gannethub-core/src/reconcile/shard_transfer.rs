//! Machines that go to another block, and that come from there.
//!
//! A machine comes to the cluster by block 0's holder, and is given to another block before it is up, when nothing can be
//! on it and it has seen no token. That is a saga of two transactions, each under the guard of its own holder's key:
//! the giver writes that the machine is on its way, the taker writes it into its block's record and then removes
//! that. At any moment at most one block's record or way names it, so at most one holder launches on it. If the taker is
//! lost, its successor reads both; if the giver is lost before it wrote, the machine is adopted like any that nobody
//! expected.

use crate::model::{Micros, SECOND};
use crate::state::cluster::Cluster;
use crate::state::shard::Member;
use crate::state::shard_load::Giving;
use crate::state::writes::{Batch, Item};
use crate::wire::store::{self, Commit, MoveRecord};

/// What was asked for, for another block, counts as coming for so long after it was given.
const ARRIVES: Micros = 4 * SECOND;

impl Cluster {
    /// A request for another block has brought a machine.
    pub fn give(&mut self, machine: &str, record: MoveRecord, to: u32) {
        self.elsewhere.insert(machine.into(), to);
        self.giving.insert(
            machine.into(),
            Giving {
                to,
                record,
                writing: false,
            },
        );
    }

    /// Adds machines on their way to other blocks to a transaction, until it has `most` changes.
    pub(crate) fn write_moves(
        &mut self,
        commit: &mut Commit,
        batch: &mut Batch,
        bytes: &mut usize,
        most: usize,
    ) {
        for (machine, giving) in self.giving.iter_mut().filter(|g| !g.1.writing) {
            if commit.changes() >= most || *bytes > 40_000 {
                break;
            }
            let key = format!("{}{}/{machine}", store::MOVE, giving.to);
            commit.put(&key, store::raw(&giving.record), None);
            *bytes += 250;
            giving.writing = true;
            batch.items.push(Item::Gave {
                machine: machine.clone(),
            });
        }
    }

    pub(crate) fn gave(&mut self, machine: &str) {
        if let Some(giving) = self.giving.remove(machine) {
            let until = self.now + ARRIVES;
            self.arriving
                .entry(giving.to)
                .or_default()
                .push((until, giving.record));
        }
    }

    /// Perhaps it was carried out: to say it again changes nothing, for whoever took it knows it already.
    pub(crate) fn not_given(&mut self, machine: &str) {
        if let Some(giving) = self.giving.get_mut(machine) {
            giving.writing = false;
        }
    }

    /// A machine is on its way to this block.
    pub fn incoming(&mut self, machine: &str, record: &MoveRecord, now: Micros) {
        if self.taking.contains(machine) {
            return;
        }
        if self.machines.get(machine).is_some_and(|m| m.recorded)
            || self.fleet.removed.contains_key(machine)
        {
            // It is here already, or was: only what says that it is on its way is left over.
            self.drops
                .push(format!("{}{}/{machine}", store::MOVE, self.block.id));
            return;
        }
        self.machine(machine, &record.flavor, &record.zone, record.spot, now);
        let MoveRecord { flavor, zone, spot } = record.clone();
        self.block.add(machine, Member { flavor, zone, spot }, None);
        self.taking.insert(machine.into());
    }

    /// How many machines of an offer are being rented for a block, or on their way to it.
    pub(crate) fn coming(&mut self, block: u32, flavor: &str, zone: &str, spot: bool) -> u32 {
        let now = self.now;
        let same = |r: &MoveRecord| r.flavor == flavor && r.zone == zone && r.spot == spot;
        let arriving = self.arriving.entry(block).or_default();
        arriving.retain(|(until, _)| now < *until);
        let arriving = arriving.iter().filter(|(_, r)| same(r)).count() as u32;
        let giving = self
            .giving
            .values()
            .filter(|g| g.to == block && same(&g.record))
            .count();
        let asked = self.renting_for.iter().filter(|(_, to)| **to == block);
        let asked = asked.filter_map(|(name, _)| self.fleet.renting.get(name));
        let asked = asked.filter(|(offer, _)| {
            *self.flavors[offer.flavor].name == *flavor && offer.zone == zone && offer.spot == spot
        });
        arriving + giving as u32 + asked.map(|(_, n)| n).sum::<u32>()
    }
}
