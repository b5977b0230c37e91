//! Workers' heartbeats, the answers, and pushed commands.

use gannethub_core::wire::worker::{
    CommandsRequest, ExitReason, HeartbeatRedirect, HeartbeatResponse, Order, TaskState,
    WorkerHeartbeat,
};

use crate::{json, pin};

#[test]
fn worker_report() {
    let text = r#"{"host":"host-000231","addr":"10.1.0.7:9000","rig":"g8","yard":"a","loaners":true,"shift":17,
        "tally":18,"baton":7,"warning_s":12.5,"new":1,"pieces":[
        {"piece":"j-7/0","try_no":1,"status":"fetching"},
        {"piece":"j-7/1","try_no":2,"status":"gathering"},
        {"piece":"j-7/2","try_no":3,"status":"running"},
        {"piece":"j-7/3","try_no":4,"status":"saving"},
        {"piece":"j-7/4","try_no":5,"status":"ended","cause":"stopped","kept":true}]}"#;
    let report: WorkerHeartbeat<'_> = serde_json::from_str(text).unwrap();
    let WorkerHeartbeat {
        machine,
        address: addr,
        machine_type: flavor,
        zone,
        spot,
        incarnation: session,
        sequence: seq,
        token,
        preemption_notice_s: notice_s,
        tasks,
    } = report;
    assert_eq!((&*machine, &*addr), ("host-000231", "10.1.0.7:9000"));
    assert_eq!((&*flavor, &*zone, spot), ("g8", "a", true));
    assert_eq!((session, seq, token, notice_s), (17, 18, 7, Some(12.5)));
    let states = [
        TaskState::Fetching,
        TaskState::Waiting,
        TaskState::Running,
        TaskState::Saving,
        TaskState::Exited,
    ];
    for (i, (task, state)) in tasks.iter().zip(states).enumerate() {
        assert_eq!(task.task, format!("j-7/{i}"));
        assert_eq!((task.attempt, task.state), (i as u64 + 1, state));
    }
    assert_eq!((tasks[0].exit_reason, tasks[0].saved), (None, false));
    assert_eq!(
        (tasks[4].exit_reason, tasks[4].saved),
        (Some(ExitReason::Stopped), true)
    );
    assert_eq!(tasks.len(), 5);
}

#[test]
fn worker_report_without_optional_fields() {
    let text = r#"{"host":"m","rig":"g8","yard":"a","shift":17,"tally":18}"#;
    let report: WorkerHeartbeat<'_> = serde_json::from_str(text).unwrap();
    assert_eq!(
        (&*report.address, report.spot, report.token),
        ("", false, 0)
    );
    assert_eq!((report.preemption_notice_s, report.tasks.len()), (None, 0));
}

#[test]
fn worker_exit_reasons() {
    let reasons = [
        ("done", ExitReason::Done),
        ("stopped", ExitReason::Stopped),
        ("mates_gone", ExitReason::PeersGone),
        ("alone", ExitReason::Alone),
        ("error", ExitReason::Error),
        ("full", ExitReason::InsufficientResources),
        ("in_use", ExitReason::OtherAttemptPresent),
        ("no_such", ExitReason::UnknownTask),
        ("of a later release", ExitReason::Other),
    ];
    for (text, reason) in reasons {
        let read: ExitReason = serde_json::from_str(&format!("{text:?}")).unwrap();
        assert_eq!(read, reason);
    }
}

fn orders() -> [Order; 3] {
    let task = || "j-7/0".to_string();
    [
        Order::Start {
            task: task(),
            attempt: 301,
        },
        Order::Stop {
            task: task(),
            attempt: 302,
            grace_s: 2.5,
        },
        Order::Forget {
            task: task(),
            attempt: 303,
        },
    ]
}

#[test]
fn worker_answer() {
    let answer = HeartbeatResponse {
        token: 7,
        orders: &orders(),
    };
    pin(
        &json(&answer),
        r#"{"baton":7,"orders":[{"verb":"launch","piece":"j-7/0","try_no":301},{"verb":"halt","piece":"j-7/0","try_no":302,"wind_down_s":2.5},{"verb":"forget","piece":"j-7/0","try_no":303}]}"#,
    );
}

#[test]
fn worker_commands() {
    let commands = CommandsRequest {
        token: 7,
        incarnation: 17,
        orders: &orders(),
    };
    pin(
        &json(&commands),
        r#"{"baton":7,"shift":17,"orders":[{"verb":"launch","piece":"j-7/0","try_no":301},{"verb":"halt","piece":"j-7/0","try_no":302,"wind_down_s":2.5},{"verb":"forget","piece":"j-7/0","try_no":303}]}"#,
    );
}

#[test]
fn worker_answer_elsewhere() {
    let report_to = Some("n1");
    pin(
        &json(&HeartbeatRedirect {
            controller: report_to,
        }),
        r#"{"foreman":"n1"}"#,
    );
    pin(&json(&HeartbeatRedirect { controller: None }), "{}");
}
