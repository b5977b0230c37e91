//! Starts the child processes of a run.

use super::*;

#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum HostKind {
    Hollow,
    Rack,
    Real,
}

/// Child process with workers.
pub(super) struct HostProcess {
    pub(super) kind: HostKind,
    pub(super) child_process: ChildProcess,
    /// Maximum number of workers in the process.
    pub(super) capacity: usize,
    pub(super) hosts: BTreeSet<String>,
    pub(super) ended: bool,
}

pub(super) fn start_state(
    options: &RunOptions,
    load: &Load,
    ports: &Ports,
    clock: RunClock,
    queue: mpsc::Sender<DriverMessage>,
) -> std::io::Result<ChildProcess> {
    let limits = &load.state;
    let arguments = arguments([
        ("epoch", clock.0.to_string()),
        ("port", ports.state.to_string()),
        ("controllers", options.controllers.to_string()),
        ("rps", limits.rps.to_string()),
        ("write-rps", limits.write_rps.to_string()),
        (
            "value-bytes",
            ((limits.value_kb * 1024.0) as u64).to_string(),
        ),
        ("txn-ops", limits.txn_ops.to_string()),
        ("lag-ms", limits.lag_ms.to_string()),
    ]);
    ChildProcess::start("state", &arguments, queue, DriverMessage::State)
}

pub(super) fn start_cloud(
    options: &RunOptions,
    load: &Load,
    ports: &Ports,
    clock: RunClock,
    queue: mpsc::Sender<DriverMessage>,
) -> std::io::Result<ChildProcess> {
    let [boot_min, boot_max] = load.machine.boot_s.map(|s| (s * 1e6) as u64);
    let arguments = arguments([
        ("epoch", clock.0.to_string()),
        ("port", ports.cloud.to_string()),
        ("worker-port", ports.workers.to_string()),
        ("controllers", options.controllers.to_string()),
        ("capacity", options.workers.to_string()),
        ("flavors", flavors(options, load).to_string()),
        ("boot-least-us", boot_min.to_string()),
        ("boot-most-us", boot_max.max(boot_min + 1).to_string()),
        (
            "list-lag-us",
            ((load.cloud.list_lag_s * 1e6) as u64).to_string(),
        ),
        ("seed", options.seed.to_string()),
    ]);
    ChildProcess::start("cloud", &arguments, queue, DriverMessage::Cloud)
}

pub(super) fn start_hosts(
    options: &RunOptions,
    load: &Load,
    ports: &Ports,
    clock: RunClock,
    queue: &mpsc::Sender<DriverMessage>,
) -> std::io::Result<Vec<HostProcess>> {
    let controllers: Vec<String> = ports.controllers().iter().map(|a| a.to_string()).collect();
    let micros = |s: f64| ((s * 1e6) as u64).to_string();
    let hollow = options.hollow_processes();
    let mut processes = Vec::new();
    for index in 0..hollow + options.real {
        let (kind, capacity) = match index {
            i if i + 1 < hollow => (HostKind::Hollow, HOLLOW_PER_PROCESS),
            i if i < hollow => (HostKind::Rack, options.rack_workers()),
            _ => (HostKind::Real, 1),
        };
        let mut arguments = arguments([
            ("epoch", clock.0.to_string()),
            ("seed", (options.seed + 100 + index as u64).to_string()),
            ("controllers", controllers.join(",")),
            ("worker-port", ports.workers.to_string()),
            ("report-us", micros(load.workers.report_s)),
            ("lease-us", micros(load.workers.lease_s)),
            ("fetch-us", micros(load.workers.fetch_s)),
            ("gang-wait-us", micros(load.workers.gang_wait_s)),
        ]);
        if kind == HostKind::Real {
            arguments.push("--real".into());
        }
        let wrap = move |message| DriverMessage::Hosts(index, message);
        let child_process = ChildProcess::start("hosts", &arguments, queue.clone(), wrap)?;
        processes.push(HostProcess {
            kind,
            child_process,
            capacity,
            hosts: BTreeSet::new(),
            ended: false,
        });
    }
    Ok(processes)
}

fn arguments<const N: usize>(list: [(&str, String); N]) -> Vec<String> {
    list.into_iter()
        .map(|(name, value)| format!("--{name}={value}"))
        .collect()
}
