//! Choice of a model among the sizes that a route offers.

use crate::ids::ModelId;

/// The model for a request whose caller leaves the choice to the router.
///
/// The largest model is right most often, and its cost is a small part of an answer's value.
///
/// ```
/// use havengrade_core::published::size::choose;
///
/// assert_eq!(choose(&["small".into(), "large".into()]), Some(&"large".into()));
/// ```
pub fn choose(models: &[ModelId]) -> Option<&ModelId> {
    models.last()
}
