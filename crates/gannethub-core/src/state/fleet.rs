//! What is remembered of the cloud: calls that are due or under way, refused offers, boot times and deleted machines.

use std::collections::{BTreeMap, HashMap};

use super::provisioning_times::ProvisioningTimes;
use crate::model::{MachineType, Micros, SECOND};
use crate::wire::cloud::{CloudRequest, ListedMachine};

/// The share of the cloud's request rate that the leader uses: peers may ask for the machine types now and then.
const LEADER_RATE_SHARE: f64 = 0.85;
/// Calls that were not made are made up for as far as the rate of this many seconds.
const MAX_SAVED_SECONDS: f64 = 2.0;

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

/// A token bucket that keeps the calls below the cloud's request rate.
#[derive(Debug)]
pub(crate) struct CallBudget {
    /// How many calls may be sent now.
    tokens: f64,
    /// How many tokens are added in a second.
    rate: f64,
    refilled_at: Micros,
    /// The cloud has asked for a pause until then.
    pub paused_until: Micros,
}

/// The list of all machines that the cloud knows of, which is read in pages.
#[derive(Debug, Default)]
pub(crate) struct MachineListing {
    /// A page has been asked for.
    pub in_flight: bool,
    /// When the next page is asked for.
    pub next_at: Micros,
    /// The machine after which the next page begins.
    pub cursor: String,
    /// What the pages so far have shown.
    pub entries: Vec<ListedMachine>,
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

    pub(crate) budget: CallBudget,
    pub(crate) listing: MachineListing,
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
            budget: CallBudget::new(request_rate),
            listing: MachineListing::default(),
            next_machine_types_at: 0,
            next_summary_at: 0,
            next_move_at: 0,
            refusals: HashMap::new(),
            provisioning_times: ProvisioningTimes::default(),
            deleted_machines: HashMap::new(),
        }
    }
}

impl CallBudget {
    fn new(request_rate: f64) -> CallBudget {
        CallBudget {
            tokens: request_rate,
            rate: request_rate * LEADER_RATE_SHARE,
            refilled_at: 0,
            paused_until: 0,
        }
    }

    /// Adds the tokens earned since this was last done. There are none during a pause.
    pub fn refill(&mut self, now: Micros) {
        let earned = now.saturating_sub(self.refilled_at) as f64 / SECOND as f64 * self.rate;
        let max_tokens = (self.rate * MAX_SAVED_SECONDS).max(1.0);
        self.tokens = (self.tokens + earned).min(max_tokens);
        self.refilled_at = now;
        if now < self.paused_until {
            self.tokens = 0.0;
        }
    }

    /// Takes a token for one call, if that leaves `reserve` tokens for more urgent calls.
    pub fn try_take(&mut self, reserve: f64) -> bool {
        let has_token = self.tokens >= 1.0 + reserve;
        if has_token {
            self.tokens -= 1.0;
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
