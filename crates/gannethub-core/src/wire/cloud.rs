//! Wire format of the cloud's API: listing machine types, and provisioning, listing and deleting machines.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::http::{Answer, CallResult, Method};
use crate::model::{MachineType, Resources, micros_from_seconds};

/// Maximum number of machines in one page of a listing.
const PAGE_MACHINES: u32 = 500;
/// Fetch rate of a machine, in GB per second, if the cloud does not state the rate.
const DEFAULT_FETCH_GB_PER_S: f64 = 1.0;
/// Exclusive upper bound for plausible amounts.
const MAX_AMOUNT: f64 = 1e9;

/// A request to the cloud.
#[derive(Clone, Debug, PartialEq)]
pub struct CloudRequest {
    pub method: Method,
    pub path: String,
    pub body: Bytes,
}

impl CloudRequest {
    /// Builds the request that reads the machine types.
    pub fn machine_types() -> CloudRequest {
        CloudRequest::get("/flavors".into())
    }

    /// Lists the machines that follow `after`, or all machines from the first if `after` is empty.
    pub fn list_machines(after: &str) -> CloudRequest {
        CloudRequest::get(if after.is_empty() {
            format!("/rentals?page={PAGE_MACHINES}")
        } else {
            format!("/rentals?from={after}&page={PAGE_MACHINES}")
        })
    }

    /// Provisions `count` machines. The cloud carries out a request once for each `name`, however often the request is
    /// sent.
    pub fn provision(
        name: &str,
        machine_type: &str,
        zone: &str,
        spot: bool,
        count: u32,
    ) -> CloudRequest {
        #[derive(Serialize)]
        struct Body<'a> {
            #[serde(rename = "hire")]
            name: &'a str,
            #[serde(rename = "rig")]
            machine_type: &'a str,
            #[serde(rename = "yard")]
            zone: &'a str,
            #[serde(rename = "loaners")]
            spot: bool,
            #[serde(rename = "how_many")]
            count: u32,
        }
        let body = Body {
            name,
            machine_type,
            zone,
            spot,
            count,
        };
        CloudRequest::post("/rentals", &body)
    }

    pub fn delete_machines(machines: &[String]) -> CloudRequest {
        #[derive(Serialize)]
        struct Body<'a> {
            #[serde(rename = "hosts")]
            machines: &'a [String],
        }
        CloudRequest::post("/rentals/delete", &Body { machines })
    }

    fn get(path: String) -> CloudRequest {
        CloudRequest {
            method: Method::Get,
            path,
            body: Bytes::new(),
        }
    }

    fn post(path: &str, body: &impl Serialize) -> CloudRequest {
        CloudRequest {
            method: Method::Post,
            path: path.into(),
            body: serde_json::to_vec(body).unwrap_or_default().into(),
        }
    }
}

#[derive(Deserialize)]
struct MachineTypesAnswer {
    #[serde(rename = "rigs")]
    machine_types: Vec<MachineTypeEntry>,
}

#[derive(Deserialize)]
struct MachineTypeEntry {
    #[serde(rename = "label")]
    name: String,
    #[serde(rename = "vcpus")]
    cpus: f64,
    #[serde(rename = "cards", default)]
    gpus: f64,
    mem_gb: f64,
    #[serde(default)]
    fetch_gb_per_s: f64,
    price: f64,
    #[serde(default)]
    spot_price: f64,
    #[serde(default)]
    boot_s: f64,
    #[serde(rename = "yards", default)]
    zones: Vec<String>,
}

impl MachineTypeEntry {
    fn is_plausible(&self) -> bool {
        [
            self.cpus,
            self.gpus,
            self.mem_gb,
            self.price,
            self.spot_price,
        ]
        .into_iter()
        .all(|amount| amount.is_finite() && (0.0..MAX_AMOUNT).contains(&amount))
    }
}

impl From<MachineTypeEntry> for MachineType {
    fn from(entry: MachineTypeEntry) -> MachineType {
        let or_default = |amount: f64, default: f64| if amount > 0.0 { amount } else { default };
        MachineType {
            capacity: Resources::new(entry.cpus, entry.gpus, entry.mem_gb),
            name: entry.name.into(),
            price: entry.price,
            spot_price: or_default(entry.spot_price, entry.price),
            boot_time: micros_from_seconds(entry.boot_s),
            fetch_gb_per_s: or_default(entry.fetch_gb_per_s, DEFAULT_FETCH_GB_PER_S),
            zones: entry.zones,
        }
    }
}

/// Reads the machine types from the result of a call. Returns `None` if no response came, if the response is an error,
/// or if the response holds no usable machine type.
pub fn decode_machine_types(result: &CallResult) -> Option<Vec<MachineType>> {
    let answer = result.as_ref().ok().filter(|answer| answer.is_ok())?;
    parse_machine_types(&answer.body)
}

/// Parses a list of machine types. Returns `None` if no entry is plausible or the body cannot be parsed.
pub fn parse_machine_types(body: &[u8]) -> Option<Vec<MachineType>> {
    let answer: MachineTypesAnswer = serde_json::from_slice(body).ok()?;
    let entries = answer.machine_types.into_iter();
    let machine_types: Vec<MachineType> = entries
        .filter(MachineTypeEntry::is_plausible)
        .map(MachineType::from)
        .collect();
    (!machine_types.is_empty()).then_some(machine_types)
}

/// The response to a provisioning request: the names of the machines, which are fewer than requested if the cloud has
/// no more.
#[derive(Deserialize)]
pub struct ProvisionAnswer {
    #[serde(rename = "hosts")]
    pub machines: Vec<String>,
}

/// Whether the cloud has no machine of the requested kind. The cloud answers 503 in that case, as it does when it is
/// overloaded; the error text tells the two apart.
pub fn is_out_of_capacity(result: &CallResult) -> bool {
    #[derive(Deserialize)]
    struct Body {
        #[serde(default)]
        error: String,
    }
    let unavailable = result.as_ref().ok().filter(|answer| answer.status == 503);
    unavailable
        .and_then(Answer::decode::<Body>)
        .is_some_and(|body| body.error == "no capacity")
}

/// One machine of a listing.
#[derive(Deserialize, Debug, Clone)]
pub struct ListedMachine {
    pub id: String,
    #[serde(rename = "rig")]
    pub machine_type: String,
    #[serde(rename = "yard")]
    pub zone: String,
    #[serde(rename = "loaners", default)]
    pub spot: bool,
    #[serde(default)]
    pub status: String,
    /// Time since the machine was provisioned, in seconds.
    #[serde(rename = "held_s", default)]
    pub age_s: f64,
}

impl ListedMachine {
    /// Whether the machine has failed for good: it will never boot, or never run again.
    pub fn has_failed(&self) -> bool {
        self.status == "failed"
    }
}

/// One page of a listing.
#[derive(Deserialize)]
pub struct MachineList {
    #[serde(rename = "hosts")]
    pub machines: Vec<ListedMachine>,
    /// Whether more machines follow.
    #[serde(default)]
    pub truncated: bool,
}
