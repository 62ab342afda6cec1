//! The cases, by name.

mod entry;
mod frozen;
mod silence;

use crate::{Fault, record::Record};

/// Runs a case; returns whether the rule held.
pub(crate) async fn run(case: &str, is_troubled: bool, record: &Record) -> Result<bool, Fault> {
    match case {
        "entry" => entry::run(is_troubled, record).await,
        "frozen" => frozen::run(is_troubled, record).await,
        "silence" => silence::run(is_troubled, record).await,
        _ => Err(format!("no case {case}").into()),
    }
}
