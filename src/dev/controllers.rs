//! The controller processes and their settings files.

use std::fmt::Write;
use std::fs::{self, File};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

use super::{DevError, WORKER_LEASE_SECONDS};
use crate::files;

const ZONES: [&str; 2] = ["a", "b"];
const LEDGER_SETTINGS: &str = "ledger.toml";
const LEDGER_KEYS: &str = "ledger.keys";

/// The loopback ports of a controller.
pub(super) struct ControllerPorts {
    pub users: u16,
    pub peers: u16,
}

impl ControllerPorts {
    /// Returns the address that users and workers connect to.
    pub fn user_addr(&self) -> SocketAddrV4 {
        SocketAddrV4::new(Ipv4Addr::LOCALHOST, self.users)
    }
}

/// The controller processes. Dropping this value kills all of them.
pub(super) struct Controllers {
    folder: PathBuf,
    /// Processes by controller number; `None` if the controller is not running.
    children: Vec<Option<Child>>,
}

impl Controllers {
    /// Creates the set without starting a process. Controllers read their settings from `folder` and write their logs
    /// there.
    pub fn new(folder: PathBuf, count: usize) -> Controllers {
        Controllers {
            folder,
            children: (0..count).map(|_| None).collect(),
        }
    }

    /// Starts a controller that is not running.
    pub fn start(&mut self, index: usize) -> std::io::Result<()> {
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("n{index}.log")))?;
        let child = Command::new(std::env::current_exe()?)
            .arg("--ledger")
            .arg(self.ledger_settings())
            .arg("--config")
            .arg(self.settings(index))
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()?;
        self.children[index] = Some(child);
        Ok(())
    }

    /// Kills a controller if it is running.
    pub fn kill(&mut self, index: usize) {
        if let Some(mut child) = self.children.get_mut(index).and_then(Option::take) {
            // The kill fails if the process has already exited, which is no error.
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Returns the path of a controller's settings file.
    pub fn settings(&self, index: usize) -> PathBuf {
        settings_file(&self.folder, index)
    }

    /// Returns the path of the ledger settings file.
    pub fn ledger_settings(&self) -> PathBuf {
        self.folder.join(LEDGER_SETTINGS)
    }
}

impl Drop for Controllers {
    fn drop(&mut self) {
        for index in 0..self.children.len() {
            self.kill(index);
        }
    }
}

fn settings_file(folder: &Path, index: usize) -> PathBuf {
    folder.join(format!("n{index}.toml"))
}

/// Writes the settings files of all controllers, and the settings and keys of the ledger.
pub(super) fn write_settings(
    folder: &Path,
    ports: &[ControllerPorts],
    state_port: u16,
    cloud_port: u16,
) -> Result<(), DevError> {
    for index in 0..ports.len() {
        let text = settings_text(index, ports, state_port, cloud_port);
        fs::write(settings_file(folder, index), text)?;
    }
    let keys = folder.join(LEDGER_KEYS);
    files::make_key(&keys, false)?;
    let keys = keys.display().to_string();
    let text = format!("keys = {keys:?}\nhalf_life_s = 600.0\n");
    fs::write(folder.join(LEDGER_SETTINGS), text)?;
    Ok(())
}

fn zone(index: usize) -> &'static str {
    ZONES[index % ZONES.len()]
}

fn settings_text(
    index: usize,
    ports: &[ControllerPorts],
    state_port: u16,
    cloud_port: u16,
) -> String {
    let mut text = format!(
        "host_name = \"n{index}\"\narea = \"{}\"\nbind = \"127.0.0.1:{}\"\n\
         cluster_listen = \"127.0.0.1:{}\"\n[outside]\ncloud = \"127.0.0.1:{cloud_port}\"\n\
         state = \"127.0.0.1:{state_port}\"\n[cluster]\nzones = [\"a\", \"b\"]\n[cluster.workers]\n\
         report_s = 1.0\nlease_s = {WORKER_LEASE_SECONDS}.0\ngang_wait_s = 30.0\ngang_peer_s = 5.0\n\
         cancel_s = 35.0\n[cluster.state]\nrps = 250.0\nwrite_rps = 60.0\nvalue_kb = 16.0\n\
         txn_ops = 16\n[cluster.cloud]\nrps = 5.0\nlist_lag_s = 2.0\n",
        zone(index),
        ports[index].users,
        ports[index].peers
    );
    for team in super::load::TEAMS {
        let _ = write!(
            text,
            "[[cluster.teams]]\nname = \"{team}\"\ncpus = 12.0\ncpus_max = 32.0\n\
             gpus = 2.0\ngpus_max = 8.0\n"
        );
    }
    for (peer, peer_ports) in ports.iter().enumerate().filter(|(peer, _)| *peer != index) {
        let _ = write!(
            text,
            "[[siblings]]\nhost_name = \"n{peer}\"\narea = \"{}\"\npeer_addr = \"127.0.0.1:{}\"\n",
            zone(peer),
            peer_ports.peers
        );
    }
    text
}
