//! Admission under shortage: whether a generation is sent now, or refused at once with a time at which to retry.
//!
//! A request whose first event is expected after its time limit is refused, unless the endpoints are in calm. If requests
//! would miss their targets, a share of the offered requests is refused (see [`ShedControl`]), the least valuable ones first: the least urgent
//! ones, then those that were not refused before, then those of the client account with the highest use of the service,
//! then those with most time left, which can come back later.

use std::{
    cmp::Reverse,
    collections::{HashMap, VecDeque},
    time::{Duration, SystemTime},
};

use rand::{Rng, RngExt as _};

use crate::{
    fingerprint::RequestFingerprint,
    ids::ServiceId,
    published::{
        account_shares::AccountShares,
        recent_refusals::RecentRefusals,
        shed_control::{OfferedWork, ShedControl},
    },
};

/// Share of the slots of the endpoints below which no request is refused unless requests wait at its endpoint.
const MIN_SLOTS_IN_USE: f64 = 0.5;
/// Share of the target of a request up to which the mean wait at the endpoints is calm. A request that is expected to be
/// too late is then sent, since a single busy endpoint or a wrong estimate is no shortage.
const CALM_WAIT_PART: f64 = 0.25;
/// Number of recent requests of a priority that a request is compared with.
const MAX_COMPARED: usize = 128;
/// Age up to which a request is compared with others; a VM receives about one per second of each priority.
const COMPARED_FOR: Duration = Duration::from_secs(15);
/// Steps in which the use of an equal share is compared; smaller differences of the counts are chance.
const USE_STEPS: f64 = 4.0;
/// Steps in which the part of the time limit that is left is compared.
const TIME_STEPS: f64 = 10.0;
/// Shortest time after which a caller is told to retry: the age of the reports on which the next decision is based.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(400);
/// Time in which a wait shortens by one unit: requests that are sent meanwhile take half of the endpoints' time.
const DRAIN_FACTOR: f64 = 2.0;
/// Share of the delay that is added at random at most, so that callers don't all retry at the same moment.
const JITTER: f64 = 0.5;
/// Highest share of the time left that a caller is told to wait. Callers wait for a third at most, and the refusal takes
/// a part of that to reach them.
const MAX_RETRY_PART: f64 = 0.3;

/// What is known of the endpoints that a request may use, in times of an average endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Forecast {
    /// Time that the endpoint that placement chose needs to read the prompts that are pending there.
    pub wait: Duration,
    /// Mean of that time over the endpoints that this VM may use.
    pub mean_wait: Duration,
    /// Time that the endpoint needs to read the prompt of the request itself.
    pub read_time: Duration,
    /// Share of the slots of these endpoints that are in use.
    pub slots_in_use: f64,
}

impl Forecast {
    /// The expected time to the first event.
    pub fn first_event(&self) -> Duration {
        self.wait + self.read_time
    }

    /// Whether the request must not be refused, since there is room and nothing waits at its endpoint.
    fn has_room(&self) -> bool {
        self.wait.is_zero() && self.slots_in_use < MIN_SLOTS_IN_USE
    }

    /// Whether requests hardly wait at the endpoints, compared with a target.
    fn is_calm(&self, target: Duration) -> bool {
        self.mean_wait <= target.mul_f64(CALM_WAIT_PART)
    }
}

/// A generation before its first send.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AdmissionRequest<'a> {
    /// Service that would answer.
    pub service: &'a str,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Client account; none if the route needs no key.
    pub account: Option<&'a str>,
    /// Identifies the request across retries of its caller.
    pub fingerprint: RequestFingerprint,
    /// Whether its caller already has a part of the answer.
    pub is_resumed: bool,
    /// Time in which its first event should arrive.
    pub target: Duration,
    /// Time limit of the request.
    pub time_limit: Duration,
    /// Time since the request arrived.
    pub elapsed: Duration,
    /// What is expected at the endpoints.
    pub forecast: Forecast,
}

impl AdmissionRequest<'_> {
    /// Time until the deadline.
    pub fn time_left(&self) -> Duration {
        self.time_limit.saturating_sub(self.elapsed)
    }
}

/// Why a request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ShortageReason {
    /// Its first event is expected after its time limit, and the endpoints are not in calm.
    TimeLimit,
    /// It is among the least valuable requests, which are refused so that the others are in time.
    Shed,
}

impl ShortageReason {
    /// Name of the reason in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::TimeLimit => "time_limit",
            Self::Shed => "shed",
        }
    }
}

/// A decision, with what it rests on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Admission {
    /// Why the request is refused; none if it is sent.
    pub refused: Option<ShortageReason>,
    /// Time after which its caller should retry if it is refused.
    pub retry_after: Duration,
    /// Share of the requests of its priority that are refused.
    pub refused_share: f64,
    /// Share of the recent requests of its priority that are less valuable.
    pub position: f64,
    /// Recent use of the service by its client account, as a multiple of an equal share.
    pub account_use: f64,
    /// Whether the request was refused before, or its caller has a part of the answer.
    pub is_returning: bool,
}

/// Value of a request among those of its priority: whether it returns, the use by its account, and its time left.
type Value = (bool, Reverse<u32>, Reverse<u32>);

/// Recent requests of a priority, the oldest first.
#[derive(Clone, Debug, Default)]
struct RecentValues {
    values: VecDeque<(Value, SystemTime)>,
}

impl RecentValues {
    /// The share of the recent requests that are less valuable than a new one, which is then one of them. Among equal
    /// ones its place is random.
    fn position(&mut self, value: Value, now: SystemTime, rng: &mut dyn Rng) -> f64 {
        while self.values.front().is_some_and(|(_, at)| *at + COMPARED_FOR <= now) {
            self.values.pop_front();
        }
        if self.values.len() >= MAX_COMPARED {
            self.values.pop_front();
        }
        self.values.push_back((value, now));
        let count = |is_counted: fn(&Value, &Value) -> bool| {
            self.values.iter().filter(|(known, _)| is_counted(known, &value)).count() as f64
        };
        (count(Value::lt) + count(Value::eq) * rng.random::<f64>()) / self.values.len() as f64
    }
}

/// What this VM knows of the requests of a service.
#[derive(Clone, Debug, Default)]
struct ServiceAdmission {
    control: ShedControl,
    accounts: AccountShares,
    refusals: RecentRefusals,
    recent: HashMap<u8, RecentValues>,
}

impl ServiceAdmission {
    fn decide(&mut self, request: AdmissionRequest<'_>, now: SystemTime, rng: &mut dyn Rng) -> Admission {
        let forecast = request.forecast;
        let account = request.account.unwrap_or_default();
        let work = OfferedWork {
            priority: request.priority,
            read_time: forecast.read_time,
            target: request.target,
            // A single busy endpoint is no shortage.
            wait: forecast.wait.min(forecast.mean_wait),
        };
        self.control.observe(work, now);
        self.accounts.record_offered(account, now);
        let is_returning = self.refusals.take(request.fingerprint, now) || request.is_resumed;
        let account_use = self.accounts.use_of(account, now);
        let value = value(&request, is_returning, account_use);
        let position = self.recent.entry(request.priority).or_default().position(value, now, rng);
        let refused_share = self.control.refused_share(request.priority, now);
        let refused = if forecast.has_room() {
            None
        } else if forecast.first_event() > request.time_left() {
            (!forecast.is_calm(request.target)).then_some(ShortageReason::TimeLimit)
        } else {
            (position < refused_share).then_some(ShortageReason::Shed)
        };
        if refused.is_some() {
            self.refusals.record(request.fingerprint, now);
        } else {
            self.accounts.record_admitted(account, now);
        }
        let goal_wait = self.control.goal_wait(request.priority, now);
        let retry_after = retry_delay(&request, goal_wait, rng);
        Admission { refused, retry_after, refused_share, position, account_use, is_returning }
    }
}

/// The value of a request. Use below an equal share is all the same.
fn value(request: &AdmissionRequest<'_>, is_returning: bool, account_use: f64) -> Value {
    let excess = (account_use - 1.0).max(0.0);
    let limit = request.time_limit.as_secs_f64().max(f64::MIN_POSITIVE);
    let left = request.time_left().as_secs_f64() / limit;
    (is_returning, Reverse((excess * USE_STEPS) as u32), Reverse((left * TIME_STEPS) as u32))
}

/// The time in which the wait is expected to fall below the goal, within what the caller can wait.
fn retry_delay(request: &AdmissionRequest<'_>, goal_wait: Duration, rng: &mut dyn Rng) -> Duration {
    let wait = request.forecast.wait.max(request.forecast.mean_wait);
    let expected = wait.saturating_sub(goal_wait).mul_f64(DRAIN_FACTOR).max(MIN_RETRY_DELAY);
    let longest = request.time_left().mul_f64(MAX_RETRY_PART / (1.0 + JITTER));
    expected.min(longest).mul_f64(1.0 + JITTER * rng.random::<f64>())
}

/// What this VM knows of the requests of all services whose endpoints run models.
#[derive(Clone, Debug, Default)]
pub struct AdmissionControl {
    by_service: HashMap<ServiceId, ServiceAdmission>,
}

impl AdmissionControl {
    /// Decides whether a generation is sent now or refused, before its first send.
    ///
    /// ```
    /// use std::time::{Duration, SystemTime};
    /// use havengrade_core::published::admission::{AdmissionControl, AdmissionRequest, Forecast, ShortageReason};
    /// use rand_chacha::{ChaCha8Rng, rand_core::SeedableRng as _};
    ///
    /// let mut rng = ChaCha8Rng::seed_from_u64(1);
    /// let mut control = AdmissionControl::default();
    /// let calm = Duration::from_millis(100);
    /// let forecast = Forecast { wait: calm, mean_wait: calm, read_time: calm, slots_in_use: 0.3 };
    /// let request = AdmissionRequest {
    ///     service: "models",
    ///     priority: 0,
    ///     account: Some("desk"),
    ///     fingerprint: 1,
    ///     is_resumed: false,
    ///     target: Duration::from_secs(2),
    ///     time_limit: Duration::from_secs(6),
    ///     elapsed: Duration::ZERO,
    ///     forecast,
    /// };
    /// let now = SystemTime::UNIX_EPOCH;
    /// assert_eq!(control.decide(request, now, &mut rng).refused, None);
    /// let long = Duration::from_secs(8);
    /// let late = Forecast { wait: long, mean_wait: long, ..forecast };
    /// let refused = control.decide(AdmissionRequest { forecast: late, ..request }, now, &mut rng);
    /// assert_eq!(refused.refused, Some(ShortageReason::TimeLimit));
    /// assert!(refused.retry_after <= Duration::from_secs(2));
    /// ```
    pub fn decide(&mut self, request: AdmissionRequest<'_>, now: SystemTime, rng: &mut dyn Rng) -> Admission {
        let service = self.by_service.entry(request.service.to_owned()).or_default();
        service.decide(request, now, rng)
    }

    /// The share of the requests that are refused, by service and priority.
    pub fn refused_shares(&self, now: SystemTime) -> Vec<(ServiceId, u8, f64)> {
        let shares = |(service, state): (&ServiceId, &ServiceAdmission)| {
            let service = service.clone();
            let shares = state.control.refused_shares(now);
            shares.into_iter().map(move |(priority, share)| (service.clone(), priority, share))
        };
        self.by_service.iter().flat_map(shares).collect()
    }
}
