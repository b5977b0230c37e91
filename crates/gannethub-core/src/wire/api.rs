//! The users' interface: submissions read and checked, answers written.

use std::collections::BTreeSet;

use serde::Serialize;
use serde_json::{Map, Value};

use crate::http::Response;
use crate::model::{
    JobId, JobSpec, MachineType, Micros, Priority, Resources, Shape, Team, is_valid_job_id,
    micros_from_seconds,
};

/// The most tasks a job may have.
pub const MAX_TASKS: u32 = 100_000;
const MAX_NAME_BYTES: usize = 128;
/// An answer names so many of the jobs that one waits for.
const MAX_SHOWN_DEPENDENCIES: usize = 100;

/// What a user is told about a job.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum JobStatus {
    Pending,
    Running,
    Done,
    Cancelled,
}

#[derive(Clone, Debug, PartialEq)]
pub struct JobView {
    pub status: JobStatus,
    pub done: u32,
    pub running: u32,
    /// Jobs that have to be done before it begins.
    pub waits_on: Vec<JobId>,
}

impl JobView {
    pub fn new(status: JobStatus, done: u32) -> JobView {
        JobView {
            status,
            done,
            running: 0,
            waits_on: Vec::new(),
        }
    }
}

/// A submission that was read.
#[derive(Clone, Debug, PartialEq)]
pub struct Submission {
    pub spec: JobSpec,
    /// Jobs that it waits for, each once.
    pub waits_on: Vec<JobId>,
    /// The version of the configuration that it was checked under.
    pub configuration_version: u64,
}

/// The body of an answer about a job.
pub fn job_response(code: u16, id: &str, view: &JobView) -> Response {
    #[derive(Serialize)]
    struct Wire<'a> {
        id: &'a str,
        status: &'a str,
        done: u32,
        running: u32,
        #[serde(skip_serializing_if = "Vec::is_empty")]
        waits_on: Vec<&'a str>,
    }
    let status = match view.status {
        JobStatus::Pending => "pending",
        JobStatus::Running => "running",
        JobStatus::Done => "done",
        JobStatus::Cancelled => "cancelled",
    };
    let waits_on = view
        .waits_on
        .iter()
        .take(MAX_SHOWN_DEPENDENCIES)
        .map(|id| &**id)
        .collect();
    Response::json(
        code,
        &Wire {
            id,
            status,
            done: view.done,
            running: view.running,
            waits_on,
        },
    )
}

/// Why a submission is refused.
#[derive(Debug, thiserror::Error, PartialEq)]
pub enum Refusal {
    #[error("{0}")]
    Malformed(String),
    #[error("{0}")]
    Impossible(String),
    #[error("the machine types are not known yet")]
    MachineTypesUnknown,
    #[error("the configuration is changing")]
    ConfigurationChanging,
}

fn malformed<T>(field: &str, reason: &str) -> Result<T, Refusal> {
    Err(Refusal::Malformed(format!("{field}: {reason}")))
}

struct Fields<'a>(&'a Map<String, Value>);

impl Fields<'_> {
    fn get(&self, field: &str) -> Option<&Value> {
        self.0.get(field).filter(|v| !v.is_null())
    }

    fn text(&self, field: &str) -> Result<String, Refusal> {
        match self.get(field).and_then(Value::as_str) {
            Some(s) if !s.is_empty() && s.len() <= MAX_NAME_BYTES => Ok(s.to_string()),
            Some(_) => malformed(field, "must have 1 to 128 bytes"),
            None => malformed(field, "a string is needed"),
        }
    }

    fn amount(&self, field: &str) -> Result<f64, Refusal> {
        match self.get(field).and_then(Value::as_f64) {
            Some(x) if (0.0..=1e7).contains(&x) => Ok(x),
            Some(_) => malformed(field, "out of range"),
            None => malformed(field, "a number is needed"),
        }
    }

    fn flag(&self, field: &str) -> Result<bool, Refusal> {
        self.get(field)
            .and_then(Value::as_bool)
            .map_or_else(|| malformed(field, "true or false"), Ok)
    }
}

/// The JSON object of a submission, and its id if it has a valid one.
pub fn parse_json_object(body: &[u8]) -> Result<(Map<String, Value>, Option<JobId>), Refusal> {
    let Ok(Value::Object(map)) = serde_json::from_slice(body) else {
        return Err(Refusal::Malformed("the body is not a JSON object".into()));
    };
    let id = map
        .get("id")
        .and_then(Value::as_str)
        .filter(|id| is_valid_job_id(id))
        .map(JobId::from);
    Ok((map, id))
}

/// Reads the list of jobs that a job waits for.
fn parse_waits_on(f: &Fields<'_>) -> Result<Vec<JobId>, Refusal> {
    let own = f.get("id").and_then(Value::as_str);
    let mut ids = BTreeSet::new();
    match f.get("waits_on") {
        None => {}
        Some(Value::Array(list)) => {
            for id in list {
                match id.as_str().filter(|id| is_valid_job_id(id)) {
                    Some(id) if own == Some(id) => {
                        return malformed("waits_on", "a job cannot wait for itself");
                    }
                    Some(id) => ids.insert(JobId::from(id)),
                    None => {
                        return malformed("waits_on", "a list of job ids like j-000412 is needed");
                    }
                };
            }
        }
        Some(_) => return malformed("waits_on", "a list of job ids or null"),
    }
    Ok(ids.into_iter().collect())
}

/// Reads a submission. Nothing here depends on the cluster.
pub fn parse_submission(map: &Map<String, Value>) -> Result<Submission, Refusal> {
    let f = Fields(map);
    if !f
        .get("id")
        .and_then(Value::as_str)
        .is_some_and(is_valid_job_id)
    {
        return malformed("id", "a job id like j-000412 is needed");
    }
    let waits_on = parse_waits_on(&f)?;
    Ok(Submission {
        spec: parse_spec(&f)?,
        waits_on,
        configuration_version: 0,
    })
}

fn parse_spec(f: &Fields<'_>) -> Result<JobSpec, Refusal> {
    let shape = match f.text("shape")?.as_str() {
        "array" => Shape::Array,
        "group" => Shape::Gang,
        "service" => Shape::Service,
        _ => return malformed("shape", "array, group or service"),
    };
    let priority = match f.text("rank")?.as_str() {
        "production" => Priority::Production,
        "urgent" => Priority::High,
        "normal" => Priority::Normal,
        "low" => Priority::Low,
        _ => return malformed("rank", "production, urgent, normal or low"),
    };
    let tasks = match f.get("pieces").and_then(Value::as_u64) {
        Some(n) if (1..=u64::from(MAX_TASKS)).contains(&n) => n as u32,
        _ => return malformed("pieces", "a whole number from 1 to 100000"),
    };
    let types = match f.get("rigs") {
        None => None,
        Some(Value::Array(list)) if !list.is_empty() => {
            let names = list.iter().map(|v| v.as_str().map(str::to_string));
            match names.collect::<Option<Vec<_>>>() {
                Some(names) => Some(names),
                None => return malformed("rigs", "a list of names or null"),
            }
        }
        Some(_) => return malformed("rigs", "a list of names or null"),
    };
    let zone = if f.get("yard").is_some() {
        Some(f.text("yard")?)
    } else {
        None
    };
    let deadline = match f.get("due_s") {
        Some(_) => Some(micros_from_seconds(f.amount("due_s")?)),
        None => None,
    };
    let duration =
        |field: &str| -> Result<Micros, Refusal> { f.amount(field).map(micros_from_seconds) };
    Ok(JobSpec {
        class: f.text("jobclass")?,
        team: f.text("crew")?,
        shape,
        priority,
        tasks,
        need: Resources::new(f.amount("vcpus")?, f.amount("cards")?, f.amount("mem_gb")?),
        image: f.text("build")?,
        image_gb: f.amount("size_gb")?,
        types,
        zone,
        one_zone: f.flag("together")?,
        spread: f.flag("scatter")?,
        spot: f.flag("loaners")?,
        estimate: duration("guess_s")?,
        checkpoint_every: duration("stamp_every_s")?,
        save: duration("stamp_s")?,
        deadline,
    })
}

/// The field that asks for more than any of these has; all of them, if only together they do.
fn exceeded_field(need: &Resources, sizes: &[&Resources]) -> &'static str {
    let most = |part: fn(&Resources) -> i64| sizes.iter().map(|s| part(s)).max().unwrap_or(0);
    if need.cpu > most(|s| s.cpu) {
        "vcpus"
    } else if need.gpu > most(|s| s.gpu) {
        "cards"
    } else if need.mem > most(|s| s.mem) {
        "mem_gb"
    } else {
        "vcpus, cards, mem_gb"
    }
}

/// Whether a job can ever run here. Narrows its list of types to those that exist.
pub fn admit(spec: &mut JobSpec, teams: &[Team], flavors: &[MachineType]) -> Result<(), Refusal> {
    if flavors.is_empty() {
        return Err(Refusal::MachineTypesUnknown);
    }
    let never = |reason: &str| Err(Refusal::Impossible(reason.into()));
    let Some(team) = teams.iter().find(|t| t.name == spec.team && !t.closed) else {
        return never("crew: no such team");
    };
    let typed = |f: &&MachineType| {
        spec.types
            .as_ref()
            .is_none_or(|t| t.iter().any(|t| **t == *f.name))
    };
    let placed = |f: &&MachineType| spec.zone.as_ref().is_none_or(|z| f.zones.contains(z));
    let allowed: Vec<&MachineType> = flavors.iter().filter(typed).collect();
    if allowed.is_empty() {
        return never("rigs: there is no such machine type");
    }
    let allowed: Vec<&MachineType> = allowed.into_iter().filter(placed).collect();
    if allowed.is_empty() {
        return never("yard: no allowed machine type is in that zone");
    }
    let fitting: Vec<&MachineType> = allowed
        .iter()
        .copied()
        .filter(|f| spec.need.fits(&f.size))
        .collect();
    if fitting.is_empty() {
        let sizes: Vec<&Resources> = allowed.iter().map(|f| &f.size).collect();
        let field = exceeded_field(&spec.need, &sizes);
        return never(&format!("{field}: a task fits no allowed machine type"));
    }
    let at_once = if spec.shape == Shape::Array {
        1
    } else {
        i64::from(spec.tasks)
    };
    if !Team::within(&team.limit, &Resources::default(), &spec.need) {
        let field = exceeded_field(&spec.need, &[&team.limit]);
        return never(&format!("{field}: a task needs more than its team's limit"));
    }
    if !Team::within(
        &team.limit,
        &Resources::default(),
        &spec.need.scaled_by(at_once),
    ) {
        return never("pieces: the job needs more than its team's limit");
    }
    // Half of the tasks at the most may be in a zone: all of them at once need two. Tasks of an array run in turn.
    if spec.spread && at_once > 1 {
        let zones = fitting.iter().flat_map(|f| &f.zones);
        let zones: BTreeSet<&String> = zones
            .filter(|z| spec.zone.as_ref().is_none_or(|own| own == *z))
            .collect();
        if spec.one_zone || zones.len() < 2 {
            return never("scatter: the job's tasks cannot all run at the same time in one zone");
        }
    }
    let fitting: Vec<String> = fitting.iter().map(|f| f.name.to_string()).collect();
    if let Some(types) = &mut spec.types {
        types.retain(|t| fitting.contains(t));
        types.sort();
        types.dedup();
    }
    Ok(())
}

/// What a request to the users' interface asks for.
#[derive(Debug, PartialEq)]
pub enum Route<'a> {
    Health,
    /// Which version of the configuration is in force here and at the siblings.
    Configuration,
    Heartbeat,
    Submit,
    Query(&'a str),
    Cancel(&'a str),
    /// The ledger's head, or a page of it; of one team only if it is named.
    Ledger {
        page: Option<u64>,
        team: Option<&'a str>,
    },
}

/// Reads what is asked of the ledger.
fn parse_ledger_query(query: &str) -> Result<Route<'_>, Response> {
    let (mut page, mut team) = (None, None);
    for (name, value) in query.split('&').filter_map(|p| p.split_once('=')) {
        match name {
            "page" => match value.parse::<u64>() {
                Ok(n) => page = Some(n),
                Err(_) => return Err(Response::error(400, "page: a whole number is needed")),
            },
            "team" => team = Some(value),
            _ => {}
        }
    }
    if team.is_some() && page.is_none() {
        return Err(Response::error(400, "page: it is needed with a team"));
    }
    Ok(Route::Ledger { page, team })
}

/// Finds out what a request is for, or how to refuse it.
pub fn route(method: crate::http::Method, path: &str) -> Result<Route<'_>, Response> {
    use crate::http::Method::{Get, Post};
    let (path, query) = path.split_once('?').unwrap_or((path, ""));
    let (route, needed) = match path {
        "/api/ledger" => (parse_ledger_query(query)?, Get),
        "/healthz" => (Route::Health, Get),
        "/api/config" => (Route::Configuration, Get),
        "/v1/report" => (Route::Heartbeat, Post),
        "/api/jobs" => (Route::Submit, Post),
        _ => match path.strip_prefix("/api/jobs/") {
            Some(rest) => match rest.strip_suffix("/cancel") {
                Some(id) => (Route::Cancel(id), Post),
                None => (Route::Query(rest), Get),
            },
            None => return Err(Response::error(404, "no such resource")),
        },
    };
    if method != needed {
        return Err(Response::error(
            405,
            "this resource does not take that method",
        ));
    }
    Ok(route)
}

#[cfg(test)]
pub(crate) mod tests;
