//! The cloud, as it appears on the wire.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::http::{CallResult, Method};
use crate::model::{MachineType, Resources, micros_from_seconds};

/// A request to the cloud.
#[derive(Clone, Debug, PartialEq)]
pub struct CloudRequest {
    pub method: Method,
    pub path: String,
    pub body: Bytes,
}

impl CloudRequest {
    pub fn machine_types() -> CloudRequest {
        CloudRequest {
            method: Method::Get,
            path: "/flavors".into(),
            body: Bytes::new(),
        }
    }

    pub fn list(after: &str) -> CloudRequest {
        let path = if after.is_empty() {
            "/rentals?page=500".to_string()
        } else {
            format!("/rentals?from={after}&page=500")
        };
        CloudRequest {
            method: Method::Get,
            path,
            body: Bytes::new(),
        }
    }

    pub fn provision(name: &str, flavor: &str, zone: &str, spot: bool, count: u32) -> CloudRequest {
        #[derive(Serialize)]
        struct Rent<'a> {
            hire: &'a str,
            rig: &'a str,
            yard: &'a str,
            loaners: bool,
            how_many: u32,
        }
        let body = Rent {
            hire: name,
            rig: flavor,
            yard: zone,
            loaners: spot,
            how_many: count,
        };
        CloudRequest::post("/rentals", &body)
    }

    pub fn delete(machines: &[String]) -> CloudRequest {
        #[derive(Serialize)]
        struct Delete<'a> {
            hosts: &'a [String],
        }
        CloudRequest::post("/rentals/delete", &Delete { hosts: machines })
    }

    fn post(path: &str, body: &impl Serialize) -> CloudRequest {
        let body = serde_json::to_vec(body).unwrap_or_default().into();
        CloudRequest {
            method: Method::Post,
            path: path.into(),
            body,
        }
    }
}

#[derive(Deserialize)]
struct MachineTypesAnswer {
    rigs: Vec<MachineTypeEntry>,
}

#[derive(Deserialize)]
struct MachineTypeEntry {
    label: String,
    vcpus: f64,
    #[serde(default)]
    cards: f64,
    mem_gb: f64,
    #[serde(default)]
    fetch_gb_per_s: f64,
    price: f64,
    #[serde(default)]
    spot_price: f64,
    #[serde(default)]
    boot_s: f64,
    #[serde(default)]
    yards: Vec<String>,
}

/// The machine types of an answer; `None` if there is none, or it has none that can be used.
pub fn decode_machine_types(result: &CallResult) -> Option<Vec<MachineType>> {
    let answer = result.as_ref().ok().filter(|answer| answer.is_ok())?;
    parse_machine_types(&answer.body)
}

/// Reads the machine types; `None` if the answer makes no sense.
pub fn parse_machine_types(body: &[u8]) -> Option<Vec<MachineType>> {
    let raw: MachineTypesAnswer = serde_json::from_slice(body).ok()?;
    let sane = |x: f64| x.is_finite() && (0.0..1e9).contains(&x);
    let flavors: Vec<MachineType> = raw
        .rigs
        .into_iter()
        .filter(|f| {
            [f.vcpus, f.cards, f.mem_gb, f.price, f.spot_price]
                .into_iter()
                .all(sane)
        })
        .map(|f| MachineType {
            size: Resources::new(f.vcpus, f.cards, f.mem_gb),
            name: f.label.into(),
            price: f.price,
            spot_price: if f.spot_price > 0.0 {
                f.spot_price
            } else {
                f.price
            },
            boot_time: micros_from_seconds(f.boot_s),
            fetch_gb_per_s: if f.fetch_gb_per_s > 0.0 {
                f.fetch_gb_per_s
            } else {
                1.0
            },
            zones: f.yards,
        })
        .collect();
    (!flavors.is_empty()).then_some(flavors)
}

#[derive(Deserialize)]
pub struct ProvisionAnswer {
    #[serde(rename = "hosts")]
    pub machines: Vec<String>,
}

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
    #[serde(rename = "held_s", default)]
    pub age_s: f64,
}

#[derive(Deserialize)]
pub struct MachineList {
    #[serde(rename = "hosts")]
    pub machines: Vec<ListedMachine>,
    #[serde(default)]
    pub truncated: bool,
}
