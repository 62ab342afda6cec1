//! Operators' calls: parsed to typed values, carried out elsewhere, and answered in the schema's terms.
//!
//! The generated processor is synchronous, while a call may have to wait for the log. So a frame is run
//! through it twice: once with a handler that only takes the call down, once with one that gives the
//! answer.

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
    peer::limits,
};

/// An operator's call.
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
    /// Tell what became of a change.
    Outcome {
        /// Id of the change, the same over retries.
        change_id: String,
    },
    /// Show the items in force.
    Show {
        /// Kind of the items; all where empty.
        kind: String,
    },
    /// Show the audit trail.
    Audit {
        /// Offset of the first entry.
        from_offset: i64,
        /// Most entries to show.
        limit: i32,
    },
    /// Show the fleet.
    Status,
    /// Make a VM drain.
    Drain {
        /// Name of the VM.
        vm: String,
    },
}

/// An answer to an operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OperatorReply {
    /// To a plan.
    Plan(Plan),
    /// To a change.
    Change(ChangeReply),
    /// To a request for items.
    Items(Vec<ShownItem>),
    /// To a request for the audit trail.
    Audit(Vec<AuditEntry>),
    /// To a request for the fleet's status.
    Status(FleetStatus),
    /// To a call that returns nothing.
    Done,
}

/// Why a call was not carried out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OperatorFault {
    /// The caller is not known.
    Unauthenticated(Unauthenticated),
    /// A field can't be used.
    BadRequest(BadRequest),
    /// The VM can't answer now.
    Unavailable(Unavailable),
}

impl From<OperatorFault> for thrift::Error {
    fn from(fault: OperatorFault) -> Self {
        match fault {
            OperatorFault::Unauthenticated(fault) => Self::User(Box::new(fault)),
            OperatorFault::BadRequest(fault) => Self::User(Box::new(fault)),
            OperatorFault::Unavailable(fault) => Self::User(Box::new(fault)),
        }
    }
}

/// An answer, or why there is none.
pub type OperatorResult = Result<OperatorReply, OperatorFault>;

/// Reads a call and who makes it from a frame.
///
/// # Errors
///
/// [`RpcError`] where the frame is no call of the schema.
pub fn parse_call(frame: &[u8]) -> Result<(Credentials, OperatorCall), RpcError> {
    let recorder = Recorder::default();
    let processor = OperatorsSyncProcessor::new(&recorder);
    process(&processor, frame)?;
    recorder.call.take().context(UnknownCallSnafu)
}

/// Writes the answer to the call in a frame.
///
/// # Errors
///
/// [`RpcError`] where the frame is no call of the schema.
pub fn answer_call(frame: &[u8], result: OperatorResult) -> Result<Vec<u8>, RpcError> {
    let answerer = Answerer { result: RefCell::new(Some(result)) };
    process(&OperatorsSyncProcessor::new(&answerer), frame)
}

fn process<H: OperatorsSyncHandler>(processor: &OperatorsSyncProcessor<H>, frame: &[u8]) -> Result<Vec<u8>, RpcError> {
    let mut out = Vec::new();
    let mut input = TBinaryInputProtocol::with_config(frame, true, limits(frame.len())?);
    let mut output = TBinaryOutputProtocol::new(&mut out, true);
    processor.process(&mut input, &mut output).context(MessageSnafu)?;
    Ok(out)
}

/// Takes a call down without carrying it out.
#[derive(Default)]
struct Recorder {
    call: RefCell<Option<(Credentials, OperatorCall)>>,
}

impl Recorder {
    fn take_down<T>(&self, credentials: Credentials, call: OperatorCall) -> thrift::Result<T> {
        self.call.replace(Some((credentials, call)));
        Err(wrong_answer())
    }
}

/// Gives an answer that was worked out before.
struct Answerer {
    result: RefCell<Option<OperatorResult>>,
}

impl Answerer {
    fn reply(&self) -> thrift::Result<OperatorReply> {
        let result = self.result.take().ok_or_else(wrong_answer)?;
        result.map_err(thrift::Error::from)
    }
}

fn wrong_answer() -> thrift::Error {
    thrift::Error::Application(ApplicationError::new(ApplicationErrorKind::InternalError, "no answer of this type"))
}

impl OperatorsSyncHandler for &Recorder {
    fn handle_plan(&self, credentials: Credentials, change_file: String) -> thrift::Result<Plan> {
        self.take_down(credentials, OperatorCall::Plan { change_file })
    }

    fn handle_apply(
        &self,
        credentials: Credentials,
        change_id: String,
        reason: String,
        changes_json: String,
    ) -> thrift::Result<ChangeReply> {
        self.take_down(credentials, OperatorCall::Apply { change_id, reason, changes_json })
    }

    fn handle_withdraw(
        &self,
        credentials: Credentials,
        change_id: String,
        reason: String,
        version: String,
    ) -> thrift::Result<ChangeReply> {
        self.take_down(credentials, OperatorCall::Withdraw { change_id, reason, version })
    }

    fn handle_outcome(&self, credentials: Credentials, change_id: String) -> thrift::Result<ChangeReply> {
        self.take_down(credentials, OperatorCall::Outcome { change_id })
    }

    fn handle_show(&self, credentials: Credentials, kind: String) -> thrift::Result<Vec<ShownItem>> {
        self.take_down(credentials, OperatorCall::Show { kind })
    }

    fn handle_audit(&self, credentials: Credentials, from_offset: i64, limit: i32) -> thrift::Result<Vec<AuditEntry>> {
        self.take_down(credentials, OperatorCall::Audit { from_offset, limit })
    }

    fn handle_status(&self, credentials: Credentials) -> thrift::Result<FleetStatus> {
        self.take_down(credentials, OperatorCall::Status)
    }

    fn handle_drain(&self, credentials: Credentials, vm: String) -> thrift::Result<()> {
        self.take_down(credentials, OperatorCall::Drain { vm })
    }
}

impl OperatorsSyncHandler for &Answerer {
    fn handle_plan(&self, _: Credentials, _: String) -> thrift::Result<Plan> {
        match self.reply()? {
            OperatorReply::Plan(reply) => Ok(reply),
            _ => Err(wrong_answer()),
        }
    }

    fn handle_apply(&self, _: Credentials, _: String, _: String, _: String) -> thrift::Result<ChangeReply> {
        match self.reply()? {
            OperatorReply::Change(reply) => Ok(reply),
            _ => Err(wrong_answer()),
        }
    }

    fn handle_withdraw(&self, _: Credentials, _: String, _: String, _: String) -> thrift::Result<ChangeReply> {
        match self.reply()? {
            OperatorReply::Change(reply) => Ok(reply),
            _ => Err(wrong_answer()),
        }
    }

    fn handle_outcome(&self, _: Credentials, _: String) -> thrift::Result<ChangeReply> {
        match self.reply()? {
            OperatorReply::Change(reply) => Ok(reply),
            _ => Err(wrong_answer()),
        }
    }

    fn handle_show(&self, _: Credentials, _: String) -> thrift::Result<Vec<ShownItem>> {
        match self.reply()? {
            OperatorReply::Items(reply) => Ok(reply),
            _ => Err(wrong_answer()),
        }
    }

    fn handle_audit(&self, _: Credentials, _: i64, _: i32) -> thrift::Result<Vec<AuditEntry>> {
        match self.reply()? {
            OperatorReply::Audit(reply) => Ok(reply),
            _ => Err(wrong_answer()),
        }
    }

    fn handle_status(&self, _: Credentials) -> thrift::Result<FleetStatus> {
        match self.reply()? {
            OperatorReply::Status(reply) => Ok(reply),
            _ => Err(wrong_answer()),
        }
    }

    fn handle_drain(&self, _: Credentials, _: String) -> thrift::Result<()> {
        match self.reply()? {
            OperatorReply::Done => Ok(()),
            _ => Err(wrong_answer()),
        }
    }
}
