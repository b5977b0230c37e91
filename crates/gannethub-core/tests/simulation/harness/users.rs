//! Simulated users: their submissions, polls and cancellations, and the answers that they got.

use super::*;

/// A job as its user sees it. All times are in microseconds.
#[derive(Debug)]
pub struct UserJob {
    pub body: Value,
    pub accepted: Option<u64>,
    pub cancel_asked: bool,
    pub cancellation_confirmed_at: Option<u64>,
    pub done_confirmed_at: Option<u64>,
    pub status: String,
    pub waits_on: Vec<String>,
    pub polls: usize,
    /// Time of the last answer to a request about the job.
    pub answered: u64,
    /// Time since which the job waits although there is free capacity for it.
    pub(super) idle_since: Option<u64>,
}

/// A submission that lacks a field or can never run: its body, the field that the refusal must name, and the number of
/// refusals.
#[derive(Debug)]
pub struct InvalidSubmission {
    pub body: Value,
    pub field: String,
    pub refused: usize,
}

/// Returns the body of a submission. The fields in `more` override the defaults.
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
    pub fn submit(&mut self, body: Value) {
        let id = body["id"].as_str().unwrap_or("").to_string();
        self.jobs.insert(
            id.clone(),
            UserJob {
                body,
                accepted: None,
                cancel_asked: false,
                cancellation_confirmed_at: None,
                done_confirmed_at: None,
                status: String::new(),
                waits_on: Vec::new(),
                polls: 0,
                answered: 0,
                idle_since: None,
            },
        );
        self.send_request(&id, "submit");
    }

    /// Submits a job at this node once. The answer is ignored.
    pub fn submit_once(&mut self, body: Value, node: usize) {
        let id = body["id"].as_str().unwrap_or("").to_string();
        let origin = Origin::User {
            job: format!("once {id}"),
            what: "submit once",
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

    /// Submits at this node a job that lacks a field or can never run. The checker requires that the refusal names
    /// `field`.
    pub fn submit_invalid(&mut self, body: Value, field: &str, node: usize) {
        let id = format!("invalid {} {}", field, self.invalid_submissions.len());
        let origin = Origin::User {
            job: id.clone(),
            what: "submit invalid",
            asked: self.now,
        };
        let text = Bytes::from(body.to_string());
        self.invalid_submissions.insert(
            id,
            InvalidSubmission {
                body,
                field: field.into(),
                refused: 0,
            },
        );
        self.http(origin, node, Method::Post, "/api/jobs", text);
    }

    /// Repeats a user's requests at all nodes several times within 300 ms.
    pub(super) fn request_at_all_nodes(&mut self, id: &str) {
        for node in 0..self.nodes.len() {
            for what in ["poll", "submit", "poll", "cancel", "poll"] {
                // A cancellation is repeated only if the user has requested it before.
                if what == "cancel" && !self.jobs.get(id).is_some_and(|j| j.cancel_asked) {
                    continue;
                }
                let soon = self.rng.random_range(0..300_000);
                self.schedule(
                    soon,
                    Event::UserRequest {
                        job: id.into(),
                        what,
                        node,
                    },
                );
                self.counters.repeated_requests += 1;
            }
        }
    }

    /// Number of task starts of a job.
    pub fn starts_of(&self, id: &str) -> usize {
        self.starts_by_job.get(id).copied().unwrap_or(0)
    }

    pub fn cancel(&mut self, id: u32) {
        let id = format!("j-{id:06}");
        if let Some(j) = self.jobs.get_mut(&id) {
            j.cancel_asked = true;
        }
        self.send_request(&id, "cancel");
    }

    /// Cancels a job at this controller. The user then repeats the request at random nodes until it is answered.
    pub fn cancel_at(&mut self, id: u32, node: usize) {
        let id = format!("j-{id:06}");
        if let Some(j) = self.jobs.get_mut(&id) {
            j.cancel_asked = true;
        }
        self.send_request_to(&id, "cancel", node);
    }

    /// Sends a user's request to a random node.
    pub fn send_request(&mut self, id: &str, what: &'static str) {
        let node = self.rng.random_range(0..self.nodes.len());
        self.send_request_to(id, what, node);
    }

    /// Sends a user's request to this node.
    pub fn send_request_to(&mut self, id: &str, what: &'static str, node: usize) {
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

    /// Polls every accepted job every 2 s, and repeats submissions and cancellations that have not been answered.
    pub(super) fn poll_jobs(&mut self) {
        if !self.now.is_multiple_of(2 * SECOND) {
            return;
        }
        let ids: Vec<String> = self.jobs.keys().cloned().collect();
        for id in ids {
            let j = &self.jobs[&id];
            if j.accepted.is_none() {
                self.send_request(&id, "submit");
            } else if j.cancel_asked
                && j.cancellation_confirmed_at.is_none()
                && j.done_confirmed_at.is_none()
            {
                self.send_request(&id, "cancel");
            }
            if self.jobs[&id].accepted.is_some() {
                self.send_request(&id, "poll");
            }
        }
    }

    /// Sends `extra_queries` requests about random jobs, in addition to the usual polls.
    pub(super) fn send_random_queries(&mut self) {
        for _ in 0..self.extra_queries {
            let accepted = self.jobs.iter().filter(|(_, j)| j.accepted.is_some());
            let ids: Vec<String> = accepted.map(|(id, _)| id.clone()).collect();
            let any = self.rng.random_range(0..ids.len().max(1));
            if let Some(id) = ids.get(any) {
                self.send_request(id, "poll");
            }
        }
    }

    /// Returns the job itself and all its direct and indirect upstream jobs.
    pub(super) fn job_and_upstream(&self, id: &str) -> Vec<String> {
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

    /// Whether each of the job's tasks has completed on some machine.
    pub(super) fn completed(&self, id: &str) -> bool {
        let n = self
            .jobs
            .get(id)
            .and_then(|j| j.body["pieces"].as_u64())
            .unwrap_or(0);
        (0..n).all(|i| self.completed_tasks.contains(&format!("{id}/{i}")))
    }

    /// Returns the upstream jobs that the job waits for, according to the last poll of its user.
    pub fn waits_on(&self, id: &str) -> &[String] {
        &self.jobs[id].waits_on
    }

    /// Whether every job has ended as far as its user was told. An accepted service counts as ended.
    pub fn all_jobs_ended(&self) -> bool {
        self.jobs.values().all(|j| {
            j.done_confirmed_at.is_some()
                || j.cancellation_confirmed_at.is_some()
                || (j.body["shape"].as_str() == Some("service") && j.accepted.is_some())
        })
    }
}
