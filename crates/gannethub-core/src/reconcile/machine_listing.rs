//! Listings of the cloud's machines: those that are gone, and those that nobody here knows of.

use std::collections::HashSet;

use crate::http::{CallResult, decode_ok};
use crate::model::{MachineId, Micros, SECOND, micros_from_seconds};
use crate::state::cluster::Cluster;
use crate::wire::cloud::{ListedMachine, MachineList};

/// No message of a deleted machine arrives later than this after its deletion.
const MAX_MESSAGE_AGE: Micros = 900 * SECOND;
/// The next listing begins this long after a whole one ...
const LISTING_INTERVAL: Micros = 4 * SECOND;
/// ... and this long after one that failed.
const LISTING_RETRY: Micros = 2 * SECOND;
/// A machine that has been on none of so many listings in a row may be gone.
const MISSED_LISTINGS_OF_GONE: u32 = 3;
/// Added to the time by which listings may lag behind.
const LISTING_LAG_MARGIN: Micros = 2 * SECOND;

impl Cluster {
    /// Applies one page of a listing, and the whole listing with its last page.
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
        self.forget_gone_machines(&listed, now);
        self.apply_listed_machines(&listed, now);
    }

    /// How much older than its answer a listing may be.
    fn max_listing_age(&self) -> Micros {
        2 * self.settings.list_lag
    }

    /// Forgets machines that are gone for certain.
    fn forget_gone_machines(&mut self, listed: &[ListedMachine], now: Micros) {
        let names: HashSet<&str> = listed.iter().map(|machine| machine.id.as_str()).collect();
        let max_age = self.max_listing_age();
        // So long after the takeover, what other shards have and no listing shows is gone, however old the listing is.
        if now > self.takeover.at + max_age + MAX_MESSAGE_AGE {
            let in_other_shards = &mut self.other_shards.machines;
            in_other_shards.retain(|machine, _| names.contains(machine.as_str()));
        }
        for id in self.machines_gone_from_listing(&names, now) {
            tracing::info!(machine = %id, "machine is gone from the list");
            self.remove_machine(&id, now, "it is gone");
        }
        self.fleet
            .deleted_machines
            .retain(|_, deleted_at| now < *deleted_at + MAX_MESSAGE_AGE + max_age);
    }

    /// The machines that count as gone. A listing lags, and may be older than the one before; so a machine counts as gone
    /// only when it has been silent for long as well, so that nothing can be left on it.
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
                && lifecycle.missed_listings >= MISSED_LISTINGS_OF_GONE
                && now > machine.worker.last_answered_at + lease_bound
            {
                gone.push(machine.id.clone());
            }
        }
        gone
    }

    /// Applies what a listing says of machines, adopting those that are not known.
    fn apply_listed_machines(&mut self, listed: &[ListedMachine], now: Micros) {
        let mut adopted = 0;
        for entry in listed {
            if self.other_shards.machines.contains_key(&entry.id) {
                continue;
            }
            if !self.machines.contains_key(entry.id.as_str()) {
                // A listing may still show what was deleted a moment ago.
                if self.fleet.deleted_machines.contains_key(&entry.id) {
                    continue;
                }
                adopted += 1;
            }
            self.apply_listed_machine(entry, now);
        }
        if adopted > 0 {
            tracing::info!(machines = adopted, "adopted from the list");
        }
    }

    fn apply_listed_machine(&mut self, entry: &ListedMachine, now: Micros) {
        let age = micros_from_seconds(entry.age_s);
        let (machine_type, zone) = (&entry.machine_type, &entry.zone);
        let machine = self.machine_or_adopt(&entry.id, machine_type, zone, entry.spot, now);
        let lifecycle = &mut machine.lifecycle;
        lifecycle.missed_listings = 0;
        if !lifecycle.in_listing {
            lifecycle.in_listing = true;
            lifecycle.provisioned_at = lifecycle.provisioned_at.min(now.saturating_sub(age));
        }
        if entry.has_failed() && !lifecycle.deleting {
            tracing::info!(machine = %machine.id, why = "it failed", "returning");
            lifecycle.deleting = true;
        }
    }
}
