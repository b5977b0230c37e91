//! Simulated cluster for tests: controllers, workers, cloud, state service and users on one simulated clock, and an
//! independent checker of the cluster's invariants.

mod answers;
mod cloud;
pub mod config_changes;
mod controllers;
mod events;
mod faults;
mod images;
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
use gannethub_core::http::{Answer, CallError, Method, Request, Response};
use gannethub_core::model::TaskSet;
use gannethub_core::policy::Policy;
use gannethub_core::settings::{LedgerSetup, Settings};
use gannethub_core::state::cluster::Cluster;
use gannethub_core::wire::peer::{
    Body, CancellationApplied, Envelope, JobChangeKind, JobChanged, Vote,
};
use gannethub_core::wire::store::{
    LEADER_TERM_KEY, StoreRequest, TASKS_PER_PART, assignment_keys, decode_done_part,
};
use gannethub_ledger::KeyRing;
use gannethub_ledger::audit::Page;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::{Value, json};

use gannethub_emulators::state::Outcome;
use gannethub_emulators::worker::{self, JobFacts};
pub use gannethub_emulators::{Cloud, Environment, Record, State, Worker};

pub use controllers::Node;
pub use events::{Event, Origin};
pub use faults::{Counters, Faults};
pub use network::KeptRelayAnswer;
pub use users::{InvalidSubmission, UserJob, job};

/// One second in microseconds, the unit of all times in the harness.
pub const SECOND: u64 = 1_000_000;
/// Increment of the simulated clock.
const STEP: u64 = 10_000;
/// Interval between turns of controllers, workers and users.
const TICK: u64 = 50_000;
/// Duration of a worker's lease. A worker that gets no answer from a leader for this long stops its tasks.
pub const WORKER_LEASE: u64 = 10 * SECOND;
/// Cancellation deadline: this long after a user was told that a job is cancelled, none of its tasks may run.
pub const CANCEL_DEADLINE: u64 = 35 * SECOND;

/// In-memory cluster. All participants act on one simulated clock, in microseconds, and draw from one random number
/// generator, so a seed determines a run.
pub struct World {
    pub now: u64,
    pub rng: StdRng,
    pub nodes: Vec<Node>,
    settings: Vec<Arc<Settings>>,
    /// Configuration versions that operators have stored, and the document of the last one.
    config_versions: Vec<config_changes::StoredVersion>,
    document: Document,
    /// Maximum age, in microseconds, of a controller's answer that a worker still accepts.
    pub max_answer_delay: u64,
    pub state: State,
    /// Messages between partitioned peers as sender, recipient and content, held until the partition ends.
    held_messages: Vec<(usize, usize, Envelope)>,
    /// Answers to relayed heartbeats that launch tasks.
    pub kept_relay_answers: Vec<KeptRelayAnswer>,
    /// Relayed heartbeats: the relaying node, its incarnation and the number of the relay.
    relays: HashSet<(usize, u32, u64)>,
    /// Copies of heartbeats, kept until the next term begins, and the last term seen.
    kept_copies: Vec<String>,
    last_seen_term: u64,
    /// Whether users repeat their requests at all nodes within 300 ms after each acceptance, end and cancellation.
    pub repeats_requests: bool,
    /// Fraction of jobs that are cancelled at about the time their last task ends. If it is above 0, users repeat
    /// their requests for every job at all nodes when its last task ends.
    pub cancel_at_end: f64,
    /// Submissions that lack a field or can never run, by an id that the harness gives them.
    pub invalid_submissions: BTreeMap<String, InvalidSubmission>,
    /// Cancellations that a controller has confirmed to a user: node, incarnation of its process and job id.
    confirmed_cancellations: HashSet<(usize, u32, String)>,
    pub faults: Faults,
    pub images: images::Images,
    pub counters: Counters,
    pub workers: BTreeMap<String, Worker>,
    pub cloud: Cloud,
    /// Due times and numbers of the scheduled events; `queue` contains the events by number.
    events: BinaryHeap<Reverse<(u64, u64)>>,
    queue: HashMap<u64, Event>,
    seq: u64,
    /// Open watches: node, incarnation, request id, key prefix, version after which changes are asked for, and end
    /// time.
    watches: Vec<(usize, u32, u64, String, u64, u64)>,
    /// Open connections, each with the sender of the request and the node and incarnation to which it was sent.
    connections: HashMap<u64, (Origin, usize, u32)>,
    pub jobs: BTreeMap<String, UserJob>,
    pub violations: Vec<String>,
    /// Response times, in microseconds, of submissions that were refused with a time after which to retry.
    pub refusals: Vec<u64>,
    pub starts: usize,
    /// Number of task starts of each job.
    starts_by_job: HashMap<String, usize>,
    /// Response times, in microseconds, of requests to cancel that were refused with a time after which to retry.
    pub cancel_refusals: Vec<u64>,
    pub gang_peer_timeout: u64,
    /// Number of additional queries about random jobs, on top of the usual polls, in every interval of 50 ms.
    pub extra_queries: usize,
    /// Failed tasks, each with the time of its failure.
    pub failures: Vec<(u64, String)>,
    /// Whether controllers are woken only after the idle time that they allow, as in the daemon. Otherwise they are
    /// woken every 50 ms.
    pub respects_idle_time: bool,
    /// Each attempt that reached a worker, as observed at the worker. Recorded only if a ledger is kept.
    pub record: Record,
    /// Tasks that have completed on some machine.
    completed_tasks: HashSet<String>,
    /// Number of finished tasks in each stored part of a job, by the part's key in the state service.
    stored_done_counts: HashMap<String, usize>,
    /// Longest time, in microseconds, that an accepted job went without an answer to its user since
    /// `answers_expected_since`.
    pub unanswered: u64,
    pub answers_expected_since: u64,
    /// Minimum and maximum run time of tasks, in microseconds.
    pub run_time_range: (u64, u64),
}
