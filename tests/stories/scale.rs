//! Short stories of large clusters: what is rented, kept and stopped, and what it costs to decide.

use std::borrow::Cow;
use std::collections::BTreeMap;
use std::sync::Arc;

use crate::sim::{SECOND, World, job};
use gannethub::cluster::{Cluster, Outcome};
use gannethub::fleet::CloudCall;
use gannethub::model::{Flavor, JobSpec, Priority, Resources, Shape};
use gannethub::settings::Settings;
use gannethub::store::JobRecord;
use gannethub::worker::{ExitReason, Order, Report, ReportedTask, TaskState};
use serde_json::json;

pub const WALL: u64 = 1_700_000_000 * SECOND;
const TERM: u64 = 1;

/// A leader's view alone, with machines and time in the story's hands.
pub struct Floor {
    pub c: Cluster,
    pub now: u64,
    pub stamp: u64,
    seqs: BTreeMap<String, u64>,
}

fn settings() -> Arc<Settings> {
    let teams = [("red", 64.0, 4000.0), ("blue", 64.0, 4000.0), ("guest", 0.0, 0.0)];
    let mut text = String::from(
        "host_name = \"n0\"\narea = \"a\"\nbind = \"10.0.0.1:80\"\n\
         cluster_listen = \"10.0.0.1:81\"\n[outside]\ncloud = \"10.1.0.1:1\"\n\
         state = \"10.1.0.2:1\"\n[cluster.workers]\nreport_s = 1.0\nlease_s = 10.0\n\
         [cluster.state]\nvalue_kb = 4.0\ntxn_ops = 8\n[cluster.cloud]\nrps = 3.0\n",
    );
    for (name, cpus, most) in teams {
        text += &format!(
            "[[cluster.teams]]\nname = \"{name}\"\ncpus = {cpus:.1}\ncpus_max = {most:.1}\n"
        );
    }
    Arc::new(Settings::parse(&text, "story").expect("the story's settings are fine").0)
}

fn flavors() -> Arc<Vec<Flavor>> {
    let flavor = |name: &str, cpus: f64, price: f64| Flavor {
        name: name.into(),
        size: Resources::new(cpus, 0.0, cpus * 4.0),
        price,
        spot_price: price / 3.0,
        boot: 30 * SECOND,
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
        need: Resources::new(cpus, 0.0, cpus),
        image: "img".into(),
        image_gb: 1.0,
        types: None,
        zone: None,
        one_zone: shape == Shape::Gang,
        spread: false,
        spot: false,
        estimate: 30 * SECOND,
        checkpoint_every: 0,
        save: 0,
        deadline: None,
    }
}

impl Floor {
    pub fn new() -> Floor {
        let now = 100 * SECOND;
        let mut c = Cluster::new(TERM, settings(), flavors(), now, WALL);
        c.loaded(now);
        c.tick(now, WALL);
        assert!(c.settled);
        Floor { c, now, stamp: 10, seqs: BTreeMap::new() }
    }

    pub fn pass(&mut self, seconds: u64) {
        self.now += seconds * SECOND;
        self.c.tick(self.now, WALL + self.now);
    }

    pub fn submit(&mut self, id: &str, spec: JobSpec) {
        self.stamp += 1;
        self.c.job_record(id, JobRecord::new(spec, WALL + self.now), self.stamp);
    }

    /// A report with these tasks; the orders it is answered with.
    pub fn report(
        &mut self,
        name: &str,
        flavor: &str,
        zone: &str,
        tasks: &[(&str, u64, bool)],
    ) -> Vec<Order> {
        match self.try_report(name, flavor, zone, tasks) {
            Outcome::Orders(orders) => orders,
            other => panic!("{other:?}"),
        }
    }

    pub fn try_report(
        &mut self,
        name: &str,
        flavor: &str,
        zone: &str,
        tasks: &[(&str, u64, bool)],
    ) -> Outcome {
        let seq = self.seqs.entry(name.into()).or_default();
        *seq += 1;
        let tasks = tasks.iter().map(|(task, attempt, done)| ReportedTask {
            task: Cow::Borrowed(*task),
            attempt: *attempt,
            state: if *done { TaskState::Exited } else { TaskState::Running },
            why: done.then_some(ExitReason::Done),
            saved: false,
        });
        let report = Report {
            machine: name.into(),
            addr: "10.9.0.1:9000".into(),
            flavor: flavor.into(),
            zone: zone.into(),
            spot: false,
            session: 1,
            seq: *seq,
            token: TERM,
            notice_s: None,
            tasks: tasks.collect(),
        };
        self.c.report(self.now, &report)
    }

    /// Carries out every transaction there is to write; how many there were, with their changes.
    pub fn write(&mut self) -> (usize, usize) {
        let (mut calls, mut changes) = (0, 0);
        while let Some((commit, batch)) = self.c.next_commit(self.now, 1) {
            assert!(commit.changes() <= self.c.settings.txn_ops);
            calls += 1;
            changes += commit.changes();
            self.stamp += 1;
            self.c.committed(batch, self.stamp);
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
        names.iter().for_each(|n| drop(self.report(n, flavor, zone, &[])));
        self.write();
        names.iter().for_each(|n| drop(self.report(n, flavor, zone, &[])));
        names
    }

    /// Every machine shows that it runs what was placed on it.
    pub fn run_all(&mut self) {
        let all: Vec<_> = self
            .c
            .machines
            .values()
            .map(|m| {
                let flavor = m.flavor.map_or("", |f| if f == 0 { "small" } else { "large" });
                let tasks: Vec<(String, u64)> =
                    m.attempts.keys().map(|(t, attempt)| (t.to_string(), *attempt)).collect();
                (m.id.to_string(), flavor, m.zone.to_string(), tasks)
            })
            .collect();
        for (name, flavor, zone, tasks) in all {
            let tasks: Vec<_> = tasks.iter().map(|(t, a)| (t.as_str(), *a, false)).collect();
            self.report(&name, flavor, &zone, &tasks);
        }
    }

    fn kept_for(&self, job: &str) -> i64 {
        let kept = self.c.machines.values().filter_map(|m| m.kept(self.now));
        kept.filter(|k| &*k.job == job).map(|k| k.tasks).sum()
    }

    /// Answers all rental requests in full until none comes for a while.
    pub fn rent_all(&mut self) -> BTreeMap<(String, String), u32> {
        let mut rented = BTreeMap::new();
        for round in 0..40 {
            self.now += SECOND / 2;
            for call in self.c.plan_fleet(self.now) {
                let body = match &call {
                    CloudCall::Rent { name, offer, count, .. } => {
                        assert!(*count <= 50);
                        let flavor = self.c.flavors[offer.flavor].name.to_string();
                        *rented.entry((flavor, offer.zone.clone())).or_default() += count;
                        let hosts: Vec<_> =
                            (0..*count).map(|i| format!("host-{round}-{name}-{i}")).collect();
                        json!({ "hosts": hosts })
                    }
                    _ => json!({"hosts": []}),
                };
                self.c.cloud_answer(call, Some((200, body.to_string().as_bytes())), self.now);
            }
        }
        rented
    }
}

#[test]
fn two_gangs_never_count_on_the_same_booting_machine() {
    let mut f = Floor::new();
    for (i, zone) in ["a", "a", "a", "b", "b"].iter().enumerate() {
        f.c.machine(&format!("host-{i}"), "large", zone, false, f.now);
    }
    for id in ["j-1", "j-2", "j-3"] {
        f.submit(id, spec(Shape::Gang, "red", 2, 30.0));
    }
    f.c.schedule(f.now);
    // Each in one zone; the third machine of zone a is half of what the third gang needs, and
    // half a gang's room is not kept at all.
    assert_eq!([f.kept_for("j-1"), f.kept_for("j-2"), f.kept_for("j-3")], [2, 2, 0]);
    for m in f.c.machines.values().filter(|m| m.kept(f.now).is_some()) {
        let same = |o: &&gannethub::cluster::Machine| {
            o.kept(f.now).map(|k| &k.job) == m.kept(f.now).map(|k| &k.job)
        };
        assert!(f.c.machines.values().filter(same).all(|o| o.zone == m.zone));
    }
}

#[test]
fn a_gang_takes_the_room_kept_for_one_further_down_the_queue() {
    let mut f = Floor::new();
    for i in 0..2 {
        f.c.machine(&format!("host-{i}"), "large", "a", false, f.now);
    }
    f.submit("j-1", spec(Shape::Gang, "red", 2, 30.0));
    f.c.schedule(f.now);
    assert_eq!(f.kept_for("j-1"), 2);
    let first = JobSpec { priority: Priority::High, ..spec(Shape::Gang, "blue", 2, 30.0) };
    f.submit("j-2", first);
    f.pass(1);
    f.c.schedule(f.now);
    assert_eq!([f.kept_for("j-2"), f.kept_for("j-1")], [2, 0]);
}

#[test]
fn a_machine_overdue_to_boot_is_not_waited_for_when_room_can_be_made() {
    let mut f = Floor::new();
    f.machines("up", 3, "large", "a");
    f.submit("j-1", spec(Shape::Array, "blue", 96, 1.0));
    f.c.schedule(f.now);
    f.run_all();
    f.c.machine("late-0", "large", "a", false, f.now);
    for _ in 0..8 {
        f.pass(7);
        f.run_all();
    }
    f.submit("j-2", spec(Shape::Gang, "red", 1, 30.0));
    f.c.schedule(f.now);
    let attempts = f.c.machines.values().flat_map(|m| m.attempts.values());
    let stopped = attempts.filter(|a| a.stop.is_some()).count();
    assert_eq!(stopped, 30, "room is made on a machine that is up");
}

#[test]
fn a_guarantee_is_made_room_for_by_stopping_no_more_than_was_borrowed() {
    // 96 CPUs of blue run, 32 above its guarantee: two large machines cannot be had from it.
    for (tasks, expected) in [(1, 30), (2, 0)] {
        let mut f = Floor::new();
        f.machines("up", 3, "large", "a");
        f.submit("j-1", spec(Shape::Array, "blue", 200, 1.0));
        f.c.schedule(f.now);
        f.run_all();
        assert_eq!(f.c.used[1].cpu, 96_000);
        f.submit("j-2", spec(Shape::Gang, "red", tasks, 30.0));
        f.c.schedule(f.now);
        let attempts = f.c.machines.values().flat_map(|m| m.attempts.values());
        assert_eq!(attempts.filter(|a| a.stop.is_some()).count(), expected, "{tasks} tasks");
        // Asked again, nothing more is stopped.
        f.pass(1);
        f.c.schedule(f.now);
        let attempts = f.c.machines.values().flat_map(|m| m.attempts.values());
        assert_eq!(attempts.filter(|a| a.stop.is_some()).count(), expected);
    }
}

#[test]
fn an_urgent_array_has_room_made_for_it_on_the_only_machine_there_is() {
    let mut f = Floor::new();
    f.machines("up", 1, "large", "a");
    f.submit("j-1", spec(Shape::Array, "blue", 32, 1.0));
    f.c.schedule(f.now);
    f.run_all();
    let urgent = JobSpec { priority: Priority::High, ..spec(Shape::Array, "red", 1, 4.0) };
    f.submit("j-2", urgent);
    f.c.schedule(f.now);
    let attempts = f.c.machines.values().flat_map(|m| m.attempts.values());
    assert_eq!(attempts.filter(|a| a.stop.is_some()).count(), 4);
}

#[test]
fn the_plan_sees_the_whole_queue_and_asks_for_it_in_large_requests() {
    let mut f = Floor::new();
    f.submit("j-1", spec(Shape::Array, "red", 2000, 1.0));
    f.submit("j-2", spec(Shape::Gang, "blue", 3, 30.0));
    f.pass(59);
    let rented = f.rent_all();
    let cpus: u32 =
        rented.iter().map(|((f, _), n)| if f == "small" { 4 * n } else { 32 * n }).sum();
    assert!(cpus > 1500, "{rented:?}");
    let large = |zone: &str| rented.get(&("large".into(), zone.into())).copied().unwrap_or(0);
    assert!(large("a") >= 3 || large("b") >= 3, "a whole gang's room in one zone: {rented:?}");
}

#[test]
fn nothing_is_rented_in_a_zone_from_which_nothing_is_heard_but_one_to_try_it() {
    let mut f = Floor::new();
    f.machines("cut", 6, "small", "a");
    let heard = f.machines("ok", 6, "small", "b");
    f.submit("j-1", spec(Shape::Array, "red", 400, 1.0));
    for _ in 0..8 {
        f.pass(1);
        heard.iter().for_each(|n| drop(f.report(n, "small", "b", &[])));
    }
    f.c.plan_fleet(f.now);
    assert!(f.c.dark.contains_key("a") && !f.c.dark.contains_key("b"));
    f.pass(52);
    heard.iter().for_each(|n| drop(f.report(n, "small", "b", &[])));
    let rented = f.rent_all();
    assert!(rented.keys().any(|k| k.1 == "b"), "{rented:?}");
    let tried: u32 = rented.iter().filter(|(k, _)| k.1 == "a").map(|(_, n)| n).sum();
    assert!(tried <= 1, "{rented:?}");
    f.report("new-0000", "small", "a", &[]);
    assert!(!f.c.dark.contains_key("a"), "heard again");
}

#[test]
fn the_work_of_a_report_follows_what_changed() {
    let mut f = Floor::new();
    let names = f.machines("host", 400, "small", "a");
    for i in 0..20 {
        f.submit(&format!("j-{i}"), spec(Shape::Array, "red", 150, 1.0));
    }
    f.c.schedule(f.now);
    f.run_all();
    let running: Vec<Vec<(String, u64)>> = names
        .iter()
        .map(|n| {
            f.c.machines[n.as_str()].attempts.keys().map(|(t, a)| (t.to_string(), *a)).collect()
        })
        .collect();
    assert!(running.iter().all(|r| r.len() == 4));
    // Reports without news look at no other machine.
    let before = f.c.looks.get();
    f.run_all();
    assert_eq!(f.c.looks.get(), before);
    // A hundred machines with a task done each, at one moment: one look over the machines for
    // each of them, and not one for each job that waits.
    for (name, tasks) in names.iter().zip(&running).take(100) {
        let tasks: Vec<_> =
            tasks.iter().enumerate().map(|(i, (t, a))| (t.as_str(), *a, i == 0)).collect();
        let orders = f.report(name, "small", "a", &tasks);
        let starts = orders.iter().filter(|o| matches!(o, Order::Start { .. })).count();
        assert_eq!(starts, 1, "the room is used with the same answer");
    }
    let looks = f.c.looks.get() - before;
    assert!(looks < 100 * 2 * 400, "{looks} looks for 100 reports");
    // And a hundred completions of a few jobs are few changes.
    f.pass(3);
    let (calls, changes) = f.write();
    assert!(calls <= 4 && changes <= 20, "{calls} calls, {changes} changes");
}

/// Hundreds of machines, thousands of tasks, small values and transactions, and a takeover.
#[test]
fn a_large_cluster_keeps_every_rule_through_a_takeover() {
    let mut w = World::with_settings(3, 40, 10.0, &|text| {
        text.replace("value_kb = 16.0", "value_kb = 4.0")
            .replace("cpus_max = 40.0", "cpus_max = 900.0")
            .replace("cpus_max = 16.0", "cpus_max = 300.0")
            .replace("write_rps = 100.0", "write_rps = 25.0")
            .replace("rps = 200.0", "rps = 70.0")
    });
    w.capacity = 240;
    w.run(2);
    w.submit(job(1, 1500, json!({})));
    w.submit(job(2, 700, json!({"crew": "red"})));
    for i in 3..8 {
        w.submit(job(i, 3, json!({"shape": "group", "together": true, "vcpus": 4.0})));
    }
    w.run_until(40, "much is running", |w| w.starts > 600);
    let leader = w.leader().expect("someone leads");
    w.crash(leader, 6 * SECOND);
    w.workers.values_mut().take(5).for_each(|m| {
        m.dead = true;
        m.tasks.clear();
    });
    w.run_until(150, "all are done", World::all_over);
    w.finish();
}

#[test]
fn more_submissions_than_can_be_written_are_refused_at_once_and_accepted_later() {
    let mut w = World::with_settings(3, 41, 10.0, &|text| {
        text.replace("write_rps = 100.0", "write_rps = 25.0").replace("rps = 200.0", "rps = 70.0")
    });
    w.run(2);
    (0..400).for_each(|i| w.submit(job(i, 1, json!({}))));
    w.run(1);
    let told = w.refusals.len();
    assert!(told > 100, "{told} were told to come back");
    assert!(w.refusals.iter().all(|t| *t < SECOND / 5), "none of them was held");
    w.run_until(120, "all are accepted", |w| w.jobs.values().all(|j| j.accepted.is_some()));
    assert!(w.broken.is_empty(), "{:?}", w.broken);
}
