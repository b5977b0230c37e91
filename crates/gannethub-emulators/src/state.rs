//! A model of the state service, in memory, by its published protocol.

use std::collections::BTreeMap;

use serde_json::{Value, json};

#[derive(Clone)]
struct Entry {
    value: Value,
    /// Version of the key's last change.
    version: u64,
    /// Id of the lease that the key is bound to, if any: the key is deleted when the lease ends.
    lease: Option<u64>,
}

impl Entry {
    /// Returns the entry under its key, as requests for keys are answered.
    fn to_json(&self, key: &str) -> Value {
        json!({"k": key, "v": self.value, "stamp": self.version, "permit": self.lease})
    }
}

/// The state service. All times are in microseconds.
#[derive(Default)]
pub struct State {
    entries: BTreeMap<String, Entry>,
    /// Version, key and new value of every change, in the order of versions; a value of `None` is a delete.
    change_log: Vec<(u64, String, Option<Value>)>,
    /// Duration and expiry time of each lease, by the lease's id.
    leases: BTreeMap<u64, (u64, u64)>,
    version: u64,
    last_lease_id: u64,
    /// Whether the service is in an outage: all requests fail, and no lease expires.
    pub down: bool,
    /// Maximum number of items in a page of a listing. [`State::new`] sets a small number, so that clients have to page
    /// through short listings too.
    pub page: usize,
    /// Number of requests so far.
    pub requests: usize,
    /// Maximum size of a value in bytes and maximum number of changes in a transaction. Both may be lowered without
    /// notice.
    pub limits: (usize, usize),
    /// Number of transactions refused for their size.
    pub too_large: usize,
    /// Maximum number of changes per second; `None` for no limit.
    pub change_rate: Option<f64>,
    /// Number of requests refused because of `change_rate` or `request_rate`.
    pub rate_limited: usize,
    /// Maximum number of requests per second; `None` for no limit.
    pub request_rate: Option<f64>,
    /// Token bucket of `change_rate`: number of changes left, and the time of the last refill.
    change_bucket: (f64, u64),
    /// Token bucket of `request_rate`: number of requests left, and the time of the last refill.
    request_bucket: (f64, u64),
    /// Whether a watch's answer lists its changes in another order than that of their versions.
    pub unordered: bool,
    /// Number of most recent changes that watches can ask for; `None` for all changes.
    pub kept_changes: Option<usize>,
    /// Number of watches refused because they asked for changes older than those that `kept_changes` keeps.
    pub refused_old_watches: usize,
}

/// The query of a request, as `name=value` pairs.
struct Query<'a>(&'a str);

impl<'a> Query<'a> {
    /// Returns the value of a parameter; empty if there is none.
    fn text(&self, name: &str) -> &'a str {
        let mut pairs = self.0.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|pair| pair.0 == name).map_or("", |pair| pair.1)
    }

    fn number(&self, name: &str) -> Option<u64> {
        self.text(name).parse().ok()
    }
}

/// Takes `amount` out of a token bucket that refills at `rate` per second and holds at most one second's worth.
/// Returns false, and takes nothing, if the bucket holds less than `amount`.
fn take_tokens(bucket: &mut (f64, u64), rate: f64, amount: f64, now: u64) -> bool {
    let refill = now.saturating_sub(bucket.1) as f64 / 1e6 * rate;
    *bucket = ((bucket.0 + refill).min(rate), now);
    let enough = bucket.0 >= amount;
    bucket.0 -= if enough { amount } else { 0.0 };
    enough
}

/// The result of a request: an answer with its status and body, or a watch that waits.
pub enum Outcome {
    Answer(u16, Value),
    /// The watch waits for a change after version `after` to a key with this prefix, until the time `until` in
    /// microseconds.
    Wait {
        prefix: String,
        after: u64,
        until: u64,
    },
}

impl State {
    /// Creates an empty state service with the maximum size of a value in bytes and the maximum number of changes in
    /// a transaction.
    pub fn new(max_value_bytes: usize, max_changes: usize) -> State {
        State {
            limits: (max_value_bytes, max_changes),
            page: 5,
            ..State::default()
        }
    }

    /// Writes a key's value and lease, or deletes the key, at the current version.
    fn change(&mut self, key: &str, value: Option<(Value, Option<u64>)>) {
        let current_version = self.version;
        match value {
            Some((value, lease)) => {
                self.change_log
                    .push((current_version, key.into(), Some(value.clone())));
                self.entries.insert(
                    key.into(),
                    Entry {
                        value,
                        version: current_version,
                        lease,
                    },
                );
            }
            None => {
                if self.entries.remove(key).is_some() {
                    self.change_log.push((current_version, key.into(), None));
                }
            }
        }
    }

    /// Ends a lease and deletes the keys that are bound to it.
    fn end_lease(&mut self, id: u64) {
        self.leases.remove(&id);
        let keys: Vec<String> = self
            .entries
            .iter()
            .filter(|(_, entry)| entry.lease == Some(id))
            .map(|(key, _)| key.clone())
            .collect();
        if !keys.is_empty() {
            self.version += 1;
            keys.iter().for_each(|key| self.change(key, None));
        }
    }

    /// Ends leases that have expired. During an outage no lease expires, and after the outage each lease has its full
    /// duration again.
    pub fn tick(&mut self, now: u64) {
        if self.down {
            self.leases
                .values_mut()
                .for_each(|lease| lease.1 = now + lease.0);
            return;
        }
        let expired: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, lease)| lease.1 <= now)
            .map(|lease| *lease.0)
            .collect();
        expired.into_iter().for_each(|id| self.end_lease(id));
    }

    /// Returns a watch's answer with the changes after version `after` to keys with this prefix; `None` if there are
    /// no such changes.
    pub fn changes(&self, prefix: &str, after: u64) -> Option<Value> {
        let first = self
            .change_log
            .partition_point(|(version, _, _)| *version <= after);
        let log: Vec<Value> = self.change_log[first..]
            .iter()
            .filter(|(_, key, _)| key.starts_with(prefix))
            .map(|(version, key, value)| match value {
                Some(value) => json!({"write": key, "v": value, "stamp": version}),
                None => json!({"delete": key, "stamp": version}),
            })
            .collect();
        let log = if self.unordered {
            log.into_iter().rev().collect()
        } else {
            log
        };
        (!log.is_empty()).then(|| json!({"ledger_no": self.version, "log": log}))
    }

    /// Whether some change after this version is no longer available to watches.
    fn has_dropped_changes(&self, after: u64) -> bool {
        let newest_dropped = self
            .kept_changes
            .and_then(|n| self.change_log.len().checked_sub(n + 1));
        newest_dropped
            .and_then(|i| self.change_log.get(i))
            .is_some_and(|(version, _, _)| *version > after)
    }

    /// Returns the answer to a watch that ends without a change.
    pub fn no_changes_answer(&self) -> Value {
        json!({"ledger_no": self.version, "log": []})
    }

    /// Answers a request, given the request's method, path with query, and body.
    pub fn handle(&mut self, method: &str, path: &str, body: &[u8], now: u64) -> Outcome {
        self.requests += 1;
        if self.down {
            return Outcome::Answer(503, json!({"error": "down"}));
        }
        if self
            .request_rate
            .is_some_and(|rate| !take_tokens(&mut self.request_bucket, rate, 1.0, now))
        {
            self.rate_limited += 1;
            return Outcome::Answer(429, json!({"error": "too many"}));
        }
        let (path, query) = path.split_once('?').unwrap_or((path, ""));
        let query = Query(query);
        let body: Value = serde_json::from_slice(body).unwrap_or(Value::Null);
        let (status, answer) = match (method, path) {
            ("GET", "/follow") => return self.follow(&query, now),
            ("GET", "/kv") => (200, self.list(&query)),
            ("GET", key) => self.read(key.trim_start_matches("/kv/")),
            ("POST", "/grants") => (200, self.grant_lease(&body, now)),
            ("POST", "/commit") if !self.take_changes(&body, now) => {
                self.rate_limited += 1;
                (429, json!({"error": "too many"}))
            }
            ("POST", "/commit") => self.commit(&body),
            ("POST", path) => self.renew_lease(path, now),
            ("DELETE", path) => {
                let id = path.trim_start_matches("/grants/").parse().unwrap_or(0);
                let known = self.leases.contains_key(&id);
                self.end_lease(id);
                (if known { 200 } else { 404 }, json!({}))
            }
            _ => (400, json!({"error": "malformed"})),
        };
        Outcome::Answer(status, answer)
    }

    /// Answers a watch: with the changes that there are already, or by waiting for some.
    fn follow(&mut self, query: &Query<'_>, now: u64) -> Outcome {
        let prefix = query.text("starts").to_string();
        let after = query.number("from").unwrap_or(0);
        if self.has_dropped_changes(after) {
            self.refused_old_watches += 1;
            return Outcome::Answer(410, json!({"error": "too old"}));
        }
        if let Some(changes) = self.changes(&prefix, after) {
            return Outcome::Answer(200, changes);
        }
        let block_ms = query.number("block_ms").unwrap_or(0);
        Outcome::Wait {
            prefix,
            after,
            until: now + block_ms * 1000,
        }
    }

    /// Returns a page of the keys with a prefix.
    fn list(&self, query: &Query<'_>) -> Value {
        let (prefix, from) = (query.text("starts"), query.text("from"));
        let requested = query.number("page").unwrap_or(u64::MAX);
        let first = prefix.max(from).to_string();
        let keys = self.entries.range(first..);
        let keys = keys.take_while(|(key, _)| key.starts_with(prefix));
        let mut keys = keys.filter(|(key, _)| key.as_str() > from);
        let size = self.page.min(requested as usize);
        let page = keys.by_ref().take(size);
        let items: Vec<Value> = page.map(|(key, entry)| entry.to_json(key)).collect();
        let more = keys.next().is_some();
        json!({"items": items, "truncated": more, "ledger_no": self.version})
    }

    fn read(&self, key: &str) -> (u16, Value) {
        match self.entries.get(key) {
            Some(entry) => (200, entry.to_json(key)),
            None => (404, json!({"ledger_no": self.version})),
        }
    }

    fn grant_lease(&mut self, body: &Value, now: u64) -> Value {
        let ttl = body["ttl_ms"].as_u64().unwrap_or(0) * 1000;
        self.last_lease_id += 1;
        self.leases.insert(self.last_lease_id, (ttl, now + ttl));
        json!({"permit": self.last_lease_id})
    }

    fn renew_lease(&mut self, path: &str, now: u64) -> (u16, Value) {
        let id = path.trim_start_matches("/grants/");
        let id = id.trim_end_matches("/renew").parse();
        match id.ok().and_then(|id: u64| self.leases.get_mut(&id)) {
            Some(lease) => {
                lease.1 = now + lease.0;
                (200, json!({}))
            }
            None => (404, json!({"error": "no such lease"})),
        }
    }

    /// Takes a transaction's changes out of the token bucket of changes, and returns whether `change_rate` allows them.
    /// Bursts of up to one second's worth of changes are allowed.
    fn take_changes(&mut self, body: &Value, now: u64) -> bool {
        let Some(change_rate) = self.change_rate else {
            return true;
        };
        let changes = body["writes"].as_array().map_or(0, Vec::len) as f64;
        take_tokens(&mut self.change_bucket, change_rate, changes, now)
    }

    /// Executes a transaction: all of its changes at one new version if all guards match, otherwise none.
    fn commit(&mut self, body: &Value) -> (u16, Value) {
        let empty = Vec::new();
        let guards = body["guards"].as_array().unwrap_or(&empty);
        let writes = body["writes"].as_array().unwrap_or(&empty);
        for w in writes {
            if w["permit"]
                .as_u64()
                .is_some_and(|id| !self.leases.contains_key(&id))
            {
                return (400, json!({"error": "no such lease"}));
            }
        }
        let (max_value_bytes, max_changes) = self.limits;
        let too_large = |w: &Value| w["v"].to_string().len() > max_value_bytes;
        if writes.len() > max_changes
            || writes.iter().any(too_large)
            || guards.len() > 4 * max_changes
        {
            self.too_large += 1;
            return (400, json!({"error": "too large"}));
        }
        let version_of = |key: &str| self.entries.get(key).map_or(0, |entry| entry.version);
        let failed: Vec<&str> = guards
            .iter()
            .filter_map(|guard| Some((guard["k"].as_str()?, guard["stamp"].as_u64()?)))
            .filter(|(key, version)| version_of(key) != *version)
            .map(|guard| guard.0)
            .collect();
        if !failed.is_empty() {
            return (409, json!({"failed": failed, "ledger_no": self.version}));
        }
        self.version += 1;
        for w in writes {
            if let Some(key) = w["write"].as_str() {
                self.change(key, Some((w["v"].clone(), w["permit"].as_u64())));
            } else if let Some(key) = w["delete"].as_str() {
                self.change(key, None);
            }
        }
        (200, json!({"ledger_no": self.version}))
    }

    /// Writes a key without guards and without a lease. Tests plant records with it that an earlier software version
    /// would have left behind.
    pub fn put(&mut self, key: &str, value: &str) {
        self.version += 1;
        let value = serde_json::from_str(value).unwrap_or(Value::Null);
        self.change(key, Some((value, None)));
    }

    /// Deletes a key without guards, as an operator might.
    pub fn remove(&mut self, key: &str) {
        self.version += 1;
        self.change(key, None);
    }

    /// Returns the version of a key's last change, for tests; 0 if there is no such key.
    pub fn version(&self, key: &str) -> u64 {
        self.entries.get(key).map_or(0, |entry| entry.version)
    }

    /// Returns a key's value, for tests.
    pub fn value(&self, key: &str) -> Option<&Value> {
        self.entries.get(key).map(|e| &e.value)
    }

    /// Returns the number of keys and the total size of their values in bytes.
    pub fn size(&self) -> (usize, usize) {
        let bytes = self.entries.values().map(|e| e.value.to_string().len());
        (self.entries.len(), bytes.sum())
    }

    /// Returns the number of changes so far.
    pub fn change_count(&self) -> usize {
        self.change_log.len()
    }

    /// Returns the keys with a prefix, for tests.
    pub fn keys(&self, prefix: &str) -> Vec<String> {
        self.entries
            .keys()
            .filter(|k| k.starts_with(prefix))
            .cloned()
            .collect()
    }
}
