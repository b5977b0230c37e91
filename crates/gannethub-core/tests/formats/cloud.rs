//! Requests to the cloud, and the answers of the cloud.

use gannethub_core::model::{MachineType, Resources, SECOND};
use gannethub_core::wire::cloud::{self, CloudRequest, MachineList, ProvisionAnswer};

use crate::pin;

fn cloud_request(request: &CloudRequest) -> String {
    let CloudRequest { method, path, body } = request;
    let body = std::str::from_utf8(body).unwrap();
    format!("{} {path} {body}", method.as_str())
}

#[test]
fn cloud_requests() {
    pin(
        &cloud_request(&CloudRequest::machine_types()),
        "GET /flavors ",
    );
    pin(
        &cloud_request(&CloudRequest::list_machines("")),
        "GET /rentals?page=500 ",
    );
    pin(
        &cloud_request(&CloudRequest::list_machines("host-000231")),
        "GET /rentals?from=host-000231&page=500 ",
    );
    let provision_request = CloudRequest::provision("n0-7-1", "g8", "a", true, 4);
    pin(
        &cloud_request(&provision_request),
        r#"POST /rentals {"hire":"n0-7-1","rig":"g8","yard":"a","loaners":true,"how_many":4}"#,
    );
    let machines = ["host-000231".to_string(), "host-000232".to_string()];
    pin(
        &cloud_request(&CloudRequest::delete_machines(&machines)),
        r#"POST /rentals/delete {"hosts":["host-000231","host-000232"]}"#,
    );
}

#[test]
fn cloud_answer_machine_types() {
    let text = br#"{"rigs":[{"label":"g8","vcpus":96.0,"cards":8.0,"mem_gb":768.0,"fetch_gb_per_s":2.0,"price":30.0,
        "spot_price":9.0,"boot_s":45.0,"yards":["a","b"]},{"label":"s","vcpus":4.0,"mem_gb":16.0,"price":0.2}]}"#;
    let large = MachineType {
        name: "g8".into(),
        capacity: Resources::new(96.0, 8.0, 768.0),
        price: 30.0,
        spot_price: 9.0,
        boot_time: 45 * SECOND,
        fetch_gb_per_s: 2.0,
        zones: vec!["a".into(), "b".into()],
    };
    let small = MachineType {
        name: "s".into(),
        capacity: Resources::new(4.0, 0.0, 16.0),
        price: 0.2,
        spot_price: 0.2,
        boot_time: 0,
        fetch_gb_per_s: 1.0,
        zones: Vec::new(),
    };
    assert_eq!(cloud::parse_machine_types(text), Some(vec![large, small]));
    assert_eq!(cloud::parse_machine_types(br#"{"rigs":[]}"#), None);
}

#[test]
fn cloud_answer_provisioned() {
    let provisioned: ProvisionAnswer =
        serde_json::from_str(r#"{"hosts":["host-000231"]}"#).unwrap();
    assert_eq!(provisioned.machines, ["host-000231"]);
}

#[test]
fn cloud_answer_list() {
    let text = r#"{"hosts":[{"id":"host-000231","rig":"g8","yard":"a","loaners":true,"status":"ready",
        "held_s":12.5},{"id":"host-000232","rig":"s","yard":"b"}],"truncated":true}"#;
    let list: MachineList = serde_json::from_str(text).unwrap();
    let [first, second] = &list.machines[..] else {
        panic!("two machines");
    };
    assert!(list.truncated);
    assert_eq!((&*first.id, &*first.machine_type), ("host-000231", "g8"));
    assert_eq!((&*first.zone, first.spot), ("a", true));
    assert_eq!((&*first.status, first.age_s), ("ready", 12.5));
    assert_eq!(
        (second.spot, &*second.status, second.age_s),
        (false, "", 0.0)
    );
}
