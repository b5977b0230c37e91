//! The process that emulates the cloud. The workers on the cloud's machines run in other processes; the driver
//! informs those processes of the machines.

use std::collections::BTreeMap;
use std::time::Duration;

use clap::Args;
use gannethub::emulators::{EmulatorRequest, serve};
use gannethub_emulators::{Cloud, Environment, JobFacts, Worker};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::{Value, json};
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::task::spawn_local;

use crate::host_role::worker_address;
use crate::messages::{FromCloud, KindCount, ProvisionedMachine, ToCloud};
use crate::role::{COMMAND_QUEUE_LENGTH, RunClock, read_from_driver, send_to_driver};

#[derive(Args)]
pub struct CloudArgs {
    #[arg(long)]
    epoch: u64,
    #[arg(long)]
    port: u16,
    #[arg(long)]
    worker_port: u16,
    #[arg(long)]
    controllers: usize,
    #[arg(long)]
    capacity: usize,
    /// Machine types, as the body of the answer to `GET /flavors`
    #[arg(long)]
    flavors: String,
    #[arg(long)]
    boot_least_us: u64,
    #[arg(long)]
    boot_most_us: u64,
    #[arg(long)]
    list_lag_us: u64,
    #[arg(long)]
    seed: u64,
}

enum Command {
    Driver(ToCloud),
    Request(EmulatorRequest),
}

/// The environment of the cloud model: the time, randomness and the addresses of workers. No worker runs in this
/// process.
struct CloudEnvironment {
    now: u64,
    rng: StdRng,
    controllers: usize,
    worker_port: u16,
}

impl Environment for CloudEnvironment {
    fn now(&self) -> u64 {
        self.now
    }
    fn random_in(&mut self, from: u64, to: u64) -> u64 {
        self.rng.random_range(from..to.max(from + 1))
    }
    fn random_bool(&mut self, probability: f64) -> bool {
        self.rng.random_bool(probability)
    }
    fn nodes(&self) -> usize {
        self.controllers
    }
    fn lease(&self) -> u64 {
        0
    }
    fn job(&self, _: &str) -> Option<JobFacts> {
        None
    }
    fn run_time(&mut self, _: &JobFacts) -> u64 {
        0
    }
    fn addr(&self, worker: &str) -> String {
        worker_address(worker, self.worker_port).to_string()
    }
    fn send(&mut self, _: &str, _: usize, _: String) {}
    fn node_by_name(&self, _: &str) -> Option<usize> {
        None
    }
}

struct CloudEmulator {
    cloud: Cloud,
    machines: BTreeMap<String, Worker>,
    env: CloudEnvironment,
    kinds: BTreeMap<String, KindCount>,
}

pub async fn run(args: CloudArgs) -> std::io::Result<()> {
    let clock = RunClock(args.epoch);
    let (queue, mut commands) = mpsc::channel(COMMAND_QUEUE_LENGTH);
    let listener = TcpListener::bind(("127.0.0.1", args.port)).await?;
    spawn_local(serve(
        listener,
        queue.clone(),
        Duration::ZERO,
        Command::Request,
    ));
    read_from_driver(queue, Command::Driver);
    let mut cloud = Cloud::default();
    cloud.flavors = serde_json::from_str(&args.flavors).unwrap_or(Value::Null);
    cloud.capacity = args.capacity;
    cloud.boot = (args.boot_least_us, args.boot_most_us);
    cloud.list_lag = args.list_lag_us;
    let env = CloudEnvironment {
        now: 0,
        rng: StdRng::seed_from_u64(args.seed),
        controllers: args.controllers,
        worker_port: args.worker_port,
    };
    let mut emulator = CloudEmulator {
        cloud,
        machines: BTreeMap::new(),
        env,
        kinds: BTreeMap::new(),
    };
    while let Some(command) = commands.recv().await {
        emulator.env.now = clock.now();
        emulator.execute(command);
    }
    Ok(())
}

impl CloudEmulator {
    fn execute(&mut self, command: Command) {
        match command {
            Command::Driver(ToCloud::Failed(hosts)) => {
                for host in hosts {
                    if let Some(machine) = self.machines.get_mut(&host) {
                        machine.dead = true;
                    }
                }
            }
            Command::Driver(ToCloud::Measure) => {
                send_to_driver(&FromCloud::Counts(std::mem::take(&mut self.kinds)));
            }
            Command::Request(request) => self.answer(request),
        }
    }

    fn answer(&mut self, request: EmulatorRequest) {
        let path = request.path.split('?').next().unwrap_or("");
        let kind = match path {
            "/rentals" if request.body.is_empty() => "list",
            "/rentals" => "rent",
            "/rentals/delete" => "delete",
            _ => "flavors",
        };
        if kind == "list" {
            let (status, body) = self.list(&request.path);
            self.count(kind, &request, status, &body);
            return request.answer(status, body);
        }
        let (status, body, deleted) = self.cloud.handle(
            &request.path,
            &request.body,
            &mut self.machines,
            &mut self.env,
        );
        if !deleted.is_empty() {
            send_to_driver(&FromCloud::Deleted(
                deleted.into_iter().map(|w| w.name).collect(),
            ));
        }
        if kind == "rent" && status == 200 {
            self.report_provisioned(&body);
        }
        self.count(kind, &request, status, &body);
        request.answer(status, body);
    }

    /// Answers with a page of all machines, in the order of their names.
    fn list(&self, path: &str) -> (u16, Value) {
        let query = path.split_once('?').map_or("", |p| p.1);
        let argument = |name: &str| {
            query
                .split('&')
                .filter_map(|p| p.split_once('='))
                .find(|p| p.0 == name)
                .map(|p| p.1)
        };
        let from = argument("from").unwrap_or("");
        let page = argument("page")
            .and_then(|p| p.parse().ok())
            .unwrap_or(500usize)
            .min(500);
        let now = self.env.now;
        let visible = |w: &&Worker| now > w.provisioned_at + self.cloud.list_lag;
        let mut listed = self
            .machines
            .values()
            .filter(visible)
            .filter(|w| w.name.as_str() > from);
        let hosts: Vec<Value> = listed
            .by_ref()
            .take(page)
            .map(|w| {
                let status = match (w.dead, now < w.boot_ends_at) {
                    (true, _) => "failed",
                    (false, true) => "booting",
                    (false, false) => "running",
                };
                let held = (now - w.provisioned_at) as f64 / 1e6;
                json!({"id": w.name, "addr": self.env.addr(&w.name), "rig": w.flavor,
                       "yard": w.zone, "loaners": w.spot, "status": status, "held_s": held})
            })
            .collect();
        let truncated = listed.next().is_some();
        (200, json!({"hosts": hosts, "truncated": truncated}))
    }

    /// Tells the driver about the machines that this request has provisioned: their workers are started in other
    /// processes. A repeated request provisions nothing, so machines of an earlier time are skipped.
    fn report_provisioned(&mut self, body: &Value) {
        for host in body["hosts"]
            .as_array()
            .into_iter()
            .flatten()
            .filter_map(Value::as_str)
        {
            let is_new = |w: &&Worker| w.provisioned_at == self.env.now;
            let Some(machine) = self.machines.get(host).filter(is_new) else {
                continue;
            };
            let provisioned = ProvisionedMachine {
                host: host.into(),
                flavor: machine.flavor.clone(),
                zone: machine.zone.clone(),
                spot: machine.spot,
                boot: machine.boot_ends_at - machine.provisioned_at,
                node: self.env.rng.random_range(0..self.env.controllers),
            };
            send_to_driver(&FromCloud::Rented(provisioned));
        }
    }

    fn count(&mut self, kind: &str, request: &EmulatorRequest, status: u16, answer: &Value) {
        let count = self.kinds.entry(kind.to_string()).or_default();
        count.count += 1;
        count.bytes_in += (request.path.len() + request.body.len()) as u64;
        count.bytes_out += answer.to_string().len() as u64;
        count.refused += u64::from(status >= 400);
    }
}
