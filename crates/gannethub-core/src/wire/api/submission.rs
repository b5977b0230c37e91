//! Parsing of submissions, with all checks that do not depend on the cluster.

use std::collections::BTreeSet;

use serde_json::{Map, Value};

use super::refusal::Refusal;
use crate::model::{
    JobId, JobSpec, Micros, Priority, Resources, Shape, is_valid_job_id, micros_from_seconds,
};

/// Maximum number of tasks in a job.
pub const MAX_TASKS: u32 = 100_000;
/// Maximum length of a string in a submission, in bytes. The text of the refusal repeats this number.
const MAX_NAME_BYTES: usize = 128;
/// Largest number accepted in a submission.
const MAX_AMOUNT: f64 = 1e7;

/// A parsed submission.
#[derive(Clone, Debug, PartialEq)]
pub struct Submission {
    pub spec: JobSpec,
    /// Upstream jobs that the job waits for, sorted and without duplicates.
    pub waits_on: Vec<JobId>,
    /// The configuration version that the submission was checked against; 0 before that check.
    pub configuration_version: u64,
}

fn malformed<T>(field: &str, reason: &str) -> Result<T, Refusal> {
    Err(Refusal::Malformed(format!("{field}: {reason}")))
}

/// The fields of a submission. A null field counts as missing.
struct Fields<'a>(&'a Map<String, Value>);

impl Fields<'_> {
    fn get(&self, field: &str) -> Option<&Value> {
        self.0.get(field).filter(|value| !value.is_null())
    }

    fn text(&self, field: &str) -> Result<String, Refusal> {
        match self.get(field).and_then(Value::as_str) {
            Some(text) if (1..=MAX_NAME_BYTES).contains(&text.len()) => Ok(text.to_string()),
            Some(_) => malformed(field, "must have 1 to 128 bytes"),
            None => malformed(field, "a string is needed"),
        }
    }

    fn amount(&self, field: &str) -> Result<f64, Refusal> {
        match self.get(field).and_then(Value::as_f64) {
            Some(amount) if (0.0..=MAX_AMOUNT).contains(&amount) => Ok(amount),
            Some(_) => malformed(field, "out of range"),
            None => malformed(field, "a number is needed"),
        }
    }

    fn duration(&self, field: &str) -> Result<Micros, Refusal> {
        self.amount(field).map(micros_from_seconds)
    }

    fn flag(&self, field: &str) -> Result<bool, Refusal> {
        match self.get(field).and_then(Value::as_bool) {
            Some(flag) => Ok(flag),
            None => malformed(field, "true or false"),
        }
    }

    /// Reads a field with `read`, or returns `None` if the field is missing.
    fn optional<T>(
        &self,
        field: &str,
        read: impl FnOnce(&Self, &str) -> Result<T, Refusal>,
    ) -> Result<Option<T>, Refusal> {
        self.get(field).map(|_| read(self, field)).transpose()
    }
}

/// Parses the body of a submission. Returns the JSON object, and the job id if the object has a valid one.
pub fn parse_json_object(body: &[u8]) -> Result<(Map<String, Value>, Option<JobId>), Refusal> {
    let Ok(Value::Object(object)) = serde_json::from_slice(body) else {
        return Err(Refusal::Malformed("the body is not a JSON object".into()));
    };
    let id = object
        .get("id")
        .and_then(Value::as_str)
        .filter(|id| is_valid_job_id(id))
        .map(JobId::from);
    Ok((object, id))
}

/// Parses a submission. The error names the first invalid field.
pub fn parse_submission(object: &Map<String, Value>) -> Result<Submission, Refusal> {
    let fields = Fields(object);
    let id = fields.get("id").and_then(Value::as_str);
    let Some(id) = id.filter(|id| is_valid_job_id(id)) else {
        return malformed("id", "a job id like j-000412 is needed");
    };
    let waits_on = parse_waits_on(&fields, id)?;
    Ok(Submission {
        spec: parse_spec(&fields)?,
        waits_on,
        configuration_version: 0,
    })
}

/// Parses the list of upstream jobs that the job `own_id` waits for.
fn parse_waits_on(fields: &Fields<'_>, own_id: &str) -> Result<Vec<JobId>, Refusal> {
    const FIELD: &str = "waits_on";
    let list = match fields.get(FIELD) {
        None => return Ok(Vec::new()),
        Some(Value::Array(list)) => list,
        Some(_) => return malformed(FIELD, "a list of job ids or null"),
    };
    let mut ids = BTreeSet::new();
    for id in list {
        match id.as_str().filter(|id| is_valid_job_id(id)) {
            Some(id) if id == own_id => return malformed(FIELD, "a job cannot wait for itself"),
            Some(id) => ids.insert(JobId::from(id)),
            None => return malformed(FIELD, "a list of job ids like j-000412 is needed"),
        };
    }
    Ok(ids.into_iter().collect())
}

fn parse_spec(fields: &Fields<'_>) -> Result<JobSpec, Refusal> {
    let shape = parse_shape(fields)?;
    let priority = parse_priority(fields)?;
    let tasks = parse_tasks(fields)?;
    let types = parse_machine_types(fields)?;
    let zone = fields.optional("yard", Fields::text)?;
    let deadline = fields.optional("due_s", Fields::duration)?;
    Ok(JobSpec {
        class: fields.text("jobclass")?,
        team: fields.text("crew")?,
        shape,
        priority,
        tasks,
        resources: Resources::new(
            fields.amount("vcpus")?,
            fields.amount("cards")?,
            fields.amount("mem_gb")?,
        ),
        image: fields.text("build")?,
        image_size_gb: fields.amount("size_gb")?,
        machine_types: types,
        zone,
        single_zone: fields.flag("together")?,
        spread: fields.flag("scatter")?,
        spot: fields.flag("loaners")?,
        run_time_estimate: fields.duration("guess_s")?,
        checkpoint_interval: fields.duration("stamp_every_s")?,
        save_time: fields.duration("stamp_s")?,
        deadline,
    })
}

fn parse_shape(fields: &Fields<'_>) -> Result<Shape, Refusal> {
    match fields.text("shape")?.as_str() {
        "array" => Ok(Shape::Array),
        "group" => Ok(Shape::Gang),
        "service" => Ok(Shape::Service),
        _ => malformed("shape", "array, group or service"),
    }
}

fn parse_priority(fields: &Fields<'_>) -> Result<Priority, Refusal> {
    match fields.text("rank")?.as_str() {
        "production" => Ok(Priority::Production),
        "urgent" => Ok(Priority::High),
        "normal" => Ok(Priority::Normal),
        "low" => Ok(Priority::Low),
        _ => malformed("rank", "production, urgent, normal or low"),
    }
}

fn parse_tasks(fields: &Fields<'_>) -> Result<u32, Refusal> {
    match fields.get("pieces").and_then(Value::as_u64) {
        Some(tasks) if (1..=u64::from(MAX_TASKS)).contains(&tasks) => Ok(tasks as u32),
        _ => malformed("pieces", "a whole number from 1 to 100000"),
    }
}

/// Parses the machine types that the job may run on; `None` if any type is allowed.
fn parse_machine_types(fields: &Fields<'_>) -> Result<Option<Vec<String>>, Refusal> {
    let names = match fields.get("rigs") {
        None => return Ok(None),
        Some(Value::Array(list)) if !list.is_empty() => list
            .iter()
            .map(|name| name.as_str().map(str::to_string))
            .collect(),
        Some(_) => None,
    };
    match names {
        Some(names) => Ok(Some(names)),
        None => malformed("rigs", "a list of names or null"),
    }
}
