//! A leader's view alone, with machines and time in the test's hands. Benchmarks use it as well.

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

pub const WALL: u64 = 1_700_000_000 * SECOND;
pub const TERM: u64 = 1;

/// A leader's view alone, with machines and time in the test's hands.
pub struct LeaderView {
    pub c: Cluster,
    pub now: u64,
    pub version: u64,
    seqs: BTreeMap<String, u64>,
}

/// A cluster's settings with these teams, their guarantees and limits; `wait_s`: tasks are to start within
/// that time.
fn settings(teams: &[(&str, f64, f64)], wait_s: Option<f64>) -> Arc<Settings> {
    let mut text = String::from(
        "host_name = \"n0\"\narea = \"a\"\nbind = \"10.0.0.1:80\"\n\
         cluster_listen = \"10.0.0.1:81\"\n[outside]\ncloud = \"10.1.0.1:1\"\n\
         state = \"10.1.0.2:1\"\n[cluster.workers]\nreport_s = 1.0\nlease_s = 10.0\n\
         [cluster.state]\nvalue_kb = 4.0\ntxn_ops = 8\n[cluster.cloud]\nrps = 3.0\n",
    );
    for &(name, cpus, most) in teams {
        text += &format!(
            "[[cluster.teams]]\nname = \"{name}\"\ncpus = {cpus:.1}\ncpus_max = {most:.1}\n"
        );
    }
    if let Some(within) = wait_s {
        text += &format!(
            "[[cluster.objectives]]\nkind = \"wait\"\nclass = \"c\"\nwithin_s = {within:.1}\nshare = 0.9\n"
        );
    }
    Arc::new(
        Settings::parse(&text, "story")
            .expect("the test's settings are valid")
            .0,
    )
}

fn flavors() -> Arc<Vec<MachineType>> {
    let flavor = |name: &str, cpus: f64, price: f64| MachineType {
        name: name.into(),
        size: Resources::new(cpus, 0.0, cpus * 4.0),
        price,
        spot_price: price / 3.0,
        boot_time: 30 * SECOND,
        fetch_gb_per_s: 1.0,
        zones: vec!["a".into(), "b".into()],
    };
    Arc::new(vec![flavor("small", 4.0, 0.2), flavor("large", 32.0, 1.6)])
}

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
    pub fn new() -> LeaderView {
        let teams = [
            ("red", 64.0, 4000.0),
            ("blue", 64.0, 4000.0),
            ("guest", 0.0, 0.0),
        ];
        LeaderView::with(&teams, None)
    }

    pub fn with(teams: &[(&str, f64, f64)], wait_s: Option<f64>) -> LeaderView {
        let mut f = LeaderView::unread(teams, wait_s);
        f.c.finish_loading(f.now);
        f.c.tick(f.now, WALL);
        assert!(f.c.takeover.settled);
        f
    }

    /// A leader that has not read the state service yet.
    pub fn unread(teams: &[(&str, f64, f64)], wait_s: Option<f64>) -> LeaderView {
        let now = 100 * SECOND;
        let c = Cluster::new(TERM, settings(teams, wait_s), flavors(), now, WALL);
        LeaderView {
            c,
            now,
            version: 10,
            seqs: BTreeMap::new(),
        }
    }

    pub fn pass(&mut self, seconds: u64) {
        self.now += seconds * SECOND;
        self.c.tick(self.now, WALL + self.now);
    }

    pub fn submit(&mut self, id: &str, spec: JobSpec) {
        self.version += 1;
        self.c
            .apply_job_record(id, JobRecord::new(spec, WALL + self.now), self.version);
    }

    /// A heartbeat with these tasks; the orders it is answered with.
    pub fn heartbeat(
        &mut self,
        name: &str,
        flavor: &str,
        zone: &str,
        tasks: &[(&str, u64, bool)],
    ) -> Vec<Order> {
        match self.try_heartbeat(name, flavor, zone, tasks) {
            HeartbeatOutcome::Orders(orders) => orders,
            other => panic!("{other:?}"),
        }
    }

    pub fn try_heartbeat(
        &mut self,
        name: &str,
        flavor: &str,
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
        self.send(name, flavor, zone, false, tasks)
    }

    /// The next heartbeat of a machine's worker.
    pub fn send(
        &mut self,
        name: &str,
        flavor: &str,
        zone: &str,
        spot: bool,
        tasks: Vec<ReportedTask<'_>>,
    ) -> HeartbeatOutcome {
        let seq = self.seqs.entry(name.into()).or_default();
        *seq += 1;
        let report = WorkerHeartbeat {
            machine: name.into(),
            address: "10.9.0.1:9000".into(),
            machine_type: flavor.into(),
            zone: zone.into(),
            spot,
            incarnation: 1,
            sequence: *seq,
            token: TERM,
            preemption_notice_s: None,
            tasks,
        };
        self.c.apply_heartbeat(self.now, &report)
    }

    /// Carries out every transaction there is to write; how many there were, with their changes.
    pub fn write(&mut self) -> (usize, usize) {
        let (mut calls, mut changes) = (0, 0);
        while let Some((commit, batch)) = self.c.next_transaction(self.now, 1) {
            assert!(commit.change_count() <= self.c.settings.txn_ops);
            calls += 1;
            changes += commit.change_count();
            self.version += 1;
            self.c.transaction_committed(batch, self.version);
        }
        (calls, changes)
    }

    /// Machines that are up, empty and may be used.
    pub fn machines(
        &mut self,
        prefix: &str,
        count: usize,
        flavor: &str,
        zone: &str,
    ) -> Vec<String> {
        let names: Vec<String> = (0..count).map(|i| format!("{prefix}-{i:04}")).collect();
        names
            .iter()
            .for_each(|n| drop(self.heartbeat(n, flavor, zone, &[])));
        self.write();
        names
            .iter()
            .for_each(|n| drop(self.heartbeat(n, flavor, zone, &[])));
        names
    }

    /// Every machine shows that it runs what was placed on it.
    pub fn run_all(&mut self) {
        let all: Vec<_> = self
            .c
            .machines
            .values()
            .map(|m| {
                let flavor = m
                    .machine_type
                    .map_or("", |f| if f == 0 { "small" } else { "large" });
                let tasks: Vec<(String, u64)> = m
                    .attempts
                    .keys()
                    .map(|id| (id.task.to_string(), id.number))
                    .collect();
                (m.id.to_string(), flavor, m.zone.to_string(), tasks)
            })
            .collect();
        for (name, flavor, zone, tasks) in all {
            let tasks: Vec<_> = tasks.iter().map(|(t, a)| (t.as_str(), *a, false)).collect();
            self.heartbeat(&name, flavor, &zone, &tasks);
        }
    }

    pub fn kept_for(&self, job: &str) -> i64 {
        let kept = self
            .c
            .machines
            .values()
            .filter_map(|m| m.active_reservation(self.now));
        kept.filter(|k| &*k.job == job).map(|k| k.tasks).sum()
    }

    /// Answers all rental requests in full until none comes for a while.
    pub fn rent_all(&mut self) -> BTreeMap<(String, String), u32> {
        let mut rented = BTreeMap::new();
        for round in 0..40 {
            self.now += SECOND / 2;
            for call in self.c.plan_cloud_calls(self.now) {
                let body = match &call {
                    CloudCall::Provision {
                        name, offer, count, ..
                    } => {
                        assert!(*count <= 50);
                        let flavor = self.c.machine_types[offer.machine_type].name.to_string();
                        *rented.entry((flavor, offer.zone.clone())).or_default() += count;
                        let hosts: Vec<_> = (0..*count)
                            .map(|i| format!("host-{round}-{name}-{i}"))
                            .collect();
                        json!({ "hosts": hosts })
                    }
                    _ => json!({"hosts": []}),
                };
                self.c
                    .apply_cloud_answer(call, &Ok(Answer::new(200, body.to_string())), self.now);
            }
        }
        rented
    }
}
