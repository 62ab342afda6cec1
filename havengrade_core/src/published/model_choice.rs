//! Choice of a model among those of a route: a small model first, and a large one if the small one reports low
//! confidence and the load of the endpoints allows it.

use std::time::Duration;

use crate::{ids::ModelId, published::route::PublishedRoute};

/// Confidence, from 0 to 100, below which an answer is more likely wrong than right.
///
/// The confidence that models report is coarse but unbiased: at 50, half of the answers are right.
const ESCALATION_CONFIDENCE: u8 = 50;
/// Confidence below which an answer is almost certainly wrong, so that a second run is worth its work in a shortage.
const SHORTAGE_CONFIDENCE: f64 = 10.0;

/// Congestion up to which low load is assumed for the most urgent requests: the waiting work delays an event by less
/// than a sixth of the longest pause.
const LOW_CONGESTION: f64 = 0.15;
/// Congestion from which a shortage is assumed. The range above [`LOW_CONGESTION`] is narrow, because each second run is
/// work for seconds, and the endpoints are overloaded before a wide range ends.
const SHORTAGE_CONGESTION: f64 = 0.27;
/// Congestion above which even the second runs for answers that are almost certainly wrong are reduced.
const SEVERE_CONGESTION: f64 = 0.6;
/// Congestion from which no answer is replaced: the waiting work alone takes the longest pause.
const FULL_CONGESTION: f64 = 1.0;
/// Factor on these bounds for each step of the priority away from the most urgent one.
const PRIORITY_FACTOR: f64 = 0.85;
/// Least urgent priority that lowers the bounds further.
const LAST_PRIORITY: u8 = 4;

/// The model for the first attempt at a request whose caller leaves the choice to the router.
///
/// It is the smallest model if another one may be asked after it; otherwise the largest one, which is right most often.
/// A resumed stream continues with the largest model, since the model that began it is not known.
///
/// ```
/// use havengrade_core::published::model_choice::initial_model;
///
/// let models = ["small".to_owned(), "large".to_owned()];
/// assert_eq!(initial_model(&models, true), Some(&models[0]));
/// assert_eq!(initial_model(&models, false), Some(&models[1]));
/// ```
pub fn initial_model(models: &[ModelId], may_escalate: bool) -> Option<&ModelId> {
    if may_escalate { models.first() } else { models.last() }
}

/// The model to ask instead of one that reports low confidence in its answer, if any.
///
/// ```
/// use havengrade_core::published::model_choice::escalation_model;
///
/// let models = ["small".to_owned(), "large".to_owned()];
/// assert_eq!(escalation_model(&models, "small", Some(20)), Some(&models[1]));
/// assert_eq!(escalation_model(&models, "small", Some(80)), None);
/// assert_eq!(escalation_model(&models, "large", Some(20)), None);
/// ```
pub fn escalation_model<'a>(models: &'a [ModelId], model: &str, confidence: Option<u8>) -> Option<&'a ModelId> {
    let is_unsure = confidence.is_some_and(|confidence| confidence < ESCALATION_CONFIDENCE);
    models.last().filter(|largest| is_unsure && *largest != model)
}

/// The situation in which a low-confidence answer is kept or replaced by a run of a stronger model.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EscalationInput {
    /// Confidence of the model in its answer, from 0 to 100.
    pub confidence: u8,
    /// Priority of the request; 0 is served before 1.
    pub priority: u8,
    /// Congestion of the service ([`congestion`](crate::published::congestion::congestion)).
    pub congestion: f64,
    /// Time after which the first event of the stronger model is expected.
    pub first_event_in: Duration,
    /// Time left until the target for the first event; zero after it.
    pub time_to_target: Duration,
    /// Time left until the time limit of the request.
    pub time_left: Duration,
}

/// Why a low-confidence answer is kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeepReason {
    /// Endpoints are so congested that answers of this confidence are kept.
    Congested,
    /// In this load, the first event of the stronger model is expected after the target.
    TooLate,
    /// The stronger model can't begin within the time limit.
    NoTimeLeft,
}

impl KeepReason {
    /// The name in log lines and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Congested => "congested",
            Self::TooLate => "too_late",
            Self::NoTimeLeft => "no_time_left",
        }
    }
}

/// Whether a low-confidence answer is replaced.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Escalation {
    /// The stronger model runs the request.
    Run,
    /// The answer is kept.
    Keep(KeepReason),
}

/// Decides whether a low-confidence answer, for which [`escalation_model`] names a model, is replaced by a run of it.
///
/// ```
/// use std::time::Duration;
/// use havengrade_core::published::model_choice::{Escalation, EscalationInput, KeepReason, decide_escalation};
///
/// let calm = EscalationInput {
///     confidence: 40,
///     priority: 1,
///     congestion: 0.05,
///     first_event_in: Duration::from_millis(400),
///     time_to_target: Duration::from_secs(2),
///     time_left: Duration::from_secs(6),
/// };
/// assert_eq!(decide_escalation(&calm), Escalation::Run);
/// let congested = EscalationInput { congestion: 0.4, ..calm };
/// assert_eq!(decide_escalation(&congested), Escalation::Keep(KeepReason::Congested));
/// assert_eq!(decide_escalation(&EscalationInput { confidence: 5, ..congested }), Escalation::Run);
/// ```
pub fn decide_escalation(input: &EscalationInput) -> Escalation {
    if input.first_event_in >= input.time_left {
        return Escalation::Keep(KeepReason::NoTimeLeft);
    }
    let confidence = f64::from(input.confidence);
    if confidence >= confidence_threshold(input.congestion, input.priority) {
        return Escalation::Keep(KeepReason::Congested);
    }
    let is_low_load = input.congestion <= LOW_CONGESTION * priority_factor(input.priority);
    let is_late = input.first_event_in > input.time_to_target;
    if is_late && !is_low_load && confidence >= SHORTAGE_CONFIDENCE {
        return Escalation::Keep(KeepReason::TooLate);
    }
    Escalation::Run
}

/// Confidence below which an answer is replaced, at a congestion of the service and for a priority.
///
/// ```
/// use havengrade_core::published::model_choice::confidence_threshold;
///
/// assert_eq!(confidence_threshold(0.1, 0), 50.0);
/// assert_eq!(confidence_threshold(0.4, 0), 10.0);
/// assert_eq!(confidence_threshold(1.0, 0), 0.0);
/// assert!(confidence_threshold(0.2, 0) > confidence_threshold(0.2, 1));
/// ```
pub fn confidence_threshold(congestion: f64, priority: u8) -> f64 {
    let congestion = congestion / priority_factor(priority);
    let low_load = f64::from(ESCALATION_CONFIDENCE);
    if congestion <= SHORTAGE_CONGESTION {
        return between((LOW_CONGESTION, low_load), (SHORTAGE_CONGESTION, SHORTAGE_CONFIDENCE), congestion);
    }
    between((SEVERE_CONGESTION, SHORTAGE_CONFIDENCE), (FULL_CONGESTION, 0.0), congestion)
}

/// The value at `x` on the line between two points; outside them, the value of the nearer point.
fn between((from_x, from_y): (f64, f64), (to_x, to_y): (f64, f64), x: f64) -> f64 {
    let share = ((x - from_x) / (to_x - from_x)).clamp(0.0, 1.0);
    from_y + (to_y - from_y) * share
}

fn priority_factor(priority: u8) -> f64 {
    PRIORITY_FACTOR.powi(i32::from(priority.min(LAST_PRIORITY)))
}

/// Whether a request of a route may be sent to another model after the first one.
pub fn may_escalate(route: &PublishedRoute, is_repeatable: bool, is_resumed: bool) -> bool {
    is_repeatable && !is_resumed && route.max_tries > 1 && route.models.len() > 1
}
