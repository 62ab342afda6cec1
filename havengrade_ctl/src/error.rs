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
    /// A file can't be read or written.
    #[snafu(display("{path}: {source}"))]
    File {
        /// The file.
        path: String,
        /// What the system says.
        source: io::Error,
    },
    /// A change file can't be used.
    #[snafu(display("{path}: {source}"))]
    ChangeFile {
        /// The file.
        path: String,
        /// What is wrong with it.
        source: ChangeFileError,
    },
    /// No key was given.
    #[snafu(display("HAVENGRADE_KEY is not set; set it to the operator's key"))]
    NoKey,
    /// The VM can't be reached.
    #[snafu(display("{source}; name a VM that answers with --vm"))]
    Unreachable {
        /// Why.
        source: RpcError,
    },
    /// The VM refused the call.
    #[snafu(display("{reason}"))]
    Refused {
        /// Why, with the remedy.
        reason: String,
    },
    /// The VM can't answer now.
    #[snafu(display("{reason}; try again, or another VM"))]
    Busy {
        /// Why.
        reason: String,
    },
    /// The change has faults or conflicts and was not made.
    #[snafu(display("not applied: {detail}"))]
    NotApplied {
        /// Why.
        detail: String,
    },
    /// It is not known whether the change was made.
    #[snafu(display("unknown: {detail} (--change-id {change_id})"))]
    Unknown {
        /// What to do.
        detail: String,
        /// Id to ask again with.
        change_id: String,
    },
}

/// The call failed; nothing was changed.
const FAILED: u8 = 1;
/// The change was refused.
const NOT_APPLIED: u8 = 3;
/// It is not known whether the change was made.
const UNKNOWN: u8 = 4;
/// The VM can't be reached or can't answer now.
const UNAVAILABLE: u8 = 5;

impl CtlError {
    /// The exit code of the error.
    pub fn exit_code(&self) -> ExitCode {
        ExitCode::from(match self {
            Self::NotApplied { .. } => NOT_APPLIED,
            Self::Unknown { .. } => UNKNOWN,
            Self::Unreachable { .. } | Self::Busy { .. } => UNAVAILABLE,
            Self::File { .. } | Self::ChangeFile { .. } | Self::NoKey | Self::Refused { .. } => FAILED,
        })
    }
}

impl From<thrift::Error> for CtlError {
    fn from(error: thrift::Error) -> Self {
        let thrift::Error::User(fault) = &error else {
            return Self::Busy { reason: format!("the connection failed: {error}") };
        };
        if let Some(Unauthenticated { remedy }) = fault.downcast_ref() {
            return Self::Refused { reason: format!("not let in: {remedy}") };
        }
        if let Some(BadRequest { field, remedy }) = fault.downcast_ref() {
            return Self::Refused { reason: format!("{field}: {remedy}") };
        }
        if let Some(Unavailable { reason, .. }) = fault.downcast_ref() {
            return Self::Busy { reason: reason.clone() };
        }
        Self::Refused { reason: error.to_string() }
    }
}
