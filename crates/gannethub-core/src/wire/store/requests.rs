//! Requests to the state service, and transactions.

use bytes::Bytes;
use serde::Serialize;
use serde_json::value::RawValue;

use super::keys::{finished_job_key, live_job_key};
use super::records::{FinishedJobRecord, to_raw_value};
use crate::http::Method;
use crate::model::{Micros, SECOND};

const DEFAULT_TIMEOUT: Micros = 2 * SECOND;
/// A renewal that takes longer is sent again: the lease runs out meanwhile.
const RENEWAL_TIMEOUT: Micros = SECOND;
/// How long the service holds back the answer to a watch while nothing changes.
const WATCH_BLOCK_MS: u64 = 10_000;
/// The service's own time and some for the way.
const WATCH_TIMEOUT: Micros = 13 * SECOND;
/// Items in one answer to a listing.
const PAGE_ITEMS: u32 = 200;

/// A request to the state service.
#[derive(Clone, Debug, PartialEq)]
pub struct StoreRequest {
    pub method: Method,
    pub path: String,
    pub body: Bytes,
    /// How long an answer is waited for.
    pub timeout: Micros,
    /// Puts and deletes that it carries: they have a rate of their own.
    pub change_count: u32,
}

impl StoreRequest {
    fn new(method: Method, path: String, body: Bytes) -> StoreRequest {
        StoreRequest {
            method,
            path,
            body,
            timeout: DEFAULT_TIMEOUT,
            change_count: 0,
        }
    }

    /// Reads one key.
    pub fn get(key: &str) -> StoreRequest {
        StoreRequest::new(Method::Get, format!("/kv/{key}"), Bytes::new())
    }

    /// Lists the keys with this prefix, from the one after `after` on; from the first if that is empty.
    pub fn list(prefix: &str, after: &str) -> StoreRequest {
        let from = if after.is_empty() {
            String::new()
        } else {
            format!("&from={after}")
        };
        let path = format!("/kv?starts={prefix}{from}&page={PAGE_ITEMS}");
        StoreRequest::new(Method::Get, path, Bytes::new())
    }

    /// Waits for changes of keys with this prefix after that version.
    pub fn watch(prefix: &str, after: u64) -> StoreRequest {
        let path = format!("/follow?starts={prefix}&from={after}&block_ms={WATCH_BLOCK_MS}");
        let mut request = StoreRequest::new(Method::Get, path, Bytes::new());
        request.timeout = WATCH_TIMEOUT;
        request
    }

    /// Reads what has changed after that version, and does not wait for changes.
    pub fn changes_since(prefix: &str, after: u64) -> StoreRequest {
        let path = format!("/follow?starts={prefix}&from={after}&block_ms=0");
        StoreRequest::new(Method::Get, path, Bytes::new())
    }

    /// Asks for a store lease of this length.
    pub fn acquire_lease(ttl: Micros) -> StoreRequest {
        #[derive(Serialize)]
        struct Body {
            ttl_ms: u64,
        }
        let ttl_ms = ttl / 1000;
        let body = to_json_bytes(&Body { ttl_ms });
        StoreRequest::new(Method::Post, "/grants".into(), body)
    }

    /// Renews a store lease.
    pub fn renew_lease(lease_id: u64) -> StoreRequest {
        let path = format!("/grants/{lease_id}/renew");
        let mut request = StoreRequest::new(Method::Post, path, Bytes::from_static(b"{}"));
        request.timeout = RENEWAL_TIMEOUT;
        request
    }

    /// Gives a store lease back; the keys that are bound to it go with it.
    pub fn revoke_lease(lease_id: u64) -> StoreRequest {
        let path = format!("/grants/{lease_id}");
        StoreRequest::new(Method::Delete, path, Bytes::new())
    }
}

fn to_json_bytes(value: &impl Serialize) -> Bytes {
    serde_json::to_vec(value).unwrap_or_default().into()
}

#[derive(Serialize, Debug, Clone)]
struct Guard {
    #[serde(rename = "k")]
    key: String,
    #[serde(rename = "stamp")]
    version: u64,
}

#[derive(Serialize, Debug, Clone)]
#[serde(untagged)]
enum Write {
    Put {
        #[serde(rename = "write")]
        key: String,
        #[serde(rename = "v")]
        value: Box<RawValue>,
        #[serde(rename = "permit", skip_serializing_if = "Option::is_none")]
        lease: Option<u64>,
    },
    Delete {
        #[serde(rename = "delete")]
        key: String,
    },
}

/// A conditional transaction that is being put together. All of its writes are carried out if all guards hold, and
/// none otherwise.
#[derive(Serialize, Debug, Clone, Default)]
pub struct Transaction {
    guards: Vec<Guard>,
    writes: Vec<Write>,
}

impl Transaction {
    /// Requires `key` to have this version; 0: not to exist.
    pub fn guard(&mut self, key: &str, version: u64) {
        self.guards.push(Guard {
            key: key.into(),
            version,
        });
    }

    /// Writes a key. `lease`: the store lease that the key is bound to.
    pub fn put(&mut self, key: &str, value: Box<RawValue>, lease: Option<u64>) {
        self.writes.push(Write::Put {
            key: key.into(),
            value,
            lease,
        });
    }

    /// Deletes a key.
    pub fn delete(&mut self, key: &str) {
        self.writes.push(Write::Delete { key: key.into() });
    }

    /// Moves a job from the live to the finished ones. The caller guards its live record.
    pub fn end_job(&mut self, id: &str, record: &FinishedJobRecord) {
        let key = finished_job_key(id);
        self.guard(&key, 0);
        self.delete(&live_job_key(id));
        self.put(&key, to_raw_value(record), None);
    }

    /// How many puts and deletes it has.
    pub fn change_count(&self) -> usize {
        self.writes.len()
    }

    /// The request that carries it out.
    pub fn to_request(&self) -> StoreRequest {
        let mut request = StoreRequest::new(Method::Post, "/commit".into(), to_json_bytes(self));
        request.change_count = self.writes.len() as u32;
        request
    }
}
