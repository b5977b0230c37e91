//! The settings file, and the names of the policy language.

use gannethub_core::model::{Resources, SECOND, Team};
use gannethub_core::policy::Policy;
use gannethub_core::settings::Settings;

use crate::pin;

pub const SETTINGS: &str = r#"
host_name = "n0"
area = "a"
bind = "10.0.0.1:8080"
cluster_listen = "10.0.0.1:8081"
[[siblings]]
host_name = "n1"
area = "b"
peer_addr = "10.0.0.2:8081"
[outside]
cloud = "10.2.0.2:8443"
state = "10.2.0.1:2379"
[cluster]
zones = ["a", "b"]
[[cluster.teams]]
name = "blue"
cpus = 4.0
cpus_max = 12.0
gpus = 2.0
gpus_max = 8.0
[[cluster.objectives]]
kind = "start"
class = "train"
within_s = 5.0
share = 0.95
times = 2.0
[cluster.workers]
report_s = 1.0
lease_s = 10.0
gang_wait_s = 50.0
gang_peer_s = 4.0
cancel_s = 35.0
[cluster.state]
rps = 90.0
write_rps = 30.0
value_kb = 8.0
txn_ops = 12.0
[cluster.state.next]
rps = 80.0
write_rps = 20.0
value_kb = 4.0
txn_ops = 10.0
[cluster.cloud]
rps = 4.0
list_lag_s = 6.0
[cluster.quota]
max_connections = 500.0
cores = 0.5
memory_mb = 256.0
"#;

#[test]
fn settings_file() {
    let (settings, warnings) = Settings::parse(SETTINGS, "platform.toml").unwrap();
    assert!(warnings.is_empty(), "{warnings:?}");
    assert_eq!((&*settings.name, &*settings.zone), ("n0", "a"));
    assert_eq!(settings.listen.to_string(), "10.0.0.1:8080");
    assert_eq!(settings.cluster_listen.to_string(), "10.0.0.1:8081");
    let peer = &settings.peers[0];
    assert_eq!((&*peer.name, &*peer.zone), ("n1", "b"));
    assert_eq!(peer.addr.to_string(), "10.0.0.2:8081");
    assert_eq!(settings.cloud_addr.to_string(), "10.2.0.2:8443");
    assert_eq!(settings.store_addr.to_string(), "10.2.0.1:2379");
    assert_eq!(settings.zones, ["a", "b"]);
    let team = Team {
        name: "blue".into(),
        guarantee: Resources::new(4.0, 2.0, 0.0),
        limit: Resources::new(12.0, 8.0, 0.0),
        is_removed: false,
    };
    assert_eq!(settings.teams, [team]);
    let objective = &settings.objectives[0];
    assert_eq!(
        (&*objective.kind, objective.class.as_deref()),
        ("start", Some("train"))
    );
    assert_eq!(
        (objective.within, objective.share, objective.deadline_factor),
        (5 * SECOND, 0.95, 2.0)
    );
    assert_eq!(
        (settings.heartbeat_interval, settings.lease_duration),
        (SECOND, 10 * SECOND)
    );
    assert_eq!(
        (settings.gang_wait_timeout, settings.gang_peer_timeout),
        (50 * SECOND, 4 * SECOND)
    );
    assert_eq!(settings.cancel_timeout, 35 * SECOND);
    assert_eq!(
        (settings.store_rates.requests, settings.store_rates.changes),
        (90.0, 30.0)
    );
    let next = settings.next_store_rates;
    assert_eq!((next.requests, next.changes), (80.0, 20.0));
    assert_eq!(
        (
            settings.max_value_bytes,
            settings.max_transaction_operations
        ),
        (4096, 10)
    );
    assert_eq!(
        (settings.cloud_rps, settings.max_listing_lag),
        (4.0, 6 * SECOND)
    );
    assert_eq!((settings.max_connections, settings.cores), (500, Some(0.5)));
    assert_eq!(settings.memory_bytes, 256 << 20);
}

#[test]
fn settings_file_without_optional_sections() {
    let text = "host_name = \"n0\"\nbind = \"10.0.0.1:8080\"\ncluster_listen = \"10.0.0.1:8081\"\n\
        [outside]\ncloud = \"10.2.0.2:8443\"\nstate = \"10.2.0.1:2379\"\n";
    let (settings, _) = Settings::parse(text, "platform.toml").unwrap();
    assert_eq!(
        (settings.heartbeat_interval, settings.lease_duration),
        (2 * SECOND, 15 * SECOND)
    );
    assert_eq!(
        (settings.gang_wait_timeout, settings.gang_peer_timeout),
        (60 * SECOND, 5 * SECOND)
    );
    assert_eq!(settings.cancel_timeout, 40 * SECOND);
    assert_eq!(
        (settings.store_rates.requests, settings.store_rates.changes),
        (100.0, 40.0)
    );
    assert_eq!(
        (
            settings.max_value_bytes,
            settings.max_transaction_operations
        ),
        (16_384, 16)
    );
    assert_eq!(
        (settings.cloud_rps, settings.max_listing_lag),
        (3.0, 5 * SECOND)
    );
    assert_eq!((settings.max_connections, settings.cores), (1000, None));
    assert_eq!(settings.memory_bytes, 512 << 20);
}

#[test]
fn policy_names() {
    let text = r#"
        queue_weight = if job.class == "a" and job.team == "b" and job.priority == "low" and job.late
            and job.in_guarantee then job.tasks + job.done + job.cpus + job.age_s + job.slack_s + job.work_s
            + job.run_s + job.share + job.over_share else 0
        plan_slack = 0.5
        patience_s = 7
        use_spot = true
        idle_s = if machine.type == "a" and machine.zone == "b" and machine.spot then machine.cpus
            + machine.price + machine.boot_s + machine.urgent_ago_s + machine.spares else 0
        grant_s = 4
        block_chunk = 20
        decide_steps = 1000
        queue_share = 1
        blocks = 2
        halts_per_s = 3"#;
    Policy::default().with_overrides(text).unwrap();
    pin(
        &Policy::setting_names(text).join(" "),
        "queue_weight plan_slack patience_s use_spot idle_s grant_s block_chunk decide_steps queue_share blocks halts_per_s",
    );
}
