use super::*;

pub const SAMPLE: &str = r#"
host_name = "n0"
area = "a"
bind = "10.0.0.1:8080"
cluster_listen = "10.0.0.1:8081"
future_field = 3
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
name = "red"
cpus = 8.0
cpus_max = 16.0
[[cluster.teams]]
name = "blue"
cpus = 4.0
cpus_max = 12.0
gpus_max = 8.0
[cluster.workers]
report_s = 1.0
lease_s = 10.0
cancel_s = 35.0
"#;

#[test]
fn missing_sections_of_a_valid_file_use_defaults() {
    let (settings, warnings) = Settings::parse(SAMPLE, "f").unwrap();
    assert_eq!(warnings, Vec::<String>::new());
    assert_eq!(settings.lease_duration, 10_000_000);
    assert_eq!(settings.max_value_bytes, 16 * 1024);
    assert_eq!(settings.team("blue"), Some(1));
}

#[test]
fn next_store_limits_cap_sizes_at_once_but_not_rates() {
    let next = "[cluster.state]\ntxn_ops = 8\nvalue_kb = 4.0\n[cluster.state.next]\n\
        write_rps = 18.0\nvalue_kb = 2.0\ntxn_ops = 16\n[cluster.workers]";
    let text = SAMPLE.replace("[cluster.workers]", next);
    let (settings, _) = Settings::parse(&text, "f").unwrap();
    assert_eq!(
        (
            settings.max_value_bytes,
            settings.max_transaction_operations
        ),
        (2048, 8)
    );
    assert_eq!(
        settings.store_rates,
        Rates {
            requests: 100.0,
            changes: 40.0
        }
    );
    assert_eq!(
        settings.next_store_rates,
        Rates {
            requests: 100.0,
            changes: 18.0
        }
    );
}

#[test]
fn error_names_the_field_of_an_invalid_value() {
    let cases = [
        (
            "cpus_max = 16.0",
            "cpus_max = -1.0",
            "cluster.teams[0].cpus_max",
        ),
        ("name = \"blue\"", "name = \"red\"", "cluster.teams[1].name"),
        (
            "host_name = \"n1\"",
            "host_name = \"n0\"",
            "siblings[0].host_name",
        ),
        ("bind = \"10.0.0.1:8080\"", "bind = \"here\"", "bind"),
        ("lease_s = 10.0", "lease_s = nan", "cluster.workers.lease_s"),
        (
            "[cluster.workers]",
            "[cluster.quota]\ncores = 0.0\n[cluster.workers]",
            "cluster.quota.cores",
        ),
        (
            "[cluster.workers]",
            "[cluster.quota]\ncores = nan\n[cluster.workers]",
            "cluster.quota.cores",
        ),
        (
            "[cluster.workers]",
            "[cluster.quota]\ncores = 1e6\n[cluster.workers]",
            "cluster.quota.cores",
        ),
        (
            "[cluster.workers]",
            "[cluster.quota]\nmemory_mb = 0\n[cluster.workers]",
            "cluster.quota.memory_mb",
        ),
        (
            "[cluster.workers]",
            "[cluster.quota]\nmemory_mb = -3.0\n[cluster.workers]",
            "cluster.quota.memory_mb",
        ),
        (
            "[cluster.workers]",
            "[cluster.quota]\nmax_connections = 0\n[cluster.workers]",
            "cluster.quota.max_connections",
        ),
        (
            "[cluster.workers]",
            "[cluster.state.next]\nwrite_rps = 0.0\n[cluster.workers]",
            "cluster.state.next.write_rps",
        ),
    ];
    for (from, to, field) in cases {
        let error = Settings::parse(&SAMPLE.replace(from, to), "f")
            .unwrap_err()
            .to_string();
        assert!(error.starts_with(&format!("f: {field}: ")), "{error}");
    }
    assert!(Settings::parse("host_name = 3", "f").is_err());
}

#[test]
fn scheduling_steps_are_capped_by_cores() {
    let steps = |quota: &str| {
        let text = format!("{SAMPLE}\n[cluster.quota]\n{quota}\n");
        Settings::parse(&text, "f")
            .unwrap()
            .0
            .max_scheduling_steps_per_s()
    };
    assert_eq!(
        steps(""),
        50_000.0,
        "without a number of cores only the policy limits the steps"
    );
    assert_eq!(steps("cores = 0.4"), 50_000.0);
    assert_eq!(steps("cores = 0.02"), 10_000.0);
}

#[test]
fn unusual_but_valid_values_only_cause_warnings() {
    let unusual = SAMPLE
        .replace("cpus = 8.0", "cpus = 80.0")
        .replace("\"b\"\n", "\"zz\"\n");
    let (_, warnings) = Settings::parse(&unusual, "f").unwrap();
    assert_eq!(warnings.len(), 2, "{warnings:?}");
}
