//! Cost of leading a cluster in relation to the cluster's size. The core runs under its own driver, with simulated
//! machines that run tasks by the clock, a cloud that provisions what it has in stock and a state service that carries
//! out every transaction.
//!
//!     cargo bench -p gannethub-core --bench day -- [--machines 1000,3000,10000] [--seconds 120] [--load 1.0]
//!
//! For each size, the benchmark prints the CPU time per simulated second by kind of work, and the state changes and
//! cloud calls per started task. It then prints the cost relative to the first size, which is the result: if this ratio
//! does not exceed the ratio of the sizes, the cost of decisions does not grow faster than the cluster. Absolute times
//! depend on the machine that runs the benchmark. With `--load` above 1 the queue stays long.

#[allow(dead_code)]
#[path = "../tests/simulation/leader_view.rs"]
mod leader_view;

use std::borrow::Cow;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap};
use std::time::{Duration, Instant};

use clap::Parser;
use gannethub_core::http::Answer;
use gannethub_core::model::{JobSpec, SECOND, Shape};
use gannethub_core::reconcile::heartbeat::HeartbeatOutcome;
use gannethub_core::state::fleet::CloudCall;
use gannethub_core::wire::worker::{ExitReason, Order, ReportedTask, TaskState};
use leader_view::{LeaderView, WALL, spec};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::json;

/// Increment of the simulated clock.
const STEP: u64 = 50_000;
/// Interval between heartbeats of a machine.
const HEARTBEAT_INTERVAL: u64 = 5 * SECOND;
/// Response time of the cloud.
const CLOUD_DELAY: u64 = 300_000;

#[derive(Parser)]
struct Options {
    /// Cluster sizes to simulate, in machines.
    #[arg(long, value_delimiter = ',', default_values_t = [1000usize, 3000, 10_000])]
    machines: Vec<usize>,
    /// Duration of the simulation, in simulated seconds.
    #[arg(long, default_value_t = 120)]
    seconds: u64,
    /// Arriving work, as a fraction of the machines' capacity.
    #[arg(long, default_value_t = 0.8)]
    load: f64,
    /// Passed by cargo.
    #[arg(long, hide = true)]
    bench: bool,
}

struct Worker {
    flavor: String,
    zone: String,
    spot: bool,
    /// Start and end times of attempts in microseconds, by task and attempt number.
    tasks: BTreeMap<(String, u64), (u64, u64)>,
}

/// CPU time by kind of work, and the numbers of started tasks, state changes and cloud calls.
#[derive(Default)]
struct Costs {
    reports: Duration,
    passes: Duration,
    plans: Duration,
    rest: Duration,
    started: u64,
    changes: u64,
    calls: u64,
    /// Longest single heartbeat, scheduling pass, plan and other operation.
    longest: [Duration; 4],
    queue: usize,
    machines: usize,
}

impl Costs {
    fn total(&self) -> Duration {
        self.reports + self.passes + self.plans + self.rest
    }
}

fn timed<T>(into: &mut Duration, longest: &mut Duration, work: impl FnOnce() -> T) -> T {
    let start = Instant::now();
    let out = work();
    let took = start.elapsed();
    *into += took;
    *longest = (*longest).max(took);
    out
}

struct Simulation {
    view: LeaderView,
    rng: StdRng,
    workers: HashMap<String, Worker>,
    due: BinaryHeap<Reverse<(u64, String)>>,
    /// Number of machines that the cloud still has, by machine type, zone and whether they are spot instances.
    stock: HashMap<(String, String, bool), usize>,
    calls: Vec<(u64, CloudCall)>,
    next_job: u32,
    costs: Costs,
}

impl Simulation {
    fn new(machines: usize) -> Simulation {
        let share = machines as f64 * 7.0;
        let teams = [
            ("red", share * 0.3, share * 0.7),
            ("blue", share * 0.3, share * 0.7),
            ("green", share * 0.2, share * 0.5),
        ];
        let view = LeaderView::with(&teams, Some(30.0));
        let mut stock = HashMap::new();
        for zone in ["a", "b"] {
            for spot in [false, true] {
                stock.insert(
                    ("small".to_string(), zone.to_string(), spot),
                    machines * 9 / 40,
                );
                stock.insert(("large".to_string(), zone.to_string(), spot), machines / 40);
            }
        }
        Simulation {
            view,
            rng: StdRng::seed_from_u64(1),
            workers: HashMap::new(),
            due: BinaryHeap::new(),
            stock,
            calls: Vec::new(),
            next_job: 1,
            costs: Costs::default(),
        }
    }

    fn submit(&mut self) {
        let id = format!("j-{}", self.next_job);
        self.next_job += 1;
        let team = ["red", "blue", "green"][self.rng.random_range(0..3)];
        let gang = self.rng.random_bool(0.45);
        let mut job = if gang {
            JobSpec {
                run_time_estimate: 100 * SECOND,
                checkpoint_interval: 15 * SECOND,
                save_time: 3 * SECOND,
                ..spec(Shape::Gang, team, self.rng.random_range(1..4), 30.0)
            }
        } else {
            let cpus = f64::from(self.rng.random_range(6..15u32)) / 10.0;
            spec(Shape::Array, team, self.rng.random_range(40..600), cpus)
        };
        job.spot = true;
        job.image = format!("img-{}", self.rng.random_range(0..20));
        let Costs {
            rest,
            longest: [.., longest],
            ..
        } = &mut self.costs;
        let view = &mut self.view;
        timed(rest, longest, || view.submit(&id, job));
    }

    fn send_heartbeat(&mut self, name: &str) {
        let now = self.view.now;
        let Some(w) = self.workers.get_mut(name) else {
            return;
        };
        let tasks = w
            .tasks
            .iter()
            .map(|((task, attempt), (from, until))| ReportedTask {
                task: Cow::Owned(task.clone()),
                attempt: *attempt,
                state: match (now >= *from, now >= *until) {
                    (_, true) => TaskState::Exited,
                    (true, false) => TaskState::Running,
                    _ => TaskState::Fetching,
                },
                exit_reason: (now >= *until).then_some(ExitReason::Done),
                saved: false,
            });
        let tasks: Vec<_> = tasks.collect();
        let view = &mut self.view;
        let Costs {
            reports,
            longest: [longest, ..],
            started,
            ..
        } = &mut self.costs;
        let outcome = timed(reports, longest, || {
            view.send(name, &w.flavor, &w.zone, w.spot, tasks)
        });
        let HeartbeatOutcome::Orders(orders) = outcome else {
            return;
        };
        for order in orders {
            match order {
                Order::Start { task, attempt } => {
                    *started += 1;
                    let from = now + 2 * SECOND;
                    let run = self.rng.random_range(15..45) * SECOND;
                    w.tasks.insert((task, attempt), (from, from + run));
                }
                Order::Forget { task, attempt } | Order::Stop { task, attempt, .. } => {
                    w.tasks.remove(&(task, attempt));
                }
            }
        }
        self.due
            .push(Reverse((now + HEARTBEAT_INTERVAL, name.to_string())));
    }

    /// Handles a cloud call whose answer is due.
    fn handle_cloud_call(&mut self, call: CloudCall) {
        let now = self.view.now;
        let body = match &call {
            CloudCall::Provision {
                name, offer, count, ..
            } => {
                let flavor = self.view.cluster.machine_types[offer.machine_type]
                    .name
                    .to_string();
                let kind = (flavor.clone(), offer.zone.clone(), offer.spot);
                let left = self.stock.entry(kind).or_default();
                let granted = (*count as usize).min(*left);
                *left -= granted;
                let hosts: Vec<String> = (0..granted).map(|i| format!("{name}-{i}")).collect();
                for host in &hosts {
                    let worker = Worker {
                        flavor: flavor.clone(),
                        zone: offer.zone.clone(),
                        spot: offer.spot,
                        tasks: BTreeMap::new(),
                    };
                    self.workers.insert(host.clone(), worker);
                    let boot = self.rng.random_range(25..35) * SECOND;
                    self.due.push(Reverse((now + boot, host.clone())));
                }
                if hosts.is_empty() {
                    None
                } else {
                    Some(json!({ "hosts": hosts }))
                }
            }
            CloudCall::Delete { machines } => {
                for m in machines {
                    if let Some(w) = self.workers.remove(m) {
                        *self.stock.entry((w.flavor, w.zone, w.spot)).or_default() += 1;
                    }
                }
                Some(json!({}))
            }
            // These calls get no answer: the machine types do not change, and a list would contain no new information.
            CloudCall::MachineTypes | CloudCall::List { .. } => None,
        };
        let c = &mut self.view.cluster;
        let (status, text) = match body {
            Some(body) => (200, body.to_string()),
            None => (503, json!({"error": "no capacity"}).to_string()),
        };
        let Costs {
            rest,
            longest: [.., longest],
            ..
        } = &mut self.costs;
        let answer = Ok(Answer::new(status, text));
        timed(rest, longest, || c.apply_cloud_answer(call, &answer, now));
    }

    fn run(&mut self, machines: usize, seconds: u64, load: f64) {
        // `cpus` is the total capacity of the machines in CPUs. An average job takes some 200 CPUs for 32 s:
        // the image is fetched for 2 s, and a task runs for 30 s on average.
        let cpus = machines as f64 * 6.8;
        let rate = load * cpus / (0.55 * 320.0 * 32.0 + 0.45 * 2.0 * 30.0 * 32.0);
        let end = self.view.now + seconds * SECOND;
        let (mut arrived, mut schedule_at, mut plan_at, mut write_at) = (0.0, 0, 0, 0);
        while self.view.now < end {
            self.view.now += STEP;
            let now = self.view.now;
            arrived += rate * STEP as f64 / SECOND as f64;
            while arrived >= 1.0 {
                arrived -= 1.0;
                self.submit();
                plan_at = now;
            }
            while self.due.peek().is_some_and(|Reverse((at, _))| *at <= now) {
                if let Some(Reverse((_, name))) = self.due.pop() {
                    self.send_heartbeat(&name);
                }
            }
            let (ready, waiting) = std::mem::take(&mut self.calls)
                .into_iter()
                .partition::<Vec<_>, _>(|(at, _)| *at <= now);
            self.calls = waiting;
            ready
                .into_iter()
                .for_each(|(_, call)| self.handle_cloud_call(call));
            let c = &mut self.view.cluster;
            let s = &mut self.costs;
            timed(&mut s.rest, &mut s.longest[3], || c.tick(now, WALL + now));
            if now >= schedule_at.max(c.passes.next_at)
                && (c.passes.needed || now >= c.passes.last_at + SECOND)
            {
                schedule_at = now + 100_000;
                timed(&mut s.passes, &mut s.longest[1], || {
                    c.run_scheduling_pass(now)
                });
            }
            if now >= plan_at.max(c.passes.next_plan_at) {
                plan_at = now + 500_000;
                let calls = timed(&mut s.plans, &mut s.longest[2], || c.plan_cloud_calls(now));
                s.calls += calls.len() as u64;
                self.calls
                    .extend(calls.into_iter().map(|call| (now + CLOUD_DELAY, call)));
            }
            if now >= write_at {
                write_at = now + 100_000;
                let version = &mut self.view.version;
                timed(&mut s.rest, &mut s.longest[3], || {
                    if let Some((commit, batch)) = c.next_transaction(now, 1) {
                        s.changes += commit.change_count() as u64;
                        *version += 1;
                        c.transaction_committed(batch, *version);
                    }
                });
            }
        }
        self.costs.queue = self.view.cluster.passes.placement_order.len();
        self.costs.machines = self.view.cluster.machines.len();
    }
}

fn main() {
    let options = Options::parse();
    println!(
        "simulated machines; milliseconds of CPU time per simulated second, load {}",
        options.load
    );
    let headings = [
        "size", "rented", "queue", "reports", "passes", "plans", "rest", "total", "starts",
    ];
    let headings = headings
        .into_iter()
        .chain(["changes", "calls"])
        .map(|h| format!("{h:>8}"));
    println!("{}", headings.collect::<Vec<_>>().join(" "));
    let mut first = None;
    for &machines in &options.machines {
        let mut simulation = Simulation::new(machines);
        simulation.run(machines, options.seconds, options.load);
        let s = &simulation.costs;
        assert!(s.started > 0, "no task was started");
        assert_eq!(
            simulation.view.cluster.index_inconsistencies(),
            Vec::<String>::new(),
            "the index of free capacity is inconsistent"
        );
        let ms = |d: Duration| d.as_secs_f64() * 1000.0 / options.seconds as f64;
        let each = |n: u64| n as f64 / s.started as f64;
        let costs = [s.reports, s.passes, s.plans, s.rest, s.total()];
        let costs = costs.map(|d| format!("{:8.2}", ms(d))).join(" ");
        println!(
            "{machines:>8} {:>8} {:>8} {costs} {:>8} {:>8.4} {:>8.4}",
            s.machines,
            s.queue,
            s.started,
            each(s.changes),
            each(s.calls)
        );
        let longest = s
            .longest
            .map(|d| format!("{:.1}", d.as_secs_f64() * 1000.0));
        println!(
            "{:>8} longest heartbeat, pass, plan, other: {} ms",
            "",
            longest.join(", ")
        );
        let (size, cost) = *first.get_or_insert((machines, ms(s.total())));
        println!(
            "{:>8} {:.1} times the machines cost {:.1} times the CPU time",
            "",
            machines as f64 / size as f64,
            ms(s.total()) / cost
        );
    }
}
