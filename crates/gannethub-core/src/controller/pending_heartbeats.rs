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
    /// The worker's connection.
    pub connection: u64,
    /// Time until which the peer may answer.
    pub deadline: Micros,
    /// The heartbeat itself, kept in case the peer does not own the machine's shard and another peer has to be tried.
    pub heartbeat: Bytes,
}

/// Heartbeats without an answer and the routes of machines; see the [module](self).
#[derive(Debug, Default)]
pub(super) struct PendingHeartbeats {
    /// Peers that own the shards of machines whose workers have sent heartbeats here, by machine.
    routes: HashMap<String, usize>,
    /// Relayed heartbeats, by their number.
    relayed: HashMap<u64, RelayedHeartbeat>,
    deferred: Vec<DeferredHeartbeat>,
}

impl PendingHeartbeats {
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

    /// Records a heartbeat that is relayed under this number.
    pub fn add_relayed(&mut self, id: u64, relayed: RelayedHeartbeat) {
        self.relayed.insert(id, relayed);
    }

    /// Removes and returns the heartbeat that was relayed under this number, if its answer is still waited for.
    pub fn take_relayed(&mut self, id: u64) -> Option<RelayedHeartbeat> {
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
