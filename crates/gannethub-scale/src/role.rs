//! Code that the processes of a run share: the run's clock, the runtime, and the messages between the driver and its
//! child processes.

use std::io::Write;
use std::time::{SystemTime, UNIX_EPOCH};

use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::sync::mpsc;
use tokio::task::spawn_local;

use crate::messages::Epoch;

/// Maximum number of commands that wait in a process's queue.
pub const COMMAND_QUEUE_LENGTH: usize = 8192;

/// The run's clock. It is the same in all processes of the run, because they are on one machine.
#[derive(Clone, Copy)]
pub struct RunClock(pub Epoch);

impl RunClock {
    /// Starts a clock now.
    pub fn begin() -> RunClock {
        RunClock(wall_clock_us())
    }

    /// Returns the time in microseconds since the run's clock began.
    pub fn now(self) -> u64 {
        wall_clock_us().saturating_sub(self.0)
    }
}

/// Returns the system time in microseconds since 1970.
fn wall_clock_us() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |d| d.as_micros() as u64)
}

/// Runs all work of a process on one thread.
pub fn run_local<F: Future>(work: F) -> std::io::Result<F::Output> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    Ok(tokio::task::LocalSet::new().block_on(&runtime, work))
}

/// Passes the driver's messages to the child's queue. The process exits when its standard input ends, because the
/// driver has ended then and sends no more messages.
pub fn read_from_driver<M, C>(queue: mpsc::Sender<C>, wrap: fn(M) -> C)
where
    M: DeserializeOwned + 'static,
    C: 'static,
{
    spawn_local(async move {
        let mut lines = BufReader::new(tokio::io::stdin()).lines();
        while let Ok(Some(line)) = lines.next_line().await {
            match serde_json::from_str(&line) {
                Ok(message) => {
                    if queue.send(wrap(message)).await.is_err() {
                        break;
                    }
                }
                Err(e) => eprintln!("cannot parse message from the driver: {e}"),
            }
        }
        std::process::exit(0);
    });
}

/// Sends a message to the driver. The process exits if the driver has closed the pipe.
pub fn send_to_driver(message: &impl Serialize) {
    let Ok(mut line) = serde_json::to_vec(message) else {
        return;
    };
    line.push(b'\n');
    let mut out = std::io::stdout().lock();
    if out.write_all(&line).and_then(|()| out.flush()).is_err() {
        // The driver has ended.
        std::process::exit(0);
    }
}
