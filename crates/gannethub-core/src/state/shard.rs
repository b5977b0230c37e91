//! Shards of machines: the machines on which a controller may place tasks, and the term under which it owns them.
//!
//! A shard's machines are stored in the state service in chunks, so that no value exceeds its size limit. A machine
//! is written to a chunk before the first launch on the machine, so a controller that takes over the shard reads
//! every machine that may hold tasks.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use serde::{Deserialize, Serialize};

use crate::wire::store::{MachineTransferRecord, SHARD_PREFIX};

/// Number of removals in a chunk that are collected before the chunk is written alongside other work.
const MIN_BATCHED_REMOVALS: usize = 8;
/// Maximum number of bytes that a member adds to its chunk's value, besides its names.
const MEMBER_OVERHEAD_BYTES: usize = 50;
/// Maximum number of bytes of a chunk's value, besides its members and its owner's name.
const CHUNK_OVERHEAD_BYTES: usize = 150;
/// Chunk numbers from this value on are invalid.
const MAX_CHUNKS: usize = 100_000;

/// A machine in its shard's record.
#[derive(Serialize, Deserialize, Clone, Debug, PartialEq)]
pub struct ShardMember {
    #[serde(rename = "flavor")]
    pub machine_type: String,
    pub zone: String,
    pub spot: bool,
}

/// The stored value of one chunk of a shard.
#[derive(Serialize, Deserialize, Clone, Debug, PartialEq)]
pub struct ChunkRecord {
    /// The term under which the shard is owned.
    pub term: u64,
    /// The controller that owns the shard.
    #[serde(rename = "holder")]
    pub owner: String,
    pub machines: BTreeMap<String, ShardMember>,
}

/// A chunk that is to be written.
#[derive(Debug)]
pub struct ChunkWrite {
    pub index: usize,
    /// The version that guards the write.
    pub version: u64,
    pub record: ChunkRecord,
}

impl From<MachineTransferRecord> for ShardMember {
    fn from(record: MachineTransferRecord) -> ShardMember {
        ShardMember {
            machine_type: record.machine_type,
            zone: record.zone,
            spot: record.spot,
        }
    }
}

impl ShardMember {
    /// Returns the maximum number of bytes that the member adds to a chunk's value.
    fn max_bytes(&self, name: &str) -> usize {
        name.len() + self.machine_type.len() + self.zone.len() + MEMBER_OVERHEAD_BYTES
    }
}

#[derive(Debug, Default)]
struct Chunk {
    version: u64,
    machines: BTreeMap<String, ShardMember>,
    bytes: usize,
    /// Whether machines were added. Nothing can be placed on them before the addition is written.
    has_additions: bool,
    /// Number of machines removed since the chunk was last written. Their stale record only costs a successor time.
    removals: usize,
    /// Chunks that have taken over machines from this chunk. Until those chunks are written, the stored value of this
    /// chunk is the only record of the moved machines, so this chunk must not be written.
    waits_for: BTreeSet<usize>,
}

impl Chunk {
    fn insert(&mut self, name: &str, member: ShardMember) {
        self.bytes += member.max_bytes(name);
        self.machines.insert(name.into(), member);
    }

    fn remove(&mut self, name: &str) -> Option<ShardMember> {
        let member = self.machines.remove(name)?;
        self.bytes -= member.max_bytes(name);
        Some(member)
    }

    fn needs_write(&self, min_removals: usize) -> bool {
        self.waits_for.is_empty() && (self.has_additions || self.removals >= min_removals)
    }
}

/// The durable record of a shard's machines, as its owner sees it.
#[derive(Debug)]
pub struct Shard {
    pub id: u32,
    /// The term under which this controller owns the shard.
    pub term: u64,
    /// The name of this controller.
    pub owner: String,
    max_members: usize,
    /// Maximum total size of a chunk's members, in bytes.
    max_member_bytes: usize,
    chunks: Vec<Chunk>,
    /// Index of each machine's chunk, by machine name.
    chunk_by_machine: HashMap<String, usize>,
}

impl Shard {
    /// Returns a shard of which nothing has been read yet. `max_value_bytes`: maximum size of a value in the state
    /// service. `chunk_size`: maximum number of machines in a chunk.
    pub fn new(
        id: u32,
        term: u64,
        owner: &str,
        max_value_bytes: usize,
        chunk_size: usize,
    ) -> Shard {
        Shard {
            id,
            term,
            owner: owner.into(),
            max_members: chunk_size.max(1),
            max_member_bytes: max_value_bytes.saturating_sub(CHUNK_OVERHEAD_BYTES + owner.len()),
            chunks: Vec::new(),
            chunk_by_machine: HashMap::new(),
        }
    }

    /// Returns the key of a chunk in the state service.
    pub fn chunk_key(&self, chunk: usize) -> String {
        format!("{SHARD_PREFIX}{}/{chunk}", self.id)
    }

    /// Returns the chunk that `key` names, if it is a chunk of this shard.
    pub fn parse_chunk_key(&self, key: &str) -> Option<usize> {
        let rest = key
            .strip_prefix(SHARD_PREFIX)?
            .strip_prefix(&self.id.to_string())?;
        let chunk = rest.strip_prefix('/')?.parse().ok()?;
        (chunk < MAX_CHUNKS).then_some(chunk)
    }

    /// Loads a stored chunk. A machine that another chunk holds as well was being moved between the two chunks; it
    /// stays in the chunk in which it was found first, and is removed from this one.
    pub fn load_chunk(&mut self, index: usize, record: ChunkRecord, version: u64) {
        while self.chunks.len() <= index {
            self.chunks.push(Chunk::default());
        }
        let chunk = &mut self.chunks[index];
        chunk.version = version;
        for (name, member) in record.machines {
            if self.chunk_by_machine.contains_key(&name) {
                chunk.removals += 1;
                continue;
            }
            self.chunk_by_machine.insert(name.clone(), index);
            chunk.insert(&name, member);
        }
    }

    /// Completes the loading of all chunks. Chunks that an owner wrote under larger limits could not be written
    /// again: the excess machines move to other chunks, which are written first.
    pub fn finish_loading(&mut self) {
        for index in 0..self.chunks.len() {
            for (name, member) in self.take_excess(index) {
                self.chunk_by_machine.remove(&name);
                let target = self.add(&name, member, Some(index));
                let chunk = &mut self.chunks[index];
                chunk.waits_for.insert(target);
                chunk.removals += MIN_BATCHED_REMOVALS;
            }
        }
    }

    /// Removes the machines that exceed a chunk's limits.
    fn take_excess(&mut self, index: usize) -> Vec<(String, ShardMember)> {
        let mut excess = Vec::new();
        let chunk = &mut self.chunks[index];
        while chunk.bytes > self.max_member_bytes || chunk.machines.len() > self.max_members {
            let Some(name) = chunk.machines.keys().next_back().cloned() else {
                break;
            };
            excess.extend(chunk.remove(&name).map(|member| (name, member)));
        }
        excess
    }

    /// Whether a machine is on the record, or is to be written there.
    pub fn contains(&self, name: &str) -> bool {
        self.chunk_by_machine.contains_key(name)
    }

    /// Adds a machine to any chunk but `except`. The machine counts only once its chunk is written. Returns the
    /// index of the chunk.
    pub fn add(&mut self, name: &str, member: ShardMember, except: Option<usize>) -> usize {
        if let Some(chunk) = self.chunk_by_machine.get(name) {
            return *chunk;
        }
        let index = self
            .find_chunk_for(member.max_bytes(name), except)
            .unwrap_or_else(|| {
                self.chunks.push(Chunk::default());
                self.chunks.len() - 1
            });
        let chunk = &mut self.chunks[index];
        chunk.insert(name, member);
        chunk.has_additions = true;
        self.chunk_by_machine.insert(name.into(), index);
        index
    }

    fn find_chunk_for(&self, bytes: usize, except: Option<usize>) -> Option<usize> {
        let mut chunks = self.chunks.iter().enumerate();
        chunks.position(|(index, chunk)| {
            // A chunk that another chunk waits for must not wait itself.
            Some(index) != except
                && chunk.waits_for.is_empty()
                && chunk.machines.len() < self.max_members
                && chunk.bytes + bytes <= self.max_member_bytes
        })
    }

    /// Removes a machine that is known to be gone.
    pub fn remove(&mut self, name: &str) {
        let Some(index) = self.chunk_by_machine.remove(name) else {
            return;
        };
        let chunk = &mut self.chunks[index];
        chunk.remove(name);
        chunk.removals += 1;
    }

    /// Returns the next chunk to write. `idle`: nothing else is to be written, so that a single removal is enough.
    pub fn next_dirty_chunk(&self, idle: bool) -> Option<ChunkWrite> {
        let min_removals = if idle { 1 } else { MIN_BATCHED_REMOVALS };
        let mut chunks = self.chunks.iter().enumerate();
        let (index, chunk) = chunks.find(|(_, chunk)| chunk.needs_write(min_removals))?;
        let record = ChunkRecord {
            term: self.term,
            owner: self.owner.clone(),
            machines: chunk.machines.clone(),
        };
        Some(ChunkWrite {
            index,
            version: chunk.version,
            record,
        })
    }

    /// Records that a chunk's write is in flight. Later changes make the chunk dirty again.
    pub fn mark_write_in_flight(&mut self, index: usize) {
        self.chunks[index].has_additions = false;
        self.chunks[index].removals = 0;
    }

    /// Records that a chunk's write was carried out.
    pub fn mark_written(&mut self, index: usize, version: u64) {
        self.chunks[index].version = version;
        for chunk in &mut self.chunks {
            chunk.waits_for.remove(&index);
        }
    }

    /// Records that a chunk's write was not carried out.
    pub fn mark_write_failed(&mut self, index: usize) {
        self.chunks[index].has_additions = true;
    }

    /// Records that the outcome of a chunk's write is unknown. The chunk is written again on top of the version that
    /// the state service holds now.
    pub fn mark_write_unknown(&mut self, index: usize, version: u64) {
        self.chunks[index].version = version;
        self.chunks[index].has_additions = true;
    }
}

#[cfg(test)]
mod tests;
