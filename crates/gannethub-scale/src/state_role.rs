//! The process that stands in for the state service, with its limits, and counts what it is asked.
//!
//! Each controller reaches it at an address of its own, so that requests can be told apart and refused by controller.

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
use crate::role::{QUEUE, RunClock, read_driver, tell};

const TICK: Duration = Duration::from_millis(5);
/// Items in a page of a listing.
const PAGE: usize = 1000;
const LEADER: &str = "gh/lead/holder";

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
    Asked(usize, EmulatorRequest),
}

/// Where the state service is for this controller; operators come after the last one.
pub fn address(node: usize, port: u16) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(127, 0, 1, node as u8 + 1), port)
}

type Counts = Rc<RefCell<StateCounts>>;

struct Owner {
    service: StateService,
    refuses: Option<usize>,
    counts: Counts,
    changed_before: usize,
    refused_before: usize,
    too_large_before: usize,
}

pub async fn run(args: StateArgs) -> std::io::Result<()> {
    let clock = RunClock(args.epoch);
    let (queue, mut commands) = mpsc::channel(QUEUE);
    // The last one is for operators, and for the driver itself.
    for node in 0..=args.controllers {
        let listener = TcpListener::bind(address(node, args.port)).await?;
        let lag = Duration::from_millis(args.lag_ms);
        spawn_local(serve(listener, queue.clone(), lag, move |a| {
            Command::Asked(node, a)
        }));
    }
    read_driver(queue, Command::Driver);
    let mut state = State::new(args.value_bytes, args.txn_ops);
    state.page = PAGE;
    state.rate = Some(args.write_rps);
    state.request_rate = Some(args.rps);
    // As many as the published protocol keeps.
    state.keeps = Some(10_000);
    let mut owner = Owner {
        service: StateService::new(state),
        refuses: None,
        counts: Counts::default(),
        changed_before: 0,
        refused_before: 0,
        too_large_before: 0,
    };
    let mut batch = Vec::new();
    loop {
        let _ = timeout(TICK, commands.recv_many(&mut batch, 256)).await;
        let now = clock.now();
        batch
            .drain(..)
            .for_each(|command| owner.command(command, now));
        owner.service.tick(now);
    }
}

impl Owner {
    fn command(&mut self, command: Command, now: u64) {
        match command {
            Command::Driver(ToState::Outage(down)) => self.service.state.down = down,
            Command::Driver(ToState::Refuse(node)) => self.refuses = node,
            Command::Driver(ToState::Measure) => self.measure(),
            Command::Asked(node, asked) => {
                let asked = self.counted(node, asked);
                if self.refuses == Some(node) {
                    return asked.answer(503, json!({"error": "refused"}));
                }
                self.service.handle(asked, now);
            }
        }
    }

    /// The same request, whose answer is counted on its way.
    fn counted(&self, node: usize, asked: EmulatorRequest) -> EmulatorRequest {
        let kind = kind(&asked);
        let mut counts = self.counts.borrow_mut();
        *counts.by_node.entry(node).or_default() += 1;
        let count = counts.kinds.entry(kind.to_string()).or_default();
        count.count += 1;
        count.bytes_in += (asked.path.len() + asked.body.len()) as u64;
        let (reply, answer) = oneshot::channel::<EmulatorResponse>();
        let (to, counts) = (asked.reply, self.counts.clone());
        spawn_local(async move {
            let Ok(response) = answer.await else {
                return;
            };
            if let Some(count) = counts.borrow_mut().kinds.get_mut(kind) {
                count.bytes_out += response.body.to_string().len() as u64;
                count.refused += u64::from(matches!(response.status, 429 | 503));
            }
            // A client that has gone away hears nothing.
            let _ = to.send(response);
        });
        EmulatorRequest { reply, ..asked }
    }

    fn measure(&mut self) {
        let state = &self.service.state;
        let (keys, bytes) = state.size();
        let leader = state.value(LEADER).and_then(|v| v["holder"].as_str());
        let counts = StateCounts {
            changes: (state.change_count() - self.changed_before) as u64,
            refused: (state.too_many - self.refused_before) as u64,
            too_large: (state.too_large - self.too_large_before) as u64,
            keys: keys as u64,
            bytes: bytes as u64,
            leader: leader.map(str::to_string),
            ..std::mem::take(&mut *self.counts.borrow_mut())
        };
        self.changed_before = state.change_count();
        self.refused_before = state.too_many;
        self.too_large_before = state.too_large;
        tell(&counts);
    }
}

fn kind(asked: &EmulatorRequest) -> &'static str {
    match (asked.method, asked.path.as_str()) {
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
