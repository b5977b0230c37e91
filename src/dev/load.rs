//! The load test, which submits jobs while workers, the leader and the state service fail.

use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::time::{Duration, Instant};

use gannethub_core::http::Method;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::{Value, json};
use tokio::sync::{mpsc, oneshot};
use tokio::time::sleep;

use super::audit::{ChargedAttempts, compare};
use super::controllers::Controllers;
use super::region::Command;
use super::{DevError, WORKER_LEASE_SECONDS};
use crate::files;
use crate::http::{Client, request_any};
use crate::ledger::fetch_pages;

pub(super) const TEAMS: [&str; 2] = ["red", "blue"];
/// Shapes of the jobs. A shape that is listed twice is drawn twice as often.
const SHAPES: [&str; 4] = ["array", "array", "group", "service"];
/// Makes the random numbers of the jobs differ from those of the emulators, which get the same seed.
const SEED_MASK: u64 = 0x5eed;
const SUBMIT_INTERVAL: Duration = Duration::from_millis(700);
/// Number of submitted jobs after which the sequence of faults repeats.
const FAULT_CYCLE: u32 = 12;
/// Time for which a killed leader stays down. In this time a peer that knows the attempts not charged yet takes over.
const LEADER_DOWNTIME: Duration = Duration::from_secs(8);
const OUTAGE_SECONDS: u64 = 4;
/// Maximum time to wait for each job after all jobs are submitted.
const JOB_TIMEOUT: Duration = Duration::from_secs(120);
const POLL_INTERVAL: Duration = Duration::from_millis(500);
/// Time after the end of a worker's lease by which the machines that died are given up and their last charges are
/// written.
const LAST_CHARGES_DELAY_SECONDS: u64 = 6;

/// A load test of a running cluster.
pub(super) struct LoadTest<'a> {
    rng: StdRng,
    addrs: &'a [SocketAddrV4],
    clients: Vec<Client>,
    emulators: mpsc::Sender<Command>,
    controllers: &'a mut Controllers,
    /// Team of each job.
    teams: HashMap<String, &'static str>,
    /// IDs of the services, which run until they are cancelled.
    services: Vec<String>,
}

/// A controller's answer with a JSON body.
struct JsonAnswer {
    status: u16,
    body: Value,
}

impl<'a> LoadTest<'a> {
    pub fn new(
        seed: u64,
        addrs: &'a [SocketAddrV4],
        emulators: mpsc::Sender<Command>,
        controllers: &'a mut Controllers,
    ) -> LoadTest<'a> {
        LoadTest {
            rng: StdRng::seed_from_u64(seed ^ SEED_MASK),
            addrs,
            clients: addrs.iter().map(|addr| Client::new(*addr)).collect(),
            emulators,
            controllers,
            teams: HashMap::new(),
            services: Vec::new(),
        }
    }

    /// Submits this many jobs, waits until all are finished, and compares the ledger with the workers' own records.
    pub async fn run(mut self, jobs: u32) -> Result<(), DevError> {
        for number in 1..=jobs {
            self.submit(job_id(number)).await?;
            sleep(SUBMIT_INTERVAL).await;
            self.inject_fault(number).await?;
        }
        for id in &self.services {
            let path = format!("/api/jobs/{id}/cancel");
            self.ask(Method::Post, &path, "").await?;
        }
        for number in 1..=jobs {
            self.wait_until_finished(job_id(number)).await?;
        }
        sleep(Duration::from_secs(
            WORKER_LEASE_SECONDS + LAST_CHARGES_DELAY_SECONDS,
        ))
        .await;
        self.check_ledger().await
    }

    /// Asks the controllers in turn until one gives a final answer.
    async fn ask(&self, method: Method, path: &str, body: &str) -> Result<JsonAnswer, DevError> {
        match request_any(&self.clients, method, path, body.as_bytes()).await {
            Ok(answer) => Ok(JsonAnswer {
                status: answer.status,
                body: answer.decode().unwrap_or(Value::Null),
            }),
            Err(_) => Err(DevError::NoAnswer { path: path.into() }),
        }
    }

    async fn submit(&mut self, id: String) -> Result<(), DevError> {
        let team = TEAMS[self.rng.random_range(0..TEAMS.len())];
        let shape = SHAPES[self.rng.random_range(0..SHAPES.len())];
        let tasks = self.rng.random_range(1..8);
        let save_seconds = if self.rng.random_bool(0.5) { 1.0 } else { 0.0 };
        let body = json!({"id": id, "jobclass": "load", "crew": team, "shape": shape,
            "rank": "normal", "pieces": tasks, "vcpus": 1.0, "cards": 0.0, "mem_gb": 1.0,
            "build": "img", "size_gb": 1.0, "rigs": null, "yard": null, "together": false,
            "scatter": false, "loaners": true, "guess_s": 4.0, "stamp_every_s": save_seconds,
            "stamp_s": save_seconds, "due_s": null});
        let answer = self
            .ask(Method::Post, "/api/jobs", &body.to_string())
            .await?;
        if !matches!(answer.status, 200 | 201) {
            return Err(DevError::JobRefused {
                id,
                status: answer.status,
                answer: answer.body,
            });
        }
        if shape == "service" {
            self.services.push(id.clone());
        }
        self.teams.insert(id, team);
        Ok(())
    }

    /// Injects the fault, if any, that follows this number of submitted jobs.
    async fn inject_fault(&mut self, submitted: u32) -> Result<(), DevError> {
        match submitted % FAULT_CYCLE {
            4 => self.send_to_emulators(Command::KillBusyWorker).await,
            8 => self.kill_leader().await?,
            11 => {
                println!("the state service is down for {OUTAGE_SECONDS} s");
                self.send_to_emulators(Command::SetOutage(true)).await;
                sleep(Duration::from_secs(OUTAGE_SECONDS)).await;
                self.send_to_emulators(Command::SetOutage(false)).await;
            }
            _ => {}
        }
        Ok(())
    }

    /// Kills the leader and a machine that holds tasks, then starts the controller again.
    async fn kill_leader(&mut self) -> Result<(), DevError> {
        let leader = self.query_emulators(Command::Leader).await?;
        let Some(index) = leader.and_then(|name| name.strip_prefix('n')?.parse().ok()) else {
            return Ok(());
        };
        println!("killing the leader n{index} and a machine that holds tasks");
        self.controllers.kill(index);
        self.send_to_emulators(Command::KillBusyWorker).await;
        sleep(LEADER_DOWNTIME).await;
        Ok(self.controllers.start(index)?)
    }

    async fn send_to_emulators(&self, command: Command) {
        let _ = self.emulators.send(command).await;
    }

    async fn query_emulators<T>(
        &self,
        to_command: impl FnOnce(oneshot::Sender<T>) -> Command,
    ) -> Result<T, DevError> {
        let (reply, answer) = oneshot::channel();
        self.send_to_emulators(to_command(reply)).await;
        answer.await.map_err(|_| DevError::EmulatorsEnded)
    }

    async fn wait_until_finished(&self, id: String) -> Result<(), DevError> {
        let deadline = Instant::now() + JOB_TIMEOUT;
        let path = format!("/api/jobs/{id}");
        loop {
            let answer = self.ask(Method::Get, &path, "").await?.body;
            if matches!(answer["status"].as_str(), Some("done" | "cancelled")) {
                return Ok(());
            }
            if Instant::now() > deadline {
                return Err(DevError::JobNotFinished { id, answer });
            }
            sleep(POLL_INTERVAL).await;
        }
    }

    async fn check_ledger(&self) -> Result<(), DevError> {
        let recorded = self.query_emulators(Command::Record).await?;
        let (platform, _) = files::read_settings(&self.controllers.settings(0))?;
        let setup = files::read_ledger_setup(&self.controllers.ledger_settings(), &platform)?;
        let pages = fetch_pages(self.addrs).await?;
        let charged = ChargedAttempts::read(&pages, &setup)?;
        compare(&recorded, &charged, &self.teams)
    }
}

fn job_id(number: u32) -> String {
    format!("j-{number:06}")
}
