//! What is in a transaction on its way to the state service.

use std::collections::BTreeMap;

use crate::model::{JobId, Ranges};
use crate::wire::store::JobRecord;

/// Part of a transaction in flight.
#[derive(Debug, Clone)]
pub enum Item {
    Job {
        id: JobId,
        parts: BTreeMap<u32, Ranges>,
        /// The mark in its own value.
        open: u32,
    },
    /// `late_s`: by how much it missed its deadline.
    Over {
        id: JobId,
        cancelled: bool,
        late_s: Option<u32>,
    },
    /// A job that waited for others is released.
    Release {
        id: JobId,
        record: Box<JobRecord>,
    },
    /// A waiting job is cancelled with one that it needs.
    Mark {
        id: JobId,
    },
    Chunk {
        index: usize,
        members: Vec<String>,
    },
    /// A page of the ledger.
    Ledger,
    /// That marks cover all launches.
    Marked,
    /// A job goes to another block.
    Home {
        id: JobId,
        record: Box<JobRecord>,
    },
    /// A machine was given to another block.
    Gave {
        machine: String,
    },
    Drop,
}

#[derive(Debug, Default)]
pub struct Batch {
    pub(crate) items: Vec<Item>,
    keys: Vec<String>,
}

impl Batch {
    pub fn push(&mut self, item: Item, key: String) {
        self.items.push(item);
        self.keys.push(key);
    }

    /// Keys whose versions are unsure when the transaction's fate is.
    pub fn keys(&self) -> &[String] {
        &self.keys
    }
}
