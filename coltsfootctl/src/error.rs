//! Errors of the tool and the exit code of each.

use std::io;
use std::path;

use coltsfoot_catalog::{reference, replica, snapshot};
use coltsfoot_platform::error;
use coltsfoot_types::{id, name};

/// The change set is inconsistent or was rejected.
const EXIT_REJECTED: u8 = 1;
/// Command line, settings or file can't be used.
const EXIT_USAGE: u8 = 2;
/// The platform or an instance can't be reached, or the outcome is unknown.
const EXIT_UNAVAILABLE: u8 = 3;
/// The object or instance does not exist.
const EXIT_NOT_FOUND: u8 = 4;
/// `diff` found differences.
const EXIT_DIFFERS: u8 = 5;

/// An error that ends the tool; displayed with its remedy.
#[derive(Debug, thiserror::Error)]
pub enum ToolError {
    /// The command line can't be understood.
    #[error("{0}; see `coltsfootctl --help`")]
    Usage(#[from] lexopt::Error),
    /// No command of that name.
    #[error("no command is called \"{0}\"; see `coltsfootctl --help`")]
    UnknownCommand(String),
    /// A command has too few or too many operands.
    #[error("usage: coltsfootctl {0}; see `coltsfootctl --help`")]
    Operands(&'static str),
    /// An option does not apply to the command.
    #[error("option --{option} does not apply to `{command}`; leave it out")]
    InapplicableOption {
        /// The option.
        option: &'static str,
        /// The command.
        command: &'static str,
    },
    /// An option is needed.
    #[error("option --{0} is missing; give it or name it in the settings file")]
    MissingOption(&'static str),
    /// An option or operand has an invalid value.
    #[error("\"{value}\" is not a valid {what}; {remedy}")]
    BadValue {
        /// What the value is for.
        what: &'static str,
        /// The value.
        value: String,
        /// How to write it.
        remedy: &'static str,
    },
    /// A file can't be read.
    #[error("could not read {path}: {source}; name a readable file")]
    Unreadable {
        /// The file.
        path: path::PathBuf,
        /// The cause.
        source: io::Error,
    },
    /// A file is malformed.
    #[error("{path} is malformed: {source}; correct that line")]
    MalformedFile {
        /// The file.
        path: path::PathBuf,
        /// The cause.
        source: serde_json::Error,
    },
    /// The set would be or was rejected.
    #[error("rejected: {0}")]
    Rejected(replica::RejectReason),
    /// A set with the same id was published at an offset that is no longer retained.
    #[error(
        "a set with id {change_id} was published at offset {offset}; see `history`, or use a new id"
    )]
    UsedChangeId {
        /// The id.
        change_id: uuid::Uuid,
        /// Offset of the first one.
        offset: id::LogOffset,
    },
    /// An append got no response and the record was not found in the log.
    #[error(
        "no answer came and the set is not on the log yet: {source}; \
         run the command again with --change-id {change_id}, it is applied once"
    )]
    OutcomeUnknown {
        /// Id of the set.
        change_id: uuid::Uuid,
        /// The last error.
        source: error::ClientError,
    },
    /// The log confirmed the record but does not return it.
    #[error(
        "the log took the set at offset {offset} and does not show it yet; \
         run the command again with --change-id {change_id}, it is applied once"
    )]
    NotReadable {
        /// Id of the set.
        change_id: uuid::Uuid,
        /// Offset that the log confirmed.
        offset: id::LogOffset,
    },
    /// A call to the log or the instance list failed.
    #[error("{0}")]
    Platform(#[from] error::ClientError),
    /// A call to an instance failed.
    #[error("instance {instance}: {source}")]
    Instance {
        /// The instance.
        instance: name::InstanceName,
        /// The cause.
        source: error::ClientError,
    },
    /// Some instances did not answer.
    #[error("{0} instances did not answer; see their lines above")]
    UnresponsiveInstances(usize),
    /// The log has trimmed records and holds no complete snapshot.
    #[error(
        "the log begins at offset {0} and holds no whole snapshot; wait for an instance to write one"
    )]
    NoSnapshot(id::LogOffset),
    /// A snapshot can't be read.
    #[error("{0}")]
    Snapshot(#[from] snapshot::SnapshotError),
    /// No such object.
    #[error("{0} does not exist; `get {kind}` lists the names", kind = .0.kind.as_str())]
    NoSuchObject(reference::ObjectRef),
    /// No such instance.
    #[error("instance {0} is not listed; `status` lists the instances")]
    NoSuchInstance(name::InstanceName),
    /// The configuration differs from the file.
    #[error("{0} objects differ")]
    Differs(usize),
    /// Output can't be written.
    #[error("could not write the output: {0}")]
    Output(#[from] io::Error),
    /// Output can't be encoded.
    #[error("could not encode the output: {0}")]
    Encode(#[from] serde_json::Error),
}

impl ToolError {
    /// Returns the exit code of the process.
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::Rejected(_) => EXIT_REJECTED,
            Self::Usage(_)
            | Self::UnknownCommand(_)
            | Self::Operands(_)
            | Self::InapplicableOption { .. }
            | Self::MissingOption(_)
            | Self::BadValue { .. }
            | Self::Unreadable { .. }
            | Self::MalformedFile { .. }
            | Self::UsedChangeId { .. } => EXIT_USAGE,
            Self::NoSuchObject(_) | Self::NoSuchInstance(_) => EXIT_NOT_FOUND,
            Self::Differs(_) => EXIT_DIFFERS,
            _ => EXIT_UNAVAILABLE,
        }
    }
}
