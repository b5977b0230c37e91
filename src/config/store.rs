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

use crate::http::{Client, is_final};

/// How long an answer is waited for.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);
/// A request without a final answer is sent this often.
const MAX_ATTEMPTS: u32 = 30;
/// The pause between two attempts.
const RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// A client of the state service. Tests put a service in memory behind it.
pub trait StateClient {
    /// Sends one request once.
    fn call(&self, method: Method, path: &str, body: &[u8]) -> impl Future<Output = CallResult>;
}

impl StateClient for Client {
    async fn call(&self, method: Method, path: &str, body: &[u8]) -> CallResult {
        Client::call(self, method, path, body, REQUEST_TIMEOUT).await
    }
}

/// Why a version could not be read or stored.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    #[error("the state service does not answer; last: {last_status:?}")]
    NoFinalAnswer { last_status: Option<u16> },
    #[error("the state service answers {status} to {request}")]
    Refused { status: u16, request: String },
    /// What is stored under a key is no record of this kind.
    #[error("{0} holds no version; it was changed by something else")]
    MalformedRecord(&'static str),
    /// Another change became the next version first.
    #[error("version {version} by {author} came between: {reason}")]
    Conflict {
        version: u64,
        author: String,
        reason: String,
    },
    #[error("version {0} is not kept any more")]
    NotKept(u64),
    #[error("the document of version {version}: {source}")]
    InvalidDocument {
        version: u64,
        source: StoredDocumentError,
    },
    /// The document that is to be stored cannot be used.
    #[error("{0}")]
    Unusable(#[from] DocumentError),
    /// The document that is to be stored does not fit into the values of the state service.
    #[error("the document: {0}")]
    CannotSplit(#[source] StoredDocumentError),
}

/// The configuration as it is in the state service, with the versions of its keys there. These make a change conditional
/// on nobody else's having come first.
#[derive(Clone, Debug, Default)]
pub struct Current {
    /// The version that holds; `None`: none was ever stored.
    pub record: Option<VersionRecord>,
    /// The version of the key that holds the record; 0 if there is none.
    pub key_version: u64,
    pub document: Document,
    pub history: HistoryRecord,
    /// The version of the key that holds the history; 0 if there is none.
    pub(super) history_key_version: u64,
}

impl Current {
    /// The number of the version that holds; 0 if none was ever stored.
    pub fn version(&self) -> u64 {
        self.record.as_ref().map_or(0, |record| record.version)
    }
}

/// Who changes something, and why.
#[derive(Clone, Debug)]
pub struct Author {
    pub name: String,
    pub reason: String,
    /// Time of day in microseconds since 1970.
    pub changed_at: u64,
    /// Distinguishes documents that were written for the same version.
    pub nonce: u64,
}

/// Reads and writes versions of the configuration.
pub struct ConfigStore<'a, C> {
    /// The state service's client.
    pub client: &'a C,
    /// The platform's settings.
    pub base: &'a Settings,
}

impl<C: StateClient> ConfigStore<'_, C> {
    /// Sends a request until there is an answer that asking again would not change.
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

    /// A key's value and version; `None`: there is none.
    async fn get(&self, key: &str) -> Result<Option<StoredValue>, ConfigError> {
        let request = StoreRequest::get(key);
        match self.call(&request).await? {
            answer if answer.is_ok() => Ok(answer.decode()),
            answer if answer.status == 404 => Ok(None),
            answer => Err(refused(&answer, request.path)),
        }
    }

    /// The version that holds.
    pub async fn current(&self) -> Result<Current, ConfigError> {
        let mut current = Current::default();
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

    /// The document of a version.
    pub async fn read_document(&self, record: &VersionRecord) -> Result<Document, ConfigError> {
        let request = StoreRequest::list(&record.parts_prefix(), "");
        match self.call(&request).await? {
            answer if answer.is_ok() => {
                let listing: Listing = answer
                    .decode()
                    .ok_or_else(|| refused(&answer, request.path))?;
                let document = record.assemble(&listing);
                document.map_err(|source| ConfigError::InvalidDocument {
                    version: record.version,
                    source,
                })
            }
            answer => Err(refused(&answer, request.path)),
        }
    }

    /// The document of a version that the history still has; that of version 0 is empty.
    pub async fn kept_document(
        &self,
        current: &Current,
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
        current: &Current,
        wanted: Document,
        author: &Author,
    ) -> Result<VersionRecord, ConfigError> {
        let document = current.document.followed_by(wanted, self.base);
        document.effective(self.base, self.base)?;
        let parts =
            split_document(&document, self.base.value_bytes).map_err(ConfigError::CannotSplit)?;
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

    /// Writes the parts of a version's document. Nobody reads them before the version is made the current one.
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
        for batch in keys.chunks(self.base.txn_ops.max(1)) {
            let mut transaction = Transaction::default();
            for (key, part) in batch {
                transaction.put(key, to_raw_value(part), None);
            }
            let request = transaction.to_request();
            match self.call(&request).await? {
                answer if answer.is_ok() => {}
                answer => return Err(refused(&answer, "a part".into())),
            }
        }
        Ok(())
    }

    /// Makes a version the one that holds; returns the versions that are not kept any more. An answer that is lost does
    /// not matter: the same transaction is sent again, and fails where it or another was carried out.
    async fn make_current(
        &self,
        current: &Current,
        record: &VersionRecord,
    ) -> Result<Vec<VersionRecord>, ConfigError> {
        let mut history = current.history.clone();
        let dropped = history.push(record.clone(), self.base.value_bytes);
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
            answer => Err(refused(&answer, "the switch".into())),
        }
    }

    /// Finds out why the versions of the keys were not those expected: this version itself was made the current one and
    /// the answer was lost, which is no error, or another change came first.
    async fn resolve_conflict(&self, record: &VersionRecord) -> Result<(), ConfigError> {
        let is_this = |other: &VersionRecord| other.id == record.id;
        let item = self.get(CURRENT_VERSION_KEY).await?;
        let current: Option<VersionRecord> = item.and_then(|item| item.decode());
        // Other versions may have followed this one since.
        let item = self.get(HISTORY_KEY).await?;
        let history: Option<HistoryRecord> = item.and_then(|item| item.decode());
        let is_in_history = history.is_some_and(|history| history.versions.iter().any(is_this));
        if current.as_ref().is_some_and(is_this) || is_in_history {
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

    /// Deletes the documents of versions that are not kept. It is tried once: what is left over does no harm.
    async fn delete_documents(&self, versions: &[VersionRecord]) {
        for version in versions {
            let keys: Vec<String> = (0..version.parts as usize)
                .map(|index| version.part_key(index))
                .collect();
            for batch in keys.chunks(self.base.txn_ops.max(1)) {
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

fn refused(answer: &Answer, request: String) -> ConfigError {
    ConfigError::Refused {
        status: answer.status,
        request,
    }
}

/// As much of a text as is stored with a version.
fn truncated(text: &str) -> String {
    text[..text.floor_char_boundary(MAX_TEXT_BYTES.min(text.len()))].to_string()
}
