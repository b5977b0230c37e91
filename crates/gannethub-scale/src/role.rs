//! What the child processes of a run share: its clock, and the lines that go to and from the driver.

use std::io::Write;
use std::time::{SystemTime, UNIX_EPOCH};

use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::sync::mpsc;
use tokio::task::spawn_local;

use crate::messages::Epoch;

/// Commands that may wait for the owner of a child's state.
pub const QUEUE: usize = 8192;

/// The run's clock, the same in all its processes: they are on one machine.
#[derive(Clone, Copy)]
pub struct RunClock(pub Epoch);

impl RunClock {
    /// A clock that begins now.
    pub fn begin() -> RunClock {
        RunClock(wall())
    }

    /// Microseconds since the run's clock began.
    pub fn now(self) -> u64 {
        wall().saturating_sub(self.0)
    }
}

fn wall() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |d| d.as_micros() as u64)
}

/// Runs a child's work on one thread.
pub fn run_local<F: Future>(work: F) -> std::io::Result<F::Output> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    Ok(tokio::task::LocalSet::new().block_on(&runtime, work))
}

/// Hands what the driver says to the child's owner. The process ends with its driver: no line will come any more.
pub fn read_driver<M, C>(queue: mpsc::Sender<C>, wrap: fn(M) -> C)
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
                Err(e) => eprintln!("a line of the driver makes no sense: {e}"),
            }
        }
        std::process::exit(0);
    });
}

/// Tells the driver something.
pub fn tell(message: &impl Serialize) {
    let Ok(mut line) = serde_json::to_vec(message) else {
        return;
    };
    line.push(b'\n');
    let mut out = std::io::stdout().lock();
    if out.write_all(&line).and_then(|()| out.flush()).is_err() {
        // Nobody listens any more.
        std::process::exit(0);
    }
}
