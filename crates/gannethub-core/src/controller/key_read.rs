//! The result of reading one key of the state service.

use crate::http::{Answer, CallResult};
use crate::wire::store::{Committed, StoredValue};

/// What the answer to a read of one key says.
#[derive(Debug)]
pub(super) enum KeyRead {
    /// The key is there.
    Found(StoredValue),
    /// The key is there, and the answer cannot be parsed.
    Unreadable,
    /// The key is not there, as of this version of the state service if the answer says so.
    Absent { version: Option<u64> },
    /// Nothing is known: there was no answer, or a refusal.
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
