//! A stand-in for the state service, in memory, by its published protocol.

use std::collections::BTreeMap;

use serde_json::{Value, json};

#[derive(Clone)]
struct Entry {
    value: Value,
    stamp: u64,
    grant: Option<u64>,
}

#[derive(Default)]
pub struct State {
    entries: BTreeMap<String, Entry>,
    log: Vec<(u64, String, Option<Value>)>,
    grants: BTreeMap<u64, (u64, u64)>,
    revision: u64,
    next_grant: u64,
    pub down: bool,
    /// Items in a page: few, so that paging is always at work.
    pub page: usize,
    /// Requests so far.
    pub requests: usize,
    /// Bytes of a value and changes of a transaction that it allows; they may fall without notice.
    pub limits: (usize, usize),
    /// Transactions refused for their size.
    pub too_large: usize,
    /// Changes a second that it allows, if it counts them; and requests refused for coming too often.
    pub rate: Option<f64>,
    pub too_many: usize,
    /// Requests a second that it allows, if it counts them; those refused count in `too_many` as well.
    pub request_rate: Option<f64>,
    /// What is left of this second's changes, and when that was.
    left: (f64, u64),
    /// The same of this second's requests.
    requests_left: (f64, u64),
    /// A watch's answer has its changes in another order than that of their versions.
    pub unordered: bool,
    /// It keeps so many changes, if not all, and refused so many watches that asked for older ones.
    pub keeps: Option<usize>,
    pub forgot: usize,
}

/// Takes `amount` off a bucket that fills at `rate` a second and holds one second's worth; false: there is too little.
fn take(bucket: &mut (f64, u64), rate: f64, amount: f64, now: u64) -> bool {
    let earned = now.saturating_sub(bucket.1) as f64 / 1e6 * rate;
    *bucket = ((bucket.0 + earned).min(rate), now);
    let enough = bucket.0 >= amount;
    bucket.0 -= if enough { amount } else { 0.0 };
    enough
}

/// What a request comes to: an answer, or a watch that waits.
pub enum Outcome {
    Answer(u16, Value),
    Wait {
        prefix: String,
        after: u64,
        until: u64,
    },
}

impl State {
    pub fn new(value: usize, changes: usize) -> State {
        State {
            limits: (value, changes),
            page: 5,
            ..State::default()
        }
    }

    fn change(&mut self, key: &str, value: Option<(Value, Option<u64>)>) {
        let revision = self.revision;
        match value {
            Some((value, grant)) => {
                self.log.push((revision, key.into(), Some(value.clone())));
                self.entries.insert(
                    key.into(),
                    Entry {
                        value,
                        stamp: revision,
                        grant,
                    },
                );
            }
            None => {
                if self.entries.remove(key).is_some() {
                    self.log.push((revision, key.into(), None));
                }
            }
        }
    }

    fn end_grant(&mut self, id: u64) {
        self.grants.remove(&id);
        let keys: Vec<String> = self
            .entries
            .iter()
            .filter(|(_, e)| e.grant == Some(id))
            .map(|(k, _)| k.clone())
            .collect();
        if !keys.is_empty() {
            self.revision += 1;
            keys.iter().for_each(|k| self.change(k, None));
        }
    }

    /// Lets grants run out. In an outage none does, and afterwards each has its full time again.
    pub fn tick(&mut self, now: u64) {
        if self.down {
            self.grants.values_mut().for_each(|g| g.1 = now + g.0);
            return;
        }
        let over: Vec<u64> = self
            .grants
            .iter()
            .filter(|(_, g)| g.1 <= now)
            .map(|g| *g.0)
            .collect();
        over.into_iter().for_each(|id| self.end_grant(id));
    }

    pub fn changes(&self, prefix: &str, after: u64) -> Option<Value> {
        let first = self.log.partition_point(|(r, _, _)| *r <= after);
        let log: Vec<Value> = self.log[first..]
            .iter()
            .filter(|(_, k, _)| k.starts_with(prefix))
            .map(|(r, k, v)| match v {
                Some(v) => json!({"write": k, "v": v, "stamp": r}),
                None => json!({"delete": k, "stamp": r}),
            })
            .collect();
        let log = if self.unordered {
            log.into_iter().rev().collect()
        } else {
            log
        };
        (!log.is_empty()).then(|| json!({"ledger_no": self.revision, "log": log}))
    }

    /// Changes after this version are not kept any more.
    fn forgotten(&self, after: u64) -> bool {
        let gone = self.keeps.and_then(|n| self.log.len().checked_sub(n + 1));
        gone.and_then(|i| self.log.get(i))
            .is_some_and(|(r, _, _)| *r > after)
    }

    pub fn quiet(&self) -> Value {
        json!({"ledger_no": self.revision, "log": []})
    }

    /// Answers a request: its method, its path with its query, and its body.
    pub fn handle(&mut self, method: &str, path: &str, body: &[u8], now: u64) -> Outcome {
        self.requests += 1;
        if self.down {
            return Outcome::Answer(503, json!({"error": "down"}));
        }
        if self
            .request_rate
            .is_some_and(|rate| !take(&mut self.requests_left, rate, 1.0, now))
        {
            self.too_many += 1;
            return Outcome::Answer(429, json!({"error": "too many"}));
        }
        let (path, query) = path.split_once('?').unwrap_or((path, ""));
        let arg = |name: &str| {
            query
                .split('&')
                .filter_map(|p| p.split_once('='))
                .find(|p| p.0 == name)
                .map(|p| p.1)
        };
        let body: Value = serde_json::from_slice(body).unwrap_or(Value::Null);
        let (status, answer) = match (method, path) {
            ("GET", "/follow") => {
                let prefix = arg("starts").unwrap_or("").to_string();
                let after = arg("from").and_then(|a| a.parse().ok()).unwrap_or(0);
                if self.forgotten(after) {
                    self.forgot += 1;
                    return Outcome::Answer(410, json!({"error": "too old"}));
                }
                if let Some(changes) = self.changes(&prefix, after) {
                    return Outcome::Answer(200, changes);
                }
                let block: u64 = arg("block_ms").and_then(|b| b.parse().ok()).unwrap_or(0);
                return Outcome::Wait {
                    prefix,
                    after,
                    until: now + block * 1000,
                };
            }
            ("GET", "/kv") => {
                let (prefix, from) = (arg("starts").unwrap_or(""), arg("from").unwrap_or(""));
                let asked = arg("page")
                    .and_then(|p| p.parse().ok())
                    .unwrap_or(usize::MAX);
                let first = prefix.max(from).to_string();
                let keys = self
                    .entries
                    .range(first..)
                    .take_while(|(k, _)| k.starts_with(prefix));
                let mut keys = keys.filter(|(k, _)| k.as_str() > from);
                let page: Vec<Value> = keys
                    .by_ref()
                    .take(self.page.min(asked))
                    .map(
                        |(k, e)| json!({"k": k, "v": e.value, "stamp": e.stamp, "permit": e.grant}),
                    )
                    .collect();
                let more = keys.next().is_some();
                (
                    200,
                    json!({"items": page, "truncated": more, "ledger_no": self.revision}),
                )
            }
            ("GET", p) => match self.entries.get(p.trim_start_matches("/kv/")) {
                Some(e) => {
                    let key = p.trim_start_matches("/kv/");
                    (
                        200,
                        json!({"k": key, "v": e.value, "stamp": e.stamp, "permit": e.grant}),
                    )
                }
                None => (404, json!({"ledger_no": self.revision})),
            },
            ("POST", "/grants") => {
                let ttl = body["ttl_ms"].as_u64().unwrap_or(0) * 1000;
                self.next_grant += 1;
                self.grants.insert(self.next_grant, (ttl, now + ttl));
                (200, json!({"permit": self.next_grant}))
            }
            ("POST", "/commit") if !self.may_change(&body, now) => {
                self.too_many += 1;
                (429, json!({"error": "too many"}))
            }
            ("POST", "/commit") => self.commit(&body),
            ("POST", p) => {
                let id = p
                    .trim_start_matches("/grants/")
                    .trim_end_matches("/renew")
                    .parse();
                match id.ok().and_then(|id: u64| self.grants.get_mut(&id)) {
                    Some(g) => {
                        g.1 = now + g.0;
                        (200, json!({}))
                    }
                    None => (404, json!({"error": "no such lease"})),
                }
            }
            ("DELETE", p) => {
                let id = p.trim_start_matches("/grants/").parse().unwrap_or(0);
                let known = self.grants.contains_key(&id);
                self.end_grant(id);
                (if known { 200 } else { 404 }, json!({}))
            }
            _ => (400, json!({"error": "malformed"})),
        };
        Outcome::Answer(status, answer)
    }

    /// Takes a transaction's changes off the rate; bursts of one second's worth are allowed.
    fn may_change(&mut self, body: &Value, now: u64) -> bool {
        let Some(rate) = self.rate else { return true };
        let changes = body["writes"].as_array().map_or(0, Vec::len) as f64;
        take(&mut self.left, rate, changes, now)
    }

    fn commit(&mut self, body: &Value) -> (u16, Value) {
        let empty = Vec::new();
        let guards = body["guards"].as_array().unwrap_or(&empty);
        let writes = body["writes"].as_array().unwrap_or(&empty);
        for w in writes {
            if w["permit"]
                .as_u64()
                .is_some_and(|g| !self.grants.contains_key(&g))
            {
                return (400, json!({"error": "no such lease"}));
            }
        }
        let (value, changes) = self.limits;
        let large = |w: &Value| w["v"].to_string().len() > value;
        if writes.len() > changes || writes.iter().any(large) || guards.len() > 4 * changes {
            self.too_large += 1;
            return (400, json!({"error": "too large"}));
        }
        let stamp = |k: &str| self.entries.get(k).map_or(0, |e| e.stamp);
        let failed: Vec<&str> = guards
            .iter()
            .filter_map(|g| Some((g["k"].as_str()?, g["stamp"].as_u64()?)))
            .filter(|(k, s)| stamp(k) != *s)
            .map(|g| g.0)
            .collect();
        if !failed.is_empty() {
            return (409, json!({"failed": failed, "ledger_no": self.revision}));
        }
        self.revision += 1;
        for w in writes {
            if let Some(k) = w["write"].as_str() {
                self.change(k, Some((w["v"].clone(), w["permit"].as_u64())));
            } else if let Some(k) = w["delete"].as_str() {
                self.change(k, None);
            }
        }
        (200, json!({"ledger_no": self.revision}))
    }

    /// What an earlier version has left behind.
    pub fn put(&mut self, key: &str, value: &str) {
        self.revision += 1;
        let value = serde_json::from_str(value).unwrap_or(Value::Null);
        self.change(key, Some((value, None)));
    }

    /// Takes a key out, as an operator might.
    pub fn remove(&mut self, key: &str) {
        self.revision += 1;
        self.change(key, None);
    }

    /// The version of a key's last change, for the tests to look at; 0: it is not there.
    pub fn stamp(&self, key: &str) -> u64 {
        self.entries.get(key).map_or(0, |e| e.stamp)
    }

    /// A key's value, for the tests to look at.
    pub fn value(&self, key: &str) -> Option<&Value> {
        self.entries.get(key).map(|e| &e.value)
    }

    /// How many keys there are, and how many bytes their values take.
    pub fn size(&self) -> (usize, usize) {
        let bytes = self.entries.values().map(|e| e.value.to_string().len());
        (self.entries.len(), bytes.sum())
    }

    /// How many changes there have been.
    pub fn changed(&self) -> usize {
        self.log.len()
    }

    /// Keys with a prefix, for the tests to look at.
    pub fn keys(&self, prefix: &str) -> Vec<String> {
        self.entries
            .keys()
            .filter(|k| k.starts_with(prefix))
            .cloned()
            .collect()
    }
}
