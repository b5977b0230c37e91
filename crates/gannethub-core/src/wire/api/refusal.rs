//! Reasons for which a submission is refused.

/// Why a submission is refused. The texts are for users, and name fields as users do.
#[derive(Debug, thiserror::Error, PartialEq)]
pub enum Refusal {
    /// A field is missing or makes no sense.
    #[error("{0}")]
    Malformed(String),
    /// The job could never run in this cluster.
    #[error("{0}")]
    Impossible(String),
    /// Whether the job could run cannot be told before the cloud has listed its machine types.
    #[error("the machine types are not known yet")]
    MachineTypesUnknown,
    /// Whether the job could run cannot be told, as there may be a newer configuration than is known here.
    #[error("the configuration is changing")]
    ConfigurationChanging,
}
