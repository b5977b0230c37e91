//! A stand-in for the cloud, by its published protocol.

use std::collections::{BTreeMap, HashMap};

use serde_json::{Value, json};

use crate::SECOND;
use crate::worker::{Site, Worker};

/// The cloud's side of its machines; the workers on them are the caller's.
pub struct Cloud {
    pub flavors: Value,
    /// Machines it has at once.
    pub capacity: usize,
    /// How long machines take to boot, at least and at most, and one in how many never does; 0: none.
    pub boot: (u64, u64),
    pub never_boot: f64,
    /// How far its list lags behind.
    pub list_lag: u64,
    /// It fails to delete machines, or to do anything.
    pub no_deletes: bool,
    pub down: bool,
    rentals: HashMap<String, Vec<String>>,
    rented: usize,
}

impl Default for Cloud {
    fn default() -> Cloud {
        Cloud {
            flavors: json!({"rigs": [
                {"label": "small", "vcpus": 4, "cards": 0, "mem_gb": 16, "cache_gb": 50,
                 "fetch_gb_per_s": 1.0, "price": 0.2, "spot_price": 0.1, "boot_s": 3,
                 "yards": ["a", "b"]},
                {"label": "gpu", "vcpus": 8, "cards": 4, "mem_gb": 64, "cache_gb": 50,
                 "fetch_gb_per_s": 1.0, "price": 1.0, "spot_price": 0.4, "boot_s": 3,
                 "yards": ["a", "b"]}]}),
            capacity: 12,
            boot: (SECOND, 4 * SECOND),
            never_boot: 0.0,
            list_lag: 2 * SECOND,
            no_deletes: false,
            down: false,
            rentals: HashMap::new(),
            rented: 0,
        }
    }
}

impl Cloud {
    /// Answers a request. Rented machines appear among `workers`; what is deleted is taken out and returned.
    pub fn handle(
        &mut self,
        path: &str,
        body: &[u8],
        workers: &mut BTreeMap<String, Worker>,
        site: &mut dyn Site,
    ) -> (u16, Value, Vec<Worker>) {
        let body: Value = serde_json::from_slice(body).unwrap_or(Value::Null);
        let path = path.split('?').next().unwrap_or("");
        let answer = |status: u16, body: Value| (status, body, Vec::new());
        match path {
            _ if self.down => answer(503, json!({"error": "trouble"})),
            "/flavors" => answer(200, self.flavors.clone()),
            "/rentals/delete" if self.no_deletes => answer(500, json!({"error": "trouble"})),
            "/rentals/delete" => {
                let names = body["hosts"].as_array().into_iter().flatten();
                let gone = names.filter_map(|n| workers.remove(n.as_str()?)).collect();
                (200, json!({}), gone)
            }
            "/rentals" if !body.is_null() => {
                let (status, body) = self.rent(&body, workers, site);
                answer(status, body)
            }
            "/rentals" => {
                let now = site.now();
                let listed = workers
                    .values()
                    .filter(|w| now > w.rented_at + self.list_lag);
                let hosts: Vec<Value> = listed
                    .map(|w| {
                        let status = match (w.dead, now < w.boots_at) {
                            (true, _) => "failed",
                            (false, true) => "booting",
                            (false, false) => "running",
                        };
                        json!({"id": w.name, "addr": site.addr(&w.name), "rig": w.flavor,
                               "yard": w.zone, "loaners": w.spot, "status": status, "held_s": 5.0})
                    })
                    .collect();
                answer(200, json!({"hosts": hosts, "truncated": false}))
            }
            _ => answer(400, json!({"error": "malformed"})),
        }
    }

    fn rent(
        &mut self,
        body: &Value,
        workers: &mut BTreeMap<String, Worker>,
        site: &mut dyn Site,
    ) -> (u16, Value) {
        let name = body["hire"].as_str().unwrap_or("").to_string();
        if let Some(hosts) = self.rentals.get(&name) {
            return (200, json!({"hosts": hosts}));
        }
        let room = self.capacity.saturating_sub(workers.len());
        let count = (body["how_many"].as_u64().unwrap_or(0) as usize).min(room);
        if count == 0 {
            return (503, json!({"error": "no capacity"}));
        }
        let mut hosts = Vec::new();
        for _ in 0..count {
            self.rented += 1;
            let id = format!("host-{:06}", self.rented);
            let boot = site.draw(self.boot.0, self.boot.1);
            let never = self.never_boot > 0.0 && site.chance(self.never_boot);
            let boot = if never { u64::MAX } else { boot };
            let first = site.draw(0, site.nodes() as u64) as usize;
            let worker = Worker::new(&id, body, site.now(), boot, first, site.lease());
            workers.insert(id.clone(), worker);
            hosts.push(id);
        }
        self.rentals.insert(name, hosts.clone());
        (200, json!({"hosts": hosts}))
    }
}
