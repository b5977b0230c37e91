//! Responses of the cloud to requests for machine types, machines and deletions. Responses to listing requests are
//! applied in `machine_listing`.

use std::sync::Arc;

use crate::http::{Answer, CallResult, decode_ok};
use crate::model::{MachineType, Micros, SECOND};
use crate::state::cluster::Cluster;
use crate::state::fleet::{CloudCall, Offer, OfferRefusal};
use crate::wire::cloud::{ProvisionAnswer, decode_machine_types, is_out_of_capacity};
use crate::wire::store::MachineTransferRecord;

/// Pause of all requests to the cloud after a response that reports overload: status 429, or status 503 for another
/// reason than missing capacity.
const OVERLOAD_PAUSE: Micros = SECOND;
/// Delay before a failed read of the machine types is repeated.
const MACHINE_TYPES_RETRY: Micros = 5 * SECOND;
/// Number of times that a provisioning request without a clear response is sent again before its offer counts as
/// refused.
const MAX_PROVISION_RETRIES: u32 = 4;
/// Time for which a refused offer is not requested again. The time doubles with each further consecutive refusal, but
/// only [`MAX_REFUSAL_DOUBLINGS`] times.
const REFUSAL_BACKOFF: Micros = 8 * SECOND;
const MAX_REFUSAL_DOUBLINGS: u32 = 2;

/// Provisioning request that was sent to the cloud.
struct ProvisionCall {
    name: String,
    offer: Offer,
    count: u32,
    tries: u32,
}

impl Cluster {
    /// Applies the cloud's response to a call, or the failure of the call.
    pub fn apply_cloud_answer(&mut self, call: CloudCall, answer: &CallResult, now: Micros) {
        let is_overloaded = answer
            .as_ref()
            .is_ok_and(|answer| matches!(answer.status, 429 | 503));
        if is_overloaded && !is_out_of_capacity(answer) {
            self.fleet.budget.paused_until = now + OVERLOAD_PAUSE;
        }
        match call {
            CloudCall::MachineTypes => self.apply_machine_types(answer, now),
            CloudCall::List { .. } => self.apply_machine_listing(answer, now),
            CloudCall::Delete { machines } => self.apply_deletion(machines, answer, now),
            CloudCall::Provision {
                name,
                offer,
                count,
                tries,
            } => {
                let call = ProvisionCall {
                    name,
                    offer,
                    count,
                    tries,
                };
                self.apply_provision_answer(call, answer, now);
            }
        }
    }

    fn apply_machine_types(&mut self, answer: &CallResult, now: Micros) {
        match decode_machine_types(answer) {
            // Machines and offers hold indices into the list of machine types, so its order and names must not change.
            Some(types) if has_same_names(&types, &self.machine_types) => {
                self.machine_types = Arc::new(types);
            }
            Some(_) => tracing::info!("machine types changed; new ones apply after a takeover"),
            None => self.fleet.next_machine_types_at = now + MACHINE_TYPES_RETRY,
        }
    }

    fn apply_deletion(&mut self, machines: Vec<String>, answer: &CallResult, now: Micros) {
        self.fleet.delete_in_flight = false;
        if !answer.as_ref().is_ok_and(Answer::is_ok) {
            return;
        }
        for name in machines {
            let id = name.as_str().into();
            self.fleet.deleted_machines.insert(name, now);
            self.remove_machine(&id, now, "machine was returned");
        }
    }

    fn apply_provision_answer(&mut self, call: ProvisionCall, answer: &CallResult, now: Micros) {
        if let Some(provisioned) = decode_ok::<ProvisionAnswer>(answer) {
            return self.apply_provisioned(call, provisioned.machines, now);
        }
        let is_malformed = matches!(answer, Ok(Answer { status: 400, .. }));
        let is_refused = is_out_of_capacity(answer) || call.tries >= MAX_PROVISION_RETRIES;
        if is_malformed && !is_refused {
            tracing::error!(name = %call.name, "cloud rejected provisioning request as malformed");
        }
        if is_malformed || is_refused {
            self.fleet.pending_provisions.remove(&call.name);
            self.transfers.provisioning_for_shard.remove(&call.name);
            self.record_offer_refusal(&call.offer, now);
            return;
        }
        // The request may have been carried out. A request provisions only once under the same name, however often it
        // is sent.
        self.fleet.calls_to_retry.push(CloudCall::Provision {
            name: call.name,
            offer: call.offer,
            count: call.count,
            tries: call.tries + 1,
        });
    }

    /// Applies the provisioning of machines for this shard or for another one.
    fn apply_provisioned(&mut self, call: ProvisionCall, machines: Vec<String>, now: Micros) {
        let offer = &call.offer;
        self.fleet.pending_provisions.remove(&call.name);
        if machines.len() < call.count as usize {
            self.record_offer_refusal(offer, now);
        } else {
            self.fleet.refusals.remove(offer);
        }
        let machine_type = self.machine_types[offer.machine_type].name.clone();
        let for_shard = self.transfers.provisioning_for_shard.remove(&call.name);
        for name in machines {
            // A machine that is already known has sent a heartbeat, and has been adopted into this shard.
            let is_adopted = self.machines.contains_key(name.as_str());
            match for_shard.filter(|_| !is_adopted) {
                Some(shard) => {
                    let record = MachineTransferRecord {
                        machine_type: machine_type.to_string(),
                        zone: offer.zone.clone(),
                        spot: offer.spot,
                    };
                    self.start_machine_transfer(&name, record, shard);
                }
                None => {
                    self.get_or_adopt_machine(&name, &machine_type, &offer.zone, offer.spot, now);
                }
            }
        }
    }

    /// Applies refusals that the owner of shard 0 got from the cloud. Each refusal is an offer and the remaining time
    /// for which that owner does not request the offer.
    pub fn apply_refused_offers(&mut self, offers: Vec<(Offer, Micros)>, now: Micros) {
        for (offer, backoff) in offers {
            let refusal = OfferRefusal {
                refused_at: now,
                retry_at: now + backoff,
                consecutive_refusals: 1,
                machines_held: self.machine_count_of_offer(&offer),
            };
            self.fleet.refusals.insert(offer, refusal);
        }
    }

    fn record_offer_refusal(&mut self, offer: &Offer, now: Micros) {
        let last = self.fleet.refusals.get(offer);
        let consecutive_refusals = last.map_or(0, |refusal| refusal.consecutive_refusals);
        let backoff = REFUSAL_BACKOFF << consecutive_refusals.min(MAX_REFUSAL_DOUBLINGS);
        let refusal = OfferRefusal {
            refused_at: now,
            retry_at: now + backoff,
            consecutive_refusals: consecutive_refusals + 1,
            machines_held: self.machine_count_of_offer(offer),
        };
        self.fleet.refusals.insert(offer.clone(), refusal);
    }
}

fn has_same_names(types: &[MachineType], known: &[MachineType]) -> bool {
    let names = |types: &[MachineType]| -> Vec<Arc<str>> {
        types
            .iter()
            .map(|machine_type| machine_type.name.clone())
            .collect()
    };
    names(types) == names(known)
}
