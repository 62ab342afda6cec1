//! Operators' calls: decodes calls to typed values and encodes the replies.
//!
//! The generated processor is synchronous, while a call may have to wait for the log. Each frame is
//! therefore processed twice: first with a handler that only records the call, then with a handler that
//! returns the finished reply.

use std::cell::RefCell;

use snafu::{OptionExt as _, ResultExt as _};
use thrift::{
    ApplicationError, ApplicationErrorKind,
    protocol::{TBinaryInputProtocol, TBinaryOutputProtocol},
    server::TProcessor as _,
};

use crate::{
    RpcError,
    error::{MessageSnafu, UnknownCallSnafu},
    operators::{
        AuditEntry, BadRequest, ChangeReply, Credentials, FleetStatus, OperatorsSyncHandler, OperatorsSyncProcessor,
        Plan, ShownItem, Unauthenticated, Unavailable,
    },
    peer::protocol_limits,
};

/// Call of an operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OperatorCall {
    /// Show what a change file would alter.
    Plan {
        /// The change file, in TOML.
        change_file: String,
    },
    /// Append the changes of a plan.
    Apply {
        /// Id of the change, the same over retries.
        change_id: String,
        /// Why it is made.
        reason: String,
        /// The changes of a plan, as JSON.
        changes_json: String,
    },
    /// Withdraw a version.
    Withdraw {
        /// Id of the change, the same over retries.
        change_id: String,
        /// Why it is made.
        reason: String,
        /// Name of the version.
        version: String,
    },
    /// Show the outcome of a change.
    Outcome {
        /// Id of the change, the same over retries.
        change_id: String,
    },
    /// Show the items of the active configuration.
    Show {
        /// Kind of the items, or an empty string for all kinds.
        kind: String,
    },
    /// Show the audit trail.
    Audit {
        /// Offset of the first entry.
        from_offset: i64,
        /// Maximum number of entries.
        limit: i32,
    },
    /// Show the status of the fleet.
    Status,
    /// Drain a VM.
    Drain {
        /// Name of the VM.
        vm: String,
    },
}

/// Reply to an operator's call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OperatorReply {
    /// Reply to [`OperatorCall::Plan`].
    Plan(Plan),
    /// Reply to [`OperatorCall::Apply`], [`OperatorCall::Withdraw`] and [`OperatorCall::Outcome`].
    Change(ChangeReply),
    /// Reply to [`OperatorCall::Show`].
    Items(Vec<ShownItem>),
    /// Reply to [`OperatorCall::Audit`].
    Audit(Vec<AuditEntry>),
    /// Reply to [`OperatorCall::Status`].
    Status(FleetStatus),
    /// Reply to [`OperatorCall::Drain`], which returns nothing.
    Empty,
}

/// Reason why a call was not executed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OperatorError {
    /// The credentials are invalid.
    Unauthenticated(Unauthenticated),
    /// A field is invalid.
    BadRequest(BadRequest),
    /// The VM can't execute the call at present.
    Unavailable(Unavailable),
}

impl From<OperatorError> for thrift::Error {
    fn from(error: OperatorError) -> Self {
        match error {
            OperatorError::Unauthenticated(error) => Self::User(Box::new(error)),
            OperatorError::BadRequest(error) => Self::User(Box::new(error)),
            OperatorError::Unavailable(error) => Self::User(Box::new(error)),
        }
    }
}

/// Result of an operator's call.
pub type OperatorResult = Result<OperatorReply, OperatorError>;

/// Decodes a frame to the caller's credentials and the call.
///
/// # Errors
///
/// [`RpcError`] if the frame isn't a call of the schema.
pub fn decode_call(frame: &[u8]) -> Result<(Credentials, OperatorCall), RpcError> {
    let recorder = Recorder::default();
    let processor = OperatorsSyncProcessor::new(&recorder);
    process(&processor, frame)?;
    recorder.call.take().context(UnknownCallSnafu)
}

/// Encodes the reply to the call in `frame`.
///
/// # Errors
///
/// [`RpcError`] if the frame isn't a call of the schema.
pub fn encode_reply(frame: &[u8], result: OperatorResult) -> Result<Vec<u8>, RpcError> {
    let responder = Responder { result: RefCell::new(Some(result)) };
    process(&OperatorsSyncProcessor::new(&responder), frame)
}

fn process<H: OperatorsSyncHandler>(processor: &OperatorsSyncProcessor<H>, frame: &[u8]) -> Result<Vec<u8>, RpcError> {
    let mut out = Vec::new();
    let mut input = TBinaryInputProtocol::with_config(frame, true, protocol_limits(frame.len())?);
    let mut output = TBinaryOutputProtocol::new(&mut out, true);
    processor.process(&mut input, &mut output).context(MessageSnafu)?;
    Ok(out)
}

/// Handler that records a call without executing it.
#[derive(Default)]
struct Recorder {
    call: RefCell<Option<(Credentials, OperatorCall)>>,
}

impl Recorder {
    fn record_call<T>(&self, credentials: Credentials, call: OperatorCall) -> thrift::Result<T> {
        self.call.replace(Some((credentials, call)));
        Err(unexpected_reply())
    }
}

/// Handler that returns a finished result.
struct Responder {
    result: RefCell<Option<OperatorResult>>,
}

impl Responder {
    fn reply(&self) -> thrift::Result<OperatorReply> {
        let result = self.result.take().ok_or_else(unexpected_reply)?;
        result.map_err(thrift::Error::from)
    }
}

fn unexpected_reply() -> thrift::Error {
    thrift::Error::Application(ApplicationError::new(ApplicationErrorKind::InternalError, "no answer of this type"))
}

impl OperatorsSyncHandler for &Recorder {
    fn handle_plan(&self, credentials: Credentials, change_file: String) -> thrift::Result<Plan> {
        self.record_call(credentials, OperatorCall::Plan { change_file })
    }

    fn handle_apply(
        &self,
        credentials: Credentials,
        change_id: String,
        reason: String,
        changes_json: String,
    ) -> thrift::Result<ChangeReply> {
        self.record_call(credentials, OperatorCall::Apply { change_id, reason, changes_json })
    }

    fn handle_withdraw(
        &self,
        credentials: Credentials,
        change_id: String,
        reason: String,
        version: String,
    ) -> thrift::Result<ChangeReply> {
        self.record_call(credentials, OperatorCall::Withdraw { change_id, reason, version })
    }

    fn handle_outcome(&self, credentials: Credentials, change_id: String) -> thrift::Result<ChangeReply> {
        self.record_call(credentials, OperatorCall::Outcome { change_id })
    }

    fn handle_show(&self, credentials: Credentials, kind: String) -> thrift::Result<Vec<ShownItem>> {
        self.record_call(credentials, OperatorCall::Show { kind })
    }

    fn handle_audit(&self, credentials: Credentials, from_offset: i64, limit: i32) -> thrift::Result<Vec<AuditEntry>> {
        self.record_call(credentials, OperatorCall::Audit { from_offset, limit })
    }

    fn handle_status(&self, credentials: Credentials) -> thrift::Result<FleetStatus> {
        self.record_call(credentials, OperatorCall::Status)
    }

    fn handle_drain(&self, credentials: Credentials, vm: String) -> thrift::Result<()> {
        self.record_call(credentials, OperatorCall::Drain { vm })
    }
}

impl OperatorsSyncHandler for &Responder {
    fn handle_plan(&self, _: Credentials, _: String) -> thrift::Result<Plan> {
        match self.reply()? {
            OperatorReply::Plan(reply) => Ok(reply),
            _ => Err(unexpected_reply()),
        }
    }

    fn handle_apply(&self, _: Credentials, _: String, _: String, _: String) -> thrift::Result<ChangeReply> {
        match self.reply()? {
            OperatorReply::Change(reply) => Ok(reply),
            _ => Err(unexpected_reply()),
        }
    }

    fn handle_withdraw(&self, _: Credentials, _: String, _: String, _: String) -> thrift::Result<ChangeReply> {
        match self.reply()? {
            OperatorReply::Change(reply) => Ok(reply),
            _ => Err(unexpected_reply()),
        }
    }

    fn handle_outcome(&self, _: Credentials, _: String) -> thrift::Result<ChangeReply> {
        match self.reply()? {
            OperatorReply::Change(reply) => Ok(reply),
            _ => Err(unexpected_reply()),
        }
    }

    fn handle_show(&self, _: Credentials, _: String) -> thrift::Result<Vec<ShownItem>> {
        match self.reply()? {
            OperatorReply::Items(reply) => Ok(reply),
            _ => Err(unexpected_reply()),
        }
    }

    fn handle_audit(&self, _: Credentials, _: i64, _: i32) -> thrift::Result<Vec<AuditEntry>> {
        match self.reply()? {
            OperatorReply::Audit(reply) => Ok(reply),
            _ => Err(unexpected_reply()),
        }
    }

    fn handle_status(&self, _: Credentials) -> thrift::Result<FleetStatus> {
        match self.reply()? {
            OperatorReply::Status(reply) => Ok(reply),
            _ => Err(unexpected_reply()),
        }
    }

    fn handle_drain(&self, _: Credentials, _: String) -> thrift::Result<()> {
        match self.reply()? {
            OperatorReply::Empty => Ok(()),
            _ => Err(unexpected_reply()),
        }
    }
}
