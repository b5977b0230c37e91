//! Shard transfers of machines to and from other shards.
//!
//! A machine joins the cluster through the owner of shard 0. A transfer to another shard takes place before the machine
//! is up, when no task can be on it and its worker has seen no fencing token. The transfer is a saga of two
//! transactions, each guarded by the key of the shard owner that sends it: the sending owner writes a transfer record;
//! the receiving owner records the machine as a member of its shard, and deletes the transfer record afterwards. At any
//! moment at most one shard's record or one transfer record names the machine, so at most one owner launches tasks on
//! it. If the receiving owner is lost, its successor reads both records; if the sending owner is lost before it wrote
//! the transfer record, the machine is adopted like any other unexpected machine.

use super::transaction::TransactionBuilder;
use crate::model::{Micros, SECOND};
use crate::state::cluster::Cluster;
use crate::state::fleet::PendingProvision;
use crate::state::shard::ShardMember;
use crate::state::shard_transfers::{OutgoingTransfer, RecentTransfer};
use crate::state::writes::BatchedWrite;
use crate::wire::store::{self, MachineTransferRecord};

/// Time for which a transferred machine counts as on its way to its new shard. By the end of that time the shard's
/// owner has read the transfer record and no longer asks for the machine.
const ARRIVAL_TIME: Micros = 4 * SECOND;
/// Maximum size of a transfer record in a transaction.
const TRANSFER_RECORD_BYTES: usize = 250;

impl Cluster {
    /// Starts the transfer of a machine that was provisioned on behalf of another shard.
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

    /// Adds the records of outgoing machine transfers to a transaction, until the transaction has `max_changes`
    /// changes.
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

    /// Records that a transfer record was written. The machine belongs to the other shard from now on.
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

    /// Records that the transaction with a transfer record failed or had no clear outcome. If the transaction was
    /// carried out after all, writing the record once more changes nothing: the receiving owner already knows the
    /// machine.
    pub(super) fn machine_transfer_failed(&mut self, machine: &str) {
        if let Some(transfer) = self.transfers.outgoing.get_mut(machine) {
            transfer.write_in_flight = false;
        }
    }

    /// Accepts a machine that is on its way to this shard.
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
            // The machine is, or was, a member of this shard already: only its transfer record is left over.
            let key = store::machine_transfer_key(self.shard.id, machine);
            self.store_writes.stale_keys.push(key);
            return;
        }
        let (machine_type, zone) = (&record.machine_type, &record.zone);
        self.get_or_adopt_machine(machine, machine_type, zone, record.spot, now);
        let member = ShardMember::from(record.clone());
        self.shard.add(machine, member, None);
        self.transfers.incoming.insert(machine.into());
    }

    /// Returns the number of machines of an offer that are being provisioned for a shard or are on their way to it.
    pub(crate) fn incoming_machine_count(
        &mut self,
        shard: u32,
        machine_type: &str,
        zone: &str,
        spot: bool,
    ) -> u32 {
        let now = self.now;
        let matches_offer = |record: &MachineTransferRecord| {
            record.machine_type == machine_type && record.zone == zone && record.spot == spot
        };
        let recent = self.transfers.recent.entry(shard).or_default();
        recent.retain(|transfer| now < transfer.counts_until);
        let recent_count = recent
            .iter()
            .filter(|transfer| matches_offer(&transfer.record))
            .count();
        let outgoing = self.transfers.outgoing.values();
        let outgoing_count = outgoing
            .filter(|transfer| transfer.to_shard == shard && matches_offer(&transfer.record))
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
        recent_count as u32 + outgoing_count as u32 + requested
    }
}
