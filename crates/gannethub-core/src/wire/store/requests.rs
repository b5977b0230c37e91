//! Requests to the state service, and transactions.

use bytes::Bytes;
use serde::Serialize;
use serde_json::value::RawValue;

use super::keys::{finished_job_key, live_job_key};
use super::records::{FinishedJobRecord, to_raw_value};
use crate::http::Method;
use crate::model::{Micros, SECOND};

const DEFAULT_TIMEOUT: Micros = 2 * SECOND;
/// Time after which an unanswered renewal is sent again. The timeout is short because the lease runs out meanwhile.
const RENEWAL_TIMEOUT: Micros = SECOND;
/// Time for which the service holds back the response to a watch while nothing changes.
const WATCH_BLOCK_MS: u64 = 10_000;
/// Timeout of a watch: the time for which the service holds back the response, plus time for the network.
const WATCH_TIMEOUT: Micros = 13 * SECOND;
/// Maximum number of items in one page of a listing.
const PAGE_ITEMS: u32 = 200;

/// A request to the state service.
#[derive(Clone, Debug, PartialEq)]
pub struct StoreRequest {
    pub method: Method,
    pub path: String,
    pub body: Bytes,
    /// Maximum time to wait for the response.
    pub timeout: Micros,
    /// Number of puts and deletes in the request. Changes have a rate limit of their own.
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

    /// Lists the keys with this prefix that follow `after`, or all of them from the first if `after` is empty.
    pub fn list(prefix: &str, after: &str) -> StoreRequest {
        let from = if after.is_empty() {
            String::new()
        } else {
            format!("&from={after}")
        };
        let path = format!("/kv?starts={prefix}{from}&page={PAGE_ITEMS}");
        StoreRequest::new(Method::Get, path, Bytes::new())
    }

    /// Waits for changes after version `after` to keys with this prefix.
    pub fn watch(prefix: &str, after: u64) -> StoreRequest {
        let path = format!("/follow?starts={prefix}&from={after}&block_ms={WATCH_BLOCK_MS}");
        let mut request = StoreRequest::new(Method::Get, path, Bytes::new());
        request.timeout = WATCH_TIMEOUT;
        request
    }

    /// Reads the changes after version `after` to keys with this prefix, without waiting for changes.
    pub fn changes_since(prefix: &str, after: u64) -> StoreRequest {
        let path = format!("/follow?starts={prefix}&from={after}&block_ms=0");
        StoreRequest::new(Method::Get, path, Bytes::new())
    }

    /// Requests a store lease with time to live `ttl`.
    pub fn acquire_lease(ttl: Micros) -> StoreRequest {
        #[derive(Serialize)]
        struct Body {
            ttl_ms: u64,
        }
        let ttl_ms = ttl / 1000;
        let body = to_json_bytes(&Body { ttl_ms });
        StoreRequest::new(Method::Post, "/grants".into(), body)
    }

    pub fn renew_lease(lease_id: u64) -> StoreRequest {
        let path = format!("/grants/{lease_id}/renew");
        let mut request = StoreRequest::new(Method::Post, path, Bytes::from_static(b"{}"));
        request.timeout = RENEWAL_TIMEOUT;
        request
    }

    /// Revokes a store lease. The service deletes the keys bound to the lease.
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

/// A conditional transaction under construction. The service carries out all writes if all guards hold, and none
/// otherwise.
#[derive(Serialize, Debug, Clone, Default)]
pub struct Transaction {
    guards: Vec<Guard>,
    writes: Vec<Write>,
}

impl Transaction {
    /// Adds a guard that requires `key` to have this version, or not to exist if `version` is 0.
    pub fn guard(&mut self, key: &str, version: u64) {
        self.guards.push(Guard {
            key: key.into(),
            version,
        });
    }

    /// Adds the write of a key, bound to the store lease `lease` if there is one.
    pub fn put(&mut self, key: &str, value: Box<RawValue>, lease: Option<u64>) {
        self.writes.push(Write::Put {
            key: key.into(),
            value,
            lease,
        });
    }

    /// Adds the deletion of a key.
    pub fn delete(&mut self, key: &str) {
        self.writes.push(Write::Delete { key: key.into() });
    }

    /// Moves a job from the live to the finished jobs. The caller has to add a guard for the live record.
    pub fn finish_job(&mut self, id: &str, record: &FinishedJobRecord) {
        let key = finished_job_key(id);
        self.guard(&key, 0);
        self.delete(&live_job_key(id));
        self.put(&key, to_raw_value(record), None);
    }

    /// Returns the number of puts and deletes.
    pub fn change_count(&self) -> usize {
        self.writes.len()
    }

    /// Builds the request that submits the transaction.
    pub fn to_request(&self) -> StoreRequest {
        let mut request = StoreRequest::new(Method::Post, "/commit".into(), to_json_bytes(self));
        request.change_count = self.writes.len() as u32;
        request
    }
}
