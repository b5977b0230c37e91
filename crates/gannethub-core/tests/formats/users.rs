//! Requests that users send to a controller, and the answers of the controller.

use bytes::Bytes;
use gannethub_core::controller::{Clock, Command, Controller, Effect};
use gannethub_core::http::{Answer, Method, Request, Response};
use gannethub_core::model::{MachineType, Priority, Resources, SECOND, Shape, Team, UNLIMITED};
use gannethub_core::settings::{LedgerSetup, Settings};
use gannethub_core::wire::api::{self, JobStatus, JobView, Refusal, Route};
use gannethub_core::wire::cloud;
use gannethub_core::wire::peer::{self, Body, Envelope};

use crate::settings::SETTINGS;
use crate::{pin, spec};

const SUBMISSION: &str = r#"{"id":"j-000412","jobclass":"train","crew":"blue","shape":"group","rank":"urgent",
    "pieces":8,"vcpus":4.0,"cards":1.0,"mem_gb":64.0,"build":"img-07","size_gb":6.2,"rigs":["g8"],"yard":"a",
    "together":true,"scatter":false,"loaners":true,"guess_s":240.0,"stamp_every_s":30.0,"stamp_s":4.0,
    "due_s":900.0,"waits_on":["j-000398"]}"#;

fn submission(text: &str) -> Result<api::Submission, Refusal> {
    let (object, _) = api::parse_json_object(text.as_bytes())?;
    api::parse_submission(&object)
}

#[test]
fn user_submission() {
    let read = submission(SUBMISSION).unwrap();
    assert_eq!(read.spec, spec());
    assert_eq!(read.waits_on, ["j-000398".into()]);
    let shapes = [
        ("array", Shape::Array),
        ("group", Shape::Gang),
        ("service", Shape::Service),
    ];
    for (name, shape) in shapes {
        let text = SUBMISSION.replace("\"group\"", &format!("{name:?}"));
        assert_eq!(submission(&text).unwrap().spec.shape, shape);
    }
    let priorities = [
        ("production", Priority::Production),
        ("urgent", Priority::High),
        ("normal", Priority::Normal),
        ("low", Priority::Low),
    ];
    for (name, priority) in priorities {
        let text = SUBMISSION.replace("\"urgent\"", &format!("{name:?}"));
        assert_eq!(submission(&text).unwrap().spec.priority, priority);
    }
}

fn response(response: &Response) -> String {
    let Response {
        status,
        body,
        retry_after,
    } = response;
    let body = std::str::from_utf8(body).unwrap();
    format!("{status} {body} {retry_after:?}")
}

const MACHINE_TYPES: &[u8] =
    br#"{"rigs":[{"label":"g8","vcpus":96.0,"cards":8.0,"mem_gb":768.0,"price":30.0,"yards":["a"]}]}"#;

#[test]
fn user_refusals() {
    let malformed = submission(&SUBMISSION.replace("\"pieces\":8", "\"pieces\":0"));
    pin(
        &malformed.unwrap_err().to_string(),
        "pieces: a whole number from 1 to 100000",
    );
    let team = Team {
        name: "blue".into(),
        guarantee: Resources::default(),
        limit: Resources::new(1.0, 1.0, 0.0),
        is_removed: false,
    };
    let unlimited = Team {
        limit: Resources {
            cpu: UNLIMITED,
            gpu: UNLIMITED,
            memory: 0,
        },
        ..team.clone()
    };
    let types = cloud::parse_machine_types(MACHINE_TYPES).unwrap();
    let admit = |teams: &[Team], types: &[MachineType]| api::admit(&mut spec(), teams, types);
    pin(
        &admit(&[team], &types).unwrap_err().to_string(),
        "vcpus: a task needs more than its team's limit",
    );
    pin(
        &admit(&[], &types).unwrap_err().to_string(),
        "crew: no such team",
    );
    let not_yet = admit(std::slice::from_ref(&unlimited), &[]);
    pin(
        &not_yet.unwrap_err().to_string(),
        "the machine types are not known yet",
    );
    pin(
        &Refusal::ConfigurationChanging.to_string(),
        "the configuration is changing",
    );
    assert_eq!(admit(&[unlimited], &types), Ok(()));
    pin(
        &response(&Response::error(422, "why").with_retry_after(2)),
        r#"422 {"error":"why"} Some(2)"#,
    );
}

#[test]
fn user_job_view() {
    let mut view = JobView {
        status: JobStatus::Pending,
        done: 1,
        running: 2,
        waits_on: vec!["j-000398".into()],
    };
    pin(
        &response(&api::job_response(201, "j-000412", &view)),
        r#"201 {"id":"j-000412","status":"pending","done":1,"running":2,"waits_on":["j-000398"]} None"#,
    );
    view.waits_on.clear();
    let statuses = [
        (
            JobStatus::Pending,
            r#"200 {"id":"j-000412","status":"pending","done":1,"running":2} None"#,
        ),
        (
            JobStatus::Running,
            r#"200 {"id":"j-000412","status":"running","done":1,"running":2} None"#,
        ),
        (
            JobStatus::Done,
            r#"200 {"id":"j-000412","status":"done","done":1,"running":2} None"#,
        ),
        (
            JobStatus::Cancelled,
            r#"200 {"id":"j-000412","status":"cancelled","done":1,"running":2} None"#,
        ),
    ];
    for (status, pinned) in statuses {
        view.status = status;
        pin(
            &response(&api::job_response(200, "j-000412", &view)),
            pinned,
        );
    }
}

#[test]
fn user_routes() {
    use Method::{Get, Post};
    let routes = [
        (Get, "/healthz", Route::Health),
        (Get, "/api/config", Route::Configuration),
        (Post, "/v1/report", Route::Heartbeat),
        (Post, "/api/jobs", Route::Submit),
        (Get, "/api/jobs/j-7", Route::JobStatus("j-7")),
        (Post, "/api/jobs/j-7/cancel", Route::Cancel("j-7")),
    ];
    for (method, path, route) in routes {
        assert_eq!(api::route(method, path), Ok(route));
    }
    let (page, team) = (None, None);
    assert_eq!(
        api::route(Get, "/api/ledger"),
        Ok(Route::Ledger { page, team })
    );
    let (page, team) = (Some(7), Some("blue"));
    let route = api::route(Get, "/api/ledger?page=7&team=blue");
    assert_eq!(route, Ok(Route::Ledger { page, team }));
    let methods = ["GET", "POST", "DELETE", "OPTIONS"];
    assert_eq!(methods.map(|name| Method::parse(name).as_str()), methods);
}

const LEDGER_SETTINGS: &str = "keys = \"keys.txt\"\nhalf_life_s = 600.0\n";

fn controller() -> Controller {
    let (mut settings, _) = Settings::parse(SETTINGS, "platform.toml").unwrap();
    let default_ledger_shares = settings.default_ledger_shares();
    let ledger =
        gannethub_ledger::Settings::parse(LEDGER_SETTINGS, "ledger.toml", &default_ledger_shares)
            .unwrap();
    let keys = gannethub_ledger::KeyRing::write("k", &[3; 32]);
    settings.ledger = Some(LedgerSetup {
        settings: ledger.into(),
        keys: gannethub_ledger::KeyRing::parse(&keys).unwrap().into(),
    });
    Controller::new(settings.into(), CLOCK)
}

const CLOCK: Clock = Clock {
    now: SECOND,
    unix_time: 1_700_000_000_000_000,
};

/// Returns the answer of a controller to a request when the state service answers each request of the controller with
/// `stored`.
fn answer_to(
    controller: &mut Controller,
    method: Method,
    path: &str,
    stored: (u16, &str),
) -> String {
    let request_command = Command::HttpRequest {
        connection: 5,
        request: Request {
            method,
            path: path.into(),
            body: Bytes::from_static(b"{\"host\":\"m\"}"),
            closes_connection: false,
        },
    };
    let mut commands = vec![request_command];
    while !commands.is_empty() {
        let effects = controller.step(CLOCK, std::mem::take(&mut commands));
        for effect in effects {
            match effect {
                Effect::Reply {
                    connection: 5,
                    response: answer,
                } => return response(&answer),
                Effect::StoreRequest { id, .. } => {
                    let answer = Ok(Answer::new(stored.0, stored.1.to_string()));
                    commands.push(Command::StoreAnswer { id, answer });
                }
                _ => {}
            }
        }
    }
    panic!("{path} has no answer");
}

#[test]
fn user_answer_health() {
    let mut controller = controller();
    let unhealthy = answer_to(&mut controller, Method::Get, "/healthz", (503, "{}"));
    pin(
        &unhealthy,
        r#"503 {"error":"not ready to take requests"} None"#,
    );
}

#[test]
fn user_answer_health_of_a_ready_controller() {
    let mut controller = controller();
    let heartbeat = peer::Heartbeat {
        leading_term: 7,
        store_reachable: true,
        accepts_heartbeats: true,
        ..peer::Heartbeat::default()
    };
    receive_heartbeat(&mut controller, heartbeat);
    let healthy = answer_to(&mut controller, Method::Get, "/healthz", (200, "{}"));
    pin(&healthy, "200 {} None");
}

/// Delivers a heartbeat of the other controller, and answers of the state service and the cloud to every request that
/// follows.
fn receive_heartbeat(controller: &mut Controller, heartbeat: peer::Heartbeat) {
    let message = Envelope {
        from: "n1".into(),
        body: Some(Body::Heartbeat(heartbeat)),
    };
    let effects = controller.step(CLOCK, [Command::PeerMessage(message)]);
    let stored = Bytes::from_static(br#"{"items":[],"ledger_no":1}"#);
    let types = Bytes::from_static(MACHINE_TYPES);
    let answers = effects.into_iter().filter_map(|effect| match effect {
        Effect::StoreRequest { id, .. } => Some(Command::StoreAnswer {
            id,
            answer: Ok(Answer::new(200, stored.clone())),
        }),
        Effect::CloudRequest { id, .. } => Some(Command::CloudAnswer {
            id,
            answer: Ok(Answer::new(200, types.clone())),
        }),
        _ => None,
    });
    controller.step(CLOCK, answers.collect::<Vec<_>>());
}

#[test]
fn user_answer_configuration() {
    let mut controller = controller();
    let answer = answer_to(&mut controller, Method::Get, "/api/config", (503, "{}"));
    pin(
        &answer,
        r#"200 {"version":0,"newest":0,"refused":null,"fresh":false,"known_ms_ago":null,"nodes":[{"name":"n0","heard":true,"version":0},{"name":"n1","heard":false,"version":null}]} None"#,
    );
    let heartbeat = peer::Heartbeat {
        supports_configuration: true,
        configuration_version: 3,
        ..peer::Heartbeat::default()
    };
    receive_heartbeat(&mut controller, heartbeat);
    let answer = answer_to(&mut controller, Method::Get, "/api/config", (503, "{}"));
    pin(
        &answer,
        r#"200 {"version":0,"newest":0,"refused":null,"fresh":false,"known_ms_ago":null,"nodes":[{"name":"n0","heard":true,"version":0},{"name":"n1","heard":true,"version":3}]} None"#,
    );
}

#[test]
fn user_answer_ledger() {
    let head = r#"{"k":"gh/ledger/head","v":{"newest":7,"from":0,"kept":0,"marks":[]},"stamp":41}"#;
    let answer = answer_to(&mut controller(), Method::Get, "/api/ledger", (200, head));
    pin(
        &answer,
        r#"200 {"newest":7,"from":0,"kept":0,"marks":[]} None"#,
    );
    let page = r#"{"k":"gh/ledger/page/000000000007","v":{"page":7,"first":3,"prev":"","key":"k","lines":[[3,"took",4],
        [4,"charge",["blue"]],[5,"charge",["red"]]]},"stamp":41}"#;
    let path = "/api/ledger?page=7&team=blue";
    let answer = answer_to(&mut controller(), Method::Get, path, (200, page));
    pin(
        &answer,
        r#"200 {"page":7,"first":3,"prev":"","key":"k","lines":[[4,"charge",["blue"]]]} None"#,
    );
    let path = "/api/ledger?page=8";
    let answer = answer_to(&mut controller(), Method::Get, path, (404, "{}"));
    pin(
        &answer,
        r#"404 {"error":"page: there is no such page"} None"#,
    );
}

#[test]
fn worker_answer_of_a_controller_without_a_leader() {
    let answer = answer_to(&mut controller(), Method::Post, "/v1/report", (503, "{}"));
    pin(&answer, "421 {} None");
}
