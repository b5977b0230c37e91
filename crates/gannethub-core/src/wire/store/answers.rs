//! Answers of the state service.

use serde::{Deserialize, Deserializer};
use serde_json::value::RawValue;

use super::records::LiveRecord;

/// A key and its value.
#[derive(Deserialize, Debug)]
pub struct StoredValue {
    #[serde(rename = "k")]
    pub key: String,
    #[serde(rename = "v")]
    pub value: Box<RawValue>,
    /// The version at which it was last written.
    #[serde(rename = "stamp")]
    pub version: u64,
}

impl StoredValue {
    /// The value as a live job's record; `None`, and an error in the log, if it is none.
    pub fn as_live_record(&self) -> Option<LiveRecord> {
        self.logged(LiveRecord::parse(self.value.get()))
    }

    /// The value as a record; `None`, and an error in the log, if it is none.
    pub fn decode<'a, T: Deserialize<'a>>(&'a self) -> Option<T> {
        self.logged(serde_json::from_str(self.value.get()))
    }

    fn logged<T>(&self, parsed: Result<T, serde_json::Error>) -> Option<T> {
        if let Err(error) = &parsed {
            tracing::error!(key = %self.key, %error, "a value in the state service is not ours");
        }
        parsed.ok()
    }
}

/// One page of a listing.
#[derive(Deserialize, Debug)]
pub struct Listing {
    pub items: Vec<StoredValue>,
    /// More keys follow.
    #[serde(default)]
    pub truncated: bool,
    /// The version that the page is true to.
    #[serde(rename = "ledger_no")]
    pub version: u64,
}

/// 200 to a transaction; and 404 to a read, which says as of when there is no such key.
#[derive(Deserialize, Debug)]
pub struct Committed {
    /// The version at which it was carried out.
    #[serde(rename = "ledger_no")]
    pub version: u64,
}

/// 409 to a transaction: guards did not hold.
#[derive(Deserialize, Debug)]
pub struct Conflict {
    /// The keys whose versions were others.
    #[serde(rename = "failed", default)]
    pub failed_keys: Vec<String>,
}

/// A store lease was granted.
#[derive(Deserialize, Debug)]
pub struct LeaseGranted {
    #[serde(rename = "permit")]
    pub lease_id: u64,
}

/// The answer to a watch, and to a read of changes.
#[derive(Deserialize, Debug)]
pub struct ChangeLog {
    /// The version that the changes lead up to.
    #[serde(rename = "ledger_no")]
    pub version: u64,
    /// In the order of their versions.
    #[serde(rename = "log", default, deserialize_with = "sorted_by_version")]
    pub changes: Vec<Change>,
}

/// Changes in the order of their versions, whatever order they are listed in. A job's end is understood by what its
/// record said before it went, and a change that is applied after a newer one would take that one back.
fn sorted_by_version<'de, D: Deserializer<'de>>(changes: D) -> Result<Vec<Change>, D::Error> {
    let mut changes = Vec::<Change>::deserialize(changes)?;
    changes.sort_by_key(|change| change.version);
    Ok(changes)
}

/// One key was written or deleted.
#[derive(Deserialize, Debug)]
pub struct Change {
    #[serde(rename = "write")]
    pub written_key: Option<String>,
    #[serde(rename = "delete")]
    pub deleted_key: Option<String>,
    /// What was written.
    #[serde(rename = "v")]
    pub value: Option<Box<RawValue>>,
    #[serde(rename = "stamp")]
    pub version: u64,
}

impl Change {
    /// The key that was written or deleted.
    pub fn key(&self) -> Option<&str> {
        self.written_key.as_deref().or(self.deleted_key.as_deref())
    }
}
