//! Tracks the configuration: the version in force in this process, and the time until which that version may be acted
//! on.
//!
//! A version is in force in every controller at the latest [`MAX_VERSION_AGE`] after it was stored, since a
//! controller acts on a version only for that time after it last knew the version to be the newest. The controller
//! counts the time on its own monotonic clock, beginning when it *sent* the request whose answer confirmed the
//! version. The bound thus holds for controllers that are slow, cut off or unknown to the operator as well.
//!
//! | action | protection against an older version |
//! | --- | --- |
//! | accepting a job | the transaction is guarded by the version's key |
//! | answering that a job can never run | only while the version is fresh; else the answer is 503 |
//! | placing a task, and telling a worker to launch | only while the version is fresh, once any version was stored |

use std::collections::VecDeque;
use std::sync::Arc;

use super::key_read::KeyRead;
use crate::configuration::{Document, DocumentError, OverLimit};
use crate::http::{CallResult, decode_ok};
use crate::model::{Micros, SECOND};
use crate::settings::Settings;
use crate::wire::configuration::{
    CURRENT_VERSION_KEY, HISTORY_KEY, HistoryRecord, StoredDocumentError, VersionRecord,
};
use crate::wire::store::{Change, Listing, StoreRequest};

/// Maximum time for which a version may be acted on after it was last known to be the newest.
pub(super) const MAX_VERSION_AGE: Micros = 6_500_000;
/// Once a version was stored, a read of changes is sent this long after the time from which the read is allowed, even
/// if no request waits for it.
pub(super) const CHANGE_READ_INTERVAL: Micros = 2 * SECOND;
/// Time after which a failed read is retried.
const READ_RETRY_INTERVAL: Micros = 300_000;

/// Kind of read from the state service for the configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ConfigurationRead {
    /// The document of the version that is tried next.
    Document,
    /// The history of older versions, since the newest version cannot be used.
    History,
}

/// Settings to be put in force in this process.
#[derive(Debug)]
pub(super) struct NewSettings {
    pub settings: Arc<Settings>,
    pub over_limit: OverLimit,
}

/// A configuration version as read from the state service.
#[derive(Clone, Copy, Debug)]
struct SeenVersion {
    /// Version of the state service at the last change of the key.
    change_version: u64,
    /// Version of the key, for use as a guard. 0: the key was deleted.
    key_version: u64,
    /// Number of the configuration version.
    version: u64,
}

/// Reason for which a version cannot be used.
#[derive(Debug, thiserror::Error)]
enum RejectionReason {
    #[error("the key was deleted")]
    Deleted,
    #[error("{0}")]
    NotARecord(#[from] serde_json::Error),
    #[error("{0}")]
    Stored(#[from] StoredDocumentError),
    #[error("{0}")]
    Document(#[from] DocumentError),
}

/// State of the configuration in this process; see the [module](self).
pub(super) struct ConfigWatch {
    platform_settings: Arc<Settings>,
    /// Newest version that this process has seen in the state service.
    newest_seen: Option<SeenVersion>,
    /// Last change of the key that was handled completely, as a version of the state service. 0: no change was ever
    /// seen.
    handled_change: u64,
    /// Version of the key after the last handled change.
    guard_version: u64,
    /// Version in force in this process. 0: only the platform settings.
    version: u64,
    /// Whether this process has put a version in force, or knows that no version can be. Such a process keeps its
    /// settings when a newer version cannot be used.
    any_in_force: bool,
    /// Time at which the newest known version was last confirmed to be the newest.
    confirmed_newest_at: Option<Micros>,
    /// Time at which a transaction failed on the guard of the version's key, which means that a newer version exists.
    unconfirmed_at: Option<Micros>,
    /// Newest version that a peer has reported.
    newest_peer_version: u64,
    /// Versions to try, newest first.
    candidates: VecDeque<VersionRecord>,
    /// Whether the history has to be read because no candidate can be used.
    needs_history: bool,
    read_in_flight: bool,
    /// Earliest time of the next read.
    read_at: Micros,
    /// Reason for which the newest version is not in force.
    rejection: Option<String>,
}

impl ConfigWatch {
    /// Creates the state of a process that starts with the platform settings and knows of no version yet.
    pub fn new(platform_settings: Arc<Settings>) -> ConfigWatch {
        ConfigWatch {
            platform_settings,
            newest_seen: None,
            handled_change: 0,
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

    // ---- Use of the version in force ----

    /// Returns the version in force in this process. 0: only the platform settings.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the newest version that this process has seen in the state service.
    pub fn newest_version(&self) -> u64 {
        self.newest_seen.map_or(0, |seen| seen.version)
    }

    /// Returns the reason for which the newest version is not in force.
    pub fn rejection(&self) -> Option<&str> {
        self.rejection.as_deref()
    }

    /// Whether this process has seen a stored version, even one that has been deleted.
    pub fn has_stored_version(&self) -> bool {
        self.newest_seen.is_some()
    }

    /// Returns the version that a transaction to accept jobs requires as its guard on [`CURRENT_VERSION_KEY`].
    pub fn guard_version(&self) -> u64 {
        self.guard_version
    }

    /// Whether all known changes of the configuration have been handled.
    pub fn changes_handled(&self) -> bool {
        let is_handled = |seen: SeenVersion| seen.change_version == self.handled_change;
        self.unconfirmed_at.is_none() && self.newest_seen.is_none_or(is_handled)
    }

    /// Whether the version in force in this process may be acted on.
    pub fn is_fresh(&self, now: Micros) -> bool {
        let is_recent = |at: Micros| now < at + MAX_VERSION_AGE;
        self.changes_handled()
            && self.newest_peer_version <= self.newest_version()
            && self.confirmed_newest_at.is_some_and(is_recent)
    }

    /// Returns the time since the newest known version was last confirmed to be the newest.
    pub fn age(&self, now: Micros) -> Option<Micros> {
        self.confirmed_newest_at.map(|at| now.saturating_sub(at))
    }

    /// Whether no task may be started under the version in force. Starts are not paused as long as no version is known
    /// to have been stored.
    pub fn must_pause_starts(&self, now: Micros) -> bool {
        (self.has_stored_version() || self.newest_peer_version > 0) && !self.is_fresh(now)
    }

    /// Whether a newer version exists than this process has seen. In that case the changes have to be read without
    /// delay.
    pub fn is_behind(&self) -> bool {
        self.unconfirmed_at.is_some() || self.newest_peer_version > self.newest_version()
    }

    // ---- Information about versions ----

    /// Records that a peer has seen this version.
    pub fn record_peer_version(&mut self, version: u64) {
        self.newest_peer_version = self.newest_peer_version.max(version);
    }

    /// Records that a transaction failed on the guard of the version's key.
    pub fn mark_unconfirmed(&mut self, now: Micros) {
        self.unconfirmed_at = Some(now);
    }

    /// Records that all changes up to a request sent at this time have been applied.
    pub fn confirm_newest(&mut self, sent_at: Micros) {
        self.confirmed_newest_at = self.confirmed_newest_at.max(Some(sent_at));
        self.unconfirmed_at.take_if(|at| *at <= sent_at);
    }

    /// Applies a page of a listing of live jobs. If the version's key exists, it is on the first page. A known key
    /// that is missing there may have been deleted while changes were missed. Its deletion has to be recorded, since
    /// a transaction guarded by the old version of the key would fail forever.
    pub fn apply_listing(&mut self, listing: &Listing, is_first_page: bool) {
        let mut items = listing.items.iter();
        let current = items.find(|item| item.key == CURRENT_VERSION_KEY);
        let is_key_known = self.newest_seen.is_some_and(|seen| seen.key_version > 0);
        match current {
            Some(item) => self.observe(Some(item.value.get()), item.version),
            None if is_first_page && is_key_known => self.observe(None, listing.version),
            None => {}
        }
    }

    /// Applies changes of live jobs, among which are those of the version's key.
    pub fn apply_changes(&mut self, changes: &[Change]) {
        for change in changes {
            if change.written_key.as_deref() == Some(CURRENT_VERSION_KEY) {
                let value = change.value.as_deref().map(|value| value.get());
                self.observe(value, change.version);
            } else if change.deleted_key.as_deref() == Some(CURRENT_VERSION_KEY) {
                self.observe(None, change.version);
            }
        }
    }

    /// Records that the key was changed to this value, or deleted, at this version of the state service. Changes may
    /// arrive twice and in any order.
    fn observe(&mut self, value: Option<&str>, change_version: u64) {
        let is_known = |seen: SeenVersion| seen.change_version >= change_version;
        if self.newest_seen.is_some_and(is_known) {
            return;
        }
        self.rejection = None;
        self.candidates.clear();
        self.needs_history = false;
        let key_version = if value.is_some() { change_version } else { 0 };
        let parsed = match value {
            Some(value) => serde_json::from_str::<VersionRecord>(value).map_err(Into::into),
            None => Err(RejectionReason::Deleted),
        };
        let version = match &parsed {
            Ok(record) => record.version,
            Err(_) => self.newest_version(),
        };
        self.newest_seen = Some(SeenVersion {
            change_version,
            key_version,
            version,
        });
        match parsed {
            Ok(record) => {
                let (by, why) = (&record.author, &record.reason);
                tracing::info!(version, %by, %why, "new configuration version seen");
                self.candidates.push_back(record);
                self.read_at = 0;
            }
            Err(reason) => self.reject(CURRENT_VERSION_KEY, &reason),
        }
    }

    // ---- Putting a version in force ----

    /// Rejects a version that cannot be used. The last usable version stays in force. A process that has put no
    /// version in force yet reads the history to find one.
    fn reject(&mut self, key: &str, reason: &RejectionReason) {
        let (reason, in_force) = (reason.to_string(), self.version);
        tracing::error!(key, reason, in_force, "cannot use configuration");
        self.rejection
            .get_or_insert_with(|| format!("{key}: {reason}"));
        if !self.candidates.is_empty() {
            return;
        }
        if self.any_in_force {
            self.mark_changes_handled();
        } else {
            self.needs_history = true;
            self.read_at = 0;
        }
    }

    /// Records that all known changes of the configuration have been handled.
    fn mark_changes_handled(&mut self) {
        self.handled_change = self.newest_seen.map_or(0, |seen| seen.change_version);
        self.guard_version = self.newest_seen.map_or(0, |seen| seen.key_version);
        self.candidates.clear();
        self.needs_history = false;
    }

    /// Returns the next read to send, if one is due.
    pub fn next_read(&mut self, now: Micros) -> Option<(ConfigurationRead, StoreRequest)> {
        if self.read_in_flight || now < self.read_at {
            return None;
        }
        let next = match self.candidates.front() {
            Some(record) => {
                let request = StoreRequest::list(&record.parts_prefix(), "");
                (ConfigurationRead::Document, request)
            }
            None if self.needs_history => {
                (ConfigurationRead::History, StoreRequest::get(HISTORY_KEY))
            }
            None => return None,
        };
        self.read_in_flight = true;
        Some(next)
    }

    /// Handles the answer to a read. Returns settings to be put in force, if the answer leads to any. `running` are
    /// the settings now in force.
    pub fn handle_answer(
        &mut self,
        read: ConfigurationRead,
        answer: &CallResult,
        running: &Settings,
        now: Micros,
    ) -> Option<NewSettings> {
        self.read_in_flight = false;
        match read {
            ConfigurationRead::Document => {
                let Some(listing) = decode_ok::<Listing>(answer) else {
                    self.read_at = now + READ_RETRY_INTERVAL;
                    return None;
                };
                self.handle_document(&listing, running)
            }
            ConfigurationRead::History => {
                self.handle_history(KeyRead::from(answer), now);
                None
            }
        }
    }

    fn handle_document(&mut self, listing: &Listing, running: &Settings) -> Option<NewSettings> {
        let record = self.candidates.front()?.clone();
        let prefix = record.parts_prefix();
        // A newer version may have been seen since the read was sent. The parts then belong to another version.
        if !listing
            .items
            .iter()
            .all(|item| item.key.starts_with(&prefix))
        {
            return None;
        }
        match self.check_document(&record, listing, running) {
            Ok((settings, document)) => Some(self.activate(&record, settings, &document)),
            Err(reason) => {
                self.candidates.pop_front();
                self.reject(&prefix, &reason);
                None
            }
        }
    }

    fn check_document(
        &self,
        record: &VersionRecord,
        listing: &Listing,
        running: &Settings,
    ) -> Result<(Settings, Document), RejectionReason> {
        let document = record.assemble(listing)?;
        let settings = document.apply_to(&self.platform_settings, running)?;
        Ok((settings, document))
    }

    fn activate(
        &mut self,
        record: &VersionRecord,
        settings: Settings,
        document: &Document,
    ) -> NewSettings {
        self.version = record.version;
        self.any_in_force = true;
        self.mark_changes_handled();
        let (teams, by, why) = (settings.teams.len(), &record.author, &record.reason);
        tracing::info!(version = record.version, %by, %why, teams, "configuration in force");
        NewSettings {
            settings: Arc::new(settings),
            over_limit: document.over_limit,
        }
    }

    fn handle_history(&mut self, read: KeyRead, now: Micros) {
        let history = match read {
            KeyRead::Found(item) => item.decode::<HistoryRecord>().unwrap_or_default(),
            KeyRead::Unreadable | KeyRead::Absent { .. } => HistoryRecord::default(),
            KeyRead::Failed => {
                self.read_at = now + READ_RETRY_INTERVAL;
                return;
            }
        };
        let newest = self.newest_version();
        let versions = history.versions.into_iter();
        let before = versions.filter(|record| newest == 0 || record.version < newest);
        self.candidates = before.collect();
        self.needs_history = false;
        if self.candidates.is_empty() {
            self.fall_back_to_platform_settings();
        }
    }

    /// Keeps the platform settings in force, since no version can be used.
    fn fall_back_to_platform_settings(&mut self) {
        self.any_in_force = true;
        self.mark_changes_handled();
    }
}

#[cfg(test)]
mod tests;
