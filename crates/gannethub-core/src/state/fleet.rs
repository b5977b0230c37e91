//! What is remembered of the fleet: calls to the cloud, refusals, boots, and machines that are gone.

use std::collections::{BTreeMap, HashMap};

use super::provisioning_times::Boots;
use crate::model::{Flavor, Micros};
use crate::wire::cloud::{CloudRequest, Listed};

/// When the cloud last had no machine for an offer.
#[derive(Clone, Copy, Debug)]
pub struct Refusal {
    pub(crate) at: Micros,
    pub(crate) until: Micros,
    pub(crate) times: u32,
    /// How many machines of the offer were rented then.
    pub(crate) held: usize,
}

/// A kind of machine that can be asked for.
#[derive(Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Debug)]
pub struct Offer {
    pub flavor: usize,
    pub zone: String,
    pub spot: bool,
}

/// A call to the cloud and what it is for.
#[derive(Clone, Debug, PartialEq)]
pub enum CloudCall {
    Flavors,
    List {
        after: String,
    },
    Rent {
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
    pub(crate) requests: u64,
    pub(crate) tokens: f64,
    pub(crate) rate: f64,
    pub(crate) refilled: Micros,
    pub renting: BTreeMap<String, (Offer, u32)>,
    pub(crate) refusals: HashMap<Offer, Refusal>,
    pub(crate) paused_until: Micros,
    pub(crate) listing: bool,
    pub(crate) next_list: Micros,
    pub(crate) next_flavors: Micros,
    pub(crate) next_summary: Micros,
    pub(crate) list_after: String,
    pub(crate) list_seen: Vec<Listed>,
    pub(crate) retry: Vec<CloudCall>,
    pub(crate) deleting: bool,
    pub(crate) next_move: Micros,
    pub boots: Boots,
    /// Machines confirmed as deleted, and when: a lagging list may still show them, and reports
    /// that were held back in the network may come minutes later.
    pub removed: HashMap<String, Micros>,
}

impl Fleet {
    pub fn new(term: u64, rps: f64) -> Fleet {
        Fleet {
            term,
            requests: 0,
            tokens: rps,
            // Siblings may ask for the machine types now and then.
            rate: rps * 0.85,
            refilled: 0,
            renting: BTreeMap::new(),
            refusals: HashMap::new(),
            paused_until: 0,
            listing: false,
            next_list: 0,
            next_flavors: 0,
            next_summary: 0,
            list_after: String::new(),
            list_seen: Vec::new(),
            retry: Vec::new(),
            deleting: false,
            next_move: 0,
            boots: Boots::default(),
            removed: HashMap::new(),
        }
    }

    /// Takes a request's worth of the rate, leaving `keep` for more urgent calls.
    pub(crate) fn may_call(&mut self, keep: f64) -> bool {
        if self.tokens >= 1.0 + keep {
            self.tokens -= 1.0;
            return true;
        }
        false
    }
}

impl CloudCall {
    pub fn request(&self, flavors: &[Flavor]) -> CloudRequest {
        match self {
            CloudCall::Flavors => CloudRequest::flavors(),
            CloudCall::List { after } => CloudRequest::list(after),
            CloudCall::Delete { machines } => CloudRequest::delete(machines),
            CloudCall::Rent {
                name, offer, count, ..
            } => {
                let flavor = &flavors[offer.flavor].name;
                CloudRequest::rent(name, flavor, &offer.zone, offer.spot, *count)
            }
        }
    }
}
