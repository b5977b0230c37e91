//! Following the configuration: which version is in force in this process, and until when it may be acted on.
//!
//! A version is in force everywhere [`FRESH`] after it was stored, at the latest, since a controller acts on a version
//! only for so long after it last knew it to be the newest. That is counted on its own steady clock from when the
//! request was *sent* whose answer said so. Which controller is slow, cut off or unknown to the operator does not matter.
//!
//! | what is done | what keeps it from being done by an older version |
//! | --- | --- |
//! | accepting a job | the transaction has the version's key among its conditions |
//! | answering that a job can never run | only while the version is fresh; else 503 |
//! | placing, and telling a worker to launch | only while the version is fresh, once any version was stored |

use std::collections::VecDeque;
use std::sync::Arc;

use crate::configuration::{Document, OverLimit};
use crate::http::{Answer, CallResult, decode_ok};
use crate::model::{Micros, SECOND};
use crate::settings::Settings;
use crate::wire::configuration::{CURRENT_VERSION_KEY, HISTORY_KEY, HistoryRecord, VersionRecord};
use crate::wire::store::{Change, Listing, StoreRequest, StoredValue};

/// How long after a version was last known to be the newest it may be acted on.
pub(super) const MAX_VERSION_AGE: Micros = 6_500_000;
/// Once a version was stored, what has changed is read at least this often.
pub(super) const CHANGE_READ_INTERVAL: Micros = 2 * SECOND;
/// A read that failed is tried again after this time.
const READ_RETRY_INTERVAL: Micros = 300_000;

/// What is asked of the state service for the configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ConfigurationRead {
    /// The document of the version that is to be tried next.
    Document,
    /// The versions before, since the newest cannot be used.
    History,
}

/// A version as the state service has it.
#[derive(Clone, Debug)]
struct SeenVersion {
    /// The version of the key's last change in the state service, and of the key itself: 0 where it was deleted.
    change_version: u64,
    key_version: u64,
    version: u64,
}

/// Settings that are to be put in force in this process.
#[derive(Debug)]
pub(super) struct NewSettings {
    pub settings: Arc<Settings>,
    pub over_limit: OverLimit,
}

pub(super) struct ConfigWatch {
    /// The platform's settings.
    platform_settings: Arc<Settings>,
    /// The newest version that this process has heard of.
    newest_seen: Option<SeenVersion>,
    /// The version of the key's last change that was dealt with; 0: none was ever seen.
    settled_change: u64,
    /// The version of the key then.
    guard_version: u64,
    /// The version in force here; 0: the platform's settings alone.
    version: u64,
    /// A version of its own process was put in force: it stays where a newer one cannot be used.
    any_in_force: bool,
    /// When the newest version was last known to be the newest.
    confirmed_newest_at: Option<Micros>,
    /// A transaction has failed on the version's key at this time: there is a newer one.
    unconfirmed_at: Option<Micros>,
    /// The newest version that a sibling has told of.
    newest_peer_version: u64,
    /// Versions to be tried, the newest first.
    candidates: VecDeque<VersionRecord>,
    /// The versions before are to be read: none of the candidates can be used.
    needs_history: bool,
    read_in_flight: bool,
    read_at: Micros,
    /// Why the newest version is not in force.
    rejection: Option<String>,
}

impl ConfigWatch {
    pub fn new(platform_settings: Arc<Settings>) -> ConfigWatch {
        ConfigWatch {
            platform_settings,
            newest_seen: None,
            settled_change: 0,
            guard_version: 0,
            version: 0,
            any_in_force: false,
            confirmed_newest_at: None,
            unconfirmed_at: None,
            newest_peer_version: 0,
            candidates: VecDeque::new(),
            needs_history: false,
            read_in_flight: false,
            read_at: 0,
            rejection: None,
        }
    }

    /// The version in force here.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// The newest version that this process has seen in the state service.
    pub fn newest_version(&self) -> u64 {
        self.newest_seen.as_ref().map_or(0, |s| s.version)
    }

    /// Why the newest version is not in force.
    pub fn rejection(&self) -> Option<&str> {
        self.rejection.as_deref()
    }

    /// A version was stored at some time.
    pub fn has_stored_version(&self) -> bool {
        self.newest_seen.is_some()
    }

    /// What a transaction that accepts jobs has as its condition on [`CURRENT`].
    pub fn guard_version(&self) -> u64 {
        self.guard_version
    }

    /// All that is known of versions has been dealt with.
    pub fn is_settled(&self) -> bool {
        self.unconfirmed_at.is_none()
            && self
                .newest_seen
                .as_ref()
                .is_none_or(|s| s.change_version == self.settled_change)
    }

    /// The version in force here may be acted on.
    pub fn is_fresh(&self, now: Micros) -> bool {
        self.is_settled()
            && self.newest_peer_version <= self.newest_version()
            && self
                .confirmed_newest_at
                .is_some_and(|at| now < at + MAX_VERSION_AGE)
    }

    /// How long ago the newest version was last known to be the newest.
    pub fn age(&self, now: Micros) -> Option<Micros> {
        self.confirmed_newest_at.map(|at| now.saturating_sub(at))
    }

    /// Nothing is to be started by the version in force here. Where none was ever stored, nothing is held up.
    pub fn must_hold_starts(&self, now: Micros) -> bool {
        (self.has_stored_version() || self.newest_peer_version > 0) && !self.is_fresh(now)
    }

    /// There is a newer version than this process knows of: what has changed is to be read without delay.
    pub fn is_behind(&self) -> bool {
        self.unconfirmed_at.is_some() || self.newest_peer_version > self.newest_version()
    }

    /// A sibling has seen this version.
    pub fn record_peer_version(&mut self, version: u64) {
        self.newest_peer_version = self.newest_peer_version.max(version);
    }

    /// A transaction failed on the version's key.
    pub fn mark_unconfirmed(&mut self, now: Micros) {
        self.unconfirmed_at = Some(now);
    }

    /// All changes up to a request that was sent at this time have been taken in.
    pub fn confirm_newest(&mut self, sent: Micros) {
        self.confirmed_newest_at = self.confirmed_newest_at.max(Some(sent));
        self.unconfirmed_at = self.unconfirmed_at.filter(|doubted| *doubted > sent);
    }

    /// Takes in a page of a listing of live jobs. On the first page the key is there, or it is nowhere: it may have been
    /// deleted while changes were missed, and a transaction on the condition of what was there would fail for ever.
    pub fn apply_listing(&mut self, listing: &Listing, first: bool) {
        let current = listing.items.iter().find(|i| i.key == CURRENT_VERSION_KEY);
        match current {
            Some(item) => self.observe(Some(item.value.get()), item.version),
            None if first && self.newest_seen.as_ref().is_some_and(|s| s.key_version > 0) => {
                self.observe(None, listing.version);
            }
            None => {}
        }
    }

    /// Takes in changes of live jobs.
    pub fn apply_changes(&mut self, log: &[Change]) {
        for change in log {
            if change.written_key.as_deref() == Some(CURRENT_VERSION_KEY) {
                self.observe(change.value.as_deref().map(|v| v.get()), change.version);
            } else if change.deleted_key.as_deref() == Some(CURRENT_VERSION_KEY) {
                self.observe(None, change.version);
            }
        }
    }

    /// The key was found to be so. Changes may come twice, and in any order.
    fn observe(&mut self, value: Option<&str>, stamp: u64) {
        if self
            .newest_seen
            .as_ref()
            .is_some_and(|s| s.change_version >= stamp)
        {
            return;
        }
        self.rejection = None;
        self.candidates.clear();
        self.needs_history = false;
        match value.map(serde_json::from_str::<VersionRecord>) {
            Some(Ok(record)) => {
                tracing::info!(version = record.version, by = %record.author, why = %record.reason, "a new configuration");
                self.newest_seen = Some(SeenVersion {
                    change_version: stamp,
                    key_version: stamp,
                    version: record.version,
                });
                self.candidates.push_back(record);
                self.read_at = 0;
            }
            unusable => {
                let reason = match unusable {
                    Some(Err(e)) => e.to_string(),
                    _ => "it was deleted".to_string(),
                };
                let guard = if value.is_some() { stamp } else { 0 };
                self.newest_seen = Some(SeenVersion {
                    change_version: stamp,
                    key_version: guard,
                    version: self.newest_version(),
                });
                self.reject(CURRENT_VERSION_KEY, &reason);
            }
        }
    }

    /// A version cannot be used: the last good one stays in force. A process that has put none in force looks for it.
    fn reject(&mut self, key: &str, reason: &str) {
        let in_force = self.version;
        tracing::error!(key, reason, in_force, "the configuration cannot be used");
        self.rejection
            .get_or_insert_with(|| format!("{key}: {reason}"));
        if !self.candidates.is_empty() {
            return;
        }
        if self.any_in_force {
            self.settle();
        } else {
            self.needs_history = true;
            self.read_at = 0;
        }
    }

    fn settle(&mut self) {
        (self.settled_change, self.guard_version) = self
            .newest_seen
            .as_ref()
            .map_or((0, 0), |s| (s.change_version, s.key_version));
        self.candidates.clear();
        self.needs_history = false;
    }

    /// What is to be read next, if anything.
    pub fn next_read(&mut self, now: Micros) -> Option<(ConfigurationRead, StoreRequest)> {
        if self.read_in_flight || now < self.read_at {
            return None;
        }
        let next = match self.candidates.front() {
            Some(record) => (
                ConfigurationRead::Document,
                StoreRequest::list(&record.parts_prefix(), ""),
            ),
            None if self.needs_history => {
                (ConfigurationRead::History, StoreRequest::get(HISTORY_KEY))
            }
            None => return None,
        };
        self.read_in_flight = true;
        Some(next)
    }

    /// Takes in the answer to what was read; settings that come of it are to be put in force.
    pub fn handle_answer(
        &mut self,
        what: ConfigurationRead,
        answer: CallResult,
        running: &Settings,
        now: Micros,
    ) -> Option<NewSettings> {
        self.read_in_flight = false;
        match what {
            ConfigurationRead::Document => match decode_ok::<Listing>(&answer) {
                Some(listing) => self.handle_document(&listing, running),
                None => {
                    self.read_at = now + READ_RETRY_INTERVAL;
                    None
                }
            },
            ConfigurationRead::History => {
                self.handle_history(answer, now);
                None
            }
        }
    }

    fn handle_document(&mut self, listing: &Listing, running: &Settings) -> Option<NewSettings> {
        // A newer version may have been seen meanwhile: then these parts are not its own.
        let own = |r: &VersionRecord| {
            listing
                .items
                .iter()
                .all(|i| i.key.starts_with(&r.parts_prefix()))
        };
        let record = self.candidates.front().filter(|r| own(r))?.clone();
        let document = record.assemble(listing).map_err(|e| e.to_string());
        let checked = document.and_then(|d| {
            let settings = d
                .effective(&self.platform_settings, running)
                .map_err(|e| e.to_string())?;
            Ok((settings, d))
        });
        match checked {
            Ok((settings, document)) => Some(self.activate(&record, settings, &document)),
            Err(reason) => {
                self.candidates.pop_front();
                self.reject(&record.parts_prefix(), &reason);
                None
            }
        }
    }

    fn activate(
        &mut self,
        record: &VersionRecord,
        settings: Settings,
        document: &Document,
    ) -> NewSettings {
        self.version = record.version;
        self.any_in_force = true;
        self.settle();
        let (teams, by, why) = (settings.teams.len(), &record.author, &record.reason);
        tracing::info!(version = record.version, %by, %why, teams, "the configuration is in force");
        NewSettings {
            settings: Arc::new(settings),
            over_limit: document.over_limit,
        }
    }

    fn handle_history(&mut self, answer: CallResult, now: Micros) {
        let newest = self.newest_version();
        match answer {
            Ok(Answer { status: 200, body }) => {
                let item = serde_json::from_slice::<StoredValue>(&body).ok();
                let history = item
                    .and_then(|i| i.decode::<HistoryRecord>())
                    .unwrap_or_default();
                let before = history.versions.into_iter();
                let before = before.filter(|v| newest == 0 || v.version < newest);
                self.candidates = before.collect();
                self.needs_history = false;
                if self.candidates.is_empty() {
                    self.fall_back_to_platform_settings();
                }
            }
            Ok(Answer { status: 404, .. }) => self.fall_back_to_platform_settings(),
            _ => self.read_at = now + READ_RETRY_INTERVAL,
        }
    }

    /// No version can be used: the platform's settings hold.
    fn fall_back_to_platform_settings(&mut self) {
        self.any_in_force = true;
        self.settle();
    }
}

#[cfg(test)]
mod tests;
