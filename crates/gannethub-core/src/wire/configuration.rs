//! How versions of the configuration are stored: one key says which version holds, others hold its document in parts.
//!
//! The key is among those of live jobs, so the watch that every controller has brings a new version without a further
//! request. A controller of a release that does not know it finds a value there that is no job's, and passes over it.

use serde::{Deserialize, Serialize};

use super::store::Listing;
use crate::configuration::Document;

/// Which version holds. It sorts before all jobs' keys.
pub const CURRENT_VERSION_KEY: &str = "gh/live/configuration";
/// The versions before, the newest first.
pub const HISTORY_KEY: &str = "gh/config/history";
/// Under this and a version's id are the parts of its document.
const DOCUMENT_PREFIX: &str = "gh/config/doc/";
/// The longest reason and name that are kept with a version, in bytes.
pub const MAX_TEXT_BYTES: usize = 160;
/// Room that a stored value leaves for what holds it, in bytes.
const VALUE_OVERHEAD_BYTES: usize = 96;

/// A version: who made it, when and why, and where its document is.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize, Serialize)]
pub struct VersionRecord {
    pub version: u64,
    /// Tells documents apart that were written for the same version by two operators at once.
    pub id: String,
    /// How many parts the document has.
    pub parts: u32,
    /// Time of day in microseconds since 1970, by the operator's clock.
    #[serde(rename = "at")]
    pub created_at: u64,
    #[serde(rename = "by")]
    pub author: String,
    #[serde(rename = "why")]
    pub reason: String,
}

/// Versions that were in force, the newest first.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize, Serialize)]
pub struct HistoryRecord {
    pub versions: Vec<VersionRecord>,
}

/// Why a stored document cannot be read.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum StoredDocumentError {
    #[error("{found} of {needed} parts are there")]
    MissingParts { found: usize, needed: u32 },
    #[error("{key} is not a part of a document: {reason}")]
    MalformedPart { key: String, reason: String },
    #[error("{field} does not fit into a value of {limit} bytes")]
    TooLarge { field: String, limit: usize },
}

impl VersionRecord {
    /// All parts of its document have keys that begin so.
    pub fn parts_prefix(&self) -> String {
        format!("{DOCUMENT_PREFIX}{}/", self.id)
    }

    pub fn part_key(&self, part: usize) -> String {
        format!("{}{part:03}", self.parts_prefix())
    }

    /// The document, from a listing of all its parts.
    pub fn assemble(&self, listing: &Listing) -> Result<Document, StoredDocumentError> {
        let found = listing.items.len();
        if found != self.parts as usize || listing.truncated {
            return Err(StoredDocumentError::MissingParts {
                found,
                needed: self.parts,
            });
        }
        let mut document = Document::default();
        for item in &listing.items {
            let part: Document = serde_json::from_str(item.value.get()).map_err(|e| {
                StoredDocumentError::MalformedPart {
                    key: item.key.clone(),
                    reason: e.to_string(),
                }
            })?;
            document.teams.extend(part.teams);
            document.objectives = part.objectives.or(document.objectives);
            document.policy = part.policy.or(document.policy);
            if part.over_limit != Default::default() {
                document.over_limit = part.over_limit;
            }
        }
        Ok(document)
    }
}

/// A document in parts, each of which fits into a value of so many bytes.
pub fn split_document(
    document: &Document,
    value_bytes: usize,
) -> Result<Vec<Document>, StoredDocumentError> {
    let limit = value_bytes.saturating_sub(VALUE_OVERHEAD_BYTES);
    let size = |d: &Document| serde_json::to_string(d).map_or(usize::MAX, |s| s.len());
    let too_large = |field: String| Err(StoredDocumentError::TooLarge { field, limit });
    let objectives = Document {
        objectives: document.objectives.clone(),
        ..Document::default()
    };
    if size(&objectives) > limit {
        return too_large("objectives".into());
    }
    let policy = Document {
        policy: document.policy.clone(),
        over_limit: document.over_limit,
        ..Document::default()
    };
    if size(&policy) > limit {
        return too_large("policy".into());
    }
    let mut parts = vec![policy, objectives];
    let mut part = Document::default();
    let mut bytes = size(&part);
    for team in &document.teams {
        let alone = serde_json::to_string(team).map_or(usize::MAX, |s| s.len() + 1);
        if alone + VALUE_OVERHEAD_BYTES > limit {
            return too_large(format!("team {:?}", team.name));
        }
        if bytes + alone + VALUE_OVERHEAD_BYTES > limit {
            parts.push(std::mem::take(&mut part));
            bytes = size(&part);
        }
        part.teams.push(team.clone());
        bytes += alone;
    }
    parts.push(part);
    // The first part is always there, so that a document without parts is known to be broken.
    let empty = |d: &Document| *d == Document::default();
    let mut kept: Vec<Document> = parts.into_iter().filter(|d| !empty(d)).collect();
    if kept.is_empty() {
        kept.push(Document::default());
    }
    Ok(kept)
}

impl HistoryRecord {
    /// With one more version, and as many of those before as fit; returns those that do not.
    pub fn push(&mut self, version: VersionRecord, value_bytes: usize) -> Vec<VersionRecord> {
        self.versions.insert(0, version);
        let limit = value_bytes.saturating_sub(VALUE_OVERHEAD_BYTES);
        let mut dropped = Vec::new();
        let fits = |h: &HistoryRecord| serde_json::to_string(h).is_ok_and(|s| s.len() <= limit);
        while self.versions.len() > 1 && !fits(self) {
            dropped.extend(self.versions.pop());
        }
        dropped
    }
}

#[cfg(test)]
mod tests;
