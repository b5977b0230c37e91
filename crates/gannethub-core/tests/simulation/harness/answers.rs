//! Answers to users, and the checks of the rules for these answers.

use super::*;

/// The checker's knowledge of a job and its upstream jobs at the time an answer about the job arrives.
struct JobKnowledge {
    /// Time at which the request was sent.
    asked: u64,
    /// Whether each task of the job has completed.
    is_completed: bool,
    /// Whether a user has requested cancellation of the job or of one of its upstream jobs.
    cancel_asked: bool,
    /// Time at which a user was first told that one of the upstream jobs is cancelled.
    upstream_cancelled: Option<u64>,
    /// Whether every upstream job was accepted.
    upstream_accepted: bool,
    has_upstream: bool,
}

impl UserJob {
    /// Returns three flags: whether the user was told that the job is accepted, that it is done, and that it is
    /// cancelled.
    fn milestones(&self) -> [bool; 3] {
        [
            self.accepted.is_some(),
            self.done_confirmed_at.is_some(),
            self.cancellation_confirmed_at.is_some(),
        ]
    }
}

impl World {
    /// Handles an answer that reaches a user: checks it and updates the user's view of the job.
    pub(super) fn on_user_answer(&mut self, id: &str, what: &str, asked: u64, response: &Response) {
        let body: Value = serde_json::from_slice(&response.body).unwrap_or(Value::Null);
        if self.invalid_submissions.contains_key(id) {
            return self.on_invalid_submission_answer(id, &body, response);
        }
        let known = self.job_knowledge(id, asked);
        let Some(job) = self.jobs.get(id) else {
            return;
        };
        let before = job.milestones();
        let accepted = job.accepted;
        self.check_status(id, what, &body, response, &known);
        match response.status {
            200 | 201 => self.on_job_answer(id, what, &body, &known),
            404 | 400 | 422 if accepted.is_some_and(|t| t < asked) => {
                self.violations
                    .push(format!("forgotten: {id} gets {}", response.status));
            }
            404 if accepted.is_some() => self.counters.overtaken_answers += 1,
            503 if what == "submit" && response.retry_after.is_some() => {
                self.refusals.push(self.now - asked);
            }
            503 if what == "cancel" && response.retry_after.is_some() => {
                self.cancel_refusals.push(self.now - asked);
            }
            _ => {}
        }
        if self.repeats_requests && before != self.jobs[id].milestones() {
            self.request_at_all_nodes(id);
        }
    }

    /// Checks that a submission that cannot be accepted is refused, and that the refusal names the field.
    fn on_invalid_submission_answer(&mut self, id: &str, body: &Value, response: &Response) {
        let Some(invalid_submission) = self.invalid_submissions.get_mut(id) else {
            return;
        };
        let why = body["error"].as_str().unwrap_or("");
        match response.status {
            400 | 422 if why.contains(invalid_submission.field.as_str()) => {
                invalid_submission.refused += 1
            }
            // The controller cannot decide about the submission yet and asks the user to retry.
            503 if response.retry_after.is_some() => {}
            status => {
                let text = format!(
                    "invalid submission: {} gets {status} {why:?}, not a refusal that names {}",
                    invalid_submission.body, invalid_submission.field
                );
                self.violations.push(text);
            }
        }
    }

    fn job_knowledge(&self, id: &str, asked: u64) -> JobKnowledge {
        let chain = self.job_and_upstream(id);
        let told = |u: &String| self.jobs.get(u).and_then(|j| j.cancellation_confirmed_at);
        JobKnowledge {
            asked,
            is_completed: self.completed(id),
            cancel_asked: chain
                .iter()
                .any(|u| self.jobs.get(u).is_some_and(|j| j.cancel_asked)),
            upstream_cancelled: chain.iter().filter(|u| *u != id).filter_map(told).min(),
            upstream_accepted: chain.iter().all(|u| {
                self.jobs
                    .get(u)
                    .is_some_and(|j| u == id || j.accepted.is_some())
            }),
            has_upstream: chain.len() > 1,
        }
    }

    /// Checks that no valid job is refused: a job without upstream jobs, or one whose upstream jobs were all accepted.
    /// Also checks that no job stays pending or running past the cancellation deadline of one of its upstream jobs.
    fn check_status(
        &mut self,
        id: &str,
        what: &str,
        body: &Value,
        response: &Response,
        known: &JobKnowledge,
    ) {
        let status = body["status"].as_str().unwrap_or("");
        if matches!(response.status, 400 | 422) && what == "submit" && !known.has_upstream {
            self.violations
                .push(format!("refused: {id} gets {}", response.status));
        }
        if response.status == 200 && matches!(status, "pending" | "running") {
            // The deadline counts from the time at which the user was told of the cancellation, or from this job's
            // acceptance if that is later.
            let accepted = self.jobs[id].accepted.unwrap_or(self.now);
            let since = known.upstream_cancelled.map(|t| t.max(accepted));
            if since.is_some_and(|t| known.asked > t + CANCEL_DEADLINE) {
                self.violations.push(format!("orphaned: {id} is {status}"));
            }
        }
        if response.status == 422 && known.upstream_accepted && known.has_upstream {
            self.violations.push(format!(
                "forgotten: {id} gets 422 although all its upstream jobs were accepted"
            ));
        }
    }

    /// Records the status that a user is told, and checks that it never goes back to an earlier one.
    fn on_job_answer(&mut self, id: &str, what: &str, body: &Value, known: &JobKnowledge) {
        let now = self.now;
        let status = body["status"].as_str().unwrap_or("").to_string();
        let Some(j) = self.jobs.get_mut(id) else {
            return;
        };
        let answers_expected_since = self.answers_expected_since.max(j.accepted.unwrap_or(now));
        self.unanswered = self
            .unanswered
            .max(now - j.answered.max(answers_expected_since));
        j.answered = now;
        if what == "submit" {
            j.accepted.get_or_insert(now);
            if !known.upstream_accepted {
                self.violations.push(format!(
                    "invented: {id} is accepted although one of its upstream jobs is not"
                ));
            }
        }
        if what == "poll" {
            let ids = body["waits_on"].as_array().into_iter().flatten();
            j.waits_on = ids.filter_map(Value::as_str).map(String::from).collect();
            j.polls += 1;
        }
        // Answers may overtake one another, so an older status is a violation only if the request was sent after the
        // user was told of the end.
        let knew = |told: Option<u64>| told.is_some_and(|t| t < known.asked);
        if (knew(j.done_confirmed_at) && status != "done")
            || (knew(j.cancellation_confirmed_at) && status != "cancelled")
            || (status == "cancelled" && !known.cancel_asked)
        {
            self.violations.push(format!("went_back: {id} is {status}"));
        } else if (j.done_confirmed_at.is_some() && status != "done")
            || (j.cancellation_confirmed_at.is_some() && status != "cancelled")
        {
            self.counters.overtaken_answers += 1;
        }
        self.on_job_end(id, status, known);
    }

    /// Records that a user is told of a job's end, and checks that a job is never both done and cancelled.
    fn on_job_end(&mut self, id: &str, status: String, known: &JobKnowledge) {
        let now = self.now;
        let Some(j) = self.jobs.get_mut(id) else {
            return;
        };
        if status == "done" {
            if !known.is_completed {
                self.violations.push(format!(
                    "not_done: {id} is reported as done before all its tasks are"
                ));
            }
            j.done_confirmed_at.get_or_insert(now);
        }
        if status == "cancelled" {
            j.cancellation_confirmed_at.get_or_insert(now);
        }
        // A job has only one end, so this is a violation even if answers overtook one another.
        if j.done_confirmed_at.is_some() && j.cancellation_confirmed_at.is_some() {
            self.violations.push(format!(
                "two ends: {id} is reported as done and as cancelled"
            ));
        }
        j.status = status;
    }
}
