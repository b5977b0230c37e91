//! Listings of the cloud's machines: removal of machines that are gone, and adoption of machines that are not known.

use std::collections::HashSet;

use crate::http::{CallResult, decode_ok};
use crate::model::{MachineId, Micros, SECOND, micros_from_seconds};
use crate::state::cluster::Cluster;
use crate::wire::cloud::{ListedMachine, MachineList};

/// Maximum time after the deletion of a machine at which a message from the machine may still arrive.
const MAX_MESSAGE_AGE: Micros = 900 * SECOND;
/// Delay between the end of a complete listing and the start of the next one.
const LISTING_INTERVAL: Micros = 4 * SECOND;
/// Delay before a failed listing is repeated.
const LISTING_RETRY: Micros = 2 * SECOND;
/// Number of consecutive listings without a machine after which the machine may be gone.
const MIN_MISSED_LISTINGS: u32 = 3;
/// Margin that is added to the maximum lag of listings.
const LISTING_LAG_MARGIN: Micros = 2 * SECOND;

impl Cluster {
    /// Collects one page of a listing, and applies the whole listing when its last page arrives.
    pub(super) fn apply_machine_listing(&mut self, answer: &CallResult, now: Micros) {
        self.fleet.listing.in_flight = false;
        let Some(page) = decode_ok::<MachineList>(answer) else {
            self.fleet.listing.cursor.clear();
            self.fleet.listing.entries.clear();
            self.fleet.listing.next_at = now + LISTING_RETRY;
            return;
        };
        let last = page.machines.last().map(|machine| machine.id.clone());
        self.fleet.listing.entries.extend(page.machines);
        if let (true, Some(last)) = (page.truncated, last) {
            self.fleet.listing.cursor = last;
            return;
        }
        self.fleet.listing.cursor.clear();
        self.fleet.listing.next_at = now + LISTING_INTERVAL;
        let listed = std::mem::take(&mut self.fleet.listing.entries);
        self.remove_gone_machines(&listed, now);
        self.apply_listed_machines(&listed, now);
    }

    /// Returns the maximum age of a listing's data when its response arrives.
    fn max_listing_age(&self) -> Micros {
        2 * self.settings.max_listing_lag
    }

    /// Removes machines that are certain to be gone.
    fn remove_gone_machines(&mut self, listed: &[ListedMachine], now: Micros) {
        let names: HashSet<&str> = listed.iter().map(|machine| machine.id.as_str()).collect();
        let max_age = self.max_listing_age();
        // After this time since the takeover, machines of other shards that the listing does not show are gone, even if
        // the listing has the maximum age.
        if now > self.takeover.started_at + max_age + MAX_MESSAGE_AGE {
            let in_other_shards = &mut self.other_shards.machines;
            in_other_shards.retain(|machine, _| names.contains(machine.as_str()));
        }
        for id in self.machines_gone_from_listing(&names, now) {
            tracing::info!(machine = %id, "machine is missing from cloud listings");
            self.remove_machine(&id, now, "machine is gone");
        }
        self.fleet
            .deleted_machines
            .retain(|_, deleted_at| now < *deleted_at + MAX_MESSAGE_AGE + max_age);
    }

    /// Returns the machines that count as gone. A listing lags, and its data may be older than that of the listing
    /// before. Therefore a machine counts as gone only if its worker has also been silent for longer than its lease, so
    /// that no task can be left on the machine.
    fn machines_gone_from_listing(&mut self, names: &HashSet<&str>, now: Micros) -> Vec<MachineId> {
        let max_age = self.max_listing_age();
        let lease_bound = self.lease_expiry_bound();
        let mut gone = Vec::new();
        for machine in self.machines.values_mut() {
            if names.contains(&*machine.id) {
                continue;
            }
            let lifecycle = &mut machine.lifecycle;
            lifecycle.missed_listings += 1;
            let listed_by = lifecycle.known_since + max_age + LISTING_LAG_MARGIN;
            if now > listed_by
                && lifecycle.missed_listings >= MIN_MISSED_LISTINGS
                && now > machine.worker.last_response_at + lease_bound
            {
                gone.push(machine.id.clone());
            }
        }
        gone
    }

    /// Applies the entries of a listing, and adopts machines that are not known yet.
    fn apply_listed_machines(&mut self, listed: &[ListedMachine], now: Micros) {
        let mut adopted = 0;
        for entry in listed {
            if self.other_shards.machines.contains_key(&entry.id) {
                continue;
            }
            if !self.machines.contains_key(entry.id.as_str()) {
                // A listing may still show a machine that was deleted shortly before.
                if self.fleet.deleted_machines.contains_key(&entry.id) {
                    continue;
                }
                adopted += 1;
            }
            self.apply_listed_machine(entry, now);
        }
        if adopted > 0 {
            tracing::info!(machines = adopted, "machines adopted from cloud listing");
        }
    }

    fn apply_listed_machine(&mut self, entry: &ListedMachine, now: Micros) {
        let age = micros_from_seconds(entry.age_s);
        let (machine_type, zone) = (&entry.machine_type, &entry.zone);
        let machine = self.get_or_adopt_machine(&entry.id, machine_type, zone, entry.spot, now);
        let lifecycle = &mut machine.lifecycle;
        lifecycle.missed_listings = 0;
        if !lifecycle.in_listing {
            lifecycle.in_listing = true;
            lifecycle.provisioned_at = lifecycle.provisioned_at.min(now.saturating_sub(age));
        }
        if entry.has_failed() && !lifecycle.deleting {
            tracing::info!(machine = %machine.id, why = "machine failed", "returning");
            lifecycle.deleting = true;
        }
    }
}
