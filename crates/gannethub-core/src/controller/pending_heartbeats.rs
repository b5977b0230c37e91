//! Workers' heartbeats that have no answer yet: those relayed to a peer, and those deferred until the state has been
//! read.

use std::collections::HashMap;

use bytes::Bytes;

use crate::model::Micros;

/// Maximum number of machines for which the peer that owns their shard is remembered.
const MAX_REMEMBERED_ROUTES: usize = 20_000;
/// Maximum number of heartbeats that wait for the state to be read. Further heartbeats are told to retry later.
const MAX_DEFERRED_HEARTBEATS: usize = 8_000;

/// Sender of a heartbeat, which waits for the answer.
#[derive(Clone, Copy, Debug)]
pub(super) enum HeartbeatSender {
    /// A worker, on this connection.
    Worker { connection: u64 },
    /// A peer that relayed the heartbeat under this number.
    Peer { peer: usize, relay_id: u64 },
}

/// A heartbeat that arrived while the state was being read.
#[derive(Debug)]
pub(super) struct DeferredHeartbeat {
    pub sender: HeartbeatSender,
    /// Time after which the answer is of no use to anybody.
    pub deadline: Micros,
    pub heartbeat: Bytes,
}

/// A heartbeat that was relayed to a peer.
#[derive(Debug)]
pub(super) struct RelayedHeartbeat {
    /// Index of the peer, which alone may answer.
    pub peer: usize,
    /// The worker's connection.
    pub connection: u64,
    /// Time until which the peer may answer.
    pub deadline: Micros,
    /// The heartbeat itself, kept in case the peer does not own the machine's shard and another peer has to be tried.
    pub heartbeat: Bytes,
}

/// Numbers of relayed heartbeats, none of which an earlier process of this controller has used.
///
/// The answer to a heartbeat that an earlier process relayed may arrive long after a restart, and so may a copy of it. Its
/// orders are for another machine or out of date, so it must match no heartbeat of this process. Peers of every release
/// repeat the number as it is.
#[derive(Debug)]
struct RelayNumbers {
    last: u64,
}

impl RelayNumbers {
    /// Begins at a number that is scattered over the whole range by the time of day, in microseconds, at which the
    /// process started, so that the ranges of different processes do not meet.
    fn new(process_started_at: u64) -> RelayNumbers {
        RelayNumbers {
            last: scatter(process_started_at),
        }
    }

    fn next(&mut self) -> u64 {
        self.last = self.last.wrapping_add(1);
        self.last
    }
}

/// Maps each number to another one, and close numbers far apart (the finalizer of SplitMix64).
fn scatter(number: u64) -> u64 {
    let mixed = (number ^ (number >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}

/// Heartbeats without an answer and the routes of machines; see the [module](self).
#[derive(Debug)]
pub(super) struct PendingHeartbeats {
    numbers: RelayNumbers,
    /// Peers that own the shards of machines whose workers have sent heartbeats here, by machine.
    routes: HashMap<String, usize>,
    /// Relayed heartbeats, by their number.
    relayed: HashMap<u64, RelayedHeartbeat>,
    deferred: Vec<DeferredHeartbeat>,
}

impl PendingHeartbeats {
    /// Returns the state of a process that started at this time of day, in microseconds.
    pub fn new(process_started_at: u64) -> PendingHeartbeats {
        PendingHeartbeats {
            numbers: RelayNumbers::new(process_started_at),
            routes: HashMap::new(),
            relayed: HashMap::new(),
            deferred: Vec::new(),
        }
    }

    /// Returns the last known peer that owned the machine's shard.
    pub fn route(&self, machine: &str) -> Option<usize> {
        self.routes.get(machine).copied()
    }

    /// Remembers the peer that owns the machine's shard.
    pub fn set_route(&mut self, machine: String, peer: usize) {
        if self.routes.len() >= MAX_REMEMBERED_ROUTES {
            self.routes.clear();
        }
        self.routes.insert(machine, peer);
    }

    /// Forgets the route of a machine after its peer has denied owning the machine's shard.
    pub fn forget_route(&mut self, machine: &str) {
        self.routes.remove(machine);
    }

    /// Records a heartbeat that is relayed, and returns the number under which it is relayed.
    pub fn add_relayed(&mut self, relayed: RelayedHeartbeat) -> u64 {
        let id = self.numbers.next();
        self.relayed.insert(id, relayed);
        id
    }

    /// Removes and returns the heartbeat that was relayed to `peer` under this number, if its answer is still waited
    /// for.
    pub fn take_relayed(&mut self, peer: usize, id: u64) -> Option<RelayedHeartbeat> {
        self.relayed
            .get(&id)
            .filter(|relayed| relayed.peer == peer)?;
        self.relayed.remove(&id)
    }

    /// Drops relayed heartbeats that the peers did not answer in time.
    pub fn drop_expired_relays(&mut self, now: Micros) {
        self.relayed.retain(|_, relayed| relayed.deadline > now);
    }

    /// Defers a heartbeat until the state has been read. Returns the heartbeat as the error if too many are deferred
    /// already.
    pub fn defer(&mut self, heartbeat: DeferredHeartbeat) -> Result<(), DeferredHeartbeat> {
        if self.deferred.len() >= MAX_DEFERRED_HEARTBEATS {
            return Err(heartbeat);
        }
        self.deferred.push(heartbeat);
        Ok(())
    }

    /// Removes and returns the deferred heartbeats whose deadline has passed, or all of them once the state has been
    /// read, in order of arrival.
    pub fn take_deferred(&mut self, is_loading: bool, now: Micros) -> Vec<DeferredHeartbeat> {
        let is_ready = |heartbeat: &mut DeferredHeartbeat| !is_loading || now >= heartbeat.deadline;
        self.deferred.extract_if(.., is_ready).collect()
    }
}

#[cfg(test)]
mod tests;
