use super::*;
use crate::http::Method;
use crate::model::{JobSpec, MachineType, Resources};

const JOB: &str = r#"{"id":"j-000412","jobclass":"train","crew":"blue","shape":"group",
    "rank":"urgent","pieces":2,"vcpus":4.0,"cards":1.0,"mem_gb":64.0,"build":"img-07",
    "size_gb":6.2,"rigs":["g8","gone"],"yard":null,"together":true,"scatter":false,
    "loaners":true,"guess_s":240.0,"stamp_every_s":30.0,"stamp_s":4.0,"due_s":900.0,"x":1}"#;

fn machine_type(name: &str, cpus: f64, gpus: f64, mem: f64) -> MachineType {
    MachineType {
        name: name.into(),
        capacity: Resources::new(cpus, gpus, mem),
        price: 0.05 * cpus,
        spot_price: 0.02 * cpus,
        boot_time: 20_000_000,
        fetch_gb_per_s: 1.0,
        zones: vec!["a".into(), "b".into()],
    }
}

fn check(body: &str) -> Result<JobSpec, Refusal> {
    let teams = crate::settings::tests::SAMPLE;
    let (settings, _) = crate::settings::Settings::parse(teams, "f").unwrap();
    let mut spec = parse_submission(&parse_json_object(body.as_bytes())?.0)?.spec;
    admit(
        &mut spec,
        &settings.teams,
        &[machine_type("g8", 96.0, 8.0, 768.0)],
    )?;
    Ok(spec)
}

#[test]
fn submission_is_parsed_without_unknown_machine_types() {
    let spec = check(JOB).unwrap();
    assert_eq!(spec.machine_types, Some(vec!["g8".to_string()]));
    assert_eq!(spec.deadline, Some(900_000_000));
    assert_eq!(spec.resources, Resources::new(4.0, 1.0, 64.0));
    assert!(
        check(&JOB.replace(",\"due_s\":900.0", "")).is_ok(),
        "a null field may be omitted"
    );
}

#[test]
fn malformed_submission_error_names_the_field() {
    for (from, to, field) in [
        ("\"pieces\":2", "\"pieces\":0", "pieces"),
        ("\"pieces\":2", "\"pieces\":2.5", "pieces"),
        ("\"vcpus\":4.0", "\"vcpus\":-4.0", "vcpus"),
        ("\"vcpus\":4.0", "\"vcpus\":1e300", "vcpus"),
        ("\"rank\":\"urgent\"", "\"rank\":\"vip\"", "rank"),
        ("\"together\":true", "\"together\":1", "together"),
        ("j-000412", "412", "id"),
        ("\"build\":\"img-07\"", "\"build\":null", "build"),
    ] {
        match check(&JOB.replace(from, to)) {
            Err(Refusal::Malformed(reason)) => assert!(reason.starts_with(field), "{reason}"),
            other => panic!("{to}: {other:?}"),
        }
    }
    for body in ["[]", "{", "\"x\"", "nan"] {
        assert!(matches!(check(body), Err(Refusal::Malformed(_))));
    }
}

#[test]
fn upstream_jobs_are_parsed_and_deduplicated() {
    let parse = |list: &str| {
        let body = JOB.replace("\"x\":1", &format!("\"waits_on\":{list}"));
        parse_submission(&parse_json_object(body.as_bytes())?.0).map(|s| s.waits_on)
    };
    for none in ["null", "[]"] {
        assert_eq!(parse(none), Ok(Vec::new()));
    }
    let two = parse(r#"["j-000405","j-000398","j-000405"]"#).unwrap();
    assert_eq!(two, [JobId::from("j-000398"), JobId::from("j-000405")]);
    for wrong in [
        "\"j-1\"",
        "[1]",
        "[\"x\"]",
        "{}",
        "[\"j-000412\"]",
        "[null]",
    ] {
        match parse(wrong) {
            Err(Refusal::Malformed(reason)) => assert!(reason.starts_with("waits_on"), "{reason}"),
            other => panic!("{wrong}: {other:?}"),
        }
    }
}

#[test]
fn impossible_jobs_and_unknown_machine_types_are_refused() {
    for (from, to) in [
        ("blue", "green"),
        ("\"pieces\":2", "\"pieces\":4"),
        ("\"mem_gb\":64.0", "\"mem_gb\":999.0"),
        ("\"yard\":null", "\"yard\":\"moon\""),
        ("\"g8\",", ""),
    ] {
        assert!(
            matches!(check(&JOB.replace(from, to)), Err(Refusal::Impossible(_))),
            "{to}"
        );
    }
    let mut spec = check(JOB).unwrap();
    assert_eq!(
        admit(&mut spec, &[], &[]),
        Err(Refusal::MachineTypesUnknown)
    );
}

#[test]
fn routes_check_method_and_query() {
    assert_eq!(
        route(Method::Post, "/api/jobs/j-1/cancel"),
        Ok(Route::Cancel("j-1"))
    );
    assert_eq!(
        route(Method::Get, "/api/jobs/j-1?x=1"),
        Ok(Route::JobStatus("j-1"))
    );
    assert_eq!(route(Method::Get, "/api/jobs").unwrap_err().status, 405);
    assert_eq!(route(Method::Get, "/nothing").unwrap_err().status, 404);
    let page = Route::Ledger {
        page: Some(7),
        team: Some("red"),
    };
    assert_eq!(route(Method::Get, "/api/ledger?page=7&team=red"), Ok(page));
    assert_eq!(
        route(Method::Get, "/api/ledger?page=-1")
            .unwrap_err()
            .status,
        400
    );
    assert_eq!(
        route(Method::Get, "/api/ledger?team=red")
            .unwrap_err()
            .status,
        400
    );
}
