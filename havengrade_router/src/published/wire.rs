//! Conversion between the datagrams that VMs exchange and the router's types.

use std::{net::SocketAddr, time::Duration};

use havengrade_core::{
    ids::EndpointId,
    published::{
        answer_window::{AnswerCounts, RecentAnswerCounts},
        bounded_time::MAX_TIME,
        directory::{DirectoryEvent, ListedEndpoint},
        endpoint_speed::ReportedSpeed,
        peers::{Peer, Work, WorkReport},
        rollout::{
            AttemptStats, HaltReason, ReportedAnswerCounts, ReportedHalt, ReportedRollout, RolloutOutcome,
            RolloutReport, RolloutStatus, RouteEvidence, SessionAffinity,
        },
        session_set::{pack_sessions, unpack_sessions},
        signals::{ReportedLimit, ReportedSignal},
        time_histogram::TimeHistogramByLoad,
    },
    quarantine::{QuarantineReport, ReportedAnswer, ReportedCrash, ReportedQuarantineEntry},
};
use havengrade_rpc::reports::{
    AnsweredRequest, EndpointAnswers, EndpointChange, EndpointCrash, EndpointEntry, EndpointSignal, EndpointSpeed,
    EndpointWork, HeldRequest, KeptSession as WireSession, Quarantine as WireQuarantine, RecentAnswers, RolloutHalt,
    RolloutState, RouteEvidence as WireEvidence, SessionSet, VmReport,
};

/// Hundredths in a whole.
const PERCENT: f64 = 100.0;

/// Number of sessions in a report that VMs of builds without session sets understand as well: the first reports of this
/// VM's own sessions, which come first.
const MAX_LISTED_SESSIONS: usize = 16;

const RUNNING: &str = "running";
const SUCCEEDED: &str = "succeeded";
const ROLLED_BACK: &str = "rolled_back";
const WORSE: &str = "worse";
const DEGRADED: &str = "turned";
const FAILED_AFTER_SUCCESS: &str = "after_success";

/// Contents of a VM's report to its peers.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct PeerReport {
    /// Work in progress.
    pub(super) work: WorkReport,
    /// Evidence on roll-outs, and their statuses.
    pub(super) rollouts: RolloutReport,
    /// Crashes of endpoints, and quarantined requests.
    pub(super) quarantine: QuarantineReport,
    /// Signals of endpoints.
    pub(super) signals: Vec<ReportedSignal>,
    /// Measured speeds of endpoints.
    pub(super) speeds: Vec<ReportedSpeed>,
}

pub(super) fn encode_report(report: PeerReport) -> VmReport {
    let WorkReport { peer, seq, work } = report.work;
    let work = work.into_iter().map(|(endpoint, work)| {
        let memory_tokens = (work.memory_tokens > 0).then(|| to_i32(work.memory_tokens));
        EndpointWork::new(endpoint, to_i32(work.requests), to_i32(work.tokens), memory_tokens)
    });
    let RolloutReport { evidence, states, halts, recent, sessions } = report.rollouts;
    let evidence: Vec<_> = evidence.into_iter().map(encode_evidence).collect();
    let rollouts: Vec<_> = states.into_iter().map(|rollout| encode_rollout(rollout, Vec::new())).collect();
    let halts: Vec<_> = halts.into_iter().map(encode_halt).collect();
    let recent: Vec<_> = recent.into_iter().map(encode_recent).collect();
    let (listed, rest) = sessions.split_at(sessions.len().min(MAX_LISTED_SESSIONS));
    let session_sets: Vec<_> =
        pack_sessions(rest).into_iter().map(|(version, entries)| SessionSet::new(version, entries)).collect();
    let sessions: Vec<_> = listed.iter().cloned().map(encode_session).collect();
    let speeds: Vec<_> = report.speeds.into_iter().map(encode_speed).collect();
    VmReport::new(
        peer.vm,
        to_i64(peer.incarnation),
        to_i64(seq),
        peer.address.to_string(),
        work.collect::<Vec<_>>(),
        (!evidence.is_empty()).then_some(evidence),
        (!rollouts.is_empty()).then_some(rollouts),
        Some(peer.failure_domain),
        (!halts.is_empty()).then_some(halts),
        (!recent.is_empty()).then_some(recent),
        (report.quarantine != QuarantineReport::default()).then(|| encode_quarantine(report.quarantine)),
        (!report.signals.is_empty()).then(|| encode_signals(report.signals)),
        (!sessions.is_empty()).then_some(sessions),
        (!speeds.is_empty()).then_some(speeds),
        (!session_sets.is_empty()).then_some(session_sets),
    )
}

/// Decodes a report. Returns `None` if it has no valid address.
pub(super) fn decode_report(report: VmReport) -> Option<PeerReport> {
    let address: SocketAddr = report.address.parse().ok()?;
    let work = report.work.into_iter().map(|entry| {
        let memory_tokens = entry.memory_tokens.map_or(0, from_i32);
        let work = Work { requests: from_i32(entry.requests), tokens: from_i32(entry.tokens), memory_tokens };
        (entry.endpoint, work)
    });
    let evidence = report.evidence.unwrap_or_default().into_iter().map(decode_evidence);
    let states = report.rollouts.unwrap_or_default().into_iter().filter_map(decode_rollout);
    let halts = report.halts.unwrap_or_default().into_iter().filter_map(decode_halt);
    let recent = report.recent_answers.unwrap_or_default().into_iter().map(decode_recent);
    let sessions = report.sessions.unwrap_or_default().into_iter().map(decode_session);
    let session_sets = report.session_sets.unwrap_or_default().into_iter();
    let packed_sessions = session_sets.flat_map(|set| unpack_sessions(&set.version, &set.entries));
    let rollouts = RolloutReport {
        evidence: evidence.collect(),
        states: states.collect(),
        halts: halts.collect(),
        recent: recent.collect(),
        sessions: sessions.chain(packed_sessions).collect(),
    };
    let failure_domain = report.failure_domain.unwrap_or_default();
    let peer = Peer { vm: report.vm, incarnation: from_i64(report.incarnation), address, failure_domain };
    Some(PeerReport {
        work: WorkReport { peer, seq: from_i64(report.seq), work: work.collect::<Vec<(EndpointId, Work)>>() },
        rollouts,
        quarantine: report.quarantine.map(decode_quarantine).unwrap_or_default(),
        signals: decode_signals(report.signals.unwrap_or_default()),
        speeds: report.speeds.unwrap_or_default().into_iter().filter_map(decode_speed).collect(),
    })
}

/// Encodes the speed of an endpoint.
fn encode_speed(speed: ReportedSpeed) -> EndpointSpeed {
    EndpointSpeed::new(speed.endpoint, (speed.slowness * PERCENT).round() as i32, to_i32(speed.samples))
}

/// Decodes the speed of an endpoint. Returns `None` if the ratio is not positive.
fn decode_speed(speed: EndpointSpeed) -> Option<ReportedSpeed> {
    let slowness = f64::from(speed.slowness_percent) / PERCENT;
    (slowness > 0.0).then(|| ReportedSpeed { endpoint: speed.endpoint, slowness, samples: from_i32(speed.samples) })
}

/// Encodes the affinity of a session. The session's fingerprint is 64 opaque bits, which the schema carries as a signed
/// integer.
fn encode_session(affinity: SessionAffinity) -> WireSession {
    let used_ms = to_i64(affinity.used_ago.as_millis() as u64);
    WireSession::new(affinity.session.cast_signed(), affinity.version, used_ms)
}

fn decode_session(session: WireSession) -> SessionAffinity {
    let used_ago = Duration::from_millis(from_i64(session.used_ms));
    SessionAffinity { session: session.session.cast_unsigned(), version: session.version, used_ago }
}

pub(super) fn encode_signals(signals: Vec<ReportedSignal>) -> Vec<EndpointSignal> {
    let millis = |time: Duration| to_i64(time.as_millis() as u64);
    let encode = |ReportedSignal { endpoint, start, limit, shutting_down_for }| {
        EndpointSignal::new(
            endpoint,
            start.map(to_i64),
            limit.map(|limit: ReportedLimit| millis(limit.age)),
            limit.and_then(|limit| limit.per_s).map(Into::into),
            shutting_down_for.map(millis),
            limit.map(|limit| limit.round.cast_signed()),
        )
    };
    signals.into_iter().map(encode).collect()
}

pub(super) fn decode_signals(signals: Vec<EndpointSignal>) -> Vec<ReportedSignal> {
    let time = |millis: i64| Duration::from_millis(from_i64(millis));
    let decode = |signal: EndpointSignal| ReportedSignal {
        endpoint: signal.endpoint,
        start: signal.start_ms.map(from_i64),
        limit: signal.limit_age_ms.map(|age| ReportedLimit {
            per_s: signal.limit_per_s.map(f64::from),
            age: time(age),
            round: signal.limit_turn.unwrap_or_default().cast_unsigned(),
        }),
        shutting_down_for: signal.leaving_ms.map(time),
    };
    signals.into_iter().map(decode).collect()
}

/// Encodes a quarantine report. A fingerprint is 64 opaque bits, which the schema carries as a signed integer.
pub(crate) fn encode_quarantine(report: QuarantineReport) -> WireQuarantine {
    let millis = |time: Duration| to_i64(time.as_millis() as u64);
    let QuarantineReport { crashes, held, answered } = report;
    WireQuarantine::new(
        crashes
            .into_iter()
            .map(|crash| {
                let (fingerprint, version) = (crash.fingerprint.cast_signed(), crash.version.cast_signed());
                let request = crash.request.map(u64::cast_signed);
                let (ran_ms, age_ms) = (millis(crash.ran_for), millis(crash.age));
                EndpointCrash::new(fingerprint, crash.endpoint, version, ran_ms, age_ms, request)
            })
            .collect::<Vec<_>>(),
        held.iter().map(encode_quarantine_entry).collect::<Vec<_>>(),
        answered
            .into_iter()
            .map(|answer| {
                AnsweredRequest::new(answer.fingerprint.cast_signed(), answer.version.cast_signed(), millis(answer.age))
            })
            .collect::<Vec<_>>(),
    )
}

fn encode_quarantine_entry(entry: &ReportedQuarantineEntry) -> HeldRequest {
    let millis = |time: Duration| to_i64(time.as_millis() as u64);
    let ReportedQuarantineEntry {
        fingerprint,
        version,
        first_crash_age,
        quarantined_for,
        remaining,
        trials,
        last_trial_age,
        is_stored,
        endpoint,
    } = *entry;
    let trials = i32::try_from(trials).unwrap_or(i32::MAX);
    HeldRequest::new(
        fingerprint.cast_signed(),
        millis(first_crash_age),
        millis(quarantined_for),
        millis(remaining),
        trials,
        is_stored,
        version.cast_signed(),
        last_trial_age.map(millis),
        endpoint.map(u64::cast_signed),
    )
}

pub(crate) fn decode_quarantine(report: WireQuarantine) -> QuarantineReport {
    let time = |millis: i64| Duration::from_millis(from_i64(millis));
    let crashes = report.crashes.into_iter().map(|crash| ReportedCrash {
        fingerprint: crash.mark.cast_unsigned(),
        endpoint: crash.endpoint,
        version: crash.version.cast_unsigned(),
        ran_for: time(crash.ran_ms),
        age: time(crash.age_ms),
        request: crash.request.map(i64::cast_unsigned),
    });
    let held = report.held.into_iter().map(|entry| ReportedQuarantineEntry {
        fingerprint: entry.mark.cast_unsigned(),
        version: entry.version.cast_unsigned(),
        first_crash_age: time(entry.age_ms),
        quarantined_for: time(entry.held_ms),
        remaining: time(entry.left_ms),
        trials: from_i32(entry.trials) as usize,
        last_trial_age: entry.tried_ms.map(time),
        endpoint: entry.tried_endpoint.map(i64::cast_unsigned),
        is_stored: entry.is_kept,
    });
    let answered = report.answered.into_iter();
    let answered = answered.map(|answer| ReportedAnswer {
        fingerprint: answer.mark.cast_unsigned(),
        version: answer.version.cast_unsigned(),
        age: time(answer.age_ms),
    });
    QuarantineReport { crashes: crashes.collect(), held: held.collect(), answered: answered.collect() }
}

fn encode_evidence(evidence: RouteEvidence) -> WireEvidence {
    let RouteEvidence { service, version, route, seen } = evidence;
    WireEvidence::new(
        service,
        route,
        version,
        to_i64(seen.ended),
        to_i64(seen.failed),
        Some(to_i64(seen.errors)),
        encode_times(seen.first.light_pairs()),
        encode_times(seen.first.heavy_pairs()),
        encode_times(seen.pace.light_pairs()),
        encode_times(seen.pace.heavy_pairs()),
    )
}

fn decode_evidence(evidence: WireEvidence) -> RouteEvidence {
    let seen = AttemptStats {
        ended: from_i64(evidence.ended),
        failed: from_i64(evidence.failed),
        errors: from_i64(evidence.errors.unwrap_or_default()),
        first: decode_times(evidence.first_times, evidence.loaded_first_times),
        pace: decode_times(evidence.paces, evidence.loaded_paces),
    };
    RouteEvidence { service: evidence.service_name, version: evidence.version, route: evidence.route, seen }
}

fn encode_times(pairs: impl Iterator<Item = (usize, u32)>) -> Option<Vec<i32>> {
    let number = |number: usize| i32::try_from(number).unwrap_or(i32::MAX);
    let pairs: Vec<i32> = pairs.flat_map(|(bucket, count)| [number(bucket), to_i32(count)]).collect();
    (!pairs.is_empty()).then_some(pairs)
}

fn decode_times(light: Option<Vec<i32>>, heavy: Option<Vec<i32>>) -> TimeHistogramByLoad {
    let (light, heavy) = (light.unwrap_or_default(), heavy.unwrap_or_default());
    let decode = |[bucket, count]: &[i32; 2]| (from_i32(*bucket) as usize, from_i32(*count));
    TimeHistogramByLoad::from_message(light.as_chunks().0.iter().map(decode), heavy.as_chunks().0.iter().map(decode))
}

fn encode_halt(halt: ReportedHalt) -> RolloutHalt {
    let reason = match halt.reason {
        HaltReason::Worse => WORSE,
        HaltReason::Degraded => DEGRADED,
        HaltReason::FailedAfterSuccess => FAILED_AFTER_SUCCESS,
    };
    RolloutHalt::new(halt.service, halt.version, reason.to_owned())
}

fn decode_halt(halt: RolloutHalt) -> Option<ReportedHalt> {
    let reason = match halt.reason.as_str() {
        WORSE => HaltReason::Worse,
        DEGRADED => HaltReason::Degraded,
        FAILED_AFTER_SUCCESS => HaltReason::FailedAfterSuccess,
        other => {
            log::warn!("ignoring a halt with the unknown reason {other:?}");
            return None;
        },
    };
    Some(ReportedHalt { service: halt.service_name, version: halt.version, reason })
}

fn encode_recent(reported: ReportedAnswerCounts) -> RecentAnswers {
    let count = |count: u64| i32::try_from(count).unwrap_or(i32::MAX);
    let RecentAnswerCounts { by_endpoint, unattributed } = reported.counts;
    let by_endpoint = by_endpoint
        .into_iter()
        .map(|(endpoint, counts)| EndpointAnswers::new(endpoint, count(counts.answers), count(counts.errors)));
    RecentAnswers::new(
        reported.service,
        by_endpoint.collect::<Vec<_>>(),
        count(unattributed.answers),
        count(unattributed.errors),
    )
}

fn decode_recent(recent: RecentAnswers) -> ReportedAnswerCounts {
    let counts = |answers, errors| AnswerCounts { answers: from_i32(answers).into(), errors: from_i32(errors).into() };
    let by_endpoint = recent.endpoints.into_iter().map(|entry| (entry.endpoint, counts(entry.answers, entry.errors)));
    let unattributed = counts(recent.rest_answers, recent.rest_errors);
    ReportedAnswerCounts {
        service: recent.service_name,
        counts: RecentAnswerCounts { by_endpoint: by_endpoint.collect(), unattributed },
    }
}

/// Encodes the status of a roll-out and its baseline.
pub(super) fn encode_rollout(rollout: ReportedRollout, baseline: Vec<RouteEvidence>) -> RolloutState {
    let ReportedRollout { status, age } = rollout;
    let age_ms = age.map(|age| to_i64(age.as_millis() as u64));
    let baseline: Vec<_> = baseline.into_iter().map(encode_evidence).collect();
    let baseline = (!baseline.is_empty()).then_some(baseline);
    RolloutState::new(status.service, status.version, outcome_name(status.outcome).to_owned(), age_ms, baseline)
}

/// Decodes the baseline of a roll-out.
pub(super) fn decode_baseline(state: &RolloutState) -> Vec<RouteEvidence> {
    state.usual.iter().flatten().cloned().map(decode_evidence).collect()
}

/// Decodes the status of a roll-out. Returns `None` if its outcome is unknown to this build.
pub(super) fn decode_rollout(state: RolloutState) -> Option<ReportedRollout> {
    let outcome = parse_outcome(&state.outcome)?;
    let status = RolloutStatus { service: state.service_name, version: state.version, outcome };
    Some(ReportedRollout { status, age: state.age_ms.map(|age| Duration::from_millis(from_i64(age))) })
}

fn outcome_name(outcome: RolloutOutcome) -> &'static str {
    match outcome {
        RolloutOutcome::Running => RUNNING,
        RolloutOutcome::Succeeded => SUCCEEDED,
        RolloutOutcome::RolledBack => ROLLED_BACK,
    }
}

fn parse_outcome(name: &str) -> Option<RolloutOutcome> {
    match name {
        RUNNING => Some(RolloutOutcome::Running),
        SUCCEEDED => Some(RolloutOutcome::Succeeded),
        ROLLED_BACK => Some(RolloutOutcome::RolledBack),
        _ => {
            log::warn!("ignoring a roll-out with the unknown outcome {name:?}");
            None
        },
    }
}

/// Encodes a change of the endpoint list. Returns `None` for a complete list.
pub(super) fn encode_change(event: DirectoryEvent) -> Option<EndpointChange> {
    match event {
        DirectoryEvent::Seen(endpoint) => {
            let entry = EndpointEntry::new(
                endpoint.service,
                endpoint.address.to_string(),
                endpoint.failure_domain,
                endpoint.version,
                to_i32(endpoint.slots),
                endpoint.is_leaving,
                (!endpoint.cold_for.is_zero()).then(|| to_i64(endpoint.cold_for.as_millis() as u64)),
                endpoint.start.map(to_i64),
            );
            Some(EndpointChange::new(endpoint.id, entry))
        },
        DirectoryEvent::Gone(id) => Some(EndpointChange::new(id, None)),
        DirectoryEvent::All(_) | DirectoryEvent::Restored(_) => None,
    }
}

/// Decodes a change of the endpoint list. Returns `None` if its address is malformed.
pub(super) fn decode_change(change: EndpointChange) -> Option<DirectoryEvent> {
    let Some(entry) = change.entry else {
        return Some(DirectoryEvent::Gone(change.endpoint));
    };
    Some(DirectoryEvent::Seen(ListedEndpoint {
        id: change.endpoint,
        service: entry.service_name,
        address: entry.address.parse().ok()?,
        failure_domain: entry.failure_domain,
        version: entry.version,
        slots: from_i32(entry.slots),
        is_leaving: entry.leaving,
        cold_for: Duration::from_millis(entry.cold_ms.map_or(0, from_i64)).min(MAX_TIME),
        start: entry.start_ms.map(from_i64),
    }))
}

pub(super) fn to_i32(value: u32) -> i32 {
    i32::try_from(value).unwrap_or(i32::MAX)
}

pub(super) fn to_i64(value: u64) -> i64 {
    i64::try_from(value).unwrap_or(i64::MAX)
}

/// Converts a count from another VM; a negative one becomes 0.
pub(super) fn from_i64(value: i64) -> u64 {
    u64::try_from(value).unwrap_or_default()
}

fn from_i32(value: i32) -> u32 {
    u32::try_from(value).unwrap_or_default()
}
