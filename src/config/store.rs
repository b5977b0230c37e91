//! Versions of the configuration in the state service, as operators read and write them.
//!
//! A version is written in two steps: its document in parts under keys of its own, in as many transactions as that takes,
//! and then one transaction that makes it the version that holds, on the condition that the one before still does.

use std::time::Duration;

use gannethub_core::configuration::{Document, DocumentError};
use gannethub_core::http::{Answer, CallResult, Method};
use gannethub_core::settings::Settings;
use gannethub_core::wire::configuration::{
    CURRENT_VERSION_KEY, HISTORY_KEY, HistoryRecord, MAX_TEXT_BYTES, StoredDocumentError,
    VersionRecord, split_document,
};
use gannethub_core::wire::store::{
    Committed, Conflict, Listing, StoreRequest, StoredValue, Transaction, to_raw_value,
};
use tokio::time::sleep;

use crate::http::Client;

/// How long one request may take, how often one is tried, and the pause between tries.
const PATIENCE: Duration = Duration::from_secs(5);
const TRIES: u32 = 30;
const PAUSE: Duration = Duration::from_secs(1);

/// The way to the state service.
pub trait StateClient {
    /// Sends one request.
    fn call(&self, method: Method, path: &str, body: &[u8]) -> impl Future<Output = CallResult>;
}

impl StateClient for Client {
    async fn call(&self, method: Method, path: &str, body: &[u8]) -> CallResult {
        Client::call(self, method, path, body, PATIENCE).await
    }
}

/// Why a version could not be read or stored.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    #[error("the state service does not answer; last: {0:?}")]
    Silent(Option<u16>),
    #[error("the state service answers {0} to {1}")]
    Refused(u16, String),
    #[error("{0} holds no version; it was changed by something else")]
    NotOurs(&'static str),
    #[error("version {version} by {by} came between: {why}")]
    Conflict {
        version: u64,
        by: String,
        why: String,
    },
    #[error("version {0} is not kept any more")]
    Unknown(u64),
    #[error("the document of version {0}: {1}")]
    Stored(u64, StoredDocumentError),
    #[error("{0}")]
    Document(#[from] DocumentError),
    #[error("the document: {0}")]
    Split(StoredDocumentError),
}

/// A version as it stands in the state service, with the versions of its keys there.
#[derive(Clone, Debug, Default)]
pub struct Current {
    /// `None`: none was ever stored.
    pub record: Option<VersionRecord>,
    pub stamp: u64,
    pub document: Document,
    pub history: HistoryRecord,
    pub(super) history_stamp: u64,
}

impl Current {
    pub fn version(&self) -> u64 {
        self.record.as_ref().map_or(0, |r| r.version)
    }
}

/// Who changes something, and why.
#[derive(Clone, Debug)]
pub struct Author {
    pub by: String,
    pub why: String,
    /// Time of day in microseconds since 1970.
    pub at: u64,
    /// Tells documents apart that were written for the same version.
    pub nonce: u64,
}

/// Reads and writes versions.
pub struct ConfigStore<'a, C> {
    pub client: &'a C,
    /// The platform's settings.
    pub base: &'a Settings,
}

impl<C: StateClient> ConfigStore<'_, C> {
    /// Asks until there is an answer that asking again would not change.
    async fn ask(&self, request: &StoreRequest) -> Result<Answer, ConfigError> {
        let mut last = None;
        for _ in 0..TRIES {
            match self
                .client
                .call(request.method, &request.path, &request.body)
                .await
            {
                Ok(answer) if answer.status != 429 && answer.status < 500 => return Ok(answer),
                result => last = result.ok().map(|answer| answer.status).or(last),
            }
            sleep(PAUSE).await;
        }
        Err(ConfigError::Silent(last))
    }

    /// A key's value and version; `None`: there is none.
    async fn get(&self, key: &str) -> Result<Option<StoredValue>, ConfigError> {
        let request = StoreRequest::get(key);
        match self.ask(&request).await? {
            answer if answer.is_ok() => Ok(answer.decode()),
            answer if answer.status == 404 => Ok(None),
            answer => Err(ConfigError::Refused(answer.status, request.path)),
        }
    }

    /// The version that holds.
    pub async fn current(&self) -> Result<Current, ConfigError> {
        let mut current = Current::default();
        if let Some(item) = self.get(HISTORY_KEY).await? {
            current.history = item.decode().ok_or(ConfigError::NotOurs(HISTORY_KEY))?;
            current.history_stamp = item.version;
        }
        let Some(item) = self.get(CURRENT_VERSION_KEY).await? else {
            return Ok(current);
        };
        let record: VersionRecord = item
            .decode()
            .ok_or(ConfigError::NotOurs(CURRENT_VERSION_KEY))?;
        current.stamp = item.version;
        current.document = self.document(&record).await?;
        current.record = Some(record);
        Ok(current)
    }

    /// The document of a version.
    pub async fn document(&self, record: &VersionRecord) -> Result<Document, ConfigError> {
        let request = StoreRequest::list(&record.parts_prefix(), "");
        match self.ask(&request).await? {
            answer if answer.is_ok() => {
                let listing: Listing = answer
                    .decode()
                    .ok_or_else(|| ConfigError::Refused(200, request.path.clone()))?;
                let document = record.assemble(&listing);
                document.map_err(|e| ConfigError::Stored(record.version, e))
            }
            answer => Err(ConfigError::Refused(answer.status, request.path)),
        }
    }

    /// The document of a version that is kept.
    pub async fn kept(&self, current: &Current, version: u64) -> Result<Document, ConfigError> {
        if version == 0 {
            return Ok(Document::default());
        }
        let record = current
            .history
            .versions
            .iter()
            .find(|v| v.version == version);
        self.document(record.ok_or(ConfigError::Unknown(version))?)
            .await
    }

    /// Makes a document the next version after `current`, and returns that.
    pub async fn store(
        &self,
        current: &Current,
        wanted: Document,
        author: &Author,
    ) -> Result<VersionRecord, ConfigError> {
        let document = current.document.followed_by(wanted, self.base);
        document.effective(self.base, self.base)?;
        let parts = split_document(&document, self.base.value_bytes).map_err(ConfigError::Split)?;
        let version = current.version() + 1;
        let record = VersionRecord {
            version,
            id: format!("{version}-{:016x}", author.nonce),
            parts: parts.len() as u32,
            created_at: author.at,
            author: shortened(&author.by),
            reason: shortened(&author.why),
        };
        self.write_parts(&record, &parts).await?;
        let dropped = self.switch(current, &record).await?;
        self.clean_up(&dropped).await;
        Ok(record)
    }

    async fn write_parts(
        &self,
        record: &VersionRecord,
        parts: &[Document],
    ) -> Result<(), ConfigError> {
        let keys: Vec<(String, &Document)> = parts
            .iter()
            .enumerate()
            .map(|(i, part)| (record.part_key(i), part))
            .collect();
        for batch in keys.chunks(self.base.txn_ops.max(1)) {
            let mut commit = Transaction::default();
            batch
                .iter()
                .for_each(|(key, part)| commit.put(key, to_raw_value(part), None));
            let request = commit.to_request();
            match self.ask(&request).await? {
                answer if answer.is_ok() => {}
                answer => return Err(ConfigError::Refused(answer.status, "a part".into())),
            }
        }
        Ok(())
    }

    /// Makes a version the one that holds; returns the versions that are not kept any more. An answer that is lost does
    /// not matter: the same transaction is sent again, and fails where it or another was carried out.
    async fn switch(
        &self,
        current: &Current,
        record: &VersionRecord,
    ) -> Result<Vec<VersionRecord>, ConfigError> {
        let mut history = current.history.clone();
        let dropped = history.push(record.clone(), self.base.value_bytes);
        let mut commit = Transaction::default();
        commit.guard(CURRENT_VERSION_KEY, current.stamp);
        commit.guard(HISTORY_KEY, current.history_stamp);
        commit.put(CURRENT_VERSION_KEY, to_raw_value(record), None);
        commit.put(HISTORY_KEY, to_raw_value(&history), None);
        let request = commit.to_request();
        match self.ask(&request).await? {
            answer if answer.decode_ok::<Committed>().is_some() => Ok(dropped),
            answer if answer.status == 409 && answer.decode::<Conflict>().is_some() => {
                self.came_between(record).await.map(|()| dropped)
            }
            answer => Err(ConfigError::Refused(answer.status, "the switch".into())),
        }
    }

    /// The version that holds is another one than was expected: this one, if the first answer was lost.
    async fn came_between(&self, record: &VersionRecord) -> Result<(), ConfigError> {
        let item = self.get(CURRENT_VERSION_KEY).await?;
        let holds: Option<VersionRecord> = item.and_then(|i| i.decode());
        // Others may have followed it since.
        let ours = |v: &VersionRecord| v.id == record.id;
        let history = self
            .get(HISTORY_KEY)
            .await?
            .and_then(|i| i.decode::<HistoryRecord>());
        if holds.as_ref().is_some_and(ours) || history.is_some_and(|h| h.versions.iter().any(ours))
        {
            return Ok(());
        }
        self.clean_up(std::slice::from_ref(record)).await;
        match holds {
            Some(v) => Err(ConfigError::Conflict {
                version: v.version,
                by: v.author,
                why: v.reason,
            }),
            None => Err(ConfigError::NotOurs(CURRENT_VERSION_KEY)),
        }
    }

    /// Deletes the documents of versions that are not kept. What is left over does no harm.
    async fn clean_up(&self, versions: &[VersionRecord]) {
        for version in versions {
            let keys: Vec<String> = (0..version.parts as usize)
                .map(|i| version.part_key(i))
                .collect();
            for batch in keys.chunks(self.base.txn_ops.max(1)) {
                let mut commit = Transaction::default();
                batch.iter().for_each(|key| commit.delete(key));
                let request = commit.to_request();
                let _ = self
                    .client
                    .call(request.method, &request.path, &request.body)
                    .await;
            }
        }
    }
}

/// So much of a text as is kept with a version.
fn shortened(text: &str) -> String {
    text[..text.floor_char_boundary(MAX_TEXT_BYTES.min(text.len()))].to_string()
}
