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
use crate::state::shard::ShardMember;
use crate::state::shard_transfers::OutgoingTransfer;
use crate::state::writes::{BatchedWrite, WriteBatch};
use crate::wire::store::{self, MachineTransferRecord, Transaction};

/// What was asked for, for another block, counts as coming for so long after it was given.
const ARRIVAL_TIME: Micros = 4 * SECOND;

impl Cluster {
    /// A request for another block has brought a machine.
    pub fn start_machine_transfer(
        &mut self,
        machine: &str,
        record: MachineTransferRecord,
        to: u32,
    ) {
        self.other_shards.machines.insert(machine.into(), to);
        self.transfers.outgoing.insert(
            machine.into(),
            OutgoingTransfer {
                to_shard: to,
                record,
                write_in_flight: false,
            },
        );
    }

    /// Adds machines on their way to other blocks to a transaction, until it has `most` changes.
    pub(crate) fn add_machine_transfers(
        &mut self,
        commit: &mut Transaction,
        batch: &mut WriteBatch,
        bytes: &mut usize,
        most: usize,
    ) {
        for (machine, giving) in self
            .transfers
            .outgoing
            .iter_mut()
            .filter(|g| !g.1.write_in_flight)
        {
            if commit.change_count() >= most || *bytes > 40_000 {
                break;
            }
            let key = format!(
                "{}{}/{machine}",
                store::MACHINE_TRANSFER_PREFIX,
                giving.to_shard
            );
            commit.put(&key, store::to_raw_value(&giving.record), None);
            *bytes += 250;
            giving.write_in_flight = true;
            batch.writes.push(BatchedWrite::MachineTransfer {
                machine: machine.clone(),
            });
        }
    }

    pub(crate) fn machine_transferred(&mut self, machine: &str) {
        if let Some(giving) = self.transfers.outgoing.remove(machine) {
            let until = self.now + ARRIVAL_TIME;
            self.transfers
                .recent
                .entry(giving.to_shard)
                .or_default()
                .push((until, giving.record));
        }
    }

    /// Perhaps it was carried out: to say it again changes nothing, for whoever took it knows it already.
    pub(crate) fn machine_transfer_failed(&mut self, machine: &str) {
        if let Some(giving) = self.transfers.outgoing.get_mut(machine) {
            giving.write_in_flight = false;
        }
    }

    /// A machine is on its way to this block.
    pub fn accept_machine_transfer(
        &mut self,
        machine: &str,
        record: &MachineTransferRecord,
        now: Micros,
    ) {
        if self.transfers.incoming.contains(machine) {
            return;
        }
        if self
            .machines
            .get(machine)
            .is_some_and(|m| m.lifecycle.recorded)
            || self.fleet.deleted_machines.contains_key(machine)
        {
            // It is here already, or was: only what says that it is on its way is left over.
            self.store_writes.stale_keys.push(format!(
                "{}{}/{machine}",
                store::MACHINE_TRANSFER_PREFIX,
                self.shard.id
            ));
            return;
        }
        self.machine_or_adopt(
            machine,
            &record.machine_type,
            &record.zone,
            record.spot,
            now,
        );
        let member = ShardMember::from(record.clone());
        self.shard.add(machine, member, None);
        self.transfers.incoming.insert(machine.into());
    }

    /// How many machines of an offer are being rented for a block, or on their way to it.
    pub(crate) fn incoming_machine_count(
        &mut self,
        block: u32,
        flavor: &str,
        zone: &str,
        spot: bool,
    ) -> u32 {
        let now = self.now;
        let same = |r: &MachineTransferRecord| {
            r.machine_type == flavor && r.zone == zone && r.spot == spot
        };
        let arriving = self.transfers.recent.entry(block).or_default();
        arriving.retain(|(until, _)| now < *until);
        let arriving = arriving.iter().filter(|(_, r)| same(r)).count() as u32;
        let giving = self
            .transfers
            .outgoing
            .values()
            .filter(|g| g.to_shard == block && same(&g.record))
            .count();
        let asked = self
            .transfers
            .provisioning_for_shard
            .iter()
            .filter(|(_, to)| **to == block);
        let asked = asked.filter_map(|(name, _)| self.fleet.pending_provisions.get(name));
        let asked = asked.filter(|(offer, _)| {
            *self.machine_types[offer.machine_type].name == *flavor
                && offer.zone == zone
                && offer.spot == spot
        });
        arriving + giving as u32 + asked.map(|(_, n)| n).sum::<u32>()
    }
}
