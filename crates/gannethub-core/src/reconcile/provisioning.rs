//! Taking in what the cloud answers.

use std::collections::HashSet;
use std::sync::Arc;

use crate::http::{Answer, CallResult, decode_ok};
use crate::model::{MachineId, Micros, SECOND, micros_from_seconds};
use crate::state::cluster::Cluster;
use crate::state::fleet::{CloudCall, Offer, OfferRefusal};
use crate::wire::cloud::{self, MachineList, ProvisionAnswer};
use crate::wire::store::MachineTransferRecord;

/// Nothing of a deleted machine comes later than this.
const MAX_MESSAGE_AGE: Micros = 900 * SECOND;

impl Cluster {
    /// Takes in an answer of the cloud.
    pub fn apply_cloud_answer(&mut self, call: CloudCall, answer: &CallResult, now: Micros) {
        if matches!(
            answer,
            Ok(Answer {
                status: 429 | 503,
                ..
            })
        ) && !is_out_of_capacity(answer)
        {
            self.fleet.paused_until = now + SECOND;
        }
        match call {
            CloudCall::MachineTypes => {
                let flavors = cloud::decode_machine_types(answer);
                match flavors {
                    // Indices into the list are kept, so its order and names must not change.
                    Some(f) if has_same_names(&f, &self.machine_types) => {
                        self.machine_types = Arc::new(f)
                    }
                    Some(_) => tracing::info!("machine types changed: used after a takeover"),
                    None => self.fleet.next_machine_types_at = now + 5 * SECOND,
                }
            }
            CloudCall::List { .. } => self.apply_machine_listing(answer, now),
            CloudCall::Delete { machines } => {
                self.fleet.delete_in_flight = false;
                if answer.as_ref().is_ok_and(Answer::is_ok) {
                    for name in machines {
                        self.fleet.deleted_machines.insert(name.clone(), now);
                        self.remove_machine(&name.as_str().into(), now, "it was returned");
                    }
                }
            }
            CloudCall::Provision {
                name,
                offer,
                count,
                tries,
            } => {
                if let Some(rented) = decode_ok::<ProvisionAnswer>(answer) {
                    self.fleet.pending_provisions.remove(&name);
                    if rented.machines.len() < count as usize {
                        self.record_offer_refusal(&offer, now);
                    } else {
                        self.fleet.refusals.remove(&offer);
                    }
                    let flavor = self.machine_types[offer.machine_type].name.clone();
                    let to = self.transfers.provisioning_for_shard.remove(&name);
                    for m in rented.machines {
                        match to {
                            // It may have reported by now, and have been adopted.
                            Some(to) if !self.machines.contains_key(m.as_str()) => {
                                let (flavor, zone) = (flavor.to_string(), offer.zone.clone());
                                let record = MachineTransferRecord {
                                    machine_type: flavor,
                                    zone,
                                    spot: offer.spot,
                                };
                                self.start_machine_transfer(&m, record, to);
                            }
                            _ => drop(self.machine_or_adopt(
                                &m,
                                &flavor,
                                &offer.zone,
                                offer.spot,
                                now,
                            )),
                        }
                    }
                } else if is_out_of_capacity(answer) || tries >= 4 {
                    self.fleet.pending_provisions.remove(&name);
                    self.transfers.provisioning_for_shard.remove(&name);
                    self.record_offer_refusal(&offer, now);
                } else if matches!(answer, Ok(Answer { status: 400, .. })) {
                    tracing::error!(%name, "the cloud calls a rental request malformed");
                    self.fleet.pending_provisions.remove(&name);
                    self.transfers.provisioning_for_shard.remove(&name);
                    self.record_offer_refusal(&offer, now);
                } else {
                    // The same name again: it rents once, however often it is carried out.
                    let again = CloudCall::Provision {
                        name,
                        offer,
                        count,
                        tries: tries + 1,
                    };
                    self.fleet.calls_to_retry.push(again);
                }
            }
        }
    }

    /// Block 0's holder was refused machines of these offers, and leaves them alone for so long.
    pub fn apply_refused_offers(&mut self, offers: Vec<(Offer, Micros)>, now: Micros) {
        for (offer, left) in offers {
            let held = self.machines_of_offer(&offer);
            let refusal = OfferRefusal {
                at: now,
                until: now + left,
                consecutive: 1,
                machines_held: held,
            };
            self.fleet.refusals.insert(offer, refusal);
        }
    }

    fn record_offer_refusal(&mut self, offer: &Offer, now: Micros) {
        let times = self.fleet.refusals.get(offer).map_or(0, |r| r.consecutive);
        let until = now + ((8 * SECOND) << times.min(2));
        let refusal = OfferRefusal {
            at: now,
            until,
            consecutive: times + 1,
            machines_held: self.machines_of_offer(offer),
        };
        self.fleet.refusals.insert(offer.clone(), refusal);
    }

    fn apply_machine_listing(&mut self, answer: &CallResult, now: Micros) {
        self.fleet.listing_in_flight = false;
        let Some(list) = decode_ok::<MachineList>(answer) else {
            self.fleet.listing_cursor.clear();
            self.fleet.listing_entries.clear();
            self.fleet.next_listing_at = now + 2 * SECOND;
            return;
        };
        let last = list.machines.last().map(|m| m.id.clone());
        self.fleet.listing_entries.extend(list.machines);
        if let (true, Some(last)) = (list.truncated, last) {
            self.fleet.listing_cursor = last;
            return;
        }
        self.fleet.listing_cursor.clear();
        self.fleet.next_listing_at = now + 4 * SECOND;
        let seen = std::mem::take(&mut self.fleet.listing_entries);
        let lag = 2 * self.settings.list_lag;
        // What other blocks have and is on no list any more is gone, however old the list is.
        let old = now > self.takeover.at + lag + MAX_MESSAGE_AGE;
        self.other_shards
            .machines
            .retain(|m, _| !old || seen.iter().any(|l| l.id == *m));
        let limit = self.lease_expiry_bound();
        let mut gone: Vec<MachineId> = Vec::new();
        let names: HashSet<&str> = seen.iter().map(|l| l.id.as_str()).collect();
        for m in self
            .machines
            .values_mut()
            .filter(|m| !names.contains(&*m.id))
        {
            m.lifecycle.missed_listings += 1;
            // Lists lag and may be older than the one before; a machine counts as gone only when
            // it has long been silent as well, so that nothing can be left on it.
            let old = now > m.lifecycle.known_since + lag + 2 * SECOND;
            if old && m.lifecycle.missed_listings >= 3 && now > m.worker.last_answered_at + limit {
                gone.push(m.id.clone());
            }
        }
        for id in gone {
            tracing::info!(machine = %id, "machine is gone from the list");
            self.remove_machine(&id, now, "it is gone");
        }
        self.fleet
            .deleted_machines
            .retain(|_, at| now < *at + MAX_MESSAGE_AGE + lag);
        let mut adopted = 0;
        for l in &seen {
            if self.other_shards.machines.contains_key(&l.id) {
                continue;
            }
            if !self.machines.contains_key(l.id.as_str()) {
                // A list may still show what was deleted a moment ago.
                if self.fleet.deleted_machines.contains_key(&l.id) {
                    continue;
                }
                adopted += 1;
            }
            let age = micros_from_seconds(l.age_s);
            let m = self.machine_or_adopt(&l.id, &l.machine_type, &l.zone, l.spot, now);
            m.lifecycle.missed_listings = 0;
            if !m.lifecycle.in_listing {
                m.lifecycle.in_listing = true;
                m.lifecycle.provisioned_at =
                    m.lifecycle.provisioned_at.min(now.saturating_sub(age));
            }
            if l.status == "failed" && !m.lifecycle.deleting {
                tracing::info!(machine = %m.id, why = "it failed", "returning");
                m.lifecycle.deleting = true;
            }
        }
        if adopted > 0 {
            tracing::info!(machines = adopted, "adopted from the list");
        }
    }
}

fn has_same_names(a: &[crate::model::MachineType], b: &[crate::model::MachineType]) -> bool {
    a.len() == b.len() && a.iter().zip(b).all(|(x, y)| x.name == y.name)
}

fn is_out_of_capacity(answer: &CallResult) -> bool {
    #[derive(serde::Deserialize)]
    struct Reason {
        #[serde(default)]
        error: String,
    }
    let refusal = answer.as_ref().ok().filter(|answer| answer.status == 503);
    refusal
        .and_then(Answer::decode::<Reason>)
        .is_some_and(|reason| reason.error == "no capacity")
}
