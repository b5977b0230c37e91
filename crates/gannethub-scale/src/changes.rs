//! Operators of a run. The operators change the configuration and measure the time until each version is in force at
//! all controllers.

use std::cell::RefCell;
use std::net::SocketAddrV4;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

use gannethub::config::store::{Author, ConfigError, ConfigStore};
use gannethub::core::configuration::{Document, TeamEntry};
use gannethub::core::settings::Settings;
use gannethub::files::{FileError, read_settings};
use gannethub::http::{Client, Method};
use serde::{Deserialize, Serialize};
use tokio::time::sleep;

use crate::load::{ConfigChange, team_name};
use crate::record::{LimitEntry, Record};
use crate::report::Times;
use crate::role::RunClock;

/// Interval at which controllers are polled while a version is not in force at all of them.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Timeout of a poll of one controller.
const POLL_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum time for which a version is polled, in microseconds. A version that is not in force at all controllers by
/// then is counted as never in force.
const MAX_POLL_TIME: u64 = 60_000_000;
/// Maximum time for which a controller may act on an older version after a new version was stored, in microseconds.
const MAX_OLDER_VERSION_TIME: u64 = 7_000_000;
/// Maximum time after [`MAX_OLDER_VERSION_TIME`] in which a controller's answer may still reach a worker, in
/// microseconds.
const MAX_ANSWER_DELAY: u64 = 4_000_000;
/// Factor by which each change lowers a team's limit.
const LIMIT_FACTOR: f64 = 0.75;

/// Outcome of the configuration changes of a run.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct ChangesReport {
    /// Number of versions that were stored.
    pub stored: u64,
    /// Number of changes that could not be stored.
    pub failed: u64,
    /// Time from when a version was stored until all controllers that answered had the version in force.
    pub in_force: Times,
    /// Number of versions that were not in force at all controllers after 60 s.
    pub never_in_force: u64,
    /// Number of controllers that would have acted on an older version more than 7 s after a new version was stored,
    /// summed over all new versions.
    pub acted_on_older: u64,
}

/// Changes the configuration during a run and measures when each version is in force.
pub struct Operators {
    pub clock: RunClock,
    pub controllers: Vec<SocketAddrV4>,
    pub state: Client,
    pub base: Settings,
    pub record: Rc<RefCell<Record>>,
    /// Time that a worker takes to fetch an image, in microseconds.
    pub fetch_time: u64,
    outcome: RefCell<Outcome>,
}

#[derive(Default)]
struct Outcome {
    report: ChangesReport,
    times: Vec<u64>,
    limits: Vec<f64>,
}

#[derive(Deserialize)]
struct ConfigStatus {
    version: u64,
    fresh: bool,
}

impl Operators {
    pub fn new(
        clock: RunClock,
        controllers: Vec<SocketAddrV4>,
        state: SocketAddrV4,
        platform: &Path,
        record: Rc<RefCell<Record>>,
        fetch_time: u64,
    ) -> Result<Operators, FileError> {
        let (base, _) = read_settings(platform)?;
        let limits = base
            .teams
            .iter()
            .map(|t| TeamEntry::of(t).cpus_max)
            .collect();
        let outcome = RefCell::new(Outcome {
            limits,
            ..Outcome::default()
        });
        let state = Client::new(state);
        Ok(Operators {
            clock,
            controllers,
            state,
            base,
            record,
            fetch_time,
            outcome,
        })
    }

    /// Makes a series of changes. Each change is made at its time, whether or not the change before is in force.
    pub async fn make_changes(self: Rc<Self>, series: ConfigChange, began: u64) {
        for i in 0..series.count {
            let at = began + ((series.at_s + series.every_s * f64::from(i)) * 1e6) as u64;
            sleep(Duration::from_micros(at.saturating_sub(self.clock.now()))).await;
            match self.store_lowered_limit().await {
                Ok(version) => {
                    let stored = self.clock.now();
                    self.outcome.borrow_mut().report.stored += 1;
                    tokio::task::spawn_local(self.clone().poll_until_in_force(version, stored));
                }
                Err(e) => {
                    eprintln!("cannot store a configuration change: {e}");
                    self.outcome.borrow_mut().report.failed += 1;
                }
            }
        }
    }

    /// Stores a configuration that names all teams and lowers the limit of one of them. Successive versions lower the
    /// limits of successive teams. Returns the version.
    async fn store_lowered_limit(&self) -> Result<u64, ConfigError> {
        let store = ConfigStore {
            client: &self.state,
            base: &self.base,
        };
        let current = store.current().await?;
        let team = current.version() as usize % self.base.teams.len();
        let lowered = {
            let limits = &mut self.outcome.borrow_mut().limits;
            limits[team] = (limits[team] * LIMIT_FACTOR).floor();
            limits[team]
        };
        let document = self.document();
        let author = Author {
            name: "operators".into(),
            reason: format!("{} needs less", team_name(team)),
            changed_at: self.clock.now(),
            nonce: current.version(),
        };
        let record = store.store(&current, document, &author).await?;
        let enforced_from =
            self.clock.now() + MAX_OLDER_VERSION_TIME + MAX_ANSWER_DELAY + self.fetch_time;
        let limit = LimitEntry {
            at: enforced_from,
            cpus: lowered,
        };
        self.record.borrow_mut().limits[team].push(limit);
        Ok(record.version)
    }

    fn document(&self) -> Document {
        let outcome = self.outcome.borrow();
        let teams = self
            .base
            .teams
            .iter()
            .zip(&outcome.limits)
            .map(|(team, limit)| {
                let entry = TeamEntry::of(team);
                TeamEntry {
                    cpus: entry.cpus.min(*limit),
                    cpus_max: *limit,
                    ..entry
                }
            });
        Document {
            teams: teams.collect(),
            ..Document::default()
        }
    }

    /// Polls all controllers until every controller that answers has the version in force, for at most
    /// [`MAX_POLL_TIME`] microseconds.
    async fn poll_until_in_force(self: Rc<Self>, version: u64, stored: u64) {
        let mut acted_on_older = vec![false; self.controllers.len()];
        while self.clock.now() < stored + MAX_POLL_TIME {
            let (mut answered, mut outdated) = (0, 0);
            for (i, addr) in self.controllers.iter().enumerate() {
                let client = Client::new(*addr);
                let answer = client
                    .call(Method::Get, "/api/config", b"", POLL_TIMEOUT)
                    .await;
                let status = answer
                    .ok()
                    .and_then(|answer| answer.decode::<ConfigStatus>());
                let Some(status) = status else { continue };
                answered += 1;
                outdated += usize::from(status.version < version);
                let now = self.clock.now();
                acted_on_older[i] |= status.version < version
                    && status.fresh
                    && now > stored + MAX_OLDER_VERSION_TIME;
            }
            if outdated == 0 && answered > 0 {
                let elapsed = self.clock.now() - stored;
                self.outcome.borrow_mut().times.push(elapsed);
                self.count_acted_on_older(&acted_on_older);
                return;
            }
            sleep(POLL_INTERVAL).await;
        }
        self.outcome.borrow_mut().report.never_in_force += 1;
        self.count_acted_on_older(&acted_on_older);
    }

    fn count_acted_on_older(&self, acted_on_older: &[bool]) {
        let count = acted_on_older.iter().filter(|l| **l).count();
        self.outcome.borrow_mut().report.acted_on_older += count as u64;
    }

    pub fn report(&self) -> ChangesReport {
        let outcome = self.outcome.borrow();
        ChangesReport {
            in_force: Times::of(outcome.times.iter().copied()),
            ..outcome.report.clone()
        }
    }
}
