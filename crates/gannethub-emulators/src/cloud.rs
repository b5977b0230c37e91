//! A model of the cloud, by its published protocol.

use std::collections::{BTreeMap, HashMap};

use serde_json::{Value, json};

use crate::SECOND;
use crate::worker::{Environment, Worker};

/// The cloud's own state of its machines. The caller owns the workers that run on the machines.
pub struct Cloud {
    /// Machine types, as the body of the answer to `GET /flavors`.
    pub flavors: Value,
    /// Maximum number of machines at the same time.
    pub capacity: usize,
    /// Maximum number of machines of each offer at the same time, as machine type, zone and whether the machine is a
    /// spot machine. Offers that are not listed have no machines. `None`: only `capacity` limits the machines.
    pub offer_capacity: Option<BTreeMap<(String, String, bool), usize>>,
    /// Minimum and maximum boot time of a machine, in microseconds.
    pub boot: (u64, u64),
    /// Probability that a machine never boots; 0 if all machines boot.
    pub never_boot_probability: f64,
    /// Delay in microseconds after which a provisioned machine appears in the machine list.
    pub list_lag: u64,
    /// Whether requests to delete machines fail.
    pub deletes_fail: bool,
    /// Whether all requests fail.
    pub down: bool,
    /// Machines of each provision request, by the request's id. A repeated request provisions no further machines.
    machines_by_request: HashMap<String, Vec<String>>,
    /// Number of machines provisioned so far, from which machine ids are made.
    provisioned_count: usize,
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
            offer_capacity: None,
            boot: (SECOND, 4 * SECOND),
            never_boot_probability: 0.0,
            list_lag: 2 * SECOND,
            deletes_fail: false,
            down: false,
            machines_by_request: HashMap::new(),
            provisioned_count: 0,
        }
    }
}

impl Cloud {
    /// Answers a request with a status, a body and the deleted workers. The workers of provisioned machines are added
    /// to `workers`; the workers of deleted machines are removed from `workers` and returned.
    pub fn handle(
        &mut self,
        path: &str,
        body: &[u8],
        workers: &mut BTreeMap<String, Worker>,
        environment: &mut dyn Environment,
    ) -> (u16, Value, Vec<Worker>) {
        let body: Value = serde_json::from_slice(body).unwrap_or(Value::Null);
        let path = path.split('?').next().unwrap_or("");
        let answer = |status: u16, body: Value| (status, body, Vec::new());
        match path {
            _ if self.down => answer(503, json!({"error": "trouble"})),
            "/flavors" => answer(200, self.flavors.clone()),
            "/rentals/delete" if self.deletes_fail => answer(500, json!({"error": "trouble"})),
            "/rentals/delete" => {
                let names = body["hosts"].as_array().into_iter().flatten();
                let deleted = names.filter_map(|n| workers.remove(n.as_str()?)).collect();
                (200, json!({}), deleted)
            }
            "/rentals" if !body.is_null() => {
                let (status, body) = self.provision(&body, workers, environment);
                answer(status, body)
            }
            "/rentals" => {
                let now = environment.now();
                let listed = workers
                    .values()
                    .filter(|w| now > w.provisioned_at + self.list_lag);
                let hosts: Vec<Value> = listed
                    .map(|w| {
                        let status = match (w.dead, now < w.boot_ends_at) {
                            (true, _) => "failed",
                            (false, true) => "booting",
                            (false, false) => "running",
                        };
                        json!({"id": w.name, "addr": environment.addr(&w.name), "rig": w.flavor,
                               "yard": w.zone, "loaners": w.spot, "status": status, "held_s": 5.0})
                    })
                    .collect();
                answer(200, json!({"hosts": hosts, "truncated": false}))
            }
            _ => answer(400, json!({"error": "malformed"})),
        }
    }

    /// Returns the number of machines that the offer of a provision request has left.
    fn free_capacity(&self, body: &Value, workers: &BTreeMap<String, Worker>) -> usize {
        let in_total = self.capacity.saturating_sub(workers.len());
        let Some(capacities) = &self.offer_capacity else {
            return in_total;
        };
        let text = |field: &str| body[field].as_str().unwrap_or("").to_string();
        let offer = (text("rig"), text("yard"), body["loaners"] == json!(true));
        let same_offer =
            |w: &&Worker| (&w.flavor, &w.zone, w.spot) == (&offer.0, &offer.1, offer.2);
        let provisioned = workers.values().filter(same_offer).count();
        let capacity = capacities.get(&offer).copied().unwrap_or(0);
        capacity.saturating_sub(provisioned).min(in_total)
    }

    fn provision(
        &mut self,
        body: &Value,
        workers: &mut BTreeMap<String, Worker>,
        environment: &mut dyn Environment,
    ) -> (u16, Value) {
        let request_id = body["hire"].as_str().unwrap_or("").to_string();
        if let Some(hosts) = self.machines_by_request.get(&request_id) {
            return (200, json!({"hosts": hosts}));
        }
        let free_capacity = self.free_capacity(body, workers);
        let count = (body["how_many"].as_u64().unwrap_or(0) as usize).min(free_capacity);
        if count == 0 {
            return (503, json!({"error": "no capacity"}));
        }
        let mut hosts = Vec::new();
        for _ in 0..count {
            self.provisioned_count += 1;
            let id = format!("host-{:06}", self.provisioned_count);
            let boot = environment.random_in(self.boot.0, self.boot.1);
            let never_boots = self.never_boot_probability > 0.0
                && environment.random_bool(self.never_boot_probability);
            let boot = if never_boots { u64::MAX } else { boot };
            let first_node = environment.random_in(0, environment.nodes() as u64) as usize;
            let worker = Worker::new(
                &id,
                body,
                environment.now(),
                boot,
                first_node,
                environment.lease(),
            );
            workers.insert(id.clone(), worker);
            hosts.push(id);
        }
        self.machines_by_request.insert(request_id, hosts.clone());
        (200, json!({"hosts": hosts}))
    }
}
