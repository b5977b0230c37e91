//! Signing keys, and the keyed hash (MAC) that chains every line to the line before it.

use std::fmt;

use base64::Engine;
use base64::engine::general_purpose::STANDARD_NO_PAD;

/// MAC that chains a line to all lines before it: the first sixteen bytes of a keyed BLAKE3 hash.
#[derive(Clone, Copy, PartialEq, Eq, Default)]
pub struct LineMac([u8; 16]);

impl LineMac {
    /// Returns the MAC of a line with the given text that follows the line with the MAC `self`.
    pub fn next(&self, key: &SigningKey, text: &str) -> LineMac {
        let mut hasher = blake3::Hasher::new_keyed(&key.secret);
        hasher.update(&self.0);
        hasher.update(text.as_bytes());
        let mut mac = [0; 16];
        mac.copy_from_slice(&hasher.finalize().as_bytes()[..16]);
        LineMac(mac)
    }

    pub fn parse(text: &str) -> Option<LineMac> {
        let bytes = STANDARD_NO_PAD.decode(text).ok()?;
        Some(LineMac(bytes.try_into().ok()?))
    }
}

impl fmt::Display for LineMac {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&STANDARD_NO_PAD.encode(self.0))
    }
}

impl fmt::Debug for LineMac {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

/// A secret key, and the id by which pages refer to the key.
#[derive(Clone)]
pub struct SigningKey {
    pub id: String,
    secret: [u8; 32],
}

impl fmt::Debug for SigningKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "SigningKey({})", self.id)
    }
}

/// Why a key file cannot be used.
#[derive(Debug, PartialEq, thiserror::Error)]
pub enum KeyError {
    #[error("line {0}: expected a key id, a space, and 64 hexadecimal digits")]
    Malformed(usize),
    #[error("line {0}: a key id must consist of 1 to 16 letters, digits or dashes")]
    BadId(usize),
    #[error("line {0}: the key id {1:?} appears twice")]
    DuplicateId(usize, String),
    #[error("the file contains no key")]
    Empty,
}

/// Keys of a key file, in the order of the file. New pages use the last key; the earlier keys are kept to verify the
/// pages written with them.
#[derive(Clone, Debug)]
pub struct KeyRing(Vec<SigningKey>);

impl KeyRing {
    /// Parses a key file: one line per key, with the key id and 64 hexadecimal digits. Text after `#` is ignored.
    pub fn parse(text: &str) -> Result<KeyRing, KeyError> {
        let mut keys: Vec<SigningKey> = Vec::new();
        for (number, line) in (1..).zip(text.lines()) {
            let line = line.split('#').next().unwrap_or("").trim();
            if line.is_empty() {
                continue;
            }
            let (id, hex) = line.split_once(' ').ok_or(KeyError::Malformed(number))?;
            let is_allowed = |b: u8| b.is_ascii_alphanumeric() || b == b'-';
            if !(1..=16).contains(&id.len()) || !id.bytes().all(is_allowed) {
                return Err(KeyError::BadId(number));
            }
            if keys.iter().any(|k| k.id == id) {
                return Err(KeyError::DuplicateId(number, id.into()));
            }
            let secret = parse_secret(hex.trim()).ok_or(KeyError::Malformed(number))?;
            keys.push(SigningKey {
                id: id.into(),
                secret,
            });
        }
        if keys.is_empty() {
            Err(KeyError::Empty)
        } else {
            Ok(KeyRing(keys))
        }
    }

    /// Returns a key as a line of a key file.
    pub fn write(id: &str, secret: &[u8; 32]) -> String {
        let hex: String = secret.iter().map(|b| format!("{b:02x}")).collect();
        format!("{id} {hex}\n")
    }

    /// Returns the key for new pages.
    pub fn newest(&self) -> &SigningKey {
        // The index is valid: `parse` rejects a file without a key.
        &self.0[self.0.len() - 1]
    }

    pub fn get(&self, id: &str) -> Option<&SigningKey> {
        self.0.iter().find(|k| k.id == id)
    }

    pub fn ids(&self) -> impl Iterator<Item = &str> {
        self.0.iter().map(|k| &*k.id)
    }
}

fn parse_secret(text: &str) -> Option<[u8; 32]> {
    let mut out = [0; 32];
    if text.len() != 64 || !text.is_ascii() {
        return None;
    }
    for (i, byte) in out.iter_mut().enumerate() {
        *byte = u8::from_str_radix(text.get(2 * i..2 * i + 2)?, 16).ok()?;
    }
    Some(out)
}

#[cfg(test)]
mod tests;
