//! Admission: checks whether a job can ever run in this cluster.

use std::collections::BTreeSet;

use super::refusal::Refusal;
use crate::model::{JobSpec, MachineType, Resources, Shape, Team};

fn impossible<T>(field: &str, reason: &str) -> Result<T, Refusal> {
    Err(Refusal::Impossible(format!("{field}: {reason}")))
}

/// Checks that a job can run in this cluster, and reduces its list of machine types to those that its tasks fit on.
pub fn admit(
    spec: &mut JobSpec,
    teams: &[Team],
    machine_types: &[MachineType],
) -> Result<(), Refusal> {
    if machine_types.is_empty() {
        return Err(Refusal::MachineTypesUnknown);
    }
    let is_job_team = |team: &&Team| team.name == spec.team && !team.is_removed;
    let Some(team) = teams.iter().find(is_job_team) else {
        return impossible("crew", "no such team");
    };
    let fitting = fitting_machine_types(spec, machine_types)?;
    check_team_limit(spec, team)?;
    check_spread(spec, &fitting)?;
    if let Some(types) = &mut spec.machine_types {
        types.retain(|name| fitting.iter().any(|fitting| *fitting.name == **name));
        types.sort();
        types.dedup();
    }
    Ok(())
}

/// Returns the machine types that the job allows, that are offered in a zone where the job may run, and that one of
/// the job's tasks fits on.
fn fitting_machine_types<'a>(
    spec: &JobSpec,
    machine_types: &'a [MachineType],
) -> Result<Vec<&'a MachineType>, Refusal> {
    let is_named = |machine_type: &&MachineType| match &spec.machine_types {
        Some(names) => names.iter().any(|name| **name == *machine_type.name),
        None => true,
    };
    let mut allowed: Vec<&MachineType> = machine_types.iter().filter(is_named).collect();
    if allowed.is_empty() {
        return impossible("rigs", "there is no such machine type");
    }
    if let Some(zone) = &spec.zone {
        allowed.retain(|machine_type| machine_type.zones.contains(zone));
    }
    if allowed.is_empty() {
        return impossible("yard", "no allowed machine type is in that zone");
    }
    let fits = |machine_type: &&&MachineType| spec.resources.fits(&machine_type.capacity);
    let fitting: Vec<&MachineType> = allowed.iter().filter(fits).copied().collect();
    if fitting.is_empty() {
        let sizes: Vec<&Resources> = allowed.iter().map(|allowed| &allowed.capacity).collect();
        let field = exceeded_field(&spec.resources, &sizes);
        return impossible(field, "a task fits no allowed machine type");
    }
    Ok(fitting)
}

/// Returns the minimum number of a job's tasks that run at the same time.
fn tasks_at_once(spec: &JobSpec) -> u32 {
    match spec.shape {
        Shape::Array => 1,
        Shape::Gang | Shape::Service => spec.tasks,
    }
}

fn check_team_limit(spec: &JobSpec, team: &Team) -> Result<(), Refusal> {
    let fits = |need: &Resources| Team::fits_within(&team.limit, &Resources::default(), need);
    if !fits(&spec.resources) {
        let field = exceeded_field(&spec.resources, &[&team.limit]);
        return impossible(field, "a task needs more than its team's limit");
    }
    let at_once = i64::from(tasks_at_once(spec));
    if !fits(&spec.resources.scaled_by(at_once)) {
        return impossible("pieces", "the job needs more than its team's limit");
    }
    Ok(())
}

/// Checks that a spread job has enough zones. A zone may run at most half of a spread job's tasks, rounded up. A job
/// whose tasks all run at the same time therefore needs two zones, unless it has only one task.
fn check_spread(spec: &JobSpec, fitting: &[&MachineType]) -> Result<(), Refusal> {
    if !spec.spread || tasks_at_once(spec) <= 1 {
        return Ok(());
    }
    let zones: BTreeSet<&String> = fitting
        .iter()
        .flat_map(|machine_type| &machine_type.zones)
        .filter(|zone| spec.zone.as_ref().is_none_or(|only| only == *zone))
        .collect();
    if spec.single_zone || zones.len() < 2 {
        let reason = "the job's tasks cannot all run at the same time in one zone";
        return impossible("scatter", reason);
    }
    Ok(())
}

/// Returns the field whose amount in `need` exceeds that of every size. If no single field does and only the
/// combination exceeds the sizes, returns all fields.
fn exceeded_field(need: &Resources, sizes: &[&Resources]) -> &'static str {
    let largest = |amount: fn(&Resources) -> i64| {
        let amounts = sizes.iter().map(|size| amount(size));
        amounts.max().unwrap_or(0)
    };
    if need.cpu > largest(|size| size.cpu) {
        "vcpus"
    } else if need.gpu > largest(|size| size.gpu) {
        "cards"
    } else if need.memory > largest(|size| size.memory) {
        "mem_gb"
    } else {
        "vcpus, cards, mem_gb"
    }
}
