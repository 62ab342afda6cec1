//! The cases, by name.

mod brittle;
mod entry;
mod foreign;
mod frozen;
mod silence;
mod smuggled;

use crate::{Fault, record::Record};

/// Runs a case; returns whether the rule held.
pub(crate) async fn run(case: &str, is_troubled: bool, record: &Record) -> Result<bool, Fault> {
    match case {
        "brittle" => brittle::run(is_troubled, record).await,
        "entry" => entry::run(is_troubled, record).await,
        "foreign" => foreign::run(is_troubled, record).await,
        "frozen" => frozen::run(is_troubled, record).await,
        "silence" => silence::run(is_troubled, record).await,
        "smuggled" => smuggled::run(is_troubled, record).await,
        _ => Err(format!("no case {case}").into()),
    }
}
