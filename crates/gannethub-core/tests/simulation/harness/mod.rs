//! A simulated world for tests: controllers, workers, cloud, state service and users on one
//! simulated clock, and an independent checker of the rules.

mod answers;
mod cloud;
pub mod config_changes;
mod controllers;
mod events;
mod faults;
mod invariants;
mod network;
mod setup;
mod state_service;
mod users;
mod workers;

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

pub use controllers::Node;
pub use events::{Event, Origin};
pub use faults::{Counters, Faults};
pub use users::{Odd, UserJob, job};

/// In microseconds, as all times here.
pub const SECOND: u64 = 1_000_000;
/// How far the clock advances at a time.
const STEP: u64 = 10_000;
/// How often controllers, workers and users get their turn.
const TICK: u64 = 50_000;
/// How long a worker runs on without an answer from a leader.
pub const LEASE: u64 = 10 * SECOND;
/// By when nothing runs of a job whose user was told that it is cancelled.
pub const CANCEL: u64 = 35 * SECOND;

/// A cluster in memory: everybody in it acts on one simulated clock, in microseconds, and draws from one generator of random
/// numbers, so that a seed determines a run.
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
    /// Messages between partitioned peers.
    held: Vec<(usize, usize, Envelope)>,
    /// Copies of heartbeats for the next leader, and the last term seen.
    kept_copies: Vec<String>,
    last_term: u64,
    /// Users look at all nodes within milliseconds after each acceptance, end and cancellation.
    pub close_looks: bool,
    /// The share of jobs that are called off, and asked about everywhere, at the moment at which their last task ends.
    pub cancel_at_end: f64,
    /// Submissions that lack a field or can never run.
    pub odd: BTreeMap<String, Odd>,
    /// Jobs that this life of a controller has told its users to be cancelled.
    told_by: HashSet<(usize, u32, String)>,
    pub faults: Faults,
    pub counters: Counters,
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
    /// Finished tasks that each part of a job has in the state service.
    parts: HashMap<String, usize>,
    /// The longest that an accepted job went without an answer to its user since `asked_since`.
    pub unanswered: u64,
    pub asked_since: u64,
    /// How long tasks run, at least and at most.
    pub runs: (u64, u64),
}
