//! Users: they submit jobs at their times whatever the answers, ask about them, cancel some, and take down what they are
//! told. A late answer delays no later request.

use std::cell::RefCell;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

use gannethub::http::{Answer, Client, Method};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::Value;
use tokio::time::sleep;

use crate::load::{Job, Load, Shape};
use crate::record::{JobRecord, Record};
use crate::role::RunClock;

const SUBMIT_PATIENCE: Duration = Duration::from_secs(5);
const POLL_PATIENCE: Duration = Duration::from_secs(2);
const RETRY: Duration = Duration::from_secs(1);
/// A request is repeated for this long, in microseconds.
const REPEATS: u64 = 60_000_000;
/// Every poll for a job failing for this long is a rule broken, in microseconds.
const FORGOTTEN: u64 = 90_000_000;

/// How long requests took, in microseconds, and how many had no good answer.
#[derive(Default)]
pub struct Latencies {
    pub submissions: Vec<(u64, u64)>,
    pub questions: Vec<(u64, u64)>,
    pub cancellations: Vec<(u64, u64)>,
    /// Answers that sent the user away to come back.
    pub turned_away: u64,
    pub unanswered: u64,
    pub given_up: u64,
}

/// What all users of a run share.
pub struct Users {
    pub clock: RunClock,
    pub load: Rc<Load>,
    pub clients: Vec<Rc<Client>>,
    pub record: Rc<RefCell<Record>>,
    pub latencies: Rc<RefCell<Latencies>>,
    pub rng: RefCell<StdRng>,
}

impl Users {
    pub fn new(
        clock: RunClock,
        load: Rc<Load>,
        controllers: &[SocketAddrV4],
        record: Rc<RefCell<Record>>,
        seed: u64,
    ) -> Users {
        Users {
            clock,
            load,
            clients: controllers
                .iter()
                .map(|a| Rc::new(Client::new(*a)))
                .collect(),
            record,
            latencies: Rc::default(),
            rng: RefCell::new(StdRng::seed_from_u64(seed)),
        }
    }

    fn draw(&self, to: usize) -> usize {
        self.rng.borrow_mut().random_range(0..to.max(1))
    }

    /// Sends a request to one controller after another until one of these statuses comes. `None`: none did in time.
    async fn repeat(
        &self,
        method: Method,
        path: &str,
        body: &[u8],
        good: &[u16],
    ) -> Option<(u16, Value)> {
        let until = self.clock.now() + REPEATS;
        let first = self.draw(self.clients.len());
        for client in self.clients.iter().cycle().skip(first) {
            match client.call(method, path, body, SUBMIT_PATIENCE).await {
                Ok(Answer { status, body }) if good.contains(&status) => {
                    return Some((status, serde_json::from_slice(&body).unwrap_or(Value::Null)));
                }
                Ok(_) => self.latencies.borrow_mut().turned_away += 1,
                Err(_) => self.latencies.borrow_mut().unanswered += 1,
            }
            if self.clock.now() > until {
                break;
            }
            sleep(RETRY).await;
        }
        self.latencies.borrow_mut().given_up += 1;
        None
    }

    fn note(&self, id: &str, change: impl FnOnce(&mut JobRecord)) {
        if let Some(job) = self.record.borrow_mut().jobs.get_mut(id) {
            change(job);
        }
    }

    /// Lives through a job, from its submission to the answer that it is over.
    pub async fn live(self: Rc<Self>, job: Job) {
        let asked = self.clock.now();
        let class = &self.load.classes[job.class];
        let record = JobRecord {
            team: job.team,
            tasks: job.tasks,
            cpus: class.cpus,
            together: class.shape == Shape::Group,
            urgent: class.rank == "urgent",
            asked,
            ..JobRecord::default()
        };
        self.record.borrow_mut().jobs.insert(job.id.clone(), record);
        let body = job.submission_body(&self.load).to_string();
        let good = [200, 201, 400, 422];
        let answer = self
            .repeat(Method::Post, "/api/jobs", body.as_bytes(), &good)
            .await;
        let Some((status, answer)) = answer else {
            return;
        };
        let now = self.clock.now();
        if status >= 400 {
            let what = format!("{status} {answer}");
            return self.note(&job.id, |j| j.broken.push(("refused", what)));
        }
        self.latencies
            .borrow_mut()
            .submissions
            .push((asked, now - asked));
        self.note(&job.id, |j| j.accepted = Some(now));
        let cancel_after = job.cancelled.then(|| {
            let most = (job.run_s * 1e6) as usize;
            now + self.draw(most) as u64
        });
        self.follow(&job, cancel_after).await;
    }

    async fn follow(&self, job: &Job, cancel_after: Option<u64>) {
        let path = format!("/api/jobs/{}", job.id);
        let mut heard = self.clock.now();
        loop {
            sleep(Duration::from_secs_f64(self.load.users.poll_s)).await;
            if cancel_after.is_some_and(|at| self.clock.now() >= at) {
                return self.cancel(job).await;
            }
            let asked = self.clock.now();
            let client = self.clients[self.draw(self.clients.len())].clone();
            let answer = client.call(Method::Get, &path, b"", POLL_PATIENCE).await;
            let now = self.clock.now();
            match answer {
                Ok(Answer { status: 200, body }) => {
                    heard = now;
                    self.latencies
                        .borrow_mut()
                        .questions
                        .push((asked, now - asked));
                    let body: Value = serde_json::from_slice(&body).unwrap_or(Value::Null);
                    match body["status"].as_str() {
                        Some("done") => return self.note(&job.id, |j| j.told_done = Some(now)),
                        Some("cancelled") => {
                            let what = "called cancelled, which nobody asked for".to_string();
                            return self.note(&job.id, |j| j.broken.push(("went_back", what)));
                        }
                        _ => {}
                    }
                }
                Ok(Answer { status: 404, .. }) => {
                    let what = "404 for an accepted job".to_string();
                    return self.note(&job.id, |j| j.broken.push(("forgotten", what)));
                }
                Ok(_) => self.latencies.borrow_mut().turned_away += 1,
                Err(_) => self.latencies.borrow_mut().unanswered += 1,
            }
            if now > heard + FORGOTTEN {
                let what = "no poll was answered for 90 s".to_string();
                return self.note(&job.id, |j| j.broken.push(("forgotten", what)));
            }
        }
    }

    async fn cancel(&self, job: &Job) {
        let asked = self.clock.now();
        self.note(&job.id, |j| j.cancel_asked = Some(asked));
        let path = format!("/api/jobs/{}/cancel", job.id);
        let Some((_, answer)) = self.repeat(Method::Post, &path, b"", &[200]).await else {
            return;
        };
        let now = self.clock.now();
        self.latencies
            .borrow_mut()
            .cancellations
            .push((asked, now - asked));
        match answer["status"].as_str() {
            Some("cancelled") => self.note(&job.id, |j| j.told_cancelled = Some(now)),
            Some("done") => self.note(&job.id, |j| j.told_done = Some(now)),
            _ => {
                let what = format!("a cancellation was answered with {answer}");
                self.note(&job.id, |j| j.broken.push(("went_back", what)));
            }
        }
    }

    /// Asks once more about jobs that are known to be accepted, done or cancelled.
    pub async fn ask_again(&self, most: usize) {
        let known: Vec<(String, Option<&'static str>)> = self
            .record
            .borrow()
            .jobs
            .iter()
            .filter(|(_, j)| j.accepted.is_some())
            .map(|(id, j)| {
                let done = j.told_done.map(|_| "done");
                (id.clone(), done.or(j.told_cancelled.map(|_| "cancelled")))
            })
            .take(most)
            .collect();
        for (id, expected) in known {
            let path = format!("/api/jobs/{id}");
            let client = self.clients[self.draw(self.clients.len())].clone();
            let answer = client.call(Method::Get, &path, b"", POLL_PATIENCE).await;
            let Ok(Answer { status, body }) = answer else {
                continue;
            };
            let body: Value = serde_json::from_slice(&body).unwrap_or(Value::Null);
            if status == 404 {
                self.note(&id, |j| {
                    j.broken.push(("forgotten", "404 at the end".into()))
                });
            }
            if let Some(expected) = expected.filter(|e| status == 200 && body["status"] != **e) {
                let what = format!("once {expected}, then {}", body["status"]);
                self.note(&id, |j| j.broken.push(("went_back", what)));
            }
        }
    }
}
