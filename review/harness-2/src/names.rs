//! Names on the wire, which only the platform's adapter may spell out in code.

/// Returns the wire name for a name of this crate.
pub fn name(of: &str) -> &'static str {
    let pairs = include_str!("../names.txt").lines().filter_map(|line| line.split_once(' '));
    pairs.clone().find(|(known, _)| *known == of).map(|(_, name)| name).expect("a name that names.txt has")
}
