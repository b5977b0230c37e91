//! Why a controller steps down from a shard.

/// The reason for which a shard's owner steps down. Its text stands in the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(super) enum EndReason {
    /// Neither renewals nor votes came in time.
    #[error("its lease expired")]
    LeaseExpired,
    /// Which jobs are cancelled was last known too long ago, whoever renewed the lease or voted: by the owner's answers
    /// the tasks of a job that is cancelled elsewhere would run on.
    #[error("cancellations were last known too long ago")]
    CancellationsUnknown,
    /// The state service says that the lease there has ended.
    #[error("its lease in the state service ended")]
    StoreLeaseExpired,
    /// A transaction failed on the owner's key.
    #[error("its key in the state service is gone")]
    KeyLost,
    /// It hears neither workers nor peers: it may be cut off, and its renewals may get through all the same.
    #[error("it hears neither workers nor peers")]
    Isolated,
    /// A worker has seen a higher fencing token.
    #[error("a worker has seen a higher token")]
    HigherToken,
    /// A peer that owns no shard is to take this one.
    #[error("it is transferred to a peer")]
    Transferred,
}
