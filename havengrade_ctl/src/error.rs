//! Errors of the command line, each with its exit code.

use std::{io, process::ExitCode};

use havengrade_core::config::ChangeFileError;
use havengrade_rpc::{
    RpcError,
    operators::{BadRequest, Unauthenticated, Unavailable},
};
use snafu::Snafu;

/// Why a command failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum CtlError {
    /// A file cannot be read or written.
    #[snafu(display("{path}: {source}"))]
    File {
        /// Path of the file.
        path: String,
        /// Error of the operating system.
        source: io::Error,
    },
    /// A change file is invalid.
    #[snafu(display("{path}: {source}"))]
    ChangeFile {
        /// Path of the file.
        path: String,
        /// The fault that was found.
        source: ChangeFileError,
    },
    /// The operator's key is not set.
    #[snafu(display("HAVENGRADE_KEY is not set; set it to the operator's key"))]
    MissingKey,
    /// The connection to the VM could not be opened.
    #[snafu(display("{source}; use --vm to choose a VM that answers"))]
    Unreachable {
        /// Error of the connection attempt.
        source: RpcError,
    },
    /// The VM rejected the call.
    #[snafu(display("{reason}"))]
    Rejected {
        /// Reason of the rejection, with the remedy.
        reason: String,
    },
    /// The connection failed, or the VM is temporarily unable to answer.
    #[snafu(display("{reason}; try again, or use --vm to choose another VM"))]
    Unavailable {
        /// Reason of the failure.
        reason: String,
    },
    /// The change is invalid or conflicts with the active configuration and was not applied.
    #[snafu(display("not applied: {detail}"))]
    NotApplied {
        /// The faults or conflicts.
        detail: String,
    },
    /// The outcome of the change is unknown: it may or may not have been applied.
    #[snafu(display("outcome unknown: {detail} (--change-id {change_id})"))]
    OutcomeUnknown {
        /// Explanation and remedy from the VM.
        detail: String,
        /// Id under which the change can be repeated or looked up.
        change_id: String,
    },
}

/// Exit code: the call failed and nothing was changed.
const EXIT_FAILED: u8 = 1;
/// Exit code: the change was rejected.
const EXIT_NOT_APPLIED: u8 = 3;
/// Exit code: the outcome of the change is unknown.
const EXIT_OUTCOME_UNKNOWN: u8 = 4;
/// Exit code: the VM is unreachable or temporarily unable to answer.
const EXIT_UNAVAILABLE: u8 = 5;

impl CtlError {
    /// Returns the exit code of the process for this error.
    pub fn exit_code(&self) -> ExitCode {
        ExitCode::from(match self {
            Self::NotApplied { .. } => EXIT_NOT_APPLIED,
            Self::OutcomeUnknown { .. } => EXIT_OUTCOME_UNKNOWN,
            Self::Unreachable { .. } | Self::Unavailable { .. } => EXIT_UNAVAILABLE,
            Self::File { .. } | Self::ChangeFile { .. } | Self::MissingKey | Self::Rejected { .. } => EXIT_FAILED,
        })
    }
}

impl From<thrift::Error> for CtlError {
    fn from(error: thrift::Error) -> Self {
        let thrift::Error::User(fault) = &error else {
            return Self::Unavailable { reason: format!("the connection failed: {error}") };
        };
        if let Some(Unauthenticated { remedy }) = fault.downcast_ref() {
            return Self::Rejected { reason: format!("authentication failed: {remedy}") };
        }
        if let Some(BadRequest { field, remedy }) = fault.downcast_ref() {
            return Self::Rejected { reason: format!("{field}: {remedy}") };
        }
        if let Some(Unavailable { reason, .. }) = fault.downcast_ref() {
            return Self::Unavailable { reason: reason.clone() };
        }
        Self::Rejected { reason: error.to_string() }
    }
}
