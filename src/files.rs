//! Reads the files that operators write (settings, policies, ledger settings) and reads and writes ledger key files.

use std::fs::{self, OpenOptions};
use std::io::{self, Write};
use std::os::unix::fs::{OpenOptionsExt, PermissionsExt};
use std::path::{Path, PathBuf};
use std::sync::Arc;

use gannethub_core::policy::{Policy, PolicyError};
use gannethub_core::settings::{LedgerSetup, Settings, SettingsError};
use gannethub_ledger::KeyRing;
use gannethub_ledger::chain::KeyError;

/// Permissions of a new key file: only the owner may read and write the file.
const KEY_FILE_MODE: u32 = 0o600;
/// Permission bits that give users other than the owner access to a key file.
const OTHER_USERS_MODE: u32 = 0o077;
const SECRET_BYTES: usize = 32;

/// Errors of reading and writing files. The messages name the file.
#[derive(Debug, thiserror::Error)]
pub enum FileError {
    #[error("cannot access {file}: {source}")]
    Inaccessible { file: PathBuf, source: io::Error },
    #[error("{file}: {source}")]
    InvalidPolicy { file: PathBuf, source: PolicyError },
    #[error("{file}: {source}")]
    InvalidKeys { file: PathBuf, source: KeyError },
    /// The operating system provided no random bytes for a new key.
    #[error("{file}: cannot generate a key: {source}")]
    NoRandomness {
        file: PathBuf,
        source: getrandom::Error,
    },
    #[error("{0}")]
    InvalidSettings(#[from] SettingsError),
    #[error("{0}")]
    InvalidLedgerSettings(#[from] gannethub_ledger::settings::SettingsError),
    /// Users other than the owner of a key file may access it.
    #[error("{0}: other users have access to this key file; run chmod 600 on it")]
    KeysExposed(PathBuf),
}

impl FileError {
    /// Returns a function that turns an I/O error of reading or writing this file into a [`FileError`].
    pub fn inaccessible(file: &Path) -> impl Fn(io::Error) -> FileError {
        move |source| FileError::Inaccessible {
            file: file.into(),
            source,
        }
    }
}

pub fn read_text(file: &Path) -> Result<String, FileError> {
    fs::read_to_string(file).map_err(FileError::inaccessible(file))
}

/// Reads and checks an operator policy.
pub fn read_policy(file: &Path) -> Result<Policy, FileError> {
    Policy::parse(&read_text(file)?).map_err(|source| FileError::InvalidPolicy {
        file: file.into(),
        source,
    })
}

/// Reads and checks the platform's settings. Also returns warnings about settings that are unusual but usable.
pub fn read_settings(file: &Path) -> Result<(Settings, Vec<String>), FileError> {
    let text = read_text(file)?;
    Ok(Settings::parse(&text, &file.display().to_string())?)
}

/// Reads and checks the ledger settings and the key file that they name.
pub fn read_ledger_setup(file: &Path, platform: &Settings) -> Result<LedgerSetup, FileError> {
    let text = read_text(file)?;
    let name = file.display().to_string();
    let settings =
        gannethub_ledger::Settings::parse(&text, &name, &platform.default_ledger_shares())?;
    let keys = read_keys(Path::new(&settings.key_file))?;
    Ok(LedgerSetup {
        settings: Arc::new(settings),
        keys: Arc::new(keys),
    })
}

/// Reads a key file. A file that other users can access is refused.
pub fn read_keys(file: &Path) -> Result<KeyRing, FileError> {
    let text = read_text(file)?;
    let metadata = fs::metadata(file).map_err(FileError::inaccessible(file))?;
    if metadata.permissions().mode() & OTHER_USERS_MODE != 0 {
        return Err(FileError::KeysExposed(file.into()));
    }
    KeyRing::parse(&text).map_err(|source| FileError::InvalidKeys {
        file: file.into(),
        source,
    })
}

/// Adds a new key to a key file, or creates the file. An existing file stays unchanged unless `rotate` asks for
/// another key for new pages of the ledger. Returns the id of the newest key.
pub fn make_key(file: &Path, rotate: bool) -> Result<String, FileError> {
    let existing = if file.exists() {
        Some(read_keys(file)?)
    } else {
        None
    };
    if let Some(keys) = existing.as_ref().filter(|_| !rotate) {
        return Ok(keys.newest().id.clone());
    }
    let mut secret = [0; SECRET_BYTES];
    getrandom::fill(&mut secret).map_err(|source| FileError::NoRandomness {
        file: file.into(),
        source,
    })?;
    let id = unused_key_id(existing.as_ref());
    append(file, &KeyRing::write(&id, &secret)).map_err(FileError::inaccessible(file))?;
    Ok(id)
}

/// Returns the first id of the sequence `k1`, `k2`, ... that no key has.
fn unused_key_id(existing: Option<&KeyRing>) -> String {
    let is_used = |id: &str| existing.is_some_and(|keys| keys.get(id).is_some());
    (1..)
        .map(|number| format!("k{number}"))
        .find(|id| !is_used(id))
        .unwrap_or_default()
}

fn append(file: &Path, text: &str) -> io::Result<()> {
    let mut output = OpenOptions::new()
        .append(true)
        .create(true)
        .mode(KEY_FILE_MODE)
        .open(file)?;
    output.write_all(text.as_bytes())
}

#[cfg(test)]
mod tests;
