//! Routes of the HTTP API for users and workers.

use crate::http::{Method, Response};

/// The operation that a request asks for.
#[derive(Debug, PartialEq)]
pub enum Route<'a> {
    Health,
    /// The configuration versions in force at this controller and at its peers.
    Configuration,
    /// A worker's heartbeat.
    Heartbeat,
    Submit,
    JobStatus(&'a str),
    Cancel(&'a str),
    /// The ledger's head, or one page of the ledger, limited to the lines of one team if `team` is given.
    Ledger {
        page: Option<u64>,
        team: Option<&'a str>,
    },
}

/// Finds the route of a request. Returns an error response if no route matches.
pub fn route(method: Method, path: &str) -> Result<Route<'_>, Response> {
    let (path, query) = path.split_once('?').unwrap_or((path, ""));
    let (route, expected_method) = match path {
        "/api/ledger" => (parse_ledger_query(query)?, Method::Get),
        "/healthz" => (Route::Health, Method::Get),
        "/api/config" => (Route::Configuration, Method::Get),
        "/v1/report" => (Route::Heartbeat, Method::Post),
        "/api/jobs" => (Route::Submit, Method::Post),
        _ => match path.strip_prefix("/api/jobs/") {
            Some(job) => match job.strip_suffix("/cancel") {
                Some(id) => (Route::Cancel(id), Method::Post),
                None => (Route::JobStatus(job), Method::Get),
            },
            None => return Err(Response::error(404, "no such resource")),
        },
    };
    if method != expected_method {
        let reason = "this resource does not take that method";
        return Err(Response::error(405, reason));
    }
    Ok(route)
}

/// Parses the query of a ledger request. Unknown parameters are ignored.
fn parse_ledger_query(query: &str) -> Result<Route<'_>, Response> {
    let (mut page, mut team) = (None, None);
    for (name, value) in query.split('&').filter_map(|pair| pair.split_once('=')) {
        match name {
            "page" => match value.parse() {
                Ok(number) => page = Some(number),
                Err(_) => return Err(Response::error(400, "page: a whole number is needed")),
            },
            "team" => team = Some(value),
            _ => {}
        }
    }
    if team.is_some() && page.is_none() {
        return Err(Response::error(400, "page: required when a team is given"));
    }
    Ok(Route::Ledger { page, team })
}
