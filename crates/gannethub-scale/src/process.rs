//! Child processes of a run, and the operating system's figures of their resource usage.

use std::path::Path;
use std::process::Stdio;

use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::process::{Child, Command};
use tokio::sync::mpsc;
use tokio::task::spawn_local;

/// A child process that receives and sends messages as lines on its standard input and output.
pub struct ChildProcess {
    child: Child,
    lines: mpsc::UnboundedSender<Vec<u8>>,
}

impl ChildProcess {
    /// Starts a role of this program as a child process. The child's messages are wrapped by `wrap` and sent to
    /// `received`.
    pub fn start<M, C>(
        role: &str,
        arguments: &[String],
        received: mpsc::Sender<C>,
        wrap: impl Fn(M) -> C + 'static,
    ) -> std::io::Result<ChildProcess>
    where
        M: DeserializeOwned + 'static,
        C: 'static,
    {
        let mut child = Command::new(std::env::current_exe()?)
            .arg(role)
            .args(arguments)
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .kill_on_drop(true)
            .spawn()?;
        let missing_pipe = || std::io::Error::other("cannot talk to child process: pipe missing");
        let mut input = child.stdin.take().ok_or_else(missing_pipe)?;
        let output = child.stdout.take().ok_or_else(missing_pipe)?;
        let (lines, mut queued_lines) = mpsc::unbounded_channel::<Vec<u8>>();
        spawn_local(async move {
            while let Some(line) = queued_lines.recv().await {
                // If the child has ended, all further messages are dropped.
                if input.write_all(&line).await.is_err() {
                    return;
                }
            }
        });
        spawn_local(async move {
            let mut output_lines = BufReader::new(output).lines();
            while let Ok(Some(line)) = output_lines.next_line().await {
                let Ok(message) = serde_json::from_str(&line) else {
                    continue;
                };
                if received.send(wrap(message)).await.is_err() {
                    return;
                }
            }
        });
        Ok(ChildProcess { child, lines })
    }

    /// Sends a message to the child. If the child has ended the message is dropped.
    pub fn send(&self, message: &impl Serialize) {
        if let Ok(mut line) = serde_json::to_vec(message) {
            line.push(b'\n');
            let _ = self.lines.send(line);
        }
    }

    pub fn pid(&self) -> Option<u32> {
        self.child.id()
    }

    /// Kills the process at once, and waits until it is gone.
    pub async fn kill(&mut self) {
        let _ = self.child.kill().await;
    }
}

/// A controller process that appends its log to a file.
pub struct ControllerProcess {
    child: Option<Child>,
}

impl ControllerProcess {
    pub fn start(
        program: &Path,
        settings: &Path,
        log: &Path,
    ) -> std::io::Result<ControllerProcess> {
        let log = std::fs::File::options()
            .create(true)
            .append(true)
            .open(log)?;
        let child = Command::new(program)
            .arg("--config")
            .arg(settings)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .kill_on_drop(true)
            .spawn()?;
        Ok(ControllerProcess { child: Some(child) })
    }

    pub fn pid(&self) -> Option<u32> {
        self.child.as_ref().and_then(Child::id)
    }

    /// Whether the process has ended on its own.
    pub fn ended(&mut self) -> bool {
        self.child
            .as_mut()
            .is_some_and(|c| matches!(c.try_wait(), Ok(Some(_))))
    }

    pub async fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill().await;
        }
    }
}

/// Resource usage of a process so far.
#[derive(Clone, Copy, Debug, Default)]
pub struct Usage {
    pub user_s: f64,
    pub system_s: f64,
    /// Peak memory in bytes.
    pub peak_bytes: u64,
    /// Number of open sockets.
    pub sockets: usize,
}

impl Usage {
    /// Returns the usage of a process; `None` if the process no longer exists.
    pub fn of(pid: u32) -> Option<Usage> {
        let process = procfs::process::Process::new(pid as i32).ok()?;
        let stat = process.stat().ok()?;
        let status = process.status().ok()?;
        let ticks = procfs::ticks_per_second() as f64;
        let descriptors = process.fd().ok()?.flatten();
        let socket = |fd: &procfs::process::FDInfo| {
            matches!(fd.target, procfs::process::FDTarget::Socket(_))
        };
        Some(Usage {
            user_s: stat.utime as f64 / ticks,
            system_s: stat.stime as f64 / ticks,
            peak_bytes: status.vmhwm.unwrap_or(0) * 1024,
            sockets: descriptors.filter(socket).count(),
        })
    }

    /// Returns the processor time used since `before`, with the peak memory and the sockets of `self`.
    pub fn since(self, before: Usage) -> Usage {
        Usage {
            user_s: self.user_s - before.user_s,
            system_s: self.system_s - before.system_s,
            ..self
        }
    }
}

/// Returns the number of bytes sent so far from controller to controller on open connections, from the system's own
/// socket statistics; `None` if the statistics are not available. Connections that have been closed are not counted.
pub async fn peer_bytes_sent(ports: &[u16]) -> Option<u64> {
    let output = Command::new("ss").args(["-tinH"]).output().await.ok()?;
    let text = String::from_utf8_lossy(&output.stdout);
    let mut sum = 0;
    let mut lines = text.lines();
    while let Some(head) = lines.next() {
        let Some(details) = lines.next() else { break };
        // Only the connecting side of a connection is counted: the remote end of that side is a controller's port for
        // peers.
        let remote = head
            .split_whitespace()
            .nth(4)
            .and_then(|a| a.rsplit(':').next());
        let port = remote.and_then(|p| p.parse::<u16>().ok());
        if port.is_some_and(|p| ports.contains(&p)) {
            let sent = details
                .split_whitespace()
                .find_map(|f| f.strip_prefix("bytes_sent:"));
            sum += sent.and_then(|n| n.parse::<u64>().ok()).unwrap_or(0);
        }
    }
    Some(sum)
}

/// Returns the processor time that the whole machine has used, and the processor time that was available, in seconds.
pub fn machine_cpu_times() -> Option<(f64, f64)> {
    use procfs::CurrentSI;
    let total = procfs::KernelStats::current().ok()?.total;
    let ticks = procfs::ticks_per_second() as f64;
    let idle = total.idle + total.iowait.unwrap_or(0);
    let busy = total.user
        + total.nice
        + total.system
        + total.irq.unwrap_or(0)
        + total.softirq.unwrap_or(0)
        + total.steal.unwrap_or(0);
    Some((busy as f64 / ticks, (busy + idle) as f64 / ticks))
}

/// Returns the machine's memory in bytes.
pub fn machine_memory() -> Option<u64> {
    use procfs::Current;
    Some(procfs::Meminfo::current().ok()?.mem_total)
}
