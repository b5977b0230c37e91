//! Compatibility tests that pin every format that outlives a release as literal text or bytes: records and requests
//! of the state service, messages between controllers, requests and answers of workers, users and the cloud, and the
//! settings files.
//!
//! Controllers of different releases share a cluster during an upgrade, and stored records outlive all of them, so a
//! renamed Rust field must not change the wire format. The literals were printed by the code before its names
//! changed. When Rust names change, edit only the Rust names in this folder: a literal that has to change is an
//! incompatible change.

mod cloud;
mod peer;
mod settings;
mod store_records;
mod store_requests;
mod users;
mod worker;

use gannethub_core::model::{JobSpec, Priority, Resources, SECOND, Shape};
use serde::Serialize;

/// Asserts that a written text equals the pinned text. For formats that the code writes, but never reads.
fn pin(actual: &str, pinned: &str) {
    assert_eq!(actual, pinned);
}

fn json(value: &impl Serialize) -> String {
    serde_json::to_string(value).unwrap()
}

fn spec() -> JobSpec {
    JobSpec {
        class: "train".into(),
        team: "blue".into(),
        shape: Shape::Gang,
        priority: Priority::High,
        tasks: 8,
        resources: Resources::new(4.0, 1.0, 64.0),
        image: "img-07".into(),
        image_size_gb: 6.2,
        machine_types: Some(vec!["g8".into()]),
        zone: Some("a".into()),
        single_zone: true,
        spread: false,
        spot: true,
        run_time_estimate: 240 * SECOND,
        checkpoint_interval: 30 * SECOND,
        save_time: 4 * SECOND,
        deadline: Some(900 * SECOND),
    }
}
