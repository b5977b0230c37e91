//! The process that emulates the state service, with its limits, and counts requests.
//!
//! Each controller has its own address for the state service, so that requests can be counted and refused per
//! controller.

use std::cell::RefCell;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::rc::Rc;
use std::time::Duration;

use clap::Args;
use gannethub::emulators::{EmulatorRequest, EmulatorResponse, StateService, serve};
use gannethub::http::Method;
use gannethub_emulators::State;
use serde_json::json;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot};
use tokio::task::spawn_local;
use tokio::time::timeout;

use crate::messages::{StateCounts, ToState};
use crate::role::{COMMAND_QUEUE_LENGTH, RunClock, read_from_driver, send_to_driver};

/// Maximum interval between ticks of the state service.
const TICK: Duration = Duration::from_millis(5);
/// Maximum number of items in a page of a listing.
const PAGE_ITEMS: usize = 1000;
/// Key of the leader lease record.
const LEADER_KEY: &str = "gh/lead/holder";

#[derive(Args)]
pub struct StateArgs {
    #[arg(long)]
    epoch: u64,
    #[arg(long)]
    port: u16,
    #[arg(long)]
    controllers: usize,
    #[arg(long)]
    rps: f64,
    #[arg(long)]
    write_rps: f64,
    #[arg(long)]
    value_bytes: usize,
    #[arg(long)]
    txn_ops: usize,
    #[arg(long)]
    lag_ms: u64,
}

enum Command {
    Driver(ToState),
    /// A request, and the index of the controller whose address it came to.
    Request(usize, EmulatorRequest),
}

/// Returns the address of the state service for the controller with index `node`. The index after the last
/// controller's gives the address for operators and the driver.
pub fn address(node: usize, port: u16) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(127, 0, 1, node as u8 + 1), port)
}

type Counts = Rc<RefCell<StateCounts>>;

struct StateEmulator {
    service: StateService,
    /// Index of the controller whose requests are refused, if any.
    refused_node: Option<usize>,
    counts: Counts,
    /// Total number of changes at the last measurement.
    last_changes: usize,
    /// Total number of requests refused because of the rate limits at the last measurement.
    last_refused: usize,
    /// Total number of transactions refused for their size at the last measurement.
    last_too_large: usize,
}

pub async fn run(args: StateArgs) -> std::io::Result<()> {
    let clock = RunClock(args.epoch);
    let (queue, mut commands) = mpsc::channel(COMMAND_QUEUE_LENGTH);
    // The last address is for operators and for the driver itself.
    for node in 0..=args.controllers {
        let listener = TcpListener::bind(address(node, args.port)).await?;
        let lag = Duration::from_millis(args.lag_ms);
        spawn_local(serve(listener, queue.clone(), lag, move |a| {
            Command::Request(node, a)
        }));
    }
    read_from_driver(queue, Command::Driver);
    let mut state = State::new(args.value_bytes, args.txn_ops);
    state.page = PAGE_ITEMS;
    state.change_rate = Some(args.write_rps);
    state.request_rate = Some(args.rps);
    // The published protocol keeps this many changes.
    state.kept_changes = Some(10_000);
    let mut emulator = StateEmulator {
        service: StateService::new(state),
        refused_node: None,
        counts: Counts::default(),
        last_changes: 0,
        last_refused: 0,
        last_too_large: 0,
    };
    let mut batch = Vec::new();
    loop {
        let _ = timeout(TICK, commands.recv_many(&mut batch, 256)).await;
        let now = clock.now();
        batch
            .drain(..)
            .for_each(|command| emulator.execute(command, now));
        emulator.service.tick(now);
    }
}

impl StateEmulator {
    fn execute(&mut self, command: Command, now: u64) {
        match command {
            Command::Driver(ToState::Outage(down)) => self.service.state.down = down,
            Command::Driver(ToState::Refuse(node)) => self.refused_node = node,
            Command::Driver(ToState::Measure) => self.measure(),
            Command::Request(node, request) => {
                let request = self.count(node, request);
                if self.refused_node == Some(node) {
                    return request.answer(503, json!({"error": "refused"}));
                }
                self.service.handle(request, now);
            }
        }
    }

    /// Counts a request. Returns the same request with another reply channel, so that its response is counted as well
    /// before it is passed on.
    fn count(&self, node: usize, request: EmulatorRequest) -> EmulatorRequest {
        let kind = kind(&request);
        let mut counts = self.counts.borrow_mut();
        *counts.by_node.entry(node).or_default() += 1;
        let count = counts.kinds.entry(kind.to_string()).or_default();
        count.count += 1;
        count.bytes_in += (request.path.len() + request.body.len()) as u64;
        let (reply, answer) = oneshot::channel::<EmulatorResponse>();
        let (reply_to_client, counts) = (request.reply, self.counts.clone());
        spawn_local(async move {
            let Ok(response) = answer.await else {
                return;
            };
            if let Some(count) = counts.borrow_mut().kinds.get_mut(kind) {
                count.bytes_out += response.body.to_string().len() as u64;
                count.refused += u64::from(matches!(response.status, 429 | 503));
            }
            // If the client has gone away the response is dropped.
            let _ = reply_to_client.send(response);
        });
        EmulatorRequest { reply, ..request }
    }

    /// Sends the counts since the last measurement to the driver.
    fn measure(&mut self) {
        let state = &self.service.state;
        let (keys, bytes) = state.size();
        let leader = state.value(LEADER_KEY).and_then(|v| v["holder"].as_str());
        let counts = StateCounts {
            changes: (state.change_count() - self.last_changes) as u64,
            refused: (state.rate_limited - self.last_refused) as u64,
            too_large: (state.too_large - self.last_too_large) as u64,
            keys: keys as u64,
            bytes: bytes as u64,
            leader: leader.map(str::to_string),
            ..std::mem::take(&mut *self.counts.borrow_mut())
        };
        self.last_changes = state.change_count();
        self.last_refused = state.rate_limited;
        self.last_too_large = state.too_large;
        send_to_driver(&counts);
    }
}

fn kind(request: &EmulatorRequest) -> &'static str {
    match (request.method, request.path.as_str()) {
        (_, "/commit") => "commit",
        (Method::Get, path) if path.starts_with("/follow") && path.contains("block_ms=0") => {
            "changes"
        }
        (Method::Get, path) if path.starts_with("/follow") => "watch",
        (Method::Get, path) if path.starts_with("/kv?") => "list",
        (Method::Get, _) => "get",
        (_, path) if path.ends_with("/renew") => "renew",
        _ => "grant",
    }
}
