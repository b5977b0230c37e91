//! Reasons for which a controller steps down from a shard.

/// Reason for which a shard owner steps down. The reason's text appears in the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(super) enum EndReason {
    /// Neither renewals nor votes arrived in time.
    #[error("lease expired")]
    LeaseExpired,
    /// The owner's knowledge of cancelled jobs is too old, regardless of renewals and votes. If the owner kept
    /// answering workers, tasks of a job that was cancelled on another controller would keep running.
    #[error("knowledge of cancelled jobs is too old")]
    CancellationsUnknown,
    /// The state service answered that the store lease has ended.
    #[error("store lease ended")]
    StoreLeaseExpired,
    /// A transaction failed on its guard for the owner's key.
    #[error("owner key in the state service is gone")]
    KeyLost,
    /// The owner receives messages from neither workers nor peers. It may be cut off while its renewals still get
    /// through.
    #[error("no messages from workers or peers")]
    Isolated,
    /// A worker has seen a higher fencing token.
    #[error("a worker has seen a higher fencing token")]
    HigherToken,
    /// The shard is transferred to a peer that owns none.
    #[error("shard transferred to a peer")]
    Transferred,
}
