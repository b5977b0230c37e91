//! Operators of a run: they change the configuration and see how long each version takes to be in force everywhere.

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
use crate::record::{LimitFrom, Record};
use crate::report::Times;
use crate::role::RunClock;

/// How often controllers are asked while a version is not in force everywhere, and how long an answer may take.
const ASK_EVERY: Duration = Duration::from_millis(100);
const PATIENCE: Duration = Duration::from_secs(1);
/// A version that is not in force everywhere after this time is given up, in microseconds.
const GIVEN_UP: u64 = 60_000_000;
/// No controller acts by an older version for longer than this after one was stored, in microseconds.
const EVERYWHERE: u64 = 7_000_000;
/// How long after that an answer may still reach a worker, in microseconds.
const ANSWERS: u64 = 4_000_000;
/// A team's limit is lowered to this part of it.
const LOWERED: f64 = 0.75;

/// What came of the changes.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct ChangesReport {
    pub stored: u64,
    pub failed: u64,
    /// From the time at which a version was stored until all controllers that answered had it in force.
    pub in_force: Times,
    pub never_in_force: u64,
    /// Controllers that would have acted by an older version more than seven seconds after one was stored.
    pub acted_on_older: u64,
}

/// The operators' side of a run.
pub struct Operators {
    pub clock: RunClock,
    pub controllers: Vec<SocketAddrV4>,
    pub state: Client,
    pub base: Settings,
    pub record: Rc<RefCell<Record>>,
    /// How long a worker fetches an image, in microseconds.
    pub fetch: u64,
    seen: RefCell<Seen>,
}

#[derive(Default)]
struct Seen {
    report: ChangesReport,
    took: Vec<u64>,
    limits: Vec<f64>,
}

#[derive(Deserialize)]
struct Told {
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
        fetch: u64,
    ) -> Result<Operators, FileError> {
        let (base, _) = read_settings(platform)?;
        let limits = base
            .teams
            .iter()
            .map(|t| TeamEntry::of(t).cpus_max)
            .collect();
        let seen = RefCell::new(Seen {
            limits,
            ..Seen::default()
        });
        let state = Client::new(state);
        Ok(Operators {
            clock,
            controllers,
            state,
            base,
            record,
            fetch,
            seen,
        })
    }

    /// Makes a row of changes, each whether or not the one before is in force.
    pub async fn change(self: Rc<Self>, row: ConfigChange, began: u64) {
        for i in 0..row.count {
            let at = began + ((row.at_s + row.every_s * f64::from(i)) * 1e6) as u64;
            sleep(Duration::from_micros(at.saturating_sub(self.clock.now()))).await;
            match self.store().await {
                Ok(version) => {
                    let stored = self.clock.now();
                    self.seen.borrow_mut().report.stored += 1;
                    tokio::task::spawn_local(self.clone().follow(version, stored));
                }
                Err(e) => {
                    eprintln!("a change of the configuration failed: {e}");
                    self.seen.borrow_mut().report.failed += 1;
                }
            }
        }
    }

    /// Lowers the next team's limit, in a document that names all teams.
    async fn store(&self) -> Result<u64, ConfigError> {
        let store = ConfigStore {
            client: &self.state,
            base: &self.base,
        };
        let current = store.current().await?;
        let team = current.version() as usize % self.base.teams.len();
        let lowered = {
            let limits = &mut self.seen.borrow_mut().limits;
            limits[team] = (limits[team] * LOWERED).floor();
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
        let counts_from = self.clock.now() + EVERYWHERE + ANSWERS + self.fetch;
        let limit = LimitFrom {
            at: counts_from,
            cpus: lowered,
        };
        self.record.borrow_mut().limits[team].push(limit);
        Ok(record.version)
    }

    fn document(&self) -> Document {
        let seen = self.seen.borrow();
        let teams = self
            .base
            .teams
            .iter()
            .zip(&seen.limits)
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

    /// Asks all controllers until each that answers has a version in force.
    async fn follow(self: Rc<Self>, version: u64, stored: u64) {
        let mut late = vec![false; self.controllers.len()];
        while self.clock.now() < stored + GIVEN_UP {
            let (mut answered, mut behind) = (0, 0);
            for (i, addr) in self.controllers.iter().enumerate() {
                let client = Client::new(*addr);
                let answer = client.call(Method::Get, "/api/config", b"", PATIENCE).await;
                let told = answer.ok().and_then(|answer| answer.decode::<Told>());
                let Some(told) = told else { continue };
                answered += 1;
                behind += usize::from(told.version < version);
                let now = self.clock.now();
                late[i] |= told.version < version && told.fresh && now > stored + EVERYWHERE;
            }
            if behind == 0 && answered > 0 {
                let took = self.clock.now() - stored;
                self.seen.borrow_mut().took.push(took);
                self.count_late(&late);
                return;
            }
            sleep(ASK_EVERY).await;
        }
        self.seen.borrow_mut().report.never_in_force += 1;
        self.count_late(&late);
    }

    fn count_late(&self, late: &[bool]) {
        let count = late.iter().filter(|l| **l).count();
        self.seen.borrow_mut().report.acted_on_older += count as u64;
    }

    pub fn report(&self) -> ChangesReport {
        let seen = self.seen.borrow();
        ChangesReport {
            in_force: Times::of(seen.took.iter().copied()),
            ..seen.report.clone()
        }
    }
}
