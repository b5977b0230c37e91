//! Versions of the configuration as they are stored: one key says which version is in force, others hold its document in
//! parts.
//!
//! The first key is among those of live jobs, so the watch that every controller has brings a new version without a
//! further request. A controller of a release that does not know of it finds a value there that is no job's, and passes
//! over it.

use serde::{Deserialize, Serialize};

use super::store::Listing;
use crate::configuration::{Document, TeamEntry};

/// The version in force. The key sorts before all jobs' keys.
pub const CURRENT_VERSION_KEY: &str = "gh/live/configuration";
/// The versions before it, the newest first.
pub const HISTORY_KEY: &str = "gh/config/history";
/// Under this prefix and a version's id are the parts of its document.
const DOCUMENT_PREFIX: &str = "gh/config/doc/";
/// The longest reason and name that are kept with a version, in bytes.
pub const MAX_TEXT_BYTES: usize = 160;
/// Stored values are kept this far below their limit, for what holds them.
const VALUE_OVERHEAD_BYTES: usize = 96;

/// A version: who made it, when and why, and where its document is.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize, Serialize)]
pub struct VersionRecord {
    pub version: u64,
    /// Tells documents apart that two operators wrote for the same version at once.
    pub id: String,
    /// How many parts the document has.
    pub parts: u32,
    /// Unix time in microseconds, by the operator's clock.
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

/// Why a document cannot be stored, or a stored one cannot be read.
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
    /// The prefix of the keys of all parts of its document.
    pub fn parts_prefix(&self) -> String {
        format!("{DOCUMENT_PREFIX}{}/", self.id)
    }

    /// The key of one part of its document.
    pub fn part_key(&self, part: usize) -> String {
        format!("{}{part:03}", self.parts_prefix())
    }

    /// Puts the document together from a listing of all its parts.
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
            let part: Document = serde_json::from_str(item.value.get()).map_err(|error| {
                StoredDocumentError::MalformedPart {
                    key: item.key.clone(),
                    reason: error.to_string(),
                }
            })?;
            merge_part(&mut document, part);
        }
        Ok(document)
    }
}

/// Adds one part to a document. Only one of the parts has each of the fields that are not lists.
fn merge_part(document: &mut Document, part: Document) {
    document.teams.extend(part.teams);
    document.objectives = part.objectives.or(document.objectives.take());
    document.policy = part.policy.or(document.policy.take());
    if part.over_limit != Default::default() {
        document.over_limit = part.over_limit;
    }
}

/// Splits a document into parts that fit into values of so many bytes each: the policy, the objectives, and teams.
///
/// There is always at least one part, so a document without any is known to be broken.
pub fn split_document(
    document: &Document,
    value_bytes: usize,
) -> Result<Vec<Document>, StoredDocumentError> {
    let limit = value_bytes.saturating_sub(VALUE_OVERHEAD_BYTES);
    let policy = Document {
        policy: document.policy.clone(),
        over_limit: document.over_limit,
        ..Document::default()
    };
    let objectives = Document {
        objectives: document.objectives.clone(),
        ..Document::default()
    };
    check_size("objectives", json_bytes(&objectives), limit)?;
    check_size("policy", json_bytes(&policy), limit)?;
    let mut parts = vec![policy, objectives];
    parts.extend(split_teams(&document.teams, limit)?);
    parts.retain(|part| *part != Document::default());
    if parts.is_empty() {
        parts.push(Document::default());
    }
    Ok(parts)
}

/// As many teams to a part as fit into `limit` bytes.
fn split_teams(teams: &[TeamEntry], limit: usize) -> Result<Vec<Document>, StoredDocumentError> {
    let mut parts = Vec::new();
    let mut part = Document::default();
    let empty_bytes = json_bytes(&part);
    let mut part_bytes = empty_bytes;
    for team in teams {
        // With its comma, and room for what a part has beside its teams.
        let team_bytes = json_bytes(team).saturating_add(1);
        let field = format!("team {:?}", team.name);
        check_size(
            &field,
            team_bytes.saturating_add(VALUE_OVERHEAD_BYTES),
            limit,
        )?;
        if part_bytes + team_bytes + VALUE_OVERHEAD_BYTES > limit {
            parts.push(std::mem::take(&mut part));
            part_bytes = empty_bytes;
        }
        part.teams.push(team.clone());
        part_bytes += team_bytes;
    }
    parts.push(part);
    Ok(parts)
}

fn check_size(field: &str, bytes: usize, limit: usize) -> Result<(), StoredDocumentError> {
    if bytes <= limit {
        return Ok(());
    }
    let field = field.to_string();
    Err(StoredDocumentError::TooLarge { field, limit })
}

/// What a value takes as JSON. One that cannot be written fits nowhere.
fn json_bytes(value: &impl Serialize) -> usize {
    serde_json::to_string(value).map_or(usize::MAX, |text| text.len())
}

impl HistoryRecord {
    /// Adds a version as the newest. Returns the oldest ones, which do not fit into a value of so many bytes any more.
    pub fn push(&mut self, version: VersionRecord, value_bytes: usize) -> Vec<VersionRecord> {
        self.versions.insert(0, version);
        let limit = value_bytes.saturating_sub(VALUE_OVERHEAD_BYTES);
        let mut dropped = Vec::new();
        while self.versions.len() > 1 && json_bytes(self) > limit {
            dropped.extend(self.versions.pop());
        }
        dropped
    }
}

#[cfg(test)]
mod tests;
