//! The cluster state of one leader without controllers, workers or network: tests and benchmarks move the clock, send
//! the heartbeats and carry out the transactions themselves.

use std::borrow::Cow;
use std::collections::BTreeMap;
use std::sync::Arc;

use gannethub_core::http::Answer;
use gannethub_core::model::{JobSpec, MachineType, Priority, Resources, SECOND, Shape};
use gannethub_core::reconcile::heartbeat::HeartbeatOutcome;
use gannethub_core::settings::Settings;
use gannethub_core::state::cluster::Cluster;
use gannethub_core::state::fleet::CloudCall;
use gannethub_core::wire::store::JobRecord;
use gannethub_core::wire::worker::{ExitReason, Order, ReportedTask, TaskState, WorkerHeartbeat};
use serde_json::json;

/// Unix time at the start of the clock, in microseconds.
pub const WALL: u64 = 1_700_000_000 * SECOND;
/// Term, and so fencing token, of the leader.
pub const TERM: u64 = 1;

/// The cluster state of one leader, whose clock, heartbeats and transactions a test provides.
pub struct LeaderView {
    pub cluster: Cluster,
    pub now: u64,
    pub version: u64,
    sequences: BTreeMap<String, u64>,
}

/// Returns settings with the given teams (name, guarantee and limit in CPUs). With `wait_s`, an objective demands
/// that 90 % of the tasks of class "c" start within that number of seconds.
fn settings(teams: &[(&str, f64, f64)], wait_s: Option<f64>) -> Arc<Settings> {
    let mut text = String::from(
        "host_name = \"n0\"\narea = \"a\"\nbind = \"10.0.0.1:80\"\n\
         cluster_listen = \"10.0.0.1:81\"\n[outside]\ncloud = \"10.1.0.1:1\"\n\
         state = \"10.1.0.2:1\"\n[cluster.workers]\nreport_s = 1.0\nlease_s = 10.0\n\
         [cluster.state]\nvalue_kb = 4.0\ntxn_ops = 8\n[cluster.cloud]\nrps = 3.0\n",
    );
    for &(name, cpus, limit) in teams {
        text += &format!(
            "[[cluster.teams]]\nname = \"{name}\"\ncpus = {cpus:.1}\ncpus_max = {limit:.1}\n"
        );
    }
    if let Some(within) = wait_s {
        text += &format!(
            "[[cluster.objectives]]\nkind = \"wait\"\nclass = \"c\"\nwithin_s = {within:.1}\nshare = 0.9\n"
        );
    }
    Arc::new(
        Settings::parse(&text, "test.toml")
            .expect("the test's settings are valid")
            .0,
    )
}

fn machine_types() -> Arc<Vec<MachineType>> {
    let machine_type = |name: &str, cpus: f64, price: f64| MachineType {
        name: name.into(),
        capacity: Resources::new(cpus, 0.0, cpus * 4.0),
        price,
        spot_price: price / 3.0,
        boot_time: 30 * SECOND,
        fetch_gb_per_s: 1.0,
        zones: vec!["a".into(), "b".into()],
    };
    Arc::new(vec![
        machine_type("small", 4.0, 0.2),
        machine_type("large", 32.0, 1.6),
    ])
}

/// Returns the specification of a job of class "c" whose tasks take an estimated 30 s; a gang must run in one zone.
pub fn spec(shape: Shape, team: &str, tasks: u32, cpus: f64) -> JobSpec {
    JobSpec {
        class: "c".into(),
        team: team.into(),
        shape,
        priority: Priority::Normal,
        tasks,
        resources: Resources::new(cpus, 0.0, cpus),
        image: "img".into(),
        image_size_gb: 1.0,
        machine_types: None,
        zone: None,
        single_zone: shape == Shape::Gang,
        spread: false,
        spot: false,
        run_time_estimate: 30 * SECOND,
        checkpoint_interval: 0,
        save_time: 0,
        deadline: None,
    }
}

impl LeaderView {
    /// Returns a leader that has loaded an empty state service, with the teams red, blue and guest.
    pub fn new() -> LeaderView {
        let teams = [
            ("red", 64.0, 4000.0),
            ("blue", 64.0, 4000.0),
            ("guest", 0.0, 0.0),
        ];
        LeaderView::with(&teams, None)
    }

    /// Returns a leader that has loaded an empty state service, with the given teams and objective, see `settings`.
    pub fn with(teams: &[(&str, f64, f64)], wait_s: Option<f64>) -> LeaderView {
        let mut view = LeaderView::unread(teams, wait_s);
        view.cluster.finish_loading(view.now);
        view.cluster.tick(view.now, WALL);
        assert!(view.cluster.takeover.is_settled);
        view
    }

    /// Returns a leader that has not loaded the state service yet.
    pub fn unread(teams: &[(&str, f64, f64)], wait_s: Option<f64>) -> LeaderView {
        let now = 100 * SECOND;
        let cluster = Cluster::new(TERM, settings(teams, wait_s), machine_types(), now, WALL);
        LeaderView {
            cluster,
            now,
            version: 10,
            sequences: BTreeMap::new(),
        }
    }

    /// Advances the clock by this number of seconds, and sends one tick.
    pub fn advance(&mut self, seconds: u64) {
        self.now += seconds * SECOND;
        self.cluster.tick(self.now, WALL + self.now);
    }

    /// Adds a job as if its record had just been stored.
    pub fn submit(&mut self, id: &str, spec: JobSpec) {
        self.version += 1;
        self.cluster
            .apply_job_record(id, JobRecord::new(spec, WALL + self.now), self.version);
    }

    /// Applies a heartbeat with the given tasks (name, attempt, and whether the task is done) and returns the orders
    /// of the answer. Panics on any other outcome.
    pub fn heartbeat(
        &mut self,
        name: &str,
        type_name: &str,
        zone: &str,
        tasks: &[(&str, u64, bool)],
    ) -> Vec<Order> {
        match self.try_heartbeat(name, type_name, zone, tasks) {
            HeartbeatOutcome::Orders(orders) => orders,
            other => panic!("{other:?}"),
        }
    }

    /// Applies a heartbeat with the given tasks and returns its outcome.
    pub fn try_heartbeat(
        &mut self,
        name: &str,
        type_name: &str,
        zone: &str,
        tasks: &[(&str, u64, bool)],
    ) -> HeartbeatOutcome {
        let tasks = tasks.iter().map(|(task, attempt, done)| ReportedTask {
            task: Cow::Borrowed(*task),
            attempt: *attempt,
            state: if *done {
                TaskState::Exited
            } else {
                TaskState::Running
            },
            exit_reason: done.then_some(ExitReason::Done),
            saved: false,
        });
        let tasks = tasks.collect();
        self.send(name, type_name, zone, false, tasks)
    }

    /// Applies the next heartbeat of a machine's worker and returns its outcome.
    pub fn send(
        &mut self,
        name: &str,
        type_name: &str,
        zone: &str,
        spot: bool,
        tasks: Vec<ReportedTask<'_>>,
    ) -> HeartbeatOutcome {
        let seq = self.sequences.entry(name.into()).or_default();
        *seq += 1;
        let report = WorkerHeartbeat {
            machine: name.into(),
            address: "10.9.0.1:9000".into(),
            machine_type: type_name.into(),
            zone: zone.into(),
            spot,
            incarnation: 1,
            sequence: *seq,
            token: TERM,
            preemption_notice_s: None,
            tasks,
        };
        self.cluster.apply_heartbeat(self.now, &report)
    }

    /// Commits all pending transactions; returns their number and the number of their changes.
    pub fn write(&mut self) -> (usize, usize) {
        let (mut calls, mut changes) = (0, 0);
        while let Some((commit, batch)) = self.cluster.next_transaction(self.now, 1) {
            assert!(commit.change_count() <= self.cluster.settings.max_transaction_operations);
            calls += 1;
            changes += commit.change_count();
            self.version += 1;
            self.cluster.transaction_committed(batch, self.version);
        }
        (calls, changes)
    }

    /// Adds machines that are ready, empty and usable for placements; returns their names.
    pub fn machines(
        &mut self,
        prefix: &str,
        count: usize,
        type_name: &str,
        zone: &str,
    ) -> Vec<String> {
        let names: Vec<String> = (0..count).map(|i| format!("{prefix}-{i:04}")).collect();
        names
            .iter()
            .for_each(|n| drop(self.heartbeat(n, type_name, zone, &[])));
        self.write();
        names
            .iter()
            .for_each(|n| drop(self.heartbeat(n, type_name, zone, &[])));
        names
    }

    /// Sends a heartbeat from every machine in which all tasks that were placed on it run.
    pub fn run_all(&mut self) {
        let all: Vec<_> = self
            .cluster
            .machines
            .values()
            .map(|m| {
                let type_name = m
                    .machine_type
                    .map_or("", |index| if index == 0 { "small" } else { "large" });
                let tasks: Vec<(String, u64)> = m
                    .attempts
                    .keys()
                    .map(|id| (id.task.to_string(), id.number))
                    .collect();
                (m.id.to_string(), type_name, m.zone.to_string(), tasks)
            })
            .collect();
        for (name, type_name, zone, tasks) in all {
            let tasks: Vec<_> = tasks.iter().map(|(t, a)| (t.as_str(), *a, false)).collect();
            self.heartbeat(&name, type_name, &zone, &tasks);
        }
    }

    /// Number of tasks that the active reservations of a job have capacity for.
    pub fn reserved_tasks(&self, job: &str) -> i64 {
        let reservations = self
            .cluster
            .machines
            .values()
            .filter_map(|m| m.active_reservation(self.now));
        reservations
            .filter(|r| &*r.job == job)
            .map(|r| r.tasks)
            .sum()
    }

    /// Answers all provisioning requests in full for 20 s; returns the number of provisioned machines by machine type
    /// and zone.
    pub fn provision_all(&mut self) -> BTreeMap<(String, String), u32> {
        let mut provisioned = BTreeMap::new();
        for round in 0..40 {
            self.now += SECOND / 2;
            for call in self.cluster.plan_cloud_calls(self.now) {
                let body = match &call {
                    CloudCall::Provision {
                        name, offer, count, ..
                    } => {
                        assert!(*count <= 50);
                        let type_name = self.cluster.machine_types[offer.machine_type]
                            .name
                            .to_string();
                        *provisioned
                            .entry((type_name, offer.zone.clone()))
                            .or_default() += count;
                        let hosts: Vec<_> = (0..*count)
                            .map(|i| format!("host-{round}-{name}-{i}"))
                            .collect();
                        json!({ "hosts": hosts })
                    }
                    _ => json!({"hosts": []}),
                };
                self.cluster.apply_cloud_answer(
                    call,
                    &Ok(Answer::new(200, body.to_string())),
                    self.now,
                );
            }
        }
        provisioned
    }
}
