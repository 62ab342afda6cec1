//! Executes the commands of `havengradectl`.

use std::{
    env, fs,
    io::{self, Read},
    path::Path,
    time::Duration,
};

use clap::CommandFactory as _;
use clap_complete::Shell;
use havengrade_core::{config::ChangeFile, secret};
use havengrade_rpc::{
    OperatorClient, connect,
    operators::{ChangeReply, ChangeStatus, Credentials, Plan, TOperatorsSyncClient as _},
};
use snafu::{OptionExt as _, ResultExt as _, ensure};
use uuid::Uuid;

use crate::{
    cli::{ChangeOptions, Command, Format, Options},
    error::{
        ChangeFileSnafu, CtlError, FileSnafu, MissingKeySnafu, NotAppliedSnafu, OutcomeUnknownSnafu, UnreachableSnafu,
    },
    explain::explain,
    output,
};

/// Time limit for connecting to a VM, and for each of its replies.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);
/// Environment variable that holds the operator's key.
const KEY_VARIABLE: &str = "HAVENGRADE_KEY";

/// Executes a command and returns its output.
///
/// # Errors
///
/// Returns a [`CtlError`] whose text names the fault and, where there is one, the remedy.
pub fn run(options: &Options) -> Result<String, CtlError> {
    match &options.command {
        Command::HashKey { name, secret } => return Ok(generate_key(name, secret.as_deref())),
        Command::Extra { directory } => return write_manuals_and_completions(directory),
        Command::Explain { request } => return explain_logs(&mut io::stdin().lock(), request),
        _ => {},
    }
    let key = env::var(KEY_VARIABLE).ok().context(MissingKeySnafu)?;
    let client = connect(options.vm, CALL_TIMEOUT).context(UnreachableSnafu)?;
    let credentials = Credentials::new(options.operator.clone(), key);
    OperatorSession { client, credentials, format: options.format }.run(&options.command)
}

/// A connection to a VM on behalf of an operator.
struct OperatorSession {
    client: OperatorClient,
    credentials: Credentials,
    format: Format,
}

impl OperatorSession {
    fn run(&mut self, command: &Command) -> Result<String, CtlError> {
        let credentials = self.credentials.clone();
        match command {
            Command::Plan { file, out } => self.plan(file, out.as_deref()),
            Command::Apply { file, planned, change } => self.apply(file.as_deref(), planned.as_deref(), change),
            Command::Withdraw { version, change } => {
                let id = change_id_or_random(change);
                let reply = self.client.withdraw(credentials, id, change.reason.clone(), version.clone())?;
                self.format_reply(&reply)
            },
            Command::Outcome { change_id } => {
                let reply = self.client.outcome(credentials, change_id.clone())?;
                self.format_reply(&reply)
            },
            Command::Show { kind } => {
                Ok(output::format_items(&self.client.show(credentials, kind.clone())?, self.format))
            },
            Command::Audit { from, limit } => {
                let entries = self.client.audit(credentials, i64::from(*from), i32::from(*limit))?;
                Ok(output::format_audit(&entries, self.format))
            },
            Command::Status => Ok(output::format_status(&self.client.status(credentials)?, self.format)),
            Command::Drain { vm_id } => {
                self.client.drain(credentials, vm_id.clone())?;
                Ok(format!("{vm_id} drains; `havengradectl status` shows how far it is\n"))
            },
            Command::HashKey { .. } | Command::Extra { .. } | Command::Explain { .. } => Ok(String::new()),
        }
    }

    fn plan(&mut self, file: &Path, out: Option<&Path>) -> Result<String, CtlError> {
        let plan = self.request_plan(file)?;
        if let Some(out) = out {
            let path = out.display().to_string();
            fs::write(out, &plan.changes_json).context(FileSnafu { path })?;
        }
        let text = output::format_plan(&plan, self.format);
        ensure!(plan.faults.is_empty(), NotAppliedSnafu { detail: format!("{text}{}", plan.faults.join("; ")) });
        Ok(text)
    }

    fn request_plan(&mut self, file: &Path) -> Result<Plan, CtlError> {
        let path = file.display().to_string();
        let text = fs::read_to_string(file).context(FileSnafu { path: &path })?;
        // Parsed locally first, so that faults of the file are reported without a call to the VM.
        ChangeFile::parse(&text).context(ChangeFileSnafu { path })?;
        Ok(self.client.plan(self.credentials.clone(), text)?)
    }

    fn apply(
        &mut self,
        file: Option<&Path>,
        planned: Option<&Path>,
        change: &ChangeOptions,
    ) -> Result<String, CtlError> {
        let changes_json = match (file, planned) {
            (_, Some(planned)) => {
                let path = planned.display().to_string();
                fs::read_to_string(planned).context(FileSnafu { path })?
            },
            (Some(file), None) => {
                let plan = self.request_plan(file)?;
                if plan.differences.is_empty() {
                    return Ok(output::format_plan(&plan, self.format));
                }
                plan.changes_json
            },
            (None, None) => String::new(),
        };
        let (id, reason) = (change_id_or_random(change), change.reason.clone());
        let reply = self.client.apply(self.credentials.clone(), id, reason, changes_json)?;
        self.format_reply(&reply)
    }

    fn format_reply(&self, reply: &ChangeReply) -> Result<String, CtlError> {
        let detail = reply.detail.clone();
        match reply.status {
            ChangeStatus::ACCEPTED => Ok(output::format_change(reply, self.format)),
            ChangeStatus::CONFLICT | ChangeStatus::INVALID => NotAppliedSnafu { detail }.fail(),
            _ => OutcomeUnknownSnafu { detail, change_id: &reply.change_id }.fail(),
        }
    }
}

/// Returns the id that the operator gave, or a new random one.
fn change_id_or_random(change: &ChangeOptions) -> String {
    change.change_id.clone().unwrap_or_else(|| Uuid::new_v4().to_string())
}

/// Formats a key and its digest as TOML lines; the secret part is random unless it is given.
fn generate_key(name: &str, secret_part: Option<&str>) -> String {
    let secret_part = secret_part.map_or_else(|| Uuid::new_v4().simple().to_string(), str::to_owned);
    let key = format!("{name}.{secret_part}");
    let digest = key_digest(&key);
    format!("key        = {key:?}\nkey_sha256 = {digest:?}\n")
}

fn key_digest(key: &str) -> String {
    secret::digest(key.as_bytes()).iter().map(|byte| format!("{byte:02x}")).collect()
}

fn write_manuals_and_completions(directory: &Path) -> Result<String, CtlError> {
    let path = directory.display().to_string();
    let mut command = Options::command();
    fs::create_dir_all(directory).context(FileSnafu { path: &path })?;
    clap_mangen::generate_to(command.clone(), directory).context(FileSnafu { path: &path })?;
    for shell in [Shell::Bash, Shell::Zsh, Shell::Fish] {
        clap_complete::generate_to(shell, &mut command, "havengradectl", directory)
            .context(FileSnafu { path: &path })?;
    }
    Ok(format!("written to {path}\n"))
}

fn explain_logs(logs: &mut dyn Read, request: &str) -> Result<String, CtlError> {
    let mut text = Vec::new();
    logs.read_to_end(&mut text).context(FileSnafu { path: "standard input" })?;
    Ok(explain(&String::from_utf8_lossy(&text), request))
}
