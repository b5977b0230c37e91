//! Reads and writes versions of the configuration in the state service, on behalf of operators.
//!
//! A version is written in two steps. First its document is written in parts, under keys of its own and in as many
//! transactions as needed. Then one transaction makes the version the current one, on the condition that the previous
//! version is still current.

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

use crate::http::{Client, is_final};

/// Time limit of a request to the state service.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum number of times that a request without a final answer is sent.
const MAX_ATTEMPTS: u32 = 30;
/// Delay between two attempts of a request.
const RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// A client of the state service. Tests implement this trait with an in-memory service.
pub trait StateClient {
    /// Sends one request once.
    fn call(&self, method: Method, path: &str, body: &[u8]) -> impl Future<Output = CallResult>;
}

impl StateClient for Client {
    async fn call(&self, method: Method, path: &str, body: &[u8]) -> CallResult {
        Client::call(self, method, path, body, REQUEST_TIMEOUT).await
    }
}

/// Errors of reading or storing a version.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    #[error("the state service gave no final answer; last status: {last_status:?}")]
    NoFinalAnswer { last_status: Option<u16> },
    #[error("the state service answered {request} with status {status}")]
    UnexpectedAnswer { status: u16, request: String },
    /// The value stored under this key is not a valid record, or the key was deleted.
    #[error("cannot parse the value of {0}; another program may have changed or deleted it")]
    MalformedRecord(&'static str),
    /// Another change became the next version before this one.
    #[error("version {version} by {author} was stored first: {reason}")]
    Conflict {
        version: u64,
        author: String,
        reason: String,
    },
    #[error("version {0} is no longer kept")]
    NotKept(u64),
    #[error("cannot read the document of version {version}: {source}")]
    InvalidDocument {
        version: u64,
        source: StoredDocumentError,
    },
    /// The document to be stored has an invalid field.
    #[error("{0}")]
    Unusable(#[from] DocumentError),
    /// The document to be stored does not fit into the values of the state service.
    #[error("cannot split the document: {0}")]
    CannotSplit(#[source] StoredDocumentError),
}

/// The configuration that is stored in the state service, with the versions of the store keys. The key versions are
/// the guards of a change: the change fails if another change was stored first.
#[derive(Clone, Debug, Default)]
pub struct CurrentConfig {
    /// Record of the current version; `None` if no version was ever stored.
    pub record: Option<VersionRecord>,
    /// Version of the store key that holds the record; 0 if the key does not exist.
    pub key_version: u64,
    pub document: Document,
    pub history: HistoryRecord,
    /// Version of the store key that holds the history; 0 if the key does not exist.
    pub(super) history_key_version: u64,
}

impl CurrentConfig {
    /// Returns the number of the current version; 0 if no version was ever stored.
    pub fn version(&self) -> u64 {
        self.record.as_ref().map_or(0, |record| record.version)
    }
}

/// The author of a change and the reason for it.
#[derive(Clone, Debug)]
pub struct Author {
    pub name: String,
    pub reason: String,
    /// Time of the change, in microseconds since 1970.
    pub changed_at: u64,
    /// Distinguishes documents that were written for the same version.
    pub nonce: u64,
}

/// Reads and writes versions of the configuration.
pub struct ConfigStore<'a, C> {
    /// Client of the state service.
    pub client: &'a C,
    /// The platform's settings, which hold where a version sets no value.
    pub base: &'a Settings,
}

impl<C: StateClient> ConfigStore<'_, C> {
    /// Sends a request until a final answer comes (see [`is_final`]), at most [`MAX_ATTEMPTS`] times.
    async fn call(&self, request: &StoreRequest) -> Result<Answer, ConfigError> {
        let mut last_status = None;
        for _ in 0..MAX_ATTEMPTS {
            match self.call_once(request).await {
                Ok(answer) if is_final(&answer) => return Ok(answer),
                Ok(answer) => last_status = Some(answer.status),
                Err(_) => {}
            }
            sleep(RETRY_INTERVAL).await;
        }
        Err(ConfigError::NoFinalAnswer { last_status })
    }

    async fn call_once(&self, request: &StoreRequest) -> CallResult {
        self.client
            .call(request.method, &request.path, &request.body)
            .await
    }

    /// Returns a key's value and version; `None` if the key does not exist.
    async fn get(&self, key: &str) -> Result<Option<StoredValue>, ConfigError> {
        let request = StoreRequest::get(key);
        match self.call(&request).await? {
            answer if answer.is_ok() => Ok(answer.decode()),
            answer if answer.status == 404 => Ok(None),
            answer => Err(unexpected(&answer, request.path)),
        }
    }

    /// Reads the current version with its document and the history.
    pub async fn current(&self) -> Result<CurrentConfig, ConfigError> {
        let mut current = CurrentConfig::default();
        if let Some(item) = self.get(HISTORY_KEY).await? {
            current.history = item
                .decode()
                .ok_or(ConfigError::MalformedRecord(HISTORY_KEY))?;
            current.history_key_version = item.version;
        }
        let Some(item) = self.get(CURRENT_VERSION_KEY).await? else {
            return Ok(current);
        };
        let record: VersionRecord = item
            .decode()
            .ok_or(ConfigError::MalformedRecord(CURRENT_VERSION_KEY))?;
        current.key_version = item.version;
        current.document = self.read_document(&record).await?;
        current.record = Some(record);
        Ok(current)
    }

    /// Reads the document of a version.
    pub async fn read_document(&self, record: &VersionRecord) -> Result<Document, ConfigError> {
        let request = StoreRequest::list(&record.parts_prefix(), "");
        match self.call(&request).await? {
            answer if answer.is_ok() => {
                let listing: Listing = answer
                    .decode()
                    .ok_or_else(|| unexpected(&answer, request.path))?;
                let document = record.assemble(&listing);
                document.map_err(|source| ConfigError::InvalidDocument {
                    version: record.version,
                    source,
                })
            }
            answer => Err(unexpected(&answer, request.path)),
        }
    }

    /// Reads the document of a version that is still in the history. The document of version 0 is empty.
    pub async fn kept_document(
        &self,
        current: &CurrentConfig,
        version: u64,
    ) -> Result<Document, ConfigError> {
        if version == 0 {
            return Ok(Document::default());
        }
        let record = current
            .history
            .versions
            .iter()
            .find(|record| record.version == version);
        self.read_document(record.ok_or(ConfigError::NotKept(version))?)
            .await
    }

    /// Checks a document, makes it the next version after `current`, and returns that version.
    pub async fn store(
        &self,
        current: &CurrentConfig,
        wanted: Document,
        author: &Author,
    ) -> Result<VersionRecord, ConfigError> {
        let document = current.document.successor(wanted, self.base);
        document.apply_to(self.base, self.base)?;
        let parts = split_document(&document, self.base.max_value_bytes)
            .map_err(ConfigError::CannotSplit)?;
        let version = current.version() + 1;
        let record = VersionRecord {
            version,
            id: format!("{version}-{:016x}", author.nonce),
            parts: parts.len() as u32,
            created_at: author.changed_at,
            author: truncated(&author.name),
            reason: truncated(&author.reason),
        };
        self.write_parts(&record, &parts).await?;
        let dropped = self.make_current(current, &record).await?;
        self.delete_documents(&dropped).await;
        Ok(record)
    }

    /// Writes the parts of a version's document. Nothing reads the parts before the version is made the current one.
    async fn write_parts(
        &self,
        record: &VersionRecord,
        parts: &[Document],
    ) -> Result<(), ConfigError> {
        let keys: Vec<(String, &Document)> = parts
            .iter()
            .enumerate()
            .map(|(index, part)| (record.part_key(index), part))
            .collect();
        for batch in keys.chunks(self.base.max_transaction_operations.max(1)) {
            let mut transaction = Transaction::default();
            for (key, part) in batch {
                transaction.put(key, to_raw_value(part), None);
            }
            let request = transaction.to_request();
            match self.call(&request).await? {
                answer if answer.is_ok() => {}
                answer => return Err(unexpected(&answer, "the write of a document part".into())),
            }
        }
        Ok(())
    }

    /// Makes a version the current one and returns the versions that are no longer kept. A lost answer does no harm:
    /// the same transaction is sent again, and its guards fail if the transaction or another change was already
    /// carried out.
    async fn make_current(
        &self,
        current: &CurrentConfig,
        record: &VersionRecord,
    ) -> Result<Vec<VersionRecord>, ConfigError> {
        let mut history = current.history.clone();
        let dropped = history.push(record.clone(), self.base.max_value_bytes);
        let mut transaction = Transaction::default();
        transaction.guard(CURRENT_VERSION_KEY, current.key_version);
        transaction.guard(HISTORY_KEY, current.history_key_version);
        transaction.put(CURRENT_VERSION_KEY, to_raw_value(record), None);
        transaction.put(HISTORY_KEY, to_raw_value(&history), None);
        let request = transaction.to_request();
        match self.call(&request).await? {
            answer if answer.decode_ok::<Committed>().is_some() => Ok(dropped),
            answer if answer.status == 409 && answer.decode::<Conflict>().is_some() => {
                self.resolve_conflict(record).await.map(|()| dropped)
            }
            answer => Err(unexpected(&answer, "the switch to the new version".into())),
        }
    }

    /// Determines why the guards of a switch failed. Either this version itself was made the current one and the
    /// answer was lost, which is no error, or another change was stored first.
    async fn resolve_conflict(&self, record: &VersionRecord) -> Result<(), ConfigError> {
        let is_same = |other: &VersionRecord| other.id == record.id;
        let item = self.get(CURRENT_VERSION_KEY).await?;
        let current: Option<VersionRecord> = item.and_then(|item| item.decode());
        // Other versions may have followed this version by now, so the history is searched as well.
        let item = self.get(HISTORY_KEY).await?;
        let history: Option<HistoryRecord> = item.and_then(|item| item.decode());
        let is_in_history = history.is_some_and(|history| history.versions.iter().any(is_same));
        if current.as_ref().is_some_and(is_same) || is_in_history {
            return Ok(());
        }
        self.delete_documents(std::slice::from_ref(record)).await;
        match current {
            Some(other) => Err(ConfigError::Conflict {
                version: other.version,
                author: other.author,
                reason: other.reason,
            }),
            None => Err(ConfigError::MalformedRecord(CURRENT_VERSION_KEY)),
        }
    }

    /// Deletes the documents of versions that are not kept. Each delete is sent only once: keys that are left over do
    /// no harm.
    async fn delete_documents(&self, versions: &[VersionRecord]) {
        for version in versions {
            let keys: Vec<String> = (0..version.parts as usize)
                .map(|index| version.part_key(index))
                .collect();
            for batch in keys.chunks(self.base.max_transaction_operations.max(1)) {
                let mut transaction = Transaction::default();
                for key in batch {
                    transaction.delete(key);
                }
                let request = transaction.to_request();
                let _ = self.call_once(&request).await;
            }
        }
    }
}

fn unexpected(answer: &Answer, request: String) -> ConfigError {
    ConfigError::UnexpectedAnswer {
        status: answer.status,
        request,
    }
}

/// Returns a text cut to the [`MAX_TEXT_BYTES`] that are stored with a version, at a character boundary.
fn truncated(text: &str) -> String {
    text[..text.floor_char_boundary(MAX_TEXT_BYTES.min(text.len()))].to_string()
}
