//! Following the configuration: which version is in force in this process, and until when it may be acted on.
//!
//! A version is in force everywhere at the latest [`MAX_VERSION_AGE`] after it was stored, since a controller acts on a
//! version only for so long after it last knew it to be the newest. That is counted on its own steady clock from when the
//! request was *sent* whose answer said so. Which controller is slow, cut off or unknown to the operator does not matter.
//!
//! | what is done | what keeps it from being done by an older version |
//! | --- | --- |
//! | accepting a job | the transaction has the version's key among its conditions |
//! | answering that a job can never run | only while the version is fresh; else 503 |
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

/// How long after a version was last known to be the newest it may be acted on.
pub(super) const MAX_VERSION_AGE: Micros = 6_500_000;
/// Once a version was stored, what has changed is read at least this often.
pub(super) const CHANGE_READ_INTERVAL: Micros = 2 * SECOND;
/// A read that failed is tried again after this time.
const READ_RETRY_INTERVAL: Micros = 300_000;

/// What is read from the state service for the configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ConfigurationRead {
    /// The document of the version that is to be tried next.
    Document,
    /// The versions before, since the newest cannot be used.
    History,
}

/// Settings that are to be put in force in this process.
#[derive(Debug)]
pub(super) struct NewSettings {
    pub settings: Arc<Settings>,
    pub over_limit: OverLimit,
}

/// A version as the state service has it.
#[derive(Clone, Copy, Debug)]
struct SeenVersion {
    /// The version of the key's last change in the state service.
    change_version: u64,
    /// The version of the key; 0: it was deleted.
    key_version: u64,
    version: u64,
}

/// Why a version cannot be used.
#[derive(Debug, thiserror::Error)]
enum RejectionReason {
    #[error("it was deleted")]
    Deleted,
    #[error("{0}")]
    NotARecord(#[from] serde_json::Error),
    #[error("{0}")]
    Stored(#[from] StoredDocumentError),
    #[error("{0}")]
    Document(#[from] DocumentError),
}

/// See the [module](self).
pub(super) struct ConfigWatch {
    platform_settings: Arc<Settings>,
    /// The newest version that this process has seen in the state service.
    newest_seen: Option<SeenVersion>,
    /// The key's last change that was dealt with; 0: none was ever seen.
    settled_change: u64,
    /// The version of the key then.
    guard_version: u64,
    /// The version in force here; 0: the platform's settings alone.
    version: u64,
    /// This process has put a version in force, or knows that none can be: it stays where a newer one cannot be used.
    any_in_force: bool,
    /// When the newest version was last known to be the newest.
    confirmed_newest_at: Option<Micros>,
    /// A transaction has failed on the version's key at this time: there is a newer one.
    unconfirmed_at: Option<Micros>,
    /// The newest version that a peer has told of.
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
    /// A process that begins with the platform's settings, and knows of no version yet.
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

    // ---- What may be acted on ----

    /// The version in force here; 0: the platform's settings alone.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// The newest version that this process has seen in the state service.
    pub fn newest_version(&self) -> u64 {
        self.newest_seen.map_or(0, |seen| seen.version)
    }

    /// Why the newest version is not in force.
    pub fn rejection(&self) -> Option<&str> {
        self.rejection.as_deref()
    }

    /// Whether a version was ever stored, as far as was seen.
    pub fn has_stored_version(&self) -> bool {
        self.newest_seen.is_some()
    }

    /// What a transaction that accepts jobs has as its condition on [`CURRENT_VERSION_KEY`].
    pub fn guard_version(&self) -> u64 {
        self.guard_version
    }

    /// Whether all that is known of versions has been dealt with.
    pub fn is_settled(&self) -> bool {
        let is_dealt_with = |seen: SeenVersion| seen.change_version == self.settled_change;
        self.unconfirmed_at.is_none() && self.newest_seen.is_none_or(is_dealt_with)
    }

    /// Whether the version in force here may be acted on.
    pub fn is_fresh(&self, now: Micros) -> bool {
        let is_recent = |at: Micros| now < at + MAX_VERSION_AGE;
        self.is_settled()
            && self.newest_peer_version <= self.newest_version()
            && self.confirmed_newest_at.is_some_and(is_recent)
    }

    /// How long ago the newest version was last known to be the newest.
    pub fn age(&self, now: Micros) -> Option<Micros> {
        self.confirmed_newest_at.map(|at| now.saturating_sub(at))
    }

    /// Whether nothing may be started by the version in force here. Where none was ever stored, nothing is held up.
    pub fn must_hold_starts(&self, now: Micros) -> bool {
        (self.has_stored_version() || self.newest_peer_version > 0) && !self.is_fresh(now)
    }

    /// Whether there is a newer version than this process knows of: what has changed is to be read without delay.
    pub fn is_behind(&self) -> bool {
        self.unconfirmed_at.is_some() || self.newest_peer_version > self.newest_version()
    }

    // ---- What is told of versions ----

    /// A peer has seen this version.
    pub fn record_peer_version(&mut self, version: u64) {
        self.newest_peer_version = self.newest_peer_version.max(version);
    }

    /// A transaction failed on the version's key.
    pub fn mark_unconfirmed(&mut self, now: Micros) {
        self.unconfirmed_at = Some(now);
    }

    /// All changes up to a request that was sent at this time have been applied.
    pub fn confirm_newest(&mut self, sent_at: Micros) {
        self.confirmed_newest_at = self.confirmed_newest_at.max(Some(sent_at));
        self.unconfirmed_at.take_if(|at| *at <= sent_at);
    }

    /// Takes in a page of a listing of live jobs. On the first page the key is there, or it is nowhere: it may have been
    /// deleted while changes were missed, and a transaction on the condition of what was there would fail for ever.
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

    /// Takes in changes of live jobs.
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

    /// The key was changed to this value, or deleted, in this version of the state service. Changes may come twice, and in
    /// any order.
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
                tracing::info!(version, %by, %why, "a new configuration");
                self.candidates.push_back(record);
                self.read_at = 0;
            }
            Err(reason) => self.reject(CURRENT_VERSION_KEY, &reason),
        }
    }

    // ---- Putting a version in force ----

    /// A version cannot be used: the last good one stays in force. A process that has put none in force looks for it.
    fn reject(&mut self, key: &str, reason: &RejectionReason) {
        let (reason, in_force) = (reason.to_string(), self.version);
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

    /// All that is known of versions has been dealt with.
    fn settle(&mut self) {
        self.settled_change = self.newest_seen.map_or(0, |seen| seen.change_version);
        self.guard_version = self.newest_seen.map_or(0, |seen| seen.key_version);
        self.candidates.clear();
        self.needs_history = false;
    }

    /// What is to be read next, if anything.
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

    /// Takes in the answer to a read. Settings that come of it are to be put in force; `running` are those in force now.
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
        // A newer version may have been seen meanwhile: then these parts are not its own.
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
        let settings = document.effective(&self.platform_settings, running)?;
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
        self.settle();
        let (teams, by, why) = (settings.teams.len(), &record.author, &record.reason);
        tracing::info!(version = record.version, %by, %why, teams, "the configuration is in force");
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

    /// No version can be used: the platform's settings hold.
    fn fall_back_to_platform_settings(&mut self) {
        self.any_in_force = true;
        self.settle();
    }
}

#[cfg(test)]
mod tests;
