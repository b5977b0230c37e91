//! `gannethub dev`: a whole cluster on loopback. The emulated state service, cloud and workers run in this process.
//! The controllers run in processes of their own, so that they can be killed.
//!
//! The emulators are the models of [`gannethub_emulators`], driven by the real clock; `region` owns them.
//! `controllers` manages the controller processes, `load` submits jobs and injects faults, and `audit` compares the
//! ledger with the workers' own records.

mod audit;
mod controllers;
mod load;
mod region;

use std::net::{Ipv4Addr, SocketAddrV4};

use clap::Args;
use serde_json::Value;
use tokio::net::TcpListener;

use self::controllers::{ControllerPorts, Controllers, write_settings};
use self::load::LoadTest;
use self::region::Region;
use crate::emulators::free_ports;
use crate::files::FileError;
use crate::ledger::LedgerError;

const SECOND: u64 = 1_000_000;
/// Duration of a worker's lease.
const WORKER_LEASE_SECONDS: u64 = 10;

#[derive(Args)]
pub struct DevArgs {
    /// Number of controllers
    #[arg(long, default_value_t = 3, value_parser = clap::value_parser!(u8).range(1..=7))]
    controllers: u8,
    /// Seed of the random number generators
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Submit this many jobs while workers, the leader and the state service fail, compare the ledger with the
    /// workers' own records, then exit
    #[arg(long, value_name = "JOBS")]
    load: Option<u32>,
}

/// Errors of running a cluster, and failed checks of its load test.
#[derive(Debug, thiserror::Error)]
pub enum DevError {
    #[error("{0}")]
    Io(#[from] std::io::Error),
    #[error("{0}")]
    File(#[from] FileError),
    #[error("{0}")]
    Ledger(#[from] LedgerError),
    #[error("the emulators have stopped")]
    EmulatorsEnded,
    #[error("no controller gave a final answer to {path}")]
    NoAnswer { path: String },
    #[error("job {id} was refused with status {status}: {answer}")]
    JobRefused {
        id: String,
        status: u16,
        answer: Value,
    },
    #[error("job {id} did not finish in time: {answer}")]
    JobNotFinished { id: String, answer: Value },
    /// Holds a description of each attempt whose charge differs from its worker's record.
    #[error("{count} attempts are charged wrongly:\n{list}", count = .0.len(), list = .0.join("\n"))]
    WrongCharges(Vec<String>),
}

/// Runs a cluster until Ctrl-C, or until the load test is finished.
pub fn run(args: &DevArgs) -> Result<(), DevError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let local = tokio::task::LocalSet::new();
    local.block_on(&runtime, run_cluster(args))
}

/// The listening sockets of the emulators.
struct EmulatorListeners {
    state_service: TcpListener,
    cloud: TcpListener,
    /// One socket for the commands to all workers.
    workers: TcpListener,
}

impl EmulatorListeners {
    async fn bind() -> std::io::Result<EmulatorListeners> {
        let any_port = (Ipv4Addr::LOCALHOST, 0);
        Ok(EmulatorListeners {
            state_service: TcpListener::bind(any_port).await?,
            cloud: TcpListener::bind(any_port).await?,
            workers: TcpListener::bind(any_port).await?,
        })
    }
}

async fn run_cluster(args: &DevArgs) -> Result<(), DevError> {
    let folder = std::env::temp_dir().join(format!("gannethub-dev-{}", std::process::id()));
    std::fs::create_dir_all(&folder)?;
    let listeners = EmulatorListeners::bind().await?;
    let state_port = listeners.state_service.local_addr()?.port();
    let cloud_port = listeners.cloud.local_addr()?.port();
    let ports = controller_ports(args.controllers.into())?;
    write_settings(&folder, &ports, state_port, cloud_port)?;
    let addrs: Vec<SocketAddrV4> = ports.iter().map(ControllerPorts::user_addr).collect();
    let emulators = Region::start(args.seed, &addrs, listeners)?;
    let mut controllers = Controllers::new(folder.clone(), addrs.len());
    for index in 0..addrs.len() {
        controllers.start(index)?;
    }
    println!("state service 127.0.0.1:{state_port}, cloud 127.0.0.1:{cloud_port} (emulated)");
    for (index, addr) in addrs.iter().enumerate() {
        println!("controller n{index} http://{addr}");
    }
    println!("settings, keys and logs in {}", folder.display());
    if let Some(jobs) = args.load {
        // If the load test fails, the folder is kept: its logs may show the cause.
        LoadTest::new(args.seed, &addrs, emulators, &mut controllers)
            .run(jobs)
            .await?;
    } else {
        println!("press Ctrl-C to stop the cluster");
        tokio::signal::ctrl_c().await?;
    }
    drop(controllers);
    std::fs::remove_dir_all(&folder)?;
    Ok(())
}

fn controller_ports(count: usize) -> std::io::Result<Vec<ControllerPorts>> {
    let ports = free_ports(2 * count)?;
    let pairs = ports.chunks_exact(2);
    Ok(pairs
        .map(|pair| ControllerPorts {
            users: pair[0],
            peers: pair[1],
        })
        .collect())
}
