//! Fills the deploy file's template for settings as the platform does, as far as that template needs it.

use std::collections::HashMap;

/// The fields of a process, by their names; those that are the same for all processes come from `fields.txt`.
pub fn common_fields() -> HashMap<String, String> {
    let lines = include_str!("../fields.txt").lines();
    lines.filter_map(|line| line.split_once('=')).map(|(key, value)| (key.into(), value.into())).collect()
}

/// Fills the gaps `{{a}}`, and the parts `{{#a}} .. {{/a}}` and `{{^a}} .. {{/a}}`, which do not nest.
pub fn fill(template: &str, fields: &HashMap<String, String>) -> String {
    let mut filled = String::new();
    let mut rest = template;
    while let Some((before, after)) = rest.split_once("{{") {
        filled.push_str(before);
        let (gap, after) = after.split_once("}}").expect("a gap ends");
        rest = after;
        let is_set = |name: &str| fields.get(name).is_some_and(|value| value != "false");
        let part = gap.strip_prefix('#').map(|name| (name, true)).or(gap.strip_prefix('^').map(|name| (name, false)));
        let Some((name, wanted)) = part else {
            filled.push_str(fields.get(gap).map(String::as_str).unwrap_or_default());
            continue;
        };
        let (inner, after) = rest.split_once(&format!("{{{{/{name}}}}}")).expect("a part ends");
        if is_set(name) == wanted {
            filled.push_str(&fill(inner, fields));
        }
        rest = after;
    }
    filled + rest
}
