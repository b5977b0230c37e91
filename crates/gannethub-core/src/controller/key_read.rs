//! The result of reading one key of the state service.

use crate::http::{Answer, CallResult};
use crate::wire::store::{Committed, StoredValue};

/// Result of a read of one key, according to the answer.
#[derive(Debug)]
pub(super) enum KeyRead {
    /// The key exists.
    Found(StoredValue),
    /// The key exists, but the answer cannot be parsed.
    Unreadable,
    /// The key does not exist, as of this version of the state service if the answer contains a version.
    Absent { version: Option<u64> },
    /// The result is unknown: the read got no answer or was refused.
    Failed,
}

impl From<&CallResult> for KeyRead {
    fn from(result: &CallResult) -> KeyRead {
        match result {
            Ok(answer) if answer.is_ok() => {
                answer.decode().map_or(KeyRead::Unreadable, KeyRead::Found)
            }
            Ok(answer @ Answer { status: 404, .. }) => KeyRead::Absent {
                version: answer.decode::<Committed>().map(|body| body.version),
            },
            _ => KeyRead::Failed,
        }
    }
}
