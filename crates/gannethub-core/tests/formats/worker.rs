//! Heartbeats of workers, the answers of controllers, and commands that controllers push to workers.

use gannethub_core::wire::worker::{
    CommandsRequest, ExitReason, HeartbeatRedirect, HeartbeatResponse, Order, TaskState,
    WorkerHeartbeat,
};

use crate::{json, pin};

#[test]
fn worker_heartbeat() {
    let text = r#"{"host":"host-000231","addr":"10.1.0.7:9000","rig":"g8","yard":"a","loaners":true,"shift":17,
        "tally":18,"baton":7,"warning_s":12.5,"new":1,"pieces":[
        {"piece":"j-7/0","try_no":1,"status":"fetching"},
        {"piece":"j-7/1","try_no":2,"status":"gathering"},
        {"piece":"j-7/2","try_no":3,"status":"running"},
        {"piece":"j-7/3","try_no":4,"status":"saving"},
        {"piece":"j-7/4","try_no":5,"status":"ended","cause":"stopped","kept":true}]}"#;
    let heartbeat: WorkerHeartbeat<'_> = serde_json::from_str(text).unwrap();
    let WorkerHeartbeat {
        machine,
        address: worker_address,
        machine_type: type_name,
        zone,
        spot,
        incarnation: worker_incarnation,
        sequence: heartbeat_sequence,
        token,
        preemption_notice_s: notice_s,
        tasks,
    } = heartbeat;
    assert_eq!(
        (&*machine, &*worker_address),
        ("host-000231", "10.1.0.7:9000")
    );
    assert_eq!((&*type_name, &*zone, spot), ("g8", "a", true));
    assert_eq!(
        (worker_incarnation, heartbeat_sequence, token, notice_s),
        (17, 18, 7, Some(12.5))
    );
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
fn worker_heartbeat_without_optional_fields() {
    let text = r#"{"host":"m","rig":"g8","yard":"a","shift":17,"tally":18}"#;
    let heartbeat: WorkerHeartbeat<'_> = serde_json::from_str(text).unwrap();
    assert_eq!(
        (&*heartbeat.address, heartbeat.spot, heartbeat.token),
        ("", false, 0)
    );
    assert_eq!(
        (heartbeat.preemption_notice_s, heartbeat.tasks.len()),
        (None, 0)
    );
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
fn worker_heartbeat_response() {
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
fn worker_heartbeat_redirect() {
    let redirect_target = Some("n1");
    pin(
        &json(&HeartbeatRedirect {
            controller: redirect_target,
        }),
        r#"{"foreman":"n1"}"#,
    );
    pin(&json(&HeartbeatRedirect { controller: None }), "{}");
}
