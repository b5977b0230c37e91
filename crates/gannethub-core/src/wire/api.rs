//! Wire format of the user API: routes, submissions and responses.

mod admission;
mod refusal;
mod routes;
mod submission;

use serde::Serialize;

use crate::http::Response;
use crate::model::JobId;

pub use self::admission::admit;
pub use self::refusal::Refusal;
pub use self::routes::{Route, route};
pub use self::submission::{MAX_TASKS, Submission, parse_json_object, parse_submission};

/// Maximum number of a job's upstream jobs that a response lists.
const MAX_SHOWN_UPSTREAM_JOBS: usize = 100;

/// The status of a job in responses to users.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum JobStatus {
    Pending,
    Running,
    Done,
    Cancelled,
}

/// A job as shown to its user.
#[derive(Clone, Debug, PartialEq)]
pub struct JobView {
    pub status: JobStatus,
    /// Number of finished tasks.
    pub done: u32,
    /// Number of tasks on machines.
    pub running: u32,
    /// Upstream jobs that have to be done before the job starts.
    pub waits_on: Vec<JobId>,
}

impl JobView {
    /// Creates the view of a job that has no running tasks and waits for no other job.
    pub fn new(status: JobStatus, done: u32) -> JobView {
        JobView {
            status,
            done,
            running: 0,
            waits_on: Vec::new(),
        }
    }
}

/// Builds the response that describes a job.
pub fn job_response(status: u16, id: &str, view: &JobView) -> Response {
    #[derive(Serialize)]
    struct Body<'a> {
        id: &'a str,
        status: JobStatus,
        done: u32,
        running: u32,
        #[serde(skip_serializing_if = "Vec::is_empty")]
        waits_on: Vec<&'a str>,
    }
    let shown = view.waits_on.iter().take(MAX_SHOWN_UPSTREAM_JOBS);
    let body = Body {
        id,
        status: view.status,
        done: view.done,
        running: view.running,
        waits_on: shown.map(|id| &**id).collect(),
    };
    Response::json(status, &body)
}

#[cfg(test)]
mod tests;
