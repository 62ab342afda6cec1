//! Choice of a model among the sizes that a route offers: a small one first, a large one where it doubts itself.

use crate::{ids::ModelId, published::route::PublishedRoute};

/// Confidence, from 0 to 100, below which a model is more likely wrong than right.
///
/// A model's opinion of its answer is rough, but even: it is right as often as not where it says so.
const ESCALATION_CONFIDENCE: u8 = 50;

/// The model for a first try at a request whose caller leaves the choice to the router.
///
/// The smallest one answers where there may be a second try; where there may not, the largest one is right
/// most often. A stream that a caller resumes goes on with the largest, since the model that began it is
/// not known.
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

/// The model to ask instead of one that doubts its answer, if any.
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
    let doubts = confidence.is_some_and(|confidence| confidence < ESCALATION_CONFIDENCE);
    models.last().filter(|largest| doubts && *largest != model)
}

/// Whether a request of a route may be asked again of another model, once it was sent to a first one.
pub fn may_escalate(route: &PublishedRoute, is_repeatable: bool, is_resumed: bool) -> bool {
    is_repeatable && !is_resumed && route.max_tries > 1 && route.models.len() > 1
}
