//! Machine blocks: which machines a controller may place on, and under which lease.
//!
//! A block's machines are kept in the state service in chunks, so that no value outgrows its
//! limit. A machine is written there before the first launch on it: whoever takes the block over
//! reads every machine that may hold tasks.

use std::collections::{BTreeMap, HashMap};

use serde::{Deserialize, Serialize};

use crate::store::BLOCK;

/// A machine as its block records it.
#[derive(Serialize, Deserialize, Clone, Debug, PartialEq)]
pub struct Member {
    pub flavor: String,
    pub zone: String,
    pub spot: bool,
}

/// The value of one chunk of a block.
#[derive(Serialize, Deserialize, Clone, Debug, PartialEq)]
pub struct ChunkRecord {
    /// The term under which the block is leased.
    pub term: u64,
    /// The controller that holds the lease.
    pub holder: String,
    pub machines: BTreeMap<String, Member>,
}

#[derive(Debug, Default)]
struct Chunk {
    stamp: u64,
    machines: BTreeMap<String, Member>,
    dirty: bool,
}

/// A block as its holder sees it.
#[derive(Debug)]
pub struct Block {
    pub id: u32,
    pub term: u64,
    pub holder: String,
    per_chunk: usize,
    chunks: Vec<Chunk>,
    place: HashMap<String, usize>,
}

impl Block {
    pub fn new(id: u32, term: u64, holder: &str, value_bytes: usize, chunk: usize) -> Block {
        // A member takes some 130 bytes with the longest plausible names.
        let per_chunk = (value_bytes / 160).min(chunk).max(4);
        let place = HashMap::new();
        Block { id, term, holder: holder.into(), per_chunk, chunks: Vec::new(), place }
    }

    pub fn key(&self, chunk: usize) -> String {
        format!("{BLOCK}{}/{chunk}", self.id)
    }

    /// The chunk that `key` names, if it is one of this block's.
    pub fn chunk_of_key(&self, key: &str) -> Option<usize> {
        let rest = key.strip_prefix(BLOCK)?.strip_prefix(&self.id.to_string())?;
        rest.strip_prefix('/')?.parse().ok().filter(|n| *n < 100_000)
    }

    /// Takes over what a chunk holds.
    pub fn load(&mut self, chunk: usize, record: ChunkRecord, stamp: u64) {
        while self.chunks.len() <= chunk {
            self.chunks.push(Chunk::default());
        }
        for name in record.machines.keys() {
            self.place.insert(name.clone(), chunk);
        }
        self.chunks[chunk].stamp = stamp;
        self.chunks[chunk].machines = record.machines;
    }

    pub fn contains(&self, name: &str) -> bool {
        self.place.contains_key(name)
    }

    /// Adds a machine; it counts only once its chunk is written.
    pub fn add(&mut self, name: &str, member: Member) {
        if self.contains(name) {
            return;
        }
        let roomy = self.chunks.iter().position(|c| c.machines.len() < self.per_chunk);
        let chunk = roomy.unwrap_or_else(|| {
            self.chunks.push(Chunk::default());
            self.chunks.len() - 1
        });
        self.chunks[chunk].machines.insert(name.into(), member);
        self.chunks[chunk].dirty = true;
        self.place.insert(name.into(), chunk);
    }

    /// Takes out a machine that is known to be gone.
    pub fn remove(&mut self, name: &str) {
        if let Some(chunk) = self.place.remove(name) {
            self.chunks[chunk].machines.remove(name);
            self.chunks[chunk].dirty = true;
        }
    }

    /// The next chunk to write: its number, its version and its new value.
    pub fn dirty(&self) -> Option<(usize, u64, ChunkRecord)> {
        let (i, c) = self.chunks.iter().enumerate().find(|(_, c)| c.dirty)?;
        let machines = c.machines.clone();
        Some((i, c.stamp, ChunkRecord { term: self.term, holder: self.holder.clone(), machines }))
    }

    /// A chunk is on its way to the store: what changes from here on makes it dirty again.
    pub fn writing(&mut self, chunk: usize) {
        self.chunks[chunk].dirty = false;
    }

    pub fn written(&mut self, chunk: usize, stamp: u64) {
        self.chunks[chunk].stamp = stamp;
    }

    /// A write was not carried out.
    pub fn unwritten(&mut self, chunk: usize) {
        self.chunks[chunk].dirty = true;
    }

    /// A write's fate is unknown: write again on top of what the store holds now.
    pub fn rewrite(&mut self, chunk: usize, stamp: u64) {
        self.chunks[chunk].stamp = stamp;
        self.chunks[chunk].dirty = true;
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn machines_spread_over_chunks_and_a_successor_reads_them_all() {
        let member = Member { flavor: "g8".into(), zone: "a".into(), spot: false };
        let mut block = Block::new(0, 1, "n0", 1024, 100);
        for i in 0..14 {
            block.add(&format!("host-{i}"), member.clone());
        }
        block.remove("host-3");
        let mut next = Block::new(0, 2, "n1", 1024, 100);
        while let Some((chunk, _, record)) = block.dirty() {
            assert!(serde_json::to_string(&record).unwrap().len() <= 1024);
            assert_eq!(next.chunk_of_key(&block.key(chunk)), Some(chunk));
            next.load(chunk, record, 9);
            block.writing(chunk);
        }
        assert!(next.contains("host-13") && !next.contains("host-3"));
        assert!(next.dirty().is_none());
        next.add("host-99", member);
        assert_eq!(next.dirty().unwrap().0, 0, "the room that host-3 left is used again");
    }
}
