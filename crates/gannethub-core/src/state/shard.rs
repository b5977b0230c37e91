//! Machine blocks: which machines a controller may place on, and under which lease.
//!
//! A block's machines are kept in the state service in chunks, so that no value outgrows its
//! limit. A machine is written there before the first launch on it: whoever takes the block over
//! reads every machine that may hold tasks.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use serde::{Deserialize, Serialize};

use crate::wire::store::SHARD_PREFIX;

/// A machine as its block records it.
#[derive(Serialize, Deserialize, Clone, Debug, PartialEq)]
pub struct ShardMember {
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
    pub machines: BTreeMap<String, ShardMember>,
}

/// Removals that a chunk gathers before they are written beside other work.
const REMOVALS: usize = 8;

impl ShardMember {
    /// What it takes of a chunk's value, at most.
    fn bytes(&self, name: &str) -> usize {
        name.len() + self.flavor.len() + self.zone.len() + 50
    }
}

#[derive(Debug, Default)]
struct Chunk {
    stamp: u64,
    machines: BTreeMap<String, ShardMember>,
    bytes: usize,
    /// Machines were added: nothing can be placed on them before that is written.
    added: bool,
    /// Machines taken out since it was last written: their record only costs a successor time.
    removed: usize,
    /// Chunks that have taken over machines from this one. As long as they are not written, the
    /// stored value of this one is the only record of those machines.
    held: BTreeSet<usize>,
}

impl Chunk {
    fn insert(&mut self, name: &str, member: ShardMember) {
        self.bytes += member.bytes(name);
        self.machines.insert(name.into(), member);
    }

    fn remove(&mut self, name: &str) -> Option<ShardMember> {
        let member = self.machines.remove(name)?;
        self.bytes -= member.bytes(name);
        Some(member)
    }
}

/// A block as its holder sees it.
#[derive(Debug)]
pub struct Shard {
    pub id: u32,
    pub term: u64,
    pub holder: String,
    per_chunk: usize,
    /// What the members of a chunk may take.
    room: usize,
    chunks: Vec<Chunk>,
    place: HashMap<String, usize>,
}

impl Shard {
    pub fn new(id: u32, term: u64, holder: &str, value_bytes: usize, chunk: usize) -> Shard {
        let room = value_bytes.saturating_sub(150 + holder.len());
        let place = HashMap::new();
        Shard {
            id,
            term,
            holder: holder.into(),
            per_chunk: chunk.max(1),
            room,
            chunks: Vec::new(),
            place,
        }
    }

    pub fn chunk_key(&self, chunk: usize) -> String {
        format!("{SHARD_PREFIX}{}/{chunk}", self.id)
    }

    /// The chunk that `key` names, if it is one of this block's.
    pub fn parse_chunk_key(&self, key: &str) -> Option<usize> {
        let rest = key
            .strip_prefix(SHARD_PREFIX)?
            .strip_prefix(&self.id.to_string())?;
        rest.strip_prefix('/')?
            .parse()
            .ok()
            .filter(|n| *n < 100_000)
    }

    /// Takes over what a chunk holds. A machine that another chunk holds as well was on its way from
    /// one to the other; it stays where it was seen first, and is taken out here.
    pub fn load_chunk(&mut self, chunk: usize, record: ChunkRecord, stamp: u64) {
        while self.chunks.len() <= chunk {
            self.chunks.push(Chunk::default());
        }
        let c = &mut self.chunks[chunk];
        c.stamp = stamp;
        for (name, member) in record.machines {
            if self.place.contains_key(&name) {
                c.removed += 1;
                continue;
            }
            self.place.insert(name.clone(), chunk);
            c.insert(&name, member);
        }
    }

    /// Everything has been loaded. Chunks that a holder wrote under larger limits could not be
    /// written again: what is too much for them moves to others, which are written first.
    pub fn finish_loading(&mut self) {
        for i in 0..self.chunks.len() {
            let mut moving = Vec::new();
            let c = &mut self.chunks[i];
            while c.bytes > self.room || c.machines.len() > self.per_chunk {
                let Some(name) = c.machines.keys().next_back().cloned() else {
                    break;
                };
                moving.extend(c.remove(&name).map(|member| (name, member)));
            }
            for (name, member) in moving {
                self.place.remove(&name);
                let to = self.add(&name, member, Some(i));
                self.chunks[i].held.insert(to);
                self.chunks[i].removed += REMOVALS;
            }
        }
    }

    pub fn contains(&self, name: &str) -> bool {
        self.place.contains_key(name)
    }

    /// Adds a machine, but not to chunk `except`; it counts only once its chunk is written.
    pub fn add(&mut self, name: &str, member: ShardMember, except: Option<usize>) -> usize {
        if let Some(chunk) = self.place.get(name) {
            return *chunk;
        }
        let bytes = member.bytes(name);
        let roomy = |(i, c): (usize, &Chunk)| {
            // What another chunk waits for must not be held up itself.
            Some(i) != except
                && c.held.is_empty()
                && c.machines.len() < self.per_chunk
                && c.bytes + bytes <= self.room
        };
        let chunk = self
            .chunks
            .iter()
            .enumerate()
            .position(roomy)
            .unwrap_or_else(|| {
                self.chunks.push(Chunk::default());
                self.chunks.len() - 1
            });
        self.chunks[chunk].insert(name, member);
        self.chunks[chunk].added = true;
        self.place.insert(name.into(), chunk);
        chunk
    }

    /// Takes out a machine that is known to be gone.
    pub fn remove(&mut self, name: &str) {
        if let Some(chunk) = self.place.remove(name) {
            self.chunks[chunk].remove(name);
            self.chunks[chunk].removed += 1;
        }
    }

    /// The next chunk to write: its number, its version and its new value. `idle`: there is nothing
    /// else to write.
    pub fn next_dirty_chunk(&self, idle: bool) -> Option<(usize, u64, ChunkRecord)> {
        let least = if idle { 1 } else { REMOVALS };
        let due = |c: &Chunk| c.held.is_empty() && (c.added || c.removed >= least);
        let (i, c) = self.chunks.iter().enumerate().find(|(_, c)| due(c))?;
        let machines = c.machines.clone();
        Some((
            i,
            c.stamp,
            ChunkRecord {
                term: self.term,
                holder: self.holder.clone(),
                machines,
            },
        ))
    }

    /// A chunk is on its way to the store: what changes from here on makes it dirty again.
    pub fn mark_write_in_flight(&mut self, chunk: usize) {
        self.chunks[chunk].added = false;
        self.chunks[chunk].removed = 0;
    }

    pub fn mark_written(&mut self, chunk: usize, stamp: u64) {
        self.chunks[chunk].stamp = stamp;
        for c in &mut self.chunks {
            c.held.remove(&chunk);
        }
    }

    /// A write was not carried out.
    pub fn mark_write_failed(&mut self, chunk: usize) {
        self.chunks[chunk].added = true;
    }

    /// A write's fate is unknown: write again on top of what the store holds now.
    pub fn mark_write_unknown(&mut self, chunk: usize, stamp: u64) {
        self.chunks[chunk].stamp = stamp;
        self.chunks[chunk].added = true;
    }
}

#[cfg(test)]
mod tests;
