//! Workers' heartbeats that are not answered yet: passed on to a peer, or deferred until the state has been read.

use std::collections::HashMap;

use bytes::Bytes;

use crate::model::Micros;

/// Machines of which it is remembered which peer owns their shard.
const MAX_REMEMBERED_ROUTES: usize = 20_000;
/// Heartbeats that wait for the state to be read. Further ones are told to come back.
const MAX_DEFERRED_HEARTBEATS: usize = 8_000;

/// Who waits for the answer to a heartbeat.
#[derive(Clone, Copy, Debug)]
pub(super) enum HeartbeatSender {
    /// The worker itself, on this connection.
    Worker { connection: u64 },
    /// A peer that passed it on under this number.
    Peer { peer: usize, relay_id: u64 },
}

/// A heartbeat that came while the state was being read.
#[derive(Debug)]
pub(super) struct DeferredHeartbeat {
    pub sender: HeartbeatSender,
    /// Until when the answer is of use to anybody.
    pub deadline: Micros,
    pub heartbeat: Bytes,
}

/// A heartbeat that was passed on to a peer.
#[derive(Debug)]
pub(super) struct RelayedHeartbeat {
    /// The worker's connection.
    pub connection: u64,
    /// Until when the peer may answer.
    pub deadline: Micros,
    /// To be passed on to another peer, if the machine is not that one's.
    pub heartbeat: Bytes,
}

/// See the [module](self).
#[derive(Debug, Default)]
pub(super) struct PendingHeartbeats {
    /// Peers that own the shards of machines whose workers have reported here.
    routes: HashMap<String, usize>,
    /// Heartbeats that were passed on, by their number.
    relayed: HashMap<u64, RelayedHeartbeat>,
    deferred: Vec<DeferredHeartbeat>,
}

impl PendingHeartbeats {
    /// The peer that owned the machine's shard last, as far as is known here.
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

    /// The peer says that the machine's shard is not its own.
    pub fn forget_route(&mut self, machine: &str) {
        self.routes.remove(machine);
    }

    /// A heartbeat is passed on under this number.
    pub fn add_relayed(&mut self, id: u64, relayed: RelayedHeartbeat) {
        self.relayed.insert(id, relayed);
    }

    /// The heartbeat that was passed on under this number, if its answer is still waited for.
    pub fn take_relayed(&mut self, id: u64) -> Option<RelayedHeartbeat> {
        self.relayed.remove(&id)
    }

    /// Drops the heartbeats that were not answered in time by the peers they were passed on to.
    pub fn forget_overdue(&mut self, now: Micros) {
        self.relayed.retain(|_, relayed| relayed.deadline > now);
    }

    /// Keeps a heartbeat until the state has been read. It is given back if there are too many already.
    pub fn defer(&mut self, heartbeat: DeferredHeartbeat) -> Result<(), DeferredHeartbeat> {
        if self.deferred.len() >= MAX_DEFERRED_HEARTBEATS {
            return Err(heartbeat);
        }
        self.deferred.push(heartbeat);
        Ok(())
    }

    /// The deferred heartbeats whose deadline has passed, and all of them once the state has been read; in the order in
    /// which they came.
    pub fn take_deferred(&mut self, is_loading: bool, now: Micros) -> Vec<DeferredHeartbeat> {
        let is_ready = |heartbeat: &mut DeferredHeartbeat| !is_loading || now >= heartbeat.deadline;
        self.deferred.extract_if(.., is_ready).collect()
    }
}
