//! A small world for stories: controllers, workers, cloud, state service and users on one
//! simulated clock, and an independent checker of the rules.

pub mod config_changes;
mod invariants;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap, HashSet};
use std::sync::Arc;

use bytes::Bytes;
use gannethub_core::configuration::Document;
use gannethub_core::controller::{Clock, Command, Controller, Effect};
use gannethub_core::http::{Answer, Method, NoAnswer, Request, Response};
use gannethub_core::model::TaskSet;
use gannethub_core::policy::Policy;
use gannethub_core::settings::{LedgerSetup, Settings};
use gannethub_core::state::cluster::Cluster;
use gannethub_core::wire::peer::{Body, Envelope, Vote};
use gannethub_core::wire::store::{
    StoreRequest, TASKS_PER_PART, TERM_KEY, assignment_keys, decode_done_part,
};
use gannethub_ledger::KeyRing;
use gannethub_ledger::audit::Page;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::{Value, json};

use gannethub_emulators::state::Outcome;
use gannethub_emulators::worker::{self, JobFacts};
pub use gannethub_emulators::{Cloud, Record, Site, State, Worker};

pub const SECOND: u64 = 1_000_000;
const STEP: u64 = 10_000;
pub const LEASE: u64 = 10 * SECOND;
pub const CANCEL: u64 = 35 * SECOND;

/// Who sent an HTTP request.
#[derive(Clone, Debug)]
pub enum Origin {
    User {
        job: String,
        what: &'static str,
        asked: u64,
    },
    Worker {
        name: String,
        sent: u64,
    },
}

pub enum Event {
    Command {
        node: usize,
        life: u32,
        command: Command,
    },
    /// The same, that a process which is behind gets to only now.
    Late {
        node: usize,
        life: u32,
        command: Command,
    },
    Store {
        node: usize,
        life: u32,
        id: u64,
        request: StoreRequest,
        asked: u64,
    },
    Cloud {
        node: usize,
        life: u32,
        id: u64,
        path: String,
        body: Bytes,
    },
    Peer {
        from: usize,
        to: usize,
        message: Envelope,
    },
    Answer {
        origin: Origin,
        node: usize,
        response: Response,
    },
    Restart {
        node: usize,
    },
    /// A copy of a report that came long ago, at this controller, or at any.
    Copy {
        node: Option<usize>,
        body: String,
    },
    /// Commands that come to a worker directly.
    Direct {
        node: usize,
        addr: String,
        body: Bytes,
    },
    /// A user asks.
    Ask {
        job: String,
        what: &'static str,
        node: usize,
    },
}

/// A job as its user sees it.
#[derive(Debug)]
pub struct UserJob {
    pub body: Value,
    pub accepted: Option<u64>,
    pub cancel_asked: bool,
    pub told_cancelled: Option<u64>,
    pub told_done: Option<u64>,
    pub status: String,
    pub waits_on: Vec<String>,
    pub polls: usize,
    /// When a question about it was last answered.
    pub answered: u64,
    /// Since when it waits though there is room for it.
    idle_since: Option<u64>,
}

/// What lacks a field or can never run: whom to ask about it, and the word that the refusal has to name.
#[derive(Debug)]
pub struct Odd {
    pub body: Value,
    pub field: String,
    pub refused: usize,
}

pub struct Node {
    pub controller: Option<Controller>,
    pub life: u32,
    born: u64,
    stepped_at: u64,
    /// How often it was woken with nothing to do but look at its clock.
    pub ticks: u64,
}

pub struct World {
    pub now: u64,
    pub rng: StdRng,
    pub nodes: Vec<Node>,
    settings: Vec<Arc<Settings>>,
    /// Versions of the configuration that operators have stored, and the last one's document.
    changes: Vec<config_changes::Changed>,
    document: Document,
    /// How late workers may get what a controller answered.
    pub answers_late: u64,
    pub state: State,
    /// Nodes that the state service refuses.
    pub refused: HashSet<usize>,
    /// Nodes that stand still until then; their clocks run on, and what comes meanwhile waits for them.
    pub frozen: HashMap<usize, u64>,
    /// Nodes that are short of processor: by how much later they get to what comes for them, and how rarely to their
    /// clocks.
    pub behind: HashMap<usize, u64>,
    /// Workers whose reports arrive, while no answer reaches them.
    pub unheard: HashSet<String>,
    /// The share of reports of which a copy comes seconds to three leases later, and how many came so far.
    pub copies: f64,
    pub copied: usize,
    /// Pairs of siblings that cannot reach one another; messages are held and come late.
    pub cut: HashSet<(usize, usize)>,
    held: Vec<(usize, usize, Envelope)>,
    /// The same, with messages lost.
    pub lost: HashSet<(usize, usize)>,
    /// Workers that a node cannot hear: (node, zone).
    pub deaf: HashSet<(usize, String)>,
    /// The share of transactions that are carried out late, with no answer.
    pub late_commits: f64,
    /// The share of transactions that are carried out at once, with no answer; and how many were.
    pub lost_answers: f64,
    pub unanswered_commits: usize,
    /// Workers that reach no controller, while direct commands reach them.
    pub mute: HashSet<String>,
    /// The share of reports of which a copy is kept for the next leader and then comes to every controller; those kept,
    /// the last term seen, and how many came.
    pub keep_copies: f64,
    kept_copies: Vec<String>,
    last_term: u64,
    pub kept_came: usize,
    /// Users look at all nodes within milliseconds after each acceptance, end and cancellation, and how often they did.
    pub close_looks: bool,
    pub looked: usize,
    /// The share of jobs that are called off, and asked about everywhere, at the moment at which their last task ends.
    pub cancel_at_end: f64,
    /// Submissions that lack a field or can never run.
    pub odd: BTreeMap<String, Odd>,
    /// Jobs that this life of a controller has told its users to be cancelled.
    told_by: HashSet<(usize, u32, String)>,
    /// Tasks that started after their users were told that they are cancelled, by launches made before anybody who
    /// launches knew.
    pub late_starts: usize,
    /// How many seconds tasks have run on together after their users were told that they are cancelled, looked at once a
    /// second; and direct commands that were sent.
    pub ran_on: usize,
    pub direct: usize,
    /// Answers that were older, when they came, than what a user had been told since they were asked for.
    pub overtaken: usize,
    pub workers: BTreeMap<String, Worker>,
    pub cloud: Cloud,
    events: BinaryHeap<Reverse<(u64, u64)>>,
    queue: HashMap<u64, Event>,
    seq: u64,
    watches: Vec<(usize, u32, u64, String, u64, u64)>,
    conns: HashMap<u64, (Origin, usize, u32)>,
    pub jobs: BTreeMap<String, UserJob>,
    pub broken: Vec<String>,
    /// How long submissions waited for a refusal with a time to come back.
    pub refusals: Vec<u64>,
    pub starts: usize,
    pub gang_peer: u64,
    /// Queries beyond the usual polls that come every 50 ms, for jobs at random.
    pub queries: usize,
    /// Tasks that failed, and when.
    pub errors: Vec<(u64, String)>,
    /// Controllers are woken as rarely as they allow, as the daemon does; else every 50 ms.
    pub patient: bool,
    /// What workers themselves would say of each attempt that reached them, if a ledger is kept.
    pub record: Record,
    /// Tasks that have completed somewhere.
    done: HashSet<String>,
    /// Nodes whose watches hang, while all else of theirs is answered.
    pub hung_watches: HashSet<usize>,
    /// The state service's answers come later by up to so much, and answers to workers too.
    pub slow_state: u64,
    pub slow_answers: u64,
    /// What watches bring comes later by up to so much.
    pub slow_watches: u64,
    /// Finished tasks that each part of a job has in the state service.
    parts: HashMap<String, usize>,
    /// The longest that an accepted job went without an answer to its user since `asked_since`.
    pub unanswered: u64,
    pub asked_since: u64,
    /// Nodes to which the state service's answers to transactions come later by so much.
    pub slow_commits: HashMap<usize, u64>,
    /// Nodes whose promises are damaged on the way.
    pub garbled: HashSet<usize>,
    /// Nodes of the version before, whose messages say nothing of cancellations.
    pub silent: HashSet<usize>,
    /// How long tasks run, at least and at most.
    pub runs: (u64, u64),
}

pub fn settings(
    i: usize,
    n: usize,
    lease_s: f64,
    change: &dyn Fn(String) -> String,
) -> Arc<Settings> {
    let mut text = format!(
        "host_name = \"n{i}\"\narea = \"z{i}\"\nbind = \"10.0.0.{i}:80\"\n\
         cluster_listen = \"10.0.0.{i}:81\"\n[outside]\ncloud = \"10.1.0.1:1\"\n\
         state = \"10.1.0.2:1\"\n[cluster]\n[cluster.workers]\nreport_s = 1.0\n\
         lease_s = {lease_s:.1}\ngang_wait_s = 30.0\ngang_peer_s = 5.0\ncancel_s = 35.0\n\
         [cluster.state]\nrps = 200.0\nwrite_rps = 100.0\nvalue_kb = 16.0\ntxn_ops = 8\n\
         [cluster.cloud]\nrps = 5.0\nlist_lag_s = 2.0\n"
    );
    for (name, limit) in [("red", 16.0), ("blue", 40.0)] {
        text +=
            &format!("[[cluster.teams]]\nname = \"{name}\"\ncpus = 8.0\ncpus_max = {limit:.1}\n");
        text += "gpus = 2.0\ngpus_max = 8.0\n";
    }
    for j in (0..n).filter(|j| *j != i) {
        text += &format!("[[siblings]]\nhost_name = \"n{j}\"\narea = \"z{j}\"\n");
        text += &format!("peer_addr = \"10.0.0.{j}:81\"\n");
    }
    Arc::new(
        Settings::parse(&change(text), "story")
            .expect("the story's settings are fine")
            .0,
    )
}

/// What the version before writes of a message.
fn forget_cancellations(message: &mut Envelope) {
    match &mut message.body {
        Some(Body::Vote(p)) => {
            let (round, term, block) = (p.round, p.term, p.shard);
            *p = Vote {
                round,
                term,
                shard: block,
                ..Vote::default()
            };
        }
        Some(Body::VoteRequest(ask)) => ask.known_version = 0,
        _ => {}
    }
}

/// A submission's body. `more` overrides fields.
pub fn job(id: u32, tasks: u32, more: Value) -> Value {
    let mut body = json!({
        "id": format!("j-{id:06}"), "jobclass": "c", "crew": "blue", "shape": "array",
        "rank": "normal", "pieces": tasks, "vcpus": 1.0, "cards": 0.0, "mem_gb": 1.0,
        "build": "img", "size_gb": 1.0, "rigs": null, "yard": null, "together": false,
        "scatter": false, "loaners": true, "guess_s": 5.0, "stamp_every_s": 0.0, "stamp_s": 0.0,
        "due_s": null
    });
    if let (Some(body), Some(more)) = (body.as_object_mut(), more.as_object()) {
        body.extend(more.clone());
    }
    body
}

impl World {
    pub fn new(nodes: usize, seed: u64) -> World {
        World::with_lease(nodes, seed, LEASE as f64 / SECOND as f64)
    }

    /// Controllers that believe in another lease than the workers'.
    pub fn with_lease(nodes: usize, seed: u64, believed_s: f64) -> World {
        World::with_settings(nodes, seed, believed_s, &|text| text)
    }

    /// Controllers whose settings file is changed.
    pub fn with_settings(
        nodes: usize,
        seed: u64,
        believed_s: f64,
        change: &dyn Fn(String) -> String,
    ) -> World {
        let mut world = World {
            now: 0,
            rng: StdRng::seed_from_u64(seed),
            nodes: Vec::new(),
            settings: (0..nodes)
                .map(|i| settings(i, nodes, believed_s, change))
                .collect(),
            state: State::new(16 * 1024, 8),
            refused: HashSet::new(),
            frozen: HashMap::new(),
            cut: HashSet::new(),
            held: Vec::new(),
            lost: HashSet::new(),
            deaf: HashSet::new(),
            late_commits: 0.0,
            lost_answers: 0.0,
            unanswered_commits: 0,
            mute: HashSet::new(),
            keep_copies: 0.0,
            kept_copies: Vec::new(),
            last_term: 0,
            kept_came: 0,
            close_looks: false,
            looked: 0,
            cancel_at_end: 0.0,
            odd: BTreeMap::new(),
            told_by: HashSet::new(),
            late_starts: 0,
            ran_on: 0,
            direct: 0,
            overtaken: 0,
            workers: BTreeMap::new(),
            cloud: Cloud::default(),
            events: BinaryHeap::new(),
            queue: HashMap::new(),
            seq: 0,
            watches: Vec::new(),
            conns: HashMap::new(),
            jobs: BTreeMap::new(),
            broken: Vec::new(),
            refusals: Vec::new(),
            starts: 0,
            gang_peer: 5 * SECOND,
            queries: 0,
            errors: Vec::new(),
            patient: false,
            behind: HashMap::new(),
            unheard: HashSet::new(),
            copies: 0.0,
            copied: 0,
            record: Record::default(),
            done: HashSet::new(),
            hung_watches: HashSet::new(),
            slow_state: 0,
            slow_answers: 0,
            slow_watches: 0,
            parts: HashMap::new(),
            changes: Vec::new(),
            document: Document::default(),
            answers_late: config_changes::ANSWER,
            unanswered: 0,
            asked_since: 0,
            slow_commits: HashMap::new(),
            silent: HashSet::new(),
            garbled: HashSet::new(),
            runs: (2 * SECOND, 8 * SECOND),
        };
        for i in 0..nodes {
            world.nodes.push(Node {
                controller: None,
                life: 0,
                born: 0,
                stepped_at: 0,
                ticks: 0,
            });
            world.restart(i);
        }
        world
    }

    /// The same with a ledger that is kept.
    pub fn with_ledger(nodes: usize, seed: u64, change: &dyn Fn(String) -> String) -> World {
        let mut world = World::with_settings(nodes, seed, LEASE as f64 / SECOND as f64, change);
        let keys = KeyRing::parse(&KeyRing::write("k1", &[7; 32])).expect("a key");
        let text = "keys = \"k\"\nhalf_life_s = 60.0\n";
        for settings in &mut world.settings {
            let mut own = (**settings).clone();
            let ledger = gannethub_ledger::Settings::parse(text, "ledger", &own.dues());
            own.ledger = Some(LedgerSetup {
                settings: Arc::new(ledger.expect("the story's settings are fine")),
                keys: Arc::new(keys.clone()),
            });
            *settings = Arc::new(own);
        }
        (0..nodes).for_each(|i| world.restart(i));
        world
    }

    /// The same with the machines divided into so many blocks.
    pub fn with_blocks(
        nodes: usize,
        seed: u64,
        blocks: u32,
        change: &dyn Fn(String) -> String,
    ) -> World {
        let mut world = World::with_settings(nodes, seed, LEASE as f64 / SECOND as f64, change);
        world.set_blocks(blocks);
        (0..nodes).for_each(|i| world.restart(i));
        world
    }

    /// Controllers that start from here on divide the machines into so many blocks.
    pub fn set_blocks(&mut self, blocks: u32) {
        self.set_policy(&format!("blocks = {blocks}"));
    }

    /// Controllers that start from here on go by this policy.
    pub fn set_policy(&mut self, text: &str) {
        for settings in &mut self.settings {
            let mut own = (**settings).clone();
            own.policy = Policy::parse(text).expect("the story's policy is fine");
            *settings = Arc::new(own);
        }
    }

    /// Who holds a block, as the state service has it.
    pub fn holds(&self, block: u32) -> Option<String> {
        let key = assignment_keys(block).owner;
        Some(self.state.value(&key)?["holder"].as_str()?.to_string())
    }

    /// What the holder of a block sees, whoever that is.
    pub fn block(&self, block: u32) -> Option<&Cluster> {
        let all = self.nodes.iter().filter_map(|n| n.controller.as_ref());
        all.flat_map(|c| c.clusters())
            .filter(|c| c.shard.id == block)
            .max_by_key(|c| c.term)
    }

    /// Notes what a worker has and no longer has.
    fn log(&mut self, w: &Worker) {
        if self.settings[0].ledger.is_none() {
            return;
        }
        let now = self.now;
        self.record.note(w, now);
    }

    /// The ledger's pages, as the state service holds them.
    pub fn ledger(&self) -> Vec<Page> {
        let keys = self.state.keys("gh/ledger/page/");
        let page = |k: &String| {
            self.state
                .value(k)
                .and_then(|v| serde_json::from_value(v.clone()).ok())
        };
        keys.iter().filter_map(page).collect()
    }

    pub fn settings(&self) -> &Settings {
        &self.settings[0]
    }

    fn clock(&self, node: usize) -> Clock {
        // Steady clocks drift by a little, each in its own direction.
        let t = self.now - self.nodes[node].born;
        let drift = (t / 2000) * (node as u64 % 2);
        Clock {
            now: t + drift,
            unix_time: 1_700_000_000 * SECOND + self.now,
        }
    }

    pub fn restart(&mut self, node: usize) {
        self.nodes[node].life += 1;
        self.nodes[node].born = self.now;
        let clock = self.clock(node);
        self.nodes[node].controller = Some(Controller::new(self.settings[node].clone(), clock));
    }

    pub fn crash(&mut self, node: usize, back_after: u64) {
        self.nodes[node].controller = None;
        self.nodes[node].life += 1;
        self.at(back_after, Event::Restart { node });
    }

    /// Whoever leads ends, and is back after so long.
    pub fn lose_leader(&mut self, back_after: u64) {
        if let Some(leader) = self.leader() {
            self.crash(leader, back_after);
        }
    }

    /// The controller that leads, if one does.
    pub fn leader(&self) -> Option<usize> {
        (0..self.nodes.len())
            .filter(|&i| {
                self.nodes[i]
                    .controller
                    .as_ref()
                    .is_some_and(|c| c.cluster().is_some())
            })
            .max_by_key(|&i| {
                let controller = self.nodes[i].controller.as_ref();
                controller.and_then(|c| c.cluster()).map_or(0, |c| c.term)
            })
    }

    fn at(&mut self, delay: u64, event: Event) {
        self.seq += 1;
        self.events.push(Reverse((self.now + delay, self.seq)));
        self.queue.insert(self.seq, event);
    }

    fn jitter(&mut self) -> u64 {
        self.rng.random_range(1_000..12_000)
    }

    pub fn run(&mut self, seconds: u64) {
        self.pause(seconds * SECOND);
    }

    /// The same for a part of a second.
    pub fn pause(&mut self, micros: u64) {
        let end = self.now + micros;
        while self.now < end {
            self.step();
        }
    }

    /// Runs until `done` holds; fails the story after `seconds`.
    pub fn run_until(&mut self, seconds: u64, what: &str, mut done: impl FnMut(&World) -> bool) {
        let end = self.now + seconds * SECOND;
        while !done(self) {
            if self.now >= end {
                let open: Vec<_> = self
                    .jobs
                    .iter()
                    .filter(|(_, j)| j.told_done.is_none())
                    .collect();
                panic!(
                    "not within {seconds} s: {what}; broken: {:?}; open: {open:?}",
                    self.broken
                );
            }
            self.step();
        }
    }

    fn step(&mut self) {
        if self.now.is_multiple_of(SECOND) {
            self.check_index();
            self.check_cancelled();
            self.check_parts();
            self.check_waiting();
        }
        self.now += STEP;
        self.wait_out(STEP);
        self.state.tick(self.now);
        self.send_kept_copies();
        self.wake_watches();
        let cut = self.cut.clone();
        let (still, free): (Vec<_>, Vec<_>) = std::mem::take(&mut self.held)
            .into_iter()
            .partition(|h| cut.contains(&(h.0, h.1)));
        self.held = still;
        for (from, to, message) in free {
            let delay = self.jitter();
            self.at(delay, Event::Peer { from, to, message });
        }
        while self.events.peek().is_some_and(|e| e.0.0 <= self.now) {
            let Some(Reverse((_, seq))) = self.events.pop() else {
                break;
            };
            if let Some(event) = self.queue.remove(&seq) {
                self.handle(event);
            }
        }
        if self.now.is_multiple_of(50_000) {
            for node in 0..self.nodes.len() {
                let n = &self.nodes[node];
                let pause = n.controller.as_ref().map_or(0, Controller::max_idle_time);
                // Left alone for as long as it said, if the story is about that.
                if self.patient && pause > 50_000 && self.now < n.stepped_at + pause {
                    continue;
                }
                self.nodes[node].ticks += 1;
                self.command(node, self.nodes[node].life, Command::Tick);
            }
            self.step_workers();
            self.poll_jobs();
            for _ in 0..self.queries {
                let accepted = self.jobs.iter().filter(|(_, j)| j.accepted.is_some());
                let ids: Vec<String> = accepted.map(|(id, _)| id.clone()).collect();
                let any = self.rng.random_range(0..ids.len().max(1));
                if let Some(id) = ids.get(any) {
                    self.ask(id, "poll");
                }
            }
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Command {
                node,
                life,
                command,
            } => self.command(node, life, command),
            Event::Late {
                node,
                life,
                command,
            } => self.take(node, life, command),
            Event::Store {
                node,
                life,
                id,
                request,
                asked,
            } => {
                let own = self.nodes[node].life == life;
                if own && self.refused.contains(&node) {
                    return self.store_answer(node, life, id, Some((503, json!({}))));
                }
                match self.state.handle(
                    request.method.as_str(),
                    &request.path,
                    &request.body,
                    self.now,
                ) {
                    Outcome::Answer(status, body) => {
                        let lost = self.now > asked + request.timeout;
                        let answer = (!lost).then_some((status, body));
                        let late = self.slow_commits.get(&node).copied();
                        match late.filter(|_| request.path == "/commit") {
                            Some(late) => self.answer_in(late, node, life, id, answer),
                            None => self.store_answer(node, life, id, answer),
                        }
                    }
                    // A read that does not wait is no watch.
                    Outcome::Wait { until, .. }
                        if until <= self.now && self.hung_watches.contains(&node) =>
                    {
                        let quiet = self.state.quiet();
                        self.store_answer(node, life, id, Some((200, quiet)));
                    }
                    Outcome::Wait {
                        prefix,
                        after,
                        until,
                    } => {
                        self.watches.push((node, life, id, prefix, after, until));
                    }
                }
            }
            Event::Cloud {
                node,
                life,
                id,
                path,
                body,
            } => {
                let (status, body) = self.ask_cloud(&path, &body);
                let answer = Ok(Answer::new(status, body.to_string()));
                self.at(
                    20_000,
                    Event::Command {
                        node,
                        life,
                        command: Command::CloudAnswer { id, answer },
                    },
                );
            }
            Event::Peer { from, to, message } => {
                if self.lost.contains(&(from, to)) {
                    return;
                }
                if self.cut.contains(&(from, to)) {
                    self.held.push((from, to, message));
                } else {
                    let life = self.nodes[to].life;
                    self.command(to, life, Command::PeerMessage(message));
                }
            }
            Event::Answer {
                origin,
                node,
                response,
            } => match origin {
                Origin::User { job, what, asked } => {
                    self.user_answer(&job, what, asked, &response);
                }
                Origin::Worker { name, .. } if self.unheard.contains(&name) => {}
                Origin::Worker { name, sent }
                    if self
                        .workers
                        .get(&name)
                        .is_some_and(|w| w.hung(self.now) && !w.dead) =>
                {
                    // It lies there until the machine goes on, if it does within its patience.
                    let until = self.workers[&name].hung_until;
                    if until > self.now && until < sent + 4 * SECOND {
                        let origin = Origin::Worker { name, sent };
                        self.at(
                            until - self.now,
                            Event::Answer {
                                origin,
                                node,
                                response,
                            },
                        );
                    }
                }
                Origin::Worker { name, sent } => {
                    let mut worker = self.workers.remove(&name);
                    if let Some(w) = worker.as_mut().filter(|w| !w.hung(self.now)) {
                        w.answered(self, node, sent, response.status, &response.body);
                        self.log(w);
                    }
                    worker.map(|w| self.workers.insert(name, w));
                }
            },
            Event::Restart { node } => self.restart(node),
            Event::Direct { node, addr, body } => self.command_worker(node, addr, body),
            Event::Ask { job, what, node } => self.ask_at(&job, what, node),
            Event::Copy { node, body } => {
                let any = self.rng.random_range(0..self.nodes.len());
                let node = node.unwrap_or(any);
                // Nobody waits for its answer any more.
                let origin = Origin::Worker {
                    name: String::new(),
                    sent: self.now,
                };
                self.copied += 1;
                self.http(origin, node, Method::Post, "/v1/report", Bytes::from(body));
            }
        }
    }

    fn store_answer(&mut self, node: usize, life: u32, id: u64, answer: Option<(u16, Value)>) {
        let delay = self.slowness();
        self.answer_in(delay, node, life, id, answer);
    }

    /// How long the state service takes for an answer.
    fn slowness(&mut self) -> u64 {
        let slow = if self.slow_state > 0 {
            self.rng.random_range(0..self.slow_state)
        } else {
            0
        };
        self.jitter() + slow
    }

    fn answer_in(
        &mut self,
        delay: u64,
        node: usize,
        life: u32,
        id: u64,
        answer: Option<(u16, Value)>,
    ) {
        let answer = answer
            .map(|(status, body)| Answer::new(status, body.to_string()))
            .ok_or(NoAnswer::Timeout);
        self.at(
            delay,
            Event::Command {
                node,
                life,
                command: Command::StoreAnswer { id, answer },
            },
        );
    }

    fn wake_watches(&mut self) {
        if self.state.down {
            return;
        }
        for (node, life, id, prefix, after, until) in std::mem::take(&mut self.watches) {
            let hangs = self.refused.contains(&node) || self.hung_watches.contains(&node);
            if hangs && self.nodes[node].life == life {
                // Its open watches wait, as they would in an outage, until it gives them up.
                match self.now > until + 3 * SECOND {
                    true => self.store_answer(node, life, id, None),
                    false => self.watches.push((node, life, id, prefix, after, until)),
                }
                continue;
            }
            match self.state.changes(&prefix, after) {
                Some(changes) => {
                    let slow = self.slow_watches;
                    let slow = if slow > 0 {
                        self.rng.random_range(0..slow)
                    } else {
                        0
                    };
                    let delay = slow + self.slowness();
                    self.answer_in(delay, node, life, id, Some((200, changes)));
                }
                None if until <= self.now => {
                    let quiet = self.state.quiet();
                    self.store_answer(node, life, id, Some((200, quiet)));
                }
                None => self.watches.push((node, life, id, prefix, after, until)),
            }
        }
    }

    fn command(&mut self, node: usize, life: u32, command: Command) {
        match self.behind.get(&node).copied() {
            Some(late) if !matches!(command, Command::Tick) => {
                self.at(
                    late,
                    Event::Late {
                        node,
                        life,
                        command,
                    },
                );
            }
            Some(late) if self.now < self.nodes[node].stepped_at + late => {}
            _ => self.take(node, life, command),
        }
    }

    fn take(&mut self, node: usize, life: u32, command: Command) {
        if self.nodes[node].life != life {
            return;
        }
        if let Some(until) = self.frozen.get(&node).copied().filter(|t| self.now < *t) {
            if !matches!(command, Command::Tick) {
                self.at(
                    until - self.now,
                    Event::Command {
                        node,
                        life,
                        command,
                    },
                );
            }
            return;
        }
        let clock = self.clock(node);
        let Some(controller) = self.nodes[node].controller.as_mut() else {
            return;
        };
        let effects = controller.step(clock, [command]);
        let term = controller.cluster().map(|c| c.term);
        let terms: Vec<u64> = controller.clusters().map(|c| c.term).collect();
        self.nodes[node].stepped_at = self.now;
        for effect in effects {
            let delay = self.jitter();
            match effect {
                Effect::Reply {
                    connection: conn,
                    response,
                } => {
                    // Whoever leads answers workers only while nobody can have replaced it.
                    let last = self.state.value(TERM_KEY).and_then(|v| v["term"].as_u64());
                    let body: Value = serde_json::from_slice(&response.body).unwrap_or_default();
                    let acts = term.is_some() && body["baton"].as_u64() == term;
                    if response.status == 200 && acts && last > term {
                        let late = format!("acted: {term:?} answered a worker under {last:?}");
                        self.broken.push(late);
                    }
                    // What it passes on was decided by another.
                    if body["baton"].as_u64().is_some_and(|t| terms.contains(&t)) {
                        self.check_launches(node, life, &body);
                    }
                    if let Some((origin, node, _)) = self.conns.remove(&conn) {
                        if let Origin::User { job, .. } = &origin
                            && body["status"] == json!("cancelled")
                        {
                            self.told_by.insert((node, life, job.clone()));
                        }
                        let held = matches!(origin, Origin::Worker { .. }) && self.slow_answers > 0;
                        let held = if held {
                            self.rng.random_range(0..self.slow_answers)
                        } else {
                            0
                        };
                        let delay = delay + held;
                        self.at(
                            delay,
                            Event::Answer {
                                origin,
                                node,
                                response,
                            },
                        );
                    }
                }
                Effect::StoreRequest { id, request } => {
                    let late = request.path == "/commit" && self.rng.random_bool(self.late_commits);
                    let lost = !late
                        && request.path == "/commit"
                        && self.lost_answers > 0.0
                        && self.rng.random_bool(self.lost_answers);
                    if late || lost {
                        let asked = 0;
                        let long = self.rng.random_range(SECOND..20 * SECOND);
                        let long = if lost { delay } else { long };
                        self.unanswered_commits += usize::from(lost);
                        let patience = request.timeout;
                        self.at(
                            long,
                            Event::Store {
                                node,
                                life: 0,
                                id,
                                request,
                                asked,
                            },
                        );
                        let answer = Err(NoAnswer::Timeout);
                        let command = Command::StoreAnswer { id, answer };
                        self.at(
                            patience,
                            Event::Command {
                                node,
                                life,
                                command,
                            },
                        );
                    } else {
                        let asked = self.now;
                        self.at(
                            delay,
                            Event::Store {
                                node,
                                life,
                                id,
                                request,
                                asked,
                            },
                        );
                    }
                }
                Effect::CloudRequest { id, request } => {
                    let (path, body) = (request.path, request.body);
                    self.at(
                        delay,
                        Event::Cloud {
                            node,
                            life,
                            id,
                            path,
                            body,
                        },
                    );
                }
                Effect::WorkerCommands { addr, body } => {
                    self.direct += 1;
                    self.at(
                        delay,
                        Event::Direct {
                            node,
                            addr: addr.to_string(),
                            body,
                        },
                    );
                }
                Effect::PeerMessage { to, mut message } => {
                    if self.silent.contains(&node) {
                        forget_cancellations(&mut message);
                    }
                    if let (true, Some(Body::Vote(p))) =
                        (self.garbled.contains(&node), &mut message.body)
                    {
                        p.cancelled_jobs = "6:1-;zz:4;x".into();
                    }
                    let name = self.settings[node].peers[to].name.clone();
                    let to = self
                        .settings
                        .iter()
                        .position(|s| s.name == name)
                        .expect("known");
                    self.at(
                        delay,
                        Event::Peer {
                            from: node,
                            to,
                            message,
                        },
                    );
                }
            }
        }
    }

    /// Sends an HTTP request; no answer ever comes from a dead node.
    pub fn http(&mut self, origin: Origin, node: usize, method: Method, path: &str, body: Bytes) {
        self.seq += 1;
        let conn = self.seq;
        let life = self.nodes[node].life;
        self.conns.insert(conn, (origin, node, life));
        let request = Request {
            method,
            path: path.into(),
            body,
            closes_connection: false,
        };
        let delay = self.jitter();
        let command = Command::HttpRequest {
            connection: conn,
            request,
        };
        self.at(
            delay,
            Event::Command {
                node,
                life,
                command,
            },
        );
    }

    // ---- The cloud ----

    fn ask_cloud(&mut self, path: &str, body: &Bytes) -> (u16, Value) {
        let mut workers = std::mem::take(&mut self.workers);
        let mut cloud = std::mem::take(&mut self.cloud);
        let (status, answer, gone) = cloud.handle(path, body, &mut workers, self);
        (self.workers, self.cloud) = (workers, cloud);
        for mut w in gone {
            w.tasks.clear();
            self.log(&w);
        }
        (status, answer)
    }

    // ---- Workers ----

    fn step_workers(&mut self) {
        let names: Vec<String> = self.workers.keys().cloned().collect();
        for name in names {
            let Some(mut w) = self.workers.remove(&name) else {
                continue;
            };
            w.step(self);
            self.log(&w);
            self.workers.insert(name, w);
        }
        let mut workers = std::mem::take(&mut self.workers);
        let gang_peer = self.gang_peer;
        worker::step_gangs(&mut workers, gang_peer, self);
        self.workers = workers;
    }

    /// Direct commands reach a worker that reaches no controller, and wait for one that hangs, whoever may lead by then.
    fn command_worker(&mut self, node: usize, addr: String, body: Bytes) {
        let text: Value = serde_json::from_slice(&body).unwrap_or_default();
        let verbs = text["orders"]
            .as_array()
            .into_iter()
            .flatten()
            .map(|o| o["verb"].clone());
        if verbs.clone().any(|v| v != json!("halt")) {
            self.broken.push(format!("sent directly: {text}"));
        }
        let to = self.workers.values().find(|w| self.addr(&w.name) == addr);
        let Some(w) = to.filter(|w| !w.dead && !self.unheard.contains(&w.name)) else {
            return;
        };
        if !self.reaches(node, &w.zone) {
            return;
        }
        let late = w.hung_until.saturating_sub(self.now);
        if late > 0 {
            if late < 60 * SECOND {
                self.at(late, Event::Direct { node, addr, body });
            }
            return;
        }
        let name = w.name.clone();
        let Some(mut w) = self.workers.remove(&name) else {
            return;
        };
        if !w.hung(self.now) && !w.lease_over(self.now) {
            w.commanded(self, &body);
            self.log(&w);
        }
        self.workers.insert(name, w);
    }

    // ---- Users ----

    pub fn submit(&mut self, body: Value) {
        let id = body["id"].as_str().unwrap_or("").to_string();
        self.jobs.insert(
            id.clone(),
            UserJob {
                body,
                accepted: None,
                cancel_asked: false,
                told_cancelled: None,
                told_done: None,
                status: String::new(),
                waits_on: Vec::new(),
                polls: 0,
                answered: 0,
                idle_since: None,
            },
        );
        self.ask(&id, "submit");
    }

    /// A user submits at this node, once, whatever the answer.
    pub fn ask_quietly(&mut self, body: Value, node: usize) {
        let id = body["id"].as_str().unwrap_or("").to_string();
        let origin = Origin::User {
            job: format!("quietly {id}"),
            what: "quietly",
            asked: self.now,
        };
        self.http(
            origin,
            node,
            Method::Post,
            "/api/jobs",
            Bytes::from(body.to_string()),
        );
    }

    /// A user submits at this node what lacks a field or can never run; the refusal has to name the field.
    pub fn submit_odd(&mut self, body: Value, field: &str, node: usize) {
        let id = format!("odd {} {}", field, self.odd.len());
        let origin = Origin::User {
            job: id.clone(),
            what: "odd",
            asked: self.now,
        };
        let text = Bytes::from(body.to_string());
        self.odd.insert(
            id,
            Odd {
                body,
                field: field.into(),
                refused: 0,
            },
        );
        self.http(origin, node, Method::Post, "/api/jobs", text);
    }

    /// Users look at all nodes, again and again within milliseconds, and repeat what they asked for.
    fn look_closely(&mut self, id: &str) {
        for node in 0..self.nodes.len() {
            for what in ["poll", "submit", "poll", "cancel", "poll"] {
                // Only who has called it off repeats that.
                if what == "cancel" && !self.jobs.get(id).is_some_and(|j| j.cancel_asked) {
                    continue;
                }
                let soon = self.rng.random_range(0..300_000);
                self.at(
                    soon,
                    Event::Ask {
                        job: id.into(),
                        what,
                        node,
                    },
                );
                self.looked += 1;
            }
        }
    }

    pub fn cancel(&mut self, id: u32) {
        let id = format!("j-{id:06}");
        if let Some(j) = self.jobs.get_mut(&id) {
            j.cancel_asked = true;
        }
        self.ask(&id, "cancel");
    }

    /// A user cancels a job at this controller, and goes on asking anywhere until that is answered.
    pub fn cancel_at(&mut self, id: u32, node: usize) {
        let id = format!("j-{id:06}");
        if let Some(j) = self.jobs.get_mut(&id) {
            j.cancel_asked = true;
        }
        self.ask_at(&id, "cancel", node);
    }

    /// Sends a user's request to some node.
    pub fn ask(&mut self, id: &str, what: &'static str) {
        let node = self.rng.random_range(0..self.nodes.len());
        self.ask_at(id, what, node);
    }

    /// Sends a user's request to this node.
    pub fn ask_at(&mut self, id: &str, what: &'static str, node: usize) {
        let origin = Origin::User {
            job: id.into(),
            what,
            asked: self.now,
        };
        let body = match what {
            "submit" => Bytes::from(self.jobs[id].body.to_string()),
            _ => Bytes::new(),
        };
        let (method, path) = match what {
            "submit" => (Method::Post, "/api/jobs".to_string()),
            "cancel" => (Method::Post, format!("/api/jobs/{id}/cancel")),
            _ => (Method::Get, format!("/api/jobs/{id}")),
        };
        self.http(origin, node, method, &path, body);
    }

    /// Every job is polled, and what has not been answered is asked again.
    fn poll_jobs(&mut self) {
        if !self.now.is_multiple_of(2 * SECOND) {
            return;
        }
        let ids: Vec<String> = self.jobs.keys().cloned().collect();
        for id in ids {
            let j = &self.jobs[&id];
            if j.accepted.is_none() {
                self.ask(&id, "submit");
            } else if j.cancel_asked && j.told_cancelled.is_none() && j.told_done.is_none() {
                self.ask(&id, "cancel");
            }
            if self.jobs[&id].accepted.is_some() {
                self.ask(&id, "poll");
            }
        }
    }

    fn user_answer(&mut self, id: &str, what: &str, asked: u64, response: &Response) {
        let body: Value = serde_json::from_slice(&response.body).unwrap_or(Value::Null);
        if let Some(odd) = self.odd.get_mut(id) {
            let why = body["error"].as_str().unwrap_or("");
            match response.status {
                400 | 422 if why.contains(odd.field.as_str()) => odd.refused += 1,
                // Asked again: it cannot be told yet.
                503 if response.retry_after.is_some() => {}
                status => {
                    let text =
                        format!("odd: {} gets {status} {why:?}, not {}", odd.body, odd.field);
                    self.broken.push(text);
                }
            }
            return;
        }
        let status = body["status"].as_str().unwrap_or("").to_string();
        let now = self.now;
        let all_done = self.completed(id);
        let chain = self.upstream(id);
        let cancel_asked = chain
            .iter()
            .any(|u| self.jobs.get(u).is_some_and(|j| j.cancel_asked));
        let told = |u: &String| self.jobs.get(u).and_then(|j| j.told_cancelled);
        let lost = chain.iter().filter(|u| *u != id).filter_map(told).min();
        let named = chain.iter().all(|u| {
            self.jobs
                .get(u)
                .is_some_and(|j| u == id || j.accepted.is_some())
        });
        let close = self.close_looks;
        let Some(j) = self.jobs.get_mut(id) else {
            return;
        };
        let before = (
            j.accepted.is_some(),
            j.told_done.is_some(),
            j.told_cancelled.is_some(),
        );
        let mut broken = Vec::new();
        if matches!(response.status, 400 | 422) && what == "submit" && chain.len() == 1 {
            broken.push(format!("refused: {id} gets {}", response.status));
        }
        if response.status == 200 && matches!(&*status, "pending" | "running") {
            // It counts from when the user was told, or from this job's acceptance if that is later.
            let since = lost.map(|t| t.max(j.accepted.unwrap_or(now)));
            if since.is_some_and(|t| asked > t + CANCEL) {
                broken.push(format!("orphaned: {id} is {status}"));
            }
        }
        if response.status == 422 && named && chain.len() > 1 {
            broken.push(format!("forgotten: all that {id} names was accepted"));
        }
        match response.status {
            200 | 201 => {
                let quiet = now
                    - j.answered
                        .max(self.asked_since)
                        .max(j.accepted.unwrap_or(now));
                self.unanswered = self.unanswered.max(quiet);
                j.answered = now;
                if what == "submit" {
                    j.accepted.get_or_insert(now);
                    if !named {
                        broken.push(format!("invented: {id} names a job that nobody submitted"));
                    }
                }
                if what == "poll" {
                    let ids = body["waits_on"].as_array().into_iter().flatten();
                    j.waits_on = ids.filter_map(Value::as_str).map(String::from).collect();
                    j.polls += 1;
                }
                // Answers may overtake one another: only what was asked after being told counts.
                let knew = |told: Option<u64>| told.is_some_and(|t| t < asked);
                if (knew(j.told_done) && status != "done")
                    || (knew(j.told_cancelled) && status != "cancelled")
                    || (status == "cancelled" && !cancel_asked)
                {
                    broken.push(format!("went_back: {id} is {status}"));
                } else if (before.1 && status != "done") || (before.2 && status != "cancelled") {
                    self.overtaken += 1;
                }
                if status == "done" {
                    if !all_done {
                        broken.push(format!("not_done: {id}"));
                    }
                    j.told_done.get_or_insert(now);
                }
                if status == "cancelled" {
                    j.told_cancelled.get_or_insert(now);
                }
                // In whatever order they were asked for: of the two ends there is one.
                if j.told_done.is_some() && j.told_cancelled.is_some() {
                    broken.push(format!("two ends: {id}"));
                }
                j.status = status;
            }
            404 | 400 | 422 if j.accepted.is_some_and(|t| t < asked) => {
                broken.push(format!("forgotten: {id} gets {}", response.status));
            }
            404 if j.accepted.is_some() => self.overtaken += 1,
            503 if what == "submit" && response.retry_after.is_some() => {
                self.refusals.push(now - asked);
            }
            _ => {}
        }
        let after = (
            j.accepted.is_some(),
            j.told_done.is_some(),
            j.told_cancelled.is_some(),
        );
        self.broken.extend(broken);
        if close && before != after {
            self.look_closely(id);
        }
    }

    /// The job itself and all that it needs, directly or through others.
    fn upstream(&self, id: &str) -> Vec<String> {
        let mut all = vec![id.to_string()];
        let mut next = 0;
        while let Some(id) = all.get(next).cloned() {
            next += 1;
            let named = self.jobs.get(&id).map(|j| &j.body["waits_on"]);
            for u in named.and_then(Value::as_array).into_iter().flatten() {
                let u = u.as_str().unwrap_or("").to_string();
                if !all.contains(&u) {
                    all.push(u);
                }
            }
        }
        all
    }

    /// Whether each of the job's tasks has completed on some machine at some time.
    fn completed(&self, id: &str) -> bool {
        let n = self
            .jobs
            .get(id)
            .and_then(|j| j.body["pieces"].as_u64())
            .unwrap_or(0);
        (0..n).all(|i| self.done.contains(&format!("{id}/{i}")))
    }

    /// What a job's user was last told that it waits for.
    pub fn waits_on(&self, id: &str) -> &[String] {
        &self.jobs[id].waits_on
    }

    pub fn all_over(&self) -> bool {
        self.jobs.values().all(|j| {
            j.told_done.is_some()
                || j.told_cancelled.is_some()
                || (j.body["shape"].as_str() == Some("service") && j.accepted.is_some())
        })
    }

    // ---- The checker ----

    /// Troubles are over: from here on every accepted job is to be answered for.
    pub fn all_well(&mut self) {
        self.state.down = false;
        self.slow_state = 0;
        self.slow_answers = 0;
        self.slow_watches = 0;
        self.late_commits = 0.0;
        self.lost_answers = 0.0;
        self.mute.clear();
        self.keep_copies = 0.0;
        self.copies = 0.0;
        self.refused.clear();
        self.hung_watches.clear();
        self.slow_commits.clear();
        self.cut.clear();
        self.lost.clear();
        self.deaf.clear();
        self.unheard.clear();
        self.asked_since = self.now;
        self.unanswered = 0;
    }

    /// A controller loses the state service and the other controllers, but not its workers and users.
    pub fn isolate(&mut self, node: usize) {
        self.refused.insert(node);
        for other in (0..self.nodes.len()).filter(|i| *i != node) {
            self.cut.extend([(node, other), (other, node)]);
        }
    }

    /// Ends a story: the rules held, and something ran.
    pub fn finish(mut self) {
        self.check_cancelled();
        assert_eq!(self.broken, Vec::<String>::new());
        assert!(self.starts > 0, "nothing ran");
        // Of one that was cancelled at once the end may be the first thing told.
        let untold = |j: &UserJob| j.accepted.is_none() && j.told_cancelled.is_none();
        let untold: Vec<&String> = self
            .jobs
            .iter()
            .filter(|(_, j)| untold(j))
            .map(|(id, _)| id)
            .collect();
        assert!(untold.is_empty(), "never accepted: {untold:?}");
        if self.asked_since > 0 {
            let quiet = |j: &UserJob| self.now - j.answered.max(self.asked_since);
            let quiet = self
                .jobs
                .values()
                .map(quiet)
                .max()
                .unwrap_or(0)
                .max(self.unanswered);
            assert!(
                quiet < 75 * SECOND,
                "a job was not answered for {} s",
                quiet / SECOND
            );
        }
    }
}

impl Site for World {
    fn now(&self) -> u64 {
        self.now
    }

    fn draw(&mut self, from: u64, to: u64) -> u64 {
        self.rng.random_range(from..to)
    }

    fn chance(&mut self, part: f64) -> bool {
        self.rng.random_bool(part)
    }

    fn nodes(&self) -> usize {
        self.nodes.len()
    }

    fn lease(&self) -> u64 {
        LEASE
    }

    fn job(&self, id: &str) -> Option<JobFacts> {
        let body = &self.jobs.get(id)?.body;
        let time = |f: &str| (body[f].as_f64().unwrap_or(0.0) * SECOND as f64) as u64;
        Some(JobFacts {
            tasks: body["pieces"].as_u64().unwrap_or(0) as u32,
            gang: body["shape"] == "group",
            service: body["shape"] == "service",
            broken: body["jobclass"] == "broken",
            save: time("stamp_s"),
            estimate: time("guess_s"),
        })
    }

    fn run_time(&mut self, _: &JobFacts) -> u64 {
        self.rng.random_range(self.runs.0..self.runs.1)
    }

    fn is_done(&self, task: &str) -> bool {
        self.done.contains(task)
    }

    fn done(&mut self, task: &str) {
        self.done.insert(task.into());
        let id = task.split('/').next().unwrap_or("").to_string();
        if self.cancel_at_end == 0.0 || !self.completed(&id) {
            return;
        }
        if self.rng.random_bool(self.cancel_at_end)
            && let Some(j) = self.jobs.get_mut(&id)
        {
            // From before its worker says so until some time after it was stored.
            j.cancel_asked = true;
            let node = self.rng.random_range(0..self.nodes.len());
            let soon = self.rng.random_range(0..SECOND * 5 / 2);
            self.at(
                soon,
                Event::Ask {
                    job: id.clone(),
                    what: "cancel",
                    node,
                },
            );
        }
        self.look_closely(&id);
    }

    fn starts(&mut self, worker: &Worker, task: &str) {
        self.check_start(worker, task);
    }

    fn failed(&mut self, task: &str) {
        self.errors.push((self.now, task.into()));
    }

    fn forgets(&mut self, task: &str) {
        let (id, index) = task.split_once('/').unwrap_or((task, ""));
        let index: u32 = index.parse().unwrap_or(0);
        let over = self.state.value(&format!("gh/over/{id}")).is_some();
        let live = self.state.value(&format!("gh/live/{id}"));
        let cancelled = live.is_some_and(|v| v["cancelled"] == json!(true));
        if over || cancelled || self.stored(id, index) {
            return;
        }
        self.broken.push(format!(
            "lost: the end of {task} is forgotten and not stored"
        ));
    }

    fn reaches(&self, node: usize, zone: &str) -> bool {
        !self.deaf.contains(&(node, zone.to_string()))
    }

    fn send(&mut self, worker: &str, node: usize, body: String) {
        if self.copies > 0.0 && self.rng.random_bool(self.copies) {
            let late = self.rng.random_range(2 * SECOND..3 * LEASE);
            self.at(
                late,
                Event::Copy {
                    node: None,
                    body: body.clone(),
                },
            );
        }
        if self.keep_copies > 0.0 && self.rng.random_bool(self.keep_copies) {
            self.kept_copies.push(body.clone());
        }
        if self.mute.contains(worker) {
            return;
        }
        let origin = Origin::Worker {
            name: worker.into(),
            sent: self.now,
        };
        self.http(origin, node, Method::Post, "/v1/report", Bytes::from(body));
    }

    fn named(&self, name: &str) -> Option<usize> {
        name.strip_prefix('n')?.parse().ok()
    }
}
