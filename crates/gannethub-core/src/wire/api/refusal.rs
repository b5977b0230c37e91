//! Reasons for which a submission is refused.

/// The reason for refusing a submission. The texts are for users and call fields by their names in submissions.
#[derive(Debug, thiserror::Error, PartialEq)]
pub enum Refusal {
    /// A field is missing or invalid.
    #[error("{0}")]
    Malformed(String),
    /// The job could never run in this cluster.
    #[error("{0}")]
    Impossible(String),
    /// The cloud has not listed its machine types yet, so it is unknown whether the job could run.
    #[error("the machine types are not known yet")]
    MachineTypesUnknown,
    /// A newer configuration than the one known here may exist, so it is unknown whether the job could run.
    #[error("the configuration is changing")]
    ConfigurationChanging,
}
