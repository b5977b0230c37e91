//! What is remembered of the cloud: calls that are due or under way, refused offers, boot times and deleted machines.

use std::collections::{BTreeMap, HashMap};

use super::provisioning_times::ProvisioningTimes;
use crate::model::{MachineType, Micros};
use crate::wire::cloud::{CloudRequest, ListedMachine};

/// The share of the cloud's request rate that the leader uses: peers may ask for the machine types now and then.
const LEADER_RATE_SHARE: f64 = 0.85;

/// A kind of machine that can be asked for.
#[derive(Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Debug)]
pub struct Offer {
    /// Index into the list of machine types.
    pub machine_type: usize,
    pub zone: String,
    pub spot: bool,
}

/// Machines that have been asked for and that the cloud has not answered for.
#[derive(Clone, Debug)]
pub struct PendingProvision {
    pub offer: Offer,
    pub count: u32,
}

/// The cloud had no machine for an offer.
#[derive(Clone, Copy, Debug)]
pub struct OfferRefusal {
    pub(crate) at: Micros,
    /// The offer is not asked for again before this time.
    pub(crate) until: Micros,
    /// How many times in a row the offer was refused.
    pub(crate) consecutive: u32,
    /// How many machines of the offer there were then.
    pub(crate) machines_held: usize,
}

/// A call to the cloud and what it is for.
#[derive(Clone, Debug, PartialEq)]
pub enum CloudCall {
    /// Reads the machine types.
    MachineTypes,
    /// Reads the page of the list of machines that comes after this one's name.
    List { after: String },
    /// Rents machines. The request's name makes it idempotent: the same name rents only once.
    Provision {
        name: String,
        offer: Offer,
        count: u32,
        /// How many times it was sent before.
        tries: u32,
    },
    /// Returns machines.
    Delete { machines: Vec<String> },
}

/// The state of the calls to the cloud, and what has been learned from them.
///
/// Calls are decided by `scheduling::autoscaler`; their answers are taken in by `reconcile::provisioning`.
#[derive(Debug)]
pub struct Fleet {
    pub(crate) term: u64,
    /// Provisioning requests so far, which names them together with the term.
    pub(crate) request_count: u64,
    /// Provisioning requests under way, by name.
    pub pending_provisions: BTreeMap<String, PendingProvision>,
    /// Calls that are to be sent again as they are.
    pub(crate) calls_to_retry: Vec<CloudCall>,
    pub(crate) delete_in_flight: bool,

    /// Token bucket for calls: how many may be sent now, how many are added in a second, and when that was last done.
    pub(crate) rate_tokens: f64,
    pub(crate) rate: f64,
    pub(crate) refilled_at: Micros,
    /// The cloud has asked for a pause until then.
    pub(crate) paused_until: Micros,

    /// The list of machines is read in pages: where the next one begins, and what the ones before have shown.
    pub(crate) listing_in_flight: bool,
    pub(crate) listing_cursor: String,
    pub(crate) listing_entries: Vec<ListedMachine>,

    pub(crate) next_listing_at: Micros,
    pub(crate) next_machine_types_at: Micros,
    /// When the summary of the fleet is next logged.
    pub(crate) next_summary_at: Micros,
    /// When it is next looked for machines that could be emptied and returned.
    pub(crate) next_move_at: Micros,

    pub(crate) refusals: HashMap<Offer, OfferRefusal>,
    pub provisioning_times: ProvisioningTimes,
    /// Machines confirmed as deleted, and when: a lagging list may still show them, and heartbeats that were held
    /// back in the network may come minutes later.
    pub deleted_machines: HashMap<String, Micros>,
}

impl Fleet {
    /// `request_rate`: how many requests the cloud takes in a second.
    pub fn new(term: u64, request_rate: f64) -> Fleet {
        Fleet {
            term,
            request_count: 0,
            pending_provisions: BTreeMap::new(),
            calls_to_retry: Vec::new(),
            delete_in_flight: false,
            rate_tokens: request_rate,
            rate: request_rate * LEADER_RATE_SHARE,
            refilled_at: 0,
            paused_until: 0,
            listing_in_flight: false,
            listing_cursor: String::new(),
            listing_entries: Vec::new(),
            next_listing_at: 0,
            next_machine_types_at: 0,
            next_summary_at: 0,
            next_move_at: 0,
            refusals: HashMap::new(),
            provisioning_times: ProvisioningTimes::default(),
            deleted_machines: HashMap::new(),
        }
    }

    /// Takes a token for one call, if that leaves `reserve` tokens for more urgent calls.
    pub(crate) fn try_take_token(&mut self, reserve: f64) -> bool {
        let has_token = self.rate_tokens >= 1.0 + reserve;
        if has_token {
            self.rate_tokens -= 1.0;
        }
        has_token
    }
}

impl CloudCall {
    /// The request that is sent for this call.
    pub fn to_request(&self, machine_types: &[MachineType]) -> CloudRequest {
        match self {
            CloudCall::MachineTypes => CloudRequest::machine_types(),
            CloudCall::List { after } => CloudRequest::list(after),
            CloudCall::Delete { machines } => CloudRequest::delete(machines),
            CloudCall::Provision {
                name, offer, count, ..
            } => {
                let machine_type = &machine_types[offer.machine_type].name;
                CloudRequest::provision(name, machine_type, &offer.zone, offer.spot, *count)
            }
        }
    }
}
