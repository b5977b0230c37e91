//! State of the cloud provider: pending and in-flight calls, refused offers, boot times and deleted machines.

use std::collections::{BTreeMap, HashMap};

use super::provisioning_times::ProvisioningTimes;
use crate::model::{MachineType, Micros, SECOND};
use crate::wire::cloud::{CloudRequest, ListedMachine};

/// Share of the cloud's request rate that the leader uses. The rest is left to peers, which may read the machine types
/// now and then.
const LEADER_RATE_SHARE: f64 = 0.85;
/// Maximum number of unused tokens that are kept, as the time in seconds in which this number is added.
const MAX_SAVED_SECONDS: f64 = 2.0;

/// A kind of machine that can be requested.
#[derive(Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Debug)]
pub struct Offer {
    /// Index into the list of machine types.
    pub machine_type: usize,
    pub zone: String,
    pub spot: bool,
}

/// Machines in a provisioning request to which the cloud has not responded yet.
#[derive(Clone, Debug)]
pub struct PendingProvision {
    pub offer: Offer,
    pub count: u32,
}

/// A refusal: the cloud had no machine for an offer.
#[derive(Clone, Copy, Debug)]
pub struct OfferRefusal {
    pub(crate) refused_at: Micros,
    /// Earliest time at which the offer is requested again.
    pub(crate) retry_at: Micros,
    /// Number of consecutive refusals of the offer.
    pub(crate) consecutive_refusals: u32,
    /// Number of machines of the offer at the time of the refusal.
    pub(crate) machines_held: usize,
}

/// A call to the cloud, with the data needed to send the call again.
#[derive(Clone, Debug, PartialEq)]
pub enum CloudCall {
    /// Reads the machine types.
    MachineTypes,
    /// Reads the page of the machine list that starts after the name `after`.
    List { after: String },
    /// Provisions machines. The request's name makes it idempotent: requests with the same name provision only once.
    Provision {
        name: String,
        offer: Offer,
        count: u32,
        /// Number of times that the request was sent before.
        tries: u32,
    },
    /// Deletes machines.
    Delete { machines: Vec<String> },
}

/// A token bucket that keeps the calls below the cloud's request rate.
#[derive(Debug)]
pub(crate) struct CallBudget {
    /// Number of calls that may be sent now.
    tokens: f64,
    /// Number of tokens added per second.
    rate: f64,
    refilled_at: Micros,
    /// End of a pause that the cloud has asked for.
    pub paused_until: Micros,
}

/// The cloud's list of all machines, which is read in pages.
#[derive(Debug, Default)]
pub(crate) struct MachineListing {
    /// Whether a page has been requested.
    pub in_flight: bool,
    /// Time at which the next page is requested.
    pub next_at: Micros,
    /// Name of the machine after which the next page begins.
    pub cursor: String,
    /// Machines on the pages read so far.
    pub entries: Vec<ListedMachine>,
}

/// The state of the calls to the cloud, and the information learned from them.
///
/// `scheduling::autoscaler` decides on calls; `reconcile::provisioning` applies the responses.
#[derive(Debug)]
pub struct Fleet {
    pub(crate) term: u64,
    /// Number of provisioning requests so far. Together with the term, the number names a request.
    pub(crate) request_count: u64,
    /// Provisioning requests in flight, by name.
    pub pending_provisions: BTreeMap<String, PendingProvision>,
    /// Calls that are to be sent again unchanged.
    pub(crate) calls_to_retry: Vec<CloudCall>,
    pub(crate) delete_in_flight: bool,

    pub(crate) budget: CallBudget,
    pub(crate) listing: MachineListing,
    pub(crate) next_machine_types_at: Micros,
    /// Time at which the next summary of the fleet is logged.
    pub(crate) next_summary_at: Micros,
    /// Time of the next search for machines that could be emptied and returned.
    pub(crate) next_consolidation_at: Micros,

    pub(crate) refusals: HashMap<Offer, OfferRefusal>,
    pub provisioning_times: ProvisioningTimes,
    /// Machines confirmed as deleted, and the time of confirmation: a lagging list may still contain the machines,
    /// and heartbeats that were held back in the network may arrive minutes later.
    pub deleted_machines: HashMap<String, Micros>,
}

impl Fleet {
    /// Returns the state before any call. `request_rate`: number of requests that the cloud accepts per second.
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
            next_consolidation_at: 0,
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

    /// Adds the tokens earned since the last refill. During a pause there are no tokens.
    pub fn refill(&mut self, now: Micros) {
        let earned = now.saturating_sub(self.refilled_at) as f64 / SECOND as f64 * self.rate;
        let max_tokens = (self.rate * MAX_SAVED_SECONDS).max(1.0);
        self.tokens = (self.tokens + earned).min(max_tokens);
        self.refilled_at = now;
        if now < self.paused_until {
            self.tokens = 0.0;
        }
    }

    /// Takes a token for one call, if `reserve` tokens remain for more urgent calls.
    pub fn try_take(&mut self, reserve: f64) -> bool {
        let has_token = self.tokens >= 1.0 + reserve;
        if has_token {
            self.tokens -= 1.0;
        }
        has_token
    }
}

impl CloudCall {
    /// Returns the HTTP request for this call.
    pub fn to_request(&self, machine_types: &[MachineType]) -> CloudRequest {
        match self {
            CloudCall::MachineTypes => CloudRequest::machine_types(),
            CloudCall::List { after } => CloudRequest::list_machines(after),
            CloudCall::Delete { machines } => CloudRequest::delete_machines(machines),
            CloudCall::Provision {
                name, offer, count, ..
            } => {
                let machine_type = &machine_types[offer.machine_type].name;
                CloudRequest::provision(name, machine_type, &offer.zone, offer.spot, *count)
            }
        }
    }
}
