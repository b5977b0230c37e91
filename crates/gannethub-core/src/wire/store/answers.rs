//! Responses of the state service.

use serde::{Deserialize, Deserializer};
use serde_json::value::RawValue;

use super::records::LiveRecord;

/// A key with its value and version.
#[derive(Deserialize, Debug)]
pub struct StoredValue {
    #[serde(rename = "k")]
    pub key: String,
    #[serde(rename = "v")]
    pub value: Box<RawValue>,
    /// The version at which the key was last written.
    #[serde(rename = "stamp")]
    pub version: u64,
}

impl StoredValue {
    /// Parses the value as a live job's record. Logs an error and returns `None` if parsing fails.
    pub fn as_live_record(&self) -> Option<LiveRecord> {
        self.ok_or_log(LiveRecord::parse(self.value.get()))
    }

    /// Parses the value as a record. Logs an error and returns `None` if parsing fails.
    pub fn decode<'a, T: Deserialize<'a>>(&'a self) -> Option<T> {
        self.ok_or_log(serde_json::from_str(self.value.get()))
    }

    fn ok_or_log<T>(&self, parsed: Result<T, serde_json::Error>) -> Option<T> {
        if let Err(error) = &parsed {
            tracing::error!(key = %self.key, %error, "cannot parse value from the state service");
        }
        parsed.ok()
    }
}

/// One page of a listing.
#[derive(Deserialize, Debug)]
pub struct Listing {
    pub items: Vec<StoredValue>,
    /// Whether more keys follow.
    #[serde(default)]
    pub truncated: bool,
    /// The version of the store at which the page was read.
    #[serde(rename = "ledger_no")]
    pub version: u64,
}

/// The body of a 200 response to a transaction, and of a 404 response to a read.
#[derive(Deserialize, Debug)]
pub struct Committed {
    /// The version at which the transaction was carried out, or as of which the key that was read does not exist.
    #[serde(rename = "ledger_no")]
    pub version: u64,
}

/// The body of a 409 response to a transaction: some guards did not hold.
#[derive(Deserialize, Debug)]
pub struct Conflict {
    /// Keys whose versions differed from their guards.
    #[serde(rename = "failed", default)]
    pub failed_keys: Vec<String>,
}

/// The response that grants a store lease.
#[derive(Deserialize, Debug)]
pub struct LeaseGranted {
    #[serde(rename = "permit")]
    pub lease_id: u64,
}

/// The response to a watch or to a read of changes.
#[derive(Deserialize, Debug)]
pub struct ChangeLog {
    /// The version up to which the changes are listed.
    #[serde(rename = "ledger_no")]
    pub version: u64,
    /// The changes, in the order of their versions.
    #[serde(rename = "log", default, deserialize_with = "sorted_by_version")]
    pub changes: Vec<Change>,
}

/// Deserializes changes and sorts them by version, whatever order they are listed in. A reader derives how a job ended
/// from the last content of the job's record before its deletion, and a change applied after a newer one would undo the
/// newer change.
fn sorted_by_version<'de, D: Deserializer<'de>>(changes: D) -> Result<Vec<Change>, D::Error> {
    let mut changes = Vec::<Change>::deserialize(changes)?;
    changes.sort_by_key(|change| change.version);
    Ok(changes)
}

/// A change: one key was written or deleted.
#[derive(Deserialize, Debug)]
pub struct Change {
    #[serde(rename = "write")]
    pub written_key: Option<String>,
    #[serde(rename = "delete")]
    pub deleted_key: Option<String>,
    /// The written value.
    #[serde(rename = "v")]
    pub value: Option<Box<RawValue>>,
    #[serde(rename = "stamp")]
    pub version: u64,
}

impl Change {
    /// Returns the key that was written or deleted.
    pub fn key(&self) -> Option<&str> {
        self.written_key.as_deref().or(self.deleted_key.as_deref())
    }
}
