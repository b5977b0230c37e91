//! The ports of a run, and the controllers' settings files as a platform would write them.

use std::fmt::Write;
use std::net::{Ipv4Addr, SocketAddrV4, TcpListener};
use std::path::Path;

use crate::load::{Load, team_name, zone_name};
use crate::options::RunOptions;
use crate::state_role;

/// Memory of a controller in its settings, in MB.
const MEMORY_MB: f64 = 512.0;
/// Maximum number of a controller's open sockets in its settings.
const MAX_CONNECTIONS: f64 = 8000.0;

/// Range of ports that outgoing connections never take by chance, so that a controller that was killed can bind its
/// ports again.
const PORT_RANGE: std::ops::Range<u16> = 10_000..30_000;

/// Returns ports of [`PORT_RANGE`] that are not in use now. The search begins at a port that depends on the process
/// id, so that runs that start at the same time begin at different ports.
fn free_ports(count: usize) -> std::io::Result<Vec<u16>> {
    let offset = std::process::id().wrapping_mul(61) % u32::from(PORT_RANGE.end - PORT_RANGE.start);
    let candidates = PORT_RANGE
        .cycle()
        .skip(offset as usize)
        .take(PORT_RANGE.len());
    let free = candidates.filter(|port| TcpListener::bind((Ipv4Addr::LOCALHOST, *port)).is_ok());
    let ports: Vec<u16> = free.take(count).collect();
    match ports.len() == count {
        true => Ok(ports),
        false => Err(std::io::Error::other(format!(
            "cannot find {count} free ports in {PORT_RANGE:?}"
        ))),
    }
}

/// The ports of all processes of a run.
#[derive(Clone, Debug)]
pub struct Ports {
    /// Port of each controller for users' requests and workers' heartbeats.
    pub users: Vec<u16>,
    /// Port of each controller for connections from its peers.
    pub cluster: Vec<u16>,
    pub state: u16,
    pub cloud: u16,
    /// Port at which every worker takes commands, each worker at its own address.
    pub workers: u16,
}

impl Ports {
    /// Finds free ports for a run with this number of controllers.
    pub fn find(controllers: usize) -> std::io::Result<Ports> {
        let ports = free_ports(2 * controllers + 3)?;
        let (users, rest) = ports.split_at(controllers);
        let (cluster, rest) = rest.split_at(controllers);
        Ok(Ports {
            users: users.to_vec(),
            cluster: cluster.to_vec(),
            state: rest[0],
            cloud: rest[1],
            workers: rest[2],
        })
    }

    /// Returns the addresses at which the controllers take users' requests and workers' heartbeats.
    pub fn controllers(&self) -> Vec<SocketAddrV4> {
        self.users
            .iter()
            .map(|p| SocketAddrV4::new(Ipv4Addr::LOCALHOST, *p))
            .collect()
    }
}

/// Returns the guarantee and the limit of a team, in processors.
pub fn team_cpus(options: &RunOptions, load: &Load) -> (f64, f64) {
    let total_cpus = options.workers as f64 * load.machine.cpus;
    let guarantee = (total_cpus * load.teams.guaranteed / options.teams as f64)
        .floor()
        .max(1.0);
    let largest_gang = f64::from(options.gang);
    (
        guarantee,
        (guarantee * load.teams.limit_times)
            .max(largest_gang)
            .floor(),
    )
}

/// Returns the machine types, as the body of the cloud's answer to `GET /flavors`.
pub fn flavors(options: &RunOptions, load: &Load) -> serde_json::Value {
    let machine = &load.machine;
    let zones: Vec<String> = (0..options.zones).map(zone_name).collect();
    serde_json::json!({"rigs": [{"label": machine.name, "vcpus": machine.cpus, "cards": 0,
        "mem_gb": machine.memory_gb, "cache_gb": 50, "fetch_gb_per_s": 0.5,
        "price": machine.price, "spot_price": machine.price * 0.4, "boot_s": machine.boot_s[1],
        "yards": zones}]})
}

/// Writes the settings file of each controller.
pub fn write_settings(
    dir: &Path,
    options: &RunOptions,
    load: &Load,
    ports: &Ports,
) -> std::io::Result<()> {
    let shared = shared_settings(options, load);
    for node in 0..options.controllers {
        let text = node_settings(node, options, ports) + &shared;
        std::fs::write(dir.join(format!("n{node}.toml")), text)?;
    }
    Ok(())
}

fn node_settings(node: usize, options: &RunOptions, ports: &Ports) -> String {
    let zone = |node: usize| zone_name(node % options.zones);
    let mut text = format!(
        "host_name = \"n{node}\"\narea = \"{}\"\nbind = \"127.0.0.1:{}\"\n\
         cluster_listen = \"127.0.0.1:{}\"\n",
        zone(node),
        ports.users[node],
        ports.cluster[node]
    );
    for other in (0..options.controllers).filter(|other| *other != node) {
        let _ = write!(
            text,
            "[[siblings]]\nhost_name = \"n{other}\"\narea = \"{}\"\npeer_addr = \"127.0.0.1:{}\"\n",
            zone(other),
            ports.cluster[other]
        );
    }
    let state = state_role::address(node, ports.state);
    let _ = write!(
        text,
        "[outside]\ncloud = \"127.0.0.1:{}\"\nstate = \"{state}\"\n",
        ports.cloud
    );
    text
}

fn shared_settings(options: &RunOptions, load: &Load) -> String {
    let zones: Vec<String> = (0..options.zones).map(zone_name).collect();
    let (workers, state) = (&load.workers, &load.state);
    let mut text = format!(
        "[cluster]\nzones = {zones:?}\n\
         [cluster.workers]\nreport_s = {:.3}\nlease_s = {:.3}\ngang_wait_s = {:.3}\n\
         gang_peer_s = {:.3}\ncancel_s = {:.3}\n\
         [cluster.state]\nrps = {:.1}\nwrite_rps = {:.1}\nvalue_kb = {:.1}\ntxn_ops = {}\n\
         [cluster.cloud]\nrps = {:.1}\nlist_lag_s = {:.1}\n\
         [cluster.quota]\nmemory_mb = {MEMORY_MB:.1}\nmax_connections = {MAX_CONNECTIONS:.1}\n",
        workers.report_s,
        workers.lease_s,
        workers.gang_wait_s,
        workers.gang_peer_s,
        workers.cancel_s,
        state.rps,
        state.write_rps,
        state.value_kb,
        state.txn_ops,
        load.cloud.rps,
        load.cloud.list_lag_s,
    );
    let (guarantee, limit) = team_cpus(options, load);
    for team in 0..options.teams {
        let name = team_name(team);
        let _ = write!(
            text,
            "[[cluster.teams]]\nname = \"{name}\"\ncpus = {guarantee:.1}\ncpus_max = {limit:.1}\n\
             gpus = 0.0\ngpus_max = 0.0\n"
        );
    }
    for class in &load.classes {
        // The time within which users expect most tasks to start, in seconds, depends on the class's rank.
        let within = match class.rank.as_str() {
            "urgent" => 3.4,
            "low" => 60.0,
            _ => 15.0,
        };
        let _ = write!(
            text,
            "[[cluster.objectives]]\nkind = \"wait\"\nclass = \"{}\"\nwithin_s = {within:.1}\nshare = 0.9\n",
            class.name
        );
    }
    text
}
