//! Storage format of configuration versions: one key names the version in force, other keys hold the parts of its
//! document.
//!
//! The key of the version in force has the prefix of live jobs, so the watch that every controller keeps on that prefix
//! delivers a new version without a further request. A controller of a release without configuration versions finds a
//! value there that is not a job record, and skips the key.

use serde::{Deserialize, Serialize};

use super::store::Listing;
use crate::configuration::{Document, TeamEntry};

/// Key of the version in force. The key sorts before the keys of all jobs.
pub const CURRENT_VERSION_KEY: &str = "gh/live/configuration";
/// Key of the history of versions, which includes the version in force.
pub const HISTORY_KEY: &str = "gh/config/history";
/// Prefix of the keys of document parts; the version's id follows.
const DOCUMENT_PREFIX: &str = "gh/config/doc/";
/// Maximum length of the reason and of the author's name stored with a version, in bytes.
pub const MAX_TEXT_BYTES: usize = 160;
/// Bytes by which values stay below the size limit, reserved for the data that encloses them.
const VALUE_OVERHEAD_BYTES: usize = 96;

/// A version of the configuration: its author, time and reason, and the location of its document.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize, Serialize)]
pub struct VersionRecord {
    pub version: u64,
    /// Distinguishes documents that two operators wrote for the same version concurrently.
    pub id: String,
    /// Number of parts of the document.
    pub parts: u32,
    /// Unix time at which the version was created, in microseconds by the operator's clock.
    #[serde(rename = "at")]
    pub created_at: u64,
    #[serde(rename = "by")]
    pub author: String,
    #[serde(rename = "why")]
    pub reason: String,
}

/// The version in force and the versions that were in force before, newest first.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize, Serialize)]
pub struct HistoryRecord {
    pub versions: Vec<VersionRecord>,
}

/// An error that prevents storing a document or reading a stored document.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum StoredDocumentError {
    #[error("{found} of {needed} document parts found")]
    MissingParts { found: usize, needed: u32 },
    #[error("cannot parse document part {key}: {reason}")]
    MalformedPart { key: String, reason: String },
    #[error("{field} does not fit into a value of {limit} bytes")]
    TooLarge { field: String, limit: usize },
}

impl VersionRecord {
    /// Returns the prefix of the keys of all parts of the version's document.
    pub fn parts_prefix(&self) -> String {
        format!("{DOCUMENT_PREFIX}{}/", self.id)
    }

    /// Returns the key of one part of the version's document.
    pub fn part_key(&self, part: usize) -> String {
        format!("{}{part:03}", self.parts_prefix())
    }

    /// Assembles the document from a listing of all its parts.
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

/// Merges one part into a document. Every field except `teams` is set in one part at most.
fn merge_part(document: &mut Document, part: Document) {
    document.teams.extend(part.teams);
    document.objectives = part.objectives.or(document.objectives.take());
    document.policy = part.policy.or(document.policy.take());
    if part.over_limit != Default::default() {
        document.over_limit = part.over_limit;
    }
}

/// Splits a document into parts that each fit into a value of `max_value_bytes` bytes: the policy, the objectives, and
/// the teams.
///
/// The result has at least one part, so a stored document without parts is recognized as broken.
pub fn split_document(
    document: &Document,
    max_value_bytes: usize,
) -> Result<Vec<Document>, StoredDocumentError> {
    let limit = max_value_bytes.saturating_sub(VALUE_OVERHEAD_BYTES);
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

/// Splits the teams into parts, each with as many teams as fit into `limit` bytes.
fn split_teams(teams: &[TeamEntry], limit: usize) -> Result<Vec<Document>, StoredDocumentError> {
    let mut parts = Vec::new();
    let mut part = Document::default();
    let empty_bytes = json_bytes(&part);
    let mut part_bytes = empty_bytes;
    for team in teams {
        // The size includes a comma. VALUE_OVERHEAD_BYTES covers the other content of a part.
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

/// Returns the size of a value as JSON, in bytes. For a value that cannot be serialized, the size is above every limit.
fn json_bytes(value: &impl Serialize) -> usize {
    serde_json::to_string(value).map_or(usize::MAX, |text| text.len())
}

impl HistoryRecord {
    /// Adds a version as the newest. Removes and returns the oldest versions that no longer fit into a value of
    /// `max_value_bytes` bytes.
    pub fn push(&mut self, version: VersionRecord, max_value_bytes: usize) -> Vec<VersionRecord> {
        self.versions.insert(0, version);
        let limit = max_value_bytes.saturating_sub(VALUE_OVERHEAD_BYTES);
        let mut dropped = Vec::new();
        while self.versions.len() > 1 && json_bytes(self) > limit {
            dropped.extend(self.versions.pop());
        }
        dropped
    }
}

#[cfg(test)]
mod tests;
