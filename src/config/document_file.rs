//! The configuration file that operators write.

use std::path::Path;

use gannethub_core::configuration::{Document, DocumentError};
use gannethub_core::settings::Settings;

use super::CommandError;
use crate::files;

/// Reads a configuration file and checks the document against the platform's settings.
pub fn read(file: &Path, base: &Settings) -> Result<Document, CommandError> {
    parse(&files::read_text(file)?, &file.display().to_string(), base)
}

fn parse(text: &str, file: &str, base: &Settings) -> Result<Document, CommandError> {
    let document: Document = toml::from_str(text).map_err(|error| CommandError::Syntax {
        file: file.into(),
        source: Box::new(error),
    })?;
    match document.apply_to(base, base) {
        Ok(_) => Ok(document),
        Err(DocumentError { field, reason }) => Err(CommandError::InvalidField {
            file: file.into(),
            line: line_of(text, &field),
            field,
            reason,
        }),
    }
}

/// Returns the line, counted from 1, of a field such as `over_limit` or `teams[3].cpus`: the line of the field's key,
/// else the header line of the field's table, else 1.
fn line_of(text: &str, field: &str) -> usize {
    let Some(entry_field) = EntryField::parse(field) else {
        return text
            .lines()
            .position(|line| is_key(line, field))
            .map_or(1, |index| index + 1);
    };
    let header = format!("[[{}]]", entry_field.table);
    let lines = text.lines().enumerate();
    let mut headers = lines.filter(|(_, line)| line.trim() == header);
    let Some((header_index, _)) = headers.nth(entry_field.index) else {
        return 1;
    };
    let mut entry = text
        .lines()
        .skip(header_index + 1)
        .take_while(|line| !line.trim_start().starts_with('['));
    let header_line = header_index + 1;
    entry
        .position(|line| is_key(line, entry_field.key))
        .map_or(header_line, |index| header_line + index + 1)
}

/// A field of an entry in an array of tables, such as `teams[3].cpus`.
struct EntryField<'a> {
    table: &'a str,
    index: usize,
    key: &'a str,
}

impl EntryField<'_> {
    fn parse(field: &str) -> Option<EntryField<'_>> {
        let (table, rest) = field.split_once('[')?;
        let (index, key) = rest.split_once("].")?;
        Some(EntryField {
            table,
            index: index.parse().ok()?,
            key,
        })
    }
}

/// Whether a line assigns a value to this key.
fn is_key(line: &str, key: &str) -> bool {
    line.trim_start()
        .strip_prefix(key)
        .is_some_and(|rest| rest.trim_start().starts_with('='))
}

#[cfg(test)]
mod tests;
