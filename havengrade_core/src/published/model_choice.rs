//! Choice of a model among those of a route: a small model first, and a large one if the small one reports low
//! confidence.

use crate::{ids::ModelId, published::route::PublishedRoute};

/// Confidence, from 0 to 100, below which an answer is more likely wrong than right.
///
/// The confidence that models report is coarse but unbiased: at 50, half of the answers are right.
const ESCALATION_CONFIDENCE: u8 = 50;

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

/// Whether a request of a route may be sent to another model after the first one.
pub fn may_escalate(route: &PublishedRoute, is_repeatable: bool, is_resumed: bool) -> bool {
    is_repeatable && !is_resumed && route.max_tries > 1 && route.models.len() > 1
}
