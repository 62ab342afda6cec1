//! The service that handles the calls of operators.

use std::time::{Duration, SystemTime};

use async_trait::async_trait;
use bytes::Bytes;
use futures::{SinkExt as _, StreamExt as _};
use havengrade_core::{
    config::{
        BaseRevision, Change, ChangeFile, ChangeOutcome, ChangeRecord, Config, ConfigRecord, Item, ItemDiff,
        ReplayOutcome, ScopeKind, ScopedChange, VoidReason,
    },
    ids::Offset,
    membership::Member,
    secret,
};
use havengrade_rpc::{
    OperatorCall, OperatorError, OperatorReply, OperatorResult, decode_call, encode_reply, framed,
    operators::{
        AuditEntry, BadRequest, ChangeReply, ChangeStatus, Credentials, FleetStatus, ItemDifference, Plan, ShownItem,
        Unauthenticated, Unavailable, VmStatus,
    },
    peers::{PeerDrain, PeerRequest},
};
use ractor::{Actor, ActorCell, ActorProcessingErr, ActorRef};
use snafu::ResultExt as _;
use tokio::time::{sleep, timeout};
use tokio_util::task::AbortOnDropHandle;

use crate::{
    kernel::{BindSnafu, Context, Service, StartError, spawn},
    net::{BoxConnection, Listener},
    platform::LogStream,
    services::{
        config::{self, ConfigMessage},
        members::{self, MembersMessage},
    },
};

/// Name of the service.
pub const NAME: &str = "operators";

/// Maximum time until the outcome of a change is known, or another service answers.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);
/// Maximum time that a reply waits until a change is active on all listed VMs.
const ACTIVATION_TIMEOUT: Duration = Duration::from_secs(2);
/// Interval at which the reply checks on which VMs the change is active.
const ACTIVATION_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Time after which an idle connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// Maximum number of records per read for the audit trail.
const MAX_AUDIT_READ_RECORDS: usize = 1000;

/// The service.
pub struct OperatorsService;

#[async_trait]
impl Service for OperatorsService {
    fn name(&self) -> &'static str {
        NAME
    }

    async fn start(&self, cx: &Context) -> Result<ActorCell, StartError> {
        let address = cx.shared.settings.listen.operators;
        let listener = cx.network.bind(address).await.context(BindSnafu { key: "listen.operators", address })?;
        spawn(NAME, cx, OperatorsActor, (cx.clone(), listener)).await
    }
}

/// Actor of the service.
struct OperatorsActor;

impl Actor for OperatorsActor {
    type Msg = ();
    type State = AbortOnDropHandle<()>;
    type Arguments = (Context, Box<dyn Listener>);

    async fn pre_start(
        &self,
        _myself: ActorRef<()>,
        (cx, listener): Self::Arguments,
    ) -> Result<Self::State, ActorProcessingErr> {
        Ok(AbortOnDropHandle::new(tokio::spawn(serve(cx, listener))))
    }
}

async fn serve(cx: Context, mut listener: Box<dyn Listener>) {
    let mut connections = tokio::task::JoinSet::new();
    loop {
        while connections.try_join_next().is_some() {}
        match listener.accept().await {
            Ok(connection) => drop(connections.spawn(serve_operator(cx.clone(), connection))),
            Err(error) => {
                log::warn!(service = NAME; "connection not accepted: {error}");
                sleep(super::ACCEPT_RETRY_DELAY).await;
            },
        }
    }
}

async fn serve_operator(cx: Context, connection: BoxConnection) {
    let mut stream = framed(connection, cx.shared.settings.limits.max_frame_bytes);
    while let Ok(Some(frame)) = timeout(IDLE_TIMEOUT, stream.next()).await {
        let reply = match frame {
            Ok(frame) => handle_frame(&cx, &frame).await,
            Err(error) => Err(error.to_string()),
        };
        match reply {
            Ok(reply) => {
                if stream.send(Bytes::from(reply)).await.is_err() {
                    return;
                }
            },
            Err(error) => {
                log::warn!(service = NAME; "closing an operator connection after a malformed message: {error}");
                return;
            },
        }
    }
}

async fn handle_frame(cx: &Context, frame: &[u8]) -> Result<Vec<u8>, String> {
    let (credentials, call) = decode_call(frame).map_err(|error| error.to_string())?;
    let result = execute_call(cx, &credentials, call).await;
    encode_reply(frame, result).map_err(|error| error.to_string())
}

/// Executes an operator's call.
///
/// # Errors
///
/// The [`OperatorError`] says whether the caller, a field or the VM is at fault.
pub async fn execute_call(cx: &Context, credentials: &Credentials, call: OperatorCall) -> OperatorResult {
    let author = authenticate(cx, credentials)?;
    match call {
        OperatorCall::Plan { change_file } => plan(cx, &change_file).map(OperatorReply::Plan),
        OperatorCall::Apply { change_id, reason, changes_json } => {
            let changes: Vec<ScopedChange> = serde_json::from_str(&changes_json)
                .map_err(|error| bad_request("changes_json", &format!("{error}; send what `plan` answered")))?;
            apply(cx, author, change_id, reason, changes).await.map(OperatorReply::Change)
        },
        OperatorCall::Withdraw { change_id, reason, version } => {
            let changes = vec![ScopedChange { base: BaseRevision::Any, change: Change::Withdraw { version } }];
            apply(cx, author, change_id, reason, changes).await.map(OperatorReply::Change)
        },
        OperatorCall::Outcome { change_id } => {
            let outcome = cx.shared.catalog.load().config.change_outcome(&change_id).cloned();
            Ok(OperatorReply::Change(change_reply(cx, change_id, outcome).await))
        },
        OperatorCall::Show { kind } => show(cx, &kind).map(OperatorReply::Items),
        OperatorCall::Audit { from_offset, limit } => {
            audit(cx, from_offset.max(0).cast_unsigned(), limit).await.map(OperatorReply::Audit)
        },
        OperatorCall::Status => status(cx).await.map(OperatorReply::Status),
        OperatorCall::Drain { vm } => drain(cx, &author, vm).await.map(|()| OperatorReply::Empty),
    }
}

/// Returns the operator's name if the key matches; an unknown name takes as long to refuse as a wrong key.
fn authenticate(cx: &Context, credentials: &Credentials) -> Result<String, OperatorError> {
    let operators = &cx.shared.settings.operators;
    let operator = operators.iter().find(|operator| operator.name == credentials.operator_name);
    let stored = operator.map_or("", |operator| operator.key_sha256.as_str());
    if secret::matches(&credentials.key, stored) {
        return Ok(credentials.operator_name.clone());
    }
    log::warn!(service = NAME, operator = credentials.operator_name.as_str(); "operator authentication failed");
    let remedy = "the name or the key is wrong; the settings of the VM list who may call".to_owned();
    Err(OperatorError::Unauthenticated(Unauthenticated { remedy }))
}

fn bad_request(field: &str, remedy: &str) -> OperatorError {
    OperatorError::BadRequest(BadRequest::new(field.to_owned(), remedy.to_owned()))
}

fn unavailable(reason: impl Into<String>) -> OperatorError {
    /// Time after which a retry may succeed.
    const RETRY_AFTER_MS: i64 = 1000;
    OperatorError::Unavailable(Unavailable::new(reason.into(), RETRY_AFTER_MS))
}

fn plan(cx: &Context, text: &str) -> Result<Plan, OperatorError> {
    let file = ChangeFile::parse(text).map_err(|error| bad_request("change_file", &error.to_string()))?;
    let catalog = cx.shared.catalog.load();
    let changes = file.changes_against(&catalog.config);
    let json = |item: &Option<Item>| item.clone().and_then(|item| serde_json::to_string(&item.without_secrets()).ok());
    let differences = ItemDiff::for_changes(&catalog.config, &changes)
        .iter()
        .map(|it| {
            let (before, after) = (json(&it.before), json(&it.after));
            ItemDifference::new(it.scope.kind.to_string(), it.scope.name.clone(), before, after)
        })
        .collect();
    let changes_json = serde_json::to_string(&changes).unwrap_or_default();
    let record = change_record(cx, String::new(), String::new(), String::new(), changes);
    let faults = match catalog.config.try_apply(catalog.config.next_offset, &record) {
        Ok(_) => Vec::new(),
        Err(VoidReason::Invalid(faults)) => faults.iter().map(ToString::to_string).collect(),
        Err(conflict @ VoidReason::Conflict { .. }) => vec![conflict.to_string()],
    };
    Ok(Plan::new(differences, changes_json, faults))
}

fn change_record(
    cx: &Context,
    change_id: String,
    author: String,
    reason: String,
    changes: Vec<ScopedChange>,
) -> ChangeRecord {
    ChangeRecord { change_id, author, reason, at: cx.shared.clock.now(), changes }
}

async fn apply(
    cx: &Context,
    author: String,
    change_id: String,
    reason: String,
    changes: Vec<ScopedChange>,
) -> Result<ChangeReply, OperatorError> {
    if change_id.trim().is_empty() {
        return Err(bad_request("change_id", "must be an id that is new for each change; repeat it to retry"));
    }
    if reason.trim().is_empty() {
        return Err(bad_request("reason", "must tell why the change is made; the audit trail keeps it"));
    }
    if changes.is_empty() {
        return Err(bad_request("changes_json", "holds no change; what the file says is in force already"));
    }
    let record = change_record(cx, change_id.clone(), author, reason, changes);
    let service = cx.find::<ConfigMessage>(config::NAME).ok_or_else(|| unavailable("the VM is stopping"))?;
    let proposed = service.call(|reply| ConfigMessage::Propose { record, reply }, Some(CALL_TIMEOUT)).await;
    let outcome = proposed.ok().and_then(|outcome| outcome.success_or(()).ok());
    Ok(change_reply(cx, change_id, outcome).await)
}

async fn change_reply(cx: &Context, change_id: String, outcome: Option<ChangeOutcome>) -> ChangeReply {
    let (status, offset, detail) = match outcome {
        Some(ChangeOutcome::Effective(offset)) => (ChangeStatus::ACCEPTED, Some(offset), "in force here".to_owned()),
        Some(ChangeOutcome::Void(reason @ VoidReason::Conflict { .. })) => {
            (ChangeStatus::CONFLICT, None, reason.to_string())
        },
        Some(ChangeOutcome::Void(reason @ VoidReason::Invalid(_))) => (ChangeStatus::INVALID, None, reason.to_string()),
        None => {
            let detail = "the log service did not show the change in time; repeat the call with the same change id";
            (ChangeStatus::UNKNOWN, None, detail.to_owned())
        },
    };
    let (in_force, live, lagging) = wait_until_active(cx, offset).await;
    ChangeReply::new(status, change_id, offset.map(u64::cast_signed), detail, in_force, live, lagging)
}

/// Waits, up to a timeout, until the change at an offset is active on all listed VMs that aren't shutting down.
///
/// Returns the number of live VMs on which it is active, the number of live VMs, and the names of the VMs that
/// lag. A VM without a recent heartbeat is named too: it may serve callers although this VM can't reach it.
async fn wait_until_active(cx: &Context, offset: Option<Offset>) -> (i32, i32, Vec<String>) {
    let started = cx.shared.clock.now();
    loop {
        let members = list_members(cx).await.unwrap_or_default();
        let has_activated = |member: &Member| {
            let next = member.heartbeat.as_ref().map_or(0, |heartbeat| heartbeat.config_next);
            offset.is_some_and(|offset| next > offset)
        };
        let lagging: Vec<String> = members
            .iter()
            .filter(|(member, _)| !member.listed.leaving)
            .filter(|(member, live)| !live || !has_activated(member))
            .map(|(member, _)| member.listed.id.clone())
            .collect();
        let waited = cx.shared.clock.now().duration_since(started).unwrap_or_default();
        if offset.is_none() || lagging.is_empty() || waited >= ACTIVATION_TIMEOUT {
            let live = members.iter().filter(|(_, live)| *live).count();
            let in_force = members.iter().filter(|(member, live)| *live && has_activated(member)).count();
            let count = |count: usize| i32::try_from(count).unwrap_or(i32::MAX);
            return (count(in_force), count(live), lagging);
        }
        sleep(ACTIVATION_POLL_INTERVAL).await;
    }
}

async fn list_members(cx: &Context) -> Result<Vec<(Member, bool)>, OperatorError> {
    let service = cx.find::<MembersMessage>(members::NAME).ok_or_else(|| unavailable("the VM is stopping"))?;
    let members = service.call(MembersMessage::Members, Some(CALL_TIMEOUT)).await;
    members.ok().and_then(|members| members.success_or(()).ok()).ok_or_else(|| unavailable("the VM is stopping"))
}

fn show(cx: &Context, kind: &str) -> Result<Vec<ShownItem>, OperatorError> {
    let kind = kind.trim().trim_end_matches('s');
    let matches =
        |it: &ScopeKind| kind.is_empty() || it.to_string() == kind || it.to_string().replace('_', "-") == kind;
    let kinds: Vec<ScopeKind> = ScopeKind::ALL.into_iter().filter(matches).collect();
    if kinds.is_empty() {
        let known: Vec<String> = ScopeKind::ALL.iter().map(ToString::to_string).collect();
        return Err(bad_request("kind", &format!("must be one of {}", known.join(", "))));
    }
    let catalog = cx.shared.catalog.load();
    let shown =
        catalog.config.scopes().filter(|(scope, _)| kinds.contains(&scope.kind)).filter_map(|(scope, offset)| {
            let item = catalog.config.item(scope)?.without_secrets();
            let json = serde_json::to_string(&item).ok()?;
            Some(ShownItem::new(scope.kind.to_string(), scope.name.clone(), json, offset.cast_signed()))
        });
    Ok(shown.collect())
}

/// Replays the stream from its beginning, so that the audit trail is the same on every VM.
async fn audit(cx: &Context, from: Offset, limit: i32) -> Result<Vec<AuditEntry>, OperatorError> {
    let limit = usize::try_from(limit).unwrap_or_default();
    let mut config = Config::default();
    let mut entries = Vec::new();
    let mut next = 0;
    loop {
        let slice = cx
            .log
            .read(LogStream::Config, next, MAX_AUDIT_READ_RECORDS, Duration::ZERO)
            .await
            .map_err(|error| unavailable(error.to_string()))?;
        for record in &slice.records {
            next = record.offset + 1;
            let Ok(parsed) = serde_json::from_str::<ConfigRecord>(&record.data) else { continue };
            let outcome = config.replay(record.offset, &parsed);
            if let ConfigRecord::Change(change) = &parsed
                && record.offset >= from
                && entries.len() < limit
            {
                entries.push(audit_entry(record.offset, change, &outcome));
            }
        }
        if slice.records.is_empty() || entries.len() >= limit {
            return Ok(entries);
        }
    }
}

fn audit_entry(offset: Offset, change: &ChangeRecord, outcome: &ReplayOutcome) -> AuditEntry {
    let (outcome, detail) = match outcome {
        ReplayOutcome::Effective => ("effective", String::new()),
        ReplayOutcome::Void(reason @ VoidReason::Conflict { .. }) => ("conflict", reason.to_string()),
        ReplayOutcome::Void(reason @ VoidReason::Invalid(_)) => ("invalid", reason.to_string()),
        ReplayOutcome::Duplicate(_) => ("repeated", "its change id stands further up".to_owned()),
        ReplayOutcome::Restored | ReplayOutcome::Skipped => {
            ("passed", "it stands before the oldest snapshot".to_owned())
        },
    };
    let at = change.at.duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
    let scopes = change.changes.iter().map(|scoped| scoped.change.scope().to_string()).collect();
    AuditEntry::new(
        offset.cast_signed(),
        i64::try_from(at.as_millis()).unwrap_or(i64::MAX),
        change.change_id.clone(),
        change.author.clone(),
        change.reason.clone(),
        outcome.to_owned(),
        detail,
        scopes,
    )
}

async fn status(cx: &Context) -> Result<FleetStatus, OperatorError> {
    let vms = list_members(cx).await?.into_iter().map(|(member, live)| vm_status(&member, live)).collect();
    let revision = cx.shared.catalog.load().config.revision.map(u64::cast_signed);
    Ok(FleetStatus::new(cx.shared.vm().clone(), revision, cx.shared.is_log_reachable(), vms))
}

fn vm_status(member: &Member, live: bool) -> VmStatus {
    let listed = &member.listed;
    let Some(heartbeat) = &member.heartbeat else {
        return VmStatus::new(listed.id.clone(), listed.failure_domain.clone(), live, false, false, None, 0, 0);
    };
    VmStatus::new(
        listed.id.clone(),
        listed.failure_domain.clone(),
        live,
        heartbeat.ready,
        heartbeat.draining,
        heartbeat.revision.map(u64::cast_signed),
        i64::try_from(heartbeat.staleness.as_millis()).unwrap_or(i64::MAX),
        heartbeat.in_progress.cast_signed(),
    )
}

async fn drain(cx: &Context, author: &str, vm: String) -> Result<(), OperatorError> {
    log::info!(service = NAME, operator = author, vm = vm.as_str(); "drain requested");
    if vm == *cx.shared.vm() {
        cx.shared.start_drain();
        return Ok(());
    }
    let is_listed = list_members(cx).await?.iter().any(|(member, _)| member.listed.id == vm);
    if !is_listed {
        return Err(bad_request("vm", "no such VM is listed; `havengradectl status` shows them"));
    }
    let request = PeerRequest::Drain(PeerDrain::new(author.to_owned()));
    let reply = members::call_peer(cx, vm, request).await;
    reply.map(drop).ok_or_else(|| unavailable("the VM did not answer; call its own operators' port"))
}
