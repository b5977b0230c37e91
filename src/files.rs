//! The operators' files: read, checked, and explained when wrong.

use std::path::{Path, PathBuf};
use std::sync::Arc;

use gannethub_core::policy::Policy;
use gannethub_core::settings::{LedgerSetup, Settings};
use gannethub_ledger::KeyRing;

/// What is wrong with a file, in words that name it.
#[derive(Debug, thiserror::Error)]
pub enum FileError {
    #[error("{0}: cannot be read: {1}")]
    Unreadable(PathBuf, std::io::Error),
    #[error("{0}: {1}")]
    Wrong(PathBuf, String),
    #[error("{0}")]
    Settings(String),
    #[error("{0}: others can read it; chmod 600 it")]
    Open(PathBuf),
}

fn read(file: &Path) -> Result<String, FileError> {
    std::fs::read_to_string(file).map_err(|e| FileError::Unreadable(file.into(), e))
}

pub fn policy(file: &Path) -> Result<Policy, FileError> {
    Policy::parse(&read(file)?).map_err(|e| FileError::Wrong(file.into(), e.to_string()))
}

/// The platform's settings, and what is odd but usable in them.
pub fn settings(file: &Path) -> Result<(Settings, Vec<String>), FileError> {
    let parsed = Settings::parse(&read(file)?, &file.display().to_string());
    parsed.map_err(|e| FileError::Settings(e.to_string()))
}

/// The ledger's settings and its keys.
pub fn ledger(file: &Path, platform: &Settings) -> Result<LedgerSetup, FileError> {
    let name = file.display().to_string();
    let settings = gannethub_ledger::Settings::parse(&read(file)?, &name, &platform.dues());
    let settings = settings.map_err(|e| FileError::Settings(e.to_string()))?;
    let keys = keys(Path::new(&settings.keys))?;
    Ok(LedgerSetup {
        settings: Arc::new(settings),
        keys: Arc::new(keys),
    })
}

/// A key file. One that others can read is refused.
pub fn keys(file: &Path) -> Result<KeyRing, FileError> {
    use std::os::unix::fs::PermissionsExt;
    let text = read(file)?;
    let meta = std::fs::metadata(file).map_err(|e| FileError::Unreadable(file.into(), e))?;
    if meta.permissions().mode() & 0o077 != 0 {
        return Err(FileError::Open(file.into()));
    }
    KeyRing::parse(&text).map_err(|e| FileError::Wrong(file.into(), e.to_string()))
}

/// Adds a new key to a key file, or makes the file. Where it is there already nothing is changed, unless
/// `rotate` says that new pages are to use another key. Returns the newest key's id.
pub fn make_key(file: &Path, rotate: bool) -> Result<String, FileError> {
    use std::io::Write;
    use std::os::unix::fs::OpenOptionsExt;
    let known = match file.exists() {
        true => Some(keys(file)?),
        false => None,
    };
    if let Some(known) = known.as_ref().filter(|_| !rotate) {
        return Ok(known.newest().id.clone());
    }
    let unreadable = |e| FileError::Unreadable(file.into(), e);
    let mut secret = [0; 32];
    getrandom::fill(&mut secret).map_err(|e| FileError::Wrong(file.into(), e.to_string()))?;
    let taken = |id: &String| known.as_ref().is_some_and(|k| k.get(id).is_some());
    let id = (1..)
        .map(|n| format!("k{n}"))
        .find(|id| !taken(id))
        .unwrap_or_default();
    let mut options = std::fs::OpenOptions::new();
    let mut out = options
        .append(true)
        .create(true)
        .mode(0o600)
        .open(file)
        .map_err(unreadable)?;
    out.write_all(KeyRing::write(&id, &secret).as_bytes())
        .map_err(unreadable)?;
    Ok(id)
}

#[cfg(test)]
mod tests;
