//! What is remembered of the fleet: calls to the cloud, refusals, boots, and machines that are gone.

use std::collections::{BTreeMap, HashMap};

use super::provisioning_times::ProvisioningTimes;
use crate::model::{MachineType, Micros};
use crate::wire::cloud::{CloudRequest, ListedMachine};

/// When the cloud last had no machine for an offer.
#[derive(Clone, Copy, Debug)]
pub struct OfferRefusal {
    pub(crate) at: Micros,
    pub(crate) until: Micros,
    pub(crate) consecutive: u32,
    /// How many machines of the offer were rented then.
    pub(crate) machines_held: usize,
}

/// A kind of machine that can be asked for.
#[derive(Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Debug)]
pub struct Offer {
    pub machine_type: usize,
    pub zone: String,
    pub spot: bool,
}

/// A call to the cloud and what it is for.
#[derive(Clone, Debug, PartialEq)]
pub enum CloudCall {
    MachineTypes,
    List {
        after: String,
    },
    Provision {
        name: String,
        offer: Offer,
        count: u32,
        tries: u32,
    },
    Delete {
        machines: Vec<String>,
    },
}

#[derive(Debug)]
pub struct Fleet {
    pub(crate) term: u64,
    pub(crate) request_count: u64,
    pub(crate) rate_tokens: f64,
    pub(crate) rate: f64,
    pub(crate) refilled_at: Micros,
    pub pending_provisions: BTreeMap<String, (Offer, u32)>,
    pub(crate) refusals: HashMap<Offer, OfferRefusal>,
    pub(crate) paused_until: Micros,
    pub(crate) listing_in_flight: bool,
    pub(crate) next_listing_at: Micros,
    pub(crate) next_machine_types_at: Micros,
    pub(crate) next_summary_at: Micros,
    pub(crate) listing_cursor: String,
    pub(crate) listing_entries: Vec<ListedMachine>,
    pub(crate) calls_to_retry: Vec<CloudCall>,
    pub(crate) delete_in_flight: bool,
    pub(crate) next_move_at: Micros,
    pub provisioning_times: ProvisioningTimes,
    /// Machines confirmed as deleted, and when: a lagging list may still show them, and reports
    /// that were held back in the network may come minutes later.
    pub deleted_machines: HashMap<String, Micros>,
}

impl Fleet {
    pub fn new(term: u64, rps: f64) -> Fleet {
        Fleet {
            term,
            request_count: 0,
            rate_tokens: rps,
            // Siblings may ask for the machine types now and then.
            rate: rps * 0.85,
            refilled_at: 0,
            pending_provisions: BTreeMap::new(),
            refusals: HashMap::new(),
            paused_until: 0,
            listing_in_flight: false,
            next_listing_at: 0,
            next_machine_types_at: 0,
            next_summary_at: 0,
            listing_cursor: String::new(),
            listing_entries: Vec::new(),
            calls_to_retry: Vec::new(),
            delete_in_flight: false,
            next_move_at: 0,
            provisioning_times: ProvisioningTimes::default(),
            deleted_machines: HashMap::new(),
        }
    }

    /// Takes a request's worth of the rate, leaving `keep` for more urgent calls.
    pub(crate) fn try_take_token(&mut self, keep: f64) -> bool {
        if self.rate_tokens >= 1.0 + keep {
            self.rate_tokens -= 1.0;
            return true;
        }
        false
    }
}

impl CloudCall {
    pub fn to_request(&self, flavors: &[MachineType]) -> CloudRequest {
        match self {
            CloudCall::MachineTypes => CloudRequest::machine_types(),
            CloudCall::List { after } => CloudRequest::list(after),
            CloudCall::Delete { machines } => CloudRequest::delete(machines),
            CloudCall::Provision {
                name, offer, count, ..
            } => {
                let flavor = &flavors[offer.machine_type].name;
                CloudRequest::provision(name, flavor, &offer.zone, offer.spot, *count)
            }
        }
    }
}
