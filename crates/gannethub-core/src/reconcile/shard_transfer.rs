//! Machines that go to other shards, and those that come from there.
//!
//! A machine joins the cluster through shard 0's owner, and is given to another shard before it is up, when nothing can
//! be on it and its worker has seen no token. That is a saga of two transactions, each guarded by the key of the owner
//! that sends it: the giver records that the machine is on its way; the taker records it as a member of its shard, and
//! deletes the transfer record afterwards. At any moment at most one shard's record or one transfer record names the
//! machine, so at most one owner launches on it. If the taker is lost, its successor reads both; if the giver is lost
//! before it wrote, the machine is adopted like any that nobody expected.

use super::transaction::TransactionBuilder;
use crate::model::{Micros, SECOND};
use crate::state::cluster::Cluster;
use crate::state::fleet::PendingProvision;
use crate::state::shard::ShardMember;
use crate::state::shard_transfers::{OutgoingTransfer, RecentTransfer};
use crate::state::writes::BatchedWrite;
use crate::wire::store::{self, MachineTransferRecord};

/// A machine that was given to a shard counts as on its way there for this long: by then the shard's owner has read
/// its record, and no longer asks for the machine.
const ARRIVAL_TIME: Micros = 4 * SECOND;
/// What a transfer record takes in a transaction, at most.
const TRANSFER_RECORD_BYTES: usize = 250;

impl Cluster {
    /// A request on behalf of another shard has brought a machine.
    pub fn start_machine_transfer(
        &mut self,
        machine: &str,
        record: MachineTransferRecord,
        to_shard: u32,
    ) {
        self.other_shards.machines.insert(machine.into(), to_shard);
        let transfer = OutgoingTransfer {
            to_shard,
            record,
            write_in_flight: false,
        };
        self.transfers.outgoing.insert(machine.into(), transfer);
    }

    /// Adds machines on their way to other shards to a transaction, until it has `max_changes`.
    pub(super) fn add_machine_transfers(
        &mut self,
        builder: &mut TransactionBuilder,
        max_changes: usize,
    ) {
        for (machine, transfer) in &mut self.transfers.outgoing {
            if transfer.write_in_flight {
                continue;
            }
            if builder.transaction.change_count() >= max_changes || builder.is_too_large() {
                break;
            }
            let key = store::machine_transfer_key(transfer.to_shard, machine);
            let value = store::to_raw_value(&transfer.record);
            builder.transaction.put(&key, value, None);
            builder.add_bytes(TRANSFER_RECORD_BYTES);
            transfer.write_in_flight = true;
            let machine = machine.clone();
            let write = BatchedWrite::MachineTransfer { machine };
            builder.batch.writes.push(write);
        }
    }

    /// A transfer was recorded: the machine is the other shard's from here on.
    pub(super) fn machine_transferred(&mut self, machine: &str) {
        if let Some(transfer) = self.transfers.outgoing.remove(machine) {
            let counts_until = self.now + ARRIVAL_TIME;
            self.transfers
                .recent
                .entry(transfer.to_shard)
                .or_default()
                .push(RecentTransfer {
                    record: transfer.record,
                    counts_until,
                });
        }
    }

    /// The transaction that records a transfer failed, or perhaps it was carried out. Writing the record once more
    /// changes nothing then: whoever took the machine knows it already.
    pub(super) fn machine_transfer_failed(&mut self, machine: &str) {
        if let Some(transfer) = self.transfers.outgoing.get_mut(machine) {
            transfer.write_in_flight = false;
        }
    }

    /// A machine is on its way to this shard.
    pub fn accept_machine_transfer(
        &mut self,
        machine: &str,
        record: &MachineTransferRecord,
        now: Micros,
    ) {
        if self.transfers.incoming.contains(machine) {
            return;
        }
        let is_member = self
            .machines
            .get(machine)
            .is_some_and(|m| m.lifecycle.recorded);
        if is_member || self.fleet.deleted_machines.contains_key(machine) {
            // It is here already, or was: only the record of its transfer is left over.
            let key = store::machine_transfer_key(self.shard.id, machine);
            self.store_writes.stale_keys.push(key);
            return;
        }
        let (machine_type, zone) = (&record.machine_type, &record.zone);
        self.machine_or_adopt(machine, machine_type, zone, record.spot, now);
        let member = ShardMember::from(record.clone());
        self.shard.add(machine, member, None);
        self.transfers.incoming.insert(machine.into());
    }

    /// How many machines of an offer are being provisioned for a shard, or are on their way to it.
    pub(crate) fn incoming_machine_count(
        &mut self,
        shard: u32,
        machine_type: &str,
        zone: &str,
        spot: bool,
    ) -> u32 {
        let now = self.now;
        let is_same = |record: &MachineTransferRecord| {
            record.machine_type == machine_type && record.zone == zone && record.spot == spot
        };
        let recent = self.transfers.recent.entry(shard).or_default();
        recent.retain(|transfer| now < transfer.counts_until);
        let arriving = recent
            .iter()
            .filter(|transfer| is_same(&transfer.record))
            .count();
        let outgoing = self.transfers.outgoing.values();
        let leaving = outgoing
            .filter(|transfer| transfer.to_shard == shard && is_same(&transfer.record))
            .count();
        let requested: u32 = self
            .transfers
            .provisioning_for_shard
            .iter()
            .filter(|(_, to_shard)| **to_shard == shard)
            .filter_map(|(request, _)| self.fleet.pending_provisions.get(request))
            .filter(|PendingProvision { offer, .. }| {
                *self.machine_types[offer.machine_type].name == *machine_type
                    && offer.zone == zone
                    && offer.spot == spot
            })
            .map(|pending| pending.count)
            .sum();
        arriving as u32 + leaving as u32 + requested
    }
}
