//! Users of a run. The users submit jobs at their scheduled times whether or not earlier requests were answered, poll
//! the status of the jobs, cancel some jobs, and record the answers. A late answer does not delay any later request
//! of another job.

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

/// Timeout of one attempt to submit or cancel a job.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);
/// Timeout of a status poll.
const POLL_TIMEOUT: Duration = Duration::from_secs(2);
/// Delay between two attempts of a request.
const RETRY_DELAY: Duration = Duration::from_secs(1);
/// Time for which a request is repeated, in microseconds.
const MAX_RETRY_TIME: u64 = 60_000_000;
/// Maximum time for which every status poll of a job may fail, in microseconds. A longer time violates a rule.
const MAX_UNANSWERED_TIME: u64 = 90_000_000;

/// Latencies of requests, and the numbers of requests without a good answer. Each latency is a pair: the time at which
/// the request was made, and the time until the answer, both in microseconds.
#[derive(Default)]
pub struct Latencies {
    pub submissions: Vec<(u64, u64)>,
    /// Latencies of status polls.
    pub status_polls: Vec<(u64, u64)>,
    pub cancellations: Vec<(u64, u64)>,
    /// Number of answers with a status that makes the user try again later.
    pub turned_away: u64,
    /// Number of requests that failed or were not answered in time.
    pub unanswered: u64,
    /// Number of requests that were given up after repeated attempts.
    pub given_up: u64,
}

/// State that all users of a run share.
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

    fn random_below(&self, to: usize) -> usize {
        self.rng.borrow_mut().random_range(0..to.max(1))
    }

    /// Sends a request to one controller after another until an answer has one of the `good_statuses`.
    /// Returns `None` if no such answer came in time.
    async fn send_with_retries(
        &self,
        method: Method,
        path: &str,
        body: &[u8],
        good_statuses: &[u16],
    ) -> Option<(u16, Value)> {
        let until = self.clock.now() + MAX_RETRY_TIME;
        let first = self.random_below(self.clients.len());
        for client in self.clients.iter().cycle().skip(first) {
            match client.call(method, path, body, REQUEST_TIMEOUT).await {
                Ok(Answer { status, body }) if good_statuses.contains(&status) => {
                    return Some((status, serde_json::from_slice(&body).unwrap_or(Value::Null)));
                }
                Ok(_) => self.latencies.borrow_mut().turned_away += 1,
                Err(_) => self.latencies.borrow_mut().unanswered += 1,
            }
            if self.clock.now() > until {
                break;
            }
            sleep(RETRY_DELAY).await;
        }
        self.latencies.borrow_mut().given_up += 1;
        None
    }

    /// Applies a change to the record of a job, if the record has the job.
    fn edit(&self, id: &str, change: impl FnOnce(&mut JobRecord)) {
        if let Some(job) = self.record.borrow_mut().jobs.get_mut(id) {
            change(job);
        }
    }

    /// Acts as the user of a job, from the submission of the job until an answer says that the job is over.
    pub async fn run_job(self: Rc<Self>, job: Job) {
        let sent_at = self.clock.now();
        let class = &self.load.classes[job.class];
        let record = JobRecord {
            team: job.team,
            tasks: job.tasks,
            cpus: class.cpus,
            is_gang: class.shape == Shape::Group,
            urgent: class.rank == "urgent",
            sent_at,
            ..JobRecord::default()
        };
        self.record.borrow_mut().jobs.insert(job.id.clone(), record);
        let body = job.submission_body(&self.load).to_string();
        let good_statuses = [200, 201, 400, 422];
        let answer = self
            .send_with_retries(Method::Post, "/api/jobs", body.as_bytes(), &good_statuses)
            .await;
        let Some((status, answer)) = answer else {
            return;
        };
        let now = self.clock.now();
        if status >= 400 {
            let what = format!("{status} {answer}");
            return self.edit(&job.id, |j| j.violations.push(("refused", what)));
        }
        self.latencies
            .borrow_mut()
            .submissions
            .push((sent_at, now - sent_at));
        self.edit(&job.id, |j| j.accepted = Some(now));
        let cancel_after = job.cancelled.then(|| {
            let run_time = (job.run_s * 1e6) as usize;
            now + self.random_below(run_time) as u64
        });
        self.poll_until_over(&job, cancel_after).await;
    }

    async fn poll_until_over(&self, job: &Job, cancel_after: Option<u64>) {
        let path = format!("/api/jobs/{}", job.id);
        let mut answered_at = self.clock.now();
        loop {
            sleep(Duration::from_secs_f64(self.load.users.poll_s)).await;
            if cancel_after.is_some_and(|at| self.clock.now() >= at) {
                return self.cancel(job).await;
            }
            let sent_at = self.clock.now();
            let client = self.clients[self.random_below(self.clients.len())].clone();
            let answer = client.call(Method::Get, &path, b"", POLL_TIMEOUT).await;
            let now = self.clock.now();
            match answer {
                Ok(Answer { status: 200, body }) => {
                    answered_at = now;
                    self.latencies
                        .borrow_mut()
                        .status_polls
                        .push((sent_at, now - sent_at));
                    let body: Value = serde_json::from_slice(&body).unwrap_or(Value::Null);
                    match body["status"].as_str() {
                        Some("done") => return self.edit(&job.id, |j| j.told_done = Some(now)),
                        Some("cancelled") => {
                            let what = "reported as cancelled, but nobody asked for a cancellation"
                                .to_string();
                            return self.edit(&job.id, |j| j.violations.push(("went_back", what)));
                        }
                        _ => {}
                    }
                }
                Ok(Answer { status: 404, .. }) => {
                    let what = "404 for an accepted job".to_string();
                    return self.edit(&job.id, |j| j.violations.push(("forgotten", what)));
                }
                Ok(_) => self.latencies.borrow_mut().turned_away += 1,
                Err(_) => self.latencies.borrow_mut().unanswered += 1,
            }
            if now > answered_at + MAX_UNANSWERED_TIME {
                let what = "no poll was answered for 90 s".to_string();
                return self.edit(&job.id, |j| j.violations.push(("forgotten", what)));
            }
        }
    }

    async fn cancel(&self, job: &Job) {
        let requested_at = self.clock.now();
        self.edit(&job.id, |j| j.cancel_requested = Some(requested_at));
        let path = format!("/api/jobs/{}/cancel", job.id);
        let Some((_, answer)) = self
            .send_with_retries(Method::Post, &path, b"", &[200])
            .await
        else {
            return;
        };
        let now = self.clock.now();
        self.latencies
            .borrow_mut()
            .cancellations
            .push((requested_at, now - requested_at));
        match answer["status"].as_str() {
            Some("cancelled") => self.edit(&job.id, |j| j.told_cancelled = Some(now)),
            Some("done") => self.edit(&job.id, |j| j.told_done = Some(now)),
            _ => {
                let what = format!("a cancellation was answered with {answer}");
                self.edit(&job.id, |j| j.violations.push(("went_back", what)));
            }
        }
    }

    /// Requests the status of up to `limit` accepted jobs once more, and records a violation where a job is unknown
    /// or no longer has the final status that its user was told.
    pub async fn recheck_jobs(&self, limit: usize) {
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
            .take(limit)
            .collect();
        for (id, expected) in known {
            let path = format!("/api/jobs/{id}");
            let client = self.clients[self.random_below(self.clients.len())].clone();
            let answer = client.call(Method::Get, &path, b"", POLL_TIMEOUT).await;
            let Ok(Answer { status, body }) = answer else {
                continue;
            };
            let body: Value = serde_json::from_slice(&body).unwrap_or(Value::Null);
            if status == 404 {
                self.edit(&id, |j| {
                    j.violations
                        .push(("forgotten", "404 at the end of the run".into()))
                });
            }
            if let Some(expected) = expected.filter(|e| status == 200 && body["status"] != **e) {
                let what = format!("once {expected}, then {}", body["status"]);
                self.edit(&id, |j| j.violations.push(("went_back", what)));
            }
        }
    }
}
